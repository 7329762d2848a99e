"""Guard against a second effect of an order that callers repeat (I5)."""

import asyncio
from pathlib import Path

from integration.effects import (
    Caller,
    Shop,
    assert_effects,
    order_at,
    start_shop,
    wait_until,
)

from acaciarelay_standins.fleet import Fleet

ENTRIES = ["entry-1", "entry-2"]
# Above 64 KiB, the largest answer stored inline in the claim.
LARGE_ANSWER_BYTES = 200_000


async def test_repeats_through_both_entries_have_one_effect(tmp_path: Path) -> None:
    """Guards against a key run by both entries, and wrong results of repeats."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_shop(fleet)
        await check_concurrent_repeats(shop)
        await check_other_body(shop)
        await check_disconnected_caller(shop)
        await check_large_result(shop)


async def check_concurrent_repeats(shop: Shop) -> None:
    await shop.set_faults(slow_s=0.2)
    callers = []
    for number in range(6):
        callers += [Caller(shop.fleet, f"at-once-{number}") for _ in range(6)]
    await asyncio.gather(
        *(
            caller.retry_until_final(ENTRIES if index % 2 else ENTRIES[::-1])
            for index, caller in enumerate(callers)
        )
    )
    await assert_effects(shop, callers)
    for caller in callers:
        assert caller.final is not None and caller.final.status == 200
        assert len(await shop.effects(caller.key)) == 1


async def check_other_body(shop: Shop) -> None:
    """Another body under the key is refused, during the call and afterwards."""
    first = Caller(shop.fleet, "other-body", b"oak")
    task = asyncio.create_task(first.retry_until_final(["entry-1"]))
    await shop.wait_phase("other-body", "started")
    during = await order_at(shop.fleet, "entry-2", "other-body", b"ash")
    await task
    after = await order_at(shop.fleet, "entry-2", "other-body", b"ash")
    assert (during.code, during.outcome) == (401, "not_run")
    assert (after.code, after.outcome) == (401, "not_run")
    effects = await shop.effects("other-body")
    assert [effect["body"] for effect in effects] == ["oak"]


async def check_disconnected_caller(shop: Shop) -> None:
    """The run continues without its caller, which gets the result by a repeat."""
    await shop.set_faults(slow_s=0.8)
    caller = Caller(shop.fleet, "leaves")
    left = await caller.attempt("entry-1", read_timeout_s=0.3)
    assert left.error is not None
    answer = await caller.retry_until_final(["entry-2", "entry-1"])
    assert answer.status == 200
    await assert_effects(shop, [caller])
    assert len(await shop.effects("leaves")) == 1


async def check_large_result(shop: Shop) -> None:
    """A result above the inline limit is replayed byte for byte."""
    await shop.set_faults(answer_bytes=LARGE_ANSWER_BYTES)
    caller = Caller(shop.fleet, "large")
    first = await caller.attempt("entry-1")
    again = await caller.attempt("entry-2")
    assert first.status == again.status == 200
    assert len(first.body) == LARGE_ANSWER_BYTES
    assert again.body == first.body
    assert again.headers["content-type"] == first.headers["content-type"]
    assert again.headers["idempotency-replayed"] == "true"
    await assert_effects(shop, [caller])


async def test_a_failing_service_is_not_called_again(tmp_path: Path) -> None:
    """Guards against a second call after a failure whose effect is unknown."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_shop(fleet)

        # A complete answer of any status is the result of the call.
        await shop.set_faults(fail_before_effect="status")
        failed = Caller(fleet, "status")
        first = await failed.attempt("entry-1")
        await shop.set_faults()
        again = await failed.attempt("entry-2")
        assert first.status == again.status == 500
        assert first.code == again.code == 0
        assert again.body == first.body
        assert await shop.effects("status") == []

        callers = [failed]
        for key, faults in (
            ("closed-before", {"fail_before_effect": "close"}),
            ("closed-after", {"close_after_effect": True}),
        ):
            await shop.set_faults(**faults)
            caller = Caller(fleet, key)
            callers.append(caller)
            first = await caller.attempt("entry-1")
            assert first.outcome == "outcome_unknown"
            await shop.set_faults()
            # Longer than the age after which an unstarted claim may be taken over.
            await asyncio.sleep(1.2)
            for entry in ENTRIES:
                again = await caller.attempt(entry)
                assert (again.code, again.outcome) == (403, "outcome_unknown")
        assert await shop.effects("closed-before") == []
        assert len(await shop.effects("closed-after")) == 1
        await assert_effects(shop, callers)


async def test_no_effect_for_a_caller_that_disconnected_while_waiting(
    tmp_path: Path,
) -> None:
    """Guards against a run for a caller that disconnected while its order waited."""
    async with Fleet(tmp_path) as fleet:
        shop = await start_shop(
            fleet,
            agents=1,
            agent_flags=(
                "--token-limit",
                "100",
                "--token-limit-min",
                "100",
                "--largest-share",
                "1",
            ),
        )
        await shop.set_faults(slow_s=1.0)
        blocker = Caller(fleet, "blocker")
        running = asyncio.create_task(blocker.retry_until_final(["entry-1"]))
        await shop.wait_phase("blocker", "started")
        waiting = Caller(fleet, "waiting")
        await waiting.attempt("entry-1", read_timeout_s=0.2)
        await running

        async def released() -> bool:
            writes = await shop.claim_writes("waiting")
            return bool(writes) and writes[-1]["value"] is None

        await wait_until(released)
        await asyncio.sleep(0.3)
        assert await shop.effects("waiting") == []
        await assert_effects(shop, [blocker, waiting])
