"""Choice of an endpoint: with a granted slot, or by local load data."""

import asyncio
import time
from collections.abc import Iterable

import attrs

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.engine_choice import (
    EngineOption,
    ExpectedAnswer,
    choose_engines,
)
from acaciarelay.coordination.rank_floor import RankFloor
from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import (
    AgentLink,
    EngineSlot,
    SlotClient,
    SlotDenied,
)
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.rollouts import Rollouts
from acaciarelay.protocol.link_messages import SlotRequest
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.relayed_request import RelayedRequest
from acaciarelay.state.routing import EngineCapacity

__all__ = ["Placement", "Placer", "slot_wait_end"]

# Fraction of the route's objective that a request may wait for a slot.
MAX_WAIT_FRACTION = 0.6
# A request is refused at once when its expected wait is above this fraction of the
# wait that it has left.
MAX_EXPECTED_WAIT_FRACTION = 1.0
# Lower bound of the time that a request may wait for a slot after a failed attempt or
# for a resumed stream, when the caller may already have a part of the answer.
MIN_RETRY_WAIT_LIMIT_S = 1.0
# Lower bound of the time after its arrival that a request may wait for a slot, when
# some engines are too slow to finish the answer before the deadline, so that it can
# wait for a faster one.
MIN_LONG_ANSWER_WAIT_LIMIT_S = 1.0
MIN_RETRY_AFTER_S = 0.05


@attrs.define(eq=False)
class Placement:
    """The endpoint chosen for one attempt, with its slot if an agent granted one."""

    endpoint: Endpoint
    slot: EngineSlot | None

    def release_declined(self) -> None:
        """Release the slot of a request that the endpoint did not take."""
        if self.slot is not None:
            self.slot.release(declined=True)

    def release(self, relayed: RelayedRequest | None = None) -> None:
        """Release the slot, reporting the timings of ``relayed`` if it succeeded."""
        if self.slot is None:
            return
        if relayed is None or relayed.first_event_at is None or relayed.sent_at is None:
            self.slot.release()
            return
        now = asyncio.get_running_loop().time()
        self.slot.release(
            relayed.first_event_at - relayed.sent_at, now - relayed.first_event_at
        )


class Placer:
    """Choose an endpoint for each attempt, with a slot where an agent grants them."""

    def __init__(
        self,
        cache: StateCache,
        health: EndpointHealth,
        slot_client: SlotClient,
        retry_budget: SharedRetryBudget,
        rollouts: Rollouts | None = None,
    ) -> None:
        self.cache = cache
        self.rollouts = rollouts
        self.health = health
        self.slot_client = slot_client
        self.retry_budget = retry_budget
        self.floor = RankFloor()

    async def place(self, relayed: RelayedRequest) -> Placement | None:
        """Choose an endpoint; ``None`` when none has a free slot in time."""
        loop = asyncio.get_running_loop()
        retry_until = loop.time() + MIN_RETRY_WAIT_LIMIT_S
        is_resumed = relayed.traits.resumes_stream and relayed.route.streaming
        while True:
            if self.lacks_software(relayed):
                return None
            now = time.monotonic()
            candidates = self._candidates(relayed, now)
            if not candidates and self._deferred_beyond(relayed, now):
                return None
            by_host = {
                e.host: e for e in candidates if e.host in self.slot_client.agents
            }
            wait_until = slot_wait_end(relayed)
            if relayed.decline_count or relayed.run_count or is_resumed:
                wait_until = max(wait_until, retry_until)
            if self._any_engine_too_slow(relayed, by_host):
                wait_until = max(
                    wait_until, relayed.arrived_at + MIN_LONG_ANSWER_WAIT_LIMIT_S
                )
            if by_host:
                match await self._ask_agents(
                    relayed, by_host, wait_until - loop.time()
                ):
                    case Placement() as placement:
                        return placement
                    case SlotDenied(refused=True):
                        if self._leaves_trial(relayed):
                            continue
                        return None
            elif not self._is_undecided(candidates):
                process_count = self.retry_budget.process_count
                endpoint = self.health.choose(
                    candidates, relayed.tried, process_count, now
                )
                if endpoint is not None:
                    return Placement(endpoint, None)
            if loop.time() >= wait_until - 0.001:
                return None
            await asyncio.sleep(min(0.02, max(0.0, wait_until - loop.time())))

    def endpoints_of(self, service: str) -> list[Endpoint]:
        """Return the endpoints that most new requests of a service may use."""
        endpoints = self.cache.endpoints.of_service(service)
        if self.rollouts is None:
            return endpoints
        return self.rollouts.usable(service, endpoints)

    def lacks_software(self, relayed: RelayedRequest) -> bool:
        """Return whether no endpoint of the version that began a stream is listed."""
        if relayed.software is None:
            return False
        endpoints = self.cache.endpoints.of_service(relayed.service)
        return not any(_continues(relayed, endpoint) for endpoint in endpoints)

    def may_send(self, relayed: RelayedRequest, endpoint: Endpoint) -> bool:
        """Return whether a request may still use the version of an endpoint."""
        if not _continues(relayed, endpoint):
            return False
        return self.rollouts is None or self.rollouts.permits(relayed, endpoint)

    def _leaves_trial(self, relayed: RelayedRequest) -> bool:
        return self.rollouts is not None and self.rollouts.leave_trial(relayed)

    def _is_undecided(self, candidates: list[Endpoint]) -> bool:
        """Return whether an engine is about to have a granter, for which to wait."""
        undecided = self.slot_client.undecided
        return bool(undecided) and any(e.host in undecided for e in candidates)

    def _candidates(self, relayed: RelayedRequest, now: float) -> list[Endpoint]:
        """Return the endpoints to choose from, preferring untried and healthy ones."""
        endpoints = self._undeferred(relayed, now)
        if not endpoints and self._leaves_trial(relayed):
            endpoints = self._undeferred(relayed, now)
        untried = [e for e in endpoints if e.endpoint_id not in relayed.tried]
        untried = untried or endpoints
        healthy = [e for e in untried if not self.health.is_avoided(e.endpoint_id, now)]
        return healthy or untried

    def _undeferred(self, relayed: RelayedRequest, now: float) -> list[Endpoint]:
        """Return the endpoints that a request may use and that want requests."""
        endpoints = self.cache.endpoints.of_service(relayed.service)
        endpoints = [e for e in endpoints if _continues(relayed, e)]
        if self.rollouts is not None:
            endpoints = self.rollouts.choose(relayed, endpoints)
        undeferred = []
        for endpoint in endpoints:
            if self.health.deferred_until(endpoint.endpoint_id) <= now:
                undeferred.append(endpoint)
        return undeferred

    def _deferred_beyond(self, relayed: RelayedRequest, now: float) -> bool:
        """Return whether all endpoints want nothing for longer than a request waits."""
        wait_s = slot_wait_end(relayed) - asyncio.get_running_loop().time()
        return self.deferred_s(relayed.service, now) > wait_s

    def deferred_s(self, service: str, now: float) -> float:
        """Return how long all endpoints of a service want nothing, in seconds.

        0 if one of them takes requests, or if there is none.
        """
        endpoints = self.endpoints_of(service)
        if not endpoints:
            return 0.0
        until = min(self.health.deferred_until(e.endpoint_id) for e in endpoints)
        return max(0.0, until - now)

    def _may_use(self, relayed: RelayedRequest, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may still get a request after a wait."""
        if not _continues(relayed, endpoint):
            return False
        if not self.cache.endpoints.is_usable(endpoint):
            return False
        return self.health.deferred_until(endpoint.endpoint_id) <= time.monotonic()

    async def _ask_agents(
        self, relayed: RelayedRequest, by_host: dict[str, Endpoint], budget_s: float
    ) -> Placement | SlotDenied:
        """Ask the best agents for a slot, unless none is expected within the budget."""
        now = time.monotonic()
        agents = self._choose_agents(relayed, by_host, now)
        below_floor = self.floor.is_below(relayed.service, relayed.rank, now)
        expected_s = min(agent.expected_wait_s(relayed.rank, now) for agent in agents)
        if expected_s > budget_s * MAX_EXPECTED_WAIT_FRACTION and not below_floor:
            relayed.steps.append(f"expected wait {expected_s:.3f} s")
            return SlotDenied(refused=True)
        budget_s = max(0.0, budget_s)
        slot_request = attrs.evolve(
            self._slot_request(relayed, len(agents), budget_s), below_floor=below_floor
        )
        match await self.slot_client.acquire(agents, slot_request, budget_s):
            case EngineSlot() as slot:
                chosen = by_host[slot.agent.host]
                current = self.cache.endpoints.get(chosen.endpoint_id)
                if current is not None and self._may_use(relayed, current):
                    if relayed.most_kept_tokens:
                        relayed.kept_tokens = round(
                            slot.agent.kept_tokens(relayed.traits.shared_chain, now)
                        )
                    return Placement(current, slot)
                slot.release()
                return SlotDenied(refused=False)
            case SlotDenied() as answer:
                if answer.refused:
                    relayed.steps.append(f"no place in time at {len(agents)} agents")
                else:
                    relayed.steps.append(f"no answer of {len(agents)} agents in time")
                return answer

    def _any_engine_too_slow(
        self, relayed: RelayedRequest, hosts: Iterable[str]
    ) -> bool:
        """Return whether an engine is too slow to finish the answer in time."""
        output = _output_tokens(relayed)
        left_s = relayed.deadline - asyncio.get_running_loop().time()
        for speed in self.slot_client.speeds(hosts).values():
            if speed.stream_s(output) > left_s:
                return True
        return False

    def _choose_agents(
        self, relayed: RelayedRequest, by_host: dict[str, Endpoint], now: float
    ) -> list[AgentLink]:
        """Return the agents to ask for a slot, the best one first."""
        speeds = self.slot_client.speeds(by_host)
        chain = relayed.traits.shared_chain
        options = []
        for host, endpoint in by_host.items():
            agent = self.slot_client.agents[host]
            options.append(
                EngineOption(
                    host=host,
                    queue_s=agent.expected_queue_s(relayed.rank, now),
                    round_trip_s=agent.link.round_trip_s,
                    distance=self.health.distance_cost(endpoint.zone),
                    failures=self.health.failures(endpoint.endpoint_id, now),
                    speed=speeds[host],
                    kept_tokens=agent.kept_tokens(chain, now) if chain else 0.0,
                )
            )
        answer = ExpectedAnswer(
            prompt_tokens=relayed.traits.prompt_tokens or 0,
            output_tokens=_output_tokens(relayed),
            left_s=relayed.deadline - asyncio.get_running_loop().time(),
        )
        chosen = choose_engines(options, answer, self.health.rng)
        if chain:
            most = max((option.kept_tokens for option in options), default=0.0)
            relayed.most_kept_tokens = round(most)
        return [self.slot_client.agents[option.host] for option in chosen]

    def _slot_request(
        self, relayed: RelayedRequest, asked: int, wait_s: float
    ) -> SlotRequest:
        loop = asyncio.get_running_loop()
        engine = _engine_capacity(relayed)
        return SlotRequest(
            request=relayed.traits.request_id,
            organisation=relayed.organisation.name if relayed.organisation else "",
            rank=relayed.rank,
            late=loop.time() > relayed.objective_at,
            wait_s=round(wait_s, 4),
            time_left_s=round(relayed.deadline - loop.time(), 4),
            prompt_tokens=relayed.traits.prompt_tokens or 0,
            output_tokens=_output_tokens(relayed),
            slots=engine.slots if engine is not None else 1,
            asked=asked,
            memory_tokens=engine.memory_tokens if engine is not None else 0,
            parts=relayed.traits.shared_chain,
        )

    def never_fits(self, relayed: RelayedRequest) -> bool:
        """Return whether a request needs more memory than any engine has."""
        engine = _engine_capacity(relayed)
        if engine is None or not engine.memory_tokens:
            return False
        tokens = (relayed.traits.prompt_tokens or 0) + _output_tokens(relayed)
        return tokens > engine.memory_tokens

    def predicted_answer_s(
        self, relayed: RelayedRequest, endpoint: Endpoint | None
    ) -> float | None:
        """Predict the seconds that a stream takes at the endpoint chosen for it.

        Without one, it is the shortest time at any endpoint of the service. ``None`` if
        the request states no size or no engine's speed is known.
        """
        output = _output_tokens(relayed)
        if not output:
            return None
        endpoints = [endpoint] if endpoint is not None else None
        endpoints = endpoints or self.endpoints_of(relayed.service)
        hosts = {e.host for e in endpoints} & self.slot_client.agents.keys()
        prompt = relayed.traits.prompt_tokens or 0
        answers_s = []
        for speed in self.slot_client.speeds(hosts).values():
            if speed.first_s and speed.token_s:
                answers_s.append(speed.first_event_s(prompt) + speed.stream_s(output))
        return min(answers_s, default=None)

    def expected_wait_s(self, relayed: RelayedRequest) -> float:
        """Return the seconds until the service is likely to have a free slot."""
        now = time.monotonic()
        waits = []
        for endpoint in self.endpoints_of(relayed.service):
            agent = self.slot_client.agents.get(endpoint.host)
            if agent is not None:
                waits.append(agent.expected_wait_s(relayed.rank, now))
        if not waits:
            return MIN_RETRY_AFTER_S * 4
        return max(MIN_RETRY_AFTER_S, min(waits))


def slot_wait_end(relayed: RelayedRequest) -> float:
    """Return the time until which a request may usually wait for a slot."""
    return relayed.arrived_at + MAX_WAIT_FRACTION * relayed.route.objective_s


def _continues(relayed: RelayedRequest, endpoint: Endpoint) -> bool:
    """Return whether an endpoint can go on with what the caller has of a stream.

    What two versions of the software write does not fit together.
    """
    return relayed.software in (None, endpoint.version)


def _engine_capacity(relayed: RelayedRequest) -> EngineCapacity | None:
    service = relayed.routing.services.get(relayed.service)
    return service.engine if service is not None else None


def _output_tokens(relayed: RelayedRequest) -> int:
    return relayed.traits.expected_output or relayed.traits.output_tokens or 0
