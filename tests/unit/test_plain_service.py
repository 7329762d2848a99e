"""Guard against reporting that a call ran, or did not run, without evidence of it."""

import asyncio

import pytest
from result import Err
from unit.standin_serving import Collector, call, pieces, serving, until

from acaciarelay.protocol.codes import Outcome
from acaciarelay.transport.endpoints.base import (
    CommandKind,
    EndpointLimits,
    EngineCommand,
    RunResult,
)
from acaciarelay.transport.endpoints.plain_service import PlainService
from acaciarelay.transport.http_server import HttpExchange
from acaciarelay_standins.answers import lookup_answer
from acaciarelay_standins.service import Faults, ServiceStandin, parse_arguments

ORDERS = "/v1/services/shop/orders"
LIMITS = EndpointLimits(first_answer_s=0.5, stall_s=0.3)


def new_standin() -> ServiceStandin:
    return ServiceStandin(parse_arguments(["--latency-s=0.01"]))


async def order(address: str, sink: Collector) -> RunResult:
    service = PlainService(address, LIMITS)
    return await service.run(call("POST", ORDERS, b"12"), pieces(b"12"), sink)


async def test_calls_reach_the_service_once() -> None:
    standin, sink = new_standin(), Collector()
    async with serving(standin.handle) as address:
        service = PlainService(address, LIMITS)
        path = "/v1/services/shop/lookups/7"
        result = await service.run(call("GET", path), pieces(b""), sink)
        assert (result.code, sink.body) == (0, lookup_answer("shop", "7"))
        assert (await order(address, Collector())).code == 0
        assert (await service.probe()).unwrap().running == 0
    assert [effect.body for effect in standin.effects] == ["12"]


@pytest.mark.parametrize(
    ("faults", "effects"),
    [
        (Faults(close_after_effect=True), 1),
        (Faults(fail_before_effect="close"), 0),
        (Faults(slow_s=1.2), 1),
    ],
)
async def test_without_an_answer_the_outcome_is_unknown(
    faults: Faults, effects: int
) -> None:
    standin = new_standin()
    standin.faults = faults
    async with serving(standin.handle) as address:
        result = await order(address, Collector())
        await until(lambda: standin.requests[0].end is not None)
    assert (result.sent, result.outcome) == (True, Outcome.UNKNOWN)
    assert len(standin.effects) == effects


async def test_a_failed_connect_is_not_run() -> None:
    async with serving(new_standin().handle) as address:
        pass
    result = await order(address, Collector())
    assert (result.sent, result.outcome) == (False, Outcome.NOT_RUN)


@pytest.mark.parametrize(("hang", "code"), [(True, 501), (False, 503)])
async def test_an_answer_that_breaks_off_has_run(hang: bool, code: int) -> None:
    async def break_off(exchange: HttpExchange) -> None:
        await exchange.start(200, [("content-length", "10")])
        await exchange.write(b"12345")
        if hang:
            await asyncio.sleep(5.0)
        exchange.abort()

    async with serving(break_off) as address:
        result = await order(address, Collector())
    assert (result.code, result.outcome) == (code, Outcome.RAN)


async def test_commands_are_refused() -> None:
    command = EngineCommand(CommandKind.CHANGE_ROLE, "prefill", 1)
    assert isinstance(await PlainService("127.0.0.1:1").command(command), Err)
