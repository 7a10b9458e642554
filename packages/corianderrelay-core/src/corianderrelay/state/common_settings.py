"""Settings shared by entries and agents."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Host = Annotated[str, Meta(min_length=1, max_length=255)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0.0, le=86_400.0)]
Url = Annotated[str, Meta(pattern="^https?://[^/ ]+")]


class TlsSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Paths of the certificate, its private key and the CA for peer certificates."""

    certificate_file: Annotated[str, Meta(min_length=1)]
    private_key_file: Annotated[str, Meta(min_length=1)]
    authority_file: str | None = None


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """URLs of the platform's log service and instance list.

    ``log_retention_s`` is the minimum time that the log service keeps a record, in
    seconds.
    """

    log_url: Url
    instances_url: Url
    log_retention_s: Annotated[float, Meta(gt=0.0)] = 3600.0

    @property
    def urls(self) -> tuple[str, str]:
        """All platform URLs that the process connects to."""
        return self.log_url, self.instances_url


__all__ = ["Host", "PlatformSettings", "Port", "Seconds", "TlsSettings", "Url"]
