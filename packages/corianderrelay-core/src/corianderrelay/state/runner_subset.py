"""Subsetting: chooses the runners that an entry connects to if there are many."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING

from .rendezvous import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_SUBSET_SIZE = 32


def runner_subset(
    entry_id: str,
    entry_zone: str,
    zones_by_runner: Mapping[str, str],
    size: int = DEFAULT_SUBSET_SIZE,
) -> list[str]:
    """Return the runners that one entry connects to, its own zone first.

    Half of the subset comes from the entry's zone and the rest from the other zones in
    turn, so that runners remain if a zone fails. If one side has too few runners, the
    other fills the subset. Adding or removing one runner changes at most one member of
    the subset.

    :param zones_by_runner: availability zone of each runner.
    :param size: maximum number of runners; if there are no more, all are returned.
    """
    if len(zones_by_runner) <= size:
        return sorted(zones_by_runner)
    ranked = rank_by_rendezvous(entry_id.encode(), zones_by_runner)
    runners_by_zone: dict[str, list[str]] = defaultdict(list)
    for runner_id in ranked:
        runners_by_zone[zones_by_runner[runner_id]].append(runner_id)
    local = runners_by_zone.pop(entry_zone, [])
    remote = [
        runner_id
        for runner_ids in itertools.zip_longest(*runners_by_zone.values())
        for runner_id in runner_ids
        if runner_id is not None
    ]
    local_size = max(size - size // 2, size - len(remote))
    chosen = local[:local_size]
    return chosen + remote[: size - len(chosen)]


__all__ = ["DEFAULT_SUBSET_SIZE", "runner_subset"]
