"""Takeovers that leave a run which would have answered, and end without an answer."""

import asyncio
import time

import pytest
from relay_rig import RelayRig, configuration, route

from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.programs.relay_takeover import MAX_SOUND_SILENCE_S
from acaciarelay.protocol.link_messages import SlotGrant, SlotRequest
from acaciarelay.transport.endpoint_call import connect

LIMIT_MS = 5000
# Longer than the time without progress after which a takeover begins.
WORK_S = 2.4
# The reserve of a budget with room for a single retry.
ONE_RETRY = 2.0


def lookups(version: int = 2, **fields):
    """Return a configuration whose lookups have time for a takeover."""
    times = {"timeoutMs": LIMIT_MS, "sloMs": 1000}
    return configuration(
        version=version, routes=[route("/read/", "idempotent", **(times | fields))]
    )


async def start_call(rig) -> asyncio.Task:
    """Start a lookup at a runner with long work, before there is another runner."""
    rig.configure(lookups())
    await rig.add_runner("orders", work_s=WORK_S)
    call = asyncio.create_task(rig.call("/read/a", "GET", limit_ms=LIMIT_MS))
    await asyncio.sleep(0.3)
    return call


async def test_no_takeover_when_the_request_would_be_refused_after_it():
    """Guards against a run that is left though no other one may follow."""
    async with RelayRig() as rig:
        call = await start_call(rig)
        await rig.add_runner("orders")
        rig.configure(configuration(version=3, routes=[route("/else/", "idempotent")]))
        answer = await call
        assert answer.status == 200 and answer.complete


async def test_a_takeover_beside_a_pause_spends_one_retry():
    """Guards against a placement that is dropped after its run was left for it."""
    async with RelayRig() as rig:
        rig.retry_budget.reserve = ONE_RETRY
        call = await start_call(rig)
        await rig.add_runner("orders")
        rig.cache.distrust()
        answer = await call
        assert answer.status == 200 and answer.complete


async def test_a_takeover_by_an_unreachable_runner_does_not_end_the_request():
    """Guards against a run that is left for a runner that can't be connected to."""
    async with RelayRig() as rig:
        rig.retry_budget.reserve = ONE_RETRY
        call = await start_call(rig)
        await rig.add_runner("orders")
        rig.servers[-1].close()
        answer = await call
        assert answer.status == 200 and answer.complete


class Link:
    """Link that keeps what is sent."""

    round_trip_s = 0.0

    def __init__(self):
        self.sent = []
        self.last_received_at = 0.0

    def send(self, message):
        self.sent.append(message)


async def test_a_slot_granted_by_an_agent_that_is_lost_at_the_end_of_the_wait():
    """Guards against an unexpected error in place of a timeout or cancellation."""
    slots, link = SlotClient(), Link()
    slots.link_opened("10.0.0.1", link)
    slot_request = SlotRequest(
        request="r",
        organisation="",
        rank=0,
        late=False,
        wait_s=5.0,
        time_left_s=5.0,
        prompt_tokens=0,
        output_tokens=0,
        slots=1,
        asked=1,
    )
    agents = [slots.agents["10.0.0.1"]]
    task = asyncio.create_task(slots.acquire(agents, slot_request, 5.0))
    await asyncio.sleep(0)
    request_id = link.sent[0].request
    slots.receive("10.0.0.1", SlotGrant(request=request_id))
    slots.link_closed("10.0.0.1", link)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


@pytest.mark.parametrize("pause_s", [MAX_SOUND_SILENCE_S + 0.2])
async def test_a_pause_of_the_own_process_is_no_silence_of_the_endpoint(pause_s):
    """Guards against takeovers of sound runs after a pause of the entry itself."""

    async def answer_slowly(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.read()
        writer.transport.abort()

    endpoint = await asyncio.start_server(answer_slowly, "127.0.0.1", 0)
    host, port = endpoint.sockets[0].getsockname()
    connection = (await connect(f"{host}:{port}", 1)).unwrap()
    connection.send("GET", "/", [("Host", "x")], b"")
    silences = []
    connection.watch_progress(1.0, lambda: silences.append(connection.stalled_s))
    await asyncio.sleep(0.1)
    # The event loop stands still, as it does in a frozen process.
    time.sleep(pause_s)  # noqa: ASYNC251
    await asyncio.sleep(0.1)
    connection.close()
    endpoint.close()
    # The endpoint closes its side once it has read the end.
    await asyncio.sleep(0.05)
    assert silences == []
