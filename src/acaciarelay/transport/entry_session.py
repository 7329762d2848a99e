"""The agent's side of its sessions with entries."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import grpc

from acaciarelay.protocol import relay_pb2 as pb, relay_pb2_grpc
from acaciarelay.state.liveness import Liveness
from acaciarelay.transport.outgoing import OutgoingQueue, SessionClosed

__all__ = ["EntrySession", "EntrySessionHandler", "RelayServer", "start_grpc_server"]

SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", 8_388_608),
    ("grpc.max_send_message_length", 8_388_608),
]
HELLO_TIMEOUT_S = 3.0
HEARTBEAT_INTERVAL_S = 1.0


class EntrySession:
    """An open session with an entry."""

    def __init__(self, hello: pb.Hello, silence_s: float) -> None:
        self.entry_id = hello.entry_id
        self.incarnation = hello.incarnation
        self.zone = hello.zone
        self.region = hello.region
        self.generation = hello.generation
        self.outgoing: OutgoingQueue[pb.AgentMessage] = OutgoingQueue()
        self.liveness = Liveness(HEARTBEAT_INTERVAL_S, silence_s, time.monotonic())
        self.load_sent_at = 0.0

    def send(self, message: pb.AgentMessage) -> None:
        """Send a control message; it is dropped when the session has ended."""
        self.outgoing.put(message)

    def close(self) -> None:
        """End the session."""
        self.outgoing.close()


class EntrySessionHandler(Protocol):
    """Handle the events of all sessions of an agent."""

    def on_session_opened(self, session: EntrySession) -> None:
        """Handle a new session."""

    def on_message(self, session: EntrySession, message: pb.EntryMessage) -> None:
        """Handle one message."""

    def on_session_closed(self, session: EntrySession) -> None:
        """Handle the end of a session."""


class RelayServer(relay_pb2_grpc.RelayServicer):
    """Accept sessions and pass their messages to a handler."""

    def __init__(self, handler: EntrySessionHandler, silence_s: float) -> None:
        self.handler = handler
        self.silence_s = silence_s

    def add_to(self, server: grpc.aio.Server) -> None:
        """Register the service with a server, before it starts."""
        relay_pb2_grpc.add_RelayServicer_to_server(self, server)

    async def Session(
        self,
        request_iterator: AsyncIterator[pb.EntryMessage],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Serve one session until either side ends it or it times out."""
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            first = await anext(request_iterator)
        if not first.HasField("hello"):
            return
        session = EntrySession(first.hello, self.silence_s)
        self.handler.on_session_opened(session)
        reader = asyncio.create_task(self.read(session, request_iterator))
        watcher = asyncio.create_task(self.watch(session))
        try:
            with contextlib.suppress(SessionClosed):
                while True:
                    message = await session.outgoing.get()
                    session.liveness.record_sent(time.monotonic())
                    await context.write(message)
        finally:
            session.close()
            reader.cancel()
            watcher.cancel()
            self.handler.on_session_closed(session)

    async def read(
        self, session: EntrySession, messages: AsyncIterator[pb.EntryMessage]
    ) -> None:
        try:
            async for message in messages:
                if session.outgoing.closed:
                    return
                session.liveness.record_received(time.monotonic())
                self.handler.on_message(session, message)
        except grpc.RpcError:
            pass
        finally:
            session.close()

    async def watch(self, session: EntrySession) -> None:
        while True:
            await asyncio.sleep(self.silence_s / 3)
            if session.liveness.timed_out(time.monotonic()):
                session.close()
                return


async def start_grpc_server(
    address: str, add_service: Callable[[grpc.aio.Server], None]
) -> grpc.aio.Server:
    """Start a gRPC server on IP:PORT; raises ``OSError`` when it can't be bound."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    add_service(server)
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"can't listen on {address}") from error
    if port == 0:
        raise OSError(f"can't listen on {address}")
    await server.start()
    return server
