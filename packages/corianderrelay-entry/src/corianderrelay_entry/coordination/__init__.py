"""Carries out the decisions of ``state``: reads logs, tracks members, runs switches."""
