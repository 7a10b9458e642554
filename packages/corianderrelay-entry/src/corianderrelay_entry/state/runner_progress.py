"""Detects runners that stopped sending chunks while attempts run on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_STALLED_AFTER_S = 5.0


class RunnerProgress:
    """Time of the last chunk of each runner, over all of its attempts.

    A single attempt may wait in the runner's queue, so a runner is stalled only if none
    of its attempts makes progress. Only runners with an attempt that has already
    received a chunk are checked, and ranks that are blocked by another one of their
    group; a stalled one remains so until its next chunk.
    """

    __slots__ = ("_last_chunk_s_by_runner",)

    def __init__(self) -> None:
        self._last_chunk_s_by_runner: dict[str, float] = {}

    def record_chunk(self, runner_id: str, now: float) -> None:
        """Record that a chunk of a runner was received."""
        self._last_chunk_s_by_runner[runner_id] = now

    def find_stalled(
        self,
        answering: Iterable[str],
        occupied: Iterable[str],
        blocked: Iterable[str],
        now: float,
    ) -> list[str]:
        """Return the stalled runners, and discard those that are not checked any more.

        :param answering: runners with an attempt that has already received a chunk.
        :param occupied: runners with any attempt.
        :param blocked: runners that cannot send a chunk, as their group lacks a rank.
        """
        remaining = set(occupied)
        waiting = remaining.intersection(blocked)
        checked = waiting.union(answering)
        for runner_id in waiting:
            self._last_chunk_s_by_runner.setdefault(runner_id, now)
        self._last_chunk_s_by_runner = {
            runner_id: last_chunk_s
            for runner_id, last_chunk_s in self._last_chunk_s_by_runner.items()
            if runner_id in checked
            or (runner_id in remaining and now - last_chunk_s >= _STALLED_AFTER_S)
        }
        return sorted(
            runner_id
            for runner_id, last_chunk_s in self._last_chunk_s_by_runner.items()
            if now - last_chunk_s >= _STALLED_AFTER_S
        )


__all__ = ["RunnerProgress"]
