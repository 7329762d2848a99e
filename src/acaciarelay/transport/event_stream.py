"""Split an endpoint's event stream into complete events with their numbers.

A stream consists of events whose numbers count up by one. Between them, and in them,
there may be comments and blank lines. All else is no part of it.
"""

import re

from acaciarelay.state.stream_position import StreamEvent

__all__ = ["EventSplitter", "ForeignDataError", "StreamEvent"]

# Longer numbers are no event ids of an endpoint.
_NUMBER_LINE = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)
_NUMBER_OR_DATA_LINE = re.compile(rb"^(?:id|data)\b", re.MULTILINE)
# Lines, each a field with a lower-case name or a comment, up to a blank one.
_BLOCK = re.compile(rb"(?:(?:[a-z][a-z0-9_-]*+)?+(?::[^\n]*+)?+\r?+\n)++")
_FILLER = re.compile(rb"(?:\r?+\n|:[^\n]*+\n)*+")
_SEPARATOR = re.compile(rb"\n\r?\n")
# Bytes of a separator that may have been searched without the rest of it.
_MAX_PARTIAL_SEPARATOR_BYTES = 2
# Data without a separator within this size is not an event stream.
MAX_EVENT_BYTES = 262_144
# Bytes of comments, blank lines and fields without data that may follow an event.
MAX_FILLER_BYTES = 16_384
# Events that one call returns, so that it takes a bounded time.
MAX_EVENTS_PER_CALL = 64


class ForeignDataError(Exception):
    """The endpoint sent bytes that are no part of the stream; the message says why."""


class EventSplitter:
    """Buffer the bytes of one endpoint's answer and return complete events.

    Comments and blank lines between events are dropped.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        # Number of bytes at the start of the buffer that contain no separator.
        self.searched = 0
        # Whether the buffer may contain events that were not returned yet.
        self.has_more = False
        self.last_number: int | None = None
        # Bytes of comments and blank lines since the last event.
        self.filler_bytes = 0

    def feed(self, data: bytes) -> None:
        """Add bytes that the endpoint sent."""
        self.buffer += data
        self.has_more = True

    def next_events(self) -> list[StreamEvent]:
        """Return the next complete events, of which there may be none.

        Raises ``ForeignDataError`` if none comes before bytes that are no part of the
        stream.
        """
        events: list[StreamEvent] = []
        start = 0
        for _ in range(MAX_EVENTS_PER_CALL):
            try:
                start = self._skip_filler(start)
                separator = _SEPARATOR.search(self.buffer, max(start, self.searched))
                if separator is None:
                    self.has_more = False
                    break
                event = self._decode(bytes(self.buffer[start : separator.end()]))
            except ForeignDataError:
                if not events:
                    raise
                # The next call comes upon it again.
                break
            start = separator.end()
            if event is not None:
                events.append(event)
        del self.buffer[:start]
        self.searched = 0
        if not self.has_more:
            self.searched = max(0, len(self.buffer) - _MAX_PARTIAL_SEPARATOR_BYTES)
            if not events and len(self.buffer) > MAX_EVENT_BYTES:
                raise ForeignDataError("an event too large")
        return events

    def _skip_filler(self, start: int) -> int:
        """Return the end of the blank lines and comments at ``start``."""
        match = _FILLER.match(self.buffer, start)
        end = match.end() if match is not None else start
        self._count_filler(end - start)
        return end

    def _count_filler(self, size: int) -> None:
        self.filler_bytes += size
        if self.filler_bytes > MAX_FILLER_BYTES:
            raise ForeignDataError("no event in many bytes")

    def _decode(self, block: bytes) -> StreamEvent | None:
        """Decode lines up to a blank one; ``None`` if they are no event."""
        if _BLOCK.fullmatch(block) is None:
            raise ForeignDataError("no fields of events")
        number = self._number(block)
        if number is None:
            self._count_filler(len(block))
            return None
        last = self.last_number
        if last is not None and number != last + 1:
            raise ForeignDataError(f"event {number} after event {last}")
        self.last_number = number
        self.filler_bytes = 0
        return StreamEvent(block, number)

    def _number(self, block: bytes) -> int | None:
        match = _NUMBER_LINE.search(block)
        if match is None:
            if _NUMBER_OR_DATA_LINE.search(block) is not None:
                raise ForeignDataError("an event without a number")
            return None
        if _NUMBER_LINE.search(block, match.end()) is not None:
            raise ForeignDataError("an event with two numbers")
        return int(match.group(1))

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer contains an incomplete event."""
        return bool(self.buffer.strip(b"\r\n"))
