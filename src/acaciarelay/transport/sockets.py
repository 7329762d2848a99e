"""Listening sockets, and socket options that detect a dead peer."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

import eliot

__all__ = [
    "accept_completed",
    "enable_dead_peer_detection",
    "end_transmission",
    "listen",
    "reset_at_close",
    "unacknowledged_bytes",
]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Linger for 0 s: the kernel drops unsent data and sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport,
    user_timeout_s: float,
    probes: int = KEEPALIVE_PROBES,
) -> None:
    """Abort a connection whose peer no longer acknowledges data or probes.

    ``user_timeout_s`` limits the time for which sent data may stay unacknowledged.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000))


def reset_at_close(transport: asyncio.BaseTransport) -> None:
    """Let the close of a connection reach the peer as a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)


def end_transmission(transport: asyncio.BaseTransport) -> None:
    """Tell the peer at once that a connection ends."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    # The peer may have ended it before.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that the peer's host hasn't acknowledged.

    They are lost if the connection is closed with unread input.
    """
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return unsent
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        # Not every kernel tells it.
        return unsent
    return unsent + struct.unpack("i", queued)[0]


def listen(host: str, port: int, backlog: int) -> socket.socket:
    """Return a non-blocking listening socket; raises ``OSError``."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def accept_completed(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections that the kernel has completed.

    Closing a listening socket resets those that were not accepted. An error, such as
    too many open files, is logged and ends the accepting.
    """
    accepted: list[socket.socket] = []
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return accepted
        except OSError as error:
            eliot.log_message("accept_failed", detail=str(error), always=True)
            return accepted
        sock.setblocking(False)
        accepted.append(sock)
