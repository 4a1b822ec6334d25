"""The file layer: all operations that the engine needs of a folder, few enough to be replaced by a fake in
tests.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
import sqlite3
from typing import Protocol

from frostport.store.errors import LockedError


class File(Protocol):
    """One open file. Every method may raise OSError."""

    def append(self, data: bytes) -> None:
        """Writes all of `data` at the end of the file. If it raises, a part may have been written."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Overwrites the bytes from `offset` on, and extends the file if they reach beyond its end."""

    def read_at(self, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes; fewer only at the end of the file."""

    def size(self) -> int:
        """Returns the size in bytes, including what is not synced yet."""

    def truncate(self, size: int) -> None:
        """Cuts the file to `size` bytes; the next `append` continues there."""

    def sync(self) -> None:
        """Makes everything written so far durable. If it raises, nothing is known about what is on disk."""

    def close(self) -> None:
        """Closes the file without a sync. A further call does nothing."""


class Folder(Protocol):
    """One folder of files, without sub-folders. Every method may raise OSError."""

    def names(self) -> set[str]:
        """Returns the names of all files."""

    def open(self, name: str, create: bool = False) -> File:
        """Opens a file for reading and writing.

        If there is none it is created with `create`, else FileNotFoundError is raised."""

    def replace(self, old: str, new: str) -> None:
        """Renames a file atomically, replacing a file of the new name; durable after `sync`."""

    def remove(self, name: str) -> None:
        """Deletes a file, if it exists; durable after `sync`."""

    def sync(self) -> None:
        """Makes the creation, renaming and removal of files durable."""

    def lock(self) -> None:
        """Raises LockedError if another process holds the lock. It is held until `unlock` or the process's
        end."""

    def unlock(self) -> None:
        """Releases the lock. Does nothing if it is not held here."""

    def database(self, name: str) -> sqlite3.Connection:
        """Opens the index file with SQLite."""

    def committed(self, name: str, database: sqlite3.Connection) -> None:
        """Called after each commit to the index file, for a fake that keeps its files in memory."""


class DiskFile:
    """A file on disk, accessed through its descriptor and not buffered in the process."""

    def __init__(self, path: pathlib.Path, create: bool) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT if create else 0), 0o640)
        self._end = os.fstat(self._descriptor).st_size

    def append(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:  # after a short write, writes the rest or raises the error that explains it
            written_bytes = os.pwrite(self._descriptor, remaining, self._end)
            self._end += written_bytes
            remaining = remaining[written_bytes:]

    def write_at(self, offset: int, data: bytes) -> None:
        if os.pwrite(self._descriptor, data, offset) != len(data):
            raise OSError(5, "short write")
        self._end = max(self._end, offset + len(data))

    def read_at(self, offset: int, size: int) -> bytes:
        parts = []
        while size > 0 and (part := os.pread(self._descriptor, size, offset)):
            parts.append(part)
            offset = offset + len(part)
            size = size - len(part)
        return b"".join(parts)

    def size(self) -> int:
        return self._end

    def truncate(self, size: int) -> None:
        os.ftruncate(self._descriptor, size)
        self._end = size

    def sync(self) -> None:
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class DiskFolder:
    """A folder on disk, created with its parents if it does not exist, unless `make` is false."""

    LOCK_NAME = "lock"

    def __init__(self, path: pathlib.Path, make: bool = True) -> None:
        self.path = path
        if make:
            path.mkdir(mode=0o750, parents=True, exist_ok=True)
        self._lock_descriptor = -1  # -1: the lock is not held

    def names(self) -> set[str]:
        return {entry.name for entry in os.scandir(self.path) if entry.is_file()}

    def open(self, name: str, create: bool = False) -> DiskFile:
        return DiskFile(self.path / name, create)

    def replace(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path / name)

    def sync(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self) -> None:
        descriptor = os.open(self.path / self.LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise LockedError(f"{self.path / self.LOCK_NAME}: another process writes to this store") from None
        self._lock_descriptor = descriptor

    def unlock(self) -> None:
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def database(self, name: str) -> sqlite3.Connection:
        return sqlite3.connect(self.path / name, isolation_level=None, check_same_thread=False)

    def committed(self, name: str, database: sqlite3.Connection) -> None:
        pass  # SQLite has written the file itself
