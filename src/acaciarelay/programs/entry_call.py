"""A call: one admitted request at its entry, with its state, body and events."""

import asyncio
import time

import attrs

from acaciarelay.coordination.shedding import LastResortRound
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.caller_api import CallHead, PoolChoice
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import Header
from acaciarelay.protocol.wire import BODY_WINDOW_CHUNKS
from acaciarelay.state.request_state import AgentIdentity, Phase, RequestState
from acaciarelay.transport.agent_session import AgentSession
from acaciarelay.transport.outgoing import SessionClosed

__all__ = [
    "AnswerPart",
    "Call",
    "CallEvent",
    "CallerDisconnected",
    "DeadlinePassed",
    "GraceEnded",
    "HolderLost",
    "Requeued",
]

# The agent buffers 256 KiB of unacknowledged answer, so acknowledgements must be sent
# well before that.
ACK_EVERY_BYTES = 32_768
ACK_EVERY_MESSAGES = 16
# When a caller may send a request again that a stopping entry refused.
STOPPING_RETRY_AFTER_S = 1.0
# An agent that dropped or returned a request gets no reservation for it for this time.
AVOID_AGENT_S = 0.5


@attrs.frozen
class AnswerPart:
    """The next message of the answer, in order."""

    message: pb.Head | pb.Chunk | pb.End


@attrs.frozen
class HolderLost:
    """The outcome can no longer be learned from the agent that has the request."""

    detail: str


@attrs.frozen
class Requeued:
    """The agent did not run the request and never will; it waits for placement."""

    reason: str


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection."""


@attrs.frozen
class DeadlinePassed:
    """The timeout of the request has passed."""


@attrs.frozen
class GraceEnded:
    """The grace time of the stopping entry has ended."""


CallEvent = (
    AnswerPart
    | HolderLost
    | Requeued
    | CallerDisconnected
    | DeadlinePassed
    | GraceEnded
)
AnswerMessage = pb.Head | pb.Chunk | pb.End


@attrs.define(eq=False)
class Call:
    """A request from admission to the end of its answer.

    ``tokens`` and ``prompt_tokens`` are estimates, and ``actual_tokens`` is the sum of
    the prompt and answer tokens that the agent reported at the end. Times are monotonic
    seconds. ``created_at`` is when the body had been read; the timeout and the wait
    budget count from it. An ``infeasible`` call is not expected to start within its
    wait budget, so it may be refused before the budget is used up.
    """

    request_id: str
    head: CallHead
    pool: PoolChoice
    method: str
    target: str
    headers: list[Header]
    body: list[bytes]
    body_length: int
    repeatable: bool
    tokens: int
    prompt_tokens: int
    prefix_hash: int
    created_at: float
    claim_key: str = ""
    claim_token: str = ""
    state: RequestState[AnswerMessage] = attrs.field(init=False)
    events: asyncio.Queue[CallEvent] = attrs.field(factory=asyncio.Queue)
    # Wakes the task that waits for the placement of the call.
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    avoid_until: dict[str, float] = attrs.field(factory=dict)
    retry_reason: str = ""
    caller_disconnected: bool = False
    forced_refusal: Refusal | None = None
    last_resort_round: LastResortRound | None = None
    # No reservation, whether for a last-resort round or not, is sent before this time
    # after a declined round.
    next_last_resort_at: float = 0.0
    infeasible: bool = False
    session: AgentSession | None = None
    reserved_sessions: set[AgentSession] = attrs.field(factory=set)
    body_task: asyncio.Task[None] | None = None
    # Chunks of the body, from its start, that the agent has acknowledged.
    acked_body_chunks: int = 0
    body_acked: asyncio.Event = attrs.field(factory=asyncio.Event)
    resume_timer: asyncio.TimerHandle | None = None
    unacked_bytes: int = 0
    unacked_messages: int = 0
    actual_tokens: int = 0
    end_received: bool = False
    attempt: int = 0

    def __attrs_post_init__(self) -> None:
        self.state = RequestState(self.request_id)

    @property
    def dispatch_id(self) -> str:
        """Id of the current placement attempt, by which agents identify the request."""
        return f"{self.request_id}.{self.attempt}"

    @property
    def deadline(self) -> float:
        return self.created_at + self.head.timeout_s

    @property
    def rank(self) -> int:
        """Rank of the request's tier, by which agents and queues know the tier."""
        return self.head.tier.rank

    @property
    def waiting(self) -> bool:
        return self.state.phase is Phase.WAITING

    # Placing.

    def reserve(self, session: AgentSession, last_resort: bool) -> None:
        """Send a reservation, which replaces an earlier one at the same agent."""
        now = time.monotonic()
        self.state.reserve(session.agent_id)
        session.outstanding.add(self.dispatch_id)
        self.reserved_sessions.add(session)
        message = pb.Reserve(
            request_id=self.dispatch_id,
            pool=self.pool.name,
            tier=self.rank,
            organisation=self.head.caller.organisation,
            weight=self.head.caller.record.weight,
            tokens=self.tokens,
            prompt_tokens=self.prompt_tokens,
            time_left_ms=max(0, int((self.deadline - now) * 1000)),
            wait_budget_ms=int(self.head.wait_budget_s * 1000),
            waited_ms=int((now - self.created_at) * 1000),
            prefix_hash=self.prefix_hash,
            last_resort=last_resort,
            repeatable=self.repeatable,
        )
        session.send(pb.EntryMessage(reserve=message))

    def on_pull(self, session: AgentSession) -> bool:
        """Hand the request off to the agent that pulled it; return false to deny it."""
        identity = AgentIdentity(session.agent_id, session.incarnation)
        if self.caller_disconnected or self.forced_refusal is not None:
            return False
        if time.monotonic() >= self.deadline or not self.state.hand_off(identity):
            return False
        self.session = session
        self.acked_body_chunks = 0
        session.send(pb.EntryMessage(grant=self.build_grant()))
        self.start_body(session, 0)
        self.wake.set()
        return True

    def build_grant(self) -> pb.Grant:
        left_s = self.deadline - time.monotonic()
        return pb.Grant(
            request_id=self.dispatch_id,
            method=self.method,
            path=self.target,
            headers=[pb.Header(name=name, value=value) for name, value in self.headers],
            body_length=self.body_length,
            claim_key=self.claim_key,
            claim_token=self.claim_token,
            time_left_ms=max(0, int(left_s * 1000)),
        )

    # Body.

    def start_body(self, session: AgentSession, next_seq: int) -> None:
        """Start to send the body from a chunk number on; stop an earlier sender."""
        self.stop_body()
        if not self.body:
            return
        self.body_task = asyncio.create_task(self.send_body(session, next_seq))

    def stop_body(self) -> None:
        if self.body_task is not None:
            self.body_task.cancel()
            self.body_task = None

    async def send_body(self, session: AgentSession, next_seq: int) -> None:
        self.acked_body_chunks = next_seq
        for seq in range(next_seq, len(self.body)):
            while seq >= self.acked_body_chunks + BODY_WINDOW_CHUNKS:
                self.body_acked.clear()
                await self.body_acked.wait()
            chunk = pb.BodyChunk(
                request_id=self.dispatch_id,
                seq=seq,
                data=self.body[seq],
                last=seq == len(self.body) - 1,
            )
            try:
                await session.send_bulk(pb.EntryMessage(body_chunk=chunk))
            except SessionClosed:
                return

    def on_body_ack(self, next_body_seq: int) -> None:
        """Record that the agent has acknowledged the chunks before ``next_body_seq``.

        This advances the flow-control window of the body.
        """
        self.acked_body_chunks = max(self.acked_body_chunks, next_body_seq)
        self.body_acked.set()

    # Answer.

    def on_answer(
        self, session: AgentSession, seq: int, message: AnswerMessage
    ) -> None:
        """Queue the answer messages that this one makes available in order."""
        identity = AgentIdentity(session.agent_id, session.incarnation)
        for ready in self.state.receive(identity, seq, message):
            self.end_received = self.end_received or isinstance(ready, pb.End)
            self.events.put_nowait(AnswerPart(ready))

    def acknowledge(self, size_bytes: int, last: bool = False) -> None:
        """Acknowledge what was written to the caller, batched by bytes and messages."""
        self.unacked_bytes += size_bytes
        self.unacked_messages += 1
        due = self.unacked_messages >= ACK_EVERY_MESSAGES
        if not (last or due or self.unacked_bytes >= ACK_EVERY_BYTES):
            return
        self.unacked_bytes = 0
        self.unacked_messages = 0
        if self.session is None:
            return
        # The messages that are still queued have not been written to the caller. Queued
        # events of other kinds only lower the number.
        next_undelivered_seq = self.state.answer.next_seq - self.events.qsize()
        ack = pb.Ack(request_id=self.dispatch_id, next_seq=max(0, next_undelivered_seq))
        self.session.send(pb.EntryMessage(ack=ack))

    def send_cancel(self) -> None:
        """Send a cancellation to the agent that has the request."""
        if self.session is not None:
            cancel = pb.Cancel(request_id=self.dispatch_id)
            self.session.send(pb.EntryMessage(cancel=cancel))

    def requeue(self, identity: AgentIdentity, reason: str) -> bool:
        """Return the request to placement after a report that it did not run."""
        if not self.state.requeue(identity):
            return False
        self.stop_body()
        self.session = None
        self.retry_reason = reason
        self.avoid_until[identity.agent_id] = time.monotonic() + AVOID_AGENT_S
        for session in self.reserved_sessions:
            session.outstanding.discard(self.dispatch_id)
        # The agent has tombstoned the old id, under which nothing can run again.
        self.attempt += 1
        self.events.put_nowait(Requeued(reason))
        return True

    def end_grace(self) -> None:
        """End the request, as the entry stops; it is not handed off any more."""
        self.forced_refusal = refuse("entry_stopping", "", STOPPING_RETRY_AFTER_S)
        self.events.put_nowait(GraceEnded())
        self.wake.set()

    def close(self) -> None:
        """Release timers, tasks and sessions.

        An agent that has not reported the end may not have received the cancellation,
        so the request stays outstanding, and the session active, until the end arrives.
        """
        for session in self.reserved_sessions:
            if session is not self.session or self.end_received:
                session.outstanding.discard(self.dispatch_id)
        self.state.end()
        self.stop_body()
        if self.resume_timer is not None:
            self.resume_timer.cancel()
