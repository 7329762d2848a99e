"""The entry's side of a session with one agent.

A session that timed out is reopened on a new connection, because a middlebox that has
lost its state of a connection drops all further packets of it.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import Protocol

import attrs
import eliot
import grpc

from acaciarelay.protocol import relay_pb2 as pb, relay_pb2_grpc
from acaciarelay.state.liveness import Liveness
from acaciarelay.transport.outgoing import OutgoingQueue, SessionClosed

__all__ = ["AgentSession", "SessionHandler", "SessionTiming"]

CHANNEL_OPTIONS = [
    # Channels to one address share a connection by default; a new session needs a
    # new one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", 8_388_608),
    ("grpc.max_send_message_length", 8_388_608),
]


@attrs.frozen(kw_only=True)
class SessionTiming:
    """Intervals and time-outs of a session, in seconds.

    ``heartbeat_s`` and ``silence_s`` are those of ``Liveness``; ``silence_s`` also
    limits the time to open a session. The ``reconnect`` limits bound the delay before
    each new attempt.
    """

    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    reconnect_min_s: float = 0.1
    reconnect_max_s: float = 2.0


class SessionHandler(Protocol):
    """Handle the events of all sessions of an entry."""

    def on_welcome(self, session: "AgentSession", welcome: pb.Welcome) -> None:
        """Handle a new session."""

    def on_message(self, session: "AgentSession", message: pb.AgentMessage) -> None:
        """Handle one message."""

    def on_session_lost(self, session: "AgentSession") -> None:
        """Handle the loss of a session."""


class AgentSession:
    """Keep one session with an agent open, and reopen it when it is lost."""

    def __init__(
        self,
        agent_id: str,
        address: str,
        hello: Callable[[], pb.Hello],
        handler: SessionHandler,
        rng: random.Random,
        timing: SessionTiming,
    ) -> None:
        self.agent_id = agent_id
        self.address = address
        self.hello = hello
        self.handler = handler
        self.rng = rng
        self.timing = timing
        self.outgoing: OutgoingQueue[pb.EntryMessage] = OutgoingQueue()
        self.outgoing.close()
        self.connected = False
        self.incarnation = 0
        self.liveness = Liveness(timing.heartbeat_s, timing.silence_s, 0.0)
        # Requests that may be running at the agent; with any, the session is active.
        self.outstanding: set[str] = set()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.failures = 0

    def send(self, message: pb.EntryMessage) -> None:
        """Send a control message; it is dropped while there is no session."""
        self.outgoing.put(message)

    async def send_bulk(self, message: pb.EntryMessage) -> None:
        """Send body data; raises ``SessionClosed`` when the session ends first."""
        await self.outgoing.put_bulk(message)

    async def run(self) -> None:
        """Keep the session open, reconnecting with back-off, until cancelled."""
        while True:
            try:
                await self.run_once()
            except (grpc.RpcError, SessionClosed, TimeoutError, OSError) as error:
                self.log_failure(error)
            except asyncio.CancelledError as error:
                # grpc also raises this for a call that it has cancelled itself.
                task = asyncio.current_task()
                if task is None or task.cancelling():
                    raise
                self.log_failure(error)
            except Exception:
                # If this task ended, the agent would stay unreachable.
                eliot.write_traceback()
            self.failures += 1
            max_delay_s = min(
                self.timing.reconnect_max_s,
                self.timing.reconnect_min_s * 2 ** min(self.failures, 10),
            )
            # Full jitter keeps the entries from reconnecting at the same moment.
            await asyncio.sleep(
                self.rng.uniform(self.timing.reconnect_min_s, max_delay_s)
            )

    def log_failure(self, error: BaseException) -> None:
        eliot.log_message(
            message_type="session_failed",
            agent=self.agent_id,
            address=self.address,
            failures=self.failures,
            error=repr(error)[:200],
        )

    async def run_once(self) -> None:
        channel = grpc.aio.insecure_channel(self.address, options=CHANNEL_OPTIONS)
        self.outgoing = OutgoingQueue()
        try:
            call = relay_pb2_grpc.RelayStub(channel).Session()
            async with asyncio.timeout(self.timing.silence_s):
                await call.write(pb.EntryMessage(hello=self.hello()))
                first = await call.read()
            if first is grpc.aio.EOF or not first.HasField("welcome"):
                return
            self.incarnation = first.welcome.incarnation
            self.outstanding.clear()
            self.liveness = Liveness(
                self.timing.heartbeat_s, self.timing.silence_s, time.monotonic()
            )
            self.connected = True
            self.failures = 0
            self.handler.on_welcome(self, first.welcome)
            await self.exchange(call)
        finally:
            self.outgoing.close()
            was_connected = self.connected
            self.connected = False
            if was_connected:
                self.handler.on_session_lost(self)
            await channel.close()

    async def exchange(self, call: grpc.aio.StreamStreamCall) -> None:
        tasks = [
            asyncio.create_task(self.read(call)),
            asyncio.create_task(self.write(call)),
            asyncio.create_task(self.watch()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            call.cancel()
            for task in tasks:
                with contextlib.suppress(
                    asyncio.CancelledError, grpc.RpcError, SessionClosed
                ):
                    await task

    async def read(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            message = await call.read()
            if message is grpc.aio.EOF:
                return
            self.liveness.record_received(time.monotonic())
            self.received_bytes += message.ByteSize()
            self.handler.on_message(self, message)

    async def write(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            message = await self.outgoing.get()
            self.sent_bytes += message.ByteSize()
            self.liveness.record_sent(time.monotonic())
            try:
                await call.write(message)
            except asyncio.InvalidStateError as error:
                # The call ended before this task was scheduled.
                raise SessionClosed from error

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(self.timing.heartbeat_s / 2)
            now = time.monotonic()
            self.liveness.set_active(bool(self.outstanding), now)
            if self.liveness.timed_out(now):
                return
            if not self.liveness.heartbeat_due(now):
                continue
            generation = self.hello().generation
            self.send(pb.EntryMessage(heartbeat=pb.Heartbeat(generation=generation)))
