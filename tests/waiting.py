"""Waits for something to happen, with a limit that only a hang reaches."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_LIMIT_S = 30.0
_POLL_S = 0.05


def wait_until(condition: Callable[[], object], what: str) -> None:
    """Wait until ``condition()`` holds.

    :param what: what is waited for; named when it never happens.
    """
    deadline = time.monotonic() + _LIMIT_S
    while not condition():
        assert time.monotonic() < deadline, f"never happened: {what}"
        time.sleep(_POLL_S)


__all__ = ["wait_until"]
