"""Limit of an entry's requests to a version that is on trial."""

__all__ = ["ShareLimit"]

# Fraction of the allowed share that an entry uses. The rest covers requests that are
# counted as sent to the service but that its engines don't count as arrived.
USED_SHARE = 0.9


class ShareLimit:
    """Allow the new version a share of the requests that this entry has sent.

    The entry starts without credit, so the sum over all entries keeps to the share
    without an exchange of counts, whichever entries start, stop or are cut off.
    ``reserved`` requests may go to the new version but were not sent yet.
    """

    def __init__(self, share: float) -> None:
        self.used_share = share * USED_SHARE
        self.sent = 0
        self.sent_new = 0
        self.reserved = 0

    def may_send_new(self) -> bool:
        """Return whether the next request may go to the new version."""
        used = self.sent_new + self.reserved
        return used + 1 <= self.used_share * (self.sent + 1)

    def reserve(self) -> None:
        """Keep the share of a request that has to wait before it is sent."""
        self.reserved += 1

    def release(self) -> None:
        """End a reservation, before the request is sent or when it is not."""
        self.reserved = max(0, self.reserved - 1)

    def record_sent(self, new: bool) -> None:
        """Record a request, first attempt or repeat, that was sent to an endpoint."""
        self.sent += 1
        if new:
            self.sent_new += 1
