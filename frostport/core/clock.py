"""Clocks: float milliseconds that never run backwards."""

from __future__ import annotations

import time


class Clock:
    """Unix time in ms. While the system clock has gone back, `now` stays at the latest reading."""

    def __init__(self) -> None:
        self._last = 0.0

    def now(self) -> float:
        """Returns the time in ms, never less than an earlier result."""
        self._last = max(self._last, self.read())
        return self._last

    def read(self) -> float:
        """Returns the reading of the underlying clock in ms, which may go back; callers use `now`."""
        return time.time() * 1000.0


class MonotonicClock(Clock):
    """Monotonic time in ms since an arbitrary moment, unaffected by changes of the time of day."""

    def read(self) -> float:
        return time.monotonic() * 1000.0


class ManualClock(Clock):
    """A clock for tests and simulations: reads the time in `at`, ms."""

    def __init__(self, now_ms: float = 0.0) -> None:
        super().__init__()
        self.at = now_ms

    def read(self) -> float:
        return self.at
