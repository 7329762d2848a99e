"""Guard against commands without a current lease or beyond the load slots.

The tests check the commands that the engine stand-in recorded.
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
from acaciarelay_standins.fleet import Fleet, FleetMember

LEASE_S = 2.0
COMMAND_S = 0.3
POLL_S = 0.05
WAIT_LIMIT_S = 30.0
MODELS = ["mender-1", "mender-2"]
# A wrong command would be sent within this time.
OBSERVATION_S = 3.0

Commands = list[dict[str, Any]]


@attrs.define
class EngineFleet:
    """A fleet with one entry; ``engines`` has addresses by the names of the agents."""

    fleet: Fleet
    engines: dict[str, str] = attrs.field(factory=dict)

    async def start_engine(self, name: str, *flags: str) -> None:
        words = ["--command-s", str(COMMAND_S), *flags]
        self.engines[name] = await self.fleet.start_engine(f"engine-{name}", *words)

    async def start_agent(self, name: str, *flags: str) -> FleetMember:
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
        """Wait until the engine has received ``count`` commands; return all."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while True:
            commands = await self.commands(name)
            if len(commands) >= count:
                return commands
            assert time.monotonic() < deadline, f"only {commands}"
            await asyncio.sleep(POLL_S)

    async def writes(self, table: str) -> list[dict[str, Any]]:
        found = (await self.fleet.record(self.fleet.platform_address))["writes"]
        return [write for write in found if write["table"] == table]

    async def wait_written(self, table: str, key: str) -> None:
        """Wait until a row has been written."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while key not in [item["key"] for item in await self.writes(table)]:
            assert time.monotonic() < deadline, f"no {key} in {table}"
            await asyncio.sleep(POLL_S)

    async def wait_released(self, table: str, key: str) -> None:
        """Wait until the last write of a lease is its release."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while True:
            writes = [item for item in await self.writes(table) if item["key"] == key]
            if writes and writes[-1]["value"]["holder"] == "":
                return
            assert time.monotonic() < deadline, f"only {writes}"
            await asyncio.sleep(POLL_S)


@asynccontextmanager
async def start_engine_fleet(path: Path) -> AsyncIterator[EngineFleet]:
    async with Fleet(path) as fleet:
        await fleet.start_platform()
        await fleet.start_entry("entry-1")
        await apply(fleet, standard_records())
        yield EngineFleet(fleet)


def targets(commands: Commands) -> list[str]:
    return [item["command"]["target"] for item in commands]


def tokens(commands: Commands) -> list[int]:
    return [item["command"]["token"] for item in commands]


async def test_models_are_loaded_and_the_lease_is_released(tmp_path: Path) -> None:
    """Guards against models that are not loaded and a lease that is never released."""
    async with start_engine_fleet(tmp_path) as setup:
        await setup.start_engine("a1", "--models", "mender-0")
        agent = await setup.start_agent("a1", "--checks-fencing", "true")
        await setup.set_models("a1", MODELS)
        commands = await setup.wait_commands("a1", 2)
        await setup.wait_released("leases", "a1")
        metrics = (
            (await fetch(agent.http_address, "GET", "/metrics")).unwrap().body.decode()
        )
        assert targets(commands) == MODELS
        assert len(set(tokens(commands))) == 1
        assert 'acaciarelay_commands_total{result="done"} 2' in metrics


@pytest.mark.parametrize("checked", [True, False])
async def test_a_paused_holder_sends_nothing_under_its_old_lease(
    tmp_path: Path, checked: bool
) -> None:
    """Guards against a resumed agent that sends commands under an expired lease.

    The old agent is paused before the engine answers its first command, so that it
    would send the second one directly after the pause.
    """
    flag = "--check-token" if checked else "--no-check-token"
    # The command must not time out during the pause.
    flags = ["--checks-fencing", str(checked).lower(), "--command-timeout-s", "30"]
    async with start_engine_fleet(tmp_path) as setup:
        await setup.start_engine("a1", flag)
        old = await setup.start_agent("a1", *flags)
        await setup.set_models("a1", MODELS)
        await setup.wait_commands("a1", 1)
        old.process.pause()
        await setup.start_agent("a1", *flags)
        commands = await setup.wait_commands("a1", 3)
        old.process.resume()
        # The old agent loads its second model under a new lease.
        commands = await setup.wait_commands("a1", 4)
        await asyncio.sleep(OBSERVATION_S)
        commands = await setup.commands("a1")
        first, new = tokens(commands)[0], tokens(commands)[1]
        assert new > first
        assert first not in tokens(commands)[1:]
        assert tokens(commands) == sorted(tokens(commands))
        assert all(item["accepted"] for item in commands)
        assert targets(commands) == [MODELS[0], *MODELS, MODELS[1]]


async def test_an_engine_refuses_a_command_that_arrives_late(tmp_path: Path) -> None:
    """Guards against a fencing token that doesn't increase with each holder.

    The old agent's command is delayed on the network beyond the end of its lease.
    """
    async with start_engine_fleet(tmp_path) as setup:
        await setup.start_engine("a1", "--check-token")
        engine = setup.engines["a1"]
        proxy = await setup.fleet.start_proxy("proxy", engine)
        setup.engines["a1"] = proxy.listen
        flags = ["--checks-fencing", "true", "--command-timeout-s", "30"]
        await setup.start_agent("a1", *flags)
        await setup.fleet.set_faults(proxy.control, delay_s=8)
        await setup.set_models("a1", MODELS[:1])
        await setup.wait_written("leases", "a1")
        setup.engines["a1"] = engine
        await setup.start_agent("a1", *flags)
        commands = await setup.wait_commands("a1", 2)
        assert [item["accepted"] for item in commands[:2]] == [True, False]
        assert tokens(commands)[:2] == [2, 1]


async def test_a_new_holder_waits_for_the_end_of_the_old_lease(tmp_path: Path) -> None:
    """Guards against two concurrent holders at an engine that ignores the token."""
    async with start_engine_fleet(tmp_path) as setup:
        await setup.start_engine("a1", "--no-check-token")
        old = await setup.start_agent("a1")
        await setup.set_models("a1", MODELS)
        commands = await setup.wait_commands("a1", 1)
        old.process.pause()
        await setup.start_agent("a1")
        commands = await setup.wait_commands("a1", 2)
        writes = [item for item in await setup.writes("leases") if item["key"] == "a1"]
        acquired_at = [item["at"] for item in writes if item["value"]["token"] > 1][0]
        last_held_at = [item["at"] for item in writes if item["value"]["token"] == 1][
            -1
        ]
        assert acquired_at >= last_held_at + LEASE_S
        assert commands[1]["at"] >= acquired_at


async def test_no_command_while_the_platform_is_down(tmp_path: Path) -> None:
    """Guards against commands under a lease that the platform can't confirm."""
    async with start_engine_fleet(tmp_path) as setup:
        models = [f"m{index}" for index in range(20)]
        await setup.start_engine("a1")
        # The lease of the load slot lasts twice the command timeout and outlasts the
        # outage, so only the lease of the endpoint prevents commands.
        await setup.start_agent("a1", "--command-timeout-s", "30")
        await setup.set_models("a1", models)
        await setup.wait_commands("a1", 2)
        await setup.fleet.set_faults(setup.fleet.platform_address, down="status")
        down_at = time.monotonic()
        await asyncio.sleep(LEASE_S + OBSERVATION_S)
        during = await setup.commands("a1")
        # A lease that was confirmed just before the outage allows commands for a third
        # of its duration. The bound of a half leaves time for their transmission.
        assert all(item["at"] < down_at + LEASE_S / 2 for item in during)
        assert len(during) < len(models)
        await setup.fleet.set_faults(setup.fleet.platform_address)
        commands = await setup.wait_commands("a1", len(models))
        assert targets(commands) == models
        assert tokens(commands) == sorted(tokens(commands))


async def test_a_lease_is_kept_when_answers_to_its_writes_are_lost(
    tmp_path: Path,
) -> None:
    """Guards against a holder that mistakes its own lease for another holder's."""
    async with start_engine_fleet(tmp_path) as setup:
        platform = setup.fleet.platform_address
        await setup.fleet.set_faults(platform, lose_table="leases", lose_answers=3)
        models = [f"m{index}" for index in range(8)]
        await setup.start_engine("a1")
        await setup.start_agent("a1", "--checks-fencing", "true")
        await setup.set_models("a1", models)
        commands = await setup.wait_commands("a1", len(models))
        lost = [item for item in await setup.writes("leases") if item["answer_lost"]]
        assert len(lost) == 3
        assert targets(commands) == models
        # After a lost answer the row is read back, so the first lease stays valid.
        assert set(tokens(commands)) == {1}


async def test_never_more_loads_than_slots(tmp_path: Path) -> None:
    """Guards against overload of the weight store when many engines restart."""
    names = ["a1", "a2", "a3", "a4"]
    async with start_engine_fleet(tmp_path) as setup:
        for name in names:
            await setup.start_engine(name)
            await setup.start_agent(name, "--load-slots", "2")
        for name in names:
            await setup.set_models(name, MODELS)
        starts = []
        for name in names:
            commands = await setup.wait_commands(name, 2)
            assert targets(commands) == MODELS
            starts += [item["at"] for item in commands]
        starts.sort()
        overlaps = [
            sum(start <= at < start + COMMAND_S for start in starts) for at in starts
        ]
        assert max(overlaps) <= 2


async def test_a_command_with_a_lost_answer_is_repeated(tmp_path: Path) -> None:
    """Guards against a model wrongly taken as loaded, and a lease released too early.

    An engine that ignores the token could receive the lost command after those of the
    next holder.
    """
    async with start_engine_fleet(tmp_path) as setup:
        await setup.start_engine("a1", "--no-check-token")
        engine = setup.engines["a1"]
        proxy = await setup.fleet.start_proxy("proxy", engine)
        setup.engines["a1"] = proxy.listen
        await setup.start_agent("a1")
        setup.engines["a1"] = engine
        await setup.set_models("a1", MODELS[:1])
        await setup.wait_commands("a1", 1)
        cut_at = time.monotonic()
        await setup.fleet.set_faults(proxy.control, cut=True)
        commands = await setup.wait_commands("a1", 2)
        assert targets(commands) == [MODELS[0], MODELS[0]]
        await setup.wait_released("leases", "a1")
        assert (await setup.writes("leases"))[-1]["at"] >= cut_at + LEASE_S
        assert len(await setup.commands("a1")) == 2
