"""Prefix hashes, and hints about where a prefix is cached."""

from collections import OrderedDict

import attrs
import xxhash

__all__ = ["PrefixIndex", "prefix_hash"]

BLOCK_BYTES = 1024
# Hints from before a gap in the event sequence stay valid for this time. Many gaps are
# only late events, and a wrong hint costs less than an unused cache.
GAP_GRACE_S = 5.0
# Largest number of sequence numbers by which a late event may be behind the newest one.
# An event further behind is a sign that the engine has restarted.
MAX_REORDER = 10_000


def prefix_hash(model: str, text: bytes) -> int:
    """Return a 64-bit hash of the model and the first 1 KiB; 0 for an empty text."""
    if not text:
        return 0
    digest = xxhash.xxh3_64(model.encode())
    digest.update(b"\0")
    digest.update(text[:BLOCK_BYTES])
    # 0 stands for "no prefix" in reservations.
    return digest.intdigest() or 1


@attrs.define(eq=False)
class _EngineSequence:
    """Position in the event sequence of one engine.

    Hints from events before ``min_valid_sequence`` are invalid; those from events
    before ``gap_sequence`` become invalid at ``gap_until``.
    """

    last_sequence: int = -1
    min_valid_sequence: int = 0
    gap_sequence: int = 0
    gap_until: float | None = None

    def advance(self, sequence: int, now: float) -> None:
        """Move to a sequence number and record a gap before it."""
        self.apply_gap(now)
        gap = self.last_sequence >= 0 and sequence > self.last_sequence + 1
        self.last_sequence = max(self.last_sequence, sequence)
        if gap:
            self.gap_sequence = sequence
            if self.gap_until is None:
                self.gap_until = now + GAP_GRACE_S

    def apply_gap(self, now: float) -> None:
        if self.gap_until is not None and now >= self.gap_until:
            self.min_valid_sequence = self.gap_sequence
            self.gap_until = None


class PrefixIndex:
    """Map prefix hashes to the engines that hold them, by hints from cache events.

    Late, repeated or missing events raise no exception, but hints may then be missing,
    or stay wrong until ``GAP_GRACE_S`` after the gap in the sequence is noticed. The
    least recently used prefixes are dropped first.
    """

    def __init__(self, max_prefixes: int) -> None:
        self.max_prefixes = max_prefixes
        self._hints: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._engines: dict[str, _EngineSequence] = {}

    def __len__(self) -> int:
        return len(self._hints)

    def record_stored(
        self, engine_id: str, sequence: int, prefix: int, now: float
    ) -> None:
        """Record that an engine stored a prefix; late events are ignored.

        A late event may be older than an eviction that has already been seen.
        """
        state = self._sequence_of(engine_id, sequence)
        if sequence <= state.last_sequence:
            return
        state.advance(sequence, now)
        self._hints.setdefault(prefix, {})[engine_id] = sequence
        self._hints.move_to_end(prefix)
        while len(self._hints) > self.max_prefixes:
            self._hints.popitem(last=False)

    def record_evicted(
        self, engine_id: str, sequence: int, prefix: int, now: float
    ) -> None:
        """Record that an engine evicted a prefix; hints from later events are kept."""
        state = self._sequence_of(engine_id, sequence)
        state.advance(sequence, now)
        holders = self._hints.get(prefix, {})
        if holders.get(engine_id, sequence) < sequence:
            self._drop(prefix, engine_id)

    def holders(self, prefix: int, now: float) -> list[str]:
        """Return the engines that probably hold a prefix.

        The order is that in which they came to hold it; storing it again does not
        change their place.
        """
        for engine_id in list(self._hints.get(prefix, ())):
            state = self._engines[engine_id]
            state.apply_gap(now)
            if self._hints[prefix][engine_id] < state.min_valid_sequence:
                self._drop(prefix, engine_id)
        if prefix not in self._hints:
            return []
        self._hints.move_to_end(prefix)
        return list(self._hints[prefix])

    def forget(self, engine_id: str) -> None:
        """Remove an engine that restarted or left; its sequence numbers start again."""
        self._engines.pop(engine_id, None)
        for prefix in [
            key for key, engine_ids in self._hints.items() if engine_id in engine_ids
        ]:
            self._drop(prefix, engine_id)

    def _sequence_of(self, engine_id: str, sequence: int) -> _EngineSequence:
        state = self._engines.get(engine_id)
        if state is not None and sequence < state.last_sequence - MAX_REORDER:
            self.forget(engine_id)
        return self._engines.setdefault(engine_id, _EngineSequence())

    def _drop(self, prefix: int, engine_id: str) -> None:
        engine_ids = self._hints[prefix]
        del engine_ids[engine_id]
        if not engine_ids:
            del self._hints[prefix]
