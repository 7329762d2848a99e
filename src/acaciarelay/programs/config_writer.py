"""Commit record changes to the table exactly once, with optimistic locking."""

import asyncio
import enum
import itertools
import secrets
import time
from collections.abc import Callable

import attrs
import eliot
from result import Err, Ok, Result

from acaciarelay.programs.config_plan import Plan, plan_changes
from acaciarelay.programs.config_recovery import ConfigRecovery, history_key
from acaciarelay.programs.config_sync import (
    CONFIG_TABLE,
    GENERATION_KEY,
    ConfigPeer,
    ConfigSync,
    encode_head,
    read_head,
)
from acaciarelay.protocol.admin_api import (
    ApplyAnswer,
    ApplyRequest,
    HistoryEntry,
    RecordRefusal,
    read_as,
    to_plain,
)
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.platform_api import (
    Check,
    Conflict,
    PlatformError,
    PlatformFault,
    Row,
    Transaction,
    Write,
)
from acaciarelay.state.config_state import ChangeSet, snapshot_change_set
from acaciarelay.state.generation_head import GenerationHead
from acaciarelay.transport.era_monitor import RESTORE_WINDOW_S

__all__ = ["ConfigWriter", "WriterLimits"]


@attrs.frozen(kw_only=True)
class WriterLimits:
    """Limits of commits, pushes and history.

    A starting entry reads the complete table, so ``history_limit`` bounds the number of
    history rows in it. At 530 changes a day, 2,000 rows cover more than three days.
    ``token_search_limit`` is the number of latest commits among which the token of a
    retried request is searched for. ``resolve_attempts`` and ``resolve_interval_s``
    apply to the resolution of a commit whose answer was lost.
    """

    commit_attempts: int = 8
    resolve_attempts: int = 20
    resolve_interval_s: float = 0.5
    retry_after_s: float = 2.0
    parallel_reads: int = 16
    parallel_pushes: int = 32
    snapshot_delay_s: float = 5.0
    history_limit: int = 2_000
    token_search_limit: int = 32


class _CommitOutcome(enum.Enum):
    COMMITTED = enum.auto()
    CONFLICT = enum.auto()  # Another commit came first; this one never takes effect.
    UNAVAILABLE = enum.auto()  # It had no effect.
    UNKNOWN = enum.auto()  # It may have taken effect.


@attrs.frozen
class _CommitBase:
    """The generation that a commit replaces, with the revision and era of its row."""

    head: GenerationHead
    row_revision: int
    era: int

    @property
    def following(self) -> GenerationHead:
        return self.head.next(self.era)


def _row_revision(row: Row | None) -> int:
    return 0 if row is None or row.deleted else row.revision


class ConfigWriter:
    """Write the configuration and push each commit to the peers of ``sync``."""

    def __init__(
        self,
        sync: ConfigSync,
        limits: WriterLimits | None = None,
        new_token: Callable[[], str] = lambda: secrets.token_hex(8),
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.sync = sync
        self.platform = sync.platform
        self.limits = limits or WriterLimits()
        self.new_token = new_token
        self.wall_clock = wall_clock
        sync.recover = ConfigRecovery(sync, new_token, wall_clock).recover
        self.pushes: set[asyncio.Task] = set()
        self.push_semaphore = asyncio.Semaphore(self.limits.parallel_pushes)
        # A snapshot takes megabytes, so only one is encoded and sent at a time.
        self.snapshot_lock = asyncio.Semaphore(1)

    async def apply(self, request: ApplyRequest) -> Result[ApplyAnswer, Refusal]:
        """Commit all changes in one transaction, or none of them.

        Errors: 600 when nothing was written, 601 when the outcome could not be read
        back, 701 to 705 for the problems of the changes.
        """
        token = request.token or self.new_token()
        for _ in range(self.limits.commit_attempts):
            match await self.read_base():
                case Err(refusal):
                    return Err(refusal)
                case Ok(base):
                    pass
            following = base.following.generation
            match plan_changes(self.sync.state, request.changes, following):
                case Err(refusal):
                    return await self.answer_retried_request(refusal, request, token)
                case Ok(plan):
                    pass
            if request.dry_run or not plan.diffs:
                generation = self.sync.generation
                return Ok(
                    ApplyAnswer(
                        generation=generation,
                        token=token,
                        committed=False,
                        changes=plan.diffs,
                    )
                )
            match await self.commit_plan(base, plan, request.operator, token):
                case Err(refusal):
                    return Err(refusal)
                case Ok(_CommitOutcome.COMMITTED):
                    self.publish(plan.change)
                    return Ok(_committed_answer(plan, token))
                case _:
                    # The next attempt reports a conflict if the other commit changed
                    # one of these records, and writes again otherwise.
                    continue
        detail = "other commits came first too often"
        return Err(refuse("platform_unavailable", detail, self.limits.retry_after_s))

    async def read_base(self) -> Result[_CommitBase, Refusal]:
        """Update to the table's generation; return it and the revision of its row.

        While a restored table is written again, nothing is committed on top of it.
        """
        if self.sync.eras.is_younger_than(RESTORE_WINDOW_S):
            return Err(self.unavailable("the store was restored a moment ago"))
        for _ in range(self.limits.commit_attempts):
            match await self.platform.read(CONFIG_TABLE, GENERATION_KEY):
                case Err(error):
                    return Err(self.unavailable(error.detail))
                case Ok(row):
                    head = read_head(row)
            if head is None:
                return Err(self.unavailable("the generation row is malformed"))
            if not self.sync.ready or self.sync.generation != head.generation:
                match await self.sync.poll():
                    case Err(error):
                        return Err(self.unavailable(error.detail))
                    case _:
                        pass
            if self.sync.ready and self.sync.generation == head.generation:
                era = self.sync.eras.current if row is None else row.era
                return Ok(_CommitBase(head, _row_revision(row), era))
        detail = "the table does not agree with the generation in force"
        return Err(self.unavailable(detail))

    def unavailable(self, detail: str) -> Refusal:
        return refuse("platform_unavailable", detail, self.limits.retry_after_s)

    async def commit_plan(
        self, base: _CommitBase, plan: Plan, operator: str, token: str
    ) -> Result[_CommitOutcome, Refusal]:
        checks = [Check(CONFIG_TABLE, GENERATION_KEY, base.row_revision)]
        match await self.read_revisions([str(key) for key in plan.touched]):
            case Err(refusal):
                return Err(refusal)
            case Ok(row_checks):
                checks += row_checks
        writes = self.build_writes(base, plan, operator, token)
        transaction = Transaction(checks, writes, base.era)
        generation = plan.change.generation
        match await self.commit(transaction, generation, token):
            case _CommitOutcome.UNKNOWN:
                detail = f"generation {generation} with token {token} is not settled"
                return Err(refuse("platform_unknown", detail))
            case _CommitOutcome.UNAVAILABLE:
                return Err(self.unavailable("the commit was not accepted"))
            case outcome:
                return Ok(outcome)

    async def read_revisions(self, keys: list[str]) -> Result[list[Check], Refusal]:
        read_semaphore = asyncio.Semaphore(self.limits.parallel_reads)

        async def read(key: str) -> Result[Check, PlatformError]:
            async with read_semaphore:
                answer = await self.platform.read(CONFIG_TABLE, key)
            return answer.map(lambda row: Check(CONFIG_TABLE, key, _row_revision(row)))

        checks = []
        for answer in await asyncio.gather(*(read(key) for key in keys)):
            match answer:
                case Err(error):
                    return Err(self.unavailable(error.detail))
                case Ok(check):
                    checks.append(check)
        return Ok(checks)

    def build_writes(
        self, base: _CommitBase, plan: Plan, operator: str, token: str
    ) -> list[Write]:
        change = plan.change
        entry = HistoryEntry(
            generation=change.generation,
            operator=operator,
            time=self.wall_clock(),
            token=token,
            changes=plan.diffs,
        )
        generation_row = encode_head(base.following, token)
        writes = [Write(CONFIG_TABLE, GENERATION_KEY, generation_row)]
        for envelope in change.changed:
            key = f"record/{envelope.type}/{envelope.name}/{envelope.schema}"
            writes.append(Write(CONFIG_TABLE, key, to_plain(envelope)))
        for row_key in change.deleted:
            writes.append(Write(CONFIG_TABLE, str(row_key), None))
        writes.append(
            Write(CONFIG_TABLE, history_key(change.generation), to_plain(entry))
        )
        older = base.following.descending(change.generation)
        expired = next(itertools.islice(older, self.limits.history_limit, None), None)
        if expired is not None:
            writes.append(Write(CONFIG_TABLE, history_key(expired), None))
        return writes

    async def commit(
        self, transaction: Transaction, generation: int, token: str
    ) -> _CommitOutcome:
        match await self.platform.commit(transaction):
            case Ok():
                return _CommitOutcome.COMMITTED
            case Err(Conflict()):
                return _CommitOutcome.CONFLICT
            case Err(PlatformError(fault=PlatformFault.UNAVAILABLE)):
                return _CommitOutcome.UNAVAILABLE
            case _:
                return await self.resolve_in_doubt(transaction, generation, token)

    async def resolve_in_doubt(
        self, transaction: Transaction, generation: int, token: str
    ) -> _CommitOutcome:
        """Resolve an in-doubt commit, one whose answer was lost.

        A missing history row doesn't prove that the commit failed, since the request
        may still be in transit. Sending the same transaction again resolves this: its
        checks let at most one of the two take effect.
        """
        for _ in range(self.limits.resolve_attempts):
            match await self.platform.read(CONFIG_TABLE, history_key(generation)):
                case Ok(None):
                    match await self.platform.commit(transaction):
                        case Ok():
                            return _CommitOutcome.COMMITTED
                        case Err(Conflict()):
                            return await self.read_outcome(generation, token)
                case Ok(row):
                    return _outcome_of(row, token)
                case _:
                    pass
            await asyncio.sleep(self.limits.resolve_interval_s)
        return _CommitOutcome.UNKNOWN

    async def read_outcome(self, generation: int, token: str) -> _CommitOutcome:
        """Read the outcome from the history row, which is final after a conflict."""
        for _ in range(self.limits.resolve_attempts):
            match await self.platform.read(CONFIG_TABLE, history_key(generation)):
                case Ok(row):
                    return _outcome_of(row, token)
                case _:
                    await asyncio.sleep(self.limits.resolve_interval_s)
        return _CommitOutcome.UNKNOWN

    async def answer_retried_request(
        self, refusal: RecordRefusal, request: ApplyRequest, token: str
    ) -> Result[ApplyAnswer, Refusal]:
        """Answer a retried request with the commit that its first attempt made.

        Without such a commit, return ``refusal``.
        """
        if not request.token or not refusal.conflicts:
            return Err(refusal)
        match await self.history(self.limits.token_search_limit):
            case Ok(entries):
                for entry in entries:
                    if entry.token == token:
                        return Ok(_retried_answer(entry))
            case _:
                pass
        return Err(refusal)

    async def history(
        self, limit: int, before: int | None = None
    ) -> Result[list[HistoryEntry], Refusal]:
        """Read up to ``limit`` commits, newest first.

        With ``before`` only the commits of lower generations are read.
        """
        match await self.platform.read(CONFIG_TABLE, GENERATION_KEY):
            case Err(error):
                return Err(self.unavailable(error.detail))
            case Ok(row):
                head = read_head(row) or GenerationHead()
        top = head.generation if before is None else before - 1
        generations = list(itertools.islice(head.descending(top), limit))
        read_semaphore = asyncio.Semaphore(self.limits.parallel_reads)

        async def read(generation: int) -> Result[Row | None, PlatformError]:
            async with read_semaphore:
                return await self.platform.read(CONFIG_TABLE, history_key(generation))

        entries = []
        for answer in await asyncio.gather(*(read(number) for number in generations)):
            match answer:
                case Err(error):
                    return Err(self.unavailable(error.detail))
                case Ok(row):
                    entries.append(_read_history_row(row))
        return Ok([entry for entry in entries if entry is not None])

    def publish(self, change: ChangeSet) -> None:
        """Put a committed change in force here and push it to all peers."""
        self.sync.apply_change(change)
        for peer in self.sync.peers:
            task = asyncio.ensure_future(self.push(peer, change))
            self.pushes.add(task)
            task.add_done_callback(self.pushes.discard)

    async def push(self, peer: ConfigPeer, change: ChangeSet) -> None:
        async with self.push_semaphore:
            answer = await peer.push(change)
        match answer:
            case Err(error):
                eliot.log_message("config:push_failed", detail=error.detail)
            case Ok(generation) if generation < change.generation:
                await self.push_snapshot(peer, change.generation)

    async def push_snapshot(self, peer: ConfigPeer, generation: int) -> None:
        """Push the snapshot to a peer that lacks the base of a change.

        Such a peer polls the table at once. The snapshot is sent after a delay, unless
        the peer has caught up by then: one that is still behind, or does not answer,
        may be unable to reach the table.
        """
        await asyncio.sleep(self.limits.snapshot_delay_s)
        async with self.snapshot_lock:
            match await peer.generation():
                case Ok(reached) if reached >= generation:
                    return
            await peer.push(snapshot_change_set(self.sync.snapshot))

    async def close(self, grace_s: float = 5.0) -> None:
        """Wait up to ``grace_s`` seconds for running pushes, then cancel them."""
        if self.pushes:
            _, unfinished = await asyncio.wait(self.pushes, timeout=grace_s)
            for task in unfinished:
                task.cancel()


def _committed_answer(plan: Plan, token: str) -> ApplyAnswer:
    return ApplyAnswer(
        generation=plan.change.generation,
        token=token,
        committed=True,
        changes=plan.diffs,
    )


def _retried_answer(entry: HistoryEntry) -> ApplyAnswer:
    return ApplyAnswer(
        generation=entry.generation,
        token=entry.token,
        committed=True,
        changes=entry.changes,
    )


def _read_history_row(row: Row | None) -> HistoryEntry | None:
    if row is None or row.deleted:
        return None
    try:
        return read_as(HistoryEntry, row.value)
    except ValueError:
        eliot.log_message("config:row_malformed", key=row.key)
        return None


def _outcome_of(row: Row | None, token: str) -> _CommitOutcome:
    entry = _read_history_row(row)
    if entry is None or entry.token != token:
        return _CommitOutcome.CONFLICT
    return _CommitOutcome.COMMITTED
