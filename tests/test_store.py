"""The store's engine under truncated files, flipped bits, power loss and I/O errors, compared with a plain
dictionary.

After every restart, the contents are those after some complete batch and no acknowledged batch is missing,
or the store refuses to open and names the file. Power loss alone never leads to a refusal.
"""

from __future__ import annotations

import pathlib
import random
from collections.abc import Callable, Iterator
from unittest import mock

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from frostport.core.clock import ManualClock
from frostport.core.deadlines import Deadlines
from frostport.store import committer, frames, recovery, tools, watermark
from frostport.store.engine import CLEAN_RATIO, MAX_SPACE_RATIO, Engine, Limits
from frostport.store.errors import (
    DamagedError,
    FailedError,
    LimitError,
    LockedError,
    StoreError,
    UnknownFormatError,
)
from frostport.store.files import DiskFolder, Folder
from frostport.store.index import OFFSET, SEGMENT, SIZE, Index
from standins.files import MemoryFolder, PowerLostError

SMALL = Limits(segment_bytes=512, record_bytes=256, store_bytes=4096, checkpoint_records=12)
Model = dict[str, bytes]


def applied(model: Model, changes: list[frames.Change]) -> Model:
    """The model after a batch."""
    after = dict(model)
    for key, value in changes:
        after.pop(key, None)
        if value is not None:
            after[key] = value
    return after


def batches(rng: random.Random, count: int, keys: int = 9) -> Iterator[list[frames.Change]]:
    """Draws batches of changes, with deletions."""
    for number in range(count):
        yield [
            (
                f"call/{rng.randrange(keys)}",
                None if rng.random() < 0.3 else b"%d-%d" % (number, rng.randrange(10**6)),
            )
            for _ in range(rng.randint(1, 4))
        ]


def small_store() -> tuple[MemoryFolder, Model, Model]:
    """A store with several segments, a checkpoint, an unfinished cleaning and one unacknowledged batch.
    Returns its files, and the model without and with that batch."""
    folder = MemoryFolder()
    model = Model()
    engine = Engine.open(folder, SMALL, store_id=77)
    for number, changes in enumerate(batches(random.Random(5), 200, 40)):
        model = applied(model, changes)
        engine.append(changes)
        engine.sync()
        if number == 45:
            engine.checkpoint()
        if number >= 60 and len(engine.segments[0].live_keys) > 2:
            break
    oldest = engine.segments[0]
    with mock.patch("frostport.store.engine.CLEAN_STEP_RECORDS", 2):
        engine._clean_step()
    engine.sync()
    assert engine.segments[0] is oldest and oldest.live_keys  # partly copied, and still there
    last: list[frames.Change] = [("call/x", b"never acknowledged"), ("call/1", None)]
    engine.append(last)
    assert len(engine.segments) >= 3 and engine.checkpoints
    return folder.after_kill(), model, applied(model, last)


def reopened(folder: Folder) -> Model:
    """Opens a store, verifies that it can be written to, and returns its contents."""
    engine = Engine.open(folder, SMALL)
    contents = engine.take_recovered()
    assert contents == dict(engine.values())
    assert engine.digest >= 0 and engine.live_bytes == sum(
        location[SIZE] for location in engine.locations.values()
    )
    engine.append([("after", b"1")])  # the recovered store accepts writes
    engine.sync()
    folder.unlock()
    return contents


def damaged(how: str, data: bytes, at: int) -> bytes:
    """Returns `data` cut off at offset `at`, or with one bit of the byte there flipped."""
    return data[:at] if how == "cut" else data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :]


@pytest.mark.parametrize("how", ["cut", "flipped"])
@pytest.mark.parametrize("min_log_ratio", [0, 10**6], ids=["by index", "by log"])
def test_every_file_cut_and_flipped_at_every_byte(
    how: str, min_log_ratio: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Truncation and flipped bits are damage, not power loss: the acknowledged records are there, or the
    store refuses to open."""
    monkeypatch.setattr(recovery, "INDEX_MIN_LOG_RATIO", min_log_ratio)
    folder, acknowledged, written = small_store()
    files = folder.contents()
    refused = recovered = 0
    for name, data in files.items():
        for at in range(len(data)):
            found = MemoryFolder({**files, name: damaged(how, data, at)})
            before = found.contents()
            try:
                contents = reopened(found)
            except (DamagedError, UnknownFormatError) as problem:
                refused += 1
                assert str(problem).partition(":")[0] in {*files, "manifest", "mark"}
                kept = found.contents()  # a refusal leaves the files unchanged, except for the index
                assert all(kept[name] == before[name] for name in before if name != "index.db")
            else:
                recovered += 1
                assert contents in (acknowledged, written), (name, at)
    print(f"{how}: {refused} refused, {recovered} recovered")
    assert refused > 500 and recovered > 2000


def test_files_cut_and_flipped_on_a_disk(tmp_path: pathlib.Path) -> None:
    """The same on a real folder with a real SQLite file, at every 23rd byte."""
    folder, acknowledged, written = small_store()
    files = {**folder.contents(), "index.db": b""}
    base = tmp_path / "base"
    base.mkdir()
    for name, data in files.items():
        (base / name).write_bytes(data)
    Engine.open(DiskFolder(base), SMALL).close()
    files = {path.name: path.read_bytes() for path in base.iterdir()}
    assert len(files["index.db"]) > 2000
    for name, data in files.items():
        for at in range(0, len(data), 23):
            for how in ("cut", "flipped"):
                here = tmp_path / "here"
                here.mkdir(exist_ok=True)
                for path in here.iterdir():
                    path.unlink()
                for other, content in files.items():
                    (here / other).write_bytes(damaged(how, content, at) if other == name else content)
                disk = DiskFolder(here)
                try:
                    contents = reopened(disk)
                except (DamagedError, UnknownFormatError):
                    disk.unlock()
                    continue
                assert contents in (acknowledged, written), (name, at, how)


def test_one_missing_file_is_noticed() -> None:
    folder, acknowledged, written = small_store()
    files = folder.contents()
    for name in files:
        left = {other: data for other, data in files.items() if other != name}
        if name == "index.db":
            assert reopened(MemoryFolder(left)) in (acknowledged, written)
        else:
            with pytest.raises(DamagedError, match=r"manifest|mark|log-"):
                Engine.open(MemoryFolder(left), SMALL)


def run_store(folder: MemoryFolder, seed: int, progress: dict[str, int], models: list[Model]) -> None:
    """Creates a store, writes, syncs, cleans, checkpoints and closes it, then starts it once more."""
    rng = random.Random(seed)
    for _ in range(2):
        engine = Engine.open(folder, SMALL, store_id=5)
        for changes in batches(rng, 14):
            models.append(applied(models[-1], changes))
            engine.append(changes)
            if rng.random() < 0.5:
                engine.sync()
                progress["acknowledged"] = len(models) - 1
            engine.run_background_step()
        if rng.random() < 0.5:
            engine.compact()
        engine.close()
        assert engine.failure is None
        progress["acknowledged"] = len(models) - 1


@pytest.mark.parametrize("seed", range(3))
def test_power_lost_at_every_file_operation(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Power fails at each file operation, and again during the restarts that follow."""
    monkeypatch.setattr(recovery, "INDEX_MIN_LOG_RATIO", seed)
    monkeypatch.setattr(watermark, "WRITES_PER_SYNC", 2)
    complete = MemoryFolder()
    run_store(complete, seed, {}, [{}])
    assert {"replace manifest", "remove log-0000000001", "image index.db"} <= set(complete.log)
    for step in range(1, complete.operations + 1):
        folder = MemoryFolder(rng=random.Random(step))
        folder.fail(step, PowerLostError)
        progress = {"acknowledged": 0}
        models = [Model()]
        with pytest.raises(PowerLostError):
            run_store(folder, seed, progress, models)
        for restart in range(4):
            rng = random.Random(f"{seed} {step} {restart}")
            found = folder.after_power_loss(rng)
            if restart < 3:
                found.fail(rng.randint(1, 6), PowerLostError)
            try:
                engine = Engine.open(found, SMALL, store_id=5)
                folder = found
                contents = engine.take_recovered()
                assert contents in models[progress["acknowledged"] :], (step, restart)
                progress["acknowledged"] = len(models) - 1 - models[::-1].index(contents)
                models = models[: progress["acknowledged"] + 1]
                engine.append([("later", b"%d" % restart)])
                models.append(applied(models[-1], [("later", b"%d" % restart)]))
                engine.sync()
                progress["acknowledged"] = len(models) - 1
                engine.compact()
            except PowerLostError:
                folder = found


class StoreMachine(RuleBasedStateMachine):
    """Any order of writes, syncs, background steps, I/O errors and crashes, compared with plain
    dictionaries."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.folder = MemoryFolder(rng=self.rng)
        self.models: list[Model] = [{}]
        self.acknowledged = 0  # the oldest model that a restart may bring back
        self.engine = Engine.open(self.folder, SMALL, store_id=9)

    def succeeds(self, action: str) -> bool:
        """Calls a method of the engine; returns whether it did not raise FailedError."""
        try:
            getattr(self.engine, action)()
        except FailedError:
            return False
        return True

    @rule(
        changes=st.lists(
            st.tuples(st.sampled_from("abcdefgh"), st.none() | st.binary(max_size=60)), min_size=1, max_size=6
        ),
        sync=st.booleans(),
    )
    def write(self, changes: list[frames.Change], sync: bool) -> None:
        try:
            self.engine.append(changes)
        except LimitError:
            return
        except FailedError:
            # A part of the batch may have been written: a restart may find all of it if only the sync failed.
            self.models.append(applied(self.models[-1], changes))
            return
        self.models.append(applied(self.models[-1], changes))
        if sync and self.succeeds("sync"):
            self.acknowledged = len(self.models) - 1

    @rule()
    def sync(self) -> None:
        if self.succeeds("sync"):
            self.acknowledged = len(self.models) - 1

    @rule(steps=st.integers(1, 6))
    def tidy(self, steps: int) -> None:
        for _ in range(steps):
            self.succeeds("run_background_step")

    @rule()
    def compact(self) -> None:
        self.succeeds("compact")

    @precondition(lambda self: self.engine.failure is None)
    @rule(after=st.integers(1, 12), number=st.sampled_from([5, 28]), lasting=st.booleans())
    def fault(self, after: int, number: int, lasting: bool) -> None:
        """An I/O error (EIO) or a full disk (ENOSPC), some operations from now."""
        self.folder.fail(after, lambda: OSError(number, "scripted"), lasting)

    @rule(power=st.booleans())
    def crash(self, power: bool) -> None:
        self.folder = self.folder.after_power_loss(self.rng) if power else self.folder.after_kill()
        self.reopen_engine()

    @rule()
    def restart(self) -> None:
        clean = self.engine.failure is None
        self.engine.close()
        if clean and self.engine.failure is None and self.engine.synced == self.engine.sequence:
            self.acknowledged = len(self.models) - 1
        self.folder = self.folder.after_kill()
        self.reopen_engine()

    def reopen_engine(self) -> None:
        """Opens the files as they are, and checks that no acknowledged batch is missing."""
        self.engine = Engine.open(self.folder, SMALL, store_id=9)
        contents = self.engine.take_recovered()
        assert contents in self.models[self.acknowledged :]
        self.models = [contents]
        self.acknowledged = 0

    @invariant()
    def holds(self) -> None:
        if not hasattr(self, "engine") or self.engine.failure is not None:
            return
        engine = self.engine
        assert engine.total_bytes == sum(segment.size for segment in engine.segments)
        assert (
            engine.total_bytes
            <= MAX_SPACE_RATIO * engine.live_bytes + SMALL.segment_bytes + 2 * SMALL.record_bytes
        )
        assert dict(engine.values()) == self.models[-1]
        assert {key for segment in engine.segments for key in segment.live_keys} == engine.locations.keys()
        assert engine.live_bytes <= SMALL.store_bytes


TestStoreMachine = StoreMachine.TestCase
TestStoreMachine.settings = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_space_stays_bounded_under_endless_churn(tmp_path: pathlib.Path) -> None:
    limits = Limits(segment_bytes=64 * 1024, checkpoint_records=2000)
    engine = Engine.open(DiskFolder(tmp_path), limits)
    worst = 0.0
    for number in range(1500):
        engine.append(
            [(f"call/{(number * 16 + at) % 400}", bytes(90)) for at in range(16)]
            + [(f"cold/{number}", bytes(90))] * (number < 200)
        )
        engine.run_background_step()
        on_disk = sum(path.stat().st_size for path in tmp_path.glob("log-*"))
        assert on_disk == engine.total_bytes
        worst = max(worst, (on_disk - limits.segment_bytes) / engine.live_bytes)
    assert CLEAN_RATIO - 1.0 < worst <= MAX_SPACE_RATIO
    assert engine.cleaned > 20 and engine.checkpoints > 5
    engine.close()


def test_after_a_failed_sync_nothing_is_acknowledged() -> None:
    folder = MemoryFolder()
    engine = Engine.open(folder, SMALL)
    engine.append([("a", b"1")])
    folder.fail(1, lambda: OSError(5, "scripted"))
    with pytest.raises(FailedError, match=r"log-0000000001:\d+: scripted"):
        engine.sync()
    for action in (engine.sync, lambda: engine.append([("b", b"2")])):
        with pytest.raises(FailedError):
            action()
    assert engine.synced == 0 and not engine.run_background_step()


class ManualWorker:
    """A worker that runs its jobs only in `run` and `finish`."""

    def __init__(self) -> None:
        self.jobs: list[Callable[[], Callable[[], None]]] = []

    def submit(self, job: Callable[[], Callable[[], None]]) -> None:
        self.jobs.append(job)

    def finish(self) -> None:
        self.run()

    def run(self) -> None:
        while self.jobs:
            self.jobs.pop(0)()()


@pytest.mark.parametrize("how", committer.Durability)
@pytest.mark.parametrize("seed", range(20))
def test_a_failed_store_recovers_with_all_changes(seed: int, how: committer.Durability) -> None:
    """I/O errors at random operations, some lasting. Whenever the store reports that it is open again, a
    restart after power loss brings back all that was written before the last acknowledgement, and nothing
    older."""
    rng = random.Random(seed)
    folder = MemoryFolder(rng=rng)
    worker = ManualWorker()
    recoveries = 0
    limits = Limits(segment_bytes=2048, record_bytes=256, store_bytes=64 * 1024, checkpoint_records=20)
    clock = ManualClock()
    deadlines = Deadlines()
    store_committer = committer.Committer(Engine.open(folder, limits), worker, clock, deadlines, how)
    model = Model()
    acknowledged_model = Model()
    for _ in range(300):
        if rng.random() < 0.03:
            folder.fail(rng.randint(1, 12), lambda: OSError(28, "no space"), rng.random() < 0.5)
        if store_committer.state is committer.State.FAILED and rng.random() < 0.2:
            folder.fails_at_operation = -1
            folder.persistent = False
        changes: list[frames.Change] = [
            (f"k{rng.randrange(9)}", None if rng.random() < 0.3 else rng.randbytes(20))
            for _ in range(rng.randint(1, 4))
        ]
        model = applied(model, changes)
        current = dict(model)
        callbacks_run: list[bool] = []
        before = store_committer.state
        store_committer.write(changes, lambda callbacks_run=callbacks_run: callbacks_run.append(True))  # type: ignore[misc]
        clock.at += rng.choice((1.0, 200.0, 1100.0))
        for _ in range(3):
            deadlines.run(clock.at)
            worker.run()
        recoveries += before is committer.State.FAILED and store_committer.state is committer.State.OPEN
        assert callbacks_run
        if store_committer.state is committer.State.OPEN and (
            how is committer.Durability.ALWAYS or before is committer.State.FAILED
        ):
            acknowledged_model = current
            if store_committer.engine.synced == store_committer.engine.sequence:
                assert reopened(folder.after_power_loss(rng)) == acknowledged_model
    assert recoveries > 1
    folder.fails_at_operation = -1
    folder.persistent = False
    while store_committer.state is committer.State.FAILED:
        clock.at += 31_000.0
        deadlines.run(clock.at)
        worker.run()
    store_committer.close()
    assert reopened(folder.after_kill()) == model


def test_past_its_limit_a_failed_store_reports_that_it_needs_a_restart(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(committer, "MAX_UNWRITTEN_KEYS", 5)
    folder = MemoryFolder()
    worker = ManualWorker()
    clock = ManualClock()
    deadlines = Deadlines()
    store_committer = committer.Committer(Engine.open(folder, SMALL), worker, clock, deadlines)
    folder.fail(1, lambda: OSError(28, "no space"), persistent=True)
    for number in range(8):
        store_committer.write([(f"k{number}", b"x")])
        clock.at += 100.0
        deadlines.run(clock.at)
        worker.run()
    folder.fails_at_operation = -1
    folder.persistent = False
    clock.at += 60_000.0
    deadlines.run(clock.at)
    worker.run()
    assert store_committer.state is committer.State.FAILED
    assert "unusable until a restart: 6 records changed" in caplog.text


def test_limits_one_writer_and_formats() -> None:
    folder = MemoryFolder()
    engine = Engine.open(folder, SMALL)
    with pytest.raises(LimitError, match=r"is too large: \d+ bytes, over the limit of 256$"):
        engine.append([("a", bytes(300))])
    with pytest.raises(LimitError, match="bytes live, over the limit of 4096 with"):
        engine.append([(f"a{number}", bytes(200)) for number in range(30)])
    assert engine.sequence == 0
    with pytest.raises(LockedError):
        Engine.open(folder, SMALL)
    engine.close()
    manifest = bytearray(folder.contents()["manifest"])
    manifest[8] = 2
    with pytest.raises(
        UnknownFormatError,
        match="manifest:8: unsupported store format version 2, only version 1 is supported",
    ):
        Engine.open(MemoryFolder({**folder.contents(), "manifest": bytes(manifest)}), SMALL)


def test_one_writer_on_a_disk(tmp_path: pathlib.Path) -> None:
    engine = Engine.open(DiskFolder(tmp_path), SMALL)
    with pytest.raises(LockedError, match="another process"):
        Engine.open(DiskFolder(tmp_path), SMALL)
    engine.close()
    Engine.open(DiskFolder(tmp_path), SMALL).close()


def test_an_index_of_an_earlier_time_or_of_another_store_changes_nothing() -> None:
    folder = MemoryFolder()
    engine = Engine.open(folder, SMALL, store_id=1)
    images: list[bytes] = []
    model: Model = {}
    for changes in batches(random.Random(2), 60):
        engine.append(changes)
        model = applied(model, changes)
        engine.sync()
        while engine.run_background_step():
            pass
        image = folder.contents().get("index.db")
        if image and image not in images:
            images.append(image)
    assert len(images) > 4
    for image in images:
        assert reopened(MemoryFolder({**folder.contents(), "index.db": image})) == model
    other = MemoryFolder()
    other_engine = Engine.open(other, SMALL, store_id=2)
    other_engine.append([("call/1", b"another store's")])
    other_engine.close()
    other_index = other.contents()["index.db"]
    assert reopened(MemoryFolder({**folder.contents(), "index.db": other_index})) == model


@pytest.mark.parametrize(
    "change",
    [
        "DELETE FROM live WHERE key = 'call/3'",
        "UPDATE live SET offset = 36 WHERE key = 'call/3'",
        "UPDATE live SET key = 'call/99' WHERE key = 'call/3'",
        "UPDATE live SET sequence = 1",
        "INSERT INTO live SELECT 'call/77', sequence, segment, offset, size FROM live LIMIT 1",
        "UPDATE point SET digest = '7'",
        "UPDATE point SET sequence = sequence + 1",
        "DROP TABLE live",
    ],
)
def test_an_index_that_was_changed_costs_only_the_index(change: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recovery, "INDEX_MIN_LOG_RATIO", 0)
    folder = MemoryFolder()
    engine = Engine.open(folder, SMALL, store_id=1)
    engine.append([(f"call/{number}", b"%d" % number) for number in range(8)])
    engine.close()
    database = folder.database("index.db")
    database.execute(change)
    folder.committed("index.db", database)
    assert reopened(folder) == {f"call/{number}": b"%d" % number for number in range(8)}


def test_with_an_index_a_restart_reads_only_live_records(tmp_path: pathlib.Path) -> None:
    limits = Limits(segment_bytes=32 * 1024, checkpoint_records=500)
    engine = Engine.open(DiskFolder(tmp_path), limits)
    for number in range(3000):
        engine.append([(f"call/{number % 100}", bytes(64))])
        engine.run_background_step()
    engine.close()
    folder = DiskFolder(tmp_path)
    index = Index(folder)
    index.open()
    contents = recovery.read_store(folder, index)
    index.close()
    assert contents is not None and contents.verified_checkpoint is not None and len(contents.values) == 100


def test_backup_verify_and_repair(tmp_path: pathlib.Path) -> None:
    """A backup taken while an engine writes is complete; a repair keeps what can be read and names what it
    drops."""
    source = tmp_path / "store"
    engine = Engine.open(DiskFolder(source), SMALL)
    model: Model = {}
    for number, changes in enumerate(batches(random.Random(3), 60)):
        engine.append(changes)
        model = applied(model, changes)
        engine.sync()
        engine.run_background_step()
        if number == 40:
            tools.backup(source, tmp_path / "copy")
            copied = dict(model)
    assert dict(tools.contents(tmp_path / "copy").values) == copied
    engine.close()
    assert tools.verify(source).records == len(model)
    with pytest.raises(StoreError, match="not empty"):
        tools.backup(source, tmp_path / "copy")
    log = sorted(source.glob("log-*"))[0]
    data = bytearray(log.read_bytes())
    contents = tools.contents(source)
    first = contents.segments[0].number
    at = min(location[OFFSET] for location in contents.locations.values() if location[SEGMENT] == first)
    data[at + 20] ^= 4
    log.write_bytes(data)
    with pytest.raises(DamagedError, match=f"{log.name}:"):
        tools.verify(source)
    dropped = tools.repair(source)
    assert any(line.startswith(f"{log.name}:{at}: ") for line in dropped)
    left = dict(tools.contents(source).values)
    assert len(left) >= len(model) - 1 and left.items() <= model.items()
    assert list(tmp_path.glob("store.damaged-*"))
    assert tools.repair(tmp_path / "copy") == []
