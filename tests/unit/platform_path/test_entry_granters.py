"""Granters in entries: grants without an agent, and moves from one to another."""

import asyncio
import time

import pytest
from granter_rig import SLOTS, GranterFleet, GrantingEntry, engine

from acaciarelay.coordination.granter_choice import FIRST_LINK_S
from acaciarelay.coordination.slot_client import EngineSlot, SlotDenied
from acaciarelay.protocol.link_messages import Hello, SlotRelease

HOST = "127.0.7.1"


class FakeAgentLink:
    """Link to the agent beside an engine that records what is sent."""

    peer = None
    round_trip_s = 0.0

    def __init__(self):
        self.sent = []

    @property
    def last_received_at(self):
        return asyncio.get_running_loop().time()

    def send(self, message):
        self.sent.append(message)


def reach_agent(entry, host=HOST):
    link = FakeAgentLink()
    entry.client.link_opened(host, link)
    entry.granters.agent_reached(host)
    return link


def held_at(entry, host=HOST):
    """Return the names of the requests with a slot of this granter."""
    return sorted(
        key[1] for key in entry.granters.granted.granted[host].granter.queue.granted
    )


async def fill(entry, host=HOST):
    slots = [await entry.acquire(host, f"first-{n}") for n in range(SLOTS)]
    assert all(isinstance(slot, EngineSlot) for slot in slots)
    return slots


async def test_an_entry_alone_grants_by_rank():
    """Guards against an entry without agents and peers that keeps no order."""
    async with GranterFleet(1) as fleet:
        fleet.register(HOST)
        (entry,) = fleet.entries.values()
        held = await fill(entry)
        late = asyncio.create_task(entry.acquire(HOST, "late", rank=2))
        await asyncio.sleep(0.05)
        urgent = asyncio.create_task(entry.acquire(HOST, "urgent", rank=0))
        await asyncio.sleep(0.05)
        assert not late.done() and not urgent.done()
        held[0].release()
        slot = await urgent
        assert isinstance(slot, EngineSlot) and not late.done()
        slot.release()
        assert isinstance(await late, EngineSlot)


async def test_all_entries_ask_one_granter():
    """Guards against entries that grant the slots of one engine side by side."""
    async with GranterFleet(3) as fleet:
        fleet.register(HOST)
        granter = fleet.granter(HOST)
        tasks = []
        for number, entry in enumerate(fleet.entries.values()):
            for name in range(SLOTS):
                call = entry.acquire(HOST, f"{number}-{name}", wait_s=0.5)
                tasks.append(asyncio.create_task(call))
        results = await asyncio.gather(*tasks)
        slots = [slot for slot in results if isinstance(slot, EngineSlot)]
        assert len(slots) == SLOTS
        assert len(held_at(granter)) == SLOTS
        for slot in slots:
            slot.release()
        await fleet.until(lambda: not held_at(granter))


async def test_a_waiting_request_outlives_its_granter():
    """Guards against requests, and counts of slots, that are lost with a granter."""
    async with GranterFleet(3) as fleet:
        fleet.register(HOST)
        granter = fleet.granter(HOST)
        asking, other = fleet.others(granter)
        held = await fill(asking)
        waiting = asyncio.create_task(other.acquire(HOST, "waiting", wait_s=2.0))
        await asyncio.sleep(0.1)
        fleet.stop(granter.hello.address)
        await fleet.until(lambda: fleet.is_decided(HOST))
        deputy = fleet.granter(HOST)
        await fleet.until(lambda: len(held_at(deputy)) == SLOTS)
        assert not waiting.done()
        held[0].release()
        assert isinstance(await waiting, EngineSlot)
        assert len(held_at(deputy)) == SLOTS


async def test_a_silent_granter_is_replaced_within_the_wait():
    """Guards against requests that wait in vain for a process that is frozen."""
    async with GranterFleet(3) as fleet:
        fleet.register(HOST)
        granter = fleet.granter(HOST)
        asking, _ = fleet.others(granter)
        granter.freeze()
        began = time.monotonic()
        slot = await asking.acquire(HOST, "a", wait_s=1.5)
        assert isinstance(slot, EngineSlot), time.monotonic() - began
        assert asking.granter_of(HOST) != granter.hello.address
        changes = asking.metrics.render()[0].decode()
        assert 'granter_changes_total{reason="silent"} 1' in changes


async def test_a_granter_that_reaches_the_agent_does_not_grant():
    """Guards against two granters for long, an agent and an entry."""
    async with GranterFleet(3) as fleet:
        fleet.register(HOST)
        granter = fleet.granter(HOST)
        asking, _ = fleet.others(granter)
        reach_agent(granter)
        result = await asking.acquire(HOST, "a", wait_s=0.5)
        # It says nothing about the load, so that the request may go elsewhere.
        assert result == SlotDenied(refused=False)
        assert HOST not in asking.client.agents
        assert HOST in asking.client.undecided
        assert HOST not in granter.granters.granted.granted or not held_at(granter)
        # The granter loses the agent, too, and grants.
        granter.client.agents.pop(HOST)
        granter.granters.agent_lost(HOST)
        await fleet.until(lambda: asking.granter_of(HOST) != "")
        assert isinstance(await asking.acquire(HOST, "b"), EngineSlot)


async def test_the_agent_takes_the_waiting_requests_over():
    """Guards against requests that wait at a granter beside an idle agent."""
    async with GranterFleet(2) as fleet:
        fleet.register(HOST)
        granter = fleet.granter(HOST)
        (asking,) = fleet.others(granter)
        held = await fill(granter)
        waiting = asyncio.create_task(asking.acquire(HOST, "waiting"))
        await asyncio.sleep(0.1)
        link = reach_agent(asking)
        assert [message.request.split(".")[0] for message in link.sent] == ["waiting"]
        assert asking.client.agents[HOST].beside_engine
        # Slots are released where they were granted.
        reach_agent(granter)
        assert len(held_at(granter)) == SLOTS
        for slot in held:
            slot.release()
        await fleet.until(lambda: not held_at(granter))
        await fleet.until(lambda: HOST not in granter.granters.granted.granted)
        assert await waiting == SlotDenied(refused=False)
        assert isinstance(link.sent[-1], SlotRelease)


async def test_reachable_agents_cost_nothing(monkeypatch):
    """Guards against messages and work of granters beside agents in reach."""
    async with GranterFleet(2) as fleet:
        for entry in fleet.entries.values():
            entry.granters.update_engines({HOST: engine(HOST)}, time.monotonic())
            reach_agent(entry)
        sent = []
        for entry in fleet.entries.values():
            monkeypatch.setattr(entry.granters, "choose", sent.append)
            for link in entry.peers.links():
                monkeypatch.setattr(link, "send_line", sent.append)
        for entry in fleet.entries.values():
            for _ in range(10):
                entry.granters.tick()
        await asyncio.sleep(FIRST_LINK_S / 10)
        assert sent == []
        assert all(entry.granters.timer is None for entry in fleet.entries.values())


async def test_an_engine_leaves_its_agent_time_to_be_reached():
    """Guards against granters at each start of a deployment with agents."""
    async with GranterFleet(1) as fleet:
        (entry,) = fleet.entries.values()
        entry.granters.update_engines({HOST: engine(HOST)}, time.monotonic())
        assert HOST not in entry.client.agents
        await fleet.until(lambda: HOST in entry.client.agents, FIRST_LINK_S + 1.0)


async def test_an_old_entry_is_not_asked():
    """Guards against requests to peers that do not know what they mean."""
    old = Hello(name="old", lifetime="x", address="127.0.8.9:1", zone="zone-a")
    entry = GrantingEntry(
        Hello(name="new", lifetime="x", address="127.0.8.8:1", zone="zone-a")
    )

    class Link:
        peer = old

    entry.peers.peers[old.address] = type("Peer", (), {"link": Link()})()
    assert entry.granters.granting_links() == {}
    long_ago = time.monotonic() - 60.0
    entry.granters.update_engines({HOST: engine(HOST)}, long_ago)
    entry.granters.choose("absent")
    assert entry.granter_of(HOST) == entry.hello.address
    entry.granters.close()


@pytest.mark.parametrize("declines", [0, 1])
async def test_a_declined_request_shrinks_the_limit(declines):
    """Guards against grants beyond what an engine takes."""
    async with GranterFleet(1) as fleet:
        fleet.register(HOST)
        (entry,) = fleet.entries.values()
        held = await fill(entry)
        for slot in held[:declines]:
            slot.release(declined=True)
        for slot in held[declines:]:
            slot.release()
        await asyncio.sleep(0.05)
        slots = [await entry.acquire(HOST, f"s{n}", wait_s=0.1) for n in range(SLOTS)]
        granted = [slot for slot in slots if isinstance(slot, EngineSlot)]
        assert len(granted) == SLOTS - declines


async def test_an_agent_learns_of_the_slots_that_are_held():
    """Guards against an agent that starts again and grants slots that are in use."""
    async with GranterFleet(1) as fleet:
        fleet.register(HOST)
        (entry,) = fleet.entries.values()
        held = await fill(entry)
        link = FakeAgentLink()
        link.peer = Hello(
            name="agent", lifetime="x", address="", zone="zone-a", grants_slots=True
        )
        entry.client.link_opened(HOST, link)
        entry.granters.agent_reached(HOST)
        claims = [message for message in link.sent if message.held]
        assert len(claims) == SLOTS
        await fleet.until(lambda: HOST not in entry.granters.granted.granted)
        for slot in held:
            slot.release()
        released = {message.request for message in link.sent[SLOTS:]}
        assert released == {message.request for message in claims}
