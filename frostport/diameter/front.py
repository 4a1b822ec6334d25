"""The Diameter front: client peers connect here and set up calls by credit control (RFC 8506).

A CCR-Initial is a set-up, its CCA the answer. A CCR-Termination is a give-up or a release. An ASR tells the
client that its call has ended.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from frostport import interface as api
from frostport.admission.gate import Admission, Gate
from frostport.core.broker import Broker
from frostport.core.calls import Body, RecordedAnswer, Request, State, held_until, request_bytes
from frostport.core.handles import HandleTable
from frostport.core.lifecycle import Lifecycle
from frostport.diameter import avp
from frostport.diameter.avp import Avp, Message, make
from frostport.diameter.ended_sessions import EndedSessions
from frostport.diameter.peer import DiameterNode, Identity, Peer, PeerConnection
from frostport.interface import Outcome

log = logging.getLogger("frostport.diameter.front")

MAX_SESSION_ID_BYTES = 512
SESSION_OVERHEAD_BYTES = 1024  # the objects of a session that is kept
RELEASE_KEEP_MS = 60_000.0  # how long a release is kept for a client that does not confirm it
MAX_WAIT_FACTOR = 10.0  # Maximum-Wait-Time may be up to this many times the deadline of the class
MAX_WAITING_DUPLICATES = 8  # of one set-up, until its answer
MAX_OPEN_SET_UPS = 1_000  # of all clients; further ones are refused
LOSS_ALGORITHM = 1  # OLR_DEFAULT_ALGO (RFC 7683)
HOST_REPORT = 0  # OC-Report-Type of an overload report on this host
# AVPs of one side that are not forwarded to the other, where the agent sends its own.
NOT_PASSED_ON = frozenset(
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


def service_avps(message: Message) -> bytes:
    """The AVPs that concern the service, encoded; they are forwarded unchanged."""
    return b"".join(
        found.encode() for found in message.avps if (found.vendor, found.code) not in NOT_PASSED_ON
    )


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A set-up, or a duplicate of one, that waits for its answer on its connection."""

    connection: PeerConnection
    message: Message  # as far as the answer needs it
    held_bytes: int  # counted towards the connection


@dataclass(slots=True, eq=False)
class Session:
    """One call as its client sees it. It is kept for some time after the call, to answer duplicates.

    `answer` is the Result-Code and the AVPs of the final answer."""

    client: str
    realm: str
    supports_overload_control: bool
    waiting_requests: list[WaitingRequest] = field(default_factory=list)
    answer: tuple[int, list[Avp]] | None = None
    ended_by: int = -1  # End-to-End Identifier of the CCR-Termination that ended it
    answered_on: PeerConnection | None = None  # the connection on which the answer was sent last
    release_held: bool = False  # the ASR is held back, so that a duplicate gets the answer first

    def held_bytes(self, call: str) -> int:
        """The memory that it needs under its call's id once the call is over, in bytes."""
        answer = () if self.answer is None else self.answer[1]
        return SESSION_OVERHEAD_BYTES + len(call) + avp.held_bytes(answer)


@dataclass(slots=True)
class PendingRelease:
    """The release of a call, to be sent as an ASR until its client confirms it."""

    client: str  # "" if it is not known: all client peers get the ASR, and all have to answer
    outcome: Outcome
    answered_by: set[str] = field(default_factory=set)  # hosts of the peers that have answered it

    def awaits(self, host: str) -> bool:
        """Whether this peer may be the call's client and has not answered the ASR."""
        return self.client in ("", host) and host not in self.answered_by


class DiameterFront(DiameterNode):
    """The broker's `Front` for client peers. It answers each credit-control request once.

    It also keeps the releases of calls that ended at a server until a client confirms them."""

    def __init__(
        self,
        broker: Broker,
        lifecycle: Lifecycle,
        identity: Identity,
        clients: list[str],
        server_numbers: dict[str, int],
        interval_ms: float,
        rng: random.Random,
        gate: Gate,
        closed_by_peer: Callable[[object], bool] = lambda transport: False,
    ) -> None:
        """`server_numbers` is keyed by host, for set-ups that name one in Destination-Host.
        `closed_by_peer` asks the system whether the other side of a transport has closed."""
        super().__init__(identity, broker.clock, broker.deadlines, interval_ms, rng)
        self.broker = broker
        self.lifecycle = lifecycle
        self.server_numbers = server_numbers
        self.gate = gate
        self.closed_by_peer = closed_by_peer
        self.connections_by_admission: dict[int, PeerConnection] = {}
        self.sessions: dict[str, Session] = {}
        self.ended_sessions = EndedSessions(broker.clock, broker.deadlines, self._remove_session)
        self.pending_releases: dict[str, PendingRelease] = {}  # not confirmed yet, by call
        self.aborts_sent: dict[int, str] = {}  # Hop-by-Hop Identifier of an unanswered ASR -> call
        # OC-Sequence-Number; begins with the time in ms, above those sent before a restart
        self.overload_sequence = int(broker.clock.now())
        self.longest_deadline_ms = max(
            (call_class.deadline_ms for call_class in broker.rules.settings.classes), default=0.0
        )
        self.accepted_connections: HandleTable[PeerConnection] = HandleTable()
        for host in clients:
            self.add_peer(Peer(host))

    def build(self, address: str) -> PeerConnection | None:
        """Returns the protocol of a new connection, None if the gate refuses it.

        Connections that the gate evicts in its favour are closed."""
        verdict = self.gate.admit(address, self.clock.now())
        self.shed(verdict.shed)
        if verdict.admission is None:
            return None
        connection = self.make_connection()
        connection.accepted_handle = self.accepted_connections.add(connection)
        connection.admission = verdict.admission
        self.connections_by_admission[verdict.admission.number] = connection
        return connection

    def shed(self, admissions: Iterable[Admission]) -> None:
        """Closes connections that the gate evicts."""
        for admission in admissions:
            connection = self.connections_by_admission.get(admission.number)
            if connection is not None:
                connection.drop()

    def drain(self) -> None:
        """Does nothing: a peer learns of a drain by its watchdogs, not by a close."""

    def close_all(self) -> None:
        """Does nothing: `disconnect` has notified the peers. Buffered output is sent as the process ends."""

    def unclosed(self) -> int:
        """The number of client connections that a drain, a handover or the exit waits for: 0, as peers stay
        connected."""
        return 0

    def _carries_calls(self, client: str) -> bool:
        """Whether a client has a call that is not over, or one that ended not long ago."""
        return any(session.client == client for session in self.sessions.values())

    # Held bytes

    def on_held_bytes_changed(self, connection: PeerConnection) -> None:
        """Reports to the gate what is held for the connection, which may close those that hold most."""
        self._report_held_bytes(connection)
        self.shed(self.gate.shed_largest())

    def _report_held_bytes(self, connection: PeerConnection) -> None:
        if connection.admission is not None:
            self.gate.set_buffered(connection.admission, connection.held_bytes())

    def _may_hold(self, connection: PeerConnection, count: int) -> bool:
        return connection.admission is None or self.gate.may_hold(connection.admission, count)

    def _await_answer(
        self, session: Session, connection: PeerConnection, message: Message, held: int
    ) -> None:
        """Keeps a set-up, or a duplicate of one, until the answer."""
        session.waiting_requests.append(WaitingRequest(connection, message, held))
        connection.set_up_bytes += held
        self.on_held_bytes_changed(connection)

    def _take_waiting(
        self, session: Session, connection: PeerConnection | None = None
    ) -> list[WaitingRequest]:
        """Removes the requests that wait for the answer, on one connection or on all, and returns them."""
        taken = [
            waiting
            for waiting in session.waiting_requests
            if connection is None or waiting.connection is connection
        ]
        session.waiting_requests = [waiting for waiting in session.waiting_requests if waiting not in taken]
        for waiting in taken:
            waiting.connection.set_up_bytes -= waiting.held_bytes
            self._report_held_bytes(waiting.connection)
        return taken

    def busy(self) -> bool:
        """Whether a connection that is in use delays a drain: never, as peers stay connected."""
        return False

    def on_close(self, connection: PeerConnection) -> None:
        if connection.accepted_handle >= 0:
            self.accepted_connections.remove(connection.accepted_handle)
            connection.accepted_handle = -1
        if connection.admission is not None:
            del self.connections_by_admission[connection.admission.number]
            self.gate.remove(connection.admission)
            connection.admission = None
        super().on_close(connection)

    # From clients

    def handle_request(self, connection: PeerConnection, message: Message) -> None:
        if message.command != avp.CC:
            connection.reply(message, avp.COMMAND_UNSUPPORTED, error=f"command {message.command}")
            return
        if len(str(message.get(avp.SESSION_ID))) > MAX_SESSION_ID_BYTES:
            connection.reply(
                message,
                avp.INVALID_AVP_LENGTH,
                error=f"Session-Id: over the limit of {MAX_SESSION_ID_BYTES} bytes",
                failed=Avp(avp.SESSION_ID.code, b"", 0, avp.MANDATORY).encode(),
            )
            return
        match message.get(avp.CC_REQUEST_TYPE):
            case avp.INITIAL:
                self.handle_initial(connection, message)
            case avp.TERMINATION:
                self.handle_termination(connection, message)
            case avp.UPDATE | avp.EVENT:
                self._send_answer(
                    connection, message, avp.UNABLE_TO_COMPLY, [], "this request type is not served here"
                )
            case _:
                type_avp = next(found for found in message.avps if found.code == avp.CC_REQUEST_TYPE.code)
                connection.reply(
                    message, avp.INVALID_AVP_VALUE, error="CC-Request-Type", failed=type_avp.encode()
                )

    def handle_initial(self, connection: PeerConnection, message: Message) -> None:
        """Handles a set-up: hands it to the broker, or refuses it.

        A duplicate gets the answer of the first, also after the call is over."""
        self.broker.recorder.refresh()
        session_id = str(message.get(avp.SESSION_ID))
        session = self.sessions.get(session_id)
        if session is not None and session.client != connection.host:
            self._send_answer(
                connection, message, avp.UNKNOWN_SESSION_ID, [], "the session is another client's"
            )
            return
        kept = message.for_answer()
        if session is not None and session.answer is None:
            held_bytes = kept.held_bytes()
            if len(session.waiting_requests) >= MAX_WAITING_DUPLICATES or not self._may_hold(
                connection, held_bytes
            ):
                self._send_answer(connection, message, avp.TOO_BUSY, [], "too many duplicates")
                return
            self._await_answer(session, connection, kept, held_bytes)  # a duplicate: gets the same answer
            return
        if session is not None and session.answer is not None:
            session.answered_on = connection
            self._send_answer(connection, message, *session.answer)
            if session.release_held:
                self._end_hold(session_id, session)
            return
        context_avp = next(found for found in message.avps if found.code == avp.SERVICE_CONTEXT_ID.code)
        call_class = {entry.name: entry for entry in self.broker.rules.settings.classes}.get(
            str(message.get(avp.SERVICE_CONTEXT_ID)).partition("@")[0]
        )
        if call_class is None:
            connection.reply(
                message, avp.INVALID_AVP_VALUE, error="no such service", failed=context_avp.encode()
            )
            return
        if not self.lifecycle.accepts_requests():
            self.broker.metrics.deferred(call_class.name)
            self._send_answer(connection, message, avp.TOO_BUSY, [], "going down")
            return
        if self.lifecycle.is_draining() and self._carries_calls(connection.host):
            self.broker.metrics.deferred(call_class.name)
            self._send_answer(connection, message, avp.TOO_BUSY, [], "draining")
            return
        description = service_avps(message)
        held_bytes = request_bytes(description, session_id) + kept.held_bytes()
        if self.broker.open_count >= MAX_OPEN_SET_UPS or not self._may_hold(connection, held_bytes):
            self.broker.metrics.deferred(call_class.name)
            self._send_answer(connection, message, avp.TOO_BUSY, [], "too many set-ups open")
            return
        max_wait_ms = message.get(avp.MAXIMUM_WAIT_TIME)
        remaining_ms = call_class.deadline_ms if max_wait_ms is None else float(max_wait_ms)
        if not 0.0 < remaining_ms <= max(call_class.deadline_ms * MAX_WAIT_FACTOR, 1.0):
            wait_avp = next(found for found in message.avps if found.code == avp.MAXIMUM_WAIT_TIME.code)
            connection.reply(
                message,
                avp.INVALID_AVP_VALUE,
                error="no time that a caller could wait",
                failed=wait_avp.encode(),
            )
            return
        called_station = str(message.get(avp.CALLED_STATION_ID) or "")
        features = message.get(avp.OC_SUPPORTED_FEATURES)
        feature_vector = avp.find_value(features, avp.OC_FEATURE_VECTOR) if features is not None else 0
        session = self.sessions[session_id] = Session(
            connection.host,
            str(message.get(avp.ORIGIN_REALM)),
            features is not None
            and bool((LOSS_ALGORITHM if feature_vector is None else feature_vector) & LOSS_ALGORITHM),
        )
        self._await_answer(session, connection, kept, held_bytes)
        request = Request(
            session_id,
            call_class.name,
            called_station,
            description,
            self.clock.now() + remaining_ms,
            self,
            connection.handle,
            connection.realm,
            client=connection.host,
            end_to_end_id=message.end_to_end,
        )
        self.broker.request_arrived(
            request,
            api.CallArrived(
                session_id,
                call_class.name,
                "-",
                remaining_ms,
                self.server_numbers.get(str(message.get(avp.DESTINATION_HOST)), -1),
                int.from_bytes(called_station.encode()[-6:], "big"),
            ),
        )

    def handle_termination(self, connection: PeerConnection, message: Message) -> None:
        """Handles a give-up before the answer, or the release of an established call."""
        self.broker.recorder.refresh()
        session_id = str(message.get(avp.SESSION_ID))
        request = self.broker.find_request(session_id)
        session = self.sessions.get(session_id)
        if session is not None and session.client != connection.host:
            self._send_answer(
                connection, message, avp.UNKNOWN_SESSION_ID, [], "the session is another client's"
            )
            return
        self._settle_release(session_id)
        if request is None:
            if session is not None and session.ended_by == message.end_to_end:
                # A retransmission (RFC 6733, section 5.5.4): its answer was lost, and is sent again.
                self.broker.recorder.barrier(lambda: self._send_answer(connection, message, avp.SUCCESS, []))
                return
            if session is not None and session.answer is None:
                # Given up while the answer waits to be recorded: it is not sent any more.
                self._drop_session(session_id, session)
            self.broker.release_unknown(session_id)
            self._send_answer(connection, message, avp.UNKNOWN_SESSION_ID, [], "no such session")
            return
        request.ended_by = message.end_to_end
        if session is not None and session.answer is None:
            self._drop_session(session_id, session)  # given up: no answer is sent
        elif session is not None:
            session.ended_by = message.end_to_end
            self._schedule_removal(session_id)
        if request.state is State.OPEN:
            self.broker.gone(request)
        else:
            self.broker.release(request)
        self.broker.recorder.barrier(lambda: self._send_answer(connection, message, avp.SUCCESS, []))

    def handle_answer(self, connection: PeerConnection, message: Message) -> None:
        """Handles an ASA, which confirms the release for this peer, with any Result-Code.

        Where the client is not known, the release is still due to the peers that have not answered: one that
        doesn't know the session may answer with success all the same."""
        call = self.aborts_sent.pop(message.hop_by_hop, "")
        release = self.pending_releases.get(call)
        if release is None:
            return
        release.answered_by.add(connection.host)
        if not any(release.awaits(host) for host in self.peers):
            self._settle_release(call)

    def _settle_release(self, call: str) -> None:
        """Forgets a pending release that is confirmed or has expired; does nothing if there is none."""
        if self.pending_releases.pop(call, None) is not None:
            self.broker.recorder.clear_pending_end(call)

    def on_open(self, connection: PeerConnection) -> None:
        super().on_open(connection)
        if (
            connection.admission is not None
            and self.connections_by_admission.get(connection.admission.number) is connection
        ):
            # A configured peer is a known client. Its connection is never evicted, as it carries releases.
            self.gate.trust(connection.admission, self.clock.now())
            limit_reached = self.gate.mark_identified(connection.admission, connection.realm)
            self.gate.begin_use(connection.admission)
            if limit_reached is not None:
                connection.disconnect(avp.BUSY)
                return
        for call, release in list(self.pending_releases.items()):
            session = self.sessions.get(call)
            if release.awaits(connection.host) and (session is None or not session.release_held):
                self._send_abort_on(connection, call, release)

    def connection_lost(self, peer: Peer, connection: PeerConnection) -> None:
        """Gives up the set-ups that wait for their answer on this connection only."""
        self.aborts_sent = {
            hop_by_hop: call
            for hop_by_hop, call in self.aborts_sent.items()
            if call in self.pending_releases and self.pending_releases[call].client != peer.host
        }
        for session_id, session in list(self.sessions.items()):
            if session.answer is None:
                self._take_waiting(session, connection)
                request = self.broker.find_request(session_id)
                if not session.waiting_requests and request is not None:
                    del self.sessions[session_id]
                    self.broker.gone(request)
                    self.broker.release(request)  # if its answer was still being recorded

    # From the broker

    def is_waiting(self, request: Request) -> bool:
        session = self.sessions.get(request.id)
        # Guards against an unnoticed close: a peer that does not read is not read from, so that the reactor
        # does not report its close.
        return session is not None and not all(
            self.closed_by_peer(waiting.connection.transport) for waiting in session.waiting_requests
        )

    def call_established(self, request: Request, description: Body) -> None:
        assert isinstance(description, bytes)
        self._send_final(request, avp.SUCCESS, avp.read_avps(description))

    def call_refused(self, request: Request, retry_after_ms: float) -> None:
        session = self.sessions.get(request.id)
        advice = []
        if session is not None and session.supports_overload_control and retry_after_ms > 0.0:
            self.overload_sequence += 1
            seconds = math.ceil(retry_after_ms / 1000.0)
            advice = [
                make(avp.OC_SUPPORTED_FEATURES, [make(avp.OC_FEATURE_VECTOR, LOSS_ALGORITHM)]),
                make(
                    avp.OC_OLR,
                    [
                        make(avp.OC_SEQUENCE_NUMBER, self.overload_sequence),
                        make(avp.OC_REPORT_TYPE, HOST_REPORT),
                        make(avp.OC_REDUCTION_PERCENTAGE, 100),
                        make(avp.OC_VALIDITY_DURATION, seconds),
                    ],
                ),
            ]
        self._send_final(request, avp.TOO_BUSY, advice)

    def call_failed(self, request: Request) -> None:
        self._send_final(request, avp.UNABLE_TO_COMPLY, [])

    def call_ended(
        self,
        call: str,
        client: str,
        connection_id: int,
        outcome: Outcome,
        recorded_answer: RecordedAnswer | None = None,
    ) -> None:
        session = self.sessions.get(call)
        if session is not None:
            client = session.client
        now = self.clock.now()
        self._schedule_removal(call)
        release = PendingRelease(client, outcome)
        self._add_release(call, release, now)
        if session is None or not self._hold_release(call, session, recorded_answer, now):
            self._send_abort(call, release)

    def _hold_release(
        self, call: str, session: Session, recorded_answer: RecordedAnswer | None, now: float
    ) -> bool:
        """Delays a release whose client may have missed the answer, so that it doesn't get the release first.

        Returns False if the release may be sent now. Once a client that may have missed the answer gets the
        release, duplicates of its set-up are answered that the call has failed."""
        peer = self.peers.get(session.client)
        if recorded_answer is None or (
            session.answered_on is not None
            and peer is not None
            and peer.open_connection() is session.answered_on
        ):
            return False
        until = held_until(recorded_answer.recorded_at_ms, now, self.longest_deadline_ms)
        # No restart since the answer, or no client waits any more.
        if session.answered_on is not None or until <= now:
            session.answer = (avp.UNABLE_TO_COMPLY, [])
            return False
        session.release_held = True
        self.deadlines.set(until, lambda: self._on_hold_expired(call, session))
        return True

    def _on_hold_expired(self, call: str, session: Session) -> None:
        if session.release_held:
            session.answer = (avp.UNABLE_TO_COMPLY, [])
            self._end_hold(call, session)

    def _end_hold(self, call: str, session: Session) -> None:
        """Sends the release that was held back."""
        session.release_held = False
        if (release := self.pending_releases.get(call)) is not None:
            self._send_abort(call, release)

    def _add_release(self, call: str, release: PendingRelease, since: float) -> None:
        self.pending_releases[call] = release
        self.deadlines.set(since + RELEASE_KEEP_MS, lambda: self._expire_release(call))

    def resume(
        self,
        releases: Mapping[str, tuple[str, Outcome, float]],
        recorded_answer_of: Callable[[str], RecordedAnswer | None],
    ) -> None:
        """Takes over releases from before a restart or handover: call -> (client, outcome, since ms).

        Each is sent when its client connects, or held back if its answer may have been missed.
        `recorded_answer_of` returns the recorded answer of a call. The sessions must have been restored."""
        now = self.clock.now()
        for call, (client, outcome, since) in releases.items():
            self._add_release(call, PendingRelease(client, outcome), since)
            if (session := self.sessions.get(call)) is not None:
                self._hold_release(call, session, recorded_answer_of(call), now)

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
        """Restores a session from before a restart, with the answer for its duplicates.

        `answer` is the recorded kind of answer, `over_at` when the call ended, ms."""
        results = {"stands": avp.SUCCESS, "refused": avp.TOO_BUSY}
        session = Session(client, realm, False, [], ended_by=ended_by)
        session.answer = (results.get(answer, avp.UNABLE_TO_COMPLY), avp.read_avps(body))
        self.sessions[call] = session
        if over_at is not None:
            self.ended_sessions.add(call, session, session.held_bytes(call), over_at)

    def _expire_release(self, call: str) -> None:
        """Forgets a release after RELEASE_KEEP_MS: its client may never answer the ASR."""
        self._settle_release(call)
        self.aborts_sent = {
            hop_by_hop: other for hop_by_hop, other in self.aborts_sent.items() if other != call
        }

    def _send_final(self, request: Request, result: int, avps: list[Avp]) -> None:
        """Sends the final answer to a set-up and its duplicates, and keeps it for later ones."""
        session = self.sessions.get(request.id)
        if session is None:
            return
        session.answer = (result, avps)
        for waiting in self._take_waiting(session):
            session.answered_on = waiting.connection
            self._send_answer(waiting.connection, waiting.message, result, avps)
        if result != avp.SUCCESS:
            self._schedule_removal(request.id)

    def _schedule_removal(self, call: str) -> None:
        """Removes the session some time later: duplicates may still be in transit."""
        session = self.sessions.get(call)
        if session is not None:
            self.ended_sessions.add(call, session, session.held_bytes(call), self.clock.now())

    def _drop_session(self, call: str, session: Session) -> None:
        """Forgets a session that waits for its answer, which will not be sent."""
        self._take_waiting(session)
        del self.sessions[call]

    def _remove_session(self, call: str, session: Session) -> None:
        if self.sessions.get(call) is session:
            del self.sessions[call]

    def _send_answer(
        self, connection: PeerConnection, message: Message, result: int, avps: list[Avp], error: str = ""
    ) -> None:
        """Sends a CCA, which echoes CC-Request-Type and CC-Request-Number."""
        echoed = [
            found
            for found in message.avps
            if not found.vendor and found.code in (avp.CC_REQUEST_TYPE.code, avp.CC_REQUEST_NUMBER.code)
        ]
        application = make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL)
        connection.reply(message, result, [application, *echoed, *avps], error)

    def _send_abort(self, call: str, release: PendingRelease) -> None:
        """Sends the release of a call as an ASR. A client that isn't connected gets it once it connects.

        Without a known client, all client peers get it."""
        for peer in self.peers.values():
            connection = peer.open_connection()
            if connection is not None and release.awaits(peer.host):
                self._send_abort_on(connection, call, release)

    def _send_abort_on(self, connection: PeerConnection, call: str, release: PendingRelease) -> None:
        hop_by_hop = connection.send_request(
            avp.AS,
            [
                make(avp.SESSION_ID, call),
                *self.identity.avps(),
                make(avp.DESTINATION_REALM, connection.realm),
                make(avp.DESTINATION_HOST, connection.host),
                make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
                make(
                    avp.TERMINATION_CAUSE,
                    avp.LOGOUT if release.outcome is Outcome.OK else avp.ADMINISTRATIVE,
                ),
            ],
            avp.CREDIT_CONTROL,
        )
        self.aborts_sent[hop_by_hop] = call
