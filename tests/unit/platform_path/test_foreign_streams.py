"""Streams of a faulty engine, whose events are no part of any answer."""

import asyncio
import time

import pytest
from relay_rig import RelayRig
from unit.platform_path.test_ends_of_answers import ScriptedRunner

from acaciarelay.coordination.software_history import STREAM_LIFE_S
from acaciarelay.protocol.codes import CODES
from acaciarelay_standins.runner_faults import RunnerFaults

FOREIGN = str(CODES["stream_foreign"].number)
# Events of a sound stream, of which the caller asks for 30 tokens at most.
EVENTS = 10
HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


def pieces(first, last, text="piece {number}"):
    events = ""
    for number in range(first, last + 1):
        events += f"id: {number}\ndata: {text.format(number=number)}\n\n"
    return chunk(events)


async def add_scripted(rig, answer):
    """Add an engine that answers with a script and breaks the connection off."""
    runner = ScriptedRunner(answer)
    await runner.listen(rig, 9, "engine")
    return runner


async def add_sound(rig):
    return await rig.add_runner("engine", events=EVENTS, work_s=0.05)


async def call_faulty_first(rig, faulty, **headers):
    """Call until a request reached the faulty engine, and return its answer."""
    for number in range(30):
        attempt = f"first-{number}"
        answer = await rig.call("/chat/a", attempt=attempt, **headers)
        if faulty():
            return attempt, answer
    raise AssertionError("no request reached the faulty engine")


async def resume(rig, first, last, **headers):
    fields = {"attempt": "next", "Last_Event_Id": str(last), "Resumes": first}
    return await rig.call("/chat/a", **(fields | headers))


async def test_no_run_follows_events_without_end():
    """Guards against a whole answer that consists of events of a faulty engine."""
    async with RelayRig() as rig:
        faulty = await rig.add_runner("engine")
        faulty.faults = RunnerFaults(endless="numbered_events")
        sound = await add_sound(rig)
        attempt, answer = await call_faulty_first(
            rig, lambda: faulty.endless_bytes, Token_Usage="100,30"
        )
        assert answer.status == 200 and not answer.complete
        assert attempt not in [run.attempt for run in sound.runs]
        last = answer.body.count(b"id: ")
        sound.runs.clear()
        began = time.monotonic()
        refused = await resume(rig, attempt, last)
        assert refused.status == 503
        assert refused.headers["acaciarelay-code"] == FOREIGN
        assert refused.headers["acaciarelay-outcome"] == "not_run"
        assert time.monotonic() - began < 0.5
        assert not sound.runs


@pytest.mark.parametrize("script", [pieces(1, 20, ""), pieces(1, 20), pieces(1, 11)])
async def test_a_run_does_not_complete_foreign_events(script):
    """Guards against foreign events that are cut short and get a sound end."""
    async with RelayRig() as rig:
        faulty = await add_scripted(rig, HEAD + script)
        sound = await add_sound(rig)
        attempt, answer = await call_faulty_first(rig, lambda: faulty.count)
        assert answer.status == 200 and not answer.complete
        sound.runs.clear()
        refused = await resume(rig, attempt, answer.body.count(b"id: "))
        assert refused.headers["acaciarelay-code"] == FOREIGN
        assert not sound.runs


async def test_a_stream_cut_after_its_last_event_ends_whole():
    """Guards against a sound answer that is broken off for want of a proof."""
    async with RelayRig() as rig:
        cut = await add_scripted(rig, HEAD + pieces(1, EVENTS))
        sound = await add_sound(rig)
        attempt, answer = await call_faulty_first(rig, lambda: cut.count)
        assert answer.status == 200 and answer.complete
        assert answer.body.count(b"id: ") == EVENTS
        index = [run.attempt for run in sound.runs].index(attempt)
        assert sound.headers_seen[index]["last-event-id"] == str(EVENTS - 1)


async def resume_unknown(rig, last):
    """Resume a stream of a lost entry, where one version alone has served."""
    rig.cache.mark_read("servers")
    rig.versions.history.begin(time.monotonic() - STREAM_LIFE_S - 1)
    return await resume(rig, "at-a-lost-entry", last)


async def test_a_caller_that_has_all_events_gets_the_end():
    async with RelayRig() as rig:
        sound = await add_sound(rig)
        answer = await resume_unknown(rig, EVENTS)
        assert answer.status == 200 and answer.complete
        assert answer.body == b""
        after = [fields["last-event-id"] for fields in sound.headers_seen]
        assert after == [str(EVENTS), str(EVENTS - 1)]


async def test_an_end_without_an_event_is_not_passed_on_as_the_rest():
    """Guards against a whole answer for a caller that has foreign events only."""
    async with RelayRig() as rig:
        await add_sound(rig)
        answer = await resume_unknown(rig, 128)
        assert answer.status == 502
        answer = await rig.call("/chat/a", attempt="sound")
        assert answer.complete


async def test_sound_answers_of_many_small_events_are_whole():
    """Guards against sound streams that are taken for foreign."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("engine", events=120, step_s=0.0)
        for tokens in ("100,30", "100,0", "100"):
            answer = await rig.call("/chat/a", attempt=tokens, Token_Usage=tokens)
            assert answer.complete
        assert len(runner.runs) == 3


async def test_a_foreign_second_run_ends_the_answer():
    """Guards against foreign events behind sound ones of another engine."""
    async with RelayRig() as rig:
        first = await add_scripted(rig, HEAD + pieces(1, 4))
        second = await rig.add_runner("engine")
        second.faults = RunnerFaults(endless="numbered_events")
        await call_faulty_first(rig, lambda: first.count and second.endless_bytes)
        await asyncio.sleep(0)
        answer = await rig.call("/chat/a", attempt="last", Token_Usage="100,30")
        assert not answer.complete
