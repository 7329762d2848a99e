"""HTTP request heads and header fields, independent of the transport."""

from collections.abc import Iterable

import attrs
import h11

__all__ = [
    "MAX_STATUS",
    "REQUEST_ID_HEADER",
    "Header",
    "HttpRequest",
    "InboundRequest",
    "encode_headers",
    "end_to_end_headers",
]

REQUEST_ID_HEADER = "acaciarelay-request-id"

# The five classes of statuses (RFC 9110, section 15) end here; the parser allows more.
MAX_STATUS = 599

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


@attrs.frozen(kw_only=True)
class InboundRequest:
    """A complete request; header names are in lower case.

    ``has_body`` is true if the head declares a body, even an empty one. ``arrived_at``
    is the time of the event loop at which the head began.
    """

    method: str
    target: str
    headers: list[Header]
    body: bytes
    has_body: bool
    arrived_at: float

    @classmethod
    def from_head(
        cls, head: h11.Request, body: bytes, arrived_at: float
    ) -> "InboundRequest":
        """Build a request from its parsed head and its whole body."""
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        ]
        has_body = any(
            name in ("content-length", "transfer-encoding") for name, _ in headers
        )
        return cls(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            has_body=has_body,
            arrived_at=arrived_at,
        )

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or ``None``."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def encode_headers(headers: Iterable[Header]) -> list[tuple[bytes, bytes]]:
    """Encode headers as they are decoded, one byte a character.

    h11 encodes text itself, but only ASCII.
    """
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]


def end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Return the headers without ``NOT_FORWARDED`` and those that Connection names."""
    dropped = set(NOT_FORWARDED)
    for name, value in headers:
        if name == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return [(name, value) for name, value in headers if name not in dropped]
