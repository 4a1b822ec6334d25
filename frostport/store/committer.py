"""Group commit: what one turn writes is made durable together, on a thread of its own.

The reactor's side only fills a queue and hears back. The states say how far the store can be trusted:
OPEN; STALLED, a commit takes longer than `stall_ms` (a hanging disk); FAILED, until what changed since has
been written on top of what was durable, tried again at growing gaps. What changes while it has failed is kept
as the newest value of each key, up to a limit; past it, or where the log itself is damaged, a restart is
needed.
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

BATCH = 512  # changes after which a batch ends; what was written in one call stays together
NEARLY_FULL = 0.9  # of `store_bytes`: no new call is taken above this
PENDING_MOST = 100_000  # changes that wait for a disk that hangs; past it the store has failed
KEPT_MOST = 200_000  # keys kept for a store that has failed; past it only a restart helps
RETRY_MS, RETRY_MOST_MS = 1000.0, 30_000.0  # between tries to write again
CHANGES_A_STEP = 16  # one step of cleaning or checkpoint for so many changes, and one for each commit

Done = Callable[[], object]


class Durability(Enum):
    """When a change counts as written."""

    ALWAYS = "always"  # once it is synced
    INTERVAL = "interval"  # at once; synced every so often
    NONE = "none"  # at once; synced when a segment is full, and at the end


class State(Enum):
    """How far the store can be trusted."""

    OPEN = "open"
    STALLED = "stalled"
    FAILED = "failed"
    CLOSED = "closed"


class Worker(Protocol):
    """Runs jobs one after the other, away from the caller."""

    def submit(self, job: Callable[[], Callable[[], None]]) -> None:
        """Runs `job`; what it returns runs on the caller's side."""

    def finish(self) -> None:
        """Waits for what was submitted, up to a bounded time."""


class ThreadWorker:
    """One thread; results come back through the reactor's `callFromThread`."""

    FINISH_S = 5.0
    SWITCH_S = 0.0005

    def __init__(self, call: Callable[[Callable[[], None]], object]) -> None:
        # Guards the reactor's turns against waiting for the interpreter as long as Python lets a thread have
        # it.
        sys.setswitchinterval(self.SWITCH_S)
        self._call = call
        self._jobs: queue.SimpleQueue[Callable[[], Callable[[], None]] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            self._call(job())

    def submit(self, job: Callable[[], Callable[[], None]]) -> None:
        self._jobs.put(job)

    def finish(self) -> None:
        # Guards the program's end against a disk that hangs: the thread is left behind.
        self._jobs.put(None)
        self._thread.join(self.FINISH_S)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a commit came to; `failure` where it failed, `rejected` where a limit kept its batch out."""

    failure: str | None = None
    rejected: str | None = None
    more: bool = False  # there is more to tidy
    written: int = 0  # the last record
    synced: int = 0  # the last durable one


class Committer:
    """Owns the engine once it is open. Called on the reactor's side only."""

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
        self.engine, self.worker, self.clock, self.deadlines = engine, worker, clock, deadlines
        self.durability, self.interval_ms, self.stall_ms = durability, interval_ms, stall_ms
        self.state = State.OPEN
        self.changed: Callable[[State, str], None] = lambda state, why: None
        self.commits = self.written = 0
        self.full = False
        self._groups: list[Sequence[Change]] = []
        self._count = 0  # changes in them
        self._waiting: list[Done] = []
        self._flush: Deadline | None = None
        self._running: list[Done] | None = None  # who waits for the commit under way
        self._began = 0.0
        self._watch: Deadline | None = None
        self._unsynced = False
        self._tidying = False
        self._writing: list[Sequence[Change]] = []  # in the commit under way
        self._unsure: deque[tuple[int, list[Sequence[Change]]]] = deque()  # written, not synced; last record
        self._kept: dict[str, bytes | None] = {}  # what changed while the store has failed
        self._lost = ""  # why only a restart helps
        self._retry_ms = RETRY_MS
        self._retry: Deadline | None = None

    def write(self, changes: Sequence[Change], then: Done | None = None) -> None:
        """Records changes; `then` runs once they count as written, or at once where the store can't be used.

        In order: what was written before is written, and heard of, before."""
        at_once = not changes and self._running is None and not self._groups and not self._waiting
        if self.state in (State.FAILED, State.CLOSED) or at_once:
            if self.state is State.FAILED:
                self._keep(changes)
            if then is not None:
                then()
            return
        self._groups.append(changes)
        self._count += len(changes)
        if then is not None:
            if self.durability is Durability.ALWAYS and self.state is State.OPEN:
                self._waiting.append(then)
            else:
                then()
        if self._count > PENDING_MOST:
            self._fail(f"{self._count} changes wait for the disk")
        elif self._flush is None and self._running is None:
            self._flush = self.deadlines.set(self.clock.now(), self._start)

    # A commit

    def _start(self) -> None:
        self._flush = None
        if (
            self._running is not None
            or self.state is State.FAILED
            or not (self._groups or self._waiting or self._unsynced)
        ):
            return
        groups, count = self._take()
        self._writing = groups
        self._running, self._waiting = self._waiting, []
        self._began = self.clock.now()
        sync = self.durability is Durability.ALWAYS or (self.durability is Durability.INTERVAL and not groups)
        self._unsynced = bool(groups) and not sync
        if self._watch is None:
            self._watch = self.deadlines.set(self._began + self.stall_ms, self._stalled)

        def job() -> Callable[[], None]:
            outcome = commit(self.engine, groups, sync)
            return lambda: self._finished(outcome, count)

        self.worker.submit(job)

    def _take(self) -> tuple[list[Sequence[Change]], int]:
        groups, count, self._groups, self._count = self._groups, self._count, [], 0
        return groups, count

    def _tidy(self, steps: int) -> None:
        """Cleans and checkpoints after a commit, so that its answers don't wait for it."""
        if self._tidying or self.state in (State.FAILED, State.CLOSED):
            return
        self._tidying = True

        def job() -> Callable[[], None]:
            outcome = tidy(self.engine, steps)
            return lambda: self._tidied(outcome)

        self.worker.submit(job)

    def _tidied(self, outcome: Outcome) -> None:
        self._tidying = False
        if self.state is State.CLOSED:
            return
        if outcome.failure is not None:
            self._fail(outcome.failure)
        elif outcome.more and self._running is None:
            self._tidy(1)

    def _finished(self, outcome: Outcome, count: int) -> None:
        if self.state is State.CLOSED:
            return
        running, self._running = self._running or [], None
        groups, self._writing = self._writing, []
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self.commits, self.written = self.commits + 1, self.written + count
        if outcome.failure is not None:
            self._waiting[:0] = running
            self._writing = groups
            self._fail(outcome.failure)
            return
        if groups and self.durability is not Durability.ALWAYS:
            self._unsure.append((outcome.written, groups))
        while self._unsure and self._unsure[0][0] <= outcome.synced:
            self._unsure.popleft()
        if outcome.rejected is not None:
            log.error("store: not recorded: %s", outcome.rejected)
        self.full = self.engine.live_bytes > NEARLY_FULL * self.engine.limits.store_bytes
        if self.state is State.STALLED:
            self._enter(State.OPEN, "the disk answers again")
        if outcome.more:
            self._tidy(1 + count // CHANGES_A_STEP)
        for done in running:
            run(done)
        if self._groups or self._waiting:
            self._start()
        elif self._unsynced and self.durability is Durability.INTERVAL and self._flush is None:
            self._flush = self.deadlines.set(self.clock.now() + self.interval_ms, self._start)

    # When the disk fails or hangs

    def _stalled(self) -> None:
        """Guards what was taken against a disk that hangs: its answers don't wait any longer."""
        self._watch = None
        if self._running is not None and self.state is State.OPEN:
            self._enter(State.STALLED, f"a commit takes over {self.stall_ms:.0f} ms")
            self._release()

    def _fail(self, why: str) -> None:
        if self.state is not State.FAILED:
            unsure = [group for _, groups in self._unsure for group in groups]
            pending, _ = self._take()
            self._enter(State.FAILED, why)
            for group in (*unsure, *self._writing, *pending):
                self._keep(group)
            self._unsure.clear()
            self._retry_ms = RETRY_MS
            self._retry_later()
        self._writing = []
        self._release()

    # Going on after a failure

    def _keep(self, changes: Sequence[Change]) -> None:
        if self._lost:
            return
        self._kept.update(changes)
        if len(self._kept) > KEPT_MOST:
            self._give_up(f"{len(self._kept)} records changed since it failed")

    def _give_up(self, why: str) -> None:
        self._kept, self._lost = {}, why
        log.error("store: it can't go on without a restart: %s", why)

    def _retry_later(self) -> None:
        if self.state is State.FAILED and not self._lost:
            self._retry = self.deadlines.set(self.clock.now() + self._retry_ms, self._revive)
            self._retry_ms = min(2.0 * self._retry_ms, RETRY_MOST_MS)

    def _revive(self) -> None:
        """Tries to write what has changed since on top of what was durable."""
        self._retry = None
        if self.state is not State.FAILED or self._lost:
            return
        kept, self._kept = self._kept, {}

        def job() -> Callable[[], None]:
            why, final = "", False
            try:
                self.engine = self.engine.revive(list(kept.items()))
            except (DamagedError, UnknownFormatError, LimitError) as problem:
                why, final = str(problem), True
            except OSError as problem:
                why = str(problem)  # as full as before, say
            except Exception as problem:
                why = failure(self.engine, problem)
            return lambda: self._revived(kept, why, final)

        self.worker.submit(job)

    def _revived(self, kept: dict[str, bytes | None], why: str, final: bool) -> None:
        if self.state is not State.FAILED:
            return
        since, self._kept = self._kept, {}
        if final:
            self._give_up(why)
        elif why:
            log.error("store: still failed: %s", why)
            self._keep([*kept.items(), *since.items()])
            self._retry_later()
        else:
            self.written += len(kept)
            self._enter(State.OPEN, f"{len(kept)} records that changed since it failed are written")
            self.write(list(since.items()))

    def _release(self) -> None:
        running, self._running = self._running, None if self._running is None else []
        waiting, self._waiting = [*(running or ()), *self._waiting], []
        for done in waiting:
            run(done)

    def _enter(self, state: State, why: str) -> None:
        self.state = state
        log.log(logging.WARNING if state is State.OPEN else logging.ERROR, "store %s: %s", state.value, why)
        self.changed(state, why)

    def close(self) -> None:
        """Writes what waits, closes the engine; waits for a bounded time."""
        groups, _ = self._take()
        failed = self.state is State.FAILED
        self._release()
        self.state = State.CLOSED
        for deadline in (self._flush, self._watch, self._retry):
            if deadline is not None:
                deadline.cancel()

        def job() -> Callable[[], None]:
            if not failed:
                commit(self.engine, groups, True)
            self.engine.close()
            return lambda: None

        self.worker.submit(job)
        self.worker.finish()


def commit(engine: Engine, groups: Sequence[Sequence[Change]], sync: bool) -> Outcome:
    """One commit; raises nothing."""
    rejected = None
    try:
        batch: list[Change] = []
        for number, group in enumerate(groups):
            batch += group
            if len(batch) >= BATCH or number == len(groups) - 1:
                try:
                    engine.append(batch)
                except LimitError as problem:
                    # Guards what makes room against what takes it: deletions are written all the same.
                    rejected = str(problem)
                    engine.append([change for change in batch if change[1] is None])
                batch = []
        if sync:
            engine.sync()
    except Exception as problem:
        return Outcome(failure=failure(engine, problem))
    return Outcome(rejected=rejected, more=engine.untidy(), written=engine.sequence, synced=engine.synced)


def tidy(engine: Engine, steps: int) -> Outcome:
    """Some steps of cleaning or of a checkpoint; raises nothing."""
    more = True
    try:
        while more and steps > 0:
            more, steps = engine.tidy(), steps - 1
    except Exception as problem:
        return Outcome(failure=failure(engine, problem))
    return Outcome(more=more)


def failure(engine: Engine, problem: Exception) -> str:
    """Guards the thread: a fault in the engine is a store that failed."""
    if not isinstance(problem, FailedError):
        log.error("store: the engine failed", exc_info=problem)
        engine.failure = engine.failure or repr(problem)
    return str(problem) or repr(problem)


def run(done: Done) -> None:
    try:
        done()
    except Exception:  # a fault in one call costs that call, not the others that were written with it
        log.exception("store: what waited for a record failed")
