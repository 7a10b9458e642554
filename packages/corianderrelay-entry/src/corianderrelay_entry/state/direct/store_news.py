"""What entries tell each other of the platform's log, so that few have to read it.

One entry reads for all. The others ask it, or the first entry of their availability
zone, which asks it in turn. The question bears the asking entry's clock, and what the
answer confirms counts from the moment of the question. So neither a message that is
delayed nor an entry that was suspended makes news look younger than they are. An entry
whose news are too old reads for itself.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .log_position import LogPosition
    from .runner_list import RegisteredRunner

_MAX_CHANGES = 512  # bounds memory; an entry that misses more reads all runners again
_MAX_CHANGES_PER_ANSWER = 128  # bounds a datagram
_ASKED_S = 3.0  # an entry reads for others until nobody has asked it for so long


@dataclass(frozen=True, slots=True)
class StoreQuestion:
    """An entry's question for what is new.

    :param asked_at: the asking entry's clock in seconds, including suspended time; the
        answer repeats it.
    :param runner_position: the position up to which the asking entry knows the
        runners; ``None`` if it knows none.
    :param others_failed: whether entries before this one in line did not answer, or
        could not read the log.
    """

    entry_id: str
    asked_at: float
    runner_position: LogPosition | None
    others_failed: bool


@dataclass(frozen=True, slots=True)
class RunnerChange:
    """A runner's record that was added, changed or removed (``None``)."""

    runner_id: str
    runner: RegisteredRunner | None


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """What an entry knows of the log; ages are in seconds before the answer.

    :param config_position: position after the configuration that the entry has read.
    :param config_age_s: age of the confirmation that nothing follows this position.
    :param config_read_again_s: how long ago the entry had to read the newest
        configuration anew, as the log had lost records.
    :param runner_position: position up to which it has read the runners' records.
    :param runners_read_again_s: the same for the runners' records.
    :param removal_delay_s: seconds for which removals are delayed after an outage.
    :param changes: runners that changed since the position of the question; ``None``
        if the entry does not know them all.
    :param quarantine_position: position up to which it has read the quarantines;
        ``None`` if it has not.
    """

    entry_id: str
    asked_at: float
    config_position: LogPosition
    config_age_s: float
    config_read_again_s: float
    runner_position: LogPosition
    runner_age_s: float
    runners_read_again_s: float
    removal_delay_s: float
    changes: tuple[RunnerChange, ...] | None
    quarantine_position: LogPosition | None


class RunnerChangeLog:
    """The latest changes of runners, by the position up to which they were read."""

    __slots__ = ("_changes", "_known_from")

    def __init__(self) -> None:
        self._changes: deque[tuple[LogPosition, RunnerChange]] = deque()
        self._known_from: LogPosition | None = None

    def restart(self, position: LogPosition) -> None:
        """Start over after all records up to a position were read at once."""
        self._changes.clear()
        self._known_from = position

    def add(
        self, changes: Mapping[str, RegisteredRunner | None], position: LogPosition
    ) -> None:
        """Add changes that were read up to a position."""
        for runner_id, runner in changes.items():
            self._changes.append((position, RunnerChange(runner_id, runner)))
        while len(self._changes) > _MAX_CHANGES:
            self._known_from, _ = self._changes.popleft()

    def since(self, position: LogPosition | None) -> tuple[RunnerChange, ...] | None:
        """Return the changes after a position; ``None`` if some are not known."""
        known_from = self._known_from
        if position is None or known_from is None:
            return None
        if not position.is_at_or_after(known_from):
            return None
        changes = tuple(
            change for end, change in self._changes if not position.is_at_or_after(end)
        )
        return changes if len(changes) <= _MAX_CHANGES_PER_ANSWER else None


class ReadDuty:
    """Whether this entry reads the log for others.

    :ivar shared: whether entries read for each other at all.
    """

    __slots__ = ("shared", "_position", "_asked_at")

    def __init__(self) -> None:
        self.shared = False
        self._position = 0
        self._asked_at = float("-inf")

    def set_position(self, position: int, *, shared: bool) -> None:
        """Set this entry's position in line, 0 for the one that reads."""
        self._position, self.shared = position, shared

    def on_asked(self, now: float) -> None:
        """Record that another entry relies on this one, as others have failed."""
        self._asked_at = now

    def reads(self, now: float) -> bool:
        """Return whether this entry reads now."""
        if not self.shared or self._position == 0:
            return True
        return now - self._asked_at <= _ASKED_S


class Confirmation:
    """When what an entry has read was last known to be the newest.

    Times are seconds on a clock that includes suspended time.

    :param max_age_s: age from which the entry reads for itself.
    :ivar confirmed_at: the moment of the latest confirmation.
    :ivar read_all_at: when the entry last read all newest records.
    """

    __slots__ = ("confirmed_at", "read_all_at", "read_again_at", "max_age_s")

    def __init__(self, max_age_s: float) -> None:
        self.max_age_s = max_age_s
        self.confirmed_at = float("-inf")
        self.read_all_at = float("-inf")
        self.read_again_at = float("-inf")

    def record(self, confirmed_at: float) -> None:
        """Record that what is known was the newest at a moment."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def record_all_read(self, requested_at: float) -> None:
        """Record that all newest records were read."""
        self.read_all_at = requested_at
        self.record(requested_at)

    def record_loss(self, now: float) -> None:
        """Record that the log has lost records that were not read."""
        self.read_again_at = now

    def is_old(self, now: float) -> bool:
        """Return whether the entry should read for itself now."""
        return now - self.confirmed_at > self.max_age_s

    def lost_since(self, answered_at: float, read_again_s: float) -> bool:
        """Return whether the log lost records after all of them were read here.

        :param answered_at: a moment not later than the answer.
        :param read_again_s: how long before the answer another entry noticed it.
        """
        return answered_at - read_again_s > self.read_all_at


__all__ = [
    "Confirmation",
    "ReadDuty",
    "RunnerChange",
    "RunnerChangeLog",
    "StoreAnswer",
    "StoreQuestion",
]
