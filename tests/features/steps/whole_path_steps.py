"""Steps that send requests end to end through a running system."""

from __future__ import annotations

import json
from typing import Any

from behave import then, when

from demo.processes import fetch
from demo.system import KIT_SHOP_KEY, STREET_LIBRARY_KEY
from tests.standins.engine_model import model_answer


def chat_body(prompt: str, *, stream: bool) -> bytes:
    """Return the body of a chat completion request."""
    messages = [{"role": "user", "content": prompt}]
    chat = {"model": "kit-model", "messages": messages, "stream": stream}
    return json.dumps(chat).encode()


def send_chat(entry: str, body: bytes, key: str) -> tuple[int, dict[str, str], bytes]:
    """Send a chat completion to an entry."""
    url = f"{entry}/v1/chat/completions"
    return fetch(url, "POST", body, Authorization=f"Bearer {key}")


def parse_answer_text(answer: bytes, *, streamed: bool) -> str:
    """Return the text of an answer; fail if a stream lacks its final event."""
    if not streamed:
        return str(json.loads(answer)["choices"][0]["message"]["content"])
    events = [line[6:] for line in answer.decode().splitlines() if line[:6] == "data: "]
    assert events[-1] == "[DONE]", events[-1]
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    return "".join(delta.get("content", "") for delta in deltas)


@when("a caller sends streamed and non-streamed chat completions to each entry")
def step_send_chats(context: Any) -> None:
    context.answers = [
        (
            prompt,
            stream,
            send_chat(entry, chat_body(prompt, stream=stream), KIT_SHOP_KEY),
        )
        for entry in context.system.entries
        for prompt in ("Which frames fit?", "How is wax foundation fixed?")
        for stream in (True, False)
    ]


@then("each answer is the model's answer to its prompt")
def step_own_answers(context: Any) -> None:
    for prompt, stream, (status, _, body) in context.answers:
        expected = "".join(model_answer(json.loads(chat_body(prompt, stream=stream))))
        assert status == 200, body
        assert parse_answer_text(body, streamed=stream) == expected


@when("callers send requests with wrong keys and tokens")
def step_wrong_keys(context: Any) -> None:
    entry = context.system.entries[0]
    body = chat_body("Hello", stream=False)
    _, headers, _ = send_chat(entry, body, KIT_SHOP_KEY)
    foreign_request_url = f"{entry}/v1/requests/{headers['x-request-id']}"
    operators_url = context.system.operator_urls[0]
    context.refusals = {
        "wrong key": send_chat(entry, body, "guessed"),
        "foreign request": fetch(
            foreign_request_url, Authorization=f"Bearer {STREET_LIBRARY_KEY}"
        ),
        "wrong token": fetch(
            f"{operators_url}/v1/status", Authorization="Bearer guessed"
        ),
    }
    context.next_status = send_chat(entry, body, STREET_LIBRARY_KEY)[0]


@then("each request gets its typed error and the next valid one is served")
def step_refused(context: Any) -> None:
    kinds = {
        name: json.loads(body)["error"]["kind"]
        for name, (_, _, body) in context.refusals.items()
    }
    assert kinds == {
        "wrong key": "unauthorized",
        "foreign request": "not_found",
        "wrong token": "unauthorized",
    }, kinds
    assert context.next_status == 200
