"""Heartbeats of links: usual ones, and seldom ones that were announced."""

import asyncio

from acaciarelay.protocol.link_messages import Hello
from acaciarelay.transport.message_link import (
    SILENCE_TIMEOUT_S,
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
