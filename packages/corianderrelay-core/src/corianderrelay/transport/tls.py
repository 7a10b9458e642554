"""TLS from the certificate files named in the settings, which can be read again.

Connections that are open keep the certificate with which they were made; new ones
use the certificate read last.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from OpenSSL import SSL, crypto
from result import Err, Ok, Result
from twisted.internet.endpoints import wrapClientTLS
from twisted.internet.interfaces import IOpenSSLContextFactory
from twisted.internet.ssl import (
    Certificate,
    CertificateOptions,
    PrivateCertificate,
    TLSVersion,
    optionsForClientTLS,
    trustRootFromCertificates,
)
from zope.interface import implementer

from ..state.errors import SettingsError
from ..state.faults import Fault
from .settings_file import settings_error

if TYPE_CHECKING:
    from ..state.common_settings import TlsSettings


@implementer(IOpenSSLContextFactory)
class TlsFiles:
    """The certificate, key and authority of one listening port or set of streams.

    :param settings: names the files.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._own: Any = None
        self._trust: Any = None
        self._server_options: Any = None

    def load(self) -> Result[None, SettingsError]:
        """Read the files; on a fault what was read before stays in use."""
        try:
            own = self._read_own()
            trust = self._read_authority()
            options = _server_options(own, trust)
        except OSError as error:
            return Err(self._fault(f"can't be read ({error.strerror})"))
        except (crypto.Error, SSL.Error, ValueError) as error:
            return Err(self._fault(f"is no usable PEM file ({error})"))
        self._own, self._trust, self._server_options = own, trust, options
        return Ok(None)

    def getContext(self) -> Any:
        """Return the context of a new connection to us; called by Twisted."""
        return self._server_options.getContext()

    def wrap_client(self, endpoint: Any, host: str) -> Any:
        """Return the endpoint with TLS towards ``host``."""
        options: Any = optionsForClientTLS(
            host, trustRoot=self._trust, clientCertificate=self._own
        )
        return wrapClientTLS(options, endpoint)

    def _read_own(self) -> Any:
        certificate = Path(self._settings.certificate_file).read_text()
        key = Path(self._settings.private_key_file).read_text()
        return PrivateCertificate.loadPEM(f"{key}\n{certificate}")

    def _read_authority(self) -> Any:
        if self._settings.authority_file is None:
            return None
        pem = Path(self._settings.authority_file).read_bytes()
        return trustRootFromCertificates([Certificate.loadPEM(pem)])

    def _fault(self, reason: str) -> SettingsError:
        fault = Fault(
            f"{self._settings.certificate_file} or its key or authority",
            reason,
            "check the paths and that the files hold PEM text",
        )
        return settings_error("TLS", [fault])


def _server_options(own: Any, trust: Any) -> CertificateOptions:
    return CertificateOptions(
        privateKey=own.privateKey.original,
        certificate=own.original,
        trustRoot=trust,
        raiseMinimumTo=TLSVersion.TLSv1_2,
    )


__all__ = ["TlsFiles"]
