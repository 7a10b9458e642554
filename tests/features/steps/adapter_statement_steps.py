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
