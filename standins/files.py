"""A folder in memory that loses power: what was not synced is lost, kept in part, or kept in another order.

Faults are scripted by operation: `fail` names the number of operations until one raises, and what it raises.
"""

from __future__ import annotations

import random
import sqlite3
from collections.abc import Callable

from frostport.store.errors import LockedError

BLOCK = 16  # the size in which unsynced data may be kept or lost
DATABASE = "\0database"


class PowerLostError(BaseException):
    """The machine is gone: nothing above may catch it as an error of a file."""


class Node:
    """A file's bytes: what is durable, and what was written since."""

    def __init__(self, durable: bytes = b"") -> None:
        self.durable, self.now = durable, bytearray(durable)
        self.pending: list[tuple[int, bytes] | int] = []  # a write at an offset, or a truncation

    def write(self, offset: int, data: bytes) -> None:
        self.now[len(self.now) :] = bytes(max(0, offset - len(self.now)))
        self.now[offset : offset + len(data)] = data
        self.pending.append((offset, data))

    def truncate(self, size: int) -> None:
        del self.now[size:]
        self.pending.append(size)

    def sync(self) -> None:
        self.durable, self.pending = bytes(self.now), []

    def after_crash(self, chance: random.Random) -> Node:
        """Nothing, all, a torn prefix, or any blocks of what was not synced."""
        how = chance.choice(("nothing", "all", "prefix", "blocks"))
        if how == "nothing":
            return Node(self.durable)
        if how == "all":
            return Node(bytes(self.now))
        kept = Node(self.durable)
        steps = self.pending if how == "blocks" else self.pending[: chance.randint(0, len(self.pending))]
        for number, step in enumerate(steps):
            if isinstance(step, int):
                kept.truncate(step)
            elif how == "prefix":
                last = number == len(steps) - 1
                kept.write(step[0], step[1][: chance.randint(0, len(step[1])) if last else None])
            else:
                for at in range(0, len(step[1]), BLOCK):
                    if chance.random() < 0.6:
                        kept.write(step[0] + at, step[1][at : at + BLOCK])
        return Node(bytes(kept.now))


class MemoryFile:
    def __init__(self, folder: MemoryFolder, name: str, node: Node) -> None:
        self.folder, self.name, self.node = folder, name, node

    def append(self, data: bytes) -> None:
        part = self.folder.step("append", self.name)
        end = len(self.node.now)
        if part is not None:  # a fault: a part of it is written all the same
            self.node.write(end, data[: part(len(data))])
            raise self.folder.raises()
        self.node.write(end, data)

    def write_at(self, offset: int, data: bytes) -> None:
        part = self.folder.step("write", self.name)
        if part is not None:
            self.node.write(offset, data[: part(len(data))])
            raise self.folder.raises()
        self.node.write(offset, data)

    def read_at(self, offset: int, size: int) -> bytes:
        return bytes(self.node.now[offset : offset + size])

    def size(self) -> int:
        return len(self.node.now)

    def truncate(self, size: int) -> None:
        if self.folder.step("truncate", self.name) is not None:
            raise self.folder.raises()
        self.node.truncate(size)

    def sync(self) -> None:
        if self.folder.step("sync", self.name) is not None:
            raise self.folder.raises()
        self.node.sync()

    def close(self) -> None:
        pass


class MemoryFolder:
    """A folder that can be made to fail at any operation, and to crash."""

    def __init__(self, files: dict[str, bytes] | None = None, chance: random.Random | None = None) -> None:
        self.chance = chance or random.Random(0)
        self.nodes = {name: Node(data) for name, data in (files or {}).items()}
        self.durable = dict(self.nodes)  # the names as they would be found after a crash
        self.renames: list[tuple[str, str | None, Node | None]] = []  # not yet synced: old, new, node
        self.steps = 0
        self.fails_at, self.error = -1, BaseException
        self.lasting = False
        self.locked = False
        self.log: list[str] = []

    # Faults

    def fail(self, after: int, error: Callable[[], BaseException], lasting: bool = False) -> None:
        """The `after`th operation from now raises; with `lasting`, all that follow as well."""
        self.fails_at, self._raises, self.lasting = self.steps + after, error, lasting

    def step(self, what: str, name: str) -> Callable[[int], int] | None:
        """Counts an operation; where it shall fail, how much of its data is still written."""
        self.steps += 1
        self.log.append(f"{what} {name}")
        if self.steps == self.fails_at or (self.lasting and 0 <= self.fails_at < self.steps):
            return lambda size: self.chance.randint(0, size)
        return None

    def raises(self) -> BaseException:
        return self._raises()

    def crash(self, chance: random.Random) -> MemoryFolder:
        """The folder as it is found after the power was lost now."""
        found = MemoryFolder(chance=chance)
        names = dict(self.durable)
        kept = self.renames[: chance.randint(0, len(self.renames))]
        if chance.random() < 0.5:  # in any order: no system promises that one goes before the other
            kept = [rename for rename in self.renames if chance.random() < 0.5]
        for old, new, node in kept:
            names.pop(old, None)
            if new is not None and node is not None:
                names[new] = node
        found.nodes = {name: node.after_crash(chance) for name, node in names.items()}
        found.durable = dict(found.nodes)
        return found

    def killed(self) -> MemoryFolder:
        """The folder as it is found after the process alone was killed: the system has all that was
        written."""
        return MemoryFolder(self.contents(), self.chance)

    def contents(self) -> dict[str, bytes]:
        return {name: bytes(node.now) for name, node in self.nodes.items()}

    # As the engine's folder

    def names(self) -> set[str]:
        return set(self.nodes)

    def open(self, name: str, create: bool = False) -> MemoryFile:
        if name not in self.nodes:
            if not create:
                raise FileNotFoundError(2, "no such file", name)
            if self.step("create", name) is not None:
                raise self.raises()
            self.nodes[name] = Node()
            self.renames.append((name, name, self.nodes[name]))
        return MemoryFile(self, name, self.nodes[name])

    def replace(self, old: str, new: str) -> None:
        if self.step("replace", new) is not None:
            raise self.raises()
        self.nodes[new] = self.nodes.pop(old)
        self.renames.append((old, new, self.nodes[new]))

    def remove(self, name: str) -> None:
        if name in self.nodes:
            if self.step("remove", name) is not None:
                raise self.raises()
            del self.nodes[name]
            self.renames.append((name, None, None))

    def sync(self) -> None:
        if self.step("sync", ".") is not None:
            raise self.raises()
        self.durable, self.renames = dict(self.nodes), []

    def lock(self) -> None:
        if self.locked:
            raise LockedError("lock: another process writes to this store")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def database(self, name: str) -> sqlite3.Connection:
        """The index in memory, from the image that was last committed."""
        database = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        if name in self.nodes and self.nodes[name].now:
            database.deserialize(bytes(self.nodes[name].now))
        return database

    def committed(self, name: str, database: sqlite3.Connection) -> None:
        file = self.open(name, create=True)
        if self.step("image", name) is not None:
            raise self.raises()
        file.node.truncate(0)
        file.node.write(0, database.serialize())
