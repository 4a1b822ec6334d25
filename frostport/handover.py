"""Handover of the store on an upgrade: the predecessor still writes to it while its successor, this process,
already serves.

The steps, each of which may be interrupted by the end of either process:

1. The successor can't lock the store. It locks the folder `next` inside it, and writes all its records
   there: each of the two stores has one writer.
2. It follows the records of the predecessor: calls established there can be ended here, recorded answers are
   repeated, and a call with an attempt pending there gets none here until that has ended and the release
   guard has passed.
3. The predecessor exits or dies, which frees its lock. The successor locks the store, merges the records of
   `next` into it by the rule of state/merge.py as one batch, continues to write there and empties `next`.
4. Pending attempts and pending releases of the predecessor are handled as after a restart.

A process that starts and finds records in `next` performs step 3 first: whichever process died in between,
no change is lost or undone.
"""

from __future__ import annotations

import contextlib
import logging
import pathlib
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from frostport.core.calls import EndedCall
from frostport.core.calls import State as CallState
from frostport.core.recorder import Continuation
from frostport.state import merge, records, recovery
from frostport.state.records import CALL, Open, Over, Standing
from frostport.store.engine import Engine, Limits
from frostport.store.errors import LockedError, StoreError
from frostport.store.files import DiskFolder
from frostport.store.follower import Follower
from frostport.store.recovery import MANIFEST_NAME

if TYPE_CHECKING:
    from frostport.durability import AgentWithStore, Durability

log = logging.getLogger("frostport.store")

NEXT_FOLDER = "next"
FOLLOW_INTERVAL_MS = 100.0  # between two polls of the predecessor's store and lock; each call polls too


class HandoverState(Enum):
    """The state of a handover."""

    FOLLOWING = "following"
    TAKING_OVER = "taking over"
    DONE = "done"


def remove_store(folder: DiskFolder) -> None:
    """Removes the files of a store whose records are in the main store.

    The manifest goes first: a folder without one is not a store. The folder and its lock file stay, which
    guards against a process that waits for the lock of a removed file."""
    folder.remove(MANIFEST_NAME)
    folder.sync()
    for name in folder.names() - {folder.LOCK_NAME}:
        folder.remove(name)


def merge_next(engine: Engine, path: pathlib.Path, limits: Limits) -> dict[str, bytes]:
    """Merges records that a successor left in `next` into the store, which is locked; returns all values.

    Raises LockedError if that successor is alive and waits for this lock; StoreError, OSError."""
    values = engine.take_recovered()
    if not (path / NEXT_FOLDER).is_dir():
        return values
    folder = DiskFolder(path / NEXT_FOLDER)
    if MANIFEST_NAME not in folder.names():
        with contextlib.suppress(LockedError):  # the process that holds it has only just started
            folder.lock()
            remove_store(folder)  # an earlier removal was interrupted
            folder.unlock()
        return values
    successor = Engine.open(folder, limits)
    changes = merge.changes(values, successor.take_recovered())
    engine.append(changes)
    engine.sync()
    close_next(successor, folder)
    log.info("store: merged %d records of an interrupted handover", len(changes))
    values.update((key, value) for key, value in changes if value is not None)
    return values


def close_next(engine: Engine, folder: DiskFolder) -> None:
    """Closes the store in `next`, empties it while it is locked, and releases the lock."""
    engine.close(unlock=False)
    remove_store(folder)
    folder.unlock()


class Handover:
    """The successor's side of a handover; its own records go to `next` through `Durability` meanwhile."""

    def __init__(self, path: pathlib.Path, limits: Limits) -> None:
        """Raises LockedError if a third process is already taking over; StoreError, OSError."""
        self.limits = limits
        self.main_folder = DiskFolder(path)
        self.next_folder = DiskFolder(path / NEXT_FOLDER)
        self.engine = Engine.open(self.next_folder, limits)  # of the store in `next`
        try:
            self.follower = Follower(self.main_folder)
        except BaseException:
            self.engine.close()
            raise
        self.state = HandoverState.FOLLOWING
        # Calls that are open in the predecessor, or established there but not here.
        self.pending_in_predecessor: set[str] = set()
        # Calls established in the predecessor that are established here too, or have been ended here since.
        self.adopted: set[str] = set()
        # By pending call and server: handles that server's message on it, an end or a repeated answer.
        self.deferred: dict[tuple[str, str], Continuation] = {}

    def initial_values(self) -> dict[str, bytes]:
        """Returns the records to start with: all of `next`, and some of the predecessor.

        The latter are the server list, the peers and the node; its calls are not among them. Nor is its
        position at the bus: events count from 1 at each start, this process's too."""
        own = self.engine.take_recovered()
        tables = (records.SERVER, records.PEER, records.NODE)
        theirs = {key: value for key, value in self.follower.values.items() if key.startswith(tables)}
        return {**theirs, **own}

    def attach(self, agent: AgentWithStore, durability: Durability) -> None:
        """Starts to follow the predecessor; called once calls can be restored, before any port is open."""
        self.agent = agent
        self.durability = durability
        assert durability.recorder is not None
        durability.recorder.handover = self
        self.adopted.update(durability.restored.over)  # ended according to records of an earlier process
        for key, value in self.follower.values.items():
            self._apply(key, value)
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        self.agent.deadlines.set(self.agent.clock.now() + FOLLOW_INTERVAL_MS, self._poll_and_try_lock)

    def _poll_and_try_lock(self) -> None:
        if self.state is not HandoverState.FOLLOWING:
            return
        self.poll()
        try:
            self.main_folder.lock()
        except LockedError:
            self._schedule_poll()
            return
        # Guards against records that the predecessor wrote between the poll and its end: there is no other
        # poll until this process owns the store.
        self.poll()
        self._take_over()

    # While the predecessor is alive

    def poll(self) -> None:
        """Applies what the predecessor has written since the last poll; an error ends this poll only."""
        if self.state is HandoverState.FOLLOWING:
            try:
                for key, value in self.follower.poll().items():
                    self._apply(key, value)
            except (StoreError, OSError) as problem:
                log.error("store: can't read the predecessor's records: %s", problem)
            self._run_deferred()

    def defers(self, call: str, server: str, then: Continuation) -> bool:
        """Defers a server's message on a call that is pending in the predecessor; returns whether it did.

        `then` handles the message; it runs once the call is no longer pending there.

        Guards against an end that overtakes the answer, which the predecessor has recorded or is about to.
        Also guards against an answer that is repeated here, on a connection newer than the predecessor's: a
        call not known here would be released, while it may be established by the predecessor's records."""
        self.poll()
        if call not in self.pending_in_predecessor:
            return False
        self.deferred[call, server] = then
        return True

    def _run_deferred(self) -> None:
        for key in [key for key in self.deferred if key[0] not in self.pending_in_predecessor]:
            # An earlier continuation may have polled and run it.
            if (then := self.deferred.pop(key, None)) is not None:
                then()

    def pending_elsewhere(self, call: str) -> bool:
        """Whether the predecessor may have a pending attempt of this call."""
        return call in self.pending_in_predecessor

    def _apply(self, key: str, value: bytes | None) -> None:
        if not key.startswith(CALL):
            return
        broker = self.agent.broker
        call = key.removeprefix(CALL)
        record = None if value is None else records.decode(key, value)[2]
        self.pending_in_predecessor.discard(call)
        request = broker.find_request(call)
        match record:
            case Open():
                if call not in self.adopted:
                    self.pending_in_predecessor.add(call)
            case Standing():
                if request is None and call not in self.adopted:
                    # Also if an earlier set-up of it has ended: the client repeated it at the predecessor.
                    broker.ended_ids.pop(call, None)
                    self.durability.adopt_call(call, record)
                    self.adopted.add(call)
                elif call not in self.adopted:
                    self.pending_in_predecessor.add(call)
            case _:
                if call in self.adopted:
                    self.adopted.discard(call)
                    if request is not None and request.state is CallState.ESTABLISHED:
                        broker.ended_elsewhere(request)
                if isinstance(record, Over) and request is not None:
                    # The set-up came here as well, and has waited for the predecessor's outcome.
                    request.may_have_run |= recovery.ended_call(record).may_have_run
                elif isinstance(record, Over):
                    broker.ended_ids[call] = recovery.ended_call(record)

    # Once the predecessor has ended

    def _take_over(self) -> None:
        self.state = HandoverState.TAKING_OVER
        committer = self.durability.committer
        assert committer is not None

        def job() -> Callable[[], None]:
            """Runs on the store's thread, after all writes to `next`."""
            try:
                main = Engine.open(self.main_folder, self.limits, locked=True)
                old_values = main.take_recovered()
                own = committer.engine
                main.append(merge.changes(old_values, dict(own.values())))
                main.sync()
                committer.engine = self.durability.engine = main
                close_next(own, self.next_folder)
            except Exception as problem:  # guards the thread; `next` still holds all own records
                why = str(problem) or repr(problem)
                return lambda: self._takeover_failed(why)
            return lambda: self._taken_over(old_values)

        committer.worker.submit(job)

    def _takeover_failed(self, why: str) -> None:
        """Called when the merge has failed: this process continues to write to `next`, and tries again."""
        log.error("store: handover failed, trying again: %s", why)
        self.main_folder.unlock()
        self.state = HandoverState.FOLLOWING
        self._schedule_poll()

    def _taken_over(self, old_values: dict[str, bytes]) -> None:
        """Takes over the predecessor's calls and pending releases, now as the store's owner."""
        for key in old_values.keys() | self.follower.values.keys():
            if old_values.get(key) != self.follower.values.get(key):
                self._apply(key, old_values.get(key))
        self.state = HandoverState.DONE
        agent = self.agent
        broker = self.agent.broker
        now = self.agent.clock.now()
        unfinished = {}
        for key, value in old_values.items():
            call = records.split_key(key)[1].rpartition(records.KEY_SEPARATOR)[2]
            if key.startswith((records.OWED, records.RELEASE)) or (
                key.startswith(CALL)
                and (call in self.pending_in_predecessor or call not in broker.handles_by_id)
            ):
                unfinished[key] = value
        restored = recovery.restore(unfinished, now, agent.rules.settings.release_guard_ms)
        for call, over in restored.over.items():
            if call not in broker.handles_by_id:
                known = broker.ended_ids.get(call, EndedCall(0.0))
                broker.ended_ids[call] = EndedCall(
                    over.at,
                    max(over.not_before, known.not_before_ms),
                    known.may_have_run or restored.ended_call(call).may_have_run,
                )
        for call in self.pending_in_predecessor:
            if (request := broker.find_request(call)) is not None:
                # Its attempt ended with the predecessor, now at the latest. If established, it is released.
                request.not_before = now + agent.rules.settings.release_guard_ms
                if call in restored.established:
                    restored.releases[restored.established[call].server, call] = None
        agent.side.restore_from_predecessor(restored)
        self.pending_in_predecessor.clear()
        self.adopted.clear()
        assert self.durability.recorder is not None
        self.durability.recorder.handover_done()
        self._run_deferred()
        log.info(
            "store: taken over: %d calls established, %d releases pending",
            len(broker.requests),
            len(restored.releases) + len(restored.pending_ends),
        )
