"""Metrics of the programs, declared in one table."""

from typing import Any

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["METRICS", "Metric", "Metrics"]

LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.94, 2.0, 5.0, 15.0, 60.0]


@attrs.frozen
class Metric:
    """Declaration of a metric; ``kind`` is counter, gauge or histogram."""

    name: str
    kind: str
    labels: tuple[str, ...]
    help: str


METRICS = [
    Metric(
        "acaciarelay_requests_total",
        "counter",
        ("tier", "organisation_class", "outcome"),
        "Requests that ended at this entry.",
    ),
    Metric(
        "acaciarelay_refusals_total",
        "counter",
        ("code", "reason", "tier", "organisation_class"),
        "Requests refused or cut, by result code.",
    ),
    Metric(
        "acaciarelay_retries_total",
        "counter",
        ("reason",),
        "Requests that this entry placed again, by reason.",
    ),
    Metric(
        "acaciarelay_reservations_total",
        "counter",
        ("link",),
        "Reservations sent, by link: zone, region or wan.",
    ),
    Metric(
        "acaciarelay_link_bytes_total",
        "counter",
        ("link", "direction"),
        "Message bytes on sessions, by link: zone, region or wan.",
    ),
    Metric(
        "acaciarelay_session_losses_total",
        "counter",
        ("agent",),
        "Sessions lost, by agent.",
    ),
    Metric(
        "acaciarelay_resumes_total",
        "counter",
        ("state",),
        "Requests asked about after a new session, by the agent's answer.",
    ),
    Metric(
        "acaciarelay_first_token_seconds",
        "histogram",
        ("tier",),
        "Time from the request to the first byte of its answer, in seconds.",
    ),
    Metric(
        "acaciarelay_config_generation",
        "gauge",
        (),
        "Configuration generation in force.",
    ),
    Metric(
        "acaciarelay_config_records_set_aside",
        "gauge",
        (),
        "Records set aside because their schema is too new or their form is wrong.",
    ),
    Metric(
        "acaciarelay_platform_failures_total",
        "counter",
        ("call",),
        "Failed calls to the platform.",
    ),
    Metric(
        "acaciarelay_drops_total",
        "counter",
        ("reason", "tier"),
        "Reservations that this agent dropped, by reason.",
    ),
    Metric(
        "acaciarelay_dispatches_total",
        "counter",
        ("tier", "outcome"),
        "Requests that this agent ran, by outcome.",
    ),
    Metric(
        "acaciarelay_preemptions_total",
        "counter",
        ("tier",),
        "Running requests cancelled for more urgent work.",
    ),
    Metric(
        "acaciarelay_wasted_prefill_tokens_total",
        "counter",
        ("reason",),
        "Prompt tokens of runs that brought no whole answer.",
    ),
    Metric(
        "acaciarelay_token_limit",
        "gauge",
        (),
        "Tokens that may be in service at the endpoint.",
    ),
    Metric(
        "acaciarelay_tokens_in_service",
        "gauge",
        (),
        "Tokens in service at the endpoint.",
    ),
    Metric(
        "acaciarelay_places_granted_total",
        "counter",
        ("tier",),
        "Places that an agent granted.",
    ),
    Metric(
        "acaciarelay_places_refused_total",
        "counter",
        ("tier",),
        "Requests that an agent refused a place because none would come in time.",
    ),
    Metric(
        "acaciarelay_place_wait_seconds",
        "histogram",
        ("tier",),
        "Time that a request waited for its place at an agent, in seconds.",
    ),
    Metric(
        "acaciarelay_place_wait_error_seconds",
        "histogram",
        ("tier",),
        "Difference between the predicted and the real wait for a place, in seconds.",
    ),
    Metric(
        "acaciarelay_engines_granted",
        "gauge",
        ("granter",),
        "Engines without an agent in reach, by who grants their places to this entry: "
        "self, peer or none.",
    ),
    Metric(
        "acaciarelay_granter_changes_total",
        "counter",
        ("reason",),
        "Changes of the granter of an engine without an agent, by reason: absent, "
        "closed, silent, refused, order.",
    ),
    Metric(
        "acaciarelay_streams_resumed_total",
        "counter",
        ("outcome",),
        "Streams that callers resumed, by outcome: continued (a new event or the end "
        "of the stream was sent), origin_unknown, version_gone, foreign, not_placed.",
    ),
    Metric(
        "acaciarelay_places_declined_total",
        "counter",
        (),
        "Requests with a place from this entry that the engine did not take.",
    ),
    Metric(
        "acaciarelay_memory_waits_total",
        "counter",
        ("tier",),
        "Requests that were next for a place and had to wait for the engine's memory.",
    ),
    Metric(
        "acaciarelay_kept_tokens_total",
        "counter",
        ("result",),
        "Prompt tokens that an engine was believed to keep, by result: used (not read "
        "again), wrong (read all the same), unclear (the time to the first event does "
        "not tell), missed (kept by another engine than the one chosen).",
    ),
    Metric(
        "acaciarelay_wrong_hints_total",
        "counter",
        (),
        "Answers that took as long as a read of what the engine was believed to keep.",
    ),
    Metric(
        "acaciarelay_kept_parts",
        "gauge",
        (),
        "Shared parts of prompts that the engine is believed to keep.",
    ),
    Metric(
        "acaciarelay_first_event_error_seconds",
        "histogram",
        (),
        "Difference between the predicted and the real time to the first event of an "
        "answer, in seconds.",
    ),
    Metric(
        "acaciarelay_engine_crashes_total",
        "counter",
        (),
        "Crashes of the engine while it had requests, and reports of further ones.",
    ),
    Metric(
        "acaciarelay_places_used",
        "gauge",
        (),
        "Places in use at the engine.",
    ),
    Metric(
        "acaciarelay_places_waiting",
        "gauge",
        (),
        "Requests that wait for a place at the engine.",
    ),
    Metric(
        "acaciarelay_places_kept",
        "gauge",
        ("tier",),
        "Places at the engine that are kept from a tier for more urgent ones.",
    ),
    Metric(
        "acaciarelay_stage_seconds",
        "histogram",
        ("route", "stage"),
        "Time from the request's arrival until it was sent (queue), until the first "
        "byte of its answer (first) and until its end (whole), in seconds.",
    ),
    Metric(
        "acaciarelay_belief_age_seconds",
        "gauge",
        ("table",),
        "Seconds since a table of the store was last known to be current.",
    ),
    Metric(
        "acaciarelay_store_era",
        "gauge",
        (),
        "Newest known era of the store, which rises when it is restored from a copy.",
    ),
    Metric(
        "acaciarelay_peers_reached",
        "gauge",
        (),
        "Peers to which a link is open.",
    ),
    Metric(
        "acaciarelay_suspected_prompts",
        "gauge",
        (),
        "Groups of prompt parts that are kept from engines, which crashed on them.",
    ),
    Metric(
        "acaciarelay_body_bytes",
        "gauge",
        (),
        "Bytes that the bodies under way occupy.",
    ),
    Metric(
        "acaciarelay_answer_bytes",
        "gauge",
        (),
        "Bytes that answers occupy which their callers have not read yet.",
    ),
    Metric(
        "acaciarelay_paused_answers",
        "gauge",
        (),
        "Answers that are not read from their endpoints for lack of memory.",
    ),
    Metric(
        "acaciarelay_answer_pauses_total",
        "counter",
        (),
        "Times that the reading of an answer was paused for lack of memory.",
    ),
    Metric(
        "acaciarelay_cut_callers_total",
        "counter",
        ("answer",),
        "Callers cut that read nothing while others needed memory, by whether their "
        "answer was whole or a part.",
    ),
    Metric(
        "acaciarelay_reading_seconds",
        "gauge",
        ("reader",),
        "Seconds of the event loop spent on what others sent, by who sends: caller, "
        "endpoint, link or store.",
    ),
    Metric(
        "acaciarelay_long_steps_total",
        "counter",
        ("reader",),
        "Steps that kept the event loop from other tasks for 50 ms or more, by who "
        "sends.",
    ),
    Metric(
        "acaciarelay_rollout_requests_total",
        "counter",
        ("service", "version"),
        "Requests sent to engines of a version since an order was in force.",
    ),
    Metric(
        "acaciarelay_rollout_failures_total",
        "counter",
        ("service", "version"),
        "Requests of these that failed at the engine.",
    ),
    Metric(
        "acaciarelay_rollout_share",
        "gauge",
        ("service", "version"),
        "Part of this entry's requests since the order that went to the new version.",
    ),
    Metric(
        "acaciarelay_rollout_state",
        "gauge",
        ("service", "version"),
        "What may be sent to the new version: 0 nothing, 1 its share, 2 all requests, "
        "3 all after success, 4 nothing after a roll-back.",
    ),
    Metric(
        "acaciarelay_commands_total",
        "counter",
        ("result",),
        "Commands given to the engine, by result.",
    ),
]


class Metrics:
    """The metrics of one process; its methods raise ``KeyError`` for unknown names."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.collectors: dict[str, Any] = {}
        for metric in METRICS:
            self.collectors[metric.name] = self.create(metric)

    def create(self, metric: Metric) -> Counter | Gauge | Histogram:
        if metric.kind == "counter":
            return Counter(metric.name, metric.help, registry=self.registry)
        if metric.kind == "gauge":
            return Gauge(metric.name, metric.help, registry=self.registry)
        return Histogram(
            metric.name,
            metric.help,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def count(self, name: str, amount: int = 1, **labels: object) -> None:
        """Add to a counter; the name is given without its common prefix."""
        self.collectors["acaciarelay_" + name].add(_label_texts(labels), amount)

    def count_platform_failure(self, call: str) -> None:
        """Add one to the platform's failures, labelled with the name of the call."""
        self.count("platform_failures_total", call=call)

    def set(self, name: str, value: float, **labels: object) -> None:
        """Set a gauge; the name is given without its common prefix."""
        self.collectors["acaciarelay_" + name].set(_label_texts(labels), value)

    def observe(self, name: str, value: float, **labels: object) -> None:
        """Add a value to a histogram; the name is given without its common prefix."""
        self.collectors["acaciarelay_" + name].observe(_label_texts(labels), value)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format, and its content type."""
        body, headers = render(self.registry, ["text/plain"])
        return body, headers["Content-Type"]


def _label_texts(labels: dict[str, object]) -> dict[str, str]:
    return {name: str(value) for name, value in labels.items()}
