"""Tests group commit against a log that loses answers, delays, throttles and fails.

Two appenders share one stream. The oracle reads the whole log and compares it with the
result that each appender reported for each record.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err

from corianderrelay.state.append_payload import RecordReader
from corianderrelay.state.append_queue import (
    AppendLimits,
    AppendQueue,
    ReadBack,
    RecordResult,
    SendAppend,
    WaitUntil,
)
from corianderrelay.state.errors import LogAnswerLostError

_LIMITS = AppendLimits(
    records_per_append=3, queued_records=8, slow_after_s=1.0, lost_append_timeout_s=10.0
)
_ENTRIES_PER_PAGE = 2
_RETRY_AFTER_S = 1.0
_DRAIN_STEPS = 400
_STEP_S = 0.02
_APPENDERS = st.integers(0, 1)


@dataclass
class _Appender:
    queue: AppendQueue
    action: SendAppend | ReadBack | None = None
    tickets: dict[int, bytes] = field(default_factory=dict)
    results: dict[int, Any] = field(default_factory=dict)


class GroupCommitMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.log: list[bytes] = []
        self.delayed: list[bytes] = []
        self.unavailable_until = 0.0
        self.records = 0
        self.appenders = [
            _Appender(AppendQueue(name, _LIMITS)) for name in ("one", "two")
        ]

    @rule(index=_APPENDERS, count=st.integers(1, 5))
    def submit(self, index: int, count: int) -> None:
        appender = self.appenders[index]
        for _ in range(count):
            record = f"record {self.records}".encode()
            self.records += 1
            submitted = appender.queue.submit(record, self.now)
            if not isinstance(submitted, Err):
                appender.tickets[submitted.ok_value] = record
            else:
                assert submitted.err_value.retry_after_s is not None
        assert len(appender.queue) <= (
            _LIMITS.queued_records + _LIMITS.records_per_append
        )

    @rule(seconds=st.sampled_from([0.5, 1.5, 11.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(index=_APPENDERS)
    def act(self, index: int) -> None:
        appender = self.appenders[index]
        if appender.action is not None:
            return
        self.now += _STEP_S
        action = appender.queue.next_action(self.now)
        if isinstance(action, WaitUntil):
            assert action.at > self.now
        elif action is not None:
            appender.action = action

    @rule(index=_APPENDERS, delayed_first=st.booleans())
    def answer(self, index: int, delayed_first: bool) -> None:
        """A call reaches the log, possibly after a delayed append, and is answered."""
        self.act(index)
        if delayed_first:
            self.delayed_append_arrives()
        appender = self.appenders[index]
        action, appender.action = appender.action, None
        if action is None:
            return
        if self.now < self.unavailable_until:
            self._record_results(
                appender, appender.queue.on_unavailable(_RETRY_AFTER_S, self.now)
            )
        elif isinstance(action, SendAppend):
            self.log.append(action.payload)
            offset = len(self.log) - 1
            self._record_results(appender, appender.queue.on_appended(offset, self.now))
        else:
            page = list(enumerate(self.log))[action.offset :][:_ENTRIES_PER_PAGE]
            end = page[-1][0] + 1 if page else action.offset
            self._record_results(appender, appender.queue.on_page(end, page, self.now))

    @rule(index=_APPENDERS, effect=st.sampled_from(["kept", "dropped", "late", "late"]))
    def lose_answer(self, index: int, effect: str) -> None:
        """The answer to an append is lost; the append is kept, dropped or delayed."""
        self.act(index)
        appender = self.appenders[index]
        if not isinstance(appender.action, SendAppend):
            return
        action, appender.action = appender.action, None
        {"kept": self.log, "late": self.delayed, "dropped": []}[effect].append(
            action.payload
        )
        self._record_results(appender, appender.queue.on_answer_lost(self.now))

    @rule()
    def delayed_append_arrives(self) -> None:
        if self.delayed:
            self.log.append(self.delayed.pop(0))

    @rule(index=_APPENDERS, retry_after_s=st.sampled_from([0.0, 0.003, 2.0]))
    def throttle(self, index: int, retry_after_s: float) -> None:
        appender = self.appenders[index]
        if isinstance(appender.action, SendAppend):
            appender.action = None
            appender.queue.on_throttled(retry_after_s, self.now)

    @rule(seconds=st.sampled_from([0.1, 5.0]))
    def outage(self, seconds: float) -> None:
        self.unavailable_until = self.now + seconds

    @invariant()
    def acknowledged_records_are_at_reported_position(self) -> None:
        positions = self._positions_by_record()
        for appender in self.appenders:
            for ticket, outcome in appender.results.items():
                found = positions.get(appender.tickets[ticket])
                if not isinstance(outcome, Err):
                    assert found == [outcome.ok_value], (found, outcome)
                elif not isinstance(outcome.err_value, LogAnswerLostError):
                    assert (
                        found is None
                    ), "reported as not appended, but the record is in the log"

    def teardown(self) -> None:
        """Once faults stop, every record is resolved, also after delayed appends."""
        self.unavailable_until = 0.0
        for _ in range(_DRAIN_STEPS):
            self.wait(0.1)
            for index in range(len(self.appenders)):
                self.answer(index, delayed_first=False)
        self.log += self.delayed
        self.acknowledged_records_are_at_reported_position()
        for appender in self.appenders:
            assert (
                appender.results.keys() == appender.tickets.keys()
            ), "records without a result"
        assert all(len(found) == 1 for found in self._positions_by_record().values())

    def _record_results(self, appender: _Appender, results: list[RecordResult]) -> None:
        for resolved in results:
            assert (
                resolved.ticket not in appender.results
            ), "a record was resolved twice"
            appender.results[resolved.ticket] = resolved.outcome

    def _positions_by_record(self) -> dict[bytes, list[Any]]:
        reader = RecordReader()
        positions: dict[bytes, list[Any]] = {}
        for offset, data in enumerate(self.log):
            for read in reader.read(offset, data).unwrap():
                positions.setdefault(read.record, []).append(read.position)
        return positions


__all__ = ["GroupCommitMachine"]
