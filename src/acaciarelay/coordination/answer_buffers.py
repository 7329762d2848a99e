"""Memory of answers that callers have not read yet: its budget, pauses and cuts."""

import attrs

__all__ = ["SMALL_ANSWER_BYTES", "AnswerBuffer", "AnswerBuffers"]

# An answer that holds no more than this is paused only when the whole budget is used,
# so that callers that read are not held up by the backlogs of others.
SMALL_ANSWER_BYTES = 65_536
# Part of the budget that only such answers may use.
SMALL_RESERVE_FRACTION = 0.125
# A larger answer is paused when it holds more than this many times the room that is
# left. The factor is a compromise: a lower one leaves more of the budget unused, a
# higher one leaves less room for answers that begin to be read slowly.
ROOM_FACTOR = 8
# What a paused answer still takes beside its backlog: the receive buffer of its
# endpoint's connection (twice its nominal 64 KiB in the kernel), 64 KiB of parsed
# events, and 64 KiB in the output to the caller.
PAUSED_OVERHEAD_BYTES = 262_144
# A caller without progress is cut after this time if others need its room. Callers
# abandon a stream after 2 s or more without an event, and an endpoint cuts off an
# answer that stays unread for some seconds, so a later cut would only hold the slot.
CUT_AFTER_S = 2.0
# The same when not even small answers have room.
FULL_CUT_AFTER_S = 0.25
# How long a refused piece of an answer that can't be paused counts as lack of room.
DENIAL_S = 1.0


@attrs.define(eq=False)
class AnswerBuffer:
    """What is held of the answers on one caller's connection.

    ``reserved_bytes`` have room and are not written yet, ``unread_bytes`` are written
    and not yet passed to the kernel. ``waiting_bytes`` is the size of the piece for
    which a paused answer has no room, 0 while it is not paused. ``progress_at`` is when
    the caller last made progress or had nothing to read.
    """

    buffers: "AnswerBuffers"
    progress_at: float
    reserved_bytes: int = 0
    unread_bytes: int = 0
    waiting_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        return self.reserved_bytes + self.unread_bytes

    @property
    def charge_bytes(self) -> int:
        """Return the part of the budget that the answer uses."""
        if self.held_bytes <= SMALL_ANSWER_BYTES:
            return self.held_bytes
        return self.held_bytes + PAUSED_OVERHEAD_BYTES

    def reserve(self, size: int, now: float) -> bool:
        """Reserve room for a piece; change nothing and return false without room."""
        if not self.buffers.has_room(self, size):
            self.buffers.denied_at = now
            return False
        self._hold(self.reserved_bytes + size, self.unread_bytes)
        return True

    def wait(self, size: int) -> None:
        """Pause the answer until there is room for a piece, or ``resume`` is called."""
        self.waiting_bytes = size
        self.buffers.paused[self] = None

    def resume(self) -> None:
        """End the pause."""
        self.waiting_bytes = 0
        self.buffers.paused.pop(self, None)

    def write(self, size: int, now: float) -> None:
        """Move a piece from the reserved bytes to the unread ones.

        What is written without a reservation, as the few bytes of an answer's end, is
        held too.
        """
        if not self.unread_bytes:
            self.progress_at = now
        self._hold(max(0, self.reserved_bytes - size), self.unread_bytes + size)

    def drop_reserved(self, size: int | None = None) -> None:
        """Give back reserved bytes that are not to be written, by default all."""
        dropped = self.reserved_bytes if size is None else size
        self._hold(max(0, self.reserved_bytes - dropped), self.unread_bytes)

    def read(self, size: int, now: float) -> None:
        """Record that the kernel took bytes, since the caller has read others."""
        self._hold(self.reserved_bytes, self.unread_bytes - size)
        self.progress_at = now

    def close(self) -> None:
        """Give back all that the answer holds."""
        self._hold(0, 0)
        self.resume()

    def _hold(self, reserved_bytes: int, unread_bytes: int) -> None:
        before = self.charge_bytes
        self.reserved_bytes = reserved_bytes
        self.unread_bytes = unread_bytes
        self.buffers.used_bytes += self.charge_bytes - before
        if self.held_bytes > SMALL_ANSWER_BYTES:
            self.buffers.large[self] = None
        else:
            self.buffers.large.pop(self, None)


class AnswerBuffers:
    """Decide which answers are read on from their endpoints, and which callers to cut.

    All answers together use at most ``limit_bytes``. Those with the largest backlog are
    paused first. Times are event loop times in seconds.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.small_reserve_bytes = int(limit_bytes * SMALL_RESERVE_FRACTION)
        self.used_bytes = 0
        # In the order of their pauses.
        self.paused: dict[AnswerBuffer, None] = {}
        # Answers that hold more than ``SMALL_ANSWER_BYTES``.
        self.large: dict[AnswerBuffer, None] = {}
        self.denied_at = float("-inf")

    def open(self, now: float) -> AnswerBuffer:
        """Begin to account for the answers of a connection."""
        return AnswerBuffer(self, now)

    def has_room(self, answer: AnswerBuffer, size: int) -> bool:
        """Return whether an answer may hold ``size`` more bytes."""
        held = answer.held_bytes + size
        free = self.limit_bytes - self.used_bytes - size
        if held <= SMALL_ANSWER_BYTES:
            return free >= 0
        # The overhead counts for answers that hold it already too, as else a larger
        # answer would be read on while a smaller one is paused.
        shared = free - self.small_reserve_bytes - PAUSED_OVERHEAD_BYTES
        return held <= ROOM_FACTOR * shared

    def is_short(self, now: float) -> bool:
        """Return whether an answer has or had no room."""
        return bool(self.paused) or now - self.denied_at < DENIAL_S

    def resumed(self, now: float) -> list[AnswerBuffer]:
        """Reserve room for paused answers, the smallest first, and end their pauses."""
        resumed = []
        for answer in sorted(self.paused, key=_held_bytes):
            if not answer.reserve(answer.waiting_bytes, now):
                continue
            answer.resume()
            resumed.append(answer)
        return resumed

    def overdue(self, now: float) -> AnswerBuffer | None:
        """Return the answer whose caller is to be cut, for lack of room.

        It is the largest one without progress, of the paused ones if there are such,
        since these hold slots. The cut may make room for the others, so it is only one
        at a time. A caller that has read all that it was sent is never cut.
        """
        if not self.is_short(now):
            return None
        after_s = FULL_CUT_AFTER_S if self._is_full() else CUT_AFTER_S
        for answers in (self.paused, self.large):
            stale = [answer for answer in answers if _is_stale(answer, now, after_s)]
            if stale:
                return max(stale, key=_held_bytes)
        return None

    def _is_full(self) -> bool:
        """Return whether an answer is paused although it is small."""
        for answer in self.paused:
            if answer.held_bytes + answer.waiting_bytes <= SMALL_ANSWER_BYTES:
                return True
        return False


def _held_bytes(answer: AnswerBuffer) -> int:
    return answer.held_bytes


def _is_stale(answer: AnswerBuffer, now: float, after_s: float) -> bool:
    return answer.unread_bytes > 0 and now - answer.progress_at >= after_s
