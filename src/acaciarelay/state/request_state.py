"""State machine of one request at the entry that owns it.

It decides which agent gets the body, so that at most one hand-off is outstanding, and
puts the answer in order.
"""

import enum
from typing import Generic, TypeVar

import attrs

__all__ = ["AgentIdentity", "OrderedAnswer", "Phase", "RequestState"]

Item = TypeVar("Item")


@attrs.frozen
class AgentIdentity:
    """Name one run of an agent process."""

    agent_id: str
    incarnation: int


class Phase(enum.Enum):
    """Say how far a request has come."""

    WAITING = "waiting"  # No agent has any byte of it.
    HANDED_OFF = "handed_off"  # One agent may have it; it may have run.
    ENDED = "ended"


@attrs.define
class OrderedAnswer(Generic[Item]):
    """Put answer messages in order and drop repeated ones."""

    next_seq: int = 0
    early: dict[int, Item] = attrs.field(factory=dict)

    def receive(self, seq: int, item: Item) -> list[Item]:
        """Return the messages that are now next in order."""
        if seq < self.next_seq:
            return []
        self.early[seq] = item
        ready = []
        while self.next_seq in self.early:
            ready.append(self.early.pop(self.next_seq))
            self.next_seq += 1
        return ready


@attrs.define
class RequestState(Generic[Item]):
    """Track reservations, the hand-off and the answer of one request."""

    request_id: str
    phase: Phase = Phase.WAITING
    reserved: set[str] = attrs.field(factory=set)
    holder: AgentIdentity | None = None
    answer: OrderedAnswer[Item] = attrs.field(factory=OrderedAnswer)

    def reserve(self, agent_id: str) -> None:
        """Note that an agent holds a reservation."""
        self.reserved.add(agent_id)

    def drop(self, agent_id: str) -> bool:
        """Note that an agent no longer holds a reservation; true if it did."""
        if agent_id not in self.reserved:
            return False
        self.reserved.discard(agent_id)
        return True

    def pull(self, agent: AgentIdentity) -> bool:
        """Hand the request off to the agent unless it is too late.

        Returns true when the body must be sent to this agent. The hand-off is noted
        before any byte is sent, so that a crash in between errs to "may have run".
        """
        if self.phase is not Phase.WAITING or agent.agent_id not in self.reserved:
            return False
        self.phase = Phase.HANDED_OFF
        self.holder = agent
        self.reserved.discard(agent.agent_id)
        return True

    def returned(self, agent: AgentIdentity) -> bool:
        """Take the request back from an agent that states it never ran it.

        Returns false when the statement comes from another process than the holder,
        or after a part of the answer.
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
        """Return the answer messages that are now next in order."""
        if self.phase is not Phase.HANDED_OFF or self.holder != agent:
            return []
        return self.answer.receive(seq, item)

    def end(self) -> None:
        """Close the request; later messages have no effect."""
        self.phase = Phase.ENDED

    @property
    def certainly_not_run(self) -> bool:
        """Tell whether "not run" is a true statement now."""
        return self.holder is None
