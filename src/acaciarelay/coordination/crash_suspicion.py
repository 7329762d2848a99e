"""Find the parts of prompts that crash engines.

A crash of an engine lists the prompts whose answers it had not begun. A fatal part is
in one of them each time, and never in a prompt that is answered. Parts that always came
together can't be told apart: they are suspected together, and only prompts with all of
them are refused, so that other prompts with some of them show which ones are benign.
"""

import collections
import itertools
from collections.abc import Iterable, Mapping

import attrs

__all__ = ["Crash", "CrashSuspicions", "Prompt", "Suspicion", "find_suspicions"]

# The ids of the parts of a prompt that other prompts may share.
Prompt = frozenset[str]

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
# Bounds of what is remembered.
MAX_CRASHES = 32
MAX_PROMPTS_PER_CRASH = 32
MAX_BENIGN_PARTS = 4096
FORGET_CRASH_S = 600.0


@attrs.frozen(kw_only=True)
class Crash:
    """Crash of the incarnation ``key`` of an engine at the monotonic time ``at``."""

    key: str
    at: float
    prompts: frozenset[Prompt]


@attrs.frozen(kw_only=True)
class Suspicion:
    """Parts of which one crashes engines; prompts with all of them are refused."""

    parts: Prompt
    crashes: int
    last_at: float

    @property
    def trial_interval_s(self) -> float:
        """Return the seconds without such prompts before one of them is tried."""
        growth = TRIAL_GROWTH ** max(0, self.crashes - MIN_CRASHES)
        return min(MAX_TRIAL_S, FIRST_TRIAL_S * growth)


@attrs.frozen
class _Event:
    """Crashes at about the same time."""

    at: float
    last_at: float
    prompts: frozenset[Prompt]


def find_suspicions(
    crashes: Iterable[Crash], benign_at: Mapping[str, float]
) -> list[Suspicion]:
    """Return the suspicions that explain the crashes.

    ``benign_at`` holds for parts of answered prompts when the last one was answered.
    What is in most crashes explains these; other parts have to explain the rest.
    """
    unexplained = set(_join_simultaneous(crashes))
    suspicions: list[Suspicion] = []
    while True:
        events_by_part = _events_by_part(unexplained, benign_at)
        strongest = _strongest(events_by_part, benign_at)
        if strongest is None:
            return suspicions
        tied = {part for part, events in events_by_part.items() if events == strongest}
        unknown = {part for part in tied if part not in benign_at}
        for parts in _that_came_together(unknown or tied, strongest):
            suspicions.append(
                Suspicion(
                    parts=parts,
                    crashes=len(strongest),
                    last_at=max(event.last_at for event in strongest),
                )
            )
        unexplained -= strongest


def _join_simultaneous(crashes: Iterable[Crash]) -> list[_Event]:
    events: list[_Event] = []
    for crash in sorted(crashes, key=lambda crash: (crash.at, crash.key)):
        if events and crash.at - events[-1].at < SIMULTANEOUS_S:
            before = events.pop()
            prompts = before.prompts | crash.prompts
            events.append(_Event(before.at, crash.at, prompts))
            continue
        events.append(_Event(crash.at, crash.at, crash.prompts))
    return events


def _events_by_part(
    events: Iterable[_Event], benign_at: Mapping[str, float]
) -> dict[str, frozenset[_Event]]:
    """Return the crashes under each part since it was last in an answered prompt."""
    found: dict[str, set[_Event]] = collections.defaultdict(set)
    for event in events:
        for part in itertools.chain.from_iterable(event.prompts):
            if event.last_at > benign_at.get(part, event.at - 1.0):
                found[part].add(event)
    return {part: frozenset(events) for part, events in found.items()}


def _strongest(
    events_by_part: Mapping[str, frozenset[_Event]], benign_at: Mapping[str, float]
) -> frozenset[_Event] | None:
    """Return the crashes under the most suspicious part; ``None`` if there is none.

    Of parts with equally many crashes one that was never benign comes first.
    """
    best: frozenset[_Event] | None = None
    best_key = (0, False)
    for part in sorted(events_by_part):
        events = events_by_part[part]
        known = part in benign_at
        least = MIN_CRASHES_OF_A_KNOWN_PART if known else MIN_CRASHES
        key = (len(events), not known)
        if len(events) >= least and key > best_key:
            best, best_key = events, key
    return best


def _that_came_together(
    parts: set[str], events: Iterable[_Event]
) -> list[frozenset[str]]:
    """Group parts that were in one and the same prompt in each crash."""
    groups: list[frozenset[str]] = []
    for part in sorted(parts):
        together = frozenset(
            other for other in parts if _share_a_prompt({part, other}, events)
        )
        if together not in groups:
            groups.append(together)
    return groups


def _share_a_prompt(parts: set[str], events: Iterable[_Event]) -> bool:
    for event in events:
        if not any(parts <= prompt for prompt in event.prompts):
            return False
    return True


class CrashSuspicions:
    """Crashes and answered prompts that an entry knows of, and what follows from them.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, Crash] = {}
        self.suspicions: list[Suspicion] = []
        # The least recently answered part comes first.
        self.benign_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        # The part of ``benign_at`` that the peers know too.
        self.told_benign_at: dict[str, float] = {}
        self.trial_at: dict[Prompt, float] = {}
        # When each part was last in a crash.
        self._crashed_at: dict[str, float] = {}
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
        if len(crash.prompts) > MAX_PROMPTS_PER_CRASH:
            first = sorted(crash.prompts, key=sorted)[:MAX_PROMPTS_PER_CRASH]
            crash = attrs.evolve(crash, prompts=frozenset(first))
        self.crashes[crash.key] = crash
        self._forget_crashes(now)
        self._update()

    def record_benign(self, parts: Iterable[str], at: float) -> None:
        """Record that a prompt with these parts is being answered."""
        concerned = False
        for part in parts:
            before = self.benign_at.get(part)
            self.benign_at[part] = at if before is None else max(at, before)
            self.benign_at.move_to_end(part)
            crashed_at = self._crashed_at.get(part)
            # A later answer changes nothing more.
            concerned |= crashed_at is not None and (
                before is None or before < crashed_at
            )
        while len(self.benign_at) > MAX_BENIGN_PARTS:
            self.benign_at.popitem(last=False)
        if concerned:
            self._update()

    def record_benign_at_peers(self, benign_at: Mapping[str, float]) -> None:
        """Record when parts were in prompts that peers answered."""
        self._untold = True
        for part, at in benign_at.items():
            self.told_benign_at[part] = max(at, self.told_benign_at.get(part, at))
            self.record_benign([part], at)

    def take_untold(self) -> dict[str, float]:
        """Return when suspected parts were benign, as far as peers don't know it yet.

        Only what changes the peers' suspicions is returned, and only once.
        """
        if not self._untold:
            return {}
        self._untold = False
        at_peers = find_suspicions(self.crashes.values(), self.told_benign_at)
        if at_peers == self.suspicions:
            return {}
        untold = {}
        for part in sorted(set().union(*(each.parts for each in at_peers))):
            at = self.benign_at.get(part)
            if at is not None and at > self.told_benign_at.get(part, at - 1.0):
                untold[part] = at
        self.told_benign_at |= untold
        return untold

    def suspicion_of(self, parts: Prompt) -> Suspicion | None:
        """Return the suspicion for which a prompt with these parts is refused."""
        for suspicion in self.suspicions:
            if suspicion.parts <= parts:
                return suspicion
        return None

    def next_trial_at(self, suspicion: Suspicion) -> float:
        """Return the time from which on one prompt may be tried despite a suspicion."""
        since = max(suspicion.last_at, self.trial_at.get(suspicion.parts, 0.0))
        return since + suspicion.trial_interval_s

    def start_trial(self, suspicion: Suspicion, now: float) -> None:
        """Record that a prompt is tried now."""
        self.trial_at[suspicion.parts] = now

    def evidence(self) -> list[Crash]:
        """Return the crashes under suspected parts, for entries that lack them."""
        suspected = set().union(*(each.parts for each in self.suspicions))
        found = []
        for crash in self.crashes.values():
            if any(suspected & prompt for prompt in crash.prompts):
                found.append(crash)
        return found

    def benign_at_crashes(self) -> dict[str, float]:
        """Return when the parts of crashed prompts were last benign, if ever."""
        return {
            part: self.benign_at[part]
            for part in sorted(self._crashed_at)
            if part in self.benign_at
        }

    def _forget_crashes(self, now: float) -> None:
        in_order = sorted(self.crashes.values(), key=lambda crash: crash.at)
        for crash in in_order[:-MAX_CRASHES]:
            del self.crashes[crash.key]
        for crash in in_order:
            if now - crash.at > FORGET_CRASH_S:
                self.crashes.pop(crash.key, None)
        self._crashed_at = {}
        for crash in in_order:
            if crash.key in self.crashes:
                parts = itertools.chain.from_iterable(crash.prompts)
                self._crashed_at.update(dict.fromkeys(parts, crash.at))
        kept = self.told_benign_at.keys() & self._crashed_at.keys()
        self.told_benign_at = {part: self.told_benign_at[part] for part in kept}

    def _update(self) -> None:
        self._untold = True
        self.suspicions = find_suspicions(self.crashes.values(), self.benign_at)
        suspected = {suspicion.parts for suspicion in self.suspicions}
        for parts in self.trial_at.keys() - suspected:
            del self.trial_at[parts]
