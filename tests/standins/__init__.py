"""Fakes of the platform's log, instance list, engine, weight store and services."""
