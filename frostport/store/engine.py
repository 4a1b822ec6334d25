"""The store's engine: appends batches to the log, tracks where each live record is, cleans the oldest
segment and checkpoints the index.

It has one owner and is called on one thread at a time. A call either returns with its guarantee met or
raises; after a failed write or sync it guarantees nothing until the store is opened again.
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
from frostport.store.index import SEGMENT, SEQUENCE, SIZE, Checkpoint, Index, Location, digest_term
from frostport.store.locations import LocationMap
from frostport.store.recovery import MANIFEST_NAME, Contents, Segment
from frostport.store.watermark import Watermark

log = logging.getLogger("frostport.store")

# The log's size is at most MAX_SPACE_RATIO times the live bytes plus MAX_SPACE_SEGMENTS segments. Cleaning
# starts above CLEAN_RATIO times the live bytes plus CLEAN_SEGMENTS segments.
MAX_SPACE_RATIO = 2.5
MAX_SPACE_SEGMENTS = 1.0
CLEAN_RATIO = 1.5
CLEAN_SEGMENTS = 0.5
# One step of cleaning copies at most CLEAN_STEP_RECORDS records, and stops at CLEAN_STEP_BYTES bytes.
CLEAN_STEP_RECORDS = 64
CLEAN_STEP_BYTES = 64 * 1024
PROBE_NAME = "probe.new"  # file that a write test creates; one left by a crash is removed at the next start
# What a write test writes in addition to the keys and values to be written: in all, and for each record.
PROBE_EXTRA_BYTES = 4096
PROBE_RECORD_BYTES = 64
CHECKPOINT_STEP_ROWS = 256  # index rows that one step of a checkpoint writes


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes. `checkpoint_records`: number of changes after which the index is written."""

    segment_bytes: int = 4 * 1024 * 1024
    record_bytes: int = 256 * 1024
    store_bytes: int = 1024 * 1024 * 1024
    checkpoint_records: int = 20_000


class Engine:
    """An open store. `recovered` holds the values found on disk until the caller takes them."""

    def __init__(
        self, folder: Folder, limits: Limits, contents: Contents, watermark: Watermark, index: Index
    ) -> None:
        self.folder = folder
        self.limits = limits
        self.watermark = watermark
        self.index = index
        self.store_id = contents.store_id
        self.segments = contents.segments
        self.locations = LocationMap(contents.locations)
        self.recovered = contents.values
        self.sequence = self.synced = contents.sequence
        self.live_bytes = sum(location[SIZE] for location in self.locations.values())
        self.total_bytes = sum(segment.size for segment in self.segments)
        self.digest = sum(digest_term(location[SEQUENCE]) for location in self.locations.values())
        self.failure: str | None = None
        self.cleaned = self.checkpoints = 0  # segments removed, checkpoints completed
        self._dirty: dict[str, Location | None] = {}
        self._changes_since_checkpoint = 0  # since the last checkpoint began
        # rows that the running checkpoint has yet to write; None if none runs
        self._checkpoint_rows: Iterator[tuple[str, Location | None]] | None = None
        self._pending_checkpoint: Checkpoint | None = None
        self._open_files: dict[int, File] = {}
        # number and size of the last segment, as covered by the last sync
        self._durable_end = (contents.segments[-1].number, contents.segments[-1].size)
        if contents.verified_checkpoint is None:
            index.discard("rebuilding it from the log")
            index.open()
            self._dirty.update(self.locations)
            self._changes_since_checkpoint = limits.checkpoint_records if self.locations else 0
        else:
            self._dirty.update((key, self.locations.get(key)) for key in contents.changed_keys)
            self._changes_since_checkpoint = len(self._dirty)

    # Opening and closing

    @classmethod
    def open(
        cls, folder: Folder, limits: Limits | None = None, store_id: int | None = None, locked: bool = False
    ) -> Engine:
        """Recovers the store in `folder`, or creates one.

        `locked`: the caller already holds the folder's lock and keeps it, also if this fails. Raises
        StoreError or OSError; the store's data is then unchanged."""
        if not locked:
            folder.lock()
        index = Index(folder)
        try:
            index.open()
            contents = recovery.read_store(folder, index)
            if contents is None:
                contents = create_store(folder, secrets.randbits(32) if store_id is None else store_id)
            watermark = repair_after_crash(folder, contents)
        except BaseException:
            index.close()
            if not locked:
                folder.unlock()
            raise
        return cls(folder, limits or Limits(), contents, watermark, index)

    def take_recovered(self) -> dict[str, bytes]:
        """Returns the recovered values and drops the engine's own reference to them."""
        recovered = self.recovered
        self.recovered = {}
        return recovered

    def close(self, unlock: bool = True) -> None:
        """Syncs the log, completes a checkpoint, closes all files and, with `unlock`, releases the
        folder's lock."""
        try:
            if self.failure is None:
                self.sync()
                self.checkpoint()
                self.watermark.write_both_slots()
        except (FailedError, OSError) as problem:
            log.error("store: final sync, checkpoint or watermark write failed while closing: %s", problem)
        finally:
            for file in self._open_files.values():
                file.close()
            self._open_files.clear()
            self.watermark.close()
            self.index.close()
            if unlock:
                self.folder.unlock()

    def reopen(self, changes: Sequence[Change]) -> Engine:
        """After a failure, returns a new engine on the same files in which `changes` are durable.

        After a failed sync the page cache may claim data that never reached the disk. Everything that no
        successful sync has covered is therefore cut off, and `changes` must contain it, as the newest
        value of each key. Raises StoreError or OSError if this is not possible (yet): this engine then
        stays failed and the folder's lock is kept."""
        for file in self._open_files.values():
            file.close()
        self._open_files.clear()
        self.index.close()
        self.watermark.close()
        check_writable(
            self.folder, sum(len(key) + len(value or b"") + PROBE_RECORD_BYTES for key, value in changes)
        )
        number, size = self._durable_end
        file = self.folder.open(frames.segment_name(number))
        try:
            if file.size() > size:
                file.truncate(size)
            file.sync()
        finally:
            file.close()
        for name in sorted(self.folder.names()):  # a segment being created at the failure
            if (frames.segment_number(name) or 0) > number:
                self.folder.remove(name)
        write_manifest(self.folder, self.store_id, self.segments[0])
        engine = Engine.open(self.folder, self.limits, locked=True)
        engine.take_recovered()
        try:
            engine._roll()
            engine.append(changes)
            engine.sync()
        except BaseException:
            self._durable_end = engine._durable_end
            self.segments = engine.segments
            engine.index.close()
            engine.watermark.close()
            for file in engine._open_files.values():
                file.close()
            raise
        return engine

    # Writing

    def append(self, changes: Sequence[Change]) -> int:
        """Writes a batch atomically: after a crash it is there as a whole or not at all. It is durable
        only after `sync`.

        Returns the sequence number of its last record. Raises LimitError (nothing was written) or
        FailedError."""
        self._check_usable()
        changes = self._without_redundant_deletions(changes)
        if not changes:
            return self.sequence
        first = self.sequence + 1
        encoded = [
            frames.encode(change, first + number, number == len(changes) - 1)
            for number, change in enumerate(changes)
        ]
        growth = 0
        for part, (key, value) in zip(encoded, changes, strict=True):
            if len(part) > self.limits.record_bytes:
                raise LimitError(
                    f"record {key[:80]!r} is too large: {len(part)} bytes, over the limit of "
                    f"{self.limits.record_bytes}"
                )
            growth += len(part) if value is not None else 0
        size = sum(map(len, encoded))
        if growth and self.live_bytes + growth > self.limits.store_bytes:
            raise LimitError(
                f"store is full: {self.live_bytes} bytes live, over the limit of {self.limits.store_bytes} "
                f"with the {growth} bytes of this batch"
            )
        # Guards the bound on disk space: what the background steps have not cleaned yet is cleaned before the
        # log grows.
        while (
            self.total_bytes + size
            > MAX_SPACE_RATIO * self.live_bytes + MAX_SPACE_SEGMENTS * self.limits.segment_bytes
            and len(self.segments) > 1
        ):
            self._clean_step()
            first_now = self.sequence + 1
            if first_now != first:  # copies were appended: the batch needs new sequence numbers
                return self.append(changes)
        self._write(changes, encoded, size)
        return self.sequence

    def _without_redundant_deletions(self, changes: Sequence[Change]) -> Sequence[Change]:
        """Omits deletions of keys that do not exist: they would only fill the log."""
        put = {key for key, value in changes if value is not None}
        return [
            change
            for change in changes
            if change[1] is not None or change[0] in self.locations or change[0] in put
        ]

    def _write(self, changes: Sequence[Change], encoded: list[bytes], size: int) -> None:
        active = self.segments[-1]
        if active.size + size > self.limits.segment_bytes and active.size > frames.SEGMENT_HEADER.size:
            active = self._roll()
        try:
            self._open_file(active).append(b"".join(encoded))
        except OSError as problem:
            raise self._fail(frames.segment_name(active.number), active.size, problem) from problem
        for (key, value), part in zip(changes, encoded, strict=True):
            self.sequence += 1
            self._remove_from_totals(key)
            if value is None:
                self.locations.pop(key, None)
            else:
                self.locations[key] = (self.sequence, active.number, active.size, len(part))
                active.live_keys[key] = None
                self.live_bytes += len(part)
                self.digest += digest_term(self.sequence)
            if self.index.database is not None:
                self._dirty[key] = self.locations.get(key)
                self._changes_since_checkpoint += 1
            active.size += len(part)
            self.total_bytes += len(part)

    def _remove_from_totals(self, key: str) -> None:
        """Subtracts a key's current record from the totals.

        Its entry in `locations` is overwritten, not removed: a dictionary is rebuilt after a number of
        removals, and rebuilding a large one holds up the reactor."""
        old = self.locations.get(key)
        if old is not None:
            self.live_bytes -= old[SIZE]
            self.digest -= digest_term(old[SEQUENCE])
            del self._segment(old[SEGMENT]).live_keys[key]

    def sync(self) -> int:
        """Makes everything appended durable. Returns the last durable sequence number. Raises FailedError."""
        self._check_usable()
        if self.synced < self.sequence:
            active = self.segments[-1]
            try:
                self._open_file(active).sync()
                self._durable_end = (active.number, active.size)
                self.watermark.advance(self.sequence)
            except OSError as problem:
                raise self._fail(frames.segment_name(active.number), active.size, problem) from problem
            self.synced = self.sequence
        return self.synced

    def _roll(self) -> Segment:
        """Starts a new segment. Its predecessor is synced first, so that only the last segment can be
        torn."""
        self.sync()
        segment = Segment(self.segments[-1].number + 1, self.sequence + 1, frames.SEGMENT_HEADER.size)
        try:
            self._open_files[segment.number] = create_segment(self.folder, self.store_id, segment)
            self.folder.sync()
        except OSError as problem:
            raise self._fail(frames.segment_name(segment.number), 0, problem) from problem
        self.segments.append(segment)
        self._durable_end = (segment.number, segment.size)
        self.total_bytes += frames.SEGMENT_HEADER.size
        return segment

    # Background work, in bounded steps

    def run_background_step(self) -> bool:
        """Does one bounded step of cleaning or of a checkpoint; returns whether there was any to do.
        Raises FailedError."""
        if self.failure is not None:
            return False
        if self._needs_cleaning():
            self._clean_step()
        elif self._checkpoint_rows is not None:
            self._checkpoint_step()
        elif self._checkpoint_due():
            self._begin_checkpoint()
        else:
            return False
        return True

    def has_background_work(self) -> bool:
        """Returns whether `run_background_step` has anything to do."""
        return self.failure is None and (
            self._needs_cleaning() or self._checkpoint_rows is not None or self._checkpoint_due()
        )

    def _needs_cleaning(self) -> bool:
        return len(self.segments) > 1 and (
            not self.segments[0].live_keys
            or self.total_bytes > CLEAN_RATIO * self.live_bytes + CLEAN_SEGMENTS * self.limits.segment_bytes
        )

    def _checkpoint_due(self) -> bool:
        return (
            self._changes_since_checkpoint >= self.limits.checkpoint_records
            and self.index.database is not None
        )

    def _clean_step(self) -> None:
        """Copies a few live records of the oldest segment to the end of the log; removes the segment once
        it has none left.

        Deletions in the oldest segment need no copy: the records that they deleted were in the same
        segment or in older ones, which are gone."""
        oldest = self.segments[0]
        changes: list[Change] = []
        size = 0
        for key in itertools.islice(oldest.live_keys, CLEAN_STEP_RECORDS):
            changes.append((key, self.value(key)))
            size += self.locations[key][SIZE]
            if size >= CLEAN_STEP_BYTES:
                break
        if changes:
            first = self.sequence + 1
            encoded = [
                frames.encode(change, first + number, number == len(changes) - 1)
                for number, change in enumerate(changes)
            ]
            self._write(changes, encoded, sum(map(len, encoded)))
        if not oldest.live_keys:
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        """Removes the oldest segment. In this order: the copies are synced, the manifest names the next
        segment, the file is removed."""
        self.sync()
        oldest = self.segments[0]
        following = self.segments[1]
        try:
            write_manifest(self.folder, self.store_id, following)
            if (file := self._open_files.pop(oldest.number, None)) is not None:
                file.close()
            self.folder.remove(frames.segment_name(oldest.number))
        except OSError as problem:
            raise self._fail(MANIFEST_NAME, 0, problem) from problem
        del self.segments[0]
        self.total_bytes -= oldest.size
        self.cleaned += 1

    def compact(self) -> None:
        """Cleans every existing segment, however much of it is live."""
        last = self.segments[-1].number - 1
        if self.segments[-1].size > frames.SEGMENT_HEADER.size:
            last = self._roll().number - 1
        while self.segments[0].number <= last:
            self._clean_step()

    def _begin_checkpoint(self) -> None:
        """Starts a checkpoint. The log is synced first: the index must never be ahead of what is durable."""
        self.sync()
        active = self.segments[-1]
        self._pending_checkpoint = Checkpoint(
            self.store_id, self.sequence, active.number, active.size, len(self.locations), self.digest
        )
        self._checkpoint_rows = iter(self._dirty.items())
        self._dirty = {}
        self._changes_since_checkpoint = 0

    def _checkpoint_step(self) -> None:
        assert self._checkpoint_rows is not None and self._pending_checkpoint is not None
        rows = list(itertools.islice(self._checkpoint_rows, CHECKPOINT_STEP_ROWS))
        if rows:
            self.index.write(rows)
        if len(rows) < CHECKPOINT_STEP_ROWS:
            self.index.commit(self._pending_checkpoint)
            self._checkpoint_rows = self._pending_checkpoint = None
            self.checkpoints += 1
            if self.index.database is None:
                self._dirty.clear()

    def checkpoint(self) -> None:
        """Completes a running checkpoint, then writes all remaining changes to the index."""
        while self._checkpoint_rows is not None:
            self._checkpoint_step()
        if self._dirty and self.index.database is not None:
            self._begin_checkpoint()
            while self._checkpoint_rows is not None:
                self._checkpoint_step()

    # Reading

    def value(self, key: str) -> bytes | None:
        """Reads a live record's value from disk and verifies it; None if there is no such key. Raises
        FailedError if it is damaged."""
        location = self.locations.get(key)
        if location is None:
            return None
        sequence, number, offset, size = location
        segment = self._segment(number)
        name = frames.segment_name(segment.number)
        try:
            frame = frames.decode(self._open_file(segment).read_at(offset, size), 0, offset)
        except OSError as problem:
            raise self._fail(name, offset, problem) from problem
        if frame is None or frame.key != key or frame.sequence != sequence:
            raise self._fail(name, offset, OSError(5, "a live record is no longer readable"))
        return frame.value

    def values(self) -> Iterator[tuple[str, bytes]]:
        """Yields all live records, read back and verified."""
        for key in list(self.locations):
            value = self.value(key)
            if value is not None:
                yield key, value

    def _segment(self, number: int) -> Segment:
        return self.segments[number - self.segments[0].number]

    def _open_file(self, segment: Segment) -> File:
        if segment.number not in self._open_files:
            self._open_files[segment.number] = self.folder.open(frames.segment_name(segment.number))
        return self._open_files[segment.number]

    def _check_usable(self) -> None:
        if self.failure is not None:
            raise FailedError(self.failure)

    def _fail(self, name: str, offset: int, problem: OSError) -> FailedError:
        """Marks the engine as failed and returns the error to raise.

        A failed sync must not be tried again: the system may have dropped the pages that it could not
        write, and a second sync would then succeed without them."""
        self.failure = f"{name}:{offset}: {problem.strerror or problem}"
        log.error("store: failed: %s", self.failure)
        return FailedError(self.failure)


def check_writable(folder: Folder, size: int) -> None:
    """Verifies that `size` bytes can be written and synced. Raises OSError."""
    file = folder.open(PROBE_NAME, create=True)
    try:
        file.truncate(0)
        file.append(bytes(size + PROBE_EXTRA_BYTES))
        file.sync()
    finally:
        file.close()
        folder.remove(PROBE_NAME)


def create_segment(folder: Folder, store_id: int, segment: Segment) -> File:
    """Creates the file of a segment with its header, synced."""
    file = folder.open(frames.segment_name(segment.number), create=True)
    file.truncate(0)  # a crash may have left a file of this name
    file.append(frames.segment_header(store_id, segment.number, segment.first_sequence))
    file.sync()
    return file


def write_manifest(folder: Folder, store_id: int, oldest: Segment) -> None:
    """Replaces the manifest atomically: after a crash, either the old or the new one is there."""
    name = f"{MANIFEST_NAME}.new"
    file = folder.open(name, create=True)
    try:
        file.truncate(0)
        file.append(
            frames.pack_with_crc(
                MANIFEST,
                MANIFEST_MAGIC,
                frames.FORMAT_VERSION,
                store_id,
                oldest.number,
                oldest.first_sequence,
            )
        )
        file.sync()
    finally:
        file.close()
    folder.replace(name, MANIFEST_NAME)
    folder.sync()


def create_store(folder: Folder, store_id: int) -> Contents:
    """Creates a store. The manifest is written last: only with it the store exists."""
    for name in folder.names():
        if frames.segment_number(name) is not None:
            folder.remove(name)
    Watermark.create(folder, store_id).close()
    segment = Segment(1, 1, frames.SEGMENT_HEADER.size)
    create_segment(folder, store_id, segment).close()
    folder.sync()
    write_manifest(folder, store_id, segment)
    return Contents(store_id, 0, [segment])


def repair_after_crash(folder: Folder, contents: Contents) -> Watermark:
    """Cuts off a torn tail, removes obsolete files and makes the recovered contents durable before they are
    used.

    A crash at any step is harmless: reading the store gives the same contents after each, and the next
    start repeats them."""
    last = contents.segments[-1]
    file = folder.open(frames.segment_name(last.number))
    try:
        if contents.torn_bytes:
            log.warning(
                "store: %s:%d: truncated %d bytes after the last complete batch",
                frames.segment_name(last.number),
                last.size,
                contents.torn_bytes,
            )
            file.truncate(last.size)
        file.sync()
    finally:
        file.close()
    for name in contents.obsolete_files:
        folder.remove(name)
    folder.sync()
    watermark = Watermark.load(folder, contents.store_id)
    watermark.sequence = max(watermark.sequence, contents.sequence)
    watermark.write_both_slots()
    return watermark
