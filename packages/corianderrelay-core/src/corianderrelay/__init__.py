"""Shared library of corianderrelay, a load balancer for expert-parallel models."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
