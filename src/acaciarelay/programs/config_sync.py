"""Synchronise the configuration of a process from the table, pushes and peers."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any, Protocol

import eliot
from result import Err, Ok, Result

from acaciarelay.protocol.platform_api import (
    Changes,
    Platform,
    PlatformError,
    PlatformFault,
    Row,
)
from acaciarelay.state.config_state import (
    ApplyOutcome,
    ChangeSet,
    ConfigState,
    RowKey,
    read_row_key,
)
from acaciarelay.state.generation_head import (
    GenerationGap,
    GenerationHead,
    Recovery,
    plan_recovery,
)
from acaciarelay.state.records import Envelope, Snapshot, read_envelope
from acaciarelay.state.store_era import FIRST_ERA, StoreVersion
from acaciarelay.transport.era_monitor import EraMonitor
from acaciarelay.transport.peer import PeerError

__all__ = [
    "CONFIG_TABLE",
    "GENERATION_KEY",
    "ConfigPeer",
    "ConfigSync",
    "encode_head",
    "read_changes",
    "read_head",
]

CONFIG_TABLE = "config"
GENERATION_KEY = "generation"
# Largest deviation from the poll interval, as a fraction of it. Entries that started
# together would otherwise poll at the same moments.
POLL_JITTER = 0.2
# More than one peer is queried, since any single peer may itself lag behind.
MAX_BOOTSTRAP_PEERS = 5

Subscriber = Callable[[Snapshot], None]


class ConfigPeer(Protocol):
    """Client of the configuration of one peer entry."""

    async def generation(self) -> Result[int, PeerError]:
        """Read the generation in force at the peer."""

    async def fetch(self, known_generation: int) -> Result[ChangeSet | None, PeerError]:
        """Read the peer's snapshot; ``None`` when it is not above the known one."""

    async def push(self, change: ChangeSet) -> Result[int, PeerError]:
        """Send a change and return the generation then in force at the peer."""


def _read_envelope(row: Row, key: RowKey) -> Envelope:
    try:
        return read_envelope(row.value)
    except ValueError:
        eliot.log_message("config:row_malformed", key=row.key)
        # Every record type has a required field, so an empty body fails validation: it
        # is counted as an error and the last valid record stays in force.
        return Envelope(key.type, key.name, key.schema, 0, {})


def read_head(row: Row | None) -> GenerationHead | None:
    """Read the generation row; 0 without a row, ``None`` when it is malformed."""
    if row is None or row.deleted:
        return GenerationHead()
    try:
        generation = int(row.value["generation"])
        return GenerationHead(
            generation=generation,
            committed=int(row.value.get("committed", generation)),
            era=int(row.value.get("era", FIRST_ERA)),
            gaps=tuple(GenerationGap(*gap) for gap in row.value.get("gaps", [])),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        eliot.log_message("config:row_malformed", key=row.key)
        return None


def encode_head(head: GenerationHead, token: str) -> dict[str, Any]:
    """Encode the generation row; a store without eras keeps the short form."""
    value: dict[str, Any] = {"generation": head.generation, "token": token}
    if head.gaps:
        value["era"] = head.era
        value["committed"] = head.committed
        value["gaps"] = [[gap.last, gap.first] for gap in head.gaps]
    return value


def read_changes(
    changes: Changes, base_generation: int, full_snapshot: bool
) -> ChangeSet | None:
    """Decode rows into a change set from ``base_generation`` to that of the rows.

    ``full_snapshot`` is set if the rows are the complete table. Returns ``None``
    without a valid generation row, except that a complete table without records is
    generation 0.
    """
    generation = None
    changed: list[Envelope] = []
    deleted = []
    for row in changes.rows:
        if row.key == GENERATION_KEY:
            head = read_head(row)
            generation = None if head is None else head.generation
            continue
        key = read_row_key(row.key)
        if key is None:
            continue
        if row.deleted:
            deleted.append(key)
            continue
        changed.append(_read_envelope(row, key))
    if generation is None:
        if not full_snapshot or changed:
            return None
        generation = 0
    return ChangeSet(
        generation=generation,
        base=base_generation,
        changed=changed,
        deleted=[] if full_snapshot else deleted,
        whole=full_snapshot,
    )


class ConfigSync:
    """Follow the configuration and notify subscribers of each new snapshot.

    ``peers`` may be replaced at any time. Times are in seconds. ``recover`` is called
    when the restored table lacks the generation in force; ``problem`` names generations
    that could not be written again.
    """

    def __init__(
        self,
        platform: Platform,
        state: ConfigState,
        peers: Sequence[ConfigPeer],
        rng: Random,
        poll_interval_s: float = 2.0,
        eras: EraMonitor | None = None,
    ) -> None:
        self.platform = platform
        self.state = state
        self.peers = peers
        self.rng = rng
        self.poll_interval_s = poll_interval_s
        self.subscribers: list[Subscriber] = []
        self.last_error: PlatformError | None = None
        self.eras = eras or EraMonitor()
        self.eras.subscribe(self.on_era)
        self.recover: Callable[[], Awaitable[None]] | None = None
        self.recovery_wanted = False
        self.problem = ""
        # Newest operator's commit that the generation in force contains.
        self.committed = 0
        # The newest table version that was read, and the generation it belongs to.
        self.cursor = StoreVersion()
        self.cursor_generation = 0
        self.poll_lock = asyncio.Lock()
        self.poll_requested = asyncio.Event()

    @property
    def ready(self) -> bool:
        return self.state.loaded

    @property
    def snapshot(self) -> Snapshot:
        return self.state.snapshot

    @property
    def generation(self) -> int:
        return self.state.generation

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with the snapshot in force, if any, and each later one."""
        self.subscribers.append(callback)
        if self.ready:
            self.notify(callback)

    def notify(self, callback: Subscriber) -> None:
        try:
            callback(self.state.snapshot)
        except Exception:
            # A failing subscriber must not keep the others on an old snapshot.
            eliot.write_traceback()

    def apply_change(
        self, change: ChangeSet, committed: int | None = None
    ) -> ApplyOutcome:
        """Apply a change from any source; after a gap the table is polled at once.

        ``committed`` is the newest operator's commit that the generation contains, by
        default the generation itself.
        """
        outcome = self.state.apply(change)
        match outcome:
            case ApplyOutcome.APPLIED:
                self.committed = change.generation if committed is None else committed
                eliot.log_message(
                    "config:in_force",
                    generation=self.generation,
                    set_aside=self.state.set_aside,
                )
                for callback in list(self.subscribers):
                    self.notify(callback)
            case ApplyOutcome.GAP:
                self.poll_requested.set()
            case ApplyOutcome.STALE:
                pass
        return outcome

    def on_era(self, former: int, era: int) -> None:
        """Read the table at once when the store has returned from a copy."""
        self.poll_requested.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self.poll_requested.clear()
            match await self.poll():
                case Err():
                    # Peers that still reach the platform may have a newer generation.
                    await self.bootstrap()
                case Ok():
                    pass
            factor = self.rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            try:
                async with asyncio.timeout(self.poll_interval_s * factor):
                    await self.poll_requested.wait()
            except TimeoutError:
                pass

    async def poll(self) -> Result[int, PlatformError]:
        """Read the rows changed since the last poll; return the generation in force."""
        async with self.poll_lock:
            match await self.read_table():
                case Err(error):
                    if self.last_error is None:
                        eliot.log_message("config:poll_failed", detail=error.detail)
                    self.last_error = error
                    return Err(error)
                case Ok(changes):
                    self.last_error = None
                    if not self.ready and changes.era > FIRST_ERA:
                        # A restored table may lack what the peers have in force.
                        await self.bootstrap()
                    self.apply_rows(changes)
            if self.recovery_wanted and self.recover is not None:
                await self.recover()
            return Ok(self.generation)

    async def read_table(self) -> Result[Changes, PlatformError]:
        """Read the rows after the cursor, or all rows of a table that was restored."""
        answer = await self.platform.changes(CONFIG_TABLE, self.cursor.number)
        if not self.cursor.number or not self.was_restored(answer):
            return answer
        self.cursor = StoreVersion()
        return await self.platform.changes(CONFIG_TABLE, self.cursor.number)

    def was_restored(self, answer: Result[Changes, PlatformError]) -> bool:
        match answer:
            case Err(error):
                return error.fault is PlatformFault.GONE
            case Ok(changes):
                other_era = changes.era != self.cursor.era
                return other_era or changes.revision < self.cursor.number
        raise AssertionError("unexpected result")

    def needs_recovery(self, changes: Changes) -> bool:
        """Whether the table has lost the generation in force, which stays in force."""
        head = self.head_of(changes)
        if not self.ready or head is None:
            return False
        step = plan_recovery(self.committed, head, changes.era)
        if step is Recovery.LOST:
            self.problem = f"generation {self.committed} was lost by the store"
            eliot.log_message(
                "config:generation_lost",
                lost=self.committed,
                generation=head.generation,
            )
        return step is Recovery.REWRITE

    def head_of(self, changes: Changes) -> GenerationHead | None:
        """Return the head among rows; 0 for a whole table without a head."""
        for row in changes.rows:
            if row.key == GENERATION_KEY:
                return read_head(row)
        return None if self.cursor.number else GenerationHead()

    def apply_rows(self, changes: Changes) -> None:
        self.recovery_wanted = self.needs_recovery(changes)
        if self.recovery_wanted:
            return
        head = self.head_of(changes)
        committed = None if head is None else head.committed
        version = StoreVersion(changes.era, changes.revision)
        full_snapshot = self.cursor.number == 0
        if not full_snapshot and not changes.rows:
            self.cursor = version
            return
        change = read_changes(changes, self.cursor_generation, full_snapshot)
        if change is None:
            # The cursor is kept, so that the next poll reads these rows again together
            # with the row of their generation.
            return
        if self.apply_change(change, committed) is ApplyOutcome.GAP:
            return
        self.cursor = version
        self.cursor_generation = change.generation

    async def bootstrap(self) -> bool:
        """Fetch the newest snapshot of several peers; return whether it was applied."""
        count = min(MAX_BOOTSTRAP_PEERS, len(self.peers))
        sampled = self.rng.sample(list(self.peers), count)
        answers = await asyncio.gather(*(peer.generation() for peer in sampled))
        candidates = [
            (answer.ok_value, peer)
            for answer, peer in zip(answers, sampled, strict=True)
            if isinstance(answer, Ok)
        ]
        candidates.sort(key=lambda candidate: candidate[0], reverse=True)
        for generation, peer in candidates:
            if self.ready and generation <= self.generation:
                return False
            match await peer.fetch(self.generation):
                case Ok(ChangeSet() as change):
                    if self.apply_change(change) is ApplyOutcome.APPLIED:
                        return True
                case _:
                    continue
        return False
