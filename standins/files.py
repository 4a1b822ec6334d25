"""An in-memory folder with simulated power loss: unsynced data is lost, kept in part, or kept out of order.

`MemoryFolder.fail` scripts a fault: the number of operations until one raises, and the exception that it
raises.
"""

from __future__ import annotations

import random
import sqlite3
from collections.abc import Callable

from frostport.store.errors import LockedError

BLOCK_BYTES = 16  # the size in which unsynced data may be kept or lost
DATABASE = "\0database"


class PowerLostError(BaseException):
    """The machine has lost power. A BaseException, so that no handler for file errors catches it."""


class Inode:
    """A file's contents: the durable bytes, the current bytes, and the changes since the last sync."""

    def __init__(self, durable: bytes = b"") -> None:
        self.durable = durable
        self.current = bytearray(durable)
        # Each is a write (offset and data), or a truncation (the new size).
        self.pending: list[tuple[int, bytes] | int] = []

    def write(self, offset: int, data: bytes) -> None:
        """Writes at an offset; a gap before it is filled with zeros."""
        self.current[len(self.current) :] = bytes(max(0, offset - len(self.current)))
        self.current[offset : offset + len(data)] = data
        self.pending.append((offset, data))

    def truncate(self, size: int) -> None:
        del self.current[size:]
        self.pending.append(size)

    def sync(self) -> None:
        """Makes the current bytes durable."""
        self.durable = bytes(self.current)
        self.pending = []

    def after_power_loss(self, rng: random.Random) -> Inode:
        """The file as found after a power loss: with none or all of the unsynced changes, a prefix of them of
        which the last is torn, or any of their blocks."""
        outcome = rng.choice(("nothing", "all", "prefix", "blocks"))
        if outcome == "nothing":
            return Inode(self.durable)
        if outcome == "all":
            return Inode(bytes(self.current))
        kept = Inode(self.durable)
        changes = self.pending if outcome == "blocks" else self.pending[: rng.randint(0, len(self.pending))]
        for number, change in enumerate(changes):
            if isinstance(change, int):
                kept.truncate(change)
            elif outcome == "prefix":
                last = number == len(changes) - 1
                kept.write(change[0], change[1][: rng.randint(0, len(change[1])) if last else None])
            else:
                for at in range(0, len(change[1]), BLOCK_BYTES):
                    if rng.random() < 0.6:
                        kept.write(change[0] + at, change[1][at : at + BLOCK_BYTES])
        return Inode(bytes(kept.current))


class MemoryFile:
    """An open file of a `MemoryFolder`, with the interface of `frostport.store.files.DiskFile`."""

    def __init__(self, folder: MemoryFolder, name: str, inode: Inode) -> None:
        self.folder = folder
        self.name = name
        self.inode = inode

    def append(self, data: bytes) -> None:
        written_bytes = self.folder.begin_operation("append", self.name)
        end = len(self.inode.current)
        if written_bytes is not None:  # a scripted fault: part of the data is written all the same
            self.inode.write(end, data[: written_bytes(len(data))])
            raise self.folder.make_error()
        self.inode.write(end, data)

    def write_at(self, offset: int, data: bytes) -> None:
        written_bytes = self.folder.begin_operation("write", self.name)
        if written_bytes is not None:
            self.inode.write(offset, data[: written_bytes(len(data))])
            raise self.folder.make_error()
        self.inode.write(offset, data)

    def read_at(self, offset: int, size: int) -> bytes:
        return bytes(self.inode.current[offset : offset + size])

    def size(self) -> int:
        return len(self.inode.current)

    def truncate(self, size: int) -> None:
        if self.folder.begin_operation("truncate", self.name) is not None:
            raise self.folder.make_error()
        self.inode.truncate(size)

    def sync(self) -> None:
        if self.folder.begin_operation("sync", self.name) is not None:
            raise self.folder.make_error()
        self.inode.sync()

    def close(self) -> None:
        pass


class MemoryFolder:
    """A folder that can be made to fail at any operation and to lose power, with the interface of
    `frostport.store.files.DiskFolder`."""

    def __init__(self, files: dict[str, bytes] | None = None, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(0)
        self.inodes = {name: Inode(data) for name, data in (files or {}).items()}
        self.durable = dict(self.inodes)  # the directory entries as of the last sync
        # Unsynced changes of directory entries: old name, new name (None: removed), inode.
        self.renames: list[tuple[str, str | None, Inode | None]] = []
        self.operations = 0
        self.fails_at_operation = -1
        self.error = BaseException
        self.persistent = False
        self.locked = False
        self.log: list[str] = []  # each operation and its file

    # Faults

    def fail(self, after: int, make_error: Callable[[], BaseException], persistent: bool = False) -> None:
        """Makes the `after`th operation from now raise; if `persistent`, all following ones as well."""
        self.fails_at_operation = self.operations + after
        self._make_error = make_error
        self.persistent = persistent

    def begin_operation(self, what: str, name: str) -> Callable[[int], int] | None:
        """Counts an operation. Returns None if it shall succeed, otherwise a function from the size of its
        data to the number of bytes that are written before it fails."""
        self.operations += 1
        self.log.append(f"{what} {name}")
        if self.operations == self.fails_at_operation or (
            self.persistent and 0 <= self.fails_at_operation < self.operations
        ):
            return lambda size: self.rng.randint(0, size)
        return None

    def make_error(self) -> BaseException:
        """The exception of the scripted fault."""
        return self._make_error()

    def after_power_loss(self, rng: random.Random) -> MemoryFolder:
        """The folder as it is found if power is lost now."""
        found = MemoryFolder(rng=rng)
        names = dict(self.durable)
        kept = self.renames[: rng.randint(0, len(self.renames))]
        if rng.random() < 0.5:  # any subset: file systems do not promise to keep their order
            kept = [rename for rename in self.renames if rng.random() < 0.5]
        for old, new, inode in kept:
            names.pop(old, None)
            if new is not None and inode is not None:
                names[new] = inode
        found.inodes = {name: inode.after_power_loss(rng) for name, inode in names.items()}
        found.durable = dict(found.inodes)
        return found

    def after_kill(self) -> MemoryFolder:
        """The folder as it is found if only the process is killed: the system keeps all that was written."""
        return MemoryFolder(self.contents(), self.rng)

    def contents(self) -> dict[str, bytes]:
        """The current bytes of each file, durable or not."""
        return {name: bytes(inode.current) for name, inode in self.inodes.items()}

    # The interface that the engine uses

    def names(self) -> set[str]:
        return set(self.inodes)

    def open(self, name: str, create: bool = False) -> MemoryFile:
        """Opens a file. Raises FileNotFoundError if it does not exist, unless `create` is set."""
        if name not in self.inodes:
            if not create:
                raise FileNotFoundError(2, "no such file", name)
            if self.begin_operation("create", name) is not None:
                raise self.make_error()
            self.inodes[name] = Inode()
            self.renames.append((name, name, self.inodes[name]))
        return MemoryFile(self, name, self.inodes[name])

    def replace(self, old: str, new: str) -> None:
        """Renames a file over another one; durable only after `sync`."""
        if self.begin_operation("replace", new) is not None:
            raise self.make_error()
        self.inodes[new] = self.inodes.pop(old)
        self.renames.append((old, new, self.inodes[new]))

    def remove(self, name: str) -> None:
        """Removes a file if it exists; durable only after `sync`."""
        if name in self.inodes:
            if self.begin_operation("remove", name) is not None:
                raise self.make_error()
            del self.inodes[name]
            self.renames.append((name, None, None))

    def sync(self) -> None:
        """Makes the directory entries durable; the contents of files need their own `sync`."""
        if self.begin_operation("sync", ".") is not None:
            raise self.make_error()
        self.durable = dict(self.inodes)
        self.renames = []

    def lock(self) -> None:
        """Locks the folder. Raises LockedError if it is locked already."""
        if self.locked:
            raise LockedError("lock: another process writes to this store")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def database(self, name: str) -> sqlite3.Connection:
        """The index database in memory, loaded from the image that was last committed."""
        database = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        if name in self.inodes and self.inodes[name].current:
            database.deserialize(bytes(self.inodes[name].current))
        return database

    def committed(self, name: str, database: sqlite3.Connection) -> None:
        """Stores the image of an index database that has just committed."""
        file = self.open(name, create=True)
        if self.begin_operation("image", name) is not None:
            raise self.make_error()
        file.inode.truncate(0)
        file.inode.write(0, database.serialize())
