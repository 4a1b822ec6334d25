"""The watchdog of RFC 3539, section 3.4.1: five states, one timer, and no wire."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines

JITTER_MS = 2000.0
REOPEN_ANSWERS = 3  # watchdogs to be answered before a returning peer counts as up


class Watch(Enum):
    """The state of a connection to a peer, as the watchdog sees it."""

    INITIAL = "INITIAL"  # never been up
    OKAY = "OKAY"
    SUSPECT = "SUSPECT"  # a watchdog was not answered in time
    DOWN = "DOWN"
    REOPEN = "REOPEN"  # connected again, not yet trusted


class Watchdog:
    """One peer's watchdog; it outlives the peer's connections."""

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        interval_ms: float,
        chance: random.Random,
        ask: Callable[[], None],
        close: Callable[[], None],
        changed: Callable[[Watch, Watch], None],
    ) -> None:
        self.clock, self.deadlines, self.interval_ms, self.chance = clock, deadlines, interval_ms, chance
        self.ask, self.close, self.changed = ask, close, changed
        self.state = Watch.INITIAL
        self.pending = False  # a watchdog request is unanswered
        self.answers = 0
        self._timer: Deadline | None = None

    def _enter(self, state: Watch) -> None:
        before, self.state = self.state, state
        if before is not state:
            self.changed(before, state)

    def _set(self) -> None:
        self.stop()
        jitter = self.chance.uniform(-JITTER_MS, JITTER_MS)
        self._timer = self.deadlines.set(self.clock.now() + self.interval_ms + jitter, self.expired)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _ask(self) -> None:
        self.pending = True
        self.ask()

    def up(self) -> None:
        """The capabilities are exchanged: a first connection is trusted, a later one has to show itself."""
        self.pending = False
        self._set()
        if self.state is Watch.INITIAL:
            self._enter(Watch.OKAY)
        elif self.state is Watch.DOWN:
            self.answers = 0
            self._enter(Watch.REOPEN)
            self._ask()

    def down(self) -> None:
        """The connection is gone."""
        self.stop()
        self.pending = False
        if self.state is not Watch.INITIAL:
            self._enter(Watch.DOWN)

    def heard(self, answer: bool) -> None:
        """A message came; `answer` where it is the answer to a watchdog."""
        if self.state is Watch.REOPEN:
            if answer:
                self.pending = False
                self.answers += 1
                if self.answers >= REOPEN_ANSWERS:
                    self._set()
                    self._enter(Watch.OKAY)
            return
        if answer:
            self.pending = False
        if self.state in (Watch.OKAY, Watch.SUSPECT):
            self._set()
            self._enter(Watch.OKAY)

    def expired(self) -> None:
        match self.state:
            case Watch.OKAY if not self.pending:
                self._ask()
                self._set()
            case Watch.OKAY:
                self._enter(Watch.SUSPECT)
                self._set()
            case Watch.SUSPECT:
                self.close()
                self.down()
            case Watch.REOPEN if not self.pending:
                self._ask()
                self._set()
            case Watch.REOPEN if self.answers >= 0:
                self.answers = -1  # one watchdog may be missed, not two
                self._set()
            case Watch.REOPEN:
                self.close()
                self.down()
            case _:
                pass
