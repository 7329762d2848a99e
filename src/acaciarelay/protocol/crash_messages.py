"""Messages on links about crashes of engines and the prompts that caused them."""

from typing import Any

import attrs

from acaciarelay.coordination.prompt_parts import PromptParts, part_name
from acaciarelay.protocol.prompt_codec import decode_prompts, encode_prompts

__all__ = [
    "BrokenRun",
    "CrashRecord",
    "CrashReport",
    "decode_crash",
    "encode_benign",
    "encode_crash",
]


@attrs.frozen(kw_only=True)
class BrokenRun:
    """Tells an agent that its engine broke off a run before the answer began.

    ``engine`` identifies the incarnation of the engine, and ``parts`` are the shared
    parts of the prompt.
    """

    engine: str
    parts: PromptParts


@attrs.frozen(kw_only=True)
class CrashRecord:
    """Crash of an incarnation of an engine, ``age_s`` seconds ago.

    ``prompts`` holds the shared parts of each prompt whose answer the engine had not
    begun.
    """

    engine: str
    age_s: float
    prompts: frozenset[PromptParts]


@attrs.frozen(kw_only=True)
class CrashReport:
    """Tells entries of crashes, and when parts of prompts were last answered.

    ``benign_s`` holds by the digest of a part the seconds since then.
    """

    crashes: list[CrashRecord]
    benign_s: dict[int, float]


def encode_crash(crash: CrashRecord) -> list[object]:
    """Encode a crash without the names of its fields."""
    return [crash.engine, crash.age_s, *encode_prompts(crash.prompts)]


def decode_crash(values: Any) -> CrashRecord:
    """Decode a crash; raises ``ValueError``, ``TypeError`` or ``LookupError``."""
    return CrashRecord(
        engine=str(values[0]),
        age_s=float(values[1]),
        prompts=decode_prompts(values[2], values[3]),
    )


def encode_benign(benign_s: dict[int, float]) -> dict[str, float]:
    """Encode the times of benign parts by the names of the parts."""
    return {part_name(digest): value for digest, value in benign_s.items()}
