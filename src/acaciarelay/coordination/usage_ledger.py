"""Token-bucket rate limits of organisations, shared by all processes.

Each process counts the tokens that it admitted and receives the counts of its peers, so
it knows the level of the one shared bucket as of the last message. Between two messages
a process uses no more than its share of that level. While peers are unreachable, a
process has only its partition's share of the level, the burst and the rate, since the
other side of a network partition uses the rest.
"""

import collections
import math

import attrs

from acaciarelay.coordination.rounding import round_to_power
from acaciarelay.state.routing import Organisation

__all__ = ["UsageLedger", "UsageTolerance"]

# Time constant over which demand is averaged.
DEMAND_WINDOW_S = 1.5
# Ratio of neighbouring values to which the demand sent to peers is rounded. Demand
# decays between requests, and each new value is a part of a message to all peers.
DEMAND_STEP_RATIO = 2.0
# Demand below this fraction of an equal share of the rate is sent as none: a process's
# share of a limit is never below an equal one.
MIN_DEMAND_SHARE = 0.25
# Least time for which other processes leave the share of a lost peer unused once it is
# not among the known ones any more. The tokens that it admitted count against the limit
# until the usage window has passed.
LOST_PEER_RESERVE_S = 20.0
# Share of the tolerated excess that is used; the rest covers what several processes
# admit at the same moment.
USED_EXCESS_SHARE = 0.5
# A process may use this multiple of its share of the bucket's level in each round. By
# the end of the round all peers know what it used.
SHARE_MARGIN = 1.25
# The same while the bucket is at least half full and has been known for a window. What
# is used beyond the level then was left by the rounds before, so that the limit holds
# over a window.
HIGH_LEVEL_MARGIN = 2.0
# Time between two messages of a process to its peers. It grows with their number, so
# that the number of messages that a process sends grows more slowly.
MIN_MESSAGE_INTERVAL_S = 0.2
MESSAGE_INTERVAL_S_PER_PROCESS = 0.016
MAX_MESSAGE_INTERVAL_S = 0.8
# Message intervals in a round, so that at least one message falls into each round.
ROUND_INTERVALS = 1.25
# Above this share of a full bucket the first request of a round is admitted whatever
# the process's share of the level is. Below it the process must save credit for the
# request, since all other processes may admit one at the same time.
HIGH_LEVEL_SHARE = 0.5
# Initial level of a bucket after a restart, since the process may have used the rest
# before: the refill during the time that a start takes, and a share of the tolerated
# excess. The share is small because each start within a window adds it again.
START_REFILL_S = 0.5
START_EXCESS_SHARE = 0.1
# Usage reports that are kept for an organisation without a bucket in this process.
MAX_PENDING_USAGE = 200
# Tolerated rounding error, so that a full bucket admits a request larger than it.
ROUNDING_TOKENS = 1e-3
# Default burst of an organisation, as the time in which its rate refills it.
DEFAULT_SHARED_BURST_S = 1.0


@attrs.define(eq=False)
class _Bucket:
    """A partition's share of the bucket of one organisation, as known in this process.

    Amounts are in tokens, ``rate`` and demands in tokens per second, times in monotonic
    seconds. ``rate`` and ``burst`` are those of the whole bucket; ``capacity`` is the
    highest level that the partition's share can have. ``withheld`` is the part of
    ``start_level`` that is left to processes without a message so far. ``linked`` is
    the part of the other ones that was reachable at the last refill.
    ``admitted`` is the total that this process admitted since its start. The current
    round started at ``round_at``. ``round_level`` is the level at that time plus later
    refills, ``round_demand`` the demand at that time, which is close to the value last
    sent to peers. ``used`` is what this process admitted in the round, which peers may
    not know yet. ``credit`` is the part of its share of the refill that this process
    has saved for a large request, up to ``credit_target``.
    """

    level: float
    updated_at: float
    start_level: float
    rate: float = 0.0
    burst: float = 0.0
    capacity: float = 0.0
    withheld: float = 0.0
    linked: float = 1.0
    admitted: float = 0.0
    used: float = 0.0
    round_level: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    round_demand: float = 0.0
    round_at: float = -math.inf
    credit: float = 0.0
    credit_target: float = 0.0


_PendingUsage = collections.deque[tuple[float, float]]


@attrs.define(eq=False)
class _Peer:
    incarnation: str
    totals: dict[str, float]
    demand: dict[str, float]
    received_at: float
    lost_at: float | None = None


@attrs.frozen(kw_only=True)
class UsageTolerance:
    """How far all processes together may exceed a limit within a window.

    ``excess_fraction`` is a fraction of what the limit allows in a window: the burst
    and the refill. ``slack_tokens`` is added to it.
    """

    window_s: float
    excess_fraction: float
    slack_tokens: float

    def tokens(self, rate: float, burst: float) -> float:
        """Return the tolerated excess over one window."""
        return self.excess_fraction * (rate * self.window_s + burst) + self.slack_tokens


class UsageLedger:
    """Admit requests against rate limits that all processes share.

    A bucket starts nearly empty unless ``first_start`` is set, since the processes may
    have used it up before they restarted.
    """

    def __init__(
        self, tolerance: UsageTolerance, first_start: bool, started_at: float
    ) -> None:
        self.tolerance = tolerance
        self.first_start = first_start
        self.started_at = started_at
        # Number of other processes known to exist, whether or not a message came from
        # them.
        self.known_peer_count = 0
        self._buckets: dict[str, _Bucket] = {}
        # Times and tokens of what peers used, for organisations without a bucket here.
        self._pending_usage: dict[str, _PendingUsage] = {}
        self._peers: dict[str, _Peer] = {}
        # Incarnations of peers that were lost and removed.
        self._removed_incarnations: dict[str, str] = {}
        # Time of the end of this process's last pause.
        self._resumed_at = -math.inf

    # Usage exchanged with peers.

    def merge_peer_totals(
        self,
        name: str,
        incarnation: str,
        age_s: float,
        totals: dict[str, float],
        demand: dict[str, float],
        now: float,
    ) -> None:
        """Charge what a peer admitted since its last totals.

        ``age_s`` is the time since the peer started. The first totals of a peer that
        started before this process are not charged and only set the baseline; those of
        a peer that started later are charged in full.
        """
        peer = self._peers.get(name)
        removed_incarnation = self._removed_incarnations.pop(name, None)
        previous: dict[str, float] | None = None
        if peer is not None and peer.incarnation == incarnation:
            # What a peer admitted while it was lost came from its own share of the
            # rate. While this process was paused, its buckets were not refilled.
            unheard = peer.lost_at is not None or peer.received_at < self._resumed_at
            previous = totals if unheard else peer.totals
        elif removed_incarnation == incarnation:
            previous = totals
        elif age_s > now - self.started_at:
            previous = totals
        for organisation, total in totals.items():
            before = previous.get(organisation, 0.0) if previous is not None else 0.0
            bucket = self._buckets.get(organisation)
            if bucket is not None:
                bucket.level -= total - before
            elif total != before:
                pending = self._pending_usage.setdefault(
                    organisation, _PendingUsage(maxlen=MAX_PENDING_USAGE)
                )
                pending.append((now, total - before))
        self._peers[name] = _Peer(incarnation, totals, demand, now)

    def mark_peer_lost(self, name: str, now: float) -> None:
        """Record that a peer is unreachable."""
        peer = self._peers.get(name)
        if peer is not None and peer.lost_at is None:
            peer.lost_at = now

    def totals(self) -> dict[str, float]:
        """Return the tokens that this process admitted, by organisation."""
        return {
            name: float(round(bucket.admitted))
            for name, bucket in self._buckets.items()
        }

    def demand(self, now: float) -> dict[str, float]:
        """Return the tokens per second that callers request here, by organisation."""
        result = {}
        for name, bucket in self._buckets.items():
            demand = _decayed_demand(bucket, now)
            if demand > max(1.0, MIN_DEMAND_SHARE * bucket.rate / self.process_count):
                result[name] = round_to_power(demand, DEMAND_STEP_RATIO)
        return result

    # Admission.

    def admit(self, organisation: Organisation, cost: float, now: float) -> float:
        """Charge a request and return 0, or return the seconds until it fits."""
        rate = organisation.rate_per_s
        if rate <= 0:
            return 0.0
        burst = organisation.burst or rate * DEFAULT_SHARED_BURST_S
        burst += self.tolerance.tokens(rate, burst) * USED_EXCESS_SHARE
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            start_level = self._start_level(rate, burst)
            level = self._level_since_start(
                organisation.name, start_level, rate, burst, now
            )
            bucket = _Bucket(level, now, start_level, round_level=level)
            self._buckets[organisation.name] = bucket
        bucket.rate = rate
        bucket.burst = burst
        bucket.demand = _decayed_demand(bucket, now) + cost / DEMAND_WINDOW_S
        bucket.demand_at = now
        self._refill(organisation.name, bucket, now)
        missing = min(cost, bucket.capacity) - bucket.level
        high = bucket.level >= bucket.capacity * HIGH_LEVEL_SHARE
        known_for_a_window = now - self.started_at >= self.tolerance.window_s
        margin = HIGH_LEVEL_MARGIN if high and known_for_a_window else SHARE_MARGIN
        fits = missing <= ROUNDING_TOKENS
        if fits and not self._within_share(organisation.name, bucket, cost, margin):
            if not high and bucket.credit < cost:
                missing = cost - bucket.credit
                bucket.credit_target = max(bucket.credit_target, cost)
            elif bucket.used > 0:
                missing = cost
        if missing > ROUNDING_TOKENS:
            return missing / rate
        bucket.level -= cost
        bucket.used += cost
        bucket.admitted += cost
        bucket.credit = max(0.0, bucket.credit - cost)
        return 0.0

    def _start_level(self, rate: float, burst: float) -> float:
        """Return the level of the whole bucket when this process started."""
        if self.first_start:
            return burst
        tolerated = self.tolerance.tokens(rate, burst)
        return min(burst, START_REFILL_S * rate + START_EXCESS_SHARE * tolerated)

    def _level_since_start(
        self, name: str, start_level: float, rate: float, burst: float, now: float
    ) -> float:
        """Return the level of a new bucket, less what peers used since the start."""
        level = start_level
        at = self.started_at
        for received_at, tokens in self._pending_usage.pop(name, ()):
            level = min(burst, level + rate * (received_at - at)) - tokens
            at = received_at
        return min(burst, level + rate * (now - at))

    def _within_share(
        self, name: str, bucket: _Bucket, cost: float, margin: float
    ) -> bool:
        """Return whether a request fits into a multiple of this process's share."""
        share = min(1.0, self._share(name, bucket) * margin)
        return bucket.used + cost <= max(0.0, bucket.round_level) * share

    def refund(self, organisation: Organisation, cost: float) -> None:
        """Refund the charge of a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return
        bucket.level += cost
        bucket.admitted -= cost
        bucket.used = max(0.0, bucket.used - cost)

    def forget_levels(self, now: float) -> None:
        """Drop what the buckets hold, since peers may have used it during a pause."""
        self._resumed_at = now
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, 0.0)
            bucket.round_level = min(bucket.round_level, 0.0)
            bucket.credit = 0.0
            bucket.updated_at = now

    def _refill(self, name: str, bucket: _Bucket, now: float) -> None:
        reachable = self._reachable_count(now)
        self._leave_to_unreachable(bucket, reachable)
        group_share = reachable / self.process_count
        bucket.capacity = bucket.burst * group_share
        added = max(0.0, now - bucket.updated_at) * bucket.rate * group_share
        bucket.round_level += added
        bucket.level = min(bucket.capacity, bucket.level + added)
        bucket.updated_at = now
        share = min(1.0, self._share(name, bucket) * SHARE_MARGIN)
        bucket.credit = min(bucket.credit_target, bucket.credit + added * share)
        if now - bucket.round_at >= self.message_interval_s * ROUND_INTERVALS:
            bucket.round_at = now
            bucket.used = 0.0
            bucket.round_level = bucket.level
            bucket.round_demand = bucket.demand

    def _leave_to_unreachable(self, bucket: _Bucket, reachable: int) -> None:
        """Take the shares of unreachable processes from a bucket's level.

        A process that sends its first message brings its part of the start level. One
        that was lost and returns brings nothing, since it may have used its share.
        """
        heard = 1 + len(self._peers)
        withheld = bucket.start_level * (1.0 - heard / self.process_count)
        returned = bucket.withheld - withheld
        bucket.withheld = withheld
        bucket.level += returned
        bucket.round_level += returned
        linked = reachable / heard
        if linked < bucket.linked:
            kept = linked / bucket.linked
            bucket.level = min(bucket.level, bucket.level * kept)
            bucket.round_level = min(bucket.round_level, bucket.round_level * kept)
        bucket.linked = linked

    def _share(self, name: str, bucket: _Bucket) -> float:
        """Return this process's share of the partition's level, at least an equal one.

        It compares demands as of the last messages: when demand rises everywhere at
        once, the current demand of this process would seem to rise alone.
        """
        reachable = [peer for peer in self._peers.values() if peer.lost_at is None]
        others = sum(peer.demand.get(name, 0.0) for peer in reachable)
        total = bucket.round_demand + others
        by_demand = bucket.round_demand / total if total > 0 else 0.0
        return max(by_demand, 1.0 / (1 + len(reachable)))

    def _reachable_count(self, now: float) -> int:
        """Return the number of reachable processes, this one included.

        Removes peers that were lost more than ``LOST_PEER_RESERVE_S`` ago and are not
        among the known ones any more. Others may run behind a network partition.
        """
        reachable = 1
        for name, peer in list(self._peers.items()):
            if peer.lost_at is None:
                reachable += 1
                continue
            surplus = len(self._peers) > self.known_peer_count
            if surplus and now - peer.lost_at > LOST_PEER_RESERVE_S:
                del self._peers[name]
                self._removed_incarnations[name] = peer.incarnation
        return reachable

    def reachable_share(self, now: float) -> float:
        """Return the share of all processes that are reachable, this one included."""
        return self._reachable_count(now) / self.process_count

    @property
    def process_count(self) -> int:
        """Return the number of processes that share the limits."""
        return 1 + max(self.known_peer_count, len(self._peers))

    @property
    def message_interval_s(self) -> float:
        """Return the seconds between two messages of a process to its peers."""
        interval_s = MESSAGE_INTERVAL_S_PER_PROCESS * self.process_count
        return min(MAX_MESSAGE_INTERVAL_S, max(MIN_MESSAGE_INTERVAL_S, interval_s))

    def decision_fields(self, name: str, now: float) -> dict[str, float]:
        """Return the log fields of the last decision on an organisation."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return {}
        oldest = min((peer.received_at for peer in self._peers.values()), default=now)
        return {
            "level": round(bucket.level, 1),
            "taken": round(bucket.used, 1),
            "demand": round(bucket.demand, 1),
            "group_part": round(self.reachable_share(now), 3),
            "oldest_peer_s": round(now - oldest, 3),
        }


def _decayed_demand(bucket: _Bucket, now: float) -> float:
    elapsed = max(0.0, now - bucket.demand_at)
    return bucket.demand * math.exp(-elapsed / DEMAND_WINDOW_S)
