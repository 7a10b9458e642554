"""What is held for long: fingerprints of requests and parts of prompts, by key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .crash_ledger import CrashLedger
    from .part_ledger import PartLedger

_PART_PREFIX = "part:"  # a fingerprint is hexadecimal, so no other key begins so


class Quarantines:
    """Joins both ledgers for the watch that stores their holds."""

    __slots__ = ("_requests", "_parts")

    def __init__(self, requests: CrashLedger, parts: PartLedger) -> None:
        self._requests = requests
        self._parts = parts

    def left_s_by_key(self, now: float) -> dict[str, float]:
        """Return the seconds for which each key is still held."""
        left_s_by_key = {
            fingerprint: self._requests.quarantine_left_s(fingerprint, now)
            for fingerprint in self._requests.quarantined()
        }
        for part, left_s in self._parts.culprits(now).items():
            left_s_by_key[_PART_PREFIX + part] = left_s
        return left_s_by_key

    def hold(self, key: str, remaining_s: float, now: float) -> None:
        """Hold what another entry has stored."""
        if key.startswith(_PART_PREFIX):
            self._parts.hold_for(key.removeprefix(_PART_PREFIX), remaining_s, now)
        else:
            self._requests.quarantine(key, remaining_s, now)

    def clear(self, key: str, now: float) -> bool:
        """Discard what counts against a key; return whether there was any."""
        if key.startswith(_PART_PREFIX):
            part = key.removeprefix(_PART_PREFIX)
            held = part in self._parts.culprits(now)
            return bool(self._parts.clear(part, now)) or held
        return self._requests.clear(key, now)


__all__ = ["Quarantines"]
