"""Plots the results that the benchmarks print."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

_MARKERS_BY_POLICY = {
    "planner": "o",
    "planner_greedy": "x",
    "full_replan": "s",
    "threshold": "^",
    "never": "D",
}


def plot_planner(rows: list[dict[str, Any]], path: Path) -> None:
    """Plot p95 skew against bytes moved, with one panel for each number of ranks."""
    sizes = sorted({row["ranks"] for row in rows})
    if not sizes:
        return
    figure, panels = pyplot.subplots(1, len(sizes), figsize=(5 * len(sizes), 4))
    for ranks, panel in zip(sizes, panels):
        for policy, marker in _MARKERS_BY_POLICY.items():
            points = [
                row for row in rows if row["ranks"] == ranks and row["policy"] == policy
            ]
            panel.scatter(
                [row["moved_bytes"] / 1e9 + 0.01 for row in points],
                [row["skew_p95"] for row in points],
                marker=marker,
                label=policy,
            )
        panel.set(xscale="log", yscale="log", title=f"{ranks} ranks")
        panel.set(xlabel="GB moved", ylabel="p95 skew")
    panels[0].legend()
    _save(figure, path)


def plot_shares(rows: list[dict[str, Any]], path: Path) -> None:
    """Plot the wait of workspaces within their share and the utilisation by policy."""
    if not rows:
        return
    names = [row["policy"] for row in rows]
    figure, panels = pyplot.subplots(1, 2, figsize=(9, 4))
    panels[0].bar(names, [row["inside_wait_p99_steps"] for row in rows])
    panels[0].set(ylabel="p99 wait within the share, steps")
    panels[1].bar(names, [row["utilisation"] for row in rows])
    panels[1].set(ylabel="utilisation while requests wait")
    _save(figure, path)


def plot_slopes(rows: list[dict[str, Any]], path: Path) -> None:
    """Plot the measurements by size with their fitted lines."""
    if not rows:
        return
    columns = 3
    panel_rows = -(-len(rows) // columns)
    figure, panels = pyplot.subplots(panel_rows, columns, figsize=(13, 3 * panel_rows))
    for row, panel in zip(rows, panels.flat):
        fitted = [row["intercept"] + row["slope"] * size for size in row["sizes"]]
        panel.plot(row["sizes"], row["values"], "o", row["sizes"], fitted, "-")
        panel.set_title(row["quantity"], fontsize=8)
        panel.set_ylabel(row["unit"])
    _save(figure, path)


def plot_experiment(rows: list[dict[str, Any]], path: Path) -> None:
    """Plot the share of streams in time, with a group of bars for each load."""
    loads = list(dict.fromkeys(row["load"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    if not rows:
        return
    figure, panel = pyplot.subplots(figsize=(11, 4))
    width = 0.8 / len(policies)
    for policy_index, policy in enumerate(policies):
        bars = [row for row in rows if row["policy"] == policy]
        panel.bar(
            [loads.index(row["load"]) + policy_index * width for row in bars],
            [row["in_time"] for row in bars],
            width,
            label=policy,
        )
    panel.set_xticks(
        [position + 0.4 - width / 2 for position in range(len(loads))], loads
    )
    panel.set(ylabel="streams in time", ylim=(0.0, 1.0))
    panel.legend()
    _save(figure, path)


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})
    pyplot.close(figure)


__all__ = ["plot_experiment", "plot_planner", "plot_shares", "plot_slopes"]
