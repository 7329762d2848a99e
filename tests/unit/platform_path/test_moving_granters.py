"""Load model: granters that move in a burst keep the order and the engines' queues."""

import pytest
from slot_fleet_model import Load, MovingFleetModel

ENGINES = 4
SLOTS = 6
SECONDS = 20.0
# A hundred urgent and six times the rest of what the engines take.
LOADS = [
    Load(rank=0, per_s=40.0, hold_s=0.2),
    Load(rank=1, per_s=40.0, hold_s=0.2),
    Load(rank=2, per_s=200.0, hold_s=0.2),
]


def play(seed, moves, adopt=True):
    model = MovingFleetModel(ENGINES, SLOTS, ranks=3, seed=seed)
    for at in moves:
        model.at(at, lambda: model.move(adopt))
    return model, model.play(LOADS, SECONDS)


@pytest.mark.parametrize("seed", range(3))
def test_order_is_kept_while_granters_move(seed):
    """Guards against urgent requests that are lost with the queue of a granter."""
    _, still = play(seed, [])
    model, moved = play(seed, [5.0, 8.0, 11.0, 14.0])
    assert moved[0].served_share > 0.95
    assert moved[0].served_share >= moved[1].served_share >= moved[2].served_share
    served = sum(result.served for result in moved.values())
    assert served > 0.95 * sum(result.served for result in still.values())
    # A moment of too many grants: what was granted before the new granter knew.
    assert model.most_running <= SLOTS * 1.5


@pytest.mark.parametrize("seed", range(3))
def test_held_slots_are_counted_by_the_next_granter(seed):
    """Guards against a new granter that grants slots which are in use."""
    model, _ = play(seed, [5.0, 8.0, 11.0, 14.0])
    blind, _ = play(seed, [5.0, 8.0, 11.0, 14.0], adopt=False)
    assert blind.most_running > model.most_running
