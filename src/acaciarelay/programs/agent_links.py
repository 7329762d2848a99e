"""Links of an entry to the agents beside the engines."""

import time
from collections.abc import Callable, Iterable

from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.entry_granters import EntryGranters
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.protocol.link_messages import (
    CrashReport,
    EntryList,
    Hello,
    LinkMessage,
    StreamFound,
)
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.routing import RoutingTable
from acaciarelay.transport.message_link import (
    Dialer,
    LinkHandlers,
    LinkTicker,
    MessageLink,
)

__all__ = ["AgentLinks", "engines_by_host"]


class AgentLinks:
    """Keep one link to the agent at each host with an engine; pass on what it says."""

    def __init__(
        self,
        hello: Hello,
        slot_client: SlotClient,
        crashes: CrashGuard,
        peers: Peers,
        ticker: LinkTicker,
        granters: EntryGranters,
    ) -> None:
        self.hello = hello
        self.slot_client = slot_client
        self.crashes = crashes
        self.peers = peers
        self.ticker = ticker
        self.granters = granters
        self.dialers: dict[str, Dialer] = {}
        # Called with the answers to questions about streams.
        self.on_stream_found: Callable[[MessageLink, StreamFound], None]
        self.on_stream_found = lambda link, message: None
        self.handlers = LinkHandlers(
            on_open=self.opened, on_message=self.receive, on_close=self.closed
        )

    def reconcile(self, engines: dict[str, Endpoint], port: int) -> None:
        """Link to the agents beside these engines by host, and to no others."""
        hosts = engines.keys()
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
        self.granters.update_engines(engines, time.monotonic())

    def opened(self, link: MessageLink) -> None:
        log_event("agent_regained", host=link.peer_host)
        self.slot_client.link_opened(link.peer_host, link)
        self.granters.agent_reached(link.peer_host)

    def closed(self, link: MessageLink) -> None:
        log_event("agent_lost", host=link.peer_host)
        self.slot_client.link_closed(link.peer_host, link)
        self.granters.agent_lost(link.peer_host)

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        match message:
            case EntryList(entries=entries):
                self.peers.add(entries)
            case CrashReport():
                self.crashes.receive(message)
            case StreamFound():
                self.on_stream_found(link, message)
            case _:
                self.slot_client.receive(link.peer_host, message)

    def close(self) -> None:
        for dialer in self.dialers.values():
            dialer.close()


def engines_by_host(
    endpoints: Iterable[Endpoint], routing: RoutingTable
) -> dict[str, Endpoint]:
    """Return the endpoints that are model engines; of several at a host, the newest."""
    engines: dict[str, Endpoint] = {}
    for endpoint in endpoints:
        service = routing.services.get(endpoint.service)
        if service is None or service.engine is None:
            continue
        known = engines.get(endpoint.host)
        if known is None or known.started_ms <= endpoint.started_ms:
            engines[endpoint.host] = endpoint
    return engines
