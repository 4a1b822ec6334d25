"""Messages in which agents exchange the server list over the link, as msgpack arrays.

An agent that hears the list service numbers the changes of its list in a stream of its own, which begins with
its start; those that follow it pass the changes on with these numbers. A message names the stream of its
number: numbers of different streams can't be compared (core/event_position.py).

A new field is only ever added at the end. Agents of version 1 exchanged numbers of the list service, which
count differently at each agent; no list is exchanged with them.
"""

from __future__ import annotations

import msgspec

VERSION = 2
MAX_BATCH_BYTES = 512 * 1024  # a message takes no further event once its events have this size


class Subscribe(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Asks for the changes after a number of `stream`, and for later ones until the subscription expires.

    With `complete` it asks for the complete list if the receiver can't send just those changes: its list is
    of another stream, or the number is too old. Sent again regularly to renew the subscription."""

    after_number: int
    version: int = VERSION
    pressures: tuple[tuple[str, float], ...] = ()  # dial targets with the pressure level known to the sender
    stream: str = ""
    complete: bool = False


class FeedUpdate(msgspec.Struct, array_like=True, frozen=True, tag="told"):
    """The changes that follow `after_number` of `stream`, in order, one number each; without events it only
    says where the sender's list stands, and how old it is.

    With `is_snapshot` there is one event instead, the complete list as of `after_number`.
    `age_ms`: time since an agent on the way last received anything from the list service; negative: never.
    `connected`: the sender has a connection to the service. `dials_service`: its role is to have one."""

    after_number: int
    events: tuple[bytes, ...]
    age_ms: float
    connected: bool
    dials_service: bool
    version: int = VERSION
    pressures: tuple[tuple[str, float], ...] = ()
    stream: str = ""
    is_snapshot: bool = False


class Unsubscribe(msgspec.Struct, array_like=True, frozen=True, tag="enough"):
    """Ends the sender's subscription."""


Message = Subscribe | FeedUpdate | Unsubscribe
