"""What agents say to each other of the server list, over the link, as msgpack arrays. A field is only added
at the end."""

from __future__ import annotations

import msgspec

VERSION = 1
PART_BYTES = 512 * 1024  # of events in one message


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Tell me of the list from after this event on, until I have not asked for a while."""

    at: int
    version: int = VERSION
    pressed: tuple[tuple[str, float], ...] = ()  # targets and how pressed they are, as seen here


class Told(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """The events after `at`, in order; none: a word that says how old the list is.

    `age_ms`: since the list service was last heard, by way of whoever; under 0: never. `here`: this agent has
    a connection to the service; `asks`: it is one that dials the service."""

    at: int
    events: tuple[bytes, ...]
    age_ms: float
    here: bool
    asks: bool
    version: int = VERSION
    pressed: tuple[tuple[str, float], ...] = ()


class Enough(msgspec.Struct, array_like=True, frozen=True, tag="enough"):
    """Tell me no more."""


Message = Ask | Told | Enough
