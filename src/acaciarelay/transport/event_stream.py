"""Split an endpoint's event stream into whole events with their ids."""

import re

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
# An event that grows beyond this is no event.
MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class StreamEvent:
    """Hold the bytes of one event with its separator; the id may be missing."""

    data: bytes
    number: int | None


class EventSplitter:
    """Collect bytes and give whole events."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they complete."""
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
    def partial(self) -> bool:
        """Return whether an event was begun and not finished."""
        return bool(self.buffer.strip(b"\r\n"))
