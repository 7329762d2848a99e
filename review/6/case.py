"""Case 6: channels to the store fall silent; a runner leaves in the same second."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

SERVICES = [
    {"name": "orders", "healthPath": "/health", "maxConns": 110},
    {"name": "assistant", "healthPath": "/health", "maxConns": 310},
]
# When many users come at once, after the channels fell silent; before, none come from
# just before that on.
BURST_S = 3.15
BURST = 6
# How much longer than drainMs the runner serves after its row is gone.
LONGER_S = 0.7


def routes(version: int) -> list[dict]:
    found = [rig2.route("order", "/order/", "non_idempotent", "orders")]
    if version > 1:
        found.append(rig2.route("more", "/more/", "idempotent", "orders"))
    return found


async def main(record: rig2.Record) -> int:
    async with rig2.Fleet(record) as fleet:
        fleet.store.put("op", "config", rig2.manifest(1, routes(1), SERVICES))
        for zone in rig2.ZONES:
            await fleet.add_runner("orders", zone)
        for zone in rig2.ZONES:
            await fleet.add_entry(zone)
        await fleet.until_ready()
        await asyncio.sleep(4.0)
        return await play(fleet, record)


async def play(fleet: rig2.Fleet, record: rig2.Record) -> int:
    old = fleet.runners[0]
    sent: dict[str, tuple[float, str]] = {}
    answers: dict[str, rig2.Answer] = {}
    tasks: list[asyncio.Task] = []

    async def one(entry: rig2.Program, attempt: str) -> None:
        sent[attempt] = (time.monotonic(), entry.name)
        address = entry.fields["listen"]["front"]
        answers[attempt] = await rig2.call(address, "/order/2f", attempt)

    async def load(entry: rig2.Program, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            attempt = f"{entry.name}-{number}"
            tasks.append(asyncio.create_task(one(entry, attempt)))
            await asyncio.sleep(0.25)

    until = time.monotonic() + 1.5
    loads = [asyncio.create_task(load(entry, until)) for entry in fleet.entries]
    await asyncio.gather(*loads)
    # Planned work: the replacement of a runner, of which the new one starts first, and
    # a manifest with a further route.
    await fleet.add_runner("orders", old.zone)
    record.note("runner i-4 is registered beside i-1")
    await asyncio.sleep(0.2)
    fleet.store.put("op", "config", rig2.manifest(2, routes(2), SERVICES))
    record.note("operator: manifest 2 with a further route")
    await asyncio.sleep(0.2)
    silent_at = time.monotonic()
    if rig2.trouble():
        count = sum(proxy.silence_open() for proxy in fleet.proxies)
        record.note(f"{count} open channels to the store fall silent; new ones work")
    await asyncio.sleep(0.2)
    old.leaving = True
    fleet.remove(old)
    gone_at = time.monotonic()
    record.note("the store has accepted that i-1 is gone; i-1 goes on serving")
    await asyncio.sleep(silent_at + BURST_S - time.monotonic())
    for number in range(BURST):
        for entry in fleet.entries:
            attempt = f"{entry.name}-burst-{number}"
            tasks.append(asyncio.create_task(one(entry, attempt)))
    await asyncio.sleep(gone_at + rig2.DRAIN_S + LONGER_S - time.monotonic())
    broken_off = old.exit()
    record.note(f"i-1 exits with {broken_off} requests running")
    await asyncio.gather(*tasks)
    return judge(record, old, sent, answers, silent_at, gone_at)


def judge(
    record: rig2.Record,
    old: rig2.Runner,
    sent: dict[str, tuple[float, str]],
    answers: dict[str, rig2.Answer],
    silent_at: float,
    gone_at: float,
) -> int:
    """Judge the requests that reached the runner after it had left.

    All machines are in touch ``contactMs`` after the channels fell silent.
    """
    bound = gone_at + rig2.DRAIN_S
    if rig2.trouble():
        bound = max(bound, silent_at + rig2.CONTACT_S)
    late = []
    for attempt, at in old.runs:
        sent_at, entry = sent[attempt]
        after = sent_at - gone_at
        is_late = sent_at > bound
        mark = "LATE" if is_late else ""
        if after > 0:
            record.note(
                f"i-1 runs {attempt}, sent {after:.3f} s after it was gone, "
                f"answered {answers[attempt].status} {mark}",
                at,
            )
        if is_late:
            late.append(attempt)
    for attempt, answer in answers.items():
        if answer.status != 200:
            at, entry = sent[attempt]
            record.note(f"{attempt} sent; answered {answer.status} {answer.end}", at)
    lost = [attempt for attempt in late if answers[attempt].status != 200]
    record.note(
        f"{len(sent)} orders sent, {len(old.runs)} ran at i-1, {len(late)} of them "
        f"sent later than {bound - gone_at:.3f} s after it was gone, {len(lost)} of "
        "these lost"
    )
    return 1 if late else 0


if __name__ == "__main__":
    rig2.run(main, str(FOLDER))
