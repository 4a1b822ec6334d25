"""The store's handover on an upgrade: an old process still writes it while the new one serves already.

The steps, each of which may be cut short by the end of either process:

1. The new process can't lock the store. It locks the folder `next` in it, and writes there from the first
   moment: each of the two stores has one writer.
2. It follows what the old one writes: calls that stand there can be ended here, answers on record are
   repeated, a call whose attempt is out there gets none here before it has ended and the guard has passed.
3. The old process ends, however it does, and its lock is free. The new one locks the store, writes what
   `next` holds into it by the rule of state/merge.py, as one batch, and goes on there; `next` is emptied.
4. What the old one left, attempts out, releases owed, is taken up as after a restart.

A start that finds something in `next` does step 3 first: whoever died in between, nothing is lost or undone.
"""

from __future__ import annotations

import contextlib
import logging
import pathlib
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

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
    from frostport.durability import Durability, Joined

log = logging.getLogger("frostport.store")

NEXT = "next"
FOLLOW_MS = 100.0  # between two looks at the old process's store and its lock; each call looks as well


class Step(Enum):
    """How far the handover has come."""

    FOLLOWING = "following"
    TAKING = "taking over"
    DONE = "done"


def empty(folder: DiskFolder) -> None:
    """Removes a store whose records are written elsewhere; the manifest first, without which it is none.

    The folder and its lock stay: guards against a process that waits for the lock of a removed file."""
    folder.remove(MANIFEST_NAME)
    folder.sync()
    for name in folder.names() - {folder.LOCK_NAME}:
        folder.remove(name)


def absorb(engine: Engine, path: pathlib.Path, limits: Limits) -> dict[str, bytes]:
    """Writes what a successor left in `next` into the store, which is locked; returns all it then holds.

    Raises LockedError where that successor lives and waits for this very lock; StoreError, OSError."""
    held = engine.take_recovered()
    if not (path / NEXT).is_dir():
        return held
    folder = DiskFolder(path / NEXT)
    if MANIFEST_NAME not in folder.names():
        with contextlib.suppress(LockedError):  # who holds it has only begun
            folder.lock()
            empty(folder)  # whoever emptied it was stopped half-way
            folder.unlock()
        return held
    later = Engine.open(folder, limits)
    found = merge.changes(held, later.take_recovered())
    engine.append(found)
    engine.sync()
    finish(later, folder)
    log.info("store: %d records of a handover that was cut short are taken in", len(found))
    held.update((key, value) for key, value in found if value is not None)
    return held


def finish(later: Engine, folder: DiskFolder) -> None:
    """Lets go of `next`, emptied under its lock."""
    later.close(unlock=False)
    empty(folder)
    folder.unlock()


class Handover:
    """The new process's side; its own records are written by `durability` into `next` meanwhile."""

    def __init__(self, path: pathlib.Path, limits: Limits) -> None:
        """Raises LockedError where a third process is between the two; StoreError, OSError."""
        self.limits, self.main, self.folder = limits, DiskFolder(path), DiskFolder(path / NEXT)
        self.engine = Engine.open(self.folder, limits)  # the one of `next`
        try:
            self.follower = Follower(self.main)
        except BaseException:
            self.engine.close()
            raise
        self.step = Step.FOLLOWING
        self.there: set[str] = set()  # calls that the old process has open, or has standing and we don't
        self.adopted: set[str] = set()  # calls that stand there, and here as well, or were ended here since
        # By call of `there` and server: what that server said of it here, its end or an answer told again.
        self.deferred: dict[tuple[str, str], Continuation] = {}

    def known(self) -> dict[str, bytes]:
        """What the new process starts with beside its own: the list, peers, this node; not the calls."""
        own = self.engine.take_recovered()
        tables = (records.SERVER, records.PEER, records.BUS, records.NODE)
        theirs = {key: value for key, value in self.follower.values.items() if key.startswith(tables)}
        return {**theirs, **own}

    def join(self, agent: Joined, durability: Durability) -> None:
        """Once calls can be taken up, before anything is open."""
        self.agent, self.durability = agent, durability
        assert durability.recorder is not None
        durability.recorder.handover = self
        self.adopted.update(durability.restored.over)  # over by the records of a life before this one
        for key, value in self.follower.values.items():
            self._take_in(key, value)
        self._again()

    def _again(self) -> None:
        self.agent.deadlines.set(self.agent.clock.now() + FOLLOW_MS, self._turn)

    def _turn(self) -> None:
        if self.step is not Step.FOLLOWING:
            return
        self.look()
        try:
            self.main.lock()
        except LockedError:
            self._again()
            return
        # Guards against what the old one wrote between the look and its end: nobody looks again until the
        # store is this process's own.
        self.look()
        self._take_over()

    # While the old process lives

    def look(self) -> None:
        """Takes in what the old process has written since the last look. A fault costs this look alone."""
        if self.step is Step.FOLLOWING:
            try:
                for key, value in self.follower.poll().items():
                    self._take_in(key, value)
            except (StoreError, OSError) as problem:
                log.error("store: can't follow the old process: %s", problem)
            self._go_on()

    def defers(self, call: str, server: str, then: Continuation) -> bool:
        """Takes a server's word on a call that the old process still has open, until it is known there.

        Guards against an end that overtakes the answer: that is on record there, or about to be. And against
        an answer told again here, on a connection newer than the old process's: what is not known here
        would be released, and may stand by its records."""
        self.look()
        if call not in self.there:
            return False
        self.deferred[call, server] = then
        return True

    def _go_on(self) -> None:
        for key in [key for key in self.deferred if key[0] not in self.there]:
            if (then := self.deferred.pop(key, None)) is not None:  # one before it has looked again
                then()

    def elsewhere(self, call: str) -> bool:
        """Whether the old process may have an attempt of this call out."""
        return call in self.there

    def _take_in(self, key: str, value: bytes | None) -> None:
        if not key.startswith(CALL):
            return
        broker, call = self.agent.broker, key.removeprefix(CALL)
        record = None if value is None else records.decode(key, value)[2]
        self.there.discard(call)
        request = broker.find_request(call)
        match record:
            case Open():
                if call not in self.adopted:
                    self.there.add(call)
            case Standing():
                if request is None and call not in self.adopted:
                    # Also where an earlier set-up of it has ended: its client has repeated it over there.
                    broker.ended_ids.pop(call, None)
                    self.durability.stands(call, record)
                    self.adopted.add(call)
                elif call not in self.adopted:
                    self.there.add(call)
            case _:
                if call in self.adopted:
                    self.adopted.discard(call)
                    if request is not None and request.state is CallState.ESTABLISHED:
                        broker.ended_elsewhere(request)
                if isinstance(record, Over) and call not in broker.slots_by_id:
                    broker.ended_ids[call] = (self.agent.clock.now(), record.not_before)

    # Once it has ended

    def _take_over(self) -> None:
        self.step = Step.TAKING
        committer = self.durability.committer
        assert committer is not None

        def job() -> Callable[[], None]:
            """On the store's thread, after all that was written to `next`."""
            try:
                main = Engine.open(self.main, self.limits, locked=True)
                left = main.take_recovered()
                later = committer.engine
                main.append(merge.changes(left, dict(later.values())))
                main.sync()
                committer.engine = self.durability.engine = main
                finish(later, self.folder)
            except Exception as problem:  # guards the thread; `next` still holds all that is ours
                why = str(problem) or repr(problem)
                return lambda: self._failed(why)
            return lambda: self._taken(left)

        committer.worker.submit(job)

    def _failed(self, why: str) -> None:
        """What the old process left can't be taken in (now): this one writes to `next` as before."""
        log.error("store: the handover waits: %s", why)
        self.main.unlock()
        self.step = Step.FOLLOWING
        self._again()

    def _taken(self, left: dict[str, bytes]) -> None:
        """The store is this process's alone: what the old one left is taken up."""
        for key in left.keys() | self.follower.values.keys():
            if left.get(key) != self.follower.values.get(key):
                self._take_in(key, left.get(key))
        self.step = Step.DONE
        agent, broker, now = self.agent, self.agent.broker, self.agent.clock.now()
        theirs = {}
        for key, value in left.items():
            call = records.split(key)[1].rpartition(records.BETWEEN)[2]
            if key.startswith((records.OWED, records.RELEASE)) or (
                key.startswith(CALL) and (call in self.there or call not in broker.slots_by_id)
            ):
                theirs[key] = value
        restored = recovery.restore(theirs, now, agent.rules.settings.release_guard_ms)
        for call, over in restored.over.items():
            if call not in broker.slots_by_id:
                guard = broker.ended_ids.get(call, (0.0, 0.0))[1]
                broker.ended_ids[call] = (over.at, max(over.not_before, guard))
        for call in self.there:
            if (request := broker.find_request(call)) is not None:
                # Its attempt has ended with the old process, now at the latest; if it stands, it is released.
                request.not_before = now + agent.rules.settings.release_guard_ms
                if call in restored.standing:
                    restored.releases[restored.standing[call].server, call] = None
        agent.side.restore_from_predecessor(restored)
        self.there.clear()
        self.adopted.clear()
        assert self.durability.recorder is not None
        self.durability.recorder.taken_over()
        self._go_on()
        log.info(
            "store: taken over: %d calls stand, %d releases owed",
            len(broker.requests),
            len(restored.releases) + len(restored.owed),
        )
