"""Entry process: callers, operators and routing."""
