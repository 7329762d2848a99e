"""Streams go on only at the version of the software that began them."""

import asyncio
import time

import pytest
from relay_rig import HOST, KEY, RelayRig

from acaciarelay.coordination.software_history import STREAM_LIFE_S
from acaciarelay.protocol.codes import CODES
from acaciarelay_standins.runner_faults import RunnerFaults

UNKNOWN = str(CODES["stream_origin_unknown"].number)
GONE = str(CODES["stream_version_gone"].number)
CUTS = RunnerFaults(cut_after=4)
# A refusal comes at once: in less time than a request waits for a slot.
AT_ONCE_S = 0.5


def follow(rig, seconds):
    """Let the entry have followed the list of endpoints for some time."""
    rig.cache.mark_read("servers")
    rig.versions.history.begin(time.monotonic() - seconds)


async def begin(rig, version="v1"):
    """Begin a stream at the only runner, which then may be joined by others."""
    runner = await rig.add_runner("engine", version=version)
    runner.faults = CUTS
    answer = await rig.call("/chat/a", attempt="first")
    assert answer.status == 200 and not answer.complete
    runner.faults = RunnerFaults()
    runner.runs.clear()
    return runner


def resume(rig, **headers):
    fields = {"attempt": "second", "Last_Event_Id": "4", "Resumes": "first"}
    return rig.call("/chat/a", **(fields | headers))


async def test_a_resumed_stream_goes_on_at_its_version_only():
    """Guards against a caller's two answers that are joined from two versions."""
    async with RelayRig() as rig:
        first = await begin(rig)
        other = await rig.add_runner("engine", version="v2")
        for number in range(12):
            answer = await resume(rig, attempt=f"second-{number}")
            assert answer.status == 200 and answer.body.startswith(b"id: 5\n")
        assert len(first.runs) == 12 and not other.runs


async def test_a_stream_is_resumed_twice_by_its_first_request():
    """Guards against a second resumption that nobody knows."""
    async with RelayRig() as rig:
        first = await begin(rig)
        await rig.add_runner("engine", version="v2")
        first.faults = RunnerFaults(cut_after=1)
        answer = await resume(rig, attempt="second")
        assert not answer.complete
        first.faults = RunnerFaults()
        answer = await resume(rig, attempt="third", Last_Event_Id="6")
        assert answer.complete and answer.body.startswith(b"id: 7\n")


async def test_a_stream_of_an_unknown_request_is_refused_at_once():
    """Guards against a guess, and against a wait that can bring nothing."""
    async with RelayRig() as rig:
        await rig.add_runner("engine", version="v1")
        began = time.monotonic()
        answer = await resume(rig, Resumes="never-seen")
        assert time.monotonic() - began < AT_ONCE_S
        assert answer.status == 503
        assert answer.headers["acaciarelay-code"] == UNKNOWN
        assert answer.headers["acaciarelay-outcome"] == "not_run"
        assert rig.arrivals == 0


@pytest.mark.parametrize("resumes", [None, "", "x" * 5000, "first\r\nResumes: other"])
async def test_a_stream_without_a_usable_first_request_is_refused(resumes):
    """Guards against malformed fields that let a stream go on anywhere."""
    async with RelayRig() as rig:
        await begin(rig)
        lines = [
            "POST /chat/a HTTP/1.1",
            f"Host: {HOST}",
            "Attempt-Id: second",
            f"Api-Key: {KEY}",
            "Last-Event-Id: 4",
            "Content-Length: 0",
        ]
        if resumes is not None:
            lines.append(f"Resumes: {resumes}")
        answer = await rig.exchange("\r\n".join(lines).encode() + b"\r\n\r\n")
        assert answer.headers["acaciarelay-code"] == UNKNOWN
        assert rig.arrivals == 0


async def test_a_stream_whose_version_has_left_is_refused_at_once():
    """Guards against a wait to the time limit for runners that are gone."""
    async with RelayRig() as rig:
        first = await begin(rig)
        other = await rig.add_runner("engine", version="v2")
        rig.row("servers", first.endpoint_id, None)
        began = time.monotonic()
        answer = await resume(rig)
        assert time.monotonic() - began < AT_ONCE_S
        assert answer.headers["acaciarelay-code"] == GONE
        assert "retry-after" not in answer.headers
        assert not other.runs


async def test_a_runner_that_starts_anew_with_another_version_is_another_one():
    """Guards against a version that is taken from the id or the address."""
    async with RelayRig() as rig:
        first = await begin(rig)
        address = rig.cache.endpoints.get(first.endpoint_id).address
        value = {
            "service": "engine",
            "address": address,
            "zone": "zone-a",
            "version": "v2",
            "slots": 8,
            "state": "ready",
            "seq": 1,
            "born": 50,
        }
        rig.row("servers", first.endpoint_id, value)
        answer = await resume(rig)
        assert answer.headers["acaciarelay-code"] == GONE


async def test_a_stream_goes_on_while_only_one_version_is_known_to_have_served():
    """Guards against refusals where nothing can be joined."""
    async with RelayRig() as rig:
        await rig.add_runner("engine", version="v1")
        follow(rig, STREAM_LIFE_S + 1)
        answer = await resume(rig, Resumes="at-a-lost-entry")
        assert answer.status == 200
        await rig.add_runner("engine", version="v2")
        answer = await resume(rig, Resumes="at-a-lost-entry")
        assert answer.headers["acaciarelay-code"] == UNKNOWN


async def test_registrations_without_a_version_count_as_one_version():
    """Guards against streams of unversioned runners that no runner may go on with."""
    async with RelayRig() as rig:
        first = await begin(rig, version="")
        other = await rig.add_runner("engine", version="v2")
        answer = await resume(rig)
        assert answer.complete and len(first.runs) == 1 and not other.runs


async def test_a_resumed_stream_waits_for_the_granters_of_its_version():
    """Guards against refusals beside new streams, which can use other versions."""
    async with RelayRig() as rig:
        first = await begin(rig)
        rig.slot_client.undecided = {"127.0.0.1"}
        resumed = asyncio.create_task(resume(rig))
        # Longer than a new stream waits.
        await asyncio.sleep(0.5)
        rig.slot_client.undecided = set()
        answer = await resumed
        assert answer.status == 200 and answer.complete and first.runs


async def test_a_list_that_the_store_does_not_confirm_is_no_history():
    """Guards against an entry that is cut off and knows of no newer version."""
    async with RelayRig() as rig:
        await rig.add_runner("engine", version="v1")
        follow(rig, STREAM_LIFE_S + 1)
        rig.store_confirms = False
        answer = await resume(rig, Resumes="at-a-lost-entry")
        assert answer.headers["acaciarelay-code"] == UNKNOWN
        assert rig.arrivals == 0


async def test_a_runner_that_came_and_went_unseen_leaves_no_history():
    """Guards against a version that has served while the entry stood still."""
    async with RelayRig() as rig:
        await rig.add_runner("engine", version="v1")
        follow(rig, STREAM_LIFE_S + 1)
        rig.row("servers", "i-unseen", None)
        answer = await resume(rig, Resumes="at-a-lost-entry")
        assert answer.headers["acaciarelay-code"] == UNKNOWN
