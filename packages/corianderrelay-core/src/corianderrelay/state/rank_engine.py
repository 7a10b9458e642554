"""The agent's view of its engine: its last status, holds and next order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .switch_types import (
    HoldOrder,
    ReleaseOrder,
    SendEngineOrder,
    StageOrder,
    SwitchOrder,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .switch_types import CommittedMap, EngineMapStatus, GroupMap, MapOrder


class EngineView:
    """The last status of the engine and the holds that must be released.

    At most one order is in flight. An order that did not change the status is sent
    again only after the next poll.

    A hold is suspected while the agent queries its peers for the attempts that need
    holds. It is void, and may be released, once no attempt needs it.
    """

    __slots__ = (
        "status",
        "_suspected_steps",
        "_void_steps",
        "_order_in_flight",
        "_last_order",
    )

    def __init__(self) -> None:
        self.status: EngineMapStatus | None = None
        self._suspected_steps: frozenset[int] = frozenset()
        self._void_steps: frozenset[int] = frozenset()
        self._order_in_flight = False
        self._last_order: MapOrder | None = None

    @property
    def incarnation(self) -> int | None:
        """The engine's incarnation in its last status; ``None`` without a status."""
        return self.status.incarnation if self.status is not None else None

    def start(self, status: EngineMapStatus | None) -> None:
        """Record the status read when the agent starts, before it queries its peers."""
        self.status = status
        self.mark_holds_suspected()

    def record_status(self, status: EngineMapStatus | None, polled: bool) -> None:
        """Record a status; after a polled one, the last order may be sent again.

        A polled status is ignored while an order is in flight.
        """
        if polled and self._order_in_flight:
            return
        self.status = status
        self._order_in_flight = False
        if polled:
            self._last_order = None
        if status is not None:
            self._void_steps &= status.held_steps

    def mark_holds_suspected(self) -> None:
        """Mark the current holds as suspected until the peers have answered."""
        held = self.status.held_steps if self.status is not None else frozenset()
        self._suspected_steps = held

    def void_suspected_holds(self) -> None:
        """Mark suspected holds as void; only holds of known attempts are then kept."""
        self._void_steps |= self._suspected_steps
        self._suspected_steps = frozenset()

    def void_holds(self, steps: set[int]) -> None:
        """Mark the holds before the steps of ended attempts as void."""
        self._void_steps |= steps

    def blocked_by_unknown_hold(self, steps_to_hold: frozenset[int]) -> bool:
        """Whether the engine is blocked by a hold that no known attempt requires."""
        status = self.status
        if status is None or status.next_step not in status.held_steps:
            return False
        return status.next_step not in steps_to_hold | self._void_steps

    def mark_in_flight(self, order: MapOrder, fence: int) -> SendEngineOrder:
        """Mark ``order`` as in flight and return the action that sends it."""
        self._order_in_flight = True
        self._last_order = order
        return SendEngineOrder(order, fence)

    def next_order(
        self,
        steps_to_hold: frozenset[int],
        maps: tuple[CommittedMap, ...],
        staging: GroupMap | None,
    ) -> MapOrder | None:
        """Return the next order that the engine needs.

        It is ``None`` if no order is needed, if one is in flight, or if the last order
        must be sent again, which waits for the next poll.

        :param steps_to_hold: steps before which the engine must hold.
        :param maps: the latest committed map and its predecessor, newest first.
        :param staging: the map to load for the current attempt, if any.
        """
        if self.status is None or self._order_in_flight:
            return None
        order = next(
            self._orders_needed(self.status, steps_to_hold, maps, staging), None
        )
        return None if order == self._last_order else order

    def has_settled(
        self, steps_to_hold: frozenset[int], maps: tuple[CommittedMap, ...]
    ) -> bool:
        """Whether the engine needs no further hold, release or map order."""
        if self.status is None:
            return False
        return (
            next(self._orders_needed(self.status, steps_to_hold, maps, None), None)
            is None
        )

    def _orders_needed(
        self,
        status: EngineMapStatus,
        steps_to_hold: frozenset[int],
        maps: tuple[CommittedMap, ...],
        staging: GroupMap | None,
    ) -> Iterator[MapOrder]:
        """Yield the orders that the engine still needs, in the order of sending.

        Holds come first, so that the engine does not run past the step of an attempt
        that has no outcome.
        """
        for step in sorted(steps_to_hold - status.held_steps):
            if status.next_step <= step:
                yield HoldOrder(step)
        # The switch order for a map releases the hold before the map's first step.
        switch_steps = {committed_map.from_step for committed_map in maps}
        void = (self._void_steps & status.held_steps) - steps_to_hold - switch_steps
        yield from map(ReleaseOrder, sorted(void))
        for committed_map in self._maps_needed(status, maps):
            yield from self._orders_for_map(status, committed_map)
        if staging is not None and staging.digest not in status.staged_digests:
            yield StageOrder(staging)

    @staticmethod
    def _maps_needed(
        status: EngineMapStatus, maps: tuple[CommittedMap, ...]
    ) -> tuple[CommittedMap, ...]:
        """Return the newest map, and its predecessor if that one is still in use.

        The newest comes first: an engine without any map must not start to use the
        predecessor before it knows the step at which that map ends.
        """
        before_newest = bool(maps) and status.next_step < maps[0].from_step
        return maps if before_newest else maps[:1]

    @staticmethod
    def _orders_for_map(
        status: EngineMapStatus, committed_map: CommittedMap
    ) -> Iterator[MapOrder]:
        digest = committed_map.group_map.digest
        held = committed_map.from_step in status.held_steps
        if status.digest_by_step.get(committed_map.from_step) == digest and not held:
            return
        if digest not in status.staged_digests:
            yield StageOrder(committed_map.group_map)
        yield SwitchOrder(committed_map.from_step, digest)


__all__ = ["EngineView"]
