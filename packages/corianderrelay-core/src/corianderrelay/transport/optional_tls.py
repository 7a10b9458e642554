"""Keeps the TLS library out of processes that need no TLS.

Twisted imports pyOpenSSL whenever it is installed, so a process without TLS would keep
an unused library in memory.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..state.common_settings import TlsSettings
    from .tls import TlsFiles

_TLS_MODULE = "OpenSSL"


def tls_files(settings: TlsSettings | None) -> TlsFiles | None:
    """Return the TLS files named in the settings, without reading them."""
    if settings is None:
        return None
    from .tls import TlsFiles

    return TlsFiles(settings)


def block_tls_import_unless(used: bool, urls: Iterable[str]) -> None:
    """Make later imports of the TLS library fail, unless the process needs it.

    Must be called before Twisted's reactor is imported.

    :param used: whether the settings name certificate files.
    :param urls: URLs that the process connects to; an ``https`` URL needs TLS.
    """
    if used or any(url.startswith("https:") for url in urls):
        return
    modules: dict[str, Any] = sys.modules
    modules.setdefault(_TLS_MODULE, None)


__all__ = ["block_tls_import_unless", "tls_files"]
