"""Monitored rollout of a new version of a service: pure decisions without I/O."""

from .answer_counts import AnswerCounts
from .comparison import VersionComparison
from .coordinator import RolloutCoordinator, counts_receivers
from .ended_orders import EndedOrders
from .permission import Permission
from .selection import majority_endpoints, usable_endpoints
from .share import ShareLimit
from .steps import (
    Action,
    CountsReceived,
    EndConfirmed,
    EnginesSeen,
    EntriesSeen,
    EpochHeard,
    Event,
    OrderReplaced,
    ReadRows,
    Remark,
    RowsRead,
    SendPermission,
    Stopping,
    Tick,
    WriteEnded,
    WriteOutcome,
    WriteRows,
)

__all__ = [
    "Action",
    "AnswerCounts",
    "CountsReceived",
    "EndConfirmed",
    "EndedOrders",
    "EnginesSeen",
    "EntriesSeen",
    "EpochHeard",
    "Event",
    "OrderReplaced",
    "Permission",
    "ReadRows",
    "Remark",
    "RolloutCoordinator",
    "RowsRead",
    "SendPermission",
    "ShareLimit",
    "Stopping",
    "Tick",
    "VersionComparison",
    "WriteEnded",
    "WriteOutcome",
    "WriteRows",
    "counts_receivers",
    "majority_endpoints",
    "usable_endpoints",
]
