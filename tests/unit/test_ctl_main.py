"""Guard against commands that report a wrong result to an operator or a script."""

import asyncio
import random
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import orjson
import pytest
from fakes import FakePlatform

from acaciarelay.programs import ctl_commands
from acaciarelay.programs.admin_routes import AdminRoutes
from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.programs.config_writer import ConfigWriter
from acaciarelay.programs.ctl_main import main
from acaciarelay.protocol.admin_api import ProcessStatus, TierStatus
from acaciarelay.protocol.codes import refuse
from acaciarelay.state.config_state import ConfigState
from acaciarelay.transport.http_server import (
    CallerDisconnectedError,
    HttpExchange,
    HttpServer,
)

KEY = "operator-secret"
POOL = {"type": "pool", "name": "p", "body": {"kind": "chat"}}


class Entry:
    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.fleet: list[ProcessStatus] = []
        self.lose_answers = 0
        self.stopping = False
        self.requests = 0
        sync = ConfigSync(self.platform, ConfigState(), [], random.Random(1))
        self.sync = sync
        self.routes = AdminRoutes(ConfigWriter(sync), sync, KEY, self)
        self.address = ""

    def processes(self) -> list[ProcessStatus]:
        return self.fleet

    async def handle(self, exchange: HttpExchange) -> None:
        self.requests += 1
        if self.stopping:
            await exchange.respond_refusal(refuse("entry_stopping"))
            return
        if self.lose_answers:
            self.lose_answers -= 1
            exchange.start = lose_answer  # type: ignore[method-assign]
        await self.routes.handle(exchange)

    async def ctl(self, *arguments: str, entry: str = "") -> int:
        flags = ["--entry", entry or self.address, "--operator-key", KEY]
        return await asyncio.to_thread(main, [*arguments, *flags])


async def lose_answer(status: int, headers: object) -> None:
    raise CallerDisconnectedError


@pytest.fixture
async def entry() -> AsyncIterator[Entry]:
    entry = Entry()
    await entry.sync.poll()
    server = HttpServer(entry.handle)
    entry.address = f"127.0.0.1:{await server.listen('127.0.0.1', 0)}"
    yield entry
    await server.close(0.1)


def write(path: Path, *records: dict) -> str:
    file = path / "records.json"
    file.write_bytes(orjson.dumps(records))
    return str(file)


async def test_records_can_be_applied_read_changed_and_deleted(
    entry: Entry, tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    bad = {"type": "pool", "name": "p", "body": {"kind": "x"}}
    assert await entry.ctl("apply", write(tmp_path, bad, {**bad, "name": "q"})) == 1
    errors = capsys.readouterr().err
    assert "pool p:" in errors and "pool q:" in errors
    file = write(tmp_path, POOL)
    assert await entry.ctl("diff", file) == 0
    assert '+  "kind": "chat"' in capsys.readouterr().out
    assert entry.sync.generation == 0
    assert await entry.ctl("apply", file) == 0
    assert await entry.ctl("apply", file) == 4
    assert "expected revision 0, stored revision 1" in capsys.readouterr().err
    assert await entry.ctl("get", "pool", "p") == 0
    record = orjson.loads(capsys.readouterr().out)[0]
    record["body"]["reservations"] = 3
    assert await entry.ctl("apply", write(tmp_path, record)) == 0
    assert entry.sync.snapshot.pools["p"].reservations == 3
    assert await entry.ctl("delete", "pool", "p", "2") == 0
    capsys.readouterr()
    assert await entry.ctl("history") == 0
    assert [line.split()[3] for line in capsys.readouterr().out.splitlines()[1:]] == [
        "deleted",
        "wrote",
        "wrote",
    ]
    assert await entry.ctl("get", "pool", "p") == 1


def test_all_problems_of_a_command_line_are_printed(
    capsys: pytest.CaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("ACACIARELAY_ENTRIES", "127.0.0.1:1")
    command = ["watch", "x", "--timeout-s", "y", "--entry", "nowhere"]
    assert main(command) == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.split(":")[0] for line in lines] == [
        "entry",
        "operator-key",
        "ACACIARELAY_ENTRIES",
        "generation",
        "timeout-s",
    ]


@pytest.mark.parametrize(
    ("line", "code"),
    [("", 2), ("nothing", 2), ("get", 2), ("list --no", 2)]
    + [("--help", 0), ("--version", 0), ("get --help", 0)],
)
def test_only_help_and_version_need_no_settings(line: str, code: int) -> None:
    assert main(line.split()) == code


async def test_the_next_entry_is_tried(entry: Entry, tmp_path: Path) -> None:
    both = f"127.0.0.1:1,{entry.address}"
    assert await entry.ctl("apply", write(tmp_path, POOL), entry=both) == 0
    assert await entry.ctl("list", entry="127.0.0.1:1") == 3
    entry.stopping = True
    assert await entry.ctl("list", entry=f"{entry.address},127.0.0.1:1") == 1


@pytest.mark.parametrize("action", ["apply", "delete"])
async def test_a_lost_answer_is_retried_without_a_second_change(
    entry: Entry, tmp_path: Path, capsys: pytest.CaptureFixture, action: str
) -> None:
    """Guards against a retry that conflicts with the change of the first try.

    Both have the same token, by which the entry recognises the retry.
    """
    file = write(tmp_path, POOL)
    arguments = ["apply", file]
    if action == "delete":
        assert await entry.ctl(*arguments) == 0
        arguments = ["delete", "pool", "p", "1"]
    commits = entry.platform.commits
    entry.lose_answers = 1
    twice = f"{entry.address},{entry.address}"
    assert await entry.ctl(*arguments, entry=twice) == 0
    assert entry.platform.commits == commits + 1
    entry.lose_answers = 1
    assert await entry.ctl(*arguments) == 3
    assert "may have taken effect" in capsys.readouterr().err


async def test_watch_waits_for_all_known_processes(
    entry: Entry, tmp_path: Path, capsys: pytest.CaptureFixture, monkeypatch
) -> None:
    monkeypatch.setattr(ctl_commands, "WATCH_INTERVAL_S", 0.02)
    agent = ProcessStatus(kind="agent", id="a1", generation=0)
    entry.fleet = [agent]
    assert await entry.ctl("apply", write(tmp_path, POOL)) == 0
    assert await entry.ctl("watch", "--timeout-s", "0.1") == 5
    assert "a1" in capsys.readouterr().err
    watching = asyncio.create_task(entry.ctl("watch", "1", "--timeout-s", "20"))
    seen = entry.requests
    async with asyncio.timeout(20):
        while entry.requests < seen + 2:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    entry.fleet = [attrs.evolve(agent, generation=1)]
    assert await watching == 0


async def test_drain_status_and_schema_status(
    entry: Entry, tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    """Guards against wrong states of endpoints and schemas.

    Operators rely on these before they stop VMs and remove old schemas.
    """
    endpoint = {"type": "endpoint", "name": "e", "body": {"pool": "p"}}
    assert await entry.ctl("apply", write(tmp_path, POOL, endpoint)) == 0
    assert await entry.ctl("drain", "e") == 0
    assert entry.sync.snapshot.endpoints["e"].state == "draining"
    tiers = [TierStatus(0, 3, 4)]
    old = ProcessStatus(kind="agent", id="old", schemas={"pool": 1}, draining=True)
    entry.fleet = [old, ProcessStatus(kind="agent", id="silent", tiers=tiers)]
    capsys.readouterr()
    assert await entry.ctl("status") == 0
    text = capsys.readouterr().out
    assert "draining" in text and "0:3/4" in text
    assert await entry.ctl("status", "--json") == 0
    assert orjson.loads(capsys.readouterr().out)["processes"][0]["id"] == "old"
    assert await entry.ctl("schema-status") == 0
    rows = [line.split() for line in capsys.readouterr().out.splitlines()[1:]]
    assert rows[:2] == [["endpoint", "1", "1", "old"], ["pool", "1", "1", "-"]]
    assert rows[2][-1] == "silent"
