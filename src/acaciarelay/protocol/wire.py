"""Constants of the session protocol between entries and agents (``relay.proto``)."""

__all__ = ["BODY_CHUNK_BYTES", "BODY_WINDOW_CHUNKS", "NO_FLOOR"]

# Value of ``Load.tier_floor`` when the agent pulls requests of every tier.
NO_FLOOR = 0xFFFF
# A session sends control messages before queued chunks, so a chunk delays them only
# while it is being sent. This size keeps that to about one event loop iteration.
BODY_CHUNK_BYTES = 65_536
# Flow-control window: body chunks that the entry may send beyond the acknowledged ones.
BODY_WINDOW_CHUNKS = 16
