"""HTTP client of the weight store; only this module depends on its HTTP API."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from ..coordination.weight_store import ExpertWeights
from ..state.errors import UnavailableError
from .http_client import HttpClient

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from .http_client import HttpResponse

_TIMEOUT_S = 600.0
_RETRY_AFTER_S = 1.0
_OK = 200


class HttpWeightStore:
    """Implements :class:`~..coordination.weight_store.WeightStore`.

    :param timeout_s: timeout of a read in seconds, including its wait in the queue
        of the rate-limited store.
    """

    def __init__(
        self, reactor: ReactorBase, base_url: str, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._client = HttpClient(reactor, base_url)
        self._timeout_s = timeout_s

    def read(self, model: str, layer: int, expert: int) -> Deferred[ExpertWeights]:
        """Return the weights of one expert.

        :raises UnavailableError: the weights were not received completely.
        """
        response = self._client.fetch(
            "GET",
            f"/weights/{quote(model, safe='')}/{layer}/{expert}",
            timeout_s=self._timeout_s,
        )
        return response.addCallbacks(
            lambda received: ExpertWeights(model, layer, expert, _weights_of(received)),
            _raise_read_failed,
        )

    def close(self) -> Deferred[None]:
        """Close the idle persistent connections."""
        return self._client.close()


def _weights_of(response: HttpResponse) -> bytes:
    if response.status != _OK:
        retry_after_s = response.retry_after_s(_RETRY_AFTER_S)
        raise _unavailable(f"status {response.status}", retry_after_s)
    return response.body


def _raise_read_failed(failure: Failure) -> ExpertWeights:
    raise _unavailable(failure.getErrorMessage())


def _unavailable(
    reason: str, retry_after_s: float = _RETRY_AFTER_S
) -> UnavailableError:
    return UnavailableError(
        f"the weights cannot be read from the weight store: {reason}",
        "retry later, or check the address of the weight store",
        retry_after_s=retry_after_s,
    )


__all__ = ["HttpWeightStore"]
