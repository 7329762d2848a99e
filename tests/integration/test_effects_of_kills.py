"""Guard against a second effect of an order after kills and pauses (I5)."""

import asyncio
import time
from pathlib import Path

from integration.effects import (
    AGENT_FLAGS,
    CLAIM_STALE_S,
    ENTRY_FLAGS,
    ONE_AT_A_TIME,
    Caller,
    Shop,
    assert_effects,
    order_at,
    start_shop,
    wait_until,
)

from acaciarelay_standins.fleet import Fleet

ENTRIES = ["entry-1", "entry-2"]
SLOW_S = 1.5


async def occupy_slot(shop: Shop, key: str) -> asyncio.Task:
    """Occupy the agent's only slot, so that the next order waits."""
    await shop.set_faults(slow_s=SLOW_S)
    task = asyncio.create_task(Caller(shop.fleet, key).retry_until_final(["entry-2"]))
    await shop.wait_phase(key, "started")
    return task


async def start_serial_shop(fleet: Fleet, agents: int = 1) -> Shop:
    flags = (*AGENT_FLAGS, *ONE_AT_A_TIME)
    return await start_shop(fleet, agents=agents, agent_flags=flags)


async def test_an_entry_that_dies_leaves_at_most_one_effect(tmp_path: Path) -> None:
    """Guards against a key that stays blocked, or a second effect, after a kill."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_serial_shop(fleet)

        # After the claim, before the hand-off.
        blocker = await occupy_slot(shop, "blocker")
        early = Caller(fleet, "after-claim")
        first = asyncio.create_task(early.attempt("entry-1"))
        await shop.wait_phase("after-claim", "claimed")
        fleet.entries["entry-1"].process.kill()
        assert (await first).error is not None
        answer = await early.retry_until_final(["entry-2"])
        assert answer.status == 200
        assert (await blocker).status == 200
        await assert_effects(shop, [early])

        # After the hand-off, while the service runs the order.
        await fleet.start_entry("entry-3", "zone-a", "region-a", *ENTRY_FLAGS)
        await fleet.wait_http(
            fleet.entries["entry-3"].http_address,
            "/readyz",
            fleet.entries["entry-3"].process,
        )
        late = Caller(fleet, "after-hand-off")
        await shop.set_faults(slow_s=SLOW_S)
        first = asyncio.create_task(late.attempt("entry-3"))
        await shop.wait_phase("after-hand-off", "started")
        fleet.entries["entry-3"].process.kill()
        assert (await first).error is not None
        answer = await late.retry_until_final(["entry-2"])
        assert answer.status == 200
        await assert_effects(shop, [late])
        assert len(await shop.effects("after-hand-off")) == 1


async def test_an_agent_that_dies_after_the_start_leaves_the_key_unsettled(
    tmp_path: Path,
) -> None:
    """Guards against a second run of a call whose agent was killed during it."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_shop(fleet)
        await shop.set_faults(slow_s=SLOW_S)
        caller = Caller(fleet, "agent-dies")
        first = asyncio.create_task(caller.attempt("entry-1"))

        async def running() -> bool:
            return bool(await shop.requests())

        await wait_until(running)
        for agent in fleet.agents.values():
            agent.process.kill()
        for number, member in enumerate(list(fleet.agents.values())):
            words = ["acaciarelay.programs.agent_main", *member.flags]
            process, _ = await fleet.spawn(member.name, words)
            fleet.agents[member.name].process = process
            assert number < 2
        answer = await first
        assert answer.outcome == "outcome_unknown"
        await shop.set_faults()
        await asyncio.sleep(CLAIM_STALE_S + 0.3)
        for entry in ENTRIES:
            again = await caller.attempt(entry)
            assert (again.code, again.outcome) == (403, "outcome_unknown")
        await assert_effects(shop, [caller])

        # The restarted agents serve other orders.
        answer = await Caller(fleet, "next").retry_until_final(ENTRIES)
        assert answer.status == 200


async def test_the_claim_of_a_paused_entry_is_taken_over(tmp_path: Path) -> None:
    """Guards against a run under a claim that another entry took over in the pause."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_serial_shop(fleet)
        blocker = await occupy_slot(shop, "blocker")
        paused = Caller(fleet, "taken-over")
        first = asyncio.create_task(paused.attempt("entry-1"))
        await shop.wait_phase("taken-over", "claimed")
        fleet.entries["entry-1"].process.pause()
        other = Caller(fleet, "taken-over")
        taken = asyncio.create_task(other.retry_until_final(["entry-2"]))

        async def taken_over() -> bool:
            writes = await shop.claim_writes("taken-over")
            return len({w["value"]["token"] for w in writes if w["value"]}) > 1

        await wait_until(taken_over)
        # Resume while the new holder of the claim still waits or has just started.
        fleet.entries["entry-1"].process.resume()
        assert (await taken).status == 200
        old = await first
        assert (await blocker).status == 200
        if old.status != 200:
            assert old.outcome == "not_run", old
        await assert_effects(shop, [paused, other])
        assert len(await shop.effects("taken-over")) == 1


async def test_a_paused_agent_runs_no_order_that_was_taken_over(
    tmp_path: Path,
) -> None:
    """Guards against a run by an agent resumed after its claim was taken over."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_serial_shop(fleet, agents=2)
        # The agent is paused between its write of the start and its read of the
        # platform's answer.
        callers = [Caller(fleet, f"paused-agent-{number}") for number in range(4)]
        await shop.set_faults(slow_s=0.5)
        tasks = [
            asyncio.create_task(caller.retry_until_final(ENTRIES, timeout_s=30))
            for caller in callers
        ]
        await shop.wait_phase("paused-agent-0", "claimed")
        agent = fleet.agents["agent-1"].process
        agent.pause()
        await asyncio.sleep(4.0)
        agent.resume()
        started = time.monotonic()
        await asyncio.gather(*tasks)
        assert time.monotonic() - started < 30
        await assert_effects(shop, callers)
        for caller in callers:
            assert len(await shop.effects(caller.key)) == 1


async def test_an_agent_paused_between_claim_and_start(tmp_path: Path) -> None:
    """Guards against a start under a token that was replaced during the pause."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_serial_shop(fleet)
        blocker = await occupy_slot(shop, "blocker")
        first = Caller(fleet, "late-start")
        waiting = asyncio.create_task(first.attempt("entry-1"))
        await shop.wait_phase("late-start", "claimed")
        agent = fleet.agents["agent-1"].process
        agent.pause()
        await asyncio.sleep(CLAIM_STALE_S + 0.3)
        # Another entry takes the claim over and waits for the same agent.
        second = asyncio.create_task(order_at(fleet, "entry-2", "late-start"))
        await asyncio.sleep(0.3)
        agent.resume()
        answers = [await waiting, await second]
        await blocker
        caller = Caller(fleet, "late-start", answers=answers)
        answer = await caller.retry_until_final(ENTRIES)
        assert answer.status == 200
        await assert_effects(shop, [caller])
        assert len(await shop.effects("late-start")) == 1
