"""Guard against commands and tables of the operations page that are wrong."""

import asyncio
import contextlib
import os
import re
import signal
import sys
from pathlib import Path

import orjson
import pytest
from integration.support import ORDERS_PATH

from acaciarelay.programs.metrics import METRICS
from acaciarelay.protocol.codes import CODES
from acaciarelay.transport.claim_store import ClaimStore
from acaciarelay.transport.platform_client import PlatformClient
from acaciarelay_standins.fleet import HOST, OPERATOR_KEY, Fleet
from acaciarelay_standins.ports import free_port

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
EXAMPLE_KEY = "example-caller-key"
BLOCK = re.compile(r"^```sh run\n(.*?)^```$", re.MULTILINE | re.DOTALL)
BLOCK_TIMEOUT_S = 90


def blocks() -> list[str]:
    return BLOCK.findall(PAGE)


def read_log(log: Path) -> str:
    return log.read_text()


async def run_block(block: str, environment: dict[str, str], log: Path) -> None:
    # No pipe, since a background process of the block keeps its output open.
    with log.open("wb") as output:
        process = await asyncio.create_subprocess_exec(
            "bash",
            "-euo",
            "pipefail",
            "-c",
            block,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        try:
            async with asyncio.timeout(BLOCK_TIMEOUT_S):
                code = await process.wait()
        except TimeoutError:
            process.kill()
            code = -1
    assert code == 0, f"exit code {code} of\n{block}\n{read_log(log)}"


def write_programs(directory: Path) -> None:
    """Write scripts for the three programs, for environments without installed ones."""
    directory.mkdir()
    for name in ("entry", "agent", "ctl"):
        program = "acaciarelayctl" if name == "ctl" else f"acaciarelay-{name}"
        module = f"acaciarelay.programs.{name}_main"
        script = directory / program
        script.write_text(f'#!/bin/sh\nexec "{sys.executable}" -m {module} "$@"\n')
        script.chmod(0o755)


def environment_of(fleet: Fleet, directory: Path, engine: str) -> dict[str, str]:
    addresses = [f"{HOST}:{free_port()}" for _ in range(4)]
    names = ("ENTRY", "ENTRY_PEER", "AGENT", "AGENT_HTTP")
    inherited = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("ACACIARELAY_")
    }
    programs = directory / "programs"
    write_programs(programs)
    return {
        **inherited,
        **dict(zip(names, addresses, strict=True)),
        "PATH": f"{programs}{os.pathsep}{os.environ['PATH']}",
        "PYTHONPATH": os.pathsep.join(sys.path),
        "PLATFORM": fleet.platform_address,
        "ENDPOINT": engine,
        "CALLER_KEY": EXAMPLE_KEY,
        "RUN": str(directory),
        "ACACIARELAY_ENTRY": fleet.entries["entry-1"].http_address,
        "ACACIARELAY_OPERATOR_KEY": OPERATOR_KEY,
    }


async def write_started_claim(platform: str) -> None:
    """Write the claim that an agent leaves behind when it is killed during a call."""
    store = ClaimStore(PlatformClient(platform, 2.0), 30.0)
    key = "workshop/deposit-7"
    assert (await store.claim(key, "hash", "token")).is_ok()
    assert (await store.start(key, "token")).is_ok()


def kill_started(directory: Path) -> None:
    """Kill processes that a failed block has left running."""
    for file in directory.glob("*.pid"):
        with contextlib.suppress(ProcessLookupError):
            os.kill(int(file.read_text()), signal.SIGKILL)


# The page waits for several reports of an idle agent, which come every 5 s.
@pytest.mark.timeout(400)
async def test_the_commands_of_the_page_work(tmp_path: Path) -> None:
    """Guards against commands on the page that fail when run in order."""
    directory = tmp_path / "run"
    directory.mkdir()
    async with Fleet(tmp_path / "fleet") as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        service = await fleet.start_service("service")
        await fleet.start_entry("entry-1")
        await fleet.start_agent("agent-1", "orders", "service", service)
        await write_started_claim(fleet.platform_address)
        environment = environment_of(fleet, directory, engine)
        try:
            for number, block in enumerate(blocks()):
                log = directory / f"block-{number}.log"
                await run_block(block, environment, log)
        finally:
            kill_started(directory)


async def test_the_first_configuration_serves_a_caller(tmp_path: Path) -> None:
    """Guards against a first example that new operators can't apply."""
    records = orjson.loads((ROOT / "docs/examples/first.json").read_bytes())
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        service = await fleet.start_service("service")
        await fleet.start_entry("entry-1")
        await fleet.start_agent("agent-1", "orders", "service", service)
        changes = {"changes": records}
        answer = await fleet.admin("entry-1", "POST", "/admin/v1/apply", changes)
        assert len(answer["changes"]) == len(records)
        await fleet.wait_ready()
        headers = [("idempotency-key", "order-1"), ("acaciarelay-class", "counter")]
        found = await fleet.call(
            "entry-1", "POST", ORDERS_PATH, EXAMPLE_KEY, b"oak", headers
        )
        assert found.unwrap().status == 200


def test_every_metric_is_explained() -> None:
    missing = [metric.name for metric in METRICS if f"`{metric.name}`" not in PAGE]
    assert not missing


def test_every_result_code_has_a_row() -> None:
    covered: set[int] = set()
    _, _, section = PAGE.partition("## Result codes")
    rows = re.findall(r"^\| ([0-9][0-9, to]*) \|", section, re.MULTILINE)
    for numbers in rows:
        for part in numbers.split(", "):
            first, _, last = part.partition(" to ")
            covered.update(range(int(first), int(last or first) + 1))
    assert {code.number for code in CODES.values()} - covered == set()
