"""Guard against herding, useless traffic and reservations at unusable agents."""

from collections import Counter
from random import Random

import pytest
from coordination_builders import agent, placement_request

from acaciarelay.coordination.load import TierCount
from acaciarelay.coordination.placement import (
    PLACEMENT_POLICIES,
    choose_subset,
    rendezvous_agent,
)
from acaciarelay.coordination.placement.late_binding import LateBinding

UNUSABLE = [
    {"connected": False},
    {"draining": True},
    {"endpoint_up": False},
    {"tier_floor": 0},
]


def choose(agents, already=(), seed=1, **changes) -> list[str]:
    request = placement_request(**changes)
    return LateBinding().choose(request, agents, set(already), Random(seed))


@pytest.mark.parametrize("name", sorted(PLACEMENT_POLICIES))
@pytest.mark.parametrize("fault", UNUSABLE)
def test_unusable_agents_are_skipped(name: str, fault: dict) -> None:
    """Guards against reservations that can only be dropped."""
    agents = [agent("bad", **fault), agent("good", tier_floor=1)]
    policy = PLACEMENT_POLICIES[name]()
    request = placement_request(prefix_hash=7)
    assert policy.choose(request, agents, set(), Random(1)) == ["good"]
    assert policy.choose(request, agents[:1], set(), Random(1)) == []


def test_entries_with_the_same_report_choose_different_agents() -> None:
    """Guards against herding on load reports that are seconds old."""
    agents = [agent(f"a{index}", running=index * 450) for index in range(20)]
    pairs = Counter(tuple(choose(agents, seed=seed)) for seed in range(300))
    assert len(pairs) > 100
    first = Counter(name for pair in pairs.elements() for name in pair)
    assert max(first.values()) < 0.25 * 300


def test_spare_capacity_raises_the_probability() -> None:
    """Guards against reservations spread evenly over full and idle agents."""
    agents = [agent("idle"), agent("half", running=5_000), agent("full", waiting=10**6)]
    first = Counter(choose(agents, seed=seed)[0] for seed in range(1_000))
    assert first["idle"] > first["half"] > first["full"] > 0


def test_the_own_zone_goes_before_the_region() -> None:
    """Guards against needless traffic between zones, and against a full own zone."""
    near = [agent(f"n{index}") for index in range(3)]
    far = [agent(f"f{index}", zone="zone-2") for index in range(3)]
    assert set(choose(near + far)) <= {"n0", "n1", "n2"}
    full = [agent(f"n{index}", running=20_000, waiting=20_000) for index in range(3)]
    assert any("f0" in choose(full + far, seed=seed) for seed in range(20))


def test_another_region_needs_a_saved_wait_above_the_bound() -> None:
    """Guards against billed traffic for a wait that is not worth it."""
    near = [agent(f"n{index}", running=20_000) for index in range(2)]
    far = [agent(f"f{index}", region="south", zone="s") for index in range(8)]
    saved_s = 10.5  # (20,000 + 500 - 10,000 tokens) / 1,000 tokens/s
    for seed in range(20):
        chosen = choose(near + far, seed=seed, wan_wait_s=saved_s + 0.1)
        assert set(chosen) == {"n0", "n1"}
    chosen = [choose(near + far, seed=s, wan_wait_s=saved_s - 0.1) for s in range(20)]
    assert any(name.startswith("f") for names in chosen for name in names)
    assert choose(far)


def test_a_long_wait_counts_against_a_stale_report() -> None:
    """Guards against waiting in a region whose old reports show no load."""
    near = [agent("near")]
    far = [agent(f"f{index}", region="south", zone="s") for index in range(5)]
    assert choose(near + far, already=["near"], waited_s=0.4) == []
    assert choose(near + far, already=["near"], waited_s=2.0)


def test_the_prefix_agent_is_the_same_for_all_entries_unless_loaded() -> None:
    """Guards against a cold cache, and against one hot agent for a popular prefix."""
    agents = [agent(f"a{index}") for index in range(10)]
    favourite = rendezvous_agent(99, [item.agent_id for item in agents])
    for seed in range(20):
        chosen = choose(agents, seed=seed, prefix_hash=99)
        assert chosen[0] == favourite and len(set(chosen)) == 3
    loaded = [item for item in agents if item.agent_id == favourite][0]
    loaded.tiers = {2: TierCount(0, 0, 5, 9_000)}
    assert all(len(choose(agents, seed=s, prefix_hash=99)) == 2 for s in range(20))


def test_waiting_widens_the_choice_without_repeating_agents() -> None:
    """Guards against a request that waits at two agents while others are free."""
    agents = [agent(f"a{index}") for index in range(20)]
    held = set(choose(agents))
    assert choose(agents, held) == []
    later = choose(agents, held, waited_s=3.0)
    assert len(later) == 6 and not held & set(later)
    assert len(choose(agents, held, waited_s=10.0)) == 18


@pytest.mark.parametrize("name", ["least_reported", "round_robin"])
def test_baselines_choose_one_agent_and_do_not_widen(name: str) -> None:
    """Guards against a baseline that is measured with the other policy's means."""
    policy = PLACEMENT_POLICIES[name]()
    agents = [agent("b", running=100), agent("a", running=200), agent("c", region="s")]
    request = placement_request(waited_s=9.0, prefix_hash=5)
    picks = [policy.choose(request, agents, set(), Random(1))[0] for _ in range(4)]
    expected = {"least_reported": {"b"}, "round_robin": {"a", "b"}}
    assert set(picks) == expected[name]
    assert policy.choose(request, agents, {"a"}, Random(1)) == []


def test_a_subset_changes_by_one_agent_at_most() -> None:
    """Guards against sessions that move when an unrelated agent joins or leaves."""
    names = [f"agent-{index}" for index in range(100)]
    for entry in ("entry-1", "entry-2", "entry-3"):
        subset = choose_subset(entry, names, 20)
        assert subset == choose_subset(entry, names[::-1], 20) and len(subset) == 20
        for gone in (names[3], subset[0]):
            rest = choose_subset(entry, [n for n in names if n != gone], 20)
            assert len(set(subset) - set(rest)) == (gone in subset)
    assert sorted(choose_subset("entry-1", names[:5], 20)) == names[:5]


def test_subsets_cover_the_agents_evenly() -> None:
    """Guards against agents that no entry connects to."""
    names = [f"agent-{index}" for index in range(60)]
    counts = Counter(
        name
        for entry in range(320)
        for name in choose_subset(f"entry-{entry}", names, 20)
    )
    assert len(counts) == 60
    assert 60 < min(counts.values()) and max(counts.values()) < 160
