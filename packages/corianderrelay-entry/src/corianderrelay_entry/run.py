"""Runs the ``corianderrelay`` command with ``python -m corianderrelay_entry.run``."""

from __future__ import annotations

from .cli import main

if __name__ == "__main__":
    main()

__all__ = ["main"]
