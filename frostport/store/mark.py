"""The mark: up to which record was acknowledged, in a file of its own beside the log.

It is what tells a torn tail, which nobody was promised, from a log that has lost what was promised. Two
places
are written in such an order that one of them is always synced and whole, wherever a crash comes.
"""

from __future__ import annotations

from frostport.store.errors import DamagedError
from frostport.store.files import File, Folder
from frostport.store.frames import MARK, MARK_MAGIC, read_fixed, with_crc

NAME = "mark"
SYNC_EVERY = 1000  # writes to the one place before it is synced and the other one's turn comes


def read(data: bytes) -> tuple[int, int, int] | None:
    """Store id, sequence and number of the later sound place; None where neither is sound."""
    places = [read_fixed(MARK, MARK_MAGIC, data[at : at + MARK.size]) for at in (0, MARK.size)]
    sound = [(*place, number) for number, place in enumerate(places) if place is not None]
    return max(
        ((store, sequence, number) for store, sequence, number in sound),
        key=lambda place: place[1],
        default=None,
    )


class Mark:
    """Owns the file. `set` before an acknowledgement, after the log's sync."""

    def __init__(self, file: File, store: int, sequence: int) -> None:
        self.file, self.store, self.sequence = file, store, sequence
        self._place, self._writes = 0, 0

    @classmethod
    def create(cls, folder: Folder, store: int, sequence: int = 0) -> Mark:
        file = folder.open(NAME, create=True)
        file.truncate(0)
        file.append(with_crc(MARK, MARK_MAGIC, store, sequence) * 2)
        file.sync()
        return cls(file, store, sequence)

    @classmethod
    def load(cls, folder: Folder, store: int) -> Mark:
        """Raises DamagedError where it can't be read or is another store's."""
        if NAME not in folder.names():
            raise DamagedError(NAME, -1, "missing: what was acknowledged can't be checked")
        file = folder.open(NAME)
        found = read(file.read_at(0, 2 * MARK.size))
        if found is None:
            file.close()
            raise DamagedError(NAME, 0, "not readable: what was acknowledged can't be checked")
        if found[0] != store:
            file.close()
            raise DamagedError(NAME, 0, "another store's")
        mark = cls(file, store, found[1])
        mark._place = 1 - found[2]  # the other may be torn: it is the one to write first
        return mark

    def settle(self) -> None:
        """Both places whole and synced, as the alternation asks for.

        Guards the one that is sound: it is durable before the other is written, and the other before it
        is."""
        self.file.sync()
        data = with_crc(MARK, MARK_MAGIC, self.store, self.sequence)
        for place in (self._place, 1 - self._place):
            self.file.write_at(place * MARK.size, data)
            self.file.sync()
        self._writes = 0

    def set(self, sequence: int) -> None:
        if sequence <= self.sequence:
            return
        self.file.write_at(self._place * MARK.size, with_crc(MARK, MARK_MAGIC, self.store, sequence))
        self.sequence, self._writes = sequence, self._writes + 1
        if self._writes >= SYNC_EVERY:
            # Guards against both places being torn by one crash: the other is not touched before this is
            # durable.
            self.file.sync()
            self._place, self._writes = 1 - self._place, 0

    def close(self) -> None:
        self.file.close()
