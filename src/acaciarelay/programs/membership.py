"""Registration of processes in the member table, and polling of its changes."""

import asyncio
import random
from collections.abc import Callable

import attrs
from result import Err, Ok

from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.platform_api import Changes, Platform, Transaction, Write
from acaciarelay.state.directory import (
    AgentMember,
    EntryMember,
    MemberDirectory,
    member_key,
)

__all__ = ["MemberPoller", "register"]

MEMBERS_TABLE = "members"
# Largest deviation from the poll interval, as a fraction of it.
POLL_JITTER = 0.2
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0


async def register(
    platform: Platform, member: AgentMember | EntryMember, rng: random.Random
) -> None:
    """Write a registration, with retries until the platform has stored it."""
    row = Write(MEMBERS_TABLE, member_key(member), attrs.asdict(member))
    delay_s = RETRY_MIN_S
    while True:
        match await platform.commit(Transaction([], [row])):
            case Ok():
                log_event("member_registered", key=row.key)
                return
            case Err(error):
                log_event("member_not_registered", key=row.key, error=str(error))
        await asyncio.sleep(rng.uniform(RETRY_MIN_S, delay_s))
        delay_s = min(delay_s * 2, RETRY_MAX_S)


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
        answer = await self.platform.changes(MEMBERS_TABLE, self.directory.revision)
        match answer:
            case Ok(Changes() as changes):
                self.apply(changes)
                return True
            case Err(error):
                log_event("members_not_read", error=str(error))
                return False

    def apply(self, changes: Changes) -> None:
        changed = False
        for row in changes.rows:
            applied = self.directory.apply(row.key, row.value, row.deleted)
            if not applied:
                log_event("member_not_understood", key=row.key)
            changed = changed or applied
        self.directory.revision = changes.revision
        if changed:
            self.on_change(self.directory)
