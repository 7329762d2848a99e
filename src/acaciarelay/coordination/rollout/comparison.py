"""Sequential test of a new version against the old one."""

from acaciarelay.state.rollout import EntryCounts, LifetimeCounts, Verdict

__all__ = ["VersionComparison"]


class VersionComparison:
    """Compare the answers of two versions over the same seconds and by route."""

    def __init__(self, duration_s: float) -> None:
        raise NotImplementedError

    def observe(self, counts: EntryCounts, now: float) -> None:
        """Take the counts of an entry; older ones of its lifetime are replaced."""
        raise NotImplementedError

    def restore(self, counts: tuple[LifetimeCounts, ...]) -> None:
        """Take the totals of lifetimes that a former coordinator has kept."""
        raise NotImplementedError

    def totals(self) -> tuple[LifetimeCounts, ...]:
        """Return the totals by lifetime, for the coordinator's row."""
        raise NotImplementedError

    def verdict(self, now: float) -> Verdict:
        """Return the finding; ``BAD`` is final."""
        raise NotImplementedError
