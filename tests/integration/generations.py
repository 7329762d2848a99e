"""Commits of configuration changes, and reads of the generation in each process."""

import asyncio
import contextlib
import re
import time
from collections.abc import AsyncIterator
from typing import Any

import attrs
import orjson
from integration.support import Answer, record, send
from result import Ok

from acaciarelay.transport.http_client import fetch
from acaciarelay_standins.fleet import OPERATOR_KEY, Fleet

# Required: a change is in force in every process within 10 s.
IN_FORCE_LIMIT_S = 10.0
POLL_S = 0.1
AGENT_METRIC = re.compile(rb"^acaciarelay_config_generation(?:\{\})? ([0-9.e+]+)", re.M)


async def admin_call(
    fleet: Fleet,
    entry: str,
    method: str,
    path: str,
    body: bytes = b"",
    key: str = OPERATOR_KEY,
    headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
    """Call the administration API; error responses are returned, not raised."""
    return await send(
        fleet.entries[entry].http_address, method, path, body, key, headers
    )


async def commit(
    fleet: Fleet, entry: str, *changes: dict[str, Any], **fields: Any
) -> Answer:
    """Apply changes through one entry."""
    body = orjson.dumps({"changes": list(changes), **fields})
    return await admin_call(fleet, entry, "POST", "/admin/v1/apply", body)


def pool_change(name: str, revision: int = 0, subset: int = 20) -> dict[str, Any]:
    body = {"kind": "service", "service": name, "subset": subset}
    return {**record("pool", name, **body), "revision": revision}


async def entry_generation(fleet: Fleet, name: str) -> int | None:
    """Read the generation in force at an entry; ``None`` if it did not answer."""
    headers = [("authorization", f"Bearer {OPERATOR_KEY}")]
    address = fleet.entries[name].http_address
    answer = await fetch(address, "GET", "/admin/v1/generation", headers)
    match answer:
        case Ok(found) if found.status == 200:
            return orjson.loads(found.body)["generation"]
    return None


async def agent_generation(fleet: Fleet, name: str) -> int | None:
    """Read an agent's generation from its metrics; ``None`` if it did not answer."""
    match await fetch(fleet.agents[name].http_address, "GET", "/metrics"):
        case Ok(found):
            value = AGENT_METRIC.search(found.body)
            return int(float(value.group(1))) if value else 0
    return None


@attrs.frozen
class Reading:
    """A generation read between two times, in monotonic seconds."""

    started_at: float
    ended_at: float
    generation: int


@attrs.define
class GenerationMonitor:
    """Record the generations that processes report, by name and address."""

    fleet: Fleet
    readings: dict[str, list[Reading]] = attrs.field(factory=dict)

    async def read_all(self) -> dict[str, int]:
        """Read all generations once; processes that don't answer are left out."""
        names = [*self.fleet.entries, *self.fleet.agents]
        found = await asyncio.gather(*(self.read(name) for name in names))
        return {
            name: generation
            for name, generation in zip(names, found, strict=True)
            if generation is not None
        }

    async def read(self, name: str) -> int | None:
        # A restarted process may begin below its predecessor, so it is recorded apart.
        member = self.fleet.entries.get(name) or self.fleet.agents[name]
        process = f"{name} at {member.http_address}"
        started_at = time.monotonic()
        generation = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                if name in self.fleet.entries:
                    generation = await entry_generation(self.fleet, name)
                else:
                    generation = await agent_generation(self.fleet, name)
        if generation is not None:
            reading = Reading(started_at, time.monotonic(), generation)
            self.readings.setdefault(process, []).append(reading)
        return generation

    def assert_never_decreased(self) -> None:
        """Check that the generation of no process decreased.

        Readings can overlap in time, so two are compared only if one ended before the
        other began.
        """
        for process, readings in self.readings.items():
            for later in readings:
                for reading in readings:
                    if reading.ended_at >= later.started_at:
                        continue
                    message = (
                        f"{process}: generation decreased from {reading} to {later}"
                    )
                    assert reading.generation <= later.generation, message

    async def wait_in_force(self, generation: int, *names: str) -> float:
        """Wait until the named processes, or all, have it; return the seconds."""
        wanted = set(names) or {*self.fleet.entries, *self.fleet.agents}
        started = time.monotonic()
        last: dict[str, int] = {}
        while time.monotonic() < started + IN_FORCE_LIMIT_S:
            last = await self.read_all()
            if all(last.get(name, -1) >= generation for name in wanted):
                return time.monotonic() - started
            await asyncio.sleep(POLL_S)
        raise AssertionError(f"generation {generation} not in force: {last}")


@contextlib.asynccontextmanager
async def monitor_generations(fleet: Fleet) -> AsyncIterator[GenerationMonitor]:
    """Poll generations in the background; at the end, check that none decreased."""
    monitor = GenerationMonitor(fleet)

    async def poll() -> None:
        while True:
            await monitor.read_all()
            await asyncio.sleep(POLL_S)

    task = asyncio.create_task(poll())
    try:
        yield monitor
    finally:
        task.cancel()
    monitor.assert_never_decreased()
