"""Guards against connections that are reset because nobody accepted them."""

import asyncio

from acaciarelay.transport.sockets import accept_completed, listen


async def test_completed_connections_outlive_the_listening_socket():
    """Guards against a caller whose connection was open and is reset unread."""
    listener = listen("127.0.0.1", 0, 128)
    port = listener.getsockname()[1]
    callers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
    accepted = accept_completed(listener)
    listener.close()
    assert len(accepted) == 40
    for sock in accepted:
        sock.sendall(b"answer")
    for reader, writer in callers:
        assert await reader.readexactly(6) == b"answer"
        writer.close()
    for sock in accepted:
        sock.close()


async def test_without_waiting_connections_nothing_is_accepted():
    """Guards against a stop that waits for a connection."""
    listener = listen("127.0.0.1", 0, 128)
    assert accept_completed(listener) == []
    listener.close()
