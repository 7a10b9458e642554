"""A compact set of all undated idempotency keys that were ever claimed."""

from __future__ import annotations

from array import array
from bisect import bisect_left

_DIGEST_BYTES = 8
_DIGEST_HEX_DIGITS = 2 * _DIGEST_BYTES
MAX_REMEMBERED_KEYS = 100_000


class RememberedKeys:
    """A sorted array with the first 8 bytes of each scoped key.

    Two keys that share these bytes count as one key: the later one is rejected and does
    not run, so that no key ever runs twice.
    """

    __slots__ = ("_digests",)

    def __init__(self) -> None:
        self._digests = array("Q")

    def __len__(self) -> int:
        return len(self._digests)

    def __contains__(self, scoped: str) -> bool:
        digest = _digest_prefix(scoped)
        index = bisect_left(self._digests, digest)
        return index < len(self._digests) and self._digests[index] == digest

    def add(self, scoped: str) -> None:
        """Add a scoped key."""
        digest = _digest_prefix(scoped)
        index = bisect_left(self._digests, digest)
        if index == len(self._digests) or self._digests[index] != digest:
            self._digests.insert(index, digest)

    def merge(self, digests: bytes) -> None:
        """Add all digests that :meth:`to_bytes` of another set returned."""
        whole_length = len(digests) - len(digests) % _DIGEST_BYTES
        others = (
            int.from_bytes(digests[start : start + _DIGEST_BYTES], "big")
            for start in range(0, whole_length, _DIGEST_BYTES)
        )
        self._digests = array("Q", sorted({*self._digests, *others}))

    def to_bytes(self) -> bytes:
        """Return the digests, 8 bytes each, in ascending order."""
        return b"".join(
            digest.to_bytes(_DIGEST_BYTES, "big") for digest in self._digests
        )


def _digest_prefix(scoped: str) -> int:
    return int(scoped[:_DIGEST_HEX_DIGITS], 16)


__all__ = ["MAX_REMEMBERED_KEYS", "RememberedKeys"]
