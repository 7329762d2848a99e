"""Streams that a stopping entry cuts: what its log says of them."""

import asyncio
from collections.abc import Iterator

import eliot
import pytest
from relay_rig import RelayRig
from stop_rig import hold_loop

from acaciarelay.coordination.drain_window import DrainWindow
from acaciarelay.programs.caller_server import CLOSE_CHECK_INTERVAL_S, CallerServer
from acaciarelay.programs.entry_stop import EntryStop


@pytest.fixture
def log() -> Iterator[list[dict]]:
    """Yield the list that gets all messages of the log."""
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    # The first destination also gets what was logged before there was any.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


async def test_a_stream_cut_by_the_stop_is_logged_as_such(log):
    """Guards against a cut that the closing of connections hides in a busy loop."""
    loop = asyncio.get_running_loop()

    def hold_the_last_step() -> None:
        """Hold the loop over the end of the streams, ahead of the stop's next step."""
        left_s = window.streams_end_at - loop.time()
        if CLOSE_CHECK_INTERVAL_S < left_s <= 2 * CLOSE_CHECK_INTERVAL_S:
            loop.call_later(
                CLOSE_CHECK_INTERVAL_S,
                loop.call_soon,
                hold_loop,
                CLOSE_CHECK_INTERVAL_S,
            )

    async with RelayRig() as rig:
        await rig.add_runner("engine", events=200, step_s=0.02)
        stream = asyncio.create_task(rig.call("/chat/a", limit_ms=9000))
        await asyncio.sleep(0.2)
        now = loop.time()
        window = DrainWindow(
            began_at=now,
            noticed_at=now + 0.1,
            ends_at=now + 0.2,
            streams_end_at=now + 0.4,
            grace_ends_at=now + 1.0,
        )
        callers = CallerServer(rig.build, rig.connections)
        stop = EntryStop(callers, rig.relay.drain, window, hold_the_last_step)
        await stop.run()
        assert not (await stream).complete
    ended = [line for line in log if line["message_type"] == "request_ended"]
    assert [(line["outcome"], line["code"]) for line in ended] == [
        ("failed", "entry_stopped")
    ]
