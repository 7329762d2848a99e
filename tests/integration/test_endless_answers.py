"""Engines that send without end beside other requests, over real processes."""

import asyncio
import contextlib
import os
import signal
import time
from pathlib import Path

import attrs
import pytest
from integration.platform_fleet import PlatformFleet

from acaciarelay_standins.runner_faults import RunnerFaults

ENDLESS_ENGINES = 2
SOUND_ENGINES = 2
STREAM_CALLERS = 10
ORDER_CALLERS = 4
LIMIT_S = 2.0
# A machine of the smallest class has 0.387 of a core.
PROCESSOR_SHARE = 0.387
PERIOD_S = 0.1
# Processor time that the entry can have while engines send, 5 s of such a machine.
TROUBLE_S = 5.0 * PROCESSOR_SHARE
# A busy machine needs longer to give a process that much.
TROUBLE_LIMIT_S = 60.0
# Parts of an answer, each of another form: no events, odd events, sound events, chunks.
PARTS = [
    "blank_lines",
    "empty_comments",
    "repeated_event",
    "numbered_events",
    "small_chunks",
]


@attrs.define
class ProcessorShare:
    """Let a process run for a share of each period, and count what it could run."""

    pid: int
    continued_s: float = 0.0

    async def throttle(self) -> None:
        try:
            while True:
                os.kill(self.pid, signal.SIGSTOP)
                await asyncio.sleep(PERIOD_S * (1 - PROCESSOR_SHARE))
                os.kill(self.pid, signal.SIGCONT)
                continued_at = time.monotonic()
                await asyncio.sleep(PERIOD_S * PROCESSOR_SHARE)
                self.continued_s += time.monotonic() - continued_at
        finally:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal.SIGCONT)

    def waited_s(self) -> float:
        """Return for how long the process was ready to run and other ones ran."""
        fields = Path(f"/proc/{self.pid}/schedstat").read_text().split()
        return int(fields[1]) / 1e9


class Load:
    """Callers of streams and of orders at one entry."""

    def __init__(self, fleet: PlatformFleet, share: ProcessorShare) -> None:
        self.fleet = fleet
        self.share = share
        self.waited_before_s = share.waited_s()
        self.end_at = time.monotonic() + TROUBLE_LIMIT_S
        self.served = 0
        self.unserved = 0
        self.unready = 0

    @property
    def processor_s(self) -> float:
        """Return the processor time that the entry used or could have used."""
        waited_s = self.share.waited_s() - self.waited_before_s
        return self.share.continued_s - waited_s

    @property
    def goes_on(self) -> bool:
        return self.processor_s < TROUBLE_S and time.monotonic() < self.end_at

    async def read_streams(self, caller: int) -> None:
        count = 0
        while self.goes_on:
            count += 1
            attempt = f"s-{caller}-{count}"
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(LIMIT_S):
                    await self.fleet.call("entry-1", "/chat/a", attempt)

    async def place_orders(self, caller: int) -> None:
        count = 0
        while self.goes_on:
            count += 1
            attempt = f"o-{caller}-{count}"
            status = 0
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(LIMIT_S):
                    answer = await self.fleet.call("entry-1", "/order/a", attempt)
                    status = answer.status
            if status == 200:
                self.served += 1
            else:
                self.unserved += 1
            await asyncio.sleep(0.05)

    async def ask_ready(self) -> None:
        while self.goes_on:
            try:
                async with asyncio.timeout(1.0):
                    self.unready += not await self.fleet.ready("entry-1")
            except TimeoutError:
                self.unready += 1
            await asyncio.sleep(0.5)


@pytest.mark.parametrize("part", PARTS)
async def test_engines_that_send_without_end_stop_no_entry(tmp_path, part):
    """Guards against orders that get no answer since engines hold the event loop.

    Half of the engines send without end, and the entry has the processor time of the
    smallest VM.
    """
    async with PlatformFleet(tmp_path) as fleet:
        for number in range(1, ENDLESS_ENGINES + SOUND_ENGINES + 1):
            await fleet.add_runner("engine", number)
            await fleet.add_agent(number)
        await fleet.add_runner("orders", 9, slots=100)
        entry = await fleet.add_entry(1)
        await asyncio.sleep(1.0)
        for number in range(1, ENDLESS_ENGINES + 1):
            fleet.runners[f"i-{number}"].faults = RunnerFaults(endless=part)
        assert entry.process is not None
        share = ProcessorShare(entry.process.pid)
        throttled = asyncio.create_task(share.throttle())
        load = Load(fleet, share)
        streams = [load.read_streams(caller) for caller in range(STREAM_CALLERS)]
        orders = [load.place_orders(caller) for caller in range(ORDER_CALLERS)]
        await asyncio.gather(load.ask_ready(), *streams, *orders)
        throttled.cancel()
        assert any(fleet.runners[f"i-{n}"].endless_bytes for n in (1, 2))
        assert load.processor_s >= TROUBLE_S, "the machine is too busy"
        assert load.served >= 50, f"{load.served} served, {load.unserved} not"
        assert load.unserved * 10 <= load.served, f"{load.unserved} of {load.served}"
        assert load.unready <= 1
