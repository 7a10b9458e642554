"""Hypothesis state machines that compare one component each with a test oracle."""
