"""Which requests a stopping entry still takes: those that can end in its grace time."""

import attrs

__all__ = ["DrainWindow"]

# Time after a stop request in which the platform may still send new connections.
UNREADY_GRACE_S = 2.6
# Part of the grace time that is reserved for the exit and the last answers, and its
# lower bound: a slow machine takes long to end all tasks.
EXIT_MARGIN_FRACTION = 0.125
MIN_EXIT_MARGIN_S = 0.6
# The same for answers that have begun, after which nothing more is sent.
STREAM_MARGIN_FRACTION = 0.0625
MIN_STREAM_MARGIN_S = 0.35


@attrs.frozen
class DrainWindow:
    """The time in which a stopping entry still serves requests.

    ``noticed_at`` is when the platform sends no new connections any more, ``ends_at``
    when requests without an answer end, and ``streams_end_at`` when answers are cut
    that have begun. ``grace_ends_at`` is when the process has to be gone. They are
    event loop times in seconds, like those of the methods.
    """

    began_at: float
    noticed_at: float
    ends_at: float
    streams_end_at: float
    grace_ends_at: float

    @classmethod
    def for_grace(cls, began_at: float, grace_s: float) -> "DrainWindow":
        """Divide the grace time of a stop that was requested at ``began_at``."""
        margin_s = max(MIN_EXIT_MARGIN_S, EXIT_MARGIN_FRACTION * grace_s)
        stream_margin_s = max(MIN_STREAM_MARGIN_S, STREAM_MARGIN_FRACTION * grace_s)
        return cls(
            began_at=began_at,
            noticed_at=began_at + UNREADY_GRACE_S,
            ends_at=began_at + grace_s - margin_s,
            streams_end_at=began_at + grace_s - stream_margin_s,
            grace_ends_at=began_at + grace_s,
        )

    def can_finish(
        self, now: float, deadline: float, expected_s: float | None, may_be_cut: bool
    ) -> bool:
        """Return whether a request ends in the window.

        It ends at its deadline, and is expected to end after ``expected_s`` seconds. An
        estimate may be wrong: once callers have had the time to go elsewhere, it does
        not count for a request whose answer would be cut.
        """
        if deadline <= self.ends_at:
            return True
        if expected_s is None or (may_be_cut and now >= self.noticed_at):
            return False
        return now + expected_s <= self.ends_at

    def is_noticed(self, now: float) -> bool:
        return now >= self.noticed_at

    def is_over(self, now: float) -> bool:
        return now >= self.ends_at
