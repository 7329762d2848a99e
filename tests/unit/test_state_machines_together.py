"""Guard against faults that arise only from the state machines' interaction."""

import random

from hypothesis import HealthCheck, given, settings, strategies as st
from unit.cluster_model import STEPS, ClusterModel

from acaciarelay.state.claim import Claim


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    seed=st.integers(0, 2**32 - 1),
    choices=st.lists(st.integers(0, len(STEPS) - 1), min_size=20, max_size=250),
)
def test_no_double_run_and_no_false_report(seed: int, choices: list[int]) -> None:
    """Guards against double runs, false not_run, stale holders and config reverts."""
    cluster = ClusterModel(random.Random(seed))
    for choice in choices:
        STEPS[choice](cluster)
        cluster.check()


def test_long_runs_reach_every_state() -> None:
    """Guards against a model that does not reach the states in which faults appear."""
    claims = 0
    totals = dict.fromkeys(("dispatched", "not_run", "effects", "commands"), 0)
    for seed in range(60):
        rng = random.Random(seed)
        cluster = ClusterModel(rng)
        for _ in range(300):
            rng.choice(STEPS)(cluster)
            cluster.check()
        totals["dispatched"] += len(cluster.dispatched)
        totals["not_run"] += len(cluster.not_run)
        totals["effects"] += len(cluster.effects)
        totals["commands"] += len(cluster.commands)
        claims += sum(
            isinstance(value, Claim) for _, value in cluster.table.rows.values()
        )
    assert min(totals.values()) >= 30, totals
    assert claims >= 30
