"""End states of orders that an entry has seen."""

from acaciarelay.state.rollout import RolloutOrder, RolloutState

__all__ = ["EndedOrders"]


class EndedOrders:
    """Remember the end of the last order of each service."""

    def record(self, order: RolloutOrder, state: RolloutState) -> None:
        """Record the end state of an order; the first one stays."""
        raise NotImplementedError

    def state_of(self, order: RolloutOrder) -> RolloutState:
        """Return the state that is known of an order; ``RUNNING`` if no end is.

        To be asked whenever an order is first seen.
        """
        raise NotImplementedError
