"""End states of orders that an entry has seen."""

import attrs

from acaciarelay.state.rollout import RolloutOrder, RolloutState

__all__ = ["EndedOrders"]

# Services whose last order is remembered; the oldest is forgotten first.
MAX_SERVICES = 256


@attrs.frozen
class _Ended:
    order: RolloutOrder
    state: RolloutState


class EndedOrders:
    """Remember the end of the last order of each service."""

    def __init__(self) -> None:
        self._ended: dict[str, _Ended] = {}

    def record(self, order: RolloutOrder, state: RolloutState) -> None:
        """Record the end state of an order; the first one stays."""
        if not state.is_end or self.state_of(order).is_end:
            return
        self._ended.pop(order.service, None)
        self._ended[order.service] = _Ended(order, state)
        if len(self._ended) > MAX_SERVICES:
            del self._ended[next(iter(self._ended))]

    def state_of(self, order: RolloutOrder) -> RolloutState:
        """Return the state that is known of an order; ``RUNNING`` if no end is.

        To be asked whenever an order is first seen. A store that was restored from an
        older copy shows the order with another revision, of a later era; there, each
        order that asks for the same is taken for the one that has ended. Within the
        era of its end, an order that asks for the same once more is a new one.
        """
        ended = self._ended.get(order.service)
        if ended is None:
            return RolloutState.RUNNING
        if order.revision == ended.order.revision:
            return ended.state
        restored = order.revision.era != ended.order.revision.era
        if restored and order.repeats(ended.order):
            return ended.state
        return RolloutState.RUNNING
