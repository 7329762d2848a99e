"""Runs of an agent: the request body, the call to the endpoint and the answer."""

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

# Body chunks are acknowledged for half of the window at a time, which keeps the number
# of acknowledgements low.
ACK_EVERY_BODY_CHUNKS = BODY_WINDOW_CHUNKS // 2

OUTCOMES = {
    Outcome.RAN: pb.RAN,
    Outcome.NOT_RUN: pb.NOT_RUN,
    Outcome.UNKNOWN: pb.OUTCOME_UNKNOWN,
}


class BodyFeed:
    """Puts the chunks of a request body in order and drops duplicates."""

    def __init__(self, length: int, send_body_ack: Callable[[int], None]) -> None:
        self.length = length
        self.send_body_ack = send_body_ack
        self.chunks: dict[int, pb.BodyChunk] = {}
        self.next_seq = 0
        self.complete = length == 0
        self.arrived = asyncio.Event()

    def add(self, chunk: pb.BodyChunk) -> None:
        """Add one chunk; one that was already read is ignored."""
        if chunk.seq < self.next_seq:
            return
        self.chunks[chunk.seq] = chunk
        self.arrived.set()

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body in order and acknowledge the chunks that were consumed."""
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
            if self.next_seq % ACK_EVERY_BODY_CHUNKS == 0 or self.complete:
                self.send_body_ack(self.next_seq)


@attrs.define
class RunOutput:
    """Numbers answer messages, sends them and buffers them until acknowledged.

    The answer of a claimed call is also retained, to be stored with the claim. Each of
    its pieces is sent only when the next piece or the end follows, so that no caller
    has a complete answer before the claim stores it.
    """

    dispatch: Dispatch[pb.AgentMessage]
    transmit: Callable[[str, pb.AgentMessage], None]
    buffer_space: asyncio.Event = attrs.field(factory=asyncio.Event)
    status: int = 0
    headers: list[Header] = attrs.field(factory=list)
    retained_chunks: list[bytes] | None = None
    delayed_send: Callable[[], None] | None = None
    first_token_at: float | None = None

    async def head(self, status: int, headers: Sequence[Header]) -> None:
        """Send status and headers."""
        self.status = status
        self.headers = end_to_end_headers(list(headers))
        self.send_or_delay(self.send_head)

    def send_or_delay(self, piece: Callable[[], None]) -> None:
        """Send a piece; delay it by one piece while the answer is retained."""
        if self.retained_chunks is None:
            piece()
            return
        previous, self.delayed_send = self.delayed_send, piece
        if previous is not None:
            previous()

    def send_head(self) -> None:
        head = pb.Head(
            request_id=self.dispatch.request_id,
            seq=self.dispatch.answer.next_seq,
            status=self.status,
            headers=[pb.Header(name=n, value=v) for n, v in self.headers],
        )
        self.append(pb.AgentMessage(head=head), 256)

    async def chunk(self, data: bytes) -> None:
        """Send a piece of the answer; wait while the unacknowledged buffer is full."""
        if self.first_token_at is None:
            self.first_token_at = time.monotonic()
        if self.retained_chunks is not None:
            self.retained_chunks.append(data)
        while self.dispatch.answer.full:
            self.buffer_space.clear()
            await self.buffer_space.wait()
        self.send_or_delay(lambda: self.send_chunk(data))

    def send_chunk(self, data: bytes) -> None:
        chunk = pb.Chunk(
            request_id=self.dispatch.request_id,
            seq=self.dispatch.answer.next_seq,
            data=data,
        )
        self.append(pb.AgentMessage(chunk=chunk), len(data))

    def end(self, code: int, outcome: Outcome, result: RunResult | None) -> None:
        """Send the end of the answer, even if the buffer is full."""
        if self.delayed_send is not None:
            self.delayed_send()
            self.delayed_send = None
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
        """Buffer and send a message; ``size_bytes`` is what it counts in the buffer.

        A head or an end counts a nominal size.
        """
        self.dispatch.answer.append(message, size_bytes)
        self.transmit(self.dispatch.entry_id, message)

    def acknowledge(self, next_seq: int) -> None:
        """Release acknowledged messages and resume reading from the endpoint."""
        self.dispatch.answer.acknowledge(next_seq)
        if not self.dispatch.answer.full:
            self.buffer_space.set()


class Run:
    """One granted request: its body, its call to the endpoint and its answer.

    ``cancel_code`` is the result code of a cancelled run, else 0. ``orphaned_at`` is
    the monotonic time at which its resume window began, else ``None``.
    """

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
        self.cancel_code = 0
        self.orphaned_at: float | None = None
        self.started_at = time.monotonic()
        self.dispatched = False

    @property
    def request_id(self) -> str:
        return self.grant.request_id

    @property
    def cancellable(self) -> bool:
        """Return whether the run may be cancelled after its call was sent."""
        return self.reservation.repeatable

    def running_work(self) -> RunningWork:
        """Describe the run for the choice of the run to preempt."""
        return RunningWork(
            organisation=self.reservation.organisation,
            request_id=self.request_id,
            tier=self.reservation.tier,
            repeatable=self.cancellable,
            prompt_tokens=self.reservation.prompt_tokens,
            # Counted in answer messages.
            tokens_done=self.output.dispatch.answer.next_seq,
            first_token_sent=self.output.first_token_at is not None,
        )

    def cancel(self, code_name: str) -> bool:
        """Cancel the run; return false if it has ended or must not be cancelled."""
        if self.task is None or self.output.dispatch.ended or self.cancel_code:
            return False
        if not self.cancellable and self.dispatched:
            return False
        self.cancel_code = CODES[code_name].number
        self.task.cancel()
        return True

    async def call(self, adapter: EndpointAdapter) -> RunResult | None:
        """Call the endpoint; return ``None`` if the run was cancelled."""
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
            code=self.cancel_code,
            tier=self.reservation.tier,
        )
        return None
