"""Serve ``/admin/v1/claims``: read and settle the claim of an idempotency key."""

import secrets
from urllib.parse import unquote

from result import Err, Ok, Result

from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.admin_api import ClaimAnswer, read_settle_request
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import HttpRequest
from acaciarelay.protocol.platform_api import Platform
from acaciarelay.transport.claim_settling import read_claim, settle_claim

__all__ = ["get_claim", "post_settlement"]


async def get_claim(
    platform: Platform, parts: list[str]
) -> Result[ClaimAnswer, Refusal]:
    """Return the state of a claim; ``parts`` are the path segments after ``/v1``."""
    match [unquote(part) for part in parts]:
        case [_, organisation, key]:
            return await read_claim(platform, organisation, key)
    return Err(refuse("unknown_path"))


async def post_settlement(
    platform: Platform, parts: list[str], request: HttpRequest, body: bytes
) -> Result[ClaimAnswer, Refusal]:
    """Settle a claim; ``parts`` are the path segments after ``/v1``."""
    match [unquote(part) for part in parts]:
        case [_, organisation, key, "settle"]:
            pass
        case _:
            return Err(refuse("unknown_path"))
    match read_settle_request(body):
        case Err(refusal):
            return Err(refusal)
        case Ok(settlement):
            pass
    operator = request.header("acaciarelay-operator") or "unknown"
    token = request.header("acaciarelay-token") or secrets.token_hex(16)
    answer = await settle_claim(
        platform, organisation, key, settlement, operator, token
    )
    # A released claim leaves no row, so only the log records which operator released
    # it.
    log_event(
        "claim_settlement",
        claim=f"{organisation}/{key}",
        operator=operator,
        ran=settlement.ran,
        accepted=answer.is_ok(),
    )
    return answer
