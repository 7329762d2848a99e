"""Messages about the software version that a stream belongs to."""

import attrs

__all__ = ["StreamFound", "StreamLookup", "StreamMessage", "StreamStarted"]


@attrs.frozen(kw_only=True)
class StreamStarted:
    """Tells who remembers it that the first event of a resumable request has come.

    ``request`` is the request's id and ``version`` that of the endpoint's software.
    ``attempt`` numbers the attempts of the request. ``kept_s`` is how long it may be
    asked for, in seconds. ``begun`` is false from an entry of a former release, which
    sends the message before it knows whether the attempt brings an event. ``foreign``
    is true once events of the stream turned out to be no part of it.
    """

    request: str
    version: str
    attempt: int
    kept_s: float
    begun: bool = False
    foreign: bool = False


@attrs.frozen(kw_only=True)
class StreamLookup:
    """Asks where a stream began; answered by a ``StreamFound`` of this number."""

    number: int
    request: str


@attrs.frozen(kw_only=True)
class StreamFound:
    """Answers a ``StreamLookup``.

    ``begun`` is true if the first event came from an endpoint of ``version``. A process
    of a former release leaves it out, as it knows only that the request was sent there.
    For it, ``attempt`` is above 0 if the request is known. ``foreign`` is that of
    ``StreamStarted``; the stream goes on at no version then.
    """

    number: int
    version: str = ""
    attempt: int = 0
    begun: bool = False
    foreign: bool = False


StreamMessage = StreamStarted | StreamLookup | StreamFound
