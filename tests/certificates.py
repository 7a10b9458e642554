"""Issues certificates for tests, signed by a new certificate authority per test."""

from __future__ import annotations

import datetime
import ipaddress
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

if TYPE_CHECKING:
    from pathlib import Path

_VALIDITY = datetime.timedelta(days=1)
_LOOPBACK_SAN = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))


class CertificateAuthority:
    """Signs certificates and writes them as PEM files into a folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._issuer_name = _common_name("test authority")
        self._certificate = self._sign(self._issuer_name, self._key, is_authority=True)
        self.certificate_path = folder / "authority.pem"
        self.certificate_path.write_bytes(_to_pem(self._certificate))

    def issue_certificate(self, name: str) -> dict[str, str]:
        """Write a new certificate and key; return TLS settings with their paths.

        :param name: common name and file stem; files of this name are replaced.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(_common_name(name), key, is_authority=False)
        certificate_file = self._folder / f"{name}.pem"
        key_file = self._folder / f"{name}.key"
        certificate_file.write_bytes(_to_pem(certificate))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {
            "certificate_file": str(certificate_file),
            "private_key_file": str(key_file),
        }

    def _sign(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, *, is_authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.timezone.utc)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._issuer_name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _VALIDITY)
            .not_valid_after(now + _VALIDITY)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(x509.SubjectAlternativeName([_LOOPBACK_SAN]), critical=False)
            .sign(self._key, hashes.SHA256())
        )


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _to_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


__all__ = ["CertificateAuthority"]
