"""The operators' port, drains and handovers, on the manual clock."""

from __future__ import annotations

import os
import pathlib
import socket
from typing import Any

import pytest

from frostport import cli, config
from frostport.core.clock import ManualClock
from frostport.core.deadlines import Deadlines
from frostport.net import operator
from frostport.net.operator import (
    LINE_TIMEOUT_MS,
    MAX_CONNECTIONS,
    MAX_LINE_BYTES,
    Operation,
    OperatorError,
    OperatorPort,
)
from tests.scenario import World, event, host, platform, play

SET_UP = """
    send c1 START a class=race left=3000 extras=dest:0
    expect s0 START a
"""


def with_operator_port(**more: Any) -> dict[str, Any]:
    return {**platform(), "operator": "10.0.9.1:3", **more}


SCENARIOS = {
    "ready says yes while serving, no once drained, yes on resume": """
        operator ready => OK yes
        operator drain => OK draining
        expect agent phase drained
        operator ready => ERR no: drained
        operator resume => OK serving
        operator ready => OK yes
        expect agent phase serving
    """,
    "a drain closes idle connections at once, a busy one after its last answer": SET_UP
    + """
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1 rc=1
        operator drain => OK draining
        expect c2 closed
        send c1 ECHO 2 rc=0
        expect c1 ECHOED 2 rc=0
        wait 500
        expect agent phase draining
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        wait 500
        expect c1 nothing
        send c1 FINISH a rc=16
        expect s0 FINISH a
        expect c1 FINISHED a
        expect c1 closed
        wait 100
        expect agent phase drained
    """,
    "a set-up on a draining connection that carries calls is refused; it closes after them": SET_UP
    + """
        operator drain => OK draining
        send c1 START b class=race left=3000 extras=dest:1
        expect c1 FINISH b rc=42
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        send c1 START d class=race left=3000 extras=dest:1
        expect c1 FINISH d rc=42
        expect s1 nothing
        send c1 FINISH a rc=16
        expect c1 FINISHED a
        expect c1 closed
        wait 100
        expect agent phase drained
    """,
    "a set-up on a new connection, sent before its client knew of the drain, is served, then it closes": """
        operator drain => OK draining
        send c2 START b class=race left=3000 extras=dest:1
        expect s1 START b
        send s1 STARTED b blob=answer
        expect c2 STARTED b
        send c2 FINISH b rc=16
        expect c2 FINISHED b
        expect c2 closed
    """,
    "a drain keeps a connection with an established call: its release is sent there": SET_UP
    + """
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1 rc=1
        operator drain => OK draining
        expect c2 closed
        wait 1000
        expect c1 nothing
        expect agent phase draining
        send s0 FINISH a rc=16
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        expect c1 closed
        wait 100
        expect agent phase drained
    """,
    "a call released by its client on another connection lets its own close": SET_UP
    + """
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        operator drain => OK draining
        send c2 FINISH a rc=16
        expect s0 FINISH a
        expect c1 closed
    """,
    "a reload while drained moves discovery all the same": """
        expect bus from 1
        operator drain => OK draining
        expect agent phase drained
        send agent hup bus="10.0.1.2:1"
        expect bus2 from 1
        expect bus closed
        operator resume => OK serving
        expect bus2 nothing
    """,
    "a second drain or resume changes nothing": """
        send c1 ECHO 1 rc=0
        operator drain => OK draining
        operator drain => OK draining already
        expect c1 ECHOED 1 rc=1
        expect c1 closed
        wait 100
        operator drain => OK drained already
        expect agent phase drained
        operator resume => OK serving
        operator resume => OK serving already
        expect agent phase serving
    """,
    "after resume, connections stay": """
        operator drain => OK draining
        operator resume => OK serving
        send c1 START a class=race left=3000 extras=dest:0
        expect s0 START a
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        send c1 ECHO 1 rc=0
        expect c1 ECHOED 1 rc=1
    """,
    "the operators' port answers unknown and malformed commands with ERR": """
        operator restart => ERR unknown call 'restart'
        operator  => ERR no call
        operator PUT drain => OK draining
        operator GET ready => ERR no: drained
    """,
    "SIGTERM during a drain ends the program": SET_UP
    + """
        operator drain => OK draining
        send agent term
        expect agent phase closing
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        wait 1000
        expect agent exit
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_commands_of_the_operators_port(name: str) -> None:
    play(SCENARIOS[name], with_operator_port())


class UpgradedWorld(World):
    """A world whose agent inherits a listening socket from the platform."""

    def make_agent(self) -> Any:
        agent = super().make_agent()
        self.held = socket.socket()
        self.held.bind(("127.0.0.1", 0))
        self.held.listen()
        self.held.setblocking(True)  # as the platform passes it
        agent.inherited_fd = os.dup(self.held.fileno())
        return agent


HANDOVER_SCENARIOS = {
    "on SIGTERM the predecessor stops accepting at once, serves its calls, and ends": SET_UP
    + """
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1 rc=1
        send agent term
        expect agent phase handing over
        expect c2 closed
        send c1 START b class=race left=2000 extras=dest:1
        expect s1 START b
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        send s1 STARTED b blob=answer
        expect c1 STARTED b
        send s0 FINISH a rc=16
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        send s1 FINISH b rc=16
        expect c1 FINISH b rc=16
        send c1 FINISHED b
        expect c1 closed
        wait 200
        expect agent exit
    """,
    "what is still open before SIGKILL is answered": """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
        send agent term
        wait 5450
        expect c1 nothing
        wait 100
        expect c1 FINISH a rc=41
        wait 100
        expect agent exit
    """,
}


@pytest.mark.parametrize("name", HANDOVER_SCENARIOS)
def test_handover(name: str) -> None:
    world: Any = play(HANDOVER_SCENARIOS[name], with_operator_port(), UpgradedWorld)
    assert world.reactor.adopted is not None
    # The flag belongs to the shared socket; Twisted's accept must not block.
    assert not os.get_blocking(world.held.fileno())
    assert world.reactor.factory is None  # the old process stopped listening
    world.held.close()


def operator_port() -> tuple[OperatorPort, ManualClock, Deadlines]:
    clock = ManualClock(0.0)
    deadlines = Deadlines()
    operations: dict[str, Operation] = {
        "ready": lambda rest: ["OK yes"],
        "disable-server": lambda rest: [f"OK {operator.parse_argument(rest)}"],
    }
    return OperatorPort(operations, clock, deadlines), clock, deadlines


class Caller:
    """A connection to the operators' port that keeps what is written."""

    def __init__(self, port: OperatorPort) -> None:
        self.text = b""
        self.closed = False
        self.protocol: Any = port.buildProtocol(None)
        self.protocol.makeConnection(self)  # type: ignore[no-untyped-call]

    def write(self, data: bytes) -> None:
        self.text += data

    def loseConnection(self) -> None:  # noqa: N802 (Twisted's name)
        self.closed = True
        self.protocol.connectionLost(None)

    abortConnection = loseConnection  # noqa: N815


def test_a_caller_without_a_complete_line_is_closed_and_delays_no_other() -> None:
    port, clock, deadlines = operator_port()
    silent = Caller(port)
    silent.protocol.dataReceived(b"rea")
    clock.at = LINE_TIMEOUT_MS - 1.0
    deadlines.run(clock.now())
    other = Caller(port)
    other.protocol.dataReceived(b"ready\r\n")
    assert other.text == b"OK yes\n" and other.closed
    assert not silent.closed
    clock.at = LINE_TIMEOUT_MS
    deadlines.run(clock.now())
    assert silent.closed and silent.text == b""
    assert port.open_count == 0


def test_the_operators_port_limits_lines_and_connections() -> None:
    port, _, _ = operator_port()
    long = Caller(port)
    long.protocol.dataReceived(b"x" * MAX_LINE_BYTES)
    assert long.text == b"ERR line too long\n" and long.closed
    held = [Caller(port) for _ in range(MAX_CONNECTIONS)]
    extra = Caller(port)
    assert extra.text == b"ERR busy\n" and extra.closed
    assert not any(caller.closed for caller in held)


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"disable-server h3", b"OK h3\n"),
        (b'PUT disable-server {"id": "h3"}', b"OK h3\n"),
        (b'disable-server {"id": ""}', b"ERR no id\n"),
        (b"disable-server {broken", b"ERR not JSON\n"),
        (b"disable-server", b"ERR no id\n"),
        (b"disable-server h3 h4", b"ERR one id, not 2\n"),
        (b"\xff\xfe", b"ERR not ASCII\n"),
        (b"show-everything", b"ERR unknown call 'show-everything'; calls: disable-server ready\n"),
    ],
)
def test_commands_and_their_errors(line: bytes, answer: bytes) -> None:
    port, _, _ = operator_port()
    caller = Caller(port)
    caller.protocol.dataReceived(line + b"\n")
    assert caller.text == answer


def test_an_argument_is_a_word_or_json() -> None:
    assert operator.parse_argument(' {"id": 7} ') == "7"
    with pytest.raises(OperatorError):
        operator.parse_argument('{"id": true}')


def test_a_bad_inherited_descriptor_is_named(tmp_path: pathlib.Path) -> None:
    for text in ("five", "-1"):
        with pytest.raises(config.ConfigError, match="PROXY_LISTEN_FD: not a descriptor"):
            config.inherited_listener({"PROXY_LISTEN_FD": text})
    with open(tmp_path / "file", "w") as file, pytest.raises(config.ConfigError, match="PROXY_LISTEN_FD"):
        config.inherited_listener({"PROXY_LISTEN_FD": str(file.fileno())})
    with socket.socket() as unbound, pytest.raises(config.ConfigError, match="not a listening"):
        config.inherited_listener({"PROXY_LISTEN_FD": str(unbound.fileno())})
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        assert config.inherited_listener({"PROXY_LISTEN_FD": str(listening.fileno())}) == listening.fileno()
    assert config.inherited_listener({}) is None


def test_serve_exits_2_on_a_closed_inherited_descriptor(
    tmp_path: pathlib.Path, monkeypatch: Any, capsys: Any
) -> None:
    (tmp_path / "config.json").write_text(__import__("json").dumps(with_operator_port()), encoding="utf-8")
    closed = os.dup(0)
    os.close(closed)
    monkeypatch.setenv("PROXY_LISTEN_FD", str(closed))
    assert cli.main(["serve", "--config", str(tmp_path / "config.json")]) == 2
    lines = capsys.readouterr().err.strip().split("\n")
    assert len(lines) == 1 and "PROXY_LISTEN_FD" in lines[0]


def test_the_address_of_the_operators_port_comes_from_the_environment() -> None:
    loaded = config.read(with_operator_port())
    assert loaded.operator == "10.0.9.1:3"
    assert config.apply_environment(loaded, {"PROXY_OPERATOR": "127.0.0.1:9100"}).operator == "127.0.0.1:9100"
    with pytest.raises(config.ConfigError, match="PROXY_OPERATOR"):
        config.apply_environment(loaded, {"PROXY_OPERATOR": "nowhere"})
    with pytest.raises(config.ConfigError, match="operator"):
        config.read(with_operator_port(operator="nowhere"))


def test_two_processes_hold_the_peers_datagram_port() -> None:
    from twisted.internet.selectreactor import SelectReactor

    from frostport.net.peers import Peers, listen

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
    broker: Any = None
    ports = []
    for _ in range(2):  # the old and the new process during an upgrade
        listen(SelectReactor(), address, Peers(broker, []))
        ports.append(address)
    assert len(ports) == 2


def test_the_schema_has_the_operators_port() -> None:
    import jsonschema

    from tests.test_admission import SCHEMA

    jsonschema.validate(with_operator_port(), SCHEMA)
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(with_operator_port(operator="nowhere"), SCHEMA)


ROTATION_SCENARIOS = {
    "a server taken out gets nothing new after the grace, and calls again once put back": f"""
        operator disable-server h0 => OK h0 out of rotation
        operator disable-server {{"id": "10.0.0.1:1"}} => OK h0 out of rotation
        wait 2100
        send c1 START a class=race left=3000 extras=dest:0
        expect s1 START a
        send bus {event(2, host(0))}
        send c1 START b class=race left=3000 extras=dest:0
        expect s1 START b
        operator enable-server h0 => OK h0 in rotation
        send c1 START c class=race left=3000 extras=dest:0
        expect s0 START c
    """,
    "unknown or missing servers are errors": """
        operator disable-server h9 => ERR unknown server 'h9'
        operator enable-server => ERR no id
        operator enable-server h1 => OK h1 in rotation
    """,
}


@pytest.mark.parametrize("name", ROTATION_SCENARIOS)
def test_rotation(name: str) -> None:
    play(ROTATION_SCENARIOS[name], with_operator_port())


def test_a_server_out_of_rotation_is_unhealthy() -> None:
    from tests.test_metrics import metrics, world_after

    world = world_after("operator disable-server h1 => OK")
    assert metrics(world)["cluster_unhealthy"] == 1
    world.step("operator enable-server h1 => OK")
    assert metrics(world)["cluster_unhealthy"] == 0
