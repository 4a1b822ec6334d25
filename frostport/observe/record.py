"""The event record of the fleet at this agent: JSON lines in rotated files, written by a thread."""

from __future__ import annotations

import logging
import logging.handlers
import pathlib
import queue
from collections.abc import Callable
from typing import Any, Protocol

import structlog

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_FILES = 2
MAX_QUEUED_LINES = 10_000  # waiting for the disk; more are dropped and counted


class Record(Protocol):
    """A sink for events, each a name with fields."""

    def event(self, name: str, **fields: Any) -> None:
        """Records an event; never blocks, as the event loop calls it."""

    def close(self) -> None:
        """Records what is still queued; the caller records no event after that."""


class NullRecord:
    """Discards all events."""

    def event(self, name: str, **fields: Any) -> None:
        pass

    def close(self) -> None:
        pass


class _BoundedQueueHandler(logging.handlers.QueueHandler):
    """Never blocks: a slow disk must not delay calls. Lines that exceed the queue are dropped and counted."""

    lost = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.lost += 1


class FileRecord:
    """Events as JSON lines in a file.

    `stamp` returns the fields that all lines have (agent, incarnation, times)."""

    def __init__(self, path: pathlib.Path, stamp: Callable[[], dict[str, Any]]) -> None:
        self._file = logging.handlers.RotatingFileHandler(
            path, maxBytes=MAX_FILE_BYTES, backupCount=MAX_FILES - 1, encoding="utf-8"
        )
        self._file.setFormatter(logging.Formatter("%(message)s"))
        self._queue = _BoundedQueueHandler(queue.Queue(MAX_QUEUED_LINES))
        self._listener = logging.handlers.QueueListener(self._queue.queue, self._file)
        self._listener.start()
        queueing_logger = logging.Logger(f"frostport.record.{path.name}", logging.INFO)
        queueing_logger.addHandler(self._queue)

        def add_stamp(logger: Any, method: str, event: Any) -> Any:
            return {**stamp(), **event}

        self._log = structlog.wrap_logger(
            queueing_logger,
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            processors=[add_stamp, structlog.processors.JSONRenderer(sort_keys=True)],
        )

    @property
    def lost(self) -> int:
        """The number of dropped lines."""
        return self._queue.lost

    def event(self, name: str, **fields: Any) -> None:
        """Queues a line for the writing thread; drops it if the queue is full."""
        self._log.info(name, **fields)

    def close(self) -> None:
        """Writes the queued lines and closes the file."""
        self._listener.stop()
        self._file.close()
