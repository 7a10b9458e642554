"""Connections of the direct path: callers, runners and other entries."""
