"""Registration of processes in the member table, and polling of its changes."""

import asyncio
import random
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.platform_api import (
    Changes,
    Check,
    Platform,
    PlatformError,
    PlatformFault,
    Row,
    Transaction,
    Write,
)
from acaciarelay.state.directory import (
    AgentMember,
    EntryMember,
    MemberDirectory,
    member_key,
)
from acaciarelay.state.store_era import FIRST_ERA, StoreVersion
from acaciarelay.transport.era_monitor import EraMonitor

__all__ = ["MemberPoller", "Registration"]

MEMBERS_TABLE = "members"
# By era: when the first process noticed it.
ERAS_TABLE = "eras"
# Largest deviation from the poll interval, as a fraction of it.
POLL_JITTER = 0.2
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0
CHECK_INTERVAL_S = 5.0


class Registration:
    """Keeps a process registered, also when a restored platform has lost the row.

    The first process that notices a new era records its time, so that one that starts
    later can tell how old the era is. ``wall_clock`` is in seconds since the epoch.
    """

    def __init__(
        self,
        platform: Platform,
        member: AgentMember | EntryMember,
        rng: random.Random,
        eras: EraMonitor | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.platform = platform
        self.rng = rng
        self.key = member_key(member)
        self.value = attrs.asdict(member)
        self.eras = eras or EraMonitor()
        self.eras.subscribe(self.on_era)
        self.wall_clock = wall_clock
        self.era_began = asyncio.Event()

    def on_era(self, former: int, era: int) -> None:
        self.era_began.set()

    async def run(self) -> None:
        """Register, and look for the registration in intervals, until cancelled."""
        await self.register()
        while True:
            if self.era_began.is_set() and await self.record_era():
                self.era_began.clear()
            try:
                pause_s = CHECK_INTERVAL_S * self.rng.uniform(1 - POLL_JITTER, 1)
                async with asyncio.timeout(pause_s):
                    await self.era_began.wait()
            except TimeoutError:
                pass
            await self.check()

    async def register(self) -> None:
        """Write the registration, with retries until the platform has stored it."""
        row = Write(MEMBERS_TABLE, self.key, self.value)
        delay_s = RETRY_MIN_S
        while True:
            match await self.platform.commit(Transaction([], [row])):
                case Ok():
                    log_event("member_registered", key=row.key)
                    return
                case Err(error):
                    log_event("member_not_registered", key=row.key, error=str(error))
            await asyncio.sleep(self.rng.uniform(RETRY_MIN_S, delay_s))
            delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def check(self) -> None:
        """Register again if the platform has another row, or none."""
        match await self.platform.read(MEMBERS_TABLE, self.key):
            case Ok(row) if row is None or row.value != self.value:
                log_event("member_lost", key=self.key)
                await self.register()

    async def record_era(self) -> bool:
        """Read or record when the era began; return false if the platform failed."""
        era = self.eras.current
        if era <= FIRST_ERA:
            return True
        key = f"{era}"
        match await self.platform.read(ERAS_TABLE, key):
            case Err():
                return False
            case Ok(Row(value={"noticed_at": float(noticed_at)})):
                self.eras.began_before(era, self.wall_clock() - noticed_at)
                return True
        check = Check(ERAS_TABLE, key, 0)
        write = Write(ERAS_TABLE, key, {"noticed_at": self.wall_clock()})
        answer = await self.platform.commit(Transaction([check], [write], era))
        return isinstance(answer, Ok)


class MemberPoller:
    """Keep a directory of members current by polling the changes of their table."""

    def __init__(
        self,
        platform: Platform,
        directory: MemberDirectory,
        on_change: Callable[[MemberDirectory], None],
        rng: random.Random,
        poll_interval_s: float,
    ) -> None:
        self.platform = platform
        self.directory = directory
        self.on_change = on_change
        self.rng = rng
        self.poll_interval_s = poll_interval_s
        # The newest table version that was read.
        self.cursor = StoreVersion()

    async def run(self) -> None:
        """Poll until the task is cancelled; an outage leaves the directory as it is."""
        while True:
            await self.poll()
            max_jitter_s = self.poll_interval_s * POLL_JITTER
            await asyncio.sleep(
                self.poll_interval_s + self.rng.uniform(-max_jitter_s, max_jitter_s)
            )

    async def poll(self) -> bool:
        """Read and apply the changes once; ``False`` when the platform call failed."""
        match await self.read_table():
            case Ok(Changes() as changes):
                self.apply(changes)
                return True
            case Err(error):
                log_event("members_not_read", error=str(error))
                return False
        raise AssertionError("unexpected result")

    async def read_table(self) -> Result[Changes, PlatformError]:
        """Read the rows after the cursor, or all rows of a table that was restored."""
        answer = await self.platform.changes(MEMBERS_TABLE, self.cursor.number)
        if not self.cursor.number or not self.was_restored(answer):
            return answer
        self.cursor = StoreVersion()
        return await self.platform.changes(MEMBERS_TABLE, self.cursor.number)

    def was_restored(self, answer: Result[Changes, PlatformError]) -> bool:
        match answer:
            case Err(error):
                return error.fault is PlatformFault.GONE
            case Ok(changes):
                version = StoreVersion(changes.era, changes.revision)
                return changes.era != self.cursor.era or version < self.cursor
        raise AssertionError("unexpected result")

    def apply(self, changes: Changes) -> None:
        changed = False
        for row in changes.rows:
            applied = self.directory.apply(row.key, row.value, row.deleted)
            if not applied:
                log_event("member_not_understood", key=row.key)
            changed = changed or applied
        self.cursor = StoreVersion(changes.era, changes.revision)
        if changed:
            self.on_change(self.directory)
