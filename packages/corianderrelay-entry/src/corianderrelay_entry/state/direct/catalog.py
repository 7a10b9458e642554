"""The active configuration of the direct path: routes, services, workspaces."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random


class RequestKind(Enum):
    """Whether a request of a route may be retried after an attempt that may have run.

    ``IDEMPOTENT`` requests may run more than once, ``ONCE`` requests may not. A
    ``STREAM`` is retried only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ExpertModel:
    """Configured layout of the experts of a service's engines.

    :param sets: number of layer sets; each has its own expert map.
    :param experts: experts per set.
    :param expert_slots: expert replicas that a rank can hold per set.
    :param max_new_per_set: experts per set that a rank may copy for one map switch.
    :param copy_s: time to copy one expert, in seconds.
    """

    sets: int
    experts: int
    expert_slots: int
    max_new_per_set: int
    copy_s: float


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Configured timing of a service's engines.

    :param step_s: time of a token step without running streams, in seconds.
    :param steps_per_pass: token steps between two synchronisations of the ranks; a
        pass is this many steps.
    :param report_lag_s: age of a runner's report when it arrives, in seconds.
    :param experts: ``None`` if the engines do not run in lock-step.
    :param form_s: time after the return of a lost rank until its group opens again, in
        seconds; 0 if it is not stated.
    """

    step_s: float = 0.0
    steps_per_pass: int = 1
    report_lag_s: float = 0.0
    experts: ExpertModel | None = None
    form_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable runners.

    :param engine: ``None`` for a plain service.
    :param cold_per_s: requests per second that a cold runner takes from all entries
        together; 0 for no limit.
    :param cold_s: seconds for which a runner is cold after its start.
    """

    name: str
    engine: EngineModel | None = None
    cold_per_s: float = 0.0
    cold_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Route:
    """Target services and request policy for a host and a path prefix.

    :param targets: pairs of service name and weight.
    :param attempts: maximum number of attempts per request.
    :param timeout_s: request timeout in seconds.
    :param objective_s: target time to the response, or to a stream's first event, in
        seconds.
    :param gap_objective_s: target for the longest pause between events, in seconds.
    :param priority: 0 is the highest priority.
    :param public: whether callers need no API key.
    :param resumable: whether an interrupted stream may be resumed at another runner.
    :param readable: whether the configuration's entry of this route could be read; if
        not, only its host and prefix are known.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    targets: tuple[tuple[str, float], ...]
    attempts: int
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    priority: int = 0
    public: bool = False
    resumable: bool = False
    readable: bool = True

    @property
    def retryable(self) -> bool:
        """Whether a request may be retried although an attempt may have run."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def draw_service(self, random: Random) -> str:
        """Pick one of the route's services at random by weight."""
        if len(self.targets) == 1:
            return self.targets[0][0]
        names = [name for name, _ in self.targets]
        return random.choices(names, [weight for _, weight in self.targets])[0]


@dataclass(frozen=True, slots=True)
class Workspace:
    """Owner of API keys.

    :param priority: overrides the route's priority; ``None`` to use the route's.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and timing of callers' requests.

    The defaults are common server limits and apply until a configuration sets others.
    """

    header_bytes: int = 32_768
    body_bytes: int = 1_048_576
    receive_head_s: float = 10.0
    idle_s: float = 30.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration, indexed for exact lookups.

    :param workspaces_by_key: empty if callers need no API key.
    :param needs_key: whether routes that are not public require an API key.
    :param fingerprint: digest of the document; tells two of the same version apart.
    :param unreadable: the parts of the document that could not be read, and why.
    :param partial_hosts: hosts of which a route's prefix could not be read; an empty
        name stands for any host.
    :param keys_complete: whether all API keys could be read.
    """

    version: int
    routes_by_host: dict[str, dict[str, Route]]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace]
    needs_key: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)
    fingerprint: str = ""
    unreadable: tuple[str, ...] = ()
    partial_hosts: frozenset[str] = frozenset()
    keys_complete: bool = True

    def may_lack_route(self, host: str) -> bool:
        """Return whether a route of the host may be among those not read."""
        return host in self.partial_hosts or "" in self.partial_hosts

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of ``path``.

        :param path: path without a query; prefixes begin and end with a slash.
        """
        routes_by_prefix = self.routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def routes_by_host(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    """Index routes by host, then by prefix."""
    indexed: dict[str, dict[str, Route]] = {}
    for route in routes:
        indexed.setdefault(route.host, {})[route.path_prefix] = route
    return indexed


__all__ = [
    "CallerLimits",
    "Catalog",
    "EngineModel",
    "ExpertModel",
    "RequestKind",
    "Route",
    "Service",
    "Workspace",
    "routes_by_host",
]
