"""Tell an outage of the store from the loss of a call or a connection."""

import attrs

__all__ = ["StoreContact"]

# Intervals without a renewal after which the store removes a registration.
LAPSE_INTERVALS = 3
# Intervals that may have passed between the last renewal and the start of an outage:
# endpoints renew their registrations only about once in an interval.
UNRENEWED_INTERVALS = 1.5
# Registrations that are removed within this time after an outage, in seconds, may have
# lapsed in it.
LATE_REMOVAL_S = 0.4


@attrs.define
class StoreContact:
    """When the store was seen out of reach, from all calls of a process.

    A call that is lost on its way shows that its connection is lost, and nothing of the
    store: the calls of all feeds may be lost at once while the store answers on new
    connections. Its own refusal shows that it is unavailable, and so does the failure
    of a call on a new connection that asks for no wait, which a store in reach answers
    within milliseconds. No outage is longer than the time between two answers, to
    whichever feed they were.

    Endpoints renew their registrations every ``registration_interval_s`` seconds; all
    times are monotonic seconds.
    """

    registration_interval_s: float
    answered_at: float
    is_unreachable: bool = False
    outage_ended_at: float | None = None

    @property
    def shortest_lapse_s(self) -> float:
        """The shortest outage in which a registration can lapse."""
        intervals = LAPSE_INTERVALS - UNRENEWED_INTERVALS
        return intervals * self.registration_interval_s

    def record_answer(self, now: float) -> None:
        """Record an answer of the store to any call."""
        if self.is_unreachable and now - self.answered_at >= self.shortest_lapse_s:
            self.outage_ended_at = now
        self.is_unreachable = False
        self.answered_at = now

    def record_unreachable(self) -> None:
        """Record a call that shows by its failure that the store is out of reach."""
        self.is_unreachable = True

    def may_have_lapsed(self, read_at: float, now: float) -> bool:
        """Return whether a row read at ``read_at`` and gone since may have lapsed."""
        if self.outage_ended_at is None:
            return False
        if self.outage_ended_at >= read_at:
            return True
        return now < self.outage_ended_at + LATE_REMOVAL_S
