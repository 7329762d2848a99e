"""The last times of many keys, in bounded memory."""

from collections.abc import Iterable

__all__ = ["RecentTimes"]


class RecentTimes:
    """Remember for ``max_keys`` keys or more when each of them was last updated.

    What was not updated for longest is forgotten first, together with others. Keys are
    kept in two generations, so that many of them are updated at once in little time.
    """

    def __init__(self, max_keys: int) -> None:
        self.max_keys = max_keys
        self.recent: dict[int, float] = {}
        self.older: dict[int, float] = {}

    def update(self, keys: Iterable[int], at: float) -> None:
        """Set the time of some keys, which must not be before their last one."""
        self.recent.update(dict.fromkeys(keys, at))
        if len(self.recent) > self.max_keys:
            self.older = self.recent
            self.recent = {}

    def get(self, key: int, default: float) -> float:
        """Return the time of a key, or the default if it is unknown."""
        at = self.recent.get(key)
        return at if at is not None else self.older.get(key, default)

    def __contains__(self, key: int) -> bool:
        return key in self.recent or key in self.older

    def __len__(self) -> int:
        return len(self.recent.keys() | self.older.keys())
