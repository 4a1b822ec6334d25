"""The program's phases, from start to exit, as named states of one object.

An operator's drain and resume, an upgrade's handover and SIGTERM's end are all moves of this one
object, each move named in `NEXT`; whatever must happen on a move listens for it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

log = logging.getLogger("frostport.lifecycle")


class Phase(Enum):
    """Where the program stands."""

    STARTING = "starting"  # nothing is open yet
    SERVING = "serving"  # new connections and requests are taken; ready says yes
    DRAINING = "draining"  # told to drain: ready says no; a connection that carries calls stays until they
    # are over, and new set-ups on it are refused; one that carries nothing closes
    DRAINED = "drained"  # no client connection and no request is left; resume brings serving back
    TURNING_AWAY = "turning away"  # going out for work: new set-ups are refused, also on a connection whose
    # client never pauses; once nothing is left here, nothing can come any more
    HANDING_OVER = "handing over"  # a newer process serves on the same socket: this one takes no more, and
    # gives its store up once what it holds is answered
    CLOSING = "closing"  # told to end: what still comes is taken and served, tests fail
    STOPPING = "stopping"  # no new connections or requests; what was taken is answered
    STOPPED = "stopped"  # all answered: the program exits


TRANSITIONS = {
    Phase.STARTING: (Phase.SERVING, Phase.CLOSING, Phase.STOPPED),
    Phase.SERVING: (Phase.DRAINING, Phase.CLOSING, Phase.HANDING_OVER),
    Phase.DRAINING: (Phase.SERVING, Phase.DRAINED, Phase.TURNING_AWAY, Phase.CLOSING, Phase.HANDING_OVER),
    Phase.DRAINED: (Phase.SERVING, Phase.DRAINING, Phase.TURNING_AWAY, Phase.CLOSING, Phase.HANDING_OVER),
    Phase.TURNING_AWAY: (Phase.SERVING, Phase.CLOSING, Phase.HANDING_OVER),
    Phase.HANDING_OVER: (Phase.STOPPING,),
    Phase.CLOSING: (Phase.STOPPING,),
    Phase.STOPPING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}
READY_PHASES = (Phase.SERVING,)  # where ready says yes
ACCEPTING_PHASES = (
    Phase.SERVING,
    Phase.DRAINING,
    Phase.DRAINED,
    Phase.HANDING_OVER,
    Phase.CLOSING,
)  # requests taken
DRAINING_PHASES = (Phase.DRAINING, Phase.DRAINED, Phase.TURNING_AWAY)  # from which resume brings serving back
RELOADABLE_PHASES = (
    Phase.SERVING,
    *DRAINING_PHASES,
)  # a drained program may serve again: it must not stay with an old bus
IDLE_CLOSING_PHASES = (*DRAINING_PHASES, Phase.HANDING_OVER, Phase.STOPPING)  # connections close once idle


class Lifecycle:
    """Holds the phase and tells whoever listens when it changes."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []

    def add_listener(self, listener: Callable[[Phase], None]) -> None:
        self._listeners.append(listener)

    def enter(self, phase: Phase) -> None:
        if phase not in TRANSITIONS[self.phase]:
            raise ValueError(f"no way from {self.phase.value} to {phase.value}")
        log.info("phase %s -> %s", self.phase.value, phase.value)
        self.phase = phase
        for listener in self._listeners:
            listener(phase)

    def can_enter(self, phase: Phase) -> bool:
        """Whether the program can move to this phase now."""
        return phase in TRANSITIONS[self.phase]

    def accepts_requests(self) -> bool:
        """Whether requests that come now are taken."""
        return self.phase in ACCEPTING_PHASES

    def is_draining(self) -> bool:
        """Whether connections that carry calls get nothing new, so that they can close."""
        return self.phase in DRAINING_PHASES

    def is_ready(self) -> bool:
        """Whether this process says that it serves: new connections are welcome."""
        return self.phase in READY_PHASES

    def accepts_reload(self) -> bool:
        """Whether a new configuration is taken in."""
        return self.phase in RELOADABLE_PHASES

    def closes_idle_connections(self) -> bool:
        """Whether a client connection closes once it holds no request and owes nothing."""
        return self.phase in IDLE_CLOSING_PHASES
