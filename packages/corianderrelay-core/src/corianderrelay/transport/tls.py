"""TLS with certificate files named in the settings, which can be reloaded.

Open connections keep the certificate that was loaded when they were opened; new
connections use the one that was loaded last.
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
    """Certificate, private key and CA certificate of a listening port or of streams.

    :param settings: paths of the files.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._private_certificate: Any = None
        self._trust: Any = None
        self._server_options: Any = None

    def load(self) -> Result[None, SettingsError]:
        """Load the files; on an error the files loaded before stay in use."""
        try:
            private_certificate = self._load_private_certificate()
            trust = self._load_trust_root()
            options = _server_options(private_certificate, trust)
        except OSError as error:
            return Err(self._settings_error(f"can't be read ({error.strerror})"))
        except (crypto.Error, SSL.Error, ValueError) as error:
            return Err(self._settings_error(f"is not a valid PEM file ({error})"))
        self._private_certificate, self._trust, self._server_options = (
            private_certificate,
            trust,
            options,
        )
        return Ok(None)

    def getContext(self) -> Any:
        """Return the context for an incoming connection; called by Twisted."""
        return self._server_options.getContext()

    def wrap_client(self, endpoint: Any, host: str) -> Any:
        """Wrap a client endpoint in TLS that verifies the certificate of ``host``."""
        options: Any = optionsForClientTLS(
            host, trustRoot=self._trust, clientCertificate=self._private_certificate
        )
        return wrapClientTLS(options, endpoint)

    def _load_private_certificate(self) -> Any:
        certificate = Path(self._settings.certificate_file).read_text()
        key = Path(self._settings.private_key_file).read_text()
        return PrivateCertificate.loadPEM(f"{key}\n{certificate}")

    def _load_trust_root(self) -> Any:
        if self._settings.authority_file is None:
            return None
        pem = Path(self._settings.authority_file).read_bytes()
        return trustRootFromCertificates([Certificate.loadPEM(pem)])

    def _settings_error(self, reason: str) -> SettingsError:
        fault = Fault(
            f"{self._settings.certificate_file} or its key or authority",
            reason,
            "check that the paths are right and the files are in PEM format",
        )
        return settings_error("TLS", [fault])


def _server_options(private_certificate: Any, trust: Any) -> CertificateOptions:
    return CertificateOptions(
        privateKey=private_certificate.privateKey.original,
        certificate=private_certificate.original,
        trustRoot=trust,
        raiseMinimumTo=TLSVersion.TLSv1_2,
    )


__all__ = ["TlsFiles"]
