"""Runs the attempts of one retryable request up to a complete answer or a typed error.

Methods take events and return orders. Frames that carry the id of an earlier attempt
are dropped. The answer is complete only when the chunk count and digest of the current
attempt's end frame match the chunks received. After a failure, a new attempt on another
runner resumes after the last token that the caller has received.

A request whose runner is stalled gets a second attempt, the takeover, beside the
current one. The first of the two that sends a chunk or an end continues, and the other
one is cancelled: a stalled runner may go on, and the other one may refuse.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .answer_assembly import AnswerAssembly, AnswerHead, ChunkPosition, EndCheck
from .attempt_orders import (
    AcknowledgeAttempt,
    AttachAttempt,
    AttemptOrder,
    BeginAttempt,
    CancelAttempt,
    FailAnswer,
    FinishAnswer,
    StartAnswer,
    WriteAnswer,
)
from .errors import (
    DeadlineExceededError,
    EndpointFailedError,
    OutcomeUnknownError,
    OverloadedError,
    Ran,
    RelayError,
    UnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .retry_budget import RetryBudget

_MAX_FAILED_ATTEMPTS = 2
_MAX_REFUSALS = 4
_MAX_STALLS = 2
_CHUNKS_PER_ACKNOWLEDGEMENT = 32
# Below the unacknowledged bytes at which an agent stops reading from its endpoint.
_BYTES_PER_ACKNOWLEDGEMENT = 65_536
_DEFAULT_RETRY_AFTER_S = 1.0
_TAKEOVER_PAUSE_S = 1.0  # after a refused takeover; small against the time to a stall


class _Takeover:
    """An attempt that runs beside the current one and has sent nothing yet.

    :ivar attach_requested: whether frames were requested again; if so, a refusal does
        not prove that the runner did not run the attempt.
    """

    __slots__ = ("attempt_id", "runner_id", "attach_requested")

    def __init__(self, attempt_id: str, runner_id: str) -> None:
        self.attempt_id = attempt_id
        self.runner_id = runner_id
        self.attach_requested = False


class RunnerChooser(Protocol):
    """Chooses the runner of the next attempt."""

    def choose(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner outside ``excluded``, or ``None`` if there is none."""


class RequestAttempts:
    """State machine of the attempts of one request.

    :param deadline_s: monotonic time by which the answer must be complete.
    :param chooser: chooses the runner of each attempt.
    :param budget: the entry's retry budget.
    :param new_id: returns a new unique identifier at each call.
    """

    __slots__ = (
        "_deadline_s",
        "_chooser",
        "_budget",
        "_new_id",
        "_answer",
        "_excluded",
        "_refusals",
        "_stalls",
        "_retry_after_s",
        "_may_have_run",
        "_requested_sequence",
        "_unacknowledged_bytes",
        "_takeover",
        "_takeover_refused_at",
        "_refused_takeovers_at",
        "attempts",
        "attempt_id",
        "runner_id",
        "is_finished",
    )

    def __init__(
        self,
        deadline_s: float,
        chooser: RunnerChooser,
        budget: RetryBudget,
        new_id: Callable[[], str],
    ) -> None:
        self._deadline_s = deadline_s
        self._chooser = chooser
        self._budget = budget
        self._new_id = new_id
        self._answer = AnswerAssembly()
        self._excluded: frozenset[str] = frozenset()
        self._refusals = 0
        self._stalls = 0
        self._retry_after_s = _DEFAULT_RETRY_AFTER_S
        self._may_have_run = False
        self._requested_sequence = -1
        self._unacknowledged_bytes = 0
        self._takeover: _Takeover | None = None
        self._takeover_refused_at = float("-inf")
        self._refused_takeovers_at: frozenset[str] = frozenset()
        self.attempts = 0
        self.attempt_id = ""
        self.runner_id = ""
        self.is_finished = False

    @property
    def tokens(self) -> int:
        """Number of answer tokens released to the caller."""
        return self._answer.tokens

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the answer that are not released yet."""
        return self._answer.buffered_bytes

    @property
    def started(self) -> bool:
        """Whether a part of the answer has been released to the caller."""
        return self._answer.released

    @property
    def has_current_chunks(self) -> bool:
        """Whether a chunk of the current attempt has arrived; false once finished."""
        return not self.is_finished and self._answer.next_sequence > 0

    @property
    def takeover_runner_id(self) -> str:
        """The runner of the takeover that waits for a first frame; empty if none."""
        return "" if self._takeover is None else self._takeover.runner_id

    def start(self, now: float) -> list[AttemptOrder]:
        """Add the request to the retry budget and begin its first attempt."""
        self._budget.on_request_started()
        return self._begin_attempt(now)

    def on_attempt_refused(
        self, attempt_id: str, retry_after_s: float, now: float
    ) -> list[AttemptOrder]:
        """Handle a refusal: begin an attempt at another runner without delay.

        A refusal after an :class:`AttachAttempt` or a chunk means that the runner no
        longer has the attempt; this counts as a failure.
        """
        if self._is_takeover(attempt_id):
            return self._on_takeover_refused(now)
        if not self._is_current(attempt_id):
            return []
        if self._requested_sequence >= 0 or self._answer.next_sequence:
            return self._retry("its instance no longer has the attempt", now)
        self._refusals += 1
        self._retry_after_s = max(self._retry_after_s, retry_after_s)
        self._exclude_runner()
        if self._continue_with_takeover():
            return []
        if self._refusals >= _MAX_REFUSALS:
            return self._fail(self._overloaded_error())
        return self._begin_attempt(now)

    def on_attempt_chunk(
        self, attempt_id: str, sequence: int, data: bytes, tokens: int, head: AnswerHead
    ) -> list[AttemptOrder]:
        """Handle a chunk of the answer; request any missing chunks before it."""
        if self._is_takeover(attempt_id):
            cancel = self._cancel_current()
            self._continue_with_takeover()
            rest = self.on_attempt_chunk(attempt_id, sequence, data, tokens, head)
            return [cancel, *rest]
        if not self._is_current(attempt_id):
            return []
        position = self._answer.position_of(sequence)
        if position is ChunkPosition.GAP:
            return self._attach_unless_requested()
        if position is ChunkPosition.REPEATED:
            return []
        self._requested_sequence = -1
        was_released = self._answer.released
        released_data = self._answer.add(data, tokens, head)
        return [
            *self._cancel_takeover(),
            *self._write_answer(released_data, was_released),
            *self._acknowledge(sequence, len(data)),
        ]

    def on_attempt_ended(
        self, attempt_id: str, chunks: int, digest: int, now: float
    ) -> list[AttemptOrder]:
        """Handle an end frame; finish the answer if its chunks match the frame."""
        if self._is_takeover(attempt_id):
            cancel = self._cancel_current()
            self._continue_with_takeover()
            return [cancel, *self.on_attempt_ended(attempt_id, chunks, digest, now)]
        if not self._is_current(attempt_id):
            return []
        end = self._answer.check_end(chunks, digest)
        if end is EndCheck.MISSING:
            return self._attach_unless_requested()
        if end is EndCheck.CORRUPT:
            return self._on_corrupt_answer(now)
        self.is_finished = True
        was_released = self._answer.released
        return [
            *self._cancel_takeover(),
            *self._write_answer(self._answer.release(), was_released),
            AcknowledgeAttempt(self.attempt_id, self.runner_id, chunks),
            FinishAnswer(),
        ]

    def on_attempt_failed(
        self, attempt_id: str, detail: str, now: float
    ) -> list[AttemptOrder]:
        """Handle the failure of a started attempt; retry if the limits allow it."""
        if self._is_takeover(attempt_id):
            return self._on_takeover_lost()
        if not self._is_current(attempt_id):
            return []
        return self._retry(detail, now)

    def on_runner_unavailable(self, runner_id: str, now: float) -> list[AttemptOrder]:
        """Cancel the attempt because its runner is dead or unreachable, and retry."""
        if not self.is_finished and runner_id == self.takeover_runner_id:
            return [*self._cancel_takeover(), *self._on_takeover_lost()]
        if self.is_finished or runner_id != self.runner_id:
            return []
        cancel = CancelAttempt(self.attempt_id, runner_id)
        return [cancel, *self._retry("its instance is unavailable", now)]

    def on_runner_stalled(self, runner_id: str, now: float) -> list[AttemptOrder]:
        """Begin a takeover because this runner is alive but sends no chunks.

        The attempt at this runner continues beside it. Without another runner or retry
        budget there is no takeover until a later call.
        """
        if self.is_finished or runner_id != self.runner_id or not self._may_take_over():
            return []
        if now - self._takeover_refused_at < _TAKEOVER_PAUSE_S:
            return []
        other = self._choose_for_takeover(now)
        if other is None or not self._budget.take_for_stalled(now):
            return []
        self._stalls += 1
        self.attempts += 1
        self._takeover = _Takeover(self._new_id(), other)
        return [BeginAttempt(self._takeover.attempt_id, other, self._answer.tokens)]

    def _choose_for_takeover(self, now: float) -> str | None:
        excluded = self._excluded | {self.runner_id}
        other = self._chooser.choose(excluded | self._refused_takeovers_at, now)
        if other is None and self._refused_takeovers_at:
            self._refused_takeovers_at = frozenset()
            other = self._chooser.choose(excluded, now)
        return other

    def _on_takeover_refused(self, now: float) -> list[AttemptOrder]:
        takeover = self._takeover
        assert takeover is not None, "only a takeover in flight can be refused"
        if takeover.attach_requested:
            return self._on_takeover_lost()
        self._takeover = None
        self._takeover_refused_at = now
        self._refused_takeovers_at |= {takeover.runner_id}
        self._stalls -= 1
        self.attempts -= 1
        return []

    def _on_takeover_lost(self) -> list[AttemptOrder]:
        """Drop a takeover that may have run; the current attempt continues."""
        if self._takeover is not None:
            self._excluded |= {self._takeover.runner_id}
            self._takeover = None
        self._may_have_run = True
        return []

    def _continue_with_takeover(self) -> bool:
        """Make the takeover the current attempt; return whether there was one."""
        takeover, self._takeover = self._takeover, None
        if takeover is None:
            return False
        self._exclude_runner()
        self.attempt_id = takeover.attempt_id
        self.runner_id = takeover.runner_id
        self._requested_sequence = -1
        self._answer.begin_attempt()
        return True

    def _cancel_current(self) -> CancelAttempt:
        self._may_have_run = True
        return CancelAttempt(self.attempt_id, self.runner_id)

    def _cancel_takeover(self) -> list[AttemptOrder]:
        takeover, self._takeover = self._takeover, None
        if takeover is None:
            return []
        self._may_have_run = True
        self._excluded |= {takeover.runner_id}
        return [CancelAttempt(takeover.attempt_id, takeover.runner_id)]

    def on_stream_replaced(self, runner_id: str) -> list[AttemptOrder]:
        """Request the frames that were lost with a stream that has been replaced."""
        if not self.is_finished and runner_id == self.takeover_runner_id:
            return self._attach_takeover()
        if self.is_finished or runner_id != self.runner_id:
            return []
        return [self._attach()]

    def fail_if_deadline_passed(self, now: float) -> list[AttemptOrder]:
        """Cancel the attempt and fail the request if its deadline has passed."""
        if self.is_finished or now < self._deadline_s:
            return []
        return self._cancel_and_fail(
            DeadlineExceededError,
            "the deadline passed before the answer was complete",
            "send the request again, or ask the operator for a longer timeout",
        )

    def fail_as_too_long(self) -> list[AttemptOrder]:
        """Cancel the attempts, as the entry has no room for the answer."""
        if self.is_finished:
            return []
        return self._cancel_and_fail(
            EndpointFailedError,
            "the answer has no end in sight, and the entry holds too many bytes",
            "send the request again, streamed if its answer is long",
        )

    def fail_as_stopping(self) -> list[AttemptOrder]:
        """Cancel the attempt and fail the request, as this process exits."""
        if self.is_finished:
            return []
        not_run = self._execution_status() is Ran.NO
        return self._cancel_and_fail(
            UnavailableError if not_run else OutcomeUnknownError,
            "the entry stops before the answer is complete",
            "send the request to another entry",
        )

    def _cancel_and_fail(
        self, error_type: type[RelayError], reason: str, remedy: str
    ) -> list[AttemptOrder]:
        cancel = CancelAttempt(self.attempt_id, self.runner_id)
        cancel_takeover = self._cancel_takeover()
        error = error_type(
            reason,
            remedy,
            ran=self._execution_status(),
            retry_after_s=self._retry_after_s,
        )
        return [cancel, *cancel_takeover, *self._fail(error)]

    def on_client_disconnected(self) -> list[AttemptOrder]:
        """Cancel the attempt because the caller has disconnected."""
        if self.is_finished:
            return []
        self.is_finished = True
        cancel = CancelAttempt(self.attempt_id, self.runner_id)
        return [cancel, *self._cancel_takeover()]

    def _is_takeover(self, attempt_id: str) -> bool:
        takeover = self._takeover
        return takeover is not None and attempt_id == takeover.attempt_id

    def _is_current(self, attempt_id: str) -> bool:
        return not self.is_finished and attempt_id == self.attempt_id

    def _begin_attempt(self, now: float) -> list[AttemptOrder]:
        runner_id = self._chooser.choose(self._excluded, now)
        if runner_id is None:
            return self._fail(self._no_runner_error())
        return self._begin_attempt_at(runner_id)

    def _begin_attempt_at(self, runner_id: str) -> list[AttemptOrder]:
        self.attempts += 1
        self.attempt_id = self._new_id()
        self.runner_id = runner_id
        self._requested_sequence = -1
        self._answer.begin_attempt()
        return [BeginAttempt(self.attempt_id, runner_id, self._answer.tokens)]

    def _retry(self, detail: str, now: float) -> list[AttemptOrder]:
        self._may_have_run = True
        self._exclude_runner()
        if self._continue_with_takeover():
            return []
        if not self._may_retry() or not self._budget.take():
            return self._fail(self._endpoint_failed_error(detail))
        return self._begin_attempt(now)

    def _may_retry(self) -> bool:
        # _MAX_FAILED_ATTEMPTS limits how many engines one request may crash. Refusals
        # and stalls crash no engine, so they do not count.
        failures = self.attempts - self._refusals - self._stalls
        return failures < _MAX_FAILED_ATTEMPTS and self._answer.resumable

    def _may_take_over(self) -> bool:
        return (
            self._takeover is None
            and self._stalls < _MAX_STALLS
            and self._answer.resumable
        )

    def _on_corrupt_answer(self, now: float) -> list[AttemptOrder]:
        if self._answer.released:
            self._may_have_run = True
            return self._fail(
                self._endpoint_failed_error("its answer arrived corrupted")
            )
        return self._retry("its answer arrived corrupted", now)

    def _write_answer(self, data: bytes, was_released: bool) -> list[AttemptOrder]:
        if not self._answer.released:
            return []
        head = self._answer.head or AnswerHead(200, "")
        start = [] if was_released else [StartAnswer(head.status, head.content_type)]
        return [*start, *([WriteAnswer(data)] if data else [])]

    def _acknowledge(self, sequence: int, received_bytes: int) -> list[AttemptOrder]:
        self._unacknowledged_bytes += received_bytes
        if (
            self._answer.next_sequence % _CHUNKS_PER_ACKNOWLEDGEMENT
            and self._unacknowledged_bytes < _BYTES_PER_ACKNOWLEDGEMENT
        ):
            return []
        self._unacknowledged_bytes = 0
        return [AcknowledgeAttempt(self.attempt_id, self.runner_id, sequence)]

    def _attach_unless_requested(self) -> list[AttemptOrder]:
        if self._requested_sequence == self._answer.next_sequence:
            return []
        return [self._attach()]

    def _attach_takeover(self) -> list[AttemptOrder]:
        takeover = self._takeover
        if takeover is None:
            return []
        takeover.attach_requested = True
        return [AttachAttempt(takeover.attempt_id, takeover.runner_id, -1)]

    def _attach(self) -> AttachAttempt:
        self._requested_sequence = self._answer.next_sequence
        after = self._answer.next_sequence - 1
        return AttachAttempt(self.attempt_id, self.runner_id, after)

    def _exclude_runner(self) -> None:
        self._excluded |= {self.runner_id}

    def _fail(self, error: RelayError) -> list[AttemptOrder]:
        self.is_finished = True
        self._takeover = None
        return [FailAnswer(error)]

    def _execution_status(self) -> Ran:
        has_unrefused_attempt = self.attempts > self._refusals
        return Ran.UNKNOWN if self._may_have_run or has_unrefused_attempt else Ran.NO

    def _overloaded_error(self) -> RelayError:
        return self._not_served_error(
            OverloadedError, "the endpoints of the service are overloaded"
        )

    def _no_runner_error(self) -> RelayError:
        if self._refusals:
            return self._overloaded_error()
        return self._not_served_error(
            UnavailableError, "no endpoint of the service is reachable"
        )

    def _not_served_error(
        self, error_type: type[RelayError], reason: str
    ) -> RelayError:
        """Return an error that states a status of 503 only if nothing has run."""
        if self._may_have_run:
            return self._endpoint_failed_error(f"a retry is not possible: {reason}")
        return error_type(
            reason,
            f"send the request again after {self._retry_after_s:.0f} s",
            ran=Ran.NO,
            retry_after_s=self._retry_after_s,
        )

    def _endpoint_failed_error(self, detail: str) -> RelayError:
        return EndpointFailedError(
            f"the endpoint failed: {detail}",
            f"send the request again after {self._retry_after_s:.0f} s",
            ran=Ran.UNKNOWN,
            retry_after_s=self._retry_after_s,
        )


__all__ = ["RequestAttempts", "RunnerChooser"]
