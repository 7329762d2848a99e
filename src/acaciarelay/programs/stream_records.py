"""What a process remembers of where streams began, and answers about it."""

import time
from typing import Protocol

from acaciarelay.coordination.stream_origins import StreamOrigin, StreamOrigins
from acaciarelay.protocol.link_messages import (
    LinkMessage,
    StreamFound,
    StreamLookup,
    StreamStarted,
)

__all__ = ["StreamRecords"]


class AnswerLink(Protocol):
    """What an answer needs of the link that brought the question."""

    def send(self, message: LinkMessage) -> None: ...


class StreamRecords:
    """Remember what entries tell of their streams, and answer what they ask."""

    def __init__(self) -> None:
        self.origins = StreamOrigins()

    def record(self, message: StreamStarted) -> None:
        """Remember where a request is sent."""
        origin = StreamOrigin(message.version, message.attempt)
        self.origins.record(message.request, origin, message.kept_s, time.monotonic())

    def receive(self, link: AnswerLink, message: StreamStarted | StreamLookup) -> None:
        match message:
            case StreamStarted():
                self.record(message)
            case StreamLookup(number=number, request=request):
                origin = self.origins.find(request, time.monotonic())
                if origin is None:
                    link.send(StreamFound(number=number))
                    return
                link.send(
                    StreamFound(
                        number=number, version=origin.version, attempt=origin.attempt
                    )
                )
