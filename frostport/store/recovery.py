"""How a store comes back: what its files hold, or why they can't be used. Reads only; the engine then
repairs.

The order of the steps, and what each may conclude, is the numbered list of docs/design/store.md.
"""

from __future__ import annotations

import gc
import itertools
import logging
from dataclasses import dataclass, field

from frostport.store import frames, mark
from frostport.store.errors import DamagedError, UnknownFormatError
from frostport.store.files import Folder
from frostport.store.frames import MANIFEST, Frame
from frostport.store.index import OFFSET, SEGMENT, SEQUENCE, SIZE, Index, Place, Point, grain

log = logging.getLogger("frostport.store")

MANIFEST_NAME = "manifest"
WORTH = 2  # the index is used where the log has so many times the records that are live; else it is slower


@dataclass(slots=True)
class Segment:
    """One file of the log: its first record, how far it is sound, and the keys whose newest record it
    holds."""

    number: int
    first: int
    size: int
    live: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Contents:
    """What a store holds: the live records and their places, the segments, and what is torn off at the
    end."""

    store: int
    acknowledged: int
    segments: list[Segment] = field(default_factory=list)
    places: dict[str, Place] = field(default_factory=dict)
    values: dict[str, bytes] = field(default_factory=dict)
    sequence: int = 0  # the last whole batch's last record
    torn: int = 0  # bytes after it
    point: Point | None = None  # the last checkpoint, its index not yet held against the log
    from_index: Point | None = None  # the same, once the index agrees with the log
    changed: dict[str, None] = field(default_factory=dict)  # the keys changed since
    leavings: list[str] = field(default_factory=list)  # files of no more use

    def put(self, segment: Segment, frame: Frame) -> None:
        self.changed[frame.key] = None
        old = self.places.pop(frame.key, None)
        if old is not None:
            self.values.pop(frame.key, None)
        if frame.value is not None:
            self.places[frame.key] = (frame.sequence, segment.number, frame.offset, frame.size)
            self.values[frame.key] = frame.value

    def ended(self, sequence: int) -> None:
        """A batch is taken in. Where the checkpoint was made, the index either agrees or is in doubt."""
        self.sequence = sequence
        if (
            self.point is not None
            and sequence == self.point.sequence
            and self.from_index is None
            and self.point.count == len(self.places)
            and self.point.digest == sum(grain(place[SEQUENCE]) for place in self.places.values())
        ):
            self.from_index = self.point
            self.changed.clear()


def manifest(folder: Folder) -> tuple[int, int, int] | None:
    """Store id, the oldest segment and its first sequence; None where there is no store yet."""
    names = folder.names()
    if MANIFEST_NAME not in names:
        whole = [name for name in names if frames.segment_number(name) is not None]
        # A creation that was cut short has left one segment at most, with its head alone.
        if len(whole) > 1 or any(size_of(folder, name) > frames.SEGMENT.size for name in whole):
            raise DamagedError(MANIFEST_NAME, -1, "missing, and there is a log")
        return None
    data = whole_file(folder, MANIFEST_NAME)
    if (
        data[:8] == frames.MANIFEST_MAGIC
        and len(data) >= 12
        and (written := int.from_bytes(data[8:12], "little")) != frames.FORMAT
    ):
        raise UnknownFormatError(f"{MANIFEST_NAME}:8: format {written}, only {frames.FORMAT} is known here")
    fields = frames.read_fixed(MANIFEST, frames.MANIFEST_MAGIC, data)
    if fields is None or len(data) != MANIFEST.size:
        raise DamagedError(MANIFEST_NAME, 0, "not readable")
    return fields[1], fields[2], fields[3]


def size_of(folder: Folder, name: str) -> int:
    file = folder.open(name)
    try:
        return file.size()
    finally:
        file.close()


def whole_file(folder: Folder, name: str) -> bytes:
    file = folder.open(name)
    try:
        return file.read_at(0, file.size())
    finally:
        file.close()


def read(folder: Folder, index: Index | None = None) -> Contents | None:
    """All of a store, by its index where that holds, else by its whole log; None where there is none yet.

    Raises DamagedError where anything acknowledged may be missing, UnknownFormatError, OSError."""
    collecting = gc.isenabled()
    gc.disable()  # guards a large store against a collector that looks through all of it again and again
    try:
        return read_all(folder, index)
    finally:
        if collecting:
            gc.enable()


def read_all(folder: Folder, index: Index | None) -> Contents | None:
    found = manifest(folder)
    if found is None:
        return None
    store, oldest, first = found
    acknowledged = mark.Mark.load(folder, store)
    acknowledged.close()
    numbers = sorted(number for name in folder.names() if (number := frames.segment_number(name)) is not None)
    listed = [number for number in numbers if number >= oldest]
    if not listed or listed[0] != oldest:
        raise DamagedError(frames.segment_name(oldest), -1, "missing, and the manifest names it")
    for before, after in itertools.pairwise(listed):
        if after != before + 1:
            raise DamagedError(frames.segment_name(before + 1), -1, "missing")
    contents = Contents(store, acknowledged.sequence)
    contents.leavings = [frames.segment_name(number) for number in numbers if number < oldest]
    contents.leavings += [name for name in folder.names() if name.endswith(".new")]
    contents.point = point = index.point(store) if index is not None else None
    done = False
    if index is not None and point is not None and WORTH * point.count <= point.sequence - first + 1:
        rows = index.rows(point)
        done = rows is not None and by_index(folder, contents, listed, first, point, rows)
        if not done:
            contents.segments, contents.places, contents.values, contents.changed = [], {}, {}, {}
            contents.from_index = contents.point = None
    if not done:
        contents.sequence = first - 1
        by_log(folder, contents, listed, 0)
    if index is not None and point is not None and contents.from_index is None:
        index.lose("in doubt, made again from the log")
    if contents.sequence < contents.acknowledged:
        last = contents.segments[-1]
        raise DamagedError(
            frames.segment_name(last.number),
            last.size,
            f"the log ends at record {contents.sequence}, but {contents.acknowledged} was acknowledged",
        )
    for key, place in contents.places.items():
        contents.segments[place[SEGMENT] - oldest].live[key] = None
    return contents


def head(folder: Folder, contents: Contents, number: int, data: bytes) -> int | None:
    """The first sequence that a segment's head names; None where the head is not sound."""
    fields = frames.read_fixed(frames.SEGMENT, frames.SEGMENT_MAGIC, data)
    if fields is None or fields[0] != frames.FORMAT or fields[1] != contents.store or fields[2] != number:
        return None
    return fields[3]


def by_log(folder: Folder, contents: Contents, listed: list[int], skip: int) -> None:
    """Reads segments from the `skip`th on to the end; from `skip` on they must follow what was read already.

    Only the last one may end in what is not whole: each other was synced before its successor was made."""
    for number in listed[skip:]:
        name, last = frames.segment_name(number), number == listed[-1]
        data = whole_file(folder, name)
        first = head(folder, contents, number, data)
        if first is None and last and number != listed[0]:
            # Made and not yet written when the power went: nothing in it was acknowledged, or the mark says
            # so.
            contents.leavings.append(name)
            return
        if first is None:
            raise DamagedError(name, 0, "its head is not readable")
        if first != contents.sequence + 1:
            raise DamagedError(name, 0, f"begins at record {first}, not {contents.sequence + 1}")
        segment = Segment(number, first, frames.SEGMENT.size)
        contents.segments.append(segment)
        follow(contents, segment, data, frames.SEGMENT.size)
        contents.torn = len(data) - segment.size
        if contents.torn and not last:
            raise DamagedError(name, segment.size, "not readable")


def follow(contents: Contents, segment: Segment, data: bytes, at: int, base: int = 0) -> None:
    """Takes in a segment's whole batches from a place on."""
    batch: list[Frame] = []
    for frame in frames.walk(data, at, contents.sequence + 1, base):
        batch.append(frame)
        if frame.last:
            for one in batch:
                contents.put(segment, one)
            segment.size = frame.offset + frame.size
            contents.ended(frame.sequence)
            batch.clear()


def by_index(
    folder: Folder, contents: Contents, listed: list[int], first: int, point: Point, rows: dict[str, Place]
) -> bool:
    """The live records where the index says they are, then the log's end after it; False where it is in
    doubt."""
    if point.segment not in listed or point.sequence < first - 1:
        return False
    wanted: dict[int, list[tuple[int, str, Place]]] = {}
    for key, place in rows.items():
        wanted.setdefault(place[SEGMENT], []).append((place[OFFSET], key, place))
    if not wanted.keys() <= set(listed) or sum(map(len, wanted.values())) != len(rows):
        return False
    for number in listed[: listed.index(point.segment) + 1]:
        name = frames.segment_name(number)
        data = whole_file(folder, name)
        begins = head(folder, contents, number, data)
        if begins is None:
            return False
        segment = Segment(number, begins, len(data))
        contents.segments.append(segment)
        for offset, key, place in sorted(wanted.get(number, ())):
            # Guards against a row that has been damaged into something else that an index could hold.
            frame = frames.decode(data, offset) if isinstance(offset, int) and offset >= 0 else None
            if (
                frame is None
                or frame.key != key
                or frame.value is None
                or frame.sequence > point.sequence
                or (frame.sequence, frame.size) != (place[SEQUENCE], place[SIZE])
            ):
                return False
            contents.places[key], contents.values[key] = place, frame.value
    if point.offset > len(data):
        return False
    contents.sequence, segment.size, contents.from_index = point.sequence, point.offset, point
    follow(contents, segment, data, point.offset)
    contents.torn = len(data) - segment.size
    if number != listed[-1]:
        if contents.torn:
            return False
        by_log(folder, contents, listed, listed.index(number) + 1)
    return True
