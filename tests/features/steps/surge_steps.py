"""Steps for admission, retry budgets and peer state of an entry under load."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.admission_queue import AdmissionQueue, PeerLoad
from corianderrelay_entry.state.direct.balancer_election import BalancerElection
from corianderrelay_entry.state.direct.config_freshness import ConfigFreshness
from corianderrelay_entry.state.direct.entry_peers import EntryPeers, PeerUpdate
from corianderrelay_entry.state.direct.retry_budget import RetryBudget
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner, RunnerList
from corianderrelay_entry.state.direct.runner_placement import RunnerPlacement

from tests.machines.stale_peer_simulation import StalePeerSimulation
from tests.machines.surge_simulation import SurgeSimulation, alternating_cost, completed

_NO_PEERS = PeerLoad()


def _runner(number: int, slots: int = 6) -> RegisteredRunner:
    return RegisteredRunner(f"runner-{number}", "s", "10.0.0.1", 80, "a", slots)


@given(
    "a group of {ranks:d} ranks with {slots:d} slots each, "
    "whose streams add {cost:f} ms to a pass"
)
def step_group(context: Any, ranks: int, slots: int, cost: float) -> None:
    context.group = (ranks, slots)
    context.cost_s = cost / 1000


@when("{per_s:d} streams a second arrive at {entries:d} entries for {length:d} s")
def step_streams_arrive(context: Any, per_s: int, entries: int, length: int) -> None:
    cost_s = context.cost_s
    _run_simulation(context, per_s, entries, length, lambda now: cost_s)


@when(
    "{per_s:d} streams a second arrive at {entries:d} entries for {length:d} s, "
    "and every {every:d} s their cost jumps between {low:f} and {high:f} ms"
)
def step_jumps(
    context: Any,
    per_s: int,
    entries: int,
    length: int,
    every: int,
    low: float,
    high: float,
) -> None:
    cost_s = alternating_cost(low / 1000, high / 1000, every)
    _run_simulation(context, per_s, entries, length, cost_s)


def _run_simulation(
    context: Any, per_s: int, entries: int, length: int, cost_s: Any
) -> None:
    context.length_s = length
    ranks, slots = context.group
    context.surge = SurgeSimulation(ranks, slots, entries, per_s, cost_s)
    context.surge.run(length)


@then("at least {share:d} in 100 of the streams that run meet both objectives")
def step_objectives_met(context: Any, share: int) -> None:
    done = completed(context.surge.streams)
    in_time = sum(not each.missed_target for each in done)
    assert in_time * 100 >= share * len(done), (in_time, len(done))


@then("the streams that meet both objectives are at least {per_s:d} a second")
def step_in_time_rate(context: Any, per_s: int) -> None:
    in_time = sum(not each.missed_target for each in completed(context.surge.streams))
    assert in_time >= per_s * context.length_s, in_time / context.length_s


@then("no caller waits longer than {wait:f} s for a response or a refusal")
def step_max_wait(context: Any, wait: float) -> None:
    assert context.surge.max_wait_s <= wait, context.surge.max_wait_s


@then("each refusal has a retry delay")
def step_retry_delay(context: Any) -> None:
    assert context.surge.retry_after_s
    assert all(0.0 < each <= 2.0 for each in context.surge.retry_after_s)


@given(
    "a queue with {refused:d} callers that were refused before and {new:d} new callers"
)
def step_queue(context: Any, refused: int, new: int) -> None:
    context.queue = AdmissionQueue()
    for number in range(refused + new):
        refused_before = number < refused
        assert context.queue.enqueue(
            ("refused" if refused_before else "new", number),
            returned=refused_before,
            priority=1,
            queue_deadline_s=9.0,
            peer_load=_NO_PEERS,
            now=0.0,
        )


@when("{free_slots:d} slots become free")
def step_slots_free(context: Any, free_slots: int) -> None:
    context.admitted = context.queue.admit(free_slots, _NO_PEERS, Random(1))


@then("the new callers are admitted")
def step_new_admitted(context: Any) -> None:
    assert [name for name, _ in context.admitted] == ["new", "new"]


@given("{entries:d} entries with {waiting:d} waiting callers each")
def step_entries(context: Any, entries: int, waiting: int) -> None:
    context.entries, context.waiting = entries, waiting


@when("{free_slots:d} slots become free {times:d} times")
def step_free_repeatedly(context: Any, free_slots: int, times: int) -> None:
    random = Random(2)
    others = PeerLoad(context.entries - 1, (context.entries - 1) * context.waiting)
    admitted = 0
    for _ in range(times):
        for _ in range(context.entries):
            queue: AdmissionQueue[int] = AdmissionQueue()
            for number in range(context.waiting):
                queue.enqueue(
                    number,
                    returned=False,
                    priority=1,
                    queue_deadline_s=99.0,
                    peer_load=others,
                    now=0.0,
                )
            admitted += len(queue.admit(free_slots, others, random))
    context.admitted_on_average = admitted / times


@then("on average between {low:f} and {high:f} callers are admitted each time")
def step_admitted_average(context: Any, low: float, high: float) -> None:
    assert low <= context.admitted_on_average <= high, context.admitted_on_average


@given("a retry bound of {ratio:f} per request and {allowance:d} in {window:d} s")
def step_bound(context: Any, ratio: float, allowance: int, window: int) -> None:
    context.bound = (ratio, allowance, window)


@then(
    "{entries:d} entries that use their full budget, one of them restarting, "
    "stay within it"
)
def step_within_bound(context: Any, entries: int) -> None:
    ratio, allowance, window = context.bound
    budgets = [RetryBudget(ratio, allowance, window) for _ in range(entries)]
    retries: list[float] = []
    requests: list[float] = []
    for step in range(3000):
        now = step * 0.02
        if step % 1500 == 700:
            budgets[0] = RetryBudget(ratio, allowance, window)
        for budget in budgets:
            budget.record_request(now)
            requests.append(now)
            while budget.spend(entries, now):
                retries.append(now)
        if step % 50 == 0:
            recent_retries = sum(now - each < window for each in retries)
            recent_requests = sum(now - each < window for each in requests)
            assert recent_retries <= ratio * recent_requests + allowance, (
                now,
                recent_retries,
                recent_requests,
            )


@then("a single entry may use at least a third of it")
def step_single_entry(context: Any) -> None:
    ratio, allowance, window = context.bound
    budget = RetryBudget(ratio, allowance, window)
    spent = 0
    while budget.spend(1, 0.0):
        spent += 1
    assert spent >= allowance / 3


@given("a bound of {bound:f} s on revoked keys")
def step_revocation_bound(context: Any, bound: float) -> None:
    context.freshness = ConfigFreshness(bound)
    context.never_confirmed = ConfigFreshness(bound)


@then(
    "a confirmation requested at {requested:f} s is valid at {valid:f} s "
    "and not at {stale:f} s"
)
def step_confirmation(
    context: Any, requested: float, valid: float, stale: float
) -> None:
    context.freshness.record_confirmation(requested)
    assert context.freshness.is_fresh(valid)
    assert not context.freshness.is_fresh(stale)


@then("a late confirmation of an earlier request is ignored")
def step_late_confirmation(context: Any) -> None:
    context.freshness.record_confirmation(5.0)
    assert context.freshness.age_s(14.0) == 4.0


@then("without any confirmation no key is accepted")
def step_no_confirmation(context: Any) -> None:
    assert not context.never_confirmed.is_fresh(0.0)


@given("a registered runner")
def step_registered(context: Any) -> None:
    context.runners = RunnerList()
    context.runners.put(_runner(1))


@when("its removal is received {after:f} s after an outage of the log")
def step_removed_after_outage(context: Any, after: float) -> None:
    context.runners.on_log_unavailable()
    context.runners.on_log_available(100.0)
    context.runners.remove("runner-1", 100.0 + after)


@then("the runner is usable until {until:f} s after the outage")
def step_usable_until(context: Any, until: float) -> None:
    runners = context.runners
    runners.expire(100.0 + until - 0.1)
    assert runners.usable("s")
    runners.expire(100.0 + until)
    assert not runners.usable("s")


@then("a runner whose record is renewed in time stays usable")
def step_renewed(context: Any) -> None:
    runners = context.runners
    runners.put(_runner(1))
    runners.on_log_unavailable()
    runners.on_log_available(200.0)
    runners.remove("runner-1", 200.5)
    runners.put(_runner(1))
    runners.expire(210.0)
    assert runners.usable("s")


@when("its removal is received")
def step_removed(context: Any) -> None:
    context.runners.remove("runner-1", 5.0)


@then("the runner is unusable")
def step_unusable(context: Any) -> None:
    assert not context.runners.usable("s")


@given("{count:d} runners of a plain service")
def step_plain_service(context: Any, count: int) -> None:
    context.random = Random(4)
    context.placement = RunnerPlacement(context.random)
    context.plain = [_runner(number) for number in range(count)]


def _serve(context: Any, failing: str, now: float) -> str:
    placement = context.placement
    picked: str = placement.pick(context.plain, False, now)
    if picked == failing and context.random.random() < 0.5:
        placement.health(picked).record_failure(now)
    else:
        placement.health(picked).record_success(0.09, now)
    return picked


@when("one of them fails half of its requests")
def step_failing(context: Any) -> None:
    context.picked = [
        _serve(context, "runner-1", number * 0.12) for number in range(80)
    ]


@then("it gets less than a fifth of the requests after the first {requests:d}")
def step_fewer_requests(context: Any, requests: int) -> None:
    later = context.picked[requests:]
    assert later.count("runner-1") * 5 < len(later), later.count("runner-1")


@then("it gets at least a fifth of the requests {seconds:d} s after it recovers")
def step_recovered(context: Any, seconds: int) -> None:
    start = 80 * 0.12
    picked = [
        _serve(context, "", start + number * 0.12)
        for number in range(int(seconds / 0.12) + 60)
    ]
    assert picked[-60:].count("runner-1") >= 12


@given("4 ranks that run 2, 1, 1 and 0 streams, of which the last is slow")
def step_slow_rank(context: Any) -> None:
    context.placement = RunnerPlacement(Random(4))
    context.plain = [_runner(number) for number in range(4)]
    for number, running in enumerate((2, 1, 1, 0)):
        context.placement.health(f"runner-{number}").running = running
    context.placement.set_own_slowness({"runner-3": 3.0})


@then("the next stream goes to a rank with 1 stream")
def step_least_loaded(context: Any) -> None:
    assert context.placement.pick(context.plain, True, 0.0) in ("runner-1", "runner-2")


@given(
    "{entries:d} entries for {ranks:d} ranks with {rank_slots:d} slots each, "
    "and updates every {period:f} s"
)
def step_stale(
    context: Any, entries: int, ranks: int, rank_slots: int, period: float
) -> None:
    context.simulation = StalePeerSimulation(entries, ranks, rank_slots, period)


@when("{per_s:d} streams a second arrive for {length:d} s")
def step_stale_run(context: Any, per_s: int, length: int) -> None:
    context.simulation.run(length, per_s)


@then("at most {most:d} in 100 streams are sent to a full rank")
def step_full_rank(context: Any, most: int) -> None:
    simulation = context.simulation
    assert simulation.streams > 100
    assert simulation.full_rank_hits * 100 <= most * simulation.streams, (
        simulation.full_rank_hits,
        simulation.streams,
    )


def _update(incarnation: int, sequence: int) -> PeerUpdate:
    return PeerUpdate("b", incarnation, sequence, "h:1", "h", 2, True)


@given("two entries that exchange updates")
def step_two_entries(context: Any) -> None:
    context.peers = EntryPeers("a")
    assert context.peers.on_update(_update(1, 1), 0.0)


@then("one that stops sending is not considered alive after {seconds:f} s")
def step_not_alive(context: Any, seconds: float) -> None:
    assert context.peers.alive(seconds - 0.1)
    assert not context.peers.alive(seconds + 0.1)


@then("updates of an earlier incarnation are ignored")
def step_earlier_incarnation(context: Any) -> None:
    assert context.peers.on_update(_update(2, 1), 5.0)
    assert not context.peers.on_update(_update(1, 99), 5.1)
    assert context.peers.alive(5.1)[0].incarnation == 2


@given("entries a, b and c, of which a is disconnected from the log")
def step_disconnected_entry(context: Any) -> None:
    context.elections = {name: BalancerElection(name) for name in "abc"}
    context.ready = {"b", "c"}


def _elected_entries(context: Any, now: float) -> set[str]:
    ready = context.ready
    return {
        name
        for name, election in context.elections.items()
        if election.is_elected(name in ready, ready - {name}, now)
    }


@then("b balances within {seconds:f} s, and a does not")
def step_b_balances(context: Any, seconds: float) -> None:
    _elected_entries(context, 0.0)
    assert _elected_entries(context, seconds) == {"b"}


@when("a serves callers again")
def step_a_serves(context: Any) -> None:
    context.ready = {"a", "b", "c"}


@then("a balances after {seconds:f} s, and b does not")
def step_a_balances(context: Any, seconds: float) -> None:
    assert _elected_entries(context, 2.0) == set()
    assert _elected_entries(context, 2.0 + seconds) == {"a"}
