"""Answers without end, stalled answers and repeated refusals of faulty runners."""

import asyncio
import resource

import pytest
from loop_monitor import LoopMonitor
from relay_rig import RelayRig

from acaciarelay.transport.event_stream import MAX_EVENT_BYTES, EventSplitter
from acaciarelay_standins.runner_faults import ENDLESS_PARTS, RunnerFaults

MB = 1_000_000
# Stream events may reach the caller at most this much later than they were sent.
MAX_PASS_S = 0.2


@pytest.mark.parametrize("part", ENDLESS_PARTS)
@pytest.mark.parametrize("target", ["/order/a", "/quote/a"])
async def test_an_answer_without_end_is_given_up_and_holds_up_nobody(part, target):
    """Guards against one faulty runner that stops an entry or fills its memory."""
    async with RelayRig() as rig:
        service = "engine" if target == "/quote/a" else "orders"
        faulty = await rig.add_runner(service)
        faulty.faults = RunnerFaults(endless=part)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        async with LoopMonitor() as monitor:
            answer = await rig.call(target, limit_ms=1500)
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert not (answer.status == 200 and answer.complete)
        assert answer.status not in (408, 421, 429, 503)
        assert monitor.longest_s < MAX_PASS_S
        assert (after_kb - before_kb) * 1024 < 64 * MB
        await asyncio.sleep(0.2)
        sent = faulty.endless_bytes
        await asyncio.sleep(0.2)
        assert faulty.endless_bytes == sent


def test_splitting_takes_time_in_proportion_to_the_bytes():
    """Guards against a search of the whole buffer for each piece that arrives."""
    loop_time = []
    for size in (MAX_EVENT_BYTES // 4, MAX_EVENT_BYTES):
        splitter = EventSplitter()
        began = resource.getrusage(resource.RUSAGE_SELF).ru_utime
        for _ in range(20):
            splitter = EventSplitter()
            for _ in range(size // 64):
                splitter.feed(b"x" * 64)
                splitter.next_events()
        loop_time.append(resource.getrusage(resource.RUSAGE_SELF).ru_utime - began)
    # Four times the bytes; a search of the whole buffer would take sixteen times.
    assert loop_time[1] < 8 * loop_time[0] + 0.05


@pytest.mark.parametrize("separator", [b"\n\n", b"\r\n\r\n"])
def test_events_are_found_however_their_bytes_are_cut(separator):
    """Guards against a separator that is missed because it came in two pieces."""
    data = b"".join(b"id: %d\ndata: x" % n + separator for n in range(1, 6))
    for size in range(1, len(data)):
        splitter = EventSplitter()
        events = []
        for start in range(0, len(data), size):
            splitter.feed(data[start : start + size])
            events += splitter.next_events()
        assert [event.number for event in events] == [1, 2, 3, 4, 5]
        assert b"".join(event.data for event in events) == data
        assert not splitter.has_partial_event


@pytest.mark.parametrize(
    ("target", "service"), [("/read/a", "orders"), ("/chat/a", "engine")]
)
async def test_a_byte_now_and_then_is_no_progress(target, service):
    """Guards against a stalled answer that is kept alive with single bytes."""
    async with RelayRig() as rig:
        stalled = await rig.add_runner(service)
        stalled.faults = RunnerFaults(drip_s=0.1)
        await rig.add_runner(service)
        for number in range(3):
            answer = await rig.call(target, attempt=f"a-{number}", limit_ms=1900)
            assert answer.status == 200 and answer.complete
        assert stalled.runs


async def test_a_slow_but_sound_stream_is_not_cut():
    """Guards against a stream that is cut although each event comes in time."""
    async with RelayRig() as rig:
        slow = await rig.add_runner("engine", step_s=0.6, events=3)
        await rig.add_runner("engine", step_s=0.6, events=3)
        answer = await rig.call("/chat/a", limit_ms=2500)
        assert answer.status == 200 and answer.complete
        assert rig.arrivals == 1
        assert not slow.cancelled


async def test_a_refusal_that_names_no_request_proves_nothing():
    """Guards against 'not run' for an order that runs, and against its second run.

    A faulty runner may write an earlier refusal once more.
    """
    async with RelayRig() as rig:
        for _ in range(2):
            runner = await rig.add_runner("orders")
            runner.faults = RunnerFaults(old_refusal=True)
        answer = await rig.call("/order/a")
        assert answer.status == 502
        assert rig.arrivals == 1
