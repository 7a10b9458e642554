"""A small system of stand-ins, two entries, three engine agents and a plain service."""

from __future__ import annotations

import hashlib
import json
import secrets
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .processes import Process, fetch

if TYPE_CHECKING:
    from collections.abc import Sequence

KIT_SHOP_KEY = "kit-shop-demo-key"
STREET_LIBRARY_KEY = "street-library-demo-key"
_ZONES = ("oslo-a", "oslo-b")
_DOCUMENT_FILE = Path(__file__).with_name("document.json")


class DemoSystem:
    """Starts and stops all processes of the demo.

    ``entries`` and ``operator_urls`` hold the base URLs of each entry's ports for
    callers and operators.

    :param folder: folder for settings and log files.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.engine_count = 3
        self.group_ranks = 2
        self.entry_count = 2
        self.engine_options: list[str] = []
        self.agent_slots = 8
        self.entry_timing: dict[str, float] = {
            "instance_list_s": 0.5,
            "entries_ttl_s": 3.0,
        }
        self.agent_tls: dict[str, str] | None = None
        self.entry_stream_tls: dict[str, str] | None = None
        self.caller_tls: dict[str, str] | None = None
        self.processes: list[Process] = []
        self.entries: list[str] = []
        self.operator_urls: list[str] = []
        self.operator_token = secrets.token_hex(16)
        self.log_url = ""
        self.instances_url = ""
        self.service_url = ""
        self.engine_urls: list[str] = []
        self.agent_ports: dict[str, int] = {}

    def start(self) -> None:
        """Start all processes and publish the configuration document."""
        self.log_url = self._start_stand_in("log")
        self.instances_url = self._start_stand_in("instances")
        for number in range(self.engine_count):
            options = [*self.engine_options, *self._engine_rank_options(number)]
            self.engine_urls.append(self._start_stand_in("engine", number, options))
        self.service_url = self._start_stand_in("service")
        self._start_agents()
        self._start_entries()
        self.publish(json.loads(self._document_text()))

    def ready(self, runners: int) -> bool:
        """Return whether every entry is ready and lists exactly that many runners."""
        statuses = [self.status(url) for url in self.operator_urls]
        return all(
            status["ready"] and len(status["runners"]) == runners for status in statuses
        )

    def status(self, operators_url: str) -> Any:
        """Return an entry's status from its operators endpoint."""
        authorization = f"Bearer {self.operator_token}"
        url = f"{operators_url}/v1/status"
        return json.loads(fetch(url, Authorization=authorization)[2])

    def processes_named(self, prefix: str) -> list[Process]:
        """Return the processes whose names start with ``prefix``."""
        return [
            process for process in self.processes if process.name.startswith(prefix)
        ]

    def stop(self) -> list[tuple[str, int]]:
        """Stop all processes, entries first; return their names and exit codes."""
        return [(process.name, process.stop()) for process in reversed(self.processes)]

    def kill(self) -> None:
        """Kill all processes to simulate a crash."""
        for process in self.processes:
            process.kill()

    def publish(self, document: dict[str, Any], version: int = 1) -> None:
        """Append a configuration record with the document to the ``config`` stream."""
        record = {
            "type": "config",
            "version": version,
            "base": version - 1,
            "document": document,
            "author": "demo",
            "time_s": time.time(),
            "nonce": secrets.token_hex(8),
        }
        fetch(f"{self.log_url}/streams/config", "POST", json.dumps(record).encode())

    def _document_text(self) -> str:
        text = _DOCUMENT_FILE.read_text()
        text = text.replace("KIT_SHOP_KEY_DIGEST", _digest(KIT_SHOP_KEY))
        return text.replace("STREET_LIBRARY_KEY_DIGEST", _digest(STREET_LIBRARY_KEY))

    def _start_stand_in(
        self, kind: str, number: int = 0, options: Sequence[str] = ()
    ) -> str:
        name = f"{kind}-{number}"
        command = ["-m", "tests.standins.run", kind, "--port", "0", *options]
        process = self._start(name, command)
        port = process.wait_for_line("listening")["listening"]
        return f"http://127.0.0.1:{port}"

    def _start_agents(self) -> None:
        for number, url in enumerate(self.engine_urls):
            in_group = number < self.group_ranks
            endpoint = {
                "url": url,
                "service": "assistant",
                "model": "kit-model",
                "group": "assistant-group" if in_group else "",
                "rank": number if in_group else 0,
                "slots": self.agent_slots,
            }
            group = self._group_settings() if in_group else None
            zone = _ZONES[number % 2]
            self._start_agent(f"agent-{number}", zone, endpoint, group)
        orders = {"url": self.service_url, "service": "orders", "slots": 8}
        self._start_agent("agent-orders", _ZONES[0], orders, None)

    def _engine_rank_options(self, number: int) -> list[str]:
        if number >= self.group_ranks:
            return []
        options = ["--rank", str(number), "--ranks", str(self.group_ranks)]
        hub = ["--hub-url", self.engine_urls[0]] if number else []
        return [*options, *hub]

    def _group_settings(self) -> dict[str, Any]:
        return {
            "ranks": self.group_ranks,
            "experts": 8,
            "slots_per_rank": 5,
            "coordinator_port": self.agent_ports.get("agent-0", 0),
            "expert_bytes": 1_000_000,
        }

    def _start_agent(
        self,
        name: str,
        zone: str,
        endpoint: dict[str, Any],
        group: dict[str, Any] | None,
    ) -> None:
        settings = {
            "instance_id": name,
            "zone": zone,
            "endpoint": endpoint,
            "group": group,
            "platform": self._platform_settings(),
            "streams": {"host": "127.0.0.1", "port": 0, "tls": self.agent_tls},
        }
        command = ["-m", "corianderrelay_agent.run", "run", "--settings"]
        process = self._start(name, [*command, self._write_settings(name, settings)])
        port = process.wait_for_line("streams_port")["streams_port"]
        self.agent_ports[name] = port
        self._register(name, "agent", zone, port)

    def _start_entries(self) -> None:
        token_file = self.folder / "operators.token"
        token_file.write_text(self.operator_token)
        for number, zone in enumerate(_ZONES[: self.entry_count]):
            name = f"entry-{number}"
            settings = {
                "instance_id": name,
                "zone": zone,
                "callers": {"host": "127.0.0.1", "port": 0, "tls": self.caller_tls},
                "own_streams_tls": self.entry_stream_tls,
                "operators": {
                    "host": "127.0.0.1",
                    "port": 0,
                    "token_file": str(token_file),
                },
                "platform": self._platform_settings(),
                "timing": self.entry_timing,
            }
            command = ["-m", "corianderrelay_entry.run", "serve", "--settings"]
            process = self._start(
                name, [*command, self._write_settings(name, settings)]
            )
            listening = process.wait_for_line("callers_port")
            self.entries.append(f"http://127.0.0.1:{listening['callers_port']}")
            self.operator_urls.append(f"http://127.0.0.1:{listening['operators_port']}")
            self._register(name, "entry", zone, listening["callers_port"])

    def _platform_settings(self) -> dict[str, str]:
        return {"log_url": self.log_url, "instances_url": self.instances_url}

    def _register(self, name: str, role: str, zone: str, port: int) -> None:
        instance = {
            "instance_id": name,
            "role": role,
            "zone": zone,
            "host": "127.0.0.1",
            "port": port,
            "state": "live",
        }
        url = f"{self.instances_url}/instances/{name}"
        fetch(url, "PUT", json.dumps(instance).encode())

    def _write_settings(self, name: str, settings: dict[str, Any]) -> str:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return str(path)

    def _start(self, name: str, command: list[str]) -> Process:
        process = Process(name, command, self.folder / f"{name}.log")
        self.processes.append(process)
        return process


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder for settings and logs that is removed when its context ends."""
    return tempfile.TemporaryDirectory(prefix="corianderrelay-")


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


__all__ = ["DemoSystem", "KIT_SHOP_KEY", "STREET_LIBRARY_KEY", "temporary_folder"]
