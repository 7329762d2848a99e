"""Deficit round robin over the organisations of one tier.

Rounds are numbered. In each round an organisation may spend ``quantum * weight``
tokens; what it spends beyond that is a deficit that moves it to a later round. A heap
ordered by round number avoids visiting organisations with a deficit in every round, so
that a step takes O(log n) whatever the request lengths are.

Within a round the organisations are served one request at a time. With a full quantum
per turn, an organisation with many short requests would run all of them before an
organisation with a single one.
"""

import heapq
from collections import OrderedDict

import attrs

from .largest import LargestKey
from .load import TierCount

__all__ = ["QueuedReservation", "Reservation", "TierQueue"]

# A reservation at the head that does not fit is bypassed by smaller ones at most this
# many times; after that nothing is taken until it fits.
MAX_BYPASSES = 4
# Organisations behind a blocked head that are examined for a reservation that fits.
BYPASS_LOOKAHEAD = 4
# Idle organisations are removed when the number of organisations has doubled since the
# last removal and is at least this. The heap of turns is rebuilt when it has more than
# twice as many items as organisations have waiting work, plus this number.
MIN_SWEEP = 256


@attrs.define
class Reservation:
    """A request that waits at an agent; tier 0 is the most urgent.

    ``tokens`` is the estimate of prompt and answer, ``queued_at`` and ``deadline`` are
    monotonic seconds, ``waited_s`` is the wait before ``queued_at``. ``repeatable``
    means that the request may run more than once, so its run may be cancelled;
    ``last_resort`` marks the attempt that the entry makes before it sheds the request.
    ``prefix_hash`` is 0 for a request without a prefix. A queue keeps sums over its
    reservations, so a queued reservation must not be changed.
    """

    request_id: str
    entry_id: str
    pool: str
    tier: int
    organisation: str
    weight: int
    tokens: int
    prompt_tokens: int
    prefix_hash: int
    repeatable: bool
    last_resort: bool
    queued_at: float
    deadline: float
    wait_budget_s: float
    waited_s: float


@attrs.define(eq=False)
class QueuedReservation:
    """A queued reservation and how often smaller ones have bypassed it."""

    reservation: Reservation
    bypasses: int = 0


@attrs.define(eq=False)
class _Organisation:
    """An organisation's queue, its round and its credit in that round."""

    name: str
    weight: int
    round: int
    credit: float
    queue: OrderedDict[str, QueuedReservation] = attrs.field(factory=OrderedDict)
    tokens: int = 0
    # Position of the valid heap item; -1 if there is none. Items with another position
    # are obsolete and are skipped.
    position: int = -1

    def first(self) -> QueuedReservation:
        return next(iter(self.queue.values()))


class TierQueue:
    """Queue the reservations of one tier; last-resort ones are served first."""

    def __init__(self, quantum_tokens: int) -> None:
        self.quantum = max(1, quantum_tokens)
        self.round = 0
        self._latest_round = 0
        self.count = TierCount()
        self.last_resort: OrderedDict[str, QueuedReservation] = OrderedDict()
        self._organisations: dict[str, _Organisation] = {}
        # Heap of round, position and organisation.
        self._turns: list[tuple[int, int, _Organisation]] = []
        self._largest = LargestKey()
        self._next_position = 0
        # Organisations with waiting work, apart from last-resort reservations.
        self._active = 0
        self._sweep_at = MIN_SWEEP

    def add(self, waiting: QueuedReservation) -> None:
        """Append a reservation to the queue of its organisation."""
        reservation = waiting.reservation
        self.count.waiting += 1
        self.count.waiting_tokens += reservation.tokens
        if reservation.last_resort:
            self.last_resort[reservation.request_id] = waiting
            return
        organisation = self._get_organisation(reservation.organisation)
        organisation.weight = max(1, reservation.weight)
        organisation.queue[reservation.request_id] = waiting
        organisation.tokens += reservation.tokens
        self._largest.set(organisation.name, organisation.tokens)
        if len(organisation.queue) == 1:
            self._active += 1
            self._schedule(organisation)

    def remove(self, reservation: Reservation) -> None:
        """Remove a waiting reservation without a charge."""
        self.count.waiting -= 1
        self.count.waiting_tokens -= reservation.tokens
        if not self.count.waiting:
            # Start a round after those of all organisations, which cancels their
            # deficits: nothing waits that they would have to give way to.
            self.round = self._latest_round + 1
        if reservation.last_resort:
            del self.last_resort[reservation.request_id]
            return
        organisation = self._organisations[reservation.organisation]
        del organisation.queue[reservation.request_id]
        organisation.tokens -= reservation.tokens
        self._largest.set(organisation.name, organisation.tokens)
        if not organisation.queue:
            self._active -= 1
            organisation.position = -1

    def head(self) -> QueuedReservation | None:
        """Return the next reservation in order, whether or not it fits."""
        if self.last_resort:
            return next(iter(self.last_resort.values()))
        organisation = self._next_organisation()
        return organisation.first() if organisation else None

    def dequeue(self, free_tokens: int) -> QueuedReservation | None:
        """Remove, charge and return the next reservation that fits.

        That is the head, or a smaller one that may bypass it. Returns ``None`` when
        neither fits.
        """
        head = self.head()
        if head is None:
            return None
        chosen: QueuedReservation | None = head
        if head.reservation.tokens > free_tokens:
            chosen = self._find_bypass(head, free_tokens)
        if chosen is None:
            return None
        reservation = chosen.reservation
        organisation = self._get_organisation(reservation.organisation)
        # A last-resort reservation is taken out of order and must not advance the
        # round, which would cancel the deficits of all other organisations.
        if chosen is head and not reservation.last_resort:
            self.round = max(self.round, organisation.round)
        self.remove(reservation)
        organisation.weight = max(1, reservation.weight)
        self._spend(organisation, reservation.tokens)
        self._schedule(organisation)
        return chosen

    def charge(self, name: str, tokens: int) -> None:
        """Charge tokens to an organisation, or refund them when negative."""
        organisation = self._organisations.get(name)
        if organisation is None and tokens <= 0:
            return
        organisation = organisation or self._get_organisation(name)
        before = organisation.round
        self._spend(organisation, tokens)
        if organisation.round != before:
            self._schedule(organisation)

    def eviction_candidate(self) -> QueuedReservation | None:
        """Return the newest reservation of the organisation with most waiting tokens.

        Last-resort reservations are the entry's final attempt for a request, so they
        are candidates only when nothing else waits in the tier.
        """
        name = self._largest.largest()
        if name is not None:
            return next(reversed(self._organisations[name].queue.values()))
        if self.last_resort:
            return next(reversed(self.last_resort.values()))
        return None

    def _find_bypass(
        self, head: QueuedReservation, free_tokens: int
    ) -> QueuedReservation | None:
        """Find a reservation that fits and may bypass the blocked head."""
        if head.reservation.last_resort or head.bypasses >= MAX_BYPASSES:
            return None
        examined: list[tuple[int, int, _Organisation]] = []
        found = None
        while self._turns and len(examined) <= BYPASS_LOOKAHEAD:
            turn = heapq.heappop(self._turns)
            if turn[1] != turn[2].position:
                continue
            examined.append(turn)
            if turn[2].first().reservation.tokens <= free_tokens:
                found = turn[2].first()
                break
        for turn in examined:
            heapq.heappush(self._turns, turn)
        if found is not None:
            head.bypasses += 1
        return found

    def _get_organisation(self, name: str) -> _Organisation:
        """Return an organisation's state; a new one starts without a deficit."""
        organisation = self._organisations.get(name)
        if organisation is None:
            self._sweep()
            organisation = _Organisation(name, 1, self.round - 1, 0.0)
            self._organisations[name] = organisation
        return organisation

    def _spend(self, organisation: _Organisation, tokens: int) -> None:
        """Subtract tokens and move to the round in which the credit covers them."""
        self._renew_credit(organisation)
        share = self.quantum * organisation.weight
        credit = organisation.credit - tokens
        rounds = 0
        if credit <= 0:
            rounds = int(-credit // share) + 1
        elif credit > share:
            rounds = -int(-(-(credit - share) // share))
        organisation.round += rounds
        organisation.credit = credit + rounds * share
        self._latest_round = max(self._latest_round, organisation.round)
        self._renew_credit(organisation)

    def _renew_credit(self, organisation: _Organisation) -> None:
        """Grant a new quantum to an organisation whose round is past.

        Credit that was not spent in its round expires, so that an organisation with an
        empty queue cannot save up for a burst.
        """
        if organisation.round >= self.round:
            return
        organisation.round = self.round
        organisation.credit = float(self.quantum * organisation.weight)

    def _schedule(self, organisation: _Organisation) -> None:
        """Append an organisation with waiting work to its round."""
        if not organisation.queue:
            return
        self._renew_credit(organisation)
        organisation.position = self._next_position
        self._next_position += 1
        turn = (organisation.round, organisation.position, organisation)
        heapq.heappush(self._turns, turn)
        if len(self._turns) > 2 * self._active + MIN_SWEEP:
            self._turns = [item for item in self._turns if item[1] == item[2].position]
            heapq.heapify(self._turns)

    def _next_organisation(self) -> _Organisation | None:
        while self._turns:
            _, position, organisation = self._turns[0]
            if position == organisation.position:
                return organisation
            heapq.heappop(self._turns)
        return None

    def _sweep(self) -> None:
        """Remove idle organisations without a deficit, at amortised constant cost."""
        if len(self._organisations) < self._sweep_at:
            return
        self._organisations = {
            name: organisation
            for name, organisation in self._organisations.items()
            if organisation.queue or organisation.round >= self.round
        }
        self._sweep_at = max(MIN_SWEEP, 2 * len(self._organisations))
