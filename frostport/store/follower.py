"""Reads a store while another process writes it: its current contents, then the changes since the last
poll.
"""

from __future__ import annotations

from frostport.store import frames, recovery
from frostport.store.errors import DamagedError, StoreError
from frostport.store.files import Folder
from frostport.store.recovery import Contents, Segment

MAX_READ_ATTEMPTS = 10


class Follower:
    """Takes no lock and writes nothing. What it reads may not be durable yet, but is never a partial
    batch.

    The constructor and `poll` raise StoreError if the folder holds no store or one that can't be read, and
    OSError."""

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self.contents = self._read_whole_store()

    @property
    def values(self) -> dict[str, bytes]:
        """The newest value of each key, as of the last poll."""
        return self.contents.values

    def _read_whole_store(self) -> Contents:
        for attempts_left in reversed(range(MAX_READ_ATTEMPTS)):
            try:
                found = recovery.read_store(self.folder)
            except (FileNotFoundError, DamagedError):
                # The writer may remove segments that it has cleaned while they are read.
                if not attempts_left:
                    raise
                continue
            if found is not None:
                found.changed_keys.clear()
                return found
        raise StoreError("no store to follow: the folder has no manifest")

    def poll(self) -> dict[str, bytes | None]:
        """Returns the changes since the last poll: the newest value of each changed key, None if it is
        deleted."""
        contents = self.contents
        try:
            while self._read_new_batches(contents):
                pass
        except (FileNotFoundError, DamagedError):
            # The segment was cleaned, or truncated by a writer that recovered from a failure: reads
            # everything again and compares.
            before = contents.values
            self.contents = self._read_whole_store()
            after = self.contents.values
            return {
                key: after.get(key)
                for key in before.keys() | after.keys()
                if before.get(key) != after.get(key)
            }
        changes = {key: contents.values.get(key) for key in contents.changed_keys}
        contents.changed_keys.clear()
        return changes

    def _read_new_batches(self, contents: Contents) -> bool:
        """Applies the complete batches after the last one read.

        Returns whether there may be more, as the writer has started a new segment."""
        segment = contents.segments[-1]
        file = self.folder.open(frames.segment_name(segment.number))
        try:
            size = file.size()
            if size < segment.size:
                raise DamagedError(
                    frames.segment_name(segment.number),
                    size,
                    f"segment was truncated to {size} bytes after {segment.size} bytes were read",
                )
            if size > segment.size:
                recovery.apply_batches(
                    contents, segment, file.read_at(segment.size, size - segment.size), 0, segment.size
                )
        finally:
            file.close()
        next_name = frames.segment_name(segment.number + 1)
        if next_name not in self.folder.names():
            return False
        data = recovery.read_file(self.folder, next_name)
        first_sequence = recovery.read_segment_header(self.folder, contents, segment.number + 1, data)
        if first_sequence is None:
            return False  # created, but its header is not written yet
        if first_sequence != contents.sequence + 1:
            if size > segment.size:  # a batch of the previous segment became complete after it was read
                return True
            raise DamagedError(
                next_name, 0, f"segment begins at record {first_sequence}, expected {contents.sequence + 1}"
            )
        contents.segments.append(Segment(segment.number + 1, first_sequence, frames.SEGMENT_HEADER.size))
        return True
