"""The sessions of calls that are over, kept for a time to answer duplicates; limited in number of bytes."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines

ANSWER_KEEP_MS = 60_000.0  # how long the answer is kept for duplicates of a set-up whose call is over
MAX_ENDED_BYTES = 8 * 1024 * 1024  # held for all of them; beyond that the oldest are forgotten

S = TypeVar("S")


@dataclass(frozen=True, slots=True)
class EndedSession(Generic[S]):
    """A session, until when it is kept (ms), and what it holds in bytes."""

    session: S
    until_ms: float
    held_bytes: int


class EndedSessions(Generic[S]):
    """Calls `forget` for each session once its time is over, or earlier if all of them hold too much.

    One timer serves all of them: a client may end thousands of calls a second."""

    def __init__(self, clock: Clock, deadlines: Deadlines, forget: Callable[[str, S], None]) -> None:
        self.clock = clock
        self.deadlines = deadlines
        self.forget = forget
        self.total_bytes = 0
        self._entries: OrderedDict[str, EndedSession[S]] = OrderedDict()  # by call, in order of their end
        self._timer: Deadline | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, call: str, session: S, held_bytes: int, ended_at_ms: float) -> None:
        """Keeps the session of a call that is over; added again, it is kept for the full time anew."""
        self._remove(call)
        self._entries[call] = EndedSession(session, ended_at_ms + ANSWER_KEEP_MS, held_bytes)
        self.total_bytes += held_bytes
        while self.total_bytes > MAX_ENDED_BYTES:
            self._forget_oldest()
        self._schedule()

    def _remove(self, call: str) -> None:
        entry = self._entries.pop(call, None)
        if entry is not None:
            self.total_bytes -= entry.held_bytes

    def _forget_oldest(self) -> None:
        call, entry = next(iter(self._entries.items()))
        self._remove(call)
        self.forget(call, entry.session)

    def _schedule(self) -> None:
        if self._timer is None and self._entries:
            oldest = next(iter(self._entries.values()))
            self._timer = self.deadlines.set(oldest.until_ms, self._expire)

    def _expire(self) -> None:
        self._timer = None
        now = self.clock.now()
        while self._entries and next(iter(self._entries.values())).until_ms <= now:
            self._forget_oldest()
        self._schedule()
