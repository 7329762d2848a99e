"""Answers without end beside other requests, which are answered in time."""

import asyncio
import time

import pytest
from loop_monitor import LoopMonitor
from relay_rig import RelayRig
from unit.platform_path.test_ends_of_answers import ScriptedRunner, chunked

from acaciarelay_standins.runner_faults import ENDLESS_PARTS, RunnerFaults

# One in five engines of a deployment sends without end, to as many callers as it runs.
STREAMS = 10
ORDERS = 20
ORDER_INTERVAL_S = 0.05
# Stream events may reach the caller at most this much later than they were sent.
MAX_PASS_S = 0.2
# Half of the route's time limit; an order takes 0.02 s on its own.
MAX_ORDER_S = 1.0


async def order_beside(rig, number):
    began = time.monotonic()
    answer = await rig.call("/order/a", attempt=f"order-{number}")
    assert answer.status == 200 and answer.complete
    return time.monotonic() - began


@pytest.mark.parametrize("part", ENDLESS_PARTS)
async def test_many_answers_without_end_hold_up_no_other_request(part):
    """Guards against an engine whose answers take the entry's event loop."""
    async with RelayRig() as rig:
        for _ in range(2):
            engine = await rig.add_runner("engine", slots=STREAMS)
            engine.faults = RunnerFaults(endless=part)
        await rig.add_runner("orders", slots=ORDERS)
        async with LoopMonitor() as monitor:
            streams = [
                asyncio.create_task(rig.call("/chat/a", attempt=f"s-{number}"))
                for number in range(STREAMS)
            ]
            taken = []
            for number in range(ORDERS):
                taken.append(asyncio.create_task(order_beside(rig, number)))
                await asyncio.sleep(ORDER_INTERVAL_S)
            times = await asyncio.gather(*taken)
            await asyncio.gather(*streams)
        assert max(times) < MAX_ORDER_S
        assert monitor.longest_s < MAX_PASS_S


FIELDS = "x:\r\n" * 3_900
ANSWER = chunked("answer")
MANY_FIELDS = {
    "head": ANSWER.replace("\r\n", "\r\n" + FIELDS, 1),
    "interim": f"HTTP/1.1 102 Processing\r\n{FIELDS}\r\n{ANSWER}",
    "trailers": chunked("answer", end=False) + f"0\r\n{FIELDS}\r\n",
}


@pytest.mark.parametrize("part", MANY_FIELDS)
async def test_an_answer_with_thousands_of_fields_is_broken_off(part):
    """Guards against complete heads and trailers that take long to be parsed."""
    async with RelayRig() as rig:
        runner = ScriptedRunner(MANY_FIELDS[part])
        await runner.listen(rig, 1, "orders")
        answer = await rig.call("/order/a")
        assert answer.status == 502
        assert rig.health.failures("i-1", time.monotonic()) > 0.5


async def test_an_answer_with_some_fields_and_trailers_is_sound():
    fields = "".join(f"X-Field-{number}: {number}\r\n" for number in range(50))
    async with RelayRig() as rig:
        head = ANSWER.replace("\r\n", "\r\n" + fields, 1)
        runner = ScriptedRunner(head.replace("0\r\n\r\n", f"0\r\n{fields}\r\n"))
        await runner.listen(rig, 1, "orders")
        answer = await rig.call("/order/a")
        assert (answer.status, answer.body) == (200, b"answer")
        assert answer.headers["x-field-49"] == "49"
