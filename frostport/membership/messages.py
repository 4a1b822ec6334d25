"""The messages of the membership protocol, as msgpack arrays; the wire carries a version in each datagram.

Fields are only ever added at the end, with a default.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

VERSION = 1
MAX_NAME_BYTES = 24  # of an agent's name
MAX_TEXT_BYTES = 21  # of an address or a zone
INTEGER_LIMIT = 1 << 62  # exclusive, of incarnations and process ids


class State(IntEnum):
    """The state of a member; of two updates of one incarnation the greater state prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Info(msgspec.Struct, array_like=True, frozen=True):
    """What an agent announces of itself. The field names are keys of the status output."""

    address: str  # for datagrams, "host:port"
    life: int  # drawn at random when the process starts: tells two processes of one name apart
    zone: str = ""
    phase: str = ""
    version: str = ""
    link: str = ""  # address of its link, "host:port"


class Update(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member. `info` comes with ALIVE in datagrams, with every state in a view."""

    name: str
    incarnation: int
    state: State
    info: Info | None = None
    suspected_by: str = ""  # the member that suspects it


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Probes `target`, which answers with an Ack of the same sequence number."""

    sender: str
    sequence: int
    target: str
    updates: tuple[Update, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Answers a Ping. `life`: the `Info.life` of the process that answers."""

    sender: str
    sequence: int
    life: int
    updates: tuple[Update, ...] = ()


class PingReq(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks the receiver to probe `target` at `address` on the sender's behalf."""

    sender: str
    sequence: int
    target: str
    address: str
    updates: tuple[Update, ...] = ()


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Answers a PingReq whose target is late; shows that the sender itself is healthy (Lifeguard)."""

    sender: str
    sequence: int
    updates: tuple[Update, ...] = ()


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Carries updates alone, which spread faster than by probes."""

    sender: str
    updates: tuple[Update, ...] = ()


class Join(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Asks for admission. `supersedes`: an upgrade, an older process of the name may still answer."""

    sender: str
    incarnation: int
    info: Info
    supersedes: bool = False


class Welcome(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Admits a member. What does not fit into `updates` follows over the link."""

    sender: str
    life: int  # of the joining process, which the message is for
    updates: tuple[Update, ...] = ()


class Refused(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Refuses a Join: another process of that name answers at `address`."""

    sender: str
    life: int  # of the joining process
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
    """Decodes and validates a message. Raises BadMessageError and no other exception."""
    try:
        message = _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as problem:
        raise BadMessageError(str(problem)) from None
    validate(message)
    return message


def validate_info(info: Info) -> None:
    """Raises BadMessageError if `life` is out of range, a text too long or the address empty."""
    texts = (info.zone, info.phase, info.version, info.link)
    if (
        not 0 <= info.life < INTEGER_LIMIT
        or not info.address
        or any(len(text.encode()) > MAX_TEXT_BYTES for text in (info.address, *texts))
    ):
        raise BadMessageError(
            f"invalid member info: life {info.life} out of range, empty address, "
            f"or a text of more than {MAX_TEXT_BYTES} bytes"
        )


def validate(message: Message) -> None:
    """Raises BadMessageError if a name, a text or an integer is out of range, or an ALIVE has no info."""
    names = [message.sender]
    if isinstance(message, Ping | PingReq):
        names.append(message.target)
    if isinstance(message, Join):
        validate_info(message.info)
        if not 0 <= message.incarnation < INTEGER_LIMIT:
            raise BadMessageError(f"Join with incarnation {message.incarnation} out of range")
    if isinstance(message, WITH_UPDATES):
        for update in message.updates:
            names.append(update.name)
            if (
                not 0 <= update.incarnation < INTEGER_LIMIT
                or len(update.suspected_by.encode()) > MAX_NAME_BYTES
            ):
                raise BadMessageError(
                    f"update with incarnation {update.incarnation} out of range, "
                    f"or suspected_by of more than {MAX_NAME_BYTES} bytes"
                )
            if update.info is not None:
                validate_info(update.info)
            elif update.state is State.ALIVE:
                raise BadMessageError("ALIVE update without info")
    if any(not name or len(name.encode()) > MAX_NAME_BYTES for name in names):
        raise BadMessageError(f"an agent name is empty or has more than {MAX_NAME_BYTES} bytes")
