"""Demonstrate the main functions with real processes and the embedded stand-ins."""

import asyncio
import hashlib
import sys
import tempfile
import time
from pathlib import Path

import orjson
from result import Ok

from acaciarelay.transport.http_client import open_exchange
from acaciarelay_standins.fleet import Fleet

CALLER_KEY = "caller-key-of-the-demo"
RECORDS = [
    ("tier", "urgent", {"rank": 0, "timeout_ms": 30000, "wait_budget_ms": 5000}),
    ("tier", "normal", {"rank": 1, "timeout_ms": 30000, "wait_budget_ms": 10000}),
    (
        "pool",
        "assistants",
        {"kind": "chat", "models": ["mender-1"]},
    ),
    (
        "pool",
        "orders",
        {
            "kind": "service",
            "service": "shop",
            "routes": [
                {
                    "method": "POST",
                    "path_prefix": "/v1/services/shop/orders",
                    "repeatable": False,
                }
            ],
        },
    ),
    ("policy", "standard", {"tiers": {"default": "normal", "counter": "urgent"}}),
    (
        "organisation",
        "workshop",
        {
            "key_hashes": [hashlib.sha256(CALLER_KEY.encode()).hexdigest()],
            "policy": "standard",
        },
    ),
]


def print_line(text: str) -> None:
    """Print a line without buffering."""
    print(text, flush=True)


async def start_fleet(fleet: Fleet) -> dict[str, str]:
    """Start stand-ins, two entries and four agents in two regions."""
    await fleet.start_platform()
    endpoints = {}
    for name in ("engine-1", "engine-2"):
        endpoints[name] = await fleet.start_engine(name)
    for name in ("service-1", "service-2"):
        endpoints[name] = await fleet.start_service(name)
    await fleet.start_entry("entry-1", "zone-a", "region-a")
    await fleet.start_entry("entry-2", "zone-b", "region-b")
    await fleet.start_agent(
        "agent-1", "assistants", "chat", endpoints["engine-1"], "zone-a", "region-a"
    )
    await fleet.start_agent(
        "agent-2", "assistants", "chat", endpoints["engine-2"], "zone-b", "region-b"
    )
    await fleet.start_agent(
        "agent-3", "orders", "service", endpoints["service-1"], "zone-a", "region-a"
    )
    await fleet.start_agent(
        "agent-4", "orders", "service", endpoints["service-2"], "zone-b", "region-b"
    )
    return endpoints


async def apply_records(fleet: Fleet) -> None:
    """Apply the first configuration through one entry."""
    changes = [{"type": t, "name": n, "body": b} for t, n, b in RECORDS]
    answer = await fleet.admin(
        "entry-1", "POST", "/admin/v1/apply", {"changes": changes}
    )
    print_line(
        f"configuration: {len(changes)} records accepted, generation "
        f"{answer['generation']}"
    )


async def stream_chat(fleet: Fleet, entry: str, max_tokens: int) -> tuple[int, bytes]:
    """Stream one chat answer and return the number of its events and its bytes."""
    body = orjson.dumps(
        {
            "model": "mender-1",
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": "A bowl in three pieces."}],
        }
    )
    address = fleet.entries[entry].http_address
    exchange = (await open_exchange(address)).unwrap()
    headers = [
        ("host", address),
        ("authorization", f"Bearer {CALLER_KEY}"),
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
    ]
    await exchange.send_request("POST", "/v1/chat/completions", headers, body)
    await exchange.read_head()
    pieces = []
    while True:
        match await exchange.read_piece():
            case Ok(bytes() as piece):
                pieces.append(piece)
            case _:
                break
    await exchange.close()
    data = b"".join(pieces)
    return data.count(b"data: "), data


async def show_order(fleet: Fleet, endpoints: dict[str, str]) -> None:
    """Place an order, repeat it with its key at the other entry, count the effects."""
    path, body = "/v1/services/shop/orders", b'{"shelf": "oak", "width_mm": 800}'
    headers = [("idempotency-key", "order-1")]
    bodies = []
    for entry in ("entry-1", "entry-2"):
        answer = await fleet.call(entry, "POST", path, CALLER_KEY, body, headers)
        response = answer.unwrap()
        replayed = response.header("idempotency-replayed") == "true"
        bodies.append(response.body)
        print_line(
            f"order through {entry}: status {response.status}, body {response.body!r}"
            f"{', replayed' if replayed else ''}"
        )
    effects = 0
    for name in ("service-1", "service-2"):
        effects += len((await fleet.record(endpoints[name]))["effects"])
    print_line(
        f"order: {effects} effect for 2 calls, answers equal: {bodies[0] == bodies[1]}"
    )
    if effects != 1 or bodies[0] != bodies[1]:
        raise SystemExit("the order was not placed exactly once")


async def show_config(fleet: Fleet) -> None:
    """Change a record at one entry and wait until it is in force everywhere."""
    started = time.monotonic()
    change = {"type": "tier", "name": "batch", "body": {"rank": 2}}
    answer = await fleet.admin(
        "entry-2", "POST", "/admin/v1/apply", {"changes": [change]}
    )
    generation = answer["generation"]
    while True:
        report = await fleet.admin("entry-1", "GET", "/admin/v1/generation")
        behind = [p["id"] for p in report["processes"] if p["generation"] < generation]
        if not behind:
            break
        if time.monotonic() - started > 10:
            raise SystemExit(f"generation {generation} is not in force at {behind}")
        await asyncio.sleep(0.05)
    count = len(report["processes"])
    print_line(
        f"configuration: generation {generation} in force at {count} processes after "
        f"{time.monotonic() - started:.1f} s"
    )


async def show_drain(fleet: Fleet) -> None:
    """Drain an endpoint while it streams, and check that its answer is complete."""
    streams = [
        asyncio.create_task(stream_chat(fleet, "entry-1", 60)),
        asyncio.create_task(stream_chat(fleet, "entry-2", 60)),
    ]
    await asyncio.sleep(0.5)
    await fleet.admin("entry-1", "POST", "/admin/v1/endpoints/agent-1/drain")
    print_line("drain: endpoint agent-1 is leaving while two answers stream")
    for stream in streams:
        _, data = await stream
        if not data.endswith(b"data: [DONE]\n\n"):
            raise SystemExit("a stream was cut by the drain")
    print_line("drain: both answers arrived whole")
    agent = fleet.agents["agent-1"]
    agent.process.terminate()
    print_line(f"drain: agent-1 stopped with exit code {await agent.process.wait()}")
    events, _ = await stream_chat(fleet, "entry-1", 5)
    print_line(f"drain: the next answer came from agent-2, {events} events")


async def run(directory: Path) -> None:
    """Run all parts of the demonstration with a new fleet."""
    started = time.monotonic()
    async with Fleet(directory) as fleet:
        endpoints = await start_fleet(fleet)
        print_line(
            "started: platform, 2 engines, 2 services, 2 entries, 4 agents, 2 regions"
        )
        await apply_records(fleet)
        await fleet.wait_ready()
        events, data = await stream_chat(fleet, "entry-1", 20)
        print_line(
            f"assistant: {events} events, {len(data)} bytes, "
            f"ends with {data[-14:].strip().decode()}"
        )
        await show_order(fleet, endpoints)
        await show_config(fleet)
        await show_drain(fleet)
        await stop_members(fleet)
    print_line(f"done in {time.monotonic() - started:.1f} s")


async def stop_members(fleet: Fleet) -> None:
    """Stop entries and agents with SIGTERM and check their exit codes."""
    members = [*fleet.entries.values(), *fleet.agents.values()]
    for member in members:
        member.process.terminate()
    codes = [await member.process.wait() for member in members]
    print_line(f"stopped: exit codes {codes}")
    if any(codes):
        raise SystemExit("a process did not stop cleanly")


def main() -> None:
    """Run the demonstration in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="acaciarelay-demo-") as directory:
        asyncio.run(run(Path(directory)))
    sys.exit(0)


if __name__ == "__main__":
    main()
