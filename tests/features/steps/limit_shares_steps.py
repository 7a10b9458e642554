"""Steps for the shares of entries in the limits that runners state."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.limit_shares import LimitShares, SharedLimit

from tests.machines.limit_simulation import LimitSimulation

_LENGTH_S = 30.0
_LEARNING_S = 2.0  # the first answers, and the requests sent before them
_LIFE = "runner/1"
_DEMAND_PER_S = 60.0  # of all entries together
_SURGE_EVERY_S = 10.0
_SURGE_S = 2.0


def _run(
    context: Any, entries: int, limit: float, seeds: range, demand: Any, fails: bool
) -> None:
    context.limit, context.entries = limit, entries
    context.runs = []
    for seed in seeds:
        simulation = LimitSimulation(entries, limit, demand, seed)
        failures = _Failures(seed) if fails else None
        simulation.run(_LENGTH_S, failures or (lambda simulation, now: None))
        context.runs.append(simulation)


class _Failures:
    """Starts, freezes, restarts and cuts off entries at random moments."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._next_at = 3.0

    def __call__(self, simulation: LimitSimulation, now: float) -> None:
        if now < self._next_at:
            return
        self._next_at = now + self._random.uniform(0.5, 3.0)
        number = self._random.randrange(len(simulation.entries))
        kind = self._random.choice(["restart", "freeze", "cut", "heal", "add"])
        if kind == "restart":
            simulation.restart_entry(number)
        elif kind == "freeze":
            simulation.entries[number].frozen_until = now + self._random.uniform(0.5, 4)
        elif kind == "cut":
            sides = self._random.choice([2, len(simulation.entries)])
            for entry in simulation.entries:
                entry.side = self._random.randrange(sides)
        elif kind == "heal":
            for entry in simulation.entries:
                entry.side = 0
        else:
            simulation.add_entry()


def _demand(where: str, entries: int) -> Any:
    askers = {"one entry": 1, "two entries": 2}.get(where, entries)
    return lambda number, now: _DEMAND_PER_S / askers if number < askers else 0.0


def _surges(steady: Any) -> Any:
    def demand(number: int, now: float) -> float:
        surge = now % _SURGE_EVERY_S < _SURGE_S
        return 5.0 * steady(number, now) if surge else 0.0

    return demand


@when(
    "{entries:d} entries share a limit of {limit:g} requests a second with demand at "
    "{where}, for seeds 1 to {seeds:d}"
)
def step_share(
    context: Any, entries: int, limit: float, where: str, seeds: int
) -> None:
    steady = _demand(where, entries)
    demand = _surges(steady) if where == "all at times" else steady
    _run(context, entries, limit, range(1, seeds + 1), demand, False)


@when(
    "{entries:d} entries share a limit of {limit:g} requests a second while they fail, "
    "for seeds 1 to {seeds:d}"
)
def step_share_failing(context: Any, entries: int, limit: float, seeds: int) -> None:
    demand = _demand("all entries", entries)
    _run(context, entries, limit, range(1, seeds + 1), demand, True)


@then("in each second the runner gets at most its limit and one request an entry")
def step_second(context: Any) -> None:
    most = [run.most_in(1.0, _LEARNING_S) for run in context.runs]
    assert max(most) <= context.limit + context.entries, most


@then("in each 4 s the runner gets at most 1.5 times its limit and 5 requests")
def step_four_seconds(context: Any) -> None:
    most = [run.most_in(4.0, _LEARNING_S) for run in context.runs]
    assert max(most) <= 6.0 * context.limit + 5, most


@then("the runner gets nine tenths of its limit")
def step_used(context: Any) -> None:
    expected = 0.9 * context.limit * (_LENGTH_S - _LEARNING_S) - 1
    got = [sum(at >= _LEARNING_S for at in run.arrivals) for run in context.runs]
    assert min(got) >= expected, (got, expected)


@then("the runner gets a request every {gap_s:g} s")
def step_tried(context: Any, gap_s: float) -> None:
    for run in context.runs:
        times = [*run.arrivals, _LENGTH_S]
        gaps = [after - before for before, after in zip(times, times[1:])]
        assert max(gaps) <= gap_s, gaps


@given("a limit of {per_s:g} that was stated at {at_s:g} s")
def step_stated(context: Any, per_s: float, at_s: float) -> None:
    context.shares = LimitShares("a")
    assert context.shares.stated.on_answer(_LIFE, per_s, at_s - 1.0, at_s)


@then("an answer without a limit to a request sent at {at_s:g} s does not end it")
def step_not_ended(context: Any, at_s: float) -> None:
    assert not context.shares.stated.on_answer(_LIFE, None, at_s, 11.0)
    assert context.shares.is_limited(_LIFE)


@then("a peer's older evidence without a limit does not end it")
def step_peer_not_ended(context: Any) -> None:
    shared = SharedLimit(_LIFE, None, 1.1, 0, False)
    assert context.shares.on_update("b", 1, [shared], 11.0) == {}
    assert context.shares.is_limited(_LIFE)


@then("an answer without a limit to a request sent at {at_s:g} s ends it")
def step_ended(context: Any, at_s: float) -> None:
    assert context.shares.stated.on_answer(_LIFE, None, at_s, 11.0)
    assert not context.shares.is_limited(_LIFE)


@then("a peer's older evidence with a limit does not renew it")
def step_not_renewed(context: Any) -> None:
    shared = SharedLimit(_LIFE, 2.0, 0.9, 0, False)
    assert context.shares.on_update("b", 1, [shared], 11.0) == {}
    assert not context.shares.is_limited(_LIFE)


@when("peers report limits of {count:d} runners that do not exist")
def step_many(context: Any, count: int) -> None:
    context.shares = LimitShares("a")
    for number in range(count):
        shared = SharedLimit(f"other/{number}", 1.0, 0.0, 1, True)
        context.shares.on_update("b", 1, [shared], number / 1000)


@then(
    "at most {kept:d} are kept, an update has at most {shared:d}, and none is left "
    "after housekeeping"
)
def step_bounded(context: Any, kept: int, shared: int) -> None:
    shares = context.shares
    assert len(shares.stated.all(2.0)) <= kept
    assert len(shares.shared(2.0)) <= shared
    shares.keep_only(set(), 2.0)
    assert shares.stated.all(2.0) == {}
