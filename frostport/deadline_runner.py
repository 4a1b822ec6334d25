"""Runs the deadlines of the process on the reactor's timer."""

from __future__ import annotations

import logging
from typing import Any

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadlines

log = logging.getLogger("frostport.agent")

LATE_AFTER_MS = 250.0  # a deadline run later than this was delayed by a pause of the process
READ_ITERATIONS = 3  # iterations of the event loop that read pending input before late deadlines run


class DeadlineRunner:
    """Keeps one reactor timer set to the first deadline."""

    def __init__(self, reactor: Any, clock: Clock, deadlines: Deadlines) -> None:
        self.reactor = reactor
        self.clock = clock
        self.deadlines = deadlines
        self._call: Any = None
        deadlines.on_first_changed = self.schedule

    def schedule(self) -> None:
        """Sets the timer anew; `Deadlines` calls this whenever its first deadline changes."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        at = self.deadlines.next_ms()
        if at is not None:
            self._call = self.reactor.callLater(max(0.0, (at - self.clock.now()) / 1000.0), self.run)

    def run(self, read_iterations: int = READ_ITERATIONS) -> None:
        """Runs the deadlines that are due; after a pause of the process, it reads pending input first.

        An answer that is still unread in a socket would otherwise count as a time-out."""
        at = self.deadlines.next_ms()
        if at is not None and read_iterations and self.clock.now() > at + LATE_AFTER_MS:
            self._call = self.reactor.callLater(0.0, self.run, read_iterations - 1)
            return
        try:
            self.deadlines.run(self.clock.now())
        except Exception:  # an error in one deadline skips only that deadline
            log.exception("deadline action failed")
        self.schedule()
