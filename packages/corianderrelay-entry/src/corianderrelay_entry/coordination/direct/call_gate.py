"""Decides at the door whether a request can be served at all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.direct.call import DirectCall
    from ...state.direct.catalog import Route
    from .config_watch import ConfigWatch

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503
NOT_READY_RETRY_S = 0.5  # the log is read again several times within it


@dataclass(frozen=True, slots=True)
class Passed:
    """A request that can be served.

    :param workspace: whose key it presents; ``None`` on routes that need none.
    :param priority: of its workspace, or else of its route; 0 is the most urgent.
    :param keyed: whether it may run only while its key is valid.
    """

    route: Route
    workspace: str | None
    priority: int
    keyed: bool


@dataclass(frozen=True, slots=True)
class Rejected:
    """A request that cannot be served here.

    :param retry_after_s: when asking again can help; ``None`` if it never does.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class CallGate:
    """Checks requests against the configuration in force."""

    __slots__ = ("_config", "_takes_more")

    def __init__(self, config: ConfigWatch) -> None:
        self._config = config
        self._takes_more = True

    def close(self) -> None:
        """Let no request pass any more."""
        self._takes_more = False

    def check(self, call: DirectCall) -> Passed | Rejected:
        """Decide on a request that has just been read."""
        catalog = self._config.catalog
        if not self._takes_more:
            return _not_now("this entry is leaving")
        if catalog is None:
            return _not_now("no configuration yet")
        route = catalog.route(call.host, call.path)
        if route is None:
            return Rejected(_NOT_FOUND, "no route matches")
        if not catalog.needs_key or route.public:
            return Passed(route, None, route.priority, keyed=False)
        if not self._config.keys_trusted():
            return _not_now("the proof that keys are still valid is too old")
        workspace = catalog.workspaces_by_key.get(call.key or "")
        if workspace is None:
            return Rejected(_UNAUTHORIZED, "the key is unknown")
        priority = route.priority
        if workspace.priority is not None:
            priority = workspace.priority
        return Passed(route, workspace.name, priority, keyed=True)

    def still_allows(self, call: DirectCall) -> bool:
        """Whether a request that has waited may still use its key."""
        catalog = self._config.catalog
        if catalog is None or not self._config.keys_trusted():
            return False
        return (call.key or "") in catalog.workspaces_by_key


def _not_now(reason: str) -> Rejected:
    return Rejected(_UNAVAILABLE, reason, NOT_READY_RETRY_S)


__all__ = ["NOT_READY_RETRY_S", "CallGate", "Passed", "Rejected"]
