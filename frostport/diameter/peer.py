"""The peer state machine (RFC 6733, section 5): capabilities, watchdogs, goodbyes, hop-by-hop ids."""

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
from frostport.core.rate_limited_log import RateLimitedLog
from frostport.core.slots import Slots
from frostport.diameter import avp
from frostport.diameter.avp import Avp, AvpError, Frames, Message, StreamError, make
from frostport.diameter.watchdog import Watch, Watchdog

log = logging.getLogger("frostport.diameter")

EXCHANGE_MS = 10_000.0  # a capabilities exchange that takes longer is given up
CALLER_MS = 2_000.0  # the same where the peer calls: who connects has something to say
HALF_MESSAGE_MS = 2_000.0  # a message that stops short for so long ends its connection
STUCK_MS = 2_000.0  # so does a peer that does not read what is sent to it
LAST_WORDS_MS = 1_000.0  # for what was said before a close to leave
MESSAGES_A_TURN = 50
ASKED_MOST = 1_000  # requests on one connection without an answer, the oldest of which are forgotten
RELAY = 0xFFFFFFFF
GOODBYE_MS = 1_000.0  # how long a disconnect waits for its answer


complaints = RateLimitedLog(log)


def cancelled(deadline: Deadline | None) -> Deadline | None:
    if deadline is not None:
        deadline.cancel()
    return None


class Link(Enum):
    """The states of one connection to a peer."""

    WAIT_CER = "wait-cer"  # the peer called us
    WAIT_CEA = "wait-cea"  # we called the peer
    OPEN = "open"
    CLOSING = "closing"  # a disconnect is under way
    CLOSED = "closed"


@dataclass(slots=True)
class Identity:
    """Who this node is to its peers."""

    host: str
    realm: str
    state_id: int
    address: str = "127.0.0.1"

    def avps(self) -> list[Avp]:
        return [make(avp.ORIGIN_HOST, self.host), make(avp.ORIGIN_REALM, self.realm)]

    def capabilities(self) -> list[Avp]:
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


class Owner:
    """What the front or the route hears of a connection; by default nothing."""

    def may_open(self, host: str) -> bool:
        """Whether a peer of this name may connect here."""
        return True

    def opened(self, link: PeerConnection) -> None:
        """The capabilities are exchanged."""

    def request(self, link: PeerConnection, message: Message) -> None:
        """A request of the application, its AVPs checked."""

    def answer(self, link: PeerConnection, message: Message) -> None:
        """An answer of the application."""

    def watchdog(self, link: PeerConnection, answered: bool) -> None:
        """Something was heard; `answered` where it answers a watchdog."""

    def leaving(self, link: PeerConnection, cause: int) -> None:
        """The peer asked to disconnect."""

    def closed(self, link: PeerConnection) -> None:
        """The connection is gone."""


class PeerConnection(protocol.Protocol):
    """One connection to a peer, whichever side opened it."""

    transport: Any = None

    def __init__(
        self,
        identity: Identity,
        owner: Owner,
        clock: Clock,
        deadlines: Deadlines,
        called: str,
        first_id: Callable[[], int],
    ) -> None:
        self.identity, self.owner, self.clock, self.deadlines = identity, owner, clock, deadlines
        self.called, self.next_id = called, first_id  # the peer that was called, "" where it calls
        self.state = Link.CLOSED
        self.host, self.realm = called or "?", ""
        self.state_id: int | None = None
        self.process_seen_ms = 0.0  # since when the peer's process is known to go on, ms
        self.slot = self.caller = -1
        self.admission: Admission | None = None  # where the peer calls
        self.released: Callable[[], None] = lambda: None  # its descriptor is free again
        self._frames = Frames()
        self._waiting: deque[bytes] = deque()  # messages read and not yet handled
        self._limit: Deadline | None = None  # for the exchange of capabilities, or a goodbye
        self._half: Deadline | None = None
        self._stuck: Deadline | None = None
        self._again: Deadline | None = None
        self._deaf = False  # it is being closed: nothing more is heard
        self._asked: dict[int, None] = {}  # hop-by-hop ids of requests not yet answered

    # The connection

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self.state = Link.WAIT_CEA if self.called else Link.WAIT_CER
        self.transport.registerProducer(self, True)
        # Guards against connections that come by hundreds and say nothing.
        limit = EXCHANGE_MS if self.called else CALLER_MS
        self._limit = self.deadlines.set(self.clock.now() + limit, self.drop)
        if self.called:
            self.ask(avp.CE, self.identity.capabilities())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._deaf:
            return
        try:
            self._waiting.extend(self._frames.feed(data))
        except StreamError as problem:
            complaints.warn(self.clock.now(), self.host, f"closed: {problem}")
            self.drop()
            return
        self._work()
        if not self._frames.partial:
            self._half = cancelled(self._half)
        elif self._half is None and not self._deaf:
            self._half = self.deadlines.set(self.clock.now() + HALF_MESSAGE_MS, self.drop)

    def _work(self) -> None:
        """Handles some messages; then the others' turn comes, and nothing more is read until the next."""
        self._again = None
        for _ in range(MESSAGES_A_TURN):
            if self._deaf or not self._waiting:
                break
            try:
                self._frame(self._waiting.popleft())
            except Exception:  # a fault in one message costs that message, not the agent
                log.exception("%s: message failed", self.host)
        if self._deaf:
            return
        if self._waiting:
            self.transport.pauseProducing()
            self._again = self.deadlines.set(self.clock.now(), self._work)
        elif self._stuck is None:
            self.transport.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Guards against a peer that asks and does not read: no more is read from it until it does."""
        if not self._deaf and self._stuck is None:
            self.transport.pauseProducing()
            self._stuck = self.deadlines.set(self.clock.now() + STUCK_MS, self.drop)

    def resumeProducing(self) -> None:  # noqa: N802
        self._stuck = cancelled(self._stuck)
        if not self._deaf and not self._waiting:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.released()
        self._end()

    def _end(self) -> None:
        self._deaf = True
        for deadline in (self._limit, self._half, self._stuck, self._again):
            cancelled(deadline)
        if self.state is not Link.CLOSED:
            self.state = Link.CLOSED
            self.owner.closed(self)

    def drop(self) -> None:
        """Closes at once; what is open on it ends with it."""
        if self.state is not Link.CLOSED:
            self.transport.abortConnection()
            self._end()

    def hang_up(self) -> None:
        """Closes once what was said has left."""
        if not self._deaf:
            self._deaf = True
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            cancelled(self._limit)
            self._limit = self.deadlines.set(self.clock.now() + LAST_WORDS_MS, self.drop)

    def disconnect(self, cause: int = avp.REBOOTING) -> None:
        """Says goodbye; the peer's answer, or its silence, closes the connection."""
        if self.state is Link.OPEN:
            self.state = Link.CLOSING
            self.ask(avp.DP, [*self.identity.avps(), make(avp.DISCONNECT_CAUSE, cause)])
            self._limit = self.deadlines.set(self.clock.now() + GOODBYE_MS, self.drop)

    # Sending

    def ask(self, command: int, avps: list[Avp], application: int = avp.BASE) -> int:
        """Sends a request; returns its hop-by-hop id."""
        hop = self.next_id()
        flags = avp.REQUEST | (avp.PROXIABLE if application else 0)
        self._asked[hop] = None
        while len(self._asked) > ASKED_MOST:  # guards against a peer that never answers
            del self._asked[next(iter(self._asked))]
        self.say(Message(command, application, hop, hop, flags, avps))
        return hop

    def say(self, message: Message) -> None:
        if self.state is not Link.CLOSED:
            self.transport.write(message.encode())

    def reply(
        self,
        request: Message,
        result: int,
        avps: list[Avp] | None = None,
        error: str = "",
        failed: bytes = b"",
    ) -> None:
        rest = [*self.identity.avps(), *(avps or [])]
        if error:
            rest.append(make(avp.ERROR_MESSAGE, error))
        if failed:
            rest.append(Avp(avp.FAILED_AVP.code, failed, 0, avp.MANDATORY))
        self.say(request.answer(result, rest))

    # Hearing

    def _frame(self, frame: bytes) -> None:
        message = avp.read_header(frame)
        try:
            message.avps = avp.read_avps(frame[avp.HEADER :])
            if message.is_request:
                avp.check(message)
            else:
                avp.check_values(message)
        except AvpError as problem:
            complaints.warn(self.clock.now(), self.host, f"command {message.command}: {problem}")
            if not message.is_request:
                # Guards against waiting for an answer that can't be read: all that is open here ends at once.
                self.drop()
                return
            if problem.result != avp.INVALID_HDR_BITS or not message.flags & avp.ERROR:
                message.avps = readable_session(frame)
                self.reply(message, problem.result, error=str(problem), failed=problem.failed)
            if self.state is Link.WAIT_CER:
                self.hang_up()
            return
        if not message.is_request:
            self._answer(message)
        elif message.command == avp.CE:
            self._capabilities(message)
        elif self.state is Link.WAIT_CER or self.state is Link.WAIT_CEA:
            log.warning("%s: command %d before capabilities: closed", self.host, message.command)
            self.drop()
        else:
            self._request(message)

    def _request(self, message: Message) -> None:
        self.owner.watchdog(self, False)
        if message.command == avp.DW:
            self._state_id(message)
            self.reply(message, avp.SUCCESS, [make(avp.ORIGIN_STATE_ID, self.identity.state_id)])
        elif message.command == avp.DP:
            self.reply(message, avp.SUCCESS)
            self.owner.leaving(self, message.get(avp.DISCONNECT_CAUSE))
        elif message.application != avp.CREDIT_CONTROL:
            self.reply(message, avp.APPLICATION_UNSUPPORTED, error=f"application {message.application}")
        else:
            self.owner.request(self, message)

    def _answer(self, message: Message) -> None:
        if message.hop_by_hop not in self._asked:
            complaints.warn(self.clock.now(), self.host, "answer to nothing asked dropped")
            return
        del self._asked[message.hop_by_hop]
        if message.command == avp.CE:
            self._capabilities_answer(message)
            return
        if message.command == avp.DP:
            self.hang_up()
            return
        if message.command == avp.DW:
            self._state_id(message)
        self.owner.watchdog(self, message.command == avp.DW)
        if message.command not in (avp.DW,):
            self.owner.answer(self, message)

    def _state_id(self, message: Message) -> None:
        state_id = message.get(avp.ORIGIN_STATE_ID)
        if state_id is not None and self.state_id is not None and state_id > self.state_id:
            # Guards against a peer that restarted behind an open connection: its sessions are gone.
            log.warning("%s: new Origin-State-Id: connection dropped", self.host)
            self.drop()

    def _capabilities(self, message: Message) -> None:
        host = str(message.get(avp.ORIGIN_HOST))
        result, error = avp.SUCCESS, ""
        if self.state is not Link.WAIT_CER:
            result, error = avp.UNABLE_TO_COMPLY, "capabilities are exchanged already"
        elif not self.owner.may_open(host):
            result, error = avp.UNKNOWN_PEER, f"unknown peer {host}"
        elif not common(message):
            result, error = avp.NO_COMMON_APPLICATION, "credit control is spoken here"
        self.reply(message, result, self.identity.capabilities()[2:], error)
        if result == avp.SUCCESS:
            self._open(message)
        elif self.state is Link.WAIT_CER:
            complaints.warn(self.clock.now(), host, error)
            self.hang_up()

    def _capabilities_answer(self, message: Message) -> None:
        result, host = message.get(avp.RESULT_CODE), str(message.get(avp.ORIGIN_HOST))
        if self.state is not Link.WAIT_CEA:
            return
        if result != avp.SUCCESS or host != self.called or not common(message):
            log.warning("%s: capabilities refused: result %s", host, result)
            self.drop()
        else:
            self._open(message)

    def _open(self, message: Message) -> None:
        if self._limit is not None:
            self._limit.cancel()
        self.host, self.realm = str(message.get(avp.ORIGIN_HOST)), str(message.get(avp.ORIGIN_REALM) or "")
        self.state_id = message.get(avp.ORIGIN_STATE_ID)
        self.state = Link.OPEN
        self.owner.opened(self)


def common(message: Message) -> bool:
    """Whether a peer's capabilities name credit control, or the relay that takes any application."""
    applications = []
    for found in message.avps:
        known = avp.DICTIONARY.get((found.vendor, found.code))
        if known in (avp.AUTH_APPLICATION_ID, avp.ACCT_APPLICATION_ID):
            applications.append(avp.value_of(known, found))
        elif known is avp.VENDOR_SPECIFIC_APPLICATION_ID:
            applications.append(avp.find(avp.read_avps(found.data), avp.AUTH_APPLICATION_ID))
    return avp.CREDIT_CONTROL in applications or RELAY in applications


def readable_session(frame: bytes) -> list[Avp]:
    """The Session-Id of a message that can't be read whole: it comes first (RFC 6733, section 8.8)."""
    code, word = struct.unpack("!II", frame[avp.HEADER : avp.HEADER + 8].ljust(8, b"\0"))
    length = word & 0xFFFFFF
    if code != avp.SESSION_ID.code or not 8 < length <= len(frame) - avp.HEADER:
        return []
    return [Avp(code, frame[avp.HEADER + 8 : avp.HEADER + length], 0, word >> 24)]


class Peer:
    """One peer by its name: its watchdog outlives its connections."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.link: PeerConnection | None = None
        self.watchdog: Watchdog

    def open(self) -> PeerConnection | None:
        return self.link if self.link is not None and self.link.state is Link.OPEN else None


class Node(Owner):
    """What the front and the route share: peers by name, their connections in slots, their watchdogs."""

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        deadlines: Deadlines,
        interval_ms: float,
        chance: random.Random,
    ) -> None:
        self.identity, self.clock, self.deadlines = identity, clock, deadlines
        self.interval_ms, self.chance = interval_ms, chance
        self.links: Slots[PeerConnection] = Slots()
        self.peers: dict[str, Peer] = {}
        self._ids = chance.getrandbits(32)

    def next_id(self) -> int:
        self._ids = (self._ids + 1) & 0xFFFFFFFF
        return self._ids

    def add(self, peer: Peer) -> None:
        def ask() -> None:
            if peer.link is not None:
                peer.link.ask(
                    avp.DW, [*self.identity.avps(), make(avp.ORIGIN_STATE_ID, self.identity.state_id)]
                )

        def close() -> None:
            if peer.link is not None:
                peer.link.drop()

        peer.watchdog = Watchdog(
            self.clock,
            self.deadlines,
            self.interval_ms,
            self.chance,
            ask,
            close,
            lambda before, after: self.watched(peer, before, after),
        )
        self.peers[peer.host] = peer

    def connection(self, called: str = "") -> PeerConnection:
        return PeerConnection(self.identity, self, self.clock, self.deadlines, called, self.next_id)

    def watched(self, peer: Peer, before: Watch, after: Watch) -> None:
        log.info("%s: watchdog %s -> %s", peer.host, before.value, after.value)

    def may_open(self, host: str) -> bool:
        return host in self.peers

    def opened(self, link: PeerConnection) -> None:
        peer = self.peers[link.host]
        if peer.link is not None:
            # Guards against a peer that calls again behind a connection that only looks open.
            old = peer.link
            self.closed(old)
            old.drop()
        link.slot = self.links.add(link)
        peer.link = link
        peer.watchdog.up()

    def watchdog(self, link: PeerConnection, answered: bool) -> None:
        peer = self.peers.get(link.host)
        if peer is not None and peer.link is link:
            peer.watchdog.heard(answered)

    def closed(self, link: PeerConnection) -> None:
        peer = self.peers.get(link.host)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        self.lost(peer, link)
        self.links.free(link.slot)
        peer.watchdog.down()

    def lost(self, peer: Peer, link: PeerConnection) -> None:
        """A peer's connection is gone."""

    def disconnect(self) -> None:
        """The program ends: every peer is told."""
        for link in self.links:
            link.disconnect()
