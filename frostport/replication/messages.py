"""Messages between owners, holders and successors over the link, and commands in the agreed log.

They are msgspec structs encoded as msgpack arrays: new fields are added only at the end.
"""

from __future__ import annotations

import msgspec

VERSION = 1
Change = tuple[str, bytes | None]
Batch = tuple[Change, ...]


# Messages over the link; `owner` and `epoch` name the stream


class Append(msgspec.Struct, array_like=True, frozen=True, tag="append"):
    """Consecutive batches; `first` is the number of the first one."""

    owner: str
    epoch: int
    first: int
    batches: tuple[Batch, ...]
    version: int = VERSION


class Digests(msgspec.Struct, array_like=True, frozen=True, tag="digests"):
    """From the owner: starts a round with its digests by range as of `batch_number`. Later messages name
    the round; those of an earlier round are ignored. From a holder: asks for a new round."""

    owner: str
    epoch: int
    batch_number: int
    leaves: bytes
    round: int
    version: int = VERSION


class RangesWanted(msgspec.Struct, array_like=True, frozen=True, tag="wants"):
    """The ranges whose digests differ at the holder."""

    owner: str
    epoch: int
    batch_number: int
    ranges: tuple[int, ...]
    round: int


class RangePart(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """A part of a range as of `batch_number`; `last` completes the range."""

    owner: str
    epoch: int
    batch_number: int
    range_number: int
    part: int
    entries: tuple[tuple[str, bytes], ...]
    last: bool
    round: int


class Verify(msgspec.Struct, array_like=True, frozen=True, tag="check"):
    """The digest of the owner's whole table as of `batch_number`."""

    owner: str
    epoch: int
    batch_number: int
    root: bytes
    round: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack"):
    """The holder's copy is durable up to `batch_number`. `verified`: its digest matched the owner's.
    `complete`: it has all ranges and awaits verification. Round 0: the copy was read from disk after a
    restart."""

    owner: str
    epoch: int
    batch_number: int
    verified: bool
    complete: bool
    round: int


class Refused(msgspec.Struct, array_like=True, frozen=True, tag="refused"):
    """The epoch has ended."""

    owner: str
    epoch: int


class GatherRequest(msgspec.Struct, array_like=True, frozen=True, tag="gather"):
    """A successor asks another holder for all writes after a batch."""

    owner: str
    epoch: int
    after_batch: int


class Remainder(msgspec.Struct, array_like=True, frozen=True, tag="rest"):
    """The holder's writes after the requested batch: keys, the numbers of their last writes, values. Sent
    in parts; `last` marks the last one. `verified`: the holder's copy is verified."""

    owner: str
    epoch: int
    batch_number: int
    entries: tuple[tuple[str, int, bytes | None], ...]
    last: bool
    verified: bool


Message = Append | Digests | RangesWanted | RangePart | Verify | Ack | Refused | GatherRequest | Remainder


# Commands in the agreed log


class Own(msgspec.Struct, array_like=True, frozen=True, tag="own"):
    """A process starts its stream; the index of this command in the log is its epoch. `continued_epoch`:
    the epoch whose records it has on disk, 0 if none."""

    owner: str
    incarnation: int
    continued_epoch: int


class Succeed(msgspec.Struct, array_like=True, frozen=True, tag="succeed"):
    """A holder takes over a stream whose owner is gone. Only the first such command counts."""

    owner: str
    epoch: int
    successor: str
    incarnation: int


class TakeoverDone(msgspec.Struct, array_like=True, frozen=True, tag="done"):
    """The successor's own stream has all records of this one: its copies may be deleted."""

    owner: str
    epoch: int
    successor: str


Command = Own | Succeed | TakeoverDone
