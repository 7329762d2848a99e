"""Constants of the session protocol that both of its sides share."""

__all__ = ["BODY_CHUNK_BYTES", "BODY_WINDOW_CHUNKS", "NO_FLOOR"]

# The value of ``Load.tier_floor`` when every tier is served.
NO_FLOOR = 0xFFFF
# One chunk keeps the link busy for about as long as a scheduling turn takes.
BODY_CHUNK_BYTES = 65_536
# The entry may send this many chunks beyond the last credit that the agent gave.
BODY_WINDOW_CHUNKS = 16
