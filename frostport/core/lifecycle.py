"""The life cycle of the process, from start to exit, as a state machine.

An operator's drain and resume, the handover of an upgrade and the shutdown on SIGTERM are transitions of
this machine, all listed in `TRANSITIONS`; what has to happen on a transition is done by listeners.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

log = logging.getLogger("frostport.lifecycle")


class Phase(Enum):
    """The phase that the process is in."""

    STARTING = "starting"  # nothing is open yet
    SERVING = "serving"  # new connections and requests are accepted; the process reports ready
    # An operator has asked for a drain, and the process reports not ready. A connection with calls stays open
    # until they have ended, and refuses new set-ups; one without calls is closed.
    DRAINING = "draining"
    DRAINED = "drained"  # no client connection and no request is left; a resume returns to serving
    # Before maintenance: new set-ups are refused, also on a connection that is never idle. Once no request is
    # left, none can arrive any more.
    TURNING_AWAY = "turning away"
    # The successor serves on the same socket: this process accepts nothing new, and gives up its store once
    # its requests are answered.
    HANDING_OVER = "handing over"
    CLOSING = "closing"  # SIGTERM received: what still arrives is served, readiness checks fail
    STOPPING = "stopping"  # no new connections or requests; the open requests are answered
    STOPPED = "stopped"  # all requests are answered, and the process exits


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
READY_PHASES = (Phase.SERVING,)  # phases that report ready
# Phases in which requests are accepted.
ACCEPTING_PHASES = (Phase.SERVING, Phase.DRAINING, Phase.DRAINED, Phase.HANDING_OVER, Phase.CLOSING)
DRAINING_PHASES = (Phase.DRAINING, Phase.DRAINED, Phase.TURNING_AWAY)  # a resume returns to serving
# A drained process may serve again, and must not keep the address of a former event bus: it accepts reloads.
RELOADABLE_PHASES = (Phase.SERVING, *DRAINING_PHASES)
IDLE_CLOSING_PHASES = (*DRAINING_PHASES, Phase.HANDING_OVER, Phase.STOPPING)  # idle connections are closed


class Lifecycle:
    """Holds the phase, and calls the listeners when it changes, in the order in which they were added."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []

    def add_listener(self, listener: Callable[[Phase], None]) -> None:
        """The listener is called with each phase entered from now on, after the phase has changed."""
        self._listeners.append(listener)

    def enter(self, phase: Phase) -> None:
        """Moves to a phase. Raises ValueError if there is no such transition."""
        if phase not in TRANSITIONS[self.phase]:
            raise ValueError(f"no transition from {self.phase.value} to {phase.value}")
        log.info("phase %s -> %s", self.phase.value, phase.value)
        self.phase = phase
        for listener in self._listeners:
            listener(phase)

    def can_enter(self, phase: Phase) -> bool:
        """Whether there is a transition to this phase now."""
        return phase in TRANSITIONS[self.phase]

    def accepts_requests(self) -> bool:
        """Whether a request that arrives now is taken."""
        return self.phase in ACCEPTING_PHASES

    def is_draining(self) -> bool:
        """Whether new set-ups are refused on connections that carry calls, so that these become idle."""
        return self.phase in DRAINING_PHASES

    def is_ready(self) -> bool:
        """Whether this process reports that it accepts new connections."""
        return self.phase in READY_PHASES

    def accepts_reload(self) -> bool:
        """Whether a reload of the configuration is accepted."""
        return self.phase in RELOADABLE_PHASES

    def closes_idle_connections(self) -> bool:
        """Whether a client connection is closed once it has no request and no release to be confirmed."""
        return self.phase in IDLE_CLOSING_PHASES
