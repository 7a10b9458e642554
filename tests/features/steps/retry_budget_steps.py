"""Steps for retry budgets of entries that share one allowance."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.entry_peers import EntryPeers, PeerUpdate
from corianderrelay_entry.state.direct.retry_budget import RetryBudget

_WINDOW_S = 10.0
_UPDATE_INTERVAL_S = 1.0


class _Entries:
    """The peers that each entry knows, by the entry's number."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.peers_by_number = {
            number: EntryPeers(f"entry-{number}") for number in range(1, count + 1)
        }

    def exchange(self, seconds: float, groups: list[set[int]]) -> None:
        """Let time pass while updates arrive only within each group."""
        end = self.now + seconds
        while True:
            for group in groups:
                for number in group:
                    self._receive(number, group - {number})
            if self.now >= end:
                return
            self.now += _UPDATE_INTERVAL_S

    def _receive(self, number: int, senders: set[int]) -> None:
        peers = self.peers_by_number[number]
        for sender in senders:
            sequence = round(self.now / _UPDATE_INTERVAL_S) + 1
            update = PeerUpdate(
                f"entry-{sender}", 1, sequence, "", f"10.0.0.{sender}", 1, True
            )
            peers.on_update(update, self.now)
        peers.evict_silent(self.now)

    def allowed(self, number: int, allowance: float) -> float:
        """Return the retries that an entry without requests may spend."""
        sharing = self.peers_by_number[number].sharing_entries(self.now)
        return RetryBudget(0.2, allowance, _WINDOW_S).limit(sharing, self.now)


@given(
    "{count:d} entries that know each other share an allowance of {retries:d} retries"
)
def step_entries(context: Any, count: int, retries: int) -> None:
    context.entries = _Entries(count)
    context.allowance = float(retries)
    context.entries.exchange(2.0, [set(range(1, count + 1))])


@when("{seconds:d} s pass for all entries")
def step_time(context: Any, seconds: int) -> None:
    context.entries.exchange(seconds, [set(context.entries.peers_by_number)])


@when("each of them is cut off from the others for {seconds:d} s")
def step_alone(context: Any, seconds: int) -> None:
    alone = [{number} for number in context.entries.peers_by_number]
    context.entries.exchange(seconds, alone)


@when("entries 1 to 3 are cut off from 4 to 6 for {seconds:d} s")
def step_halves(context: Any, seconds: int) -> None:
    context.entries.exchange(seconds, [{1, 2, 3}, {4, 5, 6}])


@when("all but entry 1 are gone for {seconds:d} s")
def step_gone(context: Any, seconds: int) -> None:
    context.entries.exchange(seconds, [{1}])


@then("together they may spend at most {count:d} retries")
def step_total(context: Any, count: int) -> None:
    entries = context.entries
    total = sum(
        entries.allowed(number, context.allowance) for number in entries.peers_by_number
    )
    assert total <= count, total


@then("entry 1 may spend {count:d} retries")
def step_one(context: Any, count: int) -> None:
    assert context.entries.allowed(1, context.allowance) == count
