"""Memory of where streams began, and of the versions in service."""

import time

import attrs
import pytest
from granter_rig import engine

from acaciarelay.coordination.software_history import MAX_FORMER, SoftwareHistory
from acaciarelay.coordination.stream_origins import (
    MAX_ORIGINS,
    StreamOrigin,
    StreamOrigins,
)
from acaciarelay.programs.stream_records import StreamRecords
from acaciarelay.protocol.link_messages import (
    StreamFound,
    StreamLookup,
    StreamStarted,
    decode_message,
)

V1 = StreamOrigin(frozenset({"v1"}))


def endpoint(version, host="10.0.0.1"):
    return attrs.evolve(engine(host), version=version)


class Answers:
    """A link that keeps what is sent over it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def ask(records, request):
    link = Answers()
    records.receive(link, StreamLookup(number=7, request=request))
    (answer,) = link.sent
    assert answer.number == 7
    return answer


def started(version, **fields):
    return StreamStarted(request="a", version=version, attempt=1, kept_s=8.0, **fields)


def test_only_the_first_event_of_a_request_is_recorded():
    """Guards against a stream that goes on where its request was merely sent."""
    records = StreamRecords()
    records.receive(Answers(), started("v1"))
    assert ask(records, "a") == StreamFound(number=7)
    records.receive(Answers(), started("v2", begun=True))
    found = StreamFound(number=7, version="v2", attempt=1, begun=True)
    assert ask(records, "a") == found


def test_an_id_that_two_streams_had_names_no_version():
    """Guards against the version of another stream with the same request id."""
    records = StreamRecords()
    records.receive(Answers(), started("v1", begun=True))
    records.receive(Answers(), started("v2", begun=True))
    assert ask(records, "a") == StreamFound(number=7)
    origin = records.origins.find("a", time.monotonic())
    assert origin == StreamOrigin(frozenset({"v1", "v2"}))
    assert origin.version is None


def test_an_entry_of_the_former_release_reads_what_is_found():
    """Guards against records that are lost while a new release is rolled out."""
    records = StreamRecords()
    records.receive(Answers(), started("v1", begun=True))
    assert ask(records, "a").attempt > 0


def test_messages_of_the_former_release_begin_nothing():
    """Guards against a message without a field that is taken for the first event."""
    started_before = decode_message(b'["stream","a","v1",1,8.0]\n')
    found_before = decode_message(b'["found",7,"v1",1]\n')
    assert not started_before.begun
    assert not found_before.begun


def test_requests_are_forgotten_in_time():
    """Guards against memory that grows with every request."""
    origins = StreamOrigins()
    origins.record("a", V1, 8.0, 1.0)
    assert origins.find("a", 8.9)
    assert not origins.find("a", 9.1)
    origins.record("b", V1, 8.0, 9.2)
    assert list(origins.kept) == ["b"]


def test_the_number_of_requests_is_bounded():
    """Guards against a flood of streams that fills the memory of an agent."""
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 10):
        origins.record(str(number), V1, 1e9, 1.0)
    assert len(origins.kept) == MAX_ORIGINS
    assert not origins.find("9", 1.0)
    assert origins.find("10", 1.0)


@pytest.mark.parametrize("followed_s, version", [(19.0, None), (20.0, "v1")])
def test_the_only_version_is_known_after_the_life_of_a_stream(followed_s, version):
    """Guards against a first read that hides a version whose runners just left."""
    history = SoftwareHistory()
    history.begin(100.0)
    history.update([endpoint("v1")], 100.0)
    assert history.only_version("engine", 8.0, 100.0 + followed_s) == version


def test_a_version_that_has_left_counts_for_the_life_of_a_stream():
    """Guards against a stream of an old version that goes on at the new one."""
    history = SoftwareHistory()
    history.begin(0.0)
    history.update([endpoint("v1")], 1.0)
    history.update([endpoint("v1"), endpoint("v2", "10.0.0.2")], 50.0)
    assert history.only_version("engine", 8.0, 50.5) is None
    history.update([endpoint("v2", "10.0.0.2")], 51.0)
    assert history.only_version("engine", 8.0, 70.0) is None
    assert history.only_version("engine", 30.0, 72.0) is None
    assert history.only_version("engine", 8.0, 72.0) == "v2"


def test_a_flood_of_versions_leaves_none_for_the_only_one():
    """Guards against a version that is forgotten and taken for never seen."""
    history = SoftwareHistory()
    history.begin(0.0)
    for number in range(MAX_FORMER + 2):
        history.update([endpoint(f"v{number}")], 30.0)
    assert len(history.former) <= MAX_FORMER
    assert history.only_version("engine", 8.0, 49.0) is None
