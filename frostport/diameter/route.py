"""The Diameter route: connects to the lobby servers as peers, and sets calls up there.

A set-up goes out as a CCR-Initial, a give-up or release as a CCR-Termination. A server ends a call by an ASR.
The state of a server's watchdog is reported to the decision module as the server list.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable, Mapping

from twisted.internet import defer
from twisted.python.failure import Failure

from frostport import interface as api
from frostport.core.broker import Broker
from frostport.core.calls import Attempt, Front, Request, State
from frostport.core.deadlines import Deadline
from frostport.core.liveness_sweep import LivenessSweep
from frostport.core.server_liveness import (
    CallsLost,
    CheckLiveness,
    ServerLiveness,
    Suspected,
)
from frostport.diameter import avp
from frostport.diameter.avp import Message, make
from frostport.diameter.front import service_avps
from frostport.diameter.peer import EXCHANGE_TIMEOUT_MS, DiameterNode, Identity, Peer, PeerConnection
from frostport.diameter.settings import DiameterServer
from frostport.diameter.watchdog import WatchdogState
from frostport.interface import Lifecycle, ListKind, Outcome

log = logging.getLogger("frostport.diameter.route")

REDIAL_MS = 1000.0  # pause before a server is dialed again


class ServerPeer(Peer):
    """A lobby server. Its pending releases are sent once it is connected."""

    def __init__(self, entry: DiameterServer, liveness: ServerLiveness) -> None:
        super().__init__(entry.host)
        self.liveness = liveness
        self.config = entry
        self.open_attempts: dict[int, Attempt] = {}  # by Hop-by-Hop Identifier
        self.pending_releases: list[str] = []  # calls whose sessions are to be terminated there
        self.announced_state: Lifecycle | None = None  # as last reported to the decision module; None: gone
        self.started_ms = 0.0  # when it came back, for its slow start; 0: long ago
        self.state_id: int | None = None  # its last Origin-State-Id
        self.sessions_lost_timer: Deadline | None = None
        self.dialing: PeerConnection | None = None  # until its capabilities are exchanged
        self.redial_timer: Deadline | None = None


class DiameterRoute(DiameterNode):
    """The broker's `Route` to server peers.

    A server is ready while its watchdog is OKAY. One that misses a watchdog, loses its connection or asks to
    disconnect is draining, and gone once it has been away for `sessions_lost_ms`."""

    def __init__(
        self,
        broker: Broker,
        front: Front,
        identity: Identity,
        servers: list[DiameterServer],
        interval_ms: float,
        sessions_lost_ms: float,
        rng: random.Random,
        connect: Callable[[str, PeerConnection], defer.Deferred[object]],
    ) -> None:
        """`connect` dials an address for a protocol; its Deferred fails if there is no connection."""
        super().__init__(identity, broker.clock, broker.deadlines, interval_ms, rng)
        self.broker = broker
        self.front = front
        self.connect = connect
        self.sessions_lost_ms = sessions_lost_ms
        self.servers: dict[str, ServerPeer] = {}
        self.version = 0  # of the server list
        self.stopping = False
        self._sweep = LivenessSweep(self.clock, self.deadlines, self.servers.values, self._check_liveness)
        for entry in servers:
            liveness = ServerLiveness(broker.clock.now(), sessions_lost_ms)
            self.servers[entry.host] = ServerPeer(entry, liveness)
            self.add_peer(self.servers[entry.host])

    def start(self) -> None:
        """Dials all servers. The server list is empty at first: each joins it once it is connected."""
        self.broker.update_server_list(ListKind.PERSISTED, self.version, [])
        for server in self.servers.values():
            self.dial(server)
        self._sweep.start()

    def dial(self, server: ServerPeer) -> None:
        """Dials a server, unless it is connected or being dialed."""
        if server.connection is not None or server.dialing is not None or self.stopping:
            return
        server.dialing = self.make_connection(server.host)
        dialing = self.connect(server.config.dial, server.dialing)
        timeout = self.deadlines.set(self.clock.now() + EXCHANGE_TIMEOUT_MS, dialing.cancel)

        def cancel_timeout(result: object) -> object:
            timeout.cancel()
            return result

        def on_failure(failure: Failure) -> None:
            self._redial(server)

        dialing.addBoth(cancel_timeout)
        dialing.addErrback(on_failure)

    def _redial(self, server: ServerPeer) -> None:
        server.dialing = None
        if server.redial_timer is not None:
            server.redial_timer.cancel()
        if not self.stopping:
            server.redial_timer = self.deadlines.set(self.clock.now() + REDIAL_MS, lambda: self.dial(server))

    def announce(self, server: ServerPeer, state: Lifecycle) -> None:
        """Reports a server's state to the decision module, if it has changed.

        A server that is not on its list joins it only as ready."""
        if server.announced_state is state or (
            server.announced_state is None and state is not Lifecycle.READY
        ):
            return
        server.announced_state = None if state is Lifecycle.GONE else state
        self.version += 1
        log.info("%s: reported to the decision module as %s", server.host, state.value)
        self.broker.update_server_list(
            ListKind.CHANGES,
            self.version,
            [api.Server(server.host, server.config.number, state, server.config.zone, server.started_ms)],
        )

    # Peers

    def on_open(self, connection: PeerConnection) -> None:
        server = self.servers[connection.host]
        if server.sessions_lost_timer is not None:
            server.sessions_lost_timer.cancel()
        before = server.state_id
        server.state_id = connection.state_id
        # The same Origin-State-Id means that it is the same process (RFC 6733, section 8.16).
        same_process = before is not None and before == connection.state_id
        connection.process_since_ms = 0.0 if same_process else self.clock.now()
        if before is not None and connection.state_id is not None and connection.state_id > before:
            self.broker.end_established_calls(
                server.host, self.clock.now(), "a new process: its sessions are gone"
            )
            for call in server.pending_releases:
                self.broker.recorder.clear_pending_release(server.host, call)
            server.pending_releases.clear()
        self.broker.recorder.record_peer(server.host, connection.state_id, server.started_ms)
        server.dialing = None
        super().on_open(connection)
        releases = server.pending_releases
        server.pending_releases = []
        for call in releases:
            self._send_termination(server, call)
            self.broker.recorder.clear_pending_release(server.host, call)

    def on_watchdog_change(self, peer: Peer, before: WatchdogState, after: WatchdogState) -> None:
        super().on_watchdog_change(peer, before, after)
        server = self.servers[peer.host]
        if after is WatchdogState.OKAY:
            if before is WatchdogState.REOPEN:
                server.started_ms = self.clock.now()  # back on a new connection: treated as a cold start
                self.broker.recorder.record_peer(server.host, server.state_id, server.started_ms)
            self.announce(server, Lifecycle.READY)
        elif after in (WatchdogState.SUSPECT, WatchdogState.DOWN):
            self.announce(server, Lifecycle.DRAINING)

    def on_disconnect_request(self, connection: PeerConnection, cause: int) -> None:
        log.info("%s: peer asked to disconnect, Disconnect-Cause %d: draining it", connection.host, cause)
        self.announce(self.servers[connection.host], Lifecycle.DRAINING)

    def on_close(self, connection: PeerConnection) -> None:
        super().on_close(connection)
        server = self.servers[connection.host]
        if server.dialing is connection:
            # Closed before capabilities were exchanged: `connection_lost` is not called.
            self._redial(server)

    def connection_lost(self, peer: Peer, connection: PeerConnection) -> None:
        server = self.servers[peer.host]
        attempts = server.open_attempts
        server.open_attempts = {}
        self.announce(server, Lifecycle.DRAINING)
        for attempt in attempts.values():
            self._queue_release(server, attempt.request.id)  # the call may be set up, and its answer lost
            self.broker.attempt_ended(attempt, Outcome.RESET)
        self._start_sessions_lost_timer(server)
        self._redial(server)

    def _start_sessions_lost_timer(self, server: ServerPeer) -> None:
        server.sessions_lost_timer = self.deadlines.set(
            self.clock.now() + self.sessions_lost_ms, lambda: self._on_sessions_lost(server)
        )

    def _queue_release(self, server: ServerPeer, call: str) -> None:
        """Keeps a release, also on record, until the server is connected."""
        server.pending_releases.append(call)
        self.broker.recorder.record_pending_release(server.host, call)

    def resume(
        self, peers: Mapping[str, tuple[int | None, float]], releases: Iterable[tuple[str, str]]
    ) -> None:
        """Takes over what was recorded before a restart or handover.

        `peers` has each server's Origin-State-Id and start, ms, by host; `releases` are (host, call)."""
        for host, (state_id, started_ms) in peers.items():
            if host in self.servers:
                self.servers[host].state_id = state_id
                self.servers[host].started_ms = started_ms
        for host, call in releases:
            if host in self.servers:
                self._queue_release(self.servers[host], call)
            else:
                self.broker.recorder.clear_pending_release(host, call)
        for server in self.servers.values():
            self._start_sessions_lost_timer(server)  # one that does not come back in time has lost its calls

    def _on_sessions_lost(self, server: ServerPeer) -> None:
        """Ends the calls of a server that was away for too long; if it comes back it gets releases."""
        for request in self.broker.requests:
            if (
                request.state is State.ESTABLISHED
                and request.attempt is not None
                and request.attempt.server == server.host
            ):
                self._queue_release(server, request.id)
        self.broker.end_established_calls(server.host, self.clock.now(), "away too long")
        self.announce(server, Lifecycle.GONE)

    # Liveness

    def on_message(self, connection: PeerConnection, is_watchdog_answer: bool) -> None:
        super().on_message(connection, is_watchdog_answer)
        server = self.servers.get(connection.host)
        if (
            server is not None
            and server.connection is connection
            and server.liveness.data_received(self.clock.now(), connection.process_since_ms)
        ):
            log.info("%s: liveness: suspected -> alive", server.host)

    def _check_liveness(self, server: ServerPeer, now_ms: float) -> None:
        if not server.liveness.is_silent(now_ms):
            return
        for action in server.liveness.evaluate(now_ms, self.broker.has_established_calls(server.host)):
            match action:
                case Suspected(since_ms):
                    log.warning(
                        "%s: liveness: alive -> suspected, nothing heard for %.0f ms",
                        server.host,
                        now_ms - since_ms,
                    )
                    self.broker.metrics.server_suspected(server.host)
                case CheckLiveness():
                    self._send_liveness_request(server)
                case CallsLost(since_ms, established_by_ms):
                    self._on_calls_lost(server, since_ms, established_by_ms)

    def _send_liveness_request(self, server: ServerPeer) -> None:
        """Sends a Device-Watchdog-Request that is independent of the watchdog's.

        Those come too late: RFC 3539 does not allow an interval under 6 s."""
        connection = server.open_connection()
        if connection is not None:
            connection.send_request(
                avp.DW, [*self.identity.avps(), make(avp.ORIGIN_STATE_ID, self.identity.state_id)]
            )

    def _on_calls_lost(self, server: ServerPeer, since_ms: float, established_by_ms: float) -> None:
        """Ends the calls of a server that has been silent for too long.

        It gets their releases now or later. A connection from before the silence is dropped first."""
        silent_ms = self.clock.now() - since_ms
        log.warning("%s: liveness: suspected -> lost, silent for %.0f ms", server.host, silent_ms)
        ended = self.broker.end_established_calls(
            server.host, established_by_ms, f"silent for {silent_ms:.0f} ms"
        )
        connection = server.open_connection()
        if connection is not None and connection.process_since_ms <= since_ms:
            connection.drop()
        for call in ended:
            self._send_termination(server, call)

    # From the broker

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt as a CCR-Initial; it fails at once if the server is not connected."""
        server = self.servers[attempt.server]
        request = attempt.request
        connection = server.open_connection()
        if connection is None:
            self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        body = request.description
        assert isinstance(body, bytes)
        left = max(1, round(attempt.deadline_at_ms - self.clock.now()))
        attempt.route_ref = connection.send_request(
            avp.CC,
            [
                *self._ccr_avps(server, request.id, avp.INITIAL, attempt.number),
                make(avp.SERVICE_CONTEXT_ID, f"{request.call_class}@{self.identity.realm}"),
                make(avp.MAXIMUM_WAIT_TIME, left),
                *avp.read_avps(body),
            ],
            avp.CREDIT_CONTROL,
        )
        server.open_attempts[attempt.route_ref] = attempt
        self.broker.metrics.sent(request.call_class)

    def _ccr_avps(self, server: ServerPeer, call: str, request_type: int, number: int) -> list[avp.Avp]:
        """Returns the AVPs that every CCR starts with; `number` is its CC-Request-Number."""
        connection = server.open_connection()
        return [
            make(avp.SESSION_ID, call),
            *self.identity.avps(),
            make(avp.DESTINATION_REALM, connection.realm if connection is not None else ""),
            make(avp.DESTINATION_HOST, server.host),
            make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
            make(avp.CC_REQUEST_TYPE, request_type),
            make(avp.CC_REQUEST_NUMBER, number),
        ]

    def _send_termination(self, server: ServerPeer, call: str) -> None:
        """Sends a CCR-Termination for a call, or queues it until the server is connected."""
        connection = server.open_connection()
        if connection is None:
            self._queue_release(server, call)
        else:
            last = self.broker.rules.settings.try_limit
            connection.send_request(
                avp.CC,
                [
                    *self._ccr_avps(server, call, avp.TERMINATION, last),
                    make(avp.SERVICE_CONTEXT_ID, f"release@{self.identity.realm}"),
                ],
                avp.CREDIT_CONTROL,
            )

    def give_up(self, attempt: Attempt) -> None:
        """Gives up an open attempt: its late answer, if any, is ignored."""
        server = self.servers[attempt.server]
        if attempt.route_ref is not None and server.open_attempts.pop(attempt.route_ref, None) is attempt:
            self._send_termination(server, attempt.request.id)

    def release(self, attempt: Attempt) -> None:
        """Releases an established call at its server."""
        self._send_termination(self.servers[attempt.server], attempt.request.id)

    def release_unknown(self, call: str) -> None:
        """Releases a call at every connected server, as the server that has it is not known."""
        for server in self.servers.values():
            if server.open_connection() is not None:
                self._send_termination(server, call)

    def probe(self, server: str, number: int) -> None:
        """Sends no probe: a peer is tested by its watchdog alone."""
        self.broker.probe_ended(number, Outcome.NOT_SENT)

    # From servers

    def handle_answer(self, connection: PeerConnection, message: Message) -> None:
        result = message.get(avp.RESULT_CODE)
        attempt = self.servers[connection.host].open_attempts.pop(message.hop_by_hop, None)
        if attempt is None:
            return  # of a CCR-Termination, or late: the session was terminated with the give-up
        match result:
            case avp.SUCCESS:
                self.broker.call_established(attempt, service_avps(message))
            case avp.TOO_BUSY:
                self.broker.attempt_ended(attempt, Outcome.FULL, api.NOTE_PROCESSOR_FULL)
            case _:
                self.broker.attempt_ended(attempt, Outcome.ERROR)

    def handle_request(self, connection: PeerConnection, message: Message) -> None:
        """Handles an ASR: the server ends a call. It is answered once the end is recorded."""
        if message.command != avp.AS:
            connection.reply(message, avp.COMMAND_UNSUPPORTED, error=f"command {message.command}")
            return
        session_id = str(message.get(avp.SESSION_ID))
        cause = message.get(avp.TERMINATION_CAUSE)
        outcome = Outcome.OK if cause in (None, avp.LOGOUT) else Outcome.RESET
        if self.broker.recorder.defers(
            session_id, connection.host, lambda: self.handle_request(connection, message)
        ):
            return
        request = self.broker.find_request(session_id)
        attempt = request.attempt if request is not None else None
        if request is None:
            is_first = session_id not in self.broker.ended_ids
            self.broker.unknown_call_ended(session_id, self.front, outcome)
            result = avp.SUCCESS if is_first else avp.UNKNOWN_SESSION_ID
            self.broker.recorder.barrier(lambda: connection.reply(message, result))
        elif attempt is None or attempt.server != connection.host:
            connection.reply(message, avp.UNKNOWN_SESSION_ID)
        else:
            self._end_call(connection, request, attempt, outcome)
            self.broker.recorder.barrier(lambda: connection.reply(message, avp.SUCCESS))

    def _end_call(
        self, connection: PeerConnection, request: Request, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Ends a call that its server has ended.

        Before the answer, a normal end fails the call without another attempt; any other end is a reset."""
        if request.state is State.OPEN and attempt.route_ref is not None:
            self.servers[connection.host].open_attempts.pop(attempt.route_ref, None)
            if outcome is Outcome.OK:
                self.broker.ended_unanswered(attempt)
                return
            outcome = Outcome.RESET
        self.broker.attempt_ended(attempt, outcome)
