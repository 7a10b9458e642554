"""Starts the store stand-in and entries on loopback, and records what happens."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from tests.standins.platform_store import PlatformStore  # noqa: E402

HOST = "shop.example"
KEY = "key-of-kit-shop"
TENANT = "kit-shop"
_READY_TIMEOUT_S = 30.0
_PORT_NAMES = ("Front", "Ready", "Control", "Directory")

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes ``record.txt``: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            at_s = time.monotonic() - self._started_at
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Entry:
    """One entry: its address, settings and current process."""

    def __init__(self, host: str, ports: dict[str, int], settings: Path) -> None:
        self.host = host
        self.ports = ports
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0


class System:
    """A store and entries, as the deploy file and the settings page describe them."""

    def __init__(self, record: Record, entries: int = 2) -> None:
        self.record = record
        self.store = PlatformStore()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._version = 0
        network = f"127.{20 + os.getpid() % 200}.{int(time.time()) % 250}"
        self.entries = [
            self._add_entry(f"{network}.{10 + n}") for n in range(entries)
        ]
        self._request_numbers = itertools.count(1)

    def _add_entry(self, host: str) -> Entry:
        ports = {name: _free_port(host) for name in _PORT_NAMES}
        first = _free_udp_port(host)
        entry = Entry(host, ports, self.folder / f"{host}.conf")
        listen = "".join(f"Listen.{k}={host}:{v}\n" for k, v in ports.items())
        entry.settings.write_text(
            f"Node=front-{host}\nRole=entry\nMachineClass=front\n"
            f"Serves=front,directory\nIp={host}\nZone=oslo-a\nRegion=oslo\n"
            f"Zones.oslo-a=oslo\n{listen}PortRange={first},{first + 15}\n"
            "Bootstrap=true\nLossCounts=false\nLimits.MemoryMb=300\n"
            "Limits.MaxFds=4200\nDiscovery=platform\nEntry=directory\n"
            "HeartbeatMs=1200\nBounds.SeedLagS=3\nBounds.ReuseAfterS=2\n"
            "Bounds.StableWindowMs=3000\nBounds.AckMs=4000\nBounds.DrainMs=2000\n"
            "Bounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\n"
            "Bounds.RevertSlackMs=250\nBounds.OuterMs=5000\n"
            "Bounds.StrictRevoke=true\nBounds.RevokeMs=5000\n"
            "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\n"
            "Bounds.BudgetSlack=88\nBounds.PassMs=120\nBounds.stall_ms=1500\n"
            "Bounds.ttl_max_s=5\n"
            f"Platform.Addr={self.store.address}\nPlatform.form=log\n"
        )
        return entry

    def publish(self, routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> int:
        """Write the next version of the configuration; return its number."""
        self._version += 7
        document = {
            "Version": self._version,
            "Routes": routes,
            "Services": services,
            "Limits": {
                "MaxHeaderBytes": 8192,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 2000,
                "IdleTimeoutMs": 10000,
            },
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.note(f"operator: configuration {self._version} is acknowledged")
        return self._version

    def register(self, runner_id: str, record: dict[str, Any]) -> None:
        """Write a runner's record to the store."""
        self.store.put("keyed.servers", runner_id, json.dumps(record).encode())

    def start(self, entry: Entry) -> subprocess.Popen[bytes]:
        """Start an entry with the command of the deploy file."""
        entry.starts += 1
        output = (self.folder / f"{entry.host}-{entry.starts}.log").open("wb")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CORIANDERRELAY_NODE_FILE"] = str(entry.settings)
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        entry.process = subprocess.Popen(
            ["python3", "platform/run.py", "entry"],
            cwd=ROOT,
            env=environment,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        output.close()
        self.record.note(f"entry {entry.host}: started, pid {entry.process.pid}")
        return entry.process

    def start_all(self) -> None:
        """Start all entries and wait until they are ready."""
        for entry in self.entries:
            self.start(entry)
        for entry in self.entries:
            self.wait_ready(entry)

    def is_ready(self, entry: Entry) -> bool:
        """Return whether the readiness check gets a 200."""
        connection = http.client.HTTPConnection(entry.host, entry.ports["Ready"], 1.0)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self, entry: Entry) -> None:
        """Wait until an entry is ready.

        :raises CannotRunError: it did not become ready in time.
        """
        until = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until:
            if self.is_ready(entry):
                self.record.note(f"entry {entry.host}: ready")
                return
            time.sleep(0.05)
        raise CannotRunError(f"entry {entry.host} did not become ready")

    def next_id(self) -> str:
        """Return a new request id."""
        return f"{next(self._request_numbers):016x}"

    def log_lines(self, entry: Entry) -> list[dict[str, Any]]:
        """Return the log lines of the entry's current process."""
        text = (self.folder / f"{entry.host}-{entry.starts}.log").read_text()
        lines = []
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for entry in self.entries:
            process = entry.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.store.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Path, run: Any) -> None:
    """Run a case and exit with its result.

    :param run: takes the record and whether the disruption is played; returns whether
        the rule held.
    """
    # The time limit ends the case by SIGTERM: end the entries, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit("the time is over"))
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1")
    record.note(f"TROUBLE={trouble}")
    try:
        held = run(record, trouble)
        code = HELD if held else BROKEN
    except (Exception, SystemExit) as error:  # only a broken rule exits with 1
        record.note(f"the case could not run: {error!r}")
        code = NOT_RUN
    record.note(f"exit {code}")
    record.close()
    os._exit(code)


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def _free_udp_port(host: str) -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])
