"""Polls a condition until it holds; the timeout is only reached if a test hangs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05


def wait_until(condition: Callable[[], object], description: str) -> None:
    """Poll ``condition()`` until it is true; fail after a timeout.

    :param description: the expected condition, named in the error.
    """
    deadline = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {description}"
        time.sleep(_POLL_INTERVAL_S)


__all__ = ["wait_until"]
