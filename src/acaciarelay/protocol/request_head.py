"""Checks of a raw request head before an HTTP parser reads it.

h11 accepts line feeds without carriage returns and folded fields, which other servers
read differently, so that a request could be smuggled past one of them.
"""

__all__ = ["HEAD_END", "find_head_problem"]

HEAD_END = b"\r\n\r\n"


def find_head_problem(head: bytes | bytearray, max_bytes: int) -> str | None:
    """Return the result code for a head, complete or not; ``None`` if it is sound."""
    if len(head) > max_bytes:
        return "head_too_large"
    if head.count(b"\n") != head.count(b"\r\n"):
        return "malformed_http"
    if b"\n " in head or b"\n\t" in head:
        return "malformed_http"
    return None
