"""Guards against slots that go to less urgent requests before urgent ones."""

import random

import attrs
import pytest
from slot_fleet_model import Load, RankResult, SlotFleetModel

from acaciarelay.coordination.engine_choice import (
    ASKED_WITH_FREE_SLOT,
    EngineOption,
    ExpectedAnswer,
    choose_engines,
)
from acaciarelay.coordination.engine_model import EngineSpeed

ANSWER = ExpectedAnswer(prompt_tokens=500, output_tokens=100, left_s=10.0)
# The least urgent kind may flood the system: the most urgent one keeps this share.
KEPT_SHARE = 0.99
HOLD_S = 1.5
URGENT_LOAD = 0.6
PLAY_S = 6.0
SEEDS = (1, 2)

# Engines and their slots on deployments of different sizes.
FLEETS = [(6, 8), (9, 11), (24, 12), (37, 5)]


def play(engines: int, slots: int, flood: float) -> list[RankResult]:
    """Play an urgent load and a flood, in multiples of what the engines can serve."""
    sums = [RankResult(), RankResult()]
    capacity_per_s = engines * slots / HOLD_S
    for seed in SEEDS:
        model = SlotFleetModel(engines, slots, ranks=2, seed=seed)
        loads = [
            Load(rank=0, per_s=URGENT_LOAD * capacity_per_s, hold_s=HOLD_S),
            Load(rank=1, per_s=flood * capacity_per_s, hold_s=HOLD_S),
        ]
        for rank, result in model.play(loads, PLAY_S).items():
            sums[rank].served += result.served
            sums[rank].refused += result.refused
    return sums


@pytest.mark.parametrize(("engines", "slots"), FLEETS)
def test_a_flood_takes_no_slots_from_urgent_requests(engines, slots):
    """Guards against agents without urgent requests that serve the flood instead."""
    urgent, flood = play(engines, slots, 1.5)
    assert urgent.served_share >= KEPT_SHARE
    # What the urgent ones leave is used, and starves nobody.
    assert flood.served_share >= (1 - URGENT_LOAD) / 1.5


def option(host: str, queue_s: float = 0.0, **fields) -> EngineOption:
    defaults = {
        "round_trip_s": 0.001,
        "distance": 0.0,
        "failures": 0.0,
        "speed": EngineSpeed(first_s=0.05, token_s=0.01),
    }
    return EngineOption(host=host, queue_s=queue_s, **(defaults | fields))


def shares_asked(options: list[EngineOption]) -> dict[str, float]:
    """Return how often the agent of each host is asked."""
    rng = random.Random(1)
    counts = {item.host: 0 for item in options}
    for _ in range(1000):
        for chosen in choose_engines(options, ANSWER, rng):
            counts[chosen.host] += 1
    return {host: count / 1000 for host, count in counts.items()}


def test_few_agents_are_asked_while_slots_are_free_and_more_while_none_is():
    """Guards against needless messages on a calm day."""
    calm = [option(str(number)) for number in range(20)]
    busy = [attrs.evolve(item, queue_s=0.1) for item in calm]
    rng = random.Random(1)
    assert len(choose_engines(calm, ANSWER, rng)) == ASKED_WITH_FREE_SLOT
    assert len(choose_engines(busy, ANSWER, rng)) == 2 * ASKED_WITH_FREE_SLOT
    assert choose_engines([], ANSWER, rng) == []


def test_an_engine_with_a_free_slot_is_asked_before_others_with_a_queue():
    """Guards against chance that sends requests past a free engine."""
    options = [option("free"), *(option(str(n), queue_s=0.5) for n in range(12))]
    assert shares_asked(options)["free"] > 0.99


def test_entries_with_the_same_states_ask_different_agents():
    """Guards against a herd at the agents whose published waits are the shortest."""
    options = [option(str(n), queue_s=0.2 + 0.01 * n) for n in range(12)]
    shares = shares_asked(options)
    assert max(shares.values()) < 0.7
    assert min(shares.values()) > 0.3


def test_a_slot_that_was_free_draws_no_herd():
    """Guards against a herd at engines that were free when they last said so."""
    options = [option(str(n)) for n in range(9)]
    assert max(shares_asked(options).values()) < 0.5


@pytest.mark.parametrize(
    "worse",
    [
        option("worse", failures=3.0),
        option("worse", distance=4.0),
        option("worse", speed=EngineSpeed(first_s=0.3, token_s=0.01)),
        option("worse", speed=EngineSpeed(first_s=0.05, token_s=0.2)),
    ],
    ids=["failing", "far", "slow to begin", "too slow to end in time"],
)
def test_what_counts_beside_the_wait_decides_while_slots_are_free(worse):
    """Guards against a choice by the wait alone."""
    options = [worse, *(option(str(n)) for n in range(6))]
    assert shares_asked(options)["worse"] < 0.05
