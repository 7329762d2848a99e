"""Organisations' rate limits, kept by a ledger that all processes tell each other.

Each process counts what it admitted and hears the counts of its peers, so that each
knows the level of the one bucket that all share, as of the last message. Between two
messages a process takes no more than its part of that level. While peers are out of
reach, a process refills the bucket at its group's part of the rate only, since the
other side of a cut does the same.
"""

import math

import attrs

from acaciarelay.state.routing import Organisation

__all__ = ["UsageLedger", "UsageTolerance"]

# Time constant over which demand is averaged.
DEMAND_S = 1.5
# How long a lost peer's part of the rate stays reserved: it may live behind a cut, and
# what it admitted before counts until the window has passed.
LOST_RESERVE_S = 20.0
# A peer that was silent for this long refilled its own part meanwhile.
SILENT_S = 1.0
# Part of the tolerated excess that is used; the rest covers what several processes
# admit at the same moment.
USED_PART = 0.5
# A process may take this many times its part of the level between two messages.
PART_MARGIN = 1.25
# An organisation without a stated burst may use this many seconds of its rate at once.
DEFAULT_BURST_S = 1.0


@attrs.define(eq=False)
class _Bucket:
    """Hold the common bucket of one organisation as known here.

    ``admitted`` is the total that this process admitted since its start; ``taken`` is
    what it took since the last message of a peer, from ``shown``, the level then.
    """

    level: float
    updated_at: float
    admitted: float = 0.0
    taken: float = 0.0
    shown: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0


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

    A bucket starts empty unless ``first_start``: an earlier lifetime of this process
    may have spent it.
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
            if bucket is None:
                continue
            bucket.level -= total - before
        self._peers[name] = _Peer(lifetime, totals, demand, now)
        for bucket in self._buckets.values():
            bucket.taken = 0.0
            bucket.shown = bucket.level

    def lose(self, name: str, now: float) -> None:
        """Note that a peer is out of reach."""
        peer = self._peers.get(name)
        if peer is not None and peer.lost_at is None:
            peer.lost_at = now

    def totals(self) -> dict[str, float]:
        """Return what this process admitted by organisation, in tokens."""
        return {
            name: round(bucket.admitted, 1) for name, bucket in self._buckets.items()
        }

    def demand(self, now: float) -> dict[str, float]:
        """Return what callers ask of this process, in tokens a second."""
        result = {}
        for name, bucket in self._buckets.items():
            demand = _decayed(bucket, now)
            if demand > 1.0:
                result[name] = _coarse(demand)
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
            level = burst if self.first_start else 0.0
            bucket = _Bucket(level, now, shown=level)
            self._buckets[organisation.name] = bucket
        bucket.demand = _decayed(bucket, now) + cost / DEMAND_S
        bucket.demand_at = now
        self._refill(bucket, rate * self.group_part(now), burst, now)
        missing = min(cost, burst) - bucket.level
        if missing <= 0 and bucket.taken > 0:
            part = self._part(organisation.name, bucket, now) * PART_MARGIN
            missing = bucket.taken + cost - max(0.0, bucket.shown) * min(1.0, part)
        if missing > 0:
            return missing / rate
        bucket.level -= cost
        bucket.taken += cost
        bucket.admitted += cost
        return 0.0

    def refund(self, organisation: Organisation, cost: float) -> None:
        """Give back the charge of a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return
        bucket.level += cost
        bucket.admitted -= cost

    def _refill(self, bucket: _Bucket, rate: float, burst: float, now: float) -> None:
        added = max(0.0, now - bucket.updated_at) * rate
        bucket.shown += added
        bucket.level = min(burst, bucket.level + added)
        bucket.updated_at = now

    def _part(self, name: str, bucket: _Bucket, now: float) -> float:
        """Return this process's part of the demand, an equal part at least.

        A process that was not heard of yet may have as much demand as this one.
        """
        own = _decayed(bucket, now)
        others = sum(peer.demand.get(name, 0.0) for peer in self._peers.values())
        by_demand = own / (own + others) if own + others > 0 else 0.0
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


def _coarse(value: float) -> float:
    """Round to two digits, so that a small change need not be told."""
    return float(f"{value:.1e}")
