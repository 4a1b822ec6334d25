"""What agents say to each other about who is up, as msgpack arrays; each datagram's form has a version.

A field is only ever added at the end, with a default.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

VERSION = 1
NAME_MOST = 24  # bytes of an agent's name
TEXT_MOST = 21  # bytes of an address or a zone
WHOLE_MOST = 1 << 62


class State(IntEnum):
    """What a member is; within one incarnation the greater counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Info(msgspec.Struct, array_like=True, frozen=True):
    """What an agent says of itself: where it is heard, and how it stands."""

    address: str  # of its datagrams, "host:port"
    life: int  # drawn at its start: tells two processes of one name apart
    zone: str = ""
    phase: str = ""
    version: str = ""
    link: str = ""  # of the link, "host:port"


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one member. `info` goes with ALIVE alone; `by`: who suspects."""

    name: str
    incarnation: int
    state: State
    info: Info | None = None
    by: str = ""


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Are you there, `target`? Answered with an Ack of the same number."""

    sender: str
    number: int
    target: str
    updates: tuple[Update, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """I am; `life`: which process of that name."""

    sender: str
    number: int
    life: int
    updates: tuple[Update, ...] = ()


class PingReq(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Ask `target` at `address` for me."""

    sender: str
    number: int
    target: str
    address: str
    updates: tuple[Update, ...] = ()


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """It has not answered me (yet); I am well (Lifeguard)."""

    sender: str
    number: int
    updates: tuple[Update, ...] = ()


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Words alone: they go round faster than the probes do."""

    sender: str
    updates: tuple[Update, ...] = ()


class Join(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Take me in. `follows`: this is an upgrade, and an older process of the name may still answer."""

    sender: str
    incarnation: int
    info: Info
    follows: bool = False


class Welcome(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """You are a member; the rest of the view comes with the updates and over the link."""

    sender: str
    life: int  # the joiner's, whom it is meant for
    updates: tuple[Update, ...] = ()


class Refused(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """You are not taken in: a process of your name answers at `address`."""

    sender: str
    life: int
    address: str


Message = Ping | Ack | PingReq | Nack | Gossip | Join | Welcome | Refused
WITH_UPDATES = (Ping, Ack, PingReq, Nack, Gossip, Welcome)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class BadMessageError(ValueError):
    """Not a message of this version, or a field out of range."""


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Raises BadMessageError, and nothing else."""
    try:
        message = _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as problem:
        raise BadMessageError(str(problem)) from None
    check(message)
    return message


def check_info(info: Info) -> None:
    texts = (info.zone, info.phase, info.version, info.link)
    if (
        not 0 <= info.life < WHOLE_MOST
        or not info.address
        or any(len(text.encode()) > TEXT_MOST for text in (info.address, *texts))
    ):
        raise BadMessageError("info out of range")


def check(message: Message) -> None:
    names = [message.sender]
    if isinstance(message, Ping | PingReq):
        names.append(message.target)
    if isinstance(message, Join):
        check_info(message.info)
        if not 0 <= message.incarnation < WHOLE_MOST:
            raise BadMessageError("incarnation out of range")
    if isinstance(message, WITH_UPDATES):
        for update in message.updates:
            names.append(update.name)
            if not 0 <= update.incarnation < WHOLE_MOST or len(update.by.encode()) > NAME_MOST:
                raise BadMessageError("update out of range")
            if update.info is not None:
                check_info(update.info)
            elif update.state is State.ALIVE:
                raise BadMessageError("alive without info")
    if any(not name or len(name.encode()) > NAME_MOST for name in names):
        raise BadMessageError("name out of range")
