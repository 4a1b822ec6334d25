"""The timer of the servers' failure detectors: evaluates each of them periodically."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadlines
from frostport.core.server_liveness import CHECK_PERIOD_MS, PROCESS_PAUSE_MS, ServerLiveness

log = logging.getLogger("frostport.liveness")


class MonitoredServer(Protocol):
    """A server with a failure detector."""

    liveness: ServerLiveness


Server = TypeVar("Server", bound=MonitoredServer)


class LivenessSweep(Generic[Server]):
    """Checks all servers every CHECK_PERIOD_MS, and notifies their detectors of pauses of this process."""

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        servers: Callable[[], Iterable[Server]],
        check_server: Callable[[Server, float], None],
    ) -> None:
        """`check_server` is called with a server and the time, in ms."""
        self._clock = clock
        self._deadlines = deadlines
        self._servers = servers
        self._check_server = check_server
        self._last_sweep_ms = 0.0

    def start(self) -> None:
        """Schedules the first sweep one period from now."""
        self._schedule_next(self._clock.now())

    def _schedule_next(self, now_ms: float) -> None:
        self._last_sweep_ms = now_ms
        self._deadlines.set(now_ms + CHECK_PERIOD_MS, self.sweep)

    def sweep(self) -> None:
        """Checks every server now, and schedules the next sweep."""
        now = self._clock.now()
        paused = now - self._last_sweep_ms > PROCESS_PAUSE_MS
        if paused:
            log.warning("this process was paused: servers get time to be heard")
        for server in list(self._servers()):
            if paused:
                server.liveness.process_paused(now)
            self._check_server(server, now)
        self._schedule_next(now)
