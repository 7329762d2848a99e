"""Find the parts of prompts that crash engines.

A crash of an engine lists the prompts whose answers it had not begun. A fatal part is
in one of them each time, and never in a prompt that is answered. Parts that always came
together can't be told apart: they are suspected together, and only prompts with all of
them are refused, so that other prompts with some of them show which ones are benign.

All steps take time in proportion to the parts of all prompts, since prompts may have
hundreds of them.
"""

import collections
import functools
from collections.abc import Iterable, Iterator
from typing import Protocol

import attrs

from acaciarelay.coordination.prompt_parts import PromptParts, prompt_masks

__all__ = ["BenignTimes", "Crash", "Suspicion", "find_suspicions"]

# Crashes under a part, not at the same time, from which on it is suspected: a part that
# was never in an answered prompt, and one that was.
MIN_CRASHES = 2
MIN_CRASHES_OF_A_KNOWN_PART = 3
# How many of these must not be explained by parts that are more suspicious.
MIN_FRESH = 1
MIN_FRESH_OF_A_KNOWN_PART = 2
# Engines that crash within this time of each other count as one crash, since a common
# cause such as a loss of power is more likely than that many fatal prompts.
SIMULTANEOUS_S = 0.05
# Classes of parts that are told apart among those in the same crashes.
MAX_CLASSES = 128


class BenignTimes(Protocol):
    """When each part, by its digest, was last in an answered prompt."""

    def get(self, key: int, default: float) -> float:
        """Return the time of a part, or the default if it never was."""

    def __contains__(self, key: int) -> bool: ...


@attrs.frozen(kw_only=True)
class Crash:
    """Crash of the incarnation ``key`` of an engine at the monotonic time ``at``."""

    key: str
    at: float
    prompts: frozenset[PromptParts]

    @functools.cached_property
    def masks(self) -> dict[int, int]:
        """The prompts that each part was in, as a bit mask of them in their order."""
        return prompt_masks(self.prompts)


@attrs.frozen(kw_only=True)
class Suspicion:
    """Parts of which one crashes engines; prompts with all of them are refused.

    ``crashes`` counts those under the parts, and ``last_at`` is the time of the last.
    """

    parts: frozenset[int]
    crashes: int
    last_at: float


@attrs.frozen
class _Strength:
    """How suspicious the parts of the same crashes are.

    ``fresh`` counts their crashes that no stronger parts explain, and ``total`` all.
    """

    fresh: int
    unknown: bool
    total: int

    @property
    def is_enough(self) -> bool:
        if self.unknown:
            return self.total >= MIN_CRASHES and self.fresh >= MIN_FRESH
        return (
            self.total >= MIN_CRASHES_OF_A_KNOWN_PART
            and self.fresh >= MIN_FRESH_OF_A_KNOWN_PART
        )

    @property
    def order(self) -> tuple[int, bool, int]:
        return self.fresh, self.unknown, self.total


@attrs.frozen
class _Tied:
    """The parts that were in the same crashes."""

    unknown: list[int] = attrs.Factory(list)
    known: list[int] = attrs.Factory(list)

    @property
    def parts(self) -> list[int]:
        """The most suspicious ones: those that were never benign, if there are any."""
        return self.unknown or self.known


class _Crashes:
    """Crashes in the order of their times; sets of them are bit masks.

    Those at about the same time count as one.
    """

    def __init__(self, crashes: Iterable[Crash]) -> None:
        self.in_order = sorted(crashes, key=lambda crash: (crash.at, crash.key))
        self.simultaneous: list[int] = []
        # For each crash, the time of the last one at about the same time.
        self.last_at: list[float] = []
        for number, crash in enumerate(self.in_order):
            is_first = not number or (
                crash.at - self.in_order[number - 1].at >= SIMULTANEOUS_S
            )
            if is_first:
                self.simultaneous.append(0)
            self.simultaneous[-1] |= 1 << number
            self.last_at.append(crash.at)
            for other in _numbers(self.simultaneous[-1]):
                self.last_at[other] = crash.at

    def count(self, mask: int) -> int:
        """Return the number of crashes, of which simultaneous ones count once."""
        return sum(1 for together in self.simultaneous if mask & together)

    def of(self, mask: int) -> list[Crash]:
        return [self.in_order[number] for number in _numbers(mask)]


def find_suspicions(
    crashes: Iterable[Crash], benign_at: BenignTimes
) -> list[Suspicion]:
    """Return the suspicions that explain the crashes, the strongest first.

    What is in most crashes explains these; other parts have to explain another one at
    least.
    """
    known_crashes = _Crashes(crashes)
    tied = _tied_parts(known_crashes, benign_at)
    unexplained = (1 << len(known_crashes.in_order)) - 1
    suspicions: list[Suspicion] = []
    while strongest := _strongest(tied, unexplained, known_crashes):
        explained = known_crashes.of(strongest)
        for parts in _that_came_together(tied[strongest].parts, explained):
            suspicions.append(
                Suspicion(
                    parts=parts,
                    crashes=known_crashes.count(strongest),
                    last_at=explained[-1].at,
                )
            )
        unexplained &= ~strongest
    return suspicions


def _tied_parts(crashes: _Crashes, benign_at: BenignTimes) -> dict[int, _Tied]:
    """Return the parts by the crashes under them since they were last benign.

    Parts of a single crash are left out.
    """
    seen: set[int] = set()
    repeated: set[int] = set()
    for crash in crashes.in_order:
        repeated |= seen & crash.masks.keys()
        seen |= crash.masks.keys()
    masks: dict[int, int] = collections.defaultdict(int)
    for number, crash in enumerate(crashes.in_order):
        last_at = crashes.last_at[number]
        for part in repeated & crash.masks.keys():
            if last_at > benign_at.get(part, last_at - 1.0):
                masks[part] |= 1 << number
    tied: dict[int, _Tied] = collections.defaultdict(_Tied)
    for part, mask in masks.items():
        group = tied[mask]
        (group.known if part in benign_at else group.unknown).append(part)
    return tied


def _strongest(tied: dict[int, _Tied], unexplained: int, crashes: _Crashes) -> int:
    """Return the crashes under the most suspicious parts; 0 if there are none.

    Of equally suspicious ones, all processes choose the same.
    """
    best_mask = 0
    best = _Strength(0, False, 0)
    for mask in sorted(tied):
        if not mask & unexplained:
            continue
        strength = _Strength(
            fresh=crashes.count(mask & unexplained),
            unknown=bool(tied[mask].unknown),
            total=crashes.count(mask),
        )
        if strength.is_enough and strength.order > best.order:
            best_mask, best = mask, strength
    return best_mask


def _that_came_together(
    parts: Iterable[int], crashes: list[Crash]
) -> list[frozenset[int]]:
    """Group parts that were in one and the same prompt in each crash.

    Parts that were in the same prompts throughout form a class, and classes are
    compared in place of parts. Sets of prompts and of classes are bit masks.
    """
    classes = _classes(parts, crashes)
    of_prompt = _classes_of_prompts(classes, crashes)
    groups: dict[int, frozenset[int]] = {}
    for prompts in classes:
        together = (1 << len(classes)) - 1
        for crash_prompts in _split(prompts, crashes):
            together &= _union(of_prompt, crash_prompts)
        if together in groups:
            continue
        members = [
            class_parts
            for number, class_parts in enumerate(classes.values())
            if together >> number & 1
        ]
        groups[together] = frozenset().union(*members)
    return sorted(groups.values(), key=min)


def _classes(parts: Iterable[int], crashes: list[Crash]) -> dict[int, list[int]]:
    """Return the parts by the prompts of all crashes that they were in.

    Beyond ``MAX_CLASSES``, the digests of the parts decide, which are as good as drawn.
    """
    classes: dict[int, list[int]] = {}
    for part in sorted(parts):
        prompts = 0
        first = 0
        for crash in crashes:
            prompts |= crash.masks[part] << first
            first += len(crash.prompts)
        if prompts in classes:
            classes[prompts].append(part)
        elif len(classes) < MAX_CLASSES:
            classes[prompts] = [part]
    return classes


def _classes_of_prompts(classes: Iterable[int], crashes: list[Crash]) -> list[int]:
    """Return the classes in each prompt of all crashes."""
    of_prompt = [0] * sum(len(crash.prompts) for crash in crashes)
    for number, prompts in enumerate(classes):
        for prompt in _numbers(prompts):
            of_prompt[prompt] |= 1 << number
    return of_prompt


def _split(prompts: int, crashes: list[Crash]) -> Iterator[int]:
    """Return the prompts of each crash among those of all."""
    first = 0
    for crash in crashes:
        yield prompts & (1 << first + len(crash.prompts)) - (1 << first)
        first += len(crash.prompts)


def _union(of_prompt: list[int], prompts: int) -> int:
    union = 0
    for prompt in _numbers(prompts):
        union |= of_prompt[prompt]
    return union


def _numbers(mask: int) -> Iterator[int]:
    """Return the numbers of the bits that are set."""
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest
