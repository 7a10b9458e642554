"""Steps for requests that crash the runners that run them."""

from __future__ import annotations

import http.client
import itertools
import time
import urllib.error
from typing import Any

from behave import then, when

_REQUEST_INTERVAL_S = 0.4
_REFUSED_AT_ONCE_S = 0.5


def _request(context: Any, path: str, host: str) -> None:
    """Send one request and record its status, headers and duration."""
    sent_at = time.monotonic()
    status, headers = 0, {}
    try:
        _, status, headers, _ = context.system.send_request(path, host=host)
    except (http.client.HTTPException, urllib.error.URLError, OSError):
        pass  # the stream was cut
    context.outcomes.append((status, headers, time.monotonic() - sent_at))


@when("{path:S} is requested {count:d} times, at each entry in turn")
def step_request_repeatedly(context: Any, path: str, count: int) -> None:
    context.outcomes = []
    for host in itertools.islice(itertools.cycle(context.system.hosts), count):
        _request(context, path, host)
        time.sleep(_REQUEST_INTERVAL_S)


@then("it has crashed at most {count:d} runners")
def step_crashes(context: Any, count: int) -> None:
    crashes = context.system.fleet.crashes
    assert 0 < len(crashes) <= count, [crash.runner_id for crash in crashes]


@then(
    "the last {count:d} requests were refused at once, "
    "with a Retry-After of at least {seconds:d} s"
)
def step_refused(context: Any, count: int, seconds: int) -> None:
    for status, headers, took_s in context.outcomes[-count:]:
        assert status == 503, context.outcomes
        assert float(headers["retry-after"]) >= seconds, headers
        assert took_s < _REFUSED_AT_ONCE_S, took_s


@then("other requests are served by every entry")
def step_others_served(context: Any) -> None:
    for path, host in itertools.product(
        ("/stock/whole", "/orders/whole", "/stream/whole"), context.system.hosts
    ):
        status = context.system.send_request(path, host=host)[1]
        assert status == 200, (path, host, status)
