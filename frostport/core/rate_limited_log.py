"""Log lines about malformed input, limited in number per second."""

from __future__ import annotations

import logging


class RateLimitedLog:
    """Logs a warning for each problem, at most `MAX_LINES` within `WINDOW_MS`.

    A peer that sends only malformed input would otherwise fill the log."""

    MAX_LINES = 10
    WINDOW_MS = 1000.0

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._since = 0.0
        self._count = 0

    def warn(self, now: float, peer: str, problem: object) -> None:
        """Logs the problem that `peer` has caused at `now`, ms, unless the limit is reached."""
        if now - self._since >= self.WINDOW_MS:
            if self._count > self.MAX_LINES:
                self._log.warning("%d more warnings suppressed", self._count - self.MAX_LINES)
            self._since = now
            self._count = 0
        self._count += 1
        if self._count <= self.MAX_LINES:
            self._log.warning("%s: %s", peer, problem)
