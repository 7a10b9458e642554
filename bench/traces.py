"""Generates seeded traces of tokens by second and expert with named patterns."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import click
import numpy as np
from numpy.typing import NDArray

Loads = NDArray[np.float64]
_TraceGenerator = Callable[[np.random.Generator, int, int], Loads]

DURATION_S = 900
EXPERTS = 64
_TOKENS_PER_S = 400_000
_POPULARITY_SIGMA = 0.5
_PER_SECOND_SIGMA = 0.03


def _popularity(random: np.random.Generator, experts: int) -> Loads:
    weights = random.lognormal(0.0, _POPULARITY_SIGMA, experts)
    return np.asarray(weights / weights.sum())


def _constant(random: np.random.Generator, experts: int, duration_s: int) -> Loads:
    return np.tile(_popularity(random, experts), (duration_s, 1))


def _drift(random: np.random.Generator, experts: int, duration_s: int) -> Loads:
    """Drift gradually through three popularity distributions over the trace."""
    log_popularities = np.log([_popularity(random, experts) for _ in range(3)])
    position = np.linspace(0.0, 2.0, duration_s)[:, None]
    log_shares = log_popularities[0] + (
        log_popularities[1] - log_popularities[0]
    ) * np.minimum(position, 1.0)
    return np.asarray(
        np.exp(
            log_shares
            + (log_popularities[2] - log_popularities[1])
            * np.maximum(position - 1.0, 0.0)
        )
    )


def _abrupt_changes(
    random: np.random.Generator, experts: int, duration_s: int
) -> Loads:
    """Change popularity abruptly three times."""
    phases = [_popularity(random, experts) for _ in range(4)]
    lengths = np.diff(np.linspace(0, duration_s, 5).astype(int))
    return np.repeat(phases, lengths, axis=0)


def _oscillation(random: np.random.Generator, experts: int, duration_s: int) -> Loads:
    """Vary an eighth of the experts by 20% up and down with a period of 40 s."""
    base = _popularity(random, experts)
    amplitudes = np.zeros(experts)
    amplitudes[random.choice(experts, experts // 8, replace=False)] = 0.2
    phase = np.sin(np.arange(duration_s) * (2 * np.pi / 40.0))[:, None]
    return np.asarray(base * (1.0 + amplitudes * phase))


def _hot_expert(random: np.random.Generator, experts: int, duration_s: int) -> Loads:
    """Add a fifth of all tokens to one expert in the middle third of the trace."""
    base = _popularity(random, experts)
    loads = np.tile(base, (duration_s, 1))
    middle = slice(duration_s // 3, 2 * duration_s // 3)
    loads[middle] *= 0.8
    loads[middle, int(random.integers(experts))] += 0.2
    return loads


_GENERATORS_BY_NAME: dict[str, _TraceGenerator] = {
    "drift": _drift,
    "swing": _abrupt_changes,
    "oscillation": _oscillation,
    "hot": _hot_expert,
    "quiet": _constant,
}
TRACE_NAMES = tuple(_GENERATORS_BY_NAME)


def generate(
    name: str, seed: int, experts: int = EXPERTS, duration_s: int = DURATION_S
) -> Loads:
    """Return the tokens of the named trace, by second and expert."""
    random = np.random.default_rng([seed, TRACE_NAMES.index(name)])
    popularity = _GENERATORS_BY_NAME[name](random, experts, duration_s)
    popularity = popularity * random.lognormal(0.0, _PER_SECOND_SIGMA, popularity.shape)
    popularity /= popularity.sum(axis=1, keepdims=True)
    totals = random.poisson(_TOKENS_PER_S, duration_s)
    return random.multinomial(totals, popularity).astype(np.float64)


@click.command()
@click.argument("name", type=click.Choice(TRACE_NAMES))
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True)
@click.option("--experts", default=EXPERTS, show_default=True)
@click.option("--duration-s", default=DURATION_S, show_default=True)
def main(name: str, path: Path, seed: int, experts: int, duration_s: int) -> None:
    """Write the trace NAME to PATH, with one JSON line per second."""
    loads = generate(name, seed, experts, duration_s)
    rows = (
        json.dumps({"t_s": float(second), "tokens_by_expert": row.tolist()})
        for second, row in enumerate(loads)
    )
    path.write_text("\n".join(rows) + "\n")


if __name__ == "__main__":
    main()
