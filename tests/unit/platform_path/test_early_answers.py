"""Answers that begin while the request's body is still being sent, and break off."""

import asyncio

import pytest
from relay_rig import RelayRig, configuration
from unit.platform_path.test_ends_of_answers import (
    EVENTS,
    PLAIN,
    ScriptedRunner,
    unframed,
)

from acaciarelay.transport.sockets import reset_at_close

BODY_BYTES = 4_000_000
# What the runner has read of the body when it answers, and how long it then waits.
READ_BYTES = [0, 65_536, 2_000_000]
PAUSES_S = [0.0, 0.05, 0.3]
TARGETS = {"/read/a": "orders", "/order/a": "orders", "/quote/a": "engine"}


class EarlyRunner(ScriptedRunner):
    """A runner that answers a part without a length, and then ends the connection.

    The end is a reset, also where it is a close, as the body was not read.
    """

    read_bytes = 0
    pause_s = 0.0

    async def serve(self, reader, writer):
        self.writers.append(writer)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        attempt = head.partition("attempt-id: ")[2].partition("\r\n")[0]
        if self.read_bytes:
            await reader.readexactly(self.read_bytes)
        writer.transport.pause_reading()
        self.count += 1
        writer.write(self.answers[0].replace("{attempt}", attempt).encode())
        await asyncio.sleep(self.pause_s)
        if self.reset:
            reset_at_close(writer.transport)
        writer.transport.abort()


async def upload(rig, target, attempt):
    """Send a long body with ``send`` or in pieces, as the rig's relay does."""
    return await rig.call(target, attempt=attempt, body=b"x" * BODY_BYTES)


def long_bodies():
    value = configuration(2)
    value["limits"]["maxBodyBytes"] = 2 * BODY_BYTES
    return value


@pytest.mark.parametrize("slow_peers", [False, True])
@pytest.mark.parametrize("reset", [True, False], ids=["reset", "closed unread"])
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("target", TARGETS)
async def test_a_part_of_an_answer_is_not_complete(target, pause_s, reset, slow_peers):
    """Guards against a part without a length that a reset passes off as whole."""
    part = unframed("".join(EVENTS[:2]) if target == "/quote/a" else PLAIN[:9])
    async with RelayRig() as rig:
        rig.relay.attempts.slow_peers = slow_peers
        rig.configure(long_bodies())
        for number, read_bytes in enumerate(READ_BYTES, 1):
            runner = EarlyRunner(part, reset=reset)
            runner.pause_s, runner.read_bytes = pause_s, read_bytes
            await runner.listen(rig, number, TARGETS[target])
            answer = await upload(rig, target, f"a-{number}")
            assert not (answer.status == 200 and answer.complete), read_bytes
            assert runner.count >= 1
            rig.row("servers", f"i-{number}", None)


async def test_many_parts_at_once_are_not_complete():
    """Guards against broken answers that pass as whole ones under load."""
    async with RelayRig() as rig:
        rig.configure(long_bodies())
        for number in range(1, 4):
            runner = EarlyRunner(unframed(PLAIN[:9]), reset=True)
            await runner.listen(rig, number, "orders")
        calls = [upload(rig, "/order/a", f"a-{number}") for number in range(12)]
        answers = await asyncio.gather(*calls)
        assert all(answer.status != 200 for answer in answers)


async def test_a_whole_early_answer_reaches_its_caller():
    """Guards against early answers that are all taken for broken ones."""
    head = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n"
    whole = f"{head}Content-Length: {len(PLAIN)}\r\n\r\n{PLAIN}"
    async with RelayRig() as rig:
        rig.configure(long_bodies())
        runner = EarlyRunner(whole)
        runner.pause_s = 0.3
        await runner.listen(rig, 1, "orders")
        answer = await upload(rig, "/order/a", "a-1")
        assert (answer.status, answer.body) == (200, PLAIN.encode())
