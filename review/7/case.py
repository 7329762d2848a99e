"""Case 7: a runner's ping without a response is performed after the runner drains."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

SERVICES = [{"name": "orders", "healthPath": "/health", "maxConns": 110}]
PING_S = 1.2
# How much later than its sending the ping without a response is performed.
LATE_S = 5.8
# When the runner reports that it drains, after that sending: the store has been without
# disturbance for longer than contactMs then.
DRAINS_AFTER_S = 3.1
# When many users come at once, after the runner has reported that it drains; before,
# none come from just before that on.
BURST_S = 2.9
BURST = 6
# How much longer than drainMs the runner serves.
LONGER_S = 0.7


class Pings:
    """The pings by which a runner keeps its entry in the store."""

    def __init__(self, fleet: rig2.Fleet, runner: rig2.Runner) -> None:
        self.fleet = fleet
        self.runner = runner
        self.state = "ready"
        self.seq = 1
        self.changed = asyncio.Event()

    async def run(self) -> None:
        while self.state != "gone":
            self.write()
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PING_S):
                    await self.changed.wait()

    def change(self, state: str) -> None:
        """Report another state at once; the next ping follows an interval later."""
        self.state = state
        self.changed.set()

    def write(self) -> None:
        self.seq += 1
        self.perform(self.row())

    def row(self) -> dict:
        return self.runner.row(self.state, self.seq)

    def perform(self, row: dict) -> None:
        self.fleet.store.put("servers", self.runner.runner_id, row)


async def main(record: rig2.Record) -> int:
    async with rig2.Fleet(record) as fleet:
        routes = [rig2.route("order", "/order/", "non_idempotent", "orders")]
        fleet.store.put("op", "config", rig2.manifest(1, routes, SERVICES))
        pings = []
        for zone in rig2.ZONES:
            pings.append(Pings(fleet, await fleet.add_runner("orders", zone)))
        tasks = [asyncio.create_task(each.run()) for each in pings]
        for zone in rig2.ZONES:
            await fleet.add_entry(zone, through_proxy=False)
        await fleet.until_ready()
        await asyncio.sleep(4.0)
        code = await play(fleet, pings[0], record)
        for task in tasks:
            task.cancel()
        return code


async def play(fleet: rig2.Fleet, pings: Pings, record: rig2.Record) -> int:
    runner = pings.runner
    sent: dict[str, float] = {}
    answers: dict[str, rig2.Answer] = {}
    tasks: list[asyncio.Task] = []

    async def one(entry: rig2.Program, attempt: str) -> None:
        sent[attempt] = time.monotonic()
        address = entry.fields["listen"]["front"]
        answers[attempt] = await rig2.call(address, "/order/2f", attempt)

    async def load(entry: rig2.Program, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            attempt = f"{entry.name}-{number}"
            tasks.append(asyncio.create_task(one(entry, attempt)))
            await asyncio.sleep(0.25)

    began = time.monotonic()
    until = began + DRAINS_AFTER_S - 0.3
    loads = [asyncio.create_task(load(entry, until)) for entry in fleet.entries]
    pings.seq += 1
    late_row = pings.row()
    if rig2.trouble():
        record.note(f"i-1 sends a ping (ready, seq {pings.seq}) and gets no response")
    else:
        pings.perform(late_row)
    await asyncio.gather(*loads)
    await asyncio.sleep(began + DRAINS_AFTER_S - time.monotonic())
    runner.leaving = True
    pings.change("draining")
    await asyncio.sleep(0.01)
    drained_at = time.monotonic()
    record.note(f"the store has accepted that i-1 is draining (seq {pings.seq})")
    await asyncio.sleep(began + LATE_S - time.monotonic())
    if rig2.trouble():
        pings.perform(late_row)
        record.note(f"the store performs the ping of seq {late_row['seq']} (ready)")
    await asyncio.sleep(drained_at + BURST_S - time.monotonic())
    for number in range(BURST):
        for entry in fleet.entries:
            attempt = f"{entry.name}-burst-{number}"
            tasks.append(asyncio.create_task(one(entry, attempt)))
    await asyncio.sleep(drained_at + rig2.DRAIN_S + LONGER_S - time.monotonic())
    pings.change("gone")
    broken_off = runner.exit()
    fleet.remove(runner)
    record.note(f"i-1 exits with {broken_off} requests running")
    await asyncio.gather(*tasks)
    return judge(record, runner, sent, answers, drained_at)


def judge(
    record: rig2.Record,
    runner: rig2.Runner,
    sent: dict[str, float],
    answers: dict[str, rig2.Answer],
    drained_at: float,
) -> int:
    late = []
    for attempt, at in runner.runs:
        after = sent[attempt] - drained_at
        is_late = after > rig2.DRAIN_S
        if after > 0:
            record.note(
                f"i-1 runs {attempt}, sent {after:.3f} s after the ack, "
                f"answered {answers[attempt].status}{' LATE' if is_late else ''}",
                at,
            )
        if is_late:
            late.append(attempt)
    for attempt, answer in answers.items():
        if answer.status != 200:
            text = f"{attempt} sent; answered {answer.status} {answer.end}"
            record.note(text, sent[attempt])
    lost = [attempt for attempt in late if answers[attempt].status != 200]
    record.note(
        f"{len(sent)} orders sent, {len(runner.runs)} ran at i-1, {len(late)} of them "
        f"sent later than {rig2.DRAIN_S} s after the ack, {len(lost)} of these lost"
    )
    return 1 if late else 0


if __name__ == "__main__":
    rig2.run(main, str(FOLDER))
