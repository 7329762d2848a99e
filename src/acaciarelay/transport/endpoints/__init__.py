"""Adapters to endpoints, one module for each kind, and their registry."""

from acaciarelay.transport.endpoints.base import EndpointAdapter
from acaciarelay.transport.endpoints.chat_engine import ChatEngine
from acaciarelay.transport.endpoints.plain_service import PlainService

__all__ = ["ENDPOINT_KINDS"]

ENDPOINT_KINDS: dict[str, type[EndpointAdapter]] = {
    adapter.kind: adapter for adapter in (ChatEngine, PlainService)
}
