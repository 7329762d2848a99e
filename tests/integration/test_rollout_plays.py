"""Monitored rollouts over real processes: orders, the share, ends and takeovers."""

import asyncio
import base64
import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator
from typing import Any

import attrs
import orjson
from integration.platform_fleet import PlatformFleet

from acaciarelay_standins.runner_faults import BadVersion

ENTRIES = (1, 2, 3)
OLD_RUNNERS = (1, 2, 3, 4)
NEW_RUNNERS = (5, 6, 7, 8)
SETTINGS = {
    "rollout_share": 0.1,
    "rollout_slack": 50,
    "rollout_bound_ms": "5000",
    "usage_slack": 1_000_000,
}
SHARE = 0.1
SLACK = 50
ROLL_BACK_BOUND_S = 5.0
BAD_ANSWERS_BEFORE_BOUND = 50
# Requests per second over all entries, and the routes that they use in turn.
RATE = 150
ROUTES = ("/read/", "/order/")
# Streams take more work of the test's own loop, and longer at the engines, so that
# their times don't depend on the load of the machine.
STREAM_RATE = 50
STREAM_FIELDS = {"work_s": 0.1, "step_s": 0.02}
DURATION_S = 10.0
# Requests that may fail on a busy machine for reasons other than the rollout.
MAX_BAD_SHARE = 0.05
# How much later than the end of an order its status may be written on a busy machine.
STATUS_MARGIN_S = 3.0


@attrs.frozen
class Answer:
    at: float
    status: int


@attrs.define(eq=False)
class Load:
    """Requests to all live entries at a steady rate, until the end of the block."""

    fleet: PlatformFleet
    routes: tuple[str, ...] = ROUTES
    rate: float = RATE
    answers: list[Answer] = attrs.Factory(list)
    calls: set[asyncio.Task] = attrs.Factory(set)
    down: set[str] = attrs.Factory(set)

    async def run(self) -> None:
        rng = random.Random(1)
        began = time.monotonic()
        number = 0
        while True:
            number += 1
            entries = [f"entry-{n}" for n in ENTRIES if f"entry-{n}" not in self.down]
            task = asyncio.create_task(self.call(rng.choice(entries), number))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
            due_at = began + number / self.rate
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))

    async def call(self, entry: str, number: int) -> None:
        target = self.routes[number % len(self.routes)] + "x"
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            answer = await self.fleet.call(entry, target, f"r-{number}")
            status = answer.status if answer.complete else 0
        self.answers.append(Answer(time.monotonic(), status))

    def bad_share(self, since: float = 0.0) -> float:
        answers = [answer for answer in self.answers if answer.at >= since]
        assert answers, "no request was answered"
        return sum(answer.status != 200 for answer in answers) / len(answers)


@contextlib.asynccontextmanager
async def rollout_fleet(
    folder: Any, service: str = "orders"
) -> AsyncIterator[tuple[PlatformFleet, Load]]:
    """Start entries, runners of the old version and requests.

    The runners of service ``engine`` have agents, those of the other one don't.
    """
    async with PlatformFleet(folder) as fleet:
        fields = STREAM_FIELDS if service == "engine" else {}
        for number in OLD_RUNNERS:
            await fleet.add_runner(service, number, **fields)
            if service == "engine":
                await fleet.add_agent(number)
        for number in ENTRIES:
            await fleet.add_entry(number, **SETTINGS)
        load = Load(fleet)
        if service == "engine":
            load.routes, load.rate = ("/chat/",), STREAM_RATE
        task = asyncio.create_task(load.run())
        await asyncio.sleep(1.0)
        try:
            yield fleet, load
        finally:
            task.cancel()
            for call in load.calls:
                call.cancel()


async def start_new(
    fleet: PlatformFleet, bad: BadVersion | None = None, service: str = "orders"
) -> None:
    """Start the runners of the new version, which all share their faults."""
    for number in NEW_RUNNERS:
        fields: dict[str, Any] = {} if bad is None else {"bad": bad}
        if service == "engine":
            fields |= STREAM_FIELDS
        await fleet.add_runner(service, number, version="v2", **fields)
        if service == "engine":
            await fleet.add_agent(number)


def order(fleet: PlatformFleet, service: str = "orders", **fields: Any) -> float:
    """Write an order, and return the time."""
    value = {"service": service, "to": "v2", "durationS": DURATION_S} | fields
    fleet.writer.write("op", f"rollout/{service}", value)
    return time.monotonic()


def status(fleet: PlatformFleet, service: str = "orders") -> dict[str, str] | None:
    """Return the status of a service as the platform reads it."""
    rows = fleet.store.rows("status", "", fleet.store.version)
    row = rows.get(f"rollout/{service}")
    if row is None or row.value is None:
        return None
    return orjson.loads(base64.b64decode(row.value))


async def until_end(fleet: PlatformFleet, until: float, service: str = "orders") -> str:
    """Wait for the end state of the order."""
    while True:
        found = status(fleet, service)
        if found is not None and found["state"] != "running":
            assert found["to"] == "v2"
            return found["state"]
        assert time.monotonic() < until, f"no end state in time: {found}"
        await asyncio.sleep(0.02)


def runs(fleet: PlatformFleet, numbers: tuple[int, ...], since: float) -> list[float]:
    """Return the times of the requests at some runners since a time."""
    times = []
    for number in numbers:
        for run in fleet.runners[f"i-{number}"].runs:
            if run.at >= since:
                times.append(run.at)
    return sorted(times)


def assert_share_kept(fleet: PlatformFleet, since: float, until: float) -> int:
    """Return how many requests the new version got, after a check of its share."""
    new = [at for at in runs(fleet, NEW_RUNNERS, since) if at <= until]
    old = [at for at in runs(fleet, OLD_RUNNERS, since) if at <= until]
    assert len(new) <= SHARE * (len(new) + len(old)) + SLACK
    return len(new)


def stop_old(fleet: PlatformFleet) -> None:
    """Stop the old runners at once, as the platform does after a success."""
    for number in OLD_RUNNERS:
        name = f"i-{number}"
        fleet.registrations[name].cancel()
        fleet.servers[name].close()
        runner = fleet.runners[name]
        for connection in list(runner.connections):
            connection.abort()
        fleet.writer.write("servers", runner.endpoint_id, None)


def coordinator(fleet: PlatformFleet) -> str:
    """Return the name of the entry that holds the lease."""
    row = fleet.store.rows("rollouts", "", fleet.store.version)["orders"]
    holder = orjson.loads(base64.b64decode(row.value or ""))["holder"]
    for name, program in fleet.programs.items():
        if holder.startswith(program.settings["host"] + ":"):
            return name
    raise AssertionError(f"no entry is {holder}")


async def until_shared(fleet: PlatformFleet) -> None:
    """Wait until an entry coordinates and the new version gets its share.

    Until the entries know the order, the new engines get requests as any others.
    """
    deadline = time.monotonic() + 5.0
    while not fleet.store.rows("rollouts", "", fleet.store.version):
        assert time.monotonic() < deadline, "no entry coordinates"
        await asyncio.sleep(0.05)
    since = time.monotonic()
    while not runs(fleet, NEW_RUNNERS, since):
        assert time.monotonic() < deadline, "the new version gets no requests"
        await asyncio.sleep(0.05)


async def test_a_good_version_gets_its_share_and_then_all_traffic(tmp_path):
    """Guards against a good version that is rolled back or gets too much too soon."""
    async with rollout_fleet(tmp_path) as (fleet, load):
        ordered_at = order(fleet)
        await start_new(fleet)
        end_at = ordered_at + DURATION_S
        state = await until_end(fleet, end_at + STATUS_MARGIN_S)
        ended_at = time.monotonic()
        stop_old(fleet)
        assert state == "succeeded"
        # The lead of the full traffic is 1.5 s.
        new = assert_share_kept(fleet, ordered_at, end_at - 1.6)
        assert new >= 20
        await asyncio.sleep(1.5)
        assert runs(fleet, OLD_RUNNERS, ended_at) == []
        assert load.bad_share() < MAX_BAD_SHARE


async def test_a_bad_version_is_rolled_back_in_time(tmp_path):
    """Guards against a bad version that goes on to get requests."""
    bad = BadVersion(failures=0.4)
    async with rollout_fleet(tmp_path) as (fleet, load):
        await start_new(fleet, bad)
        ordered_at = order(fleet, durationS=14)
        state = await until_end(fleet, ordered_at + 14 + STATUS_MARGIN_S)
        ended_at = time.monotonic()
        assert state == "rolled_back"
        bad_at = sorted(
            at for n in NEW_RUNNERS for at in fleet.runners[f"i-{n}"].bad_at
        )
        last = max(runs(fleet, NEW_RUNNERS, ordered_at))
        if len(bad_at) >= BAD_ANSWERS_BEFORE_BOUND:
            assert last <= bad_at[BAD_ANSWERS_BEFORE_BOUND - 1] + ROLL_BACK_BOUND_S
        assert_share_kept(fleet, ordered_at, ended_at)
        await asyncio.sleep(2.5)
        assert runs(fleet, NEW_RUNNERS, ended_at + 2.0) == []
        # The end state is final, also for an entry that starts now.
        await fleet.programs["entry-2"].stop()
        await fleet.programs["entry-2"].start()
        await fleet.until_ready("entry-2")
        before = time.monotonic()
        await asyncio.sleep(1.0)
        assert runs(fleet, NEW_RUNNERS, before) == []
        assert status(fleet) == {"state": "rolled_back", "to": "v2"}


async def test_engines_with_agents_that_are_slow_are_rolled_back(tmp_path):
    """Guards against slowness that the waits for slots or the counts hide."""
    bad = BadVersion(slowness=4.0)
    async with rollout_fleet(tmp_path, "engine") as (fleet, _):
        ordered_at = order(fleet, "engine", durationS=14)
        await start_new(fleet, bad, "engine")
        until = ordered_at + 14 + STATUS_MARGIN_S
        assert await until_end(fleet, until, "engine") == "rolled_back"
        ended_at = time.monotonic()
        assert_share_kept(fleet, ordered_at, ended_at)
        await asyncio.sleep(2.5)
        assert runs(fleet, NEW_RUNNERS, ended_at + 2.0) == []


async def test_another_entry_goes_on_when_the_coordinator_is_killed(tmp_path):
    """Guards against an order without an end, or one that starts from nothing."""
    async with rollout_fleet(tmp_path) as (fleet, load):
        await start_new(fleet)
        ordered_at = order(fleet, durationS=14)
        await until_shared(fleet)
        first = coordinator(fleet)
        load.down.add(first)
        await fleet.programs[first].stop(signal.SIGKILL)
        killed_at = time.monotonic()
        state = await until_end(fleet, ordered_at + 14 + STATUS_MARGIN_S)
        assert state == "succeeded"
        assert coordinator(fleet) != first
        # Permissions end 2 s after the kill, and the lease is taken over after 3 s.
        resumed = runs(fleet, NEW_RUNNERS, killed_at + 3.0)
        assert resumed and resumed[0] <= killed_at + 3.0 + 3.0
        assert_share_kept(fleet, ordered_at, ordered_at + 14 - 2.1)
        assert load.bad_share(killed_at + 0.5) < MAX_BAD_SHARE


async def test_a_coordinator_that_stops_hands_the_order_over(tmp_path):
    """Guards against a rollout that pauses for a lease at each replaced entry."""
    async with rollout_fleet(tmp_path) as (fleet, load):
        await start_new(fleet)
        ordered_at = order(fleet, durationS=14)
        await until_shared(fleet)
        first = coordinator(fleet)
        load.down.add(first)
        stopped_at = time.monotonic()
        await fleet.programs[first].stop(signal.SIGTERM)
        while coordinator(fleet) == first:
            assert time.monotonic() < stopped_at + 2.5, "nobody took the lease over"
            await asyncio.sleep(0.05)
        state = await until_end(fleet, ordered_at + 14 + STATUS_MARGIN_S)
        assert state == "succeeded"


async def test_engines_are_replaced_without_an_order_as_before(tmp_path):
    """Guards against engines of a version that no order names and nobody uses."""
    async with rollout_fleet(tmp_path) as (fleet, load):
        await start_new(fleet)
        began = time.monotonic()
        await asyncio.sleep(1.5)
        assert len(runs(fleet, NEW_RUNNERS, began)) > 0.2 * RATE
        for number in OLD_RUNNERS:
            fleet.states[f"i-{number}"] = "draining"
        await asyncio.sleep(1.5)
        later = time.monotonic()
        await asyncio.sleep(1.0)
        assert runs(fleet, OLD_RUNNERS, later) == []
        assert load.bad_share() < MAX_BAD_SHARE
        # Nothing of a rollout is read while there is no order.
        assert status(fleet) is None
        assert fleet.store.calls["/rows-tx"] == 0
        assert fleet.store.calls["/rows-get"] <= 3 * 2 * len(ENTRIES)
