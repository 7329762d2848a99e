"""Peers that are gone, that read nothing and that read slowly, over real sockets."""

import asyncio
import contextlib
import ctypes
import socket
import struct
import time

import pytest

from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.protocol.link_messages import Heartbeat, Hello, encode_message
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport import (
    endpoint_call,
    inbound_server,
    message_link,
    peer_watch,
)
from acaciarelay.transport.buffered_output import AnswerOutputs
from acaciarelay.transport.endpoint_call import connect
from acaciarelay.transport.inbound_server import InboundConnection
from acaciarelay.transport.message_link import LinkHandlers, LinkTicker, MessageLink
from acaciarelay.transport.sockets import unacknowledged_bytes

KINDS = ("caller", "endpoint", "link")
# What the three constants of the product are in these tests, so that they are short.
PEER_TIMEOUT_S = 1.0
# Longer than the kernel's user timeout takes to end a connection.
WATCHED_S = 5.0
# Time from the loss of a peer to the end of its connection: the next probe or
# retransmission, the timeout, and the intervals of the checks.
GONE_S = 9.0
BUFFER_BYTES = 2304
DATA_BYTES = 400_000
# More than the kernel takes.
UNSENT_BYTES = 16_000_000
# A slow reader reads so much each time.
READ_BYTES = 2000
READ_INTERVAL_S = 0.16
SO_ATTACH_FILTER = 26
LINK_HEARTBEAT_S = 0.5
HANDLER_LIMIT_S = 8.0


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    for module in (inbound_server, endpoint_call, message_link):
        monkeypatch.setattr(module, "PEER_TIMEOUT_S", PEER_TIMEOUT_S)


class Peer:
    """The other end of a connection, as a plain socket with a small buffer."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.listener.setblocking(False)
        self.sock: socket.socket | None = None

    @property
    def address(self) -> str:
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        self.sock, _ = await loop.sock_accept(self.listener)

    async def read_slowly(self, seconds: float) -> int:
        """Read steadily for some time; return the number of bytes."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        size = 0
        while loop.time() < end:
            data = await loop.sock_recv(self.sock, READ_BYTES)
            assert data, "the connection has ended"
            size += len(data)
            await asyncio.sleep(READ_INTERVAL_S)
        return size

    def vanish(self) -> None:
        """Drop all that arrives from now on, so that nothing is acknowledged."""
        drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
        program = struct.pack("HL", 1, ctypes.addressof(drop_all))
        self.sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)

    def close(self) -> None:
        self.listener.close()
        if self.sock is not None:
            self.sock.close()


class Connection:
    """A connection of the product with much unread data, to a ``Peer``."""

    def __init__(self, kind: str, buffers_answers: bool = False) -> None:
        self.kind = kind
        self.buffers_answers = buffers_answers
        self.limits = CallerLimits()
        self.size = DATA_BYTES
        self.peer = Peer()
        self.protocol = None
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Connection":
        match self.kind:
            case "caller":
                await self.open_caller()
            case "endpoint":
                await self.open_endpoint()
            case "link":
                await self.open_link()
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        self.protocol.transport.abort()
        self.peer.close()
        if self.server is not None:
            self.server.close()
        await asyncio.sleep(0.05)

    async def open_caller(self) -> None:
        loop = asyncio.get_running_loop()
        opened = loop.create_future()
        registry: set[InboundConnection] = set()
        answers = None
        if self.buffers_answers:
            answers = AnswerOutputs(2 * self.size, lambda output: None)

        async def handle(connection, request) -> None:
            connection.respond(200, [], b"x" * self.size)
            opened.set_result(connection)
            # A handler ends at the time limit of its request.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HANDLER_LIMIT_S):
                    await connection.drain()

        def build() -> InboundConnection:
            return InboundConnection(
                handle,
                lambda connection, refusal: None,
                lambda: self.limits,
                registry,
                MemoryBudget(1_000_000),
                LoopBudget(),
                answers,
            )

        self.server = await loop.create_server(build, "127.0.0.1", 0)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, self.server.sockets[0].getsockname())
        self.peer.sock = sock
        await loop.sock_sendall(sock, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.protocol = await opened

    async def open_endpoint(self) -> None:
        opening = asyncio.create_task(connect(self.peer.address, 1.0))
        await self.peer.accept()
        self.protocol = (await opening).unwrap()
        body = b"x" * DATA_BYTES
        headers = [("Host", "a"), ("content-length", str(len(body)))]
        self.protocol.send("POST", "/", headers, body)

    async def open_link(self) -> None:
        loop = asyncio.get_running_loop()
        hello = Hello(name="a", lifetime="1", address="a:1", zone="z")
        nothing = LinkHandlers(
            on_open=lambda link: None,
            on_message=lambda link, message: None,
            on_close=lambda link: None,
        )
        ticker = LinkTicker()
        host, _, port = self.peer.address.rpartition(":")
        opening = loop.create_connection(
            lambda: MessageLink(hello, nothing, ticker), host, int(port)
        )
        opening_task = asyncio.create_task(opening)
        await self.peer.accept()
        _, self.protocol = await opening_task
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))
        for _ in range(DATA_BYTES // 1000):
            self.protocol.send_line(b"x" * 999 + b"\n")

    async def send_heartbeats(self) -> None:
        """Send what the link expects of a live peer, whatever the peer reads."""
        loop = asyncio.get_running_loop()
        while True:
            line = encode_message(Heartbeat(silence_s=60.0))
            await loop.sock_sendall(self.peer.sock, line)
            await asyncio.sleep(LINK_HEARTBEAT_S)

    @property
    def is_open(self) -> bool:
        return not self.protocol.transport.is_closing()

    @property
    def unread(self) -> int:
        return unacknowledged_bytes(self.protocol.transport)

    async def until_closed(self, limit_s: float) -> float:
        """Return how long it took until the connection ended."""
        began = time.monotonic()
        while self.is_open:
            assert time.monotonic() - began < limit_s, "not ended in time"
            await asyncio.sleep(0.05)
        return time.monotonic() - began


@pytest.mark.parametrize("kind", KINDS)
async def test_a_peer_that_reads_slowly_and_steadily_is_not_ended(kind):
    """Guards against the kernel's user timeout, which ends peers that read on."""
    async with Connection(kind) as connection:
        size = await connection.peer.read_slowly(WATCHED_S)
        assert connection.is_open
        assert 0 < size < DATA_BYTES and connection.unread


@pytest.mark.parametrize("kind", KINDS)
async def test_a_peer_that_is_reachable_and_reads_nothing_is_not_taken_for_gone(kind):
    """Guards against the loss of a sound peer that pauses; its time limit ends it."""
    async with Connection(kind) as connection:
        await asyncio.sleep(WATCHED_S)
        assert connection.is_open
        assert await connection.peer.read_slowly(1.0) > 0
        assert connection.is_open


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("reads_s", [0.0, 2.0], ids=["never read", "read slowly"])
async def test_a_peer_that_vanishes_with_data_unread_is_ended_in_seconds(
    kind, reads_s, monkeypatch
):
    """Guards against gone peers behind a closed window, which no timeout ends."""
    logged = []
    monkeypatch.setattr(
        peer_watch.eliot, "log_message", lambda name, **fields: logged.append(name)
    )
    async with Connection(kind) as connection:
        if reads_s:
            await connection.peer.read_slowly(reads_s)
        else:
            await asyncio.sleep(1.0)
        for task in connection.tasks:
            task.cancel()
        connection.peer.vanish()
        await connection.until_closed(GONE_S)
    assert logged == ["peer_gone"]


async def test_a_peer_that_vanishes_while_data_is_in_flight_is_ended_in_seconds():
    """Guards against gone peers that the watch of the window hides."""
    async with Connection("endpoint") as connection:
        while connection.unread:
            await asyncio.get_running_loop().sock_recv(connection.peer.sock, 65_536)
        connection.peer.vanish()
        connection.protocol.transport.write(b"x" * 100)
        connection.protocol.peer_watch.record_write()
        await connection.until_closed(GONE_S)


@pytest.mark.parametrize("buffers_answers", [False, True])
async def test_a_caller_that_reads_nothing_is_ended_at_its_time_limit(
    monkeypatch, buffers_answers
):
    """Guards against answers that are held for ever for callers that don't read."""
    monkeypatch.setattr(inbound_server, "READ_LIMIT_S", 3.0)
    monkeypatch.setattr(__name__ + ".HANDLER_LIMIT_S", 1.0)
    connection = Connection("caller", buffers_answers)
    connection.limits = CallerLimits(idle_timeout_s=0.5)
    connection.size = UNSENT_BYTES
    async with connection:
        assert 2.5 < await connection.until_closed(6.0)
