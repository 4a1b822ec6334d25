"""A scripted upstream server on the platform's wire, whose process and links can fail.

Each agent reaches it on a port of its own, so that the link to one agent can fail by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from standins.faults import reset
from standins.lobby import encode
from standins.ports import free_ports
from trials.diameter import Codec
from trials.history import History, Kind
from trials.pieces import Pieces

NORMAL, BUSY, FULL = 16, 17, 34  # causes of a FINISH
UNREAD_S = 1.0  # an answer written so shortly before its connection broke is told again on the next one
THAW_S = 0.02  # for a close by the agent to be noticed, before what was held is written


@dataclass
class Behaviour:
    """How a server treats calls. Times in seconds, shares from 0 to 1."""

    answer_s: float = 0.02  # mean time to an answer
    hold_s: float = 4.0  # mean time that a call stands
    full_share: float = 0.02
    error_share: float = 0.02
    ends_share: float = 0.5  # of the calls that stand, those that the server ends
    mute_share: float = 0.0  # set-ups that are never answered
    early_end_share: float = 0.0  # ends that are written beside the answer, in one segment
    pieces: bool = False  # lines are written in two parts
    double_share: float = 0.0  # answers that are written twice
    reports_each: bool = False  # state reports come on each connection at its own time, not on all at once


class Stage(StrEnum):
    """Where a call is at the server."""

    OUT = "out"
    STANDING = "standing"


@dataclass
class ServerCall:
    """One call at the server."""

    stage: Stage
    link: Link
    timer: asyncio.TimerHandle | None = None


@dataclass
class Process:
    """What a server's process knows; a new process knows nothing."""

    number: int = 1
    calls: dict[str, ServerCall] = field(default_factory=dict)
    unconfirmed: dict[str, str] = field(default_factory=dict)  # ended here and not confirmed: its agent
    links: list[Link] = field(default_factory=list)
    unheard: dict[str, tuple[str, bytes]] = field(default_factory=dict)  # answers to tell again: agent, line


class Link(asyncio.Protocol):
    """One connection of an agent."""

    def __init__(self, server: Server, agent: str) -> None:
        self.server, self.agent = server, agent
        self.process = server.process
        self.transport: Any = None
        self.rest = b""
        self.held: list[tuple[bytes, str]] = []  # written while the link is cut; the call that it ends, or ""
        self.ends: set[str] = set()  # calls whose release was written here
        self.answers: dict[str, float] = {}  # calls whose answer was written here: when
        self.closed = False
        self.pieces = Pieces()
        self.codec = Codec(server.name, False, server.process.number) if server.diameter else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.server.connected(self)
        if self.codec is None:
            self.server.greet(self)

    def data_received(self, data: bytes) -> None:
        if self.codec is not None:
            self._diameter_received(self.codec, data)
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            with contextlib.suppress(ValueError, KeyError):
                self.server.heard(self, json.loads(line))

    def _diameter_received(self, codec: Codec, data: bytes) -> None:
        was_open = codec.open
        heard = codec.feed(data)
        self._write_bytes(heard.replies)
        if codec.open and not was_open:
            self.server.greet(self)
        for message in heard.messages:
            self.server.heard(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.server.disconnected(self)

    def write(self, data: bytes, ends: str = "") -> None:
        """Writes, or holds it while the link is cut; `ends` names a call whose release this is."""
        if self.closed:
            return
        if self.server.cut_off(self.agent):
            self.held.append((data, ends))
            return
        if self.codec is not None:
            data = self.codec.encode(data)
        wait_s = self._write_bytes(data)
        if ends and wait_s:
            asyncio.get_running_loop().call_later(wait_s, self._end_written, ends)
        elif ends:
            self._end_written(ends)

    def _write_bytes(self, data: bytes) -> float:
        """Writes now, or in pieces; the seconds until the last byte is written."""
        if self.server.behaviour.pieces and data:
            return self.pieces.write(self.transport, data)
        self.transport.write(data)
        return 0.0

    def _end_written(self, call: str) -> None:
        if not self.closed:
            self.ends.add(call)
            self.server.history.add(Kind.END_WRITTEN, self.server.name, call=call, server=self.server.name)

    def freeze(self) -> None:
        """Reads nothing more until `thaw`."""
        if not self.closed:
            self.transport.pause_reading()

    def thaw(self) -> None:
        """Reads again; what was held goes out, unless the agent has closed meanwhile."""
        if not self.closed:
            self.transport.resume_reading()
            asyncio.get_running_loop().call_later(THAW_S, self._write_held)

    def _write_held(self) -> None:
        held, self.held = self.held, []
        for data, ends in held:
            self.write(data, ends)

    def abort(self) -> None:
        """Closes with a reset."""
        if self.closed:
            return
        reset(self.transport)


class Door:
    """A listening port for one agent. While it is closed to new ones, connections to it never come up."""

    def __init__(self, server: Server, agent: str) -> None:
        self.server, self.agent = server, agent
        self.socket: socket.socket | None = None
        self.port = free_ports(1)[0]
        self.fillers: list[socket.socket] = []
        self.accepting: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Listens, on the same port as before if there was one."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", self.port))
        listening.listen(0)
        listening.setblocking(False)
        self.socket, self.port = listening, int(listening.getsockname()[1])
        self.accept()

    def accept(self) -> None:
        """Accepts new connections, if it listens."""
        if self.socket is not None and self.accepting is None:
            self.socket.listen(64)
            self.accepting = asyncio.ensure_future(self._accept(self.socket))

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, address = await loop.sock_accept(listening)
            if any(address == filler.getsockname() for filler in self.fillers):
                connection.close()
                continue
            await loop.connect_accepted_socket(lambda: Link(self.server, self.agent), connection)

    def hang(self) -> None:
        """Accepts nothing more: the queue of the system is filled, so that what is dialled waits for ever."""
        if self.accepting is None or self.socket is None:
            return
        self.accepting.cancel()
        self.accepting = None
        self.socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def resume(self) -> None:
        """Accepts again."""
        self.accept()
        asyncio.get_running_loop().call_later(0.5, self._drop_fillers)

    def _drop_fillers(self) -> None:
        fillers, self.fillers = self.fillers, []
        for filler in fillers:
            filler.close()

    def close(self) -> None:
        """Refuses from now on."""
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if self.socket is not None:
            self.socket.close()
            self.socket = None
        self._drop_fillers()


class Server:
    """One upstream server."""

    def __init__(
        self,
        name: str,
        history: History,
        chance: random.Random,
        behaviour: Behaviour,
        agents: list[str],
        diameter: bool = False,
    ) -> None:
        """`diameter`: whether it is a Diameter peer, or speaks the platform's lines."""
        self.name, self.history, self.chance, self.behaviour = name, history, chance, behaviour
        self.process = Process()
        self.diameter = diameter
        self.doors = {agent: Door(self, agent) for agent in agents}
        self.vanished = False
        self.hung = False
        self.cut: set[str] = set()  # agents whose link to it is cut
        self.answers = 0
        self.descriptions: dict[str, bytes] = {}  # the answer to each call

    def start(self) -> dict[str, int]:
        """Listens; the port for each agent."""
        for door in self.doors.values():
            door.open()
        return {agent: door.port for agent, door in self.doors.items()}

    def stop(self) -> None:
        """Ends everything without a further event."""
        for door in self.doors.values():
            door.close()
        for link in list(self.process.links):
            link.transport.abort()

    def tell_left(self) -> None:
        """Records the calls that still stand."""
        for tag, call in self.process.calls.items():
            if call.stage is Stage.STANDING:
                self.history.add(Kind.LEFT, self.name, call=tag, server=self.name)

    def cut_off(self, agent: str) -> bool:
        """Whether nothing passes between it and this agent."""
        return self.vanished or self.hung or agent in self.cut

    # Faults

    def vanish(self) -> None:
        """The machine is gone: open connections stay silent, new ones never come up."""
        self._unreachable("vanished")
        self.vanished = True
        self._cut_calls()
        self._freeze()

    def come_back(self) -> None:
        """A vanished machine returns with a new process at its address."""
        for link in list(self.process.links):
            link.abort()
        self.process = Process(self.process.number + 1)
        self.vanished = False
        for door in self.doors.values():
            door.resume()
        self.history.add(Kind.REACHABLE, self.name)

    def cut_links(self, agents: list[str] | None = None) -> None:
        """Cuts the links to these agents, or to all; the process and its calls go on."""
        for agent in agents or list(self.doors):
            self.cut.add(agent)
            self.history.add(Kind.UNREACHABLE, self.name, text=agent)
            self.doors[agent].hang()
        for link in self.process.links:
            if link.agent in self.cut:
                link.freeze()

    def mend_links(self) -> None:
        """All links pass again what they hold."""
        mended, self.cut = self.cut, set()
        for agent in mended:
            self.doors[agent].resume()
            self.history.add(Kind.REACHABLE, self.name, text=agent)
        for link in list(self.process.links):
            if link.agent in mended:
                link.thaw()

    def hang(self) -> None:
        """The process reads, writes and ends nothing until `wake`; the system still accepts for it."""
        self._unreachable("hung")
        self.hung = True
        for link in self.process.links:
            link.freeze()
        for door in self.doors.values():
            if door.accepting is not None:
                door.accepting.cancel()
                door.accepting = None

    def wake(self) -> None:
        """A hung process goes on."""
        self.hung = False
        for link in list(self.process.links):
            link.thaw()
        for door in self.doors.values():
            door.accept()
        self.history.add(Kind.REACHABLE, self.name)

    def crash(self) -> None:
        """The process dies: its connections are reset, its calls cut, new connections refused."""
        self._cut_calls()
        for door in self.doors.values():
            door.close()
        for link in list(self.process.links):
            link.abort()
        self.process = Process(self.process.number + 1)

    def restart(self) -> None:
        """A new process at the same address."""
        for door in self.doors.values():
            door.open()

    def reset_connections(self, idle_only: bool = False) -> None:
        """Breaks the connections; calls that stand go on."""
        busy = {call.link for call in self.process.calls.values() if call.stage is Stage.OUT}
        for link in list(self.process.links):
            if not (idle_only and link in busy):
                link.abort()

    def _unreachable(self, why: str) -> None:
        self.history.add(Kind.UNREACHABLE, self.name, text="")
        self.history.add(Kind.FAULT, self.name, text=why)

    def _freeze(self) -> None:
        for link in self.process.links:
            link.freeze()
        for door in self.doors.values():
            door.hang()

    def _cut_calls(self) -> None:
        for tag, call in self.process.calls.items():
            if call.timer is not None:
                call.timer.cancel()
            over = Kind.CUT if call.stage is Stage.STANDING else Kind.CONNECTION_ENDED
            self.history.add(over, self.name, call=tag, server=self.name)
        self.process.calls.clear()

    # Connections

    def connected(self, link: Link) -> None:
        """A connection is up."""
        self.process.links.append(link)
        if self.cut_off(link.agent):
            link.freeze()

    def greet(self, link: Link) -> None:
        """The first line on a connection is the server's state, then comes what is still unconfirmed."""
        link.write(self._report())
        unheard = {tag: line for tag, (agent, line) in self.process.unheard.items() if agent == link.agent}
        for tag, line in unheard.items():
            del self.process.unheard[tag]
            if tag in self.process.calls:
                link.answers[tag] = self.history.now()
                link.write(line)
        for tag, agent in list(self.process.unconfirmed.items()):
            if agent == link.agent:
                link.write(encode("FINISH", tag, rc=NORMAL), ends=tag)

    def disconnected(self, link: Link) -> None:
        """A connection broke, by either side: its set-ups are given up, calls that stand are not its own."""
        if link in link.process.links:
            link.process.links.remove(link)
        if link.process is not self.process:
            return
        for tag, answered_at in link.answers.items():
            if answered_at > self.history.now() - UNREAD_S and tag in self.process.calls:
                self.process.unheard[tag] = (link.agent, self.descriptions[tag])
        for tag in link.ends & self.process.unconfirmed.keys():
            self.history.add(Kind.END_LOST, self.name, call=tag, server=self.name)
        for tag, call in list(self.process.calls.items()):
            if call.link is link and call.stage is Stage.OUT:
                if call.timer is not None:
                    call.timer.cancel()
                del self.process.calls[tag]
                self.history.add(Kind.CONNECTION_ENDED, self.name, call=tag, server=self.name)

    def _report(self) -> bytes:
        standing = sum(call.stage is Stage.STANDING for call in self.process.calls.values())
        return encode("LOAD", "0" * 16, load=f"x0:{max(0, 400 - standing)};x1:400;qps:200")

    def report(self) -> None:
        """Tells its state on the open connections."""
        for link in list(self.process.links):
            if self.behaviour.reports_each:
                wait_s = self.chance.uniform(0.0, 1.0)
                asyncio.get_running_loop().call_later(wait_s, self._report_on, link)
            else:
                link.write(self._report())

    def _report_on(self, link: Link) -> None:
        link.write(self._report())

    # Calls

    def heard(self, link: Link, message: dict[str, Any]) -> None:
        """One line of an agent."""
        if link.process is not self.process:
            return
        tag, process = str(message["tag"]), self.process
        match message["verb"]:
            case "START":
                self._set_up(link, tag)
            case "FINISH":
                self.history.add(Kind.WITHDRAWN, self.name, call=tag, server=self.name)
                call = process.calls.pop(tag, None)
                if call is not None and call.timer is not None:
                    call.timer.cancel()
                link.write(encode("FINISHED", tag))
            case "FINISHED":
                process.unconfirmed.pop(tag, None)
            case "ECHO" if message.get("rc") == 1:
                link.write(encode("ECHOED", tag, rc=1, load="x0:100;x1:400;qps:200"))
            case "ECHO":
                link.write(encode("ECHOED", tag, rc=1))

    def _set_up(self, link: Link, tag: str) -> None:
        self.history.add(Kind.REACHED, self.name, call=tag, server=self.name)
        call = self.process.calls[tag] = ServerCall(Stage.OUT, link)
        if self.chance.random() < self.behaviour.mute_share:
            return
        wait_s = self.chance.expovariate(1.0 / self.behaviour.answer_s)
        call.timer = asyncio.get_running_loop().call_later(wait_s, self._decide, tag, call)

    def _decide(self, tag: str, call: ServerCall) -> None:
        if self.process.calls.get(tag) is not call:
            return
        if self.cut_off(call.link.agent):
            call.timer = asyncio.get_running_loop().call_later(0.1, self._decide, tag, call)
            return
        draw = self.chance.random()
        if draw < self.behaviour.full_share:
            self._refuse(tag, call, FULL)
        elif draw < self.behaviour.full_share + self.behaviour.error_share:
            self._refuse(tag, call, BUSY)
        else:
            self._answer(tag, call)

    def _refuse(self, tag: str, call: ServerCall, cause: int) -> None:
        del self.process.calls[tag]
        call.link.write(encode("FINISH", tag, rc=cause, note="swamped" if cause == FULL else ""))
        self.history.add(Kind.REPLIED, self.name, call=tag, server=self.name, text=str(cause))

    def _answer(self, tag: str, call: ServerCall) -> None:
        call.stage = Stage.STANDING
        self.answers += 1
        description = f"{self.name} made {self.answers} for {tag}"
        answer = self.descriptions[tag] = encode("STARTED", tag, blob=description)
        call.link.answers[tag] = self.history.now()
        if self.chance.random() < self.behaviour.double_share:
            answer += answer
        self.history.add(Kind.REPLIED, self.name, call=tag, server=self.name, text=description)
        if self.chance.random() < self.behaviour.early_end_share:
            answer += encode("FINISH", tag, rc=NORMAL)
            del self.process.calls[tag]
            self.process.unconfirmed[tag] = call.link.agent
            self.history.add(Kind.ENDED, self.name, call=tag, server=self.name)
            call.link.write(answer, ends=tag)
            return
        call.link.write(answer)
        if self.chance.random() < self.behaviour.ends_share:
            hold_s = self.chance.expovariate(1.0 / self.behaviour.hold_s)
            call.timer = asyncio.get_running_loop().call_later(hold_s, self._end, tag, call)
        self.report()

    def _end(self, tag: str, call: ServerCall) -> None:
        if self.process.calls.get(tag) is not call:
            return
        if self.hung:
            call.timer = asyncio.get_running_loop().call_later(0.1, self._end, tag, call)
            return
        del self.process.calls[tag]
        self.process.unconfirmed[tag] = call.link.agent
        self.history.add(Kind.ENDED, self.name, call=tag, server=self.name)
        link: Link | None = call.link
        if call.link.closed:
            same = [at for at in self.process.links if at.agent == call.link.agent]
            link = same[0] if same else None
        if link is not None:
            link.write(encode("FINISH", tag, rc=NORMAL), ends=tag)
        self.report()
