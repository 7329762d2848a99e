"""Guard against commands of an old holder, without a lease, or beyond the slots.

The judge is the engine stand-in's own record of commands.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import attrs
import pytest
from integration.support import apply, record, standard_records

from acaciarelay.transport.http_client import fetch
from acaciarelay_standins.fleet import Fleet, Member

LEASE_S = 2.0
COMMAND_S = 0.3
POLL_S = 0.05
WAIT_S = 30.0
MODELS = ["mender-1", "mender-2"]
# Time in which a command that should not come would come.
QUIET_S = 3.0

Commands = list[dict[str, Any]]


@attrs.define
class Scene:
    """Hold a fleet with one entry, and the engines by the names of their agents."""

    fleet: Fleet
    engines: dict[str, str] = attrs.field(factory=dict)

    async def start_engine(self, name: str, *flags: str) -> None:
        words = ["--command-s", str(COMMAND_S), *flags]
        self.engines[name] = await self.fleet.start_engine(f"engine-{name}", *words)

    async def start_agent(self, name: str, *flags: str) -> Member:
        words = ["--command-lease-s", str(LEASE_S), "--command-timeout-s", "2", *flags]
        return await self.fleet.start_agent(
            name,
            "assistants",
            "chat",
            self.engines[name],
            "zone-a",
            "region-a",
            *words,
        )

    async def set_models(self, name: str, models: list[str]) -> None:
        change = record("endpoint", name, pool="assistants", models=models)
        await apply(self.fleet, [change])

    async def commands(self, name: str) -> Commands:
        return (await self.fleet.record(self.engines[name]))["commands"]

    async def wait_commands(self, name: str, count: int) -> Commands:
        """Wait until the engine has received this many commands."""
        deadline = time.monotonic() + WAIT_S
        while True:
            commands = await self.commands(name)
            if len(commands) >= count:
                return commands
            assert time.monotonic() < deadline, f"only {commands}"
            await asyncio.sleep(POLL_S)

    async def writes(self, table: str) -> list[dict[str, Any]]:
        found = (await self.fleet.record(self.fleet.platform))["writes"]
        return [write for write in found if write["table"] == table]

    async def wait_written(self, table: str, key: str) -> None:
        """Wait for the first write of a row."""
        deadline = time.monotonic() + WAIT_S
        while key not in [item["key"] for item in await self.writes(table)]:
            assert time.monotonic() < deadline, f"no {key} in {table}"
            await asyncio.sleep(POLL_S)

    async def wait_released(self, table: str, key: str) -> None:
        """Wait until the last write of a lease has given it back."""
        deadline = time.monotonic() + WAIT_S
        while True:
            writes = [item for item in await self.writes(table) if item["key"] == key]
            if writes and writes[-1]["value"]["holder"] == "":
                return
            assert time.monotonic() < deadline, f"only {writes}"
            await asyncio.sleep(POLL_S)


@asynccontextmanager
async def new_scene(path: Path) -> AsyncIterator[Scene]:
    async with Fleet(path) as fleet:
        await fleet.start_platform()
        await fleet.start_entry("entry-1")
        await apply(fleet, standard_records())
        yield Scene(fleet)


def targets(commands: Commands) -> list[str]:
    return [item["command"]["target"] for item in commands]


def tokens(commands: Commands) -> list[int]:
    return [item["command"]["token"] for item in commands]


async def test_models_are_loaded_and_the_lease_is_given_back(tmp_path: Path) -> None:
    """Guards against a record without effect and a lease that is kept for nothing."""
    async with new_scene(tmp_path) as scene:
        await scene.start_engine("a1", "--models", "mender-0")
        agent = await scene.start_agent("a1", "--checks-fencing", "true")
        await scene.set_models("a1", MODELS)
        commands = await scene.wait_commands("a1", 2)
        await scene.wait_released("leases", "a1")
        metrics = (await fetch(agent.http, "GET", "/metrics")).unwrap().body.decode()
        assert targets(commands) == MODELS
        assert len(set(tokens(commands))) == 1
        assert 'acaciarelay_commands_total{result="done"} 2' in metrics


@pytest.mark.parametrize("checked", [True, False])
async def test_a_paused_holder_sends_nothing_under_its_old_lease(
    tmp_path: Path, checked: bool
) -> None:
    """Guards against a resumed agent that still believes in its lease.

    The old agent is paused while the engine holds back the answer to its first
    command, so that its second one is due directly after the pause.
    """
    flag = "--check-token" if checked else "--no-check-token"
    # The pause must not end the wait for the first answer.
    flags = ["--checks-fencing", str(checked).lower(), "--command-timeout-s", "30"]
    async with new_scene(tmp_path) as scene:
        await scene.start_engine("a1", flag)
        old = await scene.start_agent("a1", *flags)
        await scene.set_models("a1", MODELS)
        await scene.wait_commands("a1", 1)
        old.process.pause()
        await scene.start_agent("a1", *flags)
        commands = await scene.wait_commands("a1", 3)
        old.process.resume()
        # Then the old agent has its second model to load, under a lease of its own.
        commands = await scene.wait_commands("a1", 4)
        await asyncio.sleep(QUIET_S)
        commands = await scene.commands("a1")
        first, new = tokens(commands)[0], tokens(commands)[1]
        assert new > first
        assert first not in tokens(commands)[1:]
        assert tokens(commands) == sorted(tokens(commands))
        assert all(item["accepted"] for item in commands)
        assert targets(commands) == [MODELS[0], *MODELS, MODELS[1]]


async def test_an_engine_refuses_a_command_that_arrives_late(tmp_path: Path) -> None:
    """Guards against a token that doesn't grow with each holder.

    The old agent's command is on its way for longer than its lease.
    """
    async with new_scene(tmp_path) as scene:
        await scene.start_engine("a1", "--check-token")
        engine = scene.engines["a1"]
        proxy = await scene.fleet.start_proxy("proxy", engine)
        scene.engines["a1"] = proxy.listen
        flags = ["--checks-fencing", "true", "--command-timeout-s", "30"]
        await scene.start_agent("a1", *flags)
        await scene.fleet.set_faults(proxy.control, delay_s=8)
        await scene.set_models("a1", MODELS[:1])
        await scene.wait_written("leases", "a1")
        scene.engines["a1"] = engine
        await scene.start_agent("a1", *flags)
        commands = await scene.wait_commands("a1", 2)
        assert [item["accepted"] for item in commands[:2]] == [True, False]
        assert tokens(commands)[:2] == [2, 1]


async def test_a_new_holder_waits_for_the_end_of_the_old_lease(tmp_path: Path) -> None:
    """Guards against two holders at once at an engine that ignores the token."""
    async with new_scene(tmp_path) as scene:
        await scene.start_engine("a1", "--no-check-token")
        old = await scene.start_agent("a1")
        await scene.set_models("a1", MODELS)
        commands = await scene.wait_commands("a1", 1)
        old.process.pause()
        await scene.start_agent("a1")
        commands = await scene.wait_commands("a1", 2)
        last = [item for item in await scene.writes("leases") if item["key"] == "a1"]
        taken_at = [item["at"] for item in last if item["value"]["token"] > 1][0]
        held_at = [item["at"] for item in last if item["value"]["token"] == 1][-1]
        assert taken_at >= held_at + LEASE_S
        assert commands[1]["at"] >= taken_at


async def test_no_command_while_the_platform_is_down(tmp_path: Path) -> None:
    """Guards against commands under a lease that the platform can't confirm."""
    async with new_scene(tmp_path) as scene:
        models = [f"m{index}" for index in range(20)]
        await scene.start_engine("a1")
        # The slot outlasts the outage, so only the lease holds the commands back.
        await scene.start_agent("a1", "--command-timeout-s", "30")
        await scene.set_models("a1", models)
        await scene.wait_commands("a1", 2)
        await scene.fleet.set_faults(scene.fleet.platform, down="status")
        down_at = time.monotonic()
        await asyncio.sleep(LEASE_S + QUIET_S)
        during = await scene.commands("a1")
        # A confirmation from just before the outage counts for a third of the lease.
        assert all(item["at"] < down_at + LEASE_S / 2 for item in during)
        assert len(during) < len(models)
        await scene.fleet.set_faults(scene.fleet.platform)
        commands = await scene.wait_commands("a1", len(models))
        assert targets(commands) == models
        assert tokens(commands) == sorted(tokens(commands))


async def test_lost_answers_of_lease_writes(tmp_path: Path) -> None:
    """Guards against a lease that its own holder doesn't recognise."""
    async with new_scene(tmp_path) as scene:
        platform = scene.fleet.platform
        await scene.fleet.set_faults(platform, lose_table="leases", lose_answers=3)
        models = [f"m{index}" for index in range(8)]
        await scene.start_engine("a1")
        await scene.start_agent("a1", "--checks-fencing", "true")
        await scene.set_models("a1", models)
        commands = await scene.wait_commands("a1", len(models))
        lost = [item for item in await scene.writes("leases") if item["answer_lost"]]
        assert len(lost) == 3
        assert targets(commands) == models
        # A lost answer is settled by reading back, so the first lease still holds.
        assert set(tokens(commands)) == {1}


async def test_never_more_loads_than_slots(tmp_path: Path) -> None:
    """Guards against a restart of many engines that floods the weight store."""
    names = ["a1", "a2", "a3", "a4"]
    async with new_scene(tmp_path) as scene:
        for name in names:
            await scene.start_engine(name)
            await scene.start_agent(name, "--load-slots", "2")
        for name in names:
            await scene.set_models(name, MODELS)
        starts = []
        for name in names:
            commands = await scene.wait_commands(name, 2)
            assert targets(commands) == MODELS
            starts += [item["at"] for item in commands]
        starts.sort()
        overlaps = [
            sum(start <= at < start + COMMAND_S for start in starts) for at in starts
        ]
        assert max(overlaps) <= 2


async def test_a_command_with_a_lost_answer_is_repeated(tmp_path: Path) -> None:
    """Guards against a model that is taken as loaded, and an early release.

    An engine that ignores the token could get the lost command after the next holder's.
    """
    async with new_scene(tmp_path) as scene:
        await scene.start_engine("a1", "--no-check-token")
        engine = scene.engines["a1"]
        proxy = await scene.fleet.start_proxy("proxy", engine)
        scene.engines["a1"] = proxy.listen
        await scene.start_agent("a1")
        scene.engines["a1"] = engine
        await scene.set_models("a1", MODELS[:1])
        await scene.wait_commands("a1", 1)
        cut_at = time.monotonic()
        await scene.fleet.set_faults(proxy.control, cut=True)
        commands = await scene.wait_commands("a1", 2)
        assert targets(commands) == [MODELS[0], MODELS[0]]
        await scene.wait_released("leases", "a1")
        assert (await scene.writes("leases"))[-1]["at"] >= cut_at + LEASE_S
        assert len(await scene.commands("a1")) == 2
