"""Closing of callers' connections: answers arrive whole, and nothing lingers."""

import asyncio
import socket

import pytest

from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport.inbound_server import InboundConnection

LARGE_ANSWER = b"x" * 3_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
SMALL_BUFFER_BYTES = 16_384
# Longer than a closed connection lingers for a caller that reads.
SLOW_READ_S = 1.5


class LastAnswer:
    """A server whose connections close after their first answer."""

    def __init__(self) -> None:
        self.connections: set[InboundConnection] = set()
        self.handled = 0

    def build(self) -> InboundConnection:
        memory = MemoryBudget(1_000_000)
        return InboundConnection(
            self.serve,
            self.refuse,
            CallerLimits,
            self.connections,
            memory,
            LoopBudget(),
        )

    async def serve(self, connection, request):
        self.handled += 1
        connection.last_request = True
        connection.respond(200, [], LARGE_ANSWER)

    def refuse(self, connection, refusal):
        raise AssertionError(refusal)


async def open_slow_channel(server: asyncio.Server):
    """Connect with a small receive buffer, which the answer doesn't fit in."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, server.sockets[0].getsockname())
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with asyncio.timeout(10):
        while data := await loop.sock_recv(sock, 65_536):
            received += data
    return bytes(received)


@pytest.mark.parametrize("second", [REQUEST, REQUEST * 4_000])
@pytest.mark.parametrize("pause_s", [0.1, SLOW_READ_S])
async def test_a_request_after_the_last_answer_does_not_cut_it(second, pause_s):
    """Guards against a reset that destroys an answer on its way to the caller."""
    loop = asyncio.get_running_loop()
    last_answer = LastAnswer()
    server = await loop.create_server(last_answer.build, "127.0.0.1", 0)
    sock = await open_slow_channel(server)
    await loop.sock_sendall(sock, REQUEST)
    await asyncio.sleep(0.1)
    await loop.sock_sendall(sock, second)
    await asyncio.sleep(pause_s)
    received = await read_to_end(sock)
    assert received.endswith(LARGE_ANSWER)
    assert b"\r\nConnection: close\r\n" in received[:200]
    assert last_answer.handled == 1
    sock.close()
    await asyncio.sleep(0.05)
    assert not last_answer.connections
    server.close()


class EndlessAnswer(LastAnswer):
    """A server whose answers are begun and never finished."""

    async def serve(self, connection, request):
        connection.start(200, [])
        connection.write(b"piece")
        await asyncio.Event().wait()


@pytest.mark.parametrize("end", ["abort", "close"])
async def test_a_cut_answer_without_a_length_does_not_look_complete(end):
    """Guards against an answer to HTTP/1.0 that ends early like a complete one."""
    loop = asyncio.get_running_loop()
    server = EndlessAnswer()
    listener = await loop.create_server(server.build, "127.0.0.1", 0)
    sock = await open_slow_channel(listener)
    await loop.sock_sendall(sock, b"GET / HTTP/1.0\r\nHost: x\r\n\r\n")
    async with asyncio.timeout(5):
        assert (await loop.sock_recv(sock, 65_536)).endswith(b"piece")
    (connection,) = server.connections
    getattr(connection, end)()
    with pytest.raises(ConnectionResetError):
        await read_to_end(sock)
    sock.close()
    listener.close()
