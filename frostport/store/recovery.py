"""Recovery: reads what a store's files hold, or says why they can't be used. It only reads; the engine
then repairs.

The order of the steps, and what may be concluded from each, is the numbered list in docs/design/store.md.
"""

from __future__ import annotations

import gc
import itertools
import logging
from dataclasses import dataclass, field

from frostport.store import frames, watermark
from frostport.store.errors import DamagedError, UnknownFormatError
from frostport.store.files import Folder
from frostport.store.frames import MANIFEST, Frame
from frostport.store.index import OFFSET, SEGMENT, SEQUENCE, SIZE, Checkpoint, Index, Location, digest_term

log = logging.getLogger("frostport.store")

MANIFEST_NAME = "manifest"
# The index is used if the log has at least this many records for each live one; else reading the whole log is
# faster.
INDEX_MIN_LOG_RATIO = 2


@dataclass(slots=True)
class Segment:
    """One file of the log: its first sequence number, the size up to which it is sound, and the keys whose
    newest record it holds."""

    number: int
    first_sequence: int
    size: int
    live_keys: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Contents:
    """What a store holds: the live records with their locations, the segments, and the size of a torn
    tail."""

    store_id: int
    acknowledged: int  # sequence number in the watermark
    segments: list[Segment] = field(default_factory=list)
    locations: dict[str, Location] = field(default_factory=dict)
    values: dict[str, bytes] = field(default_factory=dict)
    sequence: int = 0  # last record of the last complete batch
    torn_bytes: int = 0  # size of the incomplete tail after it
    checkpoint: Checkpoint | None = None  # the last one in the index, not yet compared with the log
    verified_checkpoint: Checkpoint | None = None  # the same, once it agrees with the log
    changed_keys: dict[str, None] = field(default_factory=dict)  # since that checkpoint
    obsolete_files: list[str] = field(default_factory=list)  # to be removed

    def put(self, segment: Segment, frame: Frame) -> None:
        """Applies one record: a new value of its key, or its deletion."""
        self.changed_keys[frame.key] = None
        old = self.locations.pop(frame.key, None)
        if old is not None:
            self.values.pop(frame.key, None)
        if frame.value is not None:
            self.locations[frame.key] = (frame.sequence, segment.number, frame.offset, frame.size)
            self.values[frame.key] = frame.value

    def end_batch(self, sequence: int) -> None:
        """Completes a batch. At the checkpoint's sequence number, compares the records read so far with
        the checkpoint: the index can be used further only if count and digest agree."""
        self.sequence = sequence
        if (
            self.checkpoint is not None
            and sequence == self.checkpoint.sequence
            and self.verified_checkpoint is None
            and self.checkpoint.count == len(self.locations)
            and self.checkpoint.digest
            == sum(digest_term(location[SEQUENCE]) for location in self.locations.values())
        ):
            self.verified_checkpoint = self.checkpoint
            self.changed_keys.clear()


def read_manifest(folder: Folder) -> tuple[int, int, int] | None:
    """Returns store id, oldest segment and its first sequence number; None if there is no store yet."""
    names = folder.names()
    if MANIFEST_NAME not in names:
        segment_files = [name for name in names if frames.segment_number(name) is not None]
        # An interrupted creation leaves at most one segment, with only its header.
        if len(segment_files) > 1 or any(
            file_size(folder, name) > frames.SEGMENT_HEADER.size for name in segment_files
        ):
            raise DamagedError(MANIFEST_NAME, -1, "missing, and there is a log")
        return None
    data = read_file(folder, MANIFEST_NAME)
    if (
        data[:8] == frames.MANIFEST_MAGIC
        and len(data) >= 12
        and (found_version := int.from_bytes(data[8:12], "little")) != frames.FORMAT_VERSION
    ):
        raise UnknownFormatError(
            f"{MANIFEST_NAME}:8: unsupported store format version {found_version}, "
            f"only version {frames.FORMAT_VERSION} is supported"
        )
    fields = frames.unpack_with_crc(MANIFEST, frames.MANIFEST_MAGIC, data)
    if fields is None or len(data) != MANIFEST.size:
        raise DamagedError(MANIFEST_NAME, 0, "not readable")
    return fields[1], fields[2], fields[3]


def file_size(folder: Folder, name: str) -> int:
    """Returns a file's size in bytes."""
    file = folder.open(name)
    try:
        return file.size()
    finally:
        file.close()


def read_file(folder: Folder, name: str) -> bytes:
    """Returns a file's whole contents."""
    file = folder.open(name)
    try:
        return file.read_at(0, file.size())
    finally:
        file.close()


def read_store(folder: Folder, index: Index | None = None) -> Contents | None:
    """Reads a whole store, through its index if that agrees with the log, else from the log alone.

    Returns None if the folder holds no store.

    Raises DamagedError if an acknowledged record may be missing, UnknownFormatError, OSError."""
    collecting = gc.isenabled()
    gc.disable()  # it would traverse all records of a large store again and again
    try:
        return read_store_files(folder, index)
    finally:
        if collecting:
            gc.enable()


def read_store_files(folder: Folder, index: Index | None) -> Contents | None:
    """Does the work of `read_store`, with the garbage collector off."""
    found = read_manifest(folder)
    if found is None:
        return None
    store_id, oldest, first_sequence = found
    acknowledged = watermark.Watermark.load(folder, store_id)
    acknowledged.close()
    numbers = sorted(number for name in folder.names() if (number := frames.segment_number(name)) is not None)
    numbers_in_use = [number for number in numbers if number >= oldest]
    if not numbers_in_use or numbers_in_use[0] != oldest:
        raise DamagedError(
            frames.segment_name(oldest),
            -1,
            "segment file is missing, but the manifest names it as the oldest",
        )
    for before, after in itertools.pairwise(numbers_in_use):
        if after != before + 1:
            raise DamagedError(
                frames.segment_name(before + 1), -1, f"segment file is missing, but segment {after} exists"
            )
    contents = Contents(store_id, acknowledged.sequence)
    contents.obsolete_files = [frames.segment_name(number) for number in numbers if number < oldest]
    contents.obsolete_files += [name for name in folder.names() if name.endswith(".new")]
    contents.checkpoint = checkpoint = index.checkpoint(store_id) if index is not None else None
    used_index = False
    if (
        index is not None
        and checkpoint is not None
        and INDEX_MIN_LOG_RATIO * checkpoint.count <= checkpoint.sequence - first_sequence + 1
    ):
        rows = index.rows(checkpoint)
        used_index = rows is not None and read_from_index(
            folder, contents, numbers_in_use, first_sequence, checkpoint, rows
        )
        if not used_index:
            contents.segments = []
            contents.locations = {}
            contents.values = {}
            contents.changed_keys = {}
            contents.verified_checkpoint = contents.checkpoint = None
    if not used_index:
        contents.sequence = first_sequence - 1
        read_from_log(folder, contents, numbers_in_use, 0)
    if index is not None and checkpoint is not None and contents.verified_checkpoint is None:
        index.discard("does not match the log, rebuilding it")
    if contents.sequence < contents.acknowledged:
        last = contents.segments[-1]
        raise DamagedError(
            frames.segment_name(last.number),
            last.size,
            f"the log ends at record {contents.sequence}, but {contents.acknowledged} was acknowledged",
        )
    for key, location in contents.locations.items():
        contents.segments[location[SEGMENT] - oldest].live_keys[key] = None
    return contents


def read_segment_header(folder: Folder, contents: Contents, number: int, data: bytes) -> int | None:
    """Returns the first sequence number named in a segment's header; None if the header is not sound."""
    fields = frames.unpack_with_crc(frames.SEGMENT_HEADER, frames.SEGMENT_MAGIC, data)
    if (
        fields is None
        or fields[0] != frames.FORMAT_VERSION
        or fields[1] != contents.store_id
        or fields[2] != number
    ):
        return None
    return fields[3]


def read_from_log(folder: Folder, contents: Contents, numbers_in_use: list[int], skip: int) -> None:
    """Reads segments from the `skip`th on to the end; each must continue the sequence of the one before.

    Only the last one may have a torn tail: each of the others was synced before its successor was created."""
    for number in numbers_in_use[skip:]:
        name = frames.segment_name(number)
        last = number == numbers_in_use[-1]
        data = read_file(folder, name)
        first_sequence = read_segment_header(folder, contents, number, data)
        if first_sequence is None and last and number != numbers_in_use[0]:
            # Created, but its header was not yet durable when the power failed: it holds no acknowledged
            # record, or the comparison with the watermark reveals it.
            contents.obsolete_files.append(name)
            return
        if first_sequence is None:
            raise DamagedError(
                name,
                0,
                f"invalid segment header: expected format {frames.FORMAT_VERSION}, segment {number} "
                f"and store id {contents.store_id}, with a correct checksum",
            )
        if first_sequence != contents.sequence + 1:
            raise DamagedError(
                name, 0, f"segment begins at record {first_sequence}, expected {contents.sequence + 1}"
            )
        segment = Segment(number, first_sequence, frames.SEGMENT_HEADER.size)
        contents.segments.append(segment)
        apply_batches(contents, segment, data, frames.SEGMENT_HEADER.size)
        contents.torn_bytes = len(data) - segment.size
        if contents.torn_bytes and not last:
            raise DamagedError(
                name,
                segment.size,
                f"the last {contents.torn_bytes} bytes of the segment are not complete batches, "
                "but a later segment exists",
            )


def apply_batches(contents: Contents, segment: Segment, data: bytes, position: int, base: int = 0) -> None:
    """Applies a segment's complete batches from a position on. `data` begins at offset `base` of the file."""
    batch: list[Frame] = []
    for frame in frames.iter_frames(data, position, contents.sequence + 1, base):
        batch.append(frame)
        if frame.last:
            for change in batch:
                contents.put(segment, change)
            segment.size = frame.offset + frame.size
            contents.end_batch(frame.sequence)
            batch.clear()


def read_from_index(
    folder: Folder,
    contents: Contents,
    numbers_in_use: list[int],
    first_sequence: int,
    checkpoint: Checkpoint,
    rows: dict[str, Location],
) -> bool:
    """Reads the live records at the locations in the index, then the log after the checkpoint. Returns
    False if the index does not match the log."""
    if checkpoint.segment not in numbers_in_use or checkpoint.sequence < first_sequence - 1:
        return False
    rows_by_segment: dict[int, list[tuple[int, str, Location]]] = {}
    for key, location in rows.items():
        rows_by_segment.setdefault(location[SEGMENT], []).append((location[OFFSET], key, location))
    if not rows_by_segment.keys() <= set(numbers_in_use) or sum(map(len, rows_by_segment.values())) != len(
        rows
    ):
        return False
    for number in numbers_in_use[: numbers_in_use.index(checkpoint.segment) + 1]:
        name = frames.segment_name(number)
        data = read_file(folder, name)
        segment_first_sequence = read_segment_header(folder, contents, number, data)
        if segment_first_sequence is None:
            return False
        segment = Segment(number, segment_first_sequence, len(data))
        contents.segments.append(segment)
        for offset, key, location in sorted(rows_by_segment.get(number, ())):
            # A damaged row may hold any type that SQLite can store.
            frame = frames.decode(data, offset) if isinstance(offset, int) and offset >= 0 else None
            if (
                frame is None
                or frame.key != key
                or frame.value is None
                or frame.sequence > checkpoint.sequence
                or (frame.sequence, frame.size) != (location[SEQUENCE], location[SIZE])
            ):
                return False
            contents.locations[key] = location
            contents.values[key] = frame.value
    if checkpoint.offset > len(data):
        return False
    contents.sequence = checkpoint.sequence
    segment.size = checkpoint.offset
    contents.verified_checkpoint = checkpoint
    apply_batches(contents, segment, data, checkpoint.offset)
    contents.torn_bytes = len(data) - segment.size
    if number != numbers_in_use[-1]:
        if contents.torn_bytes:
            return False
        read_from_log(folder, contents, numbers_in_use, numbers_in_use.index(number) + 1)
    return True
