"""Executes decisions: reads and appends log streams and switches expert maps."""
