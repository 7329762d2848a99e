"""Follow the store's tables and keep the beliefs current."""

import asyncio
import random
import time
from collections.abc import Callable

from result import Err, Ok

from acaciarelay.platform.configuration import ENDPOINT_TABLE, OPERATOR_TABLE
from acaciarelay.platform.store import HistoryGone, StoreClient, StoreError
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_beliefs import Beliefs

__all__ = ["StoreFollower"]

# How long a feed asks the store to wait, in seconds: bounds how long a silent
# connection goes unnoticed.
WAIT_S = {OPERATOR_TABLE: 4.0, ENDPOINT_TABLE: 4.0}
# Least time between two calls of the operator's feed.
OPERATOR_INTERVAL_S = 0.05
# Endpoints write every second or so, and each write would end a call. The more entries
# there are, the longer each one pauses; the last bound keeps a drain known in time.
LEAST_ENDPOINT_INTERVAL_S = 1.0
ENDPOINT_INTERVAL_S_PER_ENTRY = 0.08
MOST_ENDPOINT_INTERVAL_S = 2.0
RETRY_S = 0.25
# Failures from this age on count as an outage, in which registrations may lapse.
OUTAGE_S = 1.0
# After an outage, removals are doubted for this long.
DOUBT_S = 0.4


class StoreFollower:
    """Keep one feed for each table; ``entries`` counts those that follow the store."""

    def __init__(
        self,
        address: str,
        beliefs: Beliefs,
        rng: random.Random,
        entries: Callable[[], int],
    ) -> None:
        self.address = address
        self.beliefs = beliefs
        self.rng = rng
        self.entries = entries
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start to follow all tables."""
        loop = asyncio.get_running_loop()
        for table in WAIT_S:
            self.tasks.append(loop.create_task(self.follow(table)))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    def interval_s(self, table: str) -> float:
        """Return the least time in seconds between two calls of a feed."""
        if table == OPERATOR_TABLE:
            return OPERATOR_INTERVAL_S
        interval_s = ENDPOINT_INTERVAL_S_PER_ENTRY * self.entries()
        interval_s = max(LEAST_ENDPOINT_INTERVAL_S, interval_s)
        return min(MOST_ENDPOINT_INTERVAL_S, interval_s)

    async def follow(self, table: str) -> None:
        client = StoreClient(self.address)
        version: int | None = None
        working_at = time.monotonic()
        failing = False
        doubt_until = 0.0
        while True:
            began = time.monotonic()
            error: StoreError | None = None
            match await self.next_page(client, table, version):
                case Ok(page):
                    now = time.monotonic()
                    if failing:
                        log_event("store_regained", table=table, version=page.version)
                        if now - working_at > OUTAGE_S:
                            doubt_until = now + DOUBT_S
                    failing = False
                    working_at = now
                    doubted = now < doubt_until
                    if version is None:
                        if self.beliefs.apply_whole(table, page, doubted):
                            version = page.version
                    elif page.version >= version:
                        rows = page.rows
                        self.beliefs.apply_changes(table, rows, page.version, doubted)
                        version = page.version
                    if version is not None:
                        self.beliefs.confirm(table)
                case Err(HistoryGone()):
                    log_event("store_history_gone", table=table, version=version)
                    version = None
                case Err(StoreError() as store_error):
                    error = store_error
                    if not failing:
                        failing = True
                        log_event("store_lost", table=table, detail=error.detail)
            pause_s = self.interval_s(table) - (time.monotonic() - began)
            if error is not None or version is None:
                pause_s = max(pause_s, RETRY_S * (0.5 + self.rng.random()))
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    async def next_page(self, client: StoreClient, table: str, version: int | None):  # type: ignore[no-untyped-def]
        if version is None:
            return await client.read_table(table)
        return await client.follow(table, version, WAIT_S[table])
