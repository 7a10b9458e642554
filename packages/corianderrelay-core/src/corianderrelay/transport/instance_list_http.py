"""HTTP client of the instance list; only this module depends on its HTTP API."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..coordination.instance_list import Instance, InstanceRole, InstanceState
from ..protocol.foreign_record import (
    MalformedRecordError,
    Port,
    decode_record,
    is_host,
    split_list,
)
from ..state.errors import UnavailableError
from .http_client import HttpClient, HttpResponse

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0
_OK = 200
_MAX_RECORD_BYTES = 65_536


class _ListedInstance(msgspec.Struct):
    instance_id: str
    role: InstanceRole
    zone: str
    host: str
    port: Port
    state: InstanceState


class _InstanceListBody(msgspec.Struct):
    instances: list[msgspec.Raw]


_DECODER = msgspec.json.Decoder(_ListedInstance)


class HttpInstanceList:
    """Implements :class:`~..coordination.instance_list.InstanceList`.

    :param base_url: for example ``http://10.0.0.5:7001``.
    :param timeout_s: timeout of a read, in seconds.
    """

    def __init__(
        self, reactor: ReactorBase, base_url: str, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._client = HttpClient(reactor, base_url)
        self._timeout_s = timeout_s

    def read(self) -> Deferred[dict[str, Instance]]:
        """Return the listed instances by id.

        Entries with a role or state that this version does not know are skipped.

        :raises UnavailableError: the list could not be read.
        """
        response = self._client.fetch("GET", "/instances", timeout_s=self._timeout_s)
        return response.addCallbacks(_decode_instances, _raise_read_failed)

    def close(self) -> Deferred[None]:
        """Close the idle persistent connections."""
        return self._client.close()


def _decode_instances(response: HttpResponse) -> dict[str, Instance]:
    if response.status != _OK:
        raise _unavailable(
            f"status {response.status}", response.retry_after_s(_RETRY_AFTER_S)
        )
    try:
        body = msgspec.json.decode(response.body, type=_InstanceListBody)
        raw_instances = list(map(bytes, body.instances))
    except RecursionError:
        raw_instances = split_list(response.body, b"instances")
    except ValueError as error:
        raise _unavailable(f"malformed response: {error}") from error
    listed = filter(None, map(_decode_instance, raw_instances))
    return {instance.instance_id: instance for instance in listed}


def _decode_instance(raw: bytes) -> Instance | None:
    try:
        listed = decode_record(_DECODER, raw, _MAX_RECORD_BYTES)
    except MalformedRecordError:
        return None
    if not is_host(listed.host):
        return None
    return Instance(
        listed.instance_id,
        listed.role,
        listed.zone,
        listed.host,
        listed.port,
        listed.state,
    )


def _raise_read_failed(failure: Failure) -> dict[str, Instance]:
    raise _unavailable(failure.getErrorMessage())


def _unavailable(
    reason: str, retry_after_s: float = _RETRY_AFTER_S
) -> UnavailableError:
    return UnavailableError(
        f"the instance list cannot be read: {reason}",
        "continue with the last list, or check `platform.instances_url`",
        retry_after_s=retry_after_s,
    )


__all__ = ["HttpInstanceList"]
