"""Starts a whole small system on loopback."""
