"""Placement: order of the agents that are asked, grants and refusals."""

import asyncio
import random
import types

import pytest

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.slot_client import EngineSlot, SlotClient, SlotDenied
from acaciarelay.programs.relay_placement import Placer
from acaciarelay.protocol.link_messages import (
    EngineState,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from acaciarelay.state.endpoints import Endpoint

REGIONS_BY_ZONE = {"zone-a": "region-a", "zone-b": "region-b"}
SLOT_REQUEST = SlotRequest(
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
    """Link to one agent that records what is sent."""

    def __init__(self, host):
        self.peer_host = host
        self.last_received_at = asyncio.get_running_loop().time()
        self.round_trip_s = 0.0
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def endpoint(host, zone="zone-a"):
    return Endpoint(
        endpoint_id=f"i-{host}",
        service="engine",
        address=f"{host}:8000",
        zone=zone,
        slots=8,
        draining=False,
        started_ms=0,
    )


def client_with(**states):
    slot_client = SlotClient()
    for host, state in states.items():
        link = FakeLink(host)
        slot_client.link_opened(host, link)
        if state is not None:
            slot_client.receive(host, state)
    return slot_client


def ranked_hosts(slot_client, endpoints, prompt=1700, output=50):
    """Return the hosts in the order in which their agents would be asked."""
    placer = Placer(
        None,
        EndpointHealth("zone-a", REGIONS_BY_ZONE, random.Random(1)),
        slot_client,
        None,
    )
    relayed = types.SimpleNamespace(
        rank=0,
        deadline=asyncio.get_running_loop().time() + 15.0,
        traits=types.SimpleNamespace(
            shared_chain={},
            prompt_tokens=prompt,
            expected_output=output,
            output_tokens=output,
        ),
    )
    by_host = {e.host: e for e in endpoints}
    now = asyncio.get_running_loop().time()
    return [agent.host for agent in placer._choose_agents(relayed, by_host, now)]


async def test_fast_engine_is_preferred_to_a_slow_one():
    """Guards against a ranking that ignores the speed of the engines."""
    fast = EngineState(waits_s=[0.0], first_s=0.02, token_s=0.005)
    slow = EngineState(waits_s=[0.0], first_s=0.1, token_s=0.015)
    slot_client = client_with(slow=slow, fast=fast)
    assert ranked_hosts(slot_client, [endpoint("slow"), endpoint("fast")])[0] == "fast"


async def test_slow_engine_is_preferred_to_a_long_wait():
    """Guards against a fast engine that is preferred however long its queue is."""
    fast = EngineState(waits_s=[0.5], first_s=0.02, token_s=0.005)
    slow = EngineState(waits_s=[0.0], first_s=0.1, token_s=0.015)
    slot_client = client_with(slow=slow, fast=fast)
    assert ranked_hosts(slot_client, [endpoint("slow"), endpoint("fast")])[0] == "slow"


async def test_long_answer_is_placed_where_it_finishes_in_time():
    """Guards against long answers that exceed their time limit on a slow engine."""
    fast = EngineState(waits_s=[0.5], first_s=0.02, token_s=0.005)
    slow = EngineState(waits_s=[0.0], first_s=0.1, token_s=0.015)
    slot_client = client_with(slow=slow, fast=fast)
    endpoints = [endpoint("slow"), endpoint("fast")]
    assert ranked_hosts(slot_client, endpoints, output=1500)[0] == "fast"


async def test_near_engine_is_preferred_to_an_equal_distant_one():
    """Guards against needless traffic between regions, which costs money."""
    state = EngineState(waits_s=[0.0], first_s=0.05, token_s=0.03)
    slot_client = client_with(away=state, here=state)
    assert (
        ranked_hosts(slot_client, [endpoint("away", "zone-b"), endpoint("here")])[0]
        == "here"
    )


async def test_refusal_by_all_agents_ends_the_wait():
    """Guards against a wait that goes on although all agents have refused."""
    slot_client = client_with(one=None, two=None)
    agents = list(slot_client.agents.values())
    waiting = asyncio.create_task(slot_client.acquire(agents, SLOT_REQUEST, 5.0))
    await asyncio.sleep(0)
    request = agents[0].link.sent[0].request
    for agent in agents:
        slot_client.receive(agent.host, SlotRefusal(request=request))
    async with asyncio.timeout(1):
        assert await waiting == SlotDenied(refused=True)


async def test_lost_link_does_not_count_as_a_refusal():
    """Guards against a lost link that is taken for a refusal by the agent."""
    slot_client = client_with(one=None)
    agent = slot_client.agents["one"]
    waiting = asyncio.create_task(slot_client.acquire([agent], SLOT_REQUEST, 5.0))
    await asyncio.sleep(0)
    slot_client.link_closed("one", agent.link)
    async with asyncio.timeout(1):
        assert await waiting == SlotDenied(refused=False)


async def test_first_grant_is_used_and_the_others_are_withdrawn():
    """Guards against granted slots that nobody uses."""
    slot_client = client_with(one=None, two=None)
    one, two = slot_client.agents.values()
    waiting = asyncio.create_task(slot_client.acquire([one, two], SLOT_REQUEST, 5.0))
    await asyncio.sleep(0)
    request = one.link.sent[0].request
    slot_client.receive("one", SlotGrant(request=request))
    slot = await waiting
    assert isinstance(slot, EngineSlot)
    assert two.link.sent[-1] == SlotRelease(request=request)
    slot_client.receive("two", SlotGrant(request=request))
    assert two.link.sent[-1] == SlotRelease(request=request)
    slot.release(0.1, 0.4)
    assert one.link.sent[-1] == SlotRelease(request=request, first_s=0.1, stream_s=0.4)


@pytest.mark.parametrize(
    "waits, rank, expected", [([0.0, 0.2], 5, 0.2), ([0.1], 0, 0.1)]
)
async def test_last_published_wait_holds_for_all_further_ranks(waits, rank, expected):
    """Guards against a wait of 0 for ranks after the last published wait."""
    slot_client = client_with(one=EngineState(waits_s=waits))
    now = asyncio.get_running_loop().time()
    assert slot_client.agents["one"].expected_wait_s(rank, now) == expected
