"""Guard against a stand-in runner whose faults differ from what they are named."""

import asyncio
import time

from relay_rig import RelayRig

from acaciarelay_standins.runner_faults import BadVersion, RunnerFaults


async def test_a_dripping_answer_stays_slow_when_the_fault_is_cleared():
    """Guards against a dripping answer that ends as a complete and sealed one."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        runner.faults = RunnerFaults(drip_s=0.2)
        call = asyncio.create_task(rig.call("/order/a", limit_ms=1000))
        await asyncio.sleep(0.3)
        runner.faults = RunnerFaults()
        answer = await call
        assert answer.status == 504
        assert rig.arrivals == 1


async def test_a_bad_version_fails_a_share_of_its_answers():
    """Guards against a version on trial that is bad in name only."""
    async with RelayRig() as rig:
        bad = BadVersion(failures=0.5, prefix="/read/")
        runner = await rig.add_runner("orders", version="v2", bad=bad)
        statuses = [(await rig.call("/order/x")).status for _ in range(5)]
        assert statuses == [200] * 5
        for number in range(20):
            await rig.call("/read/x", attempt=f"a-{number}")
        assert 4 <= bad.failed == len(runner.bad_at) <= 25


async def test_a_version_turns_bad_after_some_time():
    """Guards against a late fault that is there from the start."""
    bad = BadVersion(failures=1.0, slowness=3.0, after_s=0.5)
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders", work_s=0.05, bad=bad)
        assert (await rig.call("/order/x")).status == 200
        assert runner.bad_at == []
        await asyncio.sleep(0.5)
        began = time.monotonic()
        assert (await rig.call("/order/x")).status == 500
        assert time.monotonic() - began >= 0.15
        assert len(runner.bad_at) == 1
