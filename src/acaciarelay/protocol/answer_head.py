"""Bounds of an answer's head, checked before an HTTP parser reads it.

The parser takes time for each field, however short it is.
"""

import re

__all__ = ["HeadGate", "HeadTooLargeError"]

MAX_HEAD_BYTES = 16_384
MAX_HEAD_LINES = 256
_HEAD_END = re.compile(rb"\n\r?\n")
# Bytes of a head's end that may have been searched without the rest of it.
_MAX_PARTIAL_END_BYTES = 2


class HeadTooLargeError(Exception):
    """A head has more than ``MAX_HEAD_BYTES`` or ``MAX_HEAD_LINES``."""


class HeadGate:
    """Hold the bytes of an answer back until they contain a complete head."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        # Number of bytes at the start of the buffer that contain no end of a head.
        self.searched = 0

    def feed(self, data: bytes) -> None:
        """Add bytes that the server sent."""
        self.buffer += data

    def next_head(self) -> bytes | None:
        """Return the next head if it is complete; raises ``HeadTooLargeError``."""
        if self.buffer.startswith((b"\n", b"\r\n")):
            # A head has a line at least, as the parser will notice.
            return self.take_all()
        end = _HEAD_END.search(self.buffer, self.searched)
        size = end.end() if end is not None else len(self.buffer)
        if size > MAX_HEAD_BYTES or self.buffer.count(b"\n", 0, size) > MAX_HEAD_LINES:
            raise HeadTooLargeError
        if end is None:
            self.searched = max(0, size - _MAX_PARTIAL_END_BYTES)
            return None
        self.searched = 0
        head = bytes(self.buffer[:size])
        del self.buffer[:size]
        return head

    def take_all(self) -> bytes:
        """Remove and return all bytes that are held back."""
        data = bytes(self.buffer)
        self.buffer.clear()
        self.searched = 0
        return data
