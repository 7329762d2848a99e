"""The record of the prompt parts that an engine keeps, and its use by entries."""

import random
import types

import attrs
import pytest
from test_engine_choice import ANSWER, option
from test_slot_queue import slot_request

from acaciarelay.coordination.engine_choice import choose_engines
from acaciarelay.coordination.engine_model import EngineModel, EngineSpeed
from acaciarelay.coordination.kept_parts import (
    MAX_KEPT_HINTS,
    MAX_KEPT_PARTS,
    KeptParts,
    ReadVerdict,
    read_verdict,
)
from acaciarelay.coordination.prompt_chain import link_chain
from acaciarelay.coordination.slot_client import AgentLink
from acaciarelay.coordination.slot_queue import SlotRequestState
from acaciarelay.programs.kept_prompts import KeptPrompts
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.link_messages import EngineState

SPEED = EngineSpeed(first_s=0.025, token_s=0.005)


def chain(*names: str, tokens: int = 1000) -> dict[int, int]:
    return link_chain((name, tokens) for name in names)


def record(memory: int = 10_000) -> KeptParts:
    parts = KeptParts()
    parts.memory_tokens = memory
    return parts


def serve(parts: KeptParts, links: dict[int, int], own: int = 0, now: float = 0.0):
    use = parts.begin(links, now)
    parts.end(use, own, 0, now)
    return use


def test_the_same_beginning_is_kept():
    """Guards against a part that counts as kept without the parts before it."""
    parts = record()
    assert serve(parts, chain("a", "b")).kept_tokens == 0
    assert parts.kept_tokens(chain("a", "b", "c")) == 2000
    assert parts.kept_tokens(chain("a", "c")) == 1000
    assert parts.kept_tokens(chain("b")) == 0


def test_what_was_used_least_recently_is_evicted_first():
    """Guards against a record that believes in more than the engine's memory."""
    parts = record(4000)
    for name in "abcd":
        serve(parts, chain(name))
    serve(parts, chain("a"))
    serve(parts, chain("e"))
    kept = [name for name in "abcde" if parts.kept_tokens(chain(name))]
    assert kept == ["a", "c", "d", "e"]


def test_a_part_is_evicted_before_those_that_it_follows():
    """Guards against parts that are believed kept after one before them has gone."""
    parts = record(3000)
    serve(parts, chain("a", "b", "c"))
    serve(parts, chain("x"))
    assert parts.kept_tokens(chain("a", "b", "c")) == 2000


def test_own_parts_and_running_requests_take_memory():
    """Guards against parts that other prompts pushed out of the engine."""
    parts = record(4000)
    serve(parts, chain("a"), own=500)
    serve(parts, {}, own=2400)
    assert len(parts) == 1
    serve(parts, {}, own=200)
    assert len(parts) == 0
    serve(parts, chain("a"))
    parts.evict(running_tokens=3500)
    assert parts.kept_tokens(chain("a")) == 0


def test_a_withdrawn_request_leaves_nothing():
    """Guards against parts that only another engine has read."""
    parts = record()
    serve(parts, chain("a"))
    parts.withdraw(parts.begin(chain("a", "b"), 1.0))
    assert parts.kept_tokens(chain("a", "b")) == 1000


def test_the_record_and_its_summary_are_bounded():
    """Guards against callers whose every prompt names further parts."""
    parts = record(10**9)
    for number in range(3 * MAX_KEPT_PARTS):
        serve(parts, chain(str(number), tokens=300), own=10, now=number / 100)
        assert len(parts.hints(number / 100)) <= MAX_KEPT_HINTS
    assert len(parts) <= MAX_KEPT_PARTS
    assert len(parts._parts) <= MAX_KEPT_PARTS


def test_the_most_used_parts_are_named():
    """Guards against a summary of parts that nobody asks for."""
    parts = record(10**6)
    for number in range(100):
        serve(parts, chain("often"))
        serve(parts, chain(f"once-{number}"))
    assert next(iter(chain("often"))) in parts.hints(1.0)
    before = parts.hints(1.0)
    for _ in range(100):
        serve(parts, chain("later"))
    # A summary is not made anew for each request.
    assert parts.hints(1.1) is before
    assert next(iter(chain("later"))) in parts.hints(2.0)


def test_wrong_beliefs_drop_a_part_and_then_all():
    """Guards against beliefs that outlast a restart of the engine."""
    parts = record()
    serve(parts, chain("a", "b"))
    serve(parts, chain("c"))
    parts.record_verdict(serve(parts, chain("a")), ReadVerdict.READ)
    assert parts.kept_tokens(chain("a", "b")) == 0
    assert parts.kept_tokens(chain("c")) == 1000
    parts.record_verdict(serve(parts, chain("c")), ReadVerdict.READ)
    assert len(parts) == 0
    assert parts.hints(9.0) == {}


def test_an_engine_that_keeps_nothing_is_no_longer_believed():
    """Guards against hints to an engine without a cache for prompts."""
    parts = record()
    for second in range(60):
        use = serve(parts, chain("a"), now=float(second))
        if use.kept_tokens:
            parts.record_verdict(use, ReadVerdict.READ)
    assert parts.hints(60.0) == {}
    for second in range(60, 120):
        use = serve(parts, chain("a"), now=float(second))
        if use.kept_tokens:
            parts.record_verdict(use, ReadVerdict.KEPT)
    assert list(parts.hints(120.0).values()) == [1000]


@pytest.mark.parametrize(
    ("first_s", "kept", "verdict"),
    [
        (0.033, 2000, ReadVerdict.KEPT),
        (0.050, 2000, ReadVerdict.KEPT),
        (0.065, 2000, ReadVerdict.UNCLEAR),
        (0.083, 2000, ReadVerdict.READ),
        (0.500, 2000, ReadVerdict.READ),
        (0.500, 300, ReadVerdict.NOT_TELLING),
    ],
)
def test_the_time_to_the_first_event_tells_of_reads(first_s, kept, verdict):
    """Guards against wrong beliefs that nothing corrects."""
    assert read_verdict(3000, kept, first_s, SPEED) is verdict
    assert read_verdict(3000, kept, first_s, EngineSpeed()) is ReadVerdict.NOT_TELLING


@pytest.mark.parametrize("keeps", [True, False])
def test_kept_parts_do_not_change_the_speed_that_others_see(keeps):
    """Guards against an engine that looks faster, or slower, than it is."""
    prompts = KeptPrompts(Metrics())
    model = EngineModel()
    rng = random.Random(1)
    seen = False
    for number in range(400):
        now = number * 0.5
        request = attrs.evolve(
            slot_request(f"r{number}"),
            prompt_tokens=3000,
            output_tokens=10,
            parts=chain("a", "b"),
            memory_tokens=100_000,
        )
        state = SlotRequestState(request, "entry", now, 0.0)
        prompts.begin(state, [state], now)
        read = 1000 if keeps and seen else 3000
        seen = True
        first_s = 0.025 * (read + 300) / 1000 * rng.uniform(0.8, 1.25)
        tokens = prompts.end(state, [], first_s, model.speed(), now)
        if tokens is not None:
            model.observe(tokens, 10, first_s, 0.1, now)
    assert model.speed().first_s == pytest.approx(0.025, rel=0.2)


def link(**fields) -> AgentLink:
    agent = AgentLink("host", types.SimpleNamespace(last_received_at=0.0))
    agent.update(EngineState(waits_s=[0.0], **fields))
    return agent


def test_hints_count_while_the_agent_is_heard():
    """Guards against the hints of an agent that may have been replaced."""
    agent = link(kept=chain("a", "b"))
    assert 0 < agent.kept_tokens(chain("a", "c"), 0.1) < 1000
    assert agent.kept_tokens(chain("a", "b"), 0.1) > 1000
    assert agent.kept_tokens(chain("c"), 0.1) == 0
    assert agent.kept_tokens(chain("a"), 60.0) == 0
    # No hint says more than the prompt has.
    digest = next(iter(chain("a")))
    assert link(kept={digest: 10**9}).kept_tokens(chain("a"), 0.1) < 1000
    assert link().kept_tokens(chain("a"), 0.1) == 0


def first_hosts(options, answer) -> list[str]:
    rng = random.Random(1)
    return [choose_engines(options, answer, rng)[0].host for _ in range(500)]


def test_a_long_part_draws_requests_until_the_wait_is_longer():
    """Guards against requests that wait longer for a part than its read takes."""
    answer = attrs.evolve(ANSWER, prompt_tokens=4000)
    others = [option(str(number), queue_s=0.0) for number in range(8)]
    keeper = option("keeper", kept_tokens=3000.0)
    assert first_hosts([keeper, *others], answer).count("keeper") > 400
    busy = attrs.evolve(keeper, queue_s=0.6)
    rng = random.Random(1)
    for _ in range(500):
        # The wait that is drawn may be short, but then free engines are asked too.
        chosen = choose_engines([busy, *others], answer, rng)
        assert any(item.queue_s == 0 for item in chosen[:2])
    assert first_hosts([busy, *others], answer).count("keeper") < 150


def test_engines_without_the_part_are_not_asked_beside_one_that_keeps_it():
    """Guards against a sooner grant of an engine that has to read the part."""
    answer = attrs.evolve(ANSWER, prompt_tokens=9000)
    options = [option(str(number)) for number in range(8)]
    options.append(option("keeper", kept_tokens=8000.0))
    chosen = choose_engines(options, answer, random.Random(1))
    assert [item.host for item in chosen] == ["keeper"]


def test_a_saving_below_the_spread_of_the_wait_changes_little():
    """Guards against engines that are crowded for a saving that says nothing."""
    options = [option(str(number)) for number in range(8)]
    options.append(option("keeper", kept_tokens=60.0))
    assert first_hosts(options, ANSWER).count("keeper") < 150
