"""Steps that connect to a running system over TLS."""

from __future__ import annotations

import http.client
import json
import signal
import ssl
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from behave import given, then, when
from click.testing import CliRunner

from corianderrelay.protocol.messages import PROTOCOL_VERSION, Hello
from corianderrelay_entry.cli import main

from demo.system import KIT_SHOP_KEY, DemoSystem, temporary_folder
from tests.certificates import CertificateAuthority
from tests.features.steps.whole_path_steps import chat_body, parse_answer_text
from tests.frames import encode_frame
from tests.standins.engine_model import model_answer
from tests.waiting import wait_until

_TIMEOUT_S = 20.0


class _TlsSystem(DemoSystem):
    """A demo system that uses TLS for callers and for streams between processes."""

    def __init__(self, folder: Path, authority: CertificateAuthority) -> None:
        super().__init__(folder)
        self.entry_count = 1
        trusted = {"authority_file": str(authority.certificate_path)}
        self.agent_tls = authority.issue_certificate("agent") | trusted
        self.entry_stream_tls = authority.issue_certificate("entry-streams") | trusted
        self.caller_tls = authority.issue_certificate("callers")


@given("a running system with TLS for callers and between processes")
def step_tls_system(context: Any) -> None:
    folder = Path(context.cleanup.enter_context(temporary_folder()))
    context.authority = CertificateAuthority(folder)
    context.tls_system = _TlsSystem(folder, context.authority)
    context.cleanup.callback(context.tls_system.kill)
    context.tls_system.start()
    wait_until(lambda: context.tls_system.ready(4), "the entry lists all runners")
    context.client_context = ssl.create_default_context(
        cafile=str(context.authority.certificate_path)
    )
    # The test certificates lack the key identifiers that strict verification needs.
    context.client_context.verify_flags &= ~ssl.VERIFY_X509_STRICT
    context.open_connection = _connect(context)
    context.old_serial = _certificate_serial(context.open_connection)


def _connect(context: Any) -> http.client.HTTPSConnection:
    address = urlsplit(context.tls_system.entries[0])
    connection = http.client.HTTPSConnection(
        str(address.hostname),
        address.port,
        timeout=_TIMEOUT_S,
        context=context.client_context,
    )
    connection.connect()
    context.cleanup.callback(connection.close)
    return connection


def _certificate_serial(connection: http.client.HTTPSConnection) -> str:
    certificate: Any = connection.sock.getpeercert()
    return str(certificate["serialNumber"])


def _send_chat(connection: http.client.HTTPSConnection) -> str:
    body = chat_body("Is it safe?", stream=True)
    headers = {"Authorization": f"Bearer {KIT_SHOP_KEY}"}
    connection.request("POST", "/v1/chat/completions", body, headers)
    return parse_answer_text(connection.getresponse().read(), streamed=True)


@when("a caller that trusts the authority sends a chat completion")
def step_chat_over_tls(context: Any) -> None:
    context.answer = _send_chat(_connect(context))


@then("the caller gets its complete answer over TLS")
def step_whole_answer(context: Any) -> None:
    expected = model_answer(json.loads(chat_body("Is it safe?", stream=True)))
    assert context.answer == "".join(expected), context.answer


@then("an agent sends nothing to a peer without a certificate")
def step_no_certificate(context: Any) -> None:
    port = context.tls_system.agent_ports["agent-0"]
    connection = http.client.HTTPSConnection(
        "127.0.0.1", port, timeout=_TIMEOUT_S, context=context.client_context
    )
    try:
        connection.connect()
        connection.sock.sendall(
            encode_frame(Hello(PROTOCOL_VERSION, "x", 1, "z", "entry"))
        )
        received = connection.sock.recv(1024)
    except OSError:
        received = b""
    finally:
        connection.close()
    assert received == b"", received


@then("a caller without TLS gets no response")
def step_without_tls(context: Any) -> None:
    address = urlsplit(context.tls_system.entries[0])
    connection = http.client.HTTPConnection(
        str(address.hostname), address.port, timeout=_TIMEOUT_S
    )
    try:
        connection.request("GET", "/v1/entries")
        status = connection.getresponse().status
    except (OSError, http.client.HTTPException):
        status = 0
    finally:
        connection.close()
    assert status == 0, status


def _reload_certificates(context: Any) -> None:
    (entry,) = context.tls_system.processes_named("entry")
    entry.signal(signal.SIGHUP)
    wait_until(
        lambda: b"entry:tls_reloaded" in entry.log_path.read_bytes(),
        "the entry has reloaded its certificates",
    )


@when("the entry's certificate is replaced and the entry gets SIGHUP")
def step_replace(context: Any) -> None:
    context.authority.issue_certificate("callers")
    _reload_certificates(context)


@when("the entry's certificate is damaged and the entry gets SIGHUP")
def step_damage(context: Any) -> None:
    certificate_file = context.tls_system.caller_tls["certificate_file"]
    Path(certificate_file).write_text("damaged")
    _reload_certificates(context)


@then("new connections get the {expected_certificate} certificate")
def step_new_connections_certificate(context: Any, expected_certificate: str) -> None:
    unchanged = _certificate_serial(_connect(context)) == context.old_serial
    assert unchanged is (expected_certificate == "old"), expected_certificate


@then("a connection that was opened before is still served")
def step_open_still_served(context: Any) -> None:
    expected = model_answer(json.loads(chat_body("Is it safe?", stream=True)))
    assert _send_chat(context.open_connection) == "".join(expected)


@then("check-settings reports the damaged certificate")
def step_check_damaged(context: Any) -> None:
    settings_file = str(context.tls_system.folder / "entry-0.json")
    result = CliRunner().invoke(main, ["check-settings", "--settings", settings_file])
    assert result.exit_code == 1, result.output
    assert context.tls_system.caller_tls["certificate_file"] in result.output
