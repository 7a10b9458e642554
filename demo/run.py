"""``make demo``: starts a small system, sends requests through it, and stops it."""

from __future__ import annotations

import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

import click

from .processes import fetch
from .system import KIT_SHOP_KEY, DemoSystem, temporary_folder
from tests.harness.platform_system import PlatformSystem

_READY_TIMEOUT_S = 20.0
_RUNNERS = 4
_STOP_SIGNALS = {signal.SIGINT, signal.SIGTERM}
_KEY = "demo-order-1"


@click.command()
@click.option("--once", is_flag=True, help="Stop after the requests.")
def main(once: bool) -> None:
    """Start a whole small system on loopback and use it."""
    with temporary_folder() as folder:
        system = DemoSystem(Path(folder))
        try:
            system.start()
            _wait_until_ready(system)
            _show(system)
            if not once:
                _wait_for_signal(system)
        finally:
            exit_codes = system.stop()
        _show_platform(Path(folder))
        click.echo(f"stopped: {dict(exit_codes)}")
    sys.exit(0 if not any(code for _, code in exit_codes) else 1)


def _wait_until_ready(system: DemoSystem) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while not system.ready(_RUNNERS):
        if time.monotonic() > deadline:
            raise click.ClickException("the entries did not become ready in time")
        time.sleep(0.1)


def _show(system: DemoSystem) -> None:
    authorization = f"Bearer {KIT_SHOP_KEY}"
    first, second = system.entries
    entries = _get_json(f"{first}/v1/entries?zone=oslo-b")
    click.echo(f"entries to use: {json.dumps(entries)}")
    chat = {
        "model": "kit-model",
        "messages": [{"role": "user", "content": "Which frames fit a 10-frame hive?"}],
        "stream": True,
    }
    status, headers, body = fetch(
        f"{first}/v1/chat/completions",
        "POST",
        json.dumps(chat).encode(),
        Authorization=authorization,
    )
    click.echo(f"chat completion: {status}, request {headers.get('x-request-id')}")
    click.echo(body.decode())
    request_id = headers.get("x-request-id", "")
    ran = _get_json(f"{first}/v1/requests/{request_id}", Authorization=authorization)
    click.echo(f"where it ran: {json.dumps(ran)}")
    for entry in (first, second):
        status, headers, body = fetch(
            f"{entry}/services/orders/orders",
            "POST",
            json.dumps({"item": "frame kit", "count": 2}).encode(),
            Authorization=authorization,
            Idempotency_Key=_KEY,
            Content_Type="application/json",
        )
        click.echo(f"order at {entry}: {status} {body.decode()}")
    executions = _get_json(f"{system.service_url}/executions")
    click.echo(f"orders that the service ran: {json.dumps(executions)}")
    for rank, url in enumerate(system.engine_urls[: system.group_ranks]):
        status = _get_json(f"{url}/group/status")
        click.echo(f"rank {rank} of the lock-step group: {json.dumps(status)}")
    click.echo(
        "try it by hand while 'make run' is up:\n"
        f"  curl {first}/v1/entries\n"
        f"  curl -H '{'Authorization: ' + authorization}' {first}/v1/models\n"
        f"  curl -N -H 'Authorization: {authorization}' -d '{json.dumps(chat)}' "
        f"{first}/v1/chat/completions"
    )


def _show_platform(folder: Path) -> None:
    """Serve one request through the platform's adapter, before stand-ins."""
    system = PlatformSystem(folder)
    try:
        system.start()
        _, status, _, body = system.send_request("/stream/whole")
        click.echo(
            f"entries on the platform: {json.dumps(system.resolve(system.hosts[0]))}"
        )
        click.echo(f"a stream through the platform's adapter: {status}")
        click.echo(body.decode())
    finally:
        system.close()


def _wait_for_signal(system: DemoSystem) -> None:
    click.echo(f"operators: {system.operators}, token {system.operator_token}")
    click.echo("running; stop with Ctrl-C")
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    signal.sigwait(_STOP_SIGNALS)
    click.echo("stopping")


def _get_json(url: str, **headers: str) -> Any:
    return json.loads(fetch(url, "GET", None, **headers)[2])


if __name__ == "__main__":
    main()
