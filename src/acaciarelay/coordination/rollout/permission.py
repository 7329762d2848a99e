"""What an entry believes that it may send to a version that is on trial."""

import math

from acaciarelay.state.rollout import (
    CoordinatorRow,
    Phase,
    RolloutOrder,
    RolloutState,
)

__all__ = ["Permission"]

# Time for which a permission is valid from its receipt.
VALIDITY_S = 2.0
# A permission that took this much longer than the fastest one of its epoch has waited
# somewhere, as in the socket of a process that was paused; its age counts in full.
USUAL_DELAY_S = 0.25
# Failures in a row, all seen by this entry, after which it stops by itself. A good
# version fails that often in a row once in 10^6 requests even if a tenth fail.
BREAKER_FAILURES = 6


class Permission:
    """An entry's permission for one order.

    ``state`` is the end state of the order once the entry has seen it.
    """

    def __init__(
        self, order: RolloutOrder, ended: RolloutState = RolloutState.RUNNING
    ) -> None:
        """Begin without permission.

        ``ended`` is the end state if it is known already (``EndedOrders``).
        """
        self.order = order
        self.state = ended
        self.ended_at = -math.inf
        self.epoch = 0
        self.consecutive_failures = 0
        self.tripped = False
        self._phase = Phase.NONE
        self._received_at = -math.inf
        # The most that the age of the order in a message was ahead of this clock.
        self._age_lead_s = -math.inf
        self._row_version = 0
        self._row_read_at = math.inf

    def receive(
        self,
        epoch: int,
        phase: Phase,
        now: float,
        age_s: float | None = None,
        state: RolloutState = RolloutState.RUNNING,
    ) -> bool:
        """Take a permission of the coordinator; ``False`` if it was ignored.

        ``age_s`` is the time since the order was first seen, as of the message.
        """
        if self.state.is_end:
            return False
        if phase is Phase.ENDED:
            if not state.is_end:
                return False
            self.receive_end(state, now)
            return True
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.epoch = epoch
            self._age_lead_s = -math.inf
            self._received_at = -math.inf
        received_at = now - self._delay_s(age_s, now)
        if received_at < self._received_at:
            return False
        self._accept(phase, received_at)
        return True

    def _delay_s(self, age_s: float | None, now: float) -> float:
        """Return how long a message waited, beyond the usual delay."""
        if age_s is None:
            return 0.0
        lead_s = age_s - now
        self._age_lead_s = max(self._age_lead_s, lead_s)
        delay_s = self._age_lead_s - lead_s
        return delay_s if delay_s > USUAL_DELAY_S else 0.0

    def _accept(self, phase: Phase, received_at: float) -> None:
        if phase is Phase.FULL and self._phase is not Phase.FULL:
            # The coordinator has decided with the failures that tripped the breaker.
            self.tripped = False
            self.consecutive_failures = 0
        self._phase = phase
        self._received_at = received_at

    def receive_row(self, row: CoordinatorRow, version: int, read_at: float) -> bool:
        """Take the coordinator's row, read from ``read_at`` on; ``False`` if ignored.

        The row counts as a permission when it was written between two reads, and from
        the earlier read on, since it may be that old. The end state is in the status
        row only.
        """
        last_version, last_read_at = self._row_version, self._row_read_at
        self._row_version, self._row_read_at = version, read_at
        if row.order != self.order.revision or row.phase is Phase.ENDED:
            return False
        if version == last_version or last_read_at >= read_at or self.state.is_end:
            return False
        if row.epoch < self.epoch:
            return False
        if row.epoch == self.epoch and last_read_at < self._received_at:
            return False
        if row.epoch > self.epoch:
            self._age_lead_s = -math.inf
        self.epoch = row.epoch
        self._accept(row.phase, last_read_at)
        return True

    def receive_end(self, state: RolloutState, now: float) -> None:
        """Take the end state, from the status row or from ``EndConfirmed``."""
        if state.is_end and not self.state.is_end:
            self.state = state
            self.ended_at = now

    def record_answer(self, failed: bool) -> None:
        """Record the outcome of a request that this entry sent to the new version."""
        if not failed:
            self.consecutive_failures = 0
            return
        self.consecutive_failures += 1
        if self.consecutive_failures >= BREAKER_FAILURES:
            self.tripped = True

    def phase(self, now: float) -> Phase:
        """Return what may be sent to the new version now."""
        if self.state.is_end:
            return Phase.ENDED
        if self.tripped or not 0.0 <= now - self._received_at < VALIDITY_S:
            return Phase.NONE
        return self._phase

    def age_s(self, now: float) -> float:
        """Return the estimated time since the order was first seen by any entry."""
        return max(0.0, now + self._age_lead_s) if self._age_lead_s > -math.inf else 0.0
