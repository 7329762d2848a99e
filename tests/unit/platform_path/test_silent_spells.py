"""Runners that send nothing for a second or so and go on: nothing is lost by it."""

import asyncio
import random
import time

import pytest
from relay_rig import RelayRig, configuration, route

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.programs import relay_attempt
from acaciarelay.transport.endpoint_call import connect

SILENCES_S = [1.0, 1.5]
LIMIT_MS = 5000
# How long after a silence a runner may get less than its share, and what it has to get
# then of the requests for two runners.
RECOVERY_S = 2.0
MIN_SHARE = 0.25
SENT = 60
# Moments of a silence: before the head, and in the middle of the answer.
BEFORE_HEAD_S = 0.05
IN_ANSWER_S = 0.3
KINDS = {
    "/read/a": "orders",
    "/order/a": "orders",
    "/chat/a": "engine",
    "/quote/a": "engine",
}


def long_routes():
    """Return routes with time for a silence and an answer."""
    fields = {"timeoutMs": LIMIT_MS, "sloMs": 1000}
    return configuration(
        version=2,
        routes=[
            route("/read/", "idempotent", **fields),
            route("/order/", "non_idempotent", **fields),
            route("/chat/", "streaming", service="engine", resumable=True, **fields),
            route("/quote/", "streaming", service="engine", maxAttempts=1, **fields),
        ],
    )


class FrozenAgentLink:
    """Link to the agent of a VM that has sent nothing since ``silent_at``."""

    peer = None
    round_trip_s = 0.0

    def __init__(self, silent_at):
        self.last_received_at = silent_at


async def add_steady_runner(rig, service):
    return await rig.add_runner(service, work_s=0.15, body_s=0.3, step_s=0.05, events=8)


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("after_s", [BEFORE_HEAD_S, IN_ANSWER_S])
@pytest.mark.parametrize("target", KINDS)
async def test_an_answer_is_not_cut_by_a_silence(target, after_s, silence_s):
    """Guards against an answer that a sound runner would have ended."""
    async with RelayRig() as rig:
        rig.configure(long_routes())
        runners = [await add_steady_runner(rig, KINDS[target]) for _ in range(2)]
        call = asyncio.create_task(rig.call(target, limit_ms=LIMIT_MS))
        await asyncio.sleep(after_s)
        for runner in runners:
            runner.fall_silent(silence_s)
        answer = await call
        assert answer.status == 200 and answer.complete
        if target in ("/order/a", "/quote/a"):
            assert rig.arrivals == 1


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("after_s", [BEFORE_HEAD_S, IN_ANSWER_S])
@pytest.mark.parametrize("target", KINDS)
async def test_an_answer_is_not_cut_by_the_silence_of_a_whole_vm(
    target, after_s, silence_s
):
    """Guards against an answer given up since the agent beside its runner is silent."""
    async with RelayRig() as rig:
        rig.configure(long_routes())
        runner = await add_steady_runner(rig, KINDS[target])
        call = asyncio.create_task(rig.call(target, limit_ms=LIMIT_MS))
        await asyncio.sleep(after_s)
        runner.fall_silent(silence_s)
        # The last heartbeat was sent half a second before at most.
        link = FrozenAgentLink(asyncio.get_running_loop().time() - 0.5)
        rig.slot_client.link_opened("127.0.0.1", link)
        await asyncio.sleep(silence_s)
        link.last_received_at = asyncio.get_running_loop().time()
        answer = await call
        assert answer.status == 200 and answer.complete
        assert rig.arrivals == 1


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("target", ["/chat/a", "/read/a"])
async def test_a_silence_cuts_nothing_where_no_retry_is_left(target, silence_s):
    """Guards against an attempt given up before another one can take its place."""
    async with RelayRig() as rig:
        rig.configure(long_routes())
        first = await add_steady_runner(rig, KINDS[target])
        call = asyncio.create_task(rig.call(target, limit_ms=LIMIT_MS))
        await asyncio.sleep(IN_ANSWER_S)
        first.fall_silent(silence_s)
        other = await add_steady_runner(rig, KINDS[target])
        rig.health.defer(other.endpoint_id, time.monotonic() + LIMIT_MS / 1000)
        answer = await call
        assert answer.status == 200 and answer.complete
        assert rig.arrivals == 1


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("target", ["/chat/a", "/read/a"])
async def test_a_request_stays_with_its_runner_through_a_silence(target, silence_s):
    """Guards against a second run that begins while the first one goes on."""
    async with RelayRig() as rig:
        rig.configure(long_routes())
        first = await add_steady_runner(rig, KINDS[target])
        call = asyncio.create_task(rig.call(target, limit_ms=LIMIT_MS))
        await asyncio.sleep(IN_ANSWER_S)
        first.fall_silent(silence_s)
        await add_steady_runner(rig, KINDS[target])
        answer = await call
        assert answer.status == 200 and answer.complete
        assert rig.arrivals == 1


async def test_a_takeover_keeps_no_slot_when_its_request_ends():
    """Guards against slots that are held for requests that have ended."""
    async with RelayRig() as rig:
        rig.configure(long_routes())
        silent = await add_steady_runner(rig, "engine")
        silent.fall_silent(60.0)
        call = asyncio.create_task(rig.call("/chat/a", limit_ms=LIMIT_MS))
        await asyncio.sleep(IN_ANSWER_S)
        other = await add_steady_runner(rig, "engine")
        other.fall_silent(60.0)
        await asyncio.sleep(2.5)
        assert len(other.connections) == 1
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.1)
        takeovers = rig.relay.takeovers
        assert not takeovers.placements and not takeovers.tasks
        for runner in (silent, other):
            assert rig.health.stats(runner.endpoint_id).in_flight == 0


class SilentConnects:
    """Connects of the entry, which time out while the runner's listener is silent."""

    def __init__(self, monkeypatch):
        self.silent_until = {}
        monkeypatch.setattr(relay_attempt, "connect", self.connect)

    async def connect(self, address, timeout_s, *budget):
        left_s = self.silent_until.get(address, 0.0) - time.monotonic()
        if left_s > 0:
            await asyncio.sleep(min(left_s, timeout_s))
        return await connect(address, max(0.0, timeout_s - max(0.0, left_s)), *budget)


async def send_all(rig, target, name, count, gap_s):
    calls = []
    for number in range(count):
        attempt = f"{name}-{number}"
        call = rig.call(target, attempt=attempt, limit_ms=LIMIT_MS)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*calls)


@pytest.mark.parametrize("connects_silent", [False, True], ids=["accepts", "mute"])
@pytest.mark.parametrize("target", KINDS)
async def test_a_runner_gets_its_share_soon_after_a_silence(
    monkeypatch, target, connects_silent
):
    """Guards against a runner that is avoided long after it went on."""
    connects = SilentConnects(monkeypatch)
    async with RelayRig() as rig:
        rig.configure(long_routes())
        runner = await rig.add_runner(KINDS[target])
        await rig.add_runner(KINDS[target])
        await send_all(rig, target, "before", 10, 0.01)
        runner.fall_silent(1.5)
        if connects_silent:
            address = rig.cache.endpoints.get(runner.endpoint_id).address
            connects.silent_until[address] = runner.silent_until
        answers = await send_all(rig, target, "during", 100, 0.015)
        assert all(answer.status == 200 and answer.complete for answer in answers)
        await asyncio.sleep(RECOVERY_S)
        before = len(runner.runs)
        answers = await send_all(rig, target, "after", SENT, 0.01)
        assert all(answer.status == 200 for answer in answers)
        assert len(runner.runs) - before >= MIN_SHARE * SENT


def test_a_request_without_an_answer_beside_answered_ones_is_no_silence():
    """Guards against a runner that is avoided since one of its requests hangs."""
    health = EndpointHealth("zone-a", {}, random.Random(1))
    health.record_answer("i-1", 5.0)
    health.record_silence("i-1", 4.9, 5.9)
    assert not health.is_avoided("i-1", 5.9)


def test_a_silent_runner_gets_single_requests_until_it_answers():
    """Guards against a crowd at a silent runner, and against none after its return."""
    health = EndpointHealth("zone-a", {}, random.Random(1))
    health.record_silence("i-1", 5.0, 6.0)
    assert health.is_avoided("i-1", 6.9)
    assert not health.is_avoided("i-1", 7.0)
    health.stats("i-1").chosen_at = 7.0
    assert health.is_avoided("i-1", 7.5)
    health.record_answer("i-1", 7.6)
    assert not health.is_avoided("i-1", 7.6)
