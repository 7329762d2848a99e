"""Follow the store's tables and keep the cached state current."""

import asyncio
import random
import time
from collections.abc import Callable

from result import Err, Ok

from acaciarelay.platform.configuration import ENDPOINT_TABLE, OPERATOR_TABLE
from acaciarelay.platform.store import HistoryCompacted, StoreClient, StoreError
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_state_cache import StateCache

__all__ = ["StoreFollower"]

# Long-poll time of each table's feed, which bounds how long a silent connection goes
# unnoticed.
LONG_POLL_S = {OPERATOR_TABLE: 4.0, ENDPOINT_TABLE: 4.0}
# Minimum time between the starts of two requests for the operator table.
OPERATOR_INTERVAL_S = 0.05
# Minimum time between the starts of two requests for the endpoint table. Endpoints
# write about once a second, and each write ends a long poll, so that entries would
# otherwise poll almost without pause. The interval grows with the number of entries to
# limit the load on the store; its upper bound limits how late a drain is noticed.
MIN_ENDPOINT_INTERVAL_S = 1.0
ENDPOINT_INTERVAL_S_PER_ENTRY = 0.08
MAX_ENDPOINT_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.25
# Failures that last longer than this count as an outage, in which registrations may
# lapse.
MIN_OUTAGE_S = 1.0
# Endpoints whose rows are removed within this time after an outage are not dropped at
# once, since they may register again.
OUTAGE_GRACE_S = 0.4


class StoreFollower:
    """Follow each table with a feed of its own.

    ``entry_count`` returns the number of entries that follow the store.
    """

    def __init__(
        self,
        address: str,
        cache: StateCache,
        rng: random.Random,
        entry_count: Callable[[], int],
    ) -> None:
        self.address = address
        self.cache = cache
        self.rng = rng
        self.entry_count = entry_count
        self.tasks: dict[str, asyncio.Task] = {}
        # Time of the last success before the calls for a table began to fail.
        self.failing_since: dict[str, float] = {}

    def start(self) -> None:
        """Start to follow all tables."""
        loop = asyncio.get_running_loop()
        for table in LONG_POLL_S:
            self.tasks[table] = loop.create_task(self.follow(table))

    def restart(self) -> None:
        """Read all tables again: an answer on its way may be older than a pause."""
        self.close()
        self.start()

    def close(self) -> None:
        for task in self.tasks.values():
            task.cancel()

    def interval_s(self, table: str) -> float:
        """Return the minimum time between the starts of two requests for a table."""
        if table == OPERATOR_TABLE:
            return OPERATOR_INTERVAL_S
        interval_s = ENDPOINT_INTERVAL_S_PER_ENTRY * self.entry_count()
        interval_s = max(MIN_ENDPOINT_INTERVAL_S, interval_s)
        return min(MAX_ENDPOINT_INTERVAL_S, interval_s)

    async def follow(self, table: str) -> None:
        client = StoreClient(self.address)
        try:
            await self.follow_with(client, table)
        finally:
            client.close()

    async def follow_with(self, client: StoreClient, table: str) -> None:
        version: int | None = None
        last_success_at = time.monotonic()
        grace_until = 0.0
        while True:
            began = time.monotonic()
            error: StoreError | None = None
            match await self.next_page(client, table, version):
                case Ok(page):
                    now = time.monotonic()
                    failing_since = self.failing_since.pop(table, None)
                    if failing_since is not None:
                        log_event("store_regained", table=table, version=page.version)
                        if now - failing_since > MIN_OUTAGE_S:
                            grace_until = now + OUTAGE_GRACE_S
                    last_success_at = now
                    after_outage = now < grace_until
                    if version is None:
                        if self.cache.apply_snapshot(table, page, after_outage):
                            version = page.version
                    elif page.version >= version:
                        rows = page.rows
                        self.cache.apply_changes(
                            table, rows, page.version, after_outage
                        )
                        version = page.version
                    if version is not None:
                        self.cache.mark_current(table)
                case Err(HistoryCompacted()):
                    log_event("store_history_gone", table=table, version=version)
                    version = None
                case Err(StoreError() as store_error):
                    error = store_error
                    if table not in self.failing_since:
                        self.failing_since[table] = last_success_at
                        log_event("store_lost", table=table, detail=error.detail)
            pause_s = self.interval_s(table) - (time.monotonic() - began)
            if error is not None or version is None:
                pause_s = max(pause_s, RETRY_INTERVAL_S * (0.5 + self.rng.random()))
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    async def next_page(self, client: StoreClient, table: str, version: int | None):  # type: ignore[no-untyped-def]
        if version is None:
            return await client.read_table(table)
        return await client.wait_for_changes(table, version, LONG_POLL_S[table])
