"""Group commit: all changes written in one iteration of the event loop are made durable together, on a
separate thread.

The reactor's side only fills a queue and runs callbacks. The state says how far the store can be trusted.
OPEN: it works. STALLED: a commit takes longer than `stall_ms` because the disk hangs. FAILED: a write or
sync failed; the committer retries with a growing delay until all changes since the last durable record are
written on top of it. While the store is failed, the newest value of each changed key is kept in memory, up
to a limit. Past that limit, or if the log itself is damaged, only a restart recovers the store.
"""

from __future__ import annotations

import logging
import queue
import sys
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.store.engine import Engine
from frostport.store.errors import DamagedError, FailedError, LimitError, UnknownFormatError
from frostport.store.frames import Change

log = logging.getLogger("frostport.store")

# A batch ends once it has this many changes; the changes of one call to `write` stay together.
MAX_BATCH_CHANGES = 512
NEARLY_FULL_RATIO = 0.9  # live bytes to `store_bytes`; above it no new call is accepted
MAX_QUEUED_CHANGES = 100_000  # queued while the disk hangs; with more the store fails
MAX_UNWRITTEN_KEYS = 200_000  # kept in memory while the store is failed; with more only a restart helps
RETRY_MS = 1000.0  # delay before the first retry; doubled for each further one
MAX_RETRY_MS = 30_000.0  # most delay before a retry
# After a commit, one background step runs, and one more for each this many changes in it.
CHANGES_PER_BACKGROUND_STEP = 16

Callback = Callable[[], object]


class Durability(Enum):
    """When a change counts as written."""

    ALWAYS = "always"  # once synced
    INTERVAL = "interval"  # at once; synced every `interval_ms`
    NONE = "none"  # at once; synced when a segment is full and at the end


class State(Enum):
    """Whether the store works; the module's docstring describes the first three states."""

    OPEN = "open"
    STALLED = "stalled"
    FAILED = "failed"
    CLOSED = "closed"


class Worker(Protocol):
    """Runs jobs one after the other, off the caller's thread."""

    def submit(self, job: Callable[[], Callable[[], None]]) -> None:
        """Queues `job`. What it returns is then called on the thread of the submitter."""

    def finish(self) -> None:
        """Waits for all submitted jobs, for a bounded time. No job may be submitted afterwards."""


class ThreadWorker:
    """A worker with one thread. `call_in_reactor` is the reactor's `callFromThread`."""

    JOIN_TIMEOUT_S = 5.0
    SWITCH_INTERVAL_S = 0.0005

    def __init__(self, call_in_reactor: Callable[[Callable[[], None]], object]) -> None:
        # By default a thread may hold the interpreter's lock for 5 ms, for which the reactor would wait.
        sys.setswitchinterval(self.SWITCH_INTERVAL_S)
        self._call_in_reactor = call_in_reactor
        self._jobs: queue.SimpleQueue[Callable[[], Callable[[], None]] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            self._call_in_reactor(job())

    def submit(self, job: Callable[[], Callable[[], None]]) -> None:
        self._jobs.put(job)

    def finish(self) -> None:
        # If the disk hangs the thread is left running: it is a daemon, so the process can still exit.
        self._jobs.put(None)
        self._thread.join(self.JOIN_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The result of a job. `failure`: why it failed. `rejected`: the limit for which its batch was not
    written."""

    failure: str | None = None
    rejected: str | None = None
    more_work: bool = False  # there is background work left
    written: int = 0  # sequence number of the last record
    synced: int = 0  # sequence number of the last durable record


class Committer:
    """Owns the engine once it is open. Called on the reactor's thread only.

    `on_state_change` is called with each new state and the reason; `nearly_full` is set while the live
    data is close to the size limit."""

    def __init__(
        self,
        engine: Engine,
        worker: Worker,
        clock: Clock,
        deadlines: Deadlines,
        durability: Durability = Durability.ALWAYS,
        interval_ms: float = 100.0,
        stall_ms: float = 1000.0,
    ) -> None:
        self.engine = engine
        self.worker = worker
        self.clock = clock
        self.deadlines = deadlines
        self.durability = durability
        self.interval_ms = interval_ms
        self.stall_ms = stall_ms
        self.state = State.OPEN
        self.on_state_change: Callable[[State, str], None] = lambda state, reason: None
        self.commits = self.written = 0  # commits done, changes in them
        self.nearly_full = False
        self._queued_groups: list[Sequence[Change]] = []
        self._queued_changes = 0  # number of changes in them
        self._queued_callbacks: list[Callback] = []
        self._flush_timer: Deadline | None = None
        # of the commit under way; None if there is none
        self._running_callbacks: list[Callback] | None = None
        self._commit_started_at = 0.0
        self._stall_timer: Deadline | None = None
        self._unsynced = False
        self._background_running = False
        self._running_groups: list[Sequence[Change]] = []  # in the commit under way
        # Written but not synced, each with the sequence number of its last record.
        self._unsynced_groups: deque[tuple[int, list[Sequence[Change]]]] = deque()
        # newest value of each key changed while the store is failed
        self._unwritten: dict[str, bytes | None] = {}
        self._unrecoverable_reason = ""  # why only a restart helps; empty if it does not take one
        self._retry_ms = RETRY_MS
        self._retry_timer: Deadline | None = None

    def write(self, changes: Sequence[Change], on_written: Callback | None = None) -> None:
        """Queues changes; `on_written` runs once they count as written, or at once if the store can't be
        used.

        Changes are written, and their callbacks run, in the order of the calls."""
        nothing_pending = (
            not changes
            and self._running_callbacks is None
            and not self._queued_groups
            and not self._queued_callbacks
        )
        if self.state in (State.FAILED, State.CLOSED) or nothing_pending:
            if self.state is State.FAILED:
                self._add_unwritten(changes)
            if on_written is not None:
                on_written()
            return
        self._queued_groups.append(changes)
        self._queued_changes += len(changes)
        if on_written is not None:
            if self.durability is Durability.ALWAYS and self.state is State.OPEN:
                self._queued_callbacks.append(on_written)
            else:
                on_written()
        if self._queued_changes > MAX_QUEUED_CHANGES:
            self._fail(f"{self._queued_changes} changes wait for the disk")
        elif self._flush_timer is None and self._running_callbacks is None:
            self._flush_timer = self.deadlines.set(self.clock.now(), self._start_commit)

    # Commits

    def _start_commit(self) -> None:
        self._flush_timer = None
        if (
            self._running_callbacks is not None
            or self.state is State.FAILED
            or not (self._queued_groups or self._queued_callbacks or self._unsynced)
        ):
            return
        groups, count = self._take_queue()
        self._running_groups = groups
        self._running_callbacks = self._queued_callbacks
        self._queued_callbacks = []
        self._commit_started_at = self.clock.now()
        sync = self.durability is Durability.ALWAYS or (self.durability is Durability.INTERVAL and not groups)
        self._unsynced = bool(groups) and not sync
        if self._stall_timer is None:
            self._stall_timer = self.deadlines.set(self._commit_started_at + self.stall_ms, self._on_stall)

        def job() -> Callable[[], None]:
            result = commit(self.engine, groups, sync)
            return lambda: self._on_commit_done(result, count)

        self.worker.submit(job)

    def _take_queue(self) -> tuple[list[Sequence[Change]], int]:
        groups = self._queued_groups
        count = self._queued_changes
        self._queued_groups = []
        self._queued_changes = 0
        return groups, count

    def _start_background_work(self, steps: int) -> None:
        """Cleans and checkpoints after a commit, so that the commit's callbacks don't wait for it."""
        if self._background_running or self.state in (State.FAILED, State.CLOSED):
            return
        self._background_running = True

        def job() -> Callable[[], None]:
            result = run_background_steps(self.engine, steps)
            return lambda: self._on_background_done(result)

        self.worker.submit(job)

    def _on_background_done(self, result: CommitResult) -> None:
        self._background_running = False
        if self.state is State.CLOSED:
            return
        if result.failure is not None:
            self._fail(result.failure)
        elif result.more_work and self._running_callbacks is None:
            self._start_background_work(1)

    def _on_commit_done(self, result: CommitResult, count: int) -> None:
        if self.state is State.CLOSED:
            return
        callbacks = self._running_callbacks or []
        self._running_callbacks = None
        groups = self._running_groups
        self._running_groups = []
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        self.commits = self.commits + 1
        self.written = self.written + count
        if result.failure is not None:
            self._queued_callbacks[:0] = callbacks
            self._running_groups = groups
            self._fail(result.failure)
            return
        if groups and self.durability is not Durability.ALWAYS:
            self._unsynced_groups.append((result.written, groups))
        while self._unsynced_groups and self._unsynced_groups[0][0] <= result.synced:
            self._unsynced_groups.popleft()
        if result.rejected is not None:
            log.error("store: batch rejected, only its deletions were written: %s", result.rejected)
        self.nearly_full = self.engine.live_bytes > NEARLY_FULL_RATIO * self.engine.limits.store_bytes
        if self.state is State.STALLED:
            self._set_state(State.OPEN, "the disk answers again")
        if result.more_work:
            self._start_background_work(1 + count // CHANGES_PER_BACKGROUND_STEP)
        for callback in callbacks:
            run_callback(callback)
        if self._queued_groups or self._queued_callbacks:
            self._start_commit()
        elif self._unsynced and self.durability is Durability.INTERVAL and self._flush_timer is None:
            self._flush_timer = self.deadlines.set(self.clock.now() + self.interval_ms, self._start_commit)

    # Stalls and failures

    def _on_stall(self) -> None:
        """Runs the waiting callbacks although the disk hangs: calls must not wait any longer for it."""
        self._stall_timer = None
        if self._running_callbacks is not None and self.state is State.OPEN:
            self._set_state(State.STALLED, f"a commit takes over {self.stall_ms:.0f} ms")
            self._run_callbacks()

    def _fail(self, reason: str) -> None:
        if self.state is not State.FAILED:
            unsynced = [group for _, groups in self._unsynced_groups for group in groups]
            pending, _ = self._take_queue()
            self._set_state(State.FAILED, reason)
            for group in (*unsynced, *self._running_groups, *pending):
                self._add_unwritten(group)
            self._unsynced_groups.clear()
            self._retry_ms = RETRY_MS
            self._schedule_retry()
        self._running_groups = []
        self._run_callbacks()

    # Recovery from a failure

    def _add_unwritten(self, changes: Sequence[Change]) -> None:
        if self._unrecoverable_reason:
            return
        self._unwritten.update(changes)
        if len(self._unwritten) > MAX_UNWRITTEN_KEYS:
            self._stop_retrying(f"{len(self._unwritten)} records changed since it failed")

    def _stop_retrying(self, reason: str) -> None:
        self._unwritten = {}
        self._unrecoverable_reason = reason
        log.error("store: unusable until a restart: %s", reason)

    def _schedule_retry(self) -> None:
        if self.state is State.FAILED and not self._unrecoverable_reason:
            self._retry_timer = self.deadlines.set(self.clock.now() + self._retry_ms, self._reopen_engine)
            self._retry_ms = min(2.0 * self._retry_ms, MAX_RETRY_MS)

    def _reopen_engine(self) -> None:
        """Tries to write all changes since the failure on top of what was durable."""
        self._retry_timer = None
        if self.state is not State.FAILED or self._unrecoverable_reason:
            return
        unwritten = self._unwritten
        self._unwritten = {}

        def job() -> Callable[[], None]:
            reason = ""
            permanent = False
            try:
                self.engine = self.engine.reopen(list(unwritten.items()))
            except (DamagedError, UnknownFormatError, LimitError) as problem:
                reason = str(problem)
                permanent = True
            except OSError as problem:
                reason = str(problem)  # for instance, the disk is still full
            except Exception as problem:
                reason = record_failure(self.engine, problem)
            return lambda: self._on_reopened(unwritten, reason, permanent)

        self.worker.submit(job)

    def _on_reopened(self, unwritten: dict[str, bytes | None], reason: str, permanent: bool) -> None:
        if self.state is not State.FAILED:
            return
        changed_since = self._unwritten
        self._unwritten = {}
        if permanent:
            self._stop_retrying(reason)
        elif reason:
            log.error("store: can't be reopened yet, trying again in %.0f ms: %s", self._retry_ms, reason)
            self._add_unwritten([*unwritten.items(), *changed_since.items()])
            self._schedule_retry()
        else:
            self.written += len(unwritten)
            self._set_state(State.OPEN, f"{len(unwritten)} records that changed since it failed are written")
            self.write(list(changed_since.items()))

    def _run_callbacks(self) -> None:
        callbacks = self._running_callbacks
        self._running_callbacks = None if self._running_callbacks is None else []
        waiting = [*(callbacks or ()), *self._queued_callbacks]
        self._queued_callbacks = []
        for callback in waiting:
            run_callback(callback)

    def _set_state(self, state: State, reason: str) -> None:
        self.state = state
        log.log(
            logging.WARNING if state is State.OPEN else logging.ERROR, "store %s: %s", state.value, reason
        )
        self.on_state_change(state, reason)

    def close(self) -> None:
        """Writes what is queued and closes the engine; waits for a bounded time."""
        groups, _ = self._take_queue()
        failed = self.state is State.FAILED
        self._run_callbacks()
        self.state = State.CLOSED
        for deadline in (self._flush_timer, self._stall_timer, self._retry_timer):
            if deadline is not None:
                deadline.cancel()

        def job() -> Callable[[], None]:
            if not failed:
                commit(self.engine, groups, True)
            self.engine.close()
            return lambda: None

        self.worker.submit(job)
        self.worker.finish()


def commit(engine: Engine, groups: Sequence[Sequence[Change]], sync: bool) -> CommitResult:
    """Writes and, with `sync`, syncs queued changes on the worker's thread; raises nothing."""
    rejected = None
    try:
        batch: list[Change] = []
        for number, group in enumerate(groups):
            batch += group
            if len(batch) >= MAX_BATCH_CHANGES or number == len(groups) - 1:
                try:
                    engine.append(batch)
                except LimitError as problem:
                    # Deletions are written although the store is full: they free space.
                    rejected = str(problem)
                    engine.append([change for change in batch if change[1] is None])
                batch = []
        if sync:
            engine.sync()
    except Exception as problem:
        return CommitResult(failure=record_failure(engine, problem))
    return CommitResult(
        rejected=rejected,
        more_work=engine.has_background_work(),
        written=engine.sequence,
        synced=engine.synced,
    )


def run_background_steps(engine: Engine, steps: int) -> CommitResult:
    """Runs up to `steps` steps of cleaning or checkpointing on the worker's thread; raises nothing."""
    more_work = True
    try:
        while more_work and steps > 0:
            more_work = engine.run_background_step()
            steps = steps - 1
    except Exception as problem:
        return CommitResult(failure=record_failure(engine, problem))
    return CommitResult(more_work=more_work)


def record_failure(engine: Engine, problem: Exception) -> str:
    """Returns the reason of a failure. An unexpected exception marks the engine as failed, so that a fault
    in it does not end the thread."""
    if not isinstance(problem, FailedError):
        log.error("store: unexpected exception in the engine, the store counts as failed", exc_info=problem)
        engine.failure = engine.failure or repr(problem)
    return str(problem) or repr(problem)


def run_callback(callback: Callback) -> None:
    """Runs a callback; logs its exception, so that a fault in one call does not affect others of the same
    commit."""
    try:
        callback()
    except Exception:
        log.exception("store: a callback that waited for a commit raised an exception")
