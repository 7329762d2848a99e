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
from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

import attrs

from acaciarelay.coordination.prompt_parts import PromptParts, prompt_masks

__all__ = ["BenignTimes", "Crash", "Suspicion", "find_suspicions"]

# Crashes under a part, not at the same time, from which on it is suspected: a part that
# was never in an answered prompt, and one that was.
MIN_CRASHES = 2
MIN_CRASHES_OF_A_KNOWN_PART = 3
# Engines that crash within this time of each other count as one crash, since a common
# cause such as a loss of power is more likely than that many fatal prompts.
SIMULTANEOUS_S = 0.05
# Time from the last crash, or the last trial, to a trial with one prompt: after the
# least number of crashes, its growth with each further one, and its upper bound.
FIRST_TRIAL_S = 5.0
TRIAL_GROWTH = 5.0
MAX_TRIAL_S = 125.0
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
    """Parts of which one crashes engines; prompts with all of them are refused."""

    parts: frozenset[int]
    crashes: int
    last_at: float

    @property
    def trial_interval_s(self) -> float:
        """Return the seconds without such prompts before one of them is tried."""
        growth = TRIAL_GROWTH ** max(0, self.crashes - MIN_CRASHES)
        return min(MAX_TRIAL_S, FIRST_TRIAL_S * growth)


@attrs.frozen
class _Event:
    """Crashes at about the same time, and the prompts that each part was in."""

    at: float
    last_at: float
    prompt_count: int
    masks: dict[int, int]


@attrs.frozen
class _Tied:
    """The parts that were in the same crashes."""

    unknown: list[int] = attrs.Factory(list)
    known: list[int] = attrs.Factory(list)

    def strength(self, crashes: int) -> tuple[int, bool] | None:
        """Return how suspicious the parts are; ``None`` if they are not.

        Of parts with equally many crashes those that were never benign come first.
        """
        if self.unknown and crashes >= MIN_CRASHES:
            return crashes, True
        if self.known and crashes >= MIN_CRASHES_OF_A_KNOWN_PART:
            return crashes, False
        return None


def find_suspicions(
    crashes: Iterable[Crash], benign_at: BenignTimes
) -> list[Suspicion]:
    """Return the suspicions that explain the crashes, the strongest first.

    What is in most crashes explains these; other parts have to explain the rest.
    Crashes are numbered from the first one on, and sets of them are bit masks.
    """
    events = _join_simultaneous(crashes)
    masks = _masks_of_parts(events, benign_at)
    unexplained = (1 << len(events)) - 1
    suspicions: list[Suspicion] = []
    while True:
        strongest, tied = _strongest(masks, unexplained, benign_at)
        if tied is None:
            return suspicions
        explained = [each for i, each in enumerate(events) if strongest >> i & 1]
        last_at = max(event.last_at for event in explained)
        for parts in _that_came_together(tied.unknown or tied.known, explained):
            suspicions.append(
                Suspicion(parts=parts, crashes=len(explained), last_at=last_at)
            )
        unexplained &= ~strongest


def _join_simultaneous(crashes: Iterable[Crash]) -> list[_Event]:
    events: list[_Event] = []
    for crash in sorted(crashes, key=lambda crash: (crash.at, crash.key)):
        count = len(crash.prompts)
        if not events or crash.at - events[-1].at >= SIMULTANEOUS_S:
            events.append(_Event(crash.at, crash.at, count, crash.masks))
            continue
        before = events.pop()
        masks = dict(before.masks)
        for part, mask in crash.masks.items():
            masks[part] = masks.get(part, 0) | mask << before.prompt_count
        joined = before.prompt_count + count
        events.append(_Event(before.at, crash.at, joined, masks))
    return events


def _masks_of_parts(events: list[_Event], benign_at: BenignTimes) -> dict[int, int]:
    """Return the crashes under each part since it was last in an answered prompt.

    Parts of a single crash are left out, since they explain nothing.
    """
    seen: set[int] = set()
    repeated: set[int] = set()
    for event in events:
        repeated |= seen & event.masks.keys()
        seen |= event.masks.keys()
    masks: dict[int, int] = collections.defaultdict(int)
    for number, event in enumerate(events):
        for part in repeated & event.masks.keys():
            if event.last_at > benign_at.get(part, event.at - 1.0):
                masks[part] |= 1 << number
    return masks


def _strongest(
    masks: Mapping[int, int], unexplained: int, benign_at: BenignTimes
) -> tuple[int, _Tied | None]:
    """Return the most suspicious parts and their crashes; ``None`` if there are none.

    Of equally suspicious ones, all processes choose the same.
    """
    tied: dict[int, _Tied] = collections.defaultdict(_Tied)
    for part, mask in masks.items():
        if (mask & unexplained).bit_count() < MIN_CRASHES:
            continue
        group = tied[mask & unexplained]
        (group.known if part in benign_at else group.unknown).append(part)
    best = 0
    best_key: tuple[int, bool] = (0, False)
    for mask in sorted(tied):
        key = tied[mask].strength(mask.bit_count())
        if key is not None and key > best_key:
            best, best_key = mask, key
    return best, tied[best] if best else None


def _that_came_together(
    parts: Iterable[int], events: list[_Event]
) -> list[frozenset[int]]:
    """Group parts that were in one and the same prompt in each crash.

    Parts that were in the same prompts throughout form a class, and classes are
    compared in place of parts. Sets of prompts and of classes are bit masks.
    """
    classes = _classes(parts, events)
    of_prompt = _classes_of_prompts(classes, events)
    groups: dict[int, frozenset[int]] = {}
    for prompts in classes:
        together = (1 << len(classes)) - 1
        for event_prompts in _split(prompts, events):
            together &= _union(of_prompt, event_prompts)
        if together in groups:
            continue
        members = [
            class_parts
            for number, class_parts in enumerate(classes.values())
            if together >> number & 1
        ]
        groups[together] = frozenset().union(*members)
    return sorted(groups.values(), key=min)


def _classes(parts: Iterable[int], events: list[_Event]) -> dict[int, list[int]]:
    """Return the parts by the prompts of all crashes that they were in.

    Beyond ``MAX_CLASSES``, the digests of the parts decide, which are as good as drawn.
    """
    classes: dict[int, list[int]] = {}
    for part in sorted(parts):
        prompts = 0
        first = 0
        for event in events:
            prompts |= event.masks[part] << first
            first += event.prompt_count
        if prompts in classes:
            classes[prompts].append(part)
        elif len(classes) < MAX_CLASSES:
            classes[prompts] = [part]
    return classes


def _classes_of_prompts(classes: Iterable[int], events: list[_Event]) -> list[int]:
    """Return the classes in each prompt of all crashes."""
    of_prompt = [0] * sum(event.prompt_count for event in events)
    for number, prompts in enumerate(classes):
        for prompt in _numbers(prompts):
            of_prompt[prompt] |= 1 << number
    return of_prompt


def _split(prompts: int, events: list[_Event]) -> Iterator[int]:
    """Return the prompts of each crash among those of all."""
    first = 0
    for event in events:
        yield prompts & (1 << first + event.prompt_count) - (1 << first)
        first += event.prompt_count


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
