"""What the `store` commands do: verify, dump, backup, compact, repair. Each raises StoreError or OSError."""

from __future__ import annotations

import pathlib
import secrets
from collections.abc import Iterator
from dataclasses import dataclass

from frostport.store import frames, mark, recovery
from frostport.store.engine import Engine, Limits, create, start_segment, write_manifest
from frostport.store.errors import DamagedError, LockedError, StoreError
from frostport.store.files import DiskFolder, Folder
from frostport.store.frames import FRAME, SEGMENT, Frame
from frostport.store.index import SIZE
from frostport.store.mark import Mark
from frostport.store.recovery import MANIFEST_NAME, Contents, Segment

TRIES = 20  # a running agent may clean a segment while it is copied: the copy then begins anew
BATCH = 256  # records a batch of a repaired store


@dataclass(frozen=True, slots=True)
class Verified:
    """What `verify` found sound. Sizes in bytes."""

    records: int
    segments: int
    log_bytes: int
    live_bytes: int
    sequence: int
    acknowledged: int
    torn_bytes: int


def existing(path: pathlib.Path) -> DiskFolder:
    if not path.is_dir():
        raise StoreError(f"{path}: no such folder")
    return DiskFolder(path, make=False)


def contents(path: pathlib.Path) -> Contents:
    """All of a store, read by its whole log and without a lock; nothing is changed."""
    for _ in range(TRIES):
        try:
            found = recovery.read(existing(path))
        except (FileNotFoundError, DamagedError):
            # Guards against an agent that cleans while we read: a damage is one only if it stays.
            if not moving(path):
                raise
            continue
        if found is None:
            raise StoreError(f"{path}: no store in it")
        return found
    raise StoreError(f"{path}: changes faster than it can be read; take a backup instead")


def moving(path: pathlib.Path) -> bool:
    """Whether somebody writes to the store now."""
    folder = existing(path)
    try:
        folder.lock()
    except LockedError:
        return True
    folder.unlock()
    return False


def verify(path: pathlib.Path) -> Verified:
    found = contents(path)
    return Verified(
        len(found.places),
        len(found.segments),
        sum(segment.size for segment in found.segments),
        sum(place[SIZE] for place in found.places.values()),
        found.sequence,
        found.acknowledged,
        found.torn,
    )


def dump(path: pathlib.Path) -> Iterator[tuple[str, bytes]]:
    found = contents(path)
    yield from sorted(found.values.items())


def backup(path: pathlib.Path, target: pathlib.Path) -> Verified:
    """A copy that is as good as the store was at some moment during it, also beside a running agent."""
    source = existing(path)
    copy = DiskFolder(target)
    if copy.names():
        raise StoreError(f"{target}: not empty")
    for _ in range(TRIES):
        for name in copy.names():
            copy.remove(name)
        try:
            copy_once(source, copy)
            copy.sync()
            return verify(target)
        except (FileNotFoundError, DamagedError):
            if not moving(path):
                raise
    raise StoreError(f"{path}: changes faster than it can be copied")


def copy_once(source: Folder, copy: Folder) -> None:
    """The mark first: what it names is in any copy of the log that is taken after it.

    The segments that are there now are copied, and no later one: all but the last are whole."""
    numbers = sorted(number for name in source.names() if (number := frames.segment_number(name)) is not None)
    for name in (MANIFEST_NAME, mark.NAME, *(frames.segment_name(number) for number in numbers)):
        data = recovery.whole_file(source, name)
        if name != MANIFEST_NAME and name != mark.NAME and not data:
            continue
        file = copy.open(name, create=True)
        file.append(data)
        file.sync()
        file.close()


def compact(path: pathlib.Path, limits: Limits | None = None) -> tuple[int, int]:
    """Cleans all segments of a store that nobody uses; its size before and after."""
    existing(path)
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
    """What can still be read of a store, and a line for everything that can't."""

    values: dict[str, bytes]
    dropped: list[str]
    sequence: int = 0


def repair(path: pathlib.Path) -> list[str]:
    """Makes a store of all that can still be read, and puts the damaged one aside, whole.

    Returns a line for each thing dropped, with file and offset; none if the store was sound, and is as it
    was."""
    folder = existing(path)
    folder.lock()
    try:
        try:
            if recovery.read(folder) is not None:
                return []
        except DamagedError:
            pass
        salvage = read_what_can_be(folder)
        fresh = path.with_name(f"{path.name}.repaired-{secrets.token_hex(4)}")
        write_anew(DiskFolder(fresh), salvage)
        aside = path.with_name(f"{path.name}.damaged-{secrets.token_hex(4)}")
        path.rename(aside)
        fresh.rename(path)
        return [*salvage.dropped, f"the damaged store is kept as {aside.name}"]
    finally:
        folder.unlock()


def read_what_can_be(folder: Folder) -> Salvage:
    salvage = Salvage({}, [])
    try:
        found = recovery.manifest(folder)
    except DamagedError as problem:
        found = None
        salvage.dropped.append(str(problem))
    numbers = sorted(number for name in folder.names() if (number := frames.segment_number(name)) is not None)
    oldest = found[1] if found is not None else 0
    batch: list[Frame] = []
    for number in [number for number in numbers if number >= oldest]:
        name = frames.segment_name(number)
        data = recovery.whole_file(folder, name)
        at = SEGMENT.size if frames.read_fixed(SEGMENT, frames.SEGMENT_MAGIC, data) is not None else 0
        if not at:
            salvage.dropped.append(f"{name}:0: its head")
        while at < len(data):
            frame = frames.decode(data, at)
            if frame is None or frame.sequence <= salvage.sequence:
                end = next_frame(data, at + 1, salvage.sequence)
                salvage.dropped.append(f"{name}:{at}: {end - at} bytes that hold no sound record")
                at = end
                continue
            if batch and frame.sequence != batch[-1].sequence + 1:
                drop_batch(salvage, name, batch)
            lost = frame.sequence - salvage.sequence - 1
            if lost and salvage.sequence:
                salvage.dropped.append(
                    f"{name}:{at}: {lost} records before {frame.sequence} are lost: "
                    "what they changed or deleted is as it was before them"
                )
            salvage.sequence = frame.sequence
            batch.append(frame)
            at += frame.size
            if frame.last:
                for one in batch:
                    salvage.values.pop(one.key, None)
                    if one.value is not None:
                        salvage.values[one.key] = one.value
                batch.clear()
    if batch:
        drop_batch(salvage, "the end", batch)
    place = mark.read(recovery.whole_file(folder, mark.NAME)) if mark.NAME in folder.names() else None
    if place is None:
        salvage.dropped.append(f"{mark.NAME}:0: not readable: what was acknowledged can't be checked")
    elif place[1] > salvage.sequence:
        salvage.dropped.append(
            f"{mark.NAME}:0: records {salvage.sequence + 1} to {place[1]} were acknowledged and are lost"
        )
    return salvage


def drop_batch(salvage: Salvage, name: str, batch: list[Frame]) -> None:
    salvage.dropped.append(
        f"{name}: records {batch[0].sequence} to {batch[-1].sequence}: "
        "a batch without its end: " + ", ".join(frame.key for frame in batch)
    )
    batch.clear()


def next_frame(data: bytes, at: int, sequence: int) -> int:
    """Where the next sound frame begins, or the end."""
    while at < len(data) - FRAME.size:
        _, length, number, flags = FRAME.unpack_from(data, at)
        if (
            flags <= frames.LAST
            and number > sequence
            and at + FRAME.size + length <= len(data)
            and frames.decode(data, at) is not None
        ):
            return at
        at += 1
    return len(data)


def write_anew(folder: Folder, salvage: Salvage) -> None:
    """A store with these records, their sequence numbers after those of the old one."""
    store = secrets.randbits(32)
    create(folder, store)
    segment = Segment(1, salvage.sequence + 1, SEGMENT.size)
    file = start_segment(folder, store, segment)
    changes = list(salvage.values.items())
    sequence = salvage.sequence
    for at in range(0, len(changes), BATCH):
        part = changes[at : at + BATCH]
        data = b"".join(
            frames.encode(change, sequence + 1 + number, number == len(part) - 1)
            for number, change in enumerate(part)
        )
        sequence += len(part)
        file.append(data)
    file.sync()
    file.close()
    write_manifest(folder, store, segment)
    written = Mark.load(folder, store)
    written.sequence = sequence
    written.settle()
    written.close()
