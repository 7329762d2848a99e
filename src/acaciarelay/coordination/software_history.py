"""Which software versions have served in each service, and since when that is known."""

import math
from collections.abc import Iterable

from acaciarelay.state.endpoints import Endpoint

__all__ = ["SoftwareHistory"]

# Longest time from the first event of a stream to its resumption, in seconds, where
# the time limits of its route are not longer.
STREAM_LIFE_S = 20.0
# How long a version is remembered after its last endpoint has left, in seconds.
MAX_REMEMBERED_S = 120.0
# Versions that are remembered after their last endpoint has left.
MAX_FORMER = 1024


class SoftwareHistory:
    """Follow the list of endpoints; all times are monotonic, in seconds."""

    def __init__(self) -> None:
        self.followed_since = math.inf
        # Service and version of the listed endpoints, and of former ones with the time
        # at which they were last listed.
        self.listed: set[tuple[str, str]] = set()
        self.former: dict[tuple[str, str], float] = {}

    def begin(self, now: float) -> None:
        """Begin anew, as versions may have come and gone unseen."""
        self.followed_since = now

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Take over the endpoints that are listed now."""
        listed = {(endpoint.service, endpoint.version) for endpoint in endpoints}
        for key in self.listed - listed:
            self.former[key] = now
        self.listed = listed
        for key, last_at in list(self.former.items()):
            if now - last_at >= MAX_REMEMBERED_S:
                del self.former[key]
        while len(self.former) > MAX_FORMER:
            # A version that is forgotten might be the other one of its service.
            self.former.pop(next(iter(self.former)))
            self.begin(now)

    def only_version(
        self, service: str, stream_life_s: float, now: float
    ) -> str | None:
        """Return the version of all streams that can be resumed, if there is one only.

        ``None`` if the list was not followed for as long as a stream lives.
        """
        life_s = min(MAX_REMEMBERED_S, max(STREAM_LIFE_S, stream_life_s))
        if now - self.followed_since < life_s:
            return None
        versions = {version for name, version in self.listed if name == service}
        for (name, version), last_at in self.former.items():
            if name == service and now - last_at < life_s:
                versions.add(version)
        return versions.pop() if len(versions) == 1 else None
