"""Compares shares with first come, first served and a fixed partition in a surge.

Each slot generates one token per step. Three in ten workspaces are greedy and raise the
offered load to five times the group's capacity; the others stay within their share. The
surge of the greedy workspaces lasts 40 s. Refused callers retry after the delay in the
refusal, until they succeed.
"""

from __future__ import annotations

import heapq
import itertools
import json
import math
import random
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Protocol

import click
import numpy as np
from numpy.typing import NDArray
from result import Err, Ok, Result

from corianderrelay.state.document import Share
from corianderrelay.state.errors import OverloadedError
from corianderrelay.state.shares import ShareQueue, WaitingRequest

STEP_S = 0.059
_SLOTS = 512
_MEAN_TOKENS = 150
_START_DEADLINE_S = 5.0
_OVERLOAD_FACTOR = 5.0
_WITHIN_SHARE_LOAD = 0.6
_SURGE_S = 40.0
_MEASURED_FROM_S = 10.0
_MEASURED_TO_S = 40.0
_WINDOW_S = 10.0
_DURATION_S = 300.0


class Admission(Protocol):
    """Interface of the admission policies under test."""

    def submit(
        self, request: WaitingRequest, now: float
    ) -> Result[None, OverloadedError]:
        """Queue or refuse a request."""

    def start_next(self, now: float) -> WaitingRequest | None:
        """Dequeue the next request to start, if a slot is free."""

    def drop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests past their deadline."""

    def finish(self, request_id: str, tokens: int | None) -> None:
        """Free a slot."""


class FirstComeFirstServed:
    """One queue for all workspaces, bounded by the wait that deadlines allow."""

    def __init__(self, slots: int, tokens_per_s: float) -> None:
        self._slots = slots
        self._tokens_per_s = tokens_per_s
        self._queue: deque[WaitingRequest] = deque()
        self._queued_tokens = 0
        self._running = 0

    def submit(
        self, request: WaitingRequest, now: float
    ) -> Result[None, OverloadedError]:
        """Refuse the request if the expected wait exceeds its deadline."""
        wait_s = self._queued_tokens / self._tokens_per_s
        if wait_s > request.deadline_s - now:
            return Err(OverloadedError("full", "retry later", retry_after_s=1.0))
        self._queue.append(request)
        self._queued_tokens += request.tokens
        return Ok(None)

    def start_next(self, now: float) -> WaitingRequest | None:
        """Dequeue the oldest request, if a slot is free."""
        if not self._queue or self._running >= self._slots:
            return None
        self._running += 1
        request = self._queue.popleft()
        self._queued_tokens -= request.tokens
        return request

    def drop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the expired requests at the front of the queue."""
        expired = []
        while self._queue and self._queue[0].deadline_s < now:
            expired.append(self._queue.popleft())
            self._queued_tokens -= expired[-1].tokens
        return expired

    def finish(self, request_id: str, tokens: int | None) -> None:
        """Free a slot."""
        self._running -= 1


class FixedPartition:
    """Fixed slots for each workspace; idle slots are not lent."""

    def __init__(
        self, slots: int, shares: dict[str, Share], tokens_per_s: float
    ) -> None:
        self._queues_by_workspace = {
            name: FirstComeFirstServed(
                max(1, round(share.guaranteed * slots)),
                share.guaranteed * tokens_per_s,
            )
            for name, share in shares.items()
        }
        self._workspace_by_id: dict[str, str] = {}

    def submit(
        self, request: WaitingRequest, now: float
    ) -> Result[None, OverloadedError]:
        """Queue or refuse the request in its workspace's partition."""
        return self._queues_by_workspace[request.workspace].submit(request, now)

    def start_next(self, now: float) -> WaitingRequest | None:
        """Dequeue a request from any partition with a free slot."""
        started_requests = (
            queue.start_next(now) for queue in self._queues_by_workspace.values()
        )
        request = next((request for request in started_requests if request), None)
        if request is not None:
            self._workspace_by_id[request.request_id] = request.workspace
        return request

    def drop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the expired requests of all partitions."""
        return [
            request
            for queue in self._queues_by_workspace.values()
            for request in queue.drop_expired(now)
        ]

    def finish(self, request_id: str, tokens: int | None) -> None:
        """Free a slot of the workspace's partition."""
        self._queues_by_workspace[self._workspace_by_id.pop(request_id)].finish(
            request_id, tokens
        )


@dataclass(slots=True)
class _CallerRequest:
    """One request from its first attempt until it is admitted."""

    workspace: int
    tokens: int
    first_refused_s: float | None = None
    first_retry_after_s: float = 0.0
    refusals: int = 0
    submitted_s: float = 0.0


@dataclass(slots=True)
class _RunRecord:
    """Counts and samples of one run."""

    generated: list[NDArray[np.int64]] = field(default_factory=list)
    started: list[NDArray[np.int64]] = field(default_factory=list)
    waiting: list[bool] = field(default_factory=list)
    within_share_waits_s: list[float] = field(default_factory=list)
    retry_to_success_s: list[float] = field(default_factory=list)
    beyond_retry_after_s: list[float] = field(default_factory=list)
    admitted_on_first_retry: int = 0
    first_retries: int = 0
    refused: int = 0
    expired: int = 0


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of one policy; deviations are those of greedy workspaces over 10 s.

    :param utilisation: share of slots in use while requests wait.
    :param inside_wait_p99_steps: wait of workspaces within their share, in steps.
    :param taken_on_first_return: share of first retries that were admitted.
    :param retry_to_success_p50_s: time from the first refusal until admission.
    :param later_than_told_p99_s: the same time beyond the first refusal's retry delay.
    """

    policy: str
    workspaces: int
    started_deviation_p50: float
    started_deviation_max: float
    generated_deviation_p50: float
    generated_deviation_max: float
    utilisation: float
    inside_wait_p99_steps: float
    inside_wait_max_steps: float
    refused: int
    expired: int
    taken_on_first_return: float
    retry_to_success_p50_s: float
    retry_to_success_p99_s: float
    later_than_told_p99_s: float
    cpu_us_per_start: float


def _generate_arrivals(
    generator: random.Random, workspaces: int, greedy_count: int
) -> Iterator[tuple[float, _CallerRequest]]:
    """Yield times and requests in order of arrival."""
    per_s = _SLOTS / STEP_S / _MEAN_TOKENS
    within_share_load = _WITHIN_SHARE_LOAD / workspaces
    greedy_load = (
        _OVERLOAD_FACTOR - within_share_load * (workspaces - greedy_count)
    ) / greedy_count
    rates = [
        per_s * (greedy_load if workspace_index < greedy_count else within_share_load)
        for workspace_index in range(workspaces)
    ]
    now = 0.0
    total = sum(rates)
    workspace_indexes = range(workspaces)
    while now < _DURATION_S:
        now += generator.expovariate(total)
        workspace_index = generator.choices(workspace_indexes, rates)[0]
        if workspace_index < greedy_count and now > _SURGE_S:
            continue
        tokens = max(
            10, round(generator.lognormvariate(math.log(_MEAN_TOKENS) - 0.125, 0.5))
        )
        yield now, _CallerRequest(workspace_index, tokens)


def run_policy(
    policy: str, admission: Admission, workspaces: int, seed: int
) -> Figures:
    """Simulate one policy during and after the surge and return its results."""
    greedy_count = max(1, round(workspaces * 0.3))
    arrivals = _generate_arrivals(random.Random(seed), workspaces, greedy_count)
    pending_retries: list[tuple[float, int, _CallerRequest]] = []
    running_by_step: dict[int, list[str]] = {}
    requests_by_id: dict[str, _CallerRequest] = {}
    running = np.zeros(workspaces, dtype=np.int64)
    record = _RunRecord()
    sequence = itertools.count()
    next_arrival = next(arrivals)
    cpu_s = 0.0
    started_count = 0
    for step in range(int(_DURATION_S / STEP_S)):
        now = step * STEP_S
        for request_id in running_by_step.pop(step, []):
            running[requests_by_id.pop(request_id).workspace] -= 1
            admission.finish(request_id, None)
        due: list[tuple[float, _CallerRequest]] = []
        while next_arrival[0] <= now:
            due.append(next_arrival)
            next_arrival = next(arrivals, (math.inf, next_arrival[1]))
        while pending_retries and pending_retries[0][0] <= now:
            at, _, caller_request = heapq.heappop(pending_retries)
            due.append((at, caller_request))
        due.sort(key=lambda item: item[0])
        started_s = time.process_time()
        for at, caller_request in due:
            request_id = str(next(sequence))
            caller_request.submitted_s = at
            requests_by_id[request_id] = caller_request
            request = WaitingRequest(
                request_id,
                str(caller_request.workspace),
                caller_request.tokens,
                at + _START_DEADLINE_S,
            )
            admission_result = admission.submit(request, at)
            _record_admission(
                record,
                caller_request,
                admission_result,
                at,
                pending_retries,
                next(sequence),
            )
            if admission_result.is_err():
                del requests_by_id[request_id]
        for expired in admission.drop_expired(now):
            record.expired += 1
            del requests_by_id[expired.request_id]
        started_tokens = np.zeros(workspaces, dtype=np.int64)
        while (next_request := admission.start_next(now)) is not None:
            started_count += 1
            caller_request = requests_by_id[next_request.request_id]
            running[caller_request.workspace] += 1
            started_tokens[caller_request.workspace] += caller_request.tokens
            ending_ids = running_by_step.setdefault(step + caller_request.tokens, [])
            ending_ids.append(next_request.request_id)
            if caller_request.workspace >= greedy_count and now > _MEASURED_FROM_S:
                record.within_share_waits_s.append(now - caller_request.submitted_s)
        cpu_s += time.process_time() - started_s
        record.generated.append(running.copy())
        record.started.append(started_tokens)
        record.waiting.append(len(requests_by_id) > int(running.sum()))
    return _figures(
        policy, record, workspaces, greedy_count, cpu_s / max(1, started_count)
    )


def _record_admission(
    record: _RunRecord,
    caller_request: _CallerRequest,
    admission_result: Result[None, OverloadedError],
    now: float,
    pending_retries: list[tuple[float, int, _CallerRequest]],
    number: int,
) -> None:
    if caller_request.refusals == 1:
        record.first_retries += 1
        record.admitted_on_first_retry += admission_result.is_ok()
    if isinstance(admission_result, Ok):
        if caller_request.first_refused_s is not None:
            record.retry_to_success_s.append(now - caller_request.first_refused_s)
            record.beyond_retry_after_s.append(
                now
                - caller_request.first_refused_s
                - caller_request.first_retry_after_s
            )
        return
    retry_after_s = admission_result.err_value.retry_after_s or 0.0
    record.refused += 1
    caller_request.refusals += 1
    if caller_request.first_refused_s is None:
        caller_request.first_refused_s = now
        caller_request.first_retry_after_s = retry_after_s
    heapq.heappush(pending_retries, (now + retry_after_s, number, caller_request))


def _deviations(
    tokens_by_step: list[NDArray[np.int64]], greedy_count: int
) -> NDArray[np.float64]:
    """Return relative deviations from the entitled tokens, by window and workspace.

    Greedy workspaces are entitled to equal parts of the capacity that the others
    leave unused.
    """
    tokens = np.array(tokens_by_step)
    window = int(_WINDOW_S / STEP_S)
    window_starts = range(
        int(_MEASURED_FROM_S / STEP_S),
        int(_MEASURED_TO_S / STEP_S) - window,
        window // 8,
    )
    sums = np.array(
        [tokens[start : start + window].sum(axis=0) for start in window_starts]
    )
    served = sums[:, :greedy_count]
    entitled = served.sum(axis=1, keepdims=True) / greedy_count
    return np.asarray(np.abs(served - entitled) / np.maximum(entitled, 1.0))


def _figures(
    policy: str,
    record: _RunRecord,
    workspaces: int,
    greedy_count: int,
    cpu_s_per_start: float,
) -> Figures:
    generated = np.array(record.generated)
    first = int(_MEASURED_FROM_S / STEP_S)
    last = int(_MEASURED_TO_S / STEP_S)
    started_deviation = _deviations(record.started, greedy_count)
    generated_deviation = _deviations(record.generated, greedy_count)
    waiting = np.array(record.waiting[first:last])
    used = generated[first:last].sum(axis=1)[waiting]
    return Figures(
        policy=policy,
        workspaces=workspaces,
        started_deviation_p50=round(float(np.median(started_deviation)), 4),
        started_deviation_max=round(float(started_deviation.max()), 4),
        generated_deviation_p50=round(float(np.median(generated_deviation)), 4),
        generated_deviation_max=round(float(generated_deviation.max()), 4),
        utilisation=round(float(used.mean() / _SLOTS), 4) if len(used) else 1.0,
        inside_wait_p99_steps=_percentile(record.within_share_waits_s, 99, STEP_S),
        inside_wait_max_steps=_percentile(record.within_share_waits_s, 100, STEP_S),
        refused=record.refused,
        expired=record.expired,
        taken_on_first_return=round(
            record.admitted_on_first_retry / max(1, record.first_retries), 4
        ),
        retry_to_success_p50_s=_percentile(record.retry_to_success_s, 50),
        retry_to_success_p99_s=_percentile(record.retry_to_success_s, 99),
        later_than_told_p99_s=_percentile(record.beyond_retry_after_s, 99),
        cpu_us_per_start=round(cpu_s_per_start * 1e6, 1),
    )


def _percentile(values: list[float], percent: float, unit: float = 1.0) -> float:
    return round(float(np.percentile(values, percent)) / unit, 3) if values else 0.0


def compare_policies(workspaces: int, seed: int) -> Iterator[Figures]:
    """Yield the results of the shares and of both baselines."""
    shares = {
        str(workspace_index): Share(guaranteed=1.0 / workspaces)
        for workspace_index in range(workspaces)
    }
    tokens_per_s = _SLOTS / STEP_S
    policies: dict[str, Admission] = {
        "shares": ShareQueue(_SLOTS, shares, tokens_per_s),
        "first_come": FirstComeFirstServed(_SLOTS, tokens_per_s),
        "partition": FixedPartition(_SLOTS, shares, tokens_per_s),
    }
    for policy, admission in policies.items():
        yield run_policy(policy, admission, workspaces, seed)


@click.command()
@click.option("--workspaces", multiple=True, type=int, default=(10, 410))
@click.option("--seed", default=1, show_default=True)
def main(workspaces: tuple[int, ...], seed: int) -> None:
    """Print one JSON line for each policy and number of workspaces."""
    for count in workspaces:
        for figures in compare_policies(count, seed):
            print(json.dumps(asdict(figures)), flush=True)


if __name__ == "__main__":
    main()
