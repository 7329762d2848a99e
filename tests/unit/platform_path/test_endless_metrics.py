"""Readers of the metrics that ask without end, beside callers."""

import asyncio
import contextlib
import time

import pytest
from loop_monitor import LoopMonitor
from relay_rig import RelayRig

from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.metrics_server import serve_metrics

READERS = 10
ORDERS = 20
ORDER_INTERVAL_S = 0.05
# Half of the route's time limit; an order takes 0.02 s on its own.
MAX_ORDER_S = 1.0
MAX_STEP_S = 0.2
REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"


async def discard(reader):
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass


async def ask_without_end(address, reads_answers, end_at):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    discarding = asyncio.create_task(discard(reader)) if reads_answers else None
    with contextlib.suppress(OSError):
        while time.monotonic() < end_at:
            writer.write(REQUEST * 100)
            await writer.drain()
            await asyncio.sleep(0)
    if discarding is not None:
        discarding.cancel()
    writer.transport.abort()


async def order_beside(rig, number):
    began = time.monotonic()
    answer = await rig.call("/order/a", attempt=f"order-{number}")
    assert answer.status == 200 and answer.complete
    return time.monotonic() - began


@pytest.mark.parametrize("reads_answers", [True, False])
async def test_readers_of_metrics_without_end_hold_up_no_caller(reads_answers):
    """Guards against metrics that are rendered in place of answering callers."""
    async with RelayRig() as rig:
        await rig.add_runner("orders", slots=ORDERS)
        server = await serve_metrics("127.0.0.1:0", Metrics())
        rig.servers.append(server)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        end_at = time.monotonic() + ORDERS * ORDER_INTERVAL_S
        async with LoopMonitor() as monitor:
            readers = [
                asyncio.create_task(ask_without_end(address, reads_answers, end_at))
                for _ in range(READERS)
            ]
            taken = []
            for number in range(ORDERS):
                taken.append(asyncio.create_task(order_beside(rig, number)))
                await asyncio.sleep(ORDER_INTERVAL_S)
            times = await asyncio.gather(*taken)
            await asyncio.gather(*readers)
        assert max(times) < MAX_ORDER_S
        assert monitor.longest_s < MAX_STEP_S
