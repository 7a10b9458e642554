"""Runs one stand-in: ``python -m tests.standins.run KIND --port N [options]``.

It prints one JSON line ``{"listening": port}`` once it listens; SIGTERM stops it.
"""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING, Any, cast

import click
from twisted.internet import reactor as _reactor
from twisted.web.server import Site

from corianderrelay.transport.http_client import HttpClient

from tests.standins.engine_batch import EngineBatch
from tests.standins.engine_control import EngineControl
from tests.standins.engine_handler import EngineHandler, IndependentStepper
from tests.standins.group_handler import (
    GroupHandler,
    GroupHub,
    RankStepper,
    remote_arrival,
)
from tests.standins.group_rank import NO_MAP, GroupRank
from tests.standins.http_helpers import HandlerResource
from tests.standins.instances_core import InstanceHistory, InstanceListFaults
from tests.standins.instances_handler import InstancesHandler
from tests.standins.log_handler import LogHandler
from tests.standins.log_store import LogFaults, LogStore
from tests.standins.prefix_cache import PrefixCache
from tests.standins.service_core import ServiceCore
from tests.standins.service_handler import ServiceHandler
from tests.standins.weights_core import WeightStore
from tests.standins.weights_handler import WeightsHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

reactor = cast("ReactorBase", _reactor)


def serve(handle: Callable[[Request, list[str]], None], host: str, port: int) -> None:
    """Listen, print the port on standard output, and serve until SIGTERM."""
    site = Site(HandlerResource(handle))
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
    serve(LogHandler(LogStore(faults), reactor).handle, host, port)


@main.command()
@click.option("--port", default=0)
@click.option("--slots", default=8)
@click.option("--step-s", default=0.01)
@click.option("--crash-on", default="", help="Exit on a prompt with this text.")
@click.option("--load-lag-s", default=0.5)
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.option("--cache-blocks", default=1024, help="Capacity of the prefix cache.")
@click.option("--event-lag-s", default=0.5, help="Delay of cache events.")
@click.option(
    "--event-gap-every", default=0, help="Hide every Nth cache event; 0 hides none."
)
@click.option("--rank", default=-1, help="Rank in a lock-step group; -1 for none.")
@click.option("--ranks", default=0, help="Size of the group; required for rank 0.")
@click.option(
    "--hub-url", default="", help="URL of rank 0's engine; required for other ranks."
)
@click.option("--weights-url", default="", help="URL of the weight store.")
@click.option("--model", default="m", help="Model whose weights are read.")
@click.option("--first-map", default=NO_MAP, help="Expert map active at start.")
@click.pass_obj
def engine(host: str, /, port: int, **options: Any) -> None:
    """Run a model engine, alone or as a rank of a lock-step group."""
    batch = EngineBatch(options["slots"], options["step_s"])
    cache = PrefixCache(
        options["cache_blocks"], options["event_lag_s"], options["event_gap_every"]
    )
    control = EngineControl(
        batch,
        cache,
        reactor,
        load_lag_s=options["load_lag_s"],
        checks_fencing=options["checks_fencing"],
    )
    handler = EngineHandler(batch, control, options["crash_on"])
    if options["rank"] < 0:
        handler.stepper = IndependentStepper(handler, batch, reactor)
        serve(handler.handle, host, port)
    else:
        serve(_create_group_handler(handler, batch, options).handle, host, port)


def _create_group_handler(
    handler: EngineHandler, batch: EngineBatch, options: dict[str, Any]
) -> GroupHandler:
    rank_number, first_map = options["rank"], options["first_map"]
    rank = GroupRank(rank_number, options["checks_fencing"], first_map)
    rank.incarnation = time.time_ns()
    hub = GroupHub(options["ranks"]) if rank_number == 0 else None
    arrive = (
        remote_arrival(HttpClient(reactor, options["hub_url"]), rank_number)
        if hub is None
        else lambda map_number: hub.arrive(0, map_number)
    )
    stepper = RankStepper(rank, handler, batch, reactor, arrive)
    handler.stepper = stepper
    stepper.start()
    url = options["weights_url"]
    weights = HttpClient(reactor, url) if url else None
    return GroupHandler(rank, handler, hub, weights, options["model"])


@main.command()
@click.option("--port", default=0)
@click.pass_obj
def service(host: str, port: int) -> None:
    """Run a plain service whose calls with effects must not be retried."""
    serve(ServiceHandler(ServiceCore(), reactor).handle, host, port)


@main.command()
@click.option("--port", default=0)
@click.option("--lag-s", default=1.0)
@click.pass_obj
def instances(host: str, port: int, lag_s: float) -> None:
    """Run the instance list, which is served with a lag."""
    history = InstanceHistory(InstanceListFaults(lag_s))
    serve(InstancesHandler(history, reactor).handle, host, port)


@main.command()
@click.option("--port", default=0)
@click.option("--bytes-per-s", default=1e9)
@click.option("--expert-bytes", default=1_000_000)
@click.pass_obj
def weights(host: str, port: int, bytes_per_s: float, expert_bytes: int) -> None:
    """Run the rate-limited weight store."""
    store = WeightStore(bytes_per_s, expert_bytes)
    serve(WeightsHandler(store, reactor).handle, host, port)


if __name__ == "__main__":
    sys.exit(main())
