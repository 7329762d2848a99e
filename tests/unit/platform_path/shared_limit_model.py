"""Model of processes that share one rate limit, with a simulated clock."""

import random

from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.state.routing import Organisation

__all__ = [
    "BOUND",
    "EXCESS",
    "ORGANISATION",
    "RATE",
    "SLACK",
    "STEP_S",
    "SharedLimitSimulation",
    "TOLERANCE",
    "WINDOW_S",
]

RATE = 20_000.0
SLACK = 72_000.0
EXCESS = 0.1
WINDOW_S = 8.0
STEP_S = 0.05
TOLERANCE = UsageTolerance(
    window_s=WINDOW_S, excess_fraction=EXCESS, slack_tokens=SLACK
)
BOUND = (RATE * WINDOW_S + RATE) * (1 + EXCESS) + SLACK

ORGANISATION = Organisation(
    name="dealer",
    rank=None,
    by_tokens=True,
    default_cost_tokens=200,
    rate_per_s=RATE,
    burst=RATE,
)


class SharedLimitSimulation:
    """Simulate processes that share one limit, with a simulated clock.

    Callers request ``flood`` times the limit.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        flood: float = 31.0,
        organisation: Organisation = ORGANISATION,
    ) -> None:
        self.organisation = organisation
        self.rng = random.Random(seed)
        self.now = 100.0
        self.count = count
        # Mean number of requests per process and step; a request costs 3,550 tokens on
        # average (see ``step``).
        self.set_flood(flood)
        self.ledgers = {n: self.start(True) for n in range(count)}
        self.started_at = dict.fromkeys(range(count), self.now)
        self.partitioned: set[int] = set()
        # No process ever gets a message.
        self.unlinked = False
        self.down: dict[int, float] = {}
        self.admitted: list[tuple[float, float]] = []
        self.requested = 0.0
        self.next_message_at = self.now

    def set_flood(self, flood: float) -> None:
        tokens = flood * self.organisation.rate_per_s * STEP_S
        self.mean_requests = tokens / (self.count * 3550.0)

    def start(self, first: bool) -> UsageLedger:
        ledger = UsageLedger(TOLERANCE, first, self.now)
        ledger.known_peer_count = self.count - 1
        return ledger

    def step(self) -> None:
        self.now += STEP_S
        for name, until in list(self.down.items()):
            if self.now >= until:
                del self.down[name]
                self.ledgers[name] = self.start(False)
                self.started_at[name] = self.now
        for name, ledger in self.ledgers.items():
            if name in self.down:
                continue
            pending = self.mean_requests
            while pending > self.rng.random():
                pending -= 1.0
                cost = float(self.rng.randrange(100, 7000))
                self.requested += cost
                if ledger.admit(self.organisation, cost, self.now) == 0:
                    self.admitted.append((self.now, cost))
        if self.now >= self.next_message_at:
            self.next_message_at += self.ledgers[0].message_interval_s
            self.exchange_totals()

    def exchange_totals(self) -> None:
        if self.unlinked:
            return
        for name, ledger in self.ledgers.items():
            if name in self.down:
                continue
            for other, receiver in self.ledgers.items():
                if other == name or other in self.down:
                    continue
                if (name in self.partitioned) != (other in self.partitioned):
                    continue
                receiver.merge_peer_totals(
                    str(name),
                    str(self.started_at[name]),
                    self.now - self.started_at[name],
                    ledger.totals(),
                    ledger.demand(self.now),
                    self.now,
                )

    def lose(self, name: int) -> None:
        for other, ledger in self.ledgers.items():
            if other != name:
                ledger.mark_peer_lost(str(name), self.now)

    def kill(self, name: int, down_s: float) -> None:
        self.down[name] = self.now + down_s
        self.lose(name)

    def partition(self, name: int) -> None:
        self.partitioned.add(name)
        for one in self.partitioned:
            for other in set(self.ledgers) - self.partitioned:
                self.ledgers[one].mark_peer_lost(str(other), self.now)
                self.ledgers[other].mark_peer_lost(str(one), self.now)

    def max_window_tokens(self) -> float:
        worst = 0.0
        first = 0
        total = 0.0
        for at, cost in self.admitted:
            total += cost
            while self.admitted[first][0] < at - WINDOW_S:
                total -= self.admitted[first][1]
                first += 1
            worst = max(worst, total)
        return worst
