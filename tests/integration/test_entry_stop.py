"""Guard against requests that nobody answers when an entry is stopped."""

import asyncio
import signal
from typing import Any

from integration.platform_fleet import (
    PlatformFleet,
    Program,
    open_channel,
    request_head,
    stuck_address,
)
from relay_rig import RawAnswer, configuration, read_raw_answer, route

from acaciarelay.programs.relay_request import TRUST_WAIT_S

# Time from SIGTERM, in seconds, at which the entries of these tests still listen for a
# second, and at which too little is left of their grace time of 4 s for LATE_WORK_S.
LATE_S = 1.6
LATE_WORK_S = 2.2
LONG_WORK_S = 8.0
LIMIT_MS = 10_000


async def start_fleet(fleet: PlatformFleet, **fields: Any) -> Program:
    """Start an entry, an engine with its agent and a plain service, with long limits.

    No endpoint of the service ``spare`` is registered, so requests for it are queued.
    ``fields`` replace values of the entry's settings.
    """
    limits = {"timeoutMs": LIMIT_MS, "sloMs": 400}
    value = configuration(
        2,
        routes=[
            route("/order/", "non_idempotent", **limits),
            route("/read/", "idempotent", **limits),
            route("/chat/", "streaming", service="engine", resumable=True, **limits),
            route(
                "/patient/", "idempotent", service="engine", **limits | {"sloMs": 9000}
            ),
            route(
                "/spare/", "non_idempotent", service="spare", **limits | {"sloMs": 9000}
            ),
        ],
    )
    value["services"][1]["engine"] = {"slots": 8, "kvTokens": 100_000}
    value["services"].append(
        {"name": "spare", "healthPath": "/health", "maxConns": 100}
    )
    fleet.configure(value)
    await fleet.add_runner("engine", 1)
    await fleet.add_runner("orders", 3)
    await fleet.add_agent(1)
    entry = await fleet.add_entry(1, **fields)
    await asyncio.sleep(1.0)
    return entry


def begin_stop(entry: Program) -> asyncio.Task[int]:
    return asyncio.create_task(entry.stop(signal.SIGTERM))


async def call(fleet: PlatformFleet, target: str, attempt: str) -> RawAnswer:
    method = "GET" if target.startswith("/read/") else "POST"
    return await fleet.call(
        "entry-1", target, attempt, method=method, limit_ms=LIMIT_MS
    )


def ran(fleet: PlatformFleet, attempt: str) -> bool:
    runs = [run for runner in fleet.runners.values() for run in runner.runs]
    return any(run.attempt == attempt for run in runs)


def check_refused(answer: RawAnswer) -> None:
    """Check a complete refusal of a stopping entry that the caller may act on."""
    assert answer.complete
    assert (answer.status, answer.headers["acaciarelay-code"]) == (503, "304")
    assert answer.headers["connection"] == "close"
    assert float(answer.headers["retry-after"]) < 0.5


async def test_an_order_still_running_at_the_end_of_the_grace_is_answered(tmp_path):
    """Guards against an order cut with no answer when its entry stops."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        assert (await call(fleet, "/order/a", "usual")).status == 200
        fleet.runners["i-3"].work_s = LONG_WORK_S
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        answer = await call(fleet, "/order/a", "long")
        assert ran(fleet, "long")
        assert (answer.status, answer.complete) == (502, True)
        assert answer.headers["acaciarelay-code"] == "508"
        assert answer.headers["acaciarelay-outcome"] == "outcome_unknown"
        assert await stopping == 0


async def test_a_request_queued_at_the_end_of_the_grace_is_refused(tmp_path):
    """Guards against a queued request cut with no answer when its entry stops."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        queued = asyncio.create_task(call(fleet, "/spare/a", "queued"))
        await asyncio.sleep(0.2)
        stopping = begin_stop(entry)
        check_refused(await queued)
        assert await stopping == 0


async def test_a_request_without_a_grant_at_the_end_of_the_grace_is_refused(tmp_path):
    """Guards against a request cut while it waits for a slot of a busy engine."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-1"].events = 200
        fleet.runners["i-1"].step_s = 0.05
        busy = [
            asyncio.create_task(call(fleet, "/chat/a", f"busy-{number}"))
            for number in range(9)
        ]
        await asyncio.sleep(0.5)
        waiting = asyncio.create_task(call(fleet, "/patient/a", "waiting"))
        await asyncio.sleep(0.2)
        stopping = begin_stop(entry)
        check_refused(await waiting)
        assert not ran(fleet, "waiting")
        await asyncio.gather(*busy)
        assert await stopping == 0


async def test_a_request_that_connects_at_the_end_of_the_grace_is_refused(tmp_path):
    """Guards against a request cut while no endpoint accepts its connection."""
    async with PlatformFleet(tmp_path) as fleet:
        with stuck_address() as address:
            fleet.register_address("spare", 9, address)
            entry = await start_fleet(fleet)
            connecting = asyncio.create_task(call(fleet, "/spare/a", "connecting"))
            await asyncio.sleep(0.2)
            stopping = begin_stop(entry)
            check_refused(await connecting)
            assert await stopping == 0


async def test_a_late_order_that_cannot_end_in_the_grace_is_refused_at_once(tmp_path):
    """Guards against an order that is passed on too late to be answered."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-3"].work_s = LATE_WORK_S
        assert (await call(fleet, "/order/a", "usual")).status == 200
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        check_refused(await call(fleet, "/order/a", "late"))
        assert not ran(fleet, "late")
        assert await stopping == 0


async def test_a_late_stream_that_cannot_end_in_the_grace_is_refused_at_once(tmp_path):
    """Guards against a stream that is begun too late to be completed."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-1"].step_s = LATE_WORK_S / 10
        for number in range(2):
            answer = await call(fleet, "/chat/a", f"usual-{number}")
            assert answer.complete
        await asyncio.sleep(0.5)
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        check_refused(await call(fleet, "/chat/a", "late"))
        assert not ran(fleet, "late")
        assert await stopping == 0


async def test_late_requests_that_end_in_the_grace_are_served(tmp_path):
    """Guards against short requests refused although there is time for them."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        for target in ("/order/a", "/read/a", "/chat/a"):
            for number in range(3):
                answer = await call(fleet, target, f"usual-{number}")
                assert answer.complete
        await asyncio.sleep(0.5)
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        for target in ("/order/a", "/read/a", "/chat/a"):
            answer = await call(fleet, target, "late")
            assert (answer.status, answer.complete) == (200, True)
            assert answer.headers["connection"] == "close"
        assert await stopping == 0


async def test_a_stream_cut_at_the_end_of_the_grace_does_not_look_complete(tmp_path):
    """Guards against a cut stream that ends like a complete one."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-1"].events = 200
        fleet.runners["i-1"].step_s = 0.05
        stream = asyncio.create_task(call(fleet, "/chat/a", "long"))
        await asyncio.sleep(0.3)
        stopping = begin_stop(entry)
        answer = await stream
        assert (answer.status, answer.complete) == (200, False)
        assert answer.body.count(b"data: piece") > 20
        assert await stopping == 0


async def test_a_second_request_on_an_open_connection_is_answered(tmp_path):
    """Guards against a request cut that follows an answer begun before the stop."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-1"].events = 32
        fleet.runners["i-1"].step_s = 0.1
        fleet.runners["i-3"].work_s = LATE_WORK_S
        assert (await call(fleet, "/order/a", "usual")).status == 200
        address = entry.settings["caller_address"]
        async with open_channel(address) as (reader, writer):
            writer.write(request_head("/chat/a", "first", limit_ms=LIMIT_MS))
            await asyncio.sleep(0.3)
            stopping = begin_stop(entry)
            await asyncio.sleep(1.0)
            writer.write(request_head("/order/a", "second", limit_ms=LIMIT_MS))
            first = await read_raw_answer(reader)
            assert (first.status, first.complete) == (200, True)
            assert "connection" not in first.headers
            check_refused(await read_raw_answer(reader))
            assert not ran(fleet, "second")
            assert await stopping == 0


async def test_a_body_that_ends_late_in_the_grace_is_answered(tmp_path):
    """Guards against a request cut whose body is being read when its entry stops."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-3"].work_s = LATE_WORK_S
        assert (await call(fleet, "/order/a", "usual")).status == 200
        address = entry.settings["caller_address"]
        async with open_channel(address) as (reader, writer):
            writer.write(
                request_head("/order/a", "slow", limit_ms=LIMIT_MS, body_bytes=16)
            )
            stopping = begin_stop(entry)
            for _ in range(16):
                await asyncio.sleep(0.18)
                writer.write(b"x")
            check_refused(await read_raw_answer(reader))
            assert not ran(fleet, "slow")
            assert await stopping == 0


async def test_a_body_unfinished_at_the_end_of_the_grace_is_refused(tmp_path):
    """Guards against a half-read request whose caller learns nothing at the stop."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        address = entry.settings["caller_address"]
        async with open_channel(address) as (reader, writer):
            writer.write(
                request_head("/order/a", "slow", limit_ms=LIMIT_MS, body_bytes=99)
            )
            stopping = begin_stop(entry)
            dripping = asyncio.create_task(drip(writer))
            check_refused(await read_raw_answer(reader))
            dripping.cancel()
            assert await stopping == 0


async def drip(writer: asyncio.StreamWriter) -> None:
    while True:
        await asyncio.sleep(0.15)
        writer.write(b"x")


async def test_an_order_read_after_a_pause_in_the_stop_is_refused(tmp_path):
    """Guards against an order cut while its paused entry waits for a fresh word."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        assert (await call(fleet, "/order/a", "usual")).status == 200
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        entry.process.send_signal(signal.SIGSTOP)
        fleet.store.faults.status = 503
        order = asyncio.create_task(call(fleet, "/order/a", "paused"))
        await asyncio.sleep(1.6)
        entry.process.send_signal(signal.SIGCONT)
        check_refused(await order)
        assert not ran(fleet, "paused")
        assert await stopping == 0


async def test_a_stop_without_requests_is_not_taken_for_a_pause(tmp_path):
    """Guards against an entry that distrusts its state although it always ran."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        assert (await call(fleet, "/order/a", "late")).status == 200
        assert await stopping == 0
        types = {line["message_type"] for line in entry.log()}
        assert "resumed_after_pause" not in types


async def test_a_late_request_is_not_held_while_the_store_is_away(tmp_path):
    """Guards against a wait for the store's word in a stop, as after a pause."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.store.go_away()
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        began = asyncio.get_running_loop().time()
        assert (await call(fleet, "/order/a", "late")).status == 200
        assert asyncio.get_running_loop().time() - began < TRUST_WAIT_S
        assert await stopping == 0


async def test_a_late_request_within_the_rate_limit_is_served(tmp_path):
    """Guards against usage that is forgotten in a stop, as after a pause."""
    async with PlatformFleet(tmp_path) as fleet:
        value = configuration(3, routes=[route("/order/", "non_idempotent")])
        value["tenants"][0] |= {"ratePerS": 100, "burst": 2000}
        fleet.configure(value)
        await fleet.add_runner("orders", 3)
        entry = await fleet.add_entry(1)
        await asyncio.sleep(1.0)
        assert (await call(fleet, "/order/a", "usual")).status == 200
        stopping = begin_stop(entry)
        await asyncio.sleep(LATE_S)
        assert (await call(fleet, "/order/a", "late")).status == 200
        assert await stopping == 0
