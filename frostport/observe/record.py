"""The record of what the fleet did at this agent: JSON lines by structlog, bounded, written by a thread."""

from __future__ import annotations

import logging
import logging.handlers
import pathlib
import queue
from collections.abc import Callable
from typing import Any, Protocol

import structlog

FILE_BYTES, FILES = 16 * 1024 * 1024, 2  # the newest two files stay
WAITING_MOST = 10_000  # lines that wait for the disk; more are counted and lost


class Record(Protocol):
    """Where events go."""

    def event(self, name: str, **fields: Any) -> None: ...

    def close(self) -> None: ...


class NoRecord:
    """Keeps nothing."""

    def event(self, name: str, **fields: Any) -> None:
        pass

    def close(self) -> None:
        pass


class _Queue(logging.handlers.QueueHandler):
    """Guards the hot path against a slow disk: past the queue's end a line is lost, and counted."""

    lost = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.lost += 1


class FileRecord:
    """One file of JSON lines; `stamp` gives each line what all have (agent, incarnation, times)."""

    def __init__(self, path: pathlib.Path, stamp: Callable[[], dict[str, Any]]) -> None:
        self._file = logging.handlers.RotatingFileHandler(
            path, maxBytes=FILE_BYTES, backupCount=FILES - 1, encoding="utf-8"
        )
        self._file.setFormatter(logging.Formatter("%(message)s"))
        self._queue = _Queue(queue.Queue(WAITING_MOST))
        self._listener = logging.handlers.QueueListener(self._queue.queue, self._file)
        self._listener.start()
        plain = logging.Logger(f"frostport.record.{path.name}", logging.INFO)
        plain.addHandler(self._queue)

        def stamped(logger: Any, method: str, event: Any) -> Any:
            return {**stamp(), **event}

        self._log = structlog.wrap_logger(
            plain,
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            processors=[stamped, structlog.processors.JSONRenderer(sort_keys=True)],
        )

    @property
    def lost(self) -> int:
        return self._queue.lost

    def event(self, name: str, **fields: Any) -> None:
        self._log.info(name, **fields)

    def close(self) -> None:
        """Writes what waits."""
        self._listener.stop()
        self._file.close()
