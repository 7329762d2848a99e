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
    "limit_unread_bytes",
    "listen",
    "queued_bytes",
    "reset_at_close",
    "set_user_timeout",
    "unacknowledged_bytes",
]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# Receive buffer of a connection whose peer may send much while nothing is read from it.
# The kernel doubles it; the default grows to megabytes.
UNREAD_BYTES = 65_536
# Linger for 0 s: the kernel drops unsent data and sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport, limit_s: float
) -> None:
    """Abort a connection whose peer acknowledges no data or probes for ``limit_s``."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    probes = max(1, round((limit_s - KEEPALIVE_IDLE_S) / KEEPALIVE_INTERVAL_S))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, probes)
    set_user_timeout(sock, limit_s)


def set_user_timeout(sock: socket.socket, limit_s: float) -> None:
    """Limit how long sent data may stay unacknowledged; 0 stands for no limit."""
    timeout_ms = int(limit_s * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def limit_unread_bytes(transport: asyncio.BaseTransport) -> None:
    """Bound what the kernel keeps of data that was received and not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)


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
    return unsent + (queued_bytes(sock) or 0)


def queued_bytes(sock: socket.socket) -> int | None:
    """Return the bytes in the kernel that the peer's host hasn't acknowledged.

    Not every kernel tells it; ``None`` stands for one that doesn't.
    """
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return None
    return int(struct.unpack("i", queued)[0])


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
