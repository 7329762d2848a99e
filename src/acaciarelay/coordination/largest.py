"""A map with fast look-up of the key that has the largest value."""

import heapq

__all__ = ["LargestKey"]

# The heap is rebuilt when it has more than twice as many items as there are keys, plus
# this number.
COMPACT_SLACK = 64


class LargestKey:
    """Map keys to positive amounts and find the key with the largest one.

    ``set`` and ``largest`` take amortised O(log n). Each key has at least one heap
    item that is not below its amount; ``largest`` lowers items that are too high.
    """

    def __init__(self) -> None:
        self.amounts: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def set(self, key: str, amount: float) -> None:
        """Set the amount of a key; an amount of 0 or less removes the key."""
        if amount <= 0:
            self.amounts.pop(key, None)
            self._compact()
            return
        previous = self.amounts.get(key, 0)
        self.amounts[key] = amount
        if amount > previous:
            heapq.heappush(self._heap, (-amount, key))
            self._compact()

    def largest(self) -> str | None:
        """Return the key with the largest amount, or ``None`` when there is no key."""
        while self._heap:
            stored, key = self._heap[0]
            amount = self.amounts.get(key)
            if amount is None:
                heapq.heappop(self._heap)
                continue
            if amount == -stored:
                return key
            heapq.heapreplace(self._heap, (-amount, key))
        return None

    def _compact(self) -> None:
        if len(self._heap) <= 2 * len(self.amounts) + COMPACT_SLACK:
            return
        self._heap = [(-amount, key) for key, amount in self.amounts.items()]
        heapq.heapify(self._heap)
