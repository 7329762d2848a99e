"""Fleet status as seen by one entry, for the administration API."""

import asyncio
import time

from result import Ok

from acaciarelay.coordination.placement import AgentState
from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.programs.entry_core import EntryCore
from acaciarelay.programs.entry_requests import RequestHandler
from acaciarelay.protocol.admin_api import ProcessStatus, TierStatus
from acaciarelay.state.directory import MemberDirectory
from acaciarelay.state.records import supported_schemas
from acaciarelay.transport.peer import PeerClient

__all__ = ["FleetStatus"]

# Peers are polled only for this long after a status request. Continuous polling would
# cost each entry a call per interval to every other entry, up to 319 calls/s with 320
# entries.
POLL_AFTER_REQUEST_S = 10.0
POLL_INTERVAL_S = 1.0


class FleetStatus:
    """Reports the status of this entry, its peers and the agents in its subsets."""

    def __init__(
        self,
        core: EntryCore,
        sync: ConfigSync,
        directory: MemberDirectory,
        handler: RequestHandler,
        peers: dict[str, PeerClient],
    ) -> None:
        self.core = core
        self.sync = sync
        self.directory = directory
        self.handler = handler
        self.peers = peers
        self.peer_generations: dict[str, int] = {}
        self.peer_schemas: dict[str, dict[str, int]] = {}
        self.poll_until = 0.0
        self.poll_requested = asyncio.Event()

    def processes(self) -> list[ProcessStatus]:
        """Return the status of all known entries and agents, this entry first.

        This also starts polling the peers for ``POLL_AFTER_REQUEST_S``. Until a peer
        answers, it is shown as not connected.
        """
        self.poll_until = time.monotonic() + POLL_AFTER_REQUEST_S
        self.poll_requested.set()
        found = [self.own_status()]
        for member in self.directory.entries.values():
            if member.id == self.core.identity.entry_id:
                continue
            generation = self.peer_generations.get(member.address)
            found.append(
                ProcessStatus(
                    kind="entry",
                    id=member.id,
                    address=member.admin,
                    zone=member.zone,
                    region=member.region,
                    connected=generation is not None,
                    generation=generation or 0,
                    schemas=self.peer_schemas.get(member.address, {}),
                )
            )
        for agent_id in sorted(self.core.agent_states):
            found.append(self.agent_status(agent_id))
        return found

    def own_status(self) -> ProcessStatus:
        identity = self.core.identity
        member = self.directory.entries.get(identity.entry_id)
        # Numbers of waiting and of running requests, by tier.
        counts: dict[int, list[int]] = {}
        for call in self.core.calls.values():
            pair = counts.setdefault(call.rank, [0, 0])
            pair[0 if call.waiting else 1] += 1
        return ProcessStatus(
            kind="entry",
            id=identity.entry_id,
            address=member.admin if member is not None else "",
            zone=identity.zone,
            region=identity.region,
            draining=self.handler.draining,
            generation=self.core.snapshot.generation,
            tiers=[
                TierStatus(tier, waiting, running)
                for tier, (waiting, running) in sorted(counts.items())
            ],
            schemas=supported_schemas(),
            problem=self.sync.problem,
        )

    def agent_status(self, agent_id: str) -> ProcessStatus:
        agent_state = self.core.agent_states[agent_id]
        return ProcessStatus(
            kind="agent",
            id=agent_id,
            address=self.core.sessions[agent_id].address,
            pool=agent_state.pool,
            zone=agent_state.zone,
            region=agent_state.region,
            connected=agent_state.connected,
            draining=agent_state.draining,
            generation=self.core.generations.get(agent_id, 0),
            token_limit=agent_state.token_limit,
            tiers=[
                TierStatus(tier, count.waiting, count.running)
                for tier, count in sorted(agent_state.tiers.items())
            ],
            schemas=self.core.schemas.get(agent_id, {}),
            problem=self.agent_problem(agent_state),
        )

    def agent_problem(self, agent_state: AgentState) -> str:
        if agent_state.pool not in self.core.snapshot.pools:
            return f"pool {agent_state.pool} has no record"
        return "" if agent_state.endpoint_up else "the endpoint is down"

    async def run(self) -> None:
        """Poll the peers' generation for a while after each status request."""
        while True:
            self.poll_requested.clear()
            await self.poll_requested.wait()
            while time.monotonic() < self.poll_until:
                await self.poll_peers()
                await asyncio.sleep(POLL_INTERVAL_S)

    async def poll_peers(self) -> None:
        clients = list(self.peers.values())
        answers = await asyncio.gather(*(client.generation() for client in clients))
        for client, answer in zip(clients, answers, strict=True):
            match answer:
                case Ok(generation):
                    self.peer_generations[client.address] = generation
                    self.peer_schemas[client.address] = client.schemas
                case _:
                    self.peer_generations.pop(client.address, None)
