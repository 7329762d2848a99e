"""Adaptive token limit of an endpoint: additive increase, multiplicative decrease."""

import math
import sys

import attrs

__all__ = ["TokenLimit", "max_request_tokens"]

TARGET_INTER_TOKEN_S = 0.053
TARGET_FIRST_TOKEN_S = 0.94

# The limit grows only while the mean latency is below this share of the target and
# shrinks only above the target. The hysteresis keeps it from oscillating on noise.
GROW_BELOW = 0.9
# Bounds of the factor of a decrease. It lowers the limit by 10% to 50%, the more the
# latency exceeds its target.
MAX_DECREASE_FACTOR = 0.9
MIN_DECREASE_FACTOR = 0.5
# Increase per second as a share of the initial limit. At this rate a limit that fell to
# the minimum reaches its initial value again within 10 s, the time in which goodput
# must recover after an overload.
INCREASE_PER_SECOND = 0.12
ADJUST_INTERVAL_S = 0.5
# Samples are collected in windows. A window that stayed open for lack of samples counts
# as at most this long for the increase.
MAX_INCREASE_WINDOW_S = 1.0
# A window with too few samples is closed after this time, since older samples do not
# describe the engine's present state.
MAX_WINDOW_S = 5.0
# Streams that started before a decrease still show the old latency for this long.
DECREASE_INTERVAL_S = 1.5
# Fewer samples than this may be outliers and do not cause a decrease.
MIN_SAMPLES = 4
# Samples are capped at this multiple of the target, so that one prompt of a hundred
# times the usual length does not outweigh all other samples.
MAX_SAMPLE_RATIO = 4.0
# The endpoint may queue this share of the requests that it runs, which keeps its batch
# full between two reports.
QUEUE_SLACK = 0.25
# The limit is taken to be the bottleneck when this share of it was in use.
SATURATED_SHARE = 0.8
# Largest share of the limit that one request counts for. A prompt of a hundred times
# the usual length takes one slot of the engine's batch and is prefilled in turns with
# others. Counted in full it would wait until the endpoint is idle, and every lower-tier
# stream would be preempted for it, one after the other.
LARGEST_SHARE = 0.25
# Time constant of the rate at which running requests free tokens.
RATE_WINDOW_S = 10.0


def max_request_tokens(limit: int, share: float = LARGEST_SHARE) -> int:
    """Return the most tokens that one request counts for under a limit."""
    return max(1, int(limit * share))


@attrs.define
class _MeanRatio:
    """Mean of latency samples as ratios to their target."""

    target_s: float
    count: int = 0
    total: float = 0.0

    def add(self, sample_s: float) -> None:
        self.count += 1
        self.total += min(sample_s / self.target_s, MAX_SAMPLE_RATIO)

    def ratio(self) -> float:
        return self.total / self.count if self.count else 0.0

    def clear(self) -> None:
        self.count = 0
        self.total = 0.0


@attrs.define
class _FreedRate:
    """Rate of freed tokens per second, measured over busy time only."""

    tokens: float = 0.0
    seconds: float = 0.0
    last: float | None = None

    def record(self, tokens: int, busy: bool, now: float) -> None:
        if self.last is not None:
            elapsed = max(0.0, now - self.last)
            decay = math.exp(-elapsed / RATE_WINDOW_S)
            self.tokens = self.tokens * decay + tokens
            self.seconds = self.seconds * decay + elapsed
        # The start of the next busy period is unknown, so it gives no interval.
        self.last = now if busy else None

    def per_second(self) -> float:
        return self.tokens / self.seconds if self.seconds > 0 else 0.0


class TokenLimit:
    """Limit the tokens in use at an endpoint by its measured latency.

    The limit grows by steps while it is the bottleneck and both latencies are well
    below their targets, and is multiplied down when one of them exceeds its target.
    """

    def __init__(
        self,
        initial: int,
        minimum: int,
        maximum: int,
        target_inter_token_s: float = TARGET_INTER_TOKEN_S,
        target_first_token_s: float = TARGET_FIRST_TOKEN_S,
        largest_share: float = LARGEST_SHARE,
    ) -> None:
        self.largest_share = largest_share
        self.minimum = max(1, minimum)
        self.maximum = max(self.minimum, maximum)
        self.limit = self._clamp(initial)
        self.in_use = 0
        self._increase_per_second = self.limit * INCREASE_PER_SECOND
        self._held: dict[str, int] = {}
        self._inter_token = _MeanRatio(target_inter_token_s)
        self._first_token = _MeanRatio(target_first_token_s)
        self._freed_rate = _FreedRate()
        self._saturated = False
        self._queued = False
        self._peak_running = 0
        self._window_start: float | None = None
        self._last_decrease = -math.inf

    @property
    def running(self) -> int:
        """Return the number of requests that hold tokens."""
        return len(self._held)

    @property
    def free_tokens(self) -> int:
        """Return the free tokens; at an idle endpoint any request fits."""
        if not self._held:
            return sys.maxsize
        return max(0, self.limit - self.in_use)

    @property
    def max_request_tokens(self) -> int:
        """Return the most tokens that one request counts for."""
        return max_request_tokens(self.limit, self.largest_share)

    @property
    def tokens_per_second(self) -> float:
        """Return the rate at which running requests free tokens, 0 when unknown."""
        return self._freed_rate.per_second()

    def time_until_free_s(self, tokens: int) -> float:
        """Return the expected time until tokens fit; infinite when it is unknown."""
        missing = tokens - self.free_tokens
        if missing <= 0:
            return 0.0
        rate = self.tokens_per_second
        return missing / rate if rate > 0 else math.inf

    def acquire(self, request_id: str, tokens: int) -> bool:
        """Hold tokens for a request; ``False`` when they do not fit.

        One request always fits at an idle endpoint. A request that already holds
        tokens keeps them unchanged.
        """
        if request_id in self._held:
            return True
        if tokens > self.free_tokens:
            self._saturated = True
            return False
        self._held[request_id] = tokens
        self.in_use += tokens
        self._peak_running = max(self._peak_running, len(self._held))
        if self.in_use >= SATURATED_SHARE * self.limit:
            self._saturated = True
        return True

    def record_blocked(self) -> None:
        """Record that a request waits that does not fit in the free tokens."""
        self._saturated = True

    def release(self, request_id: str, now: float) -> None:
        """Free the tokens of a request; unknown requests are ignored."""
        tokens = self._held.pop(request_id, None)
        if tokens is None:
            return
        self.in_use -= tokens
        self._freed_rate.record(tokens, bool(self._held), now)

    def observe(
        self, first_token_s: float | None, inter_token_s: float | None, now: float
    ) -> None:
        """Record measured latencies and adjust the limit once per interval."""
        if self._window_start is None:
            self._window_start = now
        if first_token_s is not None:
            self._first_token.add(first_token_s)
        if inter_token_s is not None:
            self._inter_token.add(inter_token_s)
        elapsed_s = now - self._window_start
        if elapsed_s >= ADJUST_INTERVAL_S:
            self._adjust(elapsed_s, now)

    def shrink(self, now: float) -> None:
        """Halve the limit, since the endpoint stalled or failed.

        All streams of a stalled engine report the stall at the same time, so further
        calls within the decrease interval have no effect.
        """
        if now - self._last_decrease < DECREASE_INTERVAL_S:
            return
        self._decrease(MIN_DECREASE_FACTOR, now)

    def update_from_report(self, running: int, waiting: int) -> None:
        """Apply the endpoint's own report of running and queued requests.

        The endpoint queues in order of arrival, so tier order and fair queueing do not
        apply to requests that wait there. While the queue is longer than
        ``QUEUE_SLACK`` allows, each report lowers the limit to the tokens of the
        running requests plus this slack, but by at most half. As the queue drains, the
        tokens in use fall with it.
        """
        self._queued = waiting > QUEUE_SLACK * running
        if not self._queued or running < 1:
            return
        fitting = self.in_use * running / (running + waiting) * (1 + QUEUE_SLACK)
        lowered = max(int(fitting), int(self.limit * MIN_DECREASE_FACTOR))
        self.limit = self._clamp(min(self.limit, lowered))

    def _adjust(self, elapsed_s: float, now: float) -> None:
        means = (self._inter_token, self._first_token)
        worst = max(mean.ratio() for mean in means)
        reliable = [mean.ratio() for mean in means if mean.count >= MIN_SAMPLES]
        excess = max(reliable, default=0.0)
        if worst > 1 and excess <= 1 and elapsed_s < MAX_WINDOW_S:
            return
        # A single running request does not get faster by a lower limit.
        waited = now - self._last_decrease >= DECREASE_INTERVAL_S
        if excess > 1 and waited and self._peak_running > 1:
            self._decrease(
                max(MIN_DECREASE_FACTOR, min(MAX_DECREASE_FACTOR, 1 / excess)), now
            )
            return
        if worst <= GROW_BELOW and self._saturated and not self._queued:
            step = self._increase_per_second * min(elapsed_s, MAX_INCREASE_WINDOW_S)
            self.limit = self._clamp(self.limit + max(1, int(step)))
        self._start_window(now)

    def _decrease(self, factor: float, now: float) -> None:
        self.limit = self._clamp(int(self.limit * factor))
        self._last_decrease = now
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._inter_token.clear()
        self._first_token.clear()
        self._peak_running = len(self._held)
        self._saturated = self.in_use >= SATURATED_SHARE * self.limit

    def _clamp(self, limit: int) -> int:
        return max(self.minimum, min(self.maximum, limit))
