"""Idempotency keys at the entry: claimed before placement, released if not run."""

import asyncio
import secrets

from result import Err, Ok, Result

from acaciarelay.programs.entry_call import Call
from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.caller_api import request_hash
from acaciarelay.protocol.codes import Refusal
from acaciarelay.transport.claim_store import ClaimStore, Finished, StoredResult

__all__ = ["ClaimManager"]

RELEASE_ATTEMPTS = 5
RELEASE_RETRY_S = 1.0


class ClaimManager:
    """Claims and releases the idempotency keys of non-idempotent calls."""

    def __init__(self, store: ClaimStore) -> None:
        self.store = store
        self.releases: set[asyncio.Task[None]] = set()
        self.open_calls: dict[str, Call] = {}
        store.rewriter.is_handed_off = self.is_handed_off

    async def claim(self, call: Call) -> Result[StoredResult | None, Refusal]:
        """Claim the key of a call.

        Return the stored result if an earlier call with the key has finished, else
        ``None``.
        """
        key = f"{call.head.caller.organisation}/{call.head.idempotency_key}"
        token = secrets.token_hex(16)
        digest = request_hash(call.method, call.target, call.body)
        match await self.store.claim(key, digest, token):
            case Err(refusal):
                return Err(refusal)
            case Ok(Finished(result)):
                return Ok(result)
        call.claim_key = key
        call.claim_token = token
        self.open_calls[token] = call
        return Ok(None)

    def is_handed_off(self, token: str) -> bool:
        """Whether an agent may have started the open call of a claim."""
        call = self.open_calls.get(token)
        return call is not None and not call.state.certainly_not_run

    def end(self, call: Call) -> None:
        """Release the claim of a call that has ended without a run."""
        self.open_calls.pop(call.claim_token, None)
        if call.state.certainly_not_run:
            self.release_in_background(call)
            return
        memory = self.store.rewriter.memory
        memory.mark_handed_off(call.claim_key, call.claim_token)

    def release_in_background(self, call: Call) -> None:
        """Release a claim, so that a repeated call need not wait until it is stale."""
        task = asyncio.create_task(self.release(call.claim_key, call.claim_token))
        self.releases.add(task)
        task.add_done_callback(self.releases.discard)

    async def release(self, key: str, token: str) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            released = await self.store.release(key, token)
            if released.is_ok():
                return
            await asyncio.sleep(RELEASE_RETRY_S)
        log_event("claim_not_released", claim=key)

    async def close(self, timeout_s: float) -> None:
        """Wait for pending releases, at most ``timeout_s`` seconds."""
        if self.releases:
            await asyncio.wait(self.releases, timeout=timeout_s)
