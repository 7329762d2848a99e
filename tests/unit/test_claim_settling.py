"""Guard against a settled key that runs twice or loses the result of its agent."""

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok
from unit.scripted_platform import ScriptedPlatform, Step

from acaciarelay.protocol.admin_api import RecordRefusal, SettleRequest
from acaciarelay.transport.claim_settling import (
    SETTLED_BODY,
    read_claim,
    settle_claim,
)
from acaciarelay.transport.claim_store import (
    Claimed,
    ClaimStore,
    Finished,
    StoredResult,
)

KEY = "org/a/b"
RESULT = StoredResult(201, [], b"done")


def new_store(platform: ScriptedPlatform) -> ClaimStore:
    return ClaimStore(platform, 10.0, clock=lambda: 0.0)


async def start_claim(platform: ScriptedPlatform) -> int:
    """Create a started claim, as left by an agent that died; return its revision."""
    store = new_store(platform)
    assert await store.claim(KEY, "h", "a") == Ok(Claimed())
    assert await store.start(KEY, "a") == Ok(None)
    return (await read_claim(platform, "org", "a/b")).unwrap().revision


async def settle(
    platform: ScriptedPlatform, revision: int, ran: bool, token: str = "t"
) -> Any:
    request = SettleRequest(ran=ran, revision=revision)
    return await settle_claim(platform, "org", "a/b", request, "op", token)


def refusal_name(answer: Any) -> str:
    assert isinstance(answer, Err)
    return answer.err_value.code.name


async def test_a_key_settled_as_not_run_runs_again_and_as_run_has_a_result() -> None:
    platform = ScriptedPlatform()
    revision = await start_claim(platform)
    assert (await settle(platform, revision, False)).unwrap().state == "free"
    assert refusal_name(await read_claim(platform, "org", "a/b")) == "record_missing"
    store = new_store(platform)
    assert await store.claim(KEY, "h", "b") == Ok(Claimed())
    assert await store.start(KEY, "b") == Ok(None)
    revision = (await read_claim(platform, "org", "a/b")).unwrap().revision
    answer = (await settle(platform, revision, True)).unwrap()
    assert (answer.state, answer.settled_by, answer.status) == ("finished", "op", 200)
    match await store.claim(KEY, "h", "c"):
        case Ok(Finished(result)):
            assert (result.status, result.body) == (200, SETTLED_BODY)
        case other:
            pytest.fail(str(other))


@pytest.mark.parametrize("ran", [True, False])
async def test_the_second_operator_gets_a_conflict(ran: bool) -> None:
    platform = ScriptedPlatform()
    revision = await start_claim(platform)
    await settle(platform, revision, True, "first")
    answer = await settle(platform, revision, ran, "second")
    assert refusal_name(answer) == "record_conflict"
    assert isinstance(answer.err_value, RecordRefusal)
    (conflict,) = answer.err_value.conflicts
    assert conflict.expected_revision == revision < conflict.stored_revision


async def test_an_agent_that_finishes_first_keeps_its_result() -> None:
    platform = ScriptedPlatform()
    revision = await start_claim(platform)
    store = new_store(platform)
    assert await store.finish(KEY, "a", RESULT) == Ok(None)
    assert refusal_name(await settle(platform, revision, False)) == "record_conflict"
    assert await store.claim(KEY, "h", "b") == Ok(Finished(RESULT))


@pytest.mark.parametrize("ran", [True, False])
@pytest.mark.parametrize("step", [Step.LOST, Step.DROPPED, Step.LATE, Step.TWICE])
async def test_a_lost_response_is_resolved_by_reading_back(
    step: Step, ran: bool
) -> None:
    platform = ScriptedPlatform()
    revision = await start_claim(platform)
    platform.steps = iter([Step.OK, step])
    answer = (await settle(platform, revision, ran)).unwrap()
    assert answer.state == ("finished" if ran else "free")


async def test_an_unconfirmed_settlement_is_not_reported_as_not_run() -> None:
    platform = ScriptedPlatform()
    revision = await start_claim(platform)
    platform.steps = iter([Step.OK, Step.LOST] + [Step.REFUSED] * 5)
    assert refusal_name(await settle(platform, revision, False)) == "platform_unknown"
    platform.steps = iter([Step.REFUSED])
    assert (
        refusal_name(await settle(platform, revision, False)) == "platform_unavailable"
    )


@settings(max_examples=150, deadline=None)
@given(
    steps=st.lists(st.sampled_from(Step), max_size=40),
    pauses=st.lists(st.integers(0, 20), min_size=5, max_size=5),
)
def test_two_operators_and_two_repeats_run_the_call_at_most_once(
    steps: list[Step], pauses: list[int]
) -> None:
    runs: list[str] = []

    async def operator(platform: ScriptedPlatform, revision: int, number: int) -> None:
        for _ in range(pauses[number]):
            await asyncio.sleep(0)
        await settle(platform, revision, False, f"operator-{number}")

    async def caller(platform: ScriptedPlatform, number: int) -> None:
        for _ in range(pauses[number]):
            await asyncio.sleep(0)
        store, token = new_store(platform), f"token-{number}"
        if await store.claim(KEY, "h", token) != Ok(Claimed()):
            return
        if isinstance(await store.start(KEY, token), Ok):
            runs.append(token)
            await asyncio.sleep(0)
            await store.finish(KEY, token, RESULT)

    async def race() -> None:
        platform = ScriptedPlatform()
        revision = await start_claim(platform)
        platform.steps = iter(steps)
        work = [operator(platform, revision, number) for number in (0, 1)]
        work += [caller(platform, number) for number in (2, 3, 4)]
        await asyncio.gather(*work)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("acaciarelay.transport.conditional_write.RETRY_PAUSE_S", 0.0)
        asyncio.run(race())
    assert len(runs) <= 1
