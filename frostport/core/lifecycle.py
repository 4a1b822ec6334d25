"""The program's phases, from start to exit, as named states of one object."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

log = logging.getLogger("frostport.lifecycle")


class Phase(Enum):
    """Where the program stands."""

    STARTING = "starting"  # nothing is open yet
    SERVING = "serving"  # new connections and requests are taken
    CLOSING = "closing"  # told to end: what still comes is taken and served, tests fail
    DRAINING = "draining"  # no new connections or requests; what was taken is answered
    STOPPED = "stopped"  # all answered: the program exits


NEXT = {
    Phase.STARTING: (Phase.SERVING, Phase.STOPPED),
    Phase.SERVING: (Phase.CLOSING,),
    Phase.CLOSING: (Phase.DRAINING,),
    Phase.DRAINING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}


class Lifecycle:
    """Holds the phase and tells whoever listens when it changes."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []

    def listen(self, listener: Callable[[Phase], None]) -> None:
        self._listeners.append(listener)

    def enter(self, phase: Phase) -> None:
        if phase not in NEXT[self.phase]:
            raise ValueError(f"no way from {self.phase.value} to {phase.value}")
        log.info("phase %s -> %s", self.phase.value, phase.value)
        self.phase = phase
        for listener in self._listeners:
            listener(phase)

    def takes(self) -> bool:
        """Whether requests that come now are taken."""
        return self.phase in (Phase.SERVING, Phase.CLOSING)
