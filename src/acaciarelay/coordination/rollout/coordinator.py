"""Coordinator of a rollout: lease, phases and end of an order."""

from collections.abc import Iterable

from acaciarelay.coordination.rollout.steps import Action, Event
from acaciarelay.state.rollout import RolloutOrder, RolloutState, Verdict

__all__ = ["RolloutCoordinator", "counts_receivers"]


def counts_receivers(
    order: RolloutOrder, entries: Iterable[str], coordinator: str
) -> list[str]:
    """Return the entries that get the counts: the coordinator and its deputy.

    ``coordinator`` is the address of the one that sent the last permission; empty if
    none has.
    """
    raise NotImplementedError


class RolloutCoordinator:
    """State machine by which an entry coordinates an order, or stands by for that.

    Each entry has one for each order that has not ended. ``holder`` names this lifetime
    of the entry; ``ended`` is the end state if it is known (``EndedOrders``).
    """

    def __init__(
        self,
        order: RolloutOrder,
        entry: str,
        lifetime: str,
        now: float,
        ended: RolloutState = RolloutState.RUNNING,
    ) -> None:
        raise NotImplementedError

    @property
    def is_coordinator(self) -> bool:
        """Whether this entry holds the lease, as far as it knows."""
        raise NotImplementedError

    @property
    def verdict(self) -> Verdict:
        """Finding about the new version so far."""
        raise NotImplementedError

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return the actions that follow from it."""
        raise NotImplementedError
