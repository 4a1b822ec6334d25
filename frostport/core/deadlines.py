"""A queue of all timers of the process, ordered by time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MIN_DISCARDED = 64  # cancelled deadlines that the heap keeps in any case


class Deadline:
    """An action to run at a time; `cancel` may be called at any moment, also after it has run."""

    __slots__ = ("_on_cancel", "action", "at_ms")

    def __init__(self, at_ms: float, action: Callable[[], None], on_cancel: Callable[[], None]) -> None:
        self.at_ms = at_ms
        self.action: Callable[[], None] | None = action
        self._on_cancel = on_cancel

    def cancel(self) -> None:
        if self.action is not None:
            self.action = None
            self._on_cancel()


class Deadlines:
    """A heap ordered by time, then by order of `set`.

    Most deadlines are cancelled long before their time: those are removed once they are more than half of
    the heap. `on_first_changed` is called when a new deadline becomes the first one, so that the timer can be
    set to it."""

    def __init__(self, changed: Callable[[], None] = lambda: None) -> None:
        self._heap: list[tuple[float, int, Deadline]] = []
        self._cancelled = 0  # of those in the heap
        self._on_cancel = self._count_cancelled  # one bound method for all
        self._order = 0
        self.on_first_changed = changed

    def set(self, at_ms: float, action: Callable[[], None]) -> Deadline:
        """Schedules an action; only `run` calls it, even if `at_ms` has passed already."""
        deadline = Deadline(at_ms, action, self._on_cancel)
        self._order += 1
        heapq.heappush(self._heap, (at_ms, self._order, deadline))
        if self._heap[0][2] is deadline:
            self.on_first_changed()
        return deadline

    def __len__(self) -> int:
        """The number of deadlines that have neither run nor been cancelled."""
        return sum(deadline.action is not None for _, _, deadline in self._heap)

    def _count_cancelled(self) -> None:
        self._cancelled += 1
        if self._cancelled > MIN_DISCARDED and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].action is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_ms(self) -> float | None:
        """Returns the time of the first deadline, or None."""
        while self._heap and self._heap[0][2].action is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else None

    def run(self, now_ms: float) -> None:
        """Runs the actions that are due, in order; those that they set for now wait for the next run."""
        last = self._order
        while (at := self.next_ms()) is not None and at <= now_ms and self._heap[0][1] <= last:
            deadline = heapq.heappop(self._heap)[2]
            action, deadline.action = deadline.action, None
            if action is not None:
                action()
