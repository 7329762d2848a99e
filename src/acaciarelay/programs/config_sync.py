"""Keep the configuration of a process in step with the table, pushes and peers."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

import eliot
from result import Err, Ok, Result

from acaciarelay.protocol.platform_api import Changes, Platform, PlatformError, Row
from acaciarelay.state.config_state import (
    ApplyOutcome,
    ChangeSet,
    ConfigState,
    RowKey,
    read_row_key,
)
from acaciarelay.state.records import Envelope, Snapshot, read_envelope
from acaciarelay.transport.peer import PeerError

__all__ = [
    "CONFIG_TABLE",
    "GENERATION_KEY",
    "ConfigSync",
    "Peer",
    "read_changes",
    "read_generation",
]

CONFIG_TABLE = "config"
GENERATION_KEY = "generation"
# Entries that started together would otherwise poll at the same moments.
JITTER = 0.2
# Several peers are asked, since any one of them may itself lag behind.
PEERS_ASKED = 5

Subscriber = Callable[[Snapshot], None]


class Peer(Protocol):
    """Give access to the configuration of one peer entry."""

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
        # Every record type has a required field, so an empty body is counted as an
        # error and the last understood record stays in force.
        return Envelope(key.type, key.name, key.schema, 0, {})


def read_generation(row: Row | None) -> int | None:
    """Read the generation row; 0 without a row, ``None`` when it is malformed."""
    if row is None or row.deleted:
        return 0
    try:
        return int(row.value["generation"])
    except (KeyError, TypeError, ValueError):
        eliot.log_message("config:row_malformed", key=row.key)
        return None


def read_changes(changes: Changes, base: int, whole: bool) -> ChangeSet | None:
    """Read rows into a change set; ``None`` when they are no complete generation."""
    generation = None
    changed: list[Envelope] = []
    deleted = []
    for row in changes.rows:
        if row.key == GENERATION_KEY:
            generation = read_generation(row)
            continue
        key = read_row_key(row.key)
        if key is None:
            continue
        if row.deleted:
            deleted.append(key)
            continue
        changed.append(_read_envelope(row, key))
    if generation is None:
        if not whole or changed:
            return None
        generation = 0
    return ChangeSet(
        generation=generation,
        base=base,
        changed=changed,
        deleted=[] if whole else deleted,
        whole=whole,
    )


class ConfigSync:
    """Follow the configuration and tell subscribers of each new snapshot.

    ``peers`` may be replaced at any time. Times are in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        state: ConfigState,
        peers: Sequence[Peer],
        random: Random,
        poll_interval_s: float = 2.0,
    ) -> None:
        self.platform = platform
        self.state = state
        self.peers = peers
        self.random = random
        self.poll_interval_s = poll_interval_s
        self.subscribers: list[Subscriber] = []
        self.last_error: PlatformError | None = None
        # The newest table revision read, and the generation that it belongs to.
        self.cursor = 0
        self.cursor_generation = 0
        self.polling = asyncio.Lock()
        self.wanted = asyncio.Event()

    @property
    def ready(self) -> bool:
        return self.state.in_force

    @property
    def snapshot(self) -> Snapshot:
        return self.state.snapshot

    @property
    def generation(self) -> int:
        return self.state.generation

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with each new snapshot, and with the one in force."""
        self.subscribers.append(callback)
        if self.ready:
            self.notify(callback)

    def notify(self, callback: Subscriber) -> None:
        try:
            callback(self.state.snapshot)
        except Exception:
            # One failing subscriber must not keep the others on an old snapshot.
            eliot.write_traceback()

    def offer(self, change: ChangeSet) -> ApplyOutcome:
        """Apply a change from any source; after a gap the table is polled at once."""
        outcome = self.state.apply(change)
        match outcome:
            case ApplyOutcome.APPLIED:
                eliot.log_message(
                    "config:in_force",
                    generation=self.generation,
                    set_aside=self.state.set_aside,
                )
                for callback in list(self.subscribers):
                    self.notify(callback)
            case ApplyOutcome.GAP:
                self.wanted.set()
            case ApplyOutcome.STALE:
                pass
        return outcome

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self.wanted.clear()
            match await self.poll():
                case Err():
                    # Peers whose own link to the platform works may know more.
                    await self.bootstrap()
                case Ok():
                    pass
            factor = self.random.uniform(1 - JITTER, 1 + JITTER)
            try:
                async with asyncio.timeout(self.poll_interval_s * factor):
                    await self.wanted.wait()
            except TimeoutError:
                pass

    async def poll(self) -> Result[int, PlatformError]:
        """Read the rows changed since the last poll; return the generation in force."""
        async with self.polling:
            match await self.platform.changes(CONFIG_TABLE, self.cursor):
                case Err(error):
                    if self.last_error is None:
                        eliot.log_message("config:poll_failed", detail=error.detail)
                    self.last_error = error
                    return Err(error)
                case Ok(changes):
                    self.last_error = None
                    self.take(changes)
                    return Ok(self.generation)

    def take(self, changes: Changes) -> None:
        if changes.revision < self.cursor:
            # The table was replaced by an older one, so the cursor means nothing.
            self.cursor = 0
            return
        whole = self.cursor == 0
        if not whole and not changes.rows:
            self.cursor = changes.revision
            return
        change = read_changes(changes, self.cursor_generation, whole)
        if change is None:
            # Keeping the cursor makes the next poll read these rows again, together
            # with their generation.
            return
        if self.offer(change) is ApplyOutcome.GAP:
            return
        self.cursor = changes.revision
        self.cursor_generation = change.generation

    async def bootstrap(self) -> bool:
        """Take the highest snapshot of several peers; returns whether it was new."""
        count = min(PEERS_ASKED, len(self.peers))
        asked = self.random.sample(list(self.peers), count)
        answers = await asyncio.gather(*(peer.generation() for peer in asked))
        holders = [
            (answer.ok_value, peer)
            for answer, peer in zip(answers, asked, strict=True)
            if isinstance(answer, Ok)
        ]
        holders.sort(key=lambda holder: holder[0], reverse=True)
        for generation, peer in holders:
            if self.ready and generation <= self.generation:
                return False
            match await peer.fetch(self.generation):
                case Ok(ChangeSet() as change):
                    if self.offer(change) is ApplyOutcome.APPLIED:
                        return True
                case _:
                    continue
        return False
