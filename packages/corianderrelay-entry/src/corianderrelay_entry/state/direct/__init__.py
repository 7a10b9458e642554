"""Decisions on requests that go straight to a runner, over HTTP."""
