"""Starts a small system, sends sample requests and stops it (``make demo``)."""

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
_RUNNER_COUNT = 4
_STOP_SIGNALS = {signal.SIGINT, signal.SIGTERM}
_IDEMPOTENCY_KEY = "demo-order-1"


@click.command()
@click.option("--once", is_flag=True, help="Stop after the sample requests.")
def main(once: bool) -> None:
    """Start a small system on loopback and send sample requests to it."""
    with temporary_folder() as folder:
        system = DemoSystem(Path(folder))
        try:
            system.start()
            _wait_until_ready(system)
            _send_sample_requests(system)
            if not once:
                _wait_for_signal(system)
        finally:
            exit_codes = system.stop()
        _demonstrate_platform_adapter(Path(folder))
        click.echo(f"processes stopped with exit codes: {dict(exit_codes)}")
    sys.exit(0 if not any(code for _, code in exit_codes) else 1)


def _wait_until_ready(system: DemoSystem) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while not system.ready(_RUNNER_COUNT):
        if time.monotonic() > deadline:
            raise click.ClickException("the entries did not become ready in time")
        time.sleep(0.1)


def _send_sample_requests(system: DemoSystem) -> None:
    authorization = f"Bearer {KIT_SHOP_KEY}"
    first_entry, second_entry = system.entries
    entries = _get_json(f"{first_entry}/v1/entries?zone=oslo-b")
    click.echo(f"available entries: {json.dumps(entries)}")
    chat = {
        "model": "kit-model",
        "messages": [{"role": "user", "content": "Which frames fit a 10-frame hive?"}],
        "stream": True,
    }
    status, headers, body = fetch(
        f"{first_entry}/v1/chat/completions",
        "POST",
        json.dumps(chat).encode(),
        Authorization=authorization,
    )
    click.echo(f"chat completion: {status}, request {headers.get('x-request-id')}")
    click.echo(body.decode())
    request_id = headers.get("x-request-id", "")
    request_status = _get_json(
        f"{first_entry}/v1/requests/{request_id}", Authorization=authorization
    )
    click.echo(f"request status: {json.dumps(request_status)}")
    for entry in (first_entry, second_entry):
        status, headers, body = fetch(
            f"{entry}/services/orders/orders",
            "POST",
            json.dumps({"item": "frame kit", "count": 2}).encode(),
            Authorization=authorization,
            Idempotency_Key=_IDEMPOTENCY_KEY,
            Content_Type="application/json",
        )
        click.echo(f"order sent to {entry}: {status} {body.decode()}")
    executions = _get_json(f"{system.service_url}/executions")
    click.echo(f"orders that the service executed: {json.dumps(executions)}")
    for rank, url in enumerate(system.engine_urls[: system.group_ranks]):
        status = _get_json(f"{url}/group/status")
        click.echo(
            f"status of rank {rank} in the lock-step group: {json.dumps(status)}"
        )
    click.echo(
        "to send requests by hand, start 'make run' and use:\n"
        f"  curl {first_entry}/v1/entries\n"
        f"  curl -H '{'Authorization: ' + authorization}' {first_entry}/v1/models\n"
        f"  curl -N -H 'Authorization: {authorization}' -d '{json.dumps(chat)}' "
        f"{first_entry}/v1/chat/completions"
    )


def _demonstrate_platform_adapter(folder: Path) -> None:
    """Serve one request through the platform adapter, using platform stand-ins."""
    system = PlatformSystem(folder)
    try:
        system.start()
        _, status, _, body = system.send_request("/stream/whole")
        click.echo(
            f"entries on the platform: {json.dumps(system.resolve(system.hosts[0]))}"
        )
        click.echo(f"stream through the platform adapter: {status}")
        click.echo(body.decode())
    finally:
        system.close()


def _wait_for_signal(system: DemoSystem) -> None:
    click.echo(f"operators: {system.operator_urls}, token {system.operator_token}")
    click.echo("running; press Ctrl-C to stop")
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    signal.sigwait(_STOP_SIGNALS)
    click.echo("stopping")


def _get_json(url: str, **headers: str) -> Any:
    return json.loads(fetch(url, "GET", None, **headers)[2])


if __name__ == "__main__":
    main()
