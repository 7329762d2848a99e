"""A time limit on streams without progress."""

__all__ = ["ProgressLimit"]


class ProgressLimit:
    """Detect that a stream has made no progress for ``limit_s`` seconds.

    The time starts at the first call of either method.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._last: float | None = None

    def record_progress(self, now: float) -> None:
        """Restart the time limit."""
        self._last = now

    def stalled(self, now: float) -> bool:
        """Return whether the limit has passed since the last progress."""
        if self._last is None:
            self._last = now
        return now - self._last >= self.limit_s
