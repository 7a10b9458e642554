"""Steps for the fingerprints of requests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import then, when

from corianderrelay_entry.state.direct.call import DirectCall
from corianderrelay_entry.state.direct.fingerprint import request_fingerprint

_CALL = DirectCall("id-1", b"POST", b"/p/12", "shop", [], b"body", "key-1", 0.0)
_CHANGES: dict[str, dict[str, Any]] = {
    "request id": {"request_id": "id-2"},
    "API key": {"key": "key-2"},
    "resume offset": {"resume_after": "7"},
    "time limit": {"max_wait_s": 1.0},
    "body": {"body": b"other"},
    "target": {"target": b"/p/13"},
    "method": {"method": b"GET"},
    "host": {"host": "desk"},
    "workspace": {},
}


@when("a request is sent again with another {part}")
def step_changed(context: Any, part: str) -> None:
    workspace = "other" if part == "workspace" else "kit-shop"
    changed = replace(_CALL, **_CHANGES[part])
    context.fingerprint = request_fingerprint(changed, workspace)


@when("the last byte of a request's target becomes the first of its body")
def step_boundary(context: Any) -> None:
    moved = replace(_CALL, target=b"/p/1", body=b"2body")
    context.fingerprint = request_fingerprint(moved, "kit-shop")


@then("its fingerprint is {result}")
def step_fingerprint(context: Any, result: str) -> None:
    same = context.fingerprint == request_fingerprint(_CALL, "kit-shop")
    assert same == (result == "the same"), context.fingerprint
