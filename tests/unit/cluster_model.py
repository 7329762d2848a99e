"""Model of entries, agents and the table under faults.

The model network loses, duplicates and reorders messages. Entries and agents crash and
restart as a new incarnation with empty memory. A run is a list of random steps, so a
failure can be reproduced from the seed and the choices that are printed.
"""

import random

import attrs
from unit.state_table import Message, Table

from acaciarelay.state.claim import (
    AlreadyApplied,
    Denied,
    Put,
    ResultRecord,
    claim_step,
    finish_step,
    release_step,
    start_step,
)
from acaciarelay.state.config_state import ChangeSet, ConfigState
from acaciarelay.state.dispatch_log import DispatchLog, DispatchState
from acaciarelay.state.lease import (
    FencedLease,
    LeaseOwned,
    LeasePut,
    LeaseRow,
    acquire_step,
    renew_step,
)
from acaciarelay.state.records import Envelope
from acaciarelay.state.request_state import AgentIdentity, Phase, RequestState

AGENTS = ("agent-1", "agent-2")
ENTRIES = ("entry-1", "entry-2")
KEYS = ("key-1", "key-2")
TAKE_OVER_S = 5.0
LEASE_S = 4.0
MARGIN_S = 0.5


@attrs.define
class ClusterModel:
    """All processes, the network between them, and a record of what happened.

    ``dispatched`` and ``effects`` hold the runs that took place, ``not_run`` the
    requests that were reported to callers as not run.
    """

    rng: random.Random
    now: float = 100.0
    table: Table = attrs.field(factory=Table)
    network: list[Message] = attrs.field(factory=list)
    incarnations: dict[str, int] = attrs.field(factory=dict)
    requests: dict[str, dict[str, RequestState]] = attrs.field(factory=dict)
    logs: dict[str, DispatchLog] = attrs.field(factory=dict)
    configs: dict[str, ConfigState] = attrs.field(factory=dict)
    tokens: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    dispatched: list[tuple[str, str, int]] = attrs.field(factory=list)
    effects: dict[str, list[str]] = attrs.field(factory=dict)
    not_run: set[str] = attrs.field(factory=set)
    generation: int = 0
    seen_generations: dict[tuple[str, int], int] = attrs.field(factory=dict)
    published: list[ChangeSet] = attrs.field(factory=list)
    leases: dict[str, FencedLease] = attrs.field(factory=dict)
    observed: dict[str, tuple[LeaseRow, float]] = attrs.field(factory=dict)
    commands: list[tuple[float, str, int]] = attrs.field(factory=list)
    serial: int = 0

    def __attrs_post_init__(self) -> None:
        for name in (*ENTRIES, *AGENTS):
            self.start(name)

    def start(self, name: str) -> None:
        """Start a process, or restart it with empty memory."""
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.configs[name] = ConfigState()
        self.leases.pop(name, None)
        self.observed.pop(name, None)
        if name in ENTRIES:
            self.requests[name] = {}
        else:
            self.logs[name] = DispatchLog()

    def identity(self, name: str) -> tuple[str, int]:
        return (name, self.incarnations[name])

    def unique(self, prefix: str) -> str:
        self.serial += 1
        return f"{prefix}-{self.serial}"

    # Steps of an entry.

    def new_request(self) -> None:
        entry = self.rng.choice(ENTRIES)
        request_id = self.unique("request")
        key = self.rng.choice(("", *KEYS))
        token = self.unique("token")
        if key and not self.claim(key, token):
            return
        state: RequestState = RequestState(request_id)
        self.requests[entry][request_id] = state
        self.tokens[request_id] = (key, token)
        for agent in AGENTS:
            state.reserve(agent)
            self.send("pull", entry, agent, request_id)

    def claim(self, key: str, token: str) -> bool:
        revision, current = self.table.read(key)
        match claim_step(current, "hash", token, self.now, TAKE_OVER_S):
            case Put(claim):
                return self.table.write(key, revision, claim)
        return False

    def send(self, kind: str, entry: str, agent: str, request_id: str) -> None:
        key, token = self.tokens[request_id]
        ends = (self.identity(entry), self.identity(agent))
        self.network.append(Message(kind, *ends, request_id, key, token))

    def refuse_waiting(self) -> None:
        """End a request at its entry, reporting "not run" only if that is certain."""
        found = self.pick_request()
        if found is None:
            return
        _, state = found
        if state.phase is Phase.ENDED:
            return
        if state.certainly_not_run:
            self.not_run.add(state.request_id)
        state.end()

    def query_holder(self) -> None:
        """Query the holder's current process, as after the loss of a session."""
        found = self.pick_request()
        if found is None:
            return
        entry, state = found
        if state.phase is Phase.HANDED_OFF and state.holder is not None:
            self.send("query", entry, state.holder.agent_id, state.request_id)

    def reserve_again(self) -> None:
        found = self.pick_request()
        if found is None:
            return
        entry, state = found
        if state.phase is not Phase.WAITING:
            return
        agent = self.rng.choice(AGENTS)
        state.reserve(agent)
        self.send("pull", entry, agent, state.request_id)

    def pick_request(self) -> tuple[str, RequestState] | None:
        entry = self.rng.choice(ENTRIES)
        if not self.requests[entry]:
            return None
        request_id = self.rng.choice(sorted(self.requests[entry]))
        return entry, self.requests[entry][request_id]

    # The network.

    def deliver(self) -> None:
        """Deliver a random message; it may stay queued and be delivered again."""
        if not self.network:
            return
        index = self.rng.randrange(len(self.network))
        message = self.network[index]
        if self.rng.random() < 0.8:
            del self.network[index]
        self.receive(message)

    def lose_message(self) -> None:
        if self.network:
            del self.network[self.rng.randrange(len(self.network))]

    def receive(self, message: Message) -> None:
        if message.kind in ("pull", "tombstoned", "not_sent"):
            self.entry_receives(message)
        else:
            self.agent_receives(message)

    def entry_receives(self, message: Message) -> None:
        entry, incarnation = message.entry
        if self.incarnations[entry] != incarnation:
            return
        state = self.requests[entry].get(message.request_id)
        if state is None:
            return
        agent = AgentIdentity(*message.agent)
        match message.kind:
            case "pull":
                if state.hand_off(agent):
                    self.network.append(attrs.evolve(message, kind="grant"))
            case "tombstoned":
                state.requeue(agent)
            case "not_sent":
                if state.phase is Phase.HANDED_OFF and state.holder == agent:
                    self.not_run.add(message.request_id)
                    state.end()

    def agent_receives(self, message: Message) -> None:
        agent, incarnation = message.agent
        # A session belongs to one incarnation: messages to an earlier one are lost, and
        # a query is addressed to the current one.
        if self.incarnations[agent] != incarnation:
            return
        log = self.logs[agent]
        match message.kind:
            case "grant":
                self.dispatch(agent, log, message)
            case "query":
                if (
                    log.query_or_tombstone(message.request_id, self.now)
                    is DispatchState.TOMBSTONED
                ):
                    self.network.append(attrs.evolve(message, kind="tombstoned"))

    def dispatch(self, agent: str, log: DispatchLog, message: Message) -> None:
        entry, incarnation = message.entry
        begun = log.begin(message.request_id, entry, incarnation, not message.key)
        if begun is None:
            return
        if message.key and not self.start_claim(message.key, message.token):
            log.retire(message.request_id, self.now)
            self.network.append(attrs.evolve(message, kind="not_sent"))
            return
        self.dispatched.append((message.request_id, *self.identity(agent)))
        if message.key:
            _, claim = self.table.read(message.key)
            assert claim.token == message.token, "started under a replaced token"
            self.effects.setdefault(message.key, []).append(message.request_id)
            # The agent may crash before it stores the result.
            if self.rng.random() < 0.5:
                self.finish_claim(message.key, message.token)
        if self.rng.random() < 0.5:
            log.retire(message.request_id, self.now)

    def start_claim(self, key: str, token: str) -> bool:
        """Start as the claim store does, which reads back after a lost response."""
        start_id = self.unique("start")
        for _ in range(3):
            revision, current = self.table.read(key)
            match start_step(current, token, start_id):
                case Put(claim):
                    written = self.table.write(key, revision, claim)
                    if written and self.rng.random() < 0.7:
                        return True
                case AlreadyApplied():
                    return True
                case Denied():
                    return False
        # The start can't be confirmed: the call is not sent and the claim is released.
        revision, current = self.table.read(key)
        match release_step(current, token, start_id):
            case Put(None):
                self.table.write(key, revision, None)
        return False

    def finish_claim(self, key: str, token: str) -> None:
        revision, current = self.table.read(key)
        match finish_step(current, token, ResultRecord(status=200, headers=[])):
            case Put(claim):
                self.table.write(key, revision, claim)

    def release_claim(self) -> None:
        """Release the claim of a request that its entry never handed off."""
        found = self.pick_request()
        if found is None:
            return
        _, state = found
        key, token = self.tokens[state.request_id]
        if not key or state.phase is not Phase.ENDED or not state.certainly_not_run:
            return
        revision, current = self.table.read(key)
        match release_step(current, token, ""):
            case Put(None):
                self.table.write(key, revision, None)

    # Configuration.

    def publish(self) -> None:
        self.generation += 1
        body = {"rank": self.generation}
        envelope = Envelope("tier", "only", 1, self.generation, body)
        whole = self.rng.random() < 0.5
        change = ChangeSet(
            generation=self.generation,
            base=self.generation - 1,
            changed=[envelope],
            whole=whole,
        )
        self.published.append(change)

    def offer_config(self) -> None:
        """Offer a random change to a random process, so also repeatedly or too late."""
        if not self.published:
            return
        name = self.rng.choice((*ENTRIES, *AGENTS))
        self.configs[name].apply(self.rng.choice(self.published))

    # Leases.

    def acquire(self) -> None:
        name = self.rng.choice(AGENTS)
        revision, row = self.table.read("lease")
        observed = self.observed.get(name)
        expired = False
        if row is not None:
            if observed is None or observed[0] != row:
                self.observed[name] = (row, self.now)
            else:
                expired = self.lease_of(name, row, observed[1]).certainly_expired(
                    self.now
                )
        wanted = LeaseRow(
            holder=f"{name}/{self.incarnations[name]}",
            token=0,
            write_id=self.unique("write"),
            duration_s=LEASE_S,
        )
        match acquire_step(row, wanted, expired):
            case LeasePut(new) | LeaseOwned(new):
                if self.table.write("lease", revision, new):
                    self.leases[name] = self.lease_of(name, new, self.now)

    def renew(self) -> None:
        name = self.rng.choice(AGENTS)
        lease = self.leases.get(name)
        if lease is None:
            return
        revision, row = self.table.read("lease")
        wanted = LeaseRow(
            holder=lease.holder,
            token=lease.token,
            write_id=self.unique("write"),
            duration_s=LEASE_S,
        )
        match renew_step(row, wanted):
            case LeasePut(new):
                if self.table.write("lease", revision, new):
                    self.leases[name] = self.lease_of(name, new, self.now)
            case _:
                del self.leases[name]

    def lease_of(self, name: str, row: LeaseRow, since: float) -> FencedLease:
        return FencedLease(
            name="engine",
            holder=row.holder,
            token=row.token,
            since=since,
            duration_s=LEASE_S,
            margin_s=MARGIN_S,
        )

    def command(self) -> None:
        name = self.rng.choice(AGENTS)
        lease = self.leases.get(name)
        if lease is not None and lease.may_act(self.now):
            self.commands.append((self.now, name, lease.token))

    # Time and crashes.

    def pass_time(self) -> None:
        self.now += self.rng.choice((0.1, 1.0, 3.0))

    def crash(self) -> None:
        self.start(self.rng.choice((*ENTRIES, *AGENTS)))

    # Invariants.

    def check(self) -> None:
        ids = [request_id for request_id, _, _ in self.dispatched]
        assert len(ids) == len(set(ids)), f"dispatched twice: {self.dispatched}"
        misreported = self.not_run.intersection(ids)
        assert not misreported, f"reported as not_run, but dispatched: {misreported}"
        for key, runs in self.effects.items():
            assert len(runs) <= 1, f"{key} ran {len(runs)} times: {runs}"
        for name, config in self.configs.items():
            before = self.seen_generations.get(self.identity(name), 0)
            assert config.generation >= before, (
                f"{name} reverted to {config.generation}"
            )
            self.seen_generations[self.identity(name)] = config.generation
        fenced = [token for _, _, token in self.commands]
        assert fenced == sorted(fenced), (
            f"a command under an older token: {self.commands}"
        )


STEPS = [
    *[ClusterModel.new_request] * 2,
    *[ClusterModel.deliver] * 8,
    ClusterModel.lose_message,
    ClusterModel.query_holder,
    ClusterModel.reserve_again,
    ClusterModel.refuse_waiting,
    ClusterModel.release_claim,
    ClusterModel.publish,
    *[ClusterModel.offer_config] * 2,
    *[ClusterModel.acquire] * 2,
    ClusterModel.renew,
    ClusterModel.command,
    ClusterModel.pass_time,
    ClusterModel.crash,
]
