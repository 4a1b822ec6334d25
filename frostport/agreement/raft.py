"""One agent's part in the agreed log: elections and replication, after the Raft thesis (Ongaro 2014).

`handle(event, now_ms)` returns what to make durable, to send and to apply, in that order; the caller owns
disk and network. What each part rests on:

- A vote and a term are saved before they are said (3.4); entries before they are acknowledged (3.5).
- Only entries of the leader's own term are committed by count (3.6.2); it begins with an empty one.
- A pre-vote changes nothing, and nobody votes while it hears a leader (4.2.3, 9.6).
- A leader that hears no majority steps down (6.2).
- One voter is added or removed at a time, and only once the change before and an entry of this term are
  committed (4.1, and the correction of 2015).
- A voter is a name and a disk: one whose disk is new neither votes nor counts.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import msgspec

from frostport.agreement.events import Compact, Event, Heard, Members, Output, Propose, Read, Role, Tick
from frostport.agreement.leader import Asked, Leading, Pending, Progress
from frostport.agreement.log import META, VOTERS, BadLogError, Log
from frostport.agreement.messages import (
    Append,
    AppendReply,
    Ask,
    Entry,
    Feed,
    Forward,
    Found,
    Hello,
    Meta,
    Piece,
    PieceReply,
    ReadReply,
    ReadRequest,
    VoteReply,
    VoteRequest,
    Voters,
)
from frostport.agreement.settings import Settings
from frostport.agreement.snapshots import Receiving

NEVER = float("inf")
_encoder = msgspec.msgpack.Encoder()


class Raft(Leading):
    """Raises BadLogError where the records found are no log."""

    def __init__(
        self,
        name: str,
        disk: int,
        named: Iterable[str],
        settings: Settings,
        chance: random.Random,
        found: Mapping[str, bytes],
        now_ms: float,
    ) -> None:
        """`disk`: drawn when the store was made; `named`: the voters that the settings name, for the
        founding; `found`: the records under `raft/`."""
        self.name, self.disk, self.named = name, disk, tuple(sorted(named))
        self.settings, self.chance = settings, chance
        try:
            self.log = Log(found)
            meta = msgspec.msgpack.decode(found[META], type=Meta) if META in found else Meta(0, "", disk)
        except msgspec.MsgspecError as problem:
            raise BadLogError(str(problem)) from None
        if meta.disk != disk:
            raise BadLogError("another disk's records")
        self.term, self.vote = meta.term, meta.vote
        self.voters, self.voters_index = self.log.voters()
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self.applied = self.log.base.index
        self.leader_heard = -NEVER
        self.granted: set[str] = set()
        self.peers: dict[str, Progress] = {}
        self.joining: dict[str, Progress] = {}  # fed by the leader until they can be added
        self.join_ids: dict[str, str] = {}  # the commands that asked for them
        self.round = 0
        self.reads: list[Asked] = []
        self.waiting_reads: dict[str, tuple[int, float]] = {}  # index (-1: not known), ask again at
        self.pending: dict[str, Pending] = {}
        self.hellos: dict[str, tuple[int, float]] = {}
        self.receiving = Receiving()
        self.election_at = now_ms + self._election_ms()
        self.heartbeat_at = NEVER
        self.hello_at = now_ms
        self.out = Output()
        self.feeding(now_ms)

    # The face

    def handle(self, event: Event, now_ms: float) -> Output:
        out = self.out = Output()
        match event:
            case Tick():
                self._tick(now_ms)
            case Heard():
                self._heard(event.sender, event.message, now_ms)
            case Propose():
                self._propose(event, now_ms)
            case Read():
                self._read(event.id, now_ms)
            case Compact():
                if self.log.base.index < event.index <= self.applied:
                    out.save += self.log.compact(event.index, event.snapshot)
            case Members():
                self.members = event.names
        self._reads_ready()
        return out

    def next_ms(self) -> float:
        """When the next `Tick` is due."""
        at = [NEVER]
        if self.role is Role.LEADER:
            at.append(self.heartbeat_at)
        elif self.voter():
            at.append(self.election_at)
        elif not self.voters and self.name in self.named:
            at.append(self.hello_at)
        if not self.voter() and self.role is not Role.LEADER:
            at.append(self.ask_at)
        at += [pending.again_at for pending in self.pending.values()]
        at += [again for _, again in self.waiting_reads.values()]
        return min(at)

    def voter(self) -> bool:
        """Whether it may vote, and counts: by its name and its disk."""
        return self.voters.get(self.name) == self.disk

    def snapshot(self) -> dict[str, object]:
        """Plain data for the door and for records."""
        return {
            "name": self.name,
            "role": self.role.value,
            "term": self.term,
            "leader": self.leader,
            "voter": self.voter(),
            "voters": sorted(self.voters),
            "first": self.log.base.index + 1,
            "last": self.log.last_index,
            "commit": self.commit,
            "applied": self.applied,
        }

    # Time

    def _election_ms(self) -> float:
        return self.settings.election_ms * (1.0 + self.chance.random())

    def _tick(self, now: float) -> None:
        if self.role is Role.LEADER:
            # First: a leader that has stood still says nothing more as one.
            heard = sum(
                self.peers[name].heard_at > now - self.settings.election_ms
                for name in self.voters
                if name in self.peers
            )
            if heard + self.voter() <= len(self.voters) // 2:
                self._follow(self.term, "", now, "it hears no majority")
            elif self.heartbeat_at <= now:
                self._broadcast(now)
        elif self.voter() and self.election_at <= now:
            self._ask_for_votes(now)
        elif not self.voters and self.name in self.named and self.hello_at <= now:
            self._hello(now)
        if not self.voter() and self.role is not Role.LEADER and self.ask_at <= now:
            self._ask(now)
        for pending in self.pending.values():
            if pending.again_at <= now:
                self._forward(pending, now)
        for id in [id for id, (index, again) in self.waiting_reads.items() if index < 0 and again <= now]:
            self._read(id, now)

    # The founding: the first voters, only where all of them are there and empty

    def _hello(self, now: float) -> None:
        self.hello_at = now + self.settings.heartbeat_ms
        for name in self.named:
            if name != self.name:
                self.out.send.append((name, Hello(self.disk)))
        fresh = {
            name: disk
            for name, (disk, at) in self.hellos.items()
            if at > now - 3.0 * self.settings.heartbeat_ms
        }
        if self.name == self.named[0] and set(self.named) == {self.name, *fresh}:
            self._found({**fresh, self.name: self.disk}, now)
            for name in fresh:
                self.out.send.append((name, Found(dict(self.voters))))

    def _found(self, voters: Voters, now: float) -> None:
        self.out.save += self._meta()
        self.out.save += self.log.install(msgspec.structs.replace(self.log.base, voters=voters), b"")
        self._voters_changed()
        self.election_at = now + self._election_ms()
        self._note("founded", voters=sorted(voters))

    def _heard_hello(self, sender: str, hello: Hello, now: float) -> None:
        if not self.voters:
            self.hellos[sender] = (hello.disk, now)
        elif self.voters.get(sender) == hello.disk and self.log.base.index == 0:
            # It was there at the founding, and has not heard of it: it has promised nothing to anyone.
            self.out.send.append((sender, Found(dict(self.log.base.voters))))

    # Elections

    def _meta(self) -> list[tuple[str, bytes | None]]:
        return [(META, _encoder.encode(Meta(self.term, self.vote, self.disk)))]

    def _enter_term(self, term: int, vote: str = "") -> None:
        self.term, self.vote = term, vote
        self.out.save += self._meta()

    def _ask_for_votes(self, now: float) -> None:
        """The pre-vote: would a majority vote for it?"""
        self.role, self.leader, self.granted = Role.ASKING, "", {self.name}
        self.election_at = now + self._election_ms()
        self._request(self.term + 1, True)
        if now - self.leader_heard > 3.0 * self.settings.election_ms:
            # Guards a voter that was removed while it was cut off: nobody else would ever tell it.
            self.ask_anyone()
        self._counted(now)

    def _request(self, term: int, pre: bool) -> None:
        request = VoteRequest(term, pre, self.log.last_index, self.log.last_term)
        self.out.send += [(name, request) for name in self.voters if name != self.name]

    def _counted(self, now: float) -> None:
        if len(self.granted) <= len(self.voters) // 2:
            return
        if self.role is Role.ASKING:
            self.role, self.granted = Role.CANDIDATE, {self.name}
            self._enter_term(self.term + 1, self.name)
            self._request(self.term, False)
            self._note("candidate")
            self._counted(now)
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _lead(self, now: float) -> None:
        self.role, self.leader, self.leader_heard = Role.LEADER, self.name, now
        self.round, self.reads, self.joining, self.join_ids = 0, [], {}, {}
        self.peers = {
            name: Progress(self.log.last_index + 1, heard_at=now) for name in self.voters if name != self.name
        }
        self._note("leader")
        if self.voters_index:
            self._append("", "", 1, b"")
        else:  # those of the founding: followers without a vote learn of them by the log
            self._append("", VOTERS, 1, _encoder.encode(self.voters))
        for pending in self.pending.values():
            pending.again_at = now
        self._broadcast(now)

    def _follow(self, term: int, leader: str, now: float, why: str = "") -> None:
        if term > self.term:
            self._enter_term(term)
        if self.role is Role.LEADER or (leader and leader != self.leader):
            self._note("follower", why=why, leader=leader)
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers, self.joining, self.join_ids, self.reads = {}, {}, {}, []
        self.election_at = now + self._election_ms()

    def _vote_request(self, sender: str, request: VoteRequest, now: float) -> None:
        # Nobody votes while a leader is heard: who was removed, or cut off, disturbs nobody (4.2.3).
        led = self.role is Role.LEADER or now - self.leader_heard < self.settings.election_ms
        current = (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)
        if led or request.term < self.term or not self.voter():
            granted = False
        elif request.pre:
            granted = request.term > self.term and current
        else:
            if request.term > self.term:
                self._follow(request.term, "", now)
            granted = current and self.vote in ("", sender)
            if granted and not self.vote:
                self.vote = sender
                self.out.save += self._meta()
            if granted:
                self.election_at = now + self._election_ms()
        self.out.send.append((sender, VoteReply(self.term, request.pre, granted, self.disk)))

    def _vote_reply(self, sender: str, reply: VoteReply, now: float) -> None:
        if reply.term > self.term:
            self._follow(reply.term, "", now)
        elif (
            reply.granted
            and self.voters.get(sender) == reply.disk
            and (
                (reply.pre and self.role is Role.ASKING)
                or (not reply.pre and self.role is Role.CANDIDATE and reply.term == self.term)
            )
        ):
            self.granted.add(sender)
            self._counted(now)

    # The follower

    def _append_request(self, sender: str, message: Append, now: float) -> None:
        if message.term < self.term:
            self.out.send.append((sender, AppendReply(self.term, False, 0, message.round, self.disk)))
            return
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(message.term, sender, now)
        self.leader_heard, self.election_at = now, now + self._election_ms()
        agreed = self._take_entries(message.prev_index, message.prev_term, message.entries)
        if agreed is None:
            # Where to try again: no further than its own end, and never into what is committed.
            match = max(self.commit, min(self.log.last_index, message.prev_index - 1))
            self.out.send.append((sender, AppendReply(self.term, False, match, message.round, self.disk)))
            return
        if (commit := min(message.commit, agreed)) > self.commit:
            self._committed(commit, now)
        self.out.send.append((sender, AppendReply(self.term, True, agreed, message.round, self.disk)))

    def _take_entries(self, prev_index: int, prev_term: int, entries: tuple[Entry, ...]) -> int | None:
        """Up to where the logs agree now, or None where they don't at `prev_index` (3.5)."""
        if prev_index < self.log.base.index:
            covered = self.log.base.index - prev_index
            if covered > len(entries):
                return self.log.base.index if self.log.base.index <= prev_index + len(entries) else None
            prev_index, entries = self.log.base.index, entries[covered:]
        elif self.log.term_at(prev_index) != prev_term:
            return None
        for number, entry in enumerate(entries):
            held = self.log.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                assert entry.index > self.commit, "a committed entry would change"
                self.out.save += self.log.cut(entry.index)
            self.out.save += self.log.append(entries[number:])
            self._voters_changed()
            break
        return prev_index + len(entries)

    def _installed(self, base: object, snapshot: bytes, now: float) -> None:
        """A whole snapshot, checked: it takes the place of what it covers."""
        assert isinstance(base, type(self.log.base))
        if base.index <= self.commit:
            return
        self.out.save += self.log.install(base, snapshot)
        self.out.install = (base, snapshot)
        self.commit = self.applied = base.index
        self._voters_changed()
        self._note("installed", index=base.index, bytes=base.size)

    def _heard(self, sender: str, message: object, now: float) -> None:
        match message:
            case VoteRequest():
                self._vote_request(sender, message, now)
            case VoteReply():
                self._vote_reply(sender, message, now)
            case Append():
                self._append_request(sender, message, now)
            case AppendReply():
                self._append_reply(sender, message, now)
            case Piece():
                if message.term > self.term:
                    self._follow(message.term, sender, now)
                if message.term in (0, self.term):
                    if message.term:
                        self.leader_heard, self.election_at = now, now + self._election_ms()
                    self._take_piece(sender, message, now)
            case PieceReply():
                self._piece_reply(sender, message, now)
            case Ask():
                self.asked(sender, message, now)
            case Feed():
                self.fed(sender, message, now)
            case Forward():
                self._take(message, now)
            case ReadRequest():
                self._read_request(sender, message, now)
            case ReadReply():
                self._read_at(message.id, message.index)
            case Hello():
                self._heard_hello(sender, message, now)
            case Found():
                if not self.voters and not self.term and message.voters.get(self.name) == self.disk:
                    self._found(message.voters, now)

    def _take_piece(self, sender: str, message: Piece, now: float) -> None:
        if message.base.index > self.commit and not self.receiving.wants(
            message.base, now, self.settings.silent_ms
        ):
            return
        whole = self.receiving.take(message)
        if whole is not None:
            self._installed(message.base, whole, now)
        wanted = message.base.size if message.base.index <= self.commit else self.receiving.offset
        self.out.send.append((sender, PieceReply(message.term, message.base.index, wanted, self.disk)))

    def _note(self, what: str, **fields: object) -> None:
        self.out.notes.append((what, {"term": self.term, **fields}))
