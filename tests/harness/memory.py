"""Reads the memory of processes under test."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from demo.processes import Process

_KB = 1024


def peak_memory_mb(process: Process) -> int:
    """Return the peak of the resident memory of a process, in MB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) // _KB


__all__ = ["peak_memory_mb"]
