"""Builds an entry process from its components and connects them."""

from __future__ import annotations

import dataclasses
import time
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any

import eliot

from corianderrelay.coordination.audit_writer import AuditWriter
from corianderrelay.coordination.config_follower import ConfigFollower
from corianderrelay.coordination.instance_list import InstanceRole, InstanceState
from corianderrelay.coordination.periodic import Periodic
from corianderrelay.protocol.config_exchange import ConfigExchange
from corianderrelay.protocol.messages import PROTOCOL_VERSION, Hello
from corianderrelay.state.audit import AuditKind, AuditRecord, config_audit_record
from corianderrelay.state.config_records import CONFIG_STREAM
from corianderrelay.state.heartbeat_pacing import HeartbeatPacing
from corianderrelay.state.incarnation import new_incarnation
from corianderrelay.state.members import ListedInstance, Members
from corianderrelay.state.rendezvous import rank_by_rendezvous
from corianderrelay.transport.metrics import Metrics

from .coordination.active_config import ActiveConfig
from .coordination.keyed_relay import KeyedRelay
from .coordination.observed_answer import ObservedAnswer
from .coordination.relay import Relay
from .coordination.request_metrics import RequestMetrics
from .state.entry_directory import EntryAddress, EntryDirectory
from .state.keyed_limits import keyed_limits
from .state.request_register import RequestRegister
from .transport.agent_connector import AgentConnector

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from corianderrelay.coordination.instance_list import Instance, InstanceList
    from corianderrelay.coordination.log_client import LogClient
    from corianderrelay.state.call import Call
    from corianderrelay.state.config_fold import ActiveVersion, Verdict
    from corianderrelay.state.document import Document
    from corianderrelay.transport.tls import TlsFiles

    from .coordination.answer_sink import AnswerSink
    from .coordination.direct.connection_guard import ConnectionGuard
    from .state.open_request import OpenRequest
    from .state.settings import EntrySettings

_ID_BITS = 96
_RELAY_TICK_S = 0.25
_AUDIT_WRITERS = 2  # entries that write each record; readers drop the duplicate


class Entry:
    """An entry process without its listening ports.

    :param log: client of the platform's log.
    :param instances: source of the platform's instance list.
    :param clock: the reactor.
    :param tls: certificates of the streams to agents; ``None`` disables TLS.
    """

    def __init__(
        self,
        settings: EntrySettings,
        log: LogClient,
        instances: InstanceList,
        clock: Any,
        tls: TlsFiles | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random: Random = SystemRandom()
        self.incarnation = new_incarnation(time.time(), self.random)
        self.config = ActiveConfig()
        self.register = RequestRegister(settings.limits.remembered_requests)
        self.request_metrics = RequestMetrics()
        timing = settings.timing
        self.members = Members(
            HeartbeatPacing(
                period_s=timing.heartbeat_s,
                missed_until_suspect=round(timing.silent_after_s / timing.heartbeat_s),
            )
        )
        self.relay = Relay(
            self.new_id,
            clock.seconds,
            self.random,
            settings.zone,
            self.request_metrics,
            self.members,
        )
        self.audit = AuditWriter(log, clock)
        self.log = log
        self.keyed = KeyedRelay(
            settings.instance_id,
            keyed_limits(settings.platform.log_retention_s),
            log,
            clock,
            self.relay.agents_by_id,
            time.time,
            iter(self.new_id, ""),
            self.audit,
        )
        self.metrics = Metrics(self.request_metrics.collectors())
        self.client_guards: list[ConnectionGuard] = []
        self.directory = EntryDirectory()
        self.draining = False
        self.accepting = True
        self.address = settings.callers.address
        self.config_follower = ConfigFollower(
            log,
            clock,
            settings.instance_id,
            settings.platform.log_retention_s,
            time.time,
            self._activate_config,
            self._record_verdict,
        )
        self._instances = instances
        hello = Hello(
            PROTOCOL_VERSION,
            settings.instance_id,
            self.incarnation,
            settings.zone,
            "entry",
        )
        self.connector = AgentConnector(
            self.relay,
            self.keyed,
            self.directory,
            ConfigExchange(self.config_follower),
            self.members,
            hello,
            clock,
            tls,
        )
        self._instance_poll = Periodic(clock, self._poll_instances)
        self._relay_tick = Periodic(clock, self.relay.tick)

    @property
    def ready(self) -> bool:
        """Whether a configuration is active; without one no caller is authenticated."""
        return self.config.version > 0

    def start(self) -> None:
        """Start reading the platform's log and instance list; connect to agents."""
        self.connector.start()
        self._relay_tick.start(_RELAY_TICK_S)
        self.config_follower.start()
        self.keyed.start()
        self.audit.start()
        self._instance_poll.start(self.settings.timing.instance_list_s, now=True)

    def new_id(self) -> str:
        """Return a random identifier of 24 hexadecimal digits."""
        return f"{self.random.getrandbits(_ID_BITS):024x}"

    def live_entries(self) -> list[EntryAddress]:
        """Return the live entries; this one is included unless it is draining."""
        own = EntryAddress(self.settings.instance_id, self.address, self.settings.zone)
        return self.directory.entries(own, self.draining, self.clock.seconds())

    def submit(self, call: Call, sink: AnswerSink) -> OpenRequest:
        """Route a call to a runner and write its answer to ``sink``."""
        action = eliot.start_task(
            action_type="entry:request",
            request_id=call.request_id,
            workspace=call.workspace,
            service=call.service,
        )
        traced = dataclasses.replace(call, trace=action.serialize_task_id())
        observed = ObservedAnswer(
            sink, action, self.request_metrics, call.service, self.clock.seconds
        )
        relay = self.keyed if call.idempotency_key else self.relay
        request = relay.submit(traced, observed, self.clock.seconds())
        self.register.add(request)
        return request

    @property
    def open_requests(self) -> int:
        """Number of requests that have no final answer yet."""
        return self.relay.open_requests + self.keyed.open_requests

    def abandon(self, request: OpenRequest) -> None:
        """Stop answering a request whose client has disconnected.

        A request with an idempotency key keeps running and its answer is recorded; any
        other request is cancelled.
        """
        self.relay.abandon(request)
        self.keyed.abandon(request)

    def publish(self, base: int, document: Document, author: str) -> Deferred[int]:
        """Publish a document based on version ``base``; return the new version.

        See ``ConfigFollower.publish``.
        """
        return self.config_follower.publish(base, document, author, self.new_id())

    def stop_accepting(self) -> None:
        """Refuse new requests, which might not end before this process exits."""
        self.accepting = False

    def drain(self, reason: str) -> None:
        """Stop advertising this entry to callers and agents.

        Callers that have this entry in a cached list are served until the list expires.
        """
        self.draining = True
        self.connector.announce_leaving()
        eliot.log_message(message_type="entry:drain", reason=reason)
        self.audit.write(
            AuditRecord(
                kind=AuditKind.ENTRY_DRAINED,
                identity=self.new_id(),
                who=self.settings.instance_id,
                time_s=time.time(),
                why=reason,
            )
        )

    def _activate_config(self, active: ActiveVersion) -> None:
        self.config.replace(active.version, active.document)
        eliot.log_message(message_type="config:in_force", version=active.version)

    def _record_verdict(self, verdict: Verdict) -> None:
        record = config_audit_record(verdict, CONFIG_STREAM)
        eliot.log_message(
            message_type="config:judged",
            version=verdict.record.version,
            author=verdict.record.author,
            result=record.kind.value,
        )
        own_id = self.settings.instance_id
        entry_ids = {entry.instance_id for entry in self.live_entries()} | {own_id}
        ranked = rank_by_rendezvous(record.identity.encode(), entry_ids)
        if own_id in ranked[:_AUDIT_WRITERS]:
            self.audit.write(record)

    def _poll_instances(self) -> Any:
        reading = self._instances.read()
        reading.addCallbacks(self._update_instances, _log_instance_list_failure)
        return reading

    def _update_instances(self, instances_by_id: dict[str, Instance]) -> None:
        instances = instances_by_id.values()
        self.directory.replace(
            EntryAddress(
                instance.instance_id,
                f"{instance.host}:{instance.port}",
                instance.zone,
            )
            for instance in instances
            if instance.role is InstanceRole.ENTRY
            and instance.state is InstanceState.LIVE
        )
        self.connector.update_agents(
            ListedInstance(
                instance.instance_id,
                instance.host,
                instance.port,
                instance.zone,
                instance.state is InstanceState.LEAVING,
            )
            for instance in instances
            if instance.role is InstanceRole.AGENT
        )


def _log_instance_list_failure(failure: Any) -> None:
    eliot.log_message(
        message_type="entry:instance_list_failed", reason=failure.getErrorMessage()
    )


__all__ = ["Entry"]
