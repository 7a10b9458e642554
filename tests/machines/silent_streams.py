"""Random streams whose runners fall silent, reject, fail or go on at any moment.

Guards against streams that are cut, doubled or joined wrongly when a takeover runs
beside an attempt that is silent but sound.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from corianderrelay_entry.state.direct.call import RunnerHead
from corianderrelay_entry.state.direct.catalog import RequestKind

_EVENTS = 12
_MAX_STEPS = 60
_FAILURES = ("disconnected", "unsigned 200", "complete 500")


class _Caller(Protocol):
    attempts: Any
    in_flight: list[str]
    data: bytes
    complete: bool
    aborted: bool
    status: int | None
    sent_attempts: list[Any]

    def apply_actions(self, actions: list[Any]) -> None: ...

    def end_attempt(self, runner_id: str) -> None: ...

    def play_outcome(self, outcome: str, now: float, runner_id: str) -> None: ...


def _event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class _Stream:
    """The position of each runner in the stream that it sends."""

    def __init__(self, caller: _Caller, random: Random) -> None:
        self._caller = caller
        self._random = random
        self._next_by_runner: dict[str, int] = {}
        self._head_sent: set[str] = set()
        self._seen_attempts = 0
        self.note_started()

    def note_started(self) -> None:
        """Let the runners of new attempts begin where they were asked to."""
        for attempt in self._caller.sent_attempts[self._seen_attempts :]:
            first = int(attempt.resume_after or 0) + 1
            self._next_by_runner[attempt.runner_id] = first
            self._head_sent.discard(attempt.runner_id)
        self._seen_attempts = len(self._caller.sent_attempts)

    def advance(self, runner_id: str, now: float) -> None:
        """Let a runner send its next event, or the end."""
        caller = self._caller
        if runner_id not in self._head_sent:
            self._head_sent.add(runner_id)
            head = RunnerHead(200, signed=True)
            caller.apply_actions(caller.attempts.head(runner_id, head, now))
        number = self._next_by_runner[runner_id]
        if number > _EVENTS:
            caller.end_attempt(runner_id)
            caller.apply_actions(caller.attempts.response_ended(runner_id, now))
            return
        self._next_by_runner[runner_id] = number + 1
        event = _event(number)
        split = self._random.randint(0, len(event))
        for part in (event[:split], event[split:]):
            caller.apply_actions(caller.attempts.data(runner_id, part, now))

    def can_reject(self, runner_id: str) -> bool:
        """Whether a runner has sent nothing yet."""
        return runner_id not in self._head_sent


def run_random_stream(
    create_caller: Callable[[RequestKind, int], _Caller], random: Random
) -> str:
    """Play one stream; return ``complete``, ``cut``, ``refused`` or ``open``."""
    caller = create_caller(RequestKind.STREAM, random.choice([2, 3]))
    caller.apply_actions(caller.attempts.start(0.0))
    stream = _Stream(caller, random)
    for step in range(_MAX_STEPS):
        if caller.attempts.finished:
            break
        now = 0.1 * step
        runner_id = random.choice(caller.in_flight)
        others = [each for each in caller.in_flight if each != runner_id]
        action = random.choices(
            ["event", "stalled", "rejected 503", "unreachable", "failure"],
            [12, 4, 2, 1, 1],
        )[0]
        if action == "event":
            stream.advance(runner_id, now)
        elif action == "stalled":
            caller.apply_actions(caller.attempts.stalled(now))
        elif action == "failure":
            caller.play_outcome(random.choice(_FAILURES), now, runner_id)
        elif stream.can_reject(runner_id):
            caller.play_outcome(action, now, runner_id)
        stream.note_started()
        _check(caller, others)
    return _outcome(caller)


def _check(caller: _Caller, others: list[str]) -> None:
    if caller.status in (None, 200):
        expected = b"".join(_event(number) for number in range(1, _EVENTS + 1))
        assert expected.startswith(caller.data), caller.data
        assert not caller.complete or caller.data == expected, "completed too early"
    assert caller.attempts.sends <= 3
    if caller.aborted or caller.status in (500, 502, 503):
        assert not others, "cut while another attempt was in flight"
    if not caller.attempts.finished:
        assert 1 <= len(caller.in_flight) <= 2
    else:
        assert not caller.in_flight, "an attempt was not cancelled"


def _outcome(caller: _Caller) -> str:
    if caller.complete and caller.status == 200:
        return "complete"
    if caller.aborted:
        return "cut"
    return "refused" if caller.status is not None else "open"


__all__ = ["run_random_stream"]
