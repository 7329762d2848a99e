"""Phases of a caller's connection, and how it ends."""

import enum

__all__ = ["ClosedBy", "Phase"]


class ClosedBy(enum.StrEnum):
    """Who ended a connection; the values stand in logs."""

    CALLER = "caller"
    ENTRY = "entry"
    # The caller's host acknowledged nothing for too long.
    NETWORK = "network"


class Phase(enum.Enum):
    """What a connection does: wait, read a request, answer it, or close."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    RESPONSE = enum.auto()
    CLOSING = enum.auto()

    @property
    def reading(self) -> bool:
        """Return whether a request was begun that is not read completely."""
        return self in (Phase.HEAD, Phase.BODY)

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self.reading or self is Phase.RESPONSE
