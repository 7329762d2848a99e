"""Speed, batch, prefix cache and cache events of the engine stand-in."""

import asyncio
import collections
import random
import time
from collections.abc import Callable

import attrs
import xxhash

__all__ = [
    "Batch",
    "CacheEvent",
    "EngineSpeed",
    "EventLog",
    "LaggedLoad",
    "LoadReport",
    "PrefixCache",
    "block_hashes",
]

BLOCK_BYTES = 1_024
BLOCK_TOKENS = BLOCK_BYTES // 4
MAX_EVENTS = 10_000


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Rates in tokens/s of an engine without other streams.

    ``slowdown`` is the share by which each further stream lengthens the token interval.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slowdown: float

    def token_interval_s(self, batch_size: int) -> float:
        """Return the time between the tokens of one stream in a batch."""
        return (1.0 + self.slowdown * (batch_size - 1)) / self.decode_tokens_per_s


class Batch:
    """Limit the number of running streams; the others queue in order of arrival."""

    def __init__(self, limit: int, on_change: Callable[[], None]) -> None:
        self.limit = limit
        self.on_change = on_change
        self.running = 0
        self.queue: collections.deque[asyncio.Future[None]] = collections.deque()
        # One prompt is processed at a time, in chunks.
        self.prefill = asyncio.Lock()

    @property
    def waiting(self) -> int:
        return len(self.queue)

    async def enter(self) -> None:
        """Wait for a slot; a wait that is cancelled passes an assigned slot on."""
        if self.running < self.limit and not self.queue:
            self.running += 1
            self.on_change()
            return
        waiter = asyncio.get_running_loop().create_future()
        self.queue.append(waiter)
        self.on_change()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.leave()
            elif waiter in self.queue:
                self.queue.remove(waiter)
                self.on_change()
            raise

    def leave(self) -> None:
        """Release a slot and assign it to the next waiting stream."""
        self.running -= 1
        while self.queue and self.running < self.limit:
            waiter = self.queue.popleft()
            if waiter.cancelled():
                continue
            self.running += 1
            waiter.set_result(None)
        self.on_change()


def block_hashes(model: str, text: bytes) -> list[int]:
    """Hash each prefix of full blocks; a partial block counts only if it is first."""
    hashes = []
    # The first hash equals the relay's prefix hash, so that the relay can use the
    # cache events as hints.
    chain = xxhash.xxh3_64(model.encode() + b"\0")
    for start in range(0, max(1, len(text)), BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        if start > 0 and len(block) < BLOCK_BYTES:
            break
        chain.update(block)
        hashes.append(chain.intdigest())
    return hashes


@attrs.frozen
class CacheEvent:
    """Block that was stored or removed; ``at`` is monotonic, in seconds."""

    seq: int
    kind: str
    prefix_hash: int
    at: float


class EventLog:
    """Log of cache events, which become visible ``lag_s`` seconds late.

    Each is lost with ``gap_probability``, which leaves a gap in the sequence numbers.
    """

    def __init__(self, lag_s: float, gap_probability: float, seed: int) -> None:
        self.lag_s = lag_s
        self.gap_probability = gap_probability
        self.random = random.Random(seed)
        self.seq = 0
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def publish(self, kind: str, prefix_hash: int) -> None:
        self.seq += 1
        if self.random.random() < self.gap_probability:
            return
        event = CacheEvent(self.seq, kind, prefix_hash, time.monotonic())
        self.events.append(event)

    def after(self, seq: int) -> list[CacheEvent]:
        """Return the visible events with a sequence number above ``seq``."""
        horizon = time.monotonic() - self.lag_s
        return [item for item in self.events if item.seq > seq and item.at <= horizon]


class PrefixCache:
    """Block hashes with least-recently-used eviction."""

    def __init__(self, max_blocks: int, events: EventLog) -> None:
        self.max_blocks = max_blocks
        self.events = events
        self.blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    def cached_tokens(self, hashes: list[int]) -> int:
        """Count the tokens of the leading blocks that are cached."""
        count = 0
        for block in hashes:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, hashes: list[int]) -> None:
        # Stored from the end, so that a block is evicted after the blocks it prefixes.
        for block in reversed(hashes):
            if block not in self.blocks:
                self.blocks[block] = None
                self.events.publish("stored", block)
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.max_blocks:
            block, _ = self.blocks.popitem(last=False)
            self.events.publish("removed", block)


@attrs.frozen
class LoadReport:
    running: int
    waiting: int
    tokens: int


class LaggedLoad:
    """Report the load as it was ``lag_s`` seconds ago."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.reports: collections.deque[tuple[float, LoadReport]] = collections.deque()
        self.reports.append((float("-inf"), LoadReport(0, 0, 0)))

    def record(self, report: LoadReport) -> None:
        self.reports.append((time.monotonic(), report))
        self.trim()

    def trim(self) -> None:
        horizon = time.monotonic() - self.lag_s
        while len(self.reports) > 1 and self.reports[1][0] <= horizon:
            self.reports.popleft()

    def current(self) -> LoadReport:
        self.trim()
        return self.reports[0][1]
