"""The Diameter front: clients are peers that connect here; a CCR-Initial is a set-up (RFC 8506)."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from frostport import interface as api
from frostport.admission.gate import Admission, Gate
from frostport.core.broker import Broker
from frostport.core.calls import Body, RecordedAnswer, Request, State, held_until
from frostport.core.lifecycle import Lifecycle
from frostport.core.slots import Slots
from frostport.diameter import avp
from frostport.diameter.avp import Avp, Message, make
from frostport.diameter.peer import Identity, Node, Peer, PeerConnection
from frostport.interface import Outcome

log = logging.getLogger("frostport.diameter.front")

REMEMBER_MS = 60_000.0  # how long the answer to a set-up is kept for its duplicates
OWED_MS = 60_000.0  # how long a release is owed to a client that does not hear it
WAIT_MOST = 10.0  # a set-up may ask for so many times its class's deadline
DUPLICATES_MOST = 8  # of one set-up, waiting for its answer
OPEN_MOST = 1_000  # set-ups without an answer, of all clients
LOSS_ALGORITHM = 1  # OLR_DEFAULT_ALGO (RFC 7683)
HOST_REPORT = 0
OWN = frozenset(
    (entry.vendor, entry.code)
    for entry in (
        avp.SESSION_ID,
        avp.ORIGIN_HOST,
        avp.ORIGIN_REALM,
        avp.ORIGIN_STATE_ID,
        avp.DESTINATION_HOST,
        avp.DESTINATION_REALM,
        avp.AUTH_APPLICATION_ID,
        avp.SERVICE_CONTEXT_ID,
        avp.CC_REQUEST_TYPE,
        avp.CC_REQUEST_NUMBER,
        avp.RESULT_CODE,
        avp.ROUTE_RECORD,
        avp.PROXY_INFO,
        avp.OC_SUPPORTED_FEATURES,
        avp.OC_OLR,
        avp.ERROR_MESSAGE,
        avp.FAILED_AVP,
        avp.MAXIMUM_WAIT_TIME,
    )
)


def carried(message: Message) -> bytes:
    """The AVPs that concern the service: they go on unchanged."""
    return b"".join(found.encode() for found in message.avps if (found.vendor, found.code) not in OWN)


@dataclass(slots=True, eq=False)
class Session:
    """One call as its client sees it: who it is, what waits for the answer, and the answer once given."""

    client: str
    realm: str
    heeds_overload: bool
    waiting: list[tuple[PeerConnection, Message]] = field(default_factory=list)
    answer: tuple[int, list[Avp]] | None = None
    ended_by: int = -1  # the End-to-End id of the termination that ended it
    heard_on: PeerConnection | None = None  # where the answer was given last
    held: bool = False  # its end is not told yet: a duplicate gets the answer first


class DiameterFront(Node):
    """Takes credit-control requests from client peers, and answers each once."""

    def __init__(
        self,
        broker: Broker,
        lifecycle: Lifecycle,
        identity: Identity,
        clients: list[str],
        numbers: dict[str, int],
        interval_ms: float,
        chance: random.Random,
        gate: Gate,
        left: Callable[[object], bool] = lambda transport: False,
    ) -> None:
        """`left`: whether the other side of a transport has closed, asked of the system."""
        super().__init__(identity, broker.clock, broker.deadlines, interval_ms, chance)
        self.broker, self.lifecycle, self.numbers, self.gate = broker, lifecycle, numbers, gate
        self.left = left
        self.by_admission: dict[int, PeerConnection] = {}
        self.sessions: dict[str, Session] = {}
        self.owed: dict[str, tuple[str, Outcome]] = {}  # releases not yet answered: client ("": any), outcome
        self.aborts: dict[int, str] = {}  # hop-by-hop ids of releases on their way
        self.sequence = int(broker.clock.now())
        self.longest_ms = max((cls.deadline_ms for cls in broker.rules.settings.classes), default=0.0)
        self.callers: Slots[PeerConnection] = Slots()
        for host in clients:
            self.add(Peer(host))

    def build(self, address: str) -> PeerConnection | None:
        """A protocol for a new connection that the gate admits; those who make room for it are closed."""
        verdict = self.gate.admit(address, self.clock.now())
        self.shed(verdict.shed)
        if verdict.admission is None:
            return None
        link = self.connection()
        link.caller, link.admission = self.callers.add(link), verdict.admission
        self.by_admission[verdict.admission.number] = link
        return link

    def shed(self, seats: Iterable[Admission]) -> None:
        """Closes connections that the gate has given up."""
        for seat in seats:
            link = self.by_admission.get(seat.number)
            if link is not None:
                link.drop()

    def empty(self) -> None:
        """A drain leaves peers' connections up: a peer is told of it by its watchdogs, not by a close."""

    def hang_up(self) -> None:
        """Peers have heard the goodbye; what was said to them leaves with the process's end."""

    def held(self) -> int:
        """Client connections that a drain waits for: none, as peers stay."""
        return 0

    def _carries_calls(self, client: str) -> bool:
        """Whether any call of a client is not over."""
        return any(session.client == client for session in self.sessions.values())

    def busy(self) -> bool:
        return False

    def closed(self, link: PeerConnection) -> None:
        if link.caller >= 0:
            self.callers.free(link.caller)
            link.caller = -1
        if link.admission is not None:
            del self.by_admission[link.admission.number]
            self.gate.remove(link.admission)
            link.admission = None
        super().closed(link)

    # From clients

    def request(self, link: PeerConnection, message: Message) -> None:
        if message.command != avp.CC:
            link.reply(message, avp.COMMAND_UNSUPPORTED, error=f"command {message.command}")
            return
        match message.get(avp.CC_REQUEST_TYPE):
            case avp.INITIAL:
                self.initial(link, message)
            case avp.TERMINATION:
                self.terminate(link, message)
            case avp.UPDATE | avp.EVENT:
                self._answer(link, message, avp.UNABLE_TO_COMPLY, [], "this request type is not served here")
            case _:
                wrong = next(found for found in message.avps if found.code == avp.CC_REQUEST_TYPE.code)
                link.reply(message, avp.INVALID_AVP_VALUE, error="CC-Request-Type", failed=wrong.encode())

    def initial(self, link: PeerConnection, message: Message) -> None:
        self.broker.recorder.refresh()
        name = str(message.get(avp.SESSION_ID))
        known = self.sessions.get(name)
        if known is not None and known.client != link.host:
            self._answer(link, message, avp.UNKNOWN_SESSION_ID, [], "the session is another client's")
            return
        if known is not None and known.answer is None and len(known.waiting) >= DUPLICATES_MOST:
            self._answer(link, message, avp.TOO_BUSY, [], "too many duplicates")
            return
        if known is not None and known.answer is None:
            known.waiting.append((link, message))  # a duplicate: it gets the same answer, with the first
            return
        if known is not None and known.answer is not None:
            known.heard_on = link
            self._answer(link, message, *known.answer)
            if known.held:
                self._tell(name, known)
            return
        context = next(found for found in message.avps if found.code == avp.SERVICE_CONTEXT_ID.code)
        cls = {cls.name: cls for cls in self.broker.rules.settings.classes}.get(
            str(message.get(avp.SERVICE_CONTEXT_ID)).partition("@")[0]
        )
        if cls is None:
            link.reply(message, avp.INVALID_AVP_VALUE, error="no such service", failed=context.encode())
            return
        if not self.lifecycle.accepts_requests():
            self.broker.metrics.deferred(cls.name)
            self._answer(link, message, avp.TOO_BUSY, [], "going down")
            return
        if self.lifecycle.is_draining() and self._carries_calls(link.host):
            self.broker.metrics.deferred(cls.name)
            self._answer(link, message, avp.TOO_BUSY, [], "draining")
            return
        if self.broker.open_count >= OPEN_MOST:
            self.broker.metrics.deferred(cls.name)
            self._answer(link, message, avp.TOO_BUSY, [], "too many set-ups open")
            return
        wait = message.get(avp.MAXIMUM_WAIT_TIME)
        left = cls.deadline_ms if wait is None else float(wait)
        if not 0.0 < left <= max(cls.deadline_ms * WAIT_MOST, 1.0):
            wrong = next(found for found in message.avps if found.code == avp.MAXIMUM_WAIT_TIME.code)
            link.reply(
                message,
                avp.INVALID_AVP_VALUE,
                error="no time that a caller could wait",
                failed=wrong.encode(),
            )
            return
        called = str(message.get(avp.CALLED_STATION_ID) or "")
        features = message.get(avp.OC_SUPPORTED_FEATURES)
        vector = avp.find(features, avp.OC_FEATURE_VECTOR) if features is not None else 0
        self.sessions[name] = Session(
            link.host,
            str(message.get(avp.ORIGIN_REALM)),
            features is not None and bool((LOSS_ALGORITHM if vector is None else vector) & LOSS_ALGORITHM),
            [(link, message)],
        )
        request = Request(
            name,
            cls.name,
            called,
            carried(message),
            self.clock.now() + left,
            self,
            link.slot,
            link.realm,
            client=link.host,
            end_to_end_id=message.end_to_end,
        )
        self.broker.request_arrived(
            request,
            api.CallArrived(
                name,
                cls.name,
                "-",
                left,
                self.numbers.get(str(message.get(avp.DESTINATION_HOST)), -1),
                int.from_bytes(called.encode()[-6:], "big"),
            ),
        )

    def terminate(self, link: PeerConnection, message: Message) -> None:
        self.broker.recorder.refresh()
        name = str(message.get(avp.SESSION_ID))
        request = self.broker.find_request(name)
        known = self.sessions.get(name)
        if known is not None and known.client != link.host:
            self._answer(link, message, avp.UNKNOWN_SESSION_ID, [], "the session is another client's")
            return
        self._settle(name)
        if request is None:
            if known is not None and known.ended_by == message.end_to_end:
                # The same termination again (RFC 6733, 5.5.4): its answer was lost, and is given again.
                self.broker.recorder.barrier(lambda: self._answer(link, message, avp.SUCCESS, []))
                return
            if known is not None and known.answer is None:
                del self.sessions[name]  # given up: its answer waits for a record, and is no longer owed
            self.broker.release_unknown(name)
            self._answer(link, message, avp.UNKNOWN_SESSION_ID, [], "no such session")
            return
        request.ended_by = message.end_to_end
        if known is not None and known.answer is None:
            del self.sessions[name]  # given up: no answer is owed
        elif known is not None:
            known.ended_by = message.end_to_end
            self._forget(name)
        if request.state is State.OPEN:
            self.broker.gone(request)
        else:
            self.broker.release(request)
        self.broker.recorder.barrier(lambda: self._answer(link, message, avp.SUCCESS, []))

    def answer(self, link: PeerConnection, message: Message) -> None:
        """A release was heard, whatever the client says of it."""
        self._settle(self.aborts.pop(message.hop_by_hop, ""))

    def _settle(self, call: str) -> None:
        """A release is no longer owed, if it was."""
        if self.owed.pop(call, None) is not None:
            self.broker.recorder.clear_owed_end(call)

    def opened(self, link: PeerConnection) -> None:
        super().opened(link)
        if link.admission is not None and self.by_admission.get(link.admission.number) is link:
            # A configured peer is a known client, and its connection carries what it is owed: it stays.
            self.gate.trust(link.admission, self.clock.now())
            over = self.gate.mark_identified(link.admission, link.realm)
            self.gate.begin_use(link.admission)
            if over is not None:
                link.disconnect(avp.BUSY)
                return
        for call, (client, outcome) in list(self.owed.items()):
            session = self.sessions.get(call)
            if client in ("", link.host) and (session is None or not session.held):
                self._abort(call, client, outcome)

    def lost(self, peer: Peer, link: PeerConnection) -> None:
        """The set-ups that wait on a connection alone go with it."""
        self.aborts = {
            hop: call
            for hop, call in self.aborts.items()
            if self.owed.get(call, (peer.host,))[0] != peer.host
        }
        for name, session in list(self.sessions.items()):
            if session.answer is None:
                session.waiting = [(at, message) for at, message in session.waiting if at is not link]
                request = self.broker.find_request(name)
                if not session.waiting and request is not None:
                    del self.sessions[name]
                    self.broker.gone(request)
                    self.broker.release(request)  # where its answer waited for a record

    # From the broker

    def is_waiting(self, request: Request) -> bool:
        session = self.sessions.get(request.id)
        # Guards against a close that nobody hears while a peer that does not read is not read from.
        return session is not None and not all(self.left(link.transport) for link, _ in session.waiting)

    def call_established(self, request: Request, description: Body) -> None:
        assert isinstance(description, bytes)
        self._final(request, avp.SUCCESS, avp.read_avps(description))

    def call_refused(self, request: Request, stay_away_ms: float) -> None:
        session = self.sessions.get(request.id)
        advice = []
        if session is not None and session.heeds_overload and stay_away_ms > 0.0:
            self.sequence += 1
            seconds = math.ceil(stay_away_ms / 1000.0)
            advice = [
                make(avp.OC_SUPPORTED_FEATURES, [make(avp.OC_FEATURE_VECTOR, LOSS_ALGORITHM)]),
                make(
                    avp.OC_OLR,
                    [
                        make(avp.OC_SEQUENCE_NUMBER, self.sequence),
                        make(avp.OC_REPORT_TYPE, HOST_REPORT),
                        make(avp.OC_REDUCTION_PERCENTAGE, 100),
                        make(avp.OC_VALIDITY_DURATION, seconds),
                    ],
                ),
            ]
        self._final(request, avp.TOO_BUSY, advice)

    def call_failed(self, request: Request) -> None:
        self._final(request, avp.UNABLE_TO_COMPLY, [])

    def call_ended(
        self, call: str, place: int, outcome: Outcome, given: RecordedAnswer | None = None
    ) -> None:
        session, now = self.sessions.get(call), self.clock.now()
        client = session.client if session is not None else ""
        self._forget(call)
        self._owe(call, client, outcome, now)
        if session is None or not self._hold(call, session, given, now):
            self._abort(call, client, outcome)

    def _hold(self, call: str, session: Session, given: RecordedAnswer | None, now: float) -> bool:
        """Guards a client that waits for the answer of a repeated set-up against hearing the end first.

        Once the end is told without the answer, duplicates hear that the call has failed."""
        peer = self.peers.get(session.client)
        if given is None or (
            session.heard_on is not None and peer is not None and peer.open() is session.heard_on
        ):
            return False
        until = held_until(given.recorded_at_ms, now, self.longest_ms)
        if session.heard_on is not None or until <= now:  # no restart since the answer, or nobody waits
            session.answer = (avp.UNABLE_TO_COMPLY, [])
            return False
        session.held = True
        self.deadlines.set(until, lambda: self._expired(call, session))
        return True

    def _expired(self, call: str, session: Session) -> None:
        if session.held:
            session.answer = (avp.UNABLE_TO_COMPLY, [])
            self._tell(call, session)

    def _tell(self, call: str, session: Session) -> None:
        """The end that was held back."""
        session.held = False
        if (owed := self.owed.get(call)) is not None:
            self._abort(call, *owed)

    def _owe(self, call: str, client: str, outcome: Outcome, since: float) -> None:
        self.owed[call] = (client, outcome)
        self.deadlines.set(since + OWED_MS, lambda: self._no_more(call))

    def resume(
        self, owed: Mapping[str, tuple[str, Outcome, float]], given: Callable[[str], RecordedAnswer | None]
    ) -> None:
        """Releases owed since before a restart: client, outcome, since when. The sessions are known."""
        now = self.clock.now()
        for call, (client, outcome, since) in owed.items():
            self._owe(call, client, outcome, since)
            if (session := self.sessions.get(call)) is not None:
                self._hold(call, session, given(call), now)

    def resume_session(
        self,
        call: str,
        client: str,
        realm: str,
        answer: str,
        body: bytes,
        ended_by: int = -1,
        over_at: float | None = None,
    ) -> None:
        """A session from before a restart, with the answer that its duplicates get; `over_at`: when it
        ended."""
        results = {"stands": avp.SUCCESS, "refused": avp.TOO_BUSY}
        session = Session(client, realm, False, [], ended_by=ended_by)
        session.answer = (results.get(answer, avp.UNABLE_TO_COMPLY), avp.read_avps(body))
        self.sessions[call] = session
        if over_at is not None:
            self.deadlines.set(over_at + REMEMBER_MS, lambda: self._drop(call, session))

    def _no_more(self, call: str) -> None:
        """Guards against clients that never answer a release: it is not owed for good."""
        self._settle(call)
        self.aborts = {hop: of for hop, of in self.aborts.items() if of != call}

    def _final(self, request: Request, result: int, avps: list[Avp]) -> None:
        session = self.sessions.get(request.id)
        if session is None:
            return
        session.answer = (result, avps)
        for link, message in session.waiting:
            session.heard_on = link
            self._answer(link, message, result, avps)
        session.waiting = []
        if result != avp.SUCCESS:
            self._forget(request.id)

    def _forget(self, call: str) -> None:
        """The session's answer is kept a while for duplicates still on their way."""
        session = self.sessions.get(call)
        if session is not None:
            self.deadlines.set(self.clock.now() + REMEMBER_MS, lambda: self._drop(call, session))

    def _drop(self, call: str, session: Session) -> None:
        if self.sessions.get(call) is session:
            del self.sessions[call]

    def _answer(
        self, link: PeerConnection, message: Message, result: int, avps: list[Avp], error: str = ""
    ) -> None:
        echoed = [
            found
            for found in message.avps
            if not found.vendor and found.code in (avp.CC_REQUEST_TYPE.code, avp.CC_REQUEST_NUMBER.code)
        ]
        application = make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL)
        link.reply(message, result, [application, *echoed, *avps], error)

    def _abort(self, call: str, client: str, outcome: Outcome) -> None:
        """Tells the client that its call is over; a client that isn't there hears it when it comes back."""
        cause = avp.LOGOUT if outcome is Outcome.OK else avp.ADMINISTRATIVE
        for peer in self.peers.values():
            link = peer.open()
            if link is not None and client in ("", peer.host):
                hop = link.ask(
                    avp.AS,
                    [
                        make(avp.SESSION_ID, call),
                        *self.identity.avps(),
                        make(avp.DESTINATION_REALM, link.realm),
                        make(avp.DESTINATION_HOST, peer.host),
                        make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
                        make(avp.TERMINATION_CAUSE, cause),
                    ],
                    avp.CREDIT_CONTROL,
                )
                self.aborts[hop] = call
