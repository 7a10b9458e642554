"""Tests configuration under concurrent publications, lost answers and outages.

Retention drops records, and processes freeze and restart. Every process folds the
stream with the production code. The oracle validates the whole stream independently,
including records that retention dropped.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from corianderrelay.state.config_fold import ActiveVersion, ConfigFold
from corianderrelay.state.config_publication import Publication, PublicationState
from corianderrelay.state.config_records import AnyConfigRecord, ConfigRecord
from corianderrelay.state.config_refresh import RefreshTimer
from corianderrelay.state.document import Document, Service, ServiceKind, Workspace
from corianderrelay.state.document_check import check_document

RETENTION_S = 600.0
PROCESSES = 4
_NOT_ACTIVE = (PublicationState.REJECTED, PublicationState.NOT_APPENDED)


@dataclass(slots=True)
class Process:
    """A process that follows the config stream."""

    name: str
    fold: ConfigFold = field(default_factory=ConfigFold)
    refresh: RefreshTimer = field(default_factory=lambda: RefreshTimer("", RETENTION_S))
    frozen: bool = False
    seen_versions: list[int] = field(default_factory=list)
    open_publications: list[Publication] = field(default_factory=list)


class ConfigMachine(RuleBasedStateMachine):
    """Operators publish concurrently while processes freeze, restart and lag."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10_000.0
        self.log_up = True
        self.records: list[tuple[float, AnyConfigRecord]] = []
        self.first_offset = 0
        self.in_flight: list[AnyConfigRecord] = []
        self.numbers = count(1)
        self.reported_accepted: dict[str, int] = {}
        self.reported_rejected: set[str] = set()

    @initialize()
    def start(self) -> None:
        self.processes = [self._new_process() for _ in range(PROCESSES)]

    @rule(
        at=st.integers(0, PROCESSES - 1),
        workspaces=st.integers(0, 3),
        valid=st.sampled_from([True, True, True, False]),
        answer=st.sampled_from(["given", "lost", "late", "no_effect"]),
        base_age=st.sampled_from([0, 0, 0, 1]),
    )
    def publish(
        self, at: int, workspaces: int, valid: bool, answer: str, base_age: int
    ) -> None:
        process = self.processes[at]
        if process.frozen or not process.fold.can_validate:
            return
        record = ConfigRecord(
            version=max(1, process.fold.version + 1 - base_age),
            base=max(0, process.fold.version - base_age),
            document=_document(workspaces, next(self.numbers), valid),
            author=process.name,
            time_s=self.now,
            nonce=f"nonce-{next(self.numbers)}",
        )
        publication = Publication(record)
        process.open_publications.append(publication)
        if not self.log_up or answer == "no_effect":
            publication.on_append_failed()
            self._record_state(process)
        elif answer == "late":
            publication.on_append_outcome_unknown()
            self.in_flight.append(record)
        else:
            self.records.append((self.now, record))
            if answer == "lost":
                publication.on_append_outcome_unknown()

    @rule(
        at=st.integers(0, PROCESSES - 1),
        versions=st.integers(1, 4),
        readers=st.sets(st.integers(0, PROCESSES - 1)),
    )
    def publish_several(self, at: int, versions: int, readers: set[int]) -> None:
        for _ in range(versions):
            self.publish(at, 1, True, "given", 0)
            for reader in (at, *readers):
                self._read(self.processes[reader])

    @rule(
        first=st.integers(0, PROCESSES - 1),
        second=st.integers(0, PROCESSES - 1),
        answers=st.tuples(*[st.sampled_from(["given", "lost", "late"])] * 2),
    )
    def publish_concurrently(
        self, first: int, second: int, answers: tuple[str, str]
    ) -> None:
        self.publish(first, 1, True, answers[0], 0)
        self.publish(second, 2, True, answers[1], 0)

    @rule(
        at=st.integers(0, PROCESSES - 1),
        restarted=st.booleans(),
        versions=st.integers(0, 2),
        stale=st.booleans(),
    )
    def freeze_past_retention(
        self, at: int, restarted: bool, versions: int, stale: bool
    ) -> None:
        """Freeze a process until retention drops records, then let it read again."""
        if not self.log_up or not self._is_another_up_to_date(at):
            return
        held = self.processes[at].fold.refresh_record(self.now)
        self.processes[at].frozen = True
        other = (at + 1) % PROCESSES
        for _ in range(3):
            self.publish_several(other, versions, {other})
            self.pass_time(RETENTION_S / 2)
            if stale and held is not None:
                self.records.append((self.now, held))
        self.publish_several(other, versions, {other})
        self.processes[at].frozen = False
        if restarted:
            self.restart(at)
        self._read(self.processes[at])

    @rule(at=st.integers(0, PROCESSES - 1))
    def read(self, at: int) -> None:
        self._read(self.processes[at])

    @rule()
    def read_all(self) -> None:
        for process in self.processes:
            self._read(process)

    @rule()
    def deliver_in_flight(self) -> None:
        if self.in_flight and self.log_up:
            self.records.append((self.now, self.in_flight.pop(0)))

    @rule(seconds=st.sampled_from([1.0, 20.0, RETENTION_S / 8, RETENTION_S / 3]))
    def pass_time(self, seconds: float) -> None:
        steps = max(1, int(seconds / (RETENTION_S / 16)))
        for _ in range(steps):
            self._advance_time(seconds / steps)
            for process in self.processes:
                self._read(process)
                self._refresh(process)

    @rule(seconds=st.sampled_from([RETENTION_S / 3, RETENTION_S, 2 * RETENTION_S]))
    def log_outage(self, seconds: float) -> None:
        # A record that is dropped before any process reads it has no known verdict.
        self.read_all()
        self.log_up = False
        self._advance_time(seconds)

    @rule()
    def log_recovers(self) -> None:
        self.log_up = True

    @rule(at=st.integers(0, PROCESSES - 1))
    def freeze(self, at: int) -> None:
        if self._is_another_up_to_date(at):
            self.processes[at].frozen = True

    @rule(at=st.integers(0, PROCESSES - 1))
    def unfreeze(self, at: int) -> None:
        self.processes[at].frozen = False

    @rule(at=st.integers(0, PROCESSES - 1))
    def restart(self, at: int) -> None:
        if self._is_another_up_to_date(at):
            self.processes[at] = self._new_process()

    @rule(at=st.integers(0, PROCESSES - 1), peer=st.integers(0, PROCESSES - 1))
    def adopt_from_peer(self, at: int, peer: int) -> None:
        process, other = self.processes[at], self.processes[peer]
        known = other.fold.active_version
        if known is not None and not process.frozen and not other.frozen:
            process.fold.adopt(known)
            self._record_state(process)

    @rule(at=st.integers(0, PROCESSES - 1))
    def stale_refresh(self, at: int) -> None:
        """Append a refresh record of a process that may not have read recently."""
        record = self.processes[at].fold.refresh_record(self.now)
        if record is not None and self.log_up:
            self.records.append((self.now, record))

    @rule(at=st.integers(0, PROCESSES - 1))
    def late_refresh(self, at: int) -> None:
        """Delay the append of a refresh record."""
        record = self.processes[at].fold.refresh_record(self.now)
        if record is not None:
            self.in_flight.append(record)

    def _new_process(self) -> Process:
        name = f"process-{next(self.numbers)}"
        return Process(name, refresh=RefreshTimer(name, RETENTION_S))

    def _is_another_up_to_date(self, at: int) -> bool:
        """Whether another running process has read and validated the whole stream."""
        return any(
            one.fold.can_validate
            and not one.frozen
            and one.fold.next_offset == len(self.records)
            for one in self.processes
            if one is not self.processes[at]
        )

    def _advance_time(self, seconds: float) -> None:
        self.now += seconds
        while self.first_offset < len(self.records):
            if self.records[self.first_offset][0] >= self.now - RETENTION_S:
                break
            self.first_offset += 1

    def _read(self, process: Process) -> None:
        if process.frozen or not self.log_up:
            return
        fold = process.fold
        if fold.next_offset < self.first_offset:
            fold.skip_to(self.first_offset)
            for publication in process.open_publications:
                publication.on_unread_records_dropped()
        for offset in range(fold.next_offset, len(self.records)):
            for verdict in fold.apply(offset, self.records[offset][1]):
                for publication in process.open_publications:
                    publication.on_verdict(verdict)
        self._record_state(process)

    def _refresh(self, process: Process) -> None:
        if process.frozen or not self.log_up:
            return
        record = process.refresh.due_record(process.fold, self.now)
        if record is not None:
            self.records.append((self.now, record))

    def _record_state(self, process: Process) -> None:
        process.seen_versions.append(process.fold.version)
        for publication in process.open_publications:
            nonce = publication.record.nonce
            if publication.state is PublicationState.ACCEPTED:
                self.reported_accepted[nonce] = publication.record.version
            elif publication.state in _NOT_ACTIVE:
                self.reported_rejected.add(nonce)
        process.open_publications = [
            publication
            for publication in process.open_publications
            if publication.state is PublicationState.OPEN
        ]

    # The oracle and the invariants.

    def _versions_by_offset(self) -> list[ConfigRecord | None]:
        """Validate all records ever appended; return the active one after each."""
        active_record: ConfigRecord | None = None
        versions: list[ConfigRecord | None] = []
        for _, record in self.records:
            if isinstance(record, ConfigRecord):
                base = active_record.version if active_record else 0
                follows = record.base == base and record.version == base + 1
                if follows and not check_document(record.document):
                    active_record = record
            versions.append(active_record)
        return versions

    @invariant()
    def versions_never_decrease(self) -> None:
        for process in getattr(self, "processes", ()):
            assert process.seen_versions == sorted(
                process.seen_versions
            ), process.seen_versions

    @invariant()
    def all_verdicts_agree(self) -> None:
        versions = self._versions_by_offset()
        for process in getattr(self, "processes", ()):
            held: ActiveVersion | None = process.fold.active_version
            if held is None:
                continue
            published = {one.version: one for one in versions if one is not None}
            assert held.version in published, f"version {held.version} was rejected"
            assert held.document == published[held.version].document
            read = process.fold.next_offset
            expected = versions[read - 1] if read else None
            if process.fold.can_validate and expected is not None:
                assert held.version >= expected.version, "an older version is active"

    @invariant()
    def operators_get_true_outcomes(self) -> None:
        accepted = {one.nonce: one.version for one in self._versions_by_offset() if one}
        for nonce, version in self.reported_accepted.items():
            assert accepted.get(nonce) == version, f"{nonce} is not active"
        assert (
            not self.reported_rejected & accepted.keys()
        ), "a rejected record is active"

    def teardown(self) -> None:
        if not hasattr(self, "processes"):
            return
        self.log_up = True
        self.records += [(self.now, record) for record in self.in_flight]
        self.in_flight = []
        for process in self.processes:
            process.frozen = False
        for _ in range(2):
            for process in self.processes:
                self._read(process)
                self._refresh(process)
            self._advance_time(RETENTION_S / 2)
        for process in self.processes:
            self._read(process)
            self._refresh(process)
        for process in self.processes:
            self._read(process)
        self.all_verdicts_agree()
        self.operators_get_true_outcomes()
        self._check_all_converged()

    def _check_all_converged(self) -> None:
        versions = self._versions_by_offset()
        newest = versions[-1] if versions else None
        expected = newest.version if newest else 0
        for process in self.processes:
            assert process.fold.version == expected, (process.fold.version, expected)
            unanswered = process.open_publications
            assert not unanswered, f"operators without an answer: {unanswered}"


def _document(workspaces: int, number: int, valid: bool) -> Document:
    service = "shop" if valid else "absent"
    return Document(
        workspaces_by_name={
            f"kits-{index}": Workspace(
                key_digests=[f"{number:062x}{index:02x}"], services=[service]
            )
            for index in range(workspaces or 1)
        },
        services_by_name={"shop": Service(kind=ServiceKind.PLAIN)},
    )


__all__ = ["ConfigMachine"]
