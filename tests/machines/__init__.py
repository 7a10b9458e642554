"""Hypothesis state machines; each compares a part of the system with an oracle."""
