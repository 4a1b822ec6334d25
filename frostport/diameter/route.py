"""The Diameter route: lobby servers are peers that are called from here, watched by their watchdogs."""

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
from frostport.diameter.front import carried
from frostport.diameter.peer import EXCHANGE_MS, Identity, Node, Peer, PeerConnection
from frostport.diameter.settings import DiameterServer
from frostport.diameter.watchdog import Watch
from frostport.interface import Lifecycle, ListKind, Outcome

log = logging.getLogger("frostport.diameter.route")

REDIAL_MS = 1000.0


class ServerPeer(Peer):
    """A lobby server: what is out on its connection, and what the module was told of it."""

    def __init__(self, entry: DiameterServer, liveness: ServerLiveness) -> None:
        super().__init__(entry.host)
        self.liveness = liveness
        self.entry = entry
        self.out: dict[int, Attempt] = {}  # by hop-by-hop id
        self.owed: list[str] = []  # sessions to be ended once it is back
        self.told: Lifecycle | None = None
        self.started_ms = 0.0
        self.state_id: int | None = None
        self.lost: Deadline | None = None
        self.dialing: PeerConnection | None = None
        self.redial: Deadline | None = None


class DiameterRoute(Node):
    """Sets calls up at server peers. A peer that misses a watchdog is told to the module as draining."""

    def __init__(
        self,
        broker: Broker,
        front: Front,
        identity: Identity,
        servers: list[DiameterServer],
        interval_ms: float,
        sessions_lost_ms: float,
        chance: random.Random,
        connect: Callable[[str, PeerConnection], defer.Deferred[object]],
    ) -> None:
        super().__init__(identity, broker.clock, broker.deadlines, interval_ms, chance)
        self.broker, self.front, self.connect = broker, front, connect
        self.sessions_lost_ms = sessions_lost_ms
        self.servers: dict[str, ServerPeer] = {}
        self.version = 0
        self.ending = False
        self._sweep = LivenessSweep(self.clock, self.deadlines, self.servers.values, self._look_at)
        for entry in servers:
            liveness = ServerLiveness(broker.clock.now(), sessions_lost_ms)
            self.servers[entry.host] = ServerPeer(entry, liveness)
            self.add(self.servers[entry.host])

    def start(self) -> None:
        self.broker.update_server_list(
            ListKind.PERSISTED, self.version, []
        )  # each joins once it has been reached
        for server in self.servers.values():
            self.dial(server)
        self._sweep.start()

    def dial(self, server: ServerPeer) -> None:
        if server.link is not None or server.dialing is not None or self.ending:
            return
        server.dialing = self.connection(server.host)
        dialing = self.connect(server.entry.dial, server.dialing)
        limit = self.deadlines.set(self.clock.now() + EXCHANGE_MS, dialing.cancel)

        def settled(result: object) -> object:
            limit.cancel()
            return result

        def failed(failure: Failure) -> None:
            self._redial(server)

        dialing.addBoth(settled)
        dialing.addErrback(failed)

    def _redial(self, server: ServerPeer) -> None:
        server.dialing = None
        if server.redial is not None:
            server.redial.cancel()
        if not self.ending:
            server.redial = self.deadlines.set(self.clock.now() + REDIAL_MS, lambda: self.dial(server))

    def tell(self, server: ServerPeer, state: Lifecycle) -> None:
        """Changes the module's list, if this is a change."""
        if server.told is state or (server.told is None and state is not Lifecycle.READY):
            return
        server.told = None if state is Lifecycle.GONE else state
        self.version += 1
        log.info("%s is told as %s", server.host, state.value)
        self.broker.update_server_list(
            ListKind.CHANGES,
            self.version,
            [api.Server(server.host, server.entry.number, state, server.entry.zone, server.started_ms)],
        )

    # Peers

    def opened(self, link: PeerConnection) -> None:
        server = self.servers[link.host]
        if server.lost is not None:
            server.lost.cancel()
        before, server.state_id = server.state_id, link.state_id
        # The same Origin-State-Id says that the process goes on (RFC 6733, section 8.16).
        same_process = before is not None and before == link.state_id
        link.process_seen_ms = 0.0 if same_process else self.clock.now()
        if before is not None and link.state_id is not None and link.state_id > before:
            self.broker.end_established_calls(
                server.host, self.clock.now(), "a new process: its sessions are gone"
            )
            for call in server.owed:
                self.broker.recorder.clear_owed_release(server.host, call)
            server.owed.clear()
        self.broker.recorder.record_peer(server.host, link.state_id, server.started_ms)
        server.dialing = None
        super().opened(link)
        owed, server.owed = server.owed, []
        for call in owed:
            self._end_session(server, call)
            self.broker.recorder.clear_owed_release(server.host, call)

    def watched(self, peer: Peer, before: Watch, after: Watch) -> None:
        super().watched(peer, before, after)
        server = self.servers[peer.host]
        if after is Watch.OKAY:
            if before is Watch.REOPEN:
                server.started_ms = self.clock.now()  # back on a new connection: treated as cold
                self.broker.recorder.record_peer(server.host, server.state_id, server.started_ms)
            self.tell(server, Lifecycle.READY)
        elif after in (Watch.SUSPECT, Watch.DOWN):
            self.tell(server, Lifecycle.DRAINING)

    def leaving(self, link: PeerConnection, cause: int) -> None:
        log.info("%s: asks to disconnect, cause %d", link.host, cause)
        self.tell(self.servers[link.host], Lifecycle.DRAINING)

    def closed(self, link: PeerConnection) -> None:
        super().closed(link)
        server = self.servers[link.host]
        if server.dialing is link:  # it closed before it was open: there is no peer to be lost
            self._redial(server)

    def lost(self, peer: Peer, link: PeerConnection) -> None:
        server = self.servers[peer.host]
        out, server.out = server.out, {}
        self.tell(server, Lifecycle.DRAINING)
        for attempt in out.values():
            self._owe(server, attempt.request.id)  # it may have set the call up unheard
            self.broker.attempt_ended(attempt, Outcome.RESET)
        self._await(server)
        self._redial(server)

    def _await(self, server: ServerPeer) -> None:
        server.lost = self.deadlines.set(self.clock.now() + self.sessions_lost_ms, lambda: self._gone(server))

    def _owe(self, server: ServerPeer, call: str) -> None:
        server.owed.append(call)
        self.broker.recorder.record_owed_release(server.host, call)

    def resume(
        self, peers: Mapping[str, tuple[int | None, float]], releases: Iterable[tuple[str, str]]
    ) -> None:
        """What was on record before a restart: Origin-State-Ids and starts; servers and calls to be ended
        there."""
        for host, (state_id, started_ms) in peers.items():
            if host in self.servers:
                self.servers[host].state_id, self.servers[host].started_ms = state_id, started_ms
        for host, call in releases:
            if host in self.servers:
                self._owe(self.servers[host], call)
            else:
                self.broker.recorder.clear_owed_release(host, call)
        for server in self.servers.values():
            self._await(server)  # one that does not come back in time has lost what stood there

    def _gone(self, server: ServerPeer) -> None:
        """Away too long: what stood there is over towards its clients, and ended there when it is back."""
        for request in self.broker.requests:
            if (
                request.state is State.ESTABLISHED
                and request.attempt is not None
                and request.attempt.server == server.host
            ):
                self._owe(server, request.id)
        self.broker.end_established_calls(server.host, self.clock.now(), "away too long")
        self.tell(server, Lifecycle.GONE)

    # Liveness

    def watchdog(self, link: PeerConnection, answered: bool) -> None:
        super().watchdog(link, answered)
        server = self.servers.get(link.host)
        if (
            server is not None
            and server.link is link
            and server.liveness.heard(self.clock.now(), link.process_seen_ms)
        ):
            log.info("%s: liveness: suspected -> alive", server.host)

    def _look_at(self, server: ServerPeer, now_ms: float) -> None:
        if not server.liveness.is_quiet(now_ms):
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
                    self._ask_for_life(server)
                case CallsLost(since_ms, stood_by_ms):
                    self._calls_lost(server, since_ms, stood_by_ms)

    def _ask_for_life(self, server: ServerPeer) -> None:
        """A watchdog request beside the watchdog's own, whose interval RFC 3539 does not let go under 6 s."""
        link = server.open()
        if link is not None:
            link.ask(avp.DW, [*self.identity.avps(), make(avp.ORIGIN_STATE_ID, self.identity.state_id)])

    def _calls_lost(self, server: ServerPeer, since_ms: float, stood_by_ms: float) -> None:
        silent_ms = self.clock.now() - since_ms
        log.warning("%s: liveness: suspected -> lost, silent for %.0f ms", server.host, silent_ms)
        over = self.broker.end_established_calls(server.host, stood_by_ms, f"silent for {silent_ms:.0f} ms")
        link = server.open()
        if link is not None and link.process_seen_ms <= since_ms:
            link.drop()
        for call in over:
            self._end_session(server, call)

    # From the broker

    def send(self, attempt: Attempt) -> None:
        server, request = self.servers[attempt.server], attempt.request
        link = server.open()
        if link is None:
            self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        body = request.description
        assert isinstance(body, bytes)
        left = max(1, round(attempt.deadline_at_ms - self.clock.now()))
        attempt.route_ref = link.ask(
            avp.CC,
            [
                *self._head(server, request.id, avp.INITIAL, attempt.number),
                make(avp.SERVICE_CONTEXT_ID, f"{request.call_class}@{self.identity.realm}"),
                make(avp.MAXIMUM_WAIT_TIME, left),
                *avp.read_avps(body),
            ],
            avp.CREDIT_CONTROL,
        )
        server.out[attempt.route_ref] = attempt
        self.broker.metrics.sent(request.call_class)

    def _head(self, server: ServerPeer, call: str, kind: int, number: int) -> list[avp.Avp]:
        link = server.open()
        return [
            make(avp.SESSION_ID, call),
            *self.identity.avps(),
            make(avp.DESTINATION_REALM, link.realm if link is not None else ""),
            make(avp.DESTINATION_HOST, server.host),
            make(avp.AUTH_APPLICATION_ID, avp.CREDIT_CONTROL),
            make(avp.CC_REQUEST_TYPE, kind),
            make(avp.CC_REQUEST_NUMBER, number),
        ]

    def _end_session(self, server: ServerPeer, call: str) -> None:
        link = server.open()
        if link is None:
            self._owe(server, call)
        else:
            last = self.broker.rules.settings.try_limit
            link.ask(
                avp.CC,
                [
                    *self._head(server, call, avp.TERMINATION, last),
                    make(avp.SERVICE_CONTEXT_ID, f"release@{self.identity.realm}"),
                ],
                avp.CREDIT_CONTROL,
            )

    def give_up(self, attempt: Attempt) -> None:
        server = self.servers[attempt.server]
        if attempt.route_ref is not None and server.out.pop(attempt.route_ref, None) is attempt:
            self._end_session(server, attempt.request.id)

    def release(self, attempt: Attempt) -> None:
        self._end_session(self.servers[attempt.server], attempt.request.id)

    def release_unknown(self, call: str) -> None:
        for server in self.servers.values():
            if server.open() is not None:
                self._end_session(server, call)

    def probe(self, server: str, number: int) -> None:
        self.broker.probe_ended(number, Outcome.NOT_SENT)  # the watchdog is all that tests a peer

    # From servers

    def answer(self, link: PeerConnection, message: Message) -> None:
        result = message.get(avp.RESULT_CODE)
        attempt = self.servers[link.host].out.pop(message.hop_by_hop, None)
        if attempt is None:
            return  # the answer to a release, or late: its session was ended when it was given up
        match result:
            case avp.SUCCESS:
                self.broker.call_established(attempt, carried(message))
            case avp.TOO_BUSY:
                self.broker.attempt_ended(attempt, Outcome.FULL, api.NOTE_PROCESSOR_FULL)
            case _:
                self.broker.attempt_ended(attempt, Outcome.ERROR)

    def request(self, link: PeerConnection, message: Message) -> None:
        """A server ends a call."""
        if message.command != avp.AS:
            link.reply(message, avp.COMMAND_UNSUPPORTED, error=f"command {message.command}")
            return
        name = str(message.get(avp.SESSION_ID))
        cause = message.get(avp.TERMINATION_CAUSE)
        outcome = Outcome.OK if cause in (None, avp.LOGOUT) else Outcome.RESET
        if self.broker.recorder.defers(name, link.host, lambda: self.request(link, message)):
            return
        request = self.broker.find_request(name)
        attempt = request.attempt if request is not None else None
        if request is None:
            fresh = name not in self.broker.ended_ids
            self.broker.unknown_call_ended(name, self.front, outcome)
            result = avp.SUCCESS if fresh else avp.UNKNOWN_SESSION_ID
            self.broker.recorder.barrier(lambda: link.reply(message, result))
        elif attempt is None or attempt.server != link.host:
            link.reply(message, avp.UNKNOWN_SESSION_ID)
        else:
            self._over(link, request, attempt, outcome)
            self.broker.recorder.barrier(lambda: link.reply(message, avp.SUCCESS))

    def _over(self, link: PeerConnection, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        if request.state is State.OPEN and attempt.route_ref is not None:
            self.servers[link.host].out.pop(attempt.route_ref, None)
            if outcome is Outcome.OK:
                self.broker.ended_unanswered(attempt)
                return
            outcome = Outcome.RESET
        self.broker.attempt_ended(attempt, outcome)
