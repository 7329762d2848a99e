"""Decide which entries send rows to a peer that lacks them."""

from collections.abc import Iterable

from acaciarelay.coordination.placement.rendezvous import choose_subset

__all__ = ["is_row_sender", "rounds_until_all_send"]

# Entries that send rows when a peer is first found to lack them.
FIRST_SENDERS = 3


def is_row_sender(own: str, receiver: str, others: Iterable[str], rounds: int) -> bool:
    """Return whether this entry sends rows to ``receiver``.

    All entries compute the same order for a receiver, and the first few of it send. In
    each of the ``rounds`` in which the peer still lacks the rows, as when those entries
    lack them too or do not reach it, twice as many are to send.
    """
    names = {own, *others} - {receiver}
    return own in choose_subset(receiver, sorted(names), FIRST_SENDERS << rounds)


def rounds_until_all_send(entries: int) -> int:
    """Return the rounds after which each of ``entries`` entries sends."""
    rounds = 0
    while FIRST_SENDERS << rounds < entries:
        rounds += 1
    return rounds
