"""The holder's side: copies of other agents' streams, one for each epoch. Pure logic, without I/O.

`handle(message)` returns what to write and what to send; nothing may be sent before the writes are
durable. Invariants: the copy of an ended epoch no longer changes (R5); a copy is reported as verified only
after its digest matched the owner's after the same batch (R4); confirmed records are kept until the agreed
log allows their deletion (R3).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from frostport.replication.messages import (
    Ack,
    Append,
    Digests,
    GatherRequest,
    Message,
    RangePart,
    RangesWanted,
    Refused,
    Remainder,
    Verify,
)
from frostport.replication.reconciliation import DigestTable

MAX_TOMBSTONES = 4000  # deletions remembered in each copy; the oldest are dropped first
REMAINDER_PART_BYTES = 256 * 1024  # size of one part sent to a successor
# Prefixes of storage keys
RECORD_PREFIX = "copy/"
PROGRESS_PREFIX = "copies/"
SEPARATOR = "\0"


class CopyProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far a copy has come, as it is stored."""

    batch_number: int
    verified: bool


class StoredRecord(msgspec.Struct, array_like=True, frozen=True):
    """One record of a copy, as it is stored; `value` None: a tombstone."""

    number: int
    value: bytes | None


_progress_decoder = msgspec.msgpack.Decoder(CopyProgress)
_record_decoder = msgspec.msgpack.Decoder(StoredRecord)
encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class StreamCopy:
    """The copy of one stream."""

    owner: str
    epoch: int
    table: DigestTable = field(default_factory=DigestTable)
    batch_number: int = 0
    verified: bool = False
    ended: bool = False
    missing_ranges: set[int] = field(default_factory=set)  # ranges not received yet
    partial_ranges: dict[int, dict[str, bytes]] = field(default_factory=dict)  # entries of incomplete ranges
    next_part: dict[int, int] = field(default_factory=dict)
    # numbers of deletions, oldest first
    tombstones: OrderedDict[str, int] = field(default_factory=OrderedDict)
    digests_received: bool = False  # since this process started
    round: int = 0  # of those digests

    def last_write_number(self, name: str) -> int:
        """Returns the number of a key's last write, 0 if it is unknown."""
        entry = self.table.entries.get(name)
        return entry[0] if entry is not None else self.tombstones.get(name, 0)

    def written_after(self, number: int) -> list[tuple[str, int, bytes | None]]:
        """Returns all writes after a batch: keys, numbers, values."""
        found: list[tuple[str, int, bytes | None]] = [
            (name, batch_number, value)
            for name, (batch_number, value) in self.table.entries.items()
            if batch_number > number
        ]
        return found + [
            (name, batch_number, None)
            for name, batch_number in self.tombstones.items()
            if batch_number > number
        ]

    def stream_key(self) -> str:
        """Returns the part of the storage keys that names the stream."""
        return f"{self.owner}{SEPARATOR}{self.epoch}"


@dataclass(slots=True)
class Output:
    """What to write, and what to send once it is durable."""

    writes: list[tuple[str, bytes | None]] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)


class Holder:
    """All copies held by one agent. `stored`: its records on disk."""

    def __init__(self, stored: Mapping[str, bytes]) -> None:
        self.copies: dict[tuple[str, int], StreamCopy] = {}
        self.min_epoch: dict[str, int] = {}  # by owner: all earlier epochs have ended
        for key, value in stored.items():
            if key.startswith(PROGRESS_PREFIX):
                progress = _progress_decoder.decode(value)
                copy = self._get_copy(*self._parse_stream_key(key[len(PROGRESS_PREFIX) :]))
                copy.batch_number = progress.batch_number
                copy.verified = progress.verified
            elif key.startswith(RECORD_PREFIX):
                owner, epoch, name = key[len(RECORD_PREFIX) :].split(SEPARATOR, 2)
                record = _record_decoder.decode(value)
                copy = self._get_copy(owner, int(epoch))
                copy.table.put(name, record.number, record.value)
                if record.value is None:
                    copy.tombstones[name] = record.number
        for copy in self.copies.values():
            copy.tombstones = OrderedDict(sorted(copy.tombstones.items(), key=lambda item: item[1]))

    @staticmethod
    def _parse_stream_key(name: str) -> tuple[str, int]:
        owner, _, epoch = name.rpartition(SEPARATOR)
        return owner, int(epoch)

    def _get_copy(self, owner: str, epoch: int) -> StreamCopy:
        return self.copies.setdefault((owner, epoch), StreamCopy(owner, epoch))

    # Decisions of the agreed log

    def end_epoch(self, owner: str, epoch: int) -> None:
        """Marks this epoch and all earlier ones of the owner as ended."""
        self.min_epoch[owner] = max(self.min_epoch.get(owner, 0), epoch + 1)
        for copy in self.copies.values():
            if copy.owner == owner and copy.epoch <= epoch:
                copy.ended = True

    def drop_copy(self, owner: str, epoch: int) -> Output:
        """Deletes a copy whose records are in another stream."""
        out = Output()
        copy = self.copies.pop((owner, epoch), None)
        if copy is not None:
            out.writes.append((PROGRESS_PREFIX + copy.stream_key(), None))
            out.writes += [
                (self._record_key(copy, name), None) for name in (*copy.table.entries, *copy.tombstones)
            ]
        return out

    # Messages of owners and successors

    def handle(self, sender: str, message: Message) -> Output:
        """Handles a message of an owner or a successor."""
        out = Output()
        match message:
            case GatherRequest():
                self._send_remainder(sender, message, out)
            case Append() | Digests() | RangePart() | Verify():
                if message.epoch < self.min_epoch.get(message.owner, 0):
                    out.messages.append((sender, Refused(message.owner, message.epoch)))
                elif sender == message.owner:
                    self._from_owner(message, out)
        return out

    def _from_owner(self, message: Append | Digests | RangePart | Verify, out: Output) -> None:
        owner = message.owner
        epoch = message.epoch
        copy = self.copies.get((owner, epoch))
        if copy is None:
            copy = self._get_copy(owner, epoch)
            self._copy_previous_epoch(copy, out)
        if copy.ended:
            out.messages.append((owner, Refused(owner, epoch)))
            return
        match message:
            case Digests():
                self._start_round(copy, message, out)
            case Append():
                self._apply_batches(copy, message, out)
            case RangePart():
                self._apply_part(copy, message, out)
            case Verify():
                self._verify(copy, message, out)

    def _copy_previous_epoch(self, copy: StreamCopy, out: Output) -> None:
        """Starts the copy of a new epoch from that of the owner's previous epoch: most records are the
        same.

        The previous copy stays until the agreed log allows its deletion."""
        previous_copies = [
            other for other in self.copies.values() if other.owner == copy.owner and other.epoch < copy.epoch
        ]
        if previous_copies:
            for name, (_, value) in max(previous_copies, key=lambda other: other.epoch).table.entries.items():
                self._put_record(copy, name, 0, value, out)

    def _record_key(self, copy: StreamCopy, name: str) -> str:
        return f"{RECORD_PREFIX}{copy.stream_key()}{SEPARATOR}{name}"

    def _put_record(self, copy: StreamCopy, name: str, number: int, value: bytes | None, out: Output) -> None:
        copy.table.put(name, number, value)
        copy.tombstones.pop(name, None)
        if value is None:
            copy.tombstones[name] = number
            while len(copy.tombstones) > MAX_TOMBSTONES:
                out.writes.append((self._record_key(copy, copy.tombstones.popitem(last=False)[0]), None))
        out.writes.append((self._record_key(copy, name), encode(StoredRecord(number, value))))

    def _save_progress(self, copy: StreamCopy, out: Output) -> None:
        out.writes.append(
            (PROGRESS_PREFIX + copy.stream_key(), encode(CopyProgress(copy.batch_number, copy.verified)))
        )

    def _start_round(self, copy: StreamCopy, message: Digests, out: Output) -> None:
        copy.missing_ranges = set(copy.table.differing_ranges(message.leaves))
        copy.partial_ranges.clear()
        copy.next_part.clear()
        copy.batch_number = message.batch_number
        copy.verified = False
        copy.digests_received = True
        copy.round = message.round
        self._save_progress(copy, out)
        out.messages.append(
            (
                copy.owner,
                RangesWanted(
                    copy.owner, copy.epoch, copy.batch_number, tuple(sorted(copy.missing_ranges)), copy.round
                ),
            )
        )
        if not copy.missing_ranges:
            self._ack(copy, out)

    def _ack(self, copy: StreamCopy, out: Output) -> None:
        complete = copy.digests_received and not copy.missing_ranges and not copy.verified
        out.messages.append(
            (copy.owner, Ack(copy.owner, copy.epoch, copy.batch_number, copy.verified, complete, copy.round))
        )

    def _request_round(self, copy: StreamCopy, out: Output) -> None:
        copy.digests_received = False
        out.messages.append((copy.owner, Digests(copy.owner, copy.epoch, copy.batch_number, b"", copy.round)))

    def _apply_batches(self, copy: StreamCopy, message: Append, out: Output) -> None:
        if not copy.digests_received and not copy.verified:
            self._request_round(copy, out)
            return
        if message.first <= copy.batch_number + 1:
            for number, batch in enumerate(message.batches, start=message.first):
                if number > copy.batch_number:
                    for name, value in batch:
                        self._put_record(copy, name, number, value, out)
                    copy.batch_number = number
            self._save_progress(copy, out)
        self._ack(copy, out)  # if batches are missing, the owner continues from the acknowledged one

    def _apply_part(self, copy: StreamCopy, message: RangePart, out: Output) -> None:
        range_number = message.range_number
        if not copy.digests_received:
            self._request_round(copy, out)
        if (
            not copy.digests_received
            or range_number not in copy.missing_ranges
            or message.round != copy.round
        ):
            return
        if message.part != copy.next_part.get(range_number, 0) or message.batch_number > copy.batch_number:
            # A part, or an earlier message, was lost.
            if message.part != 0 or message.batch_number > copy.batch_number:
                self._request_round(copy, out)
                return
            copy.partial_ranges.pop(range_number, None)  # the owner sends the range again
        copy.next_part[range_number] = message.part + 1
        entries = copy.partial_ranges.setdefault(range_number, {})
        entries.update(message.entries)
        if not message.last:
            return
        del copy.partial_ranges[range_number], copy.next_part[range_number]
        copy.missing_ranges.discard(range_number)
        for name in sorted(copy.table.keys_by_range[range_number] - entries.keys()):
            if copy.table.entries[name][0] <= message.batch_number:
                self._put_record(copy, name, message.batch_number, None, out)
        for name, value in entries.items():
            if (
                copy.last_write_number(name) <= message.batch_number
                and copy.table.entries.get(name, (0, b""))[1] != value
            ):
                self._put_record(copy, name, message.batch_number, value, out)
        if not copy.missing_ranges:
            self._ack(copy, out)

    def _verify(self, copy: StreamCopy, message: Verify, out: Output) -> None:
        if not copy.digests_received and not copy.verified:
            self._request_round(copy, out)
        # A verified copy that was read from disk has no round yet: any round is accepted.
        if message.round != copy.round if copy.digests_received else not copy.verified:
            return
        if message.batch_number != copy.batch_number or copy.missing_ranges:
            self._ack(copy, out)
        elif message.root == copy.table.root():
            copy.verified = True
            self._save_progress(copy, out)
            self._ack(copy, out)
        else:
            self._request_round(copy, out)

    def _send_remainder(self, sender: str, message: GatherRequest, out: Output) -> None:
        """Answers a successor, once this agent has applied its command, with the writes that its copy
        lacks."""
        copy = self.copies.get((message.owner, message.epoch))
        if copy is None:
            out.messages.append((sender, Remainder(message.owner, message.epoch, 0, (), True, False)))
            return
        if not copy.ended:
            return  # the owner may still write to it: the successor asks again
        part: list[tuple[str, int, bytes | None]] = []
        size = 0
        for name, number, value in copy.written_after(message.after_batch):
            part.append((name, number, value))
            size += len(name) + len(value or b"")
            if size >= REMAINDER_PART_BYTES:
                remainder = Remainder(
                    copy.owner, copy.epoch, copy.batch_number, tuple(part), False, copy.verified
                )
                out.messages.append((sender, remainder))
                part = []
                size = 0
        out.messages.append(
            (sender, Remainder(copy.owner, copy.epoch, copy.batch_number, tuple(part), True, copy.verified))
        )
