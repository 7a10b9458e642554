"""Steps for prompt parts that crash the runners that begin to answer on them."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
import urllib.error
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when

from tests.standins.platform_runner import whole_stream

_DEADLY_PATH = "/stream/part"
_SOUND_PATH = "/stream/whole"
_SOUND_INTERVAL_S = 0.1
_FIRST_PARTS = 6
_WINDOW_S = 3.0  # the time within which all entries must know of a crash


class SoundRequest:
    """A request without a part that crashes runners.

    :param sent_at: monotonic time in seconds.
    :param first_part: the part that it shares with others.
    :param served: whether its caller had the complete stream at the first attempt.
    """

    __slots__ = ("sent_at", "first_part", "served")

    def __init__(self, sent_at: float, first_part: str, served: bool) -> None:
        self.sent_at = sent_at
        self.first_part = first_part
        self.served = served


def _prompt(number: int, *parts: str) -> tuple[str, str]:
    """Return the first part and the header that lists the parts of a prompt."""
    first = f"f{number % _FIRST_PARTS}"
    own = f"{number:x}"
    return first, ",".join(f"{part}:20" for part in (first, *parts, own))


def _send(context: Any, path: str, host: str, number: int, *parts: str) -> SoundRequest:
    sent_at = time.monotonic()
    first, prompt = _prompt(number, *parts)
    served = False
    try:
        _, status, _, body = context.system.send_request(
            path,
            host=host,
            body=b"%d %s" % (number, path.encode()),
            Corianderrelay_Prefix_Hash=prompt,
        )
        served = (status, body) == (200, whole_stream())
    except (http.client.HTTPException, urllib.error.URLError, OSError):
        pass  # the stream was cut
    return SoundRequest(sent_at, first, served)


@given("prompts with part {parts} crash runners")
def step_deadly(context: Any, parts: str) -> None:
    context.system.fleet.deadly_parts.update(parts.split(" or "))
    context.sound = []


@when(
    "{count:d} requests with part {parts} come {gap_s:g} s apart, at each entry in "
    "turn, and sound ones beside them"
)
def step_beside(context: Any, count: int, parts: str, gap_s: float) -> None:
    hosts = context.system.hosts
    stop = threading.Event()

    def send_sound(offset: int) -> None:
        for number in itertools.count(offset, len(hosts)):
            if stop.wait(_SOUND_INTERVAL_S):
                return
            context.sound.append(_send(context, _SOUND_PATH, hosts[offset], number))

    deadly = itertools.cycle(parts.split(" or "))
    with ThreadPoolExecutor(len(hosts)) as pool:
        senders = [pool.submit(send_sound, offset) for offset in range(len(hosts))]
        for number, host in zip(range(count), itertools.cycle(hosts)):
            _send(context, _DEADLY_PATH, host, number, next(deadly))
            time.sleep(gap_s)
        stop.set()
    for sender in senders:
        sender.result()


@then(
    "at most {count:d} requests with it reached runners later than {window_s:d} s "
    "after the fifth crash"
)
def step_arrivals(context: Any, count: int, window_s: int) -> None:
    fleet = context.system.fleet
    if len(fleet.crashes) < 5:
        return
    limit_s = fleet.crashes[4].at_s + window_s
    late = [at_s for path, at_s in fleet.arrivals if path == _DEADLY_PATH]
    assert sum(at_s > limit_s for at_s in late) <= count, late


@then(
    "from {windows:d} windows after the last crash, {share:g} of the sound requests "
    "are served"
)
def step_served(context: Any, windows: int, share: float) -> None:
    crashes = context.system.fleet.crashes
    since = crashes[-1].at_s + windows * _WINDOW_S
    late = [each for each in context.sound if each.sent_at >= since]
    assert len(late) >= 20, (len(late), len(crashes))
    served = sum(each.served for each in late)
    assert served >= share * len(late), (
        served,
        len(late),
        Counter(each.first_part for each in late if not each.served),
    )
    unserved = {each.first_part for each in late} - {
        each.first_part for each in late if each.served
    }
    assert not unserved, unserved
