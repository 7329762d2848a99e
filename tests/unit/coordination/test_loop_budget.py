"""Time of the event loop that reading takes, by connection."""

import pytest

from acaciarelay.coordination.loop_budget import (
    CONNECTION_BURST_S,
    CONNECTION_SHARE,
    LONG_STEP_S,
    MAX_CHARGED_STEP_S,
    MIN_PAUSE_S,
    POOL_BURST_S,
    POOL_SHARE,
    LoopBudget,
    Reader,
)

STEP_S = 0.002
RUN_S = 20.0


def test_the_time_is_counted_by_reader():
    budget = LoopBudget()
    for peer in ("10.0.0.1:1", "10.0.0.2:1"):
        budget.open(Reader.ENDPOINT, peer).spend(1.0, 1.25, 100)
    budget.open(Reader.CALLER, "10.0.0.3").spend(2.0, 2.5, 100)
    assert budget.seconds[Reader.ENDPOINT] == 0.5
    assert budget.seconds[Reader.CALLER] == 0.5
    assert budget.seconds[Reader.STORE] == 0


def test_a_long_step_tells_which_connection_held_the_loop():
    """Guards against a held event loop that nothing can be traced to."""
    steps = []
    budget = LoopBudget(steps.append)
    loop_time = budget.open(Reader.ENDPOINT, "10.0.0.1:1")
    loop_time.spend(1.0, 1.0 + LONG_STEP_S / 2, 10)
    loop_time.spend(2.0, 2.0 + 2 * LONG_STEP_S, 262_144)
    assert [(step.peer, step.size) for step in steps] == [("10.0.0.1:1", 262_144)]


def test_a_heavy_step_waits_after_that_of_another_connection():
    """Guards against first steps of many connections that follow each other at once."""
    budget = LoopBudget()
    first, second = (budget.open(Reader.CALLER, f"10.0.0.{n}") for n in (1, 2))
    first.spend(1.0, 1.006, 8_000)
    assert second.heavy_pause_s(1.006) == 0
    first.record_heavy(2.0, 2.006)
    assert second.heavy_pause_s(2.006) == pytest.approx(0.006)
    assert second.heavy_pause_s(2.0119) >= MIN_PAUSE_S
    assert second.heavy_pause_s(2.013) == 0
    # A step that took so long mostly waited for the processor.
    first.record_heavy(3.0, 3.5)
    assert second.heavy_pause_s(3.5) == pytest.approx(MAX_CHARGED_STEP_S)


class Loop:
    """An event loop in which connections take steps of ``STEP_S`` whenever they may."""

    def __init__(self, count):
        self.budget = LoopBudget()
        self.taken = {}
        self.ready_at = {}
        for number in range(count):
            loop_time = self.budget.open(Reader.ENDPOINT, f"10.0.0.{number}:1")
            self.taken[loop_time] = 0.0
            self.ready_at[loop_time] = 1.0

    def run(self):
        now = 1.0
        while now < 1.0 + RUN_S:
            loop_time = min(self.ready_at, key=self.ready_at.get)
            now = max(now, self.ready_at[loop_time])
            pause_s = loop_time.pause_s(now)
            if pause_s > 0:
                self.ready_at[loop_time] = now + pause_s
                continue
            loop_time.spend(now, now + STEP_S, 100)
            self.taken[loop_time] += STEP_S
            now += STEP_S
            self.ready_at[loop_time] = now


@pytest.mark.parametrize("count", [1, 2, 3, 10, 20])
def test_connections_with_much_to_read_leave_the_loop_to_others(count):
    """Guards against a bound for each connection that many of them pass together."""
    loop = Loop(count)
    loop.run()
    bursts_s = POOL_BURST_S + count * (CONNECTION_BURST_S + STEP_S)
    share = POOL_SHARE + count * CONNECTION_SHARE
    assert sum(loop.taken.values()) <= share * RUN_S + bursts_s


def test_connections_with_much_to_read_share_alike():
    """Guards against a connection that starves beside others."""
    loop = Loop(10)
    loop.run()
    assert min(loop.taken.values()) >= 0.8 * max(loop.taken.values())
    assert sum(loop.taken.values()) >= 0.8 * POOL_SHARE * RUN_S


def test_a_connection_within_its_share_never_waits():
    """Guards against sound streams that are slowed down beside faulty ones."""
    loop = Loop(10)
    loop.run()
    sound = loop.budget.open(Reader.ENDPOINT, "10.0.1.1:1")
    for count in range(1000):
        now = 2.0 + RUN_S + 0.02 * count
        assert sound.pause_s(now) == 0
        sound.spend(now, now + 0.0003, 100)


def test_a_large_answer_does_not_wait_while_the_pool_has_time():
    """Guards against sound answers of many bytes that are slowed down for nothing."""
    sound = LoopBudget().open(Reader.ENDPOINT, "10.0.1.1:1")
    now = 1.0
    for _ in range(256):
        assert sound.pause_s(now) == 0
        sound.spend(now, now + 0.0002, 16_384)
        now += 0.0004


def test_a_large_answer_beside_faulty_ones_ends_soon():
    """Guards against a wait for as many steps of others, which take longer."""
    loop = Loop(10)
    loop.run()
    sound = loop.budget.open(Reader.ENDPOINT, "10.0.1.1:1")
    now = began = 1.0 + RUN_S
    for _ in range(256):
        now += sound.pause_s(now)
        sound.spend(now, now + 0.0002, 16_384)
        now += 0.0004
    assert now - began < 2.0


def test_a_closed_connection_leaves_the_pool_to_others():
    budget = LoopBudget()
    for number in range(6):
        loop_time = budget.open(Reader.ENDPOINT, f"10.0.0.{number}:1")
        for _ in range(20):
            loop_time.spend(1.0, 1.0 + STEP_S * 10, 1)
        assert loop_time.pause_s(1.0) > 0
        loop_time.close()
    assert not budget.busy
