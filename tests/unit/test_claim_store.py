"""Guard against two runs of one key when responses of the platform are lost."""

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok
from unit.scripted_platform import ScriptedPlatform, Step

from acaciarelay.protocol.codes import Outcome
from acaciarelay.transport.claim_store import (
    Claimed,
    ClaimStore,
    Finished,
    StoredResult,
)

RESULT = StoredResult(200, [("content-type", "text/plain")], b"done")
KEY = "org/key"


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def new_store(platform: ScriptedPlatform, clock: Clock | None = None) -> ClaimStore:
    return ClaimStore(platform, 10.0, inline_limit_bytes=10, clock=clock or Clock())


def refusal_name(answer: Any) -> str:
    assert isinstance(answer, Err)
    return answer.err_value.code.name


@pytest.mark.parametrize("body", [b"done", b"a body over the limit"])
async def test_a_repeat_gets_the_stored_result(body: bytes) -> None:
    platform = ScriptedPlatform()
    store = new_store(platform)
    result = StoredResult(200, [("a", "b")], body)
    assert await store.claim(KEY, "h", "a") == Ok(Claimed())
    assert refusal_name(await store.claim(KEY, "h", "b")) == "key_in_progress"
    assert await store.start(KEY, "a") == Ok(None)
    assert refusal_name(await store.claim(KEY, "h", "b")) == "key_unsettled"
    assert await store.finish(KEY, "a", result) == Ok(None)
    assert await store.claim(KEY, "h", "b") == Ok(Finished(result))
    assert refusal_name(await store.claim(KEY, "other", "b")) == "key_conflict"
    assert len(platform.objects) == (len(body) > 10)


@pytest.mark.parametrize("step", [Step.LOST, Step.DROPPED, Step.LATE, Step.TWICE])
async def test_a_lost_response_is_resolved_by_reading_back(step: Step) -> None:
    platform = ScriptedPlatform()
    store = new_store(platform)
    platform.steps = iter([step])
    assert await store.claim(KEY, "h", "a") == Ok(Claimed())
    platform.steps = iter([Step.OK, step])
    assert await store.start(KEY, "a") == Ok(None)
    platform.steps = iter([Step.OK, step])
    assert await store.finish(KEY, "a", RESULT) == Ok(None)
    assert await store.claim(KEY, "h", "b") == Ok(Finished(RESULT))


async def test_a_taken_over_claim_does_not_start() -> None:
    """Guards against a paused entry whose call runs after another entry claimed it."""
    platform, clock = ScriptedPlatform(), Clock()
    store = new_store(platform, clock)
    await store.claim(KEY, "h", "a")
    clock.now = 11.0
    assert await store.claim(KEY, "h", "b") == Ok(Claimed())
    answer = await store.start(KEY, "a")
    assert isinstance(answer, Err)
    assert answer.err_value.code.outcome is Outcome.NOT_RUN
    assert await store.start(KEY, "b") == Ok(None)


async def test_a_start_of_a_dead_agent_is_never_taken_over() -> None:
    platform, clock = ScriptedPlatform(), Clock()
    store = new_store(platform, clock)
    await store.claim(KEY, "h", "a")
    await store.start(KEY, "a")
    clock.now = 1e9
    answer = await store.claim(KEY, "h", "b")
    assert isinstance(answer, Err)
    assert answer.err_value.code.outcome is Outcome.UNKNOWN


async def test_a_second_agent_with_the_same_token_does_not_start() -> None:
    platform = ScriptedPlatform()
    await new_store(platform).claim(KEY, "h", "a")
    answers = await asyncio.gather(
        *(new_store(platform).start(KEY, "a") for _ in range(2))
    )
    assert [isinstance(answer, Ok) for answer in answers].count(True) == 1


async def test_an_unconfirmed_start_is_refused_and_can_be_released() -> None:
    platform = ScriptedPlatform()
    store = new_store(platform)
    await store.claim(KEY, "h", "a")
    platform.steps = iter([Step.OK, Step.LOST] + [Step.REFUSED] * 5)
    assert refusal_name(await store.start(KEY, "a")) == "platform_unavailable"
    platform.steps = iter([])
    assert refusal_name(await new_store(platform).release(KEY, "a")) == "key_unsettled"
    assert await store.release(KEY, "a") == Ok(None)
    assert await store.claim(KEY, "h", "b") == Ok(Claimed())


async def test_a_started_call_that_was_not_sent_frees_its_key() -> None:
    """Guards against a key that stays unsettled after its service was unreachable."""
    store = new_store(ScriptedPlatform())
    await store.claim(KEY, "h", "a")
    assert await store.start(KEY, "a") == Ok(None)
    assert await store.release(KEY, "a") == Ok(None)
    assert await store.claim(KEY, "h", "b") == Ok(Claimed())


async def test_an_outage_refuses_the_claim_as_not_run() -> None:
    platform = ScriptedPlatform([Step.REFUSED])
    answer = await new_store(platform).claim(KEY, "h", "a")
    assert refusal_name(answer) == "platform_unavailable"
    assert platform.tables.revision == 0


async def test_a_result_that_is_not_stored_is_not_reported_as_not_run() -> None:
    platform = ScriptedPlatform()
    store = new_store(platform)
    await store.claim(KEY, "h", "a")
    await store.start(KEY, "a")
    platform.steps = iter([Step.REFUSED])
    assert refusal_name(await store.finish(KEY, "a", RESULT)) == "platform_unknown"
    assert await store.finish(KEY, "a", RESULT) == Ok(None)


@settings(max_examples=150, deadline=None)
@given(
    steps=st.lists(st.sampled_from(Step), max_size=40),
    pauses=st.lists(st.integers(0, 20), min_size=4, max_size=4),
)
def test_concurrent_claimants_run_the_call_at_most_once(
    steps: list[Step], pauses: list[int]
) -> None:
    runs: list[str] = []

    async def claimant(platform: ScriptedPlatform, clock: Clock, number: int) -> None:
        for _ in range(pauses[number]):
            await asyncio.sleep(0)
        clock.now += 6.0
        store, token = new_store(platform, clock), f"token-{number}"
        if await store.claim(KEY, "h", token) != Ok(Claimed()):
            return
        # The call of each token reaches two agents.
        for agent in (new_store(platform, clock), new_store(platform, clock)):
            if isinstance(await agent.start(KEY, token), Ok):
                runs.append(token)
                await agent.finish(KEY, token, RESULT)
                continue
            await agent.release(KEY, token)

    async def race() -> None:
        platform, clock = ScriptedPlatform(steps), Clock()
        await asyncio.gather(*(claimant(platform, clock, i) for i in range(4)))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("acaciarelay.transport.conditional_write.RETRY_PAUSE_S", 0.0)
        asyncio.run(race())
    assert len(runs) <= 1
