"""Demonstrate entries and agents, as real processes, on stand-ins of the platform."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from integration.platform_fleet import PlatformFleet  # noqa: E402
from relay_rig import configuration, route  # noqa: E402

SETTLE_S = 1.5


def print_line(text: str) -> None:
    """Print a line without buffering."""
    print(text, flush=True)


async def show(fleet: PlatformFleet) -> None:
    """Stream an answer, place an order, change the configuration, drain and stop."""
    for number in (1, 2):
        await fleet.add_runner("engine", number)
    for number in (3, 4):
        await fleet.add_runner("orders", number)
    for number in (1, 2):
        await fleet.add_agent(number)
    for number in (1, 2):
        await fleet.add_entry(number)
    await asyncio.sleep(SETTLE_S)
    print_line("started: 2 entries, 2 agents, 2 engines, 2 plain runners, the store")
    stream = await fleet.call("entry-1", "/chat/bowl", "stream-1")
    events = stream.body.count(b"\n\n")
    print_line(
        f"stream: status {stream.status}, {events} events, whole: {stream.complete}"
    )
    order = await fleet.call("entry-2", "/order/shelf", "order-1")
    runs = sum(len(runner.runs) for runner in fleet.runners.values()) - 1
    print_line(f"order: status {order.status}, runs: {runs}")
    fleet.configure(configuration(2, routes=[route("/new/", "non_idempotent")]))
    await asyncio.sleep(SETTLE_S)
    new = await fleet.call("entry-1", "/new/shelf", "order-2")
    old = await fleet.call("entry-2", "/order/shelf", "order-3")
    print_line(f"configuration 2: new route {new.status}, dropped route {old.status}")
    fleet.states["i-3"] = "draining"
    await asyncio.sleep(SETTLE_S)
    before = len(fleet.runners["i-3"].runs)
    for number in range(10):
        await fleet.call("entry-1", "/new/shelf", f"drain-{number}")
    reached = len(fleet.runners["i-3"].runs) - before
    print_line(f"drain of i-3: {reached} of 10 requests reached it")
    code = await fleet.programs["entry-1"].stop(signal.SIGTERM)
    last = await fleet.call("entry-2", "/new/shelf", "last")
    print_line(f"stop of entry-1: exit code {code}; entry-2 answers {last.status}")
    print_line("done")


async def run() -> None:
    with tempfile.TemporaryDirectory() as directory:
        async with PlatformFleet(Path(directory)) as fleet:
            await show(fleet)


if __name__ == "__main__":
    asyncio.run(run())
