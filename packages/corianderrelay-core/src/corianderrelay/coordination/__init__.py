"""Runs decisions over time: reads log streams, tracks members, drives map switches."""
