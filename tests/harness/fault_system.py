"""A small system for tests that kill or pause processes or silence connections."""

from __future__ import annotations

import json
import signal
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from demo.processes import fetch
from demo.system import KIT_SHOP_KEY, DemoSystem
from tests.standins.engine_model import model_answer

if TYPE_CHECKING:
    from pathlib import Path

    from demo.processes import Process

_MAX_PARALLEL_REQUESTS = 32
_ENGINE_COUNT = 2
_SHORT_ANSWER_TOKENS = 30
_LONG_ANSWER_TOKENS = 100
LONG_ANSWER_PROMPT = "Tell me all."
RUNNER_COUNT = _ENGINE_COUNT + 1

Answer = tuple[int, dict[str, str], bytes]


class FaultSystem(DemoSystem):
    """Runs two entries, two engines and a plain service; each agent is behind a relay.

    :param step_s: time that an engine takes per token, in seconds.
    """

    def __init__(self, folder: Path, step_s: float) -> None:
        super().__init__(folder)
        self.engine_count = _ENGINE_COUNT
        self.group_ranks = 0
        self.engine_options = ["--step-s", str(step_s)]
        self._pool = ThreadPoolExecutor(_MAX_PARALLEL_REQUESTS)

    def process_named(self, name: str) -> Process:
        """Return the process with exactly this name."""
        return next(process for process in self.processes if process.name == name)

    def pause(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.process_named(name).signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.process_named(name).signal(signal.SIGCONT)

    def silence_connections(self, agent: str) -> None:
        """Make the open connections to an agent drop all further bytes."""
        self.process_named(f"relay-{agent}").signal(signal.SIGUSR1)

    def set_faults(self, url: str, **faults: Any) -> None:
        """Set the faults that a stand-in injects."""
        fetch(f"{url}/control", "POST", json.dumps(faults).encode())

    def executions(self, url: str) -> list[dict[str, Any]]:
        """Return the requests that a stand-in has run."""
        listed: dict[str, Any] = json.loads(fetch(f"{url}/executions")[2])
        executions: list[dict[str, Any]] = listed["executions"]
        return executions

    def start_chat(self, entry: int, prompt: str) -> Future[Answer]:
        """Start a streamed chat completion."""
        return self._start_request(entry, "/v1/chat/completions", chat_body(prompt))

    def start_order(self, entry: int, key: str) -> Future[Answer]:
        """Start an order, which must run at most once."""
        body = json.dumps({"item": key}).encode()
        return self._start_request(entry, "/services/orders/orders", body, key)

    def kill(self) -> None:
        """Kill all processes and wait until the requests in flight have ended."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
        super().kill()
        self._pool.shutdown(wait=True, cancel_futures=True)

    def _start_request(
        self, entry: int, path: str, body: bytes, key: str = ""
    ) -> Future[Answer]:
        headers = {"Authorization": f"Bearer {KIT_SHOP_KEY}"}
        headers["Content-Type"] = "application/json"
        if key:
            headers["Idempotency-Key"] = key
        url = self.entries[entry] + path
        return self._pool.submit(fetch, url, "POST", body, **headers)

    def _register(self, name: str, role: str, zone: str, port: int) -> None:
        if role == "agent":
            command = ["-m", "tests.harness.silent_relay", "--to", str(port)]
            relay = self._start(f"relay-{name}", command)
            port = relay.wait_for_line("listening")["listening"]
        super()._register(name, role, zone, port)


def chat_body(prompt: str) -> bytes:
    """Return the body of a streamed chat completion.

    :param prompt: requests a long answer if it contains ``LONG_ANSWER_PROMPT``.
    """
    messages = [{"role": "user", "content": prompt}]
    tokens = (
        _LONG_ANSWER_TOKENS if LONG_ANSWER_PROMPT in prompt else _SHORT_ANSWER_TOKENS
    )
    chat = {"model": "kit-model", "messages": messages, "stream": True}
    return json.dumps(chat | {"min_tokens": tokens, "max_tokens": tokens}).encode()


def expected_text(prompt: str) -> str:
    """Return the model's complete answer to a prompt."""
    return "".join(model_answer(json.loads(chat_body(prompt))))


def parse_answer_text(body: bytes) -> str:
    """Return the text of a streamed answer; fail if its final event is missing."""
    lines = body.decode().splitlines()
    events = [line[6:] for line in lines if line.startswith("data: ")]
    assert events and events[-1] == "[DONE]", f"answer truncated: {body[-300:]!r}"
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    return "".join(delta.get("content") or "" for delta in deltas)


__all__ = [
    "Answer",
    "FaultSystem",
    "LONG_ANSWER_PROMPT",
    "RUNNER_COUNT",
    "chat_body",
    "expected_text",
    "parse_answer_text",
]
