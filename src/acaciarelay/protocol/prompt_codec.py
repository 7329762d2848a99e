"""Encode the parts of prompts for messages, each part of several prompts once.

The shared beginning of a prompt is a JSON object: digests in hexadecimal, and tokens.
"""

import base64
import struct
from collections.abc import Iterable

from acaciarelay.coordination.prompt_chain import PromptChain
from acaciarelay.coordination.prompt_parts import (
    DIGEST_BYTES,
    PromptParts,
    prompt_masks,
)

__all__ = [
    "MAX_ENCODED_PROMPTS",
    "decode_chain",
    "decode_parts",
    "decode_prompts",
    "encode_chain",
    "encode_parts",
    "encode_prompts",
]

# Which prompts a part is in, is a bit mask of so many bits.
MAX_ENCODED_PROMPTS = 32
MASK_BYTES = 4
# Bounds of what a peer may name as parts of prompts.
MAX_NAMED_PARTS = 16
MAX_NAME_DIGITS = 8
MAX_PART_TOKENS = 1 << 32


def encode_chain(chain: PromptChain) -> dict[str, int]:
    """Encode the beginning of a prompt, or the parts that an engine keeps."""
    return {f"{digest:x}": tokens for digest, tokens in chain.items()}


def decode_chain(values: object) -> PromptChain:
    """Decode what ``encode_chain`` returned; nothing if any of it is unusable.

    The message that it is a part of stays of use without it.
    """
    if not isinstance(values, dict) or len(values) > MAX_NAMED_PARTS:
        return {}
    chain = {}
    for name, tokens in values.items():
        if len(name) > MAX_NAME_DIGITS or not name.isalnum():
            return {}
        if type(tokens) is not int:
            return {}
        if not 0 < tokens < MAX_PART_TOKENS:
            return {}
        try:
            chain[int(name, 16)] = tokens
        except ValueError:
            return {}
    return chain


def encode_parts(parts: PromptParts) -> str:
    """Encode the parts of one prompt."""
    return base64.b64encode(parts.packed).decode("ascii")


def decode_parts(text: str) -> PromptParts:
    """Decode the parts of one prompt; raises ``ValueError`` if they are malformed."""
    packed = base64.b64decode(text, validate=True)
    if len(packed) % DIGEST_BYTES:
        raise ValueError("a digest is incomplete")
    return PromptParts(packed)


def encode_prompts(prompts: Iterable[PromptParts]) -> tuple[str, str]:
    """Return the parts of ``MAX_ENCODED_PROMPTS`` at most, and the prompts of each."""
    masks = prompt_masks(prompts)
    digests = sorted(masks)
    in_order = [masks[digest] for digest in digests]
    packed = struct.pack(f"<{len(in_order)}I", *in_order)
    encoded = base64.b64encode(packed).decode("ascii")
    return encode_parts(PromptParts.of_digests(digests)), encoded


def decode_prompts(parts: str, masks: str) -> frozenset[PromptParts]:
    """Decode what ``encode_prompts`` returned.

    Raises ``ValueError`` if it is malformed.
    """
    digests = decode_parts(parts).digests
    packed = base64.b64decode(masks, validate=True)
    if len(packed) != MASK_BYTES * len(digests):
        raise ValueError("the masks do not fit the parts")
    members: list[list[int]] = [[] for _ in range(MAX_ENCODED_PROMPTS)]
    for digest, mask in zip(
        digests, struct.unpack(f"<{len(digests)}I", packed), strict=True
    ):
        while mask:
            lowest = mask & -mask
            members[lowest.bit_length() - 1].append(digest)
            mask ^= lowest
    return frozenset(PromptParts.of_digests(each) for each in members if each)
