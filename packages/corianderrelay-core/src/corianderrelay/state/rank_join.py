"""Join of a rank whose agent or engine has started: its peers send the active maps.

The agent queries every other rank. Each peer records the new incarnation, so that no
commit relies on an older one, and answers with its maps and the attempts for which its
engine holds. The join is complete when all peers have answered and at least one of
them, or the rank itself, has already joined.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .switch_types import JoinAnswer, JoinQuery, JoinRefused, Send

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .switch_types import RankIncarnation


class RankJoin:
    """State of one rank's join, and the newest known incarnations of all ranks.

    :param incarnation: number of this start of the agent; later starts have higher
        numbers.
    """

    __slots__ = (
        "incarnation",
        "newest_incarnation_by_rank",
        "in_progress",
        "any_peer_joined",
        "_rank",
        "_ranks",
        "_unanswered_ranks",
    )

    def __init__(self, rank: int, ranks: int, incarnation: int) -> None:
        self.incarnation = incarnation
        self.newest_incarnation_by_rank = {rank: incarnation}
        self.in_progress = False
        self.any_peer_joined = False
        self._rank = rank
        self._ranks = ranks
        self._unanswered_ranks: set[int] = set()

    def start(self) -> list[Send]:
        """Start a join and return the queries to every other rank."""
        self.in_progress = True
        self.any_peer_joined = False
        self._unanswered_ranks = set(range(self._ranks)) - {self._rank}
        return self.unanswered_queries()

    def restart_with_incarnation_above(self, newest: int) -> list[Send]:
        """Restart the join with an incarnation higher than ``newest``."""
        self.incarnation = max(self.incarnation, newest) + 1
        self.newest_incarnation_by_rank[self._rank] = self.incarnation
        return self.start()

    def unanswered_queries(self) -> list[Send]:
        """Return the queries to the ranks that have not answered yet."""
        return [
            Send(rank, JoinQuery(self.incarnation))
            for rank in sorted(self._unanswered_ranks)
        ]

    def record_incarnation(self, rank: int, incarnation: int) -> None:
        """Record an incarnation of a rank unless a newer one is known."""
        newest = self.newest_incarnation_by_rank.get(rank, -1)
        self.newest_incarnation_by_rank[rank] = max(newest, incarnation)

    def record_roster(self, roster: Iterable[RankIncarnation]) -> None:
        """Record the incarnations that another rank knows."""
        for known in roster:
            if known.rank != self._rank:
                self.record_incarnation(known.rank, known.incarnation)

    def stale_refusal(self, rank: int, incarnation: int) -> JoinRefused | None:
        """Return a refusal if ``incarnation`` is older than the rank's newest known."""
        newest = self.newest_incarnation_by_rank.get(rank, -1)
        return JoinRefused(newest) if incarnation < newest else None

    def on_join_answer(self, rank: int, answer: JoinAnswer) -> bool:
        """Record an answer; return whether it belongs to the current join."""
        if not self.in_progress or answer.querying_incarnation != self.incarnation:
            return False
        self.record_incarnation(rank, answer.incarnation)
        self.record_roster(answer.roster)
        self.any_peer_joined = self.any_peer_joined or answer.joined
        self._unanswered_ranks.discard(rank)
        return True

    @property
    def all_answered(self) -> bool:
        """Whether every other rank has answered the current query."""
        return self.in_progress and not self._unanswered_ranks

    def finish(self) -> None:
        """Mark the join as finished."""
        self.in_progress = False


__all__ = ["RankJoin"]
