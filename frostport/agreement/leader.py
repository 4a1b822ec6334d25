"""The leader's side of Raft: replication, commit index, voter changes, commands and linearizable reads."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from frostport.agreement.events import Propose, Role
from frostport.agreement.learner import LearnerMixin
from frostport.agreement.log import VOTERS_KIND
from frostport.agreement.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    ForwardCommand,
    InstallSnapshotReply,
    ReadIndexReply,
    ReadIndexRequest,
    VoterChange,
)
from frostport.agreement.snapshots import snapshot_message

NEVER = float("inf")
_voter_change_decoder = msgspec.msgpack.Decoder(VoterChange)
_encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True)
class Progress:
    """What the leader knows of one voter, or of a server that catches up to become one."""

    next_index: int  # of the next entry to send
    match_index: int = 0
    acknowledged_round: int = 0
    last_received_at: float = -NEVER
    disk_id: int = -1  # -1 until the server has answered
    snapshot_offset: int = 0  # next byte of the snapshot to send


@dataclass(slots=True)
class PendingCommand:
    """A command proposed by this agent that is not known to be committed yet."""

    command: ForwardCommand
    retry_at: float


@dataclass(slots=True)
class PendingRead:
    """A read request at the leader, answered once a majority has acknowledged heartbeat round `round`."""

    requester: str
    id: str
    read_index: int
    round: int


class LeaderMixin(LearnerMixin):
    """What a leader does, and the commands and reads that any agent sends to the leader."""

    disk_id: int
    last_applied: int
    voters_index: int
    heartbeat_round: int
    heartbeat_at: float
    progress: dict[str, Progress]
    joining: dict[str, Progress]
    join_command_ids: dict[str, str]
    pending_reads: list[PendingRead]
    local_reads: dict[str, tuple[int, float]]
    pending_commands: dict[str, PendingCommand]

    def _become_follower(self, term: int, leader: str, now: float, why: str = "") -> None:
        raise NotImplementedError

    def _record(self, event: str, **fields: object) -> None:
        raise NotImplementedError

    # Replication and commits

    def _append_entry(self, id: str, kind: str, version: int, data: bytes) -> Entry:
        entry = Entry(self.log.last_index + 1, self.term, id, kind, version, data)
        self.output.writes += self.log.append([entry])
        if kind == VOTERS_KIND:
            self._refresh_voters()
        return entry

    def _refresh_voters(self) -> None:
        self.voters, self.voters_index = self.log.latest_voters()
        if self.role is Role.LEADER:
            known = {**self.joining, **self.progress}
            self.progress = {
                name: known.get(name) or Progress(self.log.last_index + 1)
                for name in self.voters
                if name != self.name
            }
            self.joining = {name: peer for name, peer in self.joining.items() if name not in self.voters}

    def _broadcast(self, now: float) -> None:
        self.heartbeat_at = now + self.settings.heartbeat_interval_ms
        self.heartbeat_round += 1
        for name, peer in (*self.progress.items(), *self.joining.items()):
            self._replicate(name, peer)
        self._advance_commit_index(now)

    def _replicate(self, name: str, peer: Progress) -> None:
        prev_index = peer.next_index - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            self.output.messages.append(
                (
                    name,
                    snapshot_message(
                        self.log, self.term, peer.snapshot_offset, self.settings.snapshot_chunk_bytes
                    ),
                )
            )
            return
        entries = self.log.entries_after(prev_index, self.log.last_index, self.settings.max_batch_bytes)
        peer.next_index = prev_index + len(entries) + 1  # optimistic pipelining: a rejection sets it back
        self.output.messages.append(
            (
                name,
                AppendEntries(
                    self.term, prev_index, prev_term, entries, self.commit_index, self.heartbeat_round
                ),
            )
        )

    def _handle_append_entries_reply(self, sender: str, reply: AppendEntriesReply, now: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, "", now)
            return
        peer = self.progress.get(sender) or self.joining.get(sender)
        if self.role is not Role.LEADER or peer is None or reply.term < self.term:
            return
        peer.disk_id = reply.disk_id
        if sender in self.voters and self.voters[sender] != reply.disk_id:
            return  # the voter has lost its disk: it must be removed and added again
        peer.last_received_at = now
        peer.acknowledged_round = max(peer.acknowledged_round, reply.round)
        if reply.success:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            self._advance_commit_index(now)
            if sender in self.joining:
                self._promote(sender, now)
            if self.role is Role.LEADER and peer.next_index <= self.log.last_index:
                self._replicate(sender, peer)
        else:
            peer.next_index = max(peer.match_index + 1, min(peer.next_index - 1, reply.match_index + 1))
            self._replicate(sender, peer)

    def _handle_install_snapshot_reply(self, sender: str, reply: InstallSnapshotReply, now: float) -> None:
        peer = self.progress.get(sender) or self.joining.get(sender)
        if self.role is Role.LEADER and peer is not None and reply.term == self.term:
            peer.last_received_at = now
            peer.disk_id = reply.disk_id
            if reply.index != self.log.snapshot_meta.index:
                peer.snapshot_offset = 0
            elif reply.offset >= self.log.snapshot_meta.size_bytes:
                peer.snapshot_offset = 0
                peer.next_index = reply.index + 1
            else:
                peer.snapshot_offset = reply.offset
            self._replicate(sender, peer)
        elif reply.term == 0:
            self.handle_fed_snapshot_reply(sender, reply, now)

    def _advance_commit_index(self, now: float) -> None:
        """Commits what a majority has on disk, this server's own disk included, if the entry there is of the
        current term (3.6.2)."""
        match_indexes = sorted(
            (
                self.log.last_index if name == self.name else self.progress[name].match_index
                for name in self.voters
            ),
            reverse=True,
        )
        index = match_indexes[len(match_indexes) // 2] if match_indexes else 0
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._set_commit_index(index, now)
            if not self.is_voter() and self.commit_index >= self.voters_index:
                self._become_follower(self.term, "", now, "it is no longer a voter")

    def _set_commit_index(self, index: int, now: float) -> None:
        self.commit_index = index
        self.output.committed += self.log.entries_after(self.last_applied, index, 1 << 60)
        for entry in self.output.committed:
            self.pending_commands.pop(entry.id, None)
        self.last_applied = index
        self.feed_learners(now)

    # Membership changes, one voter at a time (4.1)

    def _change_voters(self, command: ForwardCommand, now: float) -> None:
        try:
            change = _voter_change_decoder.decode(command.data)
        except msgspec.MsgspecError:
            return
        if change.add and change.name not in self.voters:
            self.joining.setdefault(change.name, Progress(self.log.last_index + 1))
            self.join_command_ids[change.name] = command.id
            self._promote(change.name, now)
        elif not change.add and change.name in self.voters and self._may_change_voters():
            voters = {name: disk_id for name, disk_id in self.voters.items() if name != change.name}
            if voters:
                self._append_entry(command.id, VOTERS_KIND, 1, _encoder.encode(voters))
                self._broadcast(now)
        elif change.add is (change.name in self.voters):  # already so: an empty entry completes the command
            self._append_entry(command.id, "", 1, b"")
            self._broadcast(now)

    def _may_change_voters(self) -> bool:
        return self.voters_index <= self.commit_index and self.log.term_at(self.commit_index) == self.term

    def _promote(self, name: str, now: float) -> None:
        """Makes a joining server a voter once it has all committed entries; earlier, a majority that needs it
        would have to wait for it to catch up (4.2.1)."""
        peer = self.joining[name]
        if peer.disk_id >= 0 and peer.match_index >= self.commit_index and self._may_change_voters():
            voters = {**self.voters, name: peer.disk_id}
            self._append_entry(self.join_command_ids.pop(name, ""), VOTERS_KIND, 1, _encoder.encode(voters))
            self._broadcast(now)

    # Commands and reads

    def _propose(self, event: Propose, now: float) -> None:
        if len(self.pending_commands) >= self.settings.max_pending_commands:
            self._record("refused", id=event.id, why="too many commands under way")
            return
        command = ForwardCommand(event.id, event.kind, event.version, event.data)
        pending = self.pending_commands[event.id] = PendingCommand(command, now)
        self._forward_command(pending, now)

    def _forward_command(self, pending: PendingCommand, now: float) -> None:
        """Sends a command to the leader, and again until it is committed. Duplicates do no harm: the state
        machine applies each command id once."""
        pending.retry_at = now + self.settings.command_retry_ms
        if self.role is Role.LEADER:
            self._accept_command(pending.command, now)
        elif self.leader:
            self.output.messages.append((self.leader, pending.command))

    def _accept_command(self, command: ForwardCommand, now: float) -> None:
        if self.role is not Role.LEADER:
            return
        if command.kind == VOTERS_KIND:
            self._change_voters(command, now)
        elif all(
            entry.id != command.id
            for entry in self.log.entries[self.commit_index - self.log.snapshot_meta.index :]
        ):
            self._append_entry(command.id, command.kind, command.version, command.data)
            self._broadcast(now)

    def _request_read_index(self, id: str, now: float) -> None:
        self.local_reads[id] = (-1, now + self.settings.command_retry_ms)
        if self.role is Role.LEADER:
            self._handle_read_index_request(self.name, ReadIndexRequest(id), now)
        elif self.leader:
            self.output.messages.append((self.leader, ReadIndexRequest(id)))

    def _handle_read_index_request(self, sender: str, request: ReadIndexRequest, now: float) -> None:
        """Notes the commit index as the read index. The answer goes out once a majority has confirmed, in a
        round that starts now, that this server still leads (ReadIndex, 6.4)."""
        if self.role is Role.LEADER and self.log.term_at(self.commit_index) == self.term:
            self._broadcast(now)
            self.pending_reads.append(
                PendingRead(sender, request.id, self.commit_index, self.heartbeat_round)
            )

    def _release_reads(self) -> None:
        if self.role is Role.LEADER and self.pending_reads:
            rounds = sorted(
                (
                    self.heartbeat_round if name == self.name else self.progress[name].acknowledged_round
                    for name in self.voters
                ),
                reverse=True,
            )
            confirmed_round = rounds[len(rounds) // 2]
            for read in [read for read in self.pending_reads if read.round <= confirmed_round]:
                self.pending_reads.remove(read)
                if read.requester == self.name:
                    self._set_read_index(read.id, read.read_index)
                else:
                    self.output.messages.append((read.requester, ReadIndexReply(read.id, read.read_index)))
        for id in [id for id, (index, _) in self.local_reads.items() if 0 <= index <= self.last_applied]:
            del self.local_reads[id]
            self.output.ready_reads.append(id)

    def _set_read_index(self, id: str, index: int) -> None:
        if id in self.local_reads:
            self.local_reads[id] = (index, NEVER)
