"""Arranges decisions over time: follows logs, keeps members, drives switches."""
