"""Starts, signals and stops child processes, and sends HTTP requests to them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path
from typing import Any

_ROOT = Path(__file__).resolve().parent.parent
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 30.0


class ProcessStartError(Exception):
    """A process exited or timed out before it printed the expected line."""


class Process:
    """A child process with its log file.

    :param command: arguments of the Python interpreter.
    :param log_path: file that receives stdout and stderr.
    :param variables: environment variables added to those of this process.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        log_path: Path,
        variables: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log_path = log_path
        self._output = log_path.open("wb")
        environment = os.environ | {"PYTHONPATH": str(_ROOT)} | (variables or {})
        self._popen = subprocess.Popen(
            [sys.executable, *command],
            cwd=_ROOT,
            env=environment,
            stdout=self._output,
            stderr=subprocess.STDOUT,
        )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code; ``None`` while the process runs."""
        return self._popen.poll()

    def wait_for_line(
        self, key: str, timeout_s: float = _START_TIMEOUT_S
    ) -> dict[str, Any]:
        """Wait for a JSON line that has ``key`` and return the first one.

        :raises ProcessStartError: the process exited, or the timeout expired.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = next((line for line in self.json_lines() if key in line), None)
            if found is not None:
                return found
            if self.exit_code is not None:
                break
            time.sleep(0.02)
        raise ProcessStartError(
            f"{self.name} exited or timed out before it printed the expected line; "
            f"see {self.log_path}"
        )

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.exit_code is None:
            self._popen.send_signal(number)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the exit and return the exit code; kill the process on timeout."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            return self._popen.wait()
        finally:
            self._output.close()

    def stop(self) -> int:
        """Send SIGTERM, wait for the exit and return the exit code."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def kill(self) -> int:
        """Send SIGKILL to simulate a crash and return the exit code."""
        self.signal(signal.SIGKILL)
        return self.wait()

    def json_lines(self) -> list[dict[str, Any]]:
        """Return all complete JSON lines in the log file."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [
            json.loads(line)
            for line in lines
            if line.startswith("{") and line.endswith("}")
        ]


def fetch(
    url: str, method: str = "GET", body: bytes | None = None, **headers: str
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request; return status, headers by lower-case name, and body.

    Every status is returned, also that of an error.

    :param headers: request headers; underscores in their names become hyphens.
    """
    request_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    request = urllib.request.Request(url, body, request_headers, method=method)
    opener = urllib.request.build_opener(
        urllib.request.ProxyHandler({}), _AcceptAnyStatus()
    )
    with opener.open(request, timeout=60) as response:
        headers_by_name = {name.lower(): value for name, value in response.getheaders()}
        return response.status, headers_by_name, response.read()


class _AcceptAnyStatus(urllib.request.HTTPErrorProcessor):
    def http_response(self, request: Any, response: Any) -> Any:
        return response


__all__ = ["Process", "ProcessStartError", "fetch"]
