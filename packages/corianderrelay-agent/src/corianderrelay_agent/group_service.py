"""Assembles the objects that switch this rank to its group's expert maps."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

import eliot

from corianderrelay.coordination.audit_writer import AuditWriter
from corianderrelay.coordination.group_agent import GroupAgent
from corianderrelay.coordination.group_log import GroupLog
from corianderrelay.coordination.map_coordinator import CoordinatorPeriods
from corianderrelay.coordination.map_rank import RankPeriods
from corianderrelay.coordination.periodic import Periodic
from corianderrelay.coordination.tasks import spawn
from corianderrelay.state.audit import switch_audit_record
from corianderrelay.state.switch_participant import COORDINATOR_RANK, RankRules
from corianderrelay.state.switch_rules import SwitchRules
from corianderrelay.state.switch_types import PopularityReport
from corianderrelay.transport.log_http import HttpLogClient

from .coordination.group_map_planner import GroupMapPlanner
from .protocol.group_routes import GroupRoutes
from .transport.group_client import GroupClient
from .transport.map_engine_http import HttpMapEngine

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.protocol.messages import Hello
    from corianderrelay.state.switch_rules import SwitchReport
    from corianderrelay.state.switch_types import AnySwitchMessage
    from corianderrelay.transport.tls import TlsFiles

    from .state.settings import AgentSettings, GroupSettings

_MS_PER_S = 1000


class GroupService:
    """Connects one rank's group agent to the log, the engine and the streams.

    Rank 0 also coordinates map switches and plans maps; the other ranks connect to it.

    :param hello: first message on the stream to rank 0.
    :param tls: certificates of the streams; ``None`` for plaintext.
    :param wall_clock: returns the Unix time in seconds, for the audit trail.
    """

    def __init__(
        self,
        settings: AgentSettings,
        group: GroupSettings,
        hello: Hello,
        tls: TlsFiles | None,
        reactor: Any,
        wall_clock: Callable[[], float],
    ) -> None:
        endpoint = settings.endpoint
        self._settings = settings
        self._group = group
        self._reactor = reactor
        self._wall_clock = wall_clock
        log_client = HttpLogClient(reactor, settings.platform.log_url)
        self._audit = AuditWriter(log_client, reactor)
        self._engine = HttpMapEngine(reactor, endpoint.url, endpoint.rank)
        self.routes = GroupRoutes(
            endpoint.group, endpoint.rank, reactor, self._on_message
        )
        log = GroupLog(log_client, endpoint.group, lambda: uuid.uuid4().hex)
        self._group_agent = GroupAgent(
            endpoint.group,
            endpoint.rank,
            group.ranks,
            settings.instance_id,
            hello.incarnation,
            log,
            self.routes,
            self._engine,
            reactor,
            self,
            SwitchRules(),
            RankRules(),
            CoordinatorPeriods(refresh_s=settings.platform.log_retention_s / 3),
            RankPeriods(),
        )
        self._client: GroupClient | None = None
        if endpoint.rank != COORDINATOR_RANK:
            self._client = GroupClient(
                self.routes, hello, group, settings.timing, reactor, tls
            )
        self._planner: GroupMapPlanner | None = None
        if self._group_agent.coordinator is not None:
            self._planner = GroupMapPlanner(group, self._group_agent.coordinator)
        self._report_timer = Periodic(reactor, self._start_report)
        self._plan_timer = Periodic(reactor, self._plan_map)

    def start(self) -> None:
        """Join the group and start the periodic reports, and the planning on rank 0."""
        if self._client is not None:
            self._client.start()
        self._group_agent.start()
        self._audit.start()
        self._report_timer.start(self._group.report_s)
        if self._planner is not None:
            self._plan_timer.start(self._group.plan_s)

    def on_switch(self, report: SwitchReport) -> None:
        """Log how a switch attempt ended and append it to the audit trail."""
        eliot.log_message(
            message_type="agent:map_switch",
            epoch=report.attempt.epoch,
            number=report.attempt.number,
            version=report.group_map.version,
            digest=report.group_map.digest,
            step=report.step,
            committed=report.committed,
            reason=report.reason,
        )
        group, instance_id = self._settings.endpoint.group, self._settings.instance_id
        record = switch_audit_record(report, group, instance_id, self._wall_clock())
        self._audit.write(record)

    def _on_message(self, rank: int, message: AnySwitchMessage) -> None:
        if not isinstance(message, PopularityReport):
            self._group_agent.on_message(rank, message)
        elif self._planner is not None:
            self._planner.on_report(message, self._reactor.seconds())

    def _start_report(self) -> None:
        spawn(self._report_popularity())

    async def _report_popularity(self) -> None:
        tokens_by_expert = await self._engine.popularity()
        if tokens_by_expert:
            interval_ms = int(self._group.report_s * _MS_PER_S)
            report = PopularityReport(interval_ms, tokens_by_expert)
            self.routes.send(COORDINATOR_RANK, report)

    def _plan_map(self) -> None:
        if self._planner is not None:
            self._planner.plan_map(self._reactor.seconds())


__all__ = ["GroupService"]
