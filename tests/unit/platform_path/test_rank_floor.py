"""Least share of each rank: when it applies, and what callers get under floods."""

import pytest
from slot_fleet_model import Load, SlotFleetModel

from acaciarelay.coordination.rank_floor import FLOOR_SHARE, RankFloor

SERVICE = "assistant"
URGENT, CALM = 0, 2
# The play is too short for the whole floor, since the first requests find no counts.
KEPT_FLOOR = 0.8
PLAY_S = 12.0
FLEETS = [(6, 8), (25, 5)]


def floor_with(urgent: tuple[int, int], calm: tuple[int, int]) -> RankFloor:
    """Return counts of arrived and served requests of two ranks."""
    floor = RankFloor()
    for rank, (arrived, served) in ((URGENT, urgent), (CALM, calm)):
        for _ in range(arrived):
            floor.record_arrival(SERVICE, rank, 0.0)
        for _ in range(served):
            floor.record_served(SERVICE, rank, 0.0)
    return floor


def test_a_starved_rank_is_below_its_floor():
    """Guards against a rank that gets nothing while more urgent ones are served."""
    assert floor_with((100, 90), (20, 2)).is_below(SERVICE, CALM, 0.0)


def test_a_rank_at_its_share_is_not_preferred():
    """Guards against serving a less urgent rank more often than its floor."""
    assert not floor_with((100, 90), (20, 10)).is_below(SERVICE, CALM, 0.0)


def test_the_most_urgent_rank_has_no_floor():
    """Guards against an order that is inverted when urgent requests are refused."""
    assert not floor_with((100, 1), (100, 90)).is_below(SERVICE, URGENT, 0.0)


def test_a_flood_of_the_rank_itself_raises_no_floor():
    """Guards against a flood of the least urgent rank that takes the others' slots."""
    assert not floor_with((10, 10), (1000, 10)).is_below(SERVICE, CALM, 0.0)


def test_counts_of_the_past_are_forgotten():
    """Guards against a preference that outlasts the flood by far."""
    floor = floor_with((100, 90), (20, 2))
    assert not floor.is_below(SERVICE, CALM, 60.0)


@pytest.mark.parametrize(("engines", "slots"), FLEETS)
def test_long_calm_requests_live_through_an_urgent_flood(engines, slots):
    """Guards against the least urgent kind being refused while urgent ones flood."""
    model = SlotFleetModel(engines, slots, ranks=3, seed=1)
    capacity_s = engines * slots
    loads = [
        Load(rank=0, per_s=0.8 * capacity_s / 0.3, hold_s=0.3),
        Load(rank=1, per_s=0.4 * capacity_s / 0.2, hold_s=0.2),
        Load(rank=2, per_s=0.5 * capacity_s / 1.5, hold_s=1.5),
    ]
    results = model.play(loads, PLAY_S)
    served = sum(result.served for result in results.values())
    ended = served + sum(result.refused for result in results.values())
    mean = served / ended
    assert results[2].served_share >= KEPT_FLOOR * FLOOR_SHARE * mean
    shares = [results[rank].served_share for rank in range(3)]
    assert shares[0] >= shares[1] >= shares[2]
