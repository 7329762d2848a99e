"""Ports for processes that tests and measurements start."""

import os
import random
import socket

__all__ = ["PORTS_VARIABLE", "free_port", "worker_ports"]

# Name of the environment variable with the first and last port to use, as in
# "15000-31999". Test workers that run at the same time have separate ranges.
PORTS_VARIABLE = "RELAY_TEST_PORTS"
FIRST_PORT = 15_000
LAST_PORT = 31_999
DEFAULT_PORTS = f"{FIRST_PORT}-{LAST_PORT}"

_assigned_ports: set[int] = set()


def free_port(count: int = 1) -> int:
    """Return the first of ``count`` ports in a row that nothing is bound to.

    No port is returned twice. Ports from 32768 up are excluded, since the kernel
    assigns them to outgoing connections. Such a connection could take the port before
    the process binds it, or while the process restarts.
    """
    first, _, last = os.environ.get(PORTS_VARIABLE, DEFAULT_PORTS).partition("-")
    while True:
        start = random.SystemRandom().randrange(int(first), int(last) + 2 - count)
        ports = range(start, start + count)
        if not _assigned_ports.isdisjoint(ports):
            continue
        if all(_is_free(port) for port in ports):
            _assigned_ports.update(ports)
            return start


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            # On all addresses, since a fleet uses several loopback addresses.
            probe.bind(("", port))
        except OSError:
            return False
    return True


def worker_ports(worker: str, count: int) -> str:
    """Return the range of ports of one of ``count`` test workers.

    Workers are named "gw0", "gw1" and so on; any other name gets the whole range.
    """
    number = worker.removeprefix("gw")
    if not number.isdigit() or int(number) >= count:
        return DEFAULT_PORTS
    size = (LAST_PORT + 1 - FIRST_PORT) // count
    first = FIRST_PORT + int(number) * size
    return f"{first}-{first + size - 1}"
