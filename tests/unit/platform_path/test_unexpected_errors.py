"""Unexpected errors in the handling of a request: its caller is answered or cut."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from relay_rig import RelayRig

from acaciarelay.programs.relay_entry import RelayEntry
from acaciarelay.programs.relay_settings import RelaySettings
from acaciarelay.state.stream_position import StreamPosition

SETTINGS = RelaySettings(
    name="entry-1",
    host="127.0.0.1",
    zone="zone-a",
    zones={"zone-a": "region-a"},
    caller_address="127.0.0.1:1",
    ready_address="127.0.0.1:1",
    metrics_address="127.0.0.1:1",
    ports=[1, 2],
    seeds=[],
    store_address="127.0.0.1:1",
    engine_address="",
    stop_grace_s=8.0,
    retry_ratio=0.2,
    retry_reserve=50.0,
    retry_window_s=10.0,
    usage_window_s=8.0,
    usage_excess=0.1,
    usage_slack=0.0,
    store_silence_ms=3000.0,
    memory_mb=232.0,
    first_start=True,
)


class EntryRig(RelayRig):
    """The request path of a whole entry that does not run its other parts."""

    def __init__(self) -> None:
        super().__init__()
        self.entry = RelayEntry(SETTINGS)
        self.cache = self.entry.cache
        self.relay = self.entry.relay

    def build(self):
        return self.entry.build_inbound()


@asynccontextmanager
async def start_rig() -> AsyncIterator[EntryRig]:
    async with EntryRig() as rig:
        await rig.add_runner("orders")
        await rig.add_runner("engine")
        yield rig


def fail(*_: Any, **__: Any) -> None:
    raise RuntimeError("unexpected")


@pytest.mark.parametrize(
    ("part", "method"),
    [
        ("admission", "admit"),
        ("placer", "place"),
        ("admission", "recheck"),
        ("attempts", "attempt"),
        ("attempts", "read_answer"),
        ("attempts", "record_outcome"),
    ],
)
async def test_an_unexpected_error_before_the_answer_is_answered(
    monkeypatch, part, method
):
    """Guards against a request that ends with its handler's error unanswered."""
    async with start_rig() as rig:
        monkeypatch.setattr(getattr(rig.relay, part), method, fail)
        answer = await rig.call("/order/a")
        if method == "record_outcome":
            assert (answer.status, answer.complete) == (200, True)
            return
        assert (answer.status, answer.complete) == (500, True)
        assert answer.headers["acaciarelay-code"] == "506"
        assert answer.headers["acaciarelay-outcome"] == "outcome_unknown"
        monkeypatch.undo()
        assert (await rig.call("/order/a")).status == 200


async def test_an_unexpected_error_during_the_answer_cuts_it(monkeypatch):
    """Guards against an answer that looks complete after its handler's error."""
    async with start_rig() as rig:
        monkeypatch.setattr(StreamPosition, "advance", fail)
        assert (await rig.call("/chat/a")).status == 500
        monkeypatch.undo()
        monkeypatch.setattr(rig.relay.attempts, "record_outcome", fail)
        rig.runners[1].faults.cut_after = 3
        answer = await rig.call("/chat/a")
        assert (answer.status, answer.complete) == (200, False)


async def test_a_refusal_of_invalid_input_is_counted():
    """Guards against refusals that no counter shows."""
    async with start_rig() as rig:
        assert (await rig.exchange(b"garbage\r\n\r\n")).status == 400
        text = rig.entry.metrics.render()[0].decode()
        lines = [line for line in text.splitlines() if "malformed_http" in line]
        assert len(lines) == 1 and lines[0].endswith(" 1")
