"""Runs features in parallel behave processes and prints a summary.

The exit status is 0 if scenarios ran and all that failed are in KNOWN-RED.txt.
"""

from __future__ import annotations

import itertools
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from tests.known_red import read_known_red

_ROOT = Path(__file__).resolve().parent.parent
_FEATURES = _ROOT / "tests" / "features"
_MAX_PARALLEL_RUNS = 4
_FEATURE_TIMEOUT_S = 460


def _run_feature(feature: Path) -> tuple[list[tuple[str, str]], str]:
    """Run one feature file; return (scenario, status) pairs and behave's output."""
    name = str(feature.relative_to(_FEATURES))
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["-f", "json", "-o", str(report), "-f", "plain", str(feature)]
        environment = os.environ | {"PYTHONPATH": str(_ROOT)}
        try:
            completed = subprocess.run(
                command,
                cwd=_ROOT,
                env=environment,
                capture_output=True,
                text=True,
                timeout=_FEATURE_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired as error:
            return [(f"{name}: timed out", "failed")], str(error)
        output = completed.stdout + completed.stderr
        try:
            results = _scenario_statuses(name, json.loads(report.read_text()))
        except (OSError, ValueError):
            return [(f"{name}: behave wrote no valid report", "failed")], output
    if completed.returncode and all(status == "passed" for _, status in results):
        results.append((f"{name}: behave exited with {completed.returncode}", "failed"))
    return results, output


def _scenario_statuses(
    name: str, report: list[dict[str, Any]]
) -> list[tuple[str, str]]:
    elements = itertools.chain.from_iterable(
        feature.get("elements", []) for feature in report
    )
    return [
        (f"{name}: {element['name'].strip()}", element.get("status", "failed"))
        for element in elements
        if element["type"] == "scenario"
    ]


def main() -> int:
    """Run the feature files given as arguments, or all; return the exit status."""
    features = [Path(argument).resolve() for argument in sys.argv[1:]]
    features = features or sorted(_FEATURES.rglob("*.feature"))
    known_red = read_known_red(_ROOT / "KNOWN-RED.txt")
    results: list[tuple[str, str]] = []
    with ThreadPoolExecutor(_MAX_PARALLEL_RUNS) as pool:
        for feature, (scenarios, output) in zip(
            features, pool.map(_run_feature, features)
        ):
            not_passed = [test for test, status in scenarios if status != "passed"]
            print(f"{feature.relative_to(_FEATURES)}: {len(scenarios)} scenarios")
            if not_passed:
                print(output)
            results += scenarios
    return _summarise(results, known_red)


def _summarise(results: list[tuple[str, str]], known_red: dict[str, str]) -> int:
    failed = [test for test, status in results if status != "passed"]
    unexpected = [test for test in failed if test not in known_red]
    for test in failed:
        label = "known red" if test in known_red else "FAILED"
        print(f"{label}: {known_red.get(test, test)}")
    passing_known_red = set(known_red) & {
        test for test, status in results if status == "passed"
    }
    for test in sorted(passing_known_red):
        print(f"known red test passes, remove it from KNOWN-RED.txt: {test}")
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    return 1 if unexpected or not results else 0


if __name__ == "__main__":
    sys.exit(main())
