"""Applies committed entries to the state machine: in order, and a bounded number in each step."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from frostport.agreement.messages import Entry
from frostport.agreement.state_machine import StateMachine, UnsupportedVersionError


class Applier:
    """The queue of committed entries and of reads that wait for them.

    `blocked_reason` says why nothing more is applied: a later version of the program wrote an entry or a
    snapshot that this version can't read. The agent goes on voting and storing the log, and applies the rest
    after its own upgrade. If it skipped the entry, its state would differ from the others' for good.
    """

    def __init__(self, state_machine: StateMachine, index: int, snapshot: bytes) -> None:
        """`index`: the last entry that `snapshot` covers. Raises msgspec.MsgspecError if that is invalid."""
        self.state_machine = state_machine
        self.applied_index = index
        self.blocked_reason = ""
        # A str is the id of a read, which is done once all entries before it are applied.
        self.queue: deque[Entry | str] = deque()
        self._restore(index, snapshot)

    def _restore(self, index: int, snapshot: bytes) -> None:
        try:
            self.state_machine.restore(snapshot)
        except UnsupportedVersionError as problem:
            self.blocked_reason = str(problem)
        else:
            self.applied_index = index
            self.blocked_reason = ""

    def install(self, index: int, snapshot: bytes) -> None:
        """Replaces the state by a snapshot that covers all up to `index`. Raises msgspec.MsgspecError."""
        if index > self.applied_index:
            self.queue = deque(item for item in self.queue if isinstance(item, str) or item.index > index)
            self._restore(index, snapshot)

    def add(self, entries: Iterable[Entry], reads: Iterable[str]) -> None:
        """Queues committed entries, and after them the ids of reads."""
        self.queue.extend(entries)
        self.queue.extend(reads)

    def step(self, limit: int) -> list[tuple[str, int]]:
        """Processes up to `limit` items. Returns the ids of the commands and reads that are done by it, each
        with the index of its entry if it changed the state machine, else with -1."""
        done: list[tuple[str, int]] = []
        while self.queue and not self.blocked_reason and limit > 0:
            limit -= 1
            item = self.queue[0]
            if isinstance(item, str):
                done.append((item, -1))
            else:
                try:
                    changed = self.state_machine.apply(item)
                except UnsupportedVersionError as problem:
                    self.blocked_reason = str(problem)
                    break
                self.applied_index = item.index
                done.append((item.id, item.index if changed else -1))
            self.queue.popleft()
        return done
