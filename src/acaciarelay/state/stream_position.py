"""How far a caller has a stream, and whether further runs go on behind it."""

from collections.abc import Iterable

import attrs

__all__ = [
    "ContradictionError",
    "OutOfOrderError",
    "StreamEvent",
    "StreamPosition",
    "UnprovenEndError",
]


@attrs.frozen
class StreamEvent:
    """The bytes of one event with its separator, and its number."""

    data: bytes
    number: int


class OutOfOrderError(Exception):
    """A run left out the event that the caller needs next."""


class ContradictionError(Exception):
    """A run ended before an event that the caller has; one of the two is foreign."""


class UnprovenEndError(Exception):
    """A run ended without an event, so that the caller may lack some."""


@attrs.define
class StreamPosition:
    """The last event that a caller has, and what the current run tells about it.

    A run that goes on behind an event of this answer is asked to repeat it. An engine
    whose stream ends before that event shows that the former run was faulty. What two
    runs write in an event may differ. ``last_event`` is the event's number,
    ``needed_event`` the last event at the start of the current run, ``repeats`` whether
    it is asked for again, and ``seen_event`` the last event of the run.
    """

    last_event: int | None = None
    needed_event: int | None = None
    repeats: bool = False
    seen_event: int | None = None

    def start_run(self, repeat_last: bool) -> int | None:
        """Begin a run; return the event that it follows, ``None`` from the beginning.

        Without ``repeat_last`` it follows the last event that the caller has.
        """
        self.needed_event = self.last_event or None
        self.repeats = repeat_last and self.needed_event is not None
        self.seen_event = None
        if not self.repeats or self.last_event is None:
            return self.last_event
        return self.last_event - 1 or None

    def advance(self, events: Iterable[StreamEvent]) -> list[StreamEvent]:
        """Return the events that the caller lacks, and count them as passed on.

        Raises ``OutOfOrderError``, and counts none then.
        """
        unsent: list[StreamEvent] = []
        last = self.last_event
        for event in events:
            if last is not None and event.number <= last:
                self.seen_event = event.number
                continue
            if last is not None and event.number != last + 1:
                raise OutOfOrderError
            last = self.seen_event = event.number
            unsent.append(event)
        self.last_event = last
        return unsent

    def check_end(self) -> None:
        """Check that a run may end here.

        Raises ``UnprovenEndError`` or ``ContradictionError``.
        """
        if self.needed_event is None or self._has_needed_event:
            return
        if self.seen_event is None and not self.repeats:
            raise UnprovenEndError
        raise ContradictionError

    @property
    def _has_needed_event(self) -> bool:
        if self.needed_event is None or self.seen_event is None:
            return False
        return self.seen_event >= self.needed_event
