"""What an entry knows of crashes of engines and of answered prompts."""

import itertools
import math
from collections.abc import Iterable, Mapping

import attrs
import xxhash

from acaciarelay.coordination.crash_suspicion import (
    MIN_CRASHES,
    Crash,
    Suspicion,
    find_suspicions,
)
from acaciarelay.coordination.prompt_parts import PromptParts
from acaciarelay.coordination.recent_times import RecentTimes

__all__ = ["CrashMemory", "bounded_prompts", "reported_parts"]

# Time from the last crash, or the last trial, to a trial with one prompt: the first
# one, its growth with each further crash, and its upper bound.
FIRST_TRIAL_S = 5.0
TRIAL_GROWTH = 5.0
MAX_TRIAL_S = 125.0
# Time between the trials of two suspicions.
TRIAL_SPACING_S = 2.0
# Bounds of what is remembered.
MAX_CRASHES = 32
MAX_PROMPTS_PER_CRASH = 32
MAX_CRASHED_PARTS = 65_536
RECENT_CRASHES = 8
# Parts of answered prompts; up to twice as many.
MAX_BENIGN_PARTS = 32_768
FORGET_CRASH_S = 600.0
MAX_SUSPICIONS = 64
# Crashes under one suspicion that an entry which lacks them is told.
MAX_TOLD_CRASHES = 4
# Parts of a prompt that are reported after a crash.
MAX_REPORTED_PARTS = 1_024
# Time in seconds that is longer ago than any other.
NEVER = -math.inf


class CrashMemory:
    """Crashes and answered prompts that an entry knows of, and what follows from them.

    Parts are known by their digests. All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, Crash] = {}
        self.suspicions: list[Suspicion] = []
        self.benign_at = RecentTimes(MAX_BENIGN_PARTS)
        # The part of ``benign_at`` that the peers know too, of parts in crashes.
        self.told_benign_at: dict[int, float] = {}
        self.trial_at: dict[frozenset[int], float] = {}
        # When each part was last in a crash.
        self._crashed_at: dict[int, float] = {}
        # Whether peers may have to be told something.
        self._untold = False

    def record_crash(self, crash: Crash, now: float) -> None:
        """Add a crash, or further prompts of a known one."""
        known = self.crashes.get(crash.key)
        if known is not None:
            prompts = known.prompts | crash.prompts
            if prompts == known.prompts:
                return
            crash = attrs.evolve(known, prompts=prompts)
        prompts = bounded_prompts(crash.key, crash.prompts)
        self.crashes[crash.key] = attrs.evolve(crash, prompts=prompts)
        self._forget_crashes(now)
        self._update()

    def record_benign(self, parts: PromptParts, at: float) -> None:
        """Record that a prompt with these parts is being answered."""
        digests = parts.digests
        concerned = self._concerns_crashes(digests)
        self.benign_at.update(digests, at)
        if concerned:
            self._update()

    def record_benign_at_peers(self, benign_at: Mapping[int, float]) -> None:
        """Record when parts were in prompts that peers answered."""
        self._untold = True
        concerned = self._concerns_crashes(benign_at)
        for part, at in benign_at.items():
            self.told_benign_at[part] = max(at, self.told_benign_at.get(part, at))
            if at > self.benign_at.get(part, NEVER):
                self.benign_at.update([part], at)
        if concerned:
            self._update()

    def take_untold(self) -> dict[int, float]:
        """Return when suspected parts were benign, as far as peers don't know it yet.

        Only what changes the peers' suspicions is returned, and only once.
        """
        if not self._untold:
            return {}
        self._untold = False
        at_peers = find_suspicions(self.crashes.values(), self.told_benign_at)
        if at_peers[:MAX_SUSPICIONS] == self.suspicions:
            return {}
        untold = {}
        for part in frozenset().union(*(each.parts for each in at_peers)):
            at = self.benign_at.get(part, NEVER)
            if at > self.told_benign_at.get(part, NEVER):
                untold[part] = at
        self.told_benign_at |= untold
        return untold

    def suspicion_of(self, parts: PromptParts) -> Suspicion | None:
        """Return the suspicion for which a prompt with these parts is refused."""
        if not self.suspicions:
            return None
        digests = frozenset(parts.digests)
        for suspicion in self.suspicions:
            if suspicion.parts <= digests:
                return suspicion
        return None

    def next_trial_at(self, suspicion: Suspicion) -> float:
        """Return the time from which on one prompt may be tried despite a suspicion.

        Of several suspicions, the one with the fewest crashes is tried first, and its
        outcome is known before the next one. A trial that fails delays all others.
        """
        order = _trial_order(suspicion)
        since = max(suspicion.last_at, self.trial_at.get(suspicion.parts, NEVER))
        failures = before = 0
        for other in self.suspicions:
            since = max(since, other.last_at)
            failures += other.crashes - MIN_CRASHES
            before += _trial_order(other) < order
        interval_s = min(MAX_TRIAL_S, FIRST_TRIAL_S * TRIAL_GROWTH**failures)
        return since + interval_s + before * TRIAL_SPACING_S

    def start_trial(self, suspicion: Suspicion, now: float) -> None:
        """Record that a prompt is tried now."""
        self.trial_at[suspicion.parts] = now

    def evidence(self) -> list[Crash]:
        """Return the last crashes under each suspicion, for entries that lack them."""
        found = {}
        newest_first = sorted(self.crashes.values(), key=_age_order)
        for suspicion in self.suspicions:
            concerned = (
                crash for crash in newest_first if _concerns(crash, suspicion.parts)
            )
            for crash in itertools.islice(concerned, MAX_TOLD_CRASHES):
                found[crash.key] = crash
        return list(found.values())

    def benign_at_crashes(self) -> dict[int, float]:
        """Return when the parts of crashed prompts were last benign, if ever."""
        times = {}
        for part in self._crashed_at:
            at = self.benign_at.get(part, NEVER)
            if at > NEVER:
                times[part] = at
        return times

    def _concerns_crashes(self, parts: Iterable[int]) -> bool:
        """Return whether an answer to a prompt with these parts changes anything.

        A second answer after a crash does not.
        """
        for part in self._crashed_at.keys() & parts:
            if self.benign_at.get(part, NEVER) < self._crashed_at[part]:
                return True
        return False

    def _suspected(self) -> frozenset[int]:
        return frozenset().union(*(each.parts for each in self.suspicions))

    def _forget_crashes(self, now: float) -> None:
        """Forget old crashes, and beyond the bounds those that support no suspicion.

        The newest ones are kept in any case, as they may support the next one.
        """
        suspected = self._suspected()
        in_order = sorted(self.crashes.values(), key=_age_order)
        in_order[RECENT_CRASHES:] = sorted(
            in_order[RECENT_CRASHES:],
            key=lambda crash: (not _concerns(crash, suspected), *_age_order(crash)),
        )
        kept: list[Crash] = []
        part_count = 0
        for crash in in_order:
            part_count += len(crash.masks)
            if len(kept) == MAX_CRASHES or (kept and part_count > MAX_CRASHED_PARTS):
                break
            if now - crash.at <= FORGET_CRASH_S:
                kept.append(crash)
        kept.sort(key=lambda crash: crash.at)
        self.crashes = {crash.key: crash for crash in kept}
        self._crashed_at = {}
        for crash in kept:
            self._crashed_at.update(dict.fromkeys(crash.masks, crash.at))
        told = self.told_benign_at.keys() & self._crashed_at.keys()
        self.told_benign_at = {part: self.told_benign_at[part] for part in told}

    def _update(self) -> None:
        self._untold = True
        found = find_suspicions(self.crashes.values(), self.benign_at)
        self.suspicions = found[:MAX_SUSPICIONS]
        suspected = {suspicion.parts for suspicion in self.suspicions}
        for parts in self.trial_at.keys() - suspected:
            del self.trial_at[parts]


def _trial_order(suspicion: Suspicion) -> tuple[int, int]:
    return suspicion.crashes, min(suspicion.parts)


def _age_order(crash: Crash) -> tuple[float, str]:
    return -crash.at, crash.key


def _concerns(crash: Crash, suspected: frozenset[int]) -> bool:
    return not suspected.isdisjoint(crash.masks)


def bounded_prompts(key: str, prompts: Iterable[PromptParts]) -> frozenset[PromptParts]:
    """Return ``MAX_PROMPTS_PER_CRASH`` prompts of a crash at most.

    They are the same wherever they are chosen, but others at the next crash.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    chosen = sorted(
        prompts, key=lambda prompt: xxhash.xxh3_64_intdigest(prompt.packed, seed)
    )
    return frozenset(chosen[:MAX_PROMPTS_PER_CRASH])


def reported_parts(key: str, parts: PromptParts, benign_at: RecentTimes) -> PromptParts:
    """Return the parts of a prompt to report after a crash of the engine ``key``.

    Beyond ``MAX_REPORTED_PARTS``, those that were never answered come first, and which
    of the others are left out changes from crash to crash.
    """
    if len(parts) <= MAX_REPORTED_PARTS:
        return parts
    seed = xxhash.xxh3_64_intdigest(key.encode())
    in_order = sorted(parts.digests, key=lambda part: (part in benign_at, part ^ seed))
    return PromptParts.of_digests(in_order[:MAX_REPORTED_PARTS])
