"""Answers without end beside other requests, which are answered in time."""

import asyncio
import time

import pytest
from loop_monitor import LoopMonitor
from relay_rig import RelayRig

from acaciarelay_standins.platform_runner import ENDLESS_PARTS, RunnerFaults

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
