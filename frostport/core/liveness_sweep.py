"""The timer of the servers' failure detectors: looks at each of them at a fixed period."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadlines
from frostport.core.server_liveness import PAUSE_MS, PERIOD_MS, ServerLiveness

log = logging.getLogger("frostport.liveness")


class Watched(Protocol):
    """A server with a failure detector."""

    liveness: ServerLiveness


Server = TypeVar("Server", bound=Watched)


class LivenessSweep(Generic[Server]):
    """Looks at all servers every PERIOD_MS, and tells their detectors of pauses of this process."""

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        servers: Callable[[], Iterable[Server]],
        look: Callable[[Server, float], None],
    ) -> None:
        """`look` is called with a server and the time, in ms."""
        self._clock, self._deadlines = clock, deadlines
        self._servers, self._look_at = servers, look
        self._looked_at_ms = 0.0

    def start(self) -> None:
        """Looks for the first time one period from now."""
        self._set(self._clock.now())

    def _set(self, now_ms: float) -> None:
        self._looked_at_ms = now_ms
        self._deadlines.set(now_ms + PERIOD_MS, self.look)

    def look(self) -> None:
        """Looks at every server now."""
        now = self._clock.now()
        paused = now - self._looked_at_ms > PAUSE_MS
        if paused:
            log.warning("this process was paused: servers get time to be heard")
        for server in list(self._servers()):
            if paused:
                server.liveness.paused(now)
            self._look_at(server, now)
        self._set(now)
