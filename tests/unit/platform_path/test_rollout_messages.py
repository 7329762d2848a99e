"""Messages of monitored rollouts: what a peer may send, and what is left out."""

import attrs
import pytest

from acaciarelay.protocol.link_messages import Hello, decode_message, encode_message
from acaciarelay.protocol.rollout_messages import (
    RolloutPermission,
    counts_message,
    decode_counts,
    decode_permission,
)
from acaciarelay.state.rollout import (
    EngineTimes,
    EntryCounts,
    Phase,
    RolloutState,
    RouteCounts,
)
from acaciarelay.state.store_era import StoreVersion

COUNTS = EntryCounts(
    entry="10.1.0.2:7601",
    lifetime="aa",
    order=StoreVersion(1, 7),
    number=3,
    epoch=2,
    phase=Phase.SHARE,
    old_running=4,
    old={
        "read": RouteCounts(requests=120, failures=1, times=((20, 118), (31, 1))),
        "order": RouteCounts(requests=9, running=((3, 2), (63, 1))),
    },
    new={"read": RouteCounts(requests=11)},
    engines=(
        EngineTimes(engine="i-1", new=False, requests=120, answers=110, excess=-7.5),
        EngineTimes(engine="i-5", new=True, requests=11, answers=0, excess=0.0),
    ),
)
PERMISSION = RolloutPermission(
    service="orders", era=1, order=7, epoch=2, phase=1, state="running", age_s=1.5
)


def test_counts_survive_a_link():
    """Guards against counts that reach the coordinator as other ones."""
    message = decode_message(encode_message(counts_message("orders", COUNTS)))
    assert message.service == "orders"
    assert decode_counts(message, "10.1.0.2:7601", "aa") == COUNTS


@pytest.mark.parametrize(
    "old",
    [
        7,
        None,
        [],
        {"read": 7},
        {"read": [1, 0, []]},
        {"read": [-1, 0, [], []]},
        {"read": [True, 0, [], []]},
        {"read": [1, 2, [], []]},
        {"read": [2**60, 0, [], []]},
        {"read": [1.5, 0, [], []]},
        {"read": [1, 0, [[64, 1]], []]},
        {"read": [1, 0, [[-1, 1]], []]},
        {"read": [2, 0, [[3, 1], [3, 1]], []]},
        {"read": [1, 0, [[3, -1]], []]},
        {"read": [1, 0, [[3]], []]},
        {"read": [1, 0, "ab", []]},
        {"r" * 1000: [1, 0, [], []]},
        {str(number): [1, 0, [], []] for number in range(1000)},
    ],
)
def test_counts_out_of_bounds_are_left_out(old):
    """Guards against one entry's odd figures in the coordinator's comparison."""
    message = attrs.evolve(counts_message("orders", COUNTS), old=old)
    decoded = decode_message(encode_message(message))
    assert decode_counts(decoded, "10.1.0.2:7601", "aa") is None


@pytest.mark.parametrize(
    "fields",
    [
        {"phase": 9},
        {"number": -1},
        {"epoch": 2**70},
        {"old_running": -4},
        {"order": -1},
    ],
)
def test_counts_with_odd_heads_are_left_out(fields):
    """Guards against an epoch or a phase that no coordinator gave."""
    message = attrs.evolve(counts_message("orders", COUNTS), **fields)
    assert decode_counts(message, "10.1.0.2:7601", "aa") is None


@pytest.mark.parametrize(
    "engines",
    [
        7,
        None,
        [7],
        [["i-1", 0, 1, 1]],
        [[1, 0, 1, 1, 0.0]],
        [["i" * 1000, 0, 1, 1, 0.0]],
        [["i-1", None, 1, 1, 0.0]],
        [["i-1", 0, 1, 2, 0.0]],
        [["i-1", 0, -1, 0, 0.0]],
        [["i-1", 0, 1, 1, "3"]],
        [["i-1", 0, 1, 1, 1e9]],
        [["i-1", 0, 1, 1, None]],
        [["i-1", 0, 1, 1, 0.0]] * 2000,
    ],
)
def test_times_of_engines_out_of_bounds_are_left_out(engines):
    """Guards against odd figures of engines in the coordinator's comparison."""
    message = attrs.evolve(counts_message("orders", COUNTS), engines=engines)
    decoded = decode_message(encode_message(message))
    assert decode_counts(decoded, "10.1.0.2:7601", "aa") is None


def test_a_permission_names_its_phase_and_state():
    """Guards against a permission that is taken for another one."""
    decoded = decode_message(encode_message(PERMISSION))
    assert decoded == PERMISSION
    assert decode_permission(decoded) == (Phase.SHARE, RolloutState.RUNNING)


@pytest.mark.parametrize(
    "fields",
    [
        {"phase": 4},
        {"phase": -1},
        {"state": "paused"},
        {"state": ""},
        {"epoch": -1},
        {"age_s": -0.1},
        {"age_s": float("nan")},
        {"age_s": float("inf")},
        {"age_s": 1e12},
    ],
)
def test_an_odd_permission_is_left_out(fields):
    """Guards against a phase that lets an entry send what no coordinator allowed."""
    assert decode_permission(attrs.evolve(PERMISSION, **fields)) is None


def test_a_process_without_rollouts_announces_none():
    """Guards against messages to a process that would close the link for them."""
    line = b'["hello","entry-1","aa","10.1.0.2:7601","zone-a",true,false,true,true]'
    assert decode_message(line) == Hello(
        name="entry-1",
        lifetime="aa",
        address="10.1.0.2:7601",
        zone="zone-a",
        gathers_usage=True,
        orders_eras=True,
        digests_parts=True,
    )
    assert not Hello(name="", lifetime="", address="", zone="").rolls_out
