"""Connections of callers: listening, accepting and closing."""

import asyncio
import socket
from collections.abc import Callable

import eliot

from acaciarelay.programs.logs import log_errors
from acaciarelay.protocol.codes import Refusal
from acaciarelay.transport.connection_phase import Phase
from acaciarelay.transport.inbound_server import InboundConnection
from acaciarelay.transport.sockets import accept_completed, listen

__all__ = ["CLOSE_CHECK_INTERVAL_S", "CallerServer"]

LISTEN_BACKLOG = 1024
# Time that a connection has for its first request, or for the next one after an answer
# that did not announce its close, while the entry stops.
NEXT_REQUEST_S = 0.5
CLOSE_CHECK_INTERVAL_S = 0.05
# Bytes of answers that a stopping entry collects for all slow callers together.
MAX_COLLECTED_BYTES = 32_000_000


class CallerServer:
    """Accept callers' connections, and close them when the entry stops.

    ``build`` makes the protocol of a connection, which adds itself to ``connections``.
    """

    def __init__(
        self,
        build: Callable[[], InboundConnection],
        connections: set[InboundConnection],
    ) -> None:
        self.build = build
        self.connections = connections
        self.loop = asyncio.get_running_loop()
        # Both are present while new connections are accepted.
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.last_accepts: list[asyncio.Task] = []
        # A connection's part of ``MAX_COLLECTED_BYTES``, once answers are collected.
        self.collected_share_bytes: int | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address; raises ``OSError``."""
        self.listener = listen(host, port, LISTEN_BACKLOG)
        self.server = await self.loop.create_server(
            self.build, sock=self.listener, backlog=LISTEN_BACKLOG
        )

    def stop_listening(self) -> None:
        """Accept what the kernel has completed, then listen no more."""
        if self.listener is None:
            return
        # The server must be open when a connection that it has accepted is attached
        # to it, which is in the next turn of the event loop.
        self.loop.remove_reader(self.listener)
        self.loop.call_soon(self.close_listener)

    def close_listener(self) -> None:
        if self.listener is None or self.server is None:
            return
        for sock in accept_completed(self.listener):
            accept = self.loop.create_task(self.serve_accepted(sock))
            self.last_accepts.append(accept)
        # The connections appear in ``connections`` before ``is_done`` is asked again.
        self.listener = None
        self.server.close()
        self.server = None

    async def serve_accepted(self, sock: socket.socket) -> None:
        """Serve an accepted connection; if that fails, log the error and close it."""
        try:
            await self.loop.connect_accepted_socket(self.build, sock)
        except Exception:
            eliot.write_traceback()
            sock.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for some time.

        The next request of another one may be on its way.
        """
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.phase is not Phase.IDLE:
                continue
            if connection.unacknowledged_bytes:
                # The caller still reads its answer.
                connection.idle_since = now
                continue
            if now - connection.idle_since < NEXT_REQUEST_S:
                continue
            with log_errors():
                connection.close()

    def announce_close(self) -> None:
        """Let each connection end with the answer to its current request."""
        for connection in self.connections:
            connection.last_request = True

    def refuse_unread(self, refusal: Refusal) -> None:
        """Refuse the requests that were not read completely."""
        for connection in list(self.connections):
            if not connection.phase.reading:
                continue
            with log_errors():
                connection.reject(refusal)

    def refuse_unanswered(self, refusal: Refusal) -> None:
        """Refuse the requests that have no response so far."""
        for connection in list(self.connections):
            if not connection.unanswered:
                continue
            with log_errors():
                connection.reject(refusal)

    def collect_answers(self) -> None:
        """Let answers end at their endpoints, however slowly callers read them."""
        if self.collected_share_bytes is None:
            self.collected_share_bytes = MAX_COLLECTED_BYTES // max(1, self.busy_count)
        for connection in self.connections:
            connection.collect(self.collected_share_bytes)

    async def close(self, end_at: float) -> None:
        """Close all connections; until ``end_at``, answers on their way may be read.

        ``end_at`` is an event loop time in seconds.
        """
        while self.connections and self.loop.time() < end_at:
            for connection in list(self.connections):
                if connection.phase is Phase.CLOSING:
                    continue
                with log_errors():
                    connection.close()
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        for connection in list(self.connections):
            with log_errors():
                connection.close_at_exit()
        await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)

    @property
    def is_done(self) -> bool:
        """Return whether no caller can send anything more."""
        return self.listener is None and not self.connections

    @property
    def busy_count(self) -> int:
        return sum(1 for connection in self.connections if connection.phase.busy)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel hasn't accepted yet."""
        return sum(connection.unsent_bytes for connection in self.connections)
