"""Renders metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from aioprometheus.collectors import Collector

_TEXT_FORMAT = ["text/plain; version=0.0.4"]


class Metrics:
    """Registers collectors and renders their metrics."""

    __slots__ = ("_registry",)

    def __init__(self, collectors: list[Collector]) -> None:
        self._registry = Registry()
        for collector in collectors:
            self._registry.register(collector)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics as text, and the HTTP headers for that text."""
        content, headers_by_name = render(self._registry, _TEXT_FORMAT)
        return content, dict(headers_by_name)


__all__ = ["Metrics"]
