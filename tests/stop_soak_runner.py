"""Stand-in runner whose work differs by request, and which records when it worked."""

import asyncio
import collections
import time

import attrs

from acaciarelay.protocol.http_message import Header
from acaciarelay.transport.connection_phase import Phase
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)
from acaciarelay_standins.platform_runner import FIRST_EVENT_ID, PlatformRunner

__all__ = ["PacedRunner", "Span", "Work"]

SENT_CHECK_INTERVAL_S = 0.01


@attrs.frozen
class Work:
    """What a request costs: a stream of ``events``, or a short answer without any."""

    seconds: float
    events: int
    event_bytes: int


@attrs.define
class Span:
    """A time in which a runner worked on a request; times are monotonic, in seconds."""

    began_at: float
    ended_at: float = 0.0
    complete: bool = False


@attrs.define(eq=False)
class PacedRunner(PlatformRunner):
    """Work for as long as ``work_of`` says for an attempt, times ``factor``."""

    work_of: dict[str, Work] = attrs.Factory(dict)
    factor: float = 1.0
    spans: dict[str, list[Span]] = attrs.Factory(lambda: collections.defaultdict(list))

    def recover(self) -> None:
        self.factor = 1.0

    async def answer(
        self,
        connection: InboundConnection,
        fields: dict[str, str],
        attempt: str,
        course: object,
    ) -> None:
        span = Span(time.monotonic())
        self.spans[attempt].append(span)
        try:
            await self.answer_in_time(connection, fields, attempt)
            span.complete = connection.phase is not Phase.CLOSING
        except CallerDisconnectedError:
            return
        finally:
            span.ended_at = time.monotonic()

    async def answer_in_time(
        self, connection: InboundConnection, fields: dict[str, str], attempt: str
    ) -> None:
        work = self.work_of[attempt]
        seal = ("Runner-Seal", f"seal-of-{self.endpoint_id}")
        headers: list[Header] = [("Attempt-Id", attempt), seal]
        if not work.events:
            await self.work(work.seconds * self.factor)
            connection.respond(200, headers, f"answer to {attempt}".encode())
            return
        connection.start(200, [*headers, ("Content-Type", "text/event-stream")])
        first = int(fields.get("last-event-id", FIRST_EVENT_ID - 1)) + 1
        data = "x" * work.event_bytes
        for number in range(first, work.events + 1):
            await self.work(work.seconds / work.events * self.factor)
            connection.write(f"id: {number}\ndata: {data}\n\n".encode())
            await connection.drain()
        connection.finish()
        while connection.unsent_bytes:  # noqa: ASYNC110
            await asyncio.sleep(SENT_CHECK_INTERVAL_S)
