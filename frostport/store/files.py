"""The file layer: all that the engine asks of a folder, small enough to be replaced by a stand-in in
tests."""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
import sqlite3
from typing import Protocol

from frostport.store.errors import LockedError


class File(Protocol):
    """One open file. Every method may raise OSError; after one from `append`, a part may have been
    written."""

    def append(self, data: bytes) -> None: ...

    def write_at(self, offset: int, data: bytes) -> None: ...

    def read_at(self, offset: int, size: int) -> bytes:
        """Up to `size` bytes; fewer only at the end of the file."""

    def size(self) -> int: ...

    def truncate(self, size: int) -> None: ...

    def sync(self) -> None:
        """Everything written so far is durable once this returns; if it raises, nothing is known of it."""

    def close(self) -> None: ...


class Folder(Protocol):
    """One flat folder of files."""

    def names(self) -> set[str]: ...

    def open(self, name: str, create: bool = False) -> File: ...

    def replace(self, old: str, new: str) -> None:
        """Gives a file another's name, atomically; durable after `sync`."""

    def remove(self, name: str) -> None: ...

    def sync(self) -> None:
        """The names themselves are durable."""

    def lock(self) -> None:
        """Raises LockedError where another process holds it; held until `unlock` or the process's end."""

    def unlock(self) -> None: ...

    def database(self, name: str) -> sqlite3.Connection:
        """The index file, opened by its library."""

    def committed(self, name: str, database: sqlite3.Connection) -> None:
        """The index file has been written to."""


class DiskFile:
    """A file of the system, by its descriptor: no buffer but the system's own."""

    def __init__(self, path: pathlib.Path, create: bool) -> None:
        self._number = os.open(path, os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT if create else 0), 0o640)
        self._end = os.fstat(self._number).st_size

    def append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:  # guards against short writes: what is missing is written, or an error says why not
            done = os.pwrite(self._number, view, self._end)
            self._end += done
            view = view[done:]

    def write_at(self, offset: int, data: bytes) -> None:
        if os.pwrite(self._number, data, offset) != len(data):
            raise OSError(5, "short write")
        self._end = max(self._end, offset + len(data))

    def read_at(self, offset: int, size: int) -> bytes:
        parts = []
        while size > 0 and (part := os.pread(self._number, size, offset)):
            parts.append(part)
            offset, size = offset + len(part), size - len(part)
        return b"".join(parts)

    def size(self) -> int:
        return self._end

    def truncate(self, size: int) -> None:
        os.ftruncate(self._number, size)
        self._end = size

    def sync(self) -> None:
        os.fdatasync(self._number)

    def close(self) -> None:
        if self._number >= 0:
            os.close(self._number)
            self._number = -1


class DiskFolder:
    """A folder of the system; made if it is not there."""

    LOCK = "lock"

    def __init__(self, path: pathlib.Path, make: bool = True) -> None:
        self.path = path
        if make:
            path.mkdir(mode=0o750, parents=True, exist_ok=True)
        self._lock = -1

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
        number = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def lock(self) -> None:
        number = os.open(self.path / self.LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(number, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(number)
            raise LockedError(f"{self.path / self.LOCK}: another process writes to this store") from None
        self._lock = number

    def unlock(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def database(self, name: str) -> sqlite3.Connection:
        return sqlite3.connect(self.path / name, isolation_level=None, check_same_thread=False)

    def committed(self, name: str, database: sqlite3.Connection) -> None:
        pass  # the library has written the file itself
