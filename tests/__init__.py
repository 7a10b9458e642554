"""Tests: features (behave), state machines (hypothesis) and stand-ins."""
