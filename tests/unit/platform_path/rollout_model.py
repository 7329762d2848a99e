"""Model of entries, links and a store in virtual time, for tests of rollouts.

The store performs conditional writes. Its answers may be lost, and calls may be
performed seconds later. Entries may die, start again, freeze, and be cut off from the
store or from each other.
"""

import heapq
import random

import attrs

from acaciarelay.coordination.rollout import (
    AnswerCounts,
    CountsReceived,
    EndConfirmed,
    EndedOrders,
    EnginesSeen,
    EntriesSeen,
    EpochHeard,
    OrderReplaced,
    Permission,
    ReadRows,
    Remark,
    RolloutCoordinator,
    RowsRead,
    SendPermission,
    ShareLimit,
    Tick,
    WriteEnded,
    WriteOutcome,
    WriteRows,
    counts_receivers,
)
from acaciarelay.state.rollout import Phase, RolloutOrder, RolloutState
from acaciarelay.state.store_era import StoreVersion

STEP_S = 0.05
REPORT_INTERVAL_S = 0.25
ANSWER_S = 0.2
WRITE_TIMEOUT_S = 1.0
START_MS = 1_700_000_000_000


def make_order(duration_s=12.0, version="2", number=7, era=1, service="chat"):
    return RolloutOrder(
        service=service,
        version=version,
        duration_s=duration_s,
        revision=StoreVersion(era, number),
    )


class ModelStore:
    """Both rows of one service, and every end state that was written."""

    def __init__(self):
        self.era = 1
        self.counter = 100
        self.coordinator = (0, None)
        self.status = (0, None)
        self.down = False
        # (order, state) of all performed writes of the status, in their order.
        self.history = []

    def read(self, read_at, now):
        return RowsRead(
            read_at=read_at,
            now_ms=START_MS + int(now * 1000),
            era=self.era,
            coordinator_version=self.coordinator[0],
            coordinator=self.coordinator[1],
            status_version=self.status[0],
            status=self.status[1],
        )

    def write(self, write):
        """Perform a write if its conditions hold; return its version or ``None``."""
        if write.coordinator_version != self.coordinator[0]:
            return None
        if write.status_version != self.status[0]:
            return None
        self.counter += 1
        self.coordinator = (self.counter, write.coordinator)
        if write.status is not None:
            self.status = (self.counter, write.status)
            self.history.append((write.coordinator.order, write.status.state))
        return self.counter


@attrs.define(eq=False)
class ModelEntry:
    name: str
    lifetime: int
    coordinator: RolloutCoordinator
    permission: Permission
    share: ShareLimit
    counts: AnswerCounts
    frozen_until: float = 0.0
    cut_from_store_until: float = 0.0
    cut_from_links_until: float = 0.0
    sender: str = ""
    remarks: list = attrs.Factory(list)
    running: list = attrs.Factory(list)
    reported_at: float = 0.0


class RolloutModel:
    """Entries that carry out one order.

    ``failure_share`` and ``bad_from_s`` are those of the new version. ``write_faults``
    is the share of writes whose answer is lost or that are performed late.
    """

    def __init__(
        self,
        seed=0,
        entries=3,
        order=None,
        rate=40.0,
        failure_share=0.0,
        bad_from_s=0.0,
        write_faults=0.0,
        engines=(6, 6),
    ):
        self.rng = random.Random(seed)
        self.store = ModelStore()
        self.order = order or make_order()
        self.rate = rate
        self.failure_share = failure_share
        self.bad_from_s = bad_from_s
        self.write_faults = write_faults
        self.engines = engines
        self.now = 0.0
        self.events = []
        self.event_count = 0
        self.names = [f"10.0.0.{number}" for number in range(1, entries + 1)]
        self.entries = {}
        self.lifetimes = 0
        self.keys = 0
        self.sent = 0
        self.sent_new = 0
        self.new_sent_at = []
        self.bad_at = []
        self.ended_orders = {}
        self.requests_due = 0.0
        for name in self.names:
            self.start(name)

    # Faults.

    def start(self, name):
        self.lifetimes += 1
        order, lifetime = self.order, str(self.lifetimes)
        known = self.ended_orders.setdefault((name, lifetime), EndedOrders())
        self.entries[name] = ModelEntry(
            name=name,
            lifetime=self.lifetimes,
            coordinator=RolloutCoordinator(order, name, lifetime, self.now),
            permission=Permission(order, known.state_of(order)),
            share=ShareLimit(0.1),
            counts=AnswerCounts(order, name, lifetime),
        )
        self.give(
            self.entries[name], EnginesSeen(old=self.engines[0], new=self.engines[1])
        )

    def kill(self, name):
        self.entries.pop(name, None)

    def coordinator_name(self):
        for name, entry in self.entries.items():
            if entry.coordinator.is_coordinator:
                return name
        return None

    # Events.

    def at(self, when, action):
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, action))

    def give(self, entry, event):
        """Hand an event to an entry, after its pause if it is frozen."""
        if self.entries.get(entry.name) is not entry:
            return
        if entry.frozen_until > self.now:
            self.at(entry.frozen_until, lambda: self.give(entry, event))
            return
        for action in entry.coordinator.handle(event, self.now):
            self.perform(entry, action)

    def perform(self, entry, action):
        match action:
            case ReadRows():
                self.read(entry)
            case WriteRows():
                self.write(entry, action)
            case SendPermission():
                self.send(entry, action)
            case EndConfirmed(state):
                entry.permission.receive_end(state, self.now)
            case Remark():
                entry.remarks.append(action)
            case OrderReplaced():
                entry.remarks.append(Remark("order_replaced", ""))

    def reaches_store(self, entry):
        return not self.store.down and entry.cut_from_store_until <= self.now

    def read(self, entry):
        if not self.reaches_store(entry):
            return
        read_at = self.now
        served_at = self.now + self.rng.uniform(0.0, 0.1)

        def serve():
            if not self.reaches_store(entry):
                return
            rows = self.store.read(read_at, self.now)
            self.at(self.now + self.rng.uniform(0.0, 0.1), lambda: take(rows))

        def take(rows):
            if entry.frozen_until > self.now:
                self.at(entry.frozen_until, lambda: take(rows))
                return
            if rows.coordinator is not None:
                entry.permission.receive_row(
                    rows.coordinator, rows.coordinator_version, rows.read_at
                )
                if rows.coordinator.order == self.order.revision:
                    self.give(entry, EpochHeard(entry.permission.epoch))
            self.give(entry, rows)

        self.at(served_at, serve)

    def write(self, entry, write):
        def end(outcome, version=0):
            ended = WriteEnded(number=write.number, outcome=outcome, version=version)
            self.give(entry, ended)

        def serve(answered):
            version = self.store.write(write) if not self.store.down else None
            if not answered:
                return
            if self.store.down:
                outcome, version = WriteOutcome.NOT_DONE, 0
            elif version is None:
                outcome, version = WriteOutcome.REFUSED, 0
            else:
                outcome = WriteOutcome.PERFORMED
            delay = self.rng.uniform(0.0, 0.1)
            self.at(self.now + delay, lambda: end(outcome, version))

        if not self.reaches_store(entry):
            self.at(self.now + 0.1, lambda: end(WriteOutcome.NOT_DONE))
            return
        delay = self.rng.uniform(0.0, 0.1)
        if self.rng.random() < self.write_faults:
            if self.rng.random() < 0.5:
                delay = self.rng.uniform(0.0, 5.0)
            if self.rng.random() < 0.8:
                self.at(self.now + delay, lambda: serve(False))
            timeout_at = self.now + WRITE_TIMEOUT_S
            self.at(timeout_at, lambda: end(WriteOutcome.UNKNOWN))
            return
        self.at(self.now + delay, lambda: serve(True))

    def linked(self, one, other):
        if one is other:
            return True
        return max(one.cut_from_links_until, other.cut_from_links_until) <= self.now

    def send(self, entry, message):
        for other in list(self.entries.values()):
            if not self.linked(entry, other):
                continue
            delay = 0.0 if other is entry else self.rng.uniform(0.0, 0.05)
            self.at(self.now + delay, lambda other=other: take(other))

        def take(other):
            if self.entries.get(other.name) is not other:
                return
            if other.frozen_until > self.now:
                self.at(other.frozen_until, lambda: take(other))
                return
            taken = other.permission.receive(
                message.epoch, message.phase, self.now, message.age_s, message.state
            )
            if taken:
                other.sender = entry.name
            self.give(other, EpochHeard(message.epoch))

    def report(self, entry):
        entry.reported_at = self.now
        phase = entry.permission.phase(self.now)
        counts = entry.counts.report(entry.permission.epoch, phase, self.now)
        for name in counts_receivers(self.order, self.entries, entry.sender):
            other = self.entries.get(name)
            if other is not None and self.linked(entry, other):
                self.at(
                    self.now + self.rng.uniform(0.0, 0.05),
                    lambda other=other: self.give(other, CountsReceived(counts)),
                )

    # Traffic.

    def request(self, entry):
        phase = entry.permission.phase(self.now)
        ended = entry.permission.state
        new = phase is Phase.FULL or ended is RolloutState.SUCCEEDED
        if phase is Phase.SHARE:
            new = entry.share.may_send_new()
        entry.share.record_sent(new)
        self.sent += 1
        self.keys += 1
        engine = self.rng.randrange(6)
        entry.counts.begin(self.keys, "/chat", str(engine), new, self.now)
        failed = False
        if new:
            self.sent_new += 1
            self.new_sent_at.append(self.now)
            if self.now >= self.bad_from_s:
                failed = self.rng.random() < self.failure_share
        taken_s = ANSWER_S * self.rng.uniform(0.7, 1.4)
        entry.running.append((self.now + taken_s, self.keys, new, failed))

    def end_requests(self, entry):
        left = []
        for end_at, key, new, failed in entry.running:
            if end_at > self.now:
                left.append((end_at, key, new, failed))
                continue
            entry.counts.end(key, failed, self.now)
            if new:
                entry.permission.record_answer(failed)
                if failed:
                    self.bad_at.append(self.now)
        entry.running = left

    # Time.

    def step(self):
        self.now = round(self.now + STEP_S, 6)
        while self.events and self.events[0][0] <= self.now:
            heapq.heappop(self.events)[2]()
        awake = [one for one in self.entries.values() if one.frozen_until <= self.now]
        self.requests_due += self.rate * STEP_S
        while self.requests_due >= 1.0:
            self.requests_due -= 1.0
            if awake:
                self.request(self.rng.choice(awake))
        live = tuple(self.entries)
        for entry in awake:
            self.end_requests(entry)
            self.give(entry, EntriesSeen(live))
            self.give(entry, Tick())
            if self.now - entry.reported_at >= REPORT_INTERVAL_S:
                self.report(entry)

    def run(self, until_s, actions=()):
        """Go on to a time; ``actions`` are pairs of a time and a function."""
        for when, action in actions:
            self.at(when, action)
        while self.now < until_s:
            self.step()

    # Checks.

    def ends(self):
        return [state for _, state in self.store.history if state.is_end]

    def check_one_end(self):
        """Fail if an end state was changed, or a second one was written."""
        ended = False
        for order, state in self.store.history:
            if order != self.order.revision:
                continue
            assert not ended, self.store.history
            ended = state.is_end
