"""Guards against invalid input that gets a wrong status or disturbs later requests."""

import asyncio

import pytest
from loop_monitor import LoopMonitor
from relay_rig import KEY, RelayRig, configuration, route

HEAD = f"POST /order/a HTTP/1.1\r\nHost: shop.example\r\nApi-Key: {KEY}\r\n"

BAD_INPUT = {
    "two lengths": HEAD + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "length and chunks": HEAD
    + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "bare line feeds": HEAD.replace("\r\n", "\n") + "\n",
    "one bare line feed": HEAD + "X: y\nContent-Length: 0\r\n\r\n",
    "folded header": HEAD + "X: y\r\n z\r\nContent-Length: 0\r\n\r\n",
    "no request": "garbage\r\n\r\n",
    "negative length": HEAD + "Content-Length: -1\r\n\r\n",
    "unknown coding": HEAD + "Transfer-Encoding: gzip\r\n\r\n",
    "bad chunk": HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
    "no host": "POST /order/a HTTP/1.1\r\n\r\n",
    "space before colon": HEAD + "X : y\r\n\r\n",
}


@pytest.mark.parametrize("data", BAD_INPUT.values(), ids=BAD_INPUT.keys())
async def test_malformed_input_gets_400(data):
    """Guards against requests smuggled past a lenient parser."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        answer = await rig.exchange(data.encode())
        assert answer.status == 400 and answer.complete
        assert rig.arrivals == 0
        assert (await rig.call("/order/a")).status == 200


async def test_large_head_gets_431():
    """Guards against unbounded memory for a head."""
    async with RelayRig() as rig:
        answer = await rig.exchange(HEAD.encode() + b"X: " + b"y" * 9000)
        assert answer.status == 431


@pytest.mark.parametrize("declared", [True, False])
async def test_large_body_gets_413(declared):
    """Guards against a body beyond the limit, declared or in chunks."""
    async with RelayRig() as rig:
        if declared:
            data = HEAD.encode() + b"Content-Length: 100001\r\n\r\n"
        else:
            data = HEAD.encode() + b"Transfer-Encoding: chunked\r\n\r\n"
            data += b"C350\r\n" + b"y" * 50_000 + b"\r\n"
            data += b"C351\r\n" + b"y" * 50_001 + b"\r\n"
        assert (await rig.exchange(data)).status == 413


@pytest.mark.parametrize(
    "data",
    [HEAD.encode(), HEAD.encode() + b"Content-Length: 10\r\n\r\nabc"],
    ids=["head", "body"],
)
async def test_slow_input_gets_408(data):
    """Guards against callers that occupy a connection with an incomplete request."""
    async with RelayRig() as rig:
        began = asyncio.get_running_loop().time()
        answer = await rig.exchange(data)
        assert answer.status == 408
        assert asyncio.get_running_loop().time() - began < 1.5


async def test_pipelined_requests_are_answered_in_order():
    """Guards against responses in the wrong order on a kept-alive connection."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        data = b""
        for number in range(3):
            data += HEAD.encode()
            data += f"Attempt-Id: n-{number}\r\nContent-Length: 2\r\n\r\nab".encode()
        host, _, port = rig.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        for number in range(3):
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"200" in head
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            body = await reader.readexactly(length)
            assert body.endswith(f"n-{number}".encode())
        writer.close()


async def test_chunked_body_reaches_the_runner_complete():
    """Guards against a body that depends on its transfer encoding."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        data = HEAD.encode() + b"Transfer-Encoding: chunked\r\n\r\n"
        data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        assert (await rig.exchange(data)).status == 200
        assert runner.runs[0].body == b"abcde"


async def test_a_body_in_single_bytes_holds_up_no_other_caller():
    """Guards against a caller that occupies the event loop with small chunks."""
    async with RelayRig() as rig:
        # Parsing takes a second of processor time, and more beside other processes.
        orders = route("/order/", "non_idempotent", timeoutMs=20_000)
        rig.configure(configuration(version=2, routes=[orders]))
        runner = await rig.add_runner("orders")
        data = HEAD.encode() + b"Attempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n"
        data += b"1\r\ny\r\n" * 90_000 + b"0\r\n\r\n"
        async with LoopMonitor() as monitor:
            answer = await rig.exchange(data)
        assert answer.status == 200
        assert runner.runs[0].body == b"y" * 90_000
        assert monitor.longest_s < 0.2


@pytest.mark.parametrize("tail", [b"", b"\r\n"], ids=["nothing", "blank line"])
async def test_a_connection_without_a_next_request_ends_at_the_idle_limit(tail):
    """Guards against a connection kept for ever by what follows a request."""
    async with RelayRig() as rig:
        limits = configuration()["limits"] | {"idleTimeoutMs": 200}
        rig.configure(configuration(2, limits=limits))
        await rig.add_runner("orders")
        host, _, port = rig.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            HEAD.encode() + b"Attempt-Id: a\r\nContent-Length: 0\r\n\r\n" + tail
        )
        try:
            async with asyncio.timeout(2.0):
                answer = await reader.read(-1)
        finally:
            writer.transport.abort()
        assert answer.startswith(b"HTTP/1.1 200 ")
