"""Answers to slow callers over sockets: what is buffered, delivered and cut."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from stop_rig import LARGE_ANSWER, open_channel, read_to_end

from acaciarelay.coordination import answer_buffers
from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.programs.caller_server import CallerServer
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.slow_callers import SlowCallers, answer_memory_bytes
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport import buffered_output
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
OLD_REQUEST = b"GET / HTTP/1.0\r\nHost: x\r\n\r\n"
PIECE = b"x" * 60_000
# With this memory the budget of answers is 11.2 MB.
MEMORY_MB = 80.0
STREAM_PIECES = 100
# More than the kernel holds for a caller that does not read.
BODY = LARGE_ANSWER * 2


class SlowServer:
    """A server that buffers its answers; ``/endless`` streams as far as there is room.

    Another target gets ``STREAM_PIECES`` pieces, and ``/body`` a complete body.
    """

    def __init__(self) -> None:
        self.connections: set[InboundConnection] = set()
        self.slow = SlowCallers(MEMORY_MB, self.connections, Metrics())
        self.ended = 0

    @property
    def buffers(self) -> answer_buffers.AnswerBuffers:
        return self.slow.outputs.buffers

    def build(self) -> InboundConnection:
        return InboundConnection(
            self.serve,
            self.refuse,
            CallerLimits,
            self.connections,
            MemoryBudget(10_000_000),
            LoopBudget(),
            self.slow.outputs,
        )

    def refuse(self, connection, refusal):
        connection.respond(refusal.code.status, [], b"refused")

    async def serve(self, connection, request):
        if request.target == "/body":
            assert connection.try_reserve(len(BODY))
            connection.respond(200, [], BODY)
            return
        connection.start(200, [], flush=False)
        count = 0
        try:
            while request.target == "/endless" or count < STREAM_PIECES:
                count += 1
                if not connection.try_reserve(len(PIECE) + 512):
                    await connection.wait_for_room(len(PIECE) + 512)
                connection.write(PIECE)
                await asyncio.sleep(0)
        except CallerDisconnectedError:
            return
        connection.finish()
        self.ended += 1


@asynccontextmanager
async def start() -> AsyncIterator[tuple[SlowServer, asyncio.Server]]:
    server = SlowServer()
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.build, "127.0.0.1", 0)
    yield server, listener
    for connection in list(server.connections):
        connection.abort()
    listener.close()
    await asyncio.sleep(0.05)
    assert server.buffers.used_bytes == 0
    assert not server.slow.outputs.outputs


async def ask(
    listener: asyncio.Server, target: str, request: bytes = REQUEST
) -> socket.socket:
    sock = await open_channel(listener)
    data = request.replace(b" / ", f" {target} ".encode())
    await asyncio.get_running_loop().sock_sendall(sock, data)
    return sock


async def is_reset(sock: socket.socket) -> bool:
    try:
        await read_to_end(sock)
    except ConnectionResetError:
        return True
    finally:
        sock.close()
    return False


async def until(condition) -> None:
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("request_line", [REQUEST, OLD_REQUEST])
async def test_an_answer_ends_before_its_caller_reads_and_is_delivered(request_line):
    """Guards against an answer that waits for its caller, or that is lost then."""
    async with start() as (server, listener):
        sock = await ask(listener, "/stream", request_line)
        await until(lambda: server.ended)
        assert server.buffers.used_bytes > 0
        await asyncio.sleep(0.1)
        if request_line == REQUEST:
            # The connection stays open, and serves the next request after the answer.
            await asyncio.get_running_loop().sock_sendall(
                sock, REQUEST.replace(b"/ ", b"/stream ").replace(b"1.1", b"1.0")
            )
        received = await read_to_end(sock)
        answers = 2 if request_line == REQUEST else 1
        assert received.count(b"x") == answers * STREAM_PIECES * len(PIECE)
        sock.close()


async def test_a_body_is_delivered_to_a_late_caller():
    """Guards against a complete body that is cut or counted wrongly."""
    async with start() as (server, listener):
        sock = await ask(listener, "/body", OLD_REQUEST)
        await asyncio.sleep(0.2)
        assert 0 < server.buffers.used_bytes < len(BODY) + 300_000
        assert (await read_to_end(sock)).endswith(BODY)
        sock.close()


async def test_callers_without_progress_are_reset_once_others_need_room(monkeypatch):
    """Guards against memory without a bound, and a cut that looks like an end."""
    monkeypatch.setattr(answer_buffers, "CUT_AFTER_S", 0.3)
    async with start() as (server, listener):
        limit = answer_memory_bytes(MEMORY_MB)
        # A whole answer without framing, and answers that take all the room.
        ended = await ask(listener, "/stream", OLD_REQUEST)
        await until(lambda: server.ended)
        socks = [await ask(listener, "/endless", OLD_REQUEST) for _ in range(3)]
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert server.buffers.used_bytes <= limit
        await until(lambda: len(server.connections) <= 1)
        for sock in socks:
            assert await is_reset(sock)
        ended.close()


async def test_a_caller_that_reads_is_not_held_up_by_silent_ones():
    """Guards against events that wait for others who read nothing."""
    loop = asyncio.get_running_loop()
    async with start() as (server, listener):
        silent = [await ask(listener, "/endless") for _ in range(4)]
        await until(lambda: len(server.buffers.paused) == 4)
        reading = await ask(listener, "/stream", OLD_REQUEST)
        began = loop.time()
        received = await read_to_end(reading)
        assert received.count(b"x") == STREAM_PIECES * len(PIECE)
        assert loop.time() - began < answer_buffers.CUT_AFTER_S
        for sock in (*silent, reading):
            sock.close()


async def test_a_slow_caller_makes_progress_while_the_kernel_takes_nothing(
    monkeypatch,
):
    """Guards against a cut of a caller with a slow link, which reads all the time."""
    monkeypatch.setattr(answer_buffers, "CUT_AFTER_S", 0.5)
    loop = asyncio.get_running_loop()
    async with start() as (server, listener):
        sock = await ask(listener, "/endless")
        await until(lambda: server.buffers.paused)
        ends_at = loop.time() + 1.5
        while loop.time() < ends_at:
            assert await loop.sock_recv(sock, 16_384)
            await asyncio.sleep(0.05)
        assert server.connections
        sock.close()


async def test_progress_shows_while_the_backlog_grows_faster(monkeypatch):
    """Guards against a cut of a caller that reads slower than its answer comes."""
    unread = 0
    monkeypatch.setattr(buffered_output, "unacknowledged_bytes", lambda _: unread)
    async with start() as (server, listener):
        sock = await ask(listener, "/")
        await until(lambda: server.connections)
        connection = next(iter(server.connections))
        output = connection.output
        output.record_progress()
        output.answer.progress_at = 0.0
        output.written += 2 * len(PIECE)
        unread = len(PIECE)
        output.record_progress()
        assert output.answer.progress_at > 0.0
        sock.close()


async def test_a_buffered_answer_is_reset_at_the_exit():
    """Guards against the end of a process that ends an unframed answer early."""
    async with start() as (server, listener):
        sock = await ask(listener, "/stream", OLD_REQUEST)
        await until(lambda: server.ended)
        callers = CallerServer(server.build, server.connections)
        await callers.close(asyncio.get_running_loop().time() + 0.2)
        assert await is_reset(sock)


async def test_a_caller_that_reads_during_the_last_close_gets_its_answer():
    """Guards against a half-close in front of a backlog."""
    async with start() as (server, listener):
        sock = await ask(listener, "/stream", OLD_REQUEST)
        await until(lambda: server.ended)
        callers = CallerServer(server.build, server.connections)
        closing = asyncio.create_task(
            callers.close(asyncio.get_running_loop().time() + 2.0)
        )
        await asyncio.sleep(0.1)
        received = await read_to_end(sock)
        assert received.count(b"x") == STREAM_PIECES * len(PIECE)
        sock.close()
        await closing


async def test_a_closed_connection_reserves_nothing():
    """Guards against room that is lost with each caller that disconnects."""
    async with start() as (server, listener):
        sock = await ask(listener, "/stream")
        await until(lambda: server.ended)
        connection = next(iter(server.connections))
        sock.close()
        connection.abort()
        await until(lambda: not server.connections)
        assert connection.try_reserve(1_000)
        assert server.buffers.used_bytes == 0
