"""Placement: nearer, sooner and faster engines first; refusals at once."""

import asyncio
import random
import types

import pytest

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.place_asker import NoPlace, Place, PlaceAsker
from acaciarelay.programs.relay_placement import Placer
from acaciarelay.protocol.relay_messages import (
    AskPlace,
    EndPlace,
    EngineState,
    GrantPlace,
    RefusePlace,
)
from acaciarelay.state.endpoints import Endpoint

ZONES = {"near": "region", "far": "other"}
ASK = AskPlace(
    request="a",
    organisation="workshop",
    rank=0,
    late=False,
    wait_s=0.2,
    time_left_s=5.0,
    prompt_tokens=1700,
    output_tokens=50,
    slots=8,
    asked=1,
)


class FakeLink:
    """Stand for the link to one agent."""

    def __init__(self, host):
        self.peer_host = host
        self.heard_at = asyncio.get_running_loop().time()
        self.round_trip_s = 0.0
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def endpoint(host, zone="near"):
    return Endpoint(
        endpoint_id=f"i-{host}",
        service="engine",
        address=f"{host}:8000",
        zone=zone,
        slots=8,
        draining=False,
        started_ms=0,
    )


def asker_with(**states):
    asker = PlaceAsker()
    for host, state in states.items():
        link = FakeLink(host)
        asker.opened(host, link)
        if state is not None:
            asker.receive(host, state)
    return asker


def order(asker, endpoints, prompt=1700, output=50):
    """Return the hosts in the order in which they would be asked."""
    placer = Placer(None, EndpointHealth("near", ZONES, random.Random(1)), asker, None)
    run = types.SimpleNamespace(
        rank=0,
        limit_at=asyncio.get_running_loop().time() + 15.0,
        traits=types.SimpleNamespace(
            prompt_tokens=prompt, expected_output=output, output_tokens=output
        ),
    )
    by_host = {e.host: e for e in endpoints}
    now = asyncio.get_running_loop().time()
    return [agent.host for agent in placer._nearest(run, by_host, now)]


async def test_fast_engine_goes_before_a_slow_one():
    """Guards against equal shares for engines of unlike speed."""
    fast = EngineState(waits_s=[0.0], first_s=0.02, token_s=0.005)
    slow = EngineState(waits_s=[0.0], first_s=0.1, token_s=0.015)
    asker = asker_with(slow=slow, fast=fast)
    assert order(asker, [endpoint("slow"), endpoint("fast")])[0] == "fast"


async def test_slow_engine_goes_before_a_long_wait():
    """Guards against fast engines that are asked whatever waits there."""
    fast = EngineState(waits_s=[0.5], first_s=0.02, token_s=0.005)
    slow = EngineState(waits_s=[0.0], first_s=0.1, token_s=0.015)
    asker = asker_with(slow=slow, fast=fast)
    assert order(asker, [endpoint("slow"), endpoint("fast")])[0] == "slow"


async def test_long_answer_goes_where_it_ends_in_time():
    """Guards against long answers cut by their time limit on a slow engine."""
    fast = EngineState(waits_s=[0.5], first_s=0.02, token_s=0.005)
    slow = EngineState(waits_s=[0.0], first_s=0.1, token_s=0.015)
    asker = asker_with(slow=slow, fast=fast)
    endpoints = [endpoint("slow"), endpoint("fast")]
    assert order(asker, endpoints, output=1500)[0] == "fast"


async def test_near_engine_goes_before_an_equal_one_far_away():
    """Guards against paid traffic between regions for nothing."""
    state = EngineState(waits_s=[0.0], first_s=0.05, token_s=0.03)
    asker = asker_with(away=state, here=state)
    assert order(asker, [endpoint("away", "far"), endpoint("here")])[0] == "here"


async def test_refusal_by_all_agents_ends_the_wait():
    """Guards against callers held although no agent expects a place."""
    asker = asker_with(one=None, two=None)
    agents = list(asker.agents.values())
    waiting = asyncio.create_task(asker.ask(agents, ASK, 5.0))
    await asyncio.sleep(0)
    request = agents[0].link.sent[0].request
    for agent in agents:
        asker.receive(agent.host, RefusePlace(request=request))
    async with asyncio.timeout(1):
        assert await waiting == NoPlace(refused=True)


async def test_lost_link_is_no_refusal():
    """Guards against a refusal that no agent gave."""
    asker = asker_with(one=None)
    agent = asker.agents["one"]
    waiting = asyncio.create_task(asker.ask([agent], ASK, 5.0))
    await asyncio.sleep(0)
    asker.closed("one", agent.link)
    async with asyncio.timeout(1):
        assert await waiting == NoPlace(refused=False)


async def test_first_grant_wins_and_the_others_are_withdrawn():
    """Guards against places that nobody uses."""
    asker = asker_with(one=None, two=None)
    one, two = asker.agents.values()
    waiting = asyncio.create_task(asker.ask([one, two], ASK, 5.0))
    await asyncio.sleep(0)
    request = one.link.sent[0].request
    asker.receive("one", GrantPlace(request=request))
    place = await waiting
    assert isinstance(place, Place)
    assert two.link.sent[-1] == EndPlace(request=request)
    asker.receive("two", GrantPlace(request=request))
    assert two.link.sent[-1] == EndPlace(request=request)
    place.end(0.1, 0.4)
    assert one.link.sent[-1] == EndPlace(request=request, first_s=0.1, stream_s=0.4)


@pytest.mark.parametrize(
    "waits, rank, expected", [([0.0, 0.2], 5, 0.2), ([0.1], 0, 0.1)]
)
async def test_last_wait_told_holds_for_all_further_ranks(waits, rank, expected):
    """Guards against ranks that seem to wait for nothing since they were left out."""
    asker = asker_with(one=EngineState(waits_s=waits))
    now = asyncio.get_running_loop().time()
    assert asker.agents["one"].expected_wait_s(rank, now) == expected
