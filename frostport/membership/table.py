"""The view: what is known of each member, and the rule by which one word counts over another."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from frostport.membership.messages import Info, State, Update


@dataclass(slots=True, eq=False)
class Member:
    """An agent as the membership sees it."""

    name: str
    incarnation: int
    state: State
    info: Info
    changed_at: float  # ms, since when it has been in this state
    suspected_by: set[str] = field(default_factory=set)  # who said so, of this incarnation

    def update(self, by: str = "") -> Update:
        """What is passed on of it."""
        return Update(
            self.name, self.incarnation, self.state, self.info if self.state is State.ALIVE else None, by
        )


def counts(update: Update, member: Member) -> bool:
    """Whether a word changes what is known: by incarnation, then by state (SWIM, section 4.2)."""
    return (update.incarnation, update.state) > (member.incarnation, member.state)


class Table:
    """All members but oneself. Owns their records; decides nothing beyond `counts`."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        self._size = 1

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def here(self) -> list[Member]:
        """Alive or suspect: they count, and are probed."""
        return [member for member in self.members.values() if member.state <= State.SUSPECT]

    def size(self) -> int:
        """With oneself."""
        return self._size

    def apply(self, update: Update, now_ms: float) -> Member | None:
        """Takes a word in; the member if it changed, else None. A member is first heard of as living: a word
        of a stranger's death says where nobody is."""
        member = self.members.get(update.name)
        if member is None:
            if update.info is None or update.state >= State.DEAD:
                # Guards against the dead that nobody forgets: who has forgotten one would hear of it again.
                return None
            member = self.members[update.name] = Member(
                update.name, update.incarnation, State.DEAD, update.info, now_ms
            )
            self._enter(member, update.state, now_ms)
            return member
        if not counts(update, member):
            return None
        if update.incarnation > member.incarnation or update.state is not State.SUSPECT:
            member.suspected_by.clear()
        member.incarnation, member.info = update.incarnation, update.info or member.info
        if update.state is not member.state:
            self._enter(member, update.state, now_ms)
        return member

    def _enter(self, member: Member, state: State, now_ms: float) -> None:
        self._size += (state <= State.SUSPECT) - (member.state <= State.SUSPECT)
        member.state, member.changed_at = state, now_ms
        if state is State.SUSPECT:
            self.suspects[member.name] = member
        else:
            self.suspects.pop(member.name, None)

    def forget(self, before_ms: float) -> list[Member]:
        """Removes who has been dead or gone since before a time."""
        gone = [
            member
            for member in self.members.values()
            if member.state >= State.DEAD and member.changed_at <= before_ms
        ]
        for member in gone:
            del self.members[member.name]
        return gone
