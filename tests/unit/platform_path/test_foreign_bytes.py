"""Bytes in a stream that are no event of its run, and those that a sound one has."""

import asyncio
import time

import pytest
from relay_rig import RelayRig
from unit.platform_path.test_ends_of_answers import (
    EVENTS,
    HEAD,
    STREAM,
    ScriptedRunner,
    call_engines,
    chunked,
    looks_complete,
    register,
    unframed,
)

from acaciarelay_standins.runner_faults import ENDLESS_PARTS, RunnerFaults

OTHER_HEAD = HEAD.replace("{status}", "200 OK").replace("{attempt}", "another")
OTHER_STREAM = "".join(f"id: {number}\ndata: other {number}\n\n" for number in range(9))
# What a faulty runner may write behind some events of a stream.
FOREIGN = {
    "another answer": OTHER_HEAD + "\r\n" + OTHER_STREAM,
    "another answer in chunks": OTHER_HEAD
    + "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
    "another stream": OTHER_STREAM,
    "a later event of another stream": "id: 9\ndata: other 9\n\n",
    "an event without a number": "data: other\n\n",
    "an event with no whole number": "id: other\ndata: other\n\n",
    "an event with two numbers": "id: 4\nid: 9\ndata: other\n\n",
    "a repeated event": EVENTS[2],
    "a page": "<html><body>other</body></html>\n\n",
    "bytes": "\x00other\xff\n\nid: 4\ndata: other\n\n",
    "bytes in an event": "other other\nid: 4\ndata: other\n\n",
    "a report": '{"stage":"other"}\n\n',
}
# The runner writes numbered events without end; each of them holds a token at least.
TOKENS = 30


@pytest.mark.parametrize("form", [unframed, chunked])
@pytest.mark.parametrize("foreign", FOREIGN)
async def test_foreign_bytes_never_reach_the_caller(form, foreign):
    """Guards against another request's answer behind the events of a stream."""
    begun = "".join(EVENTS[:3])
    runner = ScriptedRunner(form(begun + FOREIGN[foreign]))
    answer = await call_engines(runner, target="/quote/a")
    assert not looks_complete(answer)
    assert answer.body == begun.encode()


@pytest.mark.parametrize("form", [unframed, chunked])
@pytest.mark.parametrize("foreign", FOREIGN)
async def test_a_stream_goes_on_elsewhere_after_foreign_bytes(form, foreign):
    """Guards against a stream that is lost with the runner's foreign bytes."""
    runner = ScriptedRunner(
        form("".join(EVENTS[:3]) + FOREIGN[foreign]), form("".join(EVENTS[3:]))
    )
    answer = await call_engines(runner)
    assert looks_complete(answer)
    assert answer.body == STREAM.encode()
    assert runner.count == 2


@pytest.mark.parametrize("foreign", FOREIGN)
async def test_a_second_answer_behind_a_whole_stream_is_dropped(foreign):
    """Guards against the answer of another request behind a stream without length.

    It ends with its channel, so that only its events show where it ended.
    """
    runner = ScriptedRunner(unframed(STREAM + FOREIGN[foreign]), unframed(EVENTS[-1]))
    answer = await call_engines(runner)
    assert looks_complete(answer)
    assert answer.body == STREAM.encode()


@pytest.mark.parametrize(
    "part",
    [part for part in ENDLESS_PARTS if "line" in part or "event" in part]
    + ["comments", "empty_comments"],
)
async def test_a_stream_without_end_of_no_events_is_ended_at_once(part):
    """Guards against a caller that waits on bytes which never become an event."""
    async with RelayRig() as rig:
        faulty = await rig.add_runner("engine")
        faulty.faults = RunnerFaults(endless=part)
        began = time.monotonic()
        answer = await rig.call("/quote/a", limit_ms=1900)
        assert time.monotonic() - began < 1.0
        assert not looks_complete(answer)
        assert rig.health.failures(faulty.endpoint_id, time.monotonic()) > 0.5
        await asyncio.sleep(0.1)
        sent = faulty.endless_bytes
        await asyncio.sleep(0.1)
        assert faulty.endless_bytes == sent


async def test_more_events_than_tokens_are_no_answer():
    """Guards against numbered events without end."""
    async with RelayRig() as rig:
        faulty = await rig.add_runner("engine")
        faulty.faults = RunnerFaults(endless="numbered_events")
        answer = await rig.call("/quote/a", limit_ms=1900, Token_Usage=f"100,{TOKENS}")
        assert not looks_complete(answer)
        assert answer.body.count(b"id: ") < 10 * TOKENS


SOUND = {
    "comments": [f": comment\n\n{event}" for event in EVENTS],
    "comments in events": [f": comment\n{event}" for event in EVENTS],
    "blank lines": [f"\n\n\n{event}" for event in EVENTS],
    "a retry field": ["retry: 1000\n\n", *EVENTS],
    "a padding comment": [":" + " " * 4_096 + "\n\n", *EVENTS],
}
SOUND_EVENTS = {
    "carriage returns": [event.replace("\n", "\r\n") for event in EVENTS],
    "a version": [f"weight-versions: 2\n{event}" for event in EVENTS],
    "lines of data": [f"{event[:-1]}data: more\ndata\n\n" for event in EVENTS],
    "no space": [event.replace(": ", ":") for event in EVENTS],
    "other fields": [f"event: token\n{event}" for event in EVENTS],
    "no data": [f"id: {number}\n\n" for number in range(1, 6)],
    "text beyond ASCII": [event.replace("piece", "pi\xe8ce") for event in EVENTS],
}


@pytest.mark.parametrize("form", [unframed, chunked])
@pytest.mark.parametrize("sound", SOUND)
async def test_what_a_sound_runner_sends_between_events_ends_no_answer(form, sound):
    """Guards against sound streams that are cut since they hold more than events."""
    runner = ScriptedRunner(form("".join(SOUND[sound])))
    answer = await call_engines(runner, target="/quote/a")
    assert looks_complete(answer)
    events = answer.body
    for filler in (": comment\n\n", "\n\n\n", "retry: 1000\n\n"):
        events = events.replace(filler.encode(), b"")
    assert events.replace(b": comment\n", b"") == STREAM.encode()
    assert runner.count == 1


@pytest.mark.parametrize("form", [unframed, chunked])
@pytest.mark.parametrize("sound", SOUND_EVENTS)
async def test_events_of_any_sound_form_are_passed_on(form, sound):
    """Guards against sound events that are taken for foreign bytes."""
    text = "".join(SOUND_EVENTS[sound])
    runner = ScriptedRunner(form(text))
    answer = await call_engines(runner, target="/quote/a")
    assert looks_complete(answer)
    assert answer.body == text.encode("latin-1")


async def test_a_comment_now_and_then_in_a_pause_ends_no_answer():
    """Guards against a pause of a sound runner that is taken for its end."""
    async with RelayRig() as rig:
        server = await asyncio.start_server(comment_in_a_pause, "127.0.0.1", 0)
        rig.servers.append(server)
        register(rig, 1, "engine", server)
        answer = await rig.call("/quote/a", limit_ms=1900)
        assert looks_complete(answer)
        assert answer.body == STREAM.encode()


async def comment_in_a_pause(reader, writer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    attempt = next(line for line in head.split("\r\n") if line.startswith("attempt-id"))
    answer = unframed(EVENTS[0]).replace("{attempt}", attempt.partition(":")[2].strip())
    writer.write(answer.encode())
    for _ in range(5):
        await asyncio.sleep(0.25)
        writer.write(b": still here\n\n")
    writer.write("".join(EVENTS[1:]).encode())
    writer.close()
