"""Folds one claims stream into what is known of each key.

The fold is deterministic: all readers of the same records hold the same claim for a
key. The first claim wins; only a release lets a later one win.
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
    """What the stream says of one key.

    :param claim: the claim that holds the key, if any.
    :param fence: that claim's fencing number.
    :param seen_at: when this process read that claim, in seconds.
    :param outcome: the claim's outcome, once recorded.
    :param spent_nonces: claims that were released or came too late; a copy of one
        that turns up later must not win.
    :param last_offset: where the key was last mentioned.
    """

    claim: ClaimRecord | None = None
    fence: int = -1
    claim_read_at_s: float = 0.0
    outcome: OutcomeRecord | None = None
    void_nonces: set[str] = field(default_factory=set)
    last_offset: int = 0

    @property
    def final_outcome(self) -> Outcome | None:
        """The answer that anyone may be given now; ``None`` while a claim is open."""
        if self.claim is None:
            return Outcome.NOT_RUN
        return self.outcome.outcome if self.outcome else None


class ClaimFold:
    """The state of all keys of one claims stream.

    :param start_offset: the first offset that this process has read.
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
        # In order of their last mention, so that the oldest are found first.
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
        """Whether every undated key that was ever claimed is known here."""
        return self._has_all_undated_keys

    @property
    def undated_key_count(self) -> int:
        """How many undated keys are remembered."""
        return len(self._remembered) + len(self._pending_undated_keys)

    def is_retired(self, key: str) -> bool:
        """Whether an undated key may not be claimed again, even after a release.

        A reader that starts late cannot tell a first claim from a later one, so a key
        is closed for all readers from the first record on that remembers it.
        """
        return key in self._remembered

    def build_remembered_keys_record(self, wall_now_s: float) -> RememberedKeysRecord:
        """Return the record that remembers all undated keys read so far."""
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
        """Wall-clock time of the newest :class:`RememberedKeysRecord` read."""
        return self._remembered_keys_written_s

    def get(self, key: str) -> KeyState | None:
        """Return what is known of a scoped key; ``None`` if nothing is."""
        return self._by_key.get(key)

    def is_held(self, key: str) -> bool:
        """Whether a claim, open or with an outcome, holds the key."""
        state = self._by_key.get(key)
        return state is not None and state.claim is not None

    def open_claims(self) -> Iterator[KeyState]:
        """Yield the claims that have no outcome yet."""
        return (self._by_key[key] for key in self._open_keys)

    def apply(
        self, offset: int, index: int, record: AnyClaimRecord, now: float
    ) -> None:
        """Take the next record of the stream.

        :param index: the record's position within its append.
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
        """Note that the records before ``first_offset`` were dropped unread."""
        self._start = first_offset
        self._has_all_undated_keys = first_offset <= FIRST_OFFSET

    def evict_before(self, first_offset: int) -> None:
        """Drop keys last mentioned before ``first_offset``, as a late reader would.

        The dates of dated keys lie outside the window by then; undated ones are closed.
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
