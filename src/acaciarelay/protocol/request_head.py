"""Checks of a raw request head before an HTTP parser reads it.

h11 accepts line feeds without carriage returns and folded fields, which other servers
read differently, so that a request could be smuggled past one of them.
"""

import re

__all__ = ["HEAD_END", "count_blank_bytes", "find_head_problem"]

HEAD_END = b"\r\n\r\n"
_BLANK_LINES = re.compile(rb"(?:\r\n)*+")


def count_blank_bytes(data: bytes | bytearray) -> int:
    """Return the number of bytes of the blank lines at the start."""
    match = _BLANK_LINES.match(data)
    return match.end() if match is not None else 0


def find_head_problem(head: bytes | bytearray, max_bytes: int) -> str | None:
    """Return the result code for a head, complete or not; ``None`` if it is sound."""
    if len(head) > max_bytes:
        return "head_too_large"
    if head.count(b"\n") != head.count(b"\r\n"):
        return "malformed_http"
    if b"\n " in head or b"\n\t" in head:
        return "malformed_http"
    return None
