"""The changes of one agent's server list: where the list stands, and the latest changes that led there."""

from __future__ import annotations

import itertools
from collections import deque

from frostport.core.event_position import EventPosition

MAX_RETAINED_CHANGES = 1000


class ChangeStream:
    """The changes that a list takes, in the stream of this agent or of the one that it follows.

    `own_stream`: the id of this agent's own stream, which no earlier start has used."""

    def __init__(self, own_stream: str) -> None:
        self._own_position = EventPosition(own_stream)  # the last one in this agent's own stream
        self._retained: deque[bytes] = deque()  # the latest changes, up to `position`
        self.position = self._own_position  # after the last change of the list

    @property
    def is_own(self) -> bool:
        """Whether the list stands in this agent's own stream."""
        return self.position.stream == self._own_position.stream

    def append(self, change: bytes) -> EventPosition:
        """Adds a change that the list has taken; returns the position before it."""
        before = self.position
        self.position = before.at(before.number + 1)
        if self.is_own:
            self._own_position = self.position
        self._retained.append(change)
        if len(self._retained) > MAX_RETAINED_CHANGES:
            self._retained.popleft()
        return before

    def begin_at(self, position: EventPosition) -> None:
        """The list was replaced by a complete one, which stands at `position`."""
        self.position = position
        self._retained.clear()

    def return_to_own(self) -> None:
        """The list follows no other agent now. No change leads here from the last own position."""
        self._own_position = self._own_position.at(self._own_position.number + 1)
        self.begin_at(self._own_position)

    def changes_after(self, position: EventPosition, max_bytes: int) -> tuple[bytes, ...] | None:
        """Returns the changes that follow `position`, the first ones up to just over `max_bytes`.

        None if it is a position of another stream, or some of the changes are no longer retained."""
        if position.stream != self.position.stream:
            return None
        missing = self.position.number - position.number
        if not 0 <= missing <= len(self._retained):
            return None
        changes: list[bytes] = []
        size = 0
        for change in itertools.islice(self._retained, len(self._retained) - missing, None):
            if size >= max_bytes:
                break
            changes.append(change)
            size += len(change)
        return tuple(changes)
