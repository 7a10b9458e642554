"""Typed messages and the codecs that turn them into bytes."""
