"""Puts the call agent together: the core, the platform's wires, and the reactor that turns them."""

from __future__ import annotations

import dataclasses
import errno
import logging
import os
import pathlib
import resource
import signal
import socket
import typing
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.python.log import PythonLoggingObserver

from frostport import config as configuration
from frostport.admission.gate import Gate
from frostport.admission.resources import Descriptors, Owner
from frostport.config import Config, ConfigError
from frostport.core import contracts
from frostport.core.broker import Broker
from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.core.lifecycle import Lifecycle, Phase
from frostport.core.rules import Rules
from frostport.core.shutdown import MAX_RESTART_DEADLINE_MS, MAX_UPGRADE_DEADLINE_MS, Schedule, schedule
from frostport.deadline_runner import DeadlineRunner
from frostport.decide import Controller
from frostport.net.bus import BusConnection
from frostport.net.operator import MAX_CONNECTIONS, OperatorPort
from frostport.net.peers import split
from frostport.observe.statsd import StatsdMetrics
from frostport.operations import Operations
from frostport.platform_side import PlatformSide
from frostport.version import VERSION

if TYPE_CHECKING:  # loaded only where they are set
    from frostport.diameter_side import DiameterSide
    from frostport.durability import Durability
    from frostport.fleet import Fleet
    from frostport.startup_coordinator import StartupCoordinator

log = logging.getLogger("frostport.agent")

PROBE_TIMEOUT_MS = 250.0
FLUSH_MS = 50.0  # for the last answers to leave, and for set-ups on their way to be refused
CLOSED_MS = 5.0  # how often it is looked whether they have
SURPLUS_MS = 100.0  # between two lots of connections that a lowered limit sheds
LIVE = ("bus", "sockets", "contracts", "admission")  # what a reload changes in the running program
PAST = ("seed", "known", "offset")  # what only the start needs
NEVER_S = 3600.0  # the endpoint's own timeout; the real one is a deadline
EMPTIED_MS = 100.0  # how often a drain or a handover looks whether all is answered and closed


def nothing() -> None:
    """What a connection that holds no descriptor gives back."""


class Dialed(typing.Protocol):
    """A connection that this program opens: `released` is called once it is lost."""

    released: Callable[[], None]


def own_descriptors() -> int:
    """How many descriptors the program itself has open, before it opens anything for others."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # less the one that lists them
    except OSError:
        return 0


class Agent:
    """One call agent: the core, one front and one route."""

    def __init__(
        self, config: Config, reactor: Any, clock: Clock | None = None, durability: Durability | None = None
    ) -> None:
        self.config, self.reactor = config, reactor
        self.path: pathlib.Path | None = None  # the file that the configuration came from
        self.clock, self.deadlines = clock or Clock(), Deadlines()
        self.lifecycle = Lifecycle()
        given = contracts.with_contracts(config.settings, config.contracts)
        self.rules = Rules(given, config.drain_grace_ms)
        self.broker = Broker(
            Controller(given, config.seed),
            self.rules,
            self.clock,
            self.deadlines,
            PROBE_TIMEOUT_MS,
            contracts.Budgets(config.contracts),
        )
        self.figures = StatsdMetrics(kind.name for kind in given.classes)
        self.figures.configuration_loaded(True)
        self.broker.metrics = self.figures
        self.gate = Gate(
            config.admission, Descriptors(config.sockets, config.sockets - config.admission.connections)
        )
        self.pump = DeadlineRunner(reactor, self.clock, self.deadlines)
        self.durability = durability
        if durability is not None:
            durability.join(self)
        self.side: DiameterSide | PlatformSide = self._diameter() if config.diameter else PlatformSide(self)
        self.own_descriptors: Callable[[], int] = lambda: 0  # of the process, before it serves anyone
        self.listener: Any = None
        self.inherited: int | None = None  # the clients' listening socket, where the platform holds it
        self.door: OperatorPort | None = None
        self._listening = False
        self._end: Deadline | None = None  # the last answers, where SIGTERM has come
        self._exit_at = 0.0  # and when the program ends, whoever has not read them
        self._sweeping: Deadline | None = None
        self.fleet: Fleet | None = None
        self.startup: StartupCoordinator | None = None
        self.lifecycle.add_listener(self.entered)

    def _diameter(self) -> DiameterSide:
        from frostport.diameter_side import DiameterSide  # nothing of it is loaded without it

        return DiameterSide(self)

    def connect(self, dial: str, protocol: Dialed) -> defer.Deferred[object]:
        """Dials, where a descriptor is to be had: it counts until the connection is lost, or was not to be
        had."""
        host, port = split(dial)
        owner = Owner.BUS if isinstance(protocol, BusConnection) else Owner.SERVERS
        descriptors = self.gate.descriptors
        if not descriptors.available(owner):
            descriptors.refused[owner] += 1
            # An idle client makes way; its descriptor is free by the time that this is dialled again.
            self.side.front.shed(self.gate.evict_one(self.clock.now()))
            return defer.fail(OSError(errno.EMFILE, "no descriptor left"))
        descriptors.acquire(owner)

        def released() -> None:
            protocol.released = nothing
            descriptors.release(owner)

        def failed(failure: Failure) -> Failure:
            protocol.released()
            return failure

        protocol.released = released
        made: Any = protocol
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=NEVER_S)
        dialing: defer.Deferred[object] = endpoint.connect(Factory.forProtocol(lambda: made))
        dialing.addErrback(failed)
        return dialing

    def start(self) -> None:
        """Opens everything; the list known at the start goes to the module first."""
        if self.durability is not None:
            self.durability.resume(self)
        if self.inherited is not None:
            # An upgrade: the platform holds the socket, and the process before this one still accepts on it.
            # Guards the reactor against an accept that waits: the platform hands the socket over blocking,
            # and Twisted accepts until none is left (and two processes race for each connection).
            os.set_blocking(self.inherited, False)
            os.set_inheritable(self.inherited, False)
            self.listener = self.reactor.adoptStreamPort(self.inherited, socket.AF_INET, self.side.factory())
            os.close(self.inherited)  # the port has a copy of its own
        else:
            host, port = split(self.config.listen)
            self.listener = self.reactor.listenTCP(port, self.side.factory(), backlog=512, interface=host)
        self._listening = True
        if self.config.operator:
            asked = Operations(self.broker, self.lifecycle, self.figures)
            also = dict(self.fleet.operations()) if self.fleet is not None else {}
            if self.startup is not None:
                also.update(self.startup.operations())
            if self.fleet is not None:
                asked.why_kept_out = self.fleet.work.held_reason
            self.door = OperatorPort({**asked.operations(), **also}, self.clock, self.deadlines)
            host, port = split(self.config.operator)
            self.reactor.listenTCP(port, self.door, interface=host)
        # With the listener, and the spare one that Twisted gives up for a moment where accept finds none
        # left.
        self.gate.descriptors.acquire(
            Owner.OWN, self.own_descriptors() + (MAX_CONNECTIONS if self.door else 0)
        )
        if self.startup is not None:
            self.startup.attach(self)
        self.side.start()
        if self.fleet is not None:
            self.fleet.work.attach(self)
            self.fleet.start()
        if self.startup is not None:
            self.startup.start()
        if self.config.admission.ladder:
            self._sweep()
        if self.durability is not None:
            self.durability.started(self)
        if self.fleet is None and self.able():  # else once it knows which machines are out
            self.lifecycle.enter(Phase.SERVING)

    def able(self) -> bool:
        """Whether its start is over, as far as that goes by lists, servers and turns."""
        return self.startup is None or self.startup.ready

    def _sweep(self) -> None:
        """Sheds what a lowered limit or the ladder asks for, a few at a time."""
        self._sweeping = None
        shed = self.gate.shed_surplus(self.clock.now())
        self.side.front.shed(shed)
        if self.lifecycle.phase is not Phase.STOPPED and (shed or self.config.admission.ladder):
            self._sweeping = self.deadlines.set(self.clock.now() + SURPLUS_MS, self._sweep)

    def reload(self) -> None:
        """SIGHUP: reads the whole file again. All of it is valid and in force at once, or nothing changes."""
        if not self.lifecycle.accepts_reload() or self.path is None:
            log.info("reload: not while %s", self.lifecycle.phase.value)
            return
        try:
            new = within_the_process(configuration.load(self.path))
        except ConfigError as problem:
            log.error("reload: configuration kept: %s", problem)
            self.figures.configuration_loaded(False)
            return
        except Exception:  # guards the calls that are open against a file that breaks its reader
            log.exception("reload: configuration kept")
            self.figures.configuration_loaded(False)
            return
        self.figures.configuration_loaded(True)
        old, names = self.config, [item.name for item in dataclasses.fields(Config)]
        changed = [name for name in names if name not in PAST and getattr(old, name) != getattr(new, name)]
        fixed = [name for name in changed if name not in LIVE]
        if "contracts" in changed and promises(old) != promises(new):
            fixed.append("contracts")  # the decisions were made for the aims and deadlines of the start
        if fixed:
            log.warning("reload: not changed before the next start: %s", ", ".join(fixed))
        self.config = dataclasses.replace(
            old, **{name: getattr(new, name) for name in LIVE if name not in fixed}
        )
        if "contracts" not in fixed:
            self.broker.budgets.replace_contracts(new.contracts)
        self.gate.descriptors.limit = self.config.sockets
        self.gate.descriptors.reserved = self.config.sockets - self.config.admission.connections
        self.gate.reload(self.config.admission, self.clock.now())
        self.side.reload(self.config)
        if self._sweeping is None:
            self._sweep()
        log.info("reload: done; changed: %s", ", ".join(set(changed) - set(fixed)) or "nothing")

    def terminate(self) -> None:
        """SIGTERM: serves on for what still comes, answers all that was taken, then ends.

        On an upgrade, where the newer process accepts on the same socket, this one takes no more at once."""
        if self.inherited is not None and self.lifecycle.can_enter(Phase.HANDING_OVER):
            self.lifecycle.enter(Phase.HANDING_OVER)
        elif self.lifecycle.can_enter(Phase.CLOSING):
            self.lifecycle.enter(Phase.CLOSING)

    def empty(self) -> bool:
        """Nothing is open, stands or is owed on a client's connection."""
        return not self.side.front.busy() and not self.broker.open_count

    def _emptied(self) -> None:
        """A drain is over once no client connection and no request is left; a handover ends then."""
        self.side.front.empty()  # guards against a connection whose last call ended without a word on it
        phase, empty = self.lifecycle.phase, not self.side.front.held() and not self.broker.open_count
        if phase is Phase.DRAINING and empty:
            self.lifecycle.enter(Phase.DRAINED)
        elif phase is Phase.HANDING_OVER and empty:
            self.lifecycle.enter(Phase.STOPPING)
        elif phase in (Phase.DRAINING, Phase.HANDING_OVER) or (
            phase is Phase.TURNING_AWAY and not self.empty()
        ):
            self.deadlines.set(self.clock.now() + EMPTIED_MS, self._emptied)

    def _stop_listening(self) -> None:
        if self._listening:
            self._listening = False
            self.listener.stopListening()

    def _told_to_end(self, most_ms: float) -> Schedule:
        """SIGTERM has come: sets its limits, for a restart and an upgrade alike."""
        log.info("admission: %s", orjson.dumps(self.gate.snapshot()).decode())
        now = self.clock.now()
        plan = schedule((kind.deadline_ms for kind in self.rules.settings.classes), most_ms)
        self._end = self.deadlines.set(now + plan.answer_by_ms, self._last_answers)
        self._exit_at = now + plan.exit_by_ms
        self.deadlines.set(self._exit_at, self._exit)
        return plan

    def _stop_taking(self) -> None:
        if self.lifecycle.phase is Phase.CLOSING:
            self.lifecycle.enter(Phase.STOPPING)

    def _last_answers(self) -> None:
        """Before SIGKILL: what is still open is answered, and nothing more is taken."""
        self.broker.fail_all()
        if self.lifecycle.can_enter(Phase.STOPPING):
            self.lifecycle.enter(Phase.STOPPING)

    def _exit(self) -> None:
        if self.lifecycle.can_enter(Phase.STOPPED):
            self.lifecycle.enter(Phase.STOPPED)

    def entered(self, phase: Phase) -> None:
        if self.fleet is not None and phase is not Phase.STOPPED:
            self.fleet.phase(phase.value)
        match phase:
            case Phase.CLOSING:
                plan = self._told_to_end(MAX_RESTART_DEADLINE_MS)
                self.deadlines.set(self.clock.now() + plan.accept_until_ms, self._stop_taking)
            case Phase.DRAINING | Phase.TURNING_AWAY:
                self._emptied()
            case Phase.HANDING_OVER:
                self._stop_listening()
                self._told_to_end(MAX_UPGRADE_DEADLINE_MS)
                self._emptied()
            case Phase.STOPPING:
                self._stop_listening()
                self.broker.on_idle = self.finish
                if not self.broker.open_count:
                    self.finish()
            case Phase.STOPPED:
                if self.fleet is not None:
                    self.fleet.stop()
                if self.durability is not None:
                    self.durability.stop()
                self.reactor.stop()

    def finish(self) -> None:
        """The last answer is given: it leaves, then the program does."""
        if self._end is not None:
            self._end.cancel()
            self._end = None
            self.broker.recorder.barrier(self._leave)  # an answer may still wait for its record

    def _leave(self) -> None:
        self.side.disconnect()
        self.deadlines.set(self.clock.now() + FLUSH_MS, self._flush)

    def _flush(self) -> None:
        """Ends once every answer has left, or at the last moment: a client may read slowly, or not at all."""
        if self.lifecycle.phase is Phase.STOPPED:
            return
        self.side.front.hang_up()
        if not self.side.front.held() or self.clock.now() >= self._exit_at:
            self._exit()
        else:
            self.deadlines.set(min(self.clock.now() + CLOSED_MS, self._exit_at), self._flush)


def promises(config: Config) -> dict[str, tuple[float, float]]:
    """What the contracts say of aims and deadlines."""
    return {contract.service: (contract.aim_ms, contract.deadline_ms) for contract in config.contracts}


def within_the_process(config: Config) -> Config:
    """The configuration with no more descriptors than the process may have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= config.sockets:
        return config
    log.warning("limits.sockets: %d, but the process may have only %d: these count", config.sockets, soft)
    connections = configuration.most_clients(soft)
    return dataclasses.replace(
        config,
        sockets=soft,
        admission=dataclasses.replace(
            config.admission, connections=connections, reserve=min(config.admission.reserve, connections - 1)
        ),
    )


def report_faults() -> None:
    """What Twisted catches, a fault in a callback say, goes to the same log."""
    observer: Any = PythonLoggingObserver
    observer("frostport.twisted").start()


def serve(
    config: Config, path: pathlib.Path | None = None, reactor: Any = None, inherited: int | None = None
) -> int:
    """Runs a call agent until it is told to end. Raises StoreError where its store can't be opened."""
    if reactor is None:
        from twisted.internet import reactor
    report_faults()
    durability = None
    if config.store is not None:
        from frostport import durability as part

        durability = part.Durability.open(config.store, upgrade=inherited is not None)
    agent = Agent(within_the_process(config), reactor, durability=durability)
    agent.path, agent.own_descriptors, agent.inherited = path, own_descriptors, inherited
    if config.fleet is not None:
        from frostport import fleet

        def refused(why: str) -> None:
            log.error("refused by the fleet: %s; ending", why)
            reactor.stop()

        agent.fleet = fleet.Fleet(config.fleet, reactor, VERSION, inherited is not None, refused)
    if config.startup is not None:
        from frostport import startup_coordinator

        agent.startup = startup_coordinator.StartupCoordinator(config.startup, config.name, agent.fleet)

    def on_term(signum: int, frame: object) -> None:
        reactor.callFromThread(agent.terminate)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_term)
    signal.signal(signal.SIGHUP, lambda signum, frame: reactor.callFromThread(agent.reload))
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
