"""Guard against invalid input that is accepted or that affects other requests."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import attrs
import orjson
import pytest
from integration.generations import admin_call, commit, monitor_generations
from integration.support import (
    CHAT_PATH,
    KEY,
    ORDERS_PATH,
    Answer,
    chat,
    chat_body,
    order,
    record,
    send,
    standard_records,
)

from acaciarelay_standins.answers import expected_chat_answer
from acaciarelay_standins.fleet import OPERATOR_KEY, Fleet

APPLY = "/admin/v1/apply"
OTHER_CALLERS = 4
RECORDS = "/admin/v1/records"


@attrs.frozen
class AdminCase:
    """A request to the administration API and the expected result code."""

    name: str
    code: int
    method: str = "POST"
    path: str = APPLY
    body: Any = None
    raw: bytes | None = None
    key: str = OPERATOR_KEY

    async def run(self, fleet: Fleet) -> Answer:
        body = b"" if self.body is None else orjson.dumps(self.body)
        data = self.raw if self.raw is not None else body
        return await admin_call(
            fleet, "entry-1", self.method, self.path, data, self.key
        )


def changes(*items: dict[str, Any]) -> dict[str, Any]:
    return {"changes": list(items)}


POLICY = record("policy", "p", tiers={"default": "no-such-tier"})
ORGANISATION = record(
    "organisation", "o", key_hashes=["0" * 64], policy="no-such-policy"
)
TIER = record("tier", "t", rank=3)

ADMIN_CASES = [
    AdminCase("missing pool", 705, body=changes(record("endpoint", "e", pool="none"))),
    AdminCase("missing tier", 705, body=changes(POLICY)),
    AdminCase("missing policy", 705, body=changes(ORGANISATION)),
    AdminCase("one wrong of two", 705, body=changes(TIER, ORGANISATION)),
    AdminCase("schema too new", 704, body=changes({**TIER, "schema": 99})),
    AdminCase("unknown type", 701, body=changes(record("planet", "x", a=1))),
    AdminCase("unknown field", 701, body=changes(record("tier", "t", rank=1, x=2))),
    AdminCase("wrong type", 701, body=changes(record("tier", "t", rank="first"))),
    AdminCase("out of range", 701, body=changes(record("tier", "t", rank=-1))),
    AdminCase("name with a slash", 701, body=changes(record("tier", "a/b", rank=1))),
    AdminCase("name too long", 701, body=changes(record("tier", "a" * 200, rank=1))),
    AdminCase("changes of another form", 701, body={"changes": 5}),
    AdminCase("unknown field of apply", 701, body={"changes": [], "force": True}),
    AdminCase("null", 701, raw=b"null"),
    AdminCase("wrong JSON", 104, raw=b'{"changes": ['),
    AdminCase("not UTF-8", 104, raw=b"\xff\xfe\x00"),
    AdminCase("empty body", 104, raw=b""),
    AdminCase("mismatched revision", 702, body=changes({**TIER, "revision": 7})),
    AdminCase(
        "deletion in use",
        705,
        "DELETE",
        f"{RECORDS}/policy/standard?revision=1",
    ),
    AdminCase("unknown record", 703, "GET", f"{RECORDS}/tier/none"),
    AdminCase(
        "deletion of an unknown record",
        703,
        "DELETE",
        f"{RECORDS}/tier/none?revision=0",
    ),
    AdminCase("no revision", 105, "DELETE", f"{RECORDS}/tier/batch"),
    AdminCase(
        "revision is not a number", 105, "DELETE", f"{RECORDS}/tier/batch?revision=x"
    ),
    AdminCase(
        "drain of an unknown endpoint", 703, "POST", "/admin/v1/endpoints/none/drain"
    ),
    AdminCase("wrong limit", 105, "GET", "/admin/v1/history?limit=-1"),
    AdminCase("unknown path", 106, "GET", "/admin/v1/nothing"),
    AdminCase("wrong method", 107, "PUT", APPLY),
    AdminCase("wrong operator key", 700, body=changes(TIER), key="guess"),
    AdminCase("caller's key", 700, body=changes(TIER), key=KEY),
]


@attrs.frozen
class CallerCase:
    """A caller's request and the expected result code."""

    name: str
    code: int
    method: str = "POST"
    path: str = CHAT_PATH
    body: bytes = attrs.field(factory=lambda: chat_body("a lamp"))
    key: str = KEY
    headers: tuple[tuple[str, str], ...] = ()

    async def run(self, fleet: Fleet) -> Answer:
        address = fleet.entries["entry-1"].http_address
        return await send(
            address, self.method, self.path, self.body, self.key, self.headers
        )


def unknown_model_body() -> bytes:
    return orjson.dumps({**orjson.loads(chat_body("x")), "model": "no-such-model"})


CALLER_CASES = [
    CallerCase("unknown key", 200, key="guess"),
    CallerCase("operator's key", 200, key=OPERATOR_KEY),
    CallerCase("operator's key for an order", 200, path=ORDERS_PATH, key=OPERATOR_KEY),
    CallerCase("unknown model", 201, body=unknown_model_body()),
    CallerCase("unknown service", 202, path="/v1/services/none/orders", body=b"oak"),
    CallerCase("missing idempotency key", 400, path=ORDERS_PATH, body=b"oak"),
    CallerCase("wrong JSON", 104, body=b'{"model": '),
    CallerCase("empty body", 104, body=b""),
    CallerCase("list for an object", 105, body=b"[1, 2]"),
    CallerCase("unknown class", 203, headers=(("acaciarelay-class", "royal"),)),
    CallerCase("wrong timeout", 105, headers=(("acaciarelay-timeout-ms", "soon"),)),
    CallerCase("negative timeout", 105, headers=(("acaciarelay-timeout-ms", "-5"),)),
    CallerCase("unknown path", 106, path="/v1/none"),
    CallerCase("wrong method", 107, method="GET", body=b""),
    CallerCase("path outside", 106, path="/elsewhere"),
]


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    async with Fleet(tmp_path) as started:
        await started.start_platform()
        engine, service = await asyncio.gather(
            started.start_engine("engine"), started.start_service("service")
        )
        await asyncio.gather(
            started.start_entry("entry-1"),
            started.start_agent("agent-1", "assistants", "chat", engine),
            started.start_agent("agent-2", "shop", "service", service),
        )
        answer = await commit(started, "entry-1", *standard_records())
        assert answer.status == 200
        await started.wait_ready()
        yield started


async def test_wrong_input_gets_its_code_and_has_no_effect(fleet: Fleet) -> None:
    """Guards against wrong input that has an effect or affects other callers."""
    outcomes: list[Answer] = []
    stop = asyncio.Event()

    async def other_caller() -> None:
        while not stop.is_set():
            outcomes.append(await chat(fleet, "entry-1", "a bench", 4))

    async with monitor_generations(fleet) as monitor:
        others = [asyncio.create_task(other_caller()) for _ in range(OTHER_CALLERS)]
        before = await admin_call(fleet, "entry-1", "GET", RECORDS)
        wrong = []
        for case in [*ADMIN_CASES, *CALLER_CASES]:
            answer = await case.run(fleet)
            result = (answer.code, answer.outcome, answer.error)
            if result != (case.code, "not_run", None):
                wrong.append(f"{case.name}: {result}, expected code {case.code}")
                continue
            error = orjson.loads(answer.body)["error"]
            if error["code"] != case.code or not error["message"]:
                wrong.append(f"{case.name}: {answer.body!r}")
        assert not wrong, "\n".join(wrong)
        after = await admin_call(fleet, "entry-1", "GET", RECORDS)
        assert before.body == after.body
        assert set((await monitor.read_all()).values()) == {1}
        stop.set()
        await asyncio.gather(*others)
    expected = expected_chat_answer(chat_body("a bench", 4))
    assert len(outcomes) >= OTHER_CALLERS
    assert all(answer.complete and answer.body == expected for answer in outcomes)
    assert (await order(fleet, "entry-1", "after-all", b"oak")).status == 200
