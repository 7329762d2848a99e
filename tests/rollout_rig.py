"""Test rig: several entries' rollouts in the test's loop, with one stand-in store."""

import asyncio
import base64
import time
from collections.abc import Callable, Collection
from typing import Any

import orjson
from relay_rig import HOST, configuration, registration

from acaciarelay.platform.headers import RequestTraits
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.order_run import OrderRun
from acaciarelay.programs.relay_settings import RelaySettings
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.rollouts import Rollouts
from acaciarelay.protocol.link_messages import Hello, decode_message, encode_message
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Delivered,
    RelayedRequest,
)
from acaciarelay.state.rollout import Phase
from acaciarelay.state.store_era import StoreVersion
from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_store import PlatformStore

__all__ = ["RolloutEntry", "RolloutRig", "new_request", "request", "settings"]


def settings(store_address: str, **fields: Any) -> RelaySettings:
    """Return settings of an entry with rollouts."""
    values: dict[str, Any] = {
        "name": "entry",
        "host": "10.0.0.1",
        "zone": "zone-a",
        "zones": {"zone-a": "region-a"},
        "caller_address": "",
        "ready_address": "",
        "metrics_address": "",
        "ports": [1, 2],
        "seeds": [],
        "store_address": store_address,
        "engine_address": "",
        "stop_grace_s": 1.0,
        "retry_ratio": 0.2,
        "retry_reserve": 1.0,
        "retry_window_s": 10.0,
        "usage_window_s": 8.0,
        "usage_excess": 0.0,
        "usage_slack": 0.0,
        "store_silence_ms": 3000.0,
        "memory_mb": 128.0,
        "first_start": True,
        "rollout_share": 0.1,
    }
    return RelaySettings(**(values | fields))


class FakePeers:
    """Deliver the messages about rollouts to the other entries of a rig."""

    def __init__(self, rig: "RolloutRig", hello: Hello) -> None:
        self.rig = rig
        self.hello = hello
        self.on_rollout: Callable[[Hello, Any], None] = lambda peer, message: None
        self.sent: list[Any] = []

    def live_addresses(self) -> list[str]:
        return sorted(entry.hello.address for entry in self.rig.entries)

    def send_rollout(
        self, message: Any, receivers: Collection[str] | None = None
    ) -> None:
        self.sent.append(message)
        if self.rig.links_cut:
            return
        line = encode_message(message)
        for entry in self.rig.entries:
            if entry.hello is self.hello:
                continue
            if receivers is None or entry.hello.address in receivers:
                entry.peers.on_rollout(self.hello, decode_message(line))


class RolloutEntry:
    """One entry: its cached rows, its rollouts and the requests that it sends."""

    def __init__(self, rig: "RolloutRig", number: int) -> None:
        self.hello = Hello(
            name=f"entry-{number}",
            lifetime=f"life-{number}",
            address=f"10.0.0.{number}:7601",
            zone="zone-a",
            rolls_out=True,
        )
        self.cache = StateCache()
        self.peers = FakePeers(rig, self.hello)
        self.metrics = Metrics()
        self.eras: list[int] = []
        self.rollouts = Rollouts(
            settings(rig.address),
            self.hello,
            self.cache,
            self.peers,  # type: ignore[arg-type]
            self.metrics,
            self.eras.append,
        )
        self.table_version = 0

    def row(self, table: str, key: str, value: Any, version: StoreVersion) -> None:
        """Apply a row as if the store had sent it."""
        data = orjson.dumps(value) if value is not None else None
        row = StoreRow(key=key, value=data, version=version)
        self.cache.apply_changes(table, [row], version, False)

    def endpoint(self, number: int, version: str, **fields: Any) -> None:
        """Register an engine of the service."""
        self.table_version += 1
        address = f"127.0.2.{number}:9"
        value = registration("orders", address, version=version) | fields
        self.row("servers", f"i-{number}", value, StoreVersion(1, self.table_version))

    def versions(self, relayed: RelayedRequest) -> set[str]:
        """Return the versions of the engines that a request may use."""
        listed = self.cache.endpoints.of_service("orders")
        return {one.version for one in self.rollouts.choose(relayed, listed)}

    def send(
        self, relayed: RelayedRequest, outcome: AttemptOutcome | None = None
    ) -> str:
        """Send a request to the first engine that it may use; return its version."""
        listed = self.cache.endpoints.of_service("orders")
        endpoint = self.rollouts.choose(relayed, listed)[0]
        assert self.rollouts.permits(relayed, endpoint)
        relayed.tried.add(endpoint.endpoint_id)
        attempt = self.rollouts.sent(relayed, endpoint)
        self.rollouts.ended(attempt, outcome or Delivered())
        return endpoint.version


class RolloutRig:
    """Entries with a store, as an asynchronous context manager."""

    def __init__(self, entries: int = 1) -> None:
        self.count = entries
        self.store = PlatformStore()
        self.entries: list[RolloutEntry] = []
        self.links_cut = False
        self.address = ""

    async def __aenter__(self) -> "RolloutRig":
        self.server, self.address = await listen(self.store.handle, "127.0.0.1:0")
        for number in range(1, self.count + 1):
            entry = RolloutEntry(self, number)
            entry.row("op", "config", configuration(1), StoreVersion(1, 1))
            for engine in (1, 2, 3):
                entry.endpoint(engine, "v1")
            self.entries.append(entry)
        self.store.put("op", "config", configuration(1))
        return self

    async def __aexit__(self, *_: object) -> None:
        for entry in self.entries:
            entry.rollouts.close()
        self.server.close()
        await asyncio.sleep(0)

    def add_new(self, version: str = "v2") -> None:
        """Register engines of the new version."""
        for entry in self.entries:
            for engine in (4, 5):
                entry.endpoint(engine, version)

    def order(self, version: str = "v2", duration: Any = 10, era: int = 1) -> int:
        """Write an order, and pass it on to all entries."""
        value = {"service": "orders", "to": version, "durationS": duration}
        number = self.store.put("op", "rollout/orders", value)
        for entry in self.entries:
            entry.row("op", "rollout/orders", value, StoreVersion(era, number))
        return number

    def runs(self) -> list[OrderRun]:
        """Return the last order of the service at each entry."""
        return [entry.rollouts.runs["orders"] for entry in self.entries]

    def phases(self) -> set[Phase]:
        """Return what the entries may send to the new version."""
        now = time.monotonic()
        return {run.permission.phase(now) for run in self.runs()}

    async def until_shared(self) -> None:
        """Wait until all entries may send the new version its share."""
        await self.until(lambda: self.phases() == {Phase.SHARE})

    def ended_as(self, state: str) -> bool:
        """Return whether the status row has this state."""
        return self.status is not None and self.status["state"] == state

    def stored(self, table: str, key: str) -> Any:
        """Return the value of a row of the store, ``None`` if there is none."""
        row = self.store.rows(table, "", self.store.version).get(key)
        if row is None or row.value is None:
            return None
        return orjson.loads(base64.b64decode(row.value))

    @property
    def status(self) -> Any:
        return self.stored("status", "rollout/orders")

    async def until(self, condition: Callable[[], bool], limit_s: float = 5.0) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < deadline, "not reached in time"
            await asyncio.sleep(0.02)


def new_request(entry: RolloutEntry, **fields: Any) -> RelayedRequest:
    """Return a request that an entry has admitted."""
    return request(entry.cache.routing, **fields)


def request(routing: Any, prefix: str = "/read/", **fields: Any) -> RelayedRequest:
    """Return a request that was admitted."""
    traits = RequestTraits(
        request_id="r-1",
        time_limit_s=2.0,
        key=None,
        prompt_tokens=fields.pop("prompt_tokens", None),
        output_tokens=fields.pop("output_tokens", None),
        expected_output=None,
        last_event=None,
        shared_parts=frozenset(),
        shared_chain={},
        forwarded=[],
    )
    route = routing.find_route(HOST, prefix)
    assert route is not None
    relayed = RelayedRequest(
        traits=traits,
        route=route,
        routing=routing,
        organisation=None,
        rank=1,
        cost=1.0,
        arrived_at=0.0,
        deadline=2.0,
        objective_at=1.0,
        service="orders",
    )
    for name, value in fields.items():
        setattr(relayed, name, value)
    return relayed
