"""Streams whose second runner began them, resumed after many processes were killed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig3 import BROKEN, HELD, Fleet, run_case
from streams3 import DecliningRunner, Requesters, kill_at_once, note_runs, start

ENTRIES = [1, 2, 3, 4]
EVENTS = 40
STEP_S = 0.1
STREAMS_PER_S = 10.5
# Runners decline this share of their requests for so long; then the kill.
DECLINED_SHARE = 0.45
DECLINED_S = 4.0
# Entries and agents that are killed at the same moment, in each round.
ROUNDS = [
    ([1, 2], [4, 5, 6]),
    ([3, 4], [4, 5, 6]),
    ([1, 2], [4, 5, 6]),
    ([3, 4], [4, 5, 6]),
    ([1, 2], [4, 5, 6]),
]
ROUND_S = 16.0
# Streams with events of two versions that the rule allows.
MOST_MIXED = 2


async def disrupt(fleet: Fleet, requesters: Requesters) -> None:
    for entries, agents in ROUNDS:
        began = time.monotonic()
        fleet.record.note("all runners decline 45 of 100 requests")
        set_declined_share(fleet, DECLINED_SHARE)
        await asyncio.sleep(DECLINED_S)
        set_declined_share(fleet, 0.0)
        fleet.record.note("runners decline no more")
        await kill_at_once(fleet, requesters, entries, agents)
        await asyncio.sleep(max(0.0, began + ROUND_S - time.monotonic()))


def set_declined_share(fleet: Fleet, share: float) -> None:
    for runner in fleet.runners.values():
        assert isinstance(runner, DecliningRunner)
        runner.declined_share = share


async def case(folder: Path, trouble: bool) -> int:
    async with Fleet(folder) as fleet:
        await start(fleet, ENTRIES, EVENTS, STEP_S)
        requesters = Requesters(fleet, ENTRIES)
        quiet_s = len(ROUNDS) * ROUND_S
        course = disrupt(fleet, requesters) if trouble else asyncio.sleep(quiet_s)
        await requesters.send_until(asyncio.create_task(course), STREAMS_PER_S)
        note_runs(fleet)
        text = (
            f"{len(requesters.tasks)} streams, {requesters.complete} complete, "
            f"{requesters.resumed} taken up again, {requesters.continued} went on; "
            f"{len(requesters.mixed)} with events of two versions, {MOST_MIXED} allowed"
        )
        fleet.record.note(text)
        print(text)
        return BROKEN if len(requesters.mixed) > MOST_MIXED else HELD


run_case(case)
