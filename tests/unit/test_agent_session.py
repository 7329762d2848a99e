"""Guard against a session with an agent that is lost and never reopened."""

import asyncio
import random

import grpc
import pytest

from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.transport.agent_session import AgentSession, SessionTiming
from acaciarelay.transport.outgoing import OutgoingQueue, SessionClosed


class EndedCall:
    """A call that has ended, while the reader has not noticed it yet."""

    async def read(self) -> pb.AgentMessage:
        await asyncio.Event().wait()
        raise AssertionError

    async def write(self, message: pb.EntryMessage) -> None:
        raise asyncio.InvalidStateError("RPC already finished.")

    def cancel(self) -> None:
        pass


class NullHandler:
    def on_welcome(self, session: AgentSession, welcome: pb.Welcome) -> None:
        pass

    def on_message(self, session: AgentSession, message: pb.AgentMessage) -> None:
        pass

    def on_session_lost(self, session: AgentSession) -> None:
        pass


def make_session(address: str = "127.0.0.1:9") -> AgentSession:
    timing = SessionTiming(reconnect_min_s=0.001, reconnect_max_s=0.002)
    return AgentSession(
        "agent-1", address, pb.Hello, NullHandler(), random.Random(1), timing
    )


async def test_a_write_to_an_ended_call_only_closes_the_session() -> None:
    """Guards against an error that the reconnecting loop doesn't expect.

    A write to an ended call raises ``InvalidStateError``, which is no gRPC error.
    """
    session = make_session()
    session.outgoing = OutgoingQueue()
    session.send(pb.EntryMessage(heartbeat=pb.Heartbeat()))
    with pytest.raises(SessionClosed):
        async with asyncio.timeout(5):
            await session.exchange(EndedCall())


@pytest.mark.parametrize(
    "error",
    [
        RuntimeError("fault"),
        SessionClosed(),
        grpc.RpcError(),
        OSError(),
        asyncio.CancelledError(),
    ],
)
async def test_an_error_does_not_end_the_reconnecting_loop(
    error: BaseException,
) -> None:
    """Guards against an agent that stays unreachable after one error."""
    session = make_session()
    attempts = asyncio.Semaphore(0)

    async def fail() -> None:
        attempts.release()
        raise error

    session.run_once = fail  # type: ignore[method-assign]
    task = asyncio.create_task(session.run())
    async with asyncio.timeout(5):
        for _ in range(3):
            await attempts.acquire()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
