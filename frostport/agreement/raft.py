"""The Raft state machine of one agent: elections and log replication, after the Raft thesis (Ongaro 2014).

`Raft.handle(event, now_ms)` performs no I/O. It returns what to make durable, to send and to apply, in that
order; the caller owns disk and network. Numbers in parentheses are sections of the thesis. The invariants:

- The term and the vote are durable before a message mentions them (3.4), and entries are durable before they
  are acknowledged (3.5).
- A leader commits by counting replicas only entries of its own term (3.6.2); it appends an empty entry when
  its term begins.
- A pre-vote changes no state, and a server that has a live leader grants no vote (4.2.3, 9.6).
- A leader that receives no messages from a majority steps down (6.2).
- One voter is added or removed at a time, and only once the previous change and an entry of the current term
  are committed (4.1, and the correction of 2015).
- A voter is identified by its name and its disk id: after the loss of its disk it neither votes nor counts
  towards a majority until it has been removed and added again.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import msgspec

from frostport.agreement.events import (
    Compact,
    Event,
    MembersChanged,
    Propose,
    RaftOutput,
    Read,
    Received,
    Role,
    Tick,
)
from frostport.agreement.leader import LeaderMixin, PendingCommand, PendingRead, Progress
from frostport.agreement.log import META_KEY, VOTERS_KIND, BadLogError, Log
from frostport.agreement.messages import (
    AppendEntries,
    AppendEntriesReply,
    Bootstrap,
    BootstrapHello,
    Entry,
    FeedEntries,
    FeedRequest,
    ForwardCommand,
    InstallSnapshot,
    InstallSnapshotReply,
    PersistentState,
    ReadIndexReply,
    ReadIndexRequest,
    RequestVote,
    RequestVoteReply,
    Voters,
)
from frostport.agreement.settings import RaftSettings
from frostport.agreement.snapshots import SnapshotReceiver

NEVER = float("inf")
_encoder = msgspec.msgpack.Encoder()


class Raft(LeaderMixin):
    """One server: voter or learner, and follower, candidate or leader.

    The constructor raises BadLogError if the recovered records are not a consistent log.
    """

    def __init__(
        self,
        name: str,
        disk_id: int,
        founding_voters: Iterable[str],
        settings: RaftSettings,
        rng: random.Random,
        records: Mapping[str, bytes],
        now_ms: float,
    ) -> None:
        """`disk_id` is drawn at random when the store is created. `founding_voters`: the configured voters,
        used only to bootstrap a new cluster. `records` are the recovered records under `raft/`."""
        self.name = name
        self.disk_id = disk_id
        self.founding_voters = tuple(sorted(founding_voters))
        self.settings = settings
        self.rng = rng
        try:
            self.log = Log(records)
            state = (
                msgspec.msgpack.decode(records[META_KEY], type=PersistentState)
                if META_KEY in records
                else PersistentState(0, "", disk_id)
            )
        except msgspec.MsgspecError as problem:
            raise BadLogError(f"a stored record can't be decoded: {problem}") from None
        if state.disk_id != disk_id:
            raise BadLogError(f"the stored records have disk id {state.disk_id}, expected {disk_id}")
        self.term = state.term
        self.voted_for = state.voted_for
        self.voters, self.voters_index = self.log.latest_voters()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.last_applied = self.log.snapshot_meta.index
        self.leader_last_received_at = -NEVER
        self.votes_granted: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.joining: dict[str, Progress] = {}  # new servers that catch up before they become voters
        self.join_command_ids: dict[str, str] = {}  # by server: the command that asked for the addition
        self.heartbeat_round = 0
        self.pending_reads: list[PendingRead] = []
        self.local_reads: dict[str, tuple[int, float]] = {}  # by id: read index (-1: unknown), when to retry
        self.pending_commands: dict[str, PendingCommand] = {}
        self.bootstrap_hellos: dict[str, tuple[int, float]] = {}  # by name: disk id, when received
        self.snapshot_receiver = SnapshotReceiver()
        self.election_at = now_ms + self._election_timeout_ms()
        self.heartbeat_at = NEVER
        self.hello_at = now_ms
        self.output = RaftOutput()
        self.init_learner_state(now_ms)

    # Interface

    def handle(self, event: Event, now_ms: float) -> RaftOutput:
        """Processes one event; `now_ms` is a monotonic time in milliseconds that never decreases."""
        out = self.output = RaftOutput()
        match event:
            case Tick():
                self._tick(now_ms)
            case Received():
                self._receive(event.sender, event.message, now_ms)
            case Propose():
                self._propose(event, now_ms)
            case Read():
                self._request_read_index(event.id, now_ms)
            case Compact():
                if self.log.snapshot_meta.index < event.index <= self.last_applied:
                    out.writes += self.log.compact(event.index, event.snapshot)
            case MembersChanged():
                self.members = event.names
        self._release_reads()
        return out

    def next_ms(self) -> float:
        """When the next `Tick` is due, on the clock of `now_ms`; infinity if no timer is set."""
        due_times = [NEVER]
        if self.role is Role.LEADER:
            due_times.append(self.heartbeat_at)
        elif self.is_voter():
            due_times.append(self.election_at)
        elif not self.voters and self.name in self.founding_voters:
            due_times.append(self.hello_at)
        if not self.is_voter() and self.role is not Role.LEADER:
            due_times.append(self.feed_request_at)
        due_times += [pending.retry_at for pending in self.pending_commands.values()]
        due_times += [retry_at for _, retry_at in self.local_reads.values()]
        return min(due_times)

    def is_voter(self) -> bool:
        """Whether this server votes and counts towards a majority: both its name and its disk id match."""
        return self.voters.get(self.name) == self.disk_id

    def status(self) -> dict[str, object]:
        """State as plain data, for the operators' port and for records."""
        return {
            "name": self.name,
            "role": self.role.value,
            "term": self.term,
            "leader": self.leader,
            "voter": self.is_voter(),
            "voters": sorted(self.voters),
            "first": self.log.snapshot_meta.index + 1,
            "last": self.log.last_index,
            "commit": self.commit_index,
            "applied": self.last_applied,
        }

    # Timers

    def _election_timeout_ms(self) -> float:
        return self.settings.election_timeout_ms * (1.0 + self.rng.random())

    def _tick(self, now: float) -> None:
        if self.role is Role.LEADER:
            # Checked before the heartbeat: a leader that was paused must not send anything as leader.
            reachable = sum(
                self.progress[name].last_received_at > now - self.settings.election_timeout_ms
                for name in self.voters
                if name in self.progress
            )
            if reachable + self.is_voter() <= len(self.voters) // 2:
                self._become_follower(self.term, "", now, "it hears no majority")
            elif self.heartbeat_at <= now:
                self._broadcast(now)
        elif self.is_voter() and self.election_at <= now:
            self._start_pre_vote(now)
        elif not self.voters and self.name in self.founding_voters and self.hello_at <= now:
            self._send_bootstrap_hellos(now)
        if not self.is_voter() and self.role is not Role.LEADER and self.feed_request_at <= now:
            self._send_feed_request(now)
        for pending in self.pending_commands.values():
            if pending.retry_at <= now:
                self._forward_command(pending, now)
        for id in [id for id, (index, retry_at) in self.local_reads.items() if index < 0 and retry_at <= now]:
            self._request_read_index(id, now)

    # Bootstrap: the first voters are set only once all of them are reachable and their logs are empty

    def _send_bootstrap_hellos(self, now: float) -> None:
        self.hello_at = now + self.settings.heartbeat_interval_ms
        for name in self.founding_voters:
            if name != self.name:
                self.output.messages.append((name, BootstrapHello(self.disk_id)))
        present = {
            name: disk_id
            for name, (disk_id, received_at) in self.bootstrap_hellos.items()
            if received_at > now - 3.0 * self.settings.heartbeat_interval_ms
        }
        if self.name == self.founding_voters[0] and set(self.founding_voters) == {self.name, *present}:
            self._bootstrap({**present, self.name: self.disk_id}, now)
            for name in present:
                self.output.messages.append((name, Bootstrap(dict(self.voters))))

    def _bootstrap(self, voters: Voters, now: float) -> None:
        self.output.writes += self._persistent_state()
        self.output.writes += self.log.install(
            msgspec.structs.replace(self.log.snapshot_meta, voters=voters), b""
        )
        self._refresh_voters()
        self.election_at = now + self._election_timeout_ms()
        self._record("founded", voters=sorted(voters))

    def _handle_bootstrap_hello(self, sender: str, hello: BootstrapHello, now: float) -> None:
        if not self.voters:
            self.bootstrap_hellos[sender] = (hello.disk_id, now)
        elif self.voters.get(sender) == hello.disk_id and self.log.snapshot_meta.index == 0:
            # The sender was part of the bootstrap and missed the message. It has not voted or acknowledged
            # anything since, so it can still adopt the first voters.
            self.output.messages.append((sender, Bootstrap(dict(self.log.snapshot_meta.voters))))

    # Elections

    def _persistent_state(self) -> list[tuple[str, bytes | None]]:
        return [(META_KEY, _encoder.encode(PersistentState(self.term, self.voted_for, self.disk_id)))]

    def _enter_term(self, term: int, vote: str = "") -> None:
        self.term = term
        self.voted_for = vote
        self.output.writes += self._persistent_state()

    def _start_pre_vote(self, now: float) -> None:
        """Asks, without a change of term, whether a majority would vote for this server (9.6)."""
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self.votes_granted = {self.name}
        self.election_at = now + self._election_timeout_ms()
        self._send_vote_requests(self.term + 1, True)
        if now - self.leader_last_received_at > 3.0 * self.settings.election_timeout_ms:
            # A voter that was removed while partitioned is sent no entries by the new voters; it learns of
            # its removal only by asking to be fed.
            self.request_feed_from_any()
        self._count_votes(now)

    def _send_vote_requests(self, term: int, pre_vote: bool) -> None:
        request = RequestVote(term, pre_vote, self.log.last_index, self.log.last_term)
        self.output.messages += [(name, request) for name in self.voters if name != self.name]

    def _count_votes(self, now: float) -> None:
        if len(self.votes_granted) <= len(self.voters) // 2:
            return
        if self.role is Role.PRE_CANDIDATE:
            self.role = Role.CANDIDATE
            self.votes_granted = {self.name}
            self._enter_term(self.term + 1, self.name)
            self._send_vote_requests(self.term, False)
            self._record("candidate")
            self._count_votes(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self.leader_last_received_at = now
        self.heartbeat_round = 0
        self.pending_reads = []
        self.joining = {}
        self.join_command_ids = {}
        self.progress = {
            name: Progress(self.log.last_index + 1, last_received_at=now)
            for name in self.voters
            if name != self.name
        }
        self._record("leader")
        if self.voters_index:
            self._append_entry("", "", 1, b"")
        else:  # the voters are still those of the bootstrap, which learners know only from the log
            self._append_entry("", VOTERS_KIND, 1, _encoder.encode(self.voters))
        for pending in self.pending_commands.values():
            pending.retry_at = now
        self._broadcast(now)

    def _become_follower(self, term: int, leader: str, now: float, why: str = "") -> None:
        if term > self.term:
            self._enter_term(term)
        if self.role is Role.LEADER or (leader and leader != self.leader):
            self._record("follower", why=why, leader=leader)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.progress = {}
        self.joining = {}
        self.join_command_ids = {}
        self.pending_reads = []
        self.election_at = now + self._election_timeout_ms()

    def _handle_request_vote(self, sender: str, request: RequestVote, now: float) -> None:
        # No vote while a leader is alive, so that a removed or partitioned server cannot disrupt it (4.2.3).
        leader_is_alive = (
            self.role is Role.LEADER or now - self.leader_last_received_at < self.settings.election_timeout_ms
        )
        log_is_current = (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)
        if leader_is_alive or request.term < self.term or not self.is_voter():
            granted = False
        elif request.pre_vote:
            granted = request.term > self.term and log_is_current
        else:
            if request.term > self.term:
                self._become_follower(request.term, "", now)
            granted = log_is_current and self.voted_for in ("", sender)
            if granted and not self.voted_for:
                self.voted_for = sender
                self.output.writes += self._persistent_state()
            if granted:
                self.election_at = now + self._election_timeout_ms()
        self.output.messages.append(
            (sender, RequestVoteReply(self.term, request.pre_vote, granted, self.disk_id))
        )

    def _handle_request_vote_reply(self, sender: str, reply: RequestVoteReply, now: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, "", now)
        elif (
            reply.granted
            and self.voters.get(sender) == reply.disk_id
            and (
                (reply.pre_vote and self.role is Role.PRE_CANDIDATE)
                or (not reply.pre_vote and self.role is Role.CANDIDATE and reply.term == self.term)
            )
        ):
            self.votes_granted.add(sender)
            self._count_votes(now)

    # Follower

    def _handle_append_entries(self, sender: str, message: AppendEntries, now: float) -> None:
        if message.term < self.term:
            self.output.messages.append(
                (sender, AppendEntriesReply(self.term, False, 0, message.round, self.disk_id))
            )
            return
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(message.term, sender, now)
        self.leader_last_received_at = now
        self.election_at = now + self._election_timeout_ms()
        match_index = self._merge_entries(message.prev_index, message.prev_term, message.entries)
        if match_index is None:
            # Where the leader should retry: not past the end of this log, and not before its commit index.
            retry_index = max(self.commit_index, min(self.log.last_index, message.prev_index - 1))
            self.output.messages.append(
                (sender, AppendEntriesReply(self.term, False, retry_index, message.round, self.disk_id))
            )
            return
        if (commit_index := min(message.leader_commit, match_index)) > self.commit_index:
            self._set_commit_index(commit_index, now)
        self.output.messages.append(
            (sender, AppendEntriesReply(self.term, True, match_index, message.round, self.disk_id))
        )

    def _merge_entries(self, prev_index: int, prev_term: int, entries: tuple[Entry, ...]) -> int | None:
        """Appends the missing entries and removes conflicting ones (3.5).

        Returns the index up to which the logs now match, or None if they differ at `prev_index`."""
        if prev_index < self.log.snapshot_meta.index:
            covered = self.log.snapshot_meta.index - prev_index
            if covered > len(entries):
                return (
                    self.log.snapshot_meta.index
                    if self.log.snapshot_meta.index <= prev_index + len(entries)
                    else None
                )
            prev_index = self.log.snapshot_meta.index
            entries = entries[covered:]
        elif self.log.term_at(prev_index) != prev_term:
            return None
        for position, entry in enumerate(entries):
            existing_term = self.log.term_at(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                assert entry.index > self.commit_index, "a committed entry would change"
                self.output.writes += self.log.truncate_from(entry.index)
            self.output.writes += self.log.append(entries[position:])
            self._refresh_voters()
            break
        return prev_index + len(entries)

    def _install_snapshot(self, meta: object, snapshot: bytes, now: float) -> None:
        """Replaces the log up to `meta.index` by a complete, verified snapshot."""
        assert isinstance(meta, type(self.log.snapshot_meta))
        if meta.index <= self.commit_index:
            return
        self.output.writes += self.log.install(meta, snapshot)
        self.output.installed_snapshot = (meta, snapshot)
        self.commit_index = self.last_applied = meta.index
        self._refresh_voters()
        self._record("installed", index=meta.index, bytes=meta.size_bytes)

    def _receive(self, sender: str, message: object, now: float) -> None:
        match message:
            case RequestVote():
                self._handle_request_vote(sender, message, now)
            case RequestVoteReply():
                self._handle_request_vote_reply(sender, message, now)
            case AppendEntries():
                self._handle_append_entries(sender, message, now)
            case AppendEntriesReply():
                self._handle_append_entries_reply(sender, message, now)
            case InstallSnapshot():
                if message.term > self.term:
                    self._become_follower(message.term, sender, now)
                if message.term in (0, self.term):
                    if message.term:
                        self.leader_last_received_at = now
                        self.election_at = now + self._election_timeout_ms()
                    self._handle_install_snapshot(sender, message, now)
            case InstallSnapshotReply():
                self._handle_install_snapshot_reply(sender, message, now)
            case FeedRequest():
                self.handle_feed_request(sender, message, now)
            case FeedEntries():
                self.handle_feed_entries(sender, message, now)
            case ForwardCommand():
                self._accept_command(message, now)
            case ReadIndexRequest():
                self._handle_read_index_request(sender, message, now)
            case ReadIndexReply():
                self._set_read_index(message.id, message.index)
            case BootstrapHello():
                self._handle_bootstrap_hello(sender, message, now)
            case Bootstrap():
                if not self.voters and not self.term and message.voters.get(self.name) == self.disk_id:
                    self._bootstrap(message.voters, now)

    def _handle_install_snapshot(self, sender: str, message: InstallSnapshot, now: float) -> None:
        if message.meta.index > self.commit_index and not self.snapshot_receiver.accepts(
            message.meta, now, self.settings.feeder_timeout_ms
        ):
            return
        snapshot = self.snapshot_receiver.add(message)
        if snapshot is not None:
            self._install_snapshot(message.meta, snapshot, now)
        next_offset = (
            message.meta.size_bytes
            if message.meta.index <= self.commit_index
            else self.snapshot_receiver.offset
        )
        self.output.messages.append(
            (sender, InstallSnapshotReply(message.term, message.meta.index, next_offset, self.disk_id))
        )

    def _record(self, event: str, **fields: object) -> None:
        self.output.record_events.append((event, {"term": self.term, **fields}))
