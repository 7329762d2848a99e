"""Commands from the agent to its model engine, each under the endpoint's lease."""

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence

import attrs
from result import Err, Ok, Result

from acaciarelay.coordination.commands import (
    AcquireLease,
    AcquireSlot,
    CommandState,
    CommandStep,
    Idle,
    LoadModel,
    ReleaseLease,
    ReleaseSlot,
    RenewLease,
    RenewSlot,
    Wait,
    may_send,
    next_step,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.platform_api import Platform, PlatformError
from acaciarelay.state.lease import FencedLease, LeaseHeld
from acaciarelay.transport.endpoints.base import (
    IDEMPOTENT_COMMANDS,
    CommandKind,
    EndpointAdapter,
    EngineCommand,
)
from acaciarelay.transport.era_monitor import EraMonitor
from acaciarelay.transport.http_client import HttpError, HttpFault
from acaciarelay.transport.lease_store import SLOT_TABLE, LeaseStore, SlotStore

__all__ = ["CommandConfig", "CommandRunner"]

# Group of the slots that limit concurrent loads from the weight store.
SLOT_GROUP = "weights"
# Safety margin at the end of a lease, as a share of its duration. It covers the
# transmission of a command to the engine and clock drift.
LEASE_MARGIN_SHARE = 0.2
# Duration of a slot lease in command timeouts. A slot is renewed before each load and
# must outlast it, since a load can't be stopped.
SLOT_DURATION_TIMEOUTS = 2.0
# Back-off after failed steps: doubled with each further one, up to the maximum.
BACKOFF_INITIAL_S = 0.2
BACKOFF_MAX_S = 5.0


@attrs.frozen(kw_only=True)
class CommandConfig:
    """Settings for the commands to one endpoint; times are in seconds.

    ``checks_fencing`` is set if the engine refuses an old fencing token. ``load_slots``
    limits the concurrent loads from the weight store by all agents.

    ``holder`` includes the incarnation, so that a restarted agent waits until the lease
    of its previous incarnation has expired.
    """

    endpoint: str
    holder: str
    checks_fencing: bool
    lease_s: float
    command_timeout_s: float
    load_slots: int


class CommandRunner:
    """Loads on one engine the models that its endpoint record names."""

    def __init__(
        self,
        config: CommandConfig,
        adapter: EndpointAdapter,
        platform: Platform,
        metrics: Metrics,
        rng: random.Random,
        eras: EraMonitor | None = None,
    ) -> None:
        self.config = config
        self.adapter = adapter
        self.metrics = metrics
        self.rng = rng
        lease_s, slot_s = (
            config.lease_s,
            config.command_timeout_s * SLOT_DURATION_TIMEOUTS,
        )
        self.leases = LeaseStore(
            platform,
            config.holder,
            lease_s,
            lease_s * LEASE_MARGIN_SHARE,
            eras=eras,
        )
        slot_leases = LeaseStore(
            platform,
            config.holder,
            slot_s,
            slot_s * LEASE_MARGIN_SHARE,
            SLOT_TABLE,
            eras=eras,
        )
        self.slots = SlotStore(slot_leases, SLOT_GROUP, config.load_slots, rng)
        self.models: list[str] = []
        self.loaded: set[str] = set()
        self.active = True
        self.endpoint_up = True
        self.lease: FencedLease | None = None
        self.slot: FencedLease | None = None
        self.failures = 0
        self.retry_at = 0.0
        self.late_until = 0.0
        self.loading_until = 0.0
        self.changed = asyncio.Event()
        self.idle = asyncio.Event()

    # Inputs.

    def set_models(self, models: Sequence[str]) -> None:
        """Set the models that the engine must have loaded."""
        self.models = list(dict.fromkeys(models))
        self.changed.set()

    def set_active(self, active: bool) -> None:
        """Enable commands, or disable them while the agent drains."""
        self.active = active
        self.changed.set()

    def set_endpoint_up(self, up: bool) -> None:
        """Record whether the engine is up; after a restart it has no models loaded."""
        if up == self.endpoint_up:
            return
        self.endpoint_up = up
        self.loaded.clear()
        self.changed.set()

    async def wait_idle(self, limit_s: float) -> None:
        """Wait until no lease and no slot is held, at most ``limit_s`` seconds."""
        if self.lease is None and self.slot is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self.idle.wait()

    # Steps.

    async def run(self) -> None:
        """Execute steps until the task is cancelled."""
        while True:
            self.changed.clear()
            now = time.monotonic()
            match next_step(self.state(), now):
                case Idle():
                    self.idle.set()
                    await self.changed.wait()
                    self.idle.clear()
                case Wait(until):
                    await self.wait_for_change(until - now)
                case step:
                    await self.execute(step)

    def state(self) -> CommandState:
        wanted = self.active and self.endpoint_up
        return CommandState(
            desired=self.models if wanted else [],
            loaded=frozenset(self.loaded),
            lease=self.lease,
            slot=self.slot,
            retry_at=self.retry_at,
            late_until=self.late_until,
            loading_until=self.loading_until,
            command_timeout_s=self.config.command_timeout_s,
            checks_fencing=self.config.checks_fencing,
            idempotent=CommandKind.LOAD_MODEL in IDEMPOTENT_COMMANDS,
        )

    async def wait_for_change(self, limit_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self.changed.wait()

    async def execute(self, step: CommandStep) -> None:
        match step:
            case AcquireLease():
                answer = await self.leases.acquire(self.config.endpoint)
                self.lease = self.update_held("lease", self.lease, answer)
            case RenewLease(lease):
                answer = await self.leases.renew(lease)
                self.lease = self.update_held("lease", lease, answer)
            case AcquireSlot():
                answer = await self.slots.acquire()
                self.slot = self.update_held("slot", self.slot, answer)
            case RenewSlot(slot):
                answer = await self.slots.leases.renew(slot)
                self.slot = self.update_held("slot", slot, answer)
            case ReleaseLease(lease):
                # A failed release is not retried, since the lease expires by itself.
                await self.leases.release(lease)
                self.lease = None
                log_event("command_lease_released", token=lease.token)
            case ReleaseSlot(slot):
                await self.slots.leases.release(slot)
                self.slot = None
            case LoadModel(model, token):
                await self.send_load(
                    EngineCommand(CommandKind.LOAD_MODEL, model, token)
                )

    def update_held(
        self,
        what: str,
        held: FencedLease | None,
        answer: Result[FencedLease, LeaseHeld | PlatformError],
    ) -> FencedLease | None:
        """Return the lease or slot held after an answer, ``None`` if another has it.

        An error of the platform leaves the known lease unchanged.
        """
        match answer:
            case Ok(lease):
                if held is None:
                    log_event(
                        f"command_{what}_held", name=lease.name, token=lease.token
                    )
                return lease
            case Err(LeaseHeld() as other):
                self.retry_later(f"{what}_held_by_other")
                log_event(
                    f"command_{what}_held_by_other",
                    holder=other.holder,
                    token=other.token,
                )
                return None
            case Err(error):
                self.retry_later(f"{what}_unconfirmed")
                log_event(f"command_{what}_unconfirmed", error=str(error))
        return held

    async def send_load(self, command: EngineCommand) -> None:
        """Send one command; lease and slot are checked again right before the write."""
        lease, slot = self.lease, self.slot
        assert lease is not None and slot is not None
        timeout_s = self.config.command_timeout_s
        answer = await self.adapter.command(
            command, lambda: may_send(lease, slot, timeout_s, time.monotonic())
        )
        match answer:
            case Ok():
                self.loaded.add(command.target)
                self.failures = 0
                self.loading_until = 0.0
                self.metrics.count("commands_total", result="done")
                log_event("model_loaded", model=command.target, token=command.token)
            case Err(error):
                self.on_failure(command, error)

    def on_failure(self, command: EngineCommand, error: HttpError) -> None:
        log_event(
            "command_failed",
            model=command.target,
            token=command.token,
            fault=error.fault,
            detail=error.detail,
        )
        match error.fault:
            case HttpFault.NOT_SENT:
                self.retry_later("not_sent")
            case HttpFault.REFUSED:
                # The fencing token may be outdated; a new lease has a newer one.
                self.lease = None
                self.retry_later("refused")
            case _:
                # The command may still arrive, and its load may still run.
                now = time.monotonic()
                self.late_until = now + self.config.lease_s
                self.loading_until = now + self.config.command_timeout_s
                self.retry_later("answer_lost")

    def retry_later(self, result: str) -> None:
        """Count a failed step and schedule the next one with jittered back-off."""
        self.metrics.count("commands_total", result=result)
        longest_s = min(BACKOFF_INITIAL_S * 2**self.failures, BACKOFF_MAX_S)
        # Bounds the exponent; the delay reaches its maximum after fewer failures.
        self.failures = min(self.failures + 1, 10)
        delay_s = self.rng.uniform(longest_s / 2, longest_s)
        self.retry_at = time.monotonic() + delay_s
