"""Which software version the streams of recent requests began at."""

import collections

import attrs

__all__ = ["MAX_ORIGINS", "StreamOrigins"]

# Requests that are remembered; the oldest are forgotten first.
MAX_ORIGINS = 4096
# Longest time for which a request is remembered, in seconds.
MAX_KEPT_S = 120.0


@attrs.frozen
class _Origin:
    """The versions whose first event came; more than one if an id was used twice."""

    versions: frozenset[str]
    until: float


class StreamOrigins:
    """Remember where streams began, for a bounded time and number of them.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self.kept: collections.OrderedDict[str, _Origin] = collections.OrderedDict()

    def record(self, request: str, version: str, kept_s: float, now: float) -> None:
        """Remember that a request's first event came from an endpoint of a version."""
        versions = self.find(request, now) | {version}
        until = now + min(kept_s, MAX_KEPT_S)
        self.kept.pop(request, None)
        self.kept[request] = _Origin(versions, until)
        self._forget(now)

    def find(self, request: str, now: float) -> frozenset[str]:
        """Return the versions of a request's first event, empty if it is not known."""
        origin = self.kept.get(request)
        if origin is None or now >= origin.until:
            return frozenset()
        return origin.versions

    def _forget(self, now: float) -> None:
        while self.kept:
            oldest = next(iter(self.kept.values()))
            if len(self.kept) <= MAX_ORIGINS and now < oldest.until:
                return
            self.kept.popitem(last=False)
