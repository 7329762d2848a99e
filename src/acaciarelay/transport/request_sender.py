"""Sending of a request as fast as its endpoint reads it."""

import asyncio
from collections.abc import Callable, Sequence

import h11

from acaciarelay.protocol.http_message import Header, encode_headers

__all__ = ["RequestSender"]

# Bytes of a body that are framed and written at once.
PIECE_BYTES = 16_384


class RequestSender:
    """Pass a request to a transport piece by piece, so that its body isn't copied.

    ``on_progress`` is called whenever the endpoint has read enough for further pieces.
    """

    def __init__(
        self,
        http: h11.Connection,
        transport: asyncio.Transport,
        on_progress: Callable[[], None],
    ) -> None:
        self.http = http
        self.transport = transport
        self.on_progress = on_progress
        self.body = b""
        self.sent_bytes = 0
        self.is_done = False
        self.paused = False

    def send(
        self, method: str, target: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a request; the headers state the length of its body, if it has one."""
        self.body = body
        self._write(
            h11.Request(method=method, target=target, headers=encode_headers(headers))
        )
        self._send_body()

    def pause(self) -> None:
        """Send nothing more until the transport has room."""
        self.paused = True

    def resume(self) -> None:
        """Continue to send after a pause."""
        self.paused = False
        if not self.is_done:
            self.on_progress()
            self._send_body()

    def _send_body(self) -> None:
        while self.sent_bytes < len(self.body):
            if self.paused or self.transport.is_closing():
                return
            start = self.sent_bytes
            self.sent_bytes = min(len(self.body), start + PIECE_BYTES)
            self._write(h11.Data(data=self.body[start : self.sent_bytes]))
        self.is_done = True
        self._write(h11.EndOfMessage())

    def _write(self, event: h11.Event) -> None:
        if data := self.http.send(event):
            self.transport.write(data)
