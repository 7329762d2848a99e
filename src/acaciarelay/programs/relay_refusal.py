"""Answer callers with refusals: code, outcome and time to return."""

from acaciarelay.platform.exchange import retry_header
from acaciarelay.protocol.codes import Refusal
from acaciarelay.protocol.http_message import Header
from acaciarelay.transport.front_server import FrontConnection

__all__ = ["respond_refusal"]


def respond_refusal(
    connection: FrontConnection, refusal: Refusal, request_id: str = ""
) -> None:
    """Answer with a refusal, its code and its outcome."""
    headers: list[Header] = [
        ("Content-Type", "text/plain"),
        ("Acaciarelay-Code", str(refusal.code.number)),
        ("Acaciarelay-Outcome", str(refusal.code.outcome)),
    ]
    if request_id:
        headers.append(("Acaciarelay-Request-Id", request_id))
    if refusal.retry_after_s is not None:
        headers.append(retry_header(refusal.retry_after_s))
    connection.respond(refusal.code.status, headers, refusal.message.encode() + b"\n")
