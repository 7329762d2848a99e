"""Measure how the cost of one entry and one agent grows with the deployment.

Run ``python -m acaciarelay_bench.scale PART``; each part prints one JSON object per
point. ``all`` runs every part and writes docs/slopes.json, from which the capacity
page is computed.
"""

import argparse
import asyncio
import hashlib
import os
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import orjson

from acaciarelay.transport.http_client import fetch
from acaciarelay_standins.fleet import Fleet, FleetMember, Process

__all__ = ["main"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 4.0
WINDOW_S = 10.0
PEER_COUNTS = [10, 50, 100, 200]
ORGANISATION_COUNTS = [0, 2_000, 6_000, 18_000]
RECORDS_PER_APPLY = 1_000
POLL_S = 0.02
CALLER_KEY = "scale-key"
SLOPES_PATH = Path("docs/slopes.json")

Point = dict[str, Any]


@attrs.frozen
class Usage:
    """CPU time and resident memory of a process at a monotonic time in seconds."""

    cpu_s: float
    resident_bytes: int
    at: float


def read_usage(process: Process) -> Usage:
    """Read the usage of a process from the kernel."""
    pid = process.process.pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES, time.monotonic())


async def read_metric(address: str, name: str) -> float:
    """Return the sum of a process's metric over all its labels."""
    answer = (await fetch(address, "GET", "/metrics")).unwrap()
    total = 0.0
    for line in answer.body.decode().splitlines():
        if line.startswith(name) and not line.startswith("#"):
            total += float(line.rpartition(" ")[2])
    return total


async def measure(member: FleetMember, seconds: float = WINDOW_S) -> Point:
    """Measure CPU share, memory and message bytes of a process over some seconds."""
    counter = "acaciarelay_link_bytes_total"
    bytes_before = await read_metric(member.http_address, counter)
    before = read_usage(member.process)
    await asyncio.sleep(seconds)
    after = read_usage(member.process)
    bytes_after = await read_metric(member.http_address, counter)
    elapsed_s = after.at - before.at
    return {
        "core_percent": round(100 * (after.cpu_s - before.cpu_s) / elapsed_s, 2),
        "resident_mb": round(after.resident_bytes / 1e6, 1),
        "message_bytes_per_s": round((bytes_after - bytes_before) / elapsed_s),
    }


def base_records(subset: int = 1_000) -> list[Point]:
    """Return the records of a small deployment."""
    key_hash = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    return [
        {"type": "tier", "name": "normal", "body": {"rank": 0}},
        {
            "type": "pool",
            "name": "assistants",
            "body": {"kind": "chat", "models": ["m"], "subset": subset},
        },
        {
            "type": "policy",
            "name": "standard",
            "body": {"tiers": {"default": "normal"}},
        },
        {
            "type": "organisation",
            "name": "first",
            "body": {"key_hashes": [key_hash], "policy": "standard"},
        },
    ]


async def apply_records(fleet: Fleet, changes: list[Point]) -> int:
    """Apply records and return the generation that they are part of."""
    body = {"changes": changes}
    answer = await fleet.admin("entry", "POST", "/admin/v1/apply", body)
    return answer["generation"]


async def entry_against_agents(fleet: Fleet) -> list[Point]:
    """Measure an idle entry with a growing number of agents."""
    points = []
    await fleet.start_platform()
    # Poll intervals of production; those of the tests are shorter.
    polls = ["--members-poll-s", "5", "--config-poll-s", "2"]
    entry = await fleet.start_entry("entry", "zone-a", "region-a", *polls)
    await apply_records(fleet, base_records())
    for count in PEER_COUNTS:
        arguments = [
            "agents",
            "--platform",
            fleet.platform_address,
            "--count",
            str(count),
        ]
        farm, _ = await fleet.spawn(
            "farm", ["acaciarelay_bench.farm", *arguments], ready_line=True
        )
        await fleet.wait_ready(agent_count=count)
        await asyncio.sleep(SETTLE_S + 10)
        points.append({"agents": count, **await measure(entry)})
        farm.kill()
        await farm.wait()
        await asyncio.sleep(SETTLE_S)
    return points


async def agent_against_entries(fleet: Fleet) -> list[Point]:
    """Measure an idle agent with a growing number of entries."""
    points = []
    await fleet.start_platform()
    engine = await fleet.start_engine("engine")
    agent = await fleet.start_agent("agent", "assistants", "chat", engine)
    for count in PEER_COUNTS:
        arguments = ["entries", "--agent", agent.grpc_address, "--count", str(count)]
        farm, _ = await fleet.spawn(
            "farm", ["acaciarelay_bench.farm", *arguments], ready_line=True
        )
        await asyncio.sleep(SETTLE_S)
        points.append({"entries": count, **await measure(agent)})
        farm.kill()
        await farm.wait()
        await asyncio.sleep(SETTLE_S)
    return points


async def entry_against_organisations(fleet: Fleet) -> list[Point]:
    """Measure an entry's memory and the cost of a change with more organisations."""
    points = []
    await fleet.start_platform()
    entry = await fleet.start_entry("entry")
    await apply_records(fleet, base_records())
    present = 0
    for count in ORGANISATION_COUNTS:
        while present < count:
            number = min(RECORDS_PER_APPLY, count - present)
            await apply_records(fleet, organisation_records(present, number))
            present += number
        await asyncio.sleep(SETTLE_S)
        started = time.monotonic()
        cpu_before = read_usage(entry.process).cpu_s
        body = {"rank": 1, "timeout_ms": 1_000 + count}
        await apply_records(
            fleet, [{"type": "tier", "name": f"t{count}", "body": body}]
        )
        apply_s = time.monotonic() - started
        await asyncio.sleep(1.0)
        usage = read_usage(entry.process)
        points.append(
            {
                "organisations": count,
                "resident_mb": round(usage.resident_bytes / 1e6, 1),
                "apply_s": round(apply_s, 3),
                "change_cpu_s": round(usage.cpu_s - cpu_before, 3),
            }
        )
    return points


def organisation_records(first: int, count: int) -> list[Point]:
    """Return organisation records with distinct keys."""
    changes = []
    for number in range(first, first + count):
        key_hash = hashlib.sha256(str(number).encode()).hexdigest()
        body = {"key_hashes": [key_hash], "policy": "standard"}
        changes.append(
            {"type": "organisation", "name": f"organisation-{number}", "body": body}
        )
    return changes


async def data_path(fleet: Fleet) -> list[Point]:
    """Measure CPU time per request for several answer lengths.

    The CPU time per event follows from the differences.
    """
    await fleet.start_platform()
    engine = await fleet.start_engine(
        "engine",
        *("--decode-tokens-per-s", "200", "--prefill-tokens-per-s", "1000000"),
        *("--max-batch", "256", "--slowdown", "0"),
    )
    entry = await fleet.start_entry("entry")
    limits = ["--token-limit", "1000000", "--token-limit-max", "1000000"]
    agent = await fleet.start_agent(
        "agent", "assistants", "chat", engine, "zone-a", "region-a", *limits
    )
    await apply_records(fleet, base_records())
    await fleet.wait_ready()
    points = []
    for answer_tokens, requests in ((1, 600), (20, 300), (100, 100)):
        before = [read_usage(member.process) for member in (entry, agent)]
        await run_requests(fleet, requests, answer_tokens)
        after = [read_usage(member.process) for member in (entry, agent)]
        point: Point = {"answer_tokens": answer_tokens, "requests": requests}
        for name, start, end in zip(("entry", "agent"), before, after, strict=True):
            cost_ms = 1_000 * (end.cpu_s - start.cpu_s) / requests
            point[f"{name}_ms_per_request"] = round(cost_ms, 3)
        points.append(point)
    return points


async def run_requests(fleet: Fleet, count: int, answer_tokens: int) -> None:
    """Send requests, 20 at a time; raises ``RuntimeError`` if one fails."""
    body = orjson.dumps(
        {
            "model": "m",
            "stream": True,
            "max_tokens": answer_tokens,
            "messages": [{"role": "user", "content": "A bowl in three pieces."}],
        }
    )
    slots = asyncio.Semaphore(20)

    async def send_request() -> None:
        async with slots:
            answer = await fleet.call(
                "entry", "POST", "/v1/chat/completions", CALLER_KEY, body
            )
            if answer.is_err() or answer.unwrap().status != 200:
                raise RuntimeError(f"a request failed: {answer}")

    await asyncio.gather(*(send_request() for _ in range(count)))


async def configuration(fleet: Fleet) -> list[Point]:
    """Measure the time until 50 processes use a changed configuration."""
    await fleet.start_platform()
    engine = await fleet.start_engine("engine")
    polls = ["--members-poll-s", "5", "--config-poll-s", "2"]
    await fleet.start_entry("entry", "zone-a", "region-a", *polls)
    for number in range(9):
        await fleet.start_entry(f"entry-{number}", "zone-a", "region-a", *polls)
    for number in range(40):
        await fleet.start_agent(f"agent-{number}", "assistants", "chat", engine)
    await apply_records(fleet, base_records())
    await fleet.wait_ready()
    points = []
    for number in range(5):
        body = {"rank": 1, "timeout_ms": 1_000 + number}
        started = time.monotonic()
        generation = await apply_records(
            fleet, [{"type": "tier", "name": f"t{number}", "body": body}]
        )
        accepted_s = time.monotonic() - started
        await wait_in_force(fleet, generation)
        points.append(
            {
                "processes": len(fleet.entries) + len(fleet.agents),
                "accepted_s": round(accepted_s, 3),
                "in_force_s": round(time.monotonic() - started, 3),
            }
        )
    return points


async def wait_in_force(fleet: Fleet, generation: int) -> None:
    """Wait until every process reports at least the given generation."""
    while True:
        if await lowest_generation(fleet) >= generation:
            return
        await asyncio.sleep(POLL_S)


async def lowest_generation(fleet: Fleet) -> float:
    """Return the lowest generation that any process reports."""
    members = [*fleet.entries.values(), *fleet.agents.values()]
    name = "acaciarelay_config_generation"
    generations = await asyncio.gather(
        *(read_metric(m.http_address, name) for m in members)
    )
    return min(generations)


Part = Callable[[Fleet], Awaitable[list[Point]]]
PARTS: dict[str, Part] = {
    "entry-agents": entry_against_agents,
    "agent-entries": agent_against_entries,
    "organisations": entry_against_organisations,
    "data-path": data_path,
    "configuration": configuration,
}


async def run_part(name: str) -> list[Point]:
    """Run one part with a fleet of its own."""
    with tempfile.TemporaryDirectory(prefix="acaciarelay-scale-") as directory:
        async with Fleet(Path(directory)) as fleet:
            points = await PARTS[name](fleet)
    for point in points:
        print(orjson.dumps({"part": name, **point}).decode(), flush=True)
    return points


def main() -> None:
    """Run one part, or all parts and write their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=[*PARTS, "all"])
    arguments = parser.parse_args()
    if arguments.part != "all":
        asyncio.run(run_part(arguments.part))
        return
    results = {name: asyncio.run(run_part(name)) for name in PARTS}
    options = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    SLOPES_PATH.write_bytes(orjson.dumps(results, option=options))


if __name__ == "__main__":
    main()
