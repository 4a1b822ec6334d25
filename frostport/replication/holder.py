"""A holder's side: copies of other agents' streams, each by its epoch. Decisions only.

`handle(event)` returns what to keep and then to say: nothing is said before it is kept. Invariants: a copy of
an epoch that is over changes no more (R5); a copy says that it is whole only after its digest was the owner's
after the same batch (R4); what was confirmed is not given up before the log says that it may be (R3).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from frostport.replication.copies import Table
from frostport.replication.messages import (
    Ack,
    Append,
    Check,
    Digests,
    Gather,
    Message,
    Piece,
    Refused,
    Rest,
    Wants,
)

TAIL = 4000  # batches back to which deletions are known
PART_BYTES = 256 * 1024  # of what a successor is told at a time
COPY, META = "copy/", "copies/"  # keys of what is kept
BETWEEN = "\0"


class Meta(msgspec.Struct, array_like=True, frozen=True):
    """How far a copy is."""

    at: int
    whole: bool


class Kept(msgspec.Struct, array_like=True, frozen=True):
    """One record of a copy; None: it was deleted then."""

    number: int
    value: bytes | None


_meta, _kept = msgspec.msgpack.Decoder(Meta), msgspec.msgpack.Decoder(Kept)
encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Copy:
    """One stream as far as it is here."""

    owner: str
    epoch: int
    table: Table = field(default_factory=Table)
    at: int = 0
    whole: bool = False
    over: bool = False
    wanted: set[int] = field(default_factory=set)  # ranges still to come
    parts: dict[int, dict[str, bytes]] = field(default_factory=dict)  # of those under way
    next_part: dict[int, int] = field(default_factory=dict)
    gone: OrderedDict[str, int] = field(default_factory=OrderedDict)  # deletions, the oldest first
    begun: bool = False  # its owner's digests have come in this life
    round: int = 0  # and of which round they were

    def number(self, name: str) -> int:
        """Of the last write of a key, as far as it is known."""
        entry = self.table.entries.get(name)
        return entry[0] if entry is not None else self.gone.get(name, 0)

    def after(self, number: int) -> list[tuple[str, int, bytes | None]]:
        """All that was written behind a batch: keys, numbers, values."""
        found: list[tuple[str, int, bytes | None]] = [
            (name, at, value) for name, (at, value) in self.table.entries.items() if at > number
        ]
        return found + [(name, at, None) for name, at in self.gone.items() if at > number]

    def name(self) -> str:
        return f"{self.owner}{BETWEEN}{self.epoch}"


@dataclass(slots=True)
class Output:
    """What is to be kept, and said after that."""

    keep: list[tuple[str, bytes | None]] = field(default_factory=list)
    send: list[tuple[str, Message]] = field(default_factory=list)


class Holder:
    """All copies of one agent. `kept`: what its disk has of them."""

    def __init__(self, kept: Mapping[str, bytes]) -> None:
        self.copies: dict[tuple[str, int], Copy] = {}
        self.least: dict[str, int] = {}  # by owner: epochs before this are over
        for key, value in kept.items():
            if key.startswith(META):
                meta = _meta.decode(value)
                copy = self._copy(*self._named(key[len(META) :]))
                copy.at, copy.whole = meta.at, meta.whole
            elif key.startswith(COPY):
                owner, epoch, name = key[len(COPY) :].split(BETWEEN, 2)
                record = _kept.decode(value)
                copy = self._copy(owner, int(epoch))
                copy.table.put(name, record.number, record.value)
                if record.value is None:
                    copy.gone[name] = record.number
        for copy in self.copies.values():
            copy.gone = OrderedDict(sorted(copy.gone.items(), key=lambda item: item[1]))

    @staticmethod
    def _named(name: str) -> tuple[str, int]:
        owner, _, epoch = name.rpartition(BETWEEN)
        return owner, int(epoch)

    def _copy(self, owner: str, epoch: int) -> Copy:
        return self.copies.setdefault((owner, epoch), Copy(owner, epoch))

    # What the agreed log says

    def ended(self, owner: str, epoch: int) -> None:
        """Nobody writes this epoch, or one before it, any more."""
        self.least[owner] = max(self.least.get(owner, 0), epoch + 1)
        for copy in self.copies.values():
            if copy.owner == owner and copy.epoch <= epoch:
                copy.over = True

    def forget(self, owner: str, epoch: int) -> Output:
        """Its records are elsewhere."""
        out = Output()
        copy = self.copies.pop((owner, epoch), None)
        if copy is not None:
            out.keep.append((META + copy.name(), None))
            out.keep += [(self._key(copy, name), None) for name in (*copy.table.entries, *copy.gone)]
        return out

    # What owners and successors say

    def handle(self, sender: str, message: Message) -> Output:
        out = Output()
        match message:
            case Gather():
                self._rest(sender, message, out)
            case Append() | Digests() | Piece() | Check():
                if message.epoch < self.least.get(message.owner, 0):
                    out.send.append((sender, Refused(message.owner, message.epoch)))
                elif sender == message.owner:
                    self._from_owner(message, out)
        return out

    def _from_owner(self, message: Append | Digests | Piece | Check, out: Output) -> None:
        owner, epoch = message.owner, message.epoch
        copy = self.copies.get((owner, epoch))
        if copy is None:
            copy = self._copy(owner, epoch)
            self._inherit(copy, out)
        if copy.over:
            out.send.append((owner, Refused(owner, epoch)))
            return
        match message:
            case Digests():
                self._begin(copy, message, out)
            case Append():
                self._append(copy, message, out)
            case Piece():
                self._piece(copy, message, out)
            case Check():
                self._check(copy, message, out)

    def _inherit(self, copy: Copy, out: Output) -> None:
        """A later epoch of the same owner begins with what is here of the one before: most of it is the same.

        The earlier copy stays: the log says when it may go."""
        before = [
            each for each in self.copies.values() if each.owner == copy.owner and each.epoch < copy.epoch
        ]
        if before:
            for name, (_, value) in max(before, key=lambda each: each.epoch).table.entries.items():
                self._put(copy, name, 0, value, out)

    def _key(self, copy: Copy, name: str) -> str:
        return f"{COPY}{copy.name()}{BETWEEN}{name}"

    def _put(self, copy: Copy, name: str, number: int, value: bytes | None, out: Output) -> None:
        copy.table.put(name, number, value)
        copy.gone.pop(name, None)
        if value is None:
            copy.gone[name] = number
            while len(copy.gone) > TAIL:
                out.keep.append((self._key(copy, copy.gone.popitem(last=False)[0]), None))
        out.keep.append((self._key(copy, name), encode(Kept(number, value))))

    def _mark(self, copy: Copy, out: Output) -> None:
        out.keep.append((META + copy.name(), encode(Meta(copy.at, copy.whole))))

    def _begin(self, copy: Copy, message: Digests, out: Output) -> None:
        copy.wanted = set(copy.table.differing(message.leaves))
        copy.parts.clear()
        copy.next_part.clear()
        copy.at, copy.whole, copy.begun, copy.round = message.at, False, True, message.round
        self._mark(copy, out)
        out.send.append(
            (copy.owner, Wants(copy.owner, copy.epoch, copy.at, tuple(sorted(copy.wanted)), copy.round))
        )
        if not copy.wanted:
            self._ack(copy, out)

    def _ack(self, copy: Copy, out: Output) -> None:
        has = copy.begun and not copy.wanted and not copy.whole
        out.send.append((copy.owner, Ack(copy.owner, copy.epoch, copy.at, copy.whole, has, copy.round)))

    def _anew(self, copy: Copy, out: Output) -> None:
        copy.begun = False
        out.send.append((copy.owner, Digests(copy.owner, copy.epoch, copy.at, b"", copy.round)))

    def _append(self, copy: Copy, message: Append, out: Output) -> None:
        if not copy.begun and not copy.whole:
            self._anew(copy, out)
            return
        if message.first <= copy.at + 1:
            for number, batch in enumerate(message.batches, start=message.first):
                if number > copy.at:
                    for name, value in batch:
                        self._put(copy, name, number, value, out)
                    copy.at = number
            self._mark(copy, out)
        self._ack(copy, out)  # where something is missing: the owner goes on from there

    def _piece(self, copy: Copy, message: Piece, out: Output) -> None:
        where = message.range
        if not copy.begun:
            self._anew(copy, out)
        if not copy.begun or where not in copy.wanted or message.round != copy.round:
            return
        if message.part != copy.next_part.get(where, 0) or message.at > copy.at:
            if message.part != 0 or message.at > copy.at:  # a part, or what came before it, was lost
                self._anew(copy, out)
                return
            copy.parts.pop(where, None)  # told anew
        copy.next_part[where] = message.part + 1
        told = copy.parts.setdefault(where, {})
        told.update(message.entries)
        if not message.last:
            return
        del copy.parts[where], copy.next_part[where]
        copy.wanted.discard(where)
        for name in sorted(copy.table.ranges[where] - told.keys()):
            if copy.table.entries[name][0] <= message.at:
                self._put(copy, name, message.at, None, out)
        for name, value in told.items():
            if copy.number(name) <= message.at and copy.table.entries.get(name, (0, b""))[1] != value:
                self._put(copy, name, message.at, value, out)
        if not copy.wanted:
            self._ack(copy, out)

    def _check(self, copy: Copy, message: Check, out: Output) -> None:
        if not copy.begun and not copy.whole:
            self._anew(copy, out)
        if message.round != copy.round if copy.begun else not copy.whole:
            return
        if message.at != copy.at or copy.wanted:
            self._ack(copy, out)
        elif message.root == copy.table.root():
            copy.whole = True
            self._mark(copy, out)
            self._ack(copy, out)
        else:
            self._anew(copy, out)

    def _rest(self, sender: str, message: Gather, out: Output) -> None:
        """To a successor, once this agent has applied its word: what it has behind that one's copy."""
        copy = self.copies.get((message.owner, message.epoch))
        if copy is None:
            out.send.append((sender, Rest(message.owner, message.epoch, 0, (), True, False)))
            return
        if not copy.over:
            return  # the owner may still write here: the successor asks again
        part: list[tuple[str, int, bytes | None]] = []
        size = 0
        for name, number, value in copy.after(message.after):
            part.append((name, number, value))
            size += len(name) + len(value or b"")
            if size >= PART_BYTES:
                told = Rest(copy.owner, copy.epoch, copy.at, tuple(part), False, copy.whole)
                out.send.append((sender, told))
                part, size = [], 0
        out.send.append((sender, Rest(copy.owner, copy.epoch, copy.at, tuple(part), True, copy.whole)))
