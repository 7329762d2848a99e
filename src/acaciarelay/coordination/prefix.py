"""Prefix hashes, and hints about where a prefix is cached."""

from collections import OrderedDict

import attrs
import xxhash

__all__ = ["PrefixIndex", "prefix_hash"]

BLOCK_BYTES = 1024
# Hints from before a gap in the event sequence stay valid for this time. Many gaps are
# only late events, and a wrong hint costs less than an unused cache.
GAP_GRACE_S = 5.0
# An event further behind the last one comes from a restarted engine and is not late.
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
class _Source:
    """Position in the event sequence of one engine.

    Hints below ``floor`` are invalid; those below ``gap`` become invalid at
    ``gap_until``.
    """

    last: int = -1
    floor: int = 0
    gap: int = 0
    gap_until: float | None = None

    def advance(self, sequence: int, now: float) -> None:
        """Move to a sequence number and record a gap before it."""
        self.apply_gap(now)
        gap = self.last >= 0 and sequence > self.last + 1
        self.last = max(self.last, sequence)
        if gap:
            self.gap = sequence
            if self.gap_until is None:
                self.gap_until = now + GAP_GRACE_S

    def apply_gap(self, now: float) -> None:
        if self.gap_until is not None and now >= self.gap_until:
            self.floor = self.gap
            self.gap_until = None


class PrefixIndex:
    """Map prefix hashes to the engines that hold them, by hints from cache events.

    Events may be late, repeated or missing; the index then holds fewer hints and never
    raises. The least recently used prefixes are dropped first.
    """

    def __init__(self, max_prefixes: int) -> None:
        self.max_prefixes = max_prefixes
        self._hints: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        return len(self._hints)

    def stored(self, source: str, sequence: int, prefix: int, now: float) -> None:
        """Record that an engine stored a prefix; late events are ignored.

        A late event may be older than an eviction that has already been seen.
        """
        state = self._source(source, sequence)
        if sequence <= state.last:
            return
        state.advance(sequence, now)
        self._hints.setdefault(prefix, {})[source] = sequence
        self._hints.move_to_end(prefix)
        while len(self._hints) > self.max_prefixes:
            self._hints.popitem(last=False)

    def evicted(self, source: str, sequence: int, prefix: int, now: float) -> None:
        """Record that an engine evicted a prefix; hints from later events are kept."""
        state = self._source(source, sequence)
        state.advance(sequence, now)
        holders = self._hints.get(prefix, {})
        if holders.get(source, sequence) < sequence:
            self._drop(prefix, source)

    def holders(self, prefix: int, now: float) -> list[str]:
        """Return the engines that probably hold a prefix, the latest one last."""
        for source in list(self._hints.get(prefix, ())):
            state = self._sources[source]
            state.apply_gap(now)
            if self._hints[prefix][source] < state.floor:
                self._drop(prefix, source)
        if prefix not in self._hints:
            return []
        self._hints.move_to_end(prefix)
        return list(self._hints[prefix])

    def forget(self, source: str) -> None:
        """Remove an engine that restarted or left; its sequence numbers start again."""
        self._sources.pop(source, None)
        for prefix in [
            key for key, sources in self._hints.items() if source in sources
        ]:
            self._drop(prefix, source)

    def _source(self, source: str, sequence: int) -> _Source:
        state = self._sources.get(source)
        if state is not None and sequence < state.last - MAX_REORDER:
            self.forget(source)
        return self._sources.setdefault(source, _Source())

    def _drop(self, prefix: int, source: str) -> None:
        sources = self._hints[prefix]
        del sources[source]
        if not sources:
            del self._hints[prefix]
