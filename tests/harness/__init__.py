"""Test harness that starts systems of real processes and runs the reactor."""
