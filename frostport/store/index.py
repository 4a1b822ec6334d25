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
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import google_crc32c

from frostport.store.files import Folder

log = logging.getLogger("frostport.store")

NAME = "index.db"
# The file is no promise: no sync, and a journal only against a process that dies in the middle.
PRAGMAS = ("page_size=1024", "journal_mode=TRUNCATE", "synchronous=OFF", "locking_mode=EXCLUSIVE",
           "mmap_size=0", "cell_size_check=ON")
TABLES = (
    "CREATE TABLE IF NOT EXISTS live (key TEXT PRIMARY KEY, sequence INTEGER, segment INTEGER,"
    " offset INTEGER, size INTEGER) WITHOUT ROWID",
    "CREATE TABLE IF NOT EXISTS point (one INTEGER PRIMARY KEY, store INTEGER, sequence INTEGER,"
    " segment INTEGER, offset INTEGER, count INTEGER, digest INTEGER, crc INTEGER)")


class Place(NamedTuple):
    """Where a live record stands."""

    sequence: int
    segment: int
    offset: int
    size: int


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


def grain(key: str, sequence: int) -> int:
    """One record's part of the digest, which is the sum of them all."""
    return int(google_crc32c.value(b"%d %b" % (sequence, key.encode())))


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

    def load(self, store: int) -> tuple[Point, dict[str, Place]] | None:
        """The last checkpoint with its rows, if they agree with each other."""
        if self.database is None:
            return None
        try:
            row = self.database.execute(
                "SELECT store, sequence, segment, offset, count, digest, crc FROM point").fetchone()
            if row is None:
                return None
            if not all(isinstance(value, int) for value in row):
                raise ValueError("the checkpoint's row is damaged")
            point = Point(*row[:6])
            rows: dict[str, Place] = {}
            total = 0
            for key, *place in self.database.execute("SELECT key, sequence, segment, offset, size FROM live"):
                if not isinstance(key, str) or not all(isinstance(value, int) for value in place):
                    raise ValueError("a row is damaged")
                rows[key] = Place(*place)
                total += grain(key, place[0])
            if row[6] != point.crc() or point.store != store or point.count != len(rows) \
                    or point.digest != total:
                raise ValueError("rows and digest differ")
        except (sqlite3.Error, ValueError, OSError, OverflowError) as problem:
            self.lose(f"in doubt, made again from the log: {problem}")
            return None
        return point, rows

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
            self.database.execute("INSERT OR REPLACE INTO point VALUES (1, ?, ?, ?, ?, ?, ?, ?)",
                                  (*point.fields(), point.crc()))
            self.database.execute("COMMIT")
            self.writing = False
            self.folder.committed(NAME, self.database)
        except (sqlite3.Error, OSError, ValueError) as problem:
            self.lose(f"not written: {problem}")

    def replace(self, rows: Mapping[str, Place], point: Point) -> None:
        """All of it anew, after a restart that could not use it."""
        if self.database is None:
            self.open()
        self.write((key, place) for key, place in rows.items())
        self.finish(point)

    def close(self) -> None:
        database, self.database, self.writing = self.database, None, False
        if database is not None:
            try:
                database.close()
            except sqlite3.Error as problem:
                log.warning("store: %s: not closed: %s", NAME, problem)
