"""Closing of connections by a stopping entry: no answer on its way is reset."""

import asyncio
import contextlib
import errno
import operator
import os
import signal
import socket
import time
from collections.abc import Iterator

import attrs
import eliot
import pytest
from test_unexpected_errors import SETTINGS

from acaciarelay.coordination import drain_window
from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.programs import caller_server
from acaciarelay.programs.caller_server import (
    CLOSE_CHECK_INTERVAL_S,
    NEXT_REQUEST_S,
    CallerServer,
)
from acaciarelay.programs.relay_entry import TICK_S, RelayEntry
from acaciarelay.protocol.codes import refuse
from acaciarelay.state.routing import CallerLimits
from acaciarelay.state.run_clock import PAUSE_S
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)
from acaciarelay.transport.sockets import accept_completed

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


@pytest.fixture
def log() -> Iterator[list[dict]]:
    """Yield the list that gets all messages of the log."""
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


def logged_types(log: list[dict]) -> set[str]:
    return {message["message_type"] for message in log}


async def test_a_stopping_entry_does_not_reset_an_answer_on_its_way():
    """Guards against the early close of a connection that lingers."""
    loop = asyncio.get_running_loop()
    server = Server()
    listener = await server.start()
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, REQUEST)
    await asyncio.sleep(0.1)
    async with stopping(server):
        await asyncio.sleep(0.1)
        await loop.sock_sendall(sock, REQUEST)
        await asyncio.sleep(0.1)
        received = await read_to_end(sock)
    assert received.endswith(LARGE_ANSWER)
    listener.close()


async def test_a_stopping_entry_does_not_reset_its_refusal_of_an_unread_body():
    """Guards against a refusal that a caller which still sends can't read."""
    loop = asyncio.get_running_loop()
    server = Server()
    listener = await server.start()
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, UPLOAD + b"x" * 1000)
    await asyncio.sleep(0.05)
    async with stopping(server):
        for connection in list(server.connections):
            connection.reject(refuse("entry_stopping", "", 0.05))
        # Within the time that a closing connection lingers.
        for _ in range(6):
            await asyncio.sleep(0.1)
            await loop.sock_sendall(sock, b"x" * 1000)
        received = await read_to_end(sock)
    assert received.startswith(b"HTTP/1.1 503")
    listener.close()


async def test_a_refusal_at_the_end_of_the_grace_is_read_by_a_sending_caller(
    monkeypatch,
):
    """Guards against a reset shortly after the end of the grace time."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(drain_window, "MIN_EXIT_MARGIN_S", EXIT_MARGIN_S)
    entry = RelayEntry(attrs.evolve(SETTINGS, stop_grace_s=GRACE_S))
    listener = await loop.create_server(entry.build_inbound, "127.0.0.1", 0)
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, SMALL_UPLOAD)
    await asyncio.sleep(0.05)
    began = loop.time()
    drain = asyncio.create_task(entry.drain())
    for _ in range(18):
        await asyncio.sleep(0.05)
        await loop.sock_sendall(sock, b"x" * 100)
    received = await read_to_end(sock)
    assert received.startswith(b"HTTP/1.1 503")
    sock.close()
    await drain
    assert loop.time() - began < GRACE_S
    listener.close()


async def test_a_refusal_between_two_turns_of_parsing_still_drops_input():
    """Guards against a refused connection that isn't read until its close."""
    loop = asyncio.get_running_loop()
    server = Server()
    listener = await server.start()
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, CHUNKED + b"1\r\nx\r\n" * 5_000)
    while not server.connections:  # noqa: ASYNC110
        await asyncio.sleep(0)
    connection = next(iter(server.connections))
    while connection.parse_handle is None:  # noqa: ASYNC110
        await asyncio.sleep(0)
    connection.reject(refuse("entry_stopping", "", 0.05))
    await asyncio.sleep(0.05)
    assert connection.transport.is_reading()
    sock.close()
    listener.close()


@pytest.mark.parametrize("turns", range(5))
async def test_a_connection_accepted_beside_the_close_of_the_listener_is_served(turns):
    """Guards against a caller that is dropped between the accept and the close."""
    loop = asyncio.get_running_loop()
    server = Server()
    callers = CallerServer(server.build, server.connections)
    await callers.listen("127.0.0.1", 0)
    assert callers.listener is not None
    with socket.create_connection(callers.listener.getsockname()) as sock:
        sock.setblocking(False)
        await loop.sock_sendall(sock, REQUEST)
        # The event loop brings the connection further with each turn.
        for _ in range(turns):
            await asyncio.sleep(0)
        callers.stop_listening()
        assert (await read_to_end(sock)).endswith(LARGE_ANSWER)


async def test_an_answer_that_did_not_announce_the_close_is_read_by_a_slow_caller():
    """Guards against the close of a connection as idle while its answer is unsent."""
    loop = asyncio.get_running_loop()
    server = KeepAliveServer()
    listener = await server.start()
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, REQUEST)
    await asyncio.sleep(0.1)
    async with stopping(server):
        await asyncio.sleep(NEXT_REQUEST_S + 0.2)
        await loop.sock_sendall(sock, REQUEST)
        await asyncio.sleep(0.1)
        received = await read_to_end(sock)
    assert received.count(LARGE_ANSWER) == 2
    sock.close()
    listener.close()


async def test_a_request_at_the_end_of_the_stop_does_not_reset_the_answer_before():
    """Guards against the last close of a connection whose answer is on its way."""
    loop = asyncio.get_running_loop()
    server = KeepAliveServer()
    listener = await server.start()
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, REQUEST)
    await asyncio.sleep(0.1)
    callers = CallerServer(server.build, server.connections)
    closing = asyncio.create_task(callers.close(loop.time() + 2.0))
    await asyncio.sleep(0.1)
    await loop.sock_sendall(sock, REQUEST)
    await asyncio.sleep(0.1)
    received = await read_to_end(sock)
    assert received.endswith(LARGE_ANSWER)
    sock.close()
    await closing
    listener.close()


async def test_what_a_stopping_entry_collects_for_slow_callers_is_bounded(
    monkeypatch,
):
    """Guards against an entry that runs out of memory by endless answers."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(caller_server, "MAX_COLLECTED_BYTES", COLLECTED_BYTES)
    server = EndlessServer()
    listener = await server.start()
    socks = [await open_channel(listener) for _ in range(2)]
    for sock in socks:
        await loop.sock_sendall(sock, REQUEST)
    await asyncio.sleep(0.3)
    callers = CallerServer(server.build, server.connections)
    assert callers.unsent_bytes < COLLECTED_BYTES / 2
    for _ in range(5):
        callers.collect_answers()
        await asyncio.sleep(0.1)
    for connection in server.connections:
        most_bytes = COLLECTED_BYTES / 2 + len(PIECE)
        assert COLLECTED_BYTES / 2 <= connection.unsent_bytes < most_bytes + 100
    for sock in socks:
        sock.close()
    await callers.close(loop.time())
    listener.close()


async def test_too_many_open_files_at_the_last_accept_do_not_end_the_stop(log):
    """Guards against a process that ends before its requests are answered."""

    class ExhaustedListener:
        """Listener in a process that has no file descriptor left."""

        def accept(self):
            raise OSError(errno.EMFILE, "Too many open files")

    assert accept_completed(ExhaustedListener()) == []
    assert "accept_failed" in logged_types(log)


async def test_an_accepted_connection_that_fails_is_logged(log):
    """Guards against an error of the last accepted connections that no log shows."""
    entry = RelayEntry(SETTINGS)
    unconnected = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    await entry.callers.serve_accepted(unconnected)
    assert "eliot:traceback" in logged_types(log)
    assert unconnected.fileno() == -1


async def test_an_error_in_the_exchange_with_peers_does_not_end_the_stop(
    monkeypatch, log
):
    """Guards against requests cut by an error that doesn't concern them."""
    loop = asyncio.get_running_loop()
    entry = RelayEntry(attrs.evolve(SETTINGS, stop_grace_s=GRACE_S))
    monkeypatch.setattr(entry.peers, "tick", fail)
    listener = await loop.create_server(entry.build_inbound, "127.0.0.1", 0)
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, SMALL_UPLOAD)
    await asyncio.sleep(0.05)
    drain = asyncio.create_task(entry.drain())
    received = await read_to_end(sock)
    assert received.startswith(b"HTTP/1.1 503")
    sock.close()
    await drain
    assert "eliot:traceback" in logged_types(log)
    listener.close()


STOP_STEPS = (
    ("callers", "announce_close"),
    ("callers", "stop_listening"),
    ("callers", "close_idle"),
    ("callers", "refuse_unread"),
    ("callers", "refuse_unanswered"),
    ("relay.drain", "begin"),
    ("relay.drain", "end_unanswered"),
)


@pytest.mark.parametrize(("owner", "step"), STOP_STEPS)
async def test_an_error_in_a_step_does_not_end_the_stop_early(
    monkeypatch, log, owner, step
):
    """Guards against an error that ends the process with all its requests."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(drain_window, "UNREADY_GRACE_S", 0.1)
    entry = RelayEntry(attrs.evolve(SETTINGS, stop_grace_s=GRACE_S))
    monkeypatch.setattr(operator.attrgetter(owner)(entry), step, fail)
    listener = await loop.create_server(entry.build_inbound, "127.0.0.1", 0)
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, SMALL_UPLOAD)
    await asyncio.sleep(0.05)
    began = loop.time()
    await entry.drain()
    # The end of the grace time of requests without an answer, and of the process.
    assert GRACE_S - drain_window.MIN_EXIT_MARGIN_S < loop.time() - began < GRACE_S
    assert "eliot:traceback" in logged_types(log)
    sock.close()
    listener.close()


async def test_an_error_at_one_connection_does_not_keep_others_from_a_refusal(log):
    """Guards against an unread request without a refusal beside one that fails."""
    loop = asyncio.get_running_loop()
    server = Server()
    listener = await server.start()
    socks = [await open_channel(listener) for _ in range(2)]
    for sock in socks:
        await loop.sock_sendall(sock, SMALL_UPLOAD)
    await asyncio.sleep(0.05)
    next(iter(server.connections)).on_refusal = fail
    callers = CallerServer(server.build, server.connections)
    callers.refuse_unread(refuse("entry_stopping", "", 0.05))
    await callers.close(loop.time() + 0.2)
    answers = [await read_to_end(sock) for sock in socks]
    assert sorted(answer[:12] for answer in answers) == [b"", b"HTTP/1.1 503"]
    assert "eliot:traceback" in logged_types(log)
    for sock in socks:
        sock.close()
    listener.close()


RUN_STEPS = (
    ("run_clock", "check"),
    ("peers", "tick"),
    ("cache", "expire_endpoints"),
    ("cache", "release_holds"),
    ("metrics", "set"),
)


@pytest.mark.parametrize(("owner", "step"), RUN_STEPS)
async def test_an_error_in_a_step_of_a_running_entry_does_not_end_it(
    monkeypatch, log, owner, step
):
    """Guards against a process that ends without a stop, with all its requests."""
    entry = RelayEntry(attrs.evolve(SETTINGS, stop_grace_s=GRACE_S))
    monkeypatch.setattr(entry, "listen", listen_nowhere)
    monkeypatch.setattr(getattr(entry, owner), step, fail)
    running = asyncio.create_task(entry.run())
    await asyncio.sleep(3 * TICK_S)
    assert not running.done()
    entry.stopping.set()
    assert await running == 0
    assert "eliot:traceback" in logged_types(log)


async def test_a_signal_that_the_loop_handles_late_does_not_delay_the_stop(
    monkeypatch,
):
    """Guards against a grace time that is counted from when the loop was free."""
    loop = asyncio.get_running_loop()
    entry = RelayEntry(attrs.evolve(SETTINGS, stop_grace_s=GRACE_S))
    monkeypatch.setattr(entry, "listen", listen_nowhere)
    running = asyncio.create_task(entry.run())
    listener = await loop.create_server(entry.build_inbound, "127.0.0.1", 0)
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, SMALL_UPLOAD)
    await asyncio.sleep(0.05)
    signalled_at = loop.time()
    os.kill(os.getpid(), signal.SIGTERM)
    hold_loop(HELD_S)
    # A second signal is no new beginning.
    os.kill(os.getpid(), signal.SIGTERM)
    received = await read_to_end(sock)
    answered_s = loop.time() - signalled_at
    assert received.startswith(b"HTTP/1.1 503")
    sock.close()
    assert await running == 0
    margin_s = drain_window.MIN_EXIT_MARGIN_S
    assert answered_s < GRACE_S - margin_s + HELD_S / 2
    assert loop.time() - signalled_at < GRACE_S
    listener.close()


async def test_a_stop_without_requests_does_not_look_like_a_pause(monkeypatch, log):
    """Guards against a stopping entry that distrusts its tables and usage levels."""
    loop = asyncio.get_running_loop()
    entry = RelayEntry(attrs.evolve(SETTINGS, stop_grace_s=GRACE_S))
    now = 0.0

    def advance(_: float) -> None:
        nonlocal now
        now += PAUSE_S / 2

    monkeypatch.setattr(entry.peers, "tick", advance)
    monkeypatch.setattr(entry.run_clock, "clock", lambda: now)
    entry.run_clock.checked_at = now
    listener = await loop.create_server(entry.build_inbound, "127.0.0.1", 0)
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, SMALL_UPLOAD)
    while not entry.connections:  # noqa: ASYNC110
        await asyncio.sleep(0)
    await entry.drain()
    sock.close()
    listener.close()
    assert now > PAUSE_S
    # What each request does first.
    entry.run_clock.check()
    assert "resumed_after_pause" not in logged_types(log)


async def test_a_pause_over_the_end_of_the_grace_does_not_cut_an_unread_request():
    """Guards against a half-read request whose caller learns nothing at the stop."""
    loop = asyncio.get_running_loop()
    entry = RelayEntry(attrs.evolve(SETTINGS, stop_grace_s=GRACE_S))
    listener = await loop.create_server(entry.build_inbound, "127.0.0.1", 0)
    sock = await open_channel(listener)
    await loop.sock_sendall(sock, SMALL_UPLOAD)
    await asyncio.sleep(0.05)
    drain = asyncio.create_task(entry.drain())
    await asyncio.sleep(0.1)
    # The event loop stands still, as it does in a paused process.
    time.sleep(GRACE_S)  # noqa: ASYNC251
    received = await read_to_end(sock)
    assert received.startswith(b"HTTP/1.1 503")
    sock.close()
    await drain
    listener.close()
