"""Errors, pauses and late signals in the stop of an entry: they cut no request."""

import asyncio
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
from stop_rig import (
    GRACE_S,
    HELD_S,
    SMALL_UPLOAD,
    Server,
    fail,
    hold_loop,
    listen_nowhere,
    open_channel,
    read_to_end,
)
from test_unexpected_errors import SETTINGS

from acaciarelay.coordination import drain_window
from acaciarelay.programs.caller_server import (
    CallerServer,
)
from acaciarelay.programs.relay_entry import TICK_S, RelayEntry
from acaciarelay.protocol.codes import refuse
from acaciarelay.state.run_clock import PAUSE_S
from acaciarelay.transport.sockets import accept_completed


@pytest.fixture
def log() -> Iterator[list[dict]]:
    """Yield the list that gets all messages of the log."""
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


def logged_types(log: list[dict]) -> set[str]:
    return {message["message_type"] for message in log}


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
