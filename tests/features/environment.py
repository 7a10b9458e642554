"""Hooks of behave: per-scenario clean-up lives here."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario a stack of clean-up calls."""
    context.cleanup = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the scenario's clean-up calls, last first."""
    context.cleanup.close()
