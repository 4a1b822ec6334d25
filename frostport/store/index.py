"""The index on disk: where each live record stands, in SQLite. It is never trusted.

It only spares a restart the reading of the whole log. Beside the rows stand their number and a digest over
all of
them; what differs from it, can't be read, or points to what is not in the log, costs the index, not the
store:
it is made again from the log.
"""

from __future__ import annotations

import logging
import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass

import google_crc32c

from frostport.store.files import Folder

log = logging.getLogger("frostport.store")

NAME = "index.db"
# The file is no promise: no sync, and a journal only against a process that dies in the middle.
PRAGMAS = (
    "page_size=1024",
    "journal_mode=TRUNCATE",
    "synchronous=OFF",
    "locking_mode=EXCLUSIVE",
    "mmap_size=0",
    "cell_size_check=ON",
)
TABLES = (
    "CREATE TABLE IF NOT EXISTS live (key TEXT PRIMARY KEY, sequence INTEGER, segment INTEGER,"
    " offset INTEGER, size INTEGER) WITHOUT ROWID",
    "CREATE TABLE IF NOT EXISTS point (one INTEGER PRIMARY KEY, store INTEGER, sequence INTEGER,"
    " segment INTEGER, offset INTEGER, count INTEGER, digest TEXT, crc INTEGER)",
)


# Where a live record stands: sequence, segment, offset, size. A plain tuple, which the collector of cycles
# lets
# alone: a hundred thousand objects of any other kind would be looked through, at a stall, again and again.
Place = tuple[int, int, int, int]
SEQUENCE, SEGMENT, OFFSET, SIZE = range(4)


@dataclass(frozen=True, slots=True)
class Point:
    """What a checkpoint covers: all records up to `sequence`; the next frame is at `offset` of `segment`."""

    store: int
    sequence: int
    segment: int
    offset: int
    count: int
    digest: int

    def fields(self) -> tuple[int, ...]:
        return self.store, self.sequence, self.segment, self.offset, self.count, self.digest

    def crc(self) -> int:
        return int(google_crc32c.value(repr(self.fields()).encode()))


def grain(sequence: int) -> int:
    """One record's part of the digest, which is the sum of them all.

    The sequence stands for the record: that it is the key's is checked where the log is read."""
    return sequence * sequence


class Index:
    """Owns the database. No method raises: an index that fails is left, and the store goes on without."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.database: sqlite3.Connection | None = None
        self.writing = False

    def open(self) -> None:
        try:
            self.database = self.folder.database(NAME)
            for pragma in PRAGMAS:
                self.database.execute(f"PRAGMA {pragma}")
            for table in TABLES:
                self.database.execute(table)
        except (sqlite3.Error, OSError, ValueError) as problem:
            self.lose(f"not usable: {problem}")

    def lose(self, why: str) -> None:
        """Throws the file away, to be made anew."""
        log.warning("store: %s: %s", NAME, why)
        self.close()
        for name in (NAME, f"{NAME}-journal"):
            try:
                self.folder.remove(name)
            except OSError as problem:
                log.warning("store: %s: not removed: %s", name, problem)

    def point(self, store: int) -> Point | None:
        """What the last checkpoint says of itself, its rows not yet looked at."""
        if self.database is None:
            return None
        try:
            row = self.database.execute(
                "SELECT store, sequence, segment, offset, count, digest, crc FROM point"
            ).fetchone()
            if row is None:
                return None
            # The digest outgrows SQLite's integers, and is kept as text.
            if not all(isinstance(value, int) for value in (*row[:5], row[6])) or not isinstance(row[5], str):
                raise ValueError("the checkpoint's row is damaged")
            written, sequence, segment, offset, count, digest, crc = row
            point = Point(written, sequence, segment, offset, count, int(digest))
            if crc != point.crc() or written != store:
                raise ValueError("the checkpoint is damaged, or another store's")
        except (sqlite3.Error, ValueError, OSError, OverflowError) as problem:
            self.lose(f"in doubt, made again from the log: {problem}")
            return None
        return point

    def rows(self, point: Point) -> dict[str, Place] | None:
        """The rows of a checkpoint, if they agree with it."""
        if self.database is None:
            return None
        try:
            rows: dict[str, Place] = {}
            total = 0
            for key, sequence, segment, offset, size in self.database.execute(
                "SELECT key, sequence, segment, offset, size FROM live"
            ):
                if not isinstance(key, str) or not isinstance(sequence, int):
                    raise ValueError("a row is damaged")
                rows[key] = (sequence, segment, offset, size)
                total += grain(sequence)
            if point.count != len(rows) or point.digest != total:
                raise ValueError("rows and digest differ")
        except (sqlite3.Error, ValueError, OSError, OverflowError) as problem:
            self.lose(f"in doubt, made again from the log: {problem}")
            return None
        return rows

    def write(self, rows: Iterable[tuple[str, Place | None]]) -> None:
        """A part of a checkpoint; nothing of it holds before `finish`."""
        if self.database is None:
            return
        try:
            if not self.writing:
                self.database.execute("BEGIN")
                self.writing = True
            gone, there = [], []
            for key, place in rows:
                if place is None:
                    gone.append((key,))
                else:
                    there.append((key, *place))
            self.database.executemany("DELETE FROM live WHERE key = ?", gone)
            self.database.executemany("INSERT OR REPLACE INTO live VALUES (?, ?, ?, ?, ?)", there)
        except (sqlite3.Error, OSError, ValueError) as problem:
            self.lose(f"not written: {problem}")

    def finish(self, point: Point) -> None:
        if self.database is None:
            return
        try:
            if not self.writing:
                self.database.execute("BEGIN")
            self.database.execute(
                "INSERT OR REPLACE INTO point VALUES (1, ?, ?, ?, ?, ?, ?, ?)",
                (*point.fields()[:5], str(point.digest), point.crc()),
            )
            self.database.execute("COMMIT")
            self.writing = False
            self.folder.committed(NAME, self.database)
        except (sqlite3.Error, OSError, ValueError) as problem:
            self.lose(f"not written: {problem}")

    def close(self) -> None:
        database, self.database, self.writing = self.database, None, False
        if database is not None:
            try:
                database.close()
            except sqlite3.Error as problem:
                log.warning("store: %s: not closed: %s", NAME, problem)
