"""A lock-step group of real processes: log service, engines and their agents."""

from __future__ import annotations

import json
import signal
import time
from typing import TYPE_CHECKING, Any

from demo.processes import Process, fetch
from tests.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

RANKS = 3
EXPERTS = 8
_RANK_IGNORING_FENCING = 1
_ENGINE_STEP_S = 0.01
_REPORT_INTERVAL_S = 0.1
_REPORT_DELIVERY_WAIT_S = 3 * _REPORT_INTERVAL_S
_LOG_TAIL_LINES = 40  # per process; a switch writes about five


class GroupSystem:
    """Runs the processes of one group; the engine of rank 1 ignores fencing numbers.

    :param folder: receives the settings and log files.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: list[Process] = []
        self._agents_by_rank: dict[int, Process] = {}
        self._coordinator_port = 0
        self.log_url = ""
        self.engine_urls: list[str] = []

    def start(self) -> None:
        """Start the log service, the engines and their agents."""
        self.log_url = self._start_stand_in("log", "log")
        for rank in range(RANKS):
            self.engine_urls.append(self._start_engine(rank))
        for rank in range(RANKS):
            self.start_agent(rank)

    def start_agent(self, rank: int) -> None:
        """Start the agent of a rank."""
        name = f"agent-{rank}-{len(self._processes)}"
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(self._agent_settings(rank, name)))
        command = ["-m", "corianderrelay_agent.run", "run", "--settings", str(path)]
        process = self._start(name, command)
        port = process.wait_for_line("streams_port")["streams_port"]
        if rank == 0:
            self._coordinator_port = port
        self._agents_by_rank[rank] = process

    def kill_agent(self, rank: int) -> None:
        """Kill the agent of a rank and start a new one."""
        self._agents_by_rank[rank].kill()
        self.start_agent(rank)

    def pause_agent(self, rank: int, pause_s: float) -> None:
        """Pause the agent of a rank for ``pause_s`` seconds."""
        self._agents_by_rank[rank].signal(signal.SIGSTOP)
        time.sleep(pause_s)
        self._agents_by_rank[rank].signal(signal.SIGCONT)

    def shift_demand(self, popular_experts: set[int]) -> None:
        """Make some experts far more popular than the others.

        All engines stop reporting first, because they are updated one after another:
        a map planned from a mix of old and new demand could already fit the new
        demand, and then no further switch would follow.
        """
        self._set_popularity([])
        time.sleep(_REPORT_DELIVERY_WAIT_S)
        self._set_popularity(
            [900 if expert in popular_experts else 100 for expert in range(EXPERTS)]
        )

    def _set_popularity(self, tokens_by_expert: list[int]) -> None:
        body = json.dumps({"tokens_by_expert": tokens_by_expert}).encode()
        for url in self.engine_urls:
            fetch(f"{url}/group/popularity", "POST", body)

    def set_log_faults(self, **faults: object) -> None:
        """Set the faults that the log service injects."""
        fetch(f"{self.log_url}/control", "POST", json.dumps(faults).encode())

    def step_record(self) -> Any:
        """Return the barrier's record: the current step, and steps with mixed maps."""
        return _fetch_json(f"{self.engine_urls[0]}/group/steps")

    def map_statuses(self) -> list[Any]:
        """Return the expert map status of each engine."""
        return [_fetch_json(f"{url}/group/status") for url in self.engine_urls]

    def maps_in_use(self) -> set[int]:
        """Return the numbers of the expert maps that the engines use."""
        return {status["map"] for status in self.map_statuses()}

    def wait_for_new_map(self, old_map: int) -> int:
        """Wait until all engines step with one new map; return its number."""

        def switch_completed() -> bool:
            statuses = self.map_statuses()
            maps = {status["map"] for status in statuses}
            any_held = any(status["holds"] for status in statuses)
            return len(maps) == 1 and old_map not in maps and not any_held

        try:
            wait_until(switch_completed, f"all ranks use a map other than {old_map}")
        except AssertionError as error:
            raise AssertionError(f"{error}\n{self._collect_diagnostics()}") from error
        self.wait_for_steps()
        return next(iter(self.maps_in_use()))

    def _collect_diagnostics(self) -> str:
        """Return the engines' statuses and log tails, for the error after a timeout."""
        logs = [
            f"{process.name}:\n{_read_log_tail(process.log_path)}"
            for process in self._processes
        ]
        return "\n".join([*map(str, self.map_statuses()), *logs])

    def wait_for_steps(self) -> None:
        """Wait until the group has completed 10 more steps."""
        target_step = self.step_record()["step"] + 10
        wait_until(
            lambda: self.step_record()["step"] >= target_step,
            "the group completes more steps",
        )

    def kill(self) -> None:
        """Kill all processes, also paused ones."""
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.kill()

    def _start_engine(self, rank: int) -> str:
        options = [
            "--rank",
            str(rank),
            "--ranks",
            str(RANKS),
            "--step-s",
            str(_ENGINE_STEP_S),
        ]
        if rank:
            options += ["--hub-url", self.engine_urls[0]]
        if rank == _RANK_IGNORING_FENCING:
            options.append("--ignores-fencing")
        return self._start_stand_in(f"engine-{rank}", "engine", *options)

    def _start_stand_in(self, name: str, kind: str, *options: str) -> str:
        command = ["-m", "tests.standins.run", kind, "--port", "0", *options]
        port = self._start(name, command).wait_for_line("listening")["listening"]
        return f"http://127.0.0.1:{port}"

    def _agent_settings(self, rank: int, name: str) -> dict[str, Any]:
        port = self._coordinator_port if rank == 0 else 0
        return {
            "instance_id": name,
            "zone": "oslo-a",
            "endpoint": {
                "url": self.engine_urls[rank],
                "service": "assistant",
                "group": "kits",
                "rank": rank,
            },
            "group": {
                "ranks": RANKS,
                "experts": EXPERTS,
                "slots_per_rank": 4,
                "coordinator_port": self._coordinator_port,
                "expert_bytes": 1000,
                "skew_weight": 100.0,
                "report_s": _REPORT_INTERVAL_S,
                "plan_s": 0.2,
                "half_life_s": 0.5,
            },
            "platform": {"log_url": self.log_url, "instances_url": self.log_url},
            "streams": {"host": "127.0.0.1", "port": port},
        }

    def _start(self, name: str, command: list[str]) -> Process:
        process = Process(name, command, self._folder / f"{name}.log")
        self._processes.append(process)
        return process


def _read_log_tail(log: Path) -> str:
    return "\n".join(log.read_text(errors="replace").splitlines()[-_LOG_TAIL_LINES:])


def _fetch_json(url: str) -> Any:
    return json.loads(fetch(url)[2])


__all__ = ["EXPERTS", "GroupSystem", "RANKS"]
