"""Decode endpoint registrations from the store, and engines' reports of their load."""

import ipaddress
from typing import Any

import attrs
import orjson

from acaciarelay.platform.configuration import FormatError
from acaciarelay.state.cached_table import WriterOrder
from acaciarelay.state.endpoints import Endpoint

__all__ = [
    "EngineReport",
    "decode_endpoint",
    "decode_report",
    "is_drain",
    "registration_order",
]

MAX_PORT = 65_535
MAX_SLOTS = 65_536
MAX_VERSION = 256
# Most requests that an engine may report in either state.
MAX_REPORTED_REQUESTS = 1_000_000
# A larger number is not exact in all JSON libraries.
MAX_EXACT_NUMBER = 2**53
DRAINING_BY_STATE = {"ready": False, "draining": True}


@attrs.frozen(kw_only=True)
class EngineReport:
    """Load that an engine reports.

    ``memory_used`` and ``memory_total`` are the used and the total capacity of its KV
    cache, in tokens.
    """

    running: int
    waiting: int
    memory_used: int
    memory_total: int


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Decode an endpoint's registration; raises ``FormatError``.

    A row of another writer may hold anything; its figures are used by calculations and
    its address by connects, which expect them within their bounds.
    """
    try:
        raw = orjson.loads(data)
        return Endpoint(
            endpoint_id=endpoint_id,
            service=_text(raw["service"]),
            address=_address(raw["address"]),
            zone=_text(raw["zone"]),
            slots=_whole(raw["slots"], 1, MAX_SLOTS),
            draining=DRAINING_BY_STATE[_text(raw["state"])],
            started_ms=_whole(raw.get("born", 0), 0, MAX_EXACT_NUMBER),
            version=_version(raw.get("version")),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise FormatError(f"unreadable registration: {error!r}") from error


def registration_order(data: bytes) -> WriterOrder | None:
    """Return the endpoint's own order of a registration: its start, then its writes.

    ``None`` stands for one without a readable order. An endpoint that drains does not
    become ready again before its next start.
    """
    try:
        raw = orjson.loads(data)
        started_ms = _whole(raw["born"], 0, MAX_EXACT_NUMBER)
        sequence = _whole(raw["seq"], 0, MAX_EXACT_NUMBER)
        draining = DRAINING_BY_STATE[_text(raw["state"])]
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return WriterOrder(started_ms, (int(draining), sequence))


def is_drain(order: WriterOrder) -> bool:
    """Return whether a registration with this order says that the endpoint drains."""
    return order.position[0] == 1


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a field is no text")
    return value


def _version(value: Any) -> str:
    """Return the version of an endpoint's software, empty if it is unreadable."""
    if not isinstance(value, str) or len(value) > MAX_VERSION:
        return ""
    return value


def _whole(value: Any, least: int, most: int) -> int:
    """Return a whole number within bounds; raises ``ValueError``."""
    if type(value) is not int or not least <= value <= most:
        raise ValueError(f"a field is no whole number from {least} to {most}")
    return value


def _address(value: Any) -> str:
    """Return ``IP:PORT`` of one host; raises ``ValueError``."""
    host, _, port = _text(value).rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError(f"{host} is not the address of one host")
    if not (port.isascii() and port.isdigit()):
        raise ValueError("the port is no number")
    _whole(int(port), 1, MAX_PORT)
    return f"{ip}:{int(port)}"


def decode_report(data: bytes) -> EngineReport:
    """Decode an engine's report; raises ``FormatError``."""
    try:
        raw = orjson.loads(data)
        return EngineReport(
            # Despite its name, inFlight excludes waiting requests.
            running=_whole(raw["inFlight"], 0, MAX_REPORTED_REQUESTS),
            waiting=_whole(raw["waiting"], 0, MAX_REPORTED_REQUESTS),
            memory_used=_whole(raw["kvUsed"], 0, MAX_EXACT_NUMBER),
            memory_total=_whole(raw["kvTotal"], 0, MAX_EXACT_NUMBER),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise FormatError(f"unreadable report: {error!r}") from error
