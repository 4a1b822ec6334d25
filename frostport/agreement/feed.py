"""Followers without a vote: fed with what is committed, in a tree over the members; no voter carries all.

Who is fed also feeds: the first of them by the voters, the others by those, each a few. Whom a follower asks
is its own choice, from the membership; a feeder that falls silent is left for any voter.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from frostport.agreement.events import Output, Role
from frostport.agreement.log import Log
from frostport.agreement.messages import Ask, Entry, Feed, PieceReply, Voters
from frostport.agreement.settings import Settings
from frostport.agreement.snapshots import piece


@dataclass(slots=True)
class Child:
    """A follower that is fed here."""

    next: int
    until: float
    offset: int = 0


def feeder(name: str, followers: list[str], voters: list[str], children: int) -> str:
    """The place in the tree: the first few under the voters, each of the next under one before it."""
    if not voters:
        return ""
    place = followers.index(name) if name in followers else 0
    top = len(voters) * children
    return voters[place % len(voters)] if place < top else followers[(place - top) // children]


class Feeding:
    """The part of an agent's log that concerns who has no vote."""

    name: str
    settings: Settings
    chance: random.Random
    log: Log
    out: Output
    voters: Voters
    named: tuple[str, ...]
    term: int
    leader: str
    role: Role
    commit: int

    def feeding(self, now: float) -> None:
        self.members: tuple[str, ...] = ()
        self.children: dict[str, Child] = {}
        self.ask_at = now + self.chance.random() * self.settings.ask_ms
        self.feeder, self.fed_at, self.fed_term = "", now, 0

    def lead_term(self) -> int:
        """The latest term that it has heard a leader of."""
        return max(self.term, self.fed_term)

    def voter(self) -> bool:
        raise NotImplementedError

    # As the one that is fed

    def _ask(self, now: float) -> None:
        self.ask_at = now + self.settings.ask_ms
        voters = sorted(set(self.voters or self.named) - {self.name})
        if now - self.fed_at > self.settings.silent_ms and self.feeder:
            self.fed_at = now
            self.feeder = self.chance.choice(voters) if voters else ""
        elif not self.feeder or self.feeder not in voters:
            followers = sorted(set(self.members) - set(voters) | {self.name})
            self.feeder = feeder(self.name, followers, voters, self.settings.children)
        if self.feeder:
            self.out.send.append((self.feeder, Ask(self.commit)))

    def ask_anyone(self) -> None:
        others = sorted({*self.voters, *self.named, *self.members} - {self.name})
        if others:
            self.out.send.append((self.chance.choice(others), Ask(self.commit)))

    def fed(self, sender: str, message: Feed, now: float) -> None:
        """What is committed may be taken from anyone, by a voter too."""
        if self.role is Role.LEADER:
            return
        if sender == self.feeder:
            self.fed_at = now
        if message.term >= max(self.term, self.fed_term) and not self.voter():
            # Not its own term: that one is saved before anything is said under it.
            self.fed_term, self.leader = message.term, message.leader
        agreed = self._take_entries(message.prev_index, message.prev_term, message.entries)
        if agreed is not None and (commit := min(message.commit, agreed)) > self.commit:
            self._committed(commit, now)
        if self.commit < message.commit:
            self.out.send.append((sender, Ask(self.commit)))

    def _take_entries(self, prev_index: int, prev_term: int, entries: tuple[Entry, ...]) -> int | None:
        raise NotImplementedError

    def _committed(self, index: int, now: float) -> None:
        raise NotImplementedError

    # As the one that feeds

    def asked(self, sender: str, message: Ask, now: float) -> None:
        child = self.children.get(sender)
        if child is None or message.index + 1 != child.next or child.until <= now:
            child = self.children[sender] = Child(message.index + 1, 0.0, child.offset if child else 0)
        child.until = now + self.settings.lease_ms
        self._feed(sender, child)

    def feed_all(self, now: float) -> None:
        for name, child in list(self.children.items()):
            if child.until <= now:
                del self.children[name]
            else:
                self._feed(name, child)

    def _feed(self, name: str, child: Child) -> None:
        prev = child.next - 1
        term = self.log.term_at(prev) if prev <= self.commit else None
        if prev > self.commit:
            # Nothing new, but here.
            self.out.send.append((name, Feed(self.lead_term(), self.leader, prev, 0, (), self.commit)))
        elif term is None:
            self.out.send.append((name, piece(self.log, 0, child.offset, self.settings.piece_bytes)))
        else:
            entries = self.log.after(prev, self.commit, self.settings.batch_bytes)
            child.next = prev + len(entries) + 1
            self.out.send.append(
                (name, Feed(self.lead_term(), self.leader, prev, term, entries, self.commit))
            )

    def fed_piece(self, sender: str, reply: PieceReply, now: float) -> None:
        child = self.children.get(sender)
        if child is not None:
            done = reply.index == self.log.base.index and reply.offset >= self.log.base.size
            child.offset = reply.offset if reply.index == self.log.base.index and not done else 0
            if done:
                child.next = reply.index + 1
            self._feed(sender, child)
