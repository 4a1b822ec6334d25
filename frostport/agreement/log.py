"""The log of one agent: a snapshot, the entries after it, and the records that make both durable.

Each method that changes the log returns the records to write. The caller makes them durable before it sends a
message that depends on them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import google_crc32c
import msgspec

from frostport.agreement.messages import Entry, SnapshotMeta, Voters

Write = tuple[str, bytes | None]

META_KEY = "raft/meta"
BASE_KEY = "raft/base"
ENTRY_PREFIX = "raft/log/"
SNAPSHOT_PREFIX = "raft/snapshot/"
SNAPSHOT_RECORD_BYTES = 64 * 1024  # a snapshot is stored in records of this size
VOTERS_KIND = "voters"  # kind of the entries that set the voters

_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(Entry)
_base_decoder = msgspec.msgpack.Decoder(SnapshotMeta)
_voters_decoder = msgspec.msgpack.Decoder(Voters)


class BadLogError(ValueError):
    """The recovered records are not a consistent log, which must not be used."""


def crc32c(data: bytes) -> int:
    return int(google_crc32c.value(data))


class Log:
    """The constructor raises BadLogError if the recovered records are not a consistent log.

    Indexes count from 1; `snapshot_meta.index` is the last entry that the snapshot covers.
    """

    def __init__(self, records: Mapping[str, bytes]) -> None:
        self.snapshot_meta = (
            _base_decoder.decode(records[BASE_KEY])
            if BASE_KEY in records
            else SnapshotMeta(0, 0, {}, 0, crc32c(b""))
        )
        snapshot_keys = sorted(key for key in records if key.startswith(SNAPSHOT_PREFIX))
        self.snapshot = b"".join(records[key] for key in snapshot_keys)
        if (
            len(self.snapshot) != self.snapshot_meta.size_bytes
            or crc32c(self.snapshot) != self.snapshot_meta.checksum
        ):
            raise BadLogError(
                f"stored snapshot of {len(self.snapshot)} bytes does not match its metadata: expected "
                f"{self.snapshot_meta.size_bytes} bytes with CRC-32C {self.snapshot_meta.checksum:08x}"
            )
        self.entries = [
            _entry_decoder.decode(records[key]) for key in sorted(records) if key.startswith(ENTRY_PREFIX)
        ]
        for position, entry in enumerate(self.entries):
            if entry.index != self.snapshot_meta.index + 1 + position:
                raise BadLogError(
                    f"stored entries are not consecutive: found index {entry.index}, "
                    f"expected {self.snapshot_meta.index + 1 + position}"
                )

    @property
    def last_index(self) -> int:
        """Index of the last entry, which the snapshot may cover; 0 if the log is empty."""
        return self.snapshot_meta.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.snapshot_meta.term

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None if it is not in the log, or no longer in it."""
        if index == self.snapshot_meta.index:
            return self.snapshot_meta.term
        if self.snapshot_meta.index < index <= self.last_index:
            return self.entries[index - self.snapshot_meta.index - 1].term
        return None

    def entries_after(self, index: int, last_index: int, max_bytes: int) -> tuple[Entry, ...]:
        """Entries after `index` up to `last_index`, about `max_bytes` at most but one at least, if any.

        Counts 64 bytes for the fields of an entry other than its data."""
        selected: list[Entry] = []
        for entry in self.entries[index - self.snapshot_meta.index : last_index - self.snapshot_meta.index]:
            if selected and max_bytes < len(entry.data) + 64:
                break
            max_bytes -= len(entry.data) + 64
            selected.append(entry)
        return tuple(selected)

    def latest_voters(self, last_index: int | None = None) -> tuple[Voters, int]:
        """The latest voters in the log, committed or not (thesis, 4.1), and the index of their entry."""
        for entry in reversed(self.entries):
            if entry.kind == VOTERS_KIND and (last_index is None or entry.index <= last_index):
                return _voters_decoder.decode(entry.data), entry.index
        return self.snapshot_meta.voters, self.snapshot_meta.index

    # Changes: each returns the records to write

    def append(self, entries: Sequence[Entry]) -> list[Write]:
        """Appends entries, the first of which must have the index after `last_index`."""
        self.entries.extend(entries)
        return [(entry_key(entry.index), _encoder.encode(entry)) for entry in entries]

    def truncate_from(self, index: int) -> list[Write]:
        """Removes the entry at `index` and all after it."""
        removed = self.entries[index - self.snapshot_meta.index - 1 :]
        del self.entries[index - self.snapshot_meta.index - 1 :]
        return [(entry_key(entry.index), None) for entry in removed]

    def compact(self, index: int, snapshot: bytes) -> list[Write]:
        """Replaces the entries up to `index`, which must still be in the log, by a snapshot."""
        term = self.term_at(index)
        assert term is not None
        voters, _ = self.latest_voters(index)
        removed = self.entries[: index - self.snapshot_meta.index]
        self.entries = self.entries[index - self.snapshot_meta.index :]
        return self._replace_snapshot(
            SnapshotMeta(index, term, voters, len(snapshot), crc32c(snapshot)), snapshot, removed
        )

    def install(self, meta: SnapshotMeta, snapshot: bytes) -> list[Write]:
        """Replaces what another agent's snapshot covers, or the entire log if it differs at `meta.index`."""
        matches = self.term_at(meta.index) == meta.term
        covered = meta.index - self.snapshot_meta.index if matches else len(self.entries)
        removed = self.entries[:covered]
        self.entries = self.entries[covered:]
        return self._replace_snapshot(meta, snapshot, removed)

    def _replace_snapshot(self, meta: SnapshotMeta, snapshot: bytes, removed: Sequence[Entry]) -> list[Write]:
        old_record_count = -(-self.snapshot_meta.size_bytes // SNAPSHOT_RECORD_BYTES)
        self.snapshot_meta = meta
        self.snapshot = snapshot
        writes: list[Write] = [(entry_key(entry.index), None) for entry in removed]
        record_count = -(-meta.size_bytes // SNAPSHOT_RECORD_BYTES)
        writes += [
            (
                f"{SNAPSHOT_PREFIX}{number:08x}",
                snapshot[number * SNAPSHOT_RECORD_BYTES : (number + 1) * SNAPSHOT_RECORD_BYTES],
            )
            for number in range(record_count)
        ]
        writes += [
            (f"{SNAPSHOT_PREFIX}{number:08x}", None) for number in range(record_count, old_record_count)
        ]
        writes.append((BASE_KEY, _encoder.encode(meta)))
        return writes


def entry_key(index: int) -> str:
    """Storage key of an entry; its fixed width makes keys sort by index."""
    return f"{ENTRY_PREFIX}{index:016x}"
