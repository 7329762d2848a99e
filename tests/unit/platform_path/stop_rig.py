"""Servers, callers and logs of the tests of a stopping entry."""

import asyncio
import contextlib
import socket
import time

from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.programs.caller_server import (
    CLOSE_CHECK_INTERVAL_S,
    CallerServer,
)
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
UPLOAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n"
SMALL_UPLOAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * 60_000
COLLECTED_BYTES = 4_000_000
LARGE_ANSWER = b"x" * 3_000_000
SMALL_BUFFER_BYTES = 16_384
GRACE_S = 1.5
HELD_S = 0.6
# The grace time ends this long before the process has to be gone.
EXIT_MARGIN_S = 1.2


class Server:
    """A server whose connections close after their first answer."""

    def __init__(self) -> None:
        self.connections: set[InboundConnection] = set()

    async def start(self) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(self.build, "127.0.0.1", 0)

    def build(self) -> InboundConnection:
        memory = MemoryBudget(10_000_000)
        return InboundConnection(
            self.serve,
            self.refuse,
            CallerLimits,
            self.connections,
            memory,
            LoopBudget(),
        )

    async def serve(self, connection, request):
        connection.last_request = True
        connection.respond(200, [], LARGE_ANSWER)

    def refuse(self, connection, refusal):
        connection.respond(refusal.code.status, [], b"refused")

    async def stop_accepting_repeatedly(self) -> None:
        """Do what a stopping entry does from some time on."""
        callers = CallerServer(self.build, self.connections)
        while True:
            callers.stop_listening()
            callers.close_idle()
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)


class KeepAliveServer(Server):
    """A server whose answers leave their connections open."""

    async def serve(self, connection, request):
        connection.respond(200, [], LARGE_ANSWER)


class EndlessServer(Server):
    """A server whose answers don't end, as fast as callers read them."""

    async def serve(self, connection, request):
        connection.start(200, [])
        with contextlib.suppress(CallerDisconnectedError):
            while True:
                connection.write(PIECE)
                await connection.drain()
                await asyncio.sleep(0)


async def open_channel(server: asyncio.Server) -> socket.socket:
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


def hold_loop(seconds: float) -> None:
    """Compute for some time, as a long step of the event loop does."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        pass


def fail(*_: object) -> None:
    raise RuntimeError("unexpected")


async def listen_nowhere() -> None:
    """Open no ports, in place of ``RelayEntry.listen``."""


@contextlib.asynccontextmanager
async def stopping(server: Server):
    task = asyncio.create_task(server.stop_accepting_repeatedly())
    try:
        yield
    finally:
        task.cancel()
