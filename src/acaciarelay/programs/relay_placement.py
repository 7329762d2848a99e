"""Choose an endpoint for a request: by a place from an agent, or directly."""

import asyncio
import time
from collections.abc import Iterable

import attrs

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.place_asker import AgentLink, NoPlace, Place, PlaceAsker
from acaciarelay.coordination.retry_share import RetryShare
from acaciarelay.programs.relay_beliefs import Beliefs
from acaciarelay.protocol.relay_messages import AskPlace
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.relay_run import RelayRun

__all__ = ["Placement", "Placer"]

# Agents that are asked for one request.
ASKED_AGENTS = 3
# Part of the objective that a request may wait for a place.
WAIT_PART = 0.6
# A request whose expected wait is above this part of what it may wait is refused.
HOPE_PART = 1.0
# Wait for a place after a break, when the caller already has a part of the answer.
RESUME_WAIT_S = 1.0
# Seconds of expected wait that a distance or a failure counts as.
DISTANCE_S = 0.02
FAILURE_S = 0.1
# Seconds of expected wait that an engine twice as slow as the fastest counts as for a
# long answer, whose events are likely to come too late there, and the most that counts.
SLOW_S = 0.04
MOST_SLOW_S = 0.08
LONG_OUTPUT_TOKENS = 200
# The same for an engine that would not end the answer within the time limit.
UNFINISHED_S = 10.0
# Wait for a place of an answer that only fast engines end in time.
LONG_ANSWER_WAIT_S = 1.0
LEAST_RETRY_S = 0.05


@attrs.define(eq=False)
class Placement:
    """Hold the endpoint chosen for one attempt, with its place if an agent gave one."""

    endpoint: Endpoint
    place: Place | None

    def end(self, run: RelayRun | None = None) -> None:
        """Give the place back, with what ``run`` saw of the engine if it succeeded."""
        if self.place is None:
            return
        if run is None or run.first_event_at is None or run.sent_at is None:
            self.place.end()
            return
        now = asyncio.get_running_loop().time()
        self.place.end(run.first_event_at - run.sent_at, now - run.first_event_at)


class Placer:
    """Place requests by the loads that are known here."""

    def __init__(
        self,
        beliefs: Beliefs,
        health: EndpointHealth,
        asker: PlaceAsker,
        retries: RetryShare,
    ) -> None:
        self.beliefs = beliefs
        self.health = health
        self.asker = asker
        self.retries = retries

    async def place(self, run: RelayRun) -> Placement | None:
        """Choose an endpoint; ``None`` when none has room in time."""
        loop = asyncio.get_running_loop()
        resume_until = loop.time() + RESUME_WAIT_S
        while True:
            now = time.monotonic()
            usable = self._usable(run, now)
            by_host = {e.host: e for e in usable if e.host in self.asker.agents}
            wait_until = run.arrived_at + WAIT_PART * run.route.objective_s
            if run.declined or run.runs:
                wait_until = max(wait_until, resume_until)
            if self._needs_fast(run, by_host):
                wait_until = max(wait_until, run.arrived_at + LONG_ANSWER_WAIT_S)
            if by_host:
                match await self._ask_agents(run, by_host, wait_until - loop.time()):
                    case Placement() as placement:
                        return placement
                    case NoPlace(refused=True):
                        return None
            else:
                processes = self.retries.processes
                endpoint = self.health.choose(usable, run.tried, processes, now)
                if endpoint is not None:
                    return Placement(endpoint, None)
            if loop.time() >= wait_until - 0.001:
                return None
            await asyncio.sleep(min(0.02, max(0.0, wait_until - loop.time())))

    def _usable(self, run: RelayRun, now: float) -> list[Endpoint]:
        """Return the endpoints to choose from, the sound and untried ones if any."""
        endpoints = self.beliefs.endpoints.of_service(run.service)
        untried = [e for e in endpoints if e.endpoint_id not in run.tried]
        untried = untried or endpoints
        sound = [e for e in untried if not self.health.avoided(e.endpoint_id, now)]
        return sound or untried

    async def _ask_agents(
        self, run: RelayRun, by_host: dict[str, Endpoint], budget_s: float
    ) -> Placement | NoPlace:
        """Ask the best agents for a place, unless the wait would likely be in vain."""
        now = time.monotonic()
        agents = self._nearest(run, by_host, now)
        expected_s = min(agent.expected_wait_s(run.rank, now) for agent in agents)
        if expected_s > budget_s * HOPE_PART:
            run.steps.append(f"expected wait {expected_s:.3f} s")
            return NoPlace(refused=True)
        budget_s = max(0.0, budget_s)
        ask = self._ask(run, len(agents), budget_s)
        match await self.asker.ask(agents, ask, budget_s):
            case Place() as place:
                placed = by_host[place.agent.host]
                current = self.beliefs.endpoints.get(placed.endpoint_id)
                if current is not None and not current.draining:
                    return Placement(current, place)
                place.end()
                return NoPlace(refused=False)
            case NoPlace() as answer:
                if answer.refused:
                    run.steps.append(f"no place in time at {len(agents)} agents")
                return answer

    def _needs_fast(self, run: RelayRun, hosts: Iterable[str]) -> bool:
        """Return whether some engines would not end the answer in time."""
        output = _output_tokens(run)
        left_s = run.limit_at - asyncio.get_running_loop().time()
        for host in hosts:
            if self.asker.agents[host].speed.stream_s(output) > left_s:
                return True
        return False

    def _nearest(
        self, run: RelayRun, by_host: dict[str, Endpoint], now: float
    ) -> list[AgentLink]:
        """Choose the agents to ask: free soon, near, sound and fast enough."""
        prompt = run.traits.prompt_tokens or 0
        output = _output_tokens(run)
        speeds = {host: self.asker.agents[host].speed for host in by_host}
        known = [speed.token_s for speed in speeds.values() if speed.token_s]
        fastest_s = min(known, default=0.0)
        left_s = run.limit_at - asyncio.get_running_loop().time()
        costs = []
        for host, endpoint in by_host.items():
            speed = speeds[host]
            cost = self.asker.agents[host].expected_wait_s(run.rank, now)
            cost += DISTANCE_S * self.health.distance_cost(endpoint.zone)
            cost += FAILURE_S * self.health.failures(endpoint.endpoint_id, now)
            cost += speed.first_event_s(prompt)
            if speed.token_s > fastest_s > 0:
                slow_s = SLOW_S * (speed.token_s / fastest_s - 1)
                cost += min(MOST_SLOW_S, slow_s) * min(1.0, output / LONG_OUTPUT_TOKENS)
            if speed.stream_s(output) > left_s:
                cost += UNFINISHED_S
            costs.append((cost + self.health.rng.random() * 0.002, host))
        costs.sort()
        return [self.asker.agents[host] for _, host in costs[:ASKED_AGENTS]]

    def _ask(self, run: RelayRun, asked: int, wait_s: float) -> AskPlace:
        loop = asyncio.get_running_loop()
        service = run.routing.services.get(run.service)
        engine = service.engine if service is not None else None
        return AskPlace(
            request=run.traits.request_id,
            organisation=run.organisation.name if run.organisation else "",
            rank=run.rank,
            late=loop.time() > run.objective_at,
            wait_s=round(wait_s, 4),
            time_left_s=round(run.limit_at - loop.time(), 4),
            prompt_tokens=run.traits.prompt_tokens or 0,
            output_tokens=_output_tokens(run),
            slots=engine.slots if engine is not None else 1,
            asked=asked,
        )

    def relief_s(self, run: RelayRun) -> float:
        """Return the seconds after which a place is likely to be free."""
        now = time.monotonic()
        waits = []
        for endpoint in self.beliefs.endpoints.of_service(run.service):
            agent = self.asker.agents.get(endpoint.host)
            if agent is not None:
                waits.append(agent.expected_wait_s(run.rank, now))
        if not waits:
            return LEAST_RETRY_S * 4
        return max(LEAST_RETRY_S, min(waits))


def _output_tokens(run: RelayRun) -> int:
    return run.traits.expected_output or run.traits.output_tokens or 0
