"""Guard against a log that floods its output, blocks or drops lines unreported."""

import os

import orjson
import pytest

from acaciarelay.programs import decision_log
from acaciarelay.programs.decision_log import DecisionLog

ORIGIN = {"timestamp": 1.0, "program": "entry", "name": "entry-1", "pid": 7}


@pytest.fixture
def pipe(monkeypatch):
    monkeypatch.setattr(decision_log.time, "monotonic", lambda: 5.0)
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def message(number):
    return {"message_type": "request_ended", "number": number} | ORIGIN


def read_lines(reader):
    try:
        return [orjson.loads(line) for line in os.read(reader, 1_000_000).splitlines()]
    except BlockingIOError:
        return []


def overflow(pipe, monkeypatch):
    reader, writer = pipe
    log = DecisionLog(writer)
    for number in range(decision_log.MAX_LINES_PER_S + 15):
        log.write(message(number))
    monkeypatch.setattr(decision_log.time, "monotonic", lambda: 6.0)
    log.write(message(999))
    return read_lines(reader)


def test_lines_beyond_the_rate_are_counted(pipe, monkeypatch):
    """Guards against unlimited output, and against lines dropped without a report."""
    lines = overflow(pipe, monkeypatch)
    assert len(lines) == decision_log.MAX_LINES_PER_S + 2
    assert lines[-2]["message_type"] == "log_lines_left_out"
    assert lines[-2]["over_rate"] == 15
    assert lines[-1]["number"] == 999


def test_count_of_lines_left_out_names_its_process(pipe, monkeypatch):
    """Guards against a count of dropped lines without the process that dropped them."""
    report = overflow(pipe, monkeypatch)[-2]
    assert {"timestamp", "program", "name", "pid"} <= report.keys()


def test_output_that_nobody_reads_never_blocks(pipe):
    """Guards against a full pipe that blocks the loop, and an unbounded buffer."""
    reader, writer = pipe
    log = DecisionLog(writer)
    for number in range(20):
        log.write(message(number) | {"text": "x" * 100_000})
    assert log.output_blocked > 0
    assert len(log.buffer) <= decision_log.MAX_BUFFER_BYTES


def test_lines_left_out_in_the_last_second_are_counted(pipe):
    """Guards against a stop whose dropped lines nothing tells of."""
    reader, writer = pipe
    log = DecisionLog(writer)
    for number in range(decision_log.MAX_LINES_PER_S + 15):
        log.write(message(number))
    log.close()
    report = read_lines(reader)[-1]
    assert report["message_type"] == "log_lines_left_out"
    assert report["over_rate"] == 15
    assert {"timestamp", "program", "name", "pid"} <= report.keys()
