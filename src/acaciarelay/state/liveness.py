"""When a session needs a heartbeat, and when its silence means that it is lost."""

import attrs

__all__ = ["Liveness"]

# A session that carries no request may be lost for longer before anyone is harmed, and
# at the design scale most sessions carry none.
IDLE_FACTOR = 5


@attrs.define
class Liveness:
    """Judge one session; all times are in seconds, ``now`` is monotonic.

    An active session carries at least one request. Its heartbeats come each
    ``heartbeat_s`` and it is lost after ``silence_s``; an idle one has five times both.
    """

    heartbeat_s: float
    silence_s: float
    last_heard: float
    last_sent: float = 0.0
    active_since: float | None = None

    def heard(self, now: float) -> None:
        """Note that a message arrived."""
        self.last_heard = now

    def sent(self, now: float) -> None:
        """Note that a message was sent, which serves as a heartbeat."""
        self.last_sent = now

    def set_active(self, active: bool, now: float) -> None:
        """Note whether the session carries a request."""
        if not active:
            self.active_since = None
        elif self.active_since is None:
            self.active_since = now

    def heartbeat_due(self, now: float) -> bool:
        """Tell whether to send a heartbeat now, and note that it is sent."""
        factor = IDLE_FACTOR if self.active_since is None else 1
        if now - self.last_sent < self.heartbeat_s * factor:
            return False
        self.last_sent = now
        return True

    def silent(self, now: float) -> bool:
        """Tell whether the session is lost.

        The peer of a session that has just become active needs the time of one
        silence limit to learn of it and to answer.
        """
        if self.active_since is None:
            return now - self.last_heard > self.silence_s * IDLE_FACTOR
        return now - max(self.last_heard, self.active_since) > self.silence_s
