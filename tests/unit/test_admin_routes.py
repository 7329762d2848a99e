"""Guard against admin calls without the operator key, and misreported results."""

import random
from collections.abc import AsyncIterator

import attrs
import orjson
import pytest
from fakes import FakePlatform
from result import Ok

from acaciarelay.programs import admin_routes
from acaciarelay.programs.admin_routes import AdminRoutes
from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.programs.config_writer import ConfigWriter
from acaciarelay.protocol.admin_api import ProcessStatus, RecordChange, to_plain
from acaciarelay.state.config_state import ConfigState
from acaciarelay.transport.http_server import HttpExchange, HttpRequest

KEY = "operator-secret"
AGENT = ProcessStatus(kind="agent", id="e1", pool="p", generation=1, draining=True)


class Source:
    def processes(self) -> list[ProcessStatus]:
        return [AGENT]


@attrs.define
class FakeExchange(HttpExchange):
    request: HttpRequest
    body: bytes = b""
    started: bool = False
    status: int = 0
    answer: dict = attrs.field(factory=dict)

    async def read_body(self) -> AsyncIterator:
        yield Ok(self.body)

    async def respond(self, status: int, headers: object, body: bytes) -> None:
        self.status, self.answer = status, orjson.loads(body)


class Client:
    def __init__(self) -> None:
        self.platform = FakePlatform()
        sync = ConfigSync(self.platform, ConfigState(), [], random.Random(1))
        self.sync = sync
        self.routes = AdminRoutes(ConfigWriter(sync), sync, KEY, Source())

    async def call(
        self, method: str, path: str, body: object = None, key: str = KEY, **query: str
    ) -> FakeExchange:
        headers = [("authorization", f"Bearer {key}"), ("acaciarelay-operator", "me")]
        request = HttpRequest(method, "/admin/v1" + path, query, headers)
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        exchange = FakeExchange(request, data)
        assert await self.routes.handle(exchange)
        return exchange


@pytest.fixture
async def client() -> Client:
    client = Client()
    await client.sync.poll()
    return client


def changes(*items: RecordChange) -> list:
    return [to_plain(item) for item in items]


POOL = RecordChange(type="pool", name="p", body={"kind": "chat"})


@pytest.mark.parametrize("key", ["", "organisation-key", KEY + "x"])
async def test_only_the_operator_key_gives_access(client: Client, key: str) -> None:
    for method, path in [("GET", "/records"), ("POST", "/apply"), ("GET", "/nothing")]:
        exchange = await client.call(method, path, changes(POOL), key=key)
        assert exchange.status == 401 and exchange.answer["error"]["code"] == 700
    assert client.platform.commits == 0


async def test_an_unset_operator_key_refuses_all_calls(client: Client) -> None:
    client.routes = AdminRoutes(client.routes.writer, client.sync, "", Source())
    assert (await client.call("GET", "/records", key="")).status == 401


async def test_other_paths_are_not_answered(client: Client) -> None:
    exchange = FakeExchange(HttpRequest("GET", "/admin/v10", {}, []))
    assert not await client.routes.handle(exchange)


async def test_records_are_applied_read_and_deleted(client: Client) -> None:
    preview_request = {"changes": changes(POOL), "dry_run": True}
    preview = await client.call("POST", "/apply", preview_request)
    assert not preview.answer["committed"] and preview.answer["changes"]
    assert (await client.call("POST", "/apply", changes(POOL))).status == 200
    (record,) = (await client.call("GET", "/records/pool/p")).answer["records"]
    assert record["revision"] == 1 and record["body"] == POOL.body
    assert len((await client.call("GET", "/records")).answer["records"]) == 1
    assert (await client.call("DELETE", "/records/pool/p")).status == 400
    stale = await client.call("DELETE", "/records/pool/p", revision="7")
    assert stale.answer["error"]["conflicts"][0]["stored_revision"] == 1
    assert (await client.call("DELETE", "/records/pool/p", revision="1")).status == 200
    assert (await client.call("GET", "/records/pool/p")).status == 404
    (entry, _) = (await client.call("GET", "/history")).answer["entries"]
    assert entry["operator"] == "me" and entry["changes"][0]["after"] is None


@pytest.mark.parametrize(
    ("body", "code"),
    [(b"{", 104), (b'"x"', 701), (b'{"changes":[{"typ":"tier"}]}', 701)],
)
async def test_malformed_bodies_are_refused(
    client: Client, body: bytes, code: int
) -> None:
    exchange = await client.call("POST", "/apply", body)
    assert exchange.answer["error"]["code"] == code


async def test_a_body_above_the_limit_is_refused(
    client: Client, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an unbounded body that exhausts the memory of the entry."""
    monkeypatch.setattr(admin_routes, "MAX_BODY_BYTES", 10)
    exchange = await client.call("POST", "/apply", changes(POOL))
    assert exchange.status == 413


async def test_an_endpoint_without_a_record_can_be_drained(client: Client) -> None:
    await client.call("POST", "/apply", changes(POOL))
    assert (await client.call("POST", "/endpoints/e1/drain")).status == 200
    assert client.sync.snapshot.endpoints["e1"].state == "draining"
    assert (await client.call("POST", "/endpoints/e2/drain")).status == 404


async def test_a_drain_at_an_entry_that_lags_is_retried(client: Client) -> None:
    body = {"pool": "p", "models": ["m"]}
    endpoint = RecordChange(type="endpoint", name="e1", body=body)
    await client.call("POST", "/apply", changes(POOL, endpoint))
    lagging = Client()
    lagging.sync.platform = lagging.routes.writer.platform = client.platform
    await lagging.sync.poll()
    await client.call("POST", "/endpoints/e1/drain")
    assert (await lagging.call("POST", "/endpoints/e1/activate")).status == 200
    record = lagging.sync.snapshot.endpoints["e1"]
    assert record.state == "active" and record.models == ["m"]


async def test_an_outage_is_reported_as_such(client: Client) -> None:
    """Guards against an outage that looks like an empty configuration."""
    assert (await Client().call("GET", "/records")).status == 503
    client.platform.down = True
    exchange = await client.call("POST", "/apply", changes(POOL))
    assert exchange.answer["error"]["code"] == 600
    assert (await client.call("GET", "/records")).status == 200
