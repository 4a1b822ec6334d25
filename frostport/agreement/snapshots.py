"""Transfer of snapshots in chunks (InstallSnapshot).

A snapshot is used only once it is complete and its checksum holds; an interrupted transfer is resumed.
"""

from __future__ import annotations

from frostport.agreement.log import Log, crc32c
from frostport.agreement.messages import InstallSnapshot, SnapshotMeta

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024  # guards against a size that would exhaust memory


def snapshot_message(log: Log, term: int, offset: int, max_bytes: int) -> InstallSnapshot:
    """The chunk of the log's snapshot at `offset`. `term` is 0 if the sender is not the leader."""
    offset = min(offset, log.snapshot_meta.size_bytes)
    return InstallSnapshot(term, log.snapshot_meta, offset, log.snapshot[offset : offset + max_bytes])


class SnapshotReceiver:
    """Assembles the one snapshot that is being received."""

    def __init__(self) -> None:
        self.meta: SnapshotMeta | None = None
        self.data = bytearray()
        self.last_received_at = 0.0

    @property
    def offset(self) -> int:
        """The next byte needed."""
        return len(self.data)

    def accepts(self, meta: SnapshotMeta, now: float, timeout_ms: float) -> bool:
        """Whether to take a chunk of this snapshot. Two senders of different snapshots would each reset the
        other's transfer: the later snapshot wins, unless nothing of it has arrived for `timeout_ms`."""
        if (
            self.meta is not None
            and meta.index < self.meta.index
            and now - self.last_received_at < timeout_ms
        ):
            return False
        self.last_received_at = now
        return True

    def add(self, message: InstallSnapshot) -> bytes | None:
        """Adds a chunk. Returns the snapshot once it is complete and its checksum holds; if the checksum is
        wrong, the transfer starts again."""
        if message.meta != self.meta:
            if message.meta.size_bytes > MAX_SNAPSHOT_BYTES or message.offset:
                self.meta = None
                self.data = bytearray()
                return None
            self.meta = message.meta
            self.data = bytearray()
        if message.offset == len(self.data):
            self.data += message.data
        if len(self.data) < message.meta.size_bytes:
            return None
        snapshot = bytes(self.data)
        self.meta = None
        self.data = bytearray()
        return (
            snapshot
            if len(snapshot) == message.meta.size_bytes and crc32c(snapshot) == message.meta.checksum
            else None
        )
