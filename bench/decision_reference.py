"""Writes the table of log lines: ``python -m bench.decision_reference [--check]``."""

from __future__ import annotations

import sys
from pathlib import Path

from corianderrelay_entry.coordination.direct.decision_log import Decision
from corianderrelay_entry.coordination.direct.direct_metrics import DirectMetrics

_PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "decisions.md"
_HEAD = """# Log lines and metrics of the direct path

Made by `python -m bench.decision_reference`. Each line is one JSON object on standard
output. It has `message_type`, `timestamp` (time of day), `at_s` (steady clock),
`instance_id`, and `left_out` if lines of its kind were left out before it.

| `message_type` | what it tells |
| --- | --- |
"""
_METRICS_TABLE_HEAD = """
| metric | what it counts |
| --- | --- |
"""


def render_page() -> str:
    """Return the text of the page."""
    lines = "".join(f"| `{each.value}` | {each.meaning} |\n" for each in Decision)
    metrics = "".join(
        f"| `{each.name}` | {each.doc} |\n" for each in DirectMetrics().collectors()
    )
    return _HEAD + lines + _METRICS_TABLE_HEAD + metrics


def main() -> int:
    """Write the page, or check that it is as it would be written."""
    if "--check" not in sys.argv[1:]:
        _PAGE.write_text(render_page())
        return 0
    if _PAGE.exists() and _PAGE.read_text() == render_page():
        return 0
    print(f"{_PAGE.name} is out of date: run python -m bench.decision_reference")
    return 1


if __name__ == "__main__":
    sys.exit(main())
