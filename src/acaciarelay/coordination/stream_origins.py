"""Which software version the streams of recent requests began at."""

import collections

import attrs

__all__ = ["MAX_ORIGINS", "StreamOrigin", "StreamOrigins"]

# Requests that are remembered; the oldest are forgotten first.
MAX_ORIGINS = 4096
# Longest time for which a request is remembered, in seconds.
MAX_KEPT_S = 120.0


@attrs.frozen
class StreamOrigin:
    """Where a stream began.

    ``versions`` are those whose first event came, several if a request's id was used
    twice. ``foreign`` is true once events of the stream turned out to be no part
    of it, so that it can't be resumed.
    """

    versions: frozenset[str]
    foreign: bool = False

    @property
    def version(self) -> str | None:
        """Return the version at which the stream may go on, if one is sure."""
        if self.foreign or len(self.versions) != 1:
            return None
        return next(iter(self.versions))

    def joined(self, other: "StreamOrigin") -> "StreamOrigin":
        """Return what both say of one request."""
        return StreamOrigin(
            self.versions | other.versions, self.foreign or other.foreign
        )


@attrs.frozen
class _Kept:
    origin: StreamOrigin
    until: float


class StreamOrigins:
    """Remember where streams began, for a bounded time and number of them.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self.kept: collections.OrderedDict[str, _Kept] = collections.OrderedDict()

    def record(
        self, request: str, origin: StreamOrigin, kept_s: float, now: float
    ) -> None:
        """Remember where a request's first event came from, beside what is known."""
        known = self.find(request, now)
        if known is not None:
            origin = known.joined(origin)
        self.kept.pop(request, None)
        self.kept[request] = _Kept(origin, now + min(kept_s, MAX_KEPT_S))
        self._forget(now)

    def find(self, request: str, now: float) -> StreamOrigin | None:
        """Return where a request's stream began, ``None`` if it is not known."""
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
