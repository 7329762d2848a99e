"""The agent's queue: strict priority by tier, and fair queueing within a tier."""

import heapq

import attrs

from .load import TierCount
from .tier_queue import QueuedReservation, Reservation, TierQueue

__all__ = ["FairQueue", "Reservation"]

# The deadline heap is rebuilt when it has more than twice as many items as there are
# waiting reservations, plus this number.
COMPACT_SLACK = 64


class FairQueue:
    """Queue reservations by tier, then by deficit round robin over organisations.

    A tier is never served while a higher one has waiting reservations, even if the
    first of those needs more tokens than are free: short lower-tier work would
    otherwise keep taking the tokens that it needs.
    """

    def __init__(self, max_waiting: int, quantum_tokens: int) -> None:
        self.max_waiting = max_waiting
        self.quantum_tokens = quantum_tokens
        self._waiting: dict[str, QueuedReservation] = {}
        self._request_ids_by_entry: dict[str, dict[str, None]] = {}
        self._tiers: dict[int, TierQueue] = {}
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._waiting

    def add(self, reservation: Reservation) -> list[Reservation]:
        """Add a reservation and return those evicted, which may include it.

        A reservation that is already waiting is replaced. It keeps its position unless
        its tier, organisation, entry, tokens or ``last_resort`` flag changed.
        """
        waiting = self._waiting.get(reservation.request_id)
        if waiting is not None and self._update(waiting, reservation):
            return []
        self.remove(reservation.request_id)
        self._insert(QueuedReservation(reservation))
        evicted = []
        while len(self._waiting) > self.max_waiting:
            evicted.append(self._evict_one())
        return evicted

    def remove(self, request_id: str) -> Reservation | None:
        """Remove and return a reservation; ``None`` when it does not wait."""
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return None
        self._tiers[waiting.reservation.tier].remove(waiting.reservation)
        self._unindex(waiting.reservation)
        return waiting.reservation

    def dequeue(self, free_tokens: int, tier_floor: int | None) -> Reservation | None:
        """Remove and charge the next reservation that fits in the free tokens.

        Tiers numbered above ``tier_floor`` are not served. Returns ``None`` when
        nothing waits in the tiers that are served, or when neither the head nor a
        reservation that may bypass it fits.
        """
        tier = self._first_tier()
        if tier is None or (tier_floor is not None and tier > tier_floor):
            return None
        taken = self._tiers[tier].dequeue(free_tokens)
        if taken is None:
            return None
        self._unindex(taken.reservation)
        return taken.reservation

    def refund(self, reservation: Reservation) -> None:
        """Refund the charge of a taken reservation whose pull was denied.

        The reservation is not queued again: its request runs elsewhere or has ended.
        """
        self.correct_charge(
            reservation.organisation, reservation.tier, reservation.tokens, 0
        )

    def correct_charge(
        self, organisation: str, tier: int, estimated: int, actual: int
    ) -> None:
        """Replace an earlier charge of estimated tokens by the actual number."""
        self._tier(tier).charge(organisation, actual - estimated)

    def expire(self, now: float) -> list[Reservation]:
        """Remove and return the reservations whose deadline is reached."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, request_id = heapq.heappop(self._deadlines)
            waiting = self._waiting.get(request_id)
            if waiting is None or waiting.reservation.deadline != deadline:
                continue
            self.remove(request_id)
            expired.append(waiting.reservation)
        return expired

    def evict_below(self, tier: int) -> list[Reservation]:
        """Remove and return all reservations of tiers lower than the given one."""
        evicted = [
            waiting.reservation
            for waiting in self._waiting.values()
            if waiting.reservation.tier > tier
        ]
        for reservation in evicted:
            self.remove(reservation.request_id)
        return evicted

    def head(self) -> Reservation | None:
        """Return the next reservation in order, whether or not it fits."""
        tier = self._first_tier()
        if tier is None:
            return None
        waiting = self._tiers[tier].head()
        return waiting.reservation if waiting else None

    def remove_entry(self, entry_id: str) -> list[Reservation]:
        """Remove and return all reservations of an entry."""
        removed = []
        for request_id in list(self._request_ids_by_entry.get(entry_id, ())):
            reservation = self.remove(request_id)
            if reservation is not None:
                removed.append(reservation)
        return removed

    def has_entry(self, entry_id: str) -> bool:
        """Return whether a reservation of an entry waits."""
        return bool(self._request_ids_by_entry.get(entry_id))

    def waiting_counts(self) -> dict[int, TierCount]:
        """Return copies of the waiting counts of the tiers that have waiting work."""
        return {
            tier: attrs.evolve(queue.count)
            for tier, queue in sorted(self._tiers.items())
            if queue.count.waiting
        }

    def _update(self, waiting: QueuedReservation, reservation: Reservation) -> bool:
        """Replace a reservation in its position; ``False`` if it must move."""
        old = waiting.reservation
        same = (
            old.tier == reservation.tier
            and old.organisation == reservation.organisation
            and old.entry_id == reservation.entry_id
            and old.last_resort == reservation.last_resort
            and old.tokens == reservation.tokens
        )
        if same:
            waiting.reservation = reservation
            self._watch_deadline(reservation)
        return same

    def _insert(self, waiting: QueuedReservation) -> None:
        reservation = waiting.reservation
        self._waiting[reservation.request_id] = waiting
        request_ids = self._request_ids_by_entry.setdefault(reservation.entry_id, {})
        request_ids[reservation.request_id] = None
        self._tier(reservation.tier).add(waiting)
        self._watch_deadline(reservation)

    def _watch_deadline(self, reservation: Reservation) -> None:
        item = (reservation.deadline, reservation.request_id)
        heapq.heappush(self._deadlines, item)
        if len(self._deadlines) <= 2 * len(self._waiting) + COMPACT_SLACK:
            return
        self._deadlines = [
            (waiting.reservation.deadline, request_id)
            for request_id, waiting in self._waiting.items()
        ]
        heapq.heapify(self._deadlines)

    def _unindex(self, reservation: Reservation) -> None:
        del self._waiting[reservation.request_id]
        request_ids = self._request_ids_by_entry[reservation.entry_id]
        del request_ids[reservation.request_id]
        if not request_ids:
            del self._request_ids_by_entry[reservation.entry_id]

    def _tier(self, tier: int) -> TierQueue:
        if tier not in self._tiers:
            self._tiers[tier] = TierQueue(self.quantum_tokens)
        return self._tiers[tier]

    def _first_tier(self) -> int | None:
        waiting = (tier for tier, queue in self._tiers.items() if queue.count.waiting)
        return min(waiting, default=None)

    def _evict_one(self) -> Reservation:
        lowest = max(tier for tier, queue in self._tiers.items() if queue.count.waiting)
        candidate = self._tiers[lowest].eviction_candidate()
        assert candidate is not None, "a tier with waiting work has a candidate"
        self.remove(candidate.reservation.request_id)
        return candidate.reservation
