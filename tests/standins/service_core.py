"""Pure core of the plain-service stand-in: orders, charges, stock, and a record."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import xxhash

_STOCK_RANGE = 50


@dataclass(slots=True)
class ServiceFaults:
    """What is wrong with the service just now.

    :param lose_next_answers: calls which take effect but are not answered.
    :param crash_next: the next changing call takes effect and ends the process.
    """

    delay_s: float = 0.0
    lose_next_answers: int = 0
    crash_next: bool = False


@dataclass(slots=True)
class ServiceExecution:
    """One changing call that took effect, for the oracle."""

    number: int
    action: str
    key: str
    body: dict[str, Any]


@dataclass(slots=True)
class ServiceCore:
    """A shop's or a catalogue's calls; each changing call has its effect each time."""

    faults: ServiceFaults = field(default_factory=ServiceFaults)
    executions: list[ServiceExecution] = field(default_factory=list)
    reads: int = 0

    def change(self, action: str, key: str, body: dict[str, Any]) -> ServiceExecution:
        """Run a call that must not be repeated; ``key`` is its key header."""
        execution = ServiceExecution(len(self.executions), action, key, body)
        self.executions.append(execution)
        return execution

    def order(self, number: int) -> ServiceExecution | None:
        """Return an order by its number."""
        orders = [
            execution
            for execution in self.executions
            if execution.number == number and execution.action == "orders"
        ]
        return orders[0] if orders else None

    def stock(self, item: str) -> int:
        """Return how many of an item are there; the same for the same item."""
        self.reads += 1
        return xxhash.xxh3_64_intdigest(item.encode()) % _STOCK_RANGE


__all__ = ["ServiceCore", "ServiceExecution", "ServiceFaults"]
