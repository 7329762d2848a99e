"""States of an engine: which slots an agent counts, how often it tells whom."""

import asyncio
import time

import attrs
import pytest

from acaciarelay.programs import relay_agent, slot_granter
from acaciarelay.programs.relay_agent import RelayAgent
from acaciarelay.programs.relay_settings import RelaySettings
from acaciarelay.programs.slot_granter import coarse_waits
from acaciarelay.protocol.link_messages import (
    EngineState,
    Hello,
    SlotRelease,
    SlotRequest,
    decode_message,
)
from acaciarelay_standins.ports import free_port

ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}


class FakeEntryLink:
    """Link to an entry that records the states sent to it."""

    def __init__(self, number, zone):
        self.peer = Hello(name=f"e-{number}", lifetime="x", address="", zone=zone)
        self.states = []

    def send(self, message):
        return None

    def send_line(self, line):
        message = decode_message(line)
        assert isinstance(message, EngineState)
        self.states.append(message)


class Clock:
    """Stands in for the time module and advances by hand."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now


def states_in_10_s(agent, clock, count, monkeypatch):
    """Return the states that near and far entries get from a busy engine in 10 s."""
    agent.links.clear()
    agent.granter.links.clear()
    links = []
    for number in range(count):
        link = FakeEntryLink(number, f"zone-{'abc'[number % 3]}")
        links.append(link)
        agent.opened(link)
    for step in range(200):
        clock.now += 0.05
        # Each step is a change beyond the rounding.
        waits = [0.05 * 2 ** (step % 5)]
        monkeypatch.setattr(
            agent.granter.queue, "predicted_waits_s", lambda *_, w=waits: w
        )
        agent.granter.publish()
    near = [len(link.states) for link in links if link.peer.zone == "zone-a"]
    far = [len(link.states) for link in links if link.peer.zone != "zone-a"]
    return near, far


@pytest.fixture
async def agent():
    settings = RelaySettings(
        name="agent-1",
        host="127.0.0.1",
        zone="zone-a",
        zones=ZONES,
        caller_address="",
        ready_address="",
        metrics_address="",
        ports=[1, 2],
        seeds=[],
        store_address="",
        engine_address="",
        stop_grace_s=8.0,
        retry_ratio=0.2,
        retry_reserve=50.0,
        retry_window_s=10.0,
        usage_window_s=8.0,
        usage_excess=0.1,
        usage_slack=0.0,
        store_silence_ms=3000.0,
        memory_mb=232.0,
        first_start=True,
    )
    return RelayAgent(settings)


async def test_what_an_agent_sends_is_bounded_as_entries_are_added(agent, monkeypatch):
    """Guards against an agent that tells hundreds of entries each change."""
    clock = Clock()
    monkeypatch.setattr(slot_granter, "time", clock)
    monkeypatch.setattr(agent.granter, "schedule_publish", lambda: None)
    sums = {}
    for count in (6, 36, 72, 144, 288):
        near, far = states_in_10_s(agent, clock, count, monkeypatch)
        sums[count] = sum(near) + sum(far)
        # Each entry still hears once a second.
        assert min(near + far) >= 9
        assert min(near) >= max(far)
    assert sums[144] < 1.3 * sums[72]
    assert sums[288] < 2 * sums[72]


async def test_small_changes_of_long_waits_are_not_sent(agent, monkeypatch):
    """Guards against messages to all entries that say hardly anything new."""
    clock = Clock()
    monkeypatch.setattr(slot_granter, "time", clock)
    monkeypatch.setattr(agent.granter, "schedule_publish", lambda: None)
    link = FakeEntryLink(0, "zone-a")
    agent.opened(link)
    for step in range(200):
        clock.now += 0.05
        waits = [0.0, 0.5 + 0.04 * (step % 2), 1.5 + 0.1 * (step % 2)]
        monkeypatch.setattr(
            agent.granter.queue, "predicted_waits_s", lambda *_, w=waits: w
        )
        agent.granter.publish()
    assert len(link.states) == 1


async def test_kept_parts_are_published_when_they_change(agent, monkeypatch):
    """Guards against hints that entries never get, or get again and again."""
    clock = Clock()
    monkeypatch.setattr(slot_granter, "time", clock)
    monkeypatch.setattr(agent.granter, "schedule_publish", lambda: None)
    link = FakeEntryLink(0, "zone-a")
    agent.opened(link)
    for number in range(40):
        clock.now += 0.6
        agent.receive(
            link,
            SlotRequest(
                request=f"r-{number}",
                organisation="workshop",
                rank=0,
                late=False,
                wait_s=1.0,
                time_left_s=5.0,
                prompt_tokens=3000,
                output_tokens=10,
                slots=6,
                asked=1,
                memory_tokens=100_000,
                parts={7: 1000, 9: 2000},
            ),
        )
        # The first request reads the whole prompt.
        first_s = 0.0825 if number == 0 else 0.0325
        clock.now += 0.1
        release = SlotRelease(request=f"r-{number}", first_s=first_s, stream_s=0.05)
        agent.receive(link, release)
        agent.granter.publish()
    assert link.states[-1].kept == {7: 1000, 9: 2000}
    assert agent.granter.kept.parts.kept_tokens({7: 1000, 8: 1500}) == 1000
    # Other fields settle within the first states.
    assert len(link.states) < 6
    speed = agent.granter.model.speed()
    assert speed.first_s == pytest.approx(0.025, rel=0.1)
    agent.granter.kept.clear()
    clock.now += 1.0
    agent.granter.publish()
    assert link.states[-1].kept == {}


def test_rounded_waits_tell_free_slots_from_short_queues():
    """Guards against a queue that is published as a free slot, or the other way."""
    for wait_s in (0.0, 0.009, 0.011, 0.02, 0.03, 0.1, 0.35, 1.0, 20.0):
        (rounded_s,) = coarse_waits([wait_s])
        assert (rounded_s > 0) == (wait_s >= 0.01)
        assert abs(rounded_s - wait_s) <= max(0.011, 0.125 * wait_s)


def choose_ports(agent):
    """Let an agent listen at ports that are free."""
    agent.settings = attrs.evolve(
        agent.settings,
        ports=[free_port(2), 0],
        metrics_address=f"127.0.0.1:{free_port()}",
    )


async def test_untracked_runs_are_forgotten_when_no_report_comes(agent, monkeypatch):
    """Guards against slots that stay taken because a window's last report failed."""
    monkeypatch.setattr(slot_granter, "UNTRACKED_RUNS_WINDOW_S", 0.2)
    agent.granter.reports.address = "127.0.0.1:1"
    agent.granter.untracked_runs = 4
    agent.granter.untracked_until = time.monotonic() + 0.2
    choose_ports(agent)
    running = asyncio.create_task(agent.run())
    await asyncio.sleep(1.0)
    assert agent.granter.untracked_runs == 0
    agent.stopping.set()
    assert await running == 0


async def test_an_error_in_reading_a_report_does_not_end_the_agent(agent, monkeypatch):
    """Guards against an agent that ends with the slots it has granted."""

    async def fail():
        raise RuntimeError("unexpected")

    choose_ports(agent)
    monkeypatch.setattr(agent.granter.reports, "read", fail)
    running = asyncio.create_task(agent.run())
    await asyncio.sleep(3 * relay_agent.REPORT_INTERVAL_S)
    assert not running.done()
    agent.stopping.set()
    assert await running == 0
