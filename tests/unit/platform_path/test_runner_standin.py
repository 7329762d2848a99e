"""Guard against a stand-in runner whose faults differ from what they are named."""

import asyncio

from relay_rig import RelayRig

from acaciarelay_standins.platform_runner import RunnerFaults


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
