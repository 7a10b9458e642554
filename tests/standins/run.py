"""Runs one stand-in: ``python -m tests.standins.run KIND --port N [options]``.

It prints one JSON line ``{"listening": port}`` when it listens; SIGTERM ends it.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, cast

import click
from twisted.internet import reactor as _reactor
from twisted.web.server import Site

from tests.standins.engine_batch import EngineBatch
from tests.standins.engine_face import EngineFace
from tests.standins.http_face import Face
from tests.standins.log_face import LogFace
from tests.standins.log_store import LogFaults, LogStore
from tests.standins.service_core import ServiceCore
from tests.standins.service_face import ServiceFace

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

reactor = cast("ReactorBase", _reactor)


def serve(handle: Callable[[Request, list[str]], None], host: str, port: int) -> None:
    """Listen, say so on standard output, and serve until SIGTERM."""
    site = Site(Face(handle))
    listening: Any = reactor.listenTCP(  # type: ignore[attr-defined]
        port, site, interface=host
    )
    print(json.dumps({"listening": listening.getHost().port}), flush=True)
    reactor.run()


@click.group()
@click.option("--host", default="127.0.0.1", help="Address to listen on.")
@click.pass_context
def main(context: click.Context, host: str) -> None:
    """Run a stand-in for a part of the platform."""
    context.obj = host


@main.command()
@click.option("--port", default=0)
@click.option("--appends-per-s", default=300.0)
@click.option("--retention-s", default=3600.0)
@click.pass_obj
def log(host: str, port: int, appends_per_s: float, retention_s: float) -> None:
    """Run the append-only log service."""
    faults = LogFaults(appends_per_s=appends_per_s, retention_s=retention_s)
    serve(LogFace(LogStore(faults), reactor).handle, host, port)


@main.command()
@click.option("--port", default=0)
@click.option("--slots", default=8)
@click.option("--step-s", default=0.01)
@click.option("--crash-on", default="", help="A prompt with this text ends it.")
@click.option("--load-lag-s", default=0.5)
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.pass_obj
def engine(
    host: str,
    port: int,
    slots: int,
    step_s: float,
    crash_on: str,
    load_lag_s: float,
    checks_fencing: bool,
) -> None:
    """Run a model engine."""
    face = EngineFace(
        EngineBatch(slots, step_s),
        reactor,
        crash_on=crash_on,
        load_lag_s=load_lag_s,
        checks_fencing=checks_fencing,
    )
    serve(face.handle, host, port)


@main.command()
@click.option("--port", default=0)
@click.pass_obj
def service(host: str, port: int) -> None:
    """Run a plain service whose changing calls must not be repeated."""
    serve(ServiceFace(ServiceCore(), reactor).handle, host, port)


if __name__ == "__main__":
    sys.exit(main())
