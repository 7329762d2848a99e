"""Constants of the session protocol between entries and agents (``relay.proto``)."""

__all__ = ["BODY_CHUNK_BYTES", "BODY_WINDOW_CHUNKS", "NO_FLOOR"]

# Value of ``Load.tier_floor`` when the agent pulls requests of every tier.
NO_FLOOR = 0xFFFF
# Sending one chunk takes about as long as one scheduling turn.
BODY_CHUNK_BYTES = 65_536
# Flow control: chunks that the entry may send beyond the agent's last credit.
BODY_WINDOW_CHUNKS = 16
