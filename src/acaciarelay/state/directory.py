"""Agents and entries as registered in the platform's member table."""

from typing import Any

import attrs
import cattrs

__all__ = ["AgentMember", "EntryMember", "MemberDirectory", "member_key"]


@attrs.frozen
class AgentMember:
    """Registration of an agent; ``address`` is IP:PORT."""

    id: str
    address: str
    incarnation: int
    pool: str
    zone: str
    region: str


@attrs.frozen
class EntryMember:
    """Registration of an entry; ``admin`` is the address of its HTTP server."""

    id: str
    address: str
    incarnation: int
    zone: str
    region: str
    admin: str


Member = AgentMember | EntryMember
_CLASSES: dict[str, type] = {"agent": AgentMember, "entry": EntryMember}


def member_key(member: Member) -> str:
    """Return the row key of a member in the member table."""
    kind = "agent" if isinstance(member, AgentMember) else "entry"
    return f"{kind}/{member.id}"


@attrs.define
class MemberDirectory:
    """Cached member table.

    A listed member may be gone: whether it is alive is decided by its session.
    """

    agents: dict[str, AgentMember] = attrs.field(factory=dict)
    entries: dict[str, EntryMember] = attrs.field(factory=dict)

    def apply(self, key: str, value: Any, deleted: bool) -> bool:
        """Apply one changed row; return false when its key or value is malformed."""
        kind, _, member_id = key.partition("/")
        groups: dict[str, dict[str, Any]] = {
            "agent": self.agents,
            "entry": self.entries,
        }
        group = groups.get(kind)
        if group is None:
            return False
        if deleted:
            group.pop(member_id, None)
            return True
        try:
            group[member_id] = cattrs.structure(value, _CLASSES[kind])
        except Exception:
            return False
        return True
