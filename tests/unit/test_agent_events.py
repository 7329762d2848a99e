"""Guard against hints that outlive the engine's cache."""

import random

from unit.standin_serving import serving

from acaciarelay.programs.agent_events import CacheEventReader
from acaciarelay.transport.endpoints.chat_engine import ChatEngine
from acaciarelay_standins.engine import EngineStandin, parse_arguments

FLAGS = ["--event-lag-s=0", "--event-gap-probability=0", "--cache-blocks=1"]


async def test_hints_follow_the_engine() -> None:
    standin = EngineStandin(parse_arguments(["--listen=127.0.0.1:0", *FLAGS]))
    async with serving(standin.handle) as address:
        adapter = ChatEngine(address)
        reader = CacheEventReader(adapter, random.Random(1))
        standin.cache.store([5])
        reader.take((await adapter.cache_events(reader.last)).unwrap(), 1.0)
        assert reader.cached(5) and not reader.cached(6)
        standin.cache.store([6])
        reader.take((await adapter.cache_events(reader.last)).unwrap(), 2.0)
        assert reader.cached(6) and not reader.cached(5)
        reader.forget()
        assert not reader.cached(6) and reader.last == 0
