"""The view: the members as this agent knows them, and the precedence of updates."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from frostport.membership.messages import Info, State, Update


@dataclass(slots=True, eq=False)
class Member:
    """What is known of another agent."""

    name: str
    incarnation: int
    state: State
    info: Info
    changed_at: float  # ms, when it entered its state
    suspected_by: set[str] = field(default_factory=set)  # names, for the current incarnation

    def update(self, suspected_by: str = "") -> Update:
        """The update that disseminates its state."""
        return Update(
            self.name,
            self.incarnation,
            self.state,
            self.info if self.state is State.ALIVE else None,
            suspected_by,
        )


def overrides(update: Update, member: Member) -> bool:
    """Whether an update overrides what is known: by incarnation, then by state (SWIM, 4.2)."""
    return (update.incarnation, update.state) > (member.incarnation, member.state)


class Table:
    """All members but this agent. It owns their records and decides only by `overrides`."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        self._size = 1

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def active(self) -> list[Member]:
        """Members that are alive or suspect: these are probed and count for the size."""
        return [member for member in self.members.values() if member.state <= State.SUSPECT]

    def size(self) -> int:
        """Number of active members, this agent included."""
        return self._size

    def apply(self, update: Update, now_ms: float) -> Member | None:
        """Applies an update; returns the member if it changed, else None.

        A member is only added while alive or suspect, with its info. Guards against dead members that are
        never forgotten: an agent that has forgotten one would learn of it again from the others."""
        member = self.members.get(update.name)
        if member is None:
            if update.info is None or update.state >= State.DEAD:
                return None
            member = self.members[update.name] = Member(
                update.name, update.incarnation, State.DEAD, update.info, now_ms
            )
            self._set_state(member, update.state, now_ms)
            return member
        if not overrides(update, member):
            return None
        if update.incarnation > member.incarnation or update.state is not State.SUSPECT:
            member.suspected_by.clear()
        member.incarnation = update.incarnation
        member.info = update.info or member.info
        if update.state is not member.state:
            self._set_state(member, update.state, now_ms)
        return member

    def _set_state(self, member: Member, state: State, now_ms: float) -> None:
        self._size += (state <= State.SUSPECT) - (member.state <= State.SUSPECT)
        member.state = state
        member.changed_at = now_ms
        if state is State.SUSPECT:
            self.suspects[member.name] = member
        else:
            self.suspects.pop(member.name, None)

    def forget(self, before_ms: float) -> list[Member]:
        """Removes and returns the members that have been dead or left since `before_ms` or longer."""
        forgotten = [
            member
            for member in self.members.values()
            if member.state >= State.DEAD and member.changed_at <= before_ms
        ]
        for member in forgotten:
            del self.members[member.name]
        return forgotten
