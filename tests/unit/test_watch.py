"""The watch over generations, which other tests rest on."""

import types

import pytest
from integration import generations
from integration.generations import Watch


def fleet(http):
    agent = types.SimpleNamespace(http=http)
    return types.SimpleNamespace(entries={}, agents={"agent-1": agent})


@pytest.fixture
def told(monkeypatch):
    """Return the generations that processes tell, by address."""
    values = {}

    async def tell(watched, name):
        return values[watched.agents[name].http]

    monkeypatch.setattr(generations, "agent_generation", tell)
    return values


async def test_a_new_process_may_begin_below_the_old_one(told):
    """Guards against a new process whose first readings count for the old one."""
    told |= {"old": 1, "new": 0}
    watch = Watch(fleet("old"))
    await watch.look()
    watch.fleet = fleet("new")
    await watch.look()
    watch.check()


async def test_a_generation_that_falls_is_found(told):
    """Guards against a watch that compares nothing."""
    told["old"] = 2
    watch = Watch(fleet("old"))
    await watch.look()
    told["old"] = 1
    await watch.look()
    with pytest.raises(AssertionError, match="fell from"):
        watch.check()
