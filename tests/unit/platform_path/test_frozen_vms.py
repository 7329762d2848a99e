"""Streams at a VM that is frozen with its agent: they end before callers leave."""

import asyncio

import pytest
from relay_rig import RelayRig, configuration, route
from test_silent_spells import FrozenAgentLink

LIMIT_MS = 5000
# When callers of routes with an objective of 400 ms abandon a stream without an event.
ABANDONED_AFTER_S = 2.0
FREEZE_S = 4.0
BEFORE_HEAD_S = 0.05
IN_ANSWER_S = 0.3
# The longest silence of a sound VM.
SOUND_SILENCE_S = 1.5
LAST_HEARTBEAT_S = 0.5
TARGETS = ["/chat/a", "/quote/a"]


def urgent_streams(objective_ms: int = 400):
    """Return streams that callers abandon soon, one that may be resumed and one not."""
    fields = {"timeoutMs": LIMIT_MS, "sloMs": objective_ms, "service": "engine"}
    return configuration(
        version=2,
        routes=[
            route("/chat/", "streaming", resumable=True, **fields),
            route("/quote/", "streaming", maxAttempts=1, **fields),
        ],
    )


async def add_engine(rig):
    return await rig.add_runner("engine", work_s=0.15, step_s=0.05, events=8)


def freeze_vm(rig, engine, freeze_s=FREEZE_S, heartbeat_s=0.0) -> FrozenAgentLink:
    """Freeze an engine and the agent beside it, and return the agent's link."""
    engine.fall_silent(freeze_s)
    link = FrozenAgentLink(asyncio.get_running_loop().time() - heartbeat_s)
    rig.slot_client.link_opened("127.0.0.1", link)
    return link


@pytest.mark.parametrize("after_s", [BEFORE_HEAD_S, IN_ANSWER_S])
@pytest.mark.parametrize("target", TARGETS)
async def test_a_stream_at_a_frozen_vm_ends_before_its_caller_leaves(target, after_s):
    """Guards against a run that goes on at a frozen VM after its caller has left."""
    async with RelayRig() as rig:
        rig.configure(urgent_streams())
        engine = await add_engine(rig)
        call = asyncio.create_task(rig.call(target, limit_ms=LIMIT_MS))
        await asyncio.sleep(after_s)
        freeze_vm(rig, engine)
        # In an answer the last event came just before.
        left_s = ABANDONED_AFTER_S - (after_s if after_s == BEFORE_HEAD_S else 0.0)
        answer = await asyncio.wait_for(call, left_s)
        assert not answer.complete or answer.status == 502
        assert rig.arrivals == 1


@pytest.mark.parametrize("after_s", [BEFORE_HEAD_S, IN_ANSWER_S])
@pytest.mark.parametrize("target", TARGETS)
async def test_a_stream_outlasts_the_silence_of_a_sound_vm(target, after_s):
    """Guards against a stream that ends early since its VM is silent for a moment."""
    async with RelayRig() as rig:
        rig.configure(urgent_streams())
        engine = await add_engine(rig)
        call = asyncio.create_task(rig.call(target, limit_ms=LIMIT_MS))
        await asyncio.sleep(after_s)
        link = freeze_vm(rig, engine, SOUND_SILENCE_S, LAST_HEARTBEAT_S)
        await asyncio.sleep(SOUND_SILENCE_S)
        link.last_received_at = asyncio.get_running_loop().time()
        answer = await call
        assert answer.status == 200 and answer.complete
        assert rig.arrivals == 1


async def test_a_stream_goes_on_as_long_as_its_caller_waits():
    """Guards against a stream that ends early although its caller is more patient."""
    async with RelayRig() as rig:
        rig.configure(urgent_streams(objective_ms=1000))
        engine = await add_engine(rig)
        call = asyncio.create_task(rig.call("/chat/a", limit_ms=LIMIT_MS))
        await asyncio.sleep(IN_ANSWER_S)
        link = freeze_vm(rig, engine, ABANDONED_AFTER_S + 0.3)
        await asyncio.sleep(ABANDONED_AFTER_S + 0.3)
        link.last_received_at = asyncio.get_running_loop().time()
        answer = await call
        assert answer.status == 200 and answer.complete


async def test_a_stream_at_a_frozen_vm_goes_on_elsewhere_before_its_caller_leaves():
    """Guards against a stream that ends though another engine has a free slot."""
    async with RelayRig() as rig:
        rig.configure(urgent_streams())
        engine = await add_engine(rig)
        call = asyncio.create_task(rig.call("/chat/a", limit_ms=LIMIT_MS))
        await asyncio.sleep(IN_ANSWER_S)
        freeze_vm(rig, engine)
        rig.slot_client.agents.clear()
        await add_engine(rig)
        answer = await call
        assert answer.status == 200 and answer.complete
        assert rig.arrivals == 2
