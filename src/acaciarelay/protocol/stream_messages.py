"""Messages about the software version that a stream belongs to."""

import attrs

__all__ = ["StreamFound", "StreamLookup", "StreamMessage", "StreamStarted"]


@attrs.frozen(kw_only=True)
class StreamStarted:
    """Tells who remembers it that a resumable request is sent to an endpoint.

    ``request`` is the request's id and ``version`` that of the endpoint's software.
    ``attempt`` numbers the attempts of the request, as a later one has brought its
    first event if any has. ``kept_s`` is how long it may be asked for, in seconds.
    """

    request: str
    version: str
    attempt: int
    kept_s: float


@attrs.frozen(kw_only=True)
class StreamLookup:
    """Asks where a request was sent; answered by a ``StreamFound`` of this number."""

    number: int
    request: str


@attrs.frozen(kw_only=True)
class StreamFound:
    """Answers a ``StreamLookup``; ``attempt`` is 0 if the request is not known."""

    number: int
    version: str = ""
    attempt: int = 0


StreamMessage = StreamStarted | StreamLookup | StreamFound
