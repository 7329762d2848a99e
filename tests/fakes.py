"""In-memory fakes of the platform and of a peer process."""

import copy
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from acaciarelay.protocol.platform_api import (
    Changes,
    Committed,
    Conflict,
    PlatformError,
    PlatformFault,
    Row,
    Transaction,
    Vm,
)
from acaciarelay.state.config_state import ChangeSet, ConfigState, snapshot_change_set
from acaciarelay.transport.peer import PeerError

UNAVAILABLE = PlatformError(PlatformFault.UNAVAILABLE, "the platform is down")
UNKNOWN = PlatformError(PlatformFault.UNKNOWN, "the answer was lost")


@attrs.define(slots=False)  # Tests replace methods of an instance.
class FakePlatform:
    """Platform whose tables are in memory, with failures that tests set.

    The next ``lost_requests`` commits are held in ``in_flight`` and fail as unknown;
    the next ``lost_answers`` commits take effect and fail as unknown.
    ``before_commit`` is called once, before the next commit.
    """

    tables: dict[str, dict[str, Row]] = attrs.field(factory=dict)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    vms: list[Vm] = attrs.field(factory=list)
    revision: int = 0
    down: bool = False
    reads_down: bool = False
    lost_answers: int = 0
    lost_requests: int = 0
    in_flight: list[Transaction] = attrs.field(factory=list)
    before_commit: Callable[[], None] | None = None
    commits: int = 0
    reads: int = 0

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        self.reads += 1
        if self.down or self.reads_down:
            return Err(UNAVAILABLE)
        row = self.tables.get(table, {}).get(key)
        return Ok(None if row is None or row.deleted else copy.deepcopy(row))

    async def changes(self, table: str, after: int) -> Result[Changes, PlatformError]:
        if self.down or self.reads_down:
            return Err(UNAVAILABLE)
        rows = [r for r in self.tables.get(table, {}).values() if r.revision > after]
        rows.sort(key=lambda row: row.revision)
        return Ok(Changes(copy.deepcopy(rows), self.revision))

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | PlatformError]:
        hook, self.before_commit = self.before_commit, None
        if hook is not None:
            hook()
        if self.down:
            return Err(UNAVAILABLE)
        if self.lost_requests > 0:
            self.lost_requests -= 1
            self.in_flight.append(transaction)
            return Err(UNKNOWN)
        answer = self.execute(transaction)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return Err(UNKNOWN)
        return answer

    def execute(self, transaction: Transaction) -> Result[Committed, Conflict]:
        for check in transaction.checks:
            row = self.tables.get(check.table, {}).get(check.key)
            revision = 0 if row is None or row.deleted else row.revision
            if revision != check.revision:
                return Err(Conflict(check.table, check.key, revision))
        self.revision += 1
        self.commits += 1
        for write in transaction.writes:
            deleted = write.value is None
            row = Row(write.key, copy.deepcopy(write.value), self.revision, deleted)
            self.tables.setdefault(write.table, {})[write.key] = row
        return Ok(Committed(self.revision))

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        return Err(UNAVAILABLE) if self.down else Ok(self.objects.get(name))

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[Committed, PlatformError]:
        if self.down:
            return Err(UNAVAILABLE)
        self.objects[name] = data
        self.revision += 1
        return Ok(Committed(self.revision))

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        return Err(UNAVAILABLE) if self.down else Ok(list(self.vms))


@attrs.define
class FakePeer:
    """Peer process that holds a configuration state, without a network."""

    state: ConfigState
    down: bool = False
    pushed: list[ChangeSet] = attrs.field(factory=list)

    async def generation(self) -> Result[int, PeerError]:
        if self.down or not self.state.loaded:
            return Err(PeerError("peer", "down"))
        return Ok(self.state.generation)

    async def fetch(self, known_generation: int) -> Result[ChangeSet | None, PeerError]:
        if self.down or not self.state.loaded:
            return Err(PeerError("peer", "down"))
        return Ok(snapshot_change_set(self.state.snapshot))

    async def push(self, change: ChangeSet) -> Result[int, PeerError]:
        if self.down:
            return Err(PeerError("peer", "down"))
        self.pushed.append(change)
        self.state.apply(change)
        return Ok(self.state.generation)
