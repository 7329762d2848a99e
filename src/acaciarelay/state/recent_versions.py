"""When the last versions of a table became known."""

import collections

from acaciarelay.state.store_era import NO_VERSION, StoreVersion

__all__ = ["RecentVersions"]

# Changes whose times are remembered, and how exactly, in seconds.
MAX_CHANGES = 64
RESOLUTION_S = 0.05


class RecentVersions:
    """Remember the changes of a table; all times are monotonic, in seconds."""

    def __init__(self) -> None:
        self.changes: collections.deque[tuple[float, StoreVersion]] = collections.deque(
            maxlen=MAX_CHANGES
        )

    def record(self, version: StoreVersion, now: float) -> None:
        """Remember that a change became known, and the table's version with it."""
        at = now
        if self.changes and now - self.changes[-1][0] < RESOLUTION_S:
            at, _ = self.changes.pop()
        self.changes.append((at, version))

    def known_for(self, seconds: float, now: float) -> StoreVersion:
        """Return the newest version that was known for some time."""
        known = NO_VERSION
        for at, version in self.changes:
            if now - at >= seconds:
                known = version
        return known
