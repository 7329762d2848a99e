"""Answers without end to a process of the own interface."""

import asyncio
import contextlib

import pytest
from result import Err

from acaciarelay.transport.http_client import ClientLimits, HttpFault, fetch

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What comes first, and what repeats.
ENDLESS = {
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_048),
    "head": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x" * 65_536),
    "body": (HEAD, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
    "extension": (HEAD + b"1;", b"x" * 65_536),
    "trailer": (HEAD + b"0\r\nX-Filler: ", b"x" * 65_536),
}
LIMITS = ClientLimits(head_timeout_s=5.0, read_timeout_s=5.0)
# The time limits above are for a server that is silent, which this one never is.
MAX_FETCH_S = 10.0
MAX_SENT_BYTES = 80_000_000


@pytest.mark.parametrize("part", ENDLESS)
async def test_an_answer_without_end_is_given_up(part):
    """Guards against a call that goes on, and keeps more, while a server sends."""
    first, repeated = ENDLESS[part]
    sent_bytes = 0

    async def serve(reader, writer):
        nonlocal sent_bytes
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while True:
                writer.write(repeated)
                sent_bytes += len(repeated)
                await writer.drain()
                await asyncio.sleep(0)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        async with asyncio.timeout(MAX_FETCH_S):
            answer = await fetch(f"{host}:{port}", "GET", "/", limits=LIMITS)
        await asyncio.sleep(0.05)
    assert isinstance(answer, Err)
    assert answer.err_value.fault is HttpFault.SENT
    assert sent_bytes < MAX_SENT_BYTES
