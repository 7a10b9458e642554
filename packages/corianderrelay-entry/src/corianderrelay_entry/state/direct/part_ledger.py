"""Finds the parts of prompts that crash the runners that begin to answer on them.

A runner that ended leaves suspects: the parts of the requests that it had not begun to
answer. All entries exchange these records, which merge in any order. The parts that
explain a crash best are blamed for it: those of most crashes under different requests,
and among these the ones that no runner had answered before. A part with a single crash
is a suspect only if it was never answered; any other needs a second one.

A request with a suspect is held. After a while one request is sent as a trial: if it is
answered, its parts are cleared, otherwise the wait grows. A request that has all parts
that are blamed for a crash waits much longer than one that may only have a neighbour
of the culprit.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from itertools import islice
from typing import TYPE_CHECKING

from .crash_ledger import QUARANTINE_S, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

# A failed trial stops a lock-step group for about three seconds, so that trials cost
# the group a tenth of its time at first.
_CULPRIT_WAIT_S = 30.0
_CULPRIT_WAIT_GROWTH = 4.0
_NEIGHBOUR_WAIT_S = 4.0  # a lock-step group is complete again after a crash
_TRIAL_S = 2.0  # a request that is not answered by then has not begun
_SETTLED_S = 10.0  # longer than a runner that ended stays registered
_SHARE_S = 10.0  # outlasts the loss of several updates, and short partitions
_MAX_SHARED = 8  # about 600 bytes; an update should fit into one packet
_MAX_PARTS = 512  # with suspicions, about 3 MB with all their records
_MAX_LIVES = 8  # crashes that are kept of one part
_MAX_ANSWERED = 8192  # parts that are known to be sound, about 1 MB
MAX_PARTS_OF_PROMPT = 16  # further parts of a prompt are ignored


@dataclass(frozen=True, slots=True)
class PartLoss:
    """A part of a request that was lost before its runner had begun to answer it.

    :param runner_life: the runner's id and start time.
    :param fingerprint: of the request.
    :param verdict: what is known of the runner; ``CLEARED`` if the part is sound.
    :param answered_before: whether a runner had answered a request with this part.
    :param trials: number of trials that were started after the loss.
    """

    part: str
    runner_life: str
    fingerprint: str
    verdict: Verdict = Verdict.UNCONFIRMED
    answered_before: bool = False
    trials: int = 0

    @property
    def counts(self) -> bool:
        """Whether the loss counts against its part."""
        return self.verdict in (Verdict.UNCONFIRMED, Verdict.ENDED)


@dataclass(frozen=True, slots=True)
class PartHold:
    """Why a request is held.

    :param wait_s: seconds until a request with this part may be tried.
    :param crashes: the crashes that count against the part.
    """

    part: str
    wait_s: float
    crashes: int


class _Record:
    """A loss, when this entry learned of it, and when it last changed."""

    __slots__ = ("loss", "lost_at", "changed_at")

    def __init__(self, loss: PartLoss, now: float) -> None:
        self.loss = loss
        self.lost_at = now
        self.changed_at = now


class PartLedger:
    """The suspected parts of all entries, and the parts that were answered here.

    :param own_delay_s: added to the waits of this entry, so that not all entries start
        a trial when the same wait is over.
    """

    __slots__ = (
        "_own_delay_s",
        "_records_by_part",
        "_parts_by_life",
        "_answered",
        "_trial_at_by_part",
        "_stored_until_by_part",
        "_sharing",
    )

    def __init__(self, own_delay_s: float = 0.0) -> None:
        self._own_delay_s = own_delay_s
        self._records_by_part: dict[str, dict[str, _Record]] = {}
        self._parts_by_life: dict[str, set[str]] = {}
        # Ordered by the last answer, the oldest first.
        self._answered: dict[str, None] = {}
        self._trial_at_by_part: dict[str, float] = {}
        self._stored_until_by_part: dict[str, float] = {}
        # Keys of the records that the next updates carry; the next one comes first.
        self._sharing: dict[tuple[str, str], None] = {}

    def merge(self, loss: PartLoss, now: float) -> bool:
        """Add a record, or what it adds to a known one; return whether it did."""
        if loss.part in self._answered:
            loss = replace(loss, answered_before=True)
        records = self._records_by_part.setdefault(loss.part, {})
        record = records.get(loss.runner_life)
        if record is None:
            records[loss.runner_life] = _Record(loss, now)
            self._parts_by_life.setdefault(loss.runner_life, set()).add(loss.part)
            self._evict(loss.part)
        else:
            known = record.loss
            merged = PartLoss(
                loss.part,
                loss.runner_life,
                min(known.fingerprint, loss.fingerprint),
                max(known.verdict, loss.verdict),
                known.answered_before or loss.answered_before,
                max(known.trials, loss.trials),
            )
            if merged == known:
                return False
            if merged.trials > known.trials:
                self._trial_at_by_part[loss.part] = now
            record.loss = merged
            record.changed_at = now
        self._sharing[loss.part, loss.runner_life] = None
        return True

    def judge(self, life: str, verdict: Verdict, now: float) -> list[PartLoss]:
        """Apply a verdict on a runner to the losses there; return those changed."""
        records = (
            self._records_by_part[part][life]
            for part in self._parts_by_life.get(life, ())
        )
        changed = [
            replace(record.loss, verdict=verdict)
            for record in records
            if record.loss.verdict < verdict
        ]
        for loss in changed:
            self.merge(loss, now)
        return changed

    def on_answered(self, parts: Iterable[str], now: float) -> list[PartLoss]:
        """Record that a runner answers a request; return the losses cleared by it."""
        cleared: list[PartLoss] = []
        for part in parts:
            self._answered.pop(part, None)
            self._answered[part] = None
            if part in self._records_by_part or part in self._stored_until_by_part:
                cleared += self.clear(part, now)
        while len(self._answered) > _MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return cleared

    def clear(self, part: str, now: float) -> list[PartLoss]:
        """Discard what counts against a part; return the losses cleared."""
        self._stored_until_by_part.pop(part, None)
        records = self._records_by_part.get(part, {}).values()
        cleared = [
            replace(record.loss, verdict=Verdict.CLEARED)
            for record in records
            if record.loss.counts
        ]
        for loss in cleared:
            self.merge(loss, now)
        return cleared

    def hold(self, parts: Iterable[str], now: float) -> PartHold | None:
        """Return why a request with these parts is held; ``None`` if it may run.

        A request may run, too, if it is the next trial; see ``start_trial``.
        """
        of_request = set(parts)
        holds = (
            PartHold(part, wait_s, self.crashes(part))
            for part in of_request
            if (part in self._records_by_part or part in self._stored_until_by_part)
            and (wait_s := self._wait_s(part, of_request, now)) > 0.0
        )
        return max(holds, key=lambda hold: hold.wait_s, default=None)

    def start_trial(self, parts: Iterable[str], now: float) -> list[str]:
        """Record that a request is sent; return the suspects that it tries."""
        tried = [
            part
            for part in parts
            if any(part in self.blamed(life) for life in self._counted_lives(part))
        ]
        for part in tried:
            life = max(
                self._counted_lives(part),
                key=lambda each: self._records_by_part[part][each].lost_at,
            )
            loss = self._records_by_part[part][life].loss
            self.merge(replace(loss, trials=loss.trials + 1), now)
        return tried

    def crashes(self, part: str) -> int:
        """Return the crashes under different requests that count against a part."""
        lives = self._counted_lives(part)
        records = self._records_by_part.get(part, {})
        return min(len(lives), len({records[life].loss.fingerprint for life in lives}))

    def blamed(self, life: str) -> set[str]:
        """Return the suspects of a runner's crash."""
        weights = {
            part: (self.crashes(part), not self._answered_before(part))
            for part in self._parts_by_life.get(life, ())
            if self._records_by_part[part][life].loss.counts
        }
        most = max(weights.values(), default=(0, False))
        if most in ((0, False), (1, False)):
            return set()
        return {part for part, weight in weights.items() if weight == most}

    def suspects(self) -> set[str]:
        """Return the parts that are blamed for crashes."""
        blamed = (self.blamed(life) for life in self._parts_by_life)
        return set().union(*blamed)

    def culprits(self, now: float) -> dict[str, float]:
        """Return the parts that alone explain a crash, with their waits in seconds."""
        left_s_by_part = {
            part: ends_at - now
            for part, ends_at in self._stored_until_by_part.items()
            if ends_at > now
        }
        for life, parts in self._parts_by_life.items():
            blamed = self.blamed(life)
            if len(blamed) != 1:
                continue
            (part,) = blamed
            record = self._records_by_part[part][life]
            left_s = self._wait_s(part, parts, now)
            if record.loss.verdict is Verdict.ENDED and left_s > 0.0:
                left_s_by_part[part] = max(left_s, left_s_by_part.get(part, 0.0))
        return left_s_by_part

    def hold_for(self, part: str, remaining_s: float, now: float) -> None:
        """Hold a part that another entry has stored as a culprit."""
        self._stored_until_by_part[part] = now + remaining_s

    def next_shared(self, now: float) -> tuple[PartLoss, ...]:
        """Return the records for the next update to the other entries."""
        shared = []
        for key in list(islice(self._sharing, _MAX_SHARED)):
            del self._sharing[key]
            record = self._records_by_part.get(key[0], {}).get(key[1])
            if record is not None and now - record.changed_at <= _SHARE_S:
                self._sharing[key] = None
                shared.append(record.loss)
        return tuple(shared)

    def expire(self, now: float) -> None:
        """Discard records and holds that are over."""
        for part, records in list(self._records_by_part.items()):
            for life, record in list(records.items()):
                limit_s = QUARANTINE_S if record.loss.counts else _SETTLED_S
                if now - record.changed_at > limit_s:
                    self._delete(part, life)
        for part, ends_at in list(self._stored_until_by_part.items()):
            if now >= ends_at:
                del self._stored_until_by_part[part]
        for part in self._trial_at_by_part.keys() - self._records_by_part.keys():
            del self._trial_at_by_part[part]

    def _wait_s(self, part: str, of_request: set[str], now: float) -> float:
        """Return the seconds for which a part holds a request; 0 if it does not."""
        ends_at = self._stored_until_by_part.get(part, now)
        crashes = self.crashes(part)
        for life in self._counted_lives(part):
            blamed = self.blamed(life)
            if part not in blamed:
                continue
            lost_at = self._records_by_part[part][life].lost_at
            if blamed <= of_request:
                wait_s = _CULPRIT_WAIT_S * _CULPRIT_WAIT_GROWTH ** (crashes - 1)
            else:
                wait_s = _NEIGHBOUR_WAIT_S * crashes
            # Two trials at once would leave open which of them crashed a runner.
            tried_at = max(self._trial_at_by_part.get(each, lost_at) for each in blamed)
            ends_at = max(
                ends_at,
                lost_at + min(wait_s, QUARANTINE_S) + self._own_delay_s,
                tried_at + _TRIAL_S,
            )
        return max(ends_at - now, 0.0)

    def _counted_lives(self, part: str) -> list[str]:
        records = self._records_by_part.get(part, {})
        return [life for life, record in records.items() if record.loss.counts]

    def _answered_before(self, part: str) -> bool:
        records = self._records_by_part[part].values()
        return any(record.loss.answered_before for record in records)

    def _evict(self, part: str) -> None:
        if len(self._records_by_part[part]) > _MAX_LIVES:
            self._delete(part, next(iter(self._records_by_part[part])))
        if len(self._records_by_part) > _MAX_PARTS:
            oldest = next(iter(self._records_by_part))
            for life in list(self._records_by_part[oldest]):
                self._delete(oldest, life)

    def _delete(self, part: str, life: str) -> None:
        records = self._records_by_part[part]
        del records[life]
        self._sharing.pop((part, life), None)
        if not records:
            del self._records_by_part[part]
        parts = self._parts_by_life[life]
        parts.discard(part)
        if not parts:
            del self._parts_by_life[life]


__all__ = ["MAX_PARTS_OF_PROMPT", "PartHold", "PartLedger", "PartLoss"]
