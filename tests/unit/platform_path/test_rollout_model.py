"""Whole rollouts in the model: one final state in spite of faults."""

import random

import pytest
from unit.platform_path.rollout_model import RolloutModel, make_order

from acaciarelay.state.rollout import Phase, RolloutState

SUCCEEDED, ROLLED_BACK = RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK


def test_good_version_succeeds_in_time():
    """Guards against a good version that is not in use at the end of its time."""
    model = RolloutModel(seed=1, entries=3)
    model.run(12.0)
    assert model.ends() == [SUCCEEDED]
    model.check_one_end()


@pytest.mark.parametrize("seed", range(6))
def test_good_version_succeeds_in_time_when_its_coordinator_dies(seed):
    """Guards against an order that its coordinator takes with it."""
    model = RolloutModel(seed=seed, entries=4)

    def kill():
        model.kill(model.coordinator_name())

    model.run(12.0, [(3.0 + seed * 0.5, kill)])
    assert model.ends() == [SUCCEEDED]
    model.check_one_end()


def test_bad_version_is_rolled_back_although_its_coordinator_dies():
    """Guards against evidence that is lost with the coordinator."""
    for seed in range(4):
        model = RolloutModel(seed=seed, entries=4, failure_share=0.3)
        model.run(14.0, [(2.5, lambda m=model: m.kill(m.coordinator_name()))])
        assert model.ends() == [ROLLED_BACK]


def test_counts_survive_the_death_of_all_entries():
    """Guards against a bad version whose failures are forgotten with the processes."""
    model = RolloutModel(seed=2, entries=3, rate=60.0, failure_share=0.3)
    model.run(3.5)
    row = model.store.coordinator[1]
    kept = sum(one.new_failures for one in row.counts)
    assert kept > 0 and not model.ends()
    for name in model.names:
        model.start(name)
    model.run(8.0)
    row = model.store.coordinator[1]
    assert sum(one.new_failures for one in row.counts) >= kept
    model.run(14.0)
    assert model.ends() == [ROLLED_BACK]


def test_no_engine_of_the_new_version_ends_in_a_roll_back():
    """Guards against a success that stops the only engines."""
    model = RolloutModel(seed=3, engines=(6, 0))
    model.run(13.0)
    assert model.ends() == [ROLLED_BACK]
    remarks = [one for entry in model.entries.values() for one in entry.remarks]
    assert any("no engine" in remark.detail for remark in remarks)


def test_no_engine_of_another_version_leaves_all_traffic_as_it_is():
    """Guards against a service cut to a tenth by an order of its own version."""
    model = RolloutModel(seed=3, engines=(0, 6))
    model.run(4.0)
    phases = {entry.permission.phase(4.0) for entry in model.entries.values()}
    assert phases == {Phase.FULL}
    model.run(13.0)
    assert model.ends() == [SUCCEEDED]


def test_links_cut_leave_the_permissions_of_the_row():
    """Guards against a rollout that stands still while only the links are down."""
    model = RolloutModel(seed=4, entries=3)
    for entry in model.entries.values():
        entry.cut_from_links_until = 100.0
    model.run(6.0)
    phases = [entry.permission.phase(6.0) for entry in model.entries.values()]
    assert phases == [Phase.SHARE] * 3


def test_silent_store_ends_all_permissions():
    """Guards against a version in use that no coordinator may judge."""
    model = RolloutModel(seed=5, entries=3)

    def down():
        model.store.down = True

    model.run(8.1, [(3.0, down)])
    phases = [entry.permission.phase(8.1) for entry in model.entries.values()]
    assert phases == [Phase.NONE] * 3 and not model.ends()


def test_rolled_back_version_gets_no_request_later_than_the_bound():
    """Guards against an entry that goes on after the 50th bad answer and 5 s."""
    for seed in range(6):
        model = RolloutModel(seed=seed, entries=5, rate=150, failure_share=1.0)
        victims = list(model.names)
        model.rng.shuffle(victims)

        def disturb(model=model, victims=victims):
            model.entries[victims[0]].frozen_until = model.now + 4.0
            model.entries[victims[1]].cut_from_links_until = model.now + 6.0
            model.entries[victims[2]].cut_from_store_until = model.now + 6.0

        model.run(15.0, [(2.0, disturb)])
        assert model.ends() == [ROLLED_BACK]
        if len(model.bad_at) >= 50:
            assert max(model.new_sent_at) <= model.bad_at[49] + 5.0


@pytest.mark.parametrize("block", range(8))
def test_no_sequence_of_faults_changes_an_end_or_writes_two(block):
    """Guards against a second end after deaths, pauses, and late or lost writes."""
    for seed in range(block * 12, block * 12 + 12):
        rng = random.Random(seed)
        model = RolloutModel(
            seed=seed,
            entries=rng.choice([1, 2, 3, 5]),
            order=make_order(duration_s=rng.choice([1.0, 4.0, 6.0])),
            rate=30.0,
            failure_share=rng.choice([0.0, 0.0, 0.4]),
            bad_from_s=rng.choice([0.0, 3.0]),
            write_faults=rng.choice([0.2, 0.5, 0.8]),
        )
        for _ in range(rng.randrange(2, 10)):
            model.at(rng.uniform(0.0, 12.0), random_fault(model, rng))
        model.run(14.0)
        # The faults end; whatever is still under way at the store is performed.
        model.write_faults = 0.0
        model.store.down = False
        for name in model.names:
            if name not in model.entries:
                model.start(name)
        model.run(32.0)
        model.check_one_end()
        assert len(model.ends()) == 1, seed
        (end,) = model.ends()
        for entry in model.entries.values():
            assert entry.permission.state is end, seed


def random_fault(model, rng):
    name = rng.choice(model.names)
    kind = rng.randrange(6)
    length_s = rng.uniform(0.5, 6.0)

    def fault():
        entry = model.entries.get(name)
        if kind == 0:
            model.kill(model.coordinator_name() or name)
        elif kind == 1:
            model.start(name)
        elif kind == 2:
            model.store.down = True
            model.at(model.now + length_s, store_up)
        elif entry is None:
            return
        elif kind == 3:
            entry.frozen_until = model.now + length_s
        elif kind == 4:
            entry.cut_from_store_until = model.now + length_s
        else:
            entry.cut_from_links_until = model.now + length_s

    def store_up():
        model.store.down = False

    return fault
