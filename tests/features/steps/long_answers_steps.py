"""Steps for agents whose endpoint sends bytes without end."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.processes import fetch
from demo.system import KIT_SHOP_KEY, DemoSystem, temporary_folder
from tests.harness.memory import peak_memory_mb
from tests.standins.endless_service import EndlessService
from tests.waiting import wait_until

_SLOTS = 64


class _EndlessSystem(DemoSystem):
    """One entry, and the agent of an endpoint that sends bytes without end."""

    def __init__(self, folder: Path, service: EndlessService) -> None:
        super().__init__(folder)
        self.engine_count, self.entry_count = 0, 1
        self._service = service

    def _start_agents(self) -> None:
        orders = {"url": self._service.url, "service": "orders", "slots": _SLOTS}
        self._start_agent("agent-orders", "oslo-a", orders, None)


def _ask(system: DemoSystem, path: str) -> int:
    key = f"Bearer {KIT_SHOP_KEY}"
    return int(fetch(f"{system.entries[0]}{path}", Authorization=key)[0])


@given("an entry and the agent of an endpoint with 64 slots")
def step_system(context: Any) -> None:
    service = EndlessService()
    context.cleanup.callback(service.close)
    folder = context.cleanup.enter_context(temporary_folder())
    system = context.system = _EndlessSystem(Path(folder), service)
    context.cleanup.callback(system.kill)
    system.start()
    wait_until(lambda: system.ready(1), "the entry lists the agent")
    assert _ask(system, "/services/orders/sound") == 200
    context.watched = [
        *system.processes_named("entry"),
        *system.processes_named("agent"),
    ]
    context.before_mb = [peak_memory_mb(process) for process in context.watched]


@when("{count:d} callers ask for {path:S} at once")
def step_ask(context: Any, count: int, path: str) -> None:
    with ThreadPoolExecutor(count) as pool:
        paths = [path] * count
        context.statuses = list(
            pool.map(lambda each: _ask(context.system, each), paths)
        )


@then("each of them gets an error, and a sound request is served at once")
def step_errors(context: Any) -> None:
    assert set(context.statuses) <= {502, 503}, context.statuses
    status = _ask(context.system, "/services/orders/sound")
    assert status == 200, status


@then("the memory of the entry and of the agent has grown by at most {limit:d} MB")
def step_memory(context: Any, limit: int) -> None:
    grown_mb = [
        peak_memory_mb(process) - before
        for process, before in zip(context.watched, context.before_mb)
    ]
    assert max(grown_mb) <= limit, f"grown by {grown_mb} MB"
