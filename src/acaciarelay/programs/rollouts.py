"""Monitored rollouts at an entry: orders, usable engines, and counts of answers."""

import asyncio
import collections
import time
from collections.abc import Callable, Sequence

from acaciarelay.coordination.rollout import (
    EndedOrders,
    ShareLimit,
    majority_endpoints,
    usable_endpoints,
)
from acaciarelay.platform.configuration import OPERATOR_TABLE, FormatError
from acaciarelay.platform.rollouts import decode_order, ordered_service
from acaciarelay.programs.logs import log_errors, log_event, run_steps
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.order_run import OrderLinks, OrderRun
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.programs.relay_settings import RelaySettings
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.row_logs import log_unreadable_row
from acaciarelay.programs.running_attempts import RunningAttempt, RunningAttempts
from acaciarelay.protocol.link_messages import Hello
from acaciarelay.protocol.rollout_messages import RolloutCounts, RolloutPermission
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Broken,
    ErrorResponse,
    NotRun,
    RelayedRequest,
)
from acaciarelay.state.rollout import Phase, RolloutOrder, RolloutState
from acaciarelay.state.store_era import NO_VERSION, StoreVersion

__all__ = ["Rollouts"]

# Interval at which open orders are processed.
TICK_S = 0.1
# Services with an order; the orders of further ones are left out.
MAX_SERVICES = 256
# Orders of a service that were replaced and are known again in a restored store.
MAX_REPLACED = 16
# Versions with metrics of their own.
MAX_LABELS = 256

# What identifies an order in whatever era its row is read.
_OrderId = tuple[int, str, float]


class Rollouts:
    """Follow the operator's orders, and let requests use the engines they allow.

    While no order is open, nothing is read, sent or timed.
    """

    def __init__(
        self,
        settings: RelaySettings,
        hello: Hello,
        cache: StateCache,
        peers: Peers,
        metrics: Metrics,
        on_era: Callable[[int], None],
    ) -> None:
        self.cache = cache
        self.metrics = metrics
        self.attempts = RunningAttempts()
        self.links = OrderLinks(
            entry=hello.address,
            lifetime=hello.lifetime,
            store_address=settings.store_address,
            share=settings.rollout_share,
            ended=EndedOrders(),
            send=peers.send_rollout,
            live_entries=peers.live_addresses,
            old_running=lambda order: self.attempts.others_of(
                order.service, order.version
            ),
            on_era=on_era,
        )
        # The last order of each service, also after its end.
        self.runs: dict[str, OrderRun] = {}
        self.replaced: dict[str, collections.deque[_OrderId]] = {}
        # Requests that may go to a version on trial but were not sent yet.
        self.reserved: dict[RelayedRequest, ShareLimit] = {}
        self.labels: set[tuple[str, str]] = set()
        self.task: asyncio.Task | None = None
        cache.on_operator_row = self.apply_row
        peers.on_rollout = self.receive
        log_event(
            "rollouts_followed",
            share=settings.rollout_share,
            slack=settings.rollout_slack,
            bound_ms=settings.rollout_bound_ms,
            always=True,
        )

    # Orders.

    def apply_row(self, row: StoreRow) -> None:
        """Take a row of the operator's table, if it is an order's."""
        service = ordered_service(row.key)
        if service is None:
            return
        run = self.runs.get(service)
        if row.value is None:
            if run is not None and run.open:
                run.withdraw()
                self.set_state(run)
            return
        try:
            order = decode_order(row)
        except FormatError as error:
            log_unreadable_row(OPERATOR_TABLE, row, error)
            return
        if run is None or run.order.revision != order.revision:
            self.apply_order(order, run)

    def apply_order(self, order: RolloutOrder, run: OrderRun | None) -> None:
        if run is None and len(self.runs) >= MAX_SERVICES:
            log_event("rollout_order_left_out", service=order.service)
            return
        replaced = self.replaced.setdefault(
            order.service, collections.deque(maxlen=MAX_REPLACED)
        )
        if run is not None:
            if _order_id(order) in replaced:
                # A restored store shows an order that the operator had replaced.
                log_event("rollout_order_is_former", **run.fields(), always=True)
                return
            if _order_id(order) != _order_id(run.order):
                replaced.append(_order_id(run.order))
            run.close()
        run = self.runs[order.service] = OrderRun(order, self.links)
        log_event(
            "rollout_ordered",
            **run.fields(),
            duration_s=order.duration_s,
            known_state=run.permission.state.value,
            always=True,
        )
        self.set_state(run)
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.process_orders())

    async def process_orders(self) -> None:
        """Do what is due for the open orders, as long as there are any."""
        while open_runs := [run for run in self.runs.values() if run.open]:
            now = time.monotonic()
            for run in open_runs:
                with log_errors():
                    endpoints = self.cache.endpoints.of_service(run.order.service)
                    run.tick(endpoints, now)
                    self.set_state(run)
            await asyncio.sleep(TICK_S)

    def receive(self, peer: Hello, message: RolloutCounts | RolloutPermission) -> None:
        """Take a message of a peer about an order that is known here."""
        run = self.runs.get(message.service)
        if run is None or not run.open:
            return
        if run.order.revision != StoreVersion(message.era, message.order):
            return
        match message:
            case RolloutCounts():
                run.receive_counts(message, peer.address, peer.lifetime)
            case RolloutPermission():
                run.receive_permission(message, peer.address)
                self.set_state(run)

    def stop(self) -> None:
        """Hand over the orders that this entry coordinates."""
        run_steps([run.stop for run in self.runs.values()])

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        run_steps([run.close for run in self.runs.values()])

    # Requests.

    def usable(self, service: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that most requests of a service may use."""
        return self._usable(service, endpoints, False)

    def choose(
        self, relayed: RelayedRequest, endpoints: Sequence[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints for a request.

        Reserves a part of the share if they are those of a version on trial.
        """
        self.release(relayed)
        is_first = not relayed.tried and not relayed.off_trial
        is_first = is_first and relayed.software is None
        usable = self._usable(relayed.service, endpoints, is_first)
        run = self.runs.get(relayed.service)
        if run is None or not usable or not is_first:
            return usable
        if run.permission.phase(time.monotonic()) is not Phase.SHARE:
            return usable
        if usable[0].version == run.order.version:
            run.share.reserve()
            self.reserved[relayed] = run.share
        return usable

    def _usable(
        self, service: str, endpoints: Sequence[Endpoint], is_first: bool
    ) -> list[Endpoint]:
        run = self.runs.get(service)
        if run is None:
            known = self.cache.tables[OPERATOR_TABLE].cached.version
            if known == NO_VERSION:
                return majority_endpoints(endpoints)
            return list(endpoints)
        return usable_endpoints(
            endpoints,
            run.order,
            run.permission,
            run.share,
            time.monotonic(),
            first_attempt=is_first,
        )

    def leave_trial(self, relayed: RelayedRequest) -> bool:
        """Let a request use the old version; ``False`` if it did not use the new one.

        The engines on trial have no place for it, but the others may have.
        """
        if relayed not in self.reserved:
            return False
        self.release(relayed)
        relayed.off_trial = True
        return True

    def permits(self, relayed: RelayedRequest, endpoint: Endpoint) -> bool:
        """Return whether a request may still be sent to an endpoint after a wait."""
        run = self.runs.get(relayed.service)
        if run is None:
            return True
        on_trial = self.reserved.get(relayed) is run.share
        phase = run.permission.phase(time.monotonic())
        if phase in (Phase.NONE, Phase.SHARE):
            if endpoint.version != run.order.version:
                return True
            if phase is Phase.SHARE:
                return on_trial
        listed = self.cache.endpoints.of_service(relayed.service)
        return endpoint in self._usable(relayed.service, listed, False)

    def release(self, relayed: RelayedRequest) -> None:
        """End the reservation of a request that is not sent, or not yet."""
        share = self.reserved.pop(relayed, None)
        if share is not None:
            share.release()

    def sent(self, relayed: RelayedRequest, endpoint: Endpoint) -> RunningAttempt:
        """Record that a request was sent to an endpoint."""
        self.release(relayed)
        now = time.monotonic()
        attempt = self.attempts.begin(relayed, endpoint, now)
        run = self.runs.get(attempt.service)
        if run is not None and run.open:
            is_new = attempt.version == run.order.version
            run.share.record_sent(is_new)
            run.counts.begin(
                attempt.key,
                attempt.route,
                attempt.engine,
                is_new,
                now,
                work=attempt.work,
            )
            self.count("rollout_requests_total", attempt)
        return attempt

    def ended(self, attempt: RunningAttempt, outcome: AttemptOutcome | None) -> None:
        """Record the end of an attempt; ``None`` if the caller did not wait for it.

        The time until the caller left tells how long the answer took at least.
        """
        self.attempts.end(attempt)
        run = self.runs.get(attempt.service)
        if run is None or not run.open:
            return
        if isinstance(outcome, NotRun):
            run.counts.forget(attempt.key)
            return
        failed = isinstance(outcome, Broken | ErrorResponse)
        run.counts.end(attempt.key, failed, time.monotonic())
        if failed:
            self.count("rollout_failures_total", attempt)
        if outcome is None or attempt.version != run.order.version:
            return
        # A refusal of the request itself says nothing about the engine.
        at_fault = not isinstance(outcome, ErrorResponse) or outcome.status >= 500
        run.record_answer(failed and at_fault)

    # Metrics.

    def count(self, name: str, attempt: RunningAttempt) -> None:
        if self.has_label(attempt.service, attempt.version):
            self.metrics.count(name, service=attempt.service, version=attempt.version)

    def has_label(self, service: str, version: str) -> bool:
        """Return whether a version has metrics of its own, which are bounded."""
        label = (service, version)
        if label not in self.labels and len(self.labels) < MAX_LABELS:
            self.labels.add(label)
        return label in self.labels

    def set_state(self, run: OrderRun) -> None:
        """Set the gauges of an order."""
        order, share = run.order, run.share
        if not self.has_label(order.service, order.version):
            return
        state = int(run.permission.phase(time.monotonic()))
        if run.permission.state is RolloutState.ROLLED_BACK:
            state = Phase.ENDED + 1
        labels = {"service": order.service, "version": order.version}
        self.metrics.set("rollout_state", state, **labels)
        part = share.sent_new / share.sent if share.sent else 0.0
        self.metrics.set("rollout_share", part, **labels)


def _order_id(order: RolloutOrder) -> _OrderId:
    return (order.revision.number, order.version, order.duration_s)
