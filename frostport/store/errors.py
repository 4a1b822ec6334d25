"""What goes wrong with a store. Each message is one line that names the file and, where there is one, the
offset."""

from __future__ import annotations


class StoreError(Exception):
    """Anything that keeps a store from its work."""


class DamagedError(StoreError):
    """What the files hold can't be trusted: `file` and `offset` say where that shows (offset -1: the whole
    file)."""

    def __init__(self, file: str, offset: int, problem: str) -> None:
        super().__init__(f"{file}:{offset}: {problem}" if offset >= 0 else f"{file}: {problem}")
        self.file, self.offset, self.problem = file, offset, problem


class UnknownFormatError(StoreError):
    """Written by a version whose format is not known here: nothing was touched."""


class LockedError(StoreError):
    """Another process writes to this store."""


class LimitError(StoreError):
    """A record or the whole store would grow past its limit: nothing of the batch was written."""


class FailedError(StoreError):
    """A write or a sync has failed before: nothing more is written, and nothing unsynced is called
    durable."""
