"""The acknowledgement watermark: the sequence number up to which records were acknowledged, in a separate
file.

It distinguishes a torn tail, which was never acknowledged, from a log that has lost acknowledged records.
The file has two slots, written in such an order that after a crash at any point at least one is intact and
durable.
"""

from __future__ import annotations

from frostport.store.errors import DamagedError
from frostport.store.files import File, Folder
from frostport.store.frames import WATERMARK_MAGIC, WATERMARK_SLOT, pack_with_crc, unpack_with_crc

FILE_NAME = "mark"
WRITES_PER_SYNC = 1000  # writes to one slot before it is synced and the other slot is used


def read_slots(data: bytes) -> tuple[int, int, int] | None:
    """Returns store id, sequence and slot number of the intact slot with the highest sequence; None if
    neither is intact."""
    slots = [
        unpack_with_crc(WATERMARK_SLOT, WATERMARK_MAGIC, data[offset : offset + WATERMARK_SLOT.size])
        for offset in (0, WATERMARK_SLOT.size)
    ]
    sound = [(*slot, number) for number, slot in enumerate(slots) if slot is not None]
    return max(
        ((store_id, sequence, number) for store_id, sequence, number in sound),
        key=lambda slot: slot[1],
        default=None,
    )


class Watermark:
    """Owns the file. `advance` is called after the log's sync and before the acknowledgement."""

    def __init__(self, file: File, store_id: int, sequence: int) -> None:
        self.file = file
        self.store_id = store_id
        self.sequence = sequence
        self._slot = 0
        self._writes_since_sync = 0

    @classmethod
    def create(cls, folder: Folder, store_id: int, sequence: int = 0) -> Watermark:
        """Creates the file with both slots, synced."""
        file = folder.open(FILE_NAME, create=True)
        file.truncate(0)
        file.append(pack_with_crc(WATERMARK_SLOT, WATERMARK_MAGIC, store_id, sequence) * 2)
        file.sync()
        return cls(file, store_id, sequence)

    @classmethod
    def load(cls, folder: Folder, store_id: int) -> Watermark:
        """Opens the file of a store.

        Raises DamagedError if it is missing, has no intact slot or belongs to another store."""
        if FILE_NAME not in folder.names():
            raise DamagedError(
                FILE_NAME,
                -1,
                "watermark file is missing: can't verify that the log holds all acknowledged records",
            )
        file = folder.open(FILE_NAME)
        found = read_slots(file.read_at(0, 2 * WATERMARK_SLOT.size))
        if found is None:
            file.close()
            raise DamagedError(
                FILE_NAME,
                0,
                "neither watermark slot is intact: can't verify that the log holds all acknowledged records",
            )
        if found[0] != store_id:
            file.close()
            raise DamagedError(FILE_NAME, 0, f"watermark has store id {found[0]}, the manifest {store_id}")
        watermark = cls(file, store_id, found[1])
        watermark._slot = 1 - found[2]  # the other one may be torn, so it is written first
        return watermark

    def write_both_slots(self) -> None:
        """Writes and syncs both slots, one after the other.

        The intact slot is synced before the other is written, and the other before the intact one is
        overwritten, so that a crash never tears both."""
        self.file.sync()
        data = pack_with_crc(WATERMARK_SLOT, WATERMARK_MAGIC, self.store_id, self.sequence)
        for slot in (self._slot, 1 - self._slot):
            self.file.write_at(slot * WATERMARK_SLOT.size, data)
            self.file.sync()
        self._writes_since_sync = 0

    def advance(self, sequence: int) -> None:
        """Writes a higher sequence number to the current slot. A lower or equal one is ignored."""
        if sequence <= self.sequence:
            return
        self.file.write_at(
            self._slot * WATERMARK_SLOT.size,
            pack_with_crc(WATERMARK_SLOT, WATERMARK_MAGIC, self.store_id, sequence),
        )
        self.sequence = sequence
        self._writes_since_sync = self._writes_since_sync + 1
        if self._writes_since_sync >= WRITES_PER_SYNC:
            # Guards against one crash tearing both slots: this one is durable before the other is written.
            self.file.sync()
            self._slot = 1 - self._slot
            self._writes_since_sync = 0

    def close(self) -> None:
        """Closes the file. What `advance` has written since the last sync may not be durable."""
        self.file.close()
