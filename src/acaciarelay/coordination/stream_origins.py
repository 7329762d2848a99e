"""Which software version the streams of recent requests belong to."""

import collections

import attrs

__all__ = ["MAX_ORIGINS", "StreamOrigin", "StreamOrigins"]

# Requests that are remembered; the oldest are forgotten first.
MAX_ORIGINS = 4096
# Longest time for which a request is remembered, in seconds.
MAX_KEPT_S = 120.0


@attrs.frozen
class StreamOrigin:
    """The version to which a request was sent by its attempt of this number."""

    version: str
    attempt: int


@attrs.frozen
class _Kept:
    origin: StreamOrigin
    until: float


class StreamOrigins:
    """Remember where requests were sent, for a bounded time and number of them.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self.kept: collections.OrderedDict[str, _Kept] = collections.OrderedDict()

    def record(
        self, request: str, origin: StreamOrigin, kept_s: float, now: float
    ) -> None:
        """Remember an attempt of a request, in place of an earlier one."""
        known = self.find(request, now)
        if known is not None and known.attempt > origin.attempt:
            return
        self.kept.pop(request, None)
        self.kept[request] = _Kept(origin, now + min(kept_s, MAX_KEPT_S))
        self._forget(now)

    def find(self, request: str, now: float) -> StreamOrigin | None:
        """Return the last known attempt of a request."""
        kept = self.kept.get(request)
        if kept is None or now >= kept.until:
            return None
        return kept.origin

    def _forget(self, now: float) -> None:
        while self.kept:
            oldest = next(iter(self.kept.values()))
            if len(self.kept) <= MAX_ORIGINS and now < oldest.until:
                return
            self.kept.popitem(last=False)
