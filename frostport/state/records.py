"""The records: what is kept under which key. Arrays of msgpack, so that a call costs little over its own
texts.

Times are float milliseconds of Unix time. A field is only ever added at the end, with a default: an older
record
stays readable.
"""

from __future__ import annotations

import msgspec

CALL, SERVER, BUDGET, OWED, RELEASE, PEER = "call/", "server/", "budget/", "owed/", "release/", "peer/"
BUS, NODE = "bus", "node"
BETWEEN = "\0"  # the two parts of a key


class Open(msgspec.Struct, tag="o", array_like=True):
    """A call without an answer: its last attempt is, or was, at `server`."""

    server: str
    at: float
    not_before: float
    attempts: int
    service: str
    team: str
    client: str
    identity: int


class Standing(msgspec.Struct, tag="s", array_like=True):
    """A call that stands at `server` since `at`; `answer` is what its client was told, or is about to be."""

    server: str
    at: float
    service: str
    team: str
    client: str
    identity: int  # Diameter's End-to-End id of the request
    print: int  # CRC-32 of the description that was asked with
    text: bool  # the answer is text, in UTF-8
    answer: bytes


class Over(msgspec.Struct, tag="e", array_like=True):
    """A call that is over: its answer ("stands", "refused", "failed", "gone"), and where it last was.

    `body` only where the front answers duplicates, or the client may not have heard the answer; `back_ms`:
    for how long its client was told to stay away."""

    answer: str
    server: str
    at: float
    not_before: float
    client: str
    identity: int
    ended_by: int  # the End-to-End id of the request that ended it, -1: none
    back_ms: float
    body: bytes
    text: bool = False  # the answer is text, in UTF-8
    service: str = ""
    print: int = 0  # CRC-32 of the description that was asked with
    answered_at: float = 0.0  # 0: no answer is kept here


class Listed(msgspec.Struct, array_like=True):
    """What the list says of a server."""

    number: int
    state: str
    zone: str
    started_ms: float
    nominal: float
    kind: str
    dial: str
    stop_at: float | None
    at: float


class Bucket(msgspec.Struct, array_like=True):
    """A team's budget of one service: tokens left at a time."""

    tokens: float
    at: float


class Bus(msgspec.Struct, array_like=True):
    """The last event taken in, and the list's version then."""

    offset: int
    version: int
    at: float


class Owed(msgspec.Struct, array_like=True):
    """A client ("" where it isn't known which) is owed the end of a call."""

    client: str
    outcome: str
    at: float


class Release(msgspec.Struct, array_like=True):
    """A server is owed a release."""

    at: float


class PeerState(msgspec.Struct, array_like=True):
    """A Diameter peer: its Origin-State-Id, -1 where it told none."""

    state_id: int
    started_ms: float
    at: float


class Node(msgspec.Struct, array_like=True):
    """This node's own Origin-State-Id: it stays while its sessions do (RFC 6733, 8.16)."""

    state_id: int
    at: float


Call = Open | Standing | Over
Record = Call | Listed | Bucket | Bus | Owed | Release | PeerState | Node

_encoder = msgspec.msgpack.Encoder()
FORMS: dict[str, msgspec.msgpack.Decoder[Record]] = {
    CALL: msgspec.msgpack.Decoder(Call),
    SERVER: msgspec.msgpack.Decoder(Listed),
    BUDGET: msgspec.msgpack.Decoder(Bucket),
    OWED: msgspec.msgpack.Decoder(Owed),
    RELEASE: msgspec.msgpack.Decoder(Release),
    PEER: msgspec.msgpack.Decoder(PeerState),
    BUS: msgspec.msgpack.Decoder(Bus),
    NODE: msgspec.msgpack.Decoder(Node),
}


class BadRecordError(ValueError):
    """A sound frame whose record this version can't read: the message names the key."""


def encode(record: Record) -> bytes:
    return _encoder.encode(record)


def split(key: str) -> tuple[str, str]:
    """The table and what follows it."""
    table, slash, name = key.partition("/")
    return table + slash, name


def decode(key: str, value: bytes) -> tuple[str, str, Record]:
    """Table, name and record. Raises BadRecordError."""
    table, name = split(key)
    form = FORMS.get(table)
    if form is None:
        raise BadRecordError(f"{key[:80]!r}: no such table")
    try:
        return table, name, form.decode(value)
    except msgspec.MsgspecError as problem:
        raise BadRecordError(f"{key[:80]!r}: {problem}") from None
