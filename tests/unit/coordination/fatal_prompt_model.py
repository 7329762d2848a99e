"""Model of a fleet whose engines crash on parts of prompts; no network, own clock."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
from prompt_ids import prompt_of

from acaciarelay.coordination.crash_memory import CrashMemory
from acaciarelay.coordination.crash_suspicion import Crash
from acaciarelay.coordination.prompt_parts import PromptParts

__all__ = ["FleetModel", "Load"]

DOWN_S = 3.0
RETRY_DELAY_S = 0.01
REPORT_DELAYS_S = (0.06, 0.2)
TICK_S = 0.2
MAX_ATTEMPTS = 2
# Time until an answer begins, and until it ends after that.
BEGIN_S = (0.03, 0.3)
ANSWER_S = (0.1, 1.5)


@attrs.frozen(kw_only=True)
class Load:
    """Requests of a model; rates are requests per second.

    ``fatal`` returns the parts of one fatal prompt, and ``benign`` those of a benign
    one. Fatal prompts come from ``fatal_from`` to ``fatal_to``.
    """

    fatal: Callable[[random.Random], list[str]]
    benign: Callable[[random.Random], list[str]]
    fatal_parts: frozenset[str]
    fatal_per_s: float
    benign_per_s: float
    fatal_from: float = 4.0
    fatal_to: float = 26.0


@attrs.define(eq=False)
class Request:
    entry: int
    ids: frozenset[str]
    parts: PromptParts
    sent_at: float
    benign: bool
    attempts: int = 0
    repeated: bool = False
    begun: bool = False
    refused: bool = False
    served: bool = False


class FleetModel:
    """Entries that refuse suspected prompts, and engines that crash on fatal ones."""

    def __init__(self, load, seed, engines=5, entries=5):
        self.load = load
        self.rng = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.events = []
        self.up = set(range(engines))
        self.running = {engine: [] for engine in range(engines)}
        self.entries = [CrashMemory() for _ in range(entries)]
        self.crash_times = []
        # Of crashes by a fatal part and of arrivals with one: the times and the parts.
        self.fatal_crashes = []
        self.fatal_arrivals = []
        self.requests = []

    def at(self, delay_s, action, *arguments):
        item = (self.now + delay_s, next(self.numbers), action, arguments)
        heapq.heappush(self.events, item)

    def run(self, seconds):
        """Play the load, with some seconds of benign requests at both ends."""
        self.at(0.0, self.send_benign)
        self.at(self.load.fatal_from, self.send_fatal)
        self.at(TICK_S, self.tick)
        while self.events and self.events[0][0] < seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def send_benign(self):
        self.at(self.rng.expovariate(self.load.benign_per_s), self.send_benign)
        self.send(frozenset(self.load.benign(self.rng)), True)

    def send_fatal(self):
        if self.now < self.load.fatal_to:
            self.at(self.rng.expovariate(self.load.fatal_per_s), self.send_fatal)
            self.send(frozenset(self.load.fatal(self.rng)), False)

    def send(self, ids, benign, repeated=False):
        entry = self.rng.randrange(len(self.entries))
        parts = prompt_of(ids)
        request = Request(entry, ids, parts, self.now, benign, repeated=repeated)
        self.requests.append(request)
        self.try_engine(request)

    def try_engine(self, request):
        suspicions = self.entries[request.entry]
        suspicion = suspicions.suspicion_of(request.parts)
        if suspicion is not None and not self.is_trial(request, suspicion):
            request.refused = True
            return
        if not self.up:
            return
        engine = self.rng.choice(sorted(self.up))
        request.attempts += 1
        request.begun = False
        self.running[engine].append(request)
        if fatal := request.ids & self.load.fatal_parts:
            self.fatal_arrivals.append((self.now, fatal))
        self.at(self.rng.uniform(*BEGIN_S), self.begin, request, engine)

    def is_trial(self, request, suspicion):
        """Let one entry, drawn by the parts, try a prompt when it is time."""
        suspicions = self.entries[request.entry]
        owner = sum(suspicion.parts) % len(self.entries)
        if owner != request.entry or self.now < suspicions.next_trial_at(suspicion):
            return False
        suspicions.start_trial(suspicion, self.now)
        return True

    def begin(self, request, engine):
        if request not in self.running[engine]:
            return
        if fatal := request.ids & self.load.fatal_parts:
            self.fatal_crashes.append((self.now, fatal))
            self.crash(engine)
            return
        request.begun = True
        self.entries[request.entry].record_benign(request.parts, self.now)
        self.at(self.rng.uniform(*ANSWER_S), self.end, request, engine)

    def end(self, request, engine):
        if request in self.running[engine]:
            self.running[engine].remove(request)
            request.served = True

    def crash(self, engine):
        self.crash_times.append(self.now)
        broken, self.running[engine] = self.running[engine], []
        prompts = frozenset(r.parts for r in broken if not r.begun and r.parts)
        crash = Crash(key=f"{engine}@{self.now}", at=self.now, prompts=prompts)
        self.up.discard(engine)
        self.at(DOWN_S, self.up.add, engine)
        for entry in self.entries:
            delay_s = self.rng.uniform(*REPORT_DELAYS_S)
            self.at(delay_s, self.report, entry, crash)
        for request in broken:
            if request.attempts < MAX_ATTEMPTS:
                self.at(RETRY_DELAY_S, self.try_engine, request)
            elif not request.repeated:
                self.at(RETRY_DELAY_S, self.send, request.ids, request.benign, True)

    def report(self, entry, crash):
        entry.record_crash(crash, self.now)

    def tick(self):
        """Exchange what entries know of benign prompts."""
        self.at(TICK_S, self.tick)
        for entry in self.entries:
            untold = entry.take_untold()
            for other in self.entries:
                if untold and other is not entry:
                    other.record_benign_at_peers(untold)

    # What came of it.

    def late_fatal_arrivals(self, contact_s, part):
        """Count arrivals with a part too late after the fifth crash by it."""
        crashes = [at for at, parts in self.fatal_crashes if part in parts]
        if len(crashes) < 5:
            return 0
        since = crashes[4] + contact_s
        arrivals = [at for at, parts in self.fatal_arrivals if part in parts]
        return sum(at > since for at in arrivals)

    def benign_share(self, parts, since):
        """Return the share of benign requests with a part that were not refused."""
        sent = [
            request
            for request in self.requests
            if request.benign and request.sent_at > since and request.ids & parts
        ]
        return 1.0 - sum(request.refused for request in sent) / max(1, len(sent))
