"""Waits for something to happen, with a limit that only a hang reaches."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05


def wait_until(condition: Callable[[], object], description: str) -> None:
    """Wait until ``condition()`` holds.

    :param what: what is waited for; named when it never happens.
    """
    deadline = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"never happened: {description}"
        time.sleep(_POLL_INTERVAL_S)


__all__ = ["wait_until"]
