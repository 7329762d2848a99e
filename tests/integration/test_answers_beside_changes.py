"""Guard against answers cut by a change: to slow readers, and between two attempts."""

import asyncio
import socket

import pytest
from integration.platform_fleet import request_head
from integration.test_changes_midway import (
    CONFIGURATION_CHANGES,
    base_configuration,
    call,
    start_fleet,
)

LIMIT_MS = 8000
EVENTS = 20_000
SMALL_BUFFER_BYTES = 16_384
# Time of an attempt, and in which an entry applies a change.
WORK_S = 1.2
APPLY_S = 0.6
CALLS = 6


async def read_slowly(address, changed):
    """Read nothing of a large stream until the change is in force."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    received = bytearray()
    try:
        await loop.sock_connect(sock, (host, int(port)))
        head = request_head("/chat/a", "slow", limit_ms=LIMIT_MS)
        tokens = f"Token-Usage: 100,{EVENTS}".encode()
        await loop.sock_sendall(sock, head.replace(b"Token-Usage: 100,30", tokens))
        await changed.wait()
        async with asyncio.timeout(10):
            while not received.endswith(b"0\r\n\r\n"):
                data = await loop.sock_recv(sock, 65_536)
                if not data:
                    break
                received += data
    finally:
        sock.close()
    return bytes(received)


@pytest.mark.parametrize("alter", CONFIGURATION_CHANGES)
async def test_a_change_cuts_no_answer_to_a_slow_reader(tmp_path, alter):
    """Guards against an answer cut by a change while its caller reads nothing."""
    async with start_fleet(tmp_path) as fleet:
        engine = fleet.runners["i-1"]
        engine.events, engine.step_s = EVENTS, 0.0
        changed = asyncio.Event()
        address = fleet.programs["entry-1"].settings["caller_address"]
        reading = asyncio.create_task(read_slowly(address, changed))
        await asyncio.sleep(1.5)
        value = base_configuration(3)
        alter(value)
        fleet.configure(value)
        await asyncio.sleep(1.0)
        changed.set()
        answer = await reading
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert f"id: {EVENTS}\n".encode() in answer
        assert answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("alter", CONFIGURATION_CHANGES)
async def test_a_change_between_two_attempts_leaves_an_answer(tmp_path, alter):
    """Guards against a request that a change ends with neither answer nor refusal."""
    async with start_fleet(tmp_path) as fleet:
        value = base_configuration(3)
        value["routes"][0]["kind"] = "idempotent"
        value["routes"][0]["maxAttempts"] = 3
        fleet.configure(value)
        first = fleet.runners["i-3"]
        await fleet.add_runner("orders", 4, work_s=WORK_S)
        first.work_s = WORK_S
        for runner in (first, fleet.runners["i-4"]):
            runner.faults.lose = True
        await asyncio.sleep(APPLY_S)
        calls = []
        for number in range(CALLS):
            calls.append(asyncio.create_task(call(fleet, "/order/a", f"n-{number}")))
        await asyncio.sleep(WORK_S / 2)
        changed = base_configuration(4)
        alter(changed)
        fleet.configure(changed)
        await asyncio.sleep(WORK_S / 4)
        fleet.runners["i-4"].faults.lose = False
        answers = await asyncio.gather(*calls)
        assert all(answer.complete for answer in answers), answers
