"""Callers that send without end, beside other callers."""

import asyncio
import contextlib
import time

import pytest
from loop_monitor import LoopMonitor
from relay_rig import KEY, RelayRig, configuration, read_raw_answer

CALLERS = 10
ORDERS = 20
ORDER_INTERVAL_S = 0.05
# Half of the route's time limit; an order takes 0.02 s on its own.
MAX_ORDER_S = 1.0
MAX_STEP_S = 0.2
HEAD_TIMEOUT_MS = 3_000
# Two reads, and what was kept before them.
MAX_KEPT_BYTES = 3 * 65_536
REQUEST_LINE = "POST /order/a HTTP/1.1\r\nHost: shop.example\r\n"
CHUNKED = f"{REQUEST_LINE}Api-Key: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
FIELDS = "x:\r\n" * 1_900
# What comes first, and what repeats.
ENDLESS = {
    "blank lines": ("", "\r\n" * 65_536),
    "a head": (f"{REQUEST_LINE}X: ", "x" * 65_536),
    "fields": (REQUEST_LINE, "x:\r\n" * 16_384),
    "requests": ("", f"{REQUEST_LINE}\r\n" * 1_024),
    "requests with fields": ("", f"{REQUEST_LINE}{FIELDS}\r\n" * 8),
    "small chunks": (CHUNKED, "1\r\nx\r\n" * 10_000),
    "an extension": (CHUNKED + "1;", "x" * 65_536),
    "a trailer": (CHUNKED + "0\r\nX: ", "x" * 65_536),
    "trailer fields": (CHUNKED + "0\r\n", "x:\r\n" * 16_384),
}


async def send_without_end(rig, first, repeated, end_at):
    """Send on one connection after the other, and read no answers."""
    host, _, port = rig.address.rpartition(":")
    data = repeated.encode()
    while time.monotonic() < end_at:
        _, writer = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(OSError):
            writer.write(first.encode())
            while time.monotonic() < end_at:
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(0)
        writer.transport.abort()
        await asyncio.sleep(0.02)


async def order_beside(rig, number):
    began = time.monotonic()
    answer = await rig.call("/order/a", attempt=f"order-{number}")
    assert answer.status == 200 and answer.complete
    return time.monotonic() - began


def limits():
    value = configuration(version=2)
    value["limits"]["headerTimeoutMs"] = HEAD_TIMEOUT_MS
    value["limits"]["maxHeaderBytes"] = 16_384
    value["limits"]["maxBodyBytes"] = 4_194_304
    return value


@pytest.mark.parametrize("endless", ENDLESS)
async def test_callers_without_end_hold_up_no_other_caller(endless):
    """Guards against callers whose bytes take the entry's event loop."""
    async with RelayRig() as rig:
        rig.configure(limits())
        await rig.add_runner("orders", slots=ORDERS)
        first, repeated = ENDLESS[endless]
        end_at = time.monotonic() + ORDERS * ORDER_INTERVAL_S
        async with LoopMonitor() as monitor:
            callers = [
                asyncio.create_task(send_without_end(rig, first, repeated, end_at))
                for _ in range(CALLERS)
            ]
            taken = []
            for number in range(ORDERS):
                taken.append(asyncio.create_task(order_beside(rig, number)))
                await asyncio.sleep(ORDER_INTERVAL_S)
            times = await asyncio.gather(*taken)
            for caller in callers:
                caller.cancel()
        assert max(times) < MAX_ORDER_S
        assert monitor.longest_s < MAX_STEP_S


async def test_requests_without_end_keep_little_memory():
    """Guards against requests that are read faster than they are answered."""
    async with RelayRig() as rig:
        rig.configure(limits())
        first, repeated = ENDLESS["requests"]
        end_at = time.monotonic() + 2.0
        callers = [
            asyncio.create_task(send_without_end(rig, first, repeated, end_at))
            for _ in range(CALLERS)
        ]
        largest = 0
        while time.monotonic() < end_at:
            kept = [len(connection.pending) for connection in rig.connections]
            largest = max([largest, *kept])
            await asyncio.sleep(0.01)
        await asyncio.gather(*callers)
        assert largest <= MAX_KEPT_BYTES


@pytest.mark.parametrize("blank", ["\r\n", "\r\n\r\n", "\r\n" * 32])
async def test_blank_lines_before_a_request_are_ignored(blank):
    """Guards against requests that are refused for a line that servers ignore."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        request = f"{REQUEST_LINE}Api-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
        answer = await rig.exchange((blank + request).encode())
        assert answer.status == 200


async def test_a_blank_line_behind_a_request_is_no_request():
    """Guards against a refusal that a caller gets without having asked."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        host, _, port = rig.address.rpartition(":")
        request = f"{REQUEST_LINE}Api-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request.encode() + b"\r\n")
        assert (await read_raw_answer(reader)).status == 200
        # Longer than the time limit of a head.
        await asyncio.sleep(0.5)
        writer.write(request.encode())
        assert (await read_raw_answer(reader)).status == 200
        writer.transport.abort()


async def test_many_blank_lines_are_refused():
    """Guards against a connection that is kept open with blank lines."""
    async with RelayRig() as rig:
        answer = await rig.exchange(b"\r\n" * 40)
        assert answer.status == 400
