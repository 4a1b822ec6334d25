"""Reads a store that another process writes: what it holds now, then what has changed since the last look."""

from __future__ import annotations

from frostport.store import frames, recovery
from frostport.store.errors import DamagedError, StoreError
from frostport.store.files import Folder
from frostport.store.recovery import Contents, Segment

TRIES = 10


class Follower:
    """Takes no lock and writes nothing. What it reads may not be durable yet, and is never torn.

    Raises StoreError where the folder holds no store, or one that can't be read; OSError."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.contents = self._whole()

    @property
    def values(self) -> dict[str, bytes]:
        return self.contents.values

    def _whole(self) -> Contents:
        for left in reversed(range(TRIES)):
            try:
                found = recovery.read(self.folder)
            except (FileNotFoundError, DamagedError):
                # Guards against a writer that removes what it has cleaned while we read.
                if not left:
                    raise
                continue
            if found is not None:
                found.changed.clear()
                return found
        raise StoreError("no store to follow")

    def poll(self) -> dict[str, bytes | None]:
        """What has changed since the last look: the newest value of each key, None where it is gone."""
        contents = self.contents
        try:
            while self._read_on(contents):
                pass
        except (FileNotFoundError, DamagedError):
            # Cleaned away, or cut back by a writer that had failed: all is read again, and compared.
            before, self.contents = contents.values, self._whole()
            now = self.contents.values
            return {
                key: now.get(key) for key in before.keys() | now.keys() if before.get(key) != now.get(key)
            }
        changed = {key: contents.values.get(key) for key in contents.changed}
        contents.changed.clear()
        return changed

    def _read_on(self, contents: Contents) -> bool:
        """Takes in the whole batches after the last one read; True where a further segment was begun."""
        segment = contents.segments[-1]
        file = self.folder.open(frames.segment_name(segment.number))
        try:
            size = file.size()
            if size < segment.size:
                raise DamagedError(frames.segment_name(segment.number), size, "cut back")
            if size > segment.size:
                recovery.follow(
                    contents, segment, file.read_at(segment.size, size - segment.size), 0, segment.size
                )
        finally:
            file.close()
        following = frames.segment_name(segment.number + 1)
        if following not in self.folder.names():
            return False
        data = recovery.whole_file(self.folder, following)
        first = recovery.head(self.folder, contents, segment.number + 1, data)
        if first is None:
            return False  # made, and not yet written
        if first != contents.sequence + 1:
            if size > segment.size:  # a batch of the segment before had not been whole a moment ago
                return True
            raise DamagedError(following, 0, f"begins at record {first}, not {contents.sequence + 1}")
        contents.segments.append(Segment(segment.number + 1, first, frames.SEGMENT.size))
        return True
