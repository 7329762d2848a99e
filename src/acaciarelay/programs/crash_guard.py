"""Keep prompts that crash engines from them: reports, suspicions and refusals."""

import time
from collections.abc import Callable

from acaciarelay.coordination.crash_memory import CrashMemory, reported_parts
from acaciarelay.coordination.crash_suspicion import Crash, Suspicion
from acaciarelay.coordination.placement.rendezvous import choose_subset
from acaciarelay.coordination.prompt_parts import part_digest, part_name
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.platform.headers import shared_part_ids
from acaciarelay.programs.crash_detector import CrashDetector, crash_record
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.link_messages import BrokenRun, CrashReport
from acaciarelay.state.relayed_request import RelayedRequest

__all__ = ["CrashGuard", "suspected_ids"]

# Events after which an answer counts as begun, so that its prompt is benign.
MIN_EVENTS_BEGUN = 2
# Peers that report known crashes to an entry which has just been reached.
FIRST_REPORTERS = 3
MAX_LOGGED_PARTS = 8


class CrashGuard:
    """Refuse prompts that are suspected to crash engines.

    Agents report the crashes of their engines to all entries. An entry without a link
    to an agent detects crashes of its engine itself and reports them to its peers.
    ``own`` is the address of this entry among those of its peers.
    """

    def __init__(self, own: str, slot_client: SlotClient, metrics: Metrics) -> None:
        self.own = own
        self.slot_client = slot_client
        self.metrics = metrics
        self.memory = CrashMemory()
        self.detector = CrashDetector(self._detected)
        # Addresses of the entries that are alive, this one included.
        self.entries: list[str] = [own]
        # Crashes that this entry has detected and not yet reported to its peers.
        self._unreported: list[Crash] = []

    # Runs.

    def run_broken(self, relayed: RelayedRequest) -> None:
        """Report a run that an engine broke off, unless its answer had begun."""
        endpoint = relayed.endpoint
        parts = relayed.traits.shared_parts
        if endpoint is None or not parts or has_begun(relayed):
            return
        engine = f"{endpoint.endpoint_id}@{endpoint.started_ms}"
        reported = reported_parts(engine, parts, self.memory.benign_at)
        broken = BrokenRun(engine=engine, parts=reported)
        agent = self.slot_client.agents.get(endpoint.host)
        hello = agent.link.peer if agent is not None else None
        if agent is not None and hello is not None and hello.digests_parts:
            agent.link.send(broken)
        else:
            self.detector.record(broken, endpoint.address)

    def run_benign(self, relayed: RelayedRequest) -> None:
        """Record that an engine answers a prompt."""
        parts = relayed.traits.shared_parts
        if parts:
            self._apply(lambda: self.memory.record_benign(parts, time.monotonic()))

    def suspicion_of(self, relayed: RelayedRequest) -> Suspicion | None:
        """Return the suspicion for which a request is refused; ``None`` if it may run.

        One entry at a time tries a suspected prompt, after a time that grows with the
        number of crashes, so that a wrong suspicion ends.
        """
        parts = relayed.traits.shared_parts
        suspicion = self.memory.suspicion_of(parts) if parts else None
        if suspicion is None or (relayed.on_trial and not relayed.run_count):
            return None
        now = time.monotonic()
        if now < self.memory.next_trial_at(suspicion):
            return suspicion
        name = ",".join(part_names(suspicion))
        if choose_subset(name, self.entries, 1) != [self.own]:
            return suspicion
        self.memory.start_trial(suspicion, now)
        relayed.on_trial = True
        log_event(
            "suspected_prompt_tried",
            request_id=relayed.traits.request_id,
            parts=part_names(suspicion)[:MAX_LOGGED_PARTS],
            crashes=suspicion.crashes,
            always=True,
        )
        return None

    def retry_after_s(self, suspicion: Suspicion) -> float:
        """Return the seconds until a prompt is tried again despite a suspicion."""
        return max(0.0, self.memory.next_trial_at(suspicion) - time.monotonic())

    # Exchange with agents and peers.

    def receive(self, report: CrashReport) -> None:
        """Merge what an agent or a peer reports."""
        now = time.monotonic()
        benign_at = {part: now - age_s for part, age_s in report.benign_s.items()}
        crashes = [
            Crash(key=record.engine, at=now - record.age_s, prompts=record.prompts)
            for record in report.crashes
        ]

        def merge() -> None:
            self.memory.record_benign_at_peers(benign_at)
            for crash in crashes:
                self.memory.record_crash(crash, now)

        self._apply(merge)

    def report_to_peers(self, now: float) -> CrashReport | None:
        """Return what all peers have to learn now, if anything."""
        untold = self.memory.take_untold()
        crashes, self._unreported = self._unreported, []
        if not untold and not crashes:
            return None
        return _report(crashes, untold, now)

    def report_to_new_peer(self, peer: str, now: float) -> CrashReport | None:
        """Return what a peer that was just reached has to learn from this entry."""
        evidence = self.memory.evidence()
        others = sorted({self.own, *self.entries} - {peer})
        if not evidence or self.own not in choose_subset(peer, others, FIRST_REPORTERS):
            return None
        return _report(evidence, self.memory.benign_at_crashes(), now)

    def close(self) -> None:
        self.detector.close()

    def _detected(self, crash: Crash) -> None:
        self._unreported.append(crash)
        self._apply(lambda: self.memory.record_crash(crash, time.monotonic()))

    def _apply(self, change: Callable[[], None]) -> None:
        """Make a change, and log and count the suspicions that it begins and ends."""
        before = self.memory.suspicions
        change()
        after = self.memory.suspicions
        if before is after:
            return
        self.metrics.set("suspected_prompts", len(after))
        known = {suspicion.parts for suspicion in before}
        current = {suspicion.parts for suspicion in after}
        for suspicion in after:
            if suspicion.parts not in known:
                log_event(
                    "prompt_suspected",
                    parts=part_names(suspicion)[:MAX_LOGGED_PARTS],
                    crashes=suspicion.crashes,
                    always=True,
                )
        for suspicion in before:
            if suspicion.parts not in current:
                parts = part_names(suspicion)[:MAX_LOGGED_PARTS]
                log_event("suspicion_ended", parts=parts, always=True)


def suspected_ids(relayed: RelayedRequest, suspicion: Suspicion) -> list[str]:
    """Return the ids of a request's parts that are suspected, some of them at most."""
    ids = []
    for part_id in sorted(shared_part_ids(relayed.traits)):
        if part_digest(part_id) in suspicion.parts:
            ids.append(part_id)
    return ids[:MAX_LOGGED_PARTS]


def part_names(suspicion: Suspicion) -> list[str]:
    """Return the names of the suspected parts, as in the logs of all processes."""
    return [part_name(digest) for digest in sorted(suspicion.parts)]


def has_begun(relayed: RelayedRequest) -> bool:
    """Return whether an engine has begun to answer in the current attempt."""
    return relayed.events_received >= MIN_EVENTS_BEGUN


def _report(
    crashes: list[Crash], benign_at: dict[int, float], now: float
) -> CrashReport:
    return CrashReport(
        crashes=[crash_record(crash, now) for crash in crashes],
        benign_s={part: round(now - at, 3) for part, at in benign_at.items()},
    )
