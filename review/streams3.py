"""Requesters of streams that are resumed, and runners of two software versions."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from rig3 import KEY, Answer, Fleet, Runner, call, configuration, route

VERSIONS = {1: "v1", 2: "v1", 3: "v1", 4: "v2", 5: "v2", 6: "v2"}
LIMIT_MS = 15_000
# A requester that has less time left does not ask again.
LEAST_TIME_LEFT_S = 1.0


class DecliningRunner(Runner):
    """A runner that declines a share of its requests, unrun, while it is grey."""

    declined_share = 0.0
    on_decline: Callable[[str], None] = staticmethod(lambda attempt: None)

    async def handle(self, connection: Any, request: Any) -> None:
        fields = dict(request.headers)
        named = fields.get("expect-instance") == self.endpoint_id
        if named and random.random() < self.declined_share:
            self.on_decline(fields["attempt-id"])
            headers = [("Attempt-Id", fields["attempt-id"]), ("Not-Executed", "1")]
            connection.respond(503, headers, b"")
            return
        await super().handle(connection, request)


class Requesters:
    """Send streams at a steady rate; each that breaks is resumed elsewhere once."""

    def __init__(self, fleet: Fleet, entries: list[int]) -> None:
        self.fleet = fleet
        self.entries = entries
        # Entries that are killed, and until when they are not in touch.
        self.out_of_touch: dict[int, float] = {}
        self.numbers = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []
        self.complete = 0
        self.new = self.begun = self.resumed = self.continued = 0
        self.mixed: list[int] = []

    async def send_until(self, end: asyncio.Task[Any], per_s: float) -> None:
        while not end.done():
            self.tasks.append(asyncio.create_task(self.send()))
            await asyncio.sleep(random.expovariate(per_s))
        await end
        await asyncio.gather(*self.tasks)

    def in_touch(self, entry: int) -> bool:
        return time.monotonic() >= self.out_of_touch.get(entry, 0.0)

    async def send(self) -> None:
        number = next(self.numbers)
        # The platform sends new channels to entries that are ready only.
        entries = [n for n in self.entries if self.in_touch(n)] or self.entries
        first = random.choice(entries)
        until = time.monotonic() + LIMIT_MS / 1000
        events: list[tuple[int, str]] = []
        first_request = ""
        for attempt in (f"a-{number}", f"b-{number}"):
            entry = first
            if until - time.monotonic() < LEAST_TIME_LEFT_S:
                break
            if attempt.startswith("b"):
                others = [n for n in self.entries if self.in_touch(n) and n != first]
                entry = random.choice(others)
            headers = {
                "Attempt-Id": attempt,
                "Model": "m",
                "Token-Usage": "400,200",
                "Prompt-Prefix": f"5c1e07a2:60,{number:08x}:340",
                "Deadline-Ms": str(int((until - time.monotonic()) * 1000)),
                "Api-Key": KEY,
            }
            if events:
                headers["Last-Event-Id"] = str(events[-1][0])
                headers["Resumes"] = first_request
            is_counted = self.in_touch(entry)
            answer = await call(
                self.fleet.front(entry), "POST", "/chat/go", headers, b"photograph"
            )
            self.note(attempt, entry, headers, answer)
            begins = answer.status == 200 and bool(answer.events)
            if is_counted and events:
                self.resumed += 1
                self.continued += begins
            elif is_counted and self.in_touch(entry):
                self.new += 1
                self.begun += begins
            if begins:
                first_request = first_request or attempt
                events += answer.events
            if answer.complete and answer.status == 200:
                self.complete += 1
                break
        versions = {data.rpartition(" ")[2] for _, data in events}
        if len(versions) > 1:
            self.mixed.append(number)
            course = " ".join(f"{n}:{data.rpartition(' ')[2]}" for n, data in events)
            self.fleet.record.note(f"TWO VERSIONS in the stream {number}: {course}")

    def note(
        self, attempt: str, entry: int, headers: dict[str, str], answer: Answer
    ) -> None:
        resumes = headers.get("Resumes")
        asked = ""
        if resumes:
            asked = f", resumes {resumes} after {headers['Last-Event-Id']}"
        got = [number for number, _ in answer.events]
        seal = answer.headers.get("runner-seal", "no seal")
        code = answer.headers.get("acaciarelay-code", "")
        state = "complete" if answer.complete else "broken off"
        numbers = f"events {got[0]} to {got[-1]}" if got else "no events"
        self.fleet.record.note(
            f"{attempt} at entry {entry}{asked}: {answer.status} {code}, {numbers}, "
            f"{seal}, {state}"
        )


async def start(fleet: Fleet, entries: list[int], events: int, step_s: float) -> None:
    """Start six engines of two versions with their agents, and the entries.

    Streams have ``events`` events that are ``step_s`` seconds apart.
    """
    chat = route(
        "/chat/",
        "streaming",
        service="assistant",
        resumable=True,
        affinity=True,
        timeoutMs=LIMIT_MS,
    )
    fleet.configure(configuration(1, [chat]))
    for number, version in VERSIONS.items():
        await fleet.add_runner(
            "assistant",
            number,
            DecliningRunner,
            version=version,
            events=events,
            step_s=step_s,
        )
        runner = fleet.runners[f"i-{number}"]
        assert isinstance(runner, DecliningRunner)
        runner.on_decline = partial(note_decline, fleet, f"i-{number}")
        await fleet.add_agent(number)
    for number in entries:
        await fleet.add_entry(number)
    await fleet.until_ready(entries)
    await asyncio.sleep(4.0)


async def kill_at_once(
    fleet: Fleet, requesters: Requesters, entries: list[int], agents: list[int]
) -> None:
    """Kill processes at the same moment; they start again after two seconds."""
    names = [f"entry-{n}" for n in entries] + [f"agent-{n}" for n in agents]
    fleet.record.note(f"killed at the same moment: {', '.join(names)}")
    for number in entries:
        requesters.out_of_touch[number] = float("inf")
    programs = [fleet.programs[name] for name in names]
    await asyncio.gather(*(program.kill() for program in programs))
    await asyncio.sleep(2.0)
    for program in programs:
        await program.start()
    fleet.record.note("started again")
    await fleet.until_ready(entries)
    for number in entries:
        requesters.out_of_touch[number] = time.monotonic() + 3.0


def note_decline(fleet: Fleet, runner: str, attempt: str) -> None:
    fleet.record.note(f"runner {runner} declined {attempt}, unrun")


def note_runs(fleet: Fleet) -> None:
    for name, runner in fleet.runners.items():
        for run in runner.runs:
            at = run.at - fleet.record.began
            fleet.record.note(f"runner {name} ran {run.attempt} at {at:.3f}")
