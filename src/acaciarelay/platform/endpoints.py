"""Decode endpoint registrations from the store, and engines' reports of their load."""

import attrs
import orjson

from acaciarelay.platform.configuration import FormatError
from acaciarelay.state.endpoints import Endpoint

__all__ = ["EngineReport", "decode_endpoint", "decode_report"]

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
    """Decode an endpoint's registration; raises ``FormatError``."""
    try:
        raw = orjson.loads(data)
        address = raw["address"]
        host, _, port = address.rpartition(":")
        if not host or not isinstance(raw["service"], str):
            raise ValueError("address or service is not usable")
        # Raises ``ValueError`` unless the port is a number.
        int(port)
        started = raw.get("born")
        return Endpoint(
            endpoint_id=endpoint_id,
            service=raw["service"],
            address=address,
            zone=str(raw["zone"]),
            slots=int(raw["slots"]),
            draining=DRAINING_BY_STATE[raw["state"]],
            started_ms=int(started) if started is not None else 0,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise FormatError(f"unreadable registration: {error!r}") from error


def decode_report(data: bytes) -> EngineReport:
    """Decode an engine's report; raises ``FormatError``."""
    try:
        raw = orjson.loads(data)
        return EngineReport(
            # Despite its name, inFlight excludes waiting requests.
            running=int(raw["inFlight"]),
            waiting=int(raw["waiting"]),
            memory_used=int(raw["kvUsed"]),
            memory_total=int(raw["kvTotal"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise FormatError(f"unreadable report: {error!r}") from error
