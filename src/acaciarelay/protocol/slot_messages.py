"""Messages about the slots of an engine, between an entry and the slots' granter."""

import attrs

from acaciarelay.coordination.prompt_chain import PromptChain

__all__ = [
    "EngineState",
    "SlotGrant",
    "SlotMessage",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
]


@attrs.frozen(kw_only=True)
class SlotRequest:
    """Asks a granter to admit a request to a slot of its engine; times in seconds.

    The granter is the agent beside the engine, or an entry. ``wait_s`` is how long the
    request may wait for a slot. ``late`` is true when the request has passed its
    service level objective. ``slots`` is the configured capacity of the engine, and
    ``asked`` the number of granters asked for this request. ``below_floor`` is true
    when requests of this rank are served less often than their floor allows, so that
    this one goes before all ranks. ``engine`` is the host of the engine,
    here and in the other messages about slots; it is empty on a link to an agent.
    ``memory_tokens`` is the capacity of the engine's KV cache, 0 while unknown.
    ``held`` is true for a request that already runs, with a slot of an earlier granter.
    ``parts`` names the shared parts of its prompt if they are long, as a
    ``PromptChain``.
    """

    request: str
    organisation: str
    rank: int
    late: bool
    wait_s: float
    time_left_s: float
    prompt_tokens: int
    output_tokens: int
    slots: int
    asked: int
    below_floor: bool = False
    engine: str = ""
    memory_tokens: int = 0
    held: bool = False
    parts: PromptChain = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class SlotGrant:
    """Grants a slot to a request."""

    request: str
    engine: str = ""


@attrs.frozen(kw_only=True)
class SlotRefusal:
    """Refuses a request that is not expected to get a slot in time.

    ``not_granting`` is true when the sender grants no slots of this engine, so that the
    refusal says nothing about the engine's load.
    """

    request: str
    engine: str = ""
    not_granting: bool = False


@attrs.frozen(kw_only=True)
class SlotRelease:
    """Withdraws a waiting request or releases its slot.

    ``first_s`` is the time in seconds from sending the request to the first event of
    its answer, ``stream_s`` the time from then to the end of the answer; both are 0
    when the answer is not complete or an earlier attempt may have run the request.
    ``declined`` is true when the engine did not take the request.
    """

    request: str
    first_s: float = 0.0
    stream_s: float = 0.0
    engine: str = ""
    declined: bool = False


@attrs.frozen(kw_only=True)
class EngineState:
    """Reports the load and speed of an engine to the entries.

    ``waits_s`` holds the expected wait for a slot of a new request in seconds, indexed
    by rank; the last value also applies to all later ranks. ``first_s`` and ``token_s``
    are those of ``EngineSpeed``: the seconds to the first event per 1,000 prompt tokens
    and the seconds per token generated after it, or 0 while unknown. ``slowdown`` is
    the mean time that work takes on the engine's VM, relative to the usual time.
    ``kept`` names the most used shared parts that the engine is believed to keep, by
    the digests of their chains, with the tokens that they probably save.
    """

    waits_s: list[float]
    first_s: float = 0.0
    token_s: float = 0.0
    slowdown: float = 1.0
    engine: str = ""
    kept: PromptChain = attrs.Factory(dict)


SlotMessage = SlotRequest | SlotGrant | SlotRefusal | SlotRelease | EngineState
