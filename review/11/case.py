"""Streams of a faulty runner that writes numbered events without text or end."""

import asyncio
import itertools
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig3 import (
    BROKEN,
    HELD,
    KEY,
    Fleet,
    Runner,
    call,
    configuration,
    route,
    run_case,
)

ENTRIES = [1, 2, 3]
RUNNERS = [1, 2, 3, 4, 5, 6]
FAULTY = "i-1"
EVENTS = 17
STREAMS_PER_S = 12.0
QUIET_S = 4.0
FAULTY_S = 8.0


class Requesters:
    """Send streams at a steady rate, and compare each with the whole answer."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.numbers = itertools.count(1)
        self.whole = self.failed = 0
        self.wrong: list[str] = []

    async def send(self) -> None:
        number = next(self.numbers)
        entry = ENTRIES[number % len(ENTRIES)]
        headers = {
            "Attempt-Id": f"a-{number}",
            "Model": "m",
            "Token-Usage": "2950,60",
            "Prompt-Prefix": f"5c1e07a2:60,{number:08x}:2890",
            "Deadline-Ms": "6000",
            "Api-Key": KEY,
        }
        answer = await call(
            self.fleet.front(entry), "POST", "/assess/go", headers, b"photograph"
        )
        expected = [(n, f"piece {n} by version v1") for n in range(1, EVENTS + 1)]
        complete = answer.complete and answer.status == 200
        if complete and answer.events == expected:
            self.whole += 1
            kind = "whole"
        elif complete:
            self.wrong.append(f"a-{number}")
            kind = "WRONG, MARKED COMPLETE"
        else:
            self.failed += 1
            kind = "broken off" if answer.status == 200 else "refused or failed"
        seal = answer.headers.get("runner-seal", "no seal")
        texts = sum(1 for _, data in answer.events if data)
        self.fleet.record.note(
            f"a-{number} at entry {entry}: {answer.status}, {seal}, "
            f"{len(answer.events)} events, {texts} with text, {kind}"
        )


def note_arrivals(fleet: Fleet) -> None:
    """Note which runners got which request, and after which event."""
    for name, runner in fleet.runners.items():
        for run, fields in zip(runner.runs, runner.headers_seen, strict=False):
            after = fields.get("last-event-id", "none")
            at = run.at - fleet.record.began
            fleet.record.note(
                f"runner {name} ran {run.attempt} at {at:.3f}, after event {after}"
            )


async def send_for(requesters: Requesters, seconds: float, tasks: list[Any]) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(requesters.send()))
        await asyncio.sleep(1.0 / STREAMS_PER_S)


async def case(folder: Path, trouble: bool) -> int:
    async with Fleet(folder) as fleet:
        assess = route(
            "/assess/",
            "streaming",
            service="assistant",
            resumable=True,
            affinity=True,
            timeoutMs=6000,
            priority=0,
        )
        fleet.configure(configuration(1, [assess]))
        for number in RUNNERS:
            await fleet.add_runner(
                "assistant", number, Runner, work_s=0.03, events=EVENTS, step_s=0.03
            )
            await fleet.add_agent(number)
        for number in ENTRIES:
            await fleet.add_entry(number)
        await fleet.until_ready(ENTRIES)
        await asyncio.sleep(3.0)
        requesters = Requesters(fleet)
        tasks: list[Any] = []
        await send_for(requesters, QUIET_S, tasks)
        if trouble:
            fleet.record.note(f"runner {FAULTY} writes events without text or end")
            fleet.runners[FAULTY].faults.endless = "numbered_events"
        await send_for(requesters, FAULTY_S, tasks)
        fleet.runners[FAULTY].faults.endless = ""
        fleet.record.note(f"runner {FAULTY} is sound")
        await send_for(requesters, QUIET_S, tasks)
        await asyncio.gather(*tasks)
        note_arrivals(fleet)
        text = (
            f"{len(tasks)} streams: {requesters.whole} whole, {requesters.failed} "
            f"broken off, refused or failed, {len(requesters.wrong)} wrong and marked "
            "complete"
        )
        fleet.record.note(text)
        print(text)
        return BROKEN if requesters.wrong else HELD


run_case(case)
