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


def choose(agents, reserved=(), seed=1, policy="late_binding", **changes) -> list[str]:
    request = placement_request(**changes)
    chosen = PLACEMENT_POLICIES[policy]()
    return chosen.choose(request, agents, set(reserved), Random(seed))


@pytest.mark.parametrize("policy", sorted(PLACEMENT_POLICIES))
def test_unusable_agents_are_skipped(policy: str) -> None:
    """Guards against reservations that can only be dropped."""
    for fault in ({"connected": 0}, {"draining": 1}, {"endpoint_up": 0}):
        agents = [agent("bad", **fault), agent("floor", tier_floor=0), agent("good")]
        assert choose(agents, policy=policy, prefix_hash=7) == ["good"]
        assert choose(agents[:2], policy=policy, prefix_hash=7) == []


def test_entries_with_the_same_report_choose_different_agents() -> None:
    """Guards against herding on old load reports, and against ignored reports."""
    agents = [agent(f"a{index}", running=index * 500) for index in range(21)]
    pairs = Counter(tuple(choose(agents, seed=seed)) for seed in range(1_000))
    names = Counter(name for pair in pairs.elements() for name in pair)
    assert len(pairs) > 100 and max(names.values()) < 250
    assert names["a0"] > 1.5 * names["a10"] > 3 * names["a20"] > 0


def test_agents_of_the_same_zone_are_preferred_unless_they_are_full() -> None:
    """Guards against needless traffic between zones, and against waits in full ones."""
    near = [agent("n0"), agent("n1")]
    far = [agent("f0", zone="zone-2"), agent("f1", zone="zone-2")]
    assert set(choose(near + far)) == {"n0", "n1"}
    full = [agent("n0", running=20_000), agent("n1", running=20_000)]
    assert any("f0" in choose(full + far, seed=seed) for seed in range(20))


def test_another_region_is_chosen_only_if_it_saves_more_than_wan_wait_s() -> None:
    """Guards against billed traffic for a wait that is not worth it."""
    near = [agent("n0", running=20_000), agent("n1", running=20_000)]
    far = [agent(f"f{index}", region="south", zone="s") for index in range(8)]
    saved_s = 10.5  # (20,000 + 500 - 10,000 tokens) / 1,000 tokens/s
    bound_above, bound_below = saved_s + 0.1, saved_s - 0.1
    assert all(
        set(choose(near + far, seed=seed, wan_wait_s=bound_above)) == {"n0", "n1"}
        for seed in range(20)
    )
    assert set(choose(near + far, wan_wait_s=bound_below)) - {"n0", "n1"}
    assert len(choose(far)) == 2


def test_a_long_wait_overrides_a_stale_report() -> None:
    """Guards against waiting in a region whose old reports show no load."""
    agents = [agent("near"), agent("far", region="south", zone="s")]
    assert choose(agents, reserved=["near"], waited_s=0.4) == []
    assert choose(agents, reserved=["near"], waited_s=2.0) == ["far"]


def test_the_prefix_agent_is_the_same_for_all_entries_unless_loaded() -> None:
    """Guards against a cold cache, and against one hot agent for a popular prefix."""
    agents = {name: agent(name) for name in "abcdefgh"}
    favourite = rendezvous_agent(99, agents)
    for seed in range(20):
        chosen = choose([*agents.values()], seed=seed, prefix_hash=99)
        assert chosen[0] == favourite and len(set(chosen)) == 3
    agents[favourite or ""].tiers = {2: TierCount(0, 0, 5, 9_000)}
    assert len(choose([*agents.values()], prefix_hash=99)) == 2


def test_waiting_widens_the_choice_without_repeating_agents() -> None:
    """Guards against a request that waits at two agents while others are free."""
    agents = [agent(f"a{index}") for index in range(20)]
    held = set(choose(agents))
    assert choose(agents, held) == []
    later = choose(agents, held, waited_s=3.0)
    assert len(later) == 6 and not held & set(later)
    assert len(choose(agents, held, waited_s=10.0)) == 18


@pytest.mark.parametrize(
    ("name", "expected"), [("least_reported", "bbbb"), ("round_robin", "abab")]
)
def test_baselines_choose_one_agent_and_do_not_widen(name: str, expected: str) -> None:
    """Guards against a baseline that has the features of late_binding.

    These are several agents, more of them as time passes, and the agent of the prefix.
    ``expected`` is a part of the sequence of agents that five calls choose.
    """
    policy = PLACEMENT_POLICIES[name]()
    agents = [agent("b", running=100), agent("a", running=200), agent("c", region="s")]
    request = placement_request(waited_s=9.0, prefix_hash=5)
    picks = [policy.choose(request, agents, set(), Random(1)) for _ in range(5)]
    assert all(len(pick) == 1 for pick in picks)
    assert expected in "".join(pick[0] for pick in picks)
    assert policy.choose(request, agents, {"a"}, Random(1)) == []


def test_subsets_are_stable_and_even() -> None:
    """Guards against reconnections when an agent leaves, and against unused agents."""
    names = [f"agent-{index}" for index in range(60)]
    counts: Counter[str] = Counter()
    for entry in range(320):
        subset = choose_subset(f"entry-{entry}", names, 20)
        counts.update(subset)
        for gone in (names[3], subset[0]):
            left = [name for name in reversed(names) if name != gone]
            moved = set(subset) - set(choose_subset(f"entry-{entry}", left, 20))
            assert moved == {gone} & set(subset)
    assert len(counts) == 60
    # On average 320 * 20 / 60 = 107 entries choose an agent.
    assert 60 < min(counts.values()) and max(counts.values()) < 160
    assert sorted(choose_subset("entry-1", names[:5], 20)) == names[:5]
