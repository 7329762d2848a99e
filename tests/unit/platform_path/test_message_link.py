"""Heartbeats of links: usual ones, and seldom ones that were announced."""

import asyncio
import contextlib
import time

import pytest
from loop_monitor import LoopMonitor

from acaciarelay.coordination.loop_budget import (
    CONNECTION_SHARE,
    MAX_CHARGED_STEP_S,
    POOL_BURST_S,
    POOL_SHARE,
    Reader,
)
from acaciarelay.protocol.link_messages import (
    Heartbeat,
    Hello,
    Ping,
    SlotRelease,
    encode_message,
)
from acaciarelay.transport.message_link import (
    SILENCE_TIMEOUT_S,
    TICK_S,
    Dialer,
    LinkHandlers,
    LinkServer,
    LinkTicker,
)


class LinkedPair:
    """Two processes that share one link, as an asynchronous context manager."""

    def __init__(self):
        self.closed = 0
        self.ends = []
        self.opened = asyncio.Event()

    async def __aenter__(self):
        handlers = LinkHandlers(
            on_open=self.open, on_message=self.ignore, on_close=self.count
        )
        self.server = LinkServer(self.hello("one"), handlers)
        port = await self.server.listen("127.0.0.1", 0)
        self.dialer = Dialer(
            f"127.0.0.1:{port}",
            self.hello("two"),
            handlers,
            LinkTicker(),
        )
        await self.opened.wait()
        return self

    async def __aexit__(self, *_):
        self.server.close()
        self.dialer.close()
        for link in self.ends:
            link.close()
        await asyncio.sleep(0)

    def hello(self, name):
        return Hello(name=name, lifetime="a", address=name, zone="zone-a")

    def ignore(self, *_):
        return None

    def open(self, link):
        self.ends.append(link)
        if len(self.ends) == 2:
            self.opened.set()

    def count(self, _):
        self.closed += 1


async def test_a_link_whose_sides_announced_to_be_quiet_stays_open():
    """Guards against links that are closed for a silence that was announced."""
    async with LinkedPair() as pair:
        for link in pair.ends:
            link.set_quiet(True)
        await asyncio.sleep(0.1)
        received = [link.last_received_at for link in pair.ends]
        await asyncio.sleep(SILENCE_TIMEOUT_S + 0.5)
        assert pair.closed == 0
        assert [link.last_received_at for link in pair.ends] == received


async def test_a_link_that_is_no_longer_quiet_has_the_usual_limit():
    """Guards against a lost peer that is noticed late since it once was quiet."""
    async with LinkedPair() as pair:
        one, two = pair.ends
        one.set_quiet(True)
        await asyncio.sleep(0.1)
        one.set_quiet(False)
        await asyncio.sleep(0.1)
        assert two.silence_timeout_s == SILENCE_TIMEOUT_S
        await asyncio.sleep(SILENCE_TIMEOUT_S + 0.5)
        assert pair.closed == 0


HELLO = encode_message(Hello(name="a", lifetime="a", address="a", zone="zone-a"))
# Messages without end, each of which is handled quickly.
ENDLESS = {
    "pings": encode_message(Ping(number=1, answer=True)) * 4_000,
    "heartbeats": encode_message(Heartbeat()) * 4_000,
    "releases": encode_message(SlotRelease(request="r")) * 2_000,
    "a line": b"x" * 65_536,
}
LINKS = 10
MAX_STEP_S = 0.2


async def send_without_end(port, data):
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(OSError):
        writer.write(HELLO)
        while True:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0)


@pytest.mark.parametrize("endless", ENDLESS)
async def test_peers_that_send_without_end_hold_up_no_others(endless):
    """Guards against a peer whose messages take the event loop."""
    async with LinkedPair() as pair:
        budget = pair.server.ticker.loop_budget
        port = pair.server.server.sockets[0].getsockname()[1]
        pair.ends.clear()
        senders = [
            asyncio.create_task(send_without_end(port, ENDLESS[endless]))
            for _ in range(LINKS)
        ]
        began = time.monotonic()
        async with LoopMonitor() as monitor:
            await asyncio.sleep(1.0)
        assert monitor.longest_s < MAX_STEP_S
        # All of them share one part of the loop.
        elapsed_s = time.monotonic() - began
        share = POOL_SHARE + LINKS * CONNECTION_SHARE
        bursts_s = POOL_BURST_S + LINKS * MAX_CHARGED_STEP_S
        assert budget.seconds[Reader.LINK] < share * elapsed_s + bursts_s
        for sender in senders:
            sender.cancel()
        await asyncio.wait(senders)


async def test_a_connection_without_a_hello_keeps_little_memory():
    """Guards against a connection of another program that sends without end."""
    async with LinkedPair() as pair:
        port = pair.server.server.sockets[0].getsockname()[1]
        began = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.suppress(OSError):
            for _ in range(64):
                writer.write(b"x" * 4_096)
                await writer.drain()
                await asyncio.sleep(0.001)
        async with asyncio.timeout(2.0):
            with contextlib.suppress(OSError):
                while await reader.read(65_536):
                    continue
        # Sooner than a silent link is closed.
        assert time.monotonic() - began < SILENCE_TIMEOUT_S / 2
        writer.transport.abort()


async def test_a_second_hello_closes_a_link():
    """Guards against one connection that passes for many peers."""
    hellos = [
        Hello(name="a", lifetime="a", address=f"127.0.9.{number}:1", zone="zone-a")
        for number in range(1, 101)
    ]
    async with LinkedPair() as pair:
        port = pair.server.server.sockets[0].getsockname()[1]
        known = len(pair.ends)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"".join(encode_message(hello) for hello in hellos))
        async with asyncio.timeout(SILENCE_TIMEOUT_S / 2):
            with contextlib.suppress(OSError):
                while await reader.read(65_536):
                    continue
        writer.transport.abort()
        assert len(pair.ends) - known == 1
        assert pair.closed == 1


async def test_messages_of_one_read_are_handled_in_their_order():
    """Guards against messages that overtake others which wait for a later turn."""
    numbers = []
    async with LinkedPair() as pair:
        handlers = LinkHandlers(
            on_open=lambda _: None,
            on_message=lambda _, message: numbers.append(int(message.request)),
            on_close=lambda _: None,
        )
        server = LinkServer(pair.hello("three"), handlers)
        port = await server.listen("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        messages = [SlotRelease(request=str(number)) for number in range(1_000)]
        writer.write(HELLO + b"".join(encode_message(each) for each in messages))
        while len(numbers) < 1_000:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        writer.transport.abort()
        server.close()
    assert numbers == list(range(1_000))


async def test_an_error_at_one_link_does_not_end_the_timers_of_all():
    """Guards against links that send no heartbeat after an unexpected error."""

    class TimedLink:
        """A link whose timers may fail."""

        def __init__(self, fails):
            self.fails = fails
            self.checks = 0

        def check_timers(self, now):
            self.checks += 1
            if self.fails:
                raise RuntimeError("unexpected")

    ticker = LinkTicker()
    links = [TimedLink(fails) for fails in (True, False)]
    for link in links:
        ticker.add(link)
    await asyncio.sleep(5 * TICK_S)
    for link in links:
        assert link.checks >= 2
        ticker.discard(link)
