"""Guard against a generation monitor that misses a decrease or reports a false one.

Other tests rely on it.
"""

import types

import pytest
from integration import generations
from integration.generations import GenerationMonitor


def fleet(http_address):
    agent = types.SimpleNamespace(http_address=http_address)
    return types.SimpleNamespace(entries={}, agents={"agent-1": agent})


@pytest.fixture
def reported(monkeypatch):
    """Return the generations that agents report, by address."""
    values = {}

    async def read_reported(watched, name):
        return values[watched.agents[name].http_address]

    monkeypatch.setattr(generations, "agent_generation", read_reported)
    return values


async def test_a_new_process_may_start_at_a_lower_generation(reported):
    """Guards against comparing a new process with the readings of its predecessor."""
    reported |= {"old": 1, "new": 0}
    monitor = GenerationMonitor(fleet("old"))
    await monitor.read_all()
    monitor.fleet = fleet("new")
    await monitor.read_all()
    monitor.assert_never_decreased()


async def test_a_decreasing_generation_is_detected(reported):
    """Guards against a monitor that never compares readings."""
    reported["old"] = 2
    monitor = GenerationMonitor(fleet("old"))
    await monitor.read_all()
    reported["old"] = 1
    await monitor.read_all()
    with pytest.raises(AssertionError, match="decreased from"):
        monitor.assert_never_decreased()
