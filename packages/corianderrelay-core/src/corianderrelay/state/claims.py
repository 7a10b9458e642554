"""Folds the records of one claims stream into the state of each key.

The fold is deterministic: every reader of the same records computes the same holder
for a key. The first claim for a key wins; a later claim can win only after the holder
has been released.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .claim_records import (
    AnyClaimRecord,
    ClaimRecord,
    Outcome,
    OutcomeRecord,
    ReleaseRecord,
    RememberedKeysRecord,
    fencing_number,
)
from .remembered_keys import RememberedKeys

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_OFFSET = 0


@dataclass(slots=True)
class KeyState:
    """The state of one key after the records read so far.

    :param claim: the claim that holds the key; ``None`` if no claim does.
    :param fence: fencing number of the latest claim that held the key; -1 if none did.
    :param claim_read_at_s: monotonic time at which this process read ``claim``, in
        seconds.
    :param outcome: the outcome of ``claim``, once recorded.
    :param void_nonces: nonces of claims that were released or rejected; a duplicate of
        such a claim that is appended later must not win.
    :param last_offset: offset of the last record that concerns the key.
    """

    claim: ClaimRecord | None = None
    fence: int = -1
    claim_read_at_s: float = 0.0
    outcome: OutcomeRecord | None = None
    void_nonces: set[str] = field(default_factory=set)
    last_offset: int = 0

    @property
    def final_outcome(self) -> Outcome | None:
        """The outcome to report to callers; ``None`` while the claim is open."""
        if self.claim is None:
            return Outcome.NOT_RUN
        return self.outcome.outcome if self.outcome else None


class ClaimFold:
    """The state of all keys of one claims stream.

    :param start_offset: the first offset that this process reads.
    """

    __slots__ = (
        "_by_key",
        "_open_keys",
        "_remembered",
        "_pending_undated_keys",
        "_last_offset",
        "_start",
        "_has_all_undated_keys",
        "_remembered_keys_written_s",
    )

    def __init__(self, start_offset: int = FIRST_OFFSET) -> None:
        # Ordered by last_offset, so that eviction starts at the oldest key.
        self._by_key: OrderedDict[str, KeyState] = OrderedDict()
        self._open_keys: set[str] = set()
        self._remembered = RememberedKeys()
        self._pending_undated_keys: set[str] = set()
        self._last_offset = start_offset - 1
        self._start = start_offset
        self._has_all_undated_keys = start_offset <= FIRST_OFFSET
        self._remembered_keys_written_s = 0.0

    def __len__(self) -> int:
        return len(self._by_key)

    @property
    def has_all_undated_keys(self) -> bool:
        """Whether this fold covers every undated key that was ever claimed."""
        return self._has_all_undated_keys

    @property
    def undated_key_count(self) -> int:
        """Number of undated keys that were ever claimed, evicted ones included."""
        return len(self._remembered) + len(self._pending_undated_keys)

    def is_retired(self, key: str) -> bool:
        """Return whether an undated key can no longer be claimed, even after a release.

        A reader that starts late cannot distinguish a first claim from a later one.
        Therefore a key is retired for all readers from the first
        :class:`RememberedKeysRecord` on that contains it.
        """
        return key in self._remembered

    def build_remembered_keys_record(self, wall_now_s: float) -> RememberedKeysRecord:
        """Return a record of all undated keys that were read so far.

        :param wall_now_s: this process's wall clock, in seconds since 1970.
        """
        merged = RememberedKeys()
        merged.merge(self._remembered.to_bytes())
        for key in self._pending_undated_keys:
            merged.add(key)
        return RememberedKeysRecord(
            covered_offset=self._last_offset,
            digests=merged.to_bytes(),
            written_s=wall_now_s,
        )

    @property
    def remembered_keys_written_s(self) -> float:
        """When the newest :class:`RememberedKeysRecord` was written.

        In seconds since 1970 by its writer's wall clock; 0 if none was read.
        """
        return self._remembered_keys_written_s

    def get(self, key: str) -> KeyState | None:
        """Return the state of a scoped key; ``None`` if it is unknown or evicted."""
        return self._by_key.get(key)

    def is_held(self, key: str) -> bool:
        """Return whether a claim, open or with an outcome, holds the key."""
        state = self._by_key.get(key)
        return state is not None and state.claim is not None

    def open_claims(self) -> Iterator[KeyState]:
        """Yield the states of the keys whose claim has no outcome yet."""
        return (self._by_key[key] for key in self._open_keys)

    def apply(
        self, offset: int, index: int, record: AnyClaimRecord, now: float
    ) -> None:
        """Fold the next record of the stream.

        :param offset: offset of the append that holds the record.
        :param index: the record's position within that append.
        :param now: this process's monotonic time, in seconds.
        """
        self._last_offset = offset
        match record:
            case ClaimRecord():
                self._apply_claim(fencing_number(offset, index), offset, record, now)
            case ReleaseRecord():
                self._apply_release(offset, record)
            case OutcomeRecord():
                self._apply_outcome(offset, record)
            case RememberedKeysRecord():
                self._apply_remembered(record)

    def skip_to(self, first_offset: int) -> None:
        """Continue at ``first_offset``; retention dropped the records before it.

        The dropped records were not read, so undated keys may be missing from now on.
        """
        self._start = first_offset
        self._has_all_undated_keys = first_offset <= FIRST_OFFSET

    def evict_before(self, first_offset: int) -> None:
        """Evict keys whose last record lies before ``first_offset``.

        The fold then agrees with that of a reader that starts at ``first_offset``. Both
        kinds of key stay unclaimable: a dated key's date lies outside the accepted
        window by then, and an undated key is retired.
        """
        while self._by_key:
            key, state = next(iter(self._by_key.items()))
            if state.last_offset >= first_offset:
                return
            del self._by_key[key]
            self._open_keys.discard(key)
            if key in self._pending_undated_keys:
                self._pending_undated_keys.discard(key)
                self._remembered.add(key)

    def _apply_claim(
        self, fence: int, offset: int, record: ClaimRecord, now: float
    ) -> None:
        state = self._touch(record.key, offset)
        if state.claim is not None and state.claim.nonce == record.nonce:
            return
        retired = not record.dated and self.is_retired(record.key)
        if not record.dated and not retired:
            self._pending_undated_keys.add(record.key)
        if retired or state.claim is not None or record.nonce in state.void_nonces:
            state.void_nonces.add(record.nonce)
            return
        state.claim = record
        state.fence = fence
        state.claim_read_at_s = now
        self._open_keys.add(record.key)

    def _apply_release(self, offset: int, record: ReleaseRecord) -> None:
        state = self._touch(record.key, offset)
        state.void_nonces.add(record.nonce)
        if state.claim is None or state.claim.nonce != record.nonce:
            return
        if state.outcome is None:
            state.claim = None
            self._open_keys.discard(record.key)

    def _apply_outcome(self, offset: int, record: OutcomeRecord) -> None:
        state = self._by_key.get(record.key)
        if state is None or state.claim is None:
            return
        if state.claim.nonce != record.nonce:
            return
        self._touch(record.key, offset)
        self._open_keys.discard(record.key)
        if state.outcome is None or _is_more_definite(record, state.outcome):
            state.outcome = record

    def _touch(self, key: str, offset: int) -> KeyState:
        state = self._by_key.setdefault(key, KeyState())
        state.last_offset = offset
        self._by_key.move_to_end(key)
        return state

    def _apply_remembered(self, record: RememberedKeysRecord) -> None:
        self._remembered.merge(record.digests)
        self._pending_undated_keys = {
            key for key in self._pending_undated_keys if key not in self._remembered
        }
        self._remembered_keys_written_s = max(
            self._remembered_keys_written_s, record.written_s
        )
        if record.covered_offset + 1 >= self._start:
            self._has_all_undated_keys = True


def _is_more_definite(record: OutcomeRecord, known: OutcomeRecord) -> bool:
    return known.outcome is Outcome.UNKNOWN and record.outcome is Outcome.DONE


__all__ = ["ClaimFold", "FIRST_OFFSET", "KeyState"]
