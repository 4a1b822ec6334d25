"""The engine: appends batches to the log, keeps places, cleans the oldest segment, checkpoints the index.

One owner, one thread. A call either returns with its promise kept or raises; after a failed write or sync
nothing
is promised any more until the next open.
"""

from __future__ import annotations

import itertools
import logging
import secrets
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from frostport.store import frames, recovery
from frostport.store.errors import FailedError, LimitError
from frostport.store.files import File, Folder
from frostport.store.frames import MANIFEST, MANIFEST_MAGIC, Change
from frostport.store.index import SEGMENT, SEQUENCE, SIZE, Index, Place, Point, grain
from frostport.store.mark import Mark
from frostport.store.places import Places
from frostport.store.recovery import MANIFEST_NAME, Contents, Segment

log = logging.getLogger("frostport.store")

SPACE, SPACE_SEGMENTS = 2.5, 1.0  # the log is at most so many times the live data, plus so many segments
CLEAN, CLEAN_SEGMENTS = 1.5, 0.5  # cleaning begins above this
COPIES, COPY_BYTES = 64, 64 * 1024  # records and bytes that one step of cleaning copies at most
PROBE = "probe.new"  # left over by a crash, the next start removes it
SPARE, FRAME = 4096, 64  # bytes that a probe asks for above what will be written: in all, and a record
ROWS = 256  # of the index that one step of a checkpoint writes


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes; `checkpoint_records`: changes after which the index is written."""

    segment_bytes: int = 4 * 1024 * 1024
    record_bytes: int = 256 * 1024
    store_bytes: int = 1024 * 1024 * 1024
    checkpoint_records: int = 20_000


class Engine:
    """An open store. `recovered` holds what it came back with until the caller takes it."""

    def __init__(self, folder: Folder, limits: Limits, contents: Contents, mark: Mark, index: Index) -> None:
        self.folder, self.limits, self.mark, self.index = folder, limits, mark, index
        self.store, self.segments = contents.store, contents.segments
        self.places = Places(contents.places)
        self.recovered = contents.values
        self.sequence = self.synced = contents.sequence
        self.live_bytes = sum(place[SIZE] for place in self.places.values())
        self.total_bytes = sum(segment.size for segment in self.segments)
        self.digest = sum(grain(place[SEQUENCE]) for place in self.places.values())
        self.failure: str | None = None
        self.cleaned = self.checkpoints = 0
        self._dirty: dict[str, Place | None] = {}
        self._since = 0  # changes since the last checkpoint began
        self._rows: Iterator[tuple[str, Place | None]] | None = None  # what a checkpoint has still to write
        self._point: Point | None = None
        self._files: dict[int, File] = {}
        self._sound = (contents.segments[-1].number, contents.segments[-1].size)  # what a sync has covered
        if contents.from_index is None:
            index.lose("made again from the log")
            index.open()
            self._dirty.update(self.places)
            self._since = limits.checkpoint_records if self.places else 0
        else:
            self._dirty.update((key, self.places.get(key)) for key in contents.changed)
            self._since = len(self._dirty)

    # Opening and closing

    @classmethod
    def open(
        cls, folder: Folder, limits: Limits | None = None, store: int | None = None, locked: bool = False
    ) -> Engine:
        """Recovers what is there, or makes a store. Raises a StoreError or OSError; nothing is then
        changed. `locked`: the caller holds the folder's lock, and keeps it whatever comes of this."""
        if not locked:
            folder.lock()
        index = Index(folder)
        try:
            index.open()
            contents = recovery.read(folder, index)
            if contents is None:
                contents = create(folder, secrets.randbits(32) if store is None else store)
            mark = mend(folder, contents)
        except BaseException:
            index.close()
            if not locked:
                folder.unlock()
            raise
        return cls(folder, limits or Limits(), contents, mark, index)

    def take_recovered(self) -> dict[str, bytes]:
        recovered, self.recovered = self.recovered, {}
        return recovered

    def close(self, unlock: bool = True) -> None:
        """Syncs, writes the checkpoint to its end, and lets go of the folder."""
        try:
            if self.failure is None:
                self.sync()
                self.checkpoint()
                self.mark.settle()
        except (FailedError, OSError) as problem:
            log.error("store: not closed cleanly: %s", problem)
        finally:
            for file in self._files.values():
                file.close()
            self._files.clear()
            self.mark.close()
            self.index.close()
            if unlock:
                self.folder.unlock()

    def revive(self, changes: Sequence[Change]) -> Engine:
        """After a failure: a new engine on the same files, with these changes durable in it.

        Guards against believing what a failed sync has left in the system's memory: all that no sync has
        covered is cut off, and `changes` has to hold it (an overlay of the newest value of each key).
        Raises StoreError or OSError where it can't be done (yet): then this one stays, failed as it was, and
        the folder's lock is kept."""
        for file in self._files.values():
            file.close()
        self._files.clear()
        self.index.close()
        self.mark.close()
        probe(self.folder, sum(len(key) + len(value or b"") + FRAME for key, value in changes))
        number, size = self._sound
        file = self.folder.open(frames.segment_name(number))
        try:
            if file.size() > size:
                file.truncate(size)
            file.sync()
        finally:
            file.close()
        for name in sorted(self.folder.names()):  # a successor that was begun when the failure came
            if (frames.segment_number(name) or 0) > number:
                self.folder.remove(name)
        write_manifest(self.folder, self.store, self.segments[0])
        engine = Engine.open(self.folder, self.limits, locked=True)
        engine.take_recovered()
        try:
            engine._roll()
            engine.append(changes)
            engine.sync()
        except BaseException:
            self._sound = engine._sound
            self.segments = engine.segments
            engine.index.close()
            engine.mark.close()
            for file in engine._files.values():
                file.close()
            raise
        return engine

    # Writing

    def append(self, changes: Sequence[Change]) -> int:
        """Writes a batch, which is there as a whole or not at all; durable only after `sync`.

        Returns the sequence number of its last record. Raises LimitError (nothing was written) or
        FailedError."""
        self._check()
        changes = self._needed(changes)
        if not changes:
            return self.sequence
        first = self.sequence + 1
        parts = [
            frames.encode(change, first + number, number == len(changes) - 1)
            for number, change in enumerate(changes)
        ]
        growth = 0
        for part, (key, value) in zip(parts, changes, strict=True):
            if len(part) > self.limits.record_bytes:
                raise LimitError(f"record {key[:80]!r}: {len(part)} bytes, over {self.limits.record_bytes}")
            growth += len(part) if value is not None else 0
        size = sum(map(len, parts))
        if growth and self.live_bytes + growth > self.limits.store_bytes:
            raise LimitError(f"{self.live_bytes} bytes live, over {self.limits.store_bytes} with the batch")
        # Guards the bound on space: what a step in passing has not cleaned is cleaned before the log grows.
        while (
            self.total_bytes + size > SPACE * self.live_bytes + SPACE_SEGMENTS * self.limits.segment_bytes
            and len(self.segments) > 1
        ):
            self._clean()
            first_now = self.sequence + 1
            if first_now != first:  # copies went before: the batch is numbered anew
                return self.append(changes)
        self._write(changes, parts, size)
        return self.sequence

    def _needed(self, changes: Sequence[Change]) -> Sequence[Change]:
        """Without deletions of what is not there: they would only fill the log."""
        put = {key for key, value in changes if value is not None}
        return [
            change
            for change in changes
            if change[1] is not None or change[0] in self.places or change[0] in put
        ]

    def _write(self, changes: Sequence[Change], parts: list[bytes], size: int) -> None:
        active = self.segments[-1]
        if active.size + size > self.limits.segment_bytes and active.size > frames.SEGMENT.size:
            active = self._roll()
        try:
            self._file(active).append(b"".join(parts))
        except OSError as problem:
            raise self._fail(frames.segment_name(active.number), active.size, problem) from problem
        for (key, value), part in zip(changes, parts, strict=True):
            self.sequence += 1
            self._forget(key)
            if value is None:
                self.places.pop(key, None)
            else:
                self.places[key] = (self.sequence, active.number, active.size, len(part))
                active.live[key] = None
                self.live_bytes += len(part)
                self.digest += grain(self.sequence)
            if self.index.database is not None:
                self._dirty[key] = self.places.get(key)
                self._since += 1
            active.size += len(part)
            self.total_bytes += len(part)

    def _forget(self, key: str) -> None:
        """Takes a key's record out of the accounts. Its place is written over, not removed: guards the
        reactor's turns against a large dictionary that is built anew after every so many removals."""
        old = self.places.get(key)
        if old is not None:
            self.live_bytes -= old[SIZE]
            self.digest -= grain(old[SEQUENCE])
            del self._segment(old[SEGMENT]).live[key]

    def sync(self) -> int:
        """Makes all that was appended durable; returns up to which record. Raises FailedError."""
        self._check()
        if self.synced < self.sequence:
            active = self.segments[-1]
            try:
                self._file(active).sync()
                self._sound = (active.number, active.size)
                self.mark.set(self.sequence)
            except OSError as problem:
                raise self._fail(frames.segment_name(active.number), active.size, problem) from problem
            self.synced = self.sequence
        return self.synced

    def _roll(self) -> Segment:
        """A new segment: its predecessor is durable first, so that only the last one may ever be torn."""
        self.sync()
        segment = Segment(self.segments[-1].number + 1, self.sequence + 1, frames.SEGMENT.size)
        try:
            self._files[segment.number] = start_segment(self.folder, self.store, segment)
            self.folder.sync()
        except OSError as problem:
            raise self._fail(frames.segment_name(segment.number), 0, problem) from problem
        self.segments.append(segment)
        self._sound = (segment.number, segment.size)
        self.total_bytes += frames.SEGMENT.size
        return segment

    # Work in the background, in bounded steps

    def tidy(self) -> bool:
        """One step of cleaning or of a checkpoint; whether there is more to do. Raises FailedError."""
        if self.failure is not None:
            return False
        if self._unclean():
            self._clean()
        elif self._rows is not None:
            self._checkpoint_step()
        elif self._checkpoint_due():
            self._begin_checkpoint()
        else:
            return False
        return True

    def untidy(self) -> bool:
        """Whether `tidy` has anything to do."""
        return self.failure is None and (self._unclean() or self._rows is not None or self._checkpoint_due())

    def _unclean(self) -> bool:
        return len(self.segments) > 1 and (
            not self.segments[0].live
            or self.total_bytes > CLEAN * self.live_bytes + CLEAN_SEGMENTS * self.limits.segment_bytes
        )

    def _checkpoint_due(self) -> bool:
        return self._since >= self.limits.checkpoint_records and self.index.database is not None

    def _clean(self) -> None:
        """Copies a few live records of the oldest segment to the end; once it has none, it goes.

        Deletions in it may go with it: whatever they deleted stood in a segment older still."""
        oldest = self.segments[0]
        changes: list[Change] = []
        size = 0
        for key in itertools.islice(oldest.live, COPIES):
            changes.append((key, self.value(key)))
            size += self.places[key][SIZE]
            if size >= COPY_BYTES:
                break
        if changes:
            first = self.sequence + 1
            parts = [
                frames.encode(change, first + number, number == len(changes) - 1)
                for number, change in enumerate(changes)
            ]
            self._write(changes, parts, sum(map(len, parts)))
        if not oldest.live:
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        """The copies are durable, then the manifest names the next segment, and only then the file goes."""
        self.sync()
        oldest, following = self.segments[0], self.segments[1]
        try:
            write_manifest(self.folder, self.store, following)
            if (file := self._files.pop(oldest.number, None)) is not None:
                file.close()
            self.folder.remove(frames.segment_name(oldest.number))
        except OSError as problem:
            raise self._fail(MANIFEST_NAME, 0, problem) from problem
        del self.segments[0]
        self.total_bytes -= oldest.size
        self.cleaned += 1

    def compact(self) -> None:
        """Cleans every segment that is there now, whatever it holds."""
        last = self.segments[-1].number - 1
        if self.segments[-1].size > frames.SEGMENT.size:
            last = self._roll().number - 1
        while self.segments[0].number <= last:
            self._clean()

    def _begin_checkpoint(self) -> None:
        """Guards the index against being ahead of what is durable: the log is synced first."""
        self.sync()
        active = self.segments[-1]
        self._point = Point(
            self.store, self.sequence, active.number, active.size, len(self.places), self.digest
        )
        self._rows, self._dirty, self._since = iter(self._dirty.items()), {}, 0

    def _checkpoint_step(self) -> None:
        assert self._rows is not None and self._point is not None
        rows = list(itertools.islice(self._rows, ROWS))
        if rows:
            self.index.write(rows)
        if len(rows) < ROWS:
            self.index.finish(self._point)
            self._rows = self._point = None
            self.checkpoints += 1
            if self.index.database is None:
                self._dirty.clear()

    def checkpoint(self) -> None:
        """Writes the index to its end, now."""
        while self._rows is not None:
            self._checkpoint_step()
        if self._dirty and self.index.database is not None:
            self._begin_checkpoint()
            while self._rows is not None:
                self._checkpoint_step()

    # Reading

    def value(self, key: str) -> bytes | None:
        """A live record's value, read back and checked. Raises FailedError where it is damaged."""
        place = self.places.get(key)
        if place is None:
            return None
        sequence, number, offset, size = place
        segment = self._segment(number)
        name = frames.segment_name(segment.number)
        try:
            frame = frames.decode(self._file(segment).read_at(offset, size), 0, offset)
        except OSError as problem:
            raise self._fail(name, offset, problem) from problem
        if frame is None or frame.key != key or frame.sequence != sequence:
            raise self._fail(name, offset, OSError(5, "a live record is no longer readable"))
        return frame.value

    def values(self) -> Iterator[tuple[str, bytes]]:
        for key in list(self.places):
            value = self.value(key)
            if value is not None:
                yield key, value

    def _segment(self, number: int) -> Segment:
        return self.segments[number - self.segments[0].number]

    def _file(self, segment: Segment) -> File:
        if segment.number not in self._files:
            self._files[segment.number] = self.folder.open(frames.segment_name(segment.number))
        return self._files[segment.number]

    def _check(self) -> None:
        if self.failure is not None:
            raise FailedError(self.failure)

    def _fail(self, name: str, offset: int, problem: OSError) -> FailedError:
        """Guards against a second try at a failed sync: the system may have dropped what it could not
        write."""
        self.failure = f"{name}:{offset}: {problem.strerror or problem}"
        log.error("store: failed: %s", self.failure)
        return FailedError(self.failure)


def probe(folder: Folder, size: int) -> None:
    """Whether so many bytes can be written and synced. Raises OSError."""
    file = folder.open(PROBE, create=True)
    try:
        file.truncate(0)
        file.append(bytes(size + SPARE))
        file.sync()
    finally:
        file.close()
        folder.remove(PROBE)


def start_segment(folder: Folder, store: int, segment: Segment) -> File:
    file = folder.open(frames.segment_name(segment.number), create=True)
    file.truncate(0)  # guards against what a crash has left under this name
    file.append(frames.segment_head(store, segment.number, segment.first))
    file.sync()
    return file


def write_manifest(folder: Folder, store: int, oldest: Segment) -> None:
    """Replaces the manifest as a whole: a crash leaves the one or the other."""
    name = f"{MANIFEST_NAME}.new"
    file = folder.open(name, create=True)
    try:
        file.truncate(0)
        file.append(
            frames.with_crc(MANIFEST, MANIFEST_MAGIC, frames.FORMAT, store, oldest.number, oldest.first)
        )
        file.sync()
    finally:
        file.close()
    folder.replace(name, MANIFEST_NAME)
    folder.sync()


def create(folder: Folder, store: int) -> Contents:
    """A new store: the manifest comes last, and makes it one."""
    for name in folder.names():
        if frames.segment_number(name) is not None:
            folder.remove(name)
    Mark.create(folder, store).close()
    segment = Segment(1, 1, frames.SEGMENT.size)
    start_segment(folder, store, segment).close()
    folder.sync()
    write_manifest(folder, store, segment)
    return Contents(store, 0, [segment])


def mend(folder: Folder, contents: Contents) -> Mark:
    """After a crash: what is torn goes, what is there is made durable before anyone hears of it.

    Each step may be cut short and is then done again: reading the store gives the same contents after
    each."""
    last = contents.segments[-1]
    file = folder.open(frames.segment_name(last.number))
    try:
        if contents.torn:
            log.warning(
                "store: %s:%d: torn, %d bytes cut off",
                frames.segment_name(last.number),
                last.size,
                contents.torn,
            )
            file.truncate(last.size)
        file.sync()
    finally:
        file.close()
    for name in contents.leavings:
        folder.remove(name)
    folder.sync()
    mark = Mark.load(folder, contents.store)
    mark.sequence = max(mark.sequence, contents.sequence)
    mark.settle()
    return mark
