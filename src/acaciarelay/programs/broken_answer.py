"""Outcome of an attempt whose connection to the endpoint failed."""

from acaciarelay.state.relayed_request import Broken
from acaciarelay.transport.endpoint_call import ConnectionFault, FaultKind

__all__ = ["broken_by"]

# Faults with which a connection ends when its endpoint does; an answer that is cut off
# is malformed.
DISCONNECTIONS = frozenset([FaultKind.RESET, FaultKind.CLOSED, FaultKind.MALFORMED])


def broken_by(fault: ConnectionFault) -> Broken:
    """Return the outcome of an attempt that ended with a fault."""
    return Broken(
        str(fault),
        disconnected=fault.kind in DISCONNECTIONS,
        silent=fault.kind is FaultKind.SILENT,
    )
