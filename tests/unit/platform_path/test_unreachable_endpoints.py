"""Guards against requests that are held when no endpoint can be reached."""

import asyncio

import pytest
from relay_rig import RelayRig, configuration, registration, route

from acaciarelay.programs import relay_attempt
from acaciarelay.transport.endpoint_call import connect
from acaciarelay_standins.ports import free_port

ROUTE_S = 10.0
MAX_HELD_S = 3.0
MAX_CONNECTS_PER_S = 30


class CountedConnects:
    """Counts the connects of the entry; with ``silent`` none of them is answered."""

    def __init__(self, monkeypatch, silent: bool):
        self.count = 0
        self.silent = silent
        monkeypatch.setattr(relay_attempt, "connect", self.connect)

    async def connect(self, address, timeout_s, *budget):
        self.count += 1
        if self.silent:
            # Nothing is lost on loopback, so that the time-out is played here.
            await asyncio.sleep(timeout_s)
        return await connect(address, timeout_s, *budget)


@pytest.mark.parametrize("silent", [False, True], ids=["refused", "silent"])
@pytest.mark.parametrize("target", ["/order/a", "/chat/a"])
async def test_a_request_that_reaches_no_endpoint_is_refused_soon(
    monkeypatch, target, silent
):
    """Guards against callers who could ask another entry and are held instead."""
    connects = CountedConnects(monkeypatch, silent)
    async with RelayRig() as rig:
        routes = [
            route("/order/", "non_idempotent", timeoutMs=ROUTE_S * 1000),
            route("/chat/", "streaming", service="engine", timeoutMs=ROUTE_S * 1000),
        ]
        rig.configure(configuration(version=2, routes=routes))
        service = "orders" if target == "/order/a" else "engine"
        for number in range(4):
            address = f"127.0.0.1:{free_port()}"
            rig.row("servers", f"i-{number}", registration(service, address))
        began = asyncio.get_running_loop().time()
        answer = await rig.call(target, limit_ms=int(ROUTE_S * 1000))
        held_s = asyncio.get_running_loop().time() - began
        assert answer.status == 503
        assert answer.headers["acaciarelay-code"] == "303"
        assert held_s < MAX_HELD_S
        assert connects.count <= 4 + held_s * MAX_CONNECTS_PER_S


async def test_an_endpoint_that_is_back_within_the_wait_serves_the_request():
    """Guards against a refusal of requests that a restarted endpoint could serve."""
    async with RelayRig() as rig:
        routes = [route("/order/", "non_idempotent", timeoutMs=5000, sloMs=2000)]
        rig.configure(configuration(version=2, routes=routes))
        for number in range(4):
            address = f"127.0.0.1:{free_port()}"
            rig.row("servers", f"gone-{number}", registration("orders", address))
        waiting = asyncio.create_task(rig.call("/order/a", limit_ms=5000))
        await asyncio.sleep(0.3)
        await rig.add_runner("orders")
        assert (await waiting).status == 200
