"""Positions in a stream of numbered events.

A number means something within its stream only. The event bus counts from 1 at each start of a call agent
(protocol page, "The event bus"), so numbers of different starts, or of different agents, say nothing about
which event is the later one. `EventPosition` carries the stream with the number and refuses the comparison.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass

STREAM_ID_BYTES = 8


class DifferentStreamError(TypeError):
    """Two positions of different streams were compared."""


def new_stream_id() -> str:
    """Returns the id of a new stream: of this start of this agent, and of no other."""
    return secrets.token_hex(STREAM_ID_BYTES)


@dataclass(frozen=True, slots=True)
class EventPosition:
    """The position after the event `number` of a stream; number 0 is its beginning."""

    stream: str
    number: int = 0

    def is_before(self, other: EventPosition) -> bool:
        """Whether this position comes before the other one. Raises DifferentStreamError."""
        if self.stream != other.stream:
            raise DifferentStreamError(f"{self} and {other} count different events")
        return self.number < other.number

    def at(self, number: int) -> EventPosition:
        """Returns the position after the event `number` of the same stream."""
        return EventPosition(self.stream, number)

    def __str__(self) -> str:
        return f"event {self.number}"
