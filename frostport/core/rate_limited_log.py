"""What is wrong with what comes in: a log line each, and no more than a few a second in a flood."""

from __future__ import annotations

import logging


class RateLimitedLog:
    """Guards the log against those who send nothing but what can't be read."""

    MAX_LINES, WINDOW_MS = 10, 1000.0

    def __init__(self, log: logging.Logger) -> None:
        self._log, self._since, self._count = log, 0.0, 0

    def warn(self, now: float, peer: str, problem: object) -> None:
        if now - self._since >= self.WINDOW_MS:
            if self._count > self.MAX_LINES:
                self._log.warning("%d more complaints not logged", self._count - self.MAX_LINES)
            self._since, self._count = now, 0
        self._count += 1
        if self._count <= self.MAX_LINES:
            self._log.warning("%s: %s", peer, problem)
