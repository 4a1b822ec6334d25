"""Failure detection for one upstream server: a state machine without sockets or timers.

Calls that stand at a server which has vanished are over, and nothing arrives that says so: their callers
have to be told within 8 s all the same (the protocol page, the rules on sockets), whatever discovery says.
A server that was only cut off returns with its calls, which have to be kept. The detector therefore asks
a quiet server for a sign of life early and gives its calls up late.

A sign of life on a connection that is older than the silence proves that the server's process has gone on.
One on a newer connection proves only that some process serves at that address now: the calls from before
the silence may have died with the process before it, and their time runs on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

CHECK_PERIOD_MS = 500.0  # how often each server is looked at
QUIET_AFTER_MS = 2000.0  # a server with standing calls that is silent for so long is asked for a sign of life
RECHECK_INTERVAL_MS = 1000.0  # and again at this interval
CHECK_TIMEOUT_MS = 1000.0  # a sign of life that was asked for takes no longer, or the server is suspected
# Calls end after so long a silence: 8 s, less one period, and 0.5 s for a busy machine and the caller's line.
CALLS_LOST_AFTER_MS = 8000.0 - CHECK_PERIOD_MS - 500.0
PROCESS_PAUSE_MS = 3.0 * CHECK_PERIOD_MS  # a longer gap between two looks is a pause of this process itself


@dataclass(frozen=True, slots=True)
class CheckLiveness:
    """The server is to be asked for a sign of life; `since_ms` is the last one where it is suspected."""

    since_ms: float | None


@dataclass(frozen=True, slots=True)
class Suspected:
    """Nothing was heard since a time, though it was asked for."""

    since_ms: float


@dataclass(frozen=True, slots=True)
class CallsLost:
    """The calls that stood at the server by a time count as over.

    Nothing was heard after `since_ms` on a connection that had been opened by then."""

    since_ms: float
    established_by_ms: float


Action = CheckLiveness | Suspected | CallsLost


@dataclass(slots=True)
class _Suspicion:
    since_ms: float
    lost_at_ms: float
    newer_heard_ms: float | None = None  # when a connection that is newer than the silence first spoke

    def established_by_ms(self, now_ms: float) -> float:
        """Until when the calls in doubt stood: later ones stand at the process that speaks now."""
        return now_ms if self.newer_heard_ms is None else math.nextafter(self.newer_heard_ms, 0.0)


class ServerLiveness:
    """What one server's silence means for the calls that stand there. All times in ms."""

    def __init__(
        self, now_ms: float, lost_ms: float = CALLS_LOST_AFTER_MS, old_are_asked: bool = True
    ) -> None:
        """`lost_ms`: the silence after which calls count as lost; no more than LOST_MS.

        `old_are_asked`: whether a quiet server is asked on the connections there are. If it is not, it is
        asked by a new one, whose first word is the answer."""
        self._lost_ms = min(lost_ms, CALLS_LOST_AFTER_MS)
        self._checks_old_connections = old_are_asked
        self._last_heard_ms = now_ms
        self._last_check_ms = -RECHECK_INTERVAL_MS
        self._suspicion: _Suspicion | None = None

    @property
    def suspected(self) -> bool:
        """Whether calls from before a silence are in doubt."""
        return self._suspicion is not None

    def is_quiet(self, now_ms: float) -> bool:
        """Whether there is anything to decide if calls stand at the server."""
        return self._suspicion is not None or now_ms >= self._last_heard_ms + QUIET_AFTER_MS

    def heard_after(self, at_ms: float) -> bool:
        """Whether anything was heard later than a time."""
        return self._last_heard_ms > at_ms

    def heard(self, now_ms: float, opened_at_ms: float) -> bool:
        """Something was read on a connection that was opened at a time; whether this ends a suspicion."""
        if self._checks_old_connections and opened_at_ms > self._last_heard_ms:
            self._suspect_if_quiet(now_ms)
        self._last_heard_ms = now_ms
        suspicion = self._suspicion
        if suspicion is None:
            return False
        if opened_at_ms > suspicion.since_ms:
            if suspicion.newer_heard_ms is None:
                suspicion.newer_heard_ms = now_ms
            return False
        self._suspicion = None
        return True

    def connection_reset(self, now_ms: float) -> None:
        """A connection was reset by the other side: after a silence, perhaps by a later process."""
        self._suspect_if_quiet(now_ms)

    def _suspect_if_quiet(self, now_ms: float) -> None:
        """Suspects a server that has been quiet: the process that is heard now may be another."""
        if self._suspicion is None and now_ms >= self._last_heard_ms + QUIET_AFTER_MS:
            self._suspicion = _Suspicion(self._last_heard_ms, self._last_heard_ms + self._lost_ms)

    def process_paused(self, now_ms: float) -> None:
        """This process itself has been stopped or starved: its silence is not the server's.

        The server is asked at once, and gets as long to answer as one that has just become quiet."""
        self._last_heard_ms = max(self._last_heard_ms, now_ms - QUIET_AFTER_MS)
        self._last_check_ms = now_ms - RECHECK_INTERVAL_MS
        if self._suspicion is not None:
            least = now_ms + self._lost_ms - QUIET_AFTER_MS
            self._suspicion.lost_at_ms = max(self._suspicion.lost_at_ms, least)

    def evaluate(self, now_ms: float, calls_stand: bool) -> list[Action]:
        """What is to be done now, in order; to be called every PERIOD_MS while `quiet`."""
        if not calls_stand:
            self._suspicion = None
            return []
        actions: list[Action] = []
        silent_ms = now_ms - self._last_heard_ms
        if self._suspicion is None and silent_ms >= QUIET_AFTER_MS + CHECK_TIMEOUT_MS:
            self._suspicion = _Suspicion(self._last_heard_ms, self._last_heard_ms + self._lost_ms)
            actions.append(Suspected(self._last_heard_ms))
        if self._suspicion is not None and now_ms >= self._suspicion.lost_at_ms:
            lost, self._suspicion = self._suspicion, None
            actions.append(CallsLost(lost.since_ms, lost.established_by_ms(now_ms)))
        elif self.is_quiet(now_ms) and now_ms >= self._last_check_ms + RECHECK_INTERVAL_MS:
            self._last_check_ms = now_ms
            actions.append(CheckLiveness(self._suspicion.since_ms if self._suspicion else None))
        return actions
