"""Steps for the model of news among entries."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.zone_relays import relay_targets

from bench.news_network import Version
from bench.news_simulation import NewsEntry, NewsSimulation

_SETTLE_S = 6.0


def _run(context: Any, seconds: float) -> None:
    for _ in context.world.run(seconds):
        pass


@given("{entries:d} entries in {zones:d} zones that know each other")
def step_entries(context: Any, entries: int, zones: int) -> None:
    context.world = NewsSimulation(entries, zones)
    context.absent = None
    context.entries = entries
    _run(context, _SETTLE_S)
    assert all(entry.ready for entry in context.world.entries)


@when("they run for {seconds:d} s")
def step_run(context: Any, seconds: int) -> None:
    world = context.world
    world.store.calls_by_kind.clear()
    world.network.bytes_by_path.clear()
    context.seconds = seconds
    context.config_age_s = context.runners_age_s = 0.0
    for _ in world.run(seconds):
        _record_ages(context, world.entries)


def _record_ages(context: Any, entries: list[NewsEntry]) -> None:
    for entry in entries:
        boottime = entry.clock.boottime()
        runners_age_s = boottime - entry.runner_watch.confirmation.confirmed_at
        context.config_age_s = max(context.config_age_s, entry.config.age_s)
        context.runners_age_s = max(context.runners_age_s, runners_age_s)


@then("they have called the log at most {calls:d} times")
def step_calls(context: Any, calls: int) -> None:
    made = context.world.store.calls_by_kind
    assert made.total() <= calls, made


@then("no configuration was confirmed longer ago than {age_s:g} s at any of them")
def step_config_age(context: Any, age_s: float) -> None:
    assert context.config_age_s <= age_s, context.config_age_s


@then("no runners' records were confirmed longer ago than {age_s:g} s at any of them")
def step_runners_age(context: Any, age_s: float) -> None:
    assert context.runners_age_s <= age_s, context.runners_age_s


@then("each sent at most {most:d} B a second to other zones")
def step_bytes(context: Any, most: int) -> None:
    sent = context.world.network.bytes_by_path["between zones"]
    per_s = sent / context.seconds / context.entries
    assert per_s <= most, per_s


@when("the entry at position {position:d} is killed")
def step_killed(context: Any, position: int) -> None:
    world = context.world
    victims = [each for each in world.entries if each.sharing.position == position]
    context.absent = victims[0]
    world.kill(victims[0])


@then("no entry takes it for alive after {seconds:g} s")
def step_missed(context: Any, seconds: float) -> None:
    _run(context, seconds)
    for entry in context.world.entries:
        alive = entry.exchange.peers.alive(entry.clock.seconds())
        assert context.absent.entry_id not in {each.entry_id for each in alive}


@when("the reader {fails}, and a configuration is published {seconds:g} s later")
def step_reader_fails_and_published(context: Any, fails: str, seconds: float) -> None:
    _fail_and_publish(context, context.world.reader(), fails, seconds)


@when("a zone's first {fails}, and a configuration is published {seconds:g} s later")
def step_first_fails_and_published(context: Any, fails: str, seconds: float) -> None:
    world = context.world
    reader = world.reader()
    first = min(
        (each for each in world.entries if each.zone != reader.zone),
        key=lambda each: each.sharing.position,
    )
    _fail_and_publish(context, first, fails, seconds)


def _fail_and_publish(
    context: Any, entry: NewsEntry, fails: str, seconds: float
) -> None:
    _fail(context, entry, fails)
    _run(context, seconds)
    context.version = context.world.publish()
    context.published_at = context.world.clock.seconds()


@then("it is active at all others within {seconds:d} s")
def step_active_in_time(context: Any, seconds: int) -> None:
    others = _others(context)
    for now in context.world.run(2.0 * seconds):
        if all(entry.config.version == context.version for entry in others):
            break
    assert now - context.published_at <= seconds, now - context.published_at


@when("the reader {fails}")
def step_reader_fails(context: Any, fails: str) -> None:
    _fail(context, context.world.reader(), fails)


def _fail(context: Any, reader: NewsEntry, fails: str) -> None:
    world = context.world
    context.absent = reader
    if fails == "is killed":
        world.kill(reader)
    elif fails == "freezes for 6 s":
        reader.clock.suspend(6.0)
    elif fails == "is cut off":
        world.network.cut_hosts.add(reader.host)
        world.store.refused_hosts.add(reader.host)
    else:
        assert fails == "is refused by the log", fails
        world.store.refused_hosts.add(reader.host)


def _others(context: Any) -> list[NewsEntry]:
    return [entry for entry in context.world.entries if entry is not context.absent]


@then(
    "all others stay confirmed for {seconds:d} s, configurations within "
    "{config_s:g} s, runners within {runners_s:g} s"
)
def step_stay_confirmed(
    context: Any, seconds: int, config_s: float, runners_s: float
) -> None:
    context.config_age_s = context.runners_age_s = 0.0
    for _ in context.world.run(seconds):
        _record_ages(context, _others(context))
    assert context.config_age_s <= config_s, context.config_age_s
    assert context.runners_age_s <= runners_s, context.runners_age_s


@then("a runner that leaves is known to all others within {seconds:d} s")
def step_leaving_known(context: Any, seconds: int) -> None:
    world = context.world
    runner_id = world.runner_ids[0]
    world.put_runner(runner_id, leaving=True)
    _run(context, seconds)
    records = [entry.runners.get(runner_id) for entry in _others(context)]
    assert all(record is not None and record.leaving for record in records)


@then("a configuration that is published is active at all others within {seconds:d} s")
def step_published(context: Any, seconds: int) -> None:
    version = context.world.publish()
    _run(context, seconds)
    versions = {entry.config.version for entry in _others(context)}
    assert versions == {version}, versions


@when("an entry, {who}, freezes for 6 s and a configuration is published meanwhile")
def step_freezes(context: Any, who: str) -> None:
    world = context.world
    reader = world.reader()
    if who == "the reader":
        frozen = reader
    elif who == "a relay":
        frozen = next(each for each in world.entries if _relays(each))
    else:
        assert who == "another", who
        frozen = next(each for each in world.entries if each is not reader)
    context.published_at = world.clock.seconds() + 1.0
    world.clock.callLater(1.0, world.publish)
    frozen.clock.suspend(6.0)


def _relays(entry: NewsEntry) -> bool:
    alive = entry.exchange.peers.alive(entry.clock.seconds())
    return bool(relay_targets(entry.entry_id, entry.zone, alive))


@then("no entry ever believes a confirmation of the old configuration after its end")
def step_no_false_confirmation(context: Any) -> None:
    for _ in context.world.run(12.0):
        for entry in context.world.entries:
            confirmed_at = entry.clock.boottime() - entry.config.age_s
            if entry.config.version == 1:
                assert confirmed_at <= context.published_at, entry.entry_id
    assert {entry.config.version for entry in context.world.entries} == {2}


@when("the log refuses a third of the entries for 6 s")
def step_refused(context: Any) -> None:
    world = context.world
    refused = {entry.host for entry in world.entries[::3]}
    world.store.refused_hosts |= refused
    world.clock.callLater(6.0, world.store.refused_hosts.difference_update, refused)


@when("the log forgets its records of runners")
def step_forgets(context: Any) -> None:
    store = context.world.store
    newest = dict(store.runner_records)
    store.runner_records = list(newest.items())
    store.first_runner_offset = len(store.runner_records)
    _run(context, 1.0)


@when("the log is down for 3 s, and loses the record of a runner for 1.5 s after that")
def step_down(context: Any) -> None:
    world = context.world
    context.runner_id = world.runner_ids[0]
    context.removed_at = None
    world.store.down = True
    _run(context, 3.0)
    world.remove_runner(context.runner_id)
    world.store.down = False
    for now in world.run(1.5):
        _check_runner(context, now)
    world.runner_ids.append(context.runner_id)
    world.put_runner(context.runner_id)
    for now in world.run(4.0):
        _check_runner(context, now)


def _check_runner(context: Any, now: float) -> None:
    for entry in context.world.entries:
        if entry.runners.get(context.runner_id) is None:
            context.removed_at = now


@then("no entry has removed the runner")
def step_not_removed(context: Any) -> None:
    assert context.removed_at is None, context.removed_at


@when("the log forgets its records, and gives out the offsets up to the old end again")
def step_offsets_again(context: Any) -> None:
    world, store = context.world, context.world.store
    reader, old_end = world.reader(), len(context.world.store.runner_records)
    store.runner_records = list(dict(store.runner_records).items())
    store.first_runner_offset = len(store.runner_records)
    store.era += 1
    for _ in world.run(3.0):
        position = reader.runner_watch.position
        if position is not None and position.offset < old_end:
            break
    context.runner_id = world.runner_ids[0]
    world.remove_runner(context.runner_id)
    while len(store.runner_records) <= old_end:
        world.put_runner(world.runner_ids[0])


@then("no entry knows the runner that was removed meanwhile")
def step_removed_unknown(context: Any) -> None:
    _run(context, 8.0)
    knowing = [
        entry.entry_id
        for entry in context.world.entries
        if entry.runners.get(context.runner_id) is not None
    ]
    assert not knowing, knowing


_AWAY_S = 0.4
_LOST_VERSIONS = 3
_FROZEN_S = 3.0


@when(
    "the log is restored {when}, and a configuration and a leaving runner are written"
)
def step_restored(context: Any, when: str) -> None:
    world, store = context.world, context.world.store
    copied = len(store.versions), len(store.runner_records)
    for _ in range(_LOST_VERSIONS):
        world.publish()
    context.version = store.versions[-1].version + 1
    _run(context, 2.0)
    context.disturbed = []
    if when == "while the reader is frozen":
        context.disturbed = [world.reader()]
        context.disturbed[0].clock.suspend(_FROZEN_S)
    elif when == "while a third is refused":
        context.disturbed = world.entries[::3]
        refused = {entry.host for entry in context.disturbed}
        store.refused_hosts |= refused
        world.clock.callLater(_FROZEN_S, store.refused_hosts.difference_update, refused)
    if when == "twice":
        _restore(context, copied)
        _run(context, 1.5)
    _restore(context, copied)


def _restore(context: Any, copied: tuple[int, int]) -> None:
    """Restore a copy; the records behind it reach the ends of the lost history."""
    world, store = context.world, context.world.store
    old_ends = len(store.versions), len(store.runner_records)
    store.down = True
    _run(context, _AWAY_S)
    store.restore(*copied)
    context.runner_id = world.runner_ids[0]
    world.put_runner(context.runner_id, leaving=True)
    while len(store.runner_records) <= old_ends[1]:
        world.put_runner(world.runner_ids[-1])
    newest = Version(context.version)
    store.versions += [newest] * (old_ends[0] - len(store.versions))
    store.down = False
    context.restored_at = world.clock.seconds()


def _undisturbed(context: Any) -> list[NewsEntry]:
    return [each for each in context.world.entries if each not in context.disturbed]


@then("within {seconds:d} s all that were not disturbed have the configuration")
def step_have_version(context: Any, seconds: int) -> None:
    _run(context, seconds)
    versions = {entry.config.version for entry in _undisturbed(context)}
    assert versions == {context.version}, versions


@then("within {seconds:d} s all that were not disturbed know that the runner leaves")
def step_know_leaving(context: Any, seconds: int) -> None:
    assert context.world.clock.seconds() - context.restored_at <= seconds + 0.1
    assert _not_knowing(context, _undisturbed(context)) == []


def _not_knowing(context: Any, entries: list[NewsEntry]) -> list[str]:
    records = {each.entry_id: each.runners.get(context.runner_id) for each in entries}
    return [
        each for each, record in records.items() if not record or not record.leaving
    ]


@then("within {seconds:d} s all others do")
def step_others_know(context: Any, seconds: int) -> None:
    _run(context, context.restored_at + seconds - context.world.clock.seconds())
    assert {entry.config.version for entry in context.disturbed} <= {context.version}
    assert _not_knowing(context, context.disturbed) == []


@when("all learn of a version that the log lacks, and run for {seconds:d} s")
def step_learn_missing(context: Any, seconds: int) -> None:
    world = context.world
    world.store.calls_by_kind.clear()
    context.seconds = seconds
    context.learned_at = world.clock.seconds()
    missing = world.store.versions[-1].version + 1
    for _ in world.run(seconds):
        for entry in world.entries:
            entry.config.learn_version(0, missing)


@then("each has called the log at most {calls:d} times a second, and confirmed nothing")
def step_few_calls(context: Any, calls: int) -> None:
    entries = context.world.entries
    made = context.world.store.calls_by_kind["configuration"]
    assert made <= calls * context.seconds * len(entries), made
    for entry in entries:
        confirmed_at = entry.clock.boottime() - entry.config.age_s
        assert confirmed_at <= context.learned_at, entry.entry_id


@when("the log loses the address of an entry")
def step_lose_address(context: Any) -> None:
    context.lost_id = context.world.entries[0].entry_id
    del context.world.store.addresses_by_id[context.lost_id]


@then("it has the address again within {seconds:d} s")
def step_address_again(context: Any, seconds: int) -> None:
    _run(context, seconds)
    assert context.lost_id in context.world.store.addresses_by_id
