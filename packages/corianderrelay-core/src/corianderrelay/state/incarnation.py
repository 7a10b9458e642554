"""Incarnation numbers, which identify and order the runs of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

_RANDOM_BITS = 20
_MS_PER_S = 1000


def new_incarnation(wall_clock_s: float, random: Random) -> int:
    """Return an incarnation number that is larger than those of earlier runs.

    :param wall_clock_s: seconds since 1970; determines the order of runs.
    :param random: source of the low bits, which distinguish runs that start in the
        same millisecond.
    """
    started_ms = int(wall_clock_s * _MS_PER_S)
    return (started_ms << _RANDOM_BITS) | random.getrandbits(_RANDOM_BITS)


__all__ = ["new_incarnation"]
