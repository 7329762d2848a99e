"""Which requests a stopping entry takes, and how it ends the others."""

import asyncio

import pytest
from relay_rig import RelayRig

from acaciarelay.coordination.answer_times import AnswerTimes
from acaciarelay.coordination.drain_window import DrainWindow
from acaciarelay_standins.runner_faults import RunnerFaults


def window_until(ends_at: float) -> DrainWindow:
    """Return a window that is noticed at half of its time."""
    now = asyncio.get_running_loop().time()
    return DrainWindow(
        began_at=now,
        noticed_at=(now + ends_at) / 2,
        ends_at=ends_at,
        streams_end_at=ends_at,
        grace_ends_at=ends_at,
    )


@pytest.mark.parametrize(
    ("now", "deadline", "expected_s", "may_be_cut", "finishes"),
    [
        (10.0, 19.9, 60.0, True, True),
        (10.0, 20.0, 60.0, True, True),
        (10.0, 20.1, 60.0, True, False),
        (10.0, 60.0, 9.9, True, True),
        (10.0, 60.0, 10.1, True, False),
        (10.0, 20.0, None, True, True),
        (10.0, 60.0, None, True, False),
        (14.9, 60.0, 0.1, True, True),
        (15.0, 60.0, 0.1, True, False),
        (15.0, 60.0, 0.1, False, True),
        (15.0, 60.0, 5.1, False, False),
        (15.0, 20.0, 60.0, True, True),
    ],
)
def test_requests_that_end_in_the_window_are_taken(
    now, deadline, expected_s, may_be_cut, finishes
):
    """Guards against a late request that is cut, or one refused without need."""
    window = DrainWindow(
        began_at=5.0,
        noticed_at=15.0,
        ends_at=20.0,
        streams_end_at=20.0,
        grace_ends_at=20.0,
    )
    assert window.can_finish(now, deadline, expected_s, may_be_cut) is finishes


def test_the_window_leaves_time_for_the_exit():
    """Guards against a stop that the platform ends with SIGKILL."""
    for grace_s in (2.0, 4.0, 8.0, 30.0):
        window = DrainWindow.for_grace(100.0, grace_s)
        assert window.ends_at <= window.streams_end_at <= 100.0 + grace_s - 0.3
        assert window.noticed_at == pytest.approx(102.6)


def test_answer_times_are_exceeded_by_few_answers():
    """Guards against an estimate that most answers exceed, or one far too long."""
    times = AnswerTimes()
    assert times.upper_estimate_s("read") is None
    for number in range(100):
        times.observe("read", 0.1 + 0.01 * (number % 5))
    assert 0.14 < times.upper_estimate_s("read") < 0.25
    times.observe("read", 3.0)
    assert times.upper_estimate_s("read") > 1.0
    assert times.upper_estimate_s("order") is None


async def test_a_request_whose_time_limit_ends_in_the_grace_is_served():
    """Guards against a refusal of a request that the time limit ends in time."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        rig.relay.drain.answer_times.observe("order", 30.0)
        rig.relay.drain.begin(window_until(asyncio.get_running_loop().time() + 1.0))
        assert (await rig.call("/order/a", limit_ms=800)).status == 200
        answer = await rig.call("/order/a", limit_ms=2000)
        assert (answer.status, answer.headers["acaciarelay-code"]) == (503, "304")


async def test_a_retry_that_cannot_end_in_the_grace_is_not_made():
    """Guards against a failed request that a stopping entry passes on again."""
    async with RelayRig() as rig:
        for _ in range(2):
            runner = await rig.add_runner("orders", work_s=0.3)
            runner.faults = RunnerFaults(lose=True)
        rig.relay.drain.answer_times.observe("read", 0.2)
        rig.relay.drain.begin(window_until(asyncio.get_running_loop().time() + 0.7))
        answer = await rig.call("/read/a", "GET")
        assert (answer.status, answer.complete) == (502, True)
        assert rig.arrivals == 1


async def test_a_stream_of_which_nothing_is_known_is_refused():
    """Guards against a stream that a fresh entry takes in its stop and cuts."""
    async with RelayRig() as rig:
        await rig.add_runner("engine")
        rig.relay.drain.begin(window_until(asyncio.get_running_loop().time() + 1.0))
        answer = await rig.call("/chat/a", limit_ms=2000)
        assert (answer.status, answer.headers["acaciarelay-code"]) == (503, "304")
        assert rig.arrivals == 0


async def test_a_failure_of_the_runner_is_forwarded_at_the_end_of_the_grace():
    """Guards against a runner's failure that is lost while a retry runs."""
    async with RelayRig() as rig:
        first = await rig.add_runner("orders", work_s=0.2)
        first.faults = RunnerFaults(error=True)
        request = asyncio.create_task(rig.call("/read/a", "GET"))
        await asyncio.sleep(0.1)
        second = await rig.add_runner("orders")
        second.faults = RunnerFaults(silent=True)
        await asyncio.sleep(0.2)
        rig.relay.drain.begin(window_until(asyncio.get_running_loop().time() + 0.1))
        answer = await request
        assert (answer.status, answer.headers["runner-seal"]) == (500, "seal-of-i-1")
