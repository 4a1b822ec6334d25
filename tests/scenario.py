"""A scenario language for tests: an agent on a manual clock, with scripted parties on in-memory transports.

A script has one step per line; `#` begins a comment:
    send WHO MESSAGE      WHO sends it (a client or the event bus connects first; for `bus` and `agent` see
                          below), on the connection of the set-up named in it, or of the one in `on=TAG`
    expect WHO MESSAGE    the next message that WHO received matches in each field given; `nothing`, `closed`;
                          `any MESSAGE`: one that WHO received, for messages on several connections
    close WHO [HOW]       WHO closes its connections; `dead` also refuses new ones, `silent` keeps all open
                          and lets new ones hang, `full` only refuses new ones, `but=TAG` is `dead` except
                          for that set-up's connection, `unheard` is a close that the operating system
                          reports and the agent's reactor does not notice
    operator COMMAND => TEXT
                          the answer of the operators' port to COMMAND begins with TEXT
    wait MS               advances the clock

WHO is c1, c2 (clients), s0, s1 (lobby servers), bus, bus2, p1 (a peer's datagrams) or agent. To the agent,
`send` takes `term` (SIGTERM) and `hup TEXT` or `hup FIELD=JSON` (a reload), and `expect` takes `exit`,
`phase X`, `open N`, `dials N`, and `stopped N` for the sends that the rules stopped. To a party, `send` also
takes `alive`, `mute`, `unmute`, `late` (its new connections open only after `up`), and for a client that
does not read `stuck` and `unstuck`.
"""

from __future__ import annotations

import pathlib
import socket
import tempfile
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, ClassVar

import orjson
from twisted.internet import error
from twisted.python.failure import Failure

from frostport import config
from frostport.agent import Agent
from frostport.core.clock import ManualClock
from frostport.core.lifecycle import Phase
from frostport.net import jsonl
from frostport.net.operator import OperatorPort

START_MS = 1_800_000_000_000.0
MessageFields = dict[str, str]


def failure(kind: Any) -> Any:
    """A Twisted Failure with an exception of this class."""
    untyped: Any = Failure
    return untyped(kind())


class Wire:
    """One end of an in-memory connection: the transport of a Twisted protocol or of an `Actor`.

    Written data is delivered by `World.settle`."""

    def __init__(self, world: World, protocol: Any) -> None:
        self.world = world
        self.protocol = protocol
        self.open = True
        self.other: Wire | None = None
        self.producer: Any = None
        self.paused = False
        self.unread: list[bytes] = []  # received while reading was paused

    def write(self, data: bytes) -> None:
        other = self.other
        if self.open and other is not None:
            self.world.later.append(lambda: other.deliver(data))

    def deliver(self, data: bytes) -> None:
        """Passes data to the protocol of this end, or keeps it while reading is paused."""
        if self.paused:
            self.unread.append(data)
            return
        self.protocol.received_on = self
        self.protocol.dataReceived(data)

    def getPeer(self) -> Any:  # noqa: N802
        return type("Address", (), {"host": getattr(self.other and self.other.protocol, "name", "")})()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        self.producer = producer

    def unregisterProducer(self) -> None:  # noqa: N802
        self.producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.paused = False
        unread, self.unread = self.unread, []
        for data in unread:
            self.world.later.append(partial(self.deliver, data))

    def loseConnection(self) -> None:  # noqa: N802 (Twisted's name)
        """Closes both ends; their protocols learn of it in `World.settle`."""
        for end in (self, self.other):
            if end is not None and end.open:
                end.open = False
                self.world.later.append(partial(end.protocol.connectionLost, failure(error.ConnectionLost)))

    abortConnection = loseConnection  # noqa: N815


class ClosedEnd:
    """The protocol of an end that has closed and ignores all input."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        pass


class Reactor:
    """The part of a Twisted reactor that the agent uses."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.stopped = False
        self.factory: Any = None
        self.operator_port: Any = None
        self.adopted: int | None = None
        self.udp: Any = None

    def callLater(self, delay: float, action: Callable[[], None]) -> Any:  # noqa: N802
        return type("Call", (), {"active": lambda self: False})()  # World runs the deadlines itself

    def listenTCP(self, port: int, factory: Any, **more: Any) -> Reactor:  # noqa: N802
        if isinstance(factory, OperatorPort):
            self.operator_port = factory
        else:
            self.factory = factory
        return self

    def adoptStreamPort(self, descriptor: int, family: int, factory: Any) -> Reactor:  # noqa: N802
        self.adopted = descriptor
        self.factory = factory
        return self

    def listenUDP(self, port: int, protocol: Any, **more: Any) -> None:  # noqa: N802
        self.udp = protocol
        protocol.transport = self.world.actors["p1"]

    def connectTCP(self, host: str, port: int, factory: Any, **more: Any) -> Any:  # noqa: N802
        """Dials in `World.settle`, and returns a connector as Twisted does."""
        self.world.later.append(lambda: self.world.dialed(f"{host}:{port}", factory))
        connector = type(
            "Connector",
            (),
            {
                "getDestination": lambda self: f"{host}:{port}",
                "stopConnecting": lambda self: factory.clientConnectionFailed(self, failure(error.UserError)),
            },
        )()
        factory.startedConnecting(connector)
        return connector

    def stopListening(self) -> None:  # noqa: N802
        self.factory = None

    def stop(self) -> None:
        self.stopped = True


class Actor:
    """A scripted party that speaks JSON lines; for other codecs, override `read` and `encode`."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.wires: list[Any] = []
        self.received_on: Any = None  # the connection of the last message
        self.set_up_wires: dict[str, Any] = {}  # the connection of each set-up
        self.inbox: list[MessageFields] = []
        self.state = "alive"
        self.lines = jsonl.LineSplitter()

    # Twisted's protocol methods

    def connect(self, wire: Any) -> None:
        self.wires.append(wire)
        self.lines = jsonl.LineSplitter()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Adds each message to the inbox, and notes the connection on which a set-up arrived."""
        for line, _ in self.lines.feed(data):
            received = self.read(line)
            self.inbox.append(received)
            if received[""] == "START":
                self.set_up_wires[received["tag"]] = self.received_on

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        self.wires = [wire for wire in self.wires if wire.open]
        if self.inbox[-1:] != [{"": "closed"}]:  # several connections of a server count as one close
            self.inbox.append({"": "closed"})

    def read(self, line: bytes) -> MessageFields:
        """Returns the fields of a received message, with its verb under the empty name."""
        if line.startswith(b"from"):
            return {"": line.decode()}
        message = jsonl.decode(line)
        received = {"": message.verb, "tag": message.tag.lstrip("0"), **message.opts}
        received.update({} if message.rc is None else {"rc": str(message.rc)})
        return {**received, **({} if message.blob is None else {"blob": message.blob})}

    def encode(self, text: str) -> bytes:
        """Encodes MESSAGE of a `send` step: `VERB TAG FIELD=VALUE ...`, a line of the bus, or `raw BYTES`."""
        if text.startswith("raw "):
            return text[4:].encode().decode("unicode_escape").encode("latin-1")
        verb, _, rest = text.partition(" ")
        if verb.startswith("{") or verb.isdigit():
            return text.encode() + b"\n"
        tag, _, rest = rest.partition(" ")
        opts = dict(pair.split("=", 1) for pair in rest.split())
        rc = opts.pop("rc", None)
        blob = opts.pop("blob", "sdp" if verb.startswith("START") else None)
        return jsonl.Message(verb, tag.zfill(16), opts, None if rc is None else int(rc), blob).encode()

    def send(self, text: str) -> None:
        """Performs a `send` step: writes a message, or changes the state of the party."""
        if text in ("alive", "mute", "unmute", "late"):
            self.state = text
            return
        if text == "up":
            self.state = "alive"
            self.world.later += self.world.held_dials.pop(self.name, [])
            return
        if text in ("stuck", "unstuck"):
            producer = self.wires[0].other.producer
            producer.pauseProducing() if text == "stuck" else producer.resumeProducing()
            return
        data = self.encode(text.partition(" on=")[0])
        if not self.wires:
            self.world.accept(self)
        assert self.wires, f"{self.name} has no connection"
        tag = text.rpartition(" on=")[2] if " on=" in text else text.split()[1] if " " in text else ""
        set_up_wire = self.set_up_wires.get(tag)
        wire: Any = set_up_wire if set_up_wire in self.wires else self.wires[0]
        wire.write(data)

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Receives the agent's datagrams, as their transport."""
        self.inbox.append({"": datagram.hex(), "to": f"{address[0]}:{address[1]}"})

    def matches(self, received: MessageFields, text: str) -> bool:
        """Whether a message has the verb, the tag and the fields that `text` names."""
        verb, _, rest = text.partition(" ")
        tag = ""
        if rest and "=" not in rest.split(" ")[0]:
            tag, _, rest = rest.partition(" ")
        wanted = dict(pair.split("=", 1) for pair in rest.split())
        return (
            received[""] in (verb, text)
            and (received[""] == text or not tag or received.get("tag") == tag)
            and all(received.get(key) == value for key, value in wanted.items())
        )

    def may_be_skipped(self, received: MessageFields) -> bool:
        """Whether `expect` may skip this message to find the one it names."""
        return received[""] == "FINISHED"

    def expect(self, text: str) -> None:
        """Performs an `expect` step: removes the message from the inbox, or raises AssertionError."""
        while self.inbox and self.may_be_skipped(self.inbox[0]) and not self.matches(self.inbox[0], text):
            self.inbox.pop(0)
        if text == "nothing":
            assert not self.inbox, f"{self.name} received {self.inbox}"
            return
        if text.startswith("any "):
            found = next((received for received in self.inbox if self.matches(received, text[4:])), None)
            assert found is not None, f"{self.name} received {self.inbox}, not {text[4:]}"
            self.inbox.remove(found)
            return
        assert self.inbox, f"{self.name} received nothing, not {text}"
        assert self.matches(self.inbox[0], text), f"{self.name} received {self.inbox[0]}, not {text}"
        self.inbox.pop(0)

    def close(self, how: str) -> None:
        """Performs a `close` step; `how` becomes the state of the party, which answers later dials."""
        self.state = how or self.state
        if how.startswith("but="):
            # The process is dead, but one of its connections stays open.
            self.state = "dead"
            stays = self.set_up_wires[how[4:]]
            for wire in [wire for wire in self.wires if wire is not stays]:
                self.wires.remove(wire)
                wire.protocol = ClosedEnd()
                wire.loseConnection()
            return
        if how == "unheard":
            for wire in self.wires:
                ours, theirs = socket.socketpair()
                theirs.close()
                wire.other.fileno = ours.fileno
                wire.other.kept = ours
            return
        stay = how in ("silent", "full")
        wires, self.wires = ([], self.wires) if stay else (self.wires, [])
        for wire in wires:
            wire.protocol = ClosedEnd()
            wire.loseConnection()


class World:
    """The agent, its clock and all parties that it talks to."""

    actor: type[Actor] = Actor
    reactor_kind: type[Reactor] = Reactor
    addresses: ClassVar = {"10.0.0.1:1": "s0", "10.0.0.2:1": "s1", "10.0.1.1:1": "bus", "10.0.1.2:1": "bus2"}

    def __init__(self, record: dict[str, Any]) -> None:
        self.dials = 0
        self.held_dials: dict[str, list[Callable[[], Any]]] = {}  # those to parties that are `late`
        self.record = record
        self.clock = ManualClock(START_MS)
        self.later: list[Callable[[], Any]] = []  # deliveries and dials due in the next `settle`
        self.actors = {name: self.actor(self, name) for name in ("c1", "c2", "s0", "s1", "bus", "bus2", "p1")}
        self.reactor = self.reactor_kind(self)
        self.begin()

    def begin(self) -> None:
        """Starts the agent; subclasses prepare their parties first."""
        self.agent = self.make_agent()
        self.agent.start()
        self.settle()

    def make_agent(self) -> Agent:
        return Agent(config.read(self.record), self.reactor, self.clock)

    def settle(self) -> None:
        """Delivers what was written, until nothing is left."""
        while self.later:
            self.later.pop(0)()
            self.agent.deadlines.run(self.clock.now())

    def join(self, actor: Actor, protocol: Any) -> None:
        """Connects a party with a protocol of the agent."""
        ours = Wire(self, protocol)
        theirs = Wire(self, actor)
        ours.other = theirs
        theirs.other = ours
        actor.connect(theirs)
        protocol.makeConnection(ours)

    def accept(self, actor: Actor) -> None:
        """A party connects to the agent's listening port."""
        assert self.reactor.factory is not None, "nobody listens"
        self.join(actor, self.reactor.factory.buildProtocol(None))

    def dialed(self, address: str, factory: Any) -> None:
        """The agent has dialed: the party at the address accepts, refuses or ignores it, by its state."""
        actor = self.actors[self.addresses[address]]
        self.dials += 1
        if actor.state == "late":
            self.held_dials.setdefault(actor.name, []).append(partial(self.dialed, address, factory))
        elif actor.state in ("dead", "full"):
            factory.clientConnectionFailed(None, failure(error.ConnectionRefusedError))
        elif actor.state != "silent":
            self.join(actor, factory.buildProtocol(None))

    def wait(self, ms: float) -> None:
        """Advances the clock by `ms`, and runs each deadline of the agent at its own time."""
        end = self.clock.at + ms
        while (at := self.agent.deadlines.next_ms()) is not None and at <= end:
            self.clock.at = max(self.clock.at, at)
            self.agent.deadlines.run(self.clock.now())
            self.settle()
        self.clock.at = end

    def ask(self, line: str) -> str:
        """Sends one command to the operators' port; returns the answer."""
        assert self.reactor.operator_port is not None, "no operators' port"
        connection = self.reactor.operator_port.buildProtocol(None)
        answer = type("Answer", (), {"text": b"", "closed": False})()
        connection.makeConnection(
            type(
                "Transport",
                (),
                {
                    "write": lambda _, data: setattr(answer, "text", answer.text + data),
                    "loseConnection": lambda _: setattr(answer, "closed", True),
                    "abortConnection": lambda _: setattr(answer, "closed", True),
                },
            )()
        )
        connection.dataReceived(line.encode() + b"\n")
        assert answer.closed, "the operators' port did not close the connection"
        connection.connectionLost(None)
        self.settle()
        return str(answer.text.decode())

    def reload(self, text: str) -> None:
        """Replaces the configuration by a text, or changes one field, and reloads as on SIGHUP."""
        field, _, value = text.partition("=")
        changed = orjson.dumps({**self.record, field: orjson.loads(value)}) if value else text.encode()
        with tempfile.TemporaryDirectory() as folder:
            self.agent.path = pathlib.Path(folder) / "config.json"
            if text != "missing":
                self.agent.path.write_bytes(changed)
            self.agent.reload()

    def step(self, line: str) -> None:
        """Performs one step of a script. Raises AssertionError if an expectation is not met."""
        verb, who, rest = (*line.split(" ", 2), "")[:3]
        match verb, who:
            case "wait", _:
                self.wait(float(who))
            case "send", "agent" if rest.startswith("hup"):
                self.reload(rest[4:])
            case "send", "agent":
                self.agent.terminate()
            case "operator", _:
                command, _, wanted = f"{who} {rest}".partition(" => ")
                answer = self.ask(command)
                assert answer.startswith(wanted), f"the operators' port answered {answer!r}, not {wanted!r}"
                return
            case "expect", "agent":
                facts = {
                    "exit": self.agent.lifecycle.phase is Phase.STOPPED and self.reactor.stopped,
                    f"phase {self.agent.lifecycle.phase.value}": True,
                    f"stopped {self.agent.rules.violations.total()}": True,
                    f"open {self.agent.broker.open_count}": True,
                    f"dials {self.dials}": True,
                }
                assert facts.get(rest), f"agent is in {facts}"
            case "send", "p1":
                self.reactor.udp.datagramReceived(bytes.fromhex(rest), ("10.0.2.2", 1))
            case "send", _:
                self.actors[who].send(rest)
            case "expect", _:
                self.actors[who].expect(rest)
            case "close", _:
                self.actors[who].close(rest)
            case _:
                raise ValueError(f"no such step: {line}")
        self.settle()


def lines(script: str) -> Iterator[tuple[int, str]]:
    """The steps of a script with their line numbers."""
    for number, line in enumerate(script.strip().split("\n"), start=1):
        if line.strip() and not line.strip().startswith("#"):
            yield number, line.strip()


def play(script: str, record: dict[str, Any], world: type[World] = World) -> World:
    """Plays a scenario; the rules must have stopped no send, unless it expects so itself."""
    played = world(record)
    for number, line in lines(script):
        try:
            played.step(line)
        except AssertionError as problem:
            raise AssertionError(f"step {number}: {line}: {problem}") from None
    if "expect agent stopped" not in script:
        assert played.agent.rules.violations.total() == 0
    handles = {request.handle for request in played.agent.broker.requests}
    assert handles == set(played.agent.broker.handles_by_id.values())
    return played


def host(
    number: int, health: str = "ready", born: float = 0.0, dial: int | None = None, name: str = ""
) -> dict[str, Any]:
    """A server's entry in an event of the bus; `dial` is the number in its dial address, if another one."""
    dial_address = f"10.0.0.{(number if dial is None else dial) + 1}:1"
    return {
        "host": name or f"h{number}",
        "dial": dial_address,
        "site": "east",
        "class": "std",
        "block": number,
        "health": health,
        "share": 4,
        "born_ms": born,
    }


def event(offset: int, *hosts: dict[str, Any], whole: bool = False) -> str:
    """An event of the bus as a line of JSON; `whole` if it carries the complete list."""
    return orjson.dumps(
        {"offset": offset, "topology": {"seq": offset, "whole": whole, "hosts": list(hosts)}}
    ).decode()


def known(*hosts: dict[str, Any]) -> dict[str, Any]:
    """The entry `known` of a configuration: one event, with the complete list."""
    return {"offset": 1, "batch": [orjson.loads(event(1, *hosts, whole=True))]}


SETTINGS: dict[str, Any] = {
    "services": [{"name": "race", "aim-ms": 1500.0, "deadline-ms": 9000.0, "late-worth": 0.1}],
    "caps": {
        "try-limit": 4,
        "may-cancel": True,
        "connect-timeout-ms": 500.0,
        "peers": False,
        "probes": False,
        "retry-after": False,
    },
    "family-info": {
        "topology": "pools",
        "pools-by-class": [[0, 1]],
        "holding-ms": [9000.0],
        "release-guard-ms": 500.0,
        "retransmit-ms": 400.0,
    },
    "report": {"columns": ["free", "size", "can_take"]},
    "me": 0,
    "siblings": 2,
    "rules": {
        "drain-grace-ms": 2000.0,
        "cold-from": 0.34,
        "cold-ms": 15000.0,
        "fall-multiple": 3.0,
        "fall-ms": 2000.0,
    },
}


def platform(**caps: Any) -> dict[str, Any]:
    """A configuration for the platform, with some `caps` changed."""
    return {
        "name": "n0",
        "listen": "10.0.9.1:1",
        "seed": "0a",
        "limits": {"sockets": 64},
        "bus": "10.0.1.1:1",
        "peer_listen": "10.0.9.1:2",
        "peers": ["10.0.2.1:1", "10.0.2.2:1"],
        "known": known(host(0), host(1)),
        "settings": {**SETTINGS, "caps": {**SETTINGS["caps"], **caps}},
    }
