"""Deterministic Hypothesis settings, so that each run tests the same examples."""

from __future__ import annotations

from hypothesis import HealthCheck, settings


def machine_settings(examples: int, steps: int) -> settings:
    """Return deterministic settings: ``examples`` runs of up to ``steps`` rules."""
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        suppress_health_check=list(HealthCheck),
    )


__all__ = ["machine_settings"]
