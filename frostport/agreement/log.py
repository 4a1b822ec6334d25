"""The log of one agent: entries after a snapshot, and the records that make them durable.

Every method that changes something returns the records to write, which the caller makes durable before
anything that rests on them is said.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import google_crc32c
import msgspec

from frostport.agreement.messages import Base, Entry, Voters

Change = tuple[str, bytes | None]

META, BASE, ENTRY, SNAPSHOT = "raft/meta", "raft/base", "raft/log/", "raft/snapshot/"
CHUNK = 64 * 1024  # bytes of a snapshot in one record
VOTERS = "voters"

_encoder = msgspec.msgpack.Encoder()
_entry = msgspec.msgpack.Decoder(Entry)
_base = msgspec.msgpack.Decoder(Base)
_voters = msgspec.msgpack.Decoder(Voters)


class BadLogError(ValueError):
    """The records of a log don't fit together: it may not be used."""


def check(data: bytes) -> int:
    return int(google_crc32c.value(data))


class Log:
    """Raises BadLogError where the records found are no log."""

    def __init__(self, found: Mapping[str, bytes]) -> None:
        self.base = _base.decode(found[BASE]) if BASE in found else Base(0, 0, {}, 0, check(b""))
        parts = sorted(key for key in found if key.startswith(SNAPSHOT))
        self.snapshot = b"".join(found[key] for key in parts)
        if len(self.snapshot) != self.base.size or check(self.snapshot) != self.base.check:
            raise BadLogError("its snapshot is not whole")
        self.entries = [_entry.decode(found[key]) for key in sorted(found) if key.startswith(ENTRY)]
        for number, entry in enumerate(self.entries):
            if entry.index != self.base.index + 1 + number:
                raise BadLogError(f"entry {entry.index} stands where {self.base.index + 1 + number} should")

    @property
    def last_index(self) -> int:
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base.term

    def term_at(self, index: int) -> int | None:
        """None where the log does not (or no longer) tell."""
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last_index:
            return self.entries[index - self.base.index - 1].term
        return None

    def after(self, index: int, upto: int, most_bytes: int) -> tuple[Entry, ...]:
        """Entries after an index, at least one if there is any, up to about so many bytes."""
        found: list[Entry] = []
        for entry in self.entries[index - self.base.index : upto - self.base.index]:
            if found and most_bytes < len(entry.data) + 64:
                break
            most_bytes -= len(entry.data) + 64
            found.append(entry)
        return tuple(found)

    def voters(self, upto: int | None = None) -> tuple[Voters, int]:
        """The latest voters in the log, committed or not (thesis, 4.1), and their entry's index."""
        for entry in reversed(self.entries):
            if entry.kind == VOTERS and (upto is None or entry.index <= upto):
                return _voters.decode(entry.data), entry.index
        return self.base.voters, self.base.index

    # Changes

    def append(self, entries: Sequence[Entry]) -> list[Change]:
        self.entries.extend(entries)
        return [(key(entry.index), _encoder.encode(entry)) for entry in entries]

    def cut(self, index: int) -> list[Change]:
        """Removes the entries from an index on."""
        gone = self.entries[index - self.base.index - 1 :]
        del self.entries[index - self.base.index - 1 :]
        return [(key(entry.index), None) for entry in gone]

    def compact(self, index: int, snapshot: bytes) -> list[Change]:
        """A snapshot takes the place of all up to an index, which the log still holds."""
        term = self.term_at(index)
        assert term is not None
        voters, _ = self.voters(index)
        gone, self.entries = self.entries[: index - self.base.index], self.entries[index - self.base.index :]
        return self._rebase(Base(index, term, voters, len(snapshot), check(snapshot)), snapshot, gone)

    def install(self, base: Base, snapshot: bytes) -> list[Change]:
        """Another's snapshot takes the place of the whole log, or of what it covers of it."""
        agrees = self.term_at(base.index) == base.term
        cut = base.index - self.base.index if agrees else len(self.entries)
        gone, self.entries = self.entries[:cut], self.entries[cut:]
        return self._rebase(base, snapshot, gone)

    def _rebase(self, base: Base, snapshot: bytes, gone: Sequence[Entry]) -> list[Change]:
        before = -(-self.base.size // CHUNK)
        self.base, self.snapshot = base, snapshot
        changes: list[Change] = [(key(entry.index), None) for entry in gone]
        parts = -(-base.size // CHUNK)
        changes += [
            (f"{SNAPSHOT}{number:08x}", snapshot[number * CHUNK : (number + 1) * CHUNK])
            for number in range(parts)
        ]
        changes += [(f"{SNAPSHOT}{number:08x}", None) for number in range(parts, before)]
        changes.append((BASE, _encoder.encode(base)))
        return changes


def key(index: int) -> str:
    return f"{ENTRY}{index:016x}"
