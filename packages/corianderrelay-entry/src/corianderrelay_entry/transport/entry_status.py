"""Builds the status of an entry and its runners for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..protocol.replies import EntryStatusReply, RunnerStatus

if TYPE_CHECKING:
    from ..entry import Entry
    from ..state.runner import Runner


def entry_status(entry: Entry) -> EntryStatusReply:
    """Return the status of an entry and of the runners connected to it."""
    now = entry.clock.seconds()
    return EntryStatusReply(
        instance_id=entry.settings.instance_id,
        zone=entry.settings.zone,
        ready=entry.ready,
        draining=entry.draining,
        config_version=entry.config.version,
        open_requests=entry.open_requests,
        runners=[
            _runner_status(agent.runner, now)
            for _, agent in sorted(entry.relay.agents_by_id.items())
        ],
    )


def _runner_status(runner: Runner, now: float) -> RunnerStatus:
    return RunnerStatus(
        instance_id=runner.instance_id,
        zone=runner.zone,
        service=runner.service,
        group=runner.group,
        rank=runner.rank,
        running=runner.running,
        queued=runner.queued,
        leaving=runner.leaving,
        engine_up=runner.engine_up,
        report_age_s=round(now - runner.reported_s, 3),
    )


__all__ = ["entry_status"]
