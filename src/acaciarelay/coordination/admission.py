"""Admission at an entry: request slots, body bytes and early rejection."""

from collections import OrderedDict
from random import Random

import attrs

from .largest import LargestKey
from .placement import AgentState, agent_wait_s, is_usable

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
# maximum, since values capped at the maximum would synchronise the callers' retries.
JITTER_LOW = 0.5
JITTER_HIGH = 1.5


@attrs.frozen
class AdmissionDecision:
    """Whether a request is admitted, and the ids of the requests to shed for it."""

    admitted: bool
    evict: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Request:
    """An admitted request, which waits until it is handed off to an agent."""

    request_id: str
    tier: int
    organisation: str
    body_bytes: int
    waiting: bool = True


class _TierRequests:
    """The waiting requests of one tier, by organisation."""

    def __init__(self) -> None:
        self.count = 0
        self._requests: dict[str, OrderedDict[str, _Request]] = {}
        self._bytes: dict[str, int] = {}
        self._by_count = LargestKey()
        self._by_bytes = LargestKey()

    def add(self, request: _Request) -> None:
        requests = self._requests.setdefault(request.organisation, OrderedDict())
        requests[request.request_id] = request
        self._update_sums(request, request.body_bytes, 1)

    def remove(self, request: _Request) -> None:
        requests = self._requests[request.organisation]
        del requests[request.request_id]
        self._update_sums(request, -request.body_bytes, -1)
        if not requests:
            del self._requests[request.organisation]
            del self._bytes[request.organisation]

    def _update_sums(self, request: _Request, body_bytes: int, count: int) -> None:
        name = request.organisation
        self.count += count
        self._bytes[name] = self._bytes.get(name, 0) + body_bytes
        self._by_count.set(name, len(self._requests[name]))
        self._by_bytes.set(name, self._bytes[name])

    def victim(self, for_bytes: bool) -> _Request | None:
        """Return the newest request of the organisation that holds most.

        ``for_bytes`` compares body bytes instead of requests. If the tier then holds
        any bytes, a request without a body is not chosen, since shedding it would free
        nothing.
        """
        name = self._by_bytes.largest() if for_bytes else None
        with_body = name is not None
        name = name or self._by_count.largest()
        if name is None:
            return None
        for request in reversed(self._requests[name].values()):
            if request.body_bytes or not with_body:
                return request
        return None

    def is_larger_holder(
        self, victim: _Request, newcomer: _Request, for_bytes: bool
    ) -> bool:
        """Return whether the victim's organisation would hold more than the newcomer's.

        The newcomer is counted as admitted. Otherwise two organisations of equal size
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

    A slot is freed at hand-off and body bytes when the body is sent. Running requests
    hold no slot: otherwise lower-tier streams, which the entry cannot evict, would
    cause higher tiers to be refused.
    """

    def __init__(self, max_requests: int, max_body_bytes: int) -> None:
        self.max_requests = max_requests
        self.max_body_bytes = max_body_bytes
        self.body_bytes = 0
        self._requests_by_id: dict[str, _Request] = {}
        self._tiers: dict[int, _TierRequests] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that are not handed off yet."""
        return sum(tier_requests.count for tier_requests in self._tiers.values())

    @property
    def pressure(self) -> float:
        """Return the used share of slots or bytes, whichever is larger."""
        slots = self.waiting / max(1, self.max_requests)
        return max(slots, self.body_bytes / max(1, self.max_body_bytes))

    def admit(
        self, request_id: str, tier: int, organisation: str, body_bytes: int
    ) -> AdmissionDecision:
        """Admit a request, evicting lower tiers and then larger holders of its tier.

        All waiting requests of lower tiers are evicted before one is refused. A body
        larger than the total byte budget is refused at once.
        """
        if request_id in self._requests_by_id:
            return AdmissionDecision(True)
        newcomer = _Request(request_id, tier, organisation, body_bytes)
        if body_bytes > self.max_body_bytes or self.max_requests < 1:
            return AdmissionDecision(False)
        evicted = self._evict_lower(newcomer)
        if not self._fits(newcomer):
            same_tier = self._evict_same_tier(newcomer)
            if not self._fits(newcomer):
                for request in reversed(same_tier):
                    self._insert(request)
                return AdmissionDecision(
                    False, [request.request_id for request in evicted]
                )
            evicted += same_tier
        self._insert(newcomer)
        return AdmissionDecision(True, [request.request_id for request in evicted])

    def handed_off(self, request_id: str) -> None:
        """Free a request's slot; from now on it cannot be evicted."""
        request = self._requests_by_id.get(request_id)
        if request is None or not request.waiting:
            return
        self._tiers[request.tier].remove(request)
        request.waiting = False

    def body_sent(self, request_id: str) -> None:
        """Free the body bytes of a request, which is handed off by then."""
        self.handed_off(request_id)
        request = self._requests_by_id.get(request_id)
        if request is None:
            return
        self.body_bytes -= request.body_bytes
        request.body_bytes = 0

    def release(self, request_id: str) -> None:
        """Free the slot and bytes of a request; unknown requests are ignored."""
        request = self._requests_by_id.get(request_id)
        if request is not None:
            self._remove(request)

    def _fits(self, newcomer: _Request) -> bool:
        return not self._out_of_slots() and not self._out_of_bytes(newcomer)

    def _out_of_slots(self) -> bool:
        return self.waiting >= self.max_requests

    def _out_of_bytes(self, newcomer: _Request) -> bool:
        return self.body_bytes + newcomer.body_bytes > self.max_body_bytes

    def _evict_lower(self, newcomer: _Request) -> list[_Request]:
        evicted: list[_Request] = []
        while not self._fits(newcomer):
            lowest = max(
                (
                    tier
                    for tier, tier_requests in self._tiers.items()
                    if tier_requests.count
                ),
                default=0,
            )
            if lowest <= newcomer.tier:
                break
            victim = self._tiers[lowest].victim(not self._out_of_slots())
            if victim is None:
                break
            self._remove(victim)
            evicted.append(victim)
        return evicted

    def _evict_same_tier(self, newcomer: _Request) -> list[_Request]:
        """Evict from larger holders of the tier until the newcomer fits."""
        evicted: list[_Request] = []
        tier_requests = self._tiers.get(newcomer.tier)
        while tier_requests is not None and not self._fits(newcomer):
            for_bytes = not self._out_of_slots()
            victim = tier_requests.victim(for_bytes)
            if victim is None or not tier_requests.is_larger_holder(
                victim, newcomer, for_bytes
            ):
                break
            self._remove(victim)
            evicted.append(victim)
        return evicted

    def _insert(self, request: _Request) -> None:
        self._requests_by_id[request.request_id] = request
        self.body_bytes += request.body_bytes
        self._tiers.setdefault(request.tier, _TierRequests()).add(request)

    def _remove(self, request: _Request) -> None:
        del self._requests_by_id[request.request_id]
        self.body_bytes -= request.body_bytes
        if request.waiting:
            self._tiers[request.tier].remove(request)


class Backlog:
    """The waiting tokens of one pool and tier, by organisation."""

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self.total = 0

    def add(self, organisation: str, tokens: int) -> None:
        """Add the tokens of a request that starts to wait."""
        self.tokens[organisation] = self.tokens.get(organisation, 0) + tokens
        self.total += tokens

    def remove(self, organisation: str, tokens: int) -> None:
        """Subtract the tokens of a request that no longer waits."""
        self.total -= tokens
        left = self.tokens[organisation] - tokens
        if left > 0:
            self.tokens[organisation] = left
            return
        del self.tokens[organisation]

    def share_ahead(self, organisation: str) -> float:
        """Return the share of the backlog served before an organisation's new request.

        Fair queueing serves waiting organisations in turn, so that one with few waiting
        tokens is served before most of a large backlog.
        """
        if self.total <= 0:
            return 1.0
        active = len(self.tokens) + (organisation not in self.tokens)
        return min(1.0, active * self.tokens.get(organisation, 0) / self.total)


def estimated_wait_s(agents: list[AgentState], tier: int, tokens: int) -> float | None:
    """Estimate the shortest wait at any agent that serves the tier.

    Returns ``None`` when no agent can serve the tier or when an agent's rate is
    unknown, so that no request is rejected on a guess.
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

    ``pressure`` is demand divided by capacity.
    """
    lowest = MIN_RETRY_AFTER_S / JITTER_LOW
    highest = MAX_RETRY_AFTER_S / JITTER_HIGH
    base = min(highest, max(lowest, RETRY_BASE_S * pressure))
    return base * random.uniform(JITTER_LOW, JITTER_HIGH)
