"""Snapshots on their way, piece by piece: whole and checked before they count, taken up again after a cut."""

from __future__ import annotations

from frostport.agreement.log import Log, check
from frostport.agreement.messages import Base, Piece

SNAPSHOT_MOST = 256 * 1024 * 1024  # bytes: guards against a size that nobody could hold


def piece(log: Log, term: int, offset: int, size: int) -> Piece:
    offset = min(offset, log.base.size)
    return Piece(term, log.base, offset, log.snapshot[offset : offset + size])


class Receiving:
    """The one snapshot that is being taken in."""

    def __init__(self) -> None:
        self.base: Base | None = None
        self.data = bytearray()
        self.heard_at = 0.0

    @property
    def offset(self) -> int:
        """The next byte wanted."""
        return len(self.data)

    def wants(self, base: Base, now: float, patience_ms: float) -> bool:
        """Guards against two that send different snapshots, each undoing the other's: the later one counts,
        until nothing has come of it for a while."""
        if self.base is not None and base.index < self.base.index and now - self.heard_at < patience_ms:
            return False
        self.heard_at = now
        return True

    def take(self, message: Piece) -> bytes | None:
        """The whole snapshot once it is there and its check holds; a false one begins anew."""
        if message.base != self.base:
            if message.base.size > SNAPSHOT_MOST or message.offset:
                self.base, self.data = None, bytearray()
                return None
            self.base, self.data = message.base, bytearray()
        if message.offset == len(self.data):
            self.data += message.data
        if len(self.data) < message.base.size:
            return None
        whole, self.base, self.data = bytes(self.data), None, bytearray()
        return whole if len(whole) == message.base.size and check(whole) == message.base.check else None
