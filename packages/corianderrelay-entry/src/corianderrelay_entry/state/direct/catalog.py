"""The configuration in force on the direct path: routes, services, workspaces."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random


class RequestKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ExpertModel:
    """What a service's configuration says of its engines' experts.

    :param sets: sets of layers, each with its own map.
    :param experts: experts of a set.
    :param places: experts of a set that a rank holds.
    :param new_in_set: experts of a set that a rank may copy for one map.
    :param copy_s: time to copy one expert, in seconds.
    """

    sets: int
    experts: int
    places: int
    new_in_set: int
    copy_s: float


@dataclass(frozen=True, slots=True)
class EngineModel:
    """What a service's configuration says of its engines.

    :param step_s: time of a token step without writers, in seconds.
    :param steps_per_pass: steps that ranks make between two synchronisations.
    :param report_lag_s: how old a runner's report is, in seconds.
    :param experts: ``None`` if the engines do not step together.
    """

    step_s: float = 0.0
    steps_per_pass: int = 1
    report_lag_s: float = 0.0
    experts: ExpertModel | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable runners.

    :param engine: ``None`` for a plain service.
    """

    name: str
    engine: EngineModel | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and a path go, and what may be done with them.

    :param targets: services and their weights; one service has all the weight.
    :param attempts: most runners that one request may be sent to.
    :param timeout_s: longest time for which a caller is kept waiting.
    :param objective_s: time to the answer (a stream's first event) that is aimed at.
    :param gap_objective_s: longest pause between events that is aimed at.
    :param priority: 0 is the most urgent.
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

    @property
    def retryable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def service(self, random: Random) -> str:
        """Draw one of the route's services by their weights."""
        if len(self.targets) == 1:
            return self.targets[0][0]
        names = [name for name, _ in self.targets]
        return random.choices(names, [weight for _, weight in self.targets])[0]


@dataclass(frozen=True, slots=True)
class Workspace:
    """Whose key a caller presents.

    :param priority: goes before the route's priority; ``None`` without one.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send and how long they take.

    The defaults hold until a configuration names others; they are usual for servers.
    """

    header_bytes: int = 32_768
    body_bytes: int = 1_048_576
    receive_head_s: float = 10.0
    idle_s: float = 30.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration; lookups are by exact key.

    :param workspaces_by_key: empty if callers need no key.
    """

    version: int
    routes_by_host: dict[str, dict[str, Route]]
    services_by_name: dict[str, Service]
    workspaces_by_key: dict[str, Workspace]
    needs_key: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

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
