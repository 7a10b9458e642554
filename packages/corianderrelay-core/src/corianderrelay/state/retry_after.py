"""Reads the time that an HTTP answer gives in its Retry-After header."""

from __future__ import annotations

import math
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime


def parse_retry_after(text: str, answered_at: str, now: datetime) -> float | None:
    """Return the seconds, 0 if the time has passed, ``None`` if it cannot be read.

    :param text: seconds, also with a fraction, or a date.
    :param answered_at: date of the answer, from which a date counts; may be empty.
    :param now: used if the answer has no date.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_until(text, answered_at, now)
    return max(seconds, 0.0) if math.isfinite(seconds) else None


def _seconds_until(date: str, answered_at: str, now: datetime) -> float:
    try:
        end = parsedate_to_datetime(date)
        start = parsedate_to_datetime(answered_at) if answered_at else now
        return (_in_utc(end) - _in_utc(start)).total_seconds()
    except (TypeError, ValueError):
        return math.nan


def _in_utc(time: datetime) -> datetime:
    return time if time.tzinfo is not None else time.replace(tzinfo=UTC)


__all__ = ["parse_retry_after"]
