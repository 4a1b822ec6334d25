"""All deadlines of the program in one ordered structure."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Deadline:
    """One thing to do at a time; `cancel` may be called at any moment, also afterwards."""

    __slots__ = ("action", "at_ms")

    def __init__(self, at_ms: float, action: Callable[[], None]) -> None:
        self.at_ms = at_ms
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        self.action = None


class Deadlines:
    """A heap by time, then by order of setting. Whoever owns the wait is told when the first one changes."""

    def __init__(self, changed: Callable[[], None] = lambda: None) -> None:
        self._heap: list[tuple[float, int, Deadline]] = []
        self._order = 0
        self.on_first_changed = changed

    def set(self, at_ms: float, action: Callable[[], None]) -> Deadline:
        deadline = Deadline(at_ms, action)
        self._order += 1
        heapq.heappush(self._heap, (at_ms, self._order, deadline))
        if self._heap[0][2] is deadline:
            self.on_first_changed()
        return deadline

    def __len__(self) -> int:
        """How many are still to be done."""
        return sum(deadline.action is not None for _, _, deadline in self._heap)

    def next_ms(self) -> float | None:
        """When the first one is due, or None."""
        while self._heap and self._heap[0][2].action is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run(self, now_ms: float) -> None:
        """Does what is due, in order; what an action sets anew for now waits for the next run."""
        last = self._order
        while (at := self.next_ms()) is not None and at <= now_ms and self._heap[0][1] <= last:
            deadline = heapq.heappop(self._heap)[2]
            action, deadline.action = deadline.action, None
            if action is not None:
                action()
