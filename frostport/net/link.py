"""The link: one TCP connection a pair of agents, frames of a length and a msgpack array. It decides nothing.

The first frame names fleet, agent and life; another fleet's, or an unknown agent's connection is closed. Of
two that cross, the one dialled by the lesser name stays. Both sides say something every `BEAT_MS`; who hears
nothing for `SILENT_MS` closes. A peer that reads nothing costs its queue, after `STUCK_MS` its connection.
"""

from __future__ import annotations

import logging
import random
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import protocol
from twisted.internet.interfaces import IAddress
from twisted.python.failure import Failure

from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.core.rate_limited_log import RateLimitedLog

log = logging.getLogger("frostport.link")

VERSION = 1
FRAME_MOST, FIRST_MOST = 1024 * 1024, 512  # bytes of a frame; of the first
QUEUE_MOST = 4 * 1024 * 1024  # bytes that wait for a peer
FIRST_MS, STUCK_MS, BEAT_MS, SILENT_MS = 2000.0, 5000.0, 1500.0, 6000.0
DIAL_MS = 2000.0  # for a connection to be made
REDIAL_MS, REDIAL_MOST_MS = 100.0, 5000.0  # gaps that double, drawn from 0 up
LENGTH = struct.Struct(">I")


class First(msgspec.Struct, array_like=True, frozen=True):
    """The first frame."""

    version: int
    fleet: str
    name: str
    life: int


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """Any other: `kind` "" is a beat."""

    kind: str
    body: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_first = msgspec.msgpack.Decoder(First)
_frame = msgspec.msgpack.Decoder(Frame)
BEAT = Frame("")


class BadFrameError(ValueError):
    """Not a frame of this version."""


class Frames:
    """Cuts what is read into frames; holds at most one unfinished frame."""

    def __init__(self) -> None:
        self.held, self.most = b"", FIRST_MOST

    def take(self, data: bytes) -> list[bytes]:
        """Whole frames' bodies. Raises BadFrameError, and nothing else."""
        self.held += data
        found, at = [], 0
        while len(self.held) - at >= LENGTH.size:
            size = LENGTH.unpack_from(self.held, at)[0]
            if not 0 < size <= self.most:
                raise BadFrameError(f"a frame of {size} bytes")
            if len(self.held) - at - LENGTH.size < size:
                break
            found.append(self.held[at + LENGTH.size : at + LENGTH.size + size])
            at += LENGTH.size + size
            self.most = FRAME_MOST
        self.held = self.held[at:]
        return found


def decode(form: msgspec.msgpack.Decoder[Any], data: bytes) -> Any:
    try:
        return form.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as problem:
        raise BadFrameError(str(problem)) from None


def framed(record: msgspec.Struct) -> bytes:
    body = _encoder.encode(record)
    return LENGTH.pack(len(body)) + body


class Connection(protocol.Protocol):
    """One connection; `name` is known once its first frame is read."""

    transport: Any

    def __init__(self, link: Link, dialled: str = "") -> None:
        self.link, self.dialled, self.name = link, dialled, ""
        self.frames, self.queue, self.queued = Frames(), deque[bytes](), 0
        self.open = self.stuck = False
        self.heard_at = 0.0
        self._limit: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.open, self.heard_at = True, self.link.clock.now()
        self.transport.registerProducer(self, True)
        self.transport.setTcpNoDelay(True)
        self._await(FIRST_MS)
        if self.dialled:
            self.transport.write(framed(self.link.first()))

    def _await(self, ms: float | None) -> None:
        if self._limit is not None:
            self._limit.cancel()
        self._limit = None if ms is None else self.link.deadlines.set(self.link.clock.now() + ms, self.drop)

    def drop(self) -> None:
        self._limit = None
        if self.open:
            self.open = False
            self.transport.abortConnection()
            self.link.lost(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.open:
            return
        self.heard_at = self.link.clock.now()
        try:
            for body in self.frames.take(data):
                if not self.open:
                    return
                if self.name:
                    frame = decode(_frame, body)
                    if frame.kind:
                        self.link.hear(self.name, frame.kind, frame.body)
                else:
                    self._first(decode(_first, body))
        except BadFrameError as problem:
            self.link.complaints.warn(self.heard_at, self.name or "a stranger", f"closed: {problem}")
            self.drop()

    def _first(self, first: First) -> None:
        if (
            first.version != VERSION
            or first.fleet != self.link.fleet
            or not self.link.known(first.name)
            or (self.dialled and first.name != self.dialled)
        ):
            raise BadFrameError(f"fleet {first.fleet[:20]!r}, agent {first.name[:30]!r}: not known here")
        self.name = first.name
        self._await(None)
        if not self.dialled:
            self.transport.write(framed(self.link.first()))
        self.link.opened(self)

    def send(self, data: bytes) -> bool:
        if not self.stuck:
            self.transport.write(data)
            return True
        if self.queued + len(data) > QUEUE_MOST:
            return False
        self.queue.append(data)
        self.queued += len(data)
        return True

    def pauseProducing(self) -> None:  # noqa: N802
        self.stuck = True
        if self.open:
            self._await(STUCK_MS)

    def resumeProducing(self) -> None:  # noqa: N802
        self.stuck = False
        if self.open and self.name:
            self._await(None)
            while self.queue and not self.stuck:
                data = self.queue.popleft()
                self.queued -= len(data)
                self.transport.write(data)

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self._await(None)
        if self.open:
            self.open = False
            self.link.lost(self)


class Dial:
    """What is on its way to a peer that is not connected."""

    def __init__(self) -> None:
        self.waiting: deque[bytes] = deque()
        self.bytes = 0
        self.gap_ms = REDIAL_MS
        self.under_way = False
        self.at: Deadline | None = None


class Link(protocol.Factory):
    """The connections of one agent, by the peer's name."""

    noisy = False

    def __init__(
        self,
        fleet: str,
        name: str,
        life: int,
        clock: Clock,
        deadlines: Deadlines,
        connect: Callable[[str, Connection], Any],
        address: Callable[[str], str],
        hear: Callable[[str, str, bytes], None],
        chance: random.Random,
    ) -> None:
        """`address` says where a peer is, "" where it isn't known; `connect` dials, its Deferred fails where
        that can't be done."""
        self.fleet, self.name, self.life = fleet, name, life
        self.clock, self.deadlines, self.connect, self.address = clock, deadlines, connect, address
        self.hear, self.chance = hear, chance
        self.by_name: dict[str, Connection] = {}
        self.dials: dict[str, Dial] = {}
        self.strangers: set[Connection] = set()
        self.complaints = RateLimitedLog(log)
        self.ending = False
        self.sent_bytes = self.refused = 0
        self.deadlines.set(self.clock.now() + BEAT_MS, self._beat)

    def buildProtocol(self, addr: IAddress | None) -> Connection:  # noqa: N802
        connection = Connection(self)
        self.strangers.add(connection)
        return connection

    def known(self, name: str) -> bool:
        return bool(self.address(name))

    def first(self) -> First:
        return First(VERSION, self.fleet, self.name, self.life)

    def send(self, name: str, kind: str, body: bytes) -> bool:
        """False where it can't be taken: the queue is full, or nobody knows where this agent is."""
        if self.ending or not self.address(name) or len(body) > FRAME_MOST - 64:
            self.refused += 1
            return False
        data = framed(Frame(kind, body))
        connection = self.by_name.get(name)
        if connection is not None:
            taken = connection.send(data)
        else:
            dial = self.dials.setdefault(name, Dial())
            taken = dial.bytes + len(data) <= QUEUE_MOST
            if taken:
                dial.waiting.append(data)
                dial.bytes += len(data)
            self._dial(name)
        self.sent_bytes += len(data) if taken else 0
        self.refused += not taken
        return taken

    def _dial(self, name: str) -> None:
        dial = self.dials.setdefault(name, Dial())
        address = self.address(name)
        if dial.under_way or dial.at is not None or name in self.by_name or self.ending or not address:
            return
        dial.under_way = True
        connection = Connection(self, name)
        dialing = self.connect(address, connection)
        limit = self.deadlines.set(self.clock.now() + DIAL_MS, dialing.cancel)

        def settled(result: object) -> None:
            limit.cancel()
            dial.under_way = False
            if isinstance(result, Failure):
                self._later(name, dial)

        dialing.addBoth(settled)

    def _later(self, name: str, dial: Dial) -> None:
        """Guards a peer that comes back against all the others at once: full jitter, growing gaps."""
        if dial.at is None and not self.ending:
            wait, dial.gap_ms = self.chance.random() * dial.gap_ms, min(2.0 * dial.gap_ms, REDIAL_MOST_MS)

            def again() -> None:
                dial.at = None
                if dial.waiting:
                    self._dial(name)

            dial.at = self.deadlines.set(self.clock.now() + wait, again)

    def opened(self, connection: Connection) -> None:
        """Its peer has said who it is. Of two connections the lesser name's stays; else the newer."""
        self.strangers.discard(connection)
        name, before = connection.name, self.by_name.get(connection.name)
        if (
            before is not None
            and bool(before.dialled) != bool(connection.dialled)
            and bool(connection.dialled) is not (self.name < name)
        ):
            connection.drop()
            return
        self.by_name[name] = connection
        if before is not None:
            before.drop()
        dial = self.dials.pop(name, None)
        if dial is not None:
            if dial.at is not None:
                dial.at.cancel()
            for data in dial.waiting:
                connection.send(data)

    def lost(self, connection: Connection) -> None:
        self.strangers.discard(connection)
        name = connection.name or connection.dialled
        if connection.name and self.by_name.get(name) is connection:
            del self.by_name[name]
        elif connection.dialled and name not in self.by_name:  # closed before it was known
            self._later(name, self.dials.setdefault(name, Dial()))

    def _beat(self) -> None:
        now = self.clock.now()
        for connection in list(self.by_name.values()):
            if now - connection.heard_at > SILENT_MS:
                self.complaints.warn(now, connection.name, "closed: nothing heard")
                connection.drop()
            else:
                connection.send(framed(BEAT))
        if not self.ending:
            self.deadlines.set(now + BEAT_MS, self._beat)

    def stop(self) -> None:
        self.ending = True
        for connection in (*self.by_name.values(), *self.strangers):
            connection.open = False
            connection.transport.loseConnection()
        self.by_name.clear()
