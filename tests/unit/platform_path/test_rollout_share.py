"""The limit of requests to a version on trial, over all entries together."""

import random

import pytest

from acaciarelay.coordination.rollout import Permission, ShareLimit
from acaciarelay.state.rollout import Phase, RolloutOrder
from acaciarelay.state.store_era import StoreVersion

SHARE = 0.1
SLACK = 50
DURATION_S = 12.0
STEP_S = 0.05
PERMISSION_S = 0.5


class Entry:
    def __init__(self, order, now):
        self.share = ShareLimit(SHARE)
        self.permission = Permission(order)
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.started_at = now


def run(entries, rate, seed):
    """Return all requests and those of the new version in an order under faults.

    Entries start, stop, freeze and are cut off all the time; traffic is uneven.
    """
    rng = random.Random(seed)
    order = RolloutOrder(
        service="chat",
        version="2",
        duration_s=DURATION_S,
        revision=StoreVersion(1, 7),
    )
    live = [Entry(order, 0.0) for _ in range(entries)]
    weights = [rng.expovariate(1.0) for _ in range(entries)]
    sent = sent_new = 0
    now = last_permission = 0.0
    while now < DURATION_S:
        now += STEP_S
        for number, entry in enumerate(live):
            chance = rng.random()
            if chance < 0.002:
                live[number] = Entry(order, now)
            elif chance < 0.004:
                entry.frozen_until = now + rng.uniform(0.1, 4.0)
            elif chance < 0.006:
                entry.cut_until = now + rng.uniform(0.1, 4.0)
        if now - last_permission >= PERMISSION_S:
            last_permission = now
            for entry in live:
                if now >= max(entry.cut_until, entry.frozen_until):
                    entry.permission.receive(1, Phase.SHARE, now)
        count = int(rate * STEP_S + rng.random())
        for entry in rng.choices(live, weights, k=count):
            if now < entry.frozen_until:
                continue
            new = entry.permission.phase(now) is Phase.SHARE
            new = new and entry.share.may_send_new()
            entry.share.record_sent(new)
            sent += 1
            sent_new += new
    return sent, sent_new


@pytest.mark.parametrize("entries", [3, 26, 68])
@pytest.mark.parametrize("rate", [5.0, 130.0, 600.0])
def test_sum_over_entries_keeps_to_the_share(entries, rate):
    """Guards against a bad version that gets more than a tenth, whoever starts."""
    for seed in range(6):
        sent, sent_new = run(entries, rate, seed)
        assert sent_new <= SHARE * sent + SLACK
        # The slack is left for requests that engines count and entries do not.
        assert sent_new <= 0.9 * SHARE * sent


def test_share_is_used():
    """Guards against a version on trial that gets too few requests to be judged."""
    sent, sent_new = run(3, 130.0, 1)
    assert sent_new >= 0.7 * SHARE * sent


def test_entry_starts_without_credit():
    """Guards against entries that start again and again, each with a first request."""
    share = ShareLimit(SHARE)
    for _ in range(11):
        assert not share.may_send_new()
        share.record_sent(False)
    assert share.may_send_new()
    share.record_sent(True)
    assert not share.may_send_new()
