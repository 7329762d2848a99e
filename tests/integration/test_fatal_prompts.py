"""A prompt part that crashes engines is kept from them; benign prompts are served."""

import asyncio
import os
import signal
import time

import attrs
import pytest
from integration.platform_fleet import PlatformFleet
from integration.test_platform_path import wait_until
from relay_rig import configuration, route

ENGINES = (1, 2, 3, 4, 5)
ENTRIES = ("entry-1", "entry-2")
CONTACT_S = 3.0
# Requests with the part that may reach engines once the processes must know it.
MAX_LATE_ARRIVALS = 3
CRASHES_THAT_TELL = 5
FATAL = "dead"
OTHER_FATAL = "deaf"
FATAL_PARTS = frozenset([FATAL, OTHER_FATAL])
FATAL_INTERVAL_S = 0.3
BENIGN_INTERVAL_S = 0.08
OTHER_CALLERS = 12


@attrs.frozen
class Answer:
    """When a benign request was sent, and whether it was served."""

    sent_at: float
    served: bool


class Callers:
    """Callers of a fleet whose prompts share parts; some prompts are fatal."""

    def __init__(self, fleet, shared=("first",), fatal_interval_s=FATAL_INTERVAL_S):
        self.fleet = fleet
        self.shared = shared
        self.fatal_interval_s = fatal_interval_s
        self.answers = []
        self.tasks = []
        self.count = 0

    def send(self, parts, answers=None):
        self.count += 1
        entry = ENTRIES[self.count % len(ENTRIES)]
        # The last part belongs to the request alone.
        prefix = "".join(f"{part}:60," for part in parts) + f"{self.count:06x}:500"
        call = self.call(entry, prefix, f"r-{self.count}", answers)
        self.tasks.append(asyncio.create_task(call))

    async def call(self, entry, prefix, attempt, answers):
        sent_at = time.monotonic()
        try:
            answer = await self.fleet.call(entry, "/chat/a", attempt, parts=prefix)
        except OSError:
            answer = None
        if answers is not None:
            served = answer is not None and answer.status == 200 and answer.complete
            answers.append(Answer(sent_at, served))

    async def send_for(self, seconds, fatal_parts=None):
        """Send benign requests, some with the first parts of the fatal ones."""
        end_at = time.monotonic() + seconds
        fatal_at = 0.0
        while time.monotonic() < end_at:
            self.send(self.shared, self.answers)
            self.send([f"other{self.count % OTHER_CALLERS}"])
            if fatal_parts and time.monotonic() >= fatal_at:
                fatal_at = time.monotonic() + self.fatal_interval_s
                self.send(fatal_parts)
            await asyncio.sleep(BENIGN_INTERVAL_S)

    def served_after(self, at):
        served = [answer.served for answer in self.answers if answer.sent_at >= at]
        return sum(served) / len(served)


async def start(fleet, with_agents=True):
    for number in ENGINES:
        await fleet.add_runner("engine", number)
        if with_agents:
            await fleet.add_agent(number)
    for number in range(1, len(ENTRIES) + 1):
        await fleet.add_entry(number)
    if with_agents:
        await wait_until(fleet, lambda: linked(fleet))
    for runner in fleet.runners.values():
        runner.faults.fatal_parts = [FATAL]


def linked(fleet):
    for name in ENTRIES:
        lines = fleet.programs[name].log()
        events = [line["message_type"] for line in lines]
        if events.count("agent_regained") < len(ENGINES):
            return False
    return True


def fatal_arrivals(fleet, after):
    arrivals = 0
    for runner in fleet.runners.values():
        for run in runner.runs:
            is_fatal = not FATAL_PARTS.isdisjoint(run.parts)
            arrivals += is_fatal and run.at >= after
    return arrivals


async def check(fleet, callers, fatal_parts):
    """Send fatal prompts until their effect can be judged, and judge it."""
    known_at = time.monotonic() + CONTACT_S
    while time.monotonic() < known_at + CONTACT_S + 2.0:
        await callers.send_for(1.0, fatal_parts)
        assert fleet.crashes, "no engine crashed"
        known_at = fleet.crashes[:CRASHES_THAT_TELL][-1] + CONTACT_S
    await asyncio.gather(*callers.tasks)
    assert fatal_arrivals(fleet, known_at) <= MAX_LATE_ARRIVALS
    assert callers.served_after(known_at + CONTACT_S) >= 0.5


@pytest.mark.parametrize(
    "fatal_parts",
    [["first", FATAL], [FATAL], [FATAL, "first"]],
    ids=["second", "alone", "before-a-shared-one"],
)
async def test_prompts_that_crash_engines_stop_reaching_them(tmp_path, fatal_parts):
    """Guards against a kind of request that crashes one engine after the other."""
    async with PlatformFleet(tmp_path) as fleet:
        await start(fleet)
        callers = Callers(fleet)
        await callers.send_for(1.0)
        await check(fleet, callers, fatal_parts)


SHARED = {
    "16": [f"{0xA000 + number:x}" for number in range(16)],
    "900": [f"{0xA000 + number:x}" for number in range(900)],
    "long-ids": [f"{0xA000 + number:x}" * 40 for number in range(40)],
}


def with_long_heads():
    """Return a configuration that allows heads with hundreds of parts."""
    routes = [route("/chat/", "streaming", service="engine", resumable=True)]
    value = configuration(2, routes=routes)
    value["services"][1]["engine"] = {"slots": 8, "kvTokens": 100_000}
    value["limits"]["maxHeaderBytes"] = 16_384
    return value


@pytest.mark.parametrize("with_agents", [True, False], ids=["agents", "no-agents"])
@pytest.mark.parametrize("shared", SHARED)
async def test_a_fatal_part_behind_many_shared_ones_is_kept_from_engines(
    tmp_path, shared, with_agents
):
    """Guards against a fatal part that is not seen for its place or for its id."""
    async with PlatformFleet(tmp_path) as fleet:
        fleet.configure(with_long_heads())
        await start(fleet, with_agents)
        callers = Callers(fleet, SHARED[shared], fatal_interval_s=0.5)
        await callers.send_for(1.0)
        await check(fleet, callers, [*SHARED[shared], FATAL])


async def test_two_fatal_parts_behind_many_shared_ones_are_kept_from_engines(tmp_path):
    """Guards against one suspicion that hides another one."""
    async with PlatformFleet(tmp_path) as fleet:
        await start(fleet)
        shared = SHARED["16"]
        callers = Callers(fleet, shared)
        await callers.send_for(1.0)
        other = asyncio.create_task(send_others(callers, [*shared[:8], OTHER_FATAL]))
        for number in range(1, len(ENGINES) + 1):
            runner = fleet.runners[f"i-{number}"]
            runner.faults.fatal_parts = [FATAL, OTHER_FATAL]
        await check(fleet, callers, [*shared, FATAL])
        other.cancel()


async def send_others(callers, parts):
    while True:
        callers.send(parts)
        await asyncio.sleep(FATAL_INTERVAL_S)


async def test_fatal_prompts_that_come_at_once_stop_reaching_engines(tmp_path):
    """Guards against engines that crash together and are taken for a loss of power."""
    async with PlatformFleet(tmp_path) as fleet:
        await start(fleet)
        callers = Callers(fleet)
        await callers.send_for(1.0)
        for _ in ENGINES:
            callers.send(["first", FATAL])
        await callers.send_for(CONTACT_S + 2.0)
        assert len(fleet.crashes) >= CRASHES_THAT_TELL
        known_at = fleet.crashes[CRASHES_THAT_TELL - 1] + CONTACT_S
        for _ in ENGINES:
            callers.send(["first", FATAL])
        await callers.send_for(3.0)
        await asyncio.gather(*callers.tasks)
        assert fatal_arrivals(fleet, known_at) <= MAX_LATE_ARRIVALS
        assert callers.served_after(known_at + CONTACT_S) >= 0.5


async def test_a_restarted_entry_keeps_fatal_prompts_from_engines(tmp_path):
    """Guards against what a restart forgets of prompts that crash engines."""
    async with PlatformFleet(tmp_path) as fleet:
        await start(fleet)
        callers = Callers(fleet)
        await callers.send_for(4.0, ["first", FATAL])
        await fleet.programs["entry-2"].stop()
        await fleet.programs["entry-2"].start()
        await fleet.until_ready("entry-2")
        known_at = time.monotonic() + CONTACT_S
        await callers.send_for(CONTACT_S + 3.0, ["first", FATAL])
        await asyncio.gather(*callers.tasks)
        assert fatal_arrivals(fleet, known_at) <= MAX_LATE_ARRIVALS


async def test_entries_without_agents_keep_fatal_prompts_from_engines(tmp_path):
    """Guards against crashes that nobody sees while the agents are gone."""
    async with PlatformFleet(tmp_path) as fleet:
        await start(fleet, with_agents=False)
        callers = Callers(fleet)
        await callers.send_for(1.0)
        await check(fleet, callers, ["first", FATAL])


async def test_an_entry_frozen_during_the_crashes_learns_of_them(tmp_path):
    """Guards against a process that wakes and sends on what crashed engines."""
    async with PlatformFleet(tmp_path) as fleet:
        await start(fleet)
        callers = Callers(fleet)
        await callers.send_for(1.0)
        process = fleet.programs["entry-2"].process
        os.kill(process.pid, signal.SIGSTOP)
        await callers.send_for(3.0, ["first", FATAL])
        os.kill(process.pid, signal.SIGCONT)
        known_at = time.monotonic() + CONTACT_S
        await callers.send_for(CONTACT_S + 3.0, ["first", FATAL])
        await asyncio.gather(*callers.tasks)
        assert fatal_arrivals(fleet, known_at) <= MAX_LATE_ARRIVALS
