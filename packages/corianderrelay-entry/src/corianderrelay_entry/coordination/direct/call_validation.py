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
class AcceptedCall:
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
class RejectedCall:
    """A request that cannot be served here.

    :param retry_after_s: when asking again can help; ``None`` if it never does.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class CallValidator:
    """Checks requests against the configuration in force."""

    __slots__ = ("_config", "_accepts_calls")

    def __init__(self, config: ConfigWatch) -> None:
        self._config = config
        self._accepts_calls = True

    def close(self) -> None:
        """Let no request pass any more."""
        self._accepts_calls = False

    def check(self, call: DirectCall) -> AcceptedCall | RejectedCall:
        """Decide on a request that has just been read."""
        catalog = self._config.catalog
        if not self._accepts_calls:
            return _unavailable("this entry is leaving")
        if catalog is None:
            return _unavailable("no configuration yet")
        route = catalog.route(call.host, call.path)
        if route is None:
            return RejectedCall(_NOT_FOUND, "no route matches")
        if not catalog.needs_key or route.public:
            return AcceptedCall(route, None, route.priority, keyed=False)
        if not self._config.keys_trusted():
            return _unavailable("the proof that keys are still valid is too old")
        workspace = catalog.workspaces_by_key.get(call.key or "")
        if workspace is None:
            return RejectedCall(_UNAUTHORIZED, "the key is unknown")
        priority = route.priority
        if workspace.priority is not None:
            priority = workspace.priority
        return AcceptedCall(route, workspace.name, priority, keyed=True)

    def key_still_valid(self, call: DirectCall) -> bool:
        """Whether a request that has waited may still use its key."""
        catalog = self._config.catalog
        if catalog is None or not self._config.keys_trusted():
            return False
        return (call.key or "") in catalog.workspaces_by_key


def _unavailable(reason: str) -> RejectedCall:
    return RejectedCall(_UNAVAILABLE, reason, NOT_READY_RETRY_S)


__all__ = ["NOT_READY_RETRY_S", "CallValidator", "AcceptedCall", "RejectedCall"]
