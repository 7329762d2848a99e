"""Streaming of an answer from the agent that runs a request to the caller."""

import asyncio
import time

import attrs

from acaciarelay.programs.entry_call import (
    AnswerPart,
    Call,
    CallerDisconnected,
    CallEvent,
    DeadlinePassed,
    GraceEnded,
    HolderLost,
    Requeued,
)
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.caller_api import REQUEST_ID_HEADER
from acaciarelay.protocol.codes import Outcome, Refusal, code_by_number, refuse
from acaciarelay.protocol.http_message import Header
from acaciarelay.protocol.sse import is_event_stream, render_error_event
from acaciarelay.transport.http_server import CallerDisconnectedError, HttpExchange

__all__ = ["Completed", "Failed", "RetryPlacement", "StreamEnd", "Streamer"]

# Time to wait for the agent's report of the outcome after a cancellation.
CANCEL_WAIT_S = 1.0

OUTCOMES = {
    pb.RAN: Outcome.RAN,
    pb.NOT_RUN: Outcome.NOT_RUN,
    pb.OUTCOME_UNKNOWN: Outcome.UNKNOWN,
}


@attrs.frozen
class Completed:
    """The caller has received the complete answer."""

    end: pb.End


@attrs.frozen
class Failed:
    """The caller has no complete answer, for the given reason."""

    refusal: Refusal


@attrs.frozen
class RetryPlacement:
    """The request did not run and must be placed again."""


StreamEnd = Completed | Failed | RetryPlacement


class Streamer:
    """Streams one answer to the caller, each byte once and in order."""

    def __init__(self, call: Call, exchange: HttpExchange, metrics: Metrics) -> None:
        self.call = call
        self.exchange = exchange
        self.metrics = metrics
        self.event_stream = False

    async def run(self) -> StreamEnd:
        """Stream the answer until it is complete, fails or must be placed again."""
        # One timer for the complete answer is cheaper than a timeout for each event.
        timer = asyncio.get_running_loop().call_later(
            max(0.0, self.call.deadline - time.monotonic()),
            self.call.events.put_nowait,
            DeadlinePassed(),
        )
        try:
            while True:
                end = await self.handle_event(await self.call.events.get())
                if end is not None:
                    return end
        except CallerDisconnectedError:
            return await self.caller_disconnected()
        finally:
            timer.cancel()

    async def handle_event(self, event: CallEvent) -> StreamEnd | None:
        match event:
            case AnswerPart(pb.Head() as head):
                await self.start_answer(head)
            case AnswerPart(pb.Chunk() as chunk):
                await self.exchange.write(chunk.data)
                self.call.acknowledge(len(chunk.data))
            case AnswerPart(pb.End() as end):
                return await self.end_answer(end)
            case HolderLost(detail):
                return await self.fail(refuse("outcome_unknown", detail))
            case Requeued():
                return RetryPlacement()
            case CallerDisconnected():
                return await self.caller_disconnected()
            case DeadlinePassed():
                detail = "The deadline passed before the agent reported"
                unknown = refuse("outcome_unknown", detail)
                return await self.cut_run(refuse("answer_cut", "", 1.0), unknown)
            case GraceEnded():
                stopped = refuse("entry_stopped")
                return await self.cut_run(stopped, stopped)
        return None

    async def start_answer(self, head: pb.Head) -> None:
        headers: list[Header] = [(h.name, h.value) for h in head.headers]
        headers.append((REQUEST_ID_HEADER, self.call.request_id))
        self.event_stream = is_event_stream(headers)
        if self.call.acked_body_chunks >= len(self.call.body):
            # The agent has the complete body and the endpoint has answered, so the body
            # is not sent again.
            self.call.body = []
        first_byte_s = time.monotonic() - self.call.created_at
        self.metrics.observe(
            "first_token_seconds", first_byte_s, tier=self.call.head.tier_name
        )
        await self.exchange.start(head.status, headers)
        self.call.acknowledge(0)

    async def end_answer(self, end: pb.End) -> StreamEnd:
        self.call.acknowledge(0, last=True)
        if end.code == 0:
            await self.exchange.finish()
            return Completed(end)
        outcome = OUTCOMES.get(end.outcome, Outcome.UNKNOWN)
        if outcome is Outcome.NOT_RUN and self.try_requeue(end):
            return RetryPlacement()
        code = attrs.evolve(code_by_number(end.code), outcome=outcome)
        retry_after_s = 1.0 if code.retryable else None
        return await self.fail(Refusal(code, "", retry_after_s))

    def try_requeue(self, end: pb.End) -> bool:
        """Put a request that did not run back into placement.

        Returns false if it has an idempotency claim, has no holder or its answer was
        started.
        """
        call = self.call
        if call.claim_key or call.state.holder is None or self.exchange.started:
            return False
        # Only a request without answer messages is requeued, and the end was one.
        call.state.answer.next_seq = 0
        return (
            call.requeue(call.state.holder, "not_dispatched") and self.discard_events()
        )

    def discard_events(self) -> bool:
        """Discard the pending events, the one that reports the requeue among them.

        Always true, so that it can be joined to a condition.
        """
        while not self.call.events.empty():
            self.call.events.get_nowait()
        return True

    async def cut_run(self, cut: Refusal, unknown: Refusal) -> StreamEnd:
        """Cancel the run, and report ``cut`` with the outcome that the agent returns.

        Reports ``unknown`` instead if the agent returns none.
        """
        self.call.send_cancel()
        outcome = await self.wait_for_outcome()
        if outcome is None:
            return await self.fail(unknown)
        if outcome is Outcome.NOT_RUN and self.call.forced_refusal is not None:
            return await self.fail(self.call.forced_refusal)
        code = attrs.evolve(cut.code, outcome=outcome)
        return await self.fail(attrs.evolve(cut, code=code))

    async def wait_for_outcome(self) -> Outcome | None:
        """Wait for the agent's report after a cancellation; ``None`` if none comes."""
        try:
            async with asyncio.timeout(CANCEL_WAIT_S):
                while True:
                    match await self.call.events.get():
                        case AnswerPart(pb.End() as end):
                            self.call.acknowledge(0, last=True)
                            return OUTCOMES.get(end.outcome)
                        case Requeued():
                            return Outcome.NOT_RUN
                        case HolderLost():
                            return None
        except TimeoutError:
            return None

    async def fail(self, refusal: Refusal) -> StreamEnd:
        """Report a failure so that the caller can't take the answer for complete."""
        headers = [(REQUEST_ID_HEADER, self.call.request_id)]
        if not self.exchange.started:
            await self.exchange.respond_refusal(refusal, headers)
            return Failed(refusal)
        if self.event_stream:
            await self.exchange.write(render_error_event(refusal))
        self.exchange.abort()
        return Failed(refusal)

    async def caller_disconnected(self) -> StreamEnd:
        self.call.send_cancel()
        self.exchange.abort()
        return Failed(refuse("caller_gone"))
