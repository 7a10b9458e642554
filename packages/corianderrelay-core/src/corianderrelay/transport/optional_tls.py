"""Leaves the TLS library out of a process whose settings name no certificate.

Twisted imports pyOpenSSL whenever it is installed; a process that serves plain streams
would carry it in memory unused.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..state.common_settings import TlsSettings
    from .tls import TlsFiles

_LIBRARY = "OpenSSL"


def tls_files(settings: TlsSettings | None) -> TlsFiles | None:
    """Return the files that the settings name, not yet read."""
    if settings is None:
        return None
    from .tls import TlsFiles

    return TlsFiles(settings)


def block_tls_import_unless(used: bool, urls: Iterable[str]) -> None:
    """Make later imports of the TLS library fail, unless the process needs it.

    Call it before twisted's reactor is imported.

    :param used: whether the settings name certificates.
    :param urls: where the process connects to; one with ``https`` needs TLS.
    """
    if used or any(url.startswith("https:") for url in urls):
        return
    modules: dict[str, Any] = sys.modules
    modules.setdefault(_LIBRARY, None)


__all__ = ["block_tls_import_unless", "tls_files"]
