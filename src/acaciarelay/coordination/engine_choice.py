"""Choice of the engines whose agents are asked for a slot.

It answers bursts of several ranks at once. While slots are free, a few engines are
asked, the best ones by wait, distance, recent failures and speed. While all are taken,
an agent gives a slot that becomes free to the most urgent request that it knows, so
that more agents are asked: less urgent requests would get the slots of the others.
"""

import random
from collections.abc import Iterable

import attrs

from acaciarelay.coordination.engine_model import EngineSpeed

__all__ = ["EngineOption", "ExpectedAnswer", "choose_engines"]

# Engines asked for one request while the best one is expected to have a free slot, and
# while it is not.
ASKED_WITH_FREE_SLOT = 3
ASKED_WITHOUT_FREE_SLOT = 6
# Penalties in seconds of expected wait: for one unit of distance and for one recent
# failure.
DISTANCE_PENALTY_S = 0.02
FAILURE_PENALTY_S = 0.1
# Penalty for a long answer on an engine twice as slow as the fastest, where its events
# are likely to be late, and the upper bound for still slower engines.
SLOW_ENGINE_PENALTY_S = 0.04
MAX_SLOW_ENGINE_PENALTY_S = 0.08
LONG_OUTPUT_TOKENS = 200
# Penalty for an engine that is too slow to finish the answer before the deadline.
TOO_SLOW_PENALTY_S = 10.0
# Least share of engines with a free slot at which only those that keep a long part of
# the prompt are asked. Near full load the slot of a keeper may be taken by the time
# that it is asked, and a request that asked only keepers would wait.
MIN_FREE_SHARE = 0.75
# Least expected wait: a slot that was free when an agent said so may be taken since.
MIN_EXPECTED_WAIT_S = 0.03


@attrs.frozen(kw_only=True)
class EngineOption:
    """An engine that may run a request.

    ``queue_s`` is the wait in seconds until its agent expects to have a slot for the
    request's rank, ``round_trip_s`` the time to ask for it. ``distance`` and
    ``failures`` are as in ``EndpointHealth``. ``kept_tokens`` are those of the prompt
    that the engine need not read, weighted by the chance that it still keeps them.
    """

    host: str
    queue_s: float
    round_trip_s: float
    distance: float
    failures: float
    speed: EngineSpeed
    kept_tokens: float = 0.0

    @property
    def saved_s(self) -> float:
        """Return the seconds that the kept part of the prompt saves."""
        return self.speed.first_s * self.kept_tokens / 1000


@attrs.frozen(kw_only=True)
class ExpectedAnswer:
    """What a request needs of an engine; ``left_s`` is the time to its deadline."""

    prompt_tokens: int
    output_tokens: int
    left_s: float


def choose_engines(
    options: Iterable[EngineOption], answer: ExpectedAnswer, rng: random.Random
) -> list[EngineOption]:
    """Return the engines whose agents to ask, the best one first."""
    options = list(options)
    known = [option.speed.token_s for option in options if option.speed.token_s]
    min_token_s = min(known, default=0.0)
    costs = []
    for option in options:
        cost = _sampled_wait_s(option, rng) + _cost_s(option, answer, min_token_s)
        costs.append((cost, option))
    costs.sort(key=lambda item: item[0])
    ranked = [option for _, option in costs]
    if ranked and ranked[0].queue_s > 0:
        return ranked[:ASKED_WITHOUT_FREE_SLOT]
    if ranked and ranked[0].saved_s >= MIN_EXPECTED_WAIT_S:
        ranked = _keepers(ranked)
    return ranked[:ASKED_WITH_FREE_SLOT]


def _keepers(ranked: list[EngineOption]) -> list[EngineOption]:
    """Return the engines that keep about as much of the prompt as the best one.

    The first grant is used, and another engine might send it sooner. All engines are
    returned when many have no free slot: the best one may then have none either.
    """
    free = [option for option in ranked if option.queue_s <= 0]
    if len(free) < MIN_FREE_SHARE * len(ranked):
        return ranked
    least_s = ranked[0].saved_s / 2
    return [option for option in free if option.saved_s >= least_s]


def _sampled_wait_s(option: EngineOption, rng: random.Random) -> float:
    """Draw a wait from the distribution of which the expected one is the mean.

    If all entries compared the means, they would ask the same few agents until the next
    states arrive.
    """
    mean_s = max(option.queue_s, MIN_EXPECTED_WAIT_S)
    return option.round_trip_s + rng.expovariate(1 / mean_s)


def _cost_s(option: EngineOption, answer: ExpectedAnswer, min_token_s: float) -> float:
    """Return what an engine costs beside the wait, in seconds of wait."""
    speed = option.speed
    cost = DISTANCE_PENALTY_S * option.distance
    cost += FAILURE_PENALTY_S * option.failures
    cost += speed.first_event_s(answer.prompt_tokens) - option.saved_s
    if speed.token_s > min_token_s > 0:
        slow_s = SLOW_ENGINE_PENALTY_S * (speed.token_s / min_token_s - 1)
        long_share = min(1.0, answer.output_tokens / LONG_OUTPUT_TOKENS)
        cost += min(MAX_SLOW_ENGINE_PENALTY_S, slow_s) * long_share
    if speed.stream_s(answer.output_tokens) > answer.left_s:
        cost += TOO_SLOW_PENALTY_S
    return cost
