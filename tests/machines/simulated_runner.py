"""A simulated runner with deterministic answers, for state machine tests."""

from __future__ import annotations

from dataclasses import dataclass, field

from corianderrelay_agent.state.attempt import AnswerChunk, Attempt, AttemptOrder

ANSWER_TOKENS = 6
_STATUS = 200
_CONTENT_TYPE = "text/event-stream"


@dataclass(frozen=True)
class ChunkFrame:
    """A frame with a chunk, in flight to the entry."""

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
    """A frame with a refusal, in flight to the entry."""

    runner_id: str
    attempt_id: str


Frame = ChunkFrame | EndFrame | RefusedFrame


def answer_pieces(prompt: str, first_token: int = 0) -> list[tuple[bytes, int]]:
    """Return the answer from ``first_token`` on as pairs of data and token count."""
    pieces = [] if first_token else [(b"<", 0)]
    for token in range(first_token, ANSWER_TOKENS):
        pieces += [(b"~", 0), (f"{prompt}{token}".encode(), 1)]
    return [*pieces, (b">", 0)]


def complete_answer(prompt: str) -> bytes:
    """Return the bytes of the complete answer."""
    return b"".join(data for data, _ in answer_pieces(prompt))


@dataclass
class _Run:
    attempt: Attempt
    remaining: list[tuple[bytes, int]]
    ended: bool = False


@dataclass
class SimulatedRunner:
    """A simulated runner; the test delivers the frames that its methods return."""

    runner_id: str
    refuses: bool = False
    runs_by_attempt: dict[str, _Run] = field(default_factory=dict)
    seen_attempt_ids: set[str] = field(default_factory=set)
    started_prompts: list[str] = field(default_factory=list)

    def dispatch(self, attempt_id: str, prompt: str, resume_from: int) -> list[Frame]:
        """Start or refuse an attempt; ignore one that is duplicate or tombstoned."""
        if attempt_id in self.seen_attempt_ids:
            return []
        self.seen_attempt_ids.add(attempt_id)
        if self.refuses:
            return [RefusedFrame(self.runner_id, attempt_id)]
        order = AttemptOrder(attempt_id, prompt, "", "", "", "", "", b"", 0.0)
        attempt = Attempt(order, "entry")
        attempt.status = _STATUS
        attempt.content_type = _CONTENT_TYPE
        run = _Run(attempt, answer_pieces(prompt, resume_from))
        self.runs_by_attempt[attempt_id] = run
        self.started_prompts.append(prompt)
        return []

    def advance(self, attempt_id: str, pieces: int) -> list[Frame]:
        """Produce the next chunk, or the end frame after the last chunk.

        A chunk that contains tokens ends with a token.
        """
        run = self.runs_by_attempt.get(attempt_id)
        if run is None or run.ended:
            return []
        if not run.remaining:
            run.ended = True
            return [self._end(run)]
        chunk_pieces = run.remaining[:pieces]
        while any(tokens for _, tokens in chunk_pieces) and not chunk_pieces[-1][1]:
            chunk_pieces.pop()
        run.remaining = run.remaining[len(chunk_pieces) :]
        chunk = run.attempt.add_chunk(
            b"".join(data for data, _ in chunk_pieces),
            sum(tokens for _, tokens in chunk_pieces),
        )
        return [ChunkFrame(self.runner_id, attempt_id, chunk)]

    def attach(self, attempt_id: str, after_sequence: int) -> list[Frame]:
        """Resend unacknowledged frames; refuse an unknown attempt and tombstone it."""
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
        """Drop the frames that the entry has acknowledged."""
        run = self.runs_by_attempt.get(attempt_id)
        if run is not None:
            run.attempt.acknowledge(sequence)

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt, or tombstone one that has not arrived."""
        self.seen_attempt_ids.add(attempt_id)
        self.runs_by_attempt.pop(attempt_id, None)

    def die(self) -> list[Frame]:
        """End all attempts; return the failure frame that the agent sends for each."""
        attempt_ids = list(self.runs_by_attempt)
        self.runs_by_attempt.clear()
        return [EndFrame(self.runner_id, name, 0, 0, died=True) for name in attempt_ids]

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
