"""The agent's view of its group: committed maps and attempts without an outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .known_outcomes import KnownOutcomes
from .switch_types import maps_after_commit

if TYPE_CHECKING:
    from .group_records import GroupState
    from .switch_types import CommittedMap, JoinAnswer, SwitchAttempt, SwitchAttemptId


class GroupView:
    """Merges what the log, the coordinator and other ranks report about the group.

    Epochs and map versions only rise, and a known outcome never changes.

    :ivar epoch: highest known epoch.
    :ivar maps: the latest committed map and its predecessor, newest first.
    :ivar unsettled_by_id: attempts with unknown outcome, before whose steps the engine
        must hold.
    :ivar outcomes: known outcomes of the latest attempts.
    :ivar newly_ended_steps: steps of the attempts that ended since the last clear.
    """

    __slots__ = ("epoch", "maps", "unsettled_by_id", "outcomes", "newly_ended_steps")

    def __init__(self) -> None:
        self.epoch = -1
        self.maps: tuple[CommittedMap, ...] = ()
        self.unsettled_by_id: dict[SwitchAttemptId, SwitchAttempt] = {}
        self.outcomes = KnownOutcomes()
        self.newly_ended_steps: set[int] = set()

    @property
    def steps_to_hold(self) -> frozenset[int]:
        """The steps before which the engine must hold."""
        return frozenset(attempt.step for attempt in self.unsettled_by_id.values())

    def apply_fold(self, state: GroupState, joined: bool) -> None:
        """Apply a fold of the ``groups`` stream up to some record.

        :param joined: whether this rank has joined; its maps are adopted only then.
        """
        self.epoch = max(self.epoch, state.epoch)
        if joined:
            self.adopt_maps(state.maps)
        for attempt_id in [*self.unsettled_by_id]:
            committed = state.outcome_of(attempt_id)
            if committed is not None:
                self.record_outcome(attempt_id, committed)

    def on_join_answer(self, answer: JoinAnswer) -> None:
        """Merge the epoch, maps and unsettled attempts of another rank."""
        self.epoch = max(self.epoch, answer.epoch)
        for attempt in answer.unsettled:
            if self.outcomes.get(attempt.id) is None:
                self.unsettled_by_id.setdefault(attempt.id, attempt)
        self.adopt_maps(answer.maps)

    def can_apply_commit(self, attempt_id: SwitchAttemptId) -> bool:
        """Whether a commit of this attempt can be applied.

        That requires its map, which is known for an unsettled or committed attempt.
        """
        is_unsettled = attempt_id in self.unsettled_by_id
        return is_unsettled or self.outcomes.get(attempt_id) is True

    def record_outcome(self, attempt_id: SwitchAttemptId, committed: bool) -> None:
        """Record the outcome of an attempt and adopt its map if it was committed."""
        self.outcomes.add(attempt_id, committed)
        attempt = self.unsettled_by_id.get(attempt_id)
        if attempt is None:
            return
        if committed:
            self.adopt_maps(maps_after_commit(attempt, self.maps))
        self._drop_unsettled(attempt_id)

    def adopt_maps(self, maps: tuple[CommittedMap, ...]) -> None:
        """Adopt ``maps`` if they are newer than the known ones."""
        version = self.maps[0].group_map.version if self.maps else 0
        if not maps or maps[0].group_map.version <= version:
            return
        self.maps = maps
        for committed_map in maps:
            self.outcomes.add(committed_map.attempt, True)
            self._drop_unsettled(committed_map.attempt)

    def _drop_unsettled(self, attempt_id: SwitchAttemptId) -> None:
        attempt = self.unsettled_by_id.pop(attempt_id, None)
        if attempt is not None:
            self.newly_ended_steps.add(attempt.step)


__all__ = ["GroupView"]
