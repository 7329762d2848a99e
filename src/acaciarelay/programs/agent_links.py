"""Links of an entry to the agents beside the engines."""

from collections.abc import Iterable

from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.protocol.link_messages import (
    CrashReport,
    EntryList,
    Hello,
    LinkMessage,
)
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.routing import RoutingTable
from acaciarelay.transport.message_link import (
    Dialer,
    LinkHandlers,
    LinkTicker,
    MessageLink,
)

__all__ = ["AgentLinks", "engine_hosts"]


class AgentLinks:
    """Keep one link to the agent at each host with an engine; pass on what it says."""

    def __init__(
        self,
        hello: Hello,
        slot_client: SlotClient,
        crashes: CrashGuard,
        peers: Peers,
        ticker: LinkTicker,
    ) -> None:
        self.hello = hello
        self.slot_client = slot_client
        self.crashes = crashes
        self.peers = peers
        self.ticker = ticker
        self.dialers: dict[str, Dialer] = {}
        self.handlers = LinkHandlers(
            on_open=self.opened, on_message=self.receive, on_close=self.closed
        )

    def reconcile(self, hosts: set[str], port: int) -> None:
        """Link to the agents at these hosts, and to no others."""
        for host in hosts - self.dialers.keys():
            self.dialers[host] = Dialer(
                f"{host}:{port}",
                self.hello,
                self.handlers,
                self.ticker,
                sends_pings=True,
            )
        for host in self.dialers.keys() - hosts:
            self.dialers.pop(host).close()
            self.slot_client.forget(host)

    def opened(self, link: MessageLink) -> None:
        log_event("agent_regained", host=link.peer_host)
        self.slot_client.link_opened(link.peer_host, link)

    def closed(self, link: MessageLink) -> None:
        log_event("agent_lost", host=link.peer_host)
        self.slot_client.link_closed(link.peer_host, link)

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        match message:
            case EntryList(entries=entries):
                self.peers.add(entries)
            case CrashReport():
                self.crashes.receive(message)
            case _:
                self.slot_client.receive(link.peer_host, message)

    def close(self) -> None:
        for dialer in self.dialers.values():
            dialer.close()


def engine_hosts(endpoints: Iterable[Endpoint], routing: RoutingTable) -> set[str]:
    """Return the hosts of the endpoints that are model engines."""
    hosts = set()
    for endpoint in endpoints:
        service = routing.services.get(endpoint.service)
        if service is not None and service.engine is not None:
            hosts.add(endpoint.host)
    return hosts
