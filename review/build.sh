#!/usr/bin/env bash
# Checks that the stand-ins of the cases, all in Python, can be loaded; nothing is built.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 - <<'PYTHON'
import importlib

for name in (
    "tests.standins.platform_store",
    "review.standins.system",
    "review.standins.lockstep",
    "review.standins.streaming",
):
    importlib.import_module(name)
PYTHON
