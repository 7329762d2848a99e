"""HTTP request heads and header fields, independent of the transport."""

import attrs

__all__ = ["REQUEST_ID_HEADER", "Header", "HttpRequest", "end_to_end_headers"]

REQUEST_ID_HEADER = "acaciarelay-request-id"

Header = tuple[str, str]

# Fields that are not forwarded: the hop-by-hop fields (RFC 9110, section 7.6.1), Host,
# which is set again, and Expect, which was answered before the body arrived.
NOT_FORWARDED = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
    ]
)


@attrs.frozen
class HttpRequest:
    """The head of a request; header names are in lower case.

    ``target`` is the path with the query, as received.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: list[Header]
    target: str = ""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or ``None``."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def content_length(self) -> int | None:
        """Body length in bytes, or ``None`` without a Content-Length field."""
        value = self.header("content-length")
        return int(value) if value is not None else None


def end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Return the headers without ``NOT_FORWARDED`` and those that Connection names."""
    dropped = set(NOT_FORWARDED)
    for name, value in headers:
        if name == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return [(name, value) for name, value in headers if name not in dropped]
