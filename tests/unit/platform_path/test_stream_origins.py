"""Memory of where streams began, and of the versions in service."""

import attrs
import pytest
from granter_rig import engine

from acaciarelay.coordination.software_history import MAX_FORMER, SoftwareHistory
from acaciarelay.coordination.stream_origins import (
    MAX_ORIGINS,
    StreamOrigin,
    StreamOrigins,
)


def endpoint(version, host="10.0.0.1"):
    return attrs.evolve(engine(host), version=version)


def test_the_last_attempt_of_a_request_counts():
    """Guards against the version of an attempt that broke before its first event."""
    origins = StreamOrigins()
    origins.record("a", StreamOrigin("v2", 2), 8.0, 1.0)
    origins.record("a", StreamOrigin("v1", 1), 8.0, 1.1)
    assert origins.find("a", 2.0) == StreamOrigin("v2", 2)


def test_requests_are_forgotten_in_time():
    """Guards against memory that grows with every request."""
    origins = StreamOrigins()
    origins.record("a", StreamOrigin("v1", 1), 8.0, 1.0)
    assert origins.find("a", 8.9) is not None
    assert origins.find("a", 9.1) is None
    origins.record("b", StreamOrigin("v1", 1), 8.0, 9.2)
    assert list(origins.kept) == ["b"]


def test_the_number_of_requests_is_bounded():
    """Guards against a flood of streams that fills the memory of an agent."""
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 10):
        origins.record(str(number), StreamOrigin("v1", 1), 1e9, 1.0)
    assert len(origins.kept) == MAX_ORIGINS
    assert origins.find("9", 1.0) is None
    assert origins.find("10", 1.0) is not None


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
