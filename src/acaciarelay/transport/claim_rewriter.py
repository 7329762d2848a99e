"""Write the claims of the last seconds again after the store was restored."""

import asyncio
import time
from collections.abc import Callable

import cattrs
import eliot
from result import Err

from acaciarelay.protocol.platform_api import Platform, Row
from acaciarelay.state.claim import Claim, Put
from acaciarelay.state.claim_restore import restore_step
from acaciarelay.transport.claim_memory import ClaimMemory
from acaciarelay.transport.conditional_write import Replace, Stop, update_row
from acaciarelay.transport.era_monitor import RESTORE_WINDOW_S, EraMonitor

__all__ = ["TABLE", "ClaimRewriter", "decode_claim"]

TABLE = "claims"
# A key without a slash, which no organisation's key can equal.
ERA_KEY = "era"
# Pause between two reads that look for a new era, while claims are remembered.
ERA_POLL_S = 1.0
REWRITE_RETRY_S = 0.2
PARALLEL_REWRITES = 16


class ClaimRewriter:
    """Remembers confirmed claims and writes them again in each new era.

    Once the window has closed, the other processes have written theirs again, too.
    """

    def __init__(
        self,
        platform: Platform,
        eras: EraMonitor,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.platform = platform
        self.eras = eras
        self.eras.subscribe(self.on_era)
        self.memory = ClaimMemory(clock)
        self.rewrite_wanted = asyncio.Event()
        # By token: whether an agent may have started the call; set by a claimant.
        self.is_handed_off: Callable[[str], bool] = lambda token: False

    @property
    def window_open(self) -> bool:
        return self.eras.is_younger_than(RESTORE_WINDOW_S)

    def on_era(self, former: int, era: int) -> None:
        """Wake ``run``, so that the claims are written again at once."""
        eliot.log_message("platform:era", former=former, era=era)
        self.rewrite_wanted.set()

    async def run(self) -> None:
        """Look for a new era while claims are remembered, and write them again."""
        while True:
            try:
                async with asyncio.timeout(ERA_POLL_S):
                    await self.rewrite_wanted.wait()
            except TimeoutError:
                await self.look_for_era()
            self.rewrite_wanted.clear()
            await self.rewrite_all()

    async def look_for_era(self) -> None:
        self.memory.expire()
        if self.memory.claims:
            # The platform's client passes the era of any answer to the monitor.
            await self.platform.read(TABLE, ERA_KEY)

    async def rewrite_all(self) -> None:
        """Write all claims of former eras again, with retries until they are stored."""
        rewritten = 0
        while keys := self.memory.keys_before(self.eras.current):
            batch = keys[:PARALLEL_REWRITES]
            stored = await asyncio.gather(*(self.rewrite(key) for key in batch))
            rewritten += stored.count(True)
            if not all(stored):
                await asyncio.sleep(REWRITE_RETRY_S)
            self.memory.expire()
        if rewritten:
            eliot.log_message(
                "claims:rewritten", count=rewritten, era=self.eras.current
            )

    async def catch_up(self, key: str) -> None:
        """Write the claim of a key again now, if it is of a former era."""
        if self.memory.is_behind(key, self.eras.current):
            await self.rewrite(key)

    async def rewrite(self, key: str) -> bool:
        """Write one claim again if it is lost; return whether the store has it."""
        remembered = self.memory.get(key)
        if remembered is None:
            return True
        if self.is_handed_off(remembered.token):
            self.memory.mark_handed_off(key, remembered.token)
            remembered = self.memory.claims[key]
        era = self.eras.current

        def decide(row: Row | None) -> Replace | Stop[None]:
            match restore_step(decode_claim(row), remembered):
                case Put(None):
                    return Replace(None)
                case Put(Claim() as claim):
                    return Replace(cattrs.unstructure(claim))
            return Stop(None)

        answer = await update_row(self.platform, TABLE, key, decide)
        if isinstance(answer, Err):
            return False
        self.memory.confirm(key, remembered, era)
        return True


def decode_claim(row: Row | None) -> Claim | None:
    """Decode a claim; ``None`` without a row, or for one that is being deleted."""
    if row is None or row.value is None:
        return None
    return cattrs.structure(row.value, Claim)
