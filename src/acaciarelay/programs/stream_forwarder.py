"""Forward an endpoint's event stream to the caller."""

import asyncio
from collections.abc import Callable

import h11

from acaciarelay.platform.headers import answer_headers
from acaciarelay.programs.broken_answer import broken_by
from acaciarelay.programs.crash_guard import MIN_EVENTS_BEGUN, CrashGuard
from acaciarelay.protocol.http_message import Header
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Broken,
    Delivered,
    RelayedRequest,
)
from acaciarelay.state.stream_position import (
    ContradictionError,
    OutOfOrderError,
    UnprovenEndError,
)
from acaciarelay.transport.endpoint_call import ConnectionFault, EndpointConnection
from acaciarelay.transport.event_stream import (
    EventSplitter,
    ForeignDataError,
    StreamEvent,
)
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = ["StreamForwarder"]

# Each event of an answer holds a token at least, but for a few around the answer.
MAX_EVENTS_PER_TOKEN = 2
MORE_EVENTS = 64
# Framing of a piece of an answer: the line of its chunk, and the head for the first.
FRAMING_BYTES = 512


class StreamForwarder:
    """Forward the stream of one attempt from the end of its head on.

    The HTTP head, ``status`` and ``headers``, is sent once, so a resumed stream keeps
    the head that an earlier attempt sent. ``crashes`` learns which prompts endpoints
    answer. ``on_begin`` is called before the first event is passed on.
    """

    def __init__(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
        status: int,
        headers: list[Header],
        crashes: CrashGuard,
        on_begin: Callable[[RelayedRequest], None],
    ) -> None:
        self.caller_connection = caller_connection
        self.relayed = relayed
        self.endpoint_connection = endpoint_connection
        self.status = status
        self.headers = headers
        self.crashes = crashes
        self.on_begin = on_begin
        self.splitter = EventSplitter()
        # Whether an event of this attempt was passed on.
        self.has_passed_on = False
        self.loop = asyncio.get_running_loop()

    async def run(self) -> AttemptOutcome:
        """Forward complete events to the caller."""
        while True:
            match await self.endpoint_connection.next_event():
                case h11.Data(data=data):
                    self.splitter.feed(data)
                    broken = await self.forward_events()
                    if broken is not None:
                        return broken
                case h11.EndOfMessage():
                    broken = self.check_end()
                    if broken is not None:
                        return broken
                    self.relayed.answer_received = True
                    self.start_answer()
                    self.caller_connection.finish()
                    return Delivered()
                case ConnectionFault() as fault:
                    return broken_by(fault)

    async def forward_events(self) -> Broken | None:
        """Forward the events that are complete; other tasks run in between."""
        while self.splitter.has_more:
            began = self.loop.time()
            try:
                events = self.splitter.next_events()
            except ForeignDataError as error:
                return Broken(f"foreign data: {error}")
            self.count_events(len(events))
            if self.has_too_many_events:
                reason = "foreign data: more events than tokens"
                return Broken(reason, foreign=self.has_passed_on)
            size = sum(len(event.data) for event in events)
            if events and not self.caller_connection.try_reserve(size + FRAMING_BYTES):
                self.relayed.reading_paused = True
                await self.caller_connection.wait_for_room(size + FRAMING_BYTES)
                began = self.loop.time()
            try:
                unsent = self.relayed.position.advance(events)
            except OutOfOrderError:
                return Broken("events out of order")
            flush = self.write(unsent)
            self.endpoint_connection.loop_time.spend(began, self.loop.time(), size)
            if unsent and flush:
                await self.caller_connection.drain()
            if self.splitter.has_more:
                await self.endpoint_connection.give_way()
        return None

    def check_end(self) -> Broken | None:
        """Return why the end of the run is not that of the stream, if it is not."""
        if self.splitter.has_partial_event:
            return Broken("stream ended inside an event")
        try:
            self.relayed.position.check_end()
        except UnprovenEndError:
            return Broken("stream ended without an event")
        except ContradictionError:
            return Broken("stream ended before the last event", foreign=True)
        return None

    def write(self, events: list[StreamEvent]) -> bool:
        """Write events; return whether they were flushed.

        When the end of the answer is already here, the last events are written together
        with it.
        """
        if not events:
            return False
        self.endpoint_connection.record_progress()
        self.has_passed_on = True
        self.relayed.last_event_at = self.loop.time()
        if self.relayed.first_event_at is None:
            self.begin()
        self.start_answer()
        queued = self.endpoint_connection.events
        is_end = bool(queued) and isinstance(queued[0], h11.EndOfMessage)
        flush = not is_end or self.splitter.has_more or self.splitter.has_partial_event
        data = b"".join(event.data for event in events)
        self.caller_connection.write(data, flush=flush)
        return flush

    def begin(self) -> None:
        """Record the first event, and bind the stream to its endpoint's version."""
        self.relayed.first_event_at = self.relayed.last_event_at
        if self.relayed.software is None and self.relayed.endpoint is not None:
            self.relayed.software = self.relayed.endpoint.version
        self.on_begin(self.relayed)

    def start_answer(self) -> None:
        """Write the head of the answer, unless an earlier attempt did."""
        if self.relayed.head_sent:
            return
        self.relayed.head_sent = True
        headers = answer_headers(self.headers)
        self.caller_connection.start(self.status, headers, flush=False)

    def count_events(self, count: int) -> None:
        """Count events of the current attempt; a begun answer shows a benign prompt."""
        before = self.relayed.events_received
        self.relayed.events_received += count
        if before < MIN_EVENTS_BEGUN <= self.relayed.events_received:
            self.crashes.run_benign(self.relayed)

    @property
    def has_too_many_events(self) -> bool:
        """Return whether there are more events than tokens that the request allows."""
        tokens = self.relayed.traits.output_tokens
        if not tokens:
            return False
        return (
            self.relayed.events_received > MAX_EVENTS_PER_TOKEN * tokens + MORE_EVENTS
        )
