"""Steps for what runners state of themselves in the headers of their answers."""

from __future__ import annotations

from typing import Any

from behave import then, when

from corianderrelay_platform.headers import PlatformDialect


@when("an answer of a runner states the limit {stated}")
def step_states_limit(context: Any, stated: str) -> None:
    texts = [] if stated == "nothing" else stated.split("; ")
    values = [b"" if text == "empty" else text.encode() for text in texts]
    headers = [(b"Server-Limit", value) for value in values]
    context.head = PlatformDialect().decode_head(200, headers)


@then("its limit is {limit} and the unreadable text is {unreadable}")
def step_limit(context: Any, limit: str, unreadable: str) -> None:
    expected = None if limit == "none" else float(limit)
    assert context.head.limit_per_s == expected, context.head.limit_per_s
    text = "" if unreadable == "none" else unreadable
    assert context.head.unreadable_limit == text, context.head.unreadable_limit


@when("a runner answers with status {status:d} and {headers}")
def step_answers(context: Any, status: int, headers: str) -> None:
    pairs = (header.partition(": ") for header in headers.split("; "))
    encoded = [(name.encode(), value.encode()) for name, _, value in pairs]
    context.head = PlatformDialect().decode_head(status, encoded)


@then("it asks for {rest_s:g} s of rest, and the unreadable text is {unreadable}")
def step_rest(context: Any, rest_s: float, unreadable: str) -> None:
    assert context.head.rest_s == rest_s, context.head.rest_s
    text = "" if unreadable == "none" else unreadable
    assert context.head.unreadable_rest == text, context.head.unreadable_rest


@then("it {states} that it is leaving")
def step_leaving(context: Any, states: str) -> None:
    assert context.head.leaving == (states == "states")
