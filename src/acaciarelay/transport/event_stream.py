"""Split an endpoint's event stream into complete events with their numbers."""

import re

import attrs

__all__ = ["EventSplitter", "EventTooLargeError", "StreamEvent"]

# Longer numbers are no event ids of an endpoint.
_ID = re.compile(rb"^id: ?(\d{1,18})\r?$", re.MULTILINE)
_SEPARATOR = re.compile(rb"\r\n\r\n|\n\n")
# Bytes of a separator that may have been searched without the rest of it.
_MAX_PARTIAL_SEPARATOR_BYTES = 3
# Data without a separator within this size is not an event stream.
MAX_EVENT_BYTES = 262_144
# Events that one call returns, so that handling them takes a bounded time.
MAX_EVENTS_PER_CALL = 64


class EventTooLargeError(Exception):
    """An incomplete event has more than ``MAX_EVENT_BYTES``."""


@attrs.frozen
class StreamEvent:
    """The bytes of one event with its separator.

    ``number`` is the event's id if that is a decimal number, else ``None``.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Buffer bytes and return complete events."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        # Number of bytes at the start of the buffer that contain no separator.
        self.searched = 0
        # Whether the buffer may contain events that were not returned yet.
        self.has_more = False

    def feed(self, data: bytes) -> None:
        """Add bytes that the endpoint sent."""
        self.buffer += data
        self.has_more = True

    def next_events(self) -> list[StreamEvent]:
        """Return the next complete events, ``MAX_EVENTS_PER_CALL`` at most.

        Raises ``EventTooLargeError`` when the rest can't be an event.
        """
        events: list[StreamEvent] = []
        start = 0
        while len(events) < MAX_EVENTS_PER_CALL:
            separator = _SEPARATOR.search(self.buffer, max(start, self.searched))
            if separator is None:
                self.has_more = False
                break
            block = bytes(self.buffer[start : separator.end()])
            start = separator.end()
            match = _ID.search(block)
            number = int(match.group(1)) if match is not None else None
            events.append(StreamEvent(block, number))
        del self.buffer[:start]
        self.searched = 0
        if not self.has_more:
            self.searched = max(0, len(self.buffer) - _MAX_PARTIAL_SEPARATOR_BYTES)
            if not events and len(self.buffer) > MAX_EVENT_BYTES:
                raise EventTooLargeError
        return events

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer contains an incomplete event."""
        return bool(self.buffer.strip(b"\r\n"))
