"""Split an endpoint's event stream into complete events with their numbers."""

import re

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
# Data without a separator within this size is not an event stream; ``EventSplitter``
# does not check this.
MAX_EVENT_BYTES = 1_048_576


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

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self.buffer += data
        events: list[StreamEvent] = []
        while True:
            end = self.buffer.find(b"\n\n")
            width = 2
            crlf = self.buffer.find(b"\r\n\r\n")
            if crlf >= 0 and (end < 0 or crlf < end):
                end, width = crlf, 4
            if end < 0:
                return events
            block = bytes(self.buffer[: end + width])
            del self.buffer[: end + width]
            match = _ID.search(block)
            number = int(match.group(1)) if match is not None else None
            events.append(StreamEvent(block, number))

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer contains an incomplete event."""
        return bool(self.buffer.strip(b"\r\n"))
