"""Scenarios over real loopback sockets, and the program started as a process.

The scenarios run on the manual clock, so nothing waits for real time.
"""

from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any

import pytest
from twisted.internet import protocol
from twisted.internet.selectreactor import SelectReactor

from tests import diameter, test_diameter, test_platform
from tests.scenario import Actor, Reactor, World, event, host, platform, play

ITERATIONS = 8  # reactor iterations per step
MAX_STEPS = 400  # steps to wait for a message


class SocketWire(protocol.Protocol):
    """An actor's end of a real connection."""

    transport: Any = None

    def __init__(self, actor: Actor) -> None:
        self.protocol: Any = actor
        self.open = True

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        self.protocol.connect(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.protocol.received_on = self
        self.protocol.dataReceived(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.open = False
        self.protocol.connectionLost(reason)

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def loseConnection(self) -> None:  # noqa: N802
        self.open = False
        self.transport.abortConnection()


class LoopbackReactor(Reactor):
    """A real reactor, iterated by hand; the address of a dead server is a port without a listener."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.real: Any = SelectReactor()
        self.ports: dict[str, Any] = {}
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            self.closed_port = closed.getsockname()[1]

    def port_of(self, name: str) -> int:
        """Returns the port of a party, which listens from the first call on."""
        actor = self.world.actors[name]
        if actor.state == "dead":
            return int(self.closed_port)
        if name not in self.ports:
            factory = protocol.Factory.forProtocol(lambda: SocketWire(actor))
            self.ports[name] = self.real.listenTCP(0, factory, interface="127.0.0.1")
        return int(self.ports[name].getHost().port)

    def listenTCP(self, port: int, factory: Any, **more: Any) -> Reactor:  # noqa: N802
        self.factory = self.real.listenTCP(0, factory, interface="127.0.0.1")
        return self

    def connectTCP(self, host: str, port: int, factory: Any, **more: Any) -> Any:  # noqa: N802
        port = self.port_of(self.world.addresses[f"{host}:{port}"])
        return self.real.connectTCP("127.0.0.1", port, factory, timeout=30)

    def stopListening(self) -> None:  # noqa: N802
        self.factory.stopListening()


class Loopback:
    """Mixin that gives a World real connections."""

    reactor_kind: type[Reactor] = LoopbackReactor

    def settle(self: Any) -> None:
        """Iterates the reactor a fixed number of times, which may not be enough: see `step`."""
        for _ in range(ITERATIONS):
            self.reactor.real.iterate(0.001)
            self.agent.deadlines.run(self.clock.now())

    def accept(self: Any, actor: Actor) -> None:
        factory = protocol.ClientFactory.forProtocol(lambda: SocketWire(actor))
        port = self.reactor.factory.getHost().port
        self.reactor.real.connectTCP("127.0.0.1", port, factory)
        for _ in range(MAX_STEPS):
            if actor.wires:
                break
            self.settle()

    def step(self: Any, line: str) -> None:
        """Performs a step; for an expected message, first waits until one has arrived."""
        for _ in range(MAX_STEPS if line.startswith("expect") and "nothing" not in line else 0):
            who = line.split()[1]
            if who == "agent" or any(
                not self.actors[who].may_be_skipped(received) for received in self.actors[who].inbox
            ):
                break
            self.settle()
        super().step(line)  # type: ignore[misc]


class PlatformLoopback(Loopback, World):
    pass


class DiameterLoopback(Loopback, diameter.DiameterWorld):
    pass


@pytest.mark.parametrize(
    "name",
    [
        "an established call is ended by its server",
        "a broken connection resets its set-ups and leaves established calls",
        "a server process that ended: its port refuses, so its calls are over",
        "a refused connect sends the call on at once",
        "a malformed line closes its connection, and no other",
        "a malformed set-up with a readable id is refused; the third closes the connection",
        "an answer that can't be read ends its connection and all that is open on it",
    ],
)
def test_platform_over_sockets(name: str) -> None:
    record = {key: value for key, value in platform().items() if key != "peer_listen"}
    play(test_platform.SCENARIOS[name], record, PlatformLoopback)


@pytest.mark.parametrize(
    "name",
    [
        "a watchdog lost in flight: draining, no resend while the attempt is out",
        "a watchdog answered late: the peer is trusted again, and not cold",
        "a peer that has restarted: its sessions are over, it passes REOPEN",
        "a late answer after a give-up",
        "a peer that asks to disconnect gets nothing new; its set-up goes on",
        "a duplicate gets the same answer, and is no second call",
    ],
)
def test_diameter_over_sockets(name: str) -> None:
    wanted = diameter.config(**{"retry-after": True, "max-retry-after-ms": 2000.0})
    world = play(test_diameter.SCENARIOS[name], wanted, DiameterLoopback)
    assert isinstance(world, DiameterLoopback)
    for at, who, direction, message, _ in world.log:
        print(f"{at:.0f} {who} {direction} {message}")
    assert list(diameter.audit(world)) == []


def test_the_program_serves_and_ends_on_sigterm(tmp_path: pathlib.Path) -> None:
    with socket.socket() as lobby:
        lobby.bind(("127.0.0.1", 0))
        lobby.listen()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            listen = free.getsockname()
        first = json.loads(event(1, {**host(0), "dial": f"127.0.0.1:{lobby.getsockname()[1]}"}, whole=True))
        record = platform()
        del record["bus"], record["peer_listen"]
        record.update(listen=f"{listen[0]}:{listen[1]}", known={"offset": 1, "batch": [first]})
        (tmp_path / "config.json").write_text(json.dumps(record), encoding="utf-8")
        environment = {**os.environ, "PROXY_CONFIG": str(tmp_path / "config.json")}
        program = subprocess.Popen([sys.executable, "-m", "frostport"], env=environment)
        try:
            lobby.settimeout(60)
            server, _ = lobby.accept()
            server.settimeout(60)
            client = socket.create_connection(listen, timeout=60)
            client.sendall(
                b'{"verb":"START","tag":"00000000000000aa","opts":{"class":"race","left":8000},"blob":"x"}\n'
            )
            assert b'"verb":"START"' in server.makefile("rb").readline()
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGTERM)
            server.sendall(b'{"verb":"STARTED","tag":"00000000000000aa","blob":"x"}\n')
            assert b'"verb":"STARTED"' in client.makefile("rb").readline()
            assert program.wait(timeout=60) == 0
        finally:
            program.kill()
            program.wait()


def test_an_upgrade_on_an_inherited_blocking_socket(tmp_path: pathlib.Path) -> None:
    """Two processes share the listening socket that the platform holds; the old one ends on SIGTERM."""
    with socket.socket() as lobby, socket.socket() as held:
        lobby.bind(("127.0.0.1", 0))
        lobby.listen()
        held.bind(("127.0.0.1", 0))
        held.listen(64)
        held.setblocking(True)  # as the platform passes it
        listen = held.getsockname()
        first = json.loads(event(1, {**host(0), "dial": f"127.0.0.1:{lobby.getsockname()[1]}"}, whole=True))
        record = platform()
        del record["bus"], record["peer_listen"]
        record.update(listen=f"{listen[0]}:{listen[1]}", known={"offset": 1, "batch": [first]})
        (tmp_path / "config.json").write_text(json.dumps(record), encoding="utf-8")
        operator_ports = []
        programs = []
        for _ in range(2):
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                operator_ports.append(free.getsockname()[1])
        try:
            for operator_port in operator_ports:
                environment = {
                    **os.environ,
                    "PROXY_CONFIG": str(tmp_path / "config.json"),
                    "PROXY_LISTEN_FD": "5",
                    "PROXY_OPERATOR": f"127.0.0.1:{operator_port}",
                }
                programs.append(
                    subprocess.Popen(
                        [sys.executable, "-c", LAUNCH_WITH_FD_5, str(held.fileno())],
                        env=environment,
                        pass_fds=(held.fileno(),),
                    )
                )
                assert ask(operator_port, b"ready") == b"OK yes\n"
            lobby.settimeout(60)
            servers: list[socket.socket] = []
            for number in range(6):  # the kernel gives each connection to either process
                client = socket.create_connection(listen, timeout=60)
                client.sendall(
                    b'{"verb":"START","tag":"%016x","opts":{"class":"race","left":8000},"blob":"x"}\n'
                    % (number + 1)
                )
                if not servers:
                    servers.append(lobby.accept()[0])
                client.close()
            programs[0].send_signal(signal.SIGTERM)
            assert programs[0].wait(timeout=60) == 0
            assert ask(operator_ports[1], b"ready") == b"OK yes\n"
            assert programs[1].poll() is None
        finally:
            for program in programs:
                program.kill()
                program.wait()


# Runs the program with the socket as descriptor 5.
LAUNCH_WITH_FD_5 = (
    "import os, sys; os.dup2(int(sys.argv[1]), 5); "
    "os.execv(sys.executable, [sys.executable, '-m', 'frostport'])"
)


def ask(operator_port: int, line: bytes) -> bytes:
    """Sends one command to the operators' port once it listens; returns the answer."""
    for _ in range(600):
        try:
            with socket.create_connection(("127.0.0.1", operator_port), timeout=60) as caller:
                caller.sendall(line + b"\n")
                return caller.makefile("rb").readline()
        except ConnectionRefusedError:
            import time

            time.sleep(0.1)
    raise TimeoutError("the operators' port does not listen")
