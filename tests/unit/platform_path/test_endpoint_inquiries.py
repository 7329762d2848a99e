"""Endpoints that are listed again after their removal are asked whether they serve."""

import asyncio

import pytest
from relay_rig import RelayRig, registration

from acaciarelay.programs.endpoint_inquiries import (
    EndpointInquiries,
    InquiryOutcome,
    inquire,
)
from acaciarelay.programs.metrics import Metrics


async def listed_again(rig, seq=50):
    """Add a runner, remove it, and list it again; return it and its registration."""
    runner = await rig.add_runner("orders")
    endpoint = rig.cache.endpoints.get("i-1")
    rig.row("servers", "i-1", None)
    rig.row("servers", "i-1", registration("orders", endpoint.address, seq=seq))
    assert rig.cache.endpoints.of_service("orders") == []
    return runner, endpoint


async def tick_until_asked(rig):
    inquiries = EndpointInquiries(rig.cache, Metrics())
    inquiries.tick()
    (inquiry,) = inquiries.inquiries.values()
    await inquiry.task
    return inquiries


async def test_a_runner_that_lapsed_unnoticed_is_in_use_once_it_says_that_it_serves():
    """Guards against a live runner that is left out until a dead one would lapse."""
    async with RelayRig() as rig:
        runner, endpoint = await listed_again(rig)
        await tick_until_asked(rig)
        assert rig.cache.endpoints.of_service("orders") == [endpoint]
        assert runner.runs == []


async def test_a_runner_that_leaves_is_not_in_use_again_by_a_late_ping():
    """Guards against a late ping that is believed, before and after its lapse."""
    async with RelayRig() as rig:
        runner, endpoint = await listed_again(rig)
        runner.faults.leaving = True
        inquiries = await tick_until_asked(rig)
        assert rig.cache.endpoints.of_service("orders") == []
        inquiries.tick()
        assert inquiries.inquiries == {}
        rig.cache.tables["servers"].cached.renew_holds(-1e6)
        rig.cache.mark_read("servers")
        rig.cache.release_holds()
        assert rig.cache.endpoints.of_service("orders") == []
        assert runner.runs == []


@pytest.mark.parametrize("trouble", ["silent", "gone", "another runner"])
async def test_a_runner_that_does_not_answer_for_itself_is_not_in_use(trouble):
    """Guards against an address that answers, or does not, for a runner that left."""
    async with RelayRig() as rig:
        runner, endpoint = await listed_again(rig)
        match trouble:
            case "silent":
                runner.fall_silent(3.0)
            case "gone":
                rig.servers[-1].close()
            case "another runner":
                runner.endpoint_id = "i-9"
        assert await inquire(endpoint) is InquiryOutcome.UNKNOWN
        await tick_until_asked(rig)
        assert rig.cache.endpoints.of_service("orders") == []


async def test_the_inquiry_of_a_row_that_is_removed_meanwhile_changes_nothing():
    """Guards against an answer that puts a removed registration in force."""
    async with RelayRig() as rig:
        runner, endpoint = await listed_again(rig)
        inquiries = EndpointInquiries(rig.cache, Metrics())
        runner.fall_silent(0.2)
        inquiries.tick()
        rig.row("servers", "i-1", None)
        inquiries.tick()
        await asyncio.sleep(0.4)
        assert rig.cache.endpoints.of_service("orders") == []
