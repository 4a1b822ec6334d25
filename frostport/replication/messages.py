"""What owners, holders and successors say to each other over the link, and to all in the agreed log. msgpack
arrays; a field is only added at the end."""

from __future__ import annotations

import msgspec

VERSION = 1
Change = tuple[str, bytes | None]
Batch = tuple[Change, ...]


# Over the link; `owner` and `epoch` name the stream


class Append(msgspec.Struct, array_like=True, frozen=True, tag="append"):
    """Batches in order, the first one with this number."""

    owner: str
    epoch: int
    first: int
    batches: tuple[Batch, ...]
    version: int = VERSION


class Digests(msgspec.Struct, array_like=True, frozen=True, tag="digests"):
    """A copy begins, or begins anew: the owner's digests by range, as they are after this batch. What is said
    of it names its round: words of an earlier one count nothing. From a holder: it asks for a new round."""

    owner: str
    epoch: int
    at: int
    leaves: bytes
    round: int
    version: int = VERSION


class Wants(msgspec.Struct, array_like=True, frozen=True, tag="wants"):
    """Ranges that differ here."""

    owner: str
    epoch: int
    at: int
    ranges: tuple[int, ...]
    round: int


class Piece(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """A part of a range as it is after batch `at`; with the last one the range is whole."""

    owner: str
    epoch: int
    at: int
    range: int
    part: int
    entries: tuple[tuple[str, bytes], ...]
    last: bool
    round: int


class Check(msgspec.Struct, array_like=True, frozen=True, tag="check"):
    """After this batch the whole has this digest."""

    owner: str
    epoch: int
    at: int
    root: bytes
    round: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack"):
    """Durable here up to this batch. `whole`: and verified; `has`: all ranges are here, to be checked.
    `round` 0: from its disk, after a restart."""

    owner: str
    epoch: int
    at: int
    whole: bool
    has: bool
    round: int


class Refused(msgspec.Struct, array_like=True, frozen=True, tag="refused"):
    """That epoch is over."""

    owner: str
    epoch: int


class Gather(msgspec.Struct, array_like=True, frozen=True, tag="gather"):
    """A successor asks what another holder has after this batch."""

    owner: str
    epoch: int
    after: int


class Rest(msgspec.Struct, array_like=True, frozen=True, tag="rest"):
    """What this holder has behind the batch asked for: keys, the numbers of their last writes, values. In
    parts; with the last one it is all. `whole`: its copy is."""

    owner: str
    epoch: int
    at: int
    entries: tuple[tuple[str, int, bytes | None], ...]
    last: bool
    whole: bool


Message = Append | Digests | Wants | Piece | Check | Ack | Refused | Gather | Rest


# In the agreed log


class Own(msgspec.Struct, array_like=True, frozen=True, tag="own"):
    """A process begins its stream; its epoch is the index of this word. `continues`: the epoch whose records
    it has on its disk, 0: none."""

    owner: str
    life: int
    continues: int


class Succeed(msgspec.Struct, array_like=True, frozen=True, tag="succeed"):
    """A holder takes a stream over whose owner is gone. The first such word counts."""

    owner: str
    epoch: int
    by: str
    life: int


class Done(msgspec.Struct, array_like=True, frozen=True, tag="done"):
    """What that stream held is in its successor's own: its copies may go."""

    owner: str
    epoch: int
    by: str


Word = Own | Succeed | Done
