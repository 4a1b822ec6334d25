"""What is said and kept of the agreed log, as msgpack arrays. A field is only ever added at the end."""

from __future__ import annotations

import msgspec

Voters = dict[str, int]  # each voter's name, and the number of its disk


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One place of the log. `kind` "" is a leader's first, "voters" a change of the voters."""

    index: int
    term: int
    id: str
    kind: str
    version: int
    data: bytes


class Meta(msgspec.Struct, array_like=True, frozen=True):
    """What a voter may never forget."""

    term: int
    vote: str
    disk: int


class Base(msgspec.Struct, array_like=True, frozen=True):
    """Where the log begins: a snapshot stands for all up to `index`."""

    index: int
    term: int
    voters: Voters
    size: int
    check: int  # CRC-32C of the snapshot


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """`pre`: would you vote for me? Nothing changes by it (thesis, 9.6)."""

    term: int
    pre: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    term: int
    pre: bool
    granted: bool
    disk: int


class Append(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The leader's entries after `prev_index`; none: a heartbeat. `round` counts these, for reads."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """`match`: up to where the logs agree; where refused, where to try again."""

    term: int
    success: bool
    match: int
    round: int
    disk: int


class Piece(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A part of a snapshot. `term` 0: from one that only feeds."""

    term: int
    base: Base
    offset: int
    data: bytes


class PieceReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """The next byte that is wanted of the snapshot at `index`."""

    term: int
    index: int
    offset: int
    disk: int


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """A follower without a vote has all up to `index`, and is to be fed for a while."""

    index: int


class Feed(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Committed entries alone, after `prev_index`; and who leads, as far as is known."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int


class Forward(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """A command for the leader. It counts once it comes back in the log."""

    id: str
    kind: str
    version: int
    data: bytes


class ReadRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Up to where must be applied before a read is not stale?"""

    id: str


class ReadReply(msgspec.Struct, array_like=True, frozen=True, tag=11):
    id: str
    index: int


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """A named voter whose disk is empty: it knows of no fleet yet."""

    disk: int


class Found(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """The first voters, all of whom were there and empty."""

    voters: Voters


Message = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | Piece
    | PieceReply
    | Ask
    | Feed
    | Forward
    | ReadRequest
    | ReadReply
    | Hello
    | Found
)


class VoterChange(msgspec.Struct, array_like=True, frozen=True):
    """A command of kind "voters" as it is asked for: one voter is added or removed."""

    name: str
    add: bool
    disk: int = -1  # where known; else the leader asks
