"""Follow the store's tables and keep the cached state current."""

import asyncio
import enum
import math
import random
import time
from collections.abc import Callable

import attrs
import eliot
from result import Err, Ok, Result

from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.store_contact import StoreContact
from acaciarelay.platform.configuration import OPERATOR_TABLE
from acaciarelay.platform.store import (
    HistoryCompacted,
    RowPage,
    StoreClient,
    StoreError,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_state_cache import TABLES, StateCache
from acaciarelay.programs.row_logs import log_stale_read
from acaciarelay.state.endpoints import REREGISTRATION_TIMEOUT_S
from acaciarelay.state.store_era import StoreVersion

__all__ = ["StoreFollower"]

# What the answer to a call may take beyond the wait that the call asks for.
ANSWER_MARGIN_S = 0.45
# Part of the tolerated silence that is left for the call that follows a lost one.
NEXT_CALL_S = 0.15
# Part of the tolerated silence after which a call is given up that asks for no wait.
PROBE_FRACTION = 1 / 3
# Minimum time between the starts of two requests for the operator table.
OPERATOR_INTERVAL_S = 0.05
# Minimum time between the starts of two requests for the endpoint table. Each change
# of an endpoint ends the long polls of all entries. The interval grows with their
# number to limit the load on the store; its upper bound limits how late a drain is
# noticed.
MIN_ENDPOINT_INTERVAL_S = 1.0
ENDPOINT_INTERVAL_S_PER_ENTRY = 0.08
MAX_ENDPOINT_INTERVAL_S = 2.0
# Of so many complete reads in a row that fail, one may take as long as a call that
# waits for changes, for a store that is slow.
READS_TO_A_LONG_ONE = 3
# Mean time between the starts of two failing calls, if they fail sooner.
RETRY_INTERVAL_S = 0.25
# Minimum time between the starts of two calls that only show that a table is current.
CONFIRM_INTERVAL_S = 0.05
# A call that ends later than this after its time limit was held up by a pause of this
# process, which may have hidden the answer.
MAX_TIMER_DELAY_S = 0.3


class _NextCall(enum.Enum):
    """When the next call for a table follows."""

    AFTER_INTERVAL = enum.auto()
    AFTER_RETRY_INTERVAL = enum.auto()
    AT_ONCE = enum.auto()


@attrs.define(eq=False)
class _Feed:
    """State of the calls for one table; times are monotonic seconds.

    ``version`` is ``None`` while a complete read is due, and ``era`` is that of the
    last one. ``read_at`` is the time of the last answer that was applied, and
    ``failure_count`` how many calls have failed since. Until ``restored_until`` the
    rows of a restored store may lapse. With ``probing`` the next call asks for no wait,
    so that it tells soon whether the store answers. ``answers_are_long`` is true while
    the last answer was given up midway.
    """

    read_at: float
    version: StoreVersion | None = None
    era: int = 0
    failure_count: int = 0
    restored_until: float = 0.0
    probing: bool = False
    answers_are_long: bool = False
    task: asyncio.Task | None = None
    # Those that wait for the next call, and for the one on its way, to show that the
    # table is current.
    confirmations: list[asyncio.Future[bool]] = attrs.Factory(list)
    confirming: list[asyncio.Future[bool]] = attrs.Factory(list)
    # Whether the last call has shown it, and when a call was last made to show it.
    is_current: bool = False
    confirmed_at: float = -math.inf

    @property
    def is_failing(self) -> bool:
        return self.failure_count > 0

    @property
    def waits(self) -> bool:
        """Return whether the next call waits for changes."""
        if self.confirming or self.probing or self.is_failing:
            return False
        return self.version is not None

    def begin_call(self) -> None:
        """Let the call that begins answer those that wait."""
        self.is_current = False
        self.confirming += self.confirmations
        self.confirmations = []

    def end_call(self) -> None:
        """Tell those that wait whether the table is current."""
        for confirmation in self.confirming:
            if not confirmation.done():
                confirmation.set_result(self.is_current)
        self.confirming = []


class StoreFollower:
    """Follow each table with a feed of its own.

    A store that falls silent is noticed within ``silence_limit_s`` of the start of the
    silence, and its return within ``PROBE_FRACTION`` of that time and a pause. A change
    is known within ``silence_limit_s`` of the end of any silence, however short: the
    entries' calls end together with each change, so all of them may be lost at once and
    no peer may know more. The first failure of one feed makes the others ask again.
    ``entry_count`` returns the number of entries that follow the store. Reading its
    answers takes its time from ``loop_budget``.
    """

    def __init__(
        self,
        address: str,
        cache: StateCache,
        rng: random.Random,
        silence_limit_s: float,
        entry_count: Callable[[], int],
        loop_budget: LoopBudget | None = None,
    ) -> None:
        self.address = address
        self.loop_budget = loop_budget
        self.cache = cache
        self.rng = rng
        self.silence_limit_s = silence_limit_s
        self.entry_count = entry_count
        now = time.monotonic()
        self.feeds = {table: _Feed(read_at=now) for table in TABLES}
        self.contact = StoreContact(cache.registration_interval_s, now)
        # The newest era that a peer has made this follower ask for.
        self.probed_era = 0

    def start(self) -> None:
        """Start to follow all tables."""
        for table in self.feeds:
            self.start_feed(table)

    def start_feed(self, table: str) -> None:
        loop = asyncio.get_running_loop()
        self.feeds[table].task = loop.create_task(self.follow(table))

    def probe(self) -> None:
        """Call again at once for all tables, after a pause of this process.

        What the calls on their way deliver may be as old as their start, and their
        failures show nothing of the store.
        """
        self.contact.is_unreachable = False
        for table, feed in self.feeds.items():
            self.call_again(table, feed)

    def call_again(self, table: str, feed: _Feed) -> None:
        """Give up the call on its way, and make one that asks for no wait."""
        feed.probing = True
        if feed.task is not None:
            feed.task.cancel()
            self.start_feed(table)

    async def confirm(self, table: str, timeout_s: float) -> bool:
        """Return whether a table is current, by a call that begins from now on.

        Many that ask at once share a call.
        """
        feed = self.feeds[table]
        confirmation: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        feed.confirmations.append(confirmation)
        if len(feed.confirmations) == 1:
            due_s = feed.confirmed_at + CONFIRM_INTERVAL_S - time.monotonic()
            loop = asyncio.get_running_loop()
            loop.call_later(max(0.0, due_s), self.call_to_confirm, table, feed)
        try:
            async with asyncio.timeout(timeout_s):
                return await confirmation
        except TimeoutError:
            return False

    def call_to_confirm(self, table: str, feed: _Feed) -> None:
        """Call at once, unless such a call is on its way, which another one follows."""
        if feed.confirmations and not feed.confirming:
            feed.confirmed_at = time.monotonic()
            self.call_again(table, feed)

    def probe_era(self, era: int) -> None:
        """Call again at once for the tables of a former era, as a peer knows this one.

        A complete read that is due or on its way finds the era by itself.
        """
        if era <= self.probed_era:
            return
        self.probed_era = era
        for table, feed in self.feeds.items():
            if feed.version is None or feed.version.era >= era:
                continue
            log_event("restored_store_reported", table=table, era=era)
            self.call_again(table, feed)

    def close(self) -> None:
        for feed in self.feeds.values():
            if feed.task is not None:
                feed.task.cancel()

    def interval_s(self, table: str) -> float:
        """Return the minimum time between the starts of two requests for a table."""
        if table == OPERATOR_TABLE:
            return OPERATOR_INTERVAL_S
        interval_s = ENDPOINT_INTERVAL_S_PER_ENTRY * self.entry_count()
        interval_s = max(MIN_ENDPOINT_INTERVAL_S, interval_s)
        return min(MAX_ENDPOINT_INTERVAL_S, interval_s)

    async def follow(self, table: str) -> None:
        client = StoreClient(self.address, self.cache.era, self.loop_budget)
        feed = self.feeds[table]
        try:
            while True:
                began = time.monotonic()
                next_call = await self.try_update(client, table, feed)
                if next_call is _NextCall.AT_ONCE:
                    continue
                interval_s = self.interval_s(table)
                if feed.confirmations:
                    interval_s = CONFIRM_INTERVAL_S
                is_retry = next_call is _NextCall.AFTER_RETRY_INTERVAL
                if is_retry or feed.version is None:
                    retry_interval_s = RETRY_INTERVAL_S * (0.5 + self.rng.random())
                    interval_s = max(interval_s, retry_interval_s)
                pause_s = interval_s - (time.monotonic() - began)
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
        finally:
            client.close()

    async def try_update(
        self, client: StoreClient, table: str, feed: _Feed
    ) -> _NextCall:
        """Make one call; an unexpected error is logged and must not end the feed."""
        feed.begin_call()
        try:
            next_call = await self.update(client, table, feed)
        except Exception:
            eliot.write_traceback()
            client.close()
            next_call = _NextCall.AFTER_RETRY_INTERVAL
        feed.end_call()
        return next_call

    async def update(self, client: StoreClient, table: str, feed: _Feed) -> _NextCall:
        """Make one call for a table; return when the next one follows."""
        began = time.monotonic()
        shows_outage = not client.is_connected and not feed.waits
        limit_s = self.call_limit_s(feed)
        match await self.next_page(client, table, feed):
            case Ok(RowPage() as page):
                self.contact.record_answer(time.monotonic())
                if self.is_new_era(feed, page.version.era):
                    return self.begin_era(table, feed, page.version.era)
                self.apply(table, feed, page)
            case Err(HistoryCompacted(era=era)):
                self.contact.record_answer(time.monotonic())
                if self.is_new_era(feed, era):
                    return self.begin_era(table, feed, era)
                log_event("store_history_gone", table=table, era=era)
                feed.version = None
            case Err(StoreError() as error):
                is_on_time = time.monotonic() - began <= limit_s + MAX_TIMER_DELAY_S
                shows_outage = shows_outage and is_on_time and not error.is_begun
                if error.is_refusal or shows_outage:
                    self.contact.record_unreachable()
                self.record_failure(table, feed, error.detail)
                if error.is_begun:
                    self.read_anew(table, feed, error.detail)
                return _NextCall.AFTER_RETRY_INTERVAL
        return _NextCall.AFTER_INTERVAL

    def read_anew(self, table: str, feed: _Feed, detail: str) -> None:
        """Read the rows in place of their changes, which take too long to come.

        Each call would get the same changes again: a row that was written often has as
        many of them, on a link that may be slow.
        """
        log_event("store_answer_too_long", table=table, detail=detail)
        feed.version = None
        feed.answers_are_long = True

    def is_new_era(self, feed: _Feed, era: int) -> bool:
        return feed.version is not None and era > feed.version.era

    def begin_era(self, table: str, feed: _Feed, era: int) -> _NextCall:
        """Read a table anew: the versions of a restored store name other rows."""
        assert feed.version is not None
        log_event("store_era_began", table=table, era=era, known_era=feed.version.era)
        feed.version = None
        # Registrations in the copy are old, and may lapse at once.
        feed.restored_until = time.monotonic() + REREGISTRATION_TIMEOUT_S
        # The other feeds need not make this one ask again.
        feed.probing = True
        self.probe_other_feeds(feed)
        return _NextCall.AT_ONCE

    async def next_page(
        self, client: StoreClient, table: str, feed: _Feed
    ) -> Result[RowPage, StoreError | HistoryCompacted]:
        limit_s = self.call_limit_s(feed)
        if feed.version is None:
            return await client.read_table(table, limit_s)
        # A renewed registration is no change, so both feeds may be quiet for long.
        wait_s = limit_s - ANSWER_MARGIN_S if feed.waits else 0.0
        after = feed.version.number
        return await client.wait_for_changes(table, after, wait_s, limit_s)

    def call_limit_s(self, feed: _Feed) -> float:
        """Return the seconds after which the next call of a feed is given up."""
        if feed.version is None:
            return self.read_limit_s(feed)
        if feed.waits:
            return self.silence_limit_s - NEXT_CALL_S
        return self.silence_limit_s * PROBE_FRACTION

    def read_limit_s(self, feed: _Feed) -> float:
        """Return the seconds after which a complete read is given up.

        Whoever reads a table completely may know nothing else, so a read that was sent
        into a silence must not outlast it by much.
        """
        if feed.answers_are_long:
            return self.silence_limit_s - NEXT_CALL_S
        if feed.failure_count % READS_TO_A_LONG_ONE == READS_TO_A_LONG_ONE - 1:
            return self.silence_limit_s - NEXT_CALL_S
        return self.silence_limit_s * PROBE_FRACTION

    def apply(self, table: str, feed: _Feed, page: RowPage) -> None:
        """Apply the rows of an answer, unless it is older than what is known."""
        now = time.monotonic()
        may_have_lapsed = self.contact.may_have_lapsed(feed.read_at, now)
        if feed.is_failing:
            log_event(
                "store_regained",
                table=table,
                era=page.version.era,
                version=page.version.number,
                failures=feed.failure_count,
                unread_s=round(now - feed.read_at, 3),
                was_unreachable=may_have_lapsed,
            )
        after_outage = may_have_lapsed or now < feed.restored_until
        feed.failure_count = 0
        feed.read_at = now
        feed.probing = feed.answers_are_long = False
        if feed.version is None:
            # Endpoints that a restored store has lost register again soon.
            after_outage |= page.version.era > feed.era
            if not self.cache.apply_snapshot(table, page, after_outage):
                return
            feed.era = page.version.era
        elif page.version < feed.version:
            log_stale_read(table, page.version, feed.version)
            return
        else:
            self.cache.apply_changes(table, page.rows, page.version, after_outage)
        feed.version = page.version
        feed.is_current = True
        self.cache.mark_read(table)

    def record_failure(self, table: str, feed: _Feed, detail: str) -> None:
        """Record a failed call; the first one makes the other feeds ask again."""
        feed.failure_count += 1
        if feed.failure_count > 1:
            return
        self.cache.mark_unreadable(table)
        log_event("store_lost", table=table, detail=detail)
        self.probe_other_feeds(feed)

    def probe_other_feeds(self, feed: _Feed) -> None:
        for table, other in self.feeds.items():
            if other is feed or other.is_failing or other.probing:
                continue
            self.call_again(table, other)
