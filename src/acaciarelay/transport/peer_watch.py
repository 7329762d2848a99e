"""Close connections whose peers are gone, and keep those whose peers read slowly.

The kernel's user timeout ends a connection whose peer acknowledges nothing for some
time. It also ends one whose peer acknowledges everything, if data waits for its window
for so long. It is therefore turned off while data waits for the window, and the peer's
host is watched instead.
"""

import asyncio
import socket
import struct
import weakref
from collections.abc import Callable

import eliot

from acaciarelay.coordination.peer_liveness import PeerLiveness, SendState
from acaciarelay.transport.sockets import (
    enable_dead_peer_detection,
    queued_bytes,
    set_user_timeout,
)

__all__ = ["PeerWatch", "read_send_state"]

# Interval of the checks of the connections on which data was written.
CHECK_INTERVAL_S = 0.5
# The beginning of the kernel's ``tcp_info``: the numbers of retransmissions and of
# window probes without an answer, of segments in flight, and the time since the last
# acknowledgement in milliseconds.
_TCP_INFO = struct.Struct("=2x B B 20x I 28x I")


def read_send_state(sock: socket.socket) -> SendState | None:
    """Return what the kernel tells of written data, ``None`` if it tells nothing."""
    queued = queued_bytes(sock)
    if queued is None:
        return None
    if not queued:
        return SendState(
            queued_bytes=0, is_in_flight=False, unanswered=0, answered_ago_s=0.0
        )
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        retransmits, probes, in_flight, answered_ago_ms = _TCP_INFO.unpack(info)
    except (OSError, struct.error):
        return None
    return SendState(
        queued_bytes=queued,
        is_in_flight=in_flight > 0,
        unanswered=retransmits + probes,
        answered_ago_s=answered_ago_ms / 1000,
    )


class PeerWatch:
    """Watch the peer of one connection, and call ``on_gone`` if it is gone.

    ``limit_s`` is how long its host may leave data or probes unacknowledged.
    """

    def __init__(
        self,
        transport: asyncio.BaseTransport,
        limit_s: float,
        on_gone: Callable[[], None],
    ) -> None:
        self.sock: socket.socket | None = transport.get_extra_info("socket")
        name = transport.get_extra_info("peername")
        self.peer_host = name[0] if name else ""
        self.limit_s = limit_s
        self.on_gone = on_gone
        self.liveness = PeerLiveness(limit_s)
        self.is_timeout_off = False
        self.checks = _Checks.of_running_loop()
        enable_dead_peer_detection(transport, limit_s)

    def record_write(self) -> None:
        """Check the connection until its peer has acknowledged what is written."""
        if self.sock is not None:
            self.checks.add(self)

    def close(self) -> None:
        """End the checks of a closed connection."""
        self.checks.discard(self)

    def check(self, now: float) -> None:
        """Check the connection at event loop time ``now``."""
        if self.sock is None or self.sock.fileno() < 0:
            self.close()
            return
        state = read_send_state(self.sock)
        if state is None or not state.queued_bytes:
            self._set_timeout_off(False)
            self.close()
            return
        if state.waits_for_window:
            self._set_timeout_off(True)
        if self.is_timeout_off and self.liveness.is_gone(state, now):
            self.close()
            eliot.log_message(
                "peer_gone",
                peer=self.peer_host,
                queued_bytes=state.queued_bytes,
                unanswered=state.unanswered,
            )
            self.on_gone()

    def _set_timeout_off(self, is_off: bool) -> None:
        if self.is_timeout_off == is_off or self.sock is None:
            return
        self.is_timeout_off = is_off
        set_user_timeout(self.sock, 0.0 if is_off else self.limit_s)


class _Checks:
    """The connections of an event loop that are checked, and the timer of all."""

    by_loop: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, "_Checks"] = (
        weakref.WeakKeyDictionary()
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # The loop must not be kept by its own entry.
        self.loop_ref = weakref.ref(loop)
        self.watches: set[PeerWatch] = set()
        self.timer: asyncio.TimerHandle | None = None

    @classmethod
    def of_running_loop(cls) -> "_Checks":
        loop = asyncio.get_running_loop()
        checks = cls.by_loop.get(loop)
        if checks is None:
            checks = cls.by_loop[loop] = cls(loop)
        return checks

    def add(self, watch: PeerWatch) -> None:
        self.watches.add(watch)
        self._schedule()

    def discard(self, watch: PeerWatch) -> None:
        self.watches.discard(watch)

    def _schedule(self) -> None:
        loop = self.loop_ref()
        if self.timer is None and self.watches and loop is not None:
            self.timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.timer = None
        loop = self.loop_ref()
        if loop is None:
            return
        now = loop.time()
        for watch in list(self.watches):
            try:
                watch.check(now)
            except Exception:
                # An unexpected error at one connection must not end the checks of all.
                eliot.write_traceback()
        self._schedule()
