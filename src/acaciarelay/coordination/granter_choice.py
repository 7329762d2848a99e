"""Which engines have no agent in reach, and which entry grants their slots instead."""

from collections.abc import Iterable, Mapping

import attrs

from acaciarelay.coordination.placement.rendezvous import choose_subset

__all__ = ["AgentAbsences", "LiveEntry", "granter_order"]

# An engine gets no granter until its agent had this time to be reached first, as
# processes that start together link to each other one after the other.
FIRST_LINK_S = 1.0
# After the loss of a link the agent has this time to be reached again, as long as other
# agents are reached: a broken link is dialled again after 0.25 s.
RELINK_S = 0.4
# The same when no agent is reached. The other entries notice within this time, too, and
# do not grant before.
RELINK_ALONE_S = 0.05
# Entries that are considered for one engine: the granter, its deputy, and one more.
MAX_GRANTERS = 3


@attrs.frozen
class LiveEntry:
    """An entry that may grant slots; ``address`` is the one for its peers."""

    address: str
    zone: str


def granter_order(
    engine: str, zone: str, entries: Iterable[LiveEntry], regions: Mapping[str, str]
) -> list[str]:
    """Return the addresses of the granter of an engine and of its deputies.

    Entries of the engine's zone come first, then those of its region, each in the order
    that the engine's host gives them by rendezvous hashing.
    """
    by_distance: list[list[str]] = [[], [], []]
    for entry in entries:
        by_distance[_distance(zone, entry.zone, regions)].append(entry.address)
    order: list[str] = []
    for addresses in by_distance:
        if len(order) < MAX_GRANTERS:
            order += choose_subset(engine, addresses, MAX_GRANTERS - len(order))
    return order


def _distance(zone: str, other: str, regions: Mapping[str, str]) -> int:
    if zone == other:
        return 0
    region = regions.get(zone)
    return 1 if region is not None and region == regions.get(other) else 2


@attrs.define
class _Absence:
    since: float
    was_linked: bool


class AgentAbsences:
    """Engines by host whose agent is out of reach, and since when.

    An engine needs a granter once its agent was not reached for ``FIRST_LINK_S`` after
    the engine became known, or once a lost link was not opened again for ``RELINK_S``
    (``RELINK_ALONE_S`` while no agent at all is reached).
    """

    def __init__(self) -> None:
        self.linked: set[str] = set()
        self._absent: dict[str, _Absence] = {}

    def __bool__(self) -> bool:
        """Return whether any agent is out of reach."""
        return bool(self._absent)

    def add(self, host: str, now: float) -> None:
        """Add an engine whose agent is dialled for the first time."""
        if host not in self.linked and host not in self._absent:
            self._absent[host] = _Absence(now, False)

    def remove(self, host: str) -> None:
        """Remove an engine that is no longer registered."""
        self._absent.pop(host, None)
        self.linked.discard(host)

    def record_link(self, host: str) -> None:
        """Record that the agent beside an engine is reached."""
        self._absent.pop(host, None)
        self.linked.add(host)

    def record_loss(self, host: str, now: float) -> None:
        """Record that the link to an agent was lost."""
        if host in self.linked:
            self.linked.discard(host)
            self._absent[host] = _Absence(now, True)

    def needs_granter(self, host: str, now: float) -> bool:
        """Return whether an engine's agent was out of reach for long enough."""
        absence = self._absent.get(host)
        return absence is not None and now >= absence.since + self._limit_s(absence)

    def absent(self) -> list[str]:
        """Return the engines whose agent is out of reach."""
        return list(self._absent)

    def is_just_lost(self, host: str, now: float) -> bool:
        """Return whether a link was lost and the engine has no granter yet."""
        absence = self._absent.get(host)
        if absence is None or not absence.was_linked:
            return False
        return not self.needs_granter(host, now)

    def next_due_s(self, now: float) -> float | None:
        """Return the seconds until the next engine needs a granter, if one will."""
        due = [
            absence.since + self._limit_s(absence) - now
            for absence in self._absent.values()
        ]
        return min((left_s for left_s in due if left_s > 0), default=None)

    def _limit_s(self, absence: _Absence) -> float:
        if not absence.was_linked:
            return FIRST_LINK_S
        return RELINK_S if self.linked else RELINK_ALONE_S
