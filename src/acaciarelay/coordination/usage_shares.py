"""Organisations' rate limits, shared among processes by the demand that each sees."""

import math

import attrs

from acaciarelay.state.routing import Organisation

__all__ = ["UsageShares"]

# Time constant over which demand is averaged.
DEMAND_S = 1.5
# Time over which a share grows, so that peers can hear of demand that begins at many
# processes at once; after a pause of IDLE_S a share is equal again.
GROW_S = 0.6
IDLE_S = 2.0
# Part of a limit that is shared equally, so that a process without recent demand can
# admit its first requests.
EQUAL_PART = 0.1
# How long the share of a process that was lost stays reserved. It may live behind a
# cut, and what it admitted before counts until the window has passed.
LOST_RESERVE_S = 20.0
# Part of the tolerated excess that is used; the rest covers requests that are admitted
# on shares which processes reckon differently for a moment.
USED_PART = 0.5
# An organisation without a stated burst may use this many seconds of its rate at once.
DEFAULT_BURST_S = 1.0


@attrs.define(eq=False)
class _Bucket:
    """Hold one organisation's allowance here; a negative level is a debt."""

    level: float = 0.0
    updated_at: float | None = None
    demand: float = 0.0
    demand_at: float = 0.0
    share: float = 0.0
    shared_at: float = -math.inf


@attrs.define(eq=False)
class _Peer:
    demand: dict[str, float]
    heard_at: float
    alive: bool = True
    lost_at: float = 0.0


class UsageShares:
    """Admit requests against this process's share of each limit.

    ``excess`` and ``slack`` are the part of a limit and the amount in a window by
    which all processes together may exceed it. An allowance starts empty unless
    ``first_start``: an earlier lifetime of this process may have spent it.
    """

    def __init__(self, excess: float, slack: float, first_start: bool) -> None:
        self.excess = excess * USED_PART
        self.slack = slack * USED_PART
        self.first_start = first_start
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}
        # Other processes known to exist; their equal part is left to them.
        self.known_peers = 0

    def hear(self, peer: str, demand: dict[str, float], now: float) -> None:
        """Take a peer's demand by organisation, in tokens a second."""
        self._peers[peer] = _Peer(demand, now)

    def lose(self, peer: str, now: float) -> None:
        """Keep a lost peer's demand reserved for a while."""
        known = self._peers.get(peer)
        if known is not None and known.alive:
            known.alive = False
            known.lost_at = now

    def demand(self, now: float) -> dict[str, float]:
        """Return the demand here by organisation, in tokens a second."""
        result = {}
        for name, bucket in self._buckets.items():
            level = self._decayed(bucket, now)
            if level > 1.0:
                result[name] = round(level, 1)
        return result

    def _decayed(self, bucket: _Bucket, now: float) -> float:
        elapsed = max(0.0, now - bucket.demand_at)
        return bucket.demand * math.exp(-elapsed / DEMAND_S)

    def admit(self, organisation: Organisation, cost: float, now: float) -> float:
        """Charge a request and return 0, or return the seconds until it fits."""
        if organisation.rate_per_s <= 0:
            return 0.0
        bucket = self._buckets.setdefault(organisation.name, _Bucket())
        bucket.demand = self._decayed(bucket, now) + cost / DEMAND_S
        bucket.demand_at = now
        share = self._share(organisation.name, bucket, now)
        rate = organisation.rate_per_s * share * (1 + self.excess)
        burst = organisation.burst or organisation.rate_per_s * DEFAULT_BURST_S
        burst = burst * share + self.slack / self.processes
        if bucket.updated_at is not None:
            bucket.level += max(0.0, now - bucket.updated_at) * rate
        elif self.first_start:
            bucket.level = burst
        bucket.level = min(burst, bucket.level)
        bucket.updated_at = now
        missing = min(cost, burst) - bucket.level
        if missing > 0:
            return missing / rate if rate > 0 else DEFAULT_BURST_S
        bucket.level -= cost
        return 0.0

    def refund(self, organisation: Organisation, cost: float) -> None:
        """Give back the charge of a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.level += cost

    def _share(self, name: str, bucket: _Bucket, now: float) -> float:
        own = self._decayed(bucket, now)
        others = 0.0
        for peer_name, peer in list(self._peers.items()):
            if not peer.alive and now - peer.lost_at > LOST_RESERVE_S:
                del self._peers[peer_name]
                continue
            others += peer.demand.get(name, 0.0)
        total = own + others
        by_demand = own / total if total > 0 else 0.0
        equal = 1.0 / self.processes
        target = EQUAL_PART * equal + (1 - EQUAL_PART) * by_demand
        idle_s = now - bucket.shared_at
        bucket.shared_at = now
        if idle_s > IDLE_S:
            bucket.share = min(equal, target)
        elif self.isolated:
            # Behind a cut, the others divide all but what was last known of this share.
            bucket.share = min(bucket.share, target)
        elif target < bucket.share:
            bucket.share = target
        else:
            bucket.share += (target - bucket.share) * min(1.0, idle_s / GROW_S)
        return bucket.share

    @property
    def isolated(self) -> bool:
        """Return whether this process has lost most of its peers."""
        alive = sum(1 for peer in self._peers.values() if peer.alive)
        return 1 + alive <= self.processes / 2

    @property
    def processes(self) -> int:
        """Return how many processes share the limits."""
        return 1 + max(self.known_peers, len(self._peers))
