"""The link: one TCP connection per pair of agents, which carries length-prefixed msgpack frames.

The first frame in each direction is a `Hello` with fleet, agent and incarnation; a connection from another
fleet or an unknown agent is closed. If two agents dial each other at once, the connection dialed by the agent
with the lesser name stays. Each side sends a heartbeat every `HEARTBEAT_MS` and closes a connection on which
nothing arrives for `SILENCE_TIMEOUT_MS`. Frames for a peer that does not read are queued up to
`MAX_QUEUE_BYTES`; after `WRITE_STALL_TIMEOUT_MS` its connection is closed.
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
# Both without the length prefix.
MAX_FRAME_BYTES = 1024 * 1024
MAX_HELLO_BYTES = 512
MAX_QUEUE_BYTES = 4 * 1024 * 1024  # queued for one peer
HELLO_TIMEOUT_MS = 2000.0  # from the opening of a connection to the peer's hello
WRITE_STALL_TIMEOUT_MS = 5000.0  # for a peer to read what was written to it
HEARTBEAT_MS = 1500.0
SILENCE_TIMEOUT_MS = 6000.0  # a connection without any data for longer is closed
DIAL_TIMEOUT_MS = 2000.0
# Bounds of the redial delay, which doubles; with full jitter.
MIN_REDIAL_MS = 100.0
MAX_REDIAL_MS = 5000.0
LENGTH_PREFIX = struct.Struct(">I")


class Hello(msgspec.Struct, array_like=True, frozen=True):
    """The first frame in each direction."""

    version: int
    fleet: str
    name: str
    incarnation: int


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """Any later frame; an empty `kind` is a heartbeat."""

    kind: str
    body: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_hello_decoder = msgspec.msgpack.Decoder(Hello)
_frame_decoder = msgspec.msgpack.Decoder(Frame)
HEARTBEAT = Frame("")


class BadFrameError(ValueError):
    """A frame that can't be decoded, is too long, or comes from an agent that is not accepted."""


class FrameDecoder:
    """Splits a byte stream into frames; buffers at most one incomplete frame.

    The first frame is limited to MAX_HELLO_BYTES, later ones to MAX_FRAME_BYTES."""

    def __init__(self) -> None:
        self.buffer = b""
        self.max_bytes = MAX_HELLO_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the bodies of the frames completed by `data`. Raises only BadFrameError."""
        self.buffer += data
        bodies = []
        start = 0
        while len(self.buffer) - start >= LENGTH_PREFIX.size:
            size = LENGTH_PREFIX.unpack_from(self.buffer, start)[0]
            if not 0 < size <= self.max_bytes:
                raise BadFrameError(f"frame of {size} bytes, expected 1 to {self.max_bytes}")
            if len(self.buffer) - start - LENGTH_PREFIX.size < size:
                break
            bodies.append(self.buffer[start + LENGTH_PREFIX.size : start + LENGTH_PREFIX.size + size])
            start += LENGTH_PREFIX.size + size
            self.max_bytes = MAX_FRAME_BYTES
        self.buffer = self.buffer[start:]
        return bodies


def decode(decoder: msgspec.msgpack.Decoder[Any], data: bytes) -> Any:
    """Decodes a frame's body. Raises only BadFrameError."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as problem:
        raise BadFrameError(f"frame cannot be decoded: {problem}") from None


def encode_frame(record: msgspec.Struct) -> bytes:
    """The record as a frame, length prefix included."""
    body = _encoder.encode(record)
    return LENGTH_PREFIX.pack(len(body)) + body


class Connection(protocol.Protocol):
    """One connection to a peer, dialed if `dialed_name` is set; `name` is empty until its hello arrives."""

    transport: Any

    def __init__(self, link: Link, dialed_name: str = "") -> None:
        self.link = link
        self.dialed_name = dialed_name
        self.name = ""
        self.frames = FrameDecoder()
        self.queue = deque[bytes]()
        self.queued_bytes = 0
        self.open = self.write_blocked = False
        self.last_received_at = 0.0
        self._timeout: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.open = True
        self.last_received_at = self.link.clock.now()
        self.transport.registerProducer(self, True)
        self.transport.setTcpNoDelay(True)
        self._set_timeout(HELLO_TIMEOUT_MS)
        if self.dialed_name:
            self.transport.write(encode_frame(self.link.hello()))

    def _set_timeout(self, ms: float | None) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = None if ms is None else self.link.deadlines.set(self.link.clock.now() + ms, self.drop)

    def drop(self) -> None:
        """Aborts the connection and notifies the link."""
        self._timeout = None
        if self.open:
            self.open = False
            self.transport.abortConnection()
            self.link.on_lost(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.open:
            return
        self.last_received_at = self.link.clock.now()
        try:
            for body in self.frames.feed(data):
                if not self.open:
                    return
                if self.name:
                    frame = decode(_frame_decoder, body)
                    if frame.kind:
                        self.link.on_frame(self.name, frame.kind, frame.body)
                else:
                    self._on_hello(decode(_hello_decoder, body))
        except BadFrameError as problem:
            self.link.limited_log.warn(
                self.last_received_at, self.name or "unidentified agent", f"closing the connection: {problem}"
            )
            self.drop()

    def _on_hello(self, hello: Hello) -> None:
        if (
            hello.version != VERSION
            or hello.fleet != self.link.fleet
            or not self.link.is_known(hello.name)
            or (self.dialed_name and hello.name != self.dialed_name)
        ):
            raise BadFrameError(
                f"hello from fleet {hello.fleet[:20]!r}, agent {hello.name[:30]!r}, version {hello.version} "
                f"refused: expected fleet {self.link.fleet!r}, the dialed or a known agent, version {VERSION}"
            )
        self.name = hello.name
        self._set_timeout(None)
        if not self.dialed_name:
            self.transport.write(encode_frame(self.link.hello()))
        self.link.on_identified(self)

    def send(self, data: bytes) -> bool:
        """Writes or queues an encoded frame; False if the queue is full."""
        if not self.write_blocked:
            self.transport.write(data)
            return True
        if self.queued_bytes + len(data) > MAX_QUEUE_BYTES:
            return False
        self.queue.append(data)
        self.queued_bytes += len(data)
        return True

    def pauseProducing(self) -> None:  # noqa: N802
        """The output buffer is full: queues frames, and drops the connection if this lasts too long."""
        self.write_blocked = True
        if self.open:
            self._set_timeout(WRITE_STALL_TIMEOUT_MS)

    def resumeProducing(self) -> None:  # noqa: N802
        """The peer has read the buffered output: writes the queued frames, once its hello has arrived."""
        self.write_blocked = False
        if self.open and self.name:
            self._set_timeout(None)
            while self.queue and not self.write_blocked:
                data = self.queue.popleft()
                self.queued_bytes -= len(data)
                self.transport.write(data)

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self._set_timeout(None)
        if self.open:
            self.open = False
            self.link.on_lost(self)


class PendingDial:
    """The dial of a peer that is not connected, with the frames that wait for it."""

    def __init__(self) -> None:
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.max_delay_ms = MIN_REDIAL_MS
        self.in_progress = False
        self.retry_timer: Deadline | None = None


class Link(protocol.Factory):
    """All links of one agent. `connections` holds the identified ones by the peer's name."""

    noisy = False

    def __init__(
        self,
        fleet: str,
        name: str,
        incarnation: int,
        clock: Clock,
        deadlines: Deadlines,
        connect: Callable[[str, Connection], Any],
        address: Callable[[str], str],
        on_frame: Callable[[str, str, bytes], None],
        rng: random.Random,
    ) -> None:
        """`incarnation` is that of this process. `address` returns a peer's address by name, "" if unknown.

        `connect` dials an address; its Deferred fails if that is not possible. `on_frame` is called with
        the sender, kind and body of each frame."""
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.clock = clock
        self.deadlines = deadlines
        self.connect = connect
        self.address = address
        self.on_frame = on_frame
        self.rng = rng
        self.connections: dict[str, Connection] = {}
        self.dials: dict[str, PendingDial] = {}
        self.unidentified: set[Connection] = set()
        self.limited_log = RateLimitedLog(log)
        self.stopping = False
        self.sent_bytes = self.refused = 0  # `refused`: frames that `send` did not accept
        self.deadlines.set(self.clock.now() + HEARTBEAT_MS, self._send_heartbeats)

    def buildProtocol(self, addr: IAddress | None) -> Connection:  # noqa: N802
        connection = Connection(self)
        self.unidentified.add(connection)
        return connection

    def is_known(self, name: str) -> bool:
        """Whether the address of an agent of this name is known."""
        return bool(self.address(name))

    def hello(self) -> Hello:
        """This agent's first frame."""
        return Hello(VERSION, self.fleet, self.name, self.incarnation)

    def send(self, name: str, kind: str, body: bytes) -> bool:
        """Sends a frame, or queues it and dials; False if the queue is full or the peer's address unknown."""
        if self.stopping or not self.address(name) or len(body) > MAX_FRAME_BYTES - 64:
            self.refused += 1
            return False
        data = encode_frame(Frame(kind, body))
        connection = self.connections.get(name)
        if connection is not None:
            accepted = connection.send(data)
        else:
            dial = self.dials.setdefault(name, PendingDial())
            accepted = dial.queued_bytes + len(data) <= MAX_QUEUE_BYTES
            if accepted:
                dial.queue.append(data)
                dial.queued_bytes += len(data)
            self._dial(name)
        self.sent_bytes += len(data) if accepted else 0
        self.refused += not accepted
        return accepted

    def _dial(self, name: str) -> None:
        dial = self.dials.setdefault(name, PendingDial())
        address = self.address(name)
        if (
            dial.in_progress
            or dial.retry_timer is not None
            or name in self.connections
            or self.stopping
            or not address
        ):
            return
        dial.in_progress = True
        connection = Connection(self, name)
        dialing = self.connect(address, connection)
        limit = self.deadlines.set(self.clock.now() + DIAL_TIMEOUT_MS, dialing.cancel)

        def settled(result: object) -> None:
            limit.cancel()
            dial.in_progress = False
            if isinstance(result, Failure):
                self._schedule_redial(name, dial)

        dialing.addBoth(settled)

    def _schedule_redial(self, name: str, dial: PendingDial) -> None:
        """Dials again after a backoff with full jitter: all agents may be dialing a peer that returns."""
        if dial.retry_timer is None and not self.stopping:
            wait = self.rng.random() * dial.max_delay_ms
            dial.max_delay_ms = min(2.0 * dial.max_delay_ms, MAX_REDIAL_MS)

            def redial() -> None:
                dial.retry_timer = None
                if dial.queue:
                    self._dial(name)

            dial.retry_timer = self.deadlines.set(self.clock.now() + wait, redial)

    def on_identified(self, connection: Connection) -> None:
        """Takes a connection into use after its hello, and sends what waits for the peer.

        Of two connections dialed by different sides, the one dialed by the agent with the lesser name stays;
        of two dialed by the same side, the newer one."""
        self.unidentified.discard(connection)
        name = connection.name
        before = self.connections.get(name)
        if (
            before is not None
            and bool(before.dialed_name) != bool(connection.dialed_name)
            and bool(connection.dialed_name) is not (self.name < name)
        ):
            connection.drop()
            return
        self.connections[name] = connection
        if before is not None:
            before.drop()
        dial = self.dials.pop(name, None)
        if dial is not None:
            if dial.retry_timer is not None:
                dial.retry_timer.cancel()
            for data in dial.queue:
                connection.send(data)

    def on_lost(self, connection: Connection) -> None:
        """Forgets a closed connection; dials again if it closed before the peer's hello."""
        self.unidentified.discard(connection)
        name = connection.name or connection.dialed_name
        if connection.name and self.connections.get(name) is connection:
            del self.connections[name]
        elif connection.dialed_name and name not in self.connections:
            self._schedule_redial(name, self.dials.setdefault(name, PendingDial()))

    def _send_heartbeats(self) -> None:
        now = self.clock.now()
        for connection in list(self.connections.values()):
            if now - connection.last_received_at > SILENCE_TIMEOUT_MS:
                self.limited_log.warn(
                    now,
                    connection.name,
                    f"closing the connection: nothing received for over {SILENCE_TIMEOUT_MS:.0f} ms",
                )
                connection.drop()
            else:
                connection.send(encode_frame(HEARTBEAT))
        if not self.stopping:
            self.deadlines.set(now + HEARTBEAT_MS, self._send_heartbeats)

    def stop(self) -> None:
        """Closes all connections; nothing is sent or dialed from now on."""
        self.stopping = True
        for connection in (*self.connections.values(), *self.unidentified):
            connection.open = False
            connection.transport.loseConnection()
        self.connections.clear()
