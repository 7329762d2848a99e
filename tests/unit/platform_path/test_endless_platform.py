"""Answers without end of the store, and of an engine to the agent beside it."""

import asyncio
import base64
import contextlib
import itertools
import time

import attrs
import orjson
import pytest
from result import Err

from acaciarelay.platform.store import StoreClient, StoreError
from acaciarelay.programs.engine_reports import EngineReports

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
# Of what is sent, this much may be in the buffers of the kernel and of the sender.
BUFFERED_BYTES = 12_000_000
# An entry of the smallest VM has 232 MB, and two feeds of the store.
MAX_STORE_BYTES = 10_000_000
MAX_REPORT_BYTES = 100_000
CALL_TIMEOUT_S = 4.0
MAX_TABLE_READ_S = 10.0
MAX_TABLE_BYTES = 36_000_000


@attrs.define
class EndlessServer:
    """Answer each request with a body that ends when the caller closes."""

    sent_bytes: int = 0
    address: str = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            while True:
                writer.write(CHUNK)
                self.sent_bytes += len(CHUNK)
                await writer.drain()
                await asyncio.sleep(0)
        writer.transport.abort()


@contextlib.asynccontextmanager
async def endless_server():
    endless = EndlessServer()
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    endless.address = f"{host}:{port}"
    async with server:
        yield endless
        await asyncio.sleep(0.05)


async def test_a_page_of_the_store_without_end_is_given_up():
    """Guards against an entry that keeps what the store sends until its time limit."""
    async with endless_server() as endless:
        client = StoreClient(endless.address)
        began = time.monotonic()
        answer = await client.read_table("servers", CALL_TIMEOUT_S)
        assert answer == Err(StoreError("the store's answer is too large"))
        assert time.monotonic() - began < CALL_TIMEOUT_S
    assert endless.sent_bytes < MAX_STORE_BYTES + BUFFERED_BYTES


def same_pages():
    return itertools.repeat(page([f"key-{number}" for number in range(500)]))


def ascending_pages():
    for first in itertools.count(0, 500):
        yield page([f"key-{number:012}" for number in range(first, first + 500)])


def page(keys):
    value = base64.b64encode(b"x" * 1_000).decode()
    rows = [{"key": key, "value": value, "ver": 1} for key in keys]
    return orjson.dumps({"rows": rows, "ver": 1, "hasMore": True})


@pytest.mark.parametrize("pages", [same_pages, ascending_pages])
async def test_a_table_without_end_is_given_up(pages):
    """Guards against a read that goes on, and keeps more, with each sound page."""
    sent_bytes = 0

    async def serve(reader, writer):
        nonlocal sent_bytes
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for body in pages():
                await reader.readuntil(b"\r\n\r\n")
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                sent_bytes += len(body)
                await writer.drain()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = StoreClient(f"{host}:{port}")
    async with server:
        async with asyncio.timeout(MAX_TABLE_READ_S):
            answer = await client.read_table("servers", CALL_TIMEOUT_S)
        client.close()
        await asyncio.sleep(0.05)
    assert isinstance(answer, Err)
    assert sent_bytes < MAX_TABLE_BYTES


async def test_a_report_without_end_is_given_up():
    """Guards against an agent that keeps what its engine sends for half a second."""
    async with endless_server() as endless:
        assert await EngineReports(endless.address).read() is None
    assert endless.sent_bytes < MAX_REPORT_BYTES + BUFFERED_BYTES
