"""Messages and stored records of the agreed log, encoded as msgpack arrays.

Compatibility between versions depends on the order of fields: a new field may only be added at the end.
"""

from __future__ import annotations

import msgspec

Voters = dict[str, int]  # by voter's name: the id of its disk


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A log entry. `kind` "" is the empty entry that begins a leader's term, "voters" a membership change."""

    index: int
    term: int
    id: str
    kind: str
    version: int
    data: bytes


class PersistentState(msgspec.Struct, array_like=True, frozen=True):
    """What a server must have on disk before it answers: its term, its vote and the id of its disk."""

    term: int
    voted_for: str
    disk_id: int


class SnapshotMeta(msgspec.Struct, array_like=True, frozen=True):
    """What a snapshot covers: all entries up to `index`, the last of which is of `term`."""

    index: int
    term: int
    voters: Voters
    size_bytes: int
    checksum: int  # CRC-32C of the snapshot


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """With `pre_vote`, asks for the vote without any change of state (thesis, 9.6)."""

    term: int
    pre_vote: bool
    last_index: int
    last_term: int


class RequestVoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A vote counts only if `disk_id` is the one that the current voters have for the sender."""

    term: int
    pre_vote: bool
    granted: bool
    disk_id: int


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The leader's entries after `prev_index`; without entries a heartbeat. `round` counts the broadcasts:
    reads wait until a majority has acknowledged one."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int


class AppendEntriesReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """`match_index`: up to where the logs match; after a rejection, where the leader should retry."""

    term: int
    success: bool
    match_index: int
    round: int
    disk_id: int


class InstallSnapshot(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A chunk of a snapshot. `term` is 0 if the sender is a feeder rather than the leader."""

    term: int
    meta: SnapshotMeta
    offset: int
    data: bytes


class InstallSnapshotReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """`offset`: the next byte that the receiver needs of the snapshot at `index`."""

    term: int
    index: int
    offset: int
    disk_id: int


class FeedRequest(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """A learner has all committed entries up to `index`, and asks to be fed for the time of a lease."""

    index: int


class FeedEntries(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Committed entries after `prev_index`, and the latest leader that the feeder knows of."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int


class ForwardCommand(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """A command for the leader. There is no reply: the sender sees the command in the log."""

    id: str
    kind: str
    version: int
    data: bytes


class ReadIndexRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Asks the leader for the index that must be applied before a read is linearizable (thesis, 6.4)."""

    id: str


class ReadIndexReply(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """`index`: the read is answered once the entry at this index is applied."""

    id: str
    index: int


class BootstrapHello(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """From a configured voter whose disk is empty: it knows of no voters yet."""

    disk_id: int


class Bootstrap(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """The first voters, all of which were reachable with empty disks."""

    voters: Voters


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | FeedRequest
    | FeedEntries
    | ForwardCommand
    | ReadIndexRequest
    | ReadIndexReply
    | BootstrapHello
    | Bootstrap
)


class VoterChange(msgspec.Struct, array_like=True, frozen=True):
    """A command of kind "voters", as proposed: one voter is added or removed."""

    name: str
    add: bool
    disk_id: int = -1  # -1: the leader learns it from the server itself
