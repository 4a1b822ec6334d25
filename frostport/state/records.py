"""The records of the store and their keys. They are encoded as msgpack arrays, which keeps the overhead low.

Times are milliseconds of Unix time, as floats. A new field is only ever added at the end and with a default,
so that older records stay readable.
"""

from __future__ import annotations

import msgspec

CALL = "call/"
SERVER = "server/"
BUDGET = "budget/"
OWED = "owed/"
RELEASE = "release/"
PEER = "peer/"
BUS = "bus"
NODE = "node"
KEY_SEPARATOR = "\0"  # between the two parts of a compound key


class Open(msgspec.Struct, tag="o", array_like=True):
    """A call without a final answer: its last attempt is or was at `server`."""

    server: str
    at: float
    not_before: float
    attempts: int
    service: str
    team: str
    client: str
    identity: int


class Standing(msgspec.Struct, tag="s", array_like=True):
    """A call that is established at `server` since `at`; `answer` is what its client was or is to be sent."""

    server: str
    at: float
    service: str
    team: str
    client: str
    identity: int  # Diameter's End-to-End id of the request
    print: int  # CRC-32 of the description in the request
    text: bool  # whether the answer is text, encoded as UTF-8
    answer: bytes


class Over(msgspec.Struct, tag="e", array_like=True):
    """A call that is over: its final answer ("stands", "refused", "failed", "gone") and its last server.

    `body` is kept only if the front answers repeated requests, or if the client may not have received the
    answer. `back_ms`: the retry-after that the client was sent."""

    answer: str
    server: str
    at: float
    not_before: float
    client: str
    identity: int
    ended_by: int  # End-to-End id of the request that ended the call, -1: none
    back_ms: float
    body: bytes
    text: bool = False  # whether the answer is text, encoded as UTF-8
    service: str = ""
    print: int = 0  # CRC-32 of the description in the request
    answered_at: float = 0.0  # 0: this record keeps no answer


class Listed(msgspec.Struct, array_like=True):
    """A server as listed by discovery."""

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
    """A team's budget for one service: the tokens left at the time `at`."""

    tokens: float
    at: float


class Bus(msgspec.Struct, array_like=True):
    """The last event that an earlier start read from the bus. No longer written, and dropped when read.

    Its number counts within that start, so it can't set the position of another one."""

    offset: int
    version: int
    at: float


class Owed(msgspec.Struct, array_like=True):
    """A pending end: `client` has to be notified that a call has ended; "" if the client is not known."""

    client: str
    outcome: str
    at: float


class Release(msgspec.Struct, array_like=True):
    """A pending release: a server has to be sent the release of a call."""

    at: float


class PeerState(msgspec.Struct, array_like=True):
    """A Diameter peer: its Origin-State-Id, -1 if it sent none, and when it started."""

    state_id: int
    started_ms: float
    at: float


class Node(msgspec.Struct, array_like=True):
    """This node's own Origin-State-Id, which is kept as long as its sessions are (RFC 6733, 8.16)."""

    state_id: int
    at: float


Call = Open | Standing | Over
Record = Call | Listed | Bucket | Bus | Owed | Release | PeerState | Node

_encoder = msgspec.msgpack.Encoder()
DECODERS: dict[str, msgspec.msgpack.Decoder[Record]] = {
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
    """A record that was read intact but that this version can't decode; the message names its key."""


def encode(record: Record) -> bytes:
    """Encodes a record without its key, which `decode` needs to tell its kind."""
    return _encoder.encode(record)


def split_key(key: str) -> tuple[str, str]:
    """Splits a key into its table (with the slash, if any) and the name within it."""
    table, slash, name = key.partition("/")
    return table + slash, name


def decode(key: str, value: bytes) -> tuple[str, str, Record]:
    """Returns table, name and record of a stored pair. Raises BadRecordError."""
    table, name = split_key(key)
    decoder = DECODERS.get(table)
    if decoder is None:
        raise BadRecordError(f"record {key[:80]!r}: unknown table {table[:80]!r}")
    try:
        return table, name, decoder.decode(value)
    except msgspec.MsgspecError as problem:
        raise BadRecordError(f"record {key[:80]!r} can't be decoded: {problem}") from None
