"""The `store` commands: verify, dump, backup, compact, repair. Each raises StoreError or OSError."""

from __future__ import annotations

import pathlib
import secrets
from collections.abc import Iterator
from dataclasses import dataclass

from frostport.store import frames, recovery, watermark
from frostport.store.engine import Engine, Limits, create_segment, create_store, write_manifest
from frostport.store.errors import DamagedError, LockedError, StoreError
from frostport.store.files import DiskFolder, Folder
from frostport.store.frames import FRAME_HEADER, SEGMENT_HEADER, Frame
from frostport.store.index import SIZE
from frostport.store.recovery import MANIFEST_NAME, Contents, Segment
from frostport.store.watermark import Watermark

MAX_ATTEMPTS = 20  # to read or copy a store; a running agent may remove a segment meanwhile
REPAIR_BATCH_RECORDS = 256  # per batch of a repaired store


@dataclass(frozen=True, slots=True)
class VerifyResult:
    """Summary of a sound store. Sizes in bytes."""

    records: int
    segments: int
    log_bytes: int
    live_bytes: int
    sequence: int
    acknowledged: int
    torn_bytes: int


def open_existing(path: pathlib.Path) -> DiskFolder:
    """Opens a folder; raises StoreError if it does not exist."""
    if not path.is_dir():
        raise StoreError(f"{path}: no such folder")
    return DiskFolder(path, make=False)


def contents(path: pathlib.Path) -> Contents:
    """Reads a whole store from its log, without a lock; changes nothing.

    Raises StoreError, also if there is no store, or OSError."""
    for _ in range(MAX_ATTEMPTS):
        try:
            found = recovery.read_store(open_existing(path))
        except (FileNotFoundError, DamagedError):
            # A running agent may clean a segment while it is read: it counts as damage only if no agent runs.
            if not is_being_written(path):
                raise
            continue
        if found is None:
            raise StoreError(f"{path}: the folder contains no store")
        return found
    raise StoreError(
        f"{path}: an agent changed the store during each of {MAX_ATTEMPTS} attempts to read it; "
        "take a backup instead"
    )


def is_being_written(path: pathlib.Path) -> bool:
    """Returns whether an agent uses the store, that is, holds its lock."""
    folder = open_existing(path)
    try:
        folder.lock()
    except LockedError:
        return True
    folder.unlock()
    return False


def verify(path: pathlib.Path) -> VerifyResult:
    """Reads the whole store and summarizes it. Raises DamagedError if it is not sound."""
    found = contents(path)
    return VerifyResult(
        len(found.locations),
        len(found.segments),
        sum(segment.size for segment in found.segments),
        sum(location[SIZE] for location in found.locations.values()),
        found.sequence,
        found.acknowledged,
        found.torn_bytes,
    )


def dump(path: pathlib.Path) -> Iterator[tuple[str, bytes]]:
    """Yields all live records, sorted by key."""
    found = contents(path)
    yield from sorted(found.values.items())


def backup(path: pathlib.Path, target: pathlib.Path) -> VerifyResult:
    """Copies a store to an empty or new folder, also while an agent uses it.

    The copy is the store as it was at some moment during the copying. Raises StoreError, OSError."""
    source = open_existing(path)
    copy = DiskFolder(target)
    if copy.names():
        raise StoreError(f"{target}: the folder for the backup is not empty")
    for _ in range(MAX_ATTEMPTS):
        for name in copy.names():
            copy.remove(name)
        try:
            copy_once(source, copy)
            copy.sync()
            return verify(target)
        except (FileNotFoundError, DamagedError):
            if not is_being_written(path):
                raise
    raise StoreError(f"{path}: an agent changed the store during each of {MAX_ATTEMPTS} attempts to copy it")


def copy_once(source: Folder, copy: Folder) -> None:
    """Copies the manifest, the watermark and the segments that exist at the start, in this order.

    With the watermark before the segments, every record that it covers is in the copied log. All segments
    but the last one are complete."""
    numbers = sorted(number for name in source.names() if (number := frames.segment_number(name)) is not None)
    for name in (MANIFEST_NAME, watermark.FILE_NAME, *(frames.segment_name(number) for number in numbers)):
        data = recovery.read_file(source, name)
        if name != MANIFEST_NAME and name != watermark.FILE_NAME and not data:
            continue
        file = copy.open(name, create=True)
        file.append(data)
        file.sync()
        file.close()


def compact(path: pathlib.Path, limits: Limits | None = None) -> tuple[int, int]:
    """Cleans all segments of a store that no process uses. Returns its size in bytes before and after."""
    open_existing(path)
    engine = Engine.open(DiskFolder(path), limits)
    try:
        before = engine.total_bytes
        engine.compact()
        return before, engine.total_bytes
    finally:
        engine.close()


# Repair


@dataclass(slots=True)
class Salvage:
    """The records that are still readable, and a line for each part of the store that is not."""

    values: dict[str, bytes]
    dropped: list[str]
    sequence: int = 0


def repair(path: pathlib.Path) -> list[str]:
    """Builds a store of all records that are still readable, and keeps the damaged one under another name.

    Returns a line for each part that was dropped, with file and offset. If the store was sound it stays
    unchanged, and there are none."""
    folder = open_existing(path)
    folder.lock()
    try:
        try:
            if recovery.read_store(folder) is not None:
                return []
        except DamagedError:
            pass
        salvage = salvage_records(folder)
        repaired = path.with_name(f"{path.name}.repaired-{secrets.token_hex(4)}")
        write_repaired_store(DiskFolder(repaired), salvage)
        damaged = path.with_name(f"{path.name}.damaged-{secrets.token_hex(4)}")
        path.rename(damaged)
        repaired.rename(path)
        return [*salvage.dropped, f"the damaged store is kept as {damaged.name}"]
    finally:
        folder.unlock()


def salvage_records(folder: Folder) -> Salvage:
    """Reads every sound record of the log, and lists what was skipped."""
    salvage = Salvage({}, [])
    try:
        found = recovery.read_manifest(folder)
    except DamagedError as problem:
        found = None
        salvage.dropped.append(str(problem))
    numbers = sorted(number for name in folder.names() if (number := frames.segment_number(name)) is not None)
    oldest = found[1] if found is not None else 0
    batch: list[Frame] = []
    for number in [number for number in numbers if number >= oldest]:
        name = frames.segment_name(number)
        data = recovery.read_file(folder, name)
        position = (
            SEGMENT_HEADER.size
            if frames.unpack_with_crc(SEGMENT_HEADER, frames.SEGMENT_MAGIC, data) is not None
            else 0
        )
        if not position:
            salvage.dropped.append(f"{name}:0: its head")
        while position < len(data):
            frame = frames.decode(data, position)
            if frame is None or frame.sequence <= salvage.sequence:
                end = find_next_frame(data, position + 1, salvage.sequence)
                salvage.dropped.append(f"{name}:{position}: {end - position} bytes that hold no sound record")
                position = end
                continue
            if batch and frame.sequence != batch[-1].sequence + 1:
                drop_batch(salvage, name, batch)
            lost = frame.sequence - salvage.sequence - 1
            if lost and salvage.sequence:
                salvage.dropped.append(
                    f"{name}:{position}: {lost} records before {frame.sequence} are lost: "
                    "what they changed or deleted is as it was before them"
                )
            salvage.sequence = frame.sequence
            batch.append(frame)
            position += frame.size
            if frame.last:
                for change in batch:
                    salvage.values.pop(change.key, None)
                    if change.value is not None:
                        salvage.values[change.key] = change.value
                batch.clear()
    if batch:
        drop_batch(salvage, "the end", batch)
    slot = (
        watermark.read_slots(recovery.read_file(folder, watermark.FILE_NAME))
        if watermark.FILE_NAME in folder.names()
        else None
    )
    if slot is None:
        salvage.dropped.append(
            f"{watermark.FILE_NAME}:0: not readable: what was acknowledged can't be checked"
        )
    elif slot[1] > salvage.sequence:
        salvage.dropped.append(
            f"{watermark.FILE_NAME}:0: records {salvage.sequence + 1} to {slot[1]} "
            "were acknowledged and are lost"
        )
    return salvage


def drop_batch(salvage: Salvage, name: str, batch: list[Frame]) -> None:
    """Lists a batch that has no end as dropped, and clears it."""
    salvage.dropped.append(
        f"{name}: records {batch[0].sequence} to {batch[-1].sequence}: "
        "a batch without its end: " + ", ".join(frame.key for frame in batch)
    )
    batch.clear()


def find_next_frame(data: bytes, position: int, sequence: int) -> int:
    """Returns the position of the next sound frame with a higher sequence number, or the end."""
    while position < len(data) - FRAME_HEADER.size:
        _, length, number, flags = FRAME_HEADER.unpack_from(data, position)
        if (
            flags <= frames.LAST_IN_BATCH
            and number > sequence
            and position + FRAME_HEADER.size + length <= len(data)
            and frames.decode(data, position) is not None
        ):
            return position
        position += 1
    return len(data)


def write_repaired_store(folder: Folder, salvage: Salvage) -> None:
    """Creates a store with the salvaged records. Their sequence numbers follow those of the damaged store."""
    store_id = secrets.randbits(32)
    create_store(folder, store_id)
    segment = Segment(1, salvage.sequence + 1, SEGMENT_HEADER.size)
    file = create_segment(folder, store_id, segment)
    changes = list(salvage.values.items())
    sequence = salvage.sequence
    for position in range(0, len(changes), REPAIR_BATCH_RECORDS):
        part = changes[position : position + REPAIR_BATCH_RECORDS]
        data = b"".join(
            frames.encode(change, sequence + 1 + number, number == len(part) - 1)
            for number, change in enumerate(part)
        )
        sequence += len(part)
        file.append(data)
    file.sync()
    file.close()
    write_manifest(folder, store_id, segment)
    written = Watermark.load(folder, store_id)
    written.sequence = sequence
    written.write_both_slots()
    written.close()
