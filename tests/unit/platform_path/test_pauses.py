"""What a process that did not run for some time still acts on when it runs again."""

import asyncio
import time

import pytest
from relay_rig import WORKSHOP, RelayRig, configuration, registration, route

from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.programs.relay_request import TRUST_WAIT_S
from acaciarelay.state.run_clock import PAUSE_S, RunClock


class PausedRig(RelayRig):
    """A rig whose process seems to have been paused before the next check."""

    def pause(self, seconds=PAUSE_S + 1.0):
        self.run_clock.on_pause.append(lambda _: self.cache.distrust())
        self.run_clock.checked_at -= seconds


def test_a_gap_between_checks_is_a_pause():
    """Guards against a pause that is not noticed, and one that is noticed twice."""
    times = iter([10.0, 10.3, 10.3 + PAUSE_S + 0.1, 12.0])
    clock = RunClock(lambda: next(times))
    pauses = []
    clock.on_pause.append(pauses.append)
    for _ in range(3):
        clock.check()
    assert pauses == [pytest.approx(PAUSE_S + 0.1)]


async def test_a_key_revoked_during_a_pause_is_not_accepted_after_it():
    """Guards against a run for a key that was revoked while the process was paused."""
    async with PausedRig() as rig:
        await rig.add_runner("orders")
        rig.pause()
        call = asyncio.create_task(rig.call("/order/a"))
        await asyncio.sleep(0.1)
        rig.configure(configuration(2, tenants=[]))
        for table in rig.cache.tables:
            rig.cache.mark_current(table)
        assert (await call).status == 401
        assert rig.arrivals == 0


async def test_an_endpoint_that_left_during_a_pause_gets_no_request_after_it():
    """Guards against a request for an endpoint that drained during a pause."""
    async with PausedRig() as rig:
        left = await rig.add_runner("orders")
        await rig.add_runner("orders")
        rig.pause()
        call = asyncio.create_task(rig.call("/order/a"))
        await asyncio.sleep(0.1)
        row = registration("orders", rig.cache.endpoints.get("i-1").address)
        rig.row("servers", "i-1", row | {"state": "draining"})
        for table in rig.cache.tables:
            rig.cache.mark_current(table)
        assert (await call).status == 200
        assert not left.runs


async def test_without_a_fresh_word_the_last_state_is_used_after_a_bounded_time():
    """Guards against requests that wait for a store and peers that are all away."""
    async with PausedRig() as rig:
        await rig.add_runner("orders")
        rig.pause()
        began = time.monotonic()
        assert (await rig.call("/order/a")).status == 200
        assert TRUST_WAIT_S <= time.monotonic() - began < TRUST_WAIT_S + 0.5
        began = time.monotonic()
        assert (await rig.call("/order/a", attempt="a-2")).status == 200
        assert time.monotonic() - began < TRUST_WAIT_S


async def test_a_request_that_waited_through_a_pause_is_placed_anew():
    """Guards against an endpoint or slot that was chosen before a pause."""
    async with PausedRig() as rig:
        # An objective that leaves time for all steps of this test.
        patient = route("/order/", "non_idempotent", sloMs=8000, timeoutMs=9000)
        rig.configure(configuration(2, routes=[patient]))
        call = asyncio.create_task(rig.call("/order/a", limit_ms=9000))
        await asyncio.sleep(0.05)
        rig.pause()
        left = await rig.add_runner("orders")
        await asyncio.sleep(0.08)
        rig.row("servers", "i-1", None)
        await rig.add_runner("orders")
        for table in rig.cache.tables:
            rig.cache.mark_current(table)
        assert (await call).status == 200
        assert not left.runs


async def test_a_restarted_entry_asks_a_peer_before_it_believes_the_store():
    """Guards against a withdrawn key that an old answer of the store brings back."""
    async with PausedRig() as rig:
        await rig.add_runner("orders")
        rig.cache.await_peer()
        for table in rig.cache.tables:
            rig.cache.mark_current(table)
        call = asyncio.create_task(rig.call("/order/a"))
        await asyncio.sleep(0.1)
        assert not call.done()
        rig.configure(configuration(2, tenants=[]))
        rig.cache.confirm_by_peer()
        assert (await call).status == 401
        assert rig.arrivals == 0


def test_shares_of_limits_lapse_with_a_pause():
    """Guards against tokens used twice: by peers during a pause, and here after it."""
    tolerance = UsageTolerance(window_s=8.0, excess_fraction=0.0, slack_tokens=0.0)
    ledger = UsageLedger(tolerance, True, 0.0)
    assert ledger.admit(WORKSHOP, 100, 1.0) == 0.0
    ledger.forget_levels(4.0)
    assert ledger.admit(WORKSHOP, 500, 4.0) > 0
    assert ledger.admit(WORKSHOP, 500, 4.6) == 0.0
