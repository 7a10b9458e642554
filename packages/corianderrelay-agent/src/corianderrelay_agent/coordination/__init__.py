"""Runs attempts on the engine and plans the group's expert maps."""
