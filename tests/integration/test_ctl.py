"""Guard against operator commands that work with fake entries but not real ones."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import attrs
import orjson
import pytest
from integration.ctl import run_ctl
from integration.support import CHAT_PATH, apply, standard_records

from acaciarelay.state.records import supported_schemas
from acaciarelay_standins.fleet import OPERATOR_KEY, Fleet


@attrs.define
class Operators:
    """Operators that run acaciarelayctl against either entry of a fleet."""

    fleet: Fleet

    async def run(
        self, entry: str, *words: str, records: Any = None
    ) -> tuple[int, str, str]:
        stdin = b"" if records is None else orjson.dumps(records)
        address = self.fleet.entries[entry].http_address
        return await run_ctl([address], OPERATOR_KEY, *words, stdin=stdin)

    async def run_ok(self, entry: str, *words: str, records: Any = None) -> str:
        code, output, errors = await self.run(entry, *words, records=records)
        assert code == 0, errors
        return output

    async def agent(self, name: str) -> dict[str, Any]:
        status = orjson.loads(await self.run_ok("entry-1", "status", "--json"))
        (found,) = (item for item in status["processes"] if item["id"] == name)
        return found


@pytest.fixture
async def operators(tmp_path: Path) -> AsyncIterator[Operators]:
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        await fleet.start_entry("entry-1")
        await fleet.start_entry("entry-2")
        await fleet.start_agent("agent-1", "assistants", "chat", engine)
        await apply(fleet, standard_records())
        await fleet.wait_ready()
        yield Operators(fleet)


async def test_the_second_of_two_operators_sees_both_versions(
    operators: Operators,
) -> None:
    """Guards against a lost update, which reverts an accepted change."""
    texts = await asyncio.gather(
        operators.run_ok("entry-1", "get", "tier", "batch"),
        operators.run_ok("entry-2", "get", "tier", "batch"),
    )
    first, second = (orjson.loads(text) for text in texts)
    first[0]["body"]["wait_budget_ms"] = 1111
    second[0]["body"]["wait_budget_ms"] = 2222
    shown = await operators.run_ok("entry-1", "diff", "-", records=first)
    assert '+  "wait_budget_ms": 1111' in shown
    words = ("apply", "-")
    answers = await asyncio.gather(
        operators.run("entry-1", *words, records=first),
        operators.run("entry-2", *words, records=second),
    )
    assert sorted(code for code, _, _ in answers) == [0, 4]
    (errors,) = (errors for code, _, errors in answers if code == 4)
    assert errors.startswith("702: ")
    assert '"wait_budget_ms": 1111' in errors and '"wait_budget_ms": 2222' in errors
    revision = first[0]["revision"]
    assert f"expected revision {revision}, stored revision {revision + 1}" in errors


async def test_a_change_is_in_the_history_and_in_force_everywhere(
    operators: Operators,
) -> None:
    """Guards against a change that is missing in the history or at a process."""
    record = [{"type": "tier", "name": "late", "body": {"rank": 3}}]
    text = await operators.run_ok("entry-2", "apply", "-", records=record)
    generation = text.split()[1].rstrip(":")
    text = await operators.run_ok("entry-1", "watch", generation, "--timeout-s", "20")
    assert text.strip() == f"generation {generation} is in force everywhere"
    text = await operators.run_ok("entry-1", "history", "--limit", "1")
    row = text.splitlines()[1].split()
    assert (row[0], row[3], row[4]) == (generation, "wrote", "tier/late/1")
    too_high = str(int(generation) + 1)
    words = ("watch", too_high, "--timeout-s", "0.2")
    code, _, errors = await operators.run("entry-1", *words)
    assert code == 5 and "agent-1" in errors


async def test_an_endpoint_is_drained_and_activated(operators: Operators) -> None:
    """Guards against a drain or activation that the endpoint doesn't report."""
    for entry, verb, draining in (
        ("entry-1", "drain", True),
        ("entry-2", "activate", False),
    ):
        text = await operators.run_ok(entry, verb, "agent-1")
        generation = text.split()[1].rstrip(":")
        await operators.run_ok("entry-1", "watch", generation)
        async with asyncio.timeout(10):
            while (await operators.agent("agent-1"))["draining"] is not draining:
                pass


async def test_every_process_reports_its_schemas(operators: Operators) -> None:
    """Guards against a process that lacks a new schema and doesn't show it."""
    async with asyncio.timeout(10):
        while True:
            text = await operators.run_ok("entry-1", "schema-status")
            if "report no schemas" not in text:
                break
    lines = [line.split() for line in text.splitlines()]
    assert ["tier", "1", "3", "-"] in lines
    assert (await operators.agent("agent-1"))["schemas"] == supported_schemas()


async def test_configuration_mistakes_are_reported(operators: Operators) -> None:
    """Guards against a misspelt pool that shows only as calls without an endpoint."""
    record = {"type": "endpoint", "name": "agent-1", "body": {"pool": "asistants"}}
    code, _, errors = await operators.run("entry-1", "apply", "-", records=[record])
    assert code == 1
    assert errors.splitlines() == [
        "705: Create the named record first.",
        "  endpoint agent-1: pool asistants does not exist",
    ]
    fleet = operators.fleet
    await fleet.start_agent("agent-2", "asistants", "chat", "127.0.0.1:9")
    await fleet.wait_ready()
    status = await operators.run_ok("entry-1", "status")
    assert "agent-2: pool asistants has no record" in status.splitlines()
    answer = await fleet.call("entry-1", "POST", CHAT_PATH, "wrong", b"{}")
    assert b"No organisation has this key" in answer.unwrap().body
