"""Failure detection for one upstream server: a state machine without sockets or timers.

When a server vanishes, its established calls are lost without any message, and their callers have to be
notified within 8 s nevertheless (the protocol page, the rules on sockets), whatever discovery reports. A
server that was only unreachable returns with its calls, and these have to be kept. The detector therefore
checks a silent server early, and gives up its calls late.

Data on a connection that is older than the silence proves that the server's process is still running. Data on
a newer connection proves only that some process serves at that address now: the calls from before the silence
may have been lost with an earlier process, so their time-out continues.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

CHECK_PERIOD_MS = 500.0  # how often each server is evaluated
SILENT_AFTER_MS = 2000.0  # a server with established calls is checked after this long a silence
RECHECK_INTERVAL_MS = 1000.0  # and again at this interval, until it sends something
CHECK_TIMEOUT_MS = 1000.0  # a server that has not answered a check by then is suspected
# Calls are lost after this long a silence: 8 s, less one period, and less 0.5 s for a busy machine and the
# caller's connection.
CALLS_LOST_AFTER_MS = 8000.0 - CHECK_PERIOD_MS - 500.0
PROCESS_PAUSE_MS = 3.0 * CHECK_PERIOD_MS  # a longer gap between two sweeps is a pause of this process itself


@dataclass(frozen=True, slots=True)
class CheckLiveness:
    """The server has to be asked to send something.

    `since_ms`: when data was last received from it, if it is suspected; else None."""

    since_ms: float | None


@dataclass(frozen=True, slots=True)
class Suspected:
    """The server has not answered a check; data was last received from it at `since_ms`."""

    since_ms: float


@dataclass(frozen=True, slots=True)
class CallsLost:
    """The calls established at the server by `established_by_ms` count as lost.

    Nothing was received after `since_ms` on a connection that had been opened by then."""

    since_ms: float
    established_by_ms: float


Action = CheckLiveness | Suspected | CallsLost


@dataclass(slots=True)
class _Suspicion:
    since_ms: float
    lost_at_ms: float
    newer_received_ms: float | None = None  # first data on a connection that is newer than the silence

    def established_by_ms(self, now_ms: float) -> float:
        """Returns the time up to which calls are in doubt: later ones belong to the newer process."""
        return now_ms if self.newer_received_ms is None else math.nextafter(self.newer_received_ms, 0.0)


class ServerLiveness:
    """The failure detector of one server. All times are in ms.

    The owner reports what it receives through `data_received`, and calls `evaluate` every CHECK_PERIOD_MS."""

    def __init__(
        self, now_ms: float, lost_ms: float = CALLS_LOST_AFTER_MS, checks_old_connections: bool = True
    ) -> None:
        """`lost_ms`: the silence after which calls count as lost, at most CALLS_LOST_AFTER_MS.

        `checks_old_connections`: whether a silent server is checked on its existing connections. If not, it
        is checked through a new connection, and the first data on that is the answer."""
        self._lost_ms = min(lost_ms, CALLS_LOST_AFTER_MS)
        self._checks_old_connections = checks_old_connections
        self._last_received_ms = now_ms
        self._last_check_ms = -RECHECK_INTERVAL_MS
        self._suspicion: _Suspicion | None = None

    @property
    def suspected(self) -> bool:
        """Whether calls from before a silence are in doubt."""
        return self._suspicion is not None

    def is_silent(self, now_ms: float) -> bool:
        """Whether `evaluate` would have anything to decide if the server has established calls."""
        return self._suspicion is not None or now_ms >= self._last_received_ms + SILENT_AFTER_MS

    def received_after(self, at_ms: float) -> bool:
        """Whether anything was received later than `at_ms`."""
        return self._last_received_ms > at_ms

    def data_received(self, now_ms: float, opened_at_ms: float) -> bool:
        """Data was received on a connection opened at `opened_at_ms`. Returns whether a suspicion ends."""
        if self._checks_old_connections and opened_at_ms > self._last_received_ms:
            self._suspect_if_silent(now_ms)
        self._last_received_ms = now_ms
        suspicion = self._suspicion
        if suspicion is None:
            return False
        if opened_at_ms > suspicion.since_ms:
            if suspicion.newer_received_ms is None:
                suspicion.newer_received_ms = now_ms
            return False
        self._suspicion = None
        return True

    def connection_reset(self, now_ms: float) -> None:
        """The server has reset a connection: after a silence, this may have been a newer process."""
        self._suspect_if_silent(now_ms)

    def _suspect_if_silent(self, now_ms: float) -> None:
        """Suspects a server after a silence: the process that has sent something now may be a newer one."""
        if self._suspicion is None and now_ms >= self._last_received_ms + SILENT_AFTER_MS:
            self._suspicion = _Suspicion(self._last_received_ms, self._last_received_ms + self._lost_ms)

    def process_paused(self, now_ms: float) -> None:
        """This process itself was stopped or starved, so the silence is not the server's.

        The server is checked at once, and gets as long to answer as one that has just become silent."""
        self._last_received_ms = max(self._last_received_ms, now_ms - SILENT_AFTER_MS)
        self._last_check_ms = now_ms - RECHECK_INTERVAL_MS
        if self._suspicion is not None:
            least = now_ms + self._lost_ms - SILENT_AFTER_MS
            self._suspicion.lost_at_ms = max(self._suspicion.lost_at_ms, least)

    def evaluate(self, now_ms: float, has_calls: bool) -> list[Action]:
        """Returns the actions to take now, in order.

        To be called every CHECK_PERIOD_MS while `is_silent`. `has_calls`: whether calls are established."""
        if not has_calls:
            self._suspicion = None
            return []
        actions: list[Action] = []
        silent_ms = now_ms - self._last_received_ms
        if self._suspicion is None and silent_ms >= SILENT_AFTER_MS + CHECK_TIMEOUT_MS:
            self._suspicion = _Suspicion(self._last_received_ms, self._last_received_ms + self._lost_ms)
            actions.append(Suspected(self._last_received_ms))
        if self._suspicion is not None and now_ms >= self._suspicion.lost_at_ms:
            lost, self._suspicion = self._suspicion, None
            actions.append(CallsLost(lost.since_ms, lost.established_by_ms(now_ms)))
        elif self.is_silent(now_ms) and now_ms >= self._last_check_ms + RECHECK_INTERVAL_MS:
            self._last_check_ms = now_ms
            actions.append(CheckLiveness(self._suspicion.since_ms if self._suspicion else None))
        return actions
