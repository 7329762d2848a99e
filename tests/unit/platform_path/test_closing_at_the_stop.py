"""Closing of connections by a stopping entry: no answer on its way is reset."""

import asyncio
import socket

import attrs
import pytest
from stop_rig import (
    CHUNKED,
    COLLECTED_BYTES,
    EXIT_MARGIN_S,
    GRACE_S,
    LARGE_ANSWER,
    PIECE,
    REQUEST,
    SMALL_UPLOAD,
    UPLOAD,
    EndlessServer,
    KeepAliveServer,
    Server,
    open_channel,
    read_to_end,
    stopping,
)
from test_unexpected_errors import SETTINGS

from acaciarelay.coordination import drain_window
from acaciarelay.programs import caller_server
from acaciarelay.programs.caller_server import (
    NEXT_REQUEST_S,
    CallerServer,
)
from acaciarelay.programs.relay_entry import RelayEntry
from acaciarelay.protocol.codes import refuse


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
