"""Runners that say in their answers that they leave get no further requests."""

import pytest
from relay_rig import RelayRig, registration

TARGETS = {"orders": "/read/a", "engine": "/chat/a"}


@pytest.mark.parametrize("service", TARGETS)
@pytest.mark.parametrize("fault", ["", "error", "shed"])
async def test_a_runner_that_says_it_leaves_gets_no_further_requests(service, fault):
    """Guards against requests to a runner whose leaving only its answers tell."""
    async with RelayRig() as rig:
        leaving = await rig.add_runner(service)
        leaving.faults.leaving = True
        if fault:
            setattr(leaving.faults, fault, True)
        first = await rig.call(TARGETS[service], attempt="first")
        assert "server-leaving" not in first.headers
        others = [await rig.add_runner(service) for _ in range(2)]
        before = len(leaving.headers_seen)
        leaving.faults.shed = leaving.faults.error = False
        for number in range(20):
            answer = await rig.call(TARGETS[service], attempt=f"a-{number}")
            assert answer.status == 200 and answer.complete
        assert len(leaving.headers_seen) == before
        assert all(runner.runs for runner in others)


async def test_a_ready_registration_does_not_call_a_leaving_runner_back():
    """Guards against a list that lags behind what the runner itself says."""
    async with RelayRig() as rig:
        leaving = await rig.add_runner("orders")
        leaving.faults.leaving = True
        await rig.call("/read/a", attempt="first")
        address = rig.cache.endpoints.get("i-1").address
        rig.row("servers", "i-1", None)
        rig.row("servers", "i-1", registration("orders", address, seq=9))
        refused = await rig.call("/read/a", attempt="second")
        assert refused.status == 503
        assert len(leaving.runs) == 1
        # A new incarnation under the same id is another runner.
        leaving.faults.leaving = False
        rig.row("servers", "i-1", registration("orders", address, born=2))
        answer = await rig.call("/read/a", attempt="third")
        assert answer.status == 200


async def test_what_another_runner_says_at_an_address_marks_nobody():
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        runner.faults.leaving = runner.faults.wrong_endpoint = True
        await rig.call("/read/a", attempt="first")
        runner.faults.leaving = runner.faults.wrong_endpoint = False
        answer = await rig.call("/read/a", attempt="second")
        assert answer.status == 200


async def test_runners_that_leave_are_remembered_within_bounds():
    async with RelayRig() as rig:
        endpoints = rig.cache.endpoints
        for number in range(5_000):
            row = registration("orders", f"127.0.0.1:{number + 1}")
            rig.row("servers", f"i-{number}", row)
            endpoints.mark_leaving(endpoints.get(f"i-{number}"))
            rig.row("servers", f"i-{number}", None)
        assert len(endpoints.leaving) <= 1024
