"""Links between the entries that request slots of an engine and the one that grants."""

import asyncio
from collections.abc import Callable

import attrs

from acaciarelay.protocol.link_messages import (
    Hello,
    LinkMessage,
    SlotRelease,
    SlotRequest,
    StreamStarted,
    decode_message,
)
from acaciarelay.transport.message_link import MessageLink

__all__ = ["GranterProbe", "LocalEntry", "LocalGranterLink", "PeerGranterLink"]

# A granter that has sent nothing since it was asked gets a ping after this time, and is
# silent if it does not answer within the second one either. Requests wait for a slot
# for 0.25 s and more, so that they can still ask another granter.
PING_AFTER_S = 0.05
GRANTER_TIMEOUT_S = 0.2


class GranterProbe:
    """Detect that the granter at the other end of a link does not answer requests.

    ``on_silent`` is called then.
    """

    def __init__(
        self, link: MessageLink, on_silent: Callable[[MessageLink], None]
    ) -> None:
        self.link = link
        self.on_silent = on_silent
        self.loop = asyncio.get_running_loop()
        self.asked_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def record_request(self) -> None:
        """Expect an answer from now on, unless an earlier one is expected."""
        if self.timer is None:
            self.asked_at = self.loop.time()
            self.timer = self.loop.call_later(PING_AFTER_S, self._ping)

    @property
    def is_answered(self) -> bool:
        if self.link.is_reading_paused:
            return True
        return self.link.last_received_at > self.asked_at

    def _ping(self) -> None:
        self.timer = None
        if not self.is_answered:
            self.link.ping()
            left_s = GRANTER_TIMEOUT_S - PING_AFTER_S + self.link.round_trip_s
            self.timer = self.loop.call_later(left_s, self._conclude)

    def _conclude(self) -> None:
        self.timer = None
        if not self.is_answered:
            self.on_silent(self.link)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


@attrs.define(eq=False)
class PeerGranterLink:
    """The link over which another entry grants the slots of one engine."""

    engine: str
    link: MessageLink
    probe: GranterProbe
    # The peer is an entry and not the agent beside the engine.
    peer: Hello | None = None

    @property
    def last_received_at(self) -> float:
        return self.link.last_received_at

    @property
    def round_trip_s(self) -> float:
        return self.link.round_trip_s

    def send(self, message: LinkMessage) -> None:
        match message:
            case SlotRequest(held=False):
                self.probe.record_request()
                self.link.send(attrs.evolve(message, engine=self.engine))
            case SlotRequest() | SlotRelease():
                self.link.send(attrs.evolve(message, engine=self.engine))
            case StreamStarted():
                if self.link.peer is not None and self.link.peer.finds_streams:
                    self.link.send(message)


class LocalGranterLink:
    """Local path of slot messages to this entry as the granter of one engine."""

    peer: Hello | None = None
    round_trip_s = 0.0

    def __init__(self, engine: str, deliver: Callable[[LinkMessage], None]) -> None:
        self.engine = engine
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()

    @property
    def last_received_at(self) -> float:
        return self.loop.time()

    def send(self, message: LinkMessage) -> None:
        match message:
            case SlotRequest() | SlotRelease():
                named = attrs.evolve(message, engine=self.engine)
                self.loop.call_soon(self.deliver, named)


class LocalEntry:
    """The link of a granter to its own entry, without a connection."""

    def __init__(self, hello: Hello, deliver: Callable[[LinkMessage], None]) -> None:
        self.peer = hello
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()

    def send(self, message: LinkMessage) -> None:
        self.loop.call_soon(self.deliver, message)

    def send_line(self, line: bytes) -> None:
        self.send(decode_message(line))
