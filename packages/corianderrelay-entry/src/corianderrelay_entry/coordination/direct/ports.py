"""Interfaces that the direct path requires of its transports and the platform."""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.internet.defer import Deferred

    from ...state.direct.call import DirectCall, Headers, RunnerHead
    from ...state.direct.catalog import Catalog
    from ...state.direct.entry_peers import PeerUpdate
    from ...state.direct.evacuations import EvacuationRecord
    from ...state.direct.log_position import LogPosition
    from ...state.direct.runner_list import RegisteredRunner
    from ...state.direct.store_news import StoreAnswer, StoreQuestion


class AnswerSink(Protocol):
    """Sends the answer to a caller."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer of unknown length."""

    def write(self, data: bytes) -> None:
        """Send body data of the answer."""

    def finish(self) -> None:
        """Complete the answer."""

    def abort(self) -> None:
        """Close the connection, so that the caller detects an incomplete answer."""


class AttemptListener(Protocol):
    """Receives the events of one attempt at a runner."""

    def may_be_sent(self) -> bool:
        """Whether the runner still takes requests, just before the first byte."""

    def on_not_sent(self, reason: str) -> None:
        """No byte of the request reached the runner."""

    def on_head(self, head: RunnerHead) -> None:
        """The head of the answer was received."""

    def on_data(self, data: bytes) -> None:
        """Body data of the answer was received."""

    def on_end(self) -> None:
        """The answer is complete by its framing."""

    def on_incomplete(self, reason: str) -> None:
        """The attempt failed without a complete answer; the runner may have run it."""


class RunnerAttempt(Protocol):
    """One attempt in flight at a runner."""

    def cancel(self) -> None:
        """Cancel the attempt and close its connection."""

    def pause(self) -> None:
        """Stop reading the answer."""

    def resume(self) -> None:
        """Read on."""


class ProbeResult(Enum):
    """Who answers at a runner's address."""

    ITSELF = "itself"
    REPLACED = "replaced"  # another process, or the same runner after a restart
    REFUSED = "refused"
    UNANSWERED = "unanswered"  # no answer in time, or the connection was reset


class RunnerProbe(Protocol):
    """Asks runners who they are."""

    def identify(self, runner: RegisteredRunner) -> Deferred[ProbeResult]:
        """Return who answers at a runner's address; never fails."""


class RunnerConnections(Protocol):
    """Sends requests to runners."""

    def send(
        self,
        runner: RegisteredRunner,
        request: RunnerRequest,
        listener: AttemptListener,
    ) -> RunnerAttempt:
        """Start one attempt."""

    def close_idle(self, runner_id: str) -> None:
        """Close the idle connections to a removed runner."""


class RunnerRequest:
    """The bytes of one request to a runner.

    :param request_id: the id that the runner's answer must echo.
    :param may_reuse_connection: whether the request may be sent on an idle connection.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "request_id",
        "may_reuse_connection",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request_id: str,
        may_reuse_connection: bool,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.may_reuse_connection = may_reuse_connection


class Dialect(Protocol):
    """Codec of the headers of callers' and runners' requests and answers."""

    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, now: float
    ) -> DirectCall:
        """Decode a caller's request; ``now`` is the time of its arrival."""

    def encode_call(
        self,
        call: DirectCall,
        runner_id: str,
        workspace: str | None,
        resume_after: str,
        remaining_s: float,
        priority: int | None = None,
    ) -> Headers:
        """Return the headers of an attempt at a runner.

        :param priority: of the request, 0 is the highest; ``None`` to state none.
        """

    def decode_head(self, status: int, headers: Headers) -> RunnerHead:
        """Decode the head of a runner's answer."""

    def answered_request_id(self, headers: Headers) -> str | None:
        """Return the request id that a runner's answer echoes, if any."""

    def encode_refusal(
        self, call: DirectCall | None, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of a refusal by this entry."""


class LogGapError(Exception):
    """The records at the requested offset are no longer kept.

    :ivar replaced: whether the log has other records before that offset than it had.
    """

    def __init__(self, reason: str, *, replaced: bool = False) -> None:
        super().__init__(reason)
        self.replaced = replaced


class ConfigAnswer:
    """What one read of the configuration log returned.

    :param catalogs_by_offset: the readable configurations, in the order of the log.
    :param position: the position after the last record that was read; its mark is that
        of the last configuration, readable or not.
    :param end: offset of the end of the log; records are still to be read if it is
        behind the position.
    :param record_offset: offset of the last configuration; ``None`` without any.
    :param fault: why the last configuration cannot be read; empty if it can.
    :param evacuations: the records of evacuated zones, in the order of the log.
    """

    __slots__ = (
        "catalogs_by_offset",
        "position",
        "end",
        "record_offset",
        "fault",
        "evacuations",
    )

    def __init__(
        self,
        catalogs_by_offset: dict[int, Catalog],
        position: LogPosition,
        end: int,
        record_offset: int | None = None,
        fault: str = "",
        evacuations: tuple[EvacuationRecord, ...] = (),
    ) -> None:
        self.catalogs_by_offset = catalogs_by_offset
        self.position = position
        self.end = end
        self.record_offset = record_offset
        self.fault = fault
        self.evacuations = evacuations

    @property
    def whole(self) -> bool:
        """Whether all records up to the end were read."""
        return self.position.offset >= self.end

    def skip_to_end(self) -> None:
        """Move the position behind records that cannot be read."""
        self.position = replace(self.position, offset=self.end)


class ConfigSource(Protocol):
    """Reads the configuration log; calls can fail with ``LogUnavailableError``."""

    def newest(self) -> Deferred[ConfigAnswer]:
        """Return the newest configuration, if any."""

    def follow(self, position: LogPosition, wait_s: float) -> Deferred[ConfigAnswer]:
        """Return the configurations from a position on.

        Waits up to ``wait_s`` seconds for one. Finding none proves nothing: the log may
        have been replaced.

        :raises LogGapError: the caller must start over with ``newest``.
        """


class RunnerSource(Protocol):
    """Reads the runner records; calls can fail with ``LogUnavailableError``."""

    def newest(
        self,
    ) -> Deferred[tuple[dict[str, RegisteredRunner | None], LogPosition]]:
        """Return all runners by id, and the next position.

        A runner whose record is malformed maps to ``None``.
        """

    def follow(
        self, position: LogPosition
    ) -> Deferred[tuple[dict[str, RegisteredRunner | None], LogPosition]]:
        """Return the changed runners by id, ``None`` if removed, and the next position.

        :raises LogGapError: the caller must start over with ``newest``.
        """


class EntryRegistry(Protocol):
    """Stores the peer addresses of all entries."""

    def register(self, entry_id: str, host: str, port: int) -> Deferred[None]:
        """Store the address at which an entry receives peer updates."""

    def registered_entries(self) -> Deferred[dict[str, tuple[str, int]]]:
        """Return the peer addresses (host, port) of all registered entries by id."""


class PeerSender(Protocol):
    """Sends datagrams to other entries; failures are reported elsewhere."""

    def send_update(
        self, peer_update: PeerUpdate, targets: Iterable[tuple[str, int]]
    ) -> None:
        """Send an update to each address."""

    def relay(
        self,
        aged_updates: Iterable[tuple[PeerUpdate, float]],
        targets: Iterable[tuple[str, int]],
    ) -> None:
        """Send updates and their ages to entries of other zones."""

    def pass_on(self, bundle: bytes, targets: Iterable[tuple[str, int]]) -> None:
        """Send a relayed bundle to entries of this zone."""


class NewsSender(Protocol):
    """Sends questions for what is new in the log, and answers."""

    def ask(self, question: StoreQuestion, target: tuple[str, int]) -> None:
        """Send a question to an entry's address."""

    def answer(self, answer: StoreAnswer, target: tuple[str, int]) -> None:
        """Send an answer to an entry's address."""


class QuarantineStore(Protocol):
    """Stores until when fingerprints are quarantined, in Unix seconds.

    Calls can fail with ``LogUnavailableError``.
    """

    def newest(self) -> Deferred[tuple[dict[str, float | None], LogPosition]]:
        """Return the end of each quarantine by fingerprint, and the next position."""

    def follow(
        self, position: LogPosition, wait_s: float
    ) -> Deferred[tuple[dict[str, float | None], LogPosition]]:
        """Return the changed ends, ``None`` for removed ones, and the next position.

        Waits up to ``wait_s`` seconds for a change.

        :raises LogGapError: the caller must start over with ``newest``.
        """

    def put(self, fingerprint: str, ends_at: float) -> Deferred[None]:
        """Store the end of a quarantine."""

    def remove(self, fingerprint: str) -> Deferred[None]:
        """Remove a quarantine."""


__all__ = [
    "ConfigSource",
    "Dialect",
    "AnswerSink",
    "EntryRegistry",
    "LogGapError",
    "NewsSender",
    "PeerSender",
    "QuarantineStore",
    "ProbeResult",
    "RunnerConnections",
    "RunnerProbe",
    "RunnerRequest",
    "RunnerAttempt",
    "RunnerSource",
    "AttemptListener",
]
