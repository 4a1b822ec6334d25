"""The peer state machine (RFC 6733, section 5), shared by the front and the route.

A connection exchanges capabilities, answers watchdogs and disconnects by itself; messages of the application
go to its handler.
"""

from __future__ import annotations

import ipaddress
import logging
import random
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure

from frostport.admission.gate import Admission
from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.core.handles import HandleTable
from frostport.core.rate_limited_log import RateLimitedLog
from frostport.diameter import avp
from frostport.diameter.avp import Avp, AvpError, Message, MessageSplitter, StreamError, make
from frostport.diameter.watchdog import Watchdog, WatchdogState

log = logging.getLogger("frostport.diameter")

EXCHANGE_TIMEOUT_MS = 10_000.0  # of a connection opened here: to connect, and for the CEA
CER_TIMEOUT_MS = 2_000.0  # of an accepted connection; its peer should send the CER at once
PARTIAL_MESSAGE_TIMEOUT_MS = 2_000.0  # for a message that has begun to be completed
WRITE_STALL_TIMEOUT_MS = 2_000.0  # for a peer to read what was written to it
CLOSE_TIMEOUT_MS = 1_000.0  # for buffered output to be sent before a connection is aborted
CONNECTION_BUFFER_BYTES = (
    16 * 1024
)  # of an accepted connection: read at a time, and written ahead of its peer
FRAME_OVERHEAD_BYTES = 64  # the objects that a waiting message needs besides its bytes
MESSAGES_PER_ITERATION = 10  # handled on one connection per event-loop iteration
MAX_UNANSWERED_REQUESTS = 1_000  # per connection; beyond that the oldest are forgotten
RELAY_APPLICATION = 0xFFFFFFFF  # the Application Id of relay agents, which take any application
DPA_TIMEOUT_MS = 1_000.0  # for the answer to a Disconnect-Peer-Request

limited_log = RateLimitedLog(log)


def cancel_if_set(deadline: Deadline | None) -> Deadline | None:
    """Cancels a deadline, if there is one; returns None, to be assigned in its place."""
    if deadline is not None:
        deadline.cancel()
    return None


class ConnectionState(Enum):
    """The states of one connection to a peer."""

    WAIT_CER = "wait-cer"  # accepted: the peer has to send its CER
    WAIT_CEA = "wait-cea"  # opened here: the CER is sent
    OPEN = "open"  # capabilities are exchanged
    CLOSING = "closing"  # a Disconnect-Peer-Request is sent
    CLOSED = "closed"


@dataclass(slots=True)
class Identity:
    """This node's identity towards its peers: Origin-Host, Origin-Realm, Origin-State-Id, Host-IP-Address."""

    host: str
    realm: str
    state_id: int
    address: str = "127.0.0.1"

    def avps(self) -> list[Avp]:
        """Origin-Host and Origin-Realm, which every message has."""
        return [make(avp.ORIGIN_HOST, self.host), make(avp.ORIGIN_REALM, self.realm)]

    def capability_avps(self) -> list[Avp]:
        """The AVPs of a CER or CEA, except Result-Code."""
        packed = ipaddress.ip_address(self.address).packed
        family = struct.pack("!H", 1 if len(packed) == 4 else 2)
        return [
            *self.avps(),
            make(avp.HOST_IP_ADDRESS, family + packed),
            make(avp.VENDOR_ID, 0),
            make(avp.PRODUCT_NAME, "frostport"),
            make(avp.ORIGIN_STATE_ID, self.state_id),
            make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
        ]


class ConnectionHandler:
    """The events of a connection, for the front and the route; by default they are ignored.

    Methods that override these are documented here."""

    def is_known_peer(self, host: str) -> bool:
        """Whether a peer of this name may connect here."""
        return True

    def on_open(self, connection: PeerConnection) -> None:
        """Called when capabilities are exchanged."""

    def handle_request(self, connection: PeerConnection, message: Message) -> None:
        """Handles a credit-control request, whose AVPs have been validated."""

    def handle_answer(self, connection: PeerConnection, message: Message) -> None:
        """Handles an answer of the application to a request sent on this connection."""

    def on_message(self, connection: PeerConnection, is_watchdog_answer: bool) -> None:
        """Called for each request, and for each answer except CEA and DPA."""

    def on_disconnect_request(self, connection: PeerConnection, cause: int) -> None:
        """Called for a Disconnect-Peer-Request; `cause` is its Disconnect-Cause."""

    def on_held_bytes_changed(self, connection: PeerConnection) -> None:
        """Called when the connection holds other bytes than before; the connection may be closed in it."""

    def on_close(self, connection: PeerConnection) -> None:
        """Called once when the connection is closed."""


class PeerConnection(protocol.Protocol):
    """One connection to a peer, whichever side opened it.

    Until capabilities are exchanged, `host` is the peer that was dialed or "?"."""

    transport: Any = None

    def __init__(
        self,
        identity: Identity,
        handler: ConnectionHandler,
        clock: Clock,
        deadlines: Deadlines,
        dialed_host: str,
        next_id: Callable[[], int],
    ) -> None:
        self.identity = identity
        self.handler = handler
        self.clock = clock
        self.deadlines = deadlines
        self.dialed_host = dialed_host  # "" on an accepted connection
        self.next_id = next_id
        self.state = ConnectionState.CLOSED
        self.host = dialed_host or "?"
        self.realm = ""
        self.state_id: int | None = None  # the peer's Origin-State-Id
        self.process_since_ms = 0.0  # the peer's process is known to be the same since then, ms
        self.handle = self.accepted_handle = -1  # among open connections, among accepted ones; -1: none
        self.admission: Admission | None = None  # of an accepted connection
        self.released: Callable[[], None] = lambda: None  # called when its descriptor is free
        self._splitter = MessageSplitter()
        self._pending_frames: deque[bytes] = deque()  # messages read and not handled yet
        self._pending_bytes = 0  # of these
        self._unread_bytes = 0  # written ahead of a peer that does not read
        self.set_up_bytes = 0  # held for set-ups that wait for their answer on it; the front counts them
        self._timeout: Deadline | None = None  # of the capabilities exchange, a disconnect or a close
        self._partial_timeout: Deadline | None = None
        self._write_stall_timeout: Deadline | None = None
        self._next_iteration: Deadline | None = None
        self._ignore_input = False  # closed, or closed once buffered output is sent
        self._unanswered: dict[int, None] = {}  # Hop-by-Hop Identifiers of requests sent, oldest first

    # Twisted's protocol and producer methods, and the ways to close

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self.state = ConnectionState.WAIT_CEA if self.dialed_host else ConnectionState.WAIT_CER
        if not self.dialed_host:
            self.transport.bufferSize = CONNECTION_BUFFER_BYTES
        self.transport.registerProducer(self, True)
        # Guards against hundreds of connections that send nothing.
        timeout_ms = EXCHANGE_TIMEOUT_MS if self.dialed_host else CER_TIMEOUT_MS
        self._timeout = self.deadlines.set(self.clock.now() + timeout_ms, self.drop)
        if self.dialed_host:
            self.send_request(avp.CE, self.identity.capability_avps())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._ignore_input:
            return
        try:
            frames = self._splitter.feed(data)
        except StreamError as problem:
            limited_log.warn(self.clock.now(), self.host, f"closing the connection: {problem}")
            self.drop()
            return
        self._pending_frames.extend(frames)
        self._pending_bytes += sum(len(frame) for frame in frames)
        self._handle_frames()
        self.handler.on_held_bytes_changed(self)
        if frames or not self._splitter.partial:
            self._partial_timeout = cancel_if_set(self._partial_timeout)
        if self._splitter.partial and self._partial_timeout is None and not self._ignore_input:
            self._partial_timeout = self.deadlines.set(
                self.clock.now() + PARTIAL_MESSAGE_TIMEOUT_MS, self.drop
            )

    def _handle_frames(self) -> None:
        """Handles up to MESSAGES_PER_ITERATION messages, then yields to other connections.

        Reading pauses until all messages that were read are handled."""
        self._next_iteration = None
        for _ in range(MESSAGES_PER_ITERATION):
            if self._ignore_input or not self._pending_frames:
                break
            frame = self._pending_frames.popleft()
            self._pending_bytes -= len(frame)
            try:
                self._handle_frame(frame)
            except Exception:  # affects this message only
                log.exception("%s: exception while handling a message", self.host)
        if self._ignore_input:
            return
        if self._pending_frames:
            self.transport.pauseProducing()
            self._next_iteration = self.deadlines.set(self.clock.now(), self._handle_frames)
        elif self._write_stall_timeout is None:
            self.transport.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Guards against a peer that sends requests and does not read: it is not read from until it does."""
        self._unread_bytes += CONNECTION_BUFFER_BYTES
        if not self._ignore_input and self._write_stall_timeout is None:
            self.transport.pauseProducing()
            self._write_stall_timeout = self.deadlines.set(
                self.clock.now() + WRITE_STALL_TIMEOUT_MS, self.drop
            )

    def resumeProducing(self) -> None:  # noqa: N802
        self._write_stall_timeout = cancel_if_set(self._write_stall_timeout)
        self._unread_bytes = 0
        self.handler.on_held_bytes_changed(self)
        if not self._ignore_input and not self._pending_frames:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        pass  # Twisted calls it when the connection is lost; `connectionLost` does what is needed

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.released()
        self._on_closed()

    def _on_closed(self) -> None:
        self._ignore_input = True
        self._pending_frames.clear()
        for deadline in (
            self._timeout,
            self._partial_timeout,
            self._write_stall_timeout,
            self._next_iteration,
        ):
            cancel_if_set(deadline)
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.CLOSED
            self.handler.on_close(self)

    def drop(self) -> None:
        """Aborts the connection; messages not handled yet are discarded."""
        if self.state is not ConnectionState.CLOSED:
            self.transport.abortConnection()
            self._on_closed()

    def close_gracefully(self) -> None:
        """Closes once the buffered output is sent; input is ignored meanwhile."""
        if not self._ignore_input:
            self._ignore_input = True
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            cancel_if_set(self._timeout)
            self._timeout = self.deadlines.set(self.clock.now() + CLOSE_TIMEOUT_MS, self.drop)

    def disconnect(self, cause: int = avp.REBOOTING) -> None:
        """Sends a Disconnect-Peer-Request; the connection closes with its answer, or after DPA_TIMEOUT_MS."""
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.CLOSING
            self.send_request(avp.DP, [*self.identity.avps(), make(avp.DISCONNECT_CAUSE, cause)])
            self._timeout = self.deadlines.set(self.clock.now() + DPA_TIMEOUT_MS, self.drop)

    # Sending

    def send_request(self, command: int, avps: list[Avp], application: int = avp.BASE) -> int:
        """Sends a request; returns its Hop-by-Hop Identifier, which is also its End-to-End Identifier."""
        hop_by_hop = self.next_id()
        flags = avp.REQUEST | (avp.PROXIABLE if application else 0)
        self._unanswered[hop_by_hop] = None
        while len(self._unanswered) > MAX_UNANSWERED_REQUESTS:  # guards against a peer that never answers
            del self._unanswered[next(iter(self._unanswered))]
        self.send_message(Message(command, application, hop_by_hop, hop_by_hop, flags, avps))
        return hop_by_hop

    def send_message(self, message: Message) -> None:
        """Sends a message; does nothing if the connection is closed."""
        if self.state is ConnectionState.CLOSED:
            return
        data = message.encode()
        if self._write_stall_timeout is not None:
            self._unread_bytes += len(data)
            self.handler.on_held_bytes_changed(self)
        self.transport.write(data)

    def held_bytes(self) -> int:
        """What is held for this connection: input that waits, set-ups, output that is not read."""
        overhead = FRAME_OVERHEAD_BYTES * len(self._pending_frames)
        waiting = self._splitter.partial_bytes() + self._pending_bytes + overhead
        return waiting + self.set_up_bytes + self._unread_bytes

    def reply(
        self,
        request: Message,
        result: int,
        avps: list[Avp] | None = None,
        error: str = "",
        failed: bytes = b"",
    ) -> None:
        """Answers a request; `error` is the Error-Message, `failed` the content of the Failed-AVP."""
        rest = [*self.identity.avps(), *(avps or [])]
        if error:
            rest.append(make(avp.ERROR_MESSAGE, error))
        if failed:
            rest.append(Avp(avp.FAILED_AVP.code, failed, 0, avp.MANDATORY))
        self.send_message(request.answer(result, rest))

    # Receiving

    def _handle_frame(self, frame: bytes) -> None:
        message = avp.read_header(frame)
        try:
            message.avps = avp.read_avps(frame[avp.HEADER_BYTES :])
            if message.is_request:
                avp.validate_request(message)
            else:
                avp.validate_answer(message)
        except AvpError as problem:
            limited_log.warn(
                self.clock.now(),
                self.host,
                f"invalid message, command {message.command}, Result-Code {problem.result_code}: {problem}",
            )
            if not message.is_request:
                # Guards against waiting for an answer that can't be read: all requests open on this
                # connection fail at once.
                self.drop()
                return
            if problem.result_code != avp.INVALID_HDR_BITS or not message.flags & avp.ERROR:
                message.avps = read_session_id(frame)
                self.reply(message, problem.result_code, error=str(problem), failed=problem.failed_avp)
            if self.state is ConnectionState.WAIT_CER:
                self.close_gracefully()
            return
        if not message.is_request:
            self._handle_answer(message)
        elif message.command == avp.CE:
            self._handle_cer(message)
        elif self.state is ConnectionState.WAIT_CER or self.state is ConnectionState.WAIT_CEA:
            log.warning(
                "%s: command %d before the capabilities exchange: closing the connection",
                self.host,
                message.command,
            )
            self.drop()
        else:
            self._handle_request(message)

    def _handle_request(self, message: Message) -> None:
        self.handler.on_message(self, False)
        if message.command == avp.DW:
            self._check_state_id(message)
            self.reply(message, avp.SUCCESS, [make(avp.ORIGIN_STATE_ID, self.identity.state_id)])
        elif message.command == avp.DP:
            self.reply(message, avp.SUCCESS)
            self.handler.on_disconnect_request(self, message.get(avp.DISCONNECT_CAUSE))
        elif message.application != avp.CREDIT_CONTROL:
            self.reply(message, avp.APPLICATION_UNSUPPORTED, error=f"application {message.application}")
        else:
            self.handler.handle_request(self, message)

    def _handle_answer(self, message: Message) -> None:
        if message.hop_by_hop not in self._unanswered:
            limited_log.warn(
                self.clock.now(),
                self.host,
                f"answer to command {message.command} dropped: no open request has its "
                f"Hop-by-Hop Identifier {message.hop_by_hop}",
            )
            return
        del self._unanswered[message.hop_by_hop]
        if message.command == avp.CE:
            self._handle_cea(message)
            return
        if message.command == avp.DP:
            self.close_gracefully()
            return
        if message.command == avp.DW:
            self._check_state_id(message)
        self.handler.on_message(self, message.command == avp.DW)
        if message.command not in (avp.DW,):
            self.handler.handle_answer(self, message)

    def _check_state_id(self, message: Message) -> None:
        state_id = message.get(avp.ORIGIN_STATE_ID)
        if state_id is not None and self.state_id is not None and state_id > self.state_id:
            # Guards against a peer that restarted behind an open connection: its sessions are lost.
            log.warning(
                "%s: peer has restarted, Origin-State-Id %d after %d: dropping the connection",
                self.host,
                state_id,
                self.state_id,
            )
            self.drop()

    def _handle_cer(self, message: Message) -> None:
        host = str(message.get(avp.ORIGIN_HOST))
        result = avp.SUCCESS
        error = ""
        if self.state is not ConnectionState.WAIT_CER:
            result = avp.UNABLE_TO_COMPLY
            error = "capabilities are exchanged already"
        elif not self.handler.is_known_peer(host):
            result = avp.UNKNOWN_PEER
            error = f"unknown peer {host}"
        elif not has_common_application(message):
            result = avp.NO_COMMON_APPLICATION
            error = "credit control is spoken here"
        self.reply(message, result, self.identity.capability_avps()[2:], error)
        if result == avp.SUCCESS:
            self._enter_open(message)
        elif self.state is ConnectionState.WAIT_CER:
            limited_log.warn(
                self.clock.now(), host, f"capabilities exchange refused, Result-Code {result}: {error}"
            )
            self.close_gracefully()

    def _handle_cea(self, message: Message) -> None:
        result = message.get(avp.RESULT_CODE)
        host = str(message.get(avp.ORIGIN_HOST))
        if self.state is not ConnectionState.WAIT_CEA:
            return
        if result != avp.SUCCESS or host != self.dialed_host or not has_common_application(message):
            log.warning(
                "%s: capabilities exchange failed: Result-Code %s, expected %d from %s and a common "
                "application; dropping the connection",
                host,
                result,
                avp.SUCCESS,
                self.dialed_host,
            )
            self.drop()
        else:
            self._enter_open(message)

    def _enter_open(self, message: Message) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self.host = str(message.get(avp.ORIGIN_HOST))
        self.realm = str(message.get(avp.ORIGIN_REALM) or "")
        self.state_id = message.get(avp.ORIGIN_STATE_ID)
        self.state = ConnectionState.OPEN
        self.handler.on_open(self)


def has_common_application(message: Message) -> bool:
    """Whether the AVPs of a CER or CEA name credit control, or the relay application."""
    applications = []
    for found in message.avps:
        known = avp.DICTIONARY.get((found.vendor, found.code))
        if known in (avp.AUTH_APPLICATION_ID, avp.ACCT_APPLICATION_ID):
            applications.append(avp.value_of(known, found))
        elif known is avp.VENDOR_SPECIFIC_APPLICATION_ID:
            applications.append(avp.find_value(avp.read_avps(found.data), avp.AUTH_APPLICATION_ID))
    return avp.CREDIT_CONTROL in applications or RELAY_APPLICATION in applications


def read_session_id(frame: bytes) -> list[Avp]:
    """Returns the Session-Id of a malformed message, if readable, in a list for its answer.

    It is the first AVP (RFC 6733, section 8.8)."""
    code, word = struct.unpack("!II", frame[avp.HEADER_BYTES : avp.HEADER_BYTES + 8].ljust(8, b"\0"))
    length = word & 0xFFFFFF
    if code != avp.SESSION_ID.code or not 8 < length <= len(frame) - avp.HEADER_BYTES:
        return []
    return [Avp(code, frame[avp.HEADER_BYTES + 8 : avp.HEADER_BYTES + length], 0, word >> 24)]


class Peer:
    """A configured peer. It has at most one connection at a time, and one watchdog for all of them."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.connection: PeerConnection | None = None
        self.watchdog: Watchdog

    def open_connection(self) -> PeerConnection | None:
        """Returns the connection if requests may be sent on it, that is, in the state OPEN."""
        return (
            self.connection
            if self.connection is not None and self.connection.state is ConnectionState.OPEN
            else None
        )


class DiameterNode(ConnectionHandler):
    """The base of the front and the route: the peers by host, their connections and their watchdogs."""

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        deadlines: Deadlines,
        interval_ms: float,
        rng: random.Random,
    ) -> None:
        """`interval_ms` is Tw, the interval of the peers' watchdogs."""
        self.identity = identity
        self.clock = clock
        self.deadlines = deadlines
        self.interval_ms = interval_ms
        self.rng = rng
        self.connections: HandleTable[PeerConnection] = HandleTable()
        self.peers: dict[str, Peer] = {}
        self._last_id = rng.getrandbits(32)

    def next_id(self) -> int:
        """Returns a new Hop-by-Hop and End-to-End Identifier."""
        self._last_id = (self._last_id + 1) & 0xFFFFFFFF
        return self._last_id

    def add_peer(self, peer: Peer) -> None:
        """Adds a peer and creates its watchdog."""

        def send_watchdog_request() -> None:
            if peer.connection is not None:
                peer.connection.send_request(
                    avp.DW, [*self.identity.avps(), make(avp.ORIGIN_STATE_ID, self.identity.state_id)]
                )

        def drop_connection() -> None:
            if peer.connection is not None:
                peer.connection.drop()

        peer.watchdog = Watchdog(
            self.clock,
            self.deadlines,
            self.interval_ms,
            self.rng,
            send_watchdog_request,
            drop_connection,
            lambda before, after: self.on_watchdog_change(peer, before, after),
        )
        self.peers[peer.host] = peer

    def make_connection(self, dialed_host: str = "") -> PeerConnection:
        """Builds a connection that has this node as its handler; `dialed_host` is "" if it is accepted."""
        return PeerConnection(self.identity, self, self.clock, self.deadlines, dialed_host, self.next_id)

    def on_watchdog_change(self, peer: Peer, before: WatchdogState, after: WatchdogState) -> None:
        """Called when the state of a peer's watchdog changes."""
        log.info("%s: watchdog %s -> %s", peer.host, before.value, after.value)

    def is_known_peer(self, host: str) -> bool:
        return host in self.peers

    def on_open(self, connection: PeerConnection) -> None:
        peer = self.peers[connection.host]
        if peer.connection is not None:
            # Guards against a half-open connection of a peer that has connected again.
            old = peer.connection
            self.on_close(old)
            old.drop()
        connection.handle = self.connections.add(connection)
        peer.connection = connection
        peer.watchdog.connection_up()

    def on_message(self, connection: PeerConnection, is_watchdog_answer: bool) -> None:
        peer = self.peers.get(connection.host)
        if peer is not None and peer.connection is connection:
            peer.watchdog.on_message(is_watchdog_answer)

    def on_close(self, connection: PeerConnection) -> None:
        peer = self.peers.get(connection.host)
        if peer is None or peer.connection is not connection:
            return
        peer.connection = None
        self.connection_lost(peer, connection)
        self.connections.remove(connection.handle)
        peer.watchdog.connection_down()

    def connection_lost(self, peer: Peer, connection: PeerConnection) -> None:
        """Called when the open connection of a peer is closed."""

    def disconnect(self) -> None:
        """Sends every peer a Disconnect-Peer-Request, at the end of the program."""
        for connection in self.connections:
            connection.disconnect()
