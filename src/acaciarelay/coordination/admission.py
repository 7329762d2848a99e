"""Admission at an entry: its request places, its body bytes, and early rejection."""

from collections import OrderedDict
from random import Random

import attrs

from .largest import LargestKey
from .placement import AgentView, agent_wait_s, is_usable

__all__ = [
    "Admission",
    "AdmissionDecision",
    "Backlog",
    "estimated_wait_s",
    "retry_after_s",
]

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# Retry-After in seconds at a pressure of 1, where demand equals capacity.
RETRY_BASE_S = 4.0
# Jitter spreads retries over 50% to 150% of the base. The base stays below 2/3 of the
# maximum, since values cut off at the maximum would bring callers back in step.
JITTER_LOW = 0.5
JITTER_HIGH = 1.5


@attrs.frozen
class AdmissionDecision:
    """Tell whether a request is admitted, and which request ids to shed for it."""

    admitted: bool
    evict: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Held:
    """Hold a request; it waits until it is handed off to an agent."""

    request_id: str
    tier: int
    organisation: str
    body_bytes: int
    waiting: bool = True


class _TierHolders:
    """Hold the waiting requests of one tier by organisation."""

    def __init__(self) -> None:
        self.count = 0
        self._requests: dict[str, OrderedDict[str, _Held]] = {}
        self._bytes: dict[str, int] = {}
        self._by_count = LargestKey()
        self._by_bytes = LargestKey()

    def add(self, held: _Held) -> None:
        requests = self._requests.setdefault(held.organisation, OrderedDict())
        requests[held.request_id] = held
        self._changed(held, held.body_bytes, 1)

    def remove(self, held: _Held) -> None:
        requests = self._requests[held.organisation]
        del requests[held.request_id]
        self._changed(held, -held.body_bytes, -1)
        if not requests:
            del self._requests[held.organisation]
            del self._bytes[held.organisation]

    def _changed(self, held: _Held, body_bytes: int, count: int) -> None:
        name = held.organisation
        self.count += count
        self._bytes[name] = self._bytes.get(name, 0) + body_bytes
        self._by_count.set(name, len(self._requests[name]))
        self._by_bytes.set(name, self._bytes[name])

    def victim(self, for_bytes: bool) -> _Held | None:
        """Return the newest request of the organisation that holds most.

        When bytes are short and the tier holds any, a request without a body is not
        chosen, since shedding it would free nothing.
        """
        name = self._by_bytes.largest() if for_bytes else None
        with_body = name is not None
        name = name or self._by_count.largest()
        if name is None:
            return None
        for held in reversed(self._requests[name].values()):
            if held.body_bytes or not with_body:
                return held
        return None

    def holds_more(self, victim: _Held, newcomer: _Held, for_bytes: bool) -> bool:
        """Tell whether the victim's organisation would hold more than the newcomer's.

        The newcomer counts as held already. Otherwise two organisations of equal size
        would evict each other in turn.
        """
        if victim.organisation == newcomer.organisation:
            return False
        name = newcomer.organisation
        if for_bytes:
            own = self._bytes.get(name, 0) + newcomer.body_bytes
            return self._bytes[victim.organisation] > own
        own = len(self._requests.get(name, ())) + 1
        return len(self._requests[victim.organisation]) > own


class Admission:
    """Bound the waiting requests and the body bytes that an entry holds.

    A place is freed at hand-off and body bytes when the body is sent. Running requests
    hold no place: otherwise lower-tier streams, which the entry cannot evict, would
    cause higher tiers to be refused.
    """

    def __init__(self, max_requests: int, max_body_bytes: int) -> None:
        self.max_requests = max_requests
        self.max_body_bytes = max_body_bytes
        self.body_bytes = 0
        self._held: dict[str, _Held] = {}
        self._tiers: dict[int, _TierHolders] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that are not handed off."""
        return sum(holders.count for holders in self._tiers.values())

    @property
    def pressure(self) -> float:
        """Return the used share of places or bytes, whichever is larger."""
        places = self.waiting / max(1, self.max_requests)
        return max(places, self.body_bytes / max(1, self.max_body_bytes))

    def admit(
        self, request_id: str, tier: int, organisation: str, body_bytes: int
    ) -> AdmissionDecision:
        """Admit a request, evicting lower tiers and then larger holders of its tier.

        All waiting requests of lower tiers are evicted before one is refused. A body
        above the whole byte budget can never be held and is refused at once.
        """
        if request_id in self._held:
            return AdmissionDecision(True)
        newcomer = _Held(request_id, tier, organisation, body_bytes)
        if body_bytes > self.max_body_bytes or self.max_requests < 1:
            return AdmissionDecision(False)
        evicted = self._evict_lower(newcomer)
        if not self._fits(newcomer):
            peers = self._evict_peers(newcomer)
            if not self._fits(newcomer):
                for held in reversed(peers):
                    self._hold(held)
                return AdmissionDecision(False, [held.request_id for held in evicted])
            evicted += peers
        self._hold(newcomer)
        return AdmissionDecision(True, [held.request_id for held in evicted])

    def handed_off(self, request_id: str) -> None:
        """Free a request's place; from now on it cannot be evicted."""
        held = self._held.get(request_id)
        if held is None or not held.waiting:
            return
        self._tiers[held.tier].remove(held)
        held.waiting = False

    def body_sent(self, request_id: str) -> None:
        """Free the body bytes of a request, which is handed off by then."""
        self.handed_off(request_id)
        held = self._held.get(request_id)
        if held is None:
            return
        self.body_bytes -= held.body_bytes
        held.body_bytes = 0

    def release(self, request_id: str) -> None:
        """Free all that a request holds; unknown requests are ignored."""
        held = self._held.get(request_id)
        if held is not None:
            self._drop(held)

    def _fits(self, newcomer: _Held) -> bool:
        return not self._short_of_places() and not self._short_of_bytes(newcomer)

    def _short_of_places(self) -> bool:
        return self.waiting >= self.max_requests

    def _short_of_bytes(self, newcomer: _Held) -> bool:
        return self.body_bytes + newcomer.body_bytes > self.max_body_bytes

    def _evict_lower(self, newcomer: _Held) -> list[_Held]:
        evicted: list[_Held] = []
        while not self._fits(newcomer):
            lowest = max((t for t, h in self._tiers.items() if h.count), default=0)
            if lowest <= newcomer.tier:
                break
            victim = self._tiers[lowest].victim(not self._short_of_places())
            if victim is None:
                break
            self._drop(victim)
            evicted.append(victim)
        return evicted

    def _evict_peers(self, newcomer: _Held) -> list[_Held]:
        """Evict from larger holders of the same tier until the newcomer fits."""
        evicted: list[_Held] = []
        holders = self._tiers.get(newcomer.tier)
        while holders is not None and not self._fits(newcomer):
            for_bytes = not self._short_of_places()
            victim = holders.victim(for_bytes)
            if victim is None or not holders.holds_more(victim, newcomer, for_bytes):
                break
            self._drop(victim)
            evicted.append(victim)
        return evicted

    def _hold(self, held: _Held) -> None:
        self._held[held.request_id] = held
        self.body_bytes += held.body_bytes
        self._tiers.setdefault(held.tier, _TierHolders()).add(held)

    def _drop(self, held: _Held) -> None:
        del self._held[held.request_id]
        self.body_bytes -= held.body_bytes
        if held.waiting:
            self._tiers[held.tier].remove(held)


class Backlog:
    """Sum up the waiting tokens of one pool and tier by organisation."""

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self.total = 0

    def add(self, organisation: str, tokens: int) -> None:
        """Count a request that begins to wait."""
        self.tokens[organisation] = self.tokens.get(organisation, 0) + tokens
        self.total += tokens

    def remove(self, organisation: str, tokens: int) -> None:
        """Count a request that no longer waits."""
        self.total -= tokens
        left = self.tokens[organisation] - tokens
        if left > 0:
            self.tokens[organisation] = left
            return
        del self.tokens[organisation]

    def share_ahead(self, organisation: str) -> float:
        """Return the share of the backlog that fair queueing serves first.

        The organisations that wait take turns, so that one with little waiting is
        served before most of what a large backlog holds.
        """
        if self.total <= 0:
            return 1.0
        active = len(self.tokens) + (organisation not in self.tokens)
        return min(1.0, active * self.tokens.get(organisation, 0) / self.total)


def estimated_wait_s(agents: list[AgentView], tier: int, tokens: int) -> float | None:
    """Estimate the shortest wait at any agent that serves the tier.

    Returns ``None`` when no agent can serve the tier, or when an agent's rate is not
    known, so that a request is not rejected on a guess.
    """
    shortest: float | None = None
    for agent in agents:
        if not is_usable(agent, tier):
            continue
        wait_s = agent_wait_s(agent, tier, tokens)
        if wait_s is None:
            return None
        if shortest is None or wait_s < shortest:
            shortest = wait_s
    return shortest


def retry_after_s(pressure: float, random: Random) -> float:
    """Return a jittered Retry-After of 1 to 60 s that grows with pressure.

    ``pressure`` is demand over capacity: 1 is at the limit.
    """
    lowest = MIN_RETRY_AFTER_S / JITTER_LOW
    highest = MAX_RETRY_AFTER_S / JITTER_HIGH
    base = min(highest, max(lowest, RETRY_BASE_S * pressure))
    return base * random.uniform(JITTER_LOW, JITTER_HIGH)
