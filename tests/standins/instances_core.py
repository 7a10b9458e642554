"""State of the instance-list stand-in, without I/O: a list served with a lag."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class InstanceListFaults:
    """Faults that are currently injected into the list.

    :param lag_s: age of the returned list, in seconds.
    """

    lag_s: float = 0.0
    outage: bool = False


@dataclass(slots=True)
class InstanceHistory:
    """All changes of the list, so that its state at any time can be returned."""

    faults: InstanceListFaults = field(default_factory=InstanceListFaults)
    _changes: list[tuple[float, str, dict[str, Any] | None]] = field(
        default_factory=list
    )

    def put(self, instance_id: str, instance: dict[str, Any], now: float) -> None:
        """Add or change an instance."""
        entry = instance | {"instance_id": instance_id}
        self._changes.append((now, instance_id, entry))

    def remove(self, instance_id: str, now: float) -> None:
        """Remove an instance."""
        self._changes.append((now, instance_id, None))

    def visible_instances(self, now: float) -> list[dict[str, Any]]:
        """Return the instances as of ``lag_s`` ago, sorted by id."""
        as_of = now - self.faults.lag_s
        known = {name: entry for at, name, entry in self._changes if at <= as_of}
        return [entry for _, entry in sorted(known.items()) if entry is not None]


__all__ = ["InstanceHistory", "InstanceListFaults"]
