"""Hooks of behave: clean-up, and a running system for the features that ask for one.

A feature with the tag ``demo_system`` shares one system of processes.
"""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path
from typing import Any

from demo.system import DemoSystem, temporary_folder
from tests.harness.platform_system import PlatformSystem
from tests.waiting import wait_until

_RUNNER_COUNT = 4


def before_feature(context: Any, feature: Any) -> None:
    """Start the system that the feature asks for."""
    context.feature_cleanup = ExitStack()
    if "demo_system" in feature.tags:
        folder = context.feature_cleanup.enter_context(temporary_folder())
        context.system = DemoSystem(Path(folder))
        context.feature_cleanup.callback(context.system.kill)
        context.system.start()
        wait_until(
            lambda: context.system.ready(_RUNNER_COUNT), "the entries know all runners"
        )
    if "platform_system" in feature.tags:
        folder = context.feature_cleanup.enter_context(temporary_folder())
        context.system = PlatformSystem(Path(folder))
        context.feature_cleanup.callback(context.system.close)
        context.system.start()


def after_feature(context: Any, feature: Any) -> None:
    """Stop the feature's system."""
    context.feature_cleanup.close()


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario a stack of clean-up calls."""
    context.cleanup = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the scenario's clean-up calls, last first."""
    context.cleanup.close()
