"""What the agent of a rank knows of its engine, and the next order for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .switch_types import HoldOrder, OrderEngine, ReleaseOrder, StageOrder, SwitchOrder

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .switch_types import CommittedMap, EngineMapStatus, GroupMap, MapOrder


class EngineView:
    """The last status of the engine and the holds that are to be lifted.

    One order is under way at a time. An order that did not change the status is given
    again only after the next poll.
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
        """The engine's incarnation as last heard of."""
        return self.status.incarnation if self.status is not None else None

    def start(self, status: EngineMapStatus | None) -> None:
        """Take the status read at the agent's start, before it asks its peers."""
        self.status = status
        self.mark_holds_suspected()

    def record_status(self, status: EngineMapStatus | None, polled: bool) -> None:
        """Take a status; a polled one allows to repeat the last order."""
        if polled and self._order_in_flight:
            return
        self.status = status
        self._order_in_flight = False
        if polled:
            self._last_order = None
        if status is not None:
            self._void_steps &= status.held_steps

    def mark_holds_suspected(self) -> None:
        """Remember the present holds; those that no peer knows are void."""
        held = self.status.held_steps if self.status is not None else frozenset()
        self._suspected_steps = held

    def void_suspected_holds(self) -> None:
        """Take that no attempt other than those known can use the suspected holds."""
        self._void_steps |= self._suspected_steps
        self._suspected_steps = frozenset()

    def void_holds(self, steps: set[int]) -> None:
        """Take that the attempts which held before these steps have ended."""
        self._void_steps |= steps

    def blocked_by_unknown_hold(self, steps_to_hold: frozenset[int]) -> bool:
        """Whether the engine stands at a hold that no known attempt explains."""
        status = self.status
        if status is None or status.next_step not in status.held_steps:
            return False
        return status.next_step not in steps_to_hold | self._void_steps

    def mark_in_flight(self, order: MapOrder, fence: int) -> OrderEngine:
        """Note that ``order`` is under way and return it."""
        self._order_in_flight = True
        self._last_order = order
        return OrderEngine(order, fence)

    def next_order(
        self,
        steps_to_hold: frozenset[int],
        maps: tuple[CommittedMap, ...],
        staging: GroupMap | None,
    ) -> MapOrder | None:
        """Return the next order that brings the engine to what it should have."""
        if self.status is None or self._order_in_flight:
            return None
        order = next(
            self._orders_needed(self.status, steps_to_hold, maps, staging), None
        )
        return None if order == self._last_order else order

    def has_settled(
        self, steps_to_hold: frozenset[int], maps: tuple[CommittedMap, ...]
    ) -> bool:
        """Whether the engine has all holds lifted and all maps that it should."""
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
        """Yield orders, holds first, so that no map runs past an open attempt."""
        for step in sorted(steps_to_hold - status.held_steps):
            if status.next_step <= step:
                yield HoldOrder(step)
        switched = {placed.from_step for placed in maps}
        void = (self._void_steps & status.held_steps) - steps_to_hold - switched
        yield from map(ReleaseOrder, sorted(void))
        for placed in self._maps_needed(status, maps):
            yield from self._orders_for_map(status, placed)
        if staging is not None and staging.digest not in status.staged_digests:
            yield StageOrder(staging)

    @staticmethod
    def _maps_needed(
        status: EngineMapStatus, maps: tuple[CommittedMap, ...]
    ) -> tuple[CommittedMap, ...]:
        """Return the newest map, and the one before it if it is still in use.

        The newest goes first: an engine without any map must not take up the older
        one before it knows where that ends.
        """
        before_newest = bool(maps) and status.next_step < maps[0].from_step
        return maps if before_newest else maps[:1]

    @staticmethod
    def _orders_for_map(
        status: EngineMapStatus, placed: CommittedMap
    ) -> Iterator[MapOrder]:
        digest = placed.group_map.digest
        held = placed.from_step in status.held_steps
        if status.digest_by_step.get(placed.from_step) == digest and not held:
            return
        if digest not in status.staged_digests:
            yield StageOrder(placed.group_map)
        yield SwitchOrder(placed.from_step, digest)


__all__ = ["EngineView"]
