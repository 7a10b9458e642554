"""Behave hooks: clean-up, and a running system for features with a system tag.

The scenarios of a feature with the tag ``demo_system`` or ``platform_system`` share one
system of processes. Each scenario of a feature with the tag ``crashing_runners`` has a
system of its own, with three entries.
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
    """Start the system that the feature's tags name."""
    context.feature_cleanup = ExitStack()
    if "demo_system" in feature.tags:
        folder = context.feature_cleanup.enter_context(temporary_folder())
        context.system = DemoSystem(Path(folder))
        context.feature_cleanup.callback(context.system.kill)
        context.system.start()
        wait_until(
            lambda: context.system.ready(_RUNNER_COUNT), "the entries list all runners"
        )
    if "platform_system" in feature.tags:
        folder = context.feature_cleanup.enter_context(temporary_folder())
        context.system = PlatformSystem(Path(folder))
        context.feature_cleanup.callback(context.system.close)
        context.system.start()


def after_feature(context: Any, feature: Any) -> None:
    """Stop the feature's system, if it has one."""
    context.feature_cleanup.close()


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the stack that collects the scenario's clean-up callbacks."""
    context.cleanup = ExitStack()
    if "crashing_runners" in scenario.feature.tags:
        folder = context.cleanup.enter_context(temporary_folder())
        context.system = PlatformSystem(Path(folder), entries=3)
        context.cleanup.callback(context.system.close)
        context.system.start()


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the scenario's clean-up callbacks in reverse order."""
    context.cleanup.close()
