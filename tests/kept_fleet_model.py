"""Model of a fleet whose engines keep parts of prompts, on ``SlotFleetModel``.

Each engine evicts what it used least recently, and reads the rest of a prompt before
the first event. Its agent knows only the requests that it granted and the times to
their first events. With ``hints`` off no request names its parts.
"""

import collections
from collections.abc import Callable

import attrs
from slot_fleet_model import MESSAGE_S, Load, RankResult, SlotFleetModel

from acaciarelay.coordination.engine_choice import (
    EngineOption,
    ExpectedAnswer,
    choose_engines,
)
from acaciarelay.coordination.engine_model import (
    OVERHEAD_TOKENS,
    EngineModel,
)
from acaciarelay.coordination.prompt_chain import PromptChain, link_chain
from acaciarelay.coordination.slot_client import AgentLink
from acaciarelay.programs.kept_prompts import KeptPrompts
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.link_messages import EngineState, SlotRequest

__all__ = ["KeptFleetModel", "PromptKind", "play"]

READ_S_PER_TOKEN = 1 / 40_000
OUTPUT_TOKENS = 100
# The time to a first event varies by up to this factor, both ways.
NOISE = 1.2


@attrs.frozen(kw_only=True)
class PromptKind:
    """Chooses a prompt's shared parts, by id and tokens, and its own tokens."""

    draw: Callable[..., tuple[list[tuple[str, int]], int]]


class _Engine:
    """What an engine keeps, and the tokens that it read."""

    def __init__(self, memory: int) -> None:
        self.memory = memory
        self.kept: collections.OrderedDict[object, int] = collections.OrderedDict()
        self.tokens_read = 0

    def read(self, parts: list[tuple[str, int]], own: int) -> int:
        """Return the tokens of a prompt that are not kept, and keep them."""
        path: tuple[str, ...] = ()
        missing = own
        is_kept = True
        keys = []
        for part, tokens in parts:
            path = (*path, part)
            keys.append(path)
            is_kept = is_kept and path in self.kept
            if not is_kept:
                missing += tokens
                self.kept[path] = tokens
        keys.append(object())
        self.kept[keys[-1]] = own + OUTPUT_TOKENS
        for key in reversed(keys):
            self.kept.move_to_end(key)
        while sum(self.kept.values()) > self.memory:
            self.kept.popitem(last=False)
        self.tokens_read += missing
        return missing


@attrs.define(eq=False)
class _Link:
    """Stands for the link to an agent, which is always fresh."""

    last_received_at: float = 1e9
    round_trip_s: float = 2 * MESSAGE_S


@attrs.define(eq=False)
class _Prompt:
    parts: list[tuple[str, int]]
    own: int
    chain: PromptChain

    @property
    def tokens(self) -> int:
        return sum(tokens for _, tokens in self.parts) + self.own


class KeptFleetModel(SlotFleetModel):
    """Play prompts of one kind on engines with ``memory`` tokens each."""

    def __init__(
        self,
        engines: int,
        slots: int,
        seed: int,
        kind: PromptKind,
        hints: bool,
        memory: int = 60_000,
        hint_delay_s: float = 0.0,
        mix_up: bool = False,
    ) -> None:
        super().__init__(engines, slots, 1, seed)
        self.kind = kind
        self.hints = hints
        self.memory = memory
        self.hint_delay_s = hint_delay_s
        self.mix_up = mix_up
        self.engines = [_Engine(memory) for _ in range(engines)]
        self.metrics = Metrics()
        self.records = [KeptPrompts(self.metrics) for _ in range(engines)]
        self.models = [EngineModel() for _ in range(engines)]
        self.links = [AgentLink(str(n), _Link()) for n in range(engines)]
        self.prompts: dict[str, _Prompt] = {}
        self.drawn: _Prompt | None = None
        self.first_event_s: list[float] = []
        # Requests by their first part and engine.
        self.runs_of_part: collections.Counter[tuple[str, int]] = collections.Counter()

    @property
    def tokens_read(self) -> int:
        return sum(engine.tokens_read for engine in self.engines)

    @property
    def mean_first_event_s(self) -> float:
        return sum(self.first_event_s) / len(self.first_event_s)

    def restart_engine(self, index: int) -> None:
        self.engines[index].kept.clear()

    def arrive(self, load: Load) -> None:
        parts, own = self.kind.draw(self.rng)
        chain = link_chain(parts) if self.hints else {}
        prompt = _Prompt(parts, own, chain)
        options = [
            EngineOption(
                host=str(index),
                queue_s=waits[load.rank],
                round_trip_s=2 * MESSAGE_S,
                distance=0.0,
                failures=0.0,
                speed=link.speed,
                kept_tokens=link.kept_tokens(chain, self.now),
            )
            for index, (waits, link) in enumerate(
                zip(self.published, self.links, strict=True)
            )
        ]
        answer = ExpectedAnswer(
            prompt_tokens=prompt.tokens, output_tokens=OUTPUT_TOKENS, left_s=10.0
        )
        chosen = choose_engines(options, answer, self.rng)
        if min(option.queue_s for option in chosen) > load.wait_s:
            self.results[load.rank].refused += 1
            return
        self.send(load, prompt, [int(option.host) for option in chosen])

    def send(self, load: Load, prompt: _Prompt, hosts: list[int]) -> None:
        request = self.new_request(load, set(hosts))
        self.prompts[request.name] = prompt
        request.arrived_at = self.now
        for index in hosts:
            self.at(MESSAGE_S, lambda i=index: self.ask(i, request, len(hosts)))
        self.at(load.wait_s, lambda: self.end_wait(request))

    def slot_request(self, request, asked: int) -> SlotRequest:
        prompt = self.prompts[request.name]
        return attrs.evolve(
            super().slot_request(request, asked),
            prompt_tokens=prompt.tokens,
            output_tokens=OUTPUT_TOKENS,
            memory_tokens=self.memory,
            parts=prompt.chain,
        )

    def granted(self, index: int, state) -> None:
        self.records[index].begin(state, self.queues[index].granted.values(), self.now)

    def hold_s(self, index: int, request) -> float:
        """Read the prompt, and return how long the engine takes for the answer."""
        prompt = self.prompts[request.name]
        if prompt.parts:
            self.runs_of_part[prompt.parts[0][0], index] += 1
        tokens = self.engines[index].read(prompt.parts, prompt.own)
        noise = NOISE ** self.rng.uniform(-1, 1)
        request.first_s = (tokens + OVERHEAD_TOKENS) * READ_S_PER_TOKEN * noise
        self.first_event_s.append(self.now - request.arrived_at + request.first_s)
        return request.first_s + super().hold_s(index, request)

    def released(self, index: int, request, state) -> None:
        record = self.records[index]
        if request.granted_by != index:
            record.withdraw(state)
            return
        speed = self.models[index].speed()
        granted = self.queues[index].granted.values()
        tokens = record.end(state, granted, request.first_s, speed, self.now)
        if tokens is not None:
            self.models[index].observe(
                tokens, OUTPUT_TOKENS, request.first_s, 0.1, self.now
            )

    def publish(self, index: int) -> None:
        super().publish(index)
        speed = self.models[index].speed()
        state = EngineState(
            waits_s=[],
            first_s=speed.first_s,
            kept=self.records[index].hints(self.now),
        )
        target = (index + 1) % len(self.links) if self.mix_up else index
        self.at(self.hint_delay_s, lambda: self.links[target].update(state))


def play(
    model: KeptFleetModel, load: float, hold_s: float, seconds: float
) -> RankResult:
    """Play a load, in multiples of what the engines serve without reading prompts."""
    per_s = load * len(model.queues) * model.slots / hold_s
    return model.play([Load(rank=0, per_s=per_s, hold_s=hold_s)], seconds)[0]
