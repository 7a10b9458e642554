"""Runs the reactor inside a synchronous test step until a condition holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar, cast

from twisted.internet import reactor as _reactor
from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure
from twisted.web.server import Site

from tests.standins.http_helpers import HandlerResource

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

_Value = TypeVar("_Value")
_ITERATION_S = 0.01
_TIMEOUT_S = 30.0

reactor = cast("ReactorBase", _reactor)


def run_until(condition: Callable[[], bool], timeout_s: float = _TIMEOUT_S) -> None:
    """Run the reactor until ``condition()`` is true; fail after ``timeout_s``."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    deadline = reactor.seconds() + timeout_s
    while not condition():
        assert (
            reactor.seconds() < deadline
        ), f"condition still false after {timeout_s:g} s"
        reactor.iterate(_ITERATION_S)


def result_of(deferred: Deferred[_Value]) -> _Value:
    """Run the reactor until a Deferred fires; return its result or raise its error."""
    results: list[Any] = []
    deferred.addBoth(results.append)
    run_until(lambda: bool(results))
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return cast("_Value", results[0])


def serve_stand_in(
    handle: Callable[[Request, list[str]], None],
) -> tuple[str, Callable[[], None]]:
    """Serve a stand-in over HTTP on loopback; return its URL and a close function."""
    port: Any = reactor.listenTCP(  # type: ignore[attr-defined]
        0, Site(HandlerResource(handle)), interface="127.0.0.1"
    )

    def close() -> None:
        result_of(maybeDeferred(port.stopListening))

    return f"http://127.0.0.1:{port.getHost().port}", close


__all__ = ["reactor", "result_of", "run_until", "serve_stand_in"]
