"""Heartbeat schedule and loss detection of a session."""

import attrs

__all__ = ["Liveness"]

# An idle session may be detected as lost later, since no request waits on it. Longer
# intervals save heartbeats: at the design scale most sessions are idle.
IDLE_INTERVAL_FACTOR = 5


@attrs.define
class Liveness:
    """Heartbeat and timeout state of one session; times are monotonic, in seconds.

    An active session carries at least one request. It sends a heartbeat every
    ``heartbeat_s`` and is lost after ``silence_s`` without a message. For an idle
    session both intervals are ``IDLE_INTERVAL_FACTOR`` times as long.
    """

    heartbeat_s: float
    silence_s: float
    last_received_at: float
    last_sent_at: float = 0.0
    active_since: float | None = None

    def record_received(self, now: float) -> None:
        """Record that a message was received."""
        self.last_received_at = now

    def record_sent(self, now: float) -> None:
        """Record that a message was sent, which counts as a heartbeat."""
        self.last_sent_at = now

    def set_active(self, active: bool, now: float) -> None:
        """Set whether the session carries a request."""
        if not active:
            self.active_since = None
        elif self.active_since is None:
            self.active_since = now

    def heartbeat_due(self, now: float) -> bool:
        """Return whether to send a heartbeat now, and record it as sent."""
        factor = IDLE_INTERVAL_FACTOR if self.active_since is None else 1
        if now - self.last_sent_at < self.heartbeat_s * factor:
            return False
        self.last_sent_at = now
        return True

    def timed_out(self, now: float) -> bool:
        """Return whether the session is lost.

        A session that became active has a full ``silence_s`` from then on, since its
        peer may still be sending heartbeats at the idle interval.
        """
        if self.active_since is None:
            return now - self.last_received_at > self.silence_s * IDLE_INTERVAL_FACTOR
        return now - max(self.last_received_at, self.active_since) > self.silence_s
