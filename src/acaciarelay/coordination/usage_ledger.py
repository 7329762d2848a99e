"""Organisations' rate limits, kept by a ledger that all processes tell each other.

Each process counts what it admitted and hears the counts of its peers, so that each
knows the level of the one bucket that all share, as of the last message. Between two
messages a process takes no more than its part of that level. While peers are out of
reach, a process refills the bucket at its group's part of the rate only, since the
other side of a cut does the same.
"""

import collections
import math

import attrs

from acaciarelay.coordination.rounding import coarse
from acaciarelay.state.routing import Organisation

__all__ = ["UsageLedger", "UsageTolerance"]

# Time constant over which demand is averaged.
DEMAND_S = 1.5
# Ratio of two neighbouring demands that are told.
DEMAND_STEP = 1.25
# How long a lost peer's part of the rate stays reserved: it may live behind a cut, and
# what it admitted before counts until the window has passed.
LOST_RESERVE_S = 20.0
# A peer that was silent for this long refilled its own part meanwhile.
SILENT_S = 1.0
# Part of the tolerated excess that is used; the rest covers what several processes
# admit at the same moment.
USED_PART = 0.5
# A process may take this many times its part of the level in a round, after which all
# peers know what it took.
PART_MARGIN = 1.25
# Time between two messages of a process to its peers: it grows with their number, so
# that the messages of one process grow less than that.
LEAST_MESSAGE_S = 0.2
MESSAGE_S_PER_PROCESS = 0.016
MOST_MESSAGE_S = 0.8
# Messages that a round lasts, so that one surely falls into it.
ROUND_MESSAGES = 1.25
# Above this part of a full bucket the first request of a round is admitted whatever the
# process's part of the level is. Below, it must save credit for it, since as many
# processes as there are may do the same.
PLENTY_PART = 0.5
# What earlier lifetimes left in a bucket at least: the refill in the time that a start
# takes, and a part of the tolerated excess, which starts in one window add up to.
START_S = 0.5
START_PART = 0.1
# Amounts that are remembered of an organisation that has not called here yet.
MAX_UNSEEN = 200
# An organisation without a stated burst may use this many seconds of its rate at once.
DEFAULT_BURST_S = 1.0


@attrs.define(eq=False)
class _Bucket:
    """Hold the common bucket of one organisation as known here.

    ``admitted`` is the total that this process admitted since its start. ``taken`` is
    what it took since ``round_at``, when the level was ``shown``; peers know of all
    that was taken before. ``told`` is the demand at that time, about what peers were
    told. ``credit`` is this process's part of the rate that it has not used, at most
    ``wanted``.
    """

    level: float
    updated_at: float
    admitted: float = 0.0
    taken: float = 0.0
    shown: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    told: float = 0.0
    round_at: float = -math.inf
    credit: float = 0.0
    wanted: float = 0.0


_Unseen = collections.deque[tuple[float, float]]


@attrs.define(eq=False)
class _Peer:
    lifetime: str
    totals: dict[str, float]
    demand: dict[str, float]
    heard_at: float
    lost_at: float | None = None


@attrs.frozen(kw_only=True)
class UsageTolerance:
    """Hold by how much all processes together may exceed a limit in a window.

    ``excess`` is a part of what the limit allows, ``slack`` a number of tokens.
    """

    window_s: float
    excess: float
    slack: float

    def tokens(self, rate: float, burst: float) -> float:
        """Return the tolerated excess over one window."""
        return self.excess * (rate * self.window_s + burst) + self.slack


class UsageLedger:
    """Admit requests against limits that all processes share.

    A bucket starts nearly empty unless ``first_start``: earlier lifetimes of all
    processes may have spent it.
    """

    def __init__(
        self, tolerance: UsageTolerance, first_start: bool, started_at: float
    ) -> None:
        self.tolerance = tolerance
        self.first_start = first_start
        self.started_at = started_at
        # Other processes known to exist, whether they were heard of or not.
        self.known_peers = 0
        self._buckets: dict[str, _Bucket] = {}
        # What peers took from buckets that were not used here yet, and when.
        self._unseen: dict[str, _Unseen] = {}
        self._peers: dict[str, _Peer] = {}

    # What peers say.

    def hear(
        self,
        name: str,
        lifetime: str,
        age_s: float,
        totals: dict[str, float],
        demand: dict[str, float],
        now: float,
    ) -> None:
        """Take a peer's totals; ``age_s`` is how long its process has run."""
        peer = self._peers.get(name)
        known: dict[str, float] | None = None
        if peer is not None and peer.lifetime == lifetime:
            # What it admitted in a silence came from its own part of the rate.
            known = peer.totals if now - peer.heard_at < SILENT_S else totals
        elif age_s > now - self.started_at:
            known = totals
        for organisation, total in totals.items():
            before = known.get(organisation, 0.0) if known is not None else 0.0
            bucket = self._buckets.get(organisation)
            if bucket is not None:
                bucket.level -= total - before
            elif total != before:
                unseen = self._unseen.setdefault(
                    organisation, _Unseen(maxlen=MAX_UNSEEN)
                )
                unseen.append((now, total - before))
        self._peers[name] = _Peer(lifetime, totals, demand, now)

    def lose(self, name: str, now: float) -> None:
        """Note that a peer is out of reach."""
        peer = self._peers.get(name)
        if peer is not None and peer.lost_at is None:
            peer.lost_at = now

    def totals(self) -> dict[str, float]:
        """Return what this process admitted by organisation, in tokens."""
        return {
            name: float(round(bucket.admitted))
            for name, bucket in self._buckets.items()
        }

    def demand(self, now: float) -> dict[str, float]:
        """Return what callers ask of this process, in tokens a second."""
        result = {}
        for name, bucket in self._buckets.items():
            demand = _decayed(bucket, now)
            if demand > 1.0:
                result[name] = coarse(demand, DEMAND_STEP)
        return result

    # Decisions.

    def admit(self, organisation: Organisation, cost: float, now: float) -> float:
        """Charge a request and return 0, or return the seconds until it fits."""
        rate = organisation.rate_per_s
        if rate <= 0:
            return 0.0
        burst = organisation.burst or rate * DEFAULT_BURST_S
        burst += self.tolerance.tokens(rate, burst) * USED_PART
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            level = self._first_level(organisation.name, rate, burst, now)
            bucket = _Bucket(level, now, shown=level)
            self._buckets[organisation.name] = bucket
        bucket.demand = _decayed(bucket, now) + cost / DEMAND_S
        bucket.demand_at = now
        self._refill(organisation.name, bucket, rate, burst, now)
        missing = min(cost, burst) - bucket.level
        if missing <= 0 and not self._within_part(organisation.name, bucket, cost):
            if bucket.level < burst * PLENTY_PART and bucket.credit < cost:
                missing = cost - bucket.credit
                bucket.wanted = max(bucket.wanted, cost)
            elif bucket.taken > 0:
                missing = cost
        if missing > 0:
            return missing / rate
        bucket.level -= cost
        bucket.taken += cost
        bucket.admitted += cost
        bucket.credit = max(0.0, bucket.credit - cost)
        return 0.0

    def _first_level(self, name: str, rate: float, burst: float, now: float) -> float:
        """Return the level of a bucket that is used here for the first time."""
        level = burst
        if not self.first_start:
            tolerated = self.tolerance.tokens(rate, burst)
            level = min(burst, START_S * rate + START_PART * tolerated)
        at = self.started_at
        for heard_at, taken in self._unseen.pop(name, ()):
            level = min(burst, level + rate * (heard_at - at)) - taken
            at = heard_at
        return min(burst, level + rate * (now - at))

    def _within_part(self, name: str, bucket: _Bucket, cost: float) -> bool:
        """Return whether a request fits into this process's part of the level."""
        part = min(1.0, self._part(name, bucket) * PART_MARGIN)
        return bucket.taken + cost <= max(0.0, bucket.shown) * part

    def refund(self, organisation: Organisation, cost: float) -> None:
        """Give back the charge of a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return
        bucket.level += cost
        bucket.admitted -= cost
        bucket.taken = max(0.0, bucket.taken - cost)

    def _refill(
        self, name: str, bucket: _Bucket, rate: float, burst: float, now: float
    ) -> None:
        added = max(0.0, now - bucket.updated_at) * rate * self.group_part(now)
        bucket.shown += added
        bucket.level = min(burst, bucket.level + added)
        bucket.updated_at = now
        part = min(1.0, self._part(name, bucket) * PART_MARGIN)
        bucket.credit = min(bucket.wanted, bucket.credit + added * part)
        if now - bucket.round_at >= self.message_interval_s * ROUND_MESSAGES:
            bucket.round_at = now
            bucket.taken = 0.0
            bucket.shown = bucket.level
            bucket.told = bucket.demand

    def _part(self, name: str, bucket: _Bucket) -> float:
        """Return this process's part of the demand, an equal part at least.

        It compares what processes told each other, since a demand that rises
        everywhere at once would seem to rise only here.
        """
        others = sum(peer.demand.get(name, 0.0) for peer in self._peers.values())
        total = bucket.told + others
        by_demand = bucket.told / total if total > 0 else 0.0
        # A process that was not heard of yet may have as much demand as this one.
        by_demand *= (1 + len(self._peers)) / self.processes
        return max(by_demand, 1.0 / self.processes)

    def group_part(self, now: float) -> float:
        """Return the part of all processes that this one can reach."""
        alive = 0
        for name, peer in list(self._peers.items()):
            if peer.lost_at is None:
                alive += 1
            elif now - peer.lost_at > LOST_RESERVE_S:
                del self._peers[name]
        return (1 + alive) / self.processes

    @property
    def processes(self) -> int:
        """Return how many processes share the limits."""
        return 1 + max(self.known_peers, len(self._peers))

    @property
    def message_interval_s(self) -> float:
        """Return the seconds between two messages of a process to its peers."""
        interval_s = MESSAGE_S_PER_PROCESS * self.processes
        return min(MOST_MESSAGE_S, max(LEAST_MESSAGE_S, interval_s))

    def explain(self, name: str, now: float) -> dict[str, float]:
        """Return what the last decision on an organisation rested on, for logs."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return {}
        oldest = min((peer.heard_at for peer in self._peers.values()), default=now)
        return {
            "level": round(bucket.level, 1),
            "taken": round(bucket.taken, 1),
            "demand": round(bucket.demand, 1),
            "group_part": round(self.group_part(now), 3),
            "oldest_peer_s": round(now - oldest, 3),
        }


def _decayed(bucket: _Bucket, now: float) -> float:
    elapsed = max(0.0, now - bucket.demand_at)
    return bucket.demand * math.exp(-elapsed / DEMAND_S)
