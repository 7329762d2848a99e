"""Guard against runs ended for the silence of an agent left behind by a change."""

import asyncio
import signal
from collections.abc import AsyncIterator
from typing import Any

import pytest
from integration.platform_fleet import PlatformFleet
from relay_rig import RawAnswer, configuration, route

LIMIT_MS = 8000
# Time of an order, and of the steps of a stream: a sound engine may need as long
# without a byte.
WORK_S = 3.0
STEP_S = 1.9
# How long the agent is frozen, and when in it the change comes: its link is lost then.
FROZEN_S = 2.6
CHANGED_AFTER_S = 2.0
# A change that comes before the link is lost, and the work of a run that goes on for
# longer than any freeze.
EARLY_CHANGE_S = 1.4
LONG_WORK_S = 3.6


def long_routes(version: int) -> dict[str, Any]:
    fields = {"timeoutMs": LIMIT_MS, "sloMs": 5000}
    value = configuration(
        version,
        routes=[
            route("/order/", "non_idempotent", service="engine", **fields),
            route("/plain/", "non_idempotent", service="orders", **fields),
            route("/chat/", "streaming", service="engine", maxAttempts=1, **fields),
        ],
    )
    value["services"][1]["engine"] = {"slots": 8, "kvTokens": 100_000}
    return value


def without_engine(version: int) -> dict[str, Any]:
    value = long_routes(version)
    del value["services"][1]["engine"]
    return value


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path) as fleet:
        fleet.configure(long_routes(2))
        await fleet.add_runner("engine", 1, step_s=STEP_S, events=3)
        await fleet.add_agent(1)
        await fleet.add_entry(1)
        await asyncio.sleep(1.0)
        yield fleet


async def change_beside_a_frozen_agent(
    fleet: PlatformFleet, value: dict[str, Any]
) -> None:
    """Change the configuration while the agent is frozen, and let it go on."""
    agent = fleet.programs["agent-1"].process
    agent.send_signal(signal.SIGSTOP)
    await asyncio.sleep(CHANGED_AFTER_S)
    fleet.configure(value)
    await asyncio.sleep(FROZEN_S - CHANGED_AFTER_S)
    agent.send_signal(signal.SIGCONT)
    await asyncio.sleep(1.0)


async def reuse_address(fleet: PlatformFleet) -> None:
    """Let the engine go, and a runner of another service have its address."""
    runner = fleet.runners["i-1"]
    fleet.registrations["i-1"].cancel()
    fleet.writer.write("servers", runner.endpoint_id, None)
    await asyncio.sleep(0.5)
    runner.endpoint_id = "i-1.reused"
    host, port = fleet.servers["i-1"].sockets[0].getsockname()
    register = fleet.register("i-1", "orders", f"{host}:{port}")
    fleet.registrations["i-1"] = asyncio.create_task(register)


async def call(fleet: PlatformFleet, target: str) -> RawAnswer:
    return await fleet.call("entry-1", target, target[1:6], limit_ms=LIMIT_MS)


@pytest.mark.parametrize("change", [long_routes, without_engine])
async def test_an_order_after_a_change_beside_a_frozen_agent(fleet, change):
    """Guards against an order given up for an agent that is not dialled any more."""
    fleet.runners["i-1"].work_s = WORK_S
    await change_beside_a_frozen_agent(fleet, change(3))
    answer = await call(fleet, "/order/a")
    assert (answer.status, answer.complete) == (200, True)


@pytest.mark.parametrize("change", [long_routes, without_engine])
async def test_a_stream_after_a_change_beside_a_frozen_agent(fleet, change):
    """Guards against a stream cut for an agent that is not dialled any more."""
    await change_beside_a_frozen_agent(fleet, change(3))
    answer = await call(fleet, "/chat/a")
    assert (answer.status, answer.complete) == (200, True)


async def test_an_order_at_an_address_whose_agent_is_gone(fleet):
    """Guards against an order given up for the agent that its address had before."""
    fleet.runners["i-1"].work_s = WORK_S
    fleet.programs["agent-1"].process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(CHANGED_AFTER_S)
    await reuse_address(fleet)
    await asyncio.sleep(2.5)
    answer = await call(fleet, "/plain/a")
    assert (answer.status, answer.complete) == (200, True)


@pytest.mark.parametrize("frozen_s", [1.5, 2.0, 2.4])
@pytest.mark.parametrize("change", [long_routes, without_engine])
async def test_an_order_under_way_at_a_change_beside_a_frozen_agent(
    fleet, change, frozen_s
):
    """Guards against an order given up as a change comes while its agent is frozen."""
    fleet.runners["i-1"].work_s = LONG_WORK_S
    order = asyncio.create_task(call(fleet, "/order/a"))
    await asyncio.sleep(0.1)
    agent = fleet.programs["agent-1"].process
    agent.send_signal(signal.SIGSTOP)
    await asyncio.sleep(EARLY_CHANGE_S)
    fleet.configure(change(3))
    await asyncio.sleep(frozen_s - EARLY_CHANGE_S)
    agent.send_signal(signal.SIGCONT)
    answer = await order
    assert (answer.status, answer.complete) == (200, True)
