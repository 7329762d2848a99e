"""Socket options that end silent connections."""

import asyncio
import socket

__all__ = ["guard_socket"]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


def guard_socket(
    transport: asyncio.BaseTransport,
    unacknowledged_s: float,
    probes: int = KEEPALIVE_PROBES,
) -> None:
    """End a connection whose peer leaves data unacknowledged for that many seconds."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(unacknowledged_s * 1000))
