"""Decode what endpoints say of themselves in the store and in their reports."""

import attrs
import orjson

from acaciarelay.platform.configuration import FormatError
from acaciarelay.state.endpoints import Endpoint

__all__ = ["EngineReport", "decode_endpoint", "decode_report"]

STATES = {"ready": False, "draining": True}


@attrs.frozen(kw_only=True)
class EngineReport:
    """Hold an engine's own account of its load; memory is in tokens."""

    running: int
    waiting: int
    memory_used: int
    memory_total: int


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Decode a registration; raises ``FormatError``."""
    try:
        raw = orjson.loads(data)
        address = raw["address"]
        host, _, port = address.rpartition(":")
        if not host or not isinstance(raw["service"], str):
            raise ValueError("address or service is not usable")
        int(port)
        started = raw.get("born")
        return Endpoint(
            endpoint_id=endpoint_id,
            service=raw["service"],
            address=address,
            zone=str(raw["zone"]),
            slots=int(raw["slots"]),
            draining=STATES[raw["state"]],
            started_ms=int(started) if started is not None else 0,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise FormatError(f"unreadable registration: {error!r}") from error


def decode_report(data: bytes) -> EngineReport:
    """Decode an engine's report; raises ``FormatError``."""
    try:
        raw = orjson.loads(data)
        return EngineReport(
            # The wire name says that requests are in flight, but waiting ones are not
            # counted in it.
            running=int(raw["inFlight"]),
            waiting=int(raw["waiting"]),
            memory_used=int(raw["kvUsed"]),
            memory_total=int(raw["kvTotal"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise FormatError(f"unreadable report: {error!r}") from error
