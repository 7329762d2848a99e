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
        """Remember where a stream began, and nothing of requests that were only sent.

        Another attempt, whose record is lost, may have brought the first event of such
        a request.
        """
        if not message.begun:
            return
        origin = StreamOrigin(frozenset({message.version}), message.foreign)
        self.origins.record(message.request, origin, message.kept_s, time.monotonic())

    def receive(self, link: AnswerLink, message: StreamStarted | StreamLookup) -> None:
        match message:
            case StreamStarted():
                self.record(message)
            case StreamLookup(number=number, request=request):
                link.send(self.answer(number, request))

    def answer(self, number: int, request: str) -> StreamFound:
        """Answer a question, with no version if several have begun a request's id."""
        origin = self.origins.find(request, time.monotonic())
        if origin is not None and origin.foreign:
            return StreamFound(number=number, foreign=True)
        if origin is None or origin.version is None:
            return StreamFound(number=number)
        return StreamFound(number=number, version=origin.version, attempt=1, begun=True)
