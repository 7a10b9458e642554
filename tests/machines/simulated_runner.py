"""A simulated runner for state machine tests with a deterministic answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from corianderrelay_agent.state.attempt import AnswerChunk, Attempt, AttemptOrder

ANSWER_TOKENS = 6
_STATUS = 200
_CONTENT_TYPE = "text/event-stream"


@dataclass(frozen=True)
class ChunkFrame:
    """A chunk in flight to the entry."""

    runner_id: str
    attempt_id: str
    chunk: AnswerChunk


@dataclass(frozen=True)
class EndFrame:
    """An end frame in flight to the entry; ``died`` marks a failed attempt."""

    runner_id: str
    attempt_id: str
    chunks: int
    digest: int
    died: bool = False


@dataclass(frozen=True)
class RefusedFrame:
    """A refusal in flight to the entry."""

    runner_id: str
    attempt_id: str


Frame = ChunkFrame | EndFrame | RefusedFrame


def answer_bytes(prompt: str, first_token: int = 0) -> list[tuple[bytes, int]]:
    """Return the answer as pairs of data and token count, starting at a token."""
    pieces = [] if first_token else [(b"<", 0)]
    for token in range(first_token, ANSWER_TOKENS):
        pieces += [(b"~", 0), (f"{prompt}{token}".encode(), 1)]
    return [*pieces, (b">", 0)]


def complete_answer(prompt: str) -> bytes:
    """Return the bytes of the complete answer."""
    return b"".join(data for data, _ in answer_bytes(prompt))


@dataclass
class _Run:
    attempt: Attempt
    remaining: list[tuple[bytes, int]]
    ended: bool = False


@dataclass
class SimulatedRunner:
    """One simulated runner; the test delivers the frames that its methods return."""

    runner_id: str
    refuses: bool = False
    runs_by_attempt: dict[str, _Run] = field(default_factory=dict)
    seen_attempt_ids: set[str] = field(default_factory=set)
    started_prompts: list[str] = field(default_factory=list)

    def dispatch(self, attempt_id: str, prompt: str, resume_from: int) -> list[Frame]:
        """Start or refuse an attempt; ignore a duplicate or tombstoned one."""
        if attempt_id in self.seen_attempt_ids:
            return []
        self.seen_attempt_ids.add(attempt_id)
        if self.refuses:
            return [RefusedFrame(self.runner_id, attempt_id)]
        order = AttemptOrder(attempt_id, prompt, "", "", "", "", "", b"", 0.0)
        attempt = Attempt(order, "entry")
        attempt.status = _STATUS
        attempt.content_type = _CONTENT_TYPE
        run = _Run(attempt, answer_bytes(prompt, resume_from))
        self.runs_by_attempt[attempt_id] = run
        self.started_prompts.append(prompt)
        return []

    def advance(self, attempt_id: str, pieces: int) -> list[Frame]:
        """Produce the next chunk, which either ends with a token or has no token."""
        run = self.runs_by_attempt.get(attempt_id)
        if run is None or run.ended:
            return []
        if not run.remaining:
            run.ended = True
            return [self._end(run)]
        taken = run.remaining[:pieces]
        while any(tokens for _, tokens in taken) and not taken[-1][1]:
            taken.pop()
        run.remaining = run.remaining[len(taken) :]
        chunk = run.attempt.add_chunk(
            b"".join(data for data, _ in taken), sum(tokens for _, tokens in taken)
        )
        return [ChunkFrame(self.runner_id, attempt_id, chunk)]

    def attach(self, attempt_id: str, after_sequence: int) -> list[Frame]:
        """Resend kept frames; refuse an unknown attempt and never run it later."""
        self.seen_attempt_ids.add(attempt_id)
        run = self.runs_by_attempt.get(attempt_id)
        if run is None:
            return [RefusedFrame(self.runner_id, attempt_id)]
        chunks = run.attempt.chunks_after(after_sequence)
        frames: list[Frame] = [
            ChunkFrame(self.runner_id, attempt_id, chunk) for chunk in chunks
        ]
        return [*frames, self._end(run)] if run.ended else frames

    def acknowledge(self, attempt_id: str, sequence: int) -> None:
        """Drop kept frames that the entry has received."""
        run = self.runs_by_attempt.get(attempt_id)
        if run is not None:
            run.attempt.acknowledge(sequence)

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt, or tombstone one that has not arrived."""
        self.seen_attempt_ids.add(attempt_id)
        self.runs_by_attempt.pop(attempt_id, None)

    def die(self) -> list[Frame]:
        """End all attempts; return the failure frame that the agent sends for each."""
        lost = list(self.runs_by_attempt)
        self.runs_by_attempt.clear()
        return [EndFrame(self.runner_id, name, 0, 0, died=True) for name in lost]

    def _end(self, run: _Run) -> EndFrame:
        attempt = run.attempt
        return EndFrame(
            self.runner_id,
            attempt.order.attempt_id,
            attempt.next_sequence,
            attempt.digest,
        )


__all__ = [
    "ChunkFrame",
    "EndFrame",
    "Frame",
    "SimulatedRunner",
    "RefusedFrame",
    "complete_answer",
]
