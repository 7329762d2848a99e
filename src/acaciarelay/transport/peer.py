"""Exchange of configuration between entries over gRPC."""

import asyncio
from typing import Any, Protocol

import attrs
import eliot
import grpc
import grpc.aio
from result import Err, Ok, Result

from acaciarelay.protocol import relay_pb2, relay_pb2_grpc
from acaciarelay.state.config_state import (
    ApplyOutcome,
    ChangeSet,
    ConfigState,
    decode_change,
    encode_change,
    snapshot_change_set,
)
from acaciarelay.state.records import supported_schemas

__all__ = ["ConfigReceiver", "PeerClient", "PeerError", "PeerServer"]

# A snapshot of 18,000 organisations takes about 6 MB, above gRPC's default of 4 MB.
MAX_MESSAGE_BYTES = 33_554_432
# A peer sends its snapshot only if its generation is above the known one, so with this
# value it sends the generation alone.
MAX_GENERATION = 2**64 - 1

CHANNEL_OPTIONS = [
    # With the shared pool a new channel would reuse a connection that is stuck.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_reconnect_backoff_ms", 2_000),
]


@attrs.frozen
class PeerError:
    """A failed call to a peer."""

    address: str
    detail: str


class ConfigReceiver(Protocol):
    """The configuration of this process, which the server reads and updates."""

    state: ConfigState

    def apply_change(self, change: ChangeSet) -> ApplyOutcome:
        """Apply a change that a peer pushed."""


class PeerServer(relay_pb2_grpc.PeerServicer):
    """Serve the configuration in force to peers and apply the updates they push."""

    def __init__(self, receiver: ConfigReceiver) -> None:
        self.receiver = receiver

    def add_to(self, server: grpc.aio.Server) -> None:
        """Register the service with a server, before it starts."""
        relay_pb2_grpc.add_PeerServicer_to_server(self, server)

    async def PushConfig(  # noqa: N802
        self, request: relay_pb2.ConfigUpdate, context: grpc.aio.ServicerContext
    ) -> relay_pb2.ConfigAck:
        """Apply an update and return the generation in force."""
        try:
            self.receiver.apply_change(decode_change(request.snapshot))
        except ValueError as error:
            eliot.log_message("config:push_malformed", detail=str(error))
        return relay_pb2.ConfigAck(generation=self.receiver.state.generation)

    async def FetchConfig(  # noqa: N802
        self, request: relay_pb2.ConfigRequest, context: grpc.aio.ServicerContext
    ) -> relay_pb2.ConfigUpdate:
        """Return the snapshot, or only its generation if it is not above the known one.

        If both are 0 the snapshot is returned, since a peer without a configuration
        asks with 0 too.
        """
        state = self.receiver.state
        if not state.loaded:
            # Generation 0 would be mistaken for an empty configuration.
            detail = "no configuration is in force"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, detail)
        answer = relay_pb2.ConfigUpdate(
            generation=state.generation, schemas=supported_schemas()
        )
        if request.known_generation < state.generation or (
            request.known_generation == state.generation == 0
        ):
            answer.snapshot = encode_change(snapshot_change_set(state.snapshot))
        return answer


class PeerClient:
    """Call one peer entry; all times are in seconds.

    ``schemas`` is the newest schema that the peer supports, by record type, as of the
    last call of ``generation``; it is empty when the peer reports none.
    """

    def __init__(
        self, address: str, timeout_s: float = 2.0, fetch_timeout_s: float = 10.0
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.fetch_timeout_s = fetch_timeout_s
        self.schemas: dict[str, int] = {}
        self.channel: grpc.aio.Channel | None = None
        self.closing: set[asyncio.Task] = set()

    async def generation(self) -> Result[int, PeerError]:
        """Read the generation in force at the peer."""
        request = relay_pb2.ConfigRequest(known_generation=MAX_GENERATION)
        answer = await self.call("FetchConfig", request, self.timeout_s)
        return answer.map(self.read_generation)

    def read_generation(self, update: relay_pb2.ConfigUpdate) -> int:
        self.schemas = dict(update.schemas)
        return update.generation

    async def fetch(self, known_generation: int) -> Result[ChangeSet | None, PeerError]:
        """Read the peer's snapshot; ``None`` when it is not above the known one."""
        request = relay_pb2.ConfigRequest(known_generation=known_generation)
        match await self.call("FetchConfig", request, self.fetch_timeout_s):
            case Err(error):
                return Err(error)
            case Ok(update):
                if not update.snapshot:
                    return Ok(None)
                try:
                    return Ok(decode_change(update.snapshot))
                except ValueError as error:
                    return Err(PeerError(self.address, str(error)))

    async def push(self, change: ChangeSet) -> Result[int, PeerError]:
        """Send a change and return the generation that is then in force at the peer."""
        request = relay_pb2.ConfigUpdate(
            generation=change.generation, snapshot=encode_change(change)
        )
        timeout_s = self.fetch_timeout_s if change.whole else self.timeout_s
        answer = await self.call("PushConfig", request, timeout_s)
        return answer.map(lambda ack: ack.generation)

    async def call(
        self, method: str, request: Any, timeout_s: float
    ) -> Result[Any, PeerError]:
        if self.channel is None:
            self.channel = grpc.aio.insecure_channel(
                self.address, options=CHANNEL_OPTIONS
            )
        stub = relay_pb2_grpc.PeerStub(self.channel)
        try:
            return Ok(await getattr(stub, method)(request, timeout=timeout_s))
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                # An established connection can stop responding while new ones work.
                self.replace_channel()
            detail = f"{error.code().name}: {error.details()}"
            return Err(PeerError(self.address, detail))

    def replace_channel(self) -> None:
        channel, self.channel = self.channel, None
        if channel is None:
            return
        # Closing at once would cancel the tasks of other calls on this channel.
        task = asyncio.ensure_future(channel.close(self.fetch_timeout_s))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self.replace_channel()
        if self.closing:
            await asyncio.wait(self.closing)
