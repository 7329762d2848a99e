"""Guard against a proxy whose silent connections still forward data or a close."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import orjson
import pytest_asyncio
from unit.standin_serving import serving, until

from acaciarelay.transport.http_client import fetch
from acaciarelay_standins.proxy import Faults, Proxy

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Upstream:
    """Echo server that records the received bytes and the ended connections."""

    def __init__(self) -> None:
        self.received = b""
        self.ended = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self.received += line
                writer.write(line)
        self.ended += 1
        writer.close()


@pytest_asyncio.fixture
async def upstream() -> AsyncIterator[Upstream]:
    yield Upstream()


@pytest_asyncio.fixture
async def proxy(upstream: Upstream) -> AsyncIterator[Proxy]:
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = Proxy(f"127.0.0.1:{port}")
    await proxy.listen("127.0.0.1", 0)
    yield proxy
    await proxy.close()
    server.close()


async def connect(proxy: Proxy) -> Streams:
    return await asyncio.open_connection("127.0.0.1", proxy.port)


async def echo(streams: Streams, line: bytes, limit_s: float = 5.0) -> bytes:
    streams[1].write(line)
    async with asyncio.timeout(limit_s):
        return await streams[0].readline()


async def is_silent(streams: Streams, line: bytes = b"lost\n") -> bool:
    try:
        await echo(streams, line, 0.2)
    except TimeoutError:
        return True
    return False


async def test_data_and_end_pass_and_are_counted(
    proxy: Proxy, upstream: Upstream
) -> None:
    streams = await connect(proxy)
    assert await echo(streams, b"hello\n") == b"hello\n"
    streams[1].write_eof()
    assert await streams[0].read() == b""
    await until(lambda: not proxy.connections)
    totals = proxy.totals
    assert (totals.accepted, totals.bytes_to_upstream, totals.bytes_to_client) == (
        1,
        6,
        6,
    )


async def test_silence_is_permanent_and_limited_to_present_connections(
    proxy: Proxy, upstream: Upstream
) -> None:
    old = await connect(proxy)
    assert await echo(old, b"1\n") == b"1\n"
    await proxy.set_faults(Faults(silent=True))
    new = await connect(proxy)
    assert await echo(new, b"2\n") == b"2\n"
    await proxy.set_faults(Faults())
    assert await is_silent(old)
    assert upstream.received == b"1\n2\n"


async def test_a_silent_connection_does_not_forward_a_close(
    proxy: Proxy, upstream: Upstream
) -> None:
    """Guards against a forwarded close, by which peers detect at once a lost link."""
    first, second = await connect(proxy), await connect(proxy)
    await echo(first, b"1\n")
    await echo(second, b"2\n")
    await proxy.set_faults(Faults(silent=True))
    first[1].transport.abort()
    upstream.writers[1].transport.abort()
    assert await is_silent(second)
    # Only the handler of the aborted upstream connection has ended.
    assert upstream.ended == 1


async def test_one_direction_can_be_silent(proxy: Proxy, upstream: Upstream) -> None:
    streams = await connect(proxy)
    await echo(streams, b"1\n")
    await proxy.set_faults(Faults(one_way="to_client"))
    assert await is_silent(streams, b"2\n")
    assert upstream.received == b"1\n2\n"


async def test_all_connections_can_be_silent_for_a_time(proxy: Proxy) -> None:
    await proxy.set_faults(Faults(silent=True, all_connections=True))
    assert await is_silent(await connect(proxy))
    await proxy.set_faults(Faults())
    assert await echo(await connect(proxy), b"1\n") == b"1\n"


async def test_cut_and_refuse(proxy: Proxy) -> None:
    streams = await connect(proxy)
    await echo(streams, b"1\n")
    await proxy.set_faults(Faults(cut=True, refuse=True))
    with contextlib.suppress(ConnectionResetError):
        assert await echo(streams, b"2\n") == b""
    try:
        await connect(proxy)
        raise AssertionError("the connection was not refused")
    except ConnectionRefusedError:
        pass
    await proxy.set_faults(Faults())
    assert await echo(await connect(proxy), b"3\n") == b"3\n"


async def test_delay_holds_in_each_direction(proxy: Proxy) -> None:
    streams = await connect(proxy)
    await proxy.set_faults(Faults(delay_s=0.1))
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert await echo(streams, b"1\n") == b"1\n"
    assert loop.time() - started >= 0.2


async def test_the_control_address(proxy: Proxy) -> None:
    async with serving(proxy.control) as address:
        body = orjson.dumps({"delay_s": 0.5})
        await fetch(address, "POST", "/faults", body=body)
        assert proxy.faults == Faults(delay_s=0.5)
        record = (await fetch(address, "GET", "/record")).unwrap()
    assert orjson.loads(record.body)["accepted"] == 0
