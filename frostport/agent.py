"""Puts the call agent together: the core, the platform's wires, and the reactor that turns them."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from frostport.config import Config
from frostport.core.broker import Broker
from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.core.lifecycle import Lifecycle, Phase
from frostport.core.rules import Rules
from frostport.decide import Controller
from frostport.net.bus import EventBus, ServerList
from frostport.net.front import FrontFactory, PlatformFront
from frostport.net.lobby import LobbyServers
from frostport.net.peers import Peers, split

log = logging.getLogger("frostport.agent")

PROBE_TIMEOUT_MS = 250.0
CLOSING_MS = 900.0  # after SIGTERM: connections come for 0.4 s at most, requests for 0.2 s more
LAST_ANSWER_MS = 3500.0  # after SIGTERM: what is open then is answered, SIGKILL comes from 3.7 s on
FLUSH_MS = 50.0  # for the last answers to leave
NEVER_S = 3600.0  # the endpoint's own timeout; the real one is a deadline


class Pump:
    """Runs the deadlines on the reactor's timer."""

    def __init__(self, reactor: Any, clock: Clock, deadlines: Deadlines) -> None:
        self.reactor, self.clock, self.deadlines = reactor, clock, deadlines
        self._call: Any = None
        deadlines.changed = self.schedule

    def schedule(self) -> None:
        if self._call is not None and self._call.active():
            self._call.cancel()
        at = self.deadlines.next_ms()
        if at is not None:
            self._call = self.reactor.callLater(max(0.0, (at - self.clock.now()) / 1000.0), self.run)

    def run(self) -> None:
        try:
            self.deadlines.run(self.clock.now())
        except Exception:  # a fault in one deadline costs that deadline
            log.exception("a deadline failed")
        self.schedule()


class Agent:
    """One call agent on the platform."""

    def __init__(self, config: Config, reactor: Any, clock: Clock | None = None) -> None:
        self.config, self.reactor = config, reactor
        self.clock, self.deadlines = clock or Clock(), Deadlines()
        self.lifecycle = Lifecycle()
        self.rules = Rules(config.settings, config.drain_grace_ms)
        self.broker = Broker(Controller(config.settings, config.seed), self.rules, self.clock, self.deadlines,
                             PROBE_TIMEOUT_MS)
        self.front = PlatformFront(self.broker, self.lifecycle, config.sockets // 2)
        self.servers = LobbyServers(self.broker, self.front, self.connect,
                                    config.settings.connect_timeout_ms or 500.0)
        self.broker.route = self.servers
        self.list = ServerList(self.broker, self.servers)
        self.pump = Pump(reactor, self.clock, self.deadlines)
        self.listener: Any = None
        self._end: Deadline | None = None
        self.lifecycle.listen(self.entered)

    def connect(self, dial: str, protocol: Protocol) -> defer.Deferred[object]:
        host, port = split(dial)
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=NEVER_S)
        dialing: defer.Deferred[object] = endpoint.connect(Factory.forProtocol(lambda: protocol))
        return dialing

    def start(self) -> None:
        """Opens everything; the list known at the start goes to the module first."""
        host, port = split(self.config.listen)
        self.listener = self.reactor.listenTCP(port, FrontFactory(self.front), backlog=512, interface=host)
        if self.config.peer_listen:
            peers = Peers(self.broker, self.config.peers)
            host, port = split(self.config.peer_listen)
            self.reactor.listenUDP(port, peers, interface=host)
            self.broker.tell = peers.tell
        self.list.known(self.config.known, self.config.offset)
        if self.config.bus:
            EventBus(self.list, self.config.bus, self.connect).start()
        self.lifecycle.enter(Phase.SERVING)

    def terminate(self) -> None:
        """SIGTERM: serves on for what still comes, answers all that was taken, then ends."""
        if self.lifecycle.phase is Phase.SERVING:
            self.lifecycle.enter(Phase.CLOSING)

    def entered(self, phase: Phase) -> None:
        now = self.clock.now()
        match phase:
            case Phase.CLOSING:
                self.deadlines.set(now + CLOSING_MS, lambda: self.lifecycle.enter(Phase.DRAINING))
                self._end = self.deadlines.set(now + LAST_ANSWER_MS, self.broker.fail_all)
            case Phase.DRAINING:
                self.listener.stopListening()
                self.broker.idle = self.finish
                if not self.broker.open:
                    self.finish()
            case Phase.STOPPED:
                self.reactor.stop()

    def finish(self) -> None:
        """The last answer is given: it leaves, then the program does."""
        if self._end is not None:
            self._end.cancel()
            self._end = None
            self.deadlines.set(self.clock.now() + FLUSH_MS, lambda: self.lifecycle.enter(Phase.STOPPED))


def serve(config: Config, reactor: Any = None) -> int:
    """Runs a call agent until it is told to end."""
    if reactor is None:
        from twisted.internet import reactor
    agent = Agent(config, reactor)

    def on_term(signum: int, frame: object) -> None:
        reactor.callFromThread(agent.terminate)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_term)
    reactor.callWhenRunning(guard, agent.start, reactor)
    reactor.run(installSignalHandlers=False)
    return 0 if agent.lifecycle.phase is Phase.STOPPED else 1


def guard(start: Callable[[], None], reactor: Any) -> None:
    """A start that fails ends the program: it would serve nobody."""
    try:
        start()
    except Exception:
        log.exception("start failed")
        reactor.stop()
