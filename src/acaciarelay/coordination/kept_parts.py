"""Record of the prompt parts that an engine keeps, from the requests it was granted.

The engine is not asked. It evicts what was used least recently, in favour of running
requests; the record does the same with the tokens that requests stated.
"""

import enum
import heapq
import itertools
import math
from collections import OrderedDict

import attrs

from acaciarelay.coordination.engine_model import EngineSpeed
from acaciarelay.coordination.prompt_chain import MIN_KEPT_TOKENS, PromptChain

__all__ = ["MAX_KEPT_HINTS", "KeptParts", "KeptUse", "ReadVerdict", "read_verdict"]

# Bounds of the record and of its summary for entries.
MAX_KEPT_PARTS = 1024
MAX_KEPT_HINTS = 16
# Least time between two choices of the parts in the summary.
HINT_INTERVAL_S = 0.5
# Time constant of the exponential decay of the uses of a part.
USE_DECAY_S = 30.0
# Size assumed for the engine's memory while it is unknown.
DEFAULT_MEMORY_TOKENS = 50_000
# After so many wrong beliefs in a row the engine has probably restarted.
WRONG_BEFORE_RESTART = 2
# Weight of the newest belief in the share of right ones, which is published in steps.
TRUST_WEIGHT = 0.1
TRUST_STEPS = 4
# The time to a first event shows whether a part was kept only if reading it takes at
# least this fraction of the rest of the time.
MIN_TELLING_RATIO = 0.5


class ReadVerdict(enum.Enum):
    """What the time to a first event says about a part that was believed kept."""

    KEPT = "kept"
    UNCLEAR = "unclear"
    READ = "read"
    # The saving is too small for the time to show it.
    NOT_TELLING = "not telling"


def read_verdict(
    prompt_tokens: int, kept_tokens: int, first_s: float, speed: EngineSpeed
) -> ReadVerdict:
    """Compare the time to a first event with and without the read of a kept part."""
    full_s = speed.first_event_s(prompt_tokens)
    kept_s = speed.first_event_s(prompt_tokens - kept_tokens)
    if full_s <= 0 or full_s - kept_s < MIN_TELLING_RATIO * kept_s:
        return ReadVerdict.NOT_TELLING
    if first_s >= full_s:
        return ReadVerdict.READ
    if first_s <= (full_s + kept_s) / 2:
        return ReadVerdict.KEPT
    return ReadVerdict.UNCLEAR


@attrs.define(eq=False)
class _Part:
    """A link of a chain, or the own part of ended requests (``parent`` is ``None``).

    ``chain_tokens`` are those up to its end, ``tokens`` its own.
    """

    tokens: int
    chain_tokens: int = 0
    parent: int | None = None
    uses: int = 0
    score: float = 0.0
    used_at: float = 0.0

    def score_at(self, now: float) -> float:
        return self.score * math.exp(-max(0.0, now - self.used_at) / USE_DECAY_S)


@attrs.frozen
class KeptUse:
    """What a granted request was believed to find, and the links that it added."""

    chain: PromptChain
    kept_tokens: int
    added: frozenset[int] = frozenset()


class KeptParts:
    """Prompt parts by the digests of their chains, the least recently used one first.

    ``memory_tokens`` is the size of the engine's KV cache, 0 while unknown.
    """

    def __init__(self) -> None:
        self.memory_tokens = 0
        self.trust = 1.0
        # A part comes before the parts that it follows, and is evicted before them.
        self._parts: OrderedDict[int, _Part] = OrderedDict()
        self._tokens = 0
        self._own_keys = itertools.count(-1, -1)
        self._links = 0
        self._wrong_in_row = 0
        self._hints: PromptChain = {}
        self._hints_at = -math.inf

    def __len__(self) -> int:
        """Return the number of links that are believed kept."""
        return self._links

    def kept_tokens(self, chain: PromptChain) -> int:
        """Return the tokens of a prompt that the engine is believed to keep."""
        kept = 0
        for digest, tokens in chain.items():
            if digest not in self._parts:
                break
            kept = tokens
        return kept

    def begin(self, chain: PromptChain, now: float) -> KeptUse:
        """Record that the engine is about to read a prompt."""
        kept = self.kept_tokens(chain)
        return KeptUse(chain, kept, self._touch(chain, now))

    def withdraw(self, use: KeptUse) -> None:
        """Forget what only a request would have left that brought no answer."""
        for digest in reversed(use.chain):
            part = self._parts.get(digest)
            if digest in use.added and part is not None and part.uses == 1:
                self._remove(digest)

    def end(
        self, use: KeptUse, own_tokens: int, running_tokens: int, now: float
    ) -> None:
        """Record that a request ended, whose own part stays until it is evicted.

        ``running_tokens`` are those that running requests hold.
        """
        self._touch(use.chain, now)
        if not self._links:
            return
        key = next(self._own_keys)
        self._parts[key] = _Part(own_tokens)
        self._tokens += own_tokens
        self.evict(running_tokens)

    def evict(self, running_tokens: int) -> None:
        """Evict what does not fit beside the running requests."""
        room = (self.memory_tokens or DEFAULT_MEMORY_TOKENS) - running_tokens
        while self._parts and (
            self._tokens > room or len(self._parts) > MAX_KEPT_PARTS
        ):
            self._remove(next(iter(self._parts)))
        if not self._links:
            self.clear()

    def record_verdict(self, use: KeptUse, verdict: ReadVerdict) -> None:
        """Learn whether the engine had kept a part; drop one that it had not."""
        match verdict:
            case ReadVerdict.KEPT:
                self.trust += TRUST_WEIGHT * (1 - self.trust)
                self._wrong_in_row = 0
            case ReadVerdict.READ:
                self.trust -= TRUST_WEIGHT * self.trust
                self._wrong_in_row += 1
                if self._wrong_in_row >= WRONG_BEFORE_RESTART:
                    self.clear()
                else:
                    self._drop(set(use.chain))

    def clear(self) -> None:
        """Forget all parts, as after a restart of the engine."""
        self._parts.clear()
        self._tokens = 0
        self._links = 0
        self._wrong_in_row = 0
        self._hints = {}
        self._hints_at = -math.inf

    def hints(self, now: float) -> PromptChain:
        """Return the most used links, with the tokens that they probably save."""
        if not self._links:
            return {}
        if now - self._hints_at >= HINT_INTERVAL_S:
            self._hints_at = now
            self._hints = self._choose_hints(now)
        elif any(digest not in self._parts for digest in self._hints):
            self._hints = {
                digest: tokens
                for digest, tokens in self._hints.items()
                if digest in self._parts
            }
        return self._hints

    def _choose_hints(self, now: float) -> PromptChain:
        chance = round(self.trust * TRUST_STEPS) / TRUST_STEPS
        scored = []
        for digest, part in self._parts.items():
            if part.parent is None:
                continue
            tokens = int(part.chain_tokens * chance)
            if tokens >= MIN_KEPT_TOKENS:
                scored.append((part.score_at(now) * tokens, digest, tokens))
        chosen = heapq.nlargest(MAX_KEPT_HINTS, scored)
        # In a fixed order, so that a change of the scores alone changes no state.
        return dict(sorted((digest, tokens) for _, digest, tokens in chosen))

    def _touch(self, chain: PromptChain, now: float) -> frozenset[int]:
        """Make the links of a chain the most recently used; return those added."""
        added = []
        parent = 0
        before = 0
        for digest, tokens in chain.items():
            part = self._parts.get(digest)
            if part is None:
                part = _Part(tokens - before, tokens, parent)
                self._parts[digest] = part
                self._tokens += part.tokens
                self._links += 1
                added.append(digest)
            part.score = part.score_at(now) + 1
            part.uses += 1
            part.used_at = now
            parent, before = digest, tokens
        for digest in reversed(chain):
            self._parts.move_to_end(digest)
        return frozenset(added)

    def _remove(self, digest: int) -> None:
        part = self._parts.pop(digest)
        self._tokens -= part.tokens
        if part.parent is not None:
            self._links -= 1

    def _drop(self, digests: set[int]) -> None:
        """Remove links and all that follow them."""
        links = [
            (part.chain_tokens, digest, part.parent)
            for digest, part in self._parts.items()
            if part.parent is not None
        ]
        for _, digest, parent in sorted(links):
            if digest in digests or parent in digests:
                digests.add(digest)
                self._remove(digest)
