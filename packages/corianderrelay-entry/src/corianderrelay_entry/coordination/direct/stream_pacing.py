"""Measures the pace of streaming services and limits their streams."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Protocol

from ...state.direct.pass_timing import PassTiming
from ...state.direct.stream_limit import StreamLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.direct.catalog import EngineModel
    from ...state.direct.runner_list import RunnerList
    from ...state.direct.runner_placement import RunnerPlacement
    from .group_pacing import GroupPacing

_MIN_RUNNING = 8  # with fewer, the fixed time of a pass hides the cost of a stream
# Ratio of change in the slowest rank's step time that makes older pauses useless.
_PACE_CHANGE_RATIO = 1.3
_PAUSE_QUANTILE = 0.9  # a single long pause makes a stream miss its objective


class EngineConfigs(Protocol):
    """Looks up the engine models of services."""

    def engine(self, service: str) -> EngineModel | None:
        """Return the configured engine model of a service."""


class _StreamingService:
    """Measured pace and stream limit of a service with streamed answers.

    :ivar pass_s: median duration of a pass in seconds; 0 if unknown.
    :ivar max_slowness: step time of the slowest rank when the pace was last reset, as a
        multiple of the usual one.
    """

    __slots__ = ("pace", "limit", "pause_objective_s", "pass_s", "max_slowness")

    def __init__(self) -> None:
        self.pace = PassTiming()
        self.limit = StreamLimit()
        self.pause_objective_s = 0.0
        self.pass_s = 0.0
        self.max_slowness = 1.0


class StreamPacing:
    """The pace of all streaming services, from their first request on.

    :param engines: the configured engine models.
    :param groups: limits of the services whose groups are known.
    """

    def __init__(
        self,
        runners: RunnerList,
        placement: RunnerPlacement,
        engines: EngineConfigs,
        groups: GroupPacing,
    ) -> None:
        self._runners = runners
        self._placement = placement
        self._engines = engines
        self.groups = groups
        self._streaming_by_service: defaultdict[str, _StreamingService] = defaultdict(
            _StreamingService
        )

    def set_pause_objective(self, service: str, objective_s: float) -> None:
        """Set the longest pause between events that meets the objective."""
        self._streaming_by_service[service].pause_objective_s = objective_s

    def record_first_event(self, service: str, first_s: float) -> None:
        """Record the time from the start of an attempt to its first event."""
        self._streaming_by_service[service].pace.record_first_event(first_s)

    def record_pause(
        self, service: str, runner_id: str, pause_s: float, now: float
    ) -> None:
        """Record the time between two events of a stream at a runner."""
        self._streaming_by_service[service].pace.record_pause(pause_s, now)
        self.groups.record_pause(service, runner_id, pause_s, now)

    def first_event_s(self, service: str) -> float:
        """Return the usual time from the start of an attempt to its first event."""
        return self._streaming_by_service[service].pace.first_event_s

    def max_streams(self, service: str, slots: int, now: float) -> int:
        """Return the limit on requests in flight at runners with so many slots."""
        streaming = self._streaming_by_service.get(service)
        if streaming is None:
            return slots
        return streaming.limit.max_streams(
            streaming.pause_objective_s,
            self._fixed_pass_s(service),
            slots,
            len(self._runners.present(service)),
            now,
        )

    def measure(
        self,
        now: float,
        open_share: Callable[[str, float], float],
        waiting: Callable[[str], tuple[int, int]],
        closed: frozenset[str],
    ) -> list[dict[str, object]]:
        """Update each service's pace and limit; return them as log fields.

        :param open_share: returns the share of a service's slots in open groups.
        :param waiting: returns a service's requests that wait here, and at all entries.
        :param closed: names of the groups that take no requests.
        """
        return [
            {
                "service": service,
                **self._measure(service, streaming, open_share(service, now), now),
                **self.groups.measure(
                    service,
                    streaming.pause_objective_s,
                    self._engines.engine(service),
                    waiting(service),
                    now,
                    closed,
                ),
            }
            for service, streaming in self._streaming_by_service.items()
        ]

    def pass_s(self, service: str) -> float:
        """Return the median duration of a pass in seconds; 0 if unknown."""
        streaming = self._streaming_by_service.get(service)
        return 0.0 if streaming is None else streaming.pass_s

    def stream_cost_s(self, service: str, now: float) -> float:
        """Return the seconds that one stream adds to a pass now; 0 if unknown."""
        streaming = self._streaming_by_service.get(service)
        running = self.running(service)
        if streaming is None or running < _MIN_RUNNING:
            return 0.0
        pause_s = streaming.pace.recent_median_s(now)
        return max(pause_s - self._fixed_pass_s(service), 0.0) / running

    def running(self, service: str) -> int:
        """Return the requests in flight at a service's runners, of all entries."""
        return self._placement.running_sum(self._runners.present(service))

    def _measure(
        self, service: str, streaming: _StreamingService, share: float, now: float
    ) -> dict[str, object]:
        running = self.running(service)
        max_slowness = self._max_slowness(service)
        if max(max_slowness, streaming.max_slowness) > _PACE_CHANGE_RATIO * min(
            max_slowness, streaming.max_slowness
        ):
            streaming.max_slowness = max_slowness
            streaming.limit.reset()
            streaming.pace.reset()
        pause_s = streaming.pace.quantile_s(_PAUSE_QUANTILE, now)
        streaming.pass_s = streaming.pace.quantile_s(0.5, now)
        # As many streams in the open groups make the same pauses as if all were open.
        streams = round(running / share) if share > 0.0 else 0
        streaming.limit.add_measurement(
            pause_s, streams, self._fixed_pass_s(service), now
        )
        return {
            "pauses": streaming.pace.pause_count(now),
            "pause_s": round(pause_s, 4),
            "worst_s": round(streaming.pace.quantile_s(1.0, now), 4),
            "first_event_s": round(streaming.pace.first_event_s, 4),
            "running": running,
        }

    def _fixed_pass_s(self, service: str) -> float:
        engine = self._engines.engine(service)
        if engine is None:
            return 0.0
        # A rank without streams adds no fixed time.
        max_slowness = self._max_slowness(service, with_streams=True)
        return engine.step_s * engine.steps_per_pass * max_slowness

    def _max_slowness(self, service: str, *, with_streams: bool = False) -> float:
        """Return the slowest rank's step time as a multiple of the usual one."""
        if self._placement.none_slow:
            return 1.0
        return max(
            (
                self._placement.slowness(runner.runner_id)
                for runner in self._runners.present(service)
                if not with_streams or self._placement.running(runner.runner_id)
            ),
            default=1.0,
        )


__all__ = ["EngineConfigs", "StreamPacing"]
