"""What an entry believes that it may send to a version that is on trial."""

from acaciarelay.state.rollout import (
    CoordinatorRow,
    Phase,
    RolloutOrder,
    RolloutState,
)

__all__ = ["Permission"]


class Permission:
    """An entry's permission for one order.

    ``state`` is the end state of the order once the entry has seen it.
    """

    def __init__(
        self, order: RolloutOrder, ended: RolloutState = RolloutState.RUNNING
    ) -> None:
        """``ended`` is the end state if it is known already (``EndedOrders``)."""
        self.order = order
        self.state = ended
        self.epoch = 0

    def receive(
        self,
        epoch: int,
        phase: Phase,
        now: float,
        age_s: float | None = None,
        state: RolloutState = RolloutState.RUNNING,
    ) -> bool:
        """Take a permission of the coordinator; ``False`` if it was ignored."""
        raise NotImplementedError

    def receive_row(self, row: CoordinatorRow, version: int, read_at: float) -> bool:
        """Take the coordinator's row, read from ``read_at`` on."""
        raise NotImplementedError

    def receive_end(self, state: RolloutState, now: float) -> None:
        """Take the end state, from the status row or from ``EndConfirmed``."""
        raise NotImplementedError

    def record_answer(self, failed: bool) -> None:
        """Record the outcome of a request that this entry sent to the new version."""
        raise NotImplementedError

    def phase(self, now: float) -> Phase:
        """Return what may be sent to the new version now."""
        raise NotImplementedError

    def age_s(self, now: float) -> float:
        """Return the estimated time since the order was first seen by any entry."""
        raise NotImplementedError
