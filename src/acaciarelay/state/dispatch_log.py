"""The agent's log of dispatched requests, which prevents a second dispatch.

The log is in memory and ends with the process, so it can answer queries about requests
of its own incarnation only. A request id in this module is the entry's dispatch id,
which identifies one attempt of a request.
"""

import enum
from collections import deque
from typing import Generic, TypeVar

import attrs

__all__ = ["AnswerBuffer", "Dispatch", "DispatchLog", "DispatchState"]

Message = TypeVar("Message")

# Longer than the longest allowed request timeout, so that a delayed grant can't arrive
# after its marker has expired and be dispatched again.
MARKER_LIFETIME_S = 900.0
ANSWER_BUFFER_BYTES = 262_144


@attrs.define
class AnswerBuffer(Generic[Message]):
    """Retransmission buffer of answer messages that the entry has not acknowledged."""

    first_seq: int = 0
    messages: deque[tuple[Message, int]] = attrs.field(factory=deque)
    held_bytes: int = 0
    max_bytes: int = ANSWER_BUFFER_BYTES

    @property
    def next_seq(self) -> int:
        """Sequence number of the next message to be appended."""
        return self.first_seq + len(self.messages)

    @property
    def full(self) -> bool:
        return self.held_bytes >= self.max_bytes

    def append(self, message: Message, size_bytes: int) -> None:
        """Append the message with sequence number ``next_seq``."""
        self.messages.append((message, size_bytes))
        self.held_bytes += size_bytes

    def acknowledge(self, next_seq: int) -> None:
        """Drop the messages with sequence numbers below ``next_seq``."""
        while self.messages and self.first_seq < next_seq:
            _, size_bytes = self.messages.popleft()
            self.held_bytes -= size_bytes
            self.first_seq += 1

    def messages_from(self, seq: int) -> list[Message]:
        """Return the buffered messages from sequence number ``seq`` on."""
        skip = max(0, seq - self.first_seq)
        return [message for message, _ in list(self.messages)[skip:]]


@attrs.define
class Dispatch(Generic[Message]):
    """One request that was handed off to this agent."""

    request_id: str
    entry_id: str
    entry_incarnation: int
    repeatable: bool
    answer: AnswerBuffer[Message] = attrs.field(factory=AnswerBuffer)
    next_body_seq: int = 0
    ended: bool = False

    @property
    def delivered(self) -> bool:
        """Whether the entry has acknowledged the complete answer."""
        return self.ended and not self.answer.messages


class DispatchState(enum.Enum):
    """State of a request in the dispatch log."""

    LIVE = "live"
    TOMBSTONED = "tombstoned"  # Not dispatched here, and never will be.
    FINISHED = "finished"  # Dispatched; its answer is no longer buffered.


@attrs.define
class DispatchLog(Generic[Message]):
    """Live dispatches, and markers of finished and tombstoned requests.

    A marker is the state of a request and the monotonic time at which it expires.
    """

    live: dict[str, Dispatch[Message]] = attrs.field(factory=dict)
    markers: dict[str, tuple[DispatchState, float]] = attrs.field(factory=dict)

    def begin(
        self, request_id: str, entry_id: str, incarnation: int, repeatable: bool
    ) -> Dispatch[Message] | None:
        """Record a dispatch before it starts; ``None`` when it must not start."""
        if request_id in self.live or request_id in self.markers:
            return None
        dispatch: Dispatch[Message] = Dispatch(
            request_id, entry_id, incarnation, repeatable
        )
        self.live[request_id] = dispatch
        return dispatch

    def query_or_tombstone(self, request_id: str, now: float) -> DispatchState:
        """Return the state of a request; an unknown one is tombstoned.

        The tombstone makes this state final: a grant that arrives later is not run.
        """
        if request_id in self.live:
            return DispatchState.LIVE
        if request_id in self.markers:
            return self.markers[request_id][0]
        self.markers[request_id] = (DispatchState.TOMBSTONED, now + MARKER_LIFETIME_S)
        return DispatchState.TOMBSTONED

    def retire(self, request_id: str, now: float) -> None:
        """Replace a delivered or abandoned dispatch with a marker."""
        if self.live.pop(request_id, None) is None:
            return
        self.markers[request_id] = (DispatchState.FINISHED, now + MARKER_LIFETIME_S)

    def expire(self, now: float) -> None:
        """Drop expired markers; they are stored in order of expiry."""
        for request_id, (_, expires_at) in list(self.markers.items()):
            if expires_at > now:
                return
            del self.markers[request_id]
