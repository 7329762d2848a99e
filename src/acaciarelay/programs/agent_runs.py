"""Requests in service at an agent: body in, call to the endpoint, answer out."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Sequence

import attrs

from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.coordination.shedding import RunningWork
from acaciarelay.programs.logs import log_event
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.codes import CODES, Outcome
from acaciarelay.protocol.http_message import Header, end_to_end_headers
from acaciarelay.protocol.wire import BODY_WINDOW_CHUNKS
from acaciarelay.state.dispatch_log import Dispatch
from acaciarelay.transport.endpoints.base import (
    EndpointAdapter,
    EndpointCall,
    RunResult,
)

__all__ = ["BodyFeed", "Run", "RunOutput"]

# Half of the window is given back at a time, to keep credits few.
CREDIT_EVERY_CHUNKS = BODY_WINDOW_CHUNKS // 2

OUTCOMES = {
    Outcome.RAN: pb.RAN,
    Outcome.NOT_RUN: pb.NOT_RUN,
    Outcome.UNKNOWN: pb.OUTCOME_UNKNOWN,
}


class BodyFeed:
    """Pass body chunks to the endpoint in order, each once."""

    def __init__(self, length: int, give_credit: Callable[[int], None]) -> None:
        self.length = length
        self.give_credit = give_credit
        self.chunks: dict[int, pb.BodyChunk] = {}
        self.next_seq = 0
        self.complete = length == 0
        self.arrived = asyncio.Event()

    def add(self, chunk: pb.BodyChunk) -> None:
        """Take one chunk; a repeated one is ignored."""
        if chunk.seq < self.next_seq:
            return
        self.chunks[chunk.seq] = chunk
        self.arrived.set()

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body in order, and give credit as it is taken."""
        while not self.complete:
            chunk = self.chunks.pop(self.next_seq, None)
            if chunk is None:
                self.arrived.clear()
                await self.arrived.wait()
                continue
            self.next_seq += 1
            self.complete = chunk.last
            if chunk.data:
                yield chunk.data
            if self.next_seq % CREDIT_EVERY_CHUNKS == 0 or self.complete:
                self.give_credit(self.next_seq)


@attrs.define
class RunOutput:
    """Number answer messages, hold them until acknowledged and pass them on.

    While an answer is kept for a claim, its newest piece waits for the next one or the
    end, so that nobody has a whole answer before the claim holds it.
    """

    dispatch: Dispatch[pb.AgentMessage]
    transmit: Callable[[str, pb.AgentMessage], None]
    space: asyncio.Event = attrs.field(factory=asyncio.Event)
    status: int = 0
    headers: list[Header] = attrs.field(factory=list)
    kept: list[bytes] | None = None
    waiting: Callable[[], None] | None = None
    first_token_at: float | None = None

    async def head(self, status: int, headers: Sequence[Header]) -> None:
        """Send status and headers."""
        self.status = status
        self.headers = end_to_end_headers(list(headers))
        self.send(self.send_head)

    def send(self, piece: Callable[[], None]) -> None:
        """Send a piece; one piece late while the answer is kept."""
        if self.kept is None:
            piece()
            return
        before, self.waiting = self.waiting, piece
        if before is not None:
            before()

    def send_head(self) -> None:
        head = pb.Head(
            request_id=self.dispatch.request_id,
            seq=self.dispatch.answer.next_seq,
            status=self.status,
            headers=[pb.Header(name=n, value=v) for n, v in self.headers],
        )
        self.append(pb.AgentMessage(head=head), 256)

    async def chunk(self, data: bytes) -> None:
        """Send a piece of the answer; waits while too much is unacknowledged."""
        if self.first_token_at is None:
            self.first_token_at = time.monotonic()
        if self.kept is not None:
            self.kept.append(data)
        while self.dispatch.answer.full:
            self.space.clear()
            await self.space.wait()
        self.send(lambda: self.send_chunk(data))

    def send_chunk(self, data: bytes) -> None:
        chunk = pb.Chunk(
            request_id=self.dispatch.request_id,
            seq=self.dispatch.answer.next_seq,
            data=data,
        )
        self.append(pb.AgentMessage(chunk=chunk), len(data))

    def end(self, code: int, outcome: Outcome, result: RunResult | None) -> None:
        """Send the end of the answer, which also fits in a full buffer."""
        if self.waiting is not None:
            self.waiting()
            self.waiting = None
        end = pb.End(
            request_id=self.dispatch.request_id,
            seq=self.dispatch.answer.next_seq,
            code=code,
            outcome=OUTCOMES[outcome],
            prompt_tokens=result.prompt_tokens if result else 0,
            answer_tokens=result.answer_tokens if result else 0,
        )
        self.append(pb.AgentMessage(end=end), 64)
        self.dispatch.ended = True

    def append(self, message: pb.AgentMessage, size_bytes: int) -> None:
        self.dispatch.answer.append(message, size_bytes)
        self.transmit(self.dispatch.entry_id, message)

    def acknowledge(self, next_seq: int) -> None:
        """Forget what has arrived and go on reading from the endpoint."""
        self.dispatch.answer.acknowledge(next_seq)
        if not self.dispatch.answer.full:
            self.space.set()


class Run:
    """Hold one request in service."""

    def __init__(
        self,
        reservation: Reservation,
        grant: pb.Grant,
        output: RunOutput,
        body: BodyFeed,
    ) -> None:
        self.reservation = reservation
        self.grant = grant
        self.output = output
        self.body = body
        self.task: asyncio.Task[None] | None = None
        self.stop_code = 0
        self.orphaned_at: float | None = None
        self.started_at = time.monotonic()
        self.dispatched = False

    @property
    def request_id(self) -> str:
        return self.grant.request_id

    @property
    def cancellable(self) -> bool:
        """Tell whether the run may be stopped once its call has begun."""
        return self.reservation.repeatable

    def work(self) -> RunningWork:
        """Describe the run for the choice of a victim."""
        return RunningWork(
            organisation=self.reservation.organisation,
            request_id=self.request_id,
            tier=self.reservation.tier,
            repeatable=self.cancellable,
            prompt_tokens=self.reservation.prompt_tokens,
            tokens_done=self.output.dispatch.answer.next_seq,
            first_token_sent=self.output.first_token_at is not None,
        )

    def stop(self, code_name: str) -> bool:
        """Cancel the call; false when it must not or need not be stopped."""
        if self.task is None or self.output.dispatch.ended or self.stop_code:
            return False
        if not self.cancellable and self.dispatched:
            return False
        self.stop_code = CODES[code_name].number
        self.task.cancel()
        return True

    async def call(self, adapter: EndpointAdapter) -> RunResult | None:
        """Call the endpoint; ``None`` when the run was stopped."""
        call = EndpointCall(
            method=self.grant.method,
            path=self.grant.path,
            headers=[(h.name, h.value) for h in self.grant.headers],
            body_length=self.grant.body_length,
        )
        self.dispatched = True
        with contextlib.suppress(asyncio.CancelledError):
            return await adapter.run(call, self.body.read(), self.output)
        log_event(
            "run_stopped",
            request_id=self.request_id,
            code=self.stop_code,
            tier=self.reservation.tier,
        )
        return None
