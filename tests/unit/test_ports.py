"""Guards against two test workers whose processes meet at one port."""

import socket

from acaciarelay_standins import ports
from acaciarelay_standins.ports import (
    FIRST_PORT,
    LAST_PORT,
    PORTS_VARIABLE,
    free_port,
    worker_ports,
)


def bounds(worker, count):
    first, _, last = worker_ports(worker, count).partition("-")
    return int(first), int(last)


def test_ranges_of_workers_do_not_overlap():
    """Guards against a worker that is given a port of another one."""
    for count in (1, 2, 4, 7, 16):
        ranges = [bounds(f"gw{number}", count) for number in range(count)]
        assert ranges[0][0] == FIRST_PORT
        assert ranges[-1][1] <= LAST_PORT
        for (_, last), (first, _) in zip(ranges, ranges[1:], strict=False):
            assert last < first


def test_a_single_process_may_use_all_ports():
    """Guards against tests without workers that find no port."""
    assert bounds("", 1) == (FIRST_PORT, LAST_PORT)


def test_blocks_of_ports_are_disjoint_and_inside_the_range(monkeypatch):
    """Guards against a fleet whose later ports belong to another fleet."""
    # What earlier tests of this worker were given must not fill the range.
    monkeypatch.setattr(ports, "_assigned_ports", set())
    monkeypatch.setenv(PORTS_VARIABLE, "30000-30999")
    seen = set()
    for _ in range(20):
        block = set(range(start := free_port(20), start + 20))
        assert min(block) >= 30000 and max(block) <= 30999
        assert not block & seen
        seen |= block


def test_a_port_in_use_on_any_address_is_not_returned(monkeypatch):
    """Guards against a probe of one address while another one has the port."""
    port = free_port(2)
    monkeypatch.setattr(ports, "_assigned_ports", set())
    with socket.socket() as taken:
        taken.bind(("127.0.7.1", port))
        monkeypatch.setenv(PORTS_VARIABLE, f"{port}-{port + 1}")
        assert free_port() == port + 1
