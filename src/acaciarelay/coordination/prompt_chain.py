"""Name the shared beginning of a prompt by digests of the chain of its parts.

An engine keeps a part only after the same parts before it, so that a part is known by
all parts up to and with itself.
"""

import struct
from collections.abc import Iterable

import xxhash

__all__ = [
    "MAX_CHAIN_LINKS",
    "MIN_KEPT_TOKENS",
    "PromptChain",
    "is_chain",
    "link_chain",
]

# A link of a chain names at least so many tokens. A slow engine takes about 30 ms to
# read them, which is the spread of the wait for a free slot (``MIN_EXPECTED_WAIT_S`` of
# ``engine_choice``): a smaller saving says nothing about which engine answers first.
MIN_KEPT_TOKENS = 256
# Later links of longer chains are not named.
MAX_CHAIN_LINKS = 8
# Digests of 32 bits are enough: two chains that share one cost one read of a prompt.
DIGEST_MASK = 0xFFFFFFFF

# The digests of a prompt's links in order, each with the tokens up to its end.
PromptChain = dict[int, int]


def link_chain(parts: Iterable[tuple[str, int]]) -> PromptChain:
    """Return the chain of the shared parts of a prompt, given by id and tokens.

    Short parts are joined to one link with those after them. The chain ends before a
    part of unknown size (0 or less).
    """
    links: PromptChain = {}
    digest = 0
    tokens = 0
    named_tokens = 0
    for part_id, part_tokens in parts:
        if part_tokens <= 0 or len(links) == MAX_CHAIN_LINKS:
            break
        name = part_id.encode("utf-8", "surrogateescape")
        digest = xxhash.xxh3_64_intdigest(struct.pack("<Q", digest) + name)
        tokens += part_tokens
        if tokens - named_tokens >= MIN_KEPT_TOKENS:
            links[digest & DIGEST_MASK] = tokens
            named_tokens = tokens
    return links


def is_chain(links: PromptChain, prompt_tokens: int) -> bool:
    """Return whether links from another process may be those of a prompt."""
    if len(links) > MAX_CHAIN_LINKS:
        return False
    before = 0
    for tokens in links.values():
        if tokens - before < MIN_KEPT_TOKENS:
            return False
        before = tokens
    return before <= prompt_tokens
