"""Tells which runners have stopped to answer although they run requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_STALLED_AFTER_S = 5.0


class RunnerProgress:
    """When each runner last answered anything on any of its attempts.

    A queue makes single attempts wait; only a runner that answers none at all is
    stalled. It is judged only while an attempt of it has begun to answer.
    """

    __slots__ = ("_last_chunk_s_by_runner",)

    def __init__(self) -> None:
        self._last_chunk_s_by_runner: dict[str, float] = {}

    def record_chunk(self, runner_id: str, now: float) -> None:
        """Note that a runner has answered something."""
        self._last_chunk_s_by_runner[runner_id] = now

    def find_stalled(self, answering: Iterable[str], now: float) -> list[str]:
        """Return the runners that have stalled, and forget those without attempts.

        :param answering: runners with an attempt that has begun to answer.
        """
        kept = set(answering)
        self._last_chunk_s_by_runner = {
            runner_id: last_chunk_s
            for runner_id, last_chunk_s in self._last_chunk_s_by_runner.items()
            if runner_id in kept
        }
        return sorted(
            runner_id
            for runner_id, last_chunk_s in self._last_chunk_s_by_runner.items()
            if now - last_chunk_s >= _STALLED_AFTER_S
        )


__all__ = ["RunnerProgress"]
