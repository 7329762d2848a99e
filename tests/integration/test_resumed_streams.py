"""Streams that break with their entries are resumed at the version that began them."""

import asyncio

import pytest
from integration.platform_fleet import PlatformFleet, exchange, open_channel
from integration.test_platform_path import wait_until

STREAMS = 12
ENTRIES = (1, 2)
# Events of a stream, and the seconds between them: it lasts until the entries are back.
EVENTS = 400
STEP_S = 0.02
BEGUN_EVENTS = 5


def head(attempt, *fields):
    lines = [
        "POST /chat/a HTTP/1.1",
        "Host: shop.example",
        "Api-Key: key-1",
        f"Attempt-Id: {attempt}",
        "Deadline-Ms: 9000",
        "Token-Usage: 100,400",
        "Content-Length: 0",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def begin(fleet, number):
    """Begin a stream and read its first events, until its entry is killed."""
    entry = ENTRIES[number % len(ENTRIES)]
    address = fleet.programs[f"entry-{entry}"].settings["caller_address"]
    data = b""
    async with open_channel(address) as (reader, writer):
        writer.write(head(f"first-{number}"))
        try:
            while piece := await reader.read(65_536):
                data += piece
        except ConnectionError:
            pass
    return data.count(b"data: ")


async def resume(fleet, number, last_event):
    """Resume a stream at another entry than before, as soon as that answers."""
    entry = ENTRIES[(number + 1) % len(ENTRIES)]
    address = fleet.programs[f"entry-{entry}"].settings["caller_address"]
    fields = (f"Last-Event-Id: {last_event}", f"Resumes: first-{number}")
    request = head(f"second-{number}", *fields)
    while True:
        try:
            return await exchange(address, request)
        except OSError:
            await asyncio.sleep(0.05)


def linked(fleet, entry):
    """Return whether an entry's present process has linked to both agents."""
    program = fleet.programs[f"entry-{entry}"]
    hosts = set()
    for line in program.log():
        if line.get("pid") != program.process.pid:
            continue
        if line["message_type"] == "agent_regained":
            hosts.add(line["host"])
    return len(hosts) == 2


@pytest.mark.parametrize("old_version_leaves", [False, True])
async def test_streams_of_killed_entries_are_joined_from_one_version(
    tmp_path, old_version_leaves
):
    """Guards against an answer whose first part is of another version than its rest."""
    async with PlatformFleet(tmp_path) as fleet:
        for number, version in enumerate(("v1", "v2"), 1):
            await fleet.add_runner(
                "engine",
                number,
                version=version,
                events=EVENTS,
                step_s=STEP_S,
                slots=20,
            )
            await fleet.add_agent(number)
        for number in ENTRIES:
            await fleet.add_entry(number, first_start=False)
        for number in ENTRIES:
            await wait_until(fleet, lambda number=number: linked(fleet, number))
        streams = [asyncio.create_task(begin(fleet, n)) for n in range(STREAMS)]
        runs = [fleet.runners[f"i-{number}"].runs for number in (1, 2)]
        await wait_until(fleet, lambda: sum(len(part) for part in runs) == STREAMS)
        await asyncio.sleep(BEGUN_EVENTS * STEP_S)
        for number in ENTRIES:
            await fleet.programs[f"entry-{number}"].stop()
        begun = await asyncio.gather(*streams)
        at_v1 = {run.attempt.removeprefix("first-") for run in runs[0]}
        assert 0 < len(at_v1) < STREAMS
        if old_version_leaves:
            fleet.states["i-1"] = "draining"
        for number in ENTRIES:
            await fleet.programs[f"entry-{number}"].start()
        answers = await asyncio.gather(
            *(resume(fleet, n, last) for n, last in enumerate(begun) if last)
        )
        resumed = [set(), set()]
        for part, numbers in zip(runs, resumed, strict=True):
            for run in part:
                if run.attempt.startswith("second-"):
                    numbers.add(run.attempt.removeprefix("second-"))
        assert not resumed[0] - at_v1 and not resumed[1] & at_v1
        if old_version_leaves:
            assert not resumed[0]
        refused = [answer for answer in answers if answer.status != 200]
        assert all(a.headers["acaciarelay-outcome"] == "not_run" for a in refused)
        served = len(at_v1) if old_version_leaves else 0
        assert len(refused) <= served
