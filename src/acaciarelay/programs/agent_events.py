"""Hints from the engine's cache events: which prefixes it probably holds."""

import asyncio
import random
import time

from result import Err, Ok

from acaciarelay.coordination.prefix import PrefixIndex
from acaciarelay.transport.endpoints.base import CacheEvent, EndpointAdapter

__all__ = ["CacheEventReader"]

# Events come late by about 0.5 s anyway.
POLL_MIN_S = 0.2
POLL_MAX_S = 0.3
# An engine without events is asked seldom.
RETRY_S = 10.0
MAX_PREFIXES = 10_000
ENGINE = "engine"


class CacheEventReader:
    """Follow the cache events of one engine."""

    def __init__(self, adapter: EndpointAdapter, rng: random.Random) -> None:
        self.adapter = adapter
        self.rng = rng
        self.index = PrefixIndex(MAX_PREFIXES)
        self.last = 0

    def cached(self, prefix: int) -> bool:
        """Return whether the engine probably holds a prefix; it is only a hint."""
        return bool(self.index.holders(prefix, time.monotonic()))

    def forget(self) -> None:
        """Drop all hints, since the engine may have restarted."""
        self.index.forget(ENGINE)
        self.last = 0

    def take(self, events: list[CacheEvent], now: float) -> None:
        """Take events up; later ones than the last known come at the next poll."""
        for event in events:
            self.last = max(self.last, event.seq)
            if event.kind == "stored":
                self.index.stored(ENGINE, event.seq, event.prefix_hash, now)
            else:
                self.index.evicted(ENGINE, event.seq, event.prefix_hash, now)

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        while True:
            match await self.adapter.cache_events(self.last):
                case Ok(events):
                    self.take(events, time.monotonic())
                    await asyncio.sleep(self.rng.uniform(POLL_MIN_S, POLL_MAX_S))
                case Err():
                    await asyncio.sleep(self.rng.uniform(RETRY_S / 2, RETRY_S))
