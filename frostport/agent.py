"""Assembles the call agent: the core, its client and server protocols, and Twisted's reactor.

`serve` is the entry point of the program. `Agent` starts and stops all parts, and performs what the
transitions of the life cycle (core/lifecycle.py) require: drains, handovers on upgrades, shutdown, reloads.
"""

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

if TYPE_CHECKING:  # imported at run time only if configured
    from frostport.diameter_side import DiameterSide
    from frostport.durability import Durability
    from frostport.fleet import Fleet
    from frostport.startup_coordinator import StartupCoordinator

log = logging.getLogger("frostport.agent")

PROBE_TIMEOUT_MS = 250.0
FLUSH_DELAY_MS = 50.0  # before the exit: the last answers are sent, set-ups that still arrive are refused
CLOSE_CHECK_INTERVAL_MS = 5.0  # how often the exit checks whether all client connections are closed
SHED_INTERVAL_MS = 100.0  # between two batches of connections closed by a lowered limit or the ladder
# Names of fields of Config.
RELOADABLE_FIELDS = ("bus", "sockets", "contracts", "admission")  # applied by a reload
START_ONLY_FIELDS = ("seed", "known", "offset")  # used at the start only; a reload ignores changes to them
NO_TIMEOUT_S = 3600.0  # for Twisted's endpoint; the effective connect timeout is one of the agent's deadlines
DRAIN_CHECK_INTERVAL_MS = 100.0  # how often a drain or a handover checks for open connections and requests


def no_release() -> None:
    """The `released` callback of a connection that holds no descriptor."""


class OutgoingConnection(typing.Protocol):
    """The protocol of a connection that this process opens; calls `released` once it is lost."""

    released: Callable[[], None]


def count_own_descriptors() -> int:
    """Returns how many descriptors the process has open; 0 where /proc is not available.

    Called before the process opens connections, so that these are not counted twice."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the one that lists the directory
    except OSError:
        return 0


class Agent:
    """One call agent: the core, one front (client side) and one route (server side)."""

    def __init__(
        self, config: Config, reactor: Any, clock: Clock | None = None, durability: Durability | None = None
    ) -> None:
        self.config = config
        self.reactor = reactor
        self.path: pathlib.Path | None = None  # the configuration file, which a reload reads again
        self.clock = clock or Clock()
        self.deadlines = Deadlines()
        self.lifecycle = Lifecycle()
        call_settings = contracts.with_contracts(config.settings, config.contracts)
        self.rules = Rules(call_settings, config.drain_grace_ms)
        self.broker = Broker(
            Controller(call_settings, config.seed),
            self.rules,
            self.clock,
            self.deadlines,
            PROBE_TIMEOUT_MS,
            contracts.Budgets(config.contracts),
        )
        self.metrics = StatsdMetrics(kind.name for kind in call_settings.classes)
        self.metrics.configuration_loaded(True)
        self.broker.metrics = self.metrics
        self.gate = Gate(
            config.admission, Descriptors(config.sockets, config.sockets - config.admission.connections)
        )
        self.deadline_runner = DeadlineRunner(reactor, self.clock, self.deadlines)
        self.durability = durability
        if durability is not None:
            durability.attach(self)
        self.side: DiameterSide | PlatformSide = self._diameter() if config.diameter else PlatformSide(self)
        self.count_own_descriptors: Callable[[], int] = lambda: 0  # replaced by `serve`
        self.listener: Any = None
        self.inherited_fd: int | None = None  # listening socket for clients, if inherited
        self.operator_port: OperatorPort | None = None
        self._listening = False
        self._answer_timer: Deadline | None = None  # set by SIGTERM: fails the requests that are open then
        self._exit_at_ms = 0.0  # set by SIGTERM: exits then, even if clients have not read their answers
        self._shed_timer: Deadline | None = None
        self.fleet: Fleet | None = None
        self.startup: StartupCoordinator | None = None
        self.lifecycle.add_listener(self.on_phase)

    def _diameter(self) -> DiameterSide:
        from frostport.diameter_side import DiameterSide  # imported only if Diameter is configured

        return DiameterSide(self)

    def connect(self, dial: str, protocol: OutgoingConnection) -> defer.Deferred[object]:
        """Opens a connection to `dial` (host:port); fails with EMFILE if no descriptor is available.

        The descriptor is counted until the connection is lost or the attempt fails."""
        host, port = split(dial)
        owner = Owner.BUS if isinstance(protocol, BusConnection) else Owner.SERVERS
        descriptors = self.gate.descriptors
        if not descriptors.available(owner):
            descriptors.refused[owner] += 1
            # Closes an idle client connection; its descriptor is free by the next attempt to connect.
            self.side.front.shed(self.gate.evict_one(self.clock.now()))
            return defer.fail(OSError(errno.EMFILE, "no descriptor left"))
        descriptors.acquire(owner)

        def released() -> None:
            protocol.released = no_release
            descriptors.release(owner)

        def failed(failure: Failure) -> Failure:
            protocol.released()
            return failure

        protocol.released = released
        connection: Any = protocol
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=NO_TIMEOUT_S)
        dialing: defer.Deferred[object] = endpoint.connect(Factory.forProtocol(lambda: connection))
        dialing.addErrback(failed)
        return dialing

    def start(self) -> None:
        """Opens all ports and connections. The configured server list goes to the decision module first.

        Raises what opening a port raises; `start_or_stop` then stops the process."""
        if self.durability is not None:
            self.durability.restore(self)
        if self.inherited_fd is not None:
            # An upgrade: the platform holds the socket, and the predecessor still accepts on it.
            # Guards the reactor against a blocking accept: the platform hands the socket over in blocking
            # mode, Twisted accepts until no connection is left, and two processes race for each connection.
            os.set_blocking(self.inherited_fd, False)
            os.set_inheritable(self.inherited_fd, False)
            self.listener = self.reactor.adoptStreamPort(
                self.inherited_fd, socket.AF_INET, self.side.factory()
            )
            os.close(self.inherited_fd)  # adoptStreamPort has duplicated it
        else:
            host, port = split(self.config.listen)
            self.listener = self.reactor.listenTCP(port, self.side.factory(), backlog=512, interface=host)
        self._listening = True
        if self.config.operator:
            operations = Operations(self.broker, self.lifecycle, self.metrics)
            extra = dict(self.fleet.operations()) if self.fleet is not None else {}
            if self.startup is not None:
                extra.update(self.startup.operations())
            if self.fleet is not None:
                operations.held_reason = self.fleet.maintenance.held_reason
            self.operator_port = OperatorPort(
                {**operations.operations(), **extra}, self.clock, self.deadlines
            )
            host, port = split(self.config.operator)
            self.reactor.listenTCP(port, self.operator_port, interface=host)
        # This includes the listening socket, and the spare descriptor that Twisted closes for a moment when
        # accept fails for lack of descriptors.
        self.gate.descriptors.acquire(
            Owner.OWN, self.count_own_descriptors() + (MAX_CONNECTIONS if self.operator_port else 0)
        )
        if self.startup is not None:
            self.startup.attach(self)
        self.side.start()
        if self.fleet is not None:
            self.fleet.maintenance.attach(self)
            self.fleet.start()
        if self.startup is not None:
            self.startup.start()
        if self.config.admission.ladder:
            self._shed_surplus()
        if self.durability is not None:
            self.durability.servers_known(self)
        # With a fleet: entered once it is known which machines are out of service.
        if self.fleet is None and self.startup_complete():
            self.lifecycle.enter(Phase.SERVING)

    def startup_complete(self) -> bool:
        """Whether a cold start no longer waits for the server list, lobby servers or other agents."""
        return self.startup is None or self.startup.ready

    def _shed_surplus(self) -> None:
        """Closes connections over a lowered limit, or as the overload ladder requires, in small batches."""
        self._shed_timer = None
        shed = self.gate.shed_surplus(self.clock.now())
        self.side.front.shed(shed)
        if self.lifecycle.phase is not Phase.STOPPED and (shed or self.config.admission.ladder):
            self._shed_timer = self.deadlines.set(self.clock.now() + SHED_INTERVAL_MS, self._shed_surplus)

    def reload(self) -> None:
        """SIGHUP: reads the configuration file again and applies it as a whole, or not at all if invalid."""
        if not self.lifecycle.accepts_reload() or self.path is None:
            log.info("reload: ignored in phase %s", self.lifecycle.phase.value)
            return
        try:
            new = limit_to_process(configuration.load(self.path))
        except ConfigError as problem:
            log.error("reload: configuration kept: %s", problem)
            self.metrics.configuration_loaded(False)
            return
        except Exception:  # guards open calls against a file that makes the reader fail
            log.exception("reload: unexpected error while reading the file; configuration kept")
            self.metrics.configuration_loaded(False)
            return
        self.metrics.configuration_loaded(True)
        old = self.config
        names = [item.name for item in dataclasses.fields(Config)]
        changed = [
            name
            for name in names
            if name not in START_ONLY_FIELDS and getattr(old, name) != getattr(new, name)
        ]
        not_applied = [name for name in changed if name not in RELOADABLE_FIELDS]
        if "contracts" in changed and contract_targets(old) != contract_targets(new):
            # The decision module was set up with the aims and deadlines of the start.
            not_applied.append("contracts")
        if not_applied:
            log.warning("reload: takes effect only after a restart: %s", ", ".join(not_applied))
        self.config = dataclasses.replace(
            old, **{name: getattr(new, name) for name in RELOADABLE_FIELDS if name not in not_applied}
        )
        if "contracts" not in not_applied:
            self.broker.budgets.replace_contracts(new.contracts)
        self.gate.descriptors.limit = self.config.sockets
        self.gate.descriptors.reserved = self.config.sockets - self.config.admission.connections
        self.gate.reload(self.config.admission, self.clock.now())
        self.side.reload(self.config)
        if self._shed_timer is None:
            self._shed_surplus()
        log.info("reload: done; changed: %s", ", ".join(set(changed) - set(not_applied)) or "nothing")

    def terminate(self) -> None:
        """SIGTERM: keeps accepting for a short time, answers all open requests, then exits.

        On an upgrade the successor accepts on the same socket, and this one stops accepting at once."""
        if self.inherited_fd is not None and self.lifecycle.can_enter(Phase.HANDING_OVER):
            self.lifecycle.enter(Phase.HANDING_OVER)
        elif self.lifecycle.can_enter(Phase.CLOSING):
            self.lifecycle.enter(Phase.CLOSING)

    def is_idle(self) -> bool:
        """Whether no request is open, and no call or notification is left on any client connection."""
        return not self.side.front.busy() and not self.broker.open_count

    def _check_drained(self) -> None:
        """Checks whether no client connection and no request is left, which ends a drain or a handover."""
        self.side.front.drain()  # guards against a connection whose last call ended without a message on it
        phase = self.lifecycle.phase
        empty = not self.side.front.unclosed() and not self.broker.open_count
        if phase is Phase.DRAINING and empty:
            self.lifecycle.enter(Phase.DRAINED)
        elif phase is Phase.HANDING_OVER and empty:
            self.lifecycle.enter(Phase.STOPPING)
        elif phase in (Phase.DRAINING, Phase.HANDING_OVER) or (
            phase is Phase.TURNING_AWAY and not self.is_idle()
        ):
            self.deadlines.set(self.clock.now() + DRAIN_CHECK_INTERVAL_MS, self._check_drained)

    def _stop_listening(self) -> None:
        if self._listening:
            self._listening = False
            self.listener.stopListening()

    def _schedule_shutdown(self, max_deadline_ms: float) -> Schedule:
        """Sets the timers of a shutdown, for a restart and an upgrade alike."""
        log.info("admission: %s", orjson.dumps(self.gate.snapshot()).decode())
        now = self.clock.now()
        plan = schedule((kind.deadline_ms for kind in self.rules.settings.classes), max_deadline_ms)
        self._answer_timer = self.deadlines.set(now + plan.answer_by_ms, self._answer_open_requests)
        self._exit_at_ms = now + plan.exit_by_ms
        self.deadlines.set(self._exit_at_ms, self._exit)
        return plan

    def _stop_accepting(self) -> None:
        if self.lifecycle.phase is Phase.CLOSING:
            self.lifecycle.enter(Phase.STOPPING)

    def _answer_open_requests(self) -> None:
        """Fails all open requests and accepts no more; called before the platform sends SIGKILL."""
        self.broker.fail_all()
        if self.lifecycle.can_enter(Phase.STOPPING):
            self.lifecycle.enter(Phase.STOPPING)

    def _exit(self) -> None:
        if self.lifecycle.can_enter(Phase.STOPPED):
            self.lifecycle.enter(Phase.STOPPED)

    def on_phase(self, phase: Phase) -> None:
        """Listener of the life cycle: performs what the new phase requires."""
        if self.fleet is not None and phase is not Phase.STOPPED:
            self.fleet.announce_phase(phase.value)
        match phase:
            case Phase.CLOSING:
                plan = self._schedule_shutdown(MAX_RESTART_DEADLINE_MS)
                self.deadlines.set(self.clock.now() + plan.accept_until_ms, self._stop_accepting)
            case Phase.DRAINING | Phase.TURNING_AWAY:
                self._check_drained()
            case Phase.HANDING_OVER:
                self._stop_listening()
                self._schedule_shutdown(MAX_UPGRADE_DEADLINE_MS)
                self._check_drained()
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
        """All requests are answered: disconnects once the answers are recorded and sent, then exits."""
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None
            self.broker.recorder.barrier(self._disconnect)  # an answer may still wait until it is recorded

    def _disconnect(self) -> None:
        self.side.disconnect()
        self.deadlines.set(self.clock.now() + FLUSH_DELAY_MS, self._exit_once_closed)

    def _exit_once_closed(self) -> None:
        """Exits once all client connections are closed, at `_exit_at_ms` at the latest.

        A client may read its answer slowly, or not at all."""
        if self.lifecycle.phase is Phase.STOPPED:
            return
        self.side.front.close_all()
        if not self.side.front.unclosed() or self.clock.now() >= self._exit_at_ms:
            self._exit()
        else:
            self.deadlines.set(
                min(self.clock.now() + CLOSE_CHECK_INTERVAL_MS, self._exit_at_ms), self._exit_once_closed
            )


def contract_targets(config: Config) -> dict[str, tuple[float, float]]:
    """Returns aim and deadline in ms by class of call."""
    return {contract.service: (contract.aim_ms, contract.deadline_ms) for contract in config.contracts}


def limit_to_process(config: Config) -> Config:
    """Returns the configuration with `sockets` lowered to the limit of the process (RLIMIT_NOFILE)."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= config.sockets:
        return config
    log.warning(
        "limits.sockets: %d configured, but the process may open only %d descriptors (RLIMIT_NOFILE): "
        "using the lower limit",
        config.sockets,
        soft,
    )
    connections = configuration.max_client_connections(soft)
    return dataclasses.replace(
        config,
        sockets=soft,
        admission=dataclasses.replace(
            config.admission, connections=connections, reserve=min(config.admission.reserve, connections - 1)
        ),
    )


def log_twisted_errors() -> None:
    """Routes what Twisted logs, such as an exception in a callback, to the standard logging."""
    observer: Any = PythonLoggingObserver
    observer("frostport.twisted").start()


def serve(
    config: Config, path: pathlib.Path | None = None, reactor: Any = None, inherited: int | None = None
) -> int:
    """Runs a call agent until SIGTERM or SIGINT; returns the exit code: 0 after a shutdown in order, else 1.

    `path` is the file that a reload reads; without it reloads are ignored. `inherited` is the descriptor of a
    listening socket. Raises StoreError if the store can't be opened."""
    if reactor is None:
        from twisted.internet import reactor
    log_twisted_errors()
    durability = None
    if config.store is not None:
        from frostport import durability as store_durability

        durability = store_durability.Durability.open(config.store, upgrade=inherited is not None)
    agent = Agent(limit_to_process(config), reactor, durability=durability)
    agent.path = path
    agent.count_own_descriptors = count_own_descriptors
    agent.inherited_fd = inherited
    if config.fleet is not None:
        from frostport import fleet

        def refused(why: str) -> None:
            log.error("refused by the fleet: %s; stopping this agent", why)
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
    reactor.callWhenRunning(start_or_stop, agent.start, reactor)
    reactor.run(installSignalHandlers=False)
    return 0 if agent.lifecycle.phase is Phase.STOPPED else 1


def start_or_stop(start: Callable[[], None], reactor: Any) -> None:
    """Calls `start`, and stops the reactor if it raises: the process would otherwise run without serving."""
    try:
        start()
    except Exception:
        log.exception("start failed; stopping this agent")
        reactor.stop()
