"""Decide which entries send rows to a peer that lacks them."""

from collections.abc import Iterable

from acaciarelay.coordination.placement.rendezvous import choose_subset

__all__ = [
    "SERIES_SENDERS",
    "is_row_sender",
    "rounds_until_all_send",
    "senders_in_round",
]

# Entries that send rows when a peer is first found to lack them, and when it lacks
# further ones after it has got some.
FIRST_SENDERS = 3
SERIES_SENDERS = 1


def senders_in_round(rounds: int) -> int:
    """Return how many entries send rows that a peer still lacks after some rounds.

    They double, as the first ones may lack the rows too or may not reach it.
    """
    return FIRST_SENDERS << rounds


def is_row_sender(own: str, receiver: str, others: Iterable[str], senders: int) -> bool:
    """Return whether this entry is one of the ``senders`` for ``receiver``.

    All entries compute the same order for a receiver, and the first of it send.
    """
    names = {own, *others} - {receiver}
    return own in choose_subset(receiver, sorted(names), senders)


def rounds_until_all_send(entries: int) -> int:
    """Return the rounds after which each of ``entries`` entries sends."""
    rounds = 0
    while senders_in_round(rounds) < entries:
        rounds += 1
    return rounds
