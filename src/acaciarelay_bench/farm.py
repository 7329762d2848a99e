"""Simulate many peers in one process, to load one entry or agent with their messages.

- ``agents`` simulates agents that report a constant load.
- ``entries`` simulates entries without requests, each with a session to one agent.
"""

import argparse
import asyncio
import functools
import random
import time

import attrs

from acaciarelay.programs.membership import MEMBERS_TABLE
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.platform_api import Transaction, Write
from acaciarelay.protocol.wire import NO_FLOOR
from acaciarelay.state.directory import AgentMember, member_key
from acaciarelay.transport.agent_session import AgentSession, SessionTiming
from acaciarelay.transport.entry_session import (
    EntrySession,
    RelayServer,
    start_grpc_server,
)
from acaciarelay.transport.platform_client import PlatformClient
from acaciarelay_standins.ports import free_port

__all__ = ["main"]

HEARTBEAT_CHECK_S = 0.5
# Sessions are opened over this time, so that their heartbeats do not coincide.
CONNECT_SPREAD_S = 5.0
SILENCE_TIMEOUT_S = 3.0


class IdleAgent:
    """Simulated agent that sends a welcome and heartbeats on each session."""

    def __init__(self, name: str, pool: str) -> None:
        self.name = name
        self.pool = pool
        self.sessions: set[EntrySession] = set()
        self.generation = 0

    def on_session_opened(self, session: EntrySession) -> None:
        self.sessions.add(session)
        welcome = pb.Welcome(
            agent_id=self.name,
            incarnation=1,
            pool=self.pool,
            zone="zone-a",
            region="region-a",
            token_limit=16_000,
        )
        session.send(pb.AgentMessage(welcome=welcome))

    def on_message(self, session: EntrySession, message: pb.EntryMessage) -> None:
        if message.HasField("config_update"):
            self.generation = message.config_update.generation

    def on_session_closed(self, session: EntrySession) -> None:
        self.sessions.discard(session)

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_CHECK_S)
            tiers = [
                pb.TierLoad(tier=t, waiting=3, waiting_tokens=900, running=2)
                for t in range(4)
            ]
            load = pb.Load(
                tiers=tiers,
                token_limit=16_000,
                tier_floor=NO_FLOOR,
                generation=self.generation,
                endpoint_up=True,
                tokens_per_second=4_000.0,
            )
            now = time.monotonic()
            for session in self.sessions:
                if session.liveness.heartbeat_due(now):
                    session.send(pb.AgentMessage(load=load))


async def run_agents(platform: str, count: int, pool: str) -> None:
    """Register and serve ``count`` simulated agents."""
    client = PlatformClient(platform, 10.0)
    writes = []
    servers = []
    tasks = []
    for number in range(count):
        agent = IdleAgent(f"farm-{number}", pool)
        address = f"127.0.0.1:{free_port()}"
        relay = RelayServer(agent, SILENCE_TIMEOUT_S)
        servers.append(await start_grpc_server(address, relay.add_to))
        tasks.append(asyncio.create_task(agent.send_heartbeats()))
        member = AgentMember(agent.name, address, 1, pool, "zone-a", "region-a")
        row = Write(MEMBERS_TABLE, member_key(member), attrs.asdict(member))
        writes.append(row)
    (await client.commit(Transaction([], writes))).unwrap()
    print("listening on all", flush=True)
    await asyncio.gather(*tasks)


class IdleEntry:
    """Session handler of a simulated entry, which ignores all events."""

    def on_welcome(self, session: AgentSession, welcome: pb.Welcome) -> None:
        """Ignore the event."""

    def on_message(self, session: AgentSession, message: pb.AgentMessage) -> None:
        """Ignore the event."""

    def on_session_lost(self, session: AgentSession) -> None:
        """Ignore the event."""


async def run_entries(address: str, count: int) -> None:
    """Keep a session with one agent for each of ``count`` simulated entries."""
    rng = random.Random(1)
    tasks = []
    for number in range(count):
        hello = functools.partial(
            pb.Hello, entry_id=f"farm-{number}", incarnation=1, generation=1
        )
        session = AgentSession(
            "agent",
            address,
            hello,
            IdleEntry(),
            rng,
            SessionTiming(silence_s=SILENCE_TIMEOUT_S),
        )
        tasks.append(asyncio.create_task(session.run()))
        await asyncio.sleep(CONNECT_SPREAD_S / count)
    print("listening on all", flush=True)
    await asyncio.gather(*tasks)


def main() -> None:
    """Run the simulated peers until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["agents", "entries"])
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--platform", default="")
    parser.add_argument("--agent", default="")
    parser.add_argument("--pool", default="assistants")
    arguments = parser.parse_args()
    if arguments.kind == "agents":
        asyncio.run(run_agents(arguments.platform, arguments.count, arguments.pool))
    else:
        asyncio.run(run_entries(arguments.agent, arguments.count))


if __name__ == "__main__":
    main()
