"""Settings under which the machines run: the same verdict every time."""

from __future__ import annotations

from hypothesis import HealthCheck, settings


def machine_settings(examples: int, steps: int) -> settings:
    """Return deterministic settings for this many examples of this many steps."""
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        suppress_health_check=list(HealthCheck),
    )


__all__ = ["machine_settings"]
