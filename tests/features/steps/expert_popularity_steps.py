"""Steps for the decayed average of tokens by expert."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when

from corianderrelay.state.expert_popularity import ExpertPopularity

_HALF_LIFE_S = 5.0


@then("a popularity estimate equals the weighted mean of its reports in any order")
def step_any_order(context: Any) -> None:
    source = random.Random(3)
    for _ in range(50):
        times = source.sample(range(1, 40), 12)
        reports = [
            (float(time), [1000.0 * source.uniform(0.95, 1.05) for _ in range(4)])
            for time in times
        ]
        popularity = ExpertPopularity(4, _HALF_LIFE_S)
        for time, tokens in reports:
            popularity.record(time, 1.0, tokens)
        weights = [0.5 ** ((max(times) - time) / _HALF_LIFE_S) for time, _ in reports]
        for expert, estimate in enumerate(popularity.tokens_per_s_by_expert()):
            weighted = sum(
                weight * tokens[expert] for weight, (_, tokens) in zip(weights, reports)
            )
            assert abs(estimate - weighted / sum(weights)) < 1e-6, (estimate, weighted)
        assert popularity.age_s(50.0) == 50.0 - max(times)


@given("a popularity estimate of {n:d} experts with {tokens:d} tokens a second each")
def step_estimate(context: Any, n: int, tokens: int) -> None:
    context.popularity = ExpertPopularity(n, _HALF_LIFE_S)
    context.tokens = [float(tokens)] * n
    for second in range(60):
        context.popularity.record(second, 1.0, context.tokens)


@when("a popularity report has half of all tokens moved to expert 3")
def step_shift(context: Any) -> None:
    context.last = [tokens / 2 for tokens in context.tokens]
    context.last[3] += sum(context.tokens) / 2
    context.popularity.record(60.0, 1.0, context.last)
    context.popularity.record(58.5, 1.0, context.tokens)


@then("the popularity estimate equals the newest report")
def step_equals_newest(context: Any) -> None:
    assert context.popularity.tokens_per_s_by_expert() == tuple(context.last)


@when(
    "the popularity reports spread {total:d} tokens at random for {seconds:d} seconds"
)
def step_random_reports(context: Any, total: int, seconds: int) -> None:
    source = random.Random(5)
    experts = len(context.tokens)
    for second in range(60, 60 + seconds):
        drawn = [source.randrange(experts) for _ in range(total)]
        context.popularity.record(
            second, 1.0, [float(drawn.count(expert)) for expert in range(experts)]
        )


@then("the popularity estimate stays within half of {tokens:d} tokens a second")
def step_within(context: Any, tokens: int) -> None:
    estimate = context.popularity.tokens_per_s_by_expert()
    assert all(abs(rate - tokens) <= tokens / 2 for rate in estimate), estimate
