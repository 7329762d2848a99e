"""Guard against a key that can't be used again after its agent was killed in a call."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import orjson
import pytest
from integration.ctl import run_ctl
from integration.support import Answer, apply, order, standard_records

from acaciarelay_standins.fleet import OPERATOR_KEY, Fleet

KEY = "deposit/7 a"


@attrs.define
class KilledAgentFleet:
    """A fleet whose agent was killed during the call under ``KEY``."""

    fleet: Fleet
    service: str

    async def ctl(self, *words: str) -> tuple[int, str, str]:
        return await run_ctl(
            [self.fleet.entries["entry-1"].http_address], OPERATOR_KEY, *words
        )

    async def revision(self) -> int:
        code, text, _ = await self.ctl("claim", "show", "dealer", KEY)
        assert code == 0
        shown = orjson.loads(text)
        assert shown["state"] == "started"
        return shown["revision"]

    async def wait_started(self) -> None:
        """Wait until the agent has stored the claim as started."""
        for _ in range(100):
            code, text, _ = await self.ctl("claim", "show", "dealer", KEY)
            if code == 0 and orjson.loads(text)["state"] == "started":
                return
        raise TimeoutError("the call was not started")

    async def repeat(self) -> Answer:
        return await order(self.fleet, "entry-1", KEY, b"oak")

    async def effects(self) -> int:
        return len((await self.fleet.record(self.service))["effects"])


@pytest.fixture
async def killed_fleet(tmp_path: Path) -> AsyncIterator[KilledAgentFleet]:
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        service = await fleet.start_service("service", "--latency-s", "6")
        await fleet.start_entry("entry-1")
        agent = await fleet.start_agent("agent-1", "shop", "service", service)
        await apply(fleet, standard_records())
        await fleet.wait_ready()
        first = asyncio.create_task(order(fleet, "entry-1", KEY, b"oak"))
        case = KilledAgentFleet(fleet, service)
        await case.wait_started()
        agent.process.kill()
        await agent.process.wait()
        assert (await first).outcome == "outcome_unknown"
        await fleet.start_agent("agent-2", "shop", "service", service)
        await fleet.wait_ready(1)
        assert (await case.repeat()).code == 403
        yield case


async def test_a_freed_key_runs_and_a_stale_settlement_conflicts(
    killed_fleet: KilledAgentFleet,
) -> None:
    """Guards against a settled key that stays blocked, or is settled twice."""
    before = await killed_fleet.effects()
    revision = await killed_fleet.revision()
    words = ("claim", "settle", "dealer", KEY, "not-run", str(revision))
    code, text, _ = await killed_fleet.ctl(*words)
    assert (code, text.strip()) == (0, f"claim dealer/{KEY}: free")
    answer = await killed_fleet.repeat()
    assert answer.status == 200
    assert await killed_fleet.effects() == before + 1
    code, _, errors = await killed_fleet.ctl(*words)
    assert code == 4 and f"expected revision {revision}" in errors
    assert (await killed_fleet.repeat()).body == answer.body
    assert await killed_fleet.effects() == before + 1


async def test_a_key_settled_as_run_answers_without_a_call(
    killed_fleet: KilledAgentFleet,
) -> None:
    """Guards against a second call under a key that an operator settled as run."""
    before = await killed_fleet.effects()
    revision = await killed_fleet.revision()
    code, _, _ = await killed_fleet.ctl(
        "claim", "settle", "dealer", KEY, "ran", str(revision)
    )
    assert code == 0
    answer = await killed_fleet.repeat()
    assert answer.status == 200
    assert orjson.loads(answer.body)["settled"] == "ran"
    assert await killed_fleet.effects() == before
