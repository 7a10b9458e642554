"""Steps for sound requests that are lost beside requests that crash runners."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
import urllib.error
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any

from behave import then, when

from tests.features.steps.crashing_parts_steps import SoundRequest
from tests.standins.platform_runner import whole_stream

_DEADLY_PATH = "/stream/crash"
_SOUND_PATH = "/stream/whole"
_DEADLY_GAP_S = 0.7
_SOUND_GAP_S = 0.1


def _send(context: Any, path: str, body: str, random: Random) -> SoundRequest:
    sent_at = time.monotonic()
    served = False
    try:
        _, status, _, answer = context.system.send_request(
            path, host=random.choice(context.system.hosts), body=body.encode()
        )
        served = (status, answer) == (200, whole_stream())
    except (http.client.HTTPException, urllib.error.URLError, OSError):
        pass  # the stream was cut
    return SoundRequest(sent_at, body, served)


@when(
    "{sound:d} sound requests come again and again beside {deadly:d} that crash "
    "runners, for {length_s:g} s with seed {seed:d}"
)
def step_beside(
    context: Any, sound: int, deadly: int, length_s: float, seed: int
) -> None:
    random = Random(seed)
    context.sound = []
    ends_at = time.monotonic() + length_s

    def repeat_sound(number: int) -> None:
        while time.monotonic() < ends_at:
            time.sleep(_SOUND_GAP_S * random.uniform(0.5, 1.5))
            context.sound.append(_send(context, _SOUND_PATH, f"sound {number}", random))

    with ThreadPoolExecutor(sound + deadly) as pool:
        callers = [pool.submit(repeat_sound, number) for number in range(sound)]
        for number in itertools.cycle(range(deadly)):
            if time.monotonic() >= ends_at:
                break
            pool.submit(_send, context, _DEADLY_PATH, f"deadly {number}", random)
            threading.Event().wait(_DEADLY_GAP_S)
        for caller in callers:
            caller.result()


@then("they have crashed at most {count:d} runners")
def step_crashes(context: Any, count: int) -> None:
    crashes = context.system.fleet.crashes
    assert len(crashes) <= count, len(crashes)


@then("no sound request is held for more than {limit_s:g} s in a row")
def step_not_held(context: Any, limit_s: float) -> None:
    requests = sorted(context.sound, key=lambda each: (each.first_part, each.sent_at))
    for name, group in itertools.groupby(requests, key=lambda each: each.first_part):
        served_at = None
        for each in group:
            if each.served or served_at is None:
                served_at = each.sent_at
            assert each.sent_at - served_at <= limit_s + 2.0, (name, each.sent_at)
