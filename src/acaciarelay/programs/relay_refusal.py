"""Refusals as HTTP responses."""

from acaciarelay.platform.headers import retry_after_header
from acaciarelay.protocol.codes import Refusal
from acaciarelay.protocol.http_message import Header
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = ["respond_refusal"]


def respond_refusal(
    connection: InboundConnection, refusal: Refusal, request_id: str = ""
) -> None:
    """Respond with a refusal's code and outcome, and when to retry if it says so."""
    headers: list[Header] = [
        ("Content-Type", "text/plain"),
        ("Acaciarelay-Code", str(refusal.code.number)),
        ("Acaciarelay-Outcome", str(refusal.code.outcome)),
    ]
    if request_id:
        headers.append(("Acaciarelay-Request-Id", request_id))
    if refusal.retry_after_s is not None:
        headers.append(retry_after_header(refusal.retry_after_s))
    connection.respond(refusal.code.status, headers, refusal.message.encode() + b"\n")
