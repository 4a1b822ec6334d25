"""The store's exceptions. Each message is one line that names the file and, where there is one, the
offset.
"""

from __future__ import annotations


class StoreError(Exception):
    """Base class of all errors of a store."""


class DamagedError(StoreError):
    """The contents of the files can't be trusted. `file` and `offset` locate the damage; offset -1 stands
    for the whole file."""

    def __init__(self, file: str, offset: int, problem: str) -> None:
        super().__init__(f"{file}:{offset}: {problem}" if offset >= 0 else f"{file}: {problem}")
        self.file = file
        self.offset = offset
        self.problem = problem


class UnknownFormatError(StoreError):
    """The store was written in a format version that this version does not know; nothing was changed."""


class LockedError(StoreError):
    """Another process holds the lock of this store."""


class LimitError(StoreError):
    """A record or the whole store would exceed its size limit; nothing of the batch was written."""


class FailedError(StoreError):
    """An earlier write or sync failed: nothing more is written, and no unsynced record counts as durable."""
