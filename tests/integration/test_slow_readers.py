"""Guard against answers that a stopping entry drops before slow callers have them."""

import asyncio
import socket
from collections.abc import AsyncIterator

import attrs
import pytest
from integration.platform_fleet import PlatformFleet, Program, request_head
from integration.test_entry_stop import begin_stop, start_fleet
from relay_rig import RawAnswer, read_raw_answer

GRACE_S = 8.0
LIMIT_MS = 15_000
SMALL_BUFFER_BYTES = 16_384
# More than the kernel holds for a caller that does not read.
ANSWER_BYTES = 8_000_000
EVENTS = 60
# Times after SIGTERM at which a caller reads on, around the end of begun answers.
RESUME_S = (6.9, 7.4, 7.6)


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path) as fleet:
        fleet.stop_grace_s = GRACE_S
        yield fleet


@attrs.define
class SlowReader:
    """A caller with a small receive buffer that reads nothing up to some time."""

    sock: socket.socket

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read(self) -> RawAnswer:
        reader, writer = await asyncio.open_connection(sock=self.sock)
        try:
            return await read_raw_answer(reader)
        finally:
            writer.transport.abort()


async def connect(entry: Program) -> SlowReader:
    host, _, port = entry.settings["caller_address"].rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return SlowReader(sock)


async def resume_reading_at(
    fleet: PlatformFleet, entry: Program, target: str, at_s: float
) -> RawAnswer:
    """Send a request, stop the entry, and read nothing up to ``at_s`` of the stop."""
    caller = await connect(entry)
    await caller.send(request_head(target, "slow", limit_ms=LIMIT_MS))
    await asyncio.sleep(0.3)
    stopping = begin_stop(entry)
    await asyncio.sleep(at_s)
    answer = await caller.read()
    assert await stopping == 0
    return answer


@pytest.mark.parametrize("at_s", RESUME_S)
async def test_a_large_body_waits_for_a_slow_caller_to_the_end(fleet, at_s):
    """Guards against a body dropped at the end of the grace that the entry has."""
    entry = await start_fleet(fleet)
    fleet.runners["i-3"].padding_bytes = ANSWER_BYTES
    answer = await resume_reading_at(fleet, entry, "/order/a", at_s)
    assert (answer.status, answer.complete) == (200, True)
    assert len(answer.body) > ANSWER_BYTES


@pytest.mark.parametrize("at_s", RESUME_S)
async def test_an_ended_stream_waits_for_a_slow_caller_to_the_end(fleet, at_s):
    """Guards against a stream cut at the end of the grace whose engine has ended."""
    entry = await start_fleet(fleet)
    engine = fleet.runners["i-1"]
    engine.events = EVENTS
    engine.step_s = 0.0
    engine.padding_bytes = ANSWER_BYTES // EVENTS
    answer = await resume_reading_at(fleet, entry, "/chat/a", at_s)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body.count(b"data: piece") == EVENTS
