"""Steps that use the console like a browser without JavaScript."""

from __future__ import annotations

import base64
import html
import json
import re
from typing import Any
from urllib.parse import urlencode

from behave import given, then, when

from demo.processes import fetch
from tests.waiting import wait_until

_KEY_DIGEST = "ab" * 32
_FORM_FIELD = re.compile(
    r'<input type="hidden" name="(csrf|base|draft)" value="([^"]*)"'
)
_VALID_FORMS: dict[str, dict[str, str]] = {
    "workspaces": {
        "name": "new-shop",
        "display_name": "New shop",
        "key_digests": _KEY_DIGEST,
        "services": "orders",
    },
    "services": {"name": "new-service", "kind": "plain", "timeout_s": "10"},
    "groups": {
        "name": "new-group",
        "ranks": "2",
        "experts": "8",
        "slots_per_rank": "5",
        "skew_weight": "1",
        "move_cost": "1",
    },
}


class _Console:
    """An operator's browser; each post includes the last page's hidden fields."""

    def __init__(self, url: str, token: str) -> None:
        login = base64.b64encode(f"operator:{token}".encode()).decode()
        self.url = url
        self.headers = {"Authorization": f"Basic {login}"}
        self.hidden: dict[str, str] = {}
        self.status = 0
        self.page = ""

    def open(self) -> None:
        self.status, _, body = fetch(
            f"{self.url}/console/", "GET", None, **self.headers
        )
        self._read(body)

    def post(self, fields: dict[str, str], **headers: str) -> None:
        body = urlencode(self.hidden | fields).encode()
        self.status, _, answer = fetch(
            f"{self.url}/console/draft",
            "POST",
            body,
            **(self.headers | headers),
            Content_Type="application/x-www-form-urlencoded",
        )
        self._read(answer)

    def _read(self, body: bytes) -> None:
        self.page = body.decode()
        hidden_fields = {
            name: html.unescape(value) for name, value in _FORM_FIELD.findall(self.page)
        }
        self.hidden = hidden_fields or self.hidden

    @property
    def draft(self) -> dict[str, Any]:
        return dict(json.loads(self.hidden["draft"]))


def _console(context: Any, entry: int = 0) -> _Console:
    return _Console(context.system.operator_urls[entry], context.system.operator_token)


def _versions(context: Any) -> list[int]:
    urls = context.system.operator_urls
    return [context.system.status(url)["config_version"] for url in urls]


def _start_draft(console: _Console) -> None:
    console.open()
    assert console.status == 200, console.page
    console.post({"action": "start"})
    assert console.status == 200, console.page


def _add_workspace(console: _Console, **fields: str) -> None:
    form = _VALID_FORMS["workspaces"] | fields
    digest = form["name"].encode().hex().ljust(64, "0")[:64]
    console.post(
        {"action": "save", "collection": "workspaces", "item": ""}
        | form
        | {"key_digests": digest}
    )


@given("a console draft based on the active version")
def step_start_draft(context: Any) -> None:
    wait_until(
        lambda: len(set(_versions(context))) == 1, "both entries have the same version"
    )
    context.version = _versions(context)[0]
    context.console = _console(context)
    _start_draft(context.console)
    context.first_draft = context.console.draft


@given('another operator has meanwhile published the workspace "{name}"')
def step_other_publishes(context: Any, name: str) -> None:
    other = _console(context, entry=1)
    _start_draft(other)
    _add_workspace(other, name=name)
    other.post({"action": "publish", "author": "Ola"})
    assert other.status == 303, other.page
    wait_until(
        lambda: min(_versions(context)) > context.version,
        "both entries have the new version",
    )


@when('the operator adds the workspace "{name}" with the service "{service}"')
def step_add_workspace(context: Any, name: str, service: str) -> None:
    _add_workspace(context.console, name=name, services=service)
    assert name in context.console.draft["workspaces"], context.console.page


@when('the operator publishes the draft as "{author}"')
def step_publish(context: Any, author: str) -> None:
    context.console.post({"action": "publish", "author": author})


@then('the next version, with the workspace "{name}", is active at both entries')
def step_version_active(context: Any, name: str) -> None:
    assert context.console.status == 303, context.console.page
    wait_until(
        lambda: min(_versions(context)) == context.version + 1,
        "both entries have the new version",
    )
    other_console = _console(context, entry=1)
    _start_draft(other_console)
    assert name in other_console.draft["workspaces"], other_console.draft


def _status_pages(context: Any) -> list[str]:
    consoles = [_console(context, entry) for entry in range(2)]
    for console in consoles:
        console.open()
    return [console.page for console in consoles]


@then('the status page of each entry shows the change by "{author}"')
def step_status_shows_author(context: Any, author: str) -> None:
    assert context.console.status == 303, context.console.page
    wait_until(
        lambda: all(f"by {author}" in page for page in _status_pages(context)),
        "both status pages show the audit record",
    )


@when("the operator saves a {collection} form with {field} set to {value}")
def step_save_invalid_form(
    context: Any, collection: str, field: str, value: str
) -> None:
    entered = "" if value == "(empty)" else value
    changed = {field: entered}
    if field == "shares":
        changed = {
            "share_workspace_0": "kit-shop",
            "share_guaranteed_0": value.split()[1],
        }
    form = {"action": "save", "collection": collection, "item": ""}
    context.console.post(form | _VALID_FORMS[collection] | changed)


@then("the form shows an error at {field} and the draft is unchanged")
def step_error_at(context: Any, field: str) -> None:
    page = context.console.page
    assert f'id="{field}-fault"' in page, page
    assert context.console.draft == context.first_draft


@then('the draft shows an error that contains "{text}"')
def step_shows_error(context: Any, text: str) -> None:
    faults = re.findall(r'<p class="fault">([^<]*)</p>', context.console.page)
    assert any(text in fault for fault in faults), context.console.page


@then("publishing the draft fails")
def step_publish_fails(context: Any) -> None:
    context.console.post({"action": "publish", "author": "Kari"})
    assert context.console.status == 409, context.console.page
    assert set(_versions(context)) == {context.version}


@then('the console reports the other operator\'s change of "{name}"')
def step_conflict_reported(context: Any, name: str) -> None:
    assert context.console.status == 409, context.console.page
    alerts = re.findall(r'role="alert">([^<]*)<', context.console.page)
    assert any(name in alert and "Ola" in alert for alert in alerts), alerts


@then('the draft still has the workspace "{name}" and can be rebased')
def step_keeps_draft(context: Any, name: str) -> None:
    assert name in context.console.draft["workspaces"]
    context.console.post({"action": "rebase"})
    assert int(context.console.hidden["base"]) == max(_versions(context))
    assert name in context.console.draft["workspaces"]


@when("the draft is published by a post {how}")
def step_forged_post(context: Any, how: str) -> None:
    publish = {"action": "publish", "author": "Mallory"}
    console = context.console
    if how == "without the token":
        console.headers = {}
    if how == "without the CSRF token":
        publish["csrf"] = "0" * 64
    forged_headers = {
        "from another site": {"Sec_Fetch_Site": "cross-site"},
        "with another origin": {"Origin": "http://elsewhere.example"},
    }
    console.post(publish, **forged_headers.get(how, {}))


@then("the console answers {status:d} and the active version is unchanged")
def step_console_answers(context: Any, status: int) -> None:
    assert context.console.status == status, context.console.page
    assert set(_versions(context)) == {context.version}


@when('the operator adds a workspace with the display name "{text}"')
def step_add_display_name(context: Any, text: str) -> None:
    context.script = text
    _add_workspace(context.console, name="odd-shop", display_name=text)


@then("no page of the console contains that script unescaped")
def step_no_script(context: Any) -> None:
    edit = {"action": "edit", "collection": "workspaces", "item": "odd-shop"}
    for fields in ({"action": "show"}, edit, {"action": "review"}):
        context.console.post(fields)
        assert context.console.status == 200, context.console.page
        assert "odd-shop" in context.console.page
        assert context.script not in context.console.page
