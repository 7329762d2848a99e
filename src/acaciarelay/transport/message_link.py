"""Message links between the system's own processes, with heartbeats.

Each side sends a heartbeat when it has sent nothing else for its heartbeat interval, so
that a busy link carries none, and closes a link without data for ``SILENCE_TIMEOUT_S``.
A dialling side may also send pings, to measure the round-trip time.
"""

import asyncio
import collections
import contextlib
from collections.abc import Callable

import attrs
import eliot

from acaciarelay.coordination.loop_budget import LoopBudget, Reader
from acaciarelay.protocol.link_messages import (
    Heartbeat,
    Hello,
    LinkMessage,
    MessageError,
    Ping,
    decode_message,
    encode_message,
)
from acaciarelay.transport.bounded_reads import BoundedReads
from acaciarelay.transport.peer_watch import PeerWatch
from acaciarelay.transport.read_gate import PauseReason, ReadGate

__all__ = [
    "SLOW_HEARTBEAT_INTERVAL_S",
    "Dialer",
    "LinkHandlers",
    "LinkServer",
    "LinkTicker",
    "MessageLink",
]

# Heartbeat interval of a side whose silence the other one has to notice soon, and of
# one that is only kept from being taken for lost.
HEARTBEAT_INTERVAL_S = 0.5
SLOW_HEARTBEAT_INTERVAL_S = 0.8
SILENCE_TIMEOUT_S = 1.6
# The same on a link whose sender has announced that it will seldom send. The kernel
# probes the connection meanwhile.
QUIET_HEARTBEAT_INTERVAL_S = 4.0
QUIET_SILENCE_TIMEOUT_S = 10.0
# A peer whose host acknowledges nothing for this long is gone.
PEER_TIMEOUT_S = 2 * SILENCE_TIMEOUT_S
PING_INTERVAL_S = 2.0
# Interval of the checks for due heartbeats and for silence.
TICK_S = 0.1
CONNECT_TIMEOUT_S = 1.0
REDIAL_DELAY_S = 0.25
MAX_REDIAL_DELAY_S = 2.0
# A link whose peer leaves more than this unread is closed, to bound its memory.
MAX_UNSENT_BYTES = 4_000_000
# A link that has received a longer incomplete line is closed: any, and one before the
# hello of the peer.
MAX_PARTIAL_LINE_BYTES = 4_000_000
MAX_PARTIAL_HELLO_BYTES = 65_536
# A message with more bytes than this takes its time over a slow link.
LONG_MESSAGE_BYTES = 8192
# Messages that are handled without giving way to other tasks.
MAX_MESSAGES_PER_TURN = 64


class LinkTicker:
    """Check the timers of all links of a process together.

    With a timer for each link, most wake-ups of an idle process would be for timers.
    Reading from the links takes its time from ``loop_budget``.
    """

    def __init__(self, loop_budget: LoopBudget | None = None) -> None:
        self.loop_budget = loop_budget or LoopBudget()
        self.links: set[MessageLink] = set()
        self.timer: asyncio.TimerHandle | None = None

    def add(self, link: "MessageLink") -> None:
        self.links.add(link)
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(TICK_S, self.tick)

    def discard(self, link: "MessageLink") -> None:
        self.links.discard(link)

    def tick(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        # Closing a link takes effect later, so the set does not change meanwhile.
        for link in self.links:
            try:
                link.check_timers(now)
            except Exception:
                # An unexpected error at one link must not end the timers of all.
                eliot.write_traceback()
        self.timer = loop.call_later(TICK_S, self.tick) if self.links else None


@attrs.frozen(kw_only=True)
class LinkHandlers:
    """What a process does when its links open, carry messages and close.

    ``on_open`` is called when the peer's hello has arrived, ``on_message`` for each
    later message except heartbeats and pings, and ``on_close`` at the end of a link
    that was open.
    """

    on_open: Callable[["MessageLink"], None]
    on_message: Callable[["MessageLink", LinkMessage], None]
    on_close: Callable[["MessageLink"], None]


class MessageLink(BoundedReads):
    """Carry messages in both directions over one connection."""

    def __init__(
        self,
        hello: Hello,
        handlers: LinkHandlers,
        ticker: LinkTicker,
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
        sends_pings: bool = False,
    ) -> None:
        self.hello = hello
        self.ticker = ticker
        self.heartbeat_s = heartbeat_s
        self.sends_pings = sends_pings
        self.handlers = handlers
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        # Present once the link is connected.
        self.peer_watch: PeerWatch | None = None
        # The peer's hello once it has arrived, which opens the link.
        self.peer: Hello | None = None
        self.opened_at = 0.0
        self.peer_host = ""
        # Present once the link is connected.
        self.gate: ReadGate | None = None
        self.buffer = bytearray()
        # Lines that were received and not yet handled.
        self.lines: collections.deque[bytes] = collections.deque()
        self.last_received_at = self.loop.time()
        self.last_sent_at = 0.0
        # Whether this side has announced that it will seldom send, and how long the
        # peer may be silent.
        self.quiet = False
        self.silence_timeout_s = SILENCE_TIMEOUT_S
        self.last_ping_number = 0
        self.ping_sent_at = 0.0
        self.round_trip_s = 0.0
        self.closed_future = self.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.peer_watch = PeerWatch(transport, PEER_TIMEOUT_S, self.close)
        name = transport.get_extra_info("peername")
        self.peer_host = name[0] if name else ""
        loop_time = self.ticker.loop_budget.open(Reader.LINK, self.peer_host)
        self.gate = ReadGate(transport, loop_time)
        self.last_received_at = self.loop.time()
        self.send(self.hello)
        self.ticker.add(self)

    def check_timers(self, now: float) -> None:
        """Close a silent link; else send a ping or heartbeat if one is due."""
        if now - self.last_received_at > self.silence_timeout_s:
            self.close()
            return
        if self.sends_pings and now - self.ping_sent_at >= PING_INTERVAL_S:
            self.ping()
        elif now - self.last_sent_at >= self.heartbeat_interval_s:
            self.send_heartbeat()

    @property
    def is_reading_paused(self) -> bool:
        """Return whether this side does not read what the peer may have sent."""
        return self.gate is not None and bool(self.gate.reasons)

    def ping(self) -> None:
        """Send a ping; the answer gives the round-trip time."""
        self.last_ping_number += 1
        self.ping_sent_at = self.loop.time()
        self.send(Ping(number=self.last_ping_number))

    @property
    def heartbeat_interval_s(self) -> float:
        return QUIET_HEARTBEAT_INTERVAL_S if self.quiet else self.heartbeat_s

    def send_heartbeat(self) -> None:
        self.send(Heartbeat(silence_s=QUIET_SILENCE_TIMEOUT_S if self.quiet else 0.0))

    def set_quiet(self, quiet: bool) -> None:
        """Send seldom from now on, or as usual again, and let the peer expect it."""
        if quiet != self.quiet:
            self.quiet = quiet
            self.send_heartbeat()

    def data_received(self, data: bytes) -> None:
        assert self.gate is not None
        began = self.loop.time()
        self.last_received_at = began
        self.buffer += data
        if b"\n" in data:
            *lines, rest = bytes(self.buffer).split(b"\n")
            self.buffer = bytearray(rest)
            self.lines.extend(lines)
            self.handle_lines()
        if len(self.buffer) > self.max_partial_line_bytes:
            self.close()
        self.gate.record_step(began, len(data))

    @property
    def is_receiving_long(self) -> bool:
        """Return whether a long message has come in part."""
        return len(self.buffer) > LONG_MESSAGE_BYTES

    @property
    def max_partial_line_bytes(self) -> int:
        if self.peer is None:
            return MAX_PARTIAL_HELLO_BYTES
        return MAX_PARTIAL_LINE_BYTES

    def handle_lines(self) -> None:
        """Handle received lines, some now and the others in later turns."""
        assert self.gate is not None and self.transport is not None
        for _ in range(MAX_MESSAGES_PER_TURN):
            if not self.lines or self.transport.is_closing():
                self.gate.resume(PauseReason.UNPARSED)
                return
            try:
                message = decode_message(self.lines.popleft())
            except MessageError:
                self.close()
                return
            self.receive(message)
        self.gate.pause(PauseReason.UNPARSED)
        pause_s = self.gate.loop_time.pause_s(self.loop.time())
        self.loop.call_later(pause_s, self.continue_handling)

    def continue_handling(self) -> None:
        assert self.gate is not None
        began = self.loop.time()
        # Nothing is read meanwhile, so that the peer is not known to be silent.
        self.last_received_at = began
        self.handle_lines()
        self.gate.record_step(began, 0)

    def receive(self, message: LinkMessage) -> None:
        match message:
            case Hello() if self.peer is not None:
                # A link belongs to one peer.
                self.close()
            case Hello():
                self.peer = message
                self.opened_at = self.loop.time()
                self.handlers.on_open(self)
            case Ping(answer=True, number=number):
                if number == self.last_ping_number:
                    self.round_trip_s = self.loop.time() - self.ping_sent_at
            case Ping(number=number):
                self.send(Ping(number=number, answer=True))
            case Heartbeat(silence_s=silence_s):
                self.silence_timeout_s = silence_s or SILENCE_TIMEOUT_S
            case _:
                if self.peer is not None:
                    self.handlers.on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ticker.discard(self)
        if self.peer_watch is not None:
            self.peer_watch.close()
        if self.gate is not None:
            self.gate.close()
        if not self.closed_future.done():
            self.closed_future.set_result(None)
        if self.peer is not None:
            self.handlers.on_close(self)

    def send(self, message: LinkMessage) -> None:
        """Send a message; it is lost if the link is closed or breaks."""
        self.send_line(encode_message(message))

    def send_line(self, line: bytes) -> None:
        """Send an encoded message; it is lost if the link is closed or breaks."""
        if self.transport is None or self.transport.is_closing():
            return
        self.last_sent_at = self.loop.time()
        self.transport.write(line)
        if self.peer_watch is not None:
            self.peer_watch.record_write()
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()

    def close(self) -> None:
        """Abort the connection; messages not sent yet are lost."""
        if self.transport is not None:
            self.transport.abort()


class LinkServer:
    """Accept links on one address."""

    def __init__(
        self,
        hello: Hello,
        handlers: LinkHandlers,
        ticker: LinkTicker | None = None,
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        self.hello = hello
        self.handlers = handlers
        self.ticker = ticker or LinkTicker()
        self.heartbeat_s = heartbeat_s
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to accept links and return the port in use; raises ``OSError``."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.build, host, port)
        return self.server.sockets[0].getsockname()[1]

    def build(self) -> MessageLink:
        return MessageLink(
            self.hello,
            self.handlers,
            self.ticker,
            self.heartbeat_s,
        )

    def close(self) -> None:
        """Stop accepting links; open ones stay open."""
        if self.server is not None:
            self.server.close()


class Dialer:
    """Keep one link to an address open; dial again with back-off when it is lost."""

    def __init__(
        self,
        address: str,
        hello: Hello,
        handlers: LinkHandlers,
        ticker: LinkTicker,
        sends_pings: bool = False,
    ) -> None:
        self.address = address
        self.hello = hello
        self.handlers = handlers
        self.ticker = ticker
        self.sends_pings = sends_pings
        self.link: MessageLink | None = None
        self.failed_attempts = 0
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        while True:
            link = None
            # A malformed address, which only another process can have sent, raises the
            # other errors.
            with contextlib.suppress(OSError, TimeoutError, ValueError, OverflowError):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, link = await loop.create_connection(self.build, host, int(port))
            if link is not None:
                self.link = link
                try:
                    await link.closed_future
                finally:
                    self.link = None
                    link.close()
                self.failed_attempts = (
                    0 if link.peer is not None else self.failed_attempts + 1
                )
            else:
                self.failed_attempts += 1
            delay_s = min(
                MAX_REDIAL_DELAY_S, REDIAL_DELAY_S * 2 ** min(self.failed_attempts, 4)
            )
            await asyncio.sleep(delay_s)

    def build(self) -> MessageLink:
        return MessageLink(
            self.hello,
            self.handlers,
            self.ticker,
            SLOW_HEARTBEAT_INTERVAL_S,
            self.sends_pings,
        )

    def close(self) -> None:
        """Close the link and stop dialling."""
        self.task.cancel()
        if self.link is not None:
            self.link.close()
