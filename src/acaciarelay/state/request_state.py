"""State machine of one request at the entry that owns it.

It ensures that at most one agent holds the request at a time, and reorders the answer
messages by sequence number.
"""

import enum
from typing import Generic, TypeVar

import attrs

__all__ = ["AgentIdentity", "OrderedAnswer", "Phase", "RequestState"]

Item = TypeVar("Item")


@attrs.frozen
class AgentIdentity:
    """Identifies one incarnation of an agent process."""

    agent_id: str
    incarnation: int


class Phase(enum.Enum):
    """Phase in the life cycle of a request."""

    WAITING = "waiting"  # No byte of the body has been sent to an agent.
    HANDED_OFF = "handed_off"  # Sent to one agent; it may have run there.
    ENDED = "ended"


@attrs.define
class OrderedAnswer(Generic[Item]):
    """Reorder buffer for answer messages; drops duplicates.

    ``out_of_order`` holds the messages received ahead of ``next_seq``.
    """

    next_seq: int = 0
    out_of_order: dict[int, Item] = attrs.field(factory=dict)

    def receive(self, seq: int, item: Item) -> list[Item]:
        """Buffer a message and return those that are now deliverable in order."""
        if seq < self.next_seq:
            return []
        self.out_of_order[seq] = item
        ready = []
        while self.next_seq in self.out_of_order:
            ready.append(self.out_of_order.pop(self.next_seq))
            self.next_seq += 1
        return ready


@attrs.define
class RequestState(Generic[Item]):
    """Reservations, hand-off and answer of one request.

    ``reserved`` holds the ids of the agents at which the request is queued, and
    ``holder`` is the agent to which it was handed off.
    """

    request_id: str
    phase: Phase = Phase.WAITING
    reserved: set[str] = attrs.field(factory=set)
    holder: AgentIdentity | None = None
    answer: OrderedAnswer[Item] = attrs.field(factory=OrderedAnswer)

    def reserve(self, agent_id: str) -> None:
        """Record a reservation at an agent."""
        self.reserved.add(agent_id)

    def drop(self, agent_id: str) -> bool:
        """Remove the reservation at an agent; return whether there was one."""
        if agent_id not in self.reserved:
            return False
        self.reserved.discard(agent_id)
        return True

    def hand_off(self, agent: AgentIdentity) -> bool:
        """Hand the request off to the agent that pulls it.

        Return true when the body must be sent to this agent, and false when the request
        is not waiting or has no reservation there. The hand-off is recorded before the
        first byte is sent, so that a failure in between is reported as "may have run"
        and never as "not run".
        """
        if self.phase is not Phase.WAITING or agent.agent_id not in self.reserved:
            return False
        self.phase = Phase.HANDED_OFF
        self.holder = agent
        self.reserved.discard(agent.agent_id)
        return True

    def requeue(self, agent: AgentIdentity) -> bool:
        """Return the request to waiting after its holder reported it as not run.

        Return false, with no effect, when the report is from another incarnation or
        agent than the holder, or when a part of the answer has already been received.
        """
        if self.phase is not Phase.HANDED_OFF or self.holder != agent:
            return False
        if self.answer.next_seq > 0:
            return False
        self.phase = Phase.WAITING
        self.holder = None
        self.answer = OrderedAnswer()
        return True

    def receive(self, agent: AgentIdentity, seq: int, item: Item) -> list[Item]:
        """Buffer an answer message and return those now deliverable in order.

        Messages that are not from the holder are dropped.
        """
        if self.phase is not Phase.HANDED_OFF or self.holder != agent:
            return []
        return self.answer.receive(seq, item)

    def end(self) -> None:
        """End the request; later messages have no effect."""
        self.phase = Phase.ENDED

    @property
    def certainly_not_run(self) -> bool:
        """Whether the request can safely be reported as not run."""
        return self.holder is None
