"""The index on disk, in SQLite: the location of each live record. It is never trusted.

It only saves reading the whole log at a restart. The number of its rows and a digest over them are stored
with it. If they don't match, if the file can't be read, or if a row points to a record that is not in the
log, the index is discarded and rebuilt from the log; the store itself is not affected.
"""

from __future__ import annotations

import logging
import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass

import google_crc32c

from frostport.store.files import Folder

log = logging.getLogger("frostport.store")

FILE_NAME = "index.db"
# The index need not survive a crash of the system, so nothing is synced. The journal only covers a process
# that ends in the middle of a transaction.
PRAGMAS = (
    "page_size=1024",
    "journal_mode=TRUNCATE",
    "synchronous=OFF",
    "locking_mode=EXCLUSIVE",
    "mmap_size=0",
    "cell_size_check=ON",
)
# `live` has a row for each live record; `point` has one row, the checkpoint that they belong to.
TABLES = (
    "CREATE TABLE IF NOT EXISTS live (key TEXT PRIMARY KEY, sequence INTEGER, segment INTEGER,"
    " offset INTEGER, size INTEGER) WITHOUT ROWID",
    "CREATE TABLE IF NOT EXISTS point (one INTEGER PRIMARY KEY, store INTEGER, sequence INTEGER,"
    " segment INTEGER, offset INTEGER, count INTEGER, digest TEXT, crc INTEGER)",
)


# The location of a live record: sequence, segment, offset, size. A plain tuple of integers, which the garbage
# collector stops tracking: it would traverse a hundred thousand objects of any other type again and again,
# and hold up the process.
Location = tuple[int, int, int, int]
SEQUENCE, SEGMENT, OFFSET, SIZE = range(4)


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """What a checkpoint covers: all records up to `sequence`; the next frame is at `offset` of `segment`."""

    store_id: int
    sequence: int
    segment: int
    offset: int
    count: int
    digest: int

    def fields(self) -> tuple[int, ...]:
        """Returns all fields, in the order that the CRC covers."""
        return self.store_id, self.sequence, self.segment, self.offset, self.count, self.digest

    def crc(self) -> int:
        """Returns the CRC-32C over the fields, as text; it is stored with them."""
        return int(google_crc32c.value(repr(self.fields()).encode()))


def digest_term(sequence: int) -> int:
    """Returns one record's term of the digest, which is the sum of all terms.

    The sequence number stands for the record: reading the log verifies that it belongs to the key."""
    return sequence * sequence


class Index:
    """Owns the database. No method raises: if the index fails, it is closed and the store runs without it."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.database: sqlite3.Connection | None = None
        self.in_transaction = False

    def open(self) -> None:
        """Opens the database and creates its tables; discards the file if that fails."""
        try:
            self.database = self.folder.database(FILE_NAME)
            for pragma in PRAGMAS:
                self.database.execute(f"PRAGMA {pragma}")
            for table in TABLES:
                self.database.execute(table)
        except (sqlite3.Error, OSError, ValueError) as problem:
            self.discard(f"can't open the index, deleting it: {problem}")

    def discard(self, reason: str) -> None:
        """Closes and deletes the index file; a later checkpoint or start creates it again."""
        log.warning("store: %s: %s", FILE_NAME, reason)
        self.close()
        for name in (FILE_NAME, f"{FILE_NAME}-journal"):
            try:
                self.folder.remove(name)
            except OSError as problem:
                log.warning("store: %s: can't delete the file: %s", name, problem)

    def checkpoint(self, store_id: int) -> Checkpoint | None:
        """Returns the last checkpoint as it is stored; its rows are not verified yet."""
        if self.database is None:
            return None
        try:
            row = self.database.execute(
                "SELECT store, sequence, segment, offset, count, digest, crc FROM point"
            ).fetchone()
            if row is None:
                return None
            # The digest exceeds SQLite's 64-bit integers and is stored as text.
            if not all(isinstance(value, int) for value in (*row[:5], row[6])) or not isinstance(row[5], str):
                raise ValueError("a column of the checkpoint has an unexpected type")
            found_store_id, sequence, segment, offset, count, digest, crc = row
            checkpoint = Checkpoint(found_store_id, sequence, segment, offset, count, int(digest))
            if crc != checkpoint.crc() or found_store_id != store_id:
                raise ValueError(
                    "the checkpoint fails its checksum or belongs to another store: "
                    f"found store id {found_store_id}, expected {store_id}"
                )
        except (sqlite3.Error, ValueError, OSError, OverflowError) as problem:
            self.discard(f"damaged, rebuilding the index from the log: {problem}")
            return None
        return checkpoint

    def rows(self, checkpoint: Checkpoint) -> dict[str, Location] | None:
        """Returns the rows of a checkpoint, or None if they don't agree with its count and digest."""
        if self.database is None:
            return None
        try:
            rows: dict[str, Location] = {}
            total = 0
            for key, sequence, segment, offset, size in self.database.execute(
                "SELECT key, sequence, segment, offset, size FROM live"
            ):
                if not isinstance(key, str) or not isinstance(sequence, int):
                    raise ValueError("the key or sequence number of a row has an unexpected type")
                rows[key] = (sequence, segment, offset, size)
                total += digest_term(sequence)
            if checkpoint.count != len(rows) or checkpoint.digest != total:
                raise ValueError(
                    f"the rows don't match the checkpoint: found {len(rows)} rows with digest {total}, "
                    f"expected {checkpoint.count} with {checkpoint.digest}"
                )
        except (sqlite3.Error, ValueError, OSError, OverflowError) as problem:
            self.discard(f"damaged, rebuilding the index from the log: {problem}")
            return None
        return rows

    def write(self, rows: Iterable[tuple[str, Location | None]]) -> None:
        """Writes a part of a checkpoint; none of it takes effect before `commit`."""
        if self.database is None:
            return
        try:
            if not self.in_transaction:
                self.database.execute("BEGIN")
                self.in_transaction = True
            deleted = []
            live = []
            for key, location in rows:
                if location is None:
                    deleted.append((key,))
                else:
                    live.append((key, *location))
            self.database.executemany("DELETE FROM live WHERE key = ?", deleted)
            self.database.executemany("INSERT OR REPLACE INTO live VALUES (?, ?, ?, ?, ?)", live)
        except (sqlite3.Error, OSError, ValueError) as problem:
            self.discard(f"can't write a checkpoint, running without the index: {problem}")

    def commit(self, checkpoint: Checkpoint) -> None:
        """Stores the checkpoint itself and commits its rows."""
        if self.database is None:
            return
        try:
            if not self.in_transaction:
                self.database.execute("BEGIN")
            self.database.execute(
                "INSERT OR REPLACE INTO point VALUES (1, ?, ?, ?, ?, ?, ?, ?)",
                (*checkpoint.fields()[:5], str(checkpoint.digest), checkpoint.crc()),
            )
            self.database.execute("COMMIT")
            self.in_transaction = False
            self.folder.committed(FILE_NAME, self.database)
        except (sqlite3.Error, OSError, ValueError) as problem:
            self.discard(f"can't write a checkpoint, running without the index: {problem}")

    def close(self) -> None:
        """Closes the database; rows that are not committed are lost. The file stays."""
        database = self.database
        self.database = None
        self.in_transaction = False
        if database is not None:
            try:
                database.close()
            except sqlite3.Error as problem:
                log.warning("store: %s: can't close the database: %s", FILE_NAME, problem)
