"""Runs the attempts of one retryable request up to a complete answer or a typed error.

Methods take events and return orders. Frames that carry the id of an earlier attempt
are dropped. The answer is complete only when the chunk count and digest of the current
attempt's end frame match the chunks received. After a failure, a new attempt on another
runner resumes after the last token that the caller has received.
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
_DEFAULT_RETRY_AFTER_S = 1.0


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
        self.attempts = 0
        self.attempt_id = ""
        self.runner_id = ""
        self.is_finished = False

    @property
    def tokens(self) -> int:
        """Number of answer tokens released to the caller."""
        return self._answer.tokens

    @property
    def started(self) -> bool:
        """Whether a part of the answer has been released to the caller."""
        return self._answer.released

    @property
    def has_current_chunks(self) -> bool:
        """Whether a chunk of the current attempt has arrived; false once finished."""
        return not self.is_finished and self._answer.next_sequence > 0

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
        if not self._is_current(attempt_id):
            return []
        if self._requested_sequence >= 0 or self._answer.next_sequence:
            return self._retry("its instance no longer has the attempt", now)
        self._refusals += 1
        self._retry_after_s = max(self._retry_after_s, retry_after_s)
        self._exclude_runner()
        if self._refusals >= _MAX_REFUSALS:
            return self._fail(self._overloaded_error())
        return self._begin_attempt(now)

    def on_attempt_chunk(
        self, attempt_id: str, sequence: int, data: bytes, tokens: int, head: AnswerHead
    ) -> list[AttemptOrder]:
        """Handle a chunk of the answer; request any missing chunks before it."""
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
            *self._write_answer(released_data, was_released),
            *self._acknowledge(sequence),
        ]

    def on_attempt_ended(
        self, attempt_id: str, chunks: int, digest: int, now: float
    ) -> list[AttemptOrder]:
        """Handle an end frame; finish the answer if its chunks match the frame."""
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
            *self._write_answer(self._answer.release(), was_released),
            AcknowledgeAttempt(self.attempt_id, self.runner_id, chunks),
            FinishAnswer(),
        ]

    def on_attempt_failed(
        self, attempt_id: str, detail: str, now: float
    ) -> list[AttemptOrder]:
        """Handle the failure of a started attempt; retry if the limits allow it."""
        if not self._is_current(attempt_id):
            return []
        return self._retry(detail, now)

    def on_runner_unavailable(self, runner_id: str, now: float) -> list[AttemptOrder]:
        """Cancel the attempt because its runner is dead or unreachable, and retry."""
        if self.is_finished or runner_id != self.runner_id:
            return []
        cancel = CancelAttempt(self.attempt_id, runner_id)
        return [cancel, *self._retry("its instance is unavailable", now)]

    def on_runner_stalled(self, runner_id: str, now: float) -> list[AttemptOrder]:
        """Resume on another runner because this one is alive but sends no chunks.

        Without another runner or retry budget the attempt continues at this runner,
        which may still send chunks, until the next call.
        """
        if (
            self.is_finished
            or runner_id != self.runner_id
            or not self._may_move_from_stalled()
        ):
            return []
        other = self._chooser.choose(self._excluded | {runner_id}, now)
        if other is None or not self._budget.take_for_stalled(now):
            return []
        cancel = CancelAttempt(self.attempt_id, runner_id)
        self._stalls += 1
        self._may_have_run = True
        self._exclude_runner()
        return [cancel, *self._begin_attempt_at(other)]

    def on_stream_replaced(self, runner_id: str) -> list[AttemptOrder]:
        """Request the frames that were lost with a stream that has been replaced."""
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
        error = error_type(
            reason,
            remedy,
            ran=self._execution_status(),
            retry_after_s=self._retry_after_s,
        )
        return [cancel, *self._fail(error)]

    def on_client_disconnected(self) -> list[AttemptOrder]:
        """Cancel the attempt because the caller has disconnected."""
        if self.is_finished:
            return []
        self.is_finished = True
        return [CancelAttempt(self.attempt_id, self.runner_id)]

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
        if not self._may_retry() or not self._budget.take():
            return self._fail(self._endpoint_failed_error(detail))
        return self._begin_attempt(now)

    def _may_retry(self) -> bool:
        # _MAX_FAILED_ATTEMPTS limits how many engines one request may crash. Refusals
        # and stalls crash no engine, so they do not count.
        failures = self.attempts - self._refusals - self._stalls
        return failures < _MAX_FAILED_ATTEMPTS and self._answer.resumable

    def _may_move_from_stalled(self) -> bool:
        return self._stalls < _MAX_STALLS and self._answer.resumable

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

    def _acknowledge(self, sequence: int) -> list[AttemptOrder]:
        if self._answer.next_sequence % _CHUNKS_PER_ACKNOWLEDGEMENT:
            return []
        return [AcknowledgeAttempt(self.attempt_id, self.runner_id, sequence)]

    def _attach_unless_requested(self) -> list[AttemptOrder]:
        if self._requested_sequence == self._answer.next_sequence:
            return []
        return [self._attach()]

    def _attach(self) -> AttachAttempt:
        self._requested_sequence = self._answer.next_sequence
        after = self._answer.next_sequence - 1
        return AttachAttempt(self.attempt_id, self.runner_id, after)

    def _exclude_runner(self) -> None:
        self._excluded |= {self.runner_id}

    def _fail(self, error: RelayError) -> list[AttemptOrder]:
        self.is_finished = True
        return [FailAnswer(error)]

    def _execution_status(self) -> Ran:
        has_unrefused_attempt = self.attempts > self._refusals
        return Ran.UNKNOWN if self._may_have_run or has_unrefused_attempt else Ran.NO

    def _overloaded_error(self) -> RelayError:
        return OverloadedError(
            "the endpoints of the service are overloaded",
            f"send the request again after {self._retry_after_s:.0f} s",
            ran=Ran.UNKNOWN if self._may_have_run else Ran.NO,
            retry_after_s=self._retry_after_s,
        )

    def _no_runner_error(self) -> RelayError:
        if self._refusals:
            return self._overloaded_error()
        return UnavailableError(
            "no endpoint of the service is reachable",
            f"send the request again after {self._retry_after_s:.0f} s",
            ran=Ran.UNKNOWN if self._may_have_run else Ran.NO,
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
