"""The leader's part: replication, commits, voters one at a time, commands, reads that can't be stale."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from frostport.agreement.events import Propose, Role
from frostport.agreement.feed import Feeding
from frostport.agreement.log import VOTERS
from frostport.agreement.messages import (
    Append,
    AppendReply,
    Entry,
    Forward,
    PieceReply,
    ReadReply,
    ReadRequest,
    VoterChange,
)
from frostport.agreement.snapshots import piece

NEVER = float("inf")
CHANGE = msgspec.msgpack.Decoder(VoterChange)
_encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True)
class Progress:
    """What a leader knows of one voter, or of one that is to become one."""

    next: int
    match: int = 0
    round: int = 0
    heard_at: float = -NEVER
    disk: int = -1
    offset: int = 0  # of the snapshot under way


@dataclass(slots=True)
class Pending:
    """A command of this agent that has not come back in the log."""

    forward: Forward
    again_at: float


@dataclass(slots=True)
class Asked:
    """A read at the leader: answered once a majority has heard `round`."""

    requester: str
    id: str
    index: int
    round: int


class Leading(Feeding):
    """What a leader does; and what any agent asks of it."""

    disk: int
    applied: int
    voters_index: int
    round: int
    heartbeat_at: float
    peers: dict[str, Progress]
    joining: dict[str, Progress]
    join_ids: dict[str, str]
    reads: list[Asked]
    waiting_reads: dict[str, tuple[int, float]]
    pending: dict[str, Pending]

    def _follow(self, term: int, leader: str, now: float, why: str = "") -> None:
        raise NotImplementedError

    def _note(self, what: str, **fields: object) -> None:
        raise NotImplementedError

    # The leader

    def _append(self, id: str, kind: str, version: int, data: bytes) -> Entry:
        entry = Entry(self.log.last_index + 1, self.term, id, kind, version, data)
        self.out.save += self.log.append([entry])
        if kind == VOTERS:
            self._voters_changed()
        return entry

    def _voters_changed(self) -> None:
        self.voters, self.voters_index = self.log.voters()
        if self.role is Role.LEADER:
            known = {**self.joining, **self.peers}
            self.peers = {
                name: known.get(name) or Progress(self.log.last_index + 1)
                for name in self.voters
                if name != self.name
            }
            self.joining = {name: at for name, at in self.joining.items() if name not in self.voters}

    def _broadcast(self, now: float) -> None:
        self.heartbeat_at = now + self.settings.heartbeat_ms
        self.round += 1
        for name, peer in (*self.peers.items(), *self.joining.items()):
            self._replicate(name, peer)
        self._commit(now)

    def _replicate(self, name: str, peer: Progress) -> None:
        prev = peer.next - 1
        term = self.log.term_at(prev)
        if term is None:
            self.out.send.append((name, piece(self.log, self.term, peer.offset, self.settings.piece_bytes)))
            return
        entries = self.log.after(prev, self.log.last_index, self.settings.batch_bytes)
        peer.next = prev + len(entries) + 1  # taken for received: a refusal sets it back
        self.out.send.append((name, Append(self.term, prev, term, entries, self.commit, self.round)))

    def _append_reply(self, sender: str, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._follow(reply.term, "", now)
            return
        peer = self.peers.get(sender) or self.joining.get(sender)
        if self.role is not Role.LEADER or peer is None or reply.term < self.term:
            return
        peer.disk = reply.disk
        if sender in self.voters and self.voters[sender] != reply.disk:
            return  # not the voter that was: it must be added again
        peer.heard_at, peer.round = now, max(peer.round, reply.round)
        if reply.success:
            peer.match = max(peer.match, reply.match)
            peer.next = max(peer.next, peer.match + 1)
            self._commit(now)
            if sender in self.joining:
                self._admit(sender, now)
            if self.role is Role.LEADER and peer.next <= self.log.last_index:
                self._replicate(sender, peer)
        else:
            peer.next = max(peer.match + 1, min(peer.next - 1, reply.match + 1))
            self._replicate(sender, peer)

    def _piece_reply(self, sender: str, reply: PieceReply, now: float) -> None:
        peer = self.peers.get(sender) or self.joining.get(sender)
        if self.role is Role.LEADER and peer is not None and reply.term == self.term:
            peer.heard_at, peer.disk = now, reply.disk
            if reply.index != self.log.base.index:
                peer.offset = 0
            elif reply.offset >= self.log.base.size:
                peer.offset, peer.next = 0, reply.index + 1
            else:
                peer.offset = reply.offset
            self._replicate(sender, peer)
        elif reply.term == 0:
            self.fed_piece(sender, reply, now)

    def _commit(self, now: float) -> None:
        """Counts disks, its own among them; only an entry of its own term (3.6.2)."""
        matches = sorted(
            (self.log.last_index if name == self.name else self.peers[name].match for name in self.voters),
            reverse=True,
        )
        index = matches[len(matches) // 2] if matches else 0
        if index > self.commit and self.log.term_at(index) == self.term:
            self._committed(index, now)
            if not self.voter() and self.commit >= self.voters_index:
                self._follow(self.term, "", now, "it is no longer a voter")

    def _committed(self, index: int, now: float) -> None:
        self.commit = index
        self.out.apply += self.log.after(self.applied, index, 1 << 60)
        for entry in self.out.apply:
            self.pending.pop(entry.id, None)
        self.applied = index
        self.feed_all(now)

    # Voters, one at a time

    def _change_voters(self, forward: Forward, now: float) -> None:
        try:
            change = CHANGE.decode(forward.data)
        except msgspec.MsgspecError:
            return
        if change.add and change.name not in self.voters:
            self.joining.setdefault(change.name, Progress(self.log.last_index + 1))
            self.join_ids[change.name] = forward.id
            self._admit(change.name, now)
        elif not change.add and change.name in self.voters and self._may_change():
            voters = {name: disk for name, disk in self.voters.items() if name != change.name}
            if voters:
                self._append(forward.id, VOTERS, 1, _encoder.encode(voters))
                self._broadcast(now)
        elif change.add is (change.name in self.voters):  # as asked already: the command is over all the same
            self._append(forward.id, "", 1, b"")
            self._broadcast(now)

    def _may_change(self) -> bool:
        return self.voters_index <= self.commit and self.log.term_at(self.commit) == self.term

    def _admit(self, name: str, now: float) -> None:
        """Adds a voter once it has (almost) all: it would only hold the others up before."""
        peer = self.joining[name]
        if peer.disk >= 0 and peer.match >= self.commit and self._may_change():
            voters = {**self.voters, name: peer.disk}
            self._append(self.join_ids.pop(name, ""), VOTERS, 1, _encoder.encode(voters))
            self._broadcast(now)

    # Commands and reads

    def _propose(self, event: Propose, now: float) -> None:
        if len(self.pending) >= self.settings.pending:
            self._note("refused", id=event.id, why="too many commands under way")
            return
        forward = Forward(event.id, event.kind, event.version, event.data)
        pending = self.pending[event.id] = Pending(forward, now)
        self._forward(pending, now)

    def _forward(self, pending: Pending, now: float) -> None:
        """To the leader, again and again until it comes back in the log: whoever applies it does so once."""
        pending.again_at = now + self.settings.resend_ms
        if self.role is Role.LEADER:
            self._take(pending.forward, now)
        elif self.leader:
            self.out.send.append((self.leader, pending.forward))

    def _take(self, forward: Forward, now: float) -> None:
        if self.role is not Role.LEADER:
            return
        if forward.kind == VOTERS:
            self._change_voters(forward, now)
        elif all(entry.id != forward.id for entry in self.log.entries[self.commit - self.log.base.index :]):
            self._append(forward.id, forward.kind, forward.version, forward.data)
            self._broadcast(now)

    def _read(self, id: str, now: float) -> None:
        self.waiting_reads[id] = (-1, now + self.settings.resend_ms)
        if self.role is Role.LEADER:
            self._read_request(self.name, ReadRequest(id), now)
        elif self.leader:
            self.out.send.append((self.leader, ReadRequest(id)))

    def _read_request(self, sender: str, request: ReadRequest, now: float) -> None:
        """Where the log stood when it was asked, once a majority has said since that this one still leads."""
        if self.role is Role.LEADER and self.log.term_at(self.commit) == self.term:
            self._broadcast(now)
            self.reads.append(Asked(sender, request.id, self.commit, self.round))

    def _reads_ready(self) -> None:
        if self.role is Role.LEADER and self.reads:
            rounds = sorted(
                (self.round if name == self.name else self.peers[name].round for name in self.voters),
                reverse=True,
            )
            heard = rounds[len(rounds) // 2]
            for asked in [asked for asked in self.reads if asked.round <= heard]:
                self.reads.remove(asked)
                if asked.requester == self.name:
                    self._read_at(asked.id, asked.index)
                else:
                    self.out.send.append((asked.requester, ReadReply(asked.id, asked.index)))
        for id in [id for id, (index, _) in self.waiting_reads.items() if 0 <= index <= self.applied]:
            del self.waiting_reads[id]
            self.out.reads.append(id)

    def _read_at(self, id: str, index: int) -> None:
        if id in self.waiting_reads:
            self.waiting_reads[id] = (index, NEVER)
