"""Names of the shared beginning of a prompt, in heads and in messages."""

import attrs
import orjson
import pytest

from acaciarelay.coordination.prompt_chain import (
    MAX_CHAIN_LINKS,
    MIN_KEPT_TOKENS,
    is_chain,
    link_chain,
)
from acaciarelay.platform.headers import decode_request
from acaciarelay.protocol.link_messages import (
    EngineState,
    SlotRequest,
    decode_message,
    encode_message,
)

LONG = MIN_KEPT_TOKENS
REQUEST = SlotRequest(
    request="r",
    organisation="workshop",
    rank=0,
    late=False,
    wait_s=0.3,
    time_left_s=1.0,
    prompt_tokens=3000,
    output_tokens=10,
    slots=6,
    asked=3,
)


def chain_of(parts: str, prompt_tokens: int = 3000) -> dict[int, int]:
    fields = [("prompt-prefix", parts), ("token-usage", f"{prompt_tokens},10")]
    return decode_request(fields).shared_chain


def test_prompts_with_the_same_beginning_share_its_links():
    """Guards against parts that are known by less than all parts before them."""
    first = list(link_chain([("a", LONG), ("b", LONG)]))
    assert list(link_chain([("a", LONG), ("c", LONG)]))[0] == first[0]
    assert list(link_chain([("a", LONG), ("b", LONG), ("c", LONG)]))[:2] == first
    assert first[1] not in link_chain([("c", LONG), ("b", LONG)])
    assert first[0] not in link_chain([("b", LONG), ("a", LONG)])


def test_short_parts_are_named_together_and_long_chains_in_part():
    """Guards against many names for little, which cost more than a read."""
    assert list(link_chain([("s", 100)] * 3).values()) == [300]
    assert link_chain([("s", 100)] * 2) == {}
    assert len(link_chain((str(n), LONG) for n in range(50))) == MAX_CHAIN_LINKS
    assert list(link_chain([("a", LONG), ("?", 0), ("b", LONG)]).values()) == [LONG]


@pytest.mark.parametrize(
    ("parts", "prompt_tokens", "named"),
    [
        ("a:1000,b:500,own:1500", 3000, [1000, 1500]),
        ("a:60,own:2900", 3000, []),
        ("own:3000", 3000, []),
        ("", 3000, []),
        ("a:1000,own:10", 200, []),
        ("a:1000,own:10", 900, []),
        ("a:-5,own:10", 3000, []),
        ("a:many,own:10", 3000, []),
        ("a:99999999999999999999,own:10", 3000, []),
        (":1000,own:2000", 3000, [1000]),
        ("a,b:1000,own:2000", 3000, []),
    ],
)
def test_only_long_and_plausible_parts_are_named(parts, prompt_tokens, named):
    """Guards against odd heads, and against work for parts that are not worth it."""
    assert list(chain_of(parts, prompt_tokens).values()) == named


def test_messages_without_long_parts_are_the_same_bytes_as_before():
    """Guards against a cost for deployments that share no long parts."""
    assert len(orjson.loads(encode_message(REQUEST))) == 15
    assert orjson.loads(encode_message(EngineState(waits_s=[0.1]))) == [
        "engine",
        [0.1],
        0.0,
        0.0,
        1.0,
        "",
    ]


def test_parts_are_passed_on_in_order():
    """Guards against a chain that arrives in another order than it was sent."""
    chain = link_chain((str(n), LONG + n) for n in range(MAX_CHAIN_LINKS))
    for message in (
        attrs.evolve(REQUEST, parts=chain),
        EngineState(waits_s=[0.0], kept=chain),
    ):
        decoded = decode_message(encode_message(message))
        assert decoded == message
        assert encode_message(decoded) == encode_message(message)


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        "a",
        {"a": -1},
        {"a": 0},
        {"a": True},
        {"a": "9"},
        {"a": 1.5},
        {"a": 1 << 40},
        {"zz": 300},
        {"-1": 300},
        {"": 300},
        {"a" * 40: 300},
        {str(n): 300 for n in range(17)},
    ],
)
def test_unusable_parts_are_as_good_as_none(value):
    """Guards against a link that ends because of one field of a peer."""
    line = orjson.dumps(["engine", [0.1], 0.0, 0.0, 1.0, "", value])
    assert decode_message(line) == EngineState(waits_s=[0.1])


def test_implausible_chains_are_known():
    """Guards against parts longer than the prompt, or out of order."""
    assert is_chain({1: 300, 2: 600}, 600)
    assert not is_chain({1: 300, 2: 600}, 599)
    assert not is_chain({1: 600, 2: 300}, 900)
    assert not is_chain({n: 300 * (n + 1) for n in range(9)}, 9000)
