"""Broken streams go on within their answer at the version that began them only."""

from relay_rig import RelayRig

from acaciarelay_standins.runner_faults import RunnerFaults

CUTS = RunnerFaults(cut_after=4)


async def test_a_broken_answer_does_not_go_on_at_another_version():
    """Guards against an answer that is joined from two versions."""
    async with RelayRig() as rig:
        first = await rig.add_runner("engine", version="v1")
        first.faults = CUTS
        other = await rig.add_runner("engine", version="v2")
        for number in range(12):
            await rig.call("/chat/a", attempt=f"a-{number}")
        begun = {run.attempt for run in first.runs}
        assert begun and not begun & {run.attempt for run in other.runs}


async def test_a_broken_answer_goes_on_at_its_version():
    """Guards against streams that end although a runner of their version serves."""
    async with RelayRig() as rig:
        first = await rig.add_runner("engine", version="v1")
        first.faults = CUTS
        for version in ("v2", "v1"):
            await rig.add_runner("engine", version=version)
        for number in range(12):
            answer = await rig.call("/chat/a", attempt=f"a-{number}")
            assert answer.complete and answer.body.count(b"data") == 10


async def test_a_request_without_an_event_goes_to_any_version():
    """Guards against requests that are bound to the version of a failed attempt."""
    async with RelayRig() as rig:
        first = await rig.add_runner("engine", version="v1")
        first.faults = RunnerFaults(error=True)
        await rig.add_runner("engine", version="v2")
        for number in range(12):
            answer = await rig.call("/chat/a", attempt=f"a-{number}")
            assert answer.status == 200 and answer.complete
