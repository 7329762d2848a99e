"""Record at a granter of the prompt parts that its engine keeps, with counters."""

from collections.abc import Iterable

from acaciarelay.coordination.engine_model import EngineSpeed
from acaciarelay.coordination.kept_parts import (
    KeptParts,
    KeptUse,
    ReadVerdict,
    read_verdict,
)
from acaciarelay.coordination.prompt_chain import PromptChain, is_chain
from acaciarelay.coordination.slot_queue import SlotRequestState
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.link_messages import SlotRequest

__all__ = ["KeptPrompts"]

NO_USE = KeptUse({}, 0)
RESULTS = {
    ReadVerdict.KEPT: "used",
    ReadVerdict.NOT_TELLING: "used",
    ReadVerdict.UNCLEAR: "unclear",
    ReadVerdict.READ: "wrong",
}


class KeptPrompts:
    """Follow the requests that an engine is granted, and what it keeps of them."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.parts = KeptParts()

    def begin(
        self, state: SlotRequestState, granted: Iterable[SlotRequestState], now: float
    ) -> None:
        """Record that the engine reads the shared parts of a granted request."""
        slot_request = state.slot_request
        if not slot_request.parts:
            return
        if not is_chain(slot_request.parts, slot_request.prompt_tokens):
            return
        self.parts.memory_tokens = slot_request.memory_tokens
        state.kept_use = self.parts.begin(slot_request.parts, now)
        self.parts.evict(_running_tokens(granted))

    def withdraw(self, state: SlotRequestState) -> None:
        """Forget what a request would have left that brought no whole answer."""
        if state.kept_use is not None:
            self.parts.withdraw(state.kept_use)

    def end(
        self,
        state: SlotRequestState,
        granted: Iterable[SlotRequestState],
        first_s: float,
        speed: EngineSpeed,
        now: float,
    ) -> int | None:
        """Record the end of a request; return the tokens of its prompt that were read.

        ``None`` if the seconds to its first event do not tell.
        """
        slot_request = state.slot_request
        prompt_tokens = slot_request.prompt_tokens
        use = state.kept_use
        if use is None and not len(self.parts):
            return prompt_tokens
        use = use or NO_USE
        self.parts.end(use, _own_tokens(slot_request), _running_tokens(granted), now)
        if not use.kept_tokens:
            return prompt_tokens
        verdict = read_verdict(prompt_tokens, use.kept_tokens, first_s, speed)
        self.parts.record_verdict(use, verdict)
        result = RESULTS[verdict]
        self.metrics.count("kept_tokens_total", use.kept_tokens, result=result)
        match verdict:
            case ReadVerdict.READ:
                self.metrics.count("wrong_hints_total")
                return prompt_tokens
            case ReadVerdict.UNCLEAR:
                return None
        return prompt_tokens - use.kept_tokens

    def clear(self) -> None:
        """Forget all parts, as after a crash of the engine."""
        self.parts.clear()

    def hints(self, now: float) -> PromptChain:
        """Return the parts to name to entries."""
        return self.parts.hints(now)


def _own_tokens(slot_request: SlotRequest) -> int:
    """Return the memory that a request needs beside its shared parts, in tokens."""
    shared = max(slot_request.parts.values(), default=0)
    prompt_tokens = max(0, slot_request.prompt_tokens - shared)
    return prompt_tokens + slot_request.output_tokens


def _running_tokens(granted: Iterable[SlotRequestState]) -> int:
    return sum(_own_tokens(state.slot_request) for state in granted)
