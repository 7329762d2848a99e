"""Orders to move a service to a new version, their rows, and the counts of answers."""

import enum
import math
from collections.abc import Mapping

import attrs

from acaciarelay.state.store_era import StoreVersion

__all__ = [
    "EMPTY_COUNTS",
    "MAX_ROLLOUT_S",
    "OTHER_ROUTES",
    "TIME_BUCKETS",
    "BucketCounts",
    "CoordinatorRow",
    "EngineTimes",
    "EntryCounts",
    "LifetimeCounts",
    "Phase",
    "RolloutOrder",
    "RolloutState",
    "RolloutStatus",
    "RouteCounts",
    "Verdict",
    "VersionCounts",
    "time_bucket",
]

# Longest duration of an order; a longer one is taken for a mistake.
MAX_ROLLOUT_S = 86_400.0
# Answer times are counted by buckets whose bounds are a factor of 2 ** (1 / 4) apart.
# The first bucket ends at 2 ** (1 / 4) ms, the last one begins at 55 s.
BUCKETS_PER_OCTAVE = 4
TIME_BUCKETS = 64
# Name under which the answers of all routes beyond the cap are counted.
OTHER_ROUTES = "*"

# Sorted pairs of the number of a bucket and its count; empty buckets are left out.
BucketCounts = tuple[tuple[int, int], ...]


class RolloutState(enum.StrEnum):
    """State of an order, as in its status row."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"

    @property
    def is_end(self) -> bool:
        return self is not RolloutState.RUNNING


class Phase(enum.IntEnum):
    """What an entry may send to the engines of the new version.

    ``NONE``: nothing. ``SHARE``: the limited share. ``FULL``: all requests, and none to
    the old engines. ``ENDED``: as the end state of the order says.
    """

    NONE = 0
    SHARE = 1
    FULL = 2
    ENDED = 3


class Verdict(enum.Enum):
    """Finding about the new version."""

    UNDECIDED = enum.auto()
    GOOD = enum.auto()
    BAD = enum.auto()


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """Operator's order to move a service to a version within a time.

    ``revision`` is the version of the order's row, which identifies the order.
    ``duration_s`` is 0 if it is unreadable.
    """

    service: str
    version: str
    duration_s: float
    revision: StoreVersion

    @property
    def has_duration(self) -> bool:
        """Whether the duration is usable."""
        return 0.0 < self.duration_s <= MAX_ROLLOUT_S

    def repeats(self, other: "RolloutOrder") -> bool:
        """Return whether both orders ask for the same."""
        return (
            self.service == other.service
            and self.version == other.version
            and self.duration_s == other.duration_s
        )


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """Status row of a service; the coordinator's row names the order that it is of."""

    state: RolloutState
    version: str


@attrs.frozen(kw_only=True)
class RouteCounts:
    """Answers of one route by engines of one version, cumulative.

    ``requests`` counts the answers that have ended, ``failures`` those of them that
    failed, and ``times`` the others by ``time_bucket``. ``running`` is not cumulative:
    the requests that run now, by the bucket of the time since they were sent.
    """

    requests: int = 0
    failures: int = 0
    times: BucketCounts = ()
    running: BucketCounts = ()


# Counts by route name.
VersionCounts = Mapping[str, RouteCounts]
EMPTY_COUNTS: VersionCounts = {}


@attrs.frozen(kw_only=True)
class EngineTimes:
    """Requests sent to one engine, and its whole answers, cumulative.

    ``excess`` is the sum over the answers of the number of the bucket of their time,
    above the mean of the old engines' answers of their route at the same entry.
    """

    engine: str
    new: bool
    requests: int
    answers: int
    excess: float


@attrs.frozen(kw_only=True)
class EntryCounts:
    """Counts of one lifetime of an entry since it learned of an order.

    Of two with the same entry, lifetime and order, the one with the higher ``number``
    replaces the other. ``epoch`` and ``phase`` are those of the permission that the
    entry follows, and ``old_running`` is the number of its requests at old engines.
    """

    entry: str
    lifetime: str
    order: StoreVersion
    number: int
    epoch: int
    phase: Phase
    old_running: int
    old: VersionCounts = EMPTY_COUNTS
    new: VersionCounts = EMPTY_COUNTS
    engines: tuple[EngineTimes, ...] = ()


@attrs.frozen(kw_only=True)
class LifetimeCounts:
    """Totals of one lifetime of an entry, as kept in the coordinator's row."""

    entry: str
    lifetime: str
    old_requests: int
    old_failures: int
    new_requests: int
    new_failures: int


@attrs.frozen(kw_only=True)
class CoordinatorRow:
    """Lease of the coordinator of an order, in table ``rollouts``.

    ``holder`` names one lifetime of an entry. ``since_ms`` is the Unix time in
    milliseconds at which the order was first seen. ``phase`` is the permission that the
    row gives; it is ``ENDED`` once the status row holds the end state. ``lease_s`` is
    the time in seconds without a change after which another entry may take the row.
    """

    order: StoreVersion
    epoch: int
    holder: str
    lease_s: float
    phase: Phase
    since_ms: int
    counts: tuple[LifetimeCounts, ...] = ()


def time_bucket(taken_s: float) -> int:
    """Return the bucket of a time in seconds."""
    taken_ms = min(taken_s, 1e6) * 1000.0
    if not taken_ms > 1.0:
        return 0
    return min(TIME_BUCKETS - 1, int(math.log2(taken_ms) * BUCKETS_PER_OCTAVE))
