"""Tell a peer that is gone from one that reads slowly or not at all."""

import attrs

__all__ = ["PeerLiveness", "SendState"]


@attrs.frozen(kw_only=True)
class SendState:
    """What the kernel tells of data that was written to a connection.

    ``queued_bytes`` are not acknowledged, and ``is_in_flight`` is whether any of them
    were sent. ``unanswered`` is how many retransmissions and probes of the peer's
    window got no answer in a row, and ``answered_ago_s`` when the peer's host last
    acknowledged anything.
    """

    queued_bytes: int
    is_in_flight: bool
    unanswered: int
    answered_ago_s: float

    @property
    def waits_for_window(self) -> bool:
        """Return whether the peer's host has all that it has room for."""
        return self.queued_bytes > 0 and not self.is_in_flight


@attrs.define
class PeerLiveness:
    """Decide whether a connection's peer is gone; times are in seconds.

    A host that is reachable answers probes of its window, whether its process reads or
    not. One that leaves them unanswered for ``limit_s`` is gone.
    """

    limit_s: float
    unanswered_since: float | None = None

    def is_gone(self, state: SendState, now: float) -> bool:
        """Return whether the peer is gone, by successive states of its connection."""
        if not state.queued_bytes or not state.unanswered:
            self.unanswered_since = None
            return False
        answered_at = now - state.answered_ago_s
        since = self.unanswered_since
        if since is None or answered_at > since:
            # The first retransmission or probe that got no answer is as old as this.
            self.unanswered_since = now
            return False
        return now - since >= self.limit_s
