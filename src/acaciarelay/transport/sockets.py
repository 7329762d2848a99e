"""Socket options that detect a dead peer."""

import asyncio
import socket

__all__ = ["enable_dead_peer_detection"]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


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
