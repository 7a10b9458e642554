"""How the agent of a rank that has just started learns what is in force.

It asks every other rank. Each notes the new incarnation, so that no commit counts on
an older one any more, and tells the maps in force and the attempts for which it holds.
The join is complete when all have answered and at least one of them, or the rank
itself, knew what is in force.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .switch_types import JoinAnswer, JoinQuery, JoinRefused, Send

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .switch_types import RankIncarnation


class GroupJoin:
    """The join of one rank and its knowledge of the others' incarnations.

    :param incarnation: number of this start of the agent; a later start has a higher
        one.
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
        """Ask every other rank."""
        self.in_progress = True
        self.any_peer_joined = False
        self._unanswered_ranks = set(range(self._ranks)) - {self._rank}
        return self.unanswered_queries()

    def restart_with_incarnation_above(self, newest: int) -> list[Send]:
        """Ask again as an incarnation higher than ``newest``."""
        self.incarnation = max(self.incarnation, newest) + 1
        self.newest_incarnation_by_rank[self._rank] = self.incarnation
        return self.start()

    def unanswered_queries(self) -> list[Send]:
        """Return the queries that are not answered yet."""
        return [
            Send(rank, JoinQuery(self.incarnation))
            for rank in sorted(self._unanswered_ranks)
        ]

    def record_incarnation(self, rank: int, incarnation: int) -> None:
        """Note an incarnation of another rank."""
        newest = self.newest_incarnation_by_rank.get(rank, -1)
        self.newest_incarnation_by_rank[rank] = max(newest, incarnation)

    def record_roster(self, roster: Iterable[RankIncarnation]) -> None:
        """Note the incarnations that another rank has heard of."""
        for known in roster:
            if known.rank != self._rank:
                self.record_incarnation(known.rank, known.incarnation)

    def stale_refusal(self, rank: int, incarnation: int) -> JoinRefused | None:
        """Return the refusal of an incarnation that is not its rank's newest."""
        newest = self.newest_incarnation_by_rank.get(rank, -1)
        return JoinRefused(newest) if incarnation < newest else None

    def on_join_answer(self, rank: int, answer: JoinAnswer) -> bool:
        """Count an answer; return whether it answers the present query."""
        if not self.in_progress or answer.querying_incarnation != self.incarnation:
            return False
        self.record_incarnation(rank, answer.incarnation)
        self.record_roster(answer.roster)
        self.any_peer_joined = self.any_peer_joined or answer.joined
        self._unanswered_ranks.discard(rank)
        return True

    @property
    def all_answered(self) -> bool:
        """Whether every other rank has answered the present query."""
        return self.in_progress and not self._unanswered_ranks

    def finish(self) -> None:
        """End the join."""
        self.in_progress = False


__all__ = ["GroupJoin"]
