"""The agent's record of what it dispatched, which makes a second dispatch impossible.

The record lives as long as the process. An entry that asks about a request of another
incarnation gets no answer from it.
"""

import enum
from collections import deque
from typing import Generic, TypeVar

import attrs

__all__ = ["AnswerBuffer", "Dispatch", "DispatchLog", "Known"]

Message = TypeVar("Message")

# Longer than the longest allowed request timeout, so that no late grant can arrive
# after its marker is gone.
MARKER_LIFETIME_S = 900.0
ANSWER_BUFFER_BYTES = 262_144


@attrs.define
class AnswerBuffer(Generic[Message]):
    """Hold numbered answer messages until the entry acknowledges them."""

    first_seq: int = 0
    messages: deque[tuple[Message, int]] = attrs.field(factory=deque)
    held_bytes: int = 0
    max_bytes: int = ANSWER_BUFFER_BYTES

    @property
    def next_seq(self) -> int:
        """Number of the message that is appended next."""
        return self.first_seq + len(self.messages)

    @property
    def full(self) -> bool:
        return self.held_bytes >= self.max_bytes

    def append(self, message: Message, size_bytes: int) -> None:
        """Add the message whose number is ``next_seq``."""
        self.messages.append((message, size_bytes))
        self.held_bytes += size_bytes

    def acknowledge(self, next_seq: int) -> None:
        """Forget the messages below a number."""
        while self.messages and self.first_seq < next_seq:
            _, size_bytes = self.messages.popleft()
            self.held_bytes -= size_bytes
            self.first_seq += 1

    def messages_from(self, seq: int) -> list[Message]:
        """Return the held messages from a number on."""
        skip = max(0, seq - self.first_seq)
        return [message for message, _ in list(self.messages)[skip:]]


@attrs.define
class Dispatch(Generic[Message]):
    """Hold one request that was handed to this agent."""

    request_id: str
    entry_id: str
    entry_incarnation: int
    repeatable: bool
    answer: AnswerBuffer[Message] = attrs.field(factory=AnswerBuffer)
    next_body_seq: int = 0
    ended: bool = False

    @property
    def delivered(self) -> bool:
        """Tell whether the whole answer was acknowledged."""
        return self.ended and not self.answer.messages


class Known(enum.Enum):
    """Say what the log holds on a request."""

    LIVE = "live"
    TOMBSTONED = "tombstoned"
    FINISHED = "finished"


@attrs.define
class DispatchLog(Generic[Message]):
    """Hold live dispatches and the markers of finished and tombstoned requests."""

    live: dict[str, Dispatch[Message]] = attrs.field(factory=dict)
    markers: dict[str, tuple[Known, float]] = attrs.field(factory=dict)

    def begin(
        self, request_id: str, entry_id: str, incarnation: int, repeatable: bool
    ) -> Dispatch[Message] | None:
        """Note a dispatch before it happens; ``None`` when it must not happen."""
        if request_id in self.live or request_id in self.markers:
            return None
        dispatch: Dispatch[Message] = Dispatch(
            request_id, entry_id, incarnation, repeatable
        )
        self.live[request_id] = dispatch
        return dispatch

    def query(self, request_id: str, now: float) -> Known:
        """Say what is known of a request, and tombstone it when nothing is."""
        if request_id in self.live:
            return Known.LIVE
        if request_id in self.markers:
            return self.markers[request_id][0]
        self.markers[request_id] = (Known.TOMBSTONED, now + MARKER_LIFETIME_S)
        return Known.TOMBSTONED

    def retire(self, request_id: str, now: float) -> None:
        """Replace a delivered or abandoned dispatch by a marker."""
        if self.live.pop(request_id, None) is None:
            return
        self.markers[request_id] = (Known.FINISHED, now + MARKER_LIFETIME_S)

    def expire(self, now: float) -> None:
        """Forget markers past their lifetime; they are kept in order of time."""
        for request_id, (_, expires_at) in list(self.markers.items()):
            if expires_at > now:
                return
            del self.markers[request_id]
