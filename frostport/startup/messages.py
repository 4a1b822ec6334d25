"""Messages in which agents exchange the server list over the link, as msgpack arrays.

A new field is only ever added at the end, so that agents of different versions understand each other.
"""

from __future__ import annotations

import msgspec

VERSION = 1
MAX_BATCH_BYTES = 512 * 1024  # a message takes no further event once its events have this size


class Subscribe(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Asks for the events of the list after an offset, and for later ones until the subscription expires.

    Sent again regularly to renew the subscription."""

    after_offset: int
    version: int = VERSION
    pressures: tuple[tuple[str, float], ...] = ()  # dial targets with the pressure level known to the sender


class FeedUpdate(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """The events after `after_offset`, in order; without events it only says how old the list is.

    `age_ms`: time since an agent on the way last received anything from the list service; negative: never.
    `connected`: the sender has a connection to the service. `dials_service`: its role is to have one."""

    after_offset: int
    events: tuple[bytes, ...]
    age_ms: float
    connected: bool
    dials_service: bool
    version: int = VERSION
    pressures: tuple[tuple[str, float], ...] = ()


class Unsubscribe(msgspec.Struct, array_like=True, frozen=True, tag="enough"):
    """Ends the sender's subscription."""


Message = Subscribe | FeedUpdate | Unsubscribe
