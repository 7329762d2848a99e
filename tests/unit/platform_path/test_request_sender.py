"""Guards against long bodies that are held more than once for slow endpoints."""

import asyncio

import h11
import pytest

from acaciarelay.transport.request_sender import PIECE_BYTES, RequestSender

BODY = bytes(range(256)) * 1_000


class Transport(asyncio.Transport):
    """A transport that pauses the sender after each write."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = bytearray()
        self.sender: RequestSender | None = None
        self.largest = 0
        self.closing = False

    def is_closing(self):
        return self.closing

    def write(self, data):
        self.sent += data
        self.largest = max(self.largest, len(data))
        assert self.sender is not None
        self.sender.pause()


def start(body: bytes) -> tuple[Transport, RequestSender, list[int]]:
    transport = Transport()
    progress: list[int] = []
    sender = RequestSender(
        h11.Connection(h11.CLIENT),
        transport,
        lambda: progress.append(len(transport.sent)),
    )
    transport.sender = sender
    headers = [("Host", "x"), ("Content-Length", str(len(body)))]
    sender.send("POST", "/a", headers, body)
    return transport, sender, progress


@pytest.mark.parametrize("body", [b"", b"x", BODY])
def test_a_body_is_sent_whole_in_bounded_pieces(body):
    """Guards against a body that is copied at once, or arrives changed."""
    transport, sender, progress = start(body)
    while not sender.is_done:
        sender.resume()
    assert transport.sent.endswith(b"\r\n\r\n" + body)
    assert transport.largest <= PIECE_BYTES
    assert len(progress) >= len(body) // PIECE_BYTES
    sent = len(transport.sent)
    sender.resume()
    assert len(transport.sent) == sent


def test_nothing_is_sent_on_a_closed_connection():
    """Guards against a sender that goes on after its attempt has ended."""
    transport, sender, _ = start(BODY)
    transport.closing = True
    sent = len(transport.sent)
    sender.resume()
    assert len(transport.sent) == sent
    assert not sender.is_done
