"""A scripted upstream server on the platform's wire, whose process and links can fail.

Each agent reaches it on a port of its own, so that the link to a single agent can fail. The server runs in
the process of the trial; its own `Process` is the state that a crash loses.
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
from trials.split_writer import SplitWriter

# Causes of a FINISH.
NORMAL_CAUSE = 16
BUSY_CAUSE = 17
FULL_CAUSE = 34
# Answers written within this time before a disconnect may be unread, so they are resent.
RESEND_WINDOW_S = 1.0
RESUME_WRITE_DELAY_S = 0.02  # lets a close by the agent be noticed before held data is written


@dataclass
class ServerBehaviour:
    """How a server behaves. Times in seconds, shares from 0 to 1."""

    answer_s: float = 0.02  # mean time to an answer
    hold_s: float = 4.0  # mean time after which it ends an established call
    full_share: float = 0.02  # set-ups refused because the server is full
    error_share: float = 0.02  # set-ups refused with another cause
    ends_share: float = 0.5  # of the established calls, those that the server ends
    mute_share: float = 0.0  # set-ups that are never answered
    early_end_share: float = 0.0  # answers with the end of the call in the same write
    split_writes: bool = False  # each line is written in two parts
    duplicate_share: float = 0.0  # answers that are written twice
    staggered_reports: bool = False  # load reports go out on each connection at its own time


class Stage(StrEnum):
    """State of a call at the server."""

    PENDING = "out"
    ESTABLISHED = "standing"


@dataclass
class ServerCall:
    """One call at the server."""

    stage: Stage
    link: Link
    timer: asyncio.TimerHandle | None = None


@dataclass
class Process:
    """The state of a server's process; a new process starts empty."""

    number: int = 1
    calls: dict[str, ServerCall] = field(default_factory=dict)
    # The agent by call, of ended calls whose release is not confirmed.
    pending_releases: dict[str, str] = field(default_factory=dict)
    links: list[Link] = field(default_factory=list)
    answers_to_resend: dict[str, tuple[str, bytes]] = field(default_factory=dict)  # agent and line by call


class Link(asyncio.Protocol):
    """One connection of an agent."""

    def __init__(self, server: Server, agent: str) -> None:
        self.server = server
        self.agent = agent
        self.process = server.process
        self.transport: Any = None
        self.partial_line = b""
        # Writes while the link is cut: the data and the call that they release, or "".
        self.held_writes: list[tuple[bytes, str]] = []
        self.releases_written: set[str] = set()  # calls whose release was written here
        self.answered_at: dict[str, float] = {}  # when the answer to each call was written here
        self.closed = False
        self.split_writer = SplitWriter()
        self.codec = Codec(server.name, False, server.process.number) if server.diameter else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.server.link_connected(self)
        if self.codec is None:
            self.server.greet(self)

    def data_received(self, data: bytes) -> None:
        if self.codec is not None:
            self._diameter_received(self.codec, data)
            return
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            with contextlib.suppress(ValueError, KeyError):
                self.server.message_received(self, json.loads(line))

    def _diameter_received(self, codec: Codec, data: bytes) -> None:
        was_open = codec.open
        received = codec.feed(data)
        self._write_bytes(received.replies)
        if codec.open and not was_open:
            self.server.greet(self)
        for message in received.messages:
            self.server.message_received(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.server.link_disconnected(self)

    def write(self, data: bytes, ends: str = "") -> None:
        """Writes data, or holds it while the link is cut; `ends` names the call that it releases, if any."""
        if self.closed:
            return
        if self.server.is_cut_off(self.agent):
            self.held_writes.append((data, ends))
            return
        if self.codec is not None:
            data = self.codec.encode(data)
        wait_s = self._write_bytes(data)
        if ends and wait_s:
            asyncio.get_running_loop().call_later(wait_s, self._release_written, ends)
        elif ends:
            self._release_written(ends)

    def _write_bytes(self, data: bytes) -> float:
        """Writes at once or in two parts; returns the seconds until the last byte is written."""
        if self.server.behaviour.split_writes and data:
            return self.split_writer.write(self.transport, data)
        self.transport.write(data)
        return 0.0

    def _release_written(self, call: str) -> None:
        if not self.closed:
            self.releases_written.add(call)
            self.server.history.add(Kind.END_WRITTEN, self.server.name, call=call, server=self.server.name)

    def pause(self) -> None:
        """Stops reading until `resume`."""
        if not self.closed:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Reads again and writes held data, unless the agent has closed the connection meanwhile."""
        if not self.closed:
            self.transport.resume_reading()
            asyncio.get_running_loop().call_later(RESUME_WRITE_DELAY_S, self._write_held)

    def _write_held(self) -> None:
        held_writes, self.held_writes = self.held_writes, []
        for data, ends in held_writes:
            self.write(data, ends)

    def abort(self) -> None:
        """Closes the connection with a reset."""
        if self.closed:
            return
        reset(self.transport)


class Listener:
    """A listening port for one agent, which can refuse connections or leave them pending."""

    def __init__(self, server: Server, agent: str) -> None:
        self.server = server
        self.agent = agent
        self.socket: socket.socket | None = None
        self.port = free_ports(1)[0]
        self.fillers: list[socket.socket] = []
        self.accept_task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Listens, always on the same port."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", self.port))
        listening.listen(0)
        listening.setblocking(False)
        self.socket = listening
        self.port = int(listening.getsockname()[1])
        self.accept()

    def accept(self) -> None:
        """Accepts new connections if it is open."""
        if self.socket is not None and self.accept_task is None:
            self.socket.listen(64)
            self.accept_task = asyncio.ensure_future(self._accept(self.socket))

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, address = await loop.sock_accept(listening)
            if any(address == filler.getsockname() for filler in self.fillers):
                connection.close()
                continue
            await loop.connect_accepted_socket(lambda: Link(self.server, self.agent), connection)

    def block(self) -> None:
        """Accepts nothing more; fills the accept queue, so that new connections stay pending."""
        if self.accept_task is None or self.socket is None:
            return
        self.accept_task.cancel()
        self.accept_task = None
        self.socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def unblock(self) -> None:
        """Accepts again; the connections that filled the queue are dropped later."""
        self.accept()
        asyncio.get_running_loop().call_later(0.5, self._drop_fillers)

    def _drop_fillers(self) -> None:
        fillers, self.fillers = self.fillers, []
        for filler in fillers:
            filler.close()

    def close(self) -> None:
        """Closes the port, so that connections are refused."""
        if self.accept_task is not None:
            self.accept_task.cancel()
            self.accept_task = None
        if self.socket is not None:
            self.socket.close()
            self.socket = None
        self._drop_fillers()


class Server:
    """One upstream server, over the restarts of its process."""

    def __init__(
        self,
        name: str,
        history: History,
        rng: random.Random,
        behaviour: ServerBehaviour,
        agents: list[str],
        diameter: bool = False,
    ) -> None:
        """`diameter`: whether it is a Diameter peer rather than a lobby server."""
        self.name = name
        self.history = history
        self.rng = rng
        self.behaviour = behaviour
        self.process = Process()
        self.diameter = diameter
        self.listeners = {agent: Listener(self, agent) for agent in agents}
        self.vanished = False
        self.hung = False
        self.cut_agents: set[str] = set()  # agents whose links are cut
        self.answer_count = 0
        self.descriptions: dict[str, bytes] = {}  # the answer line by call

    def start(self) -> dict[str, int]:
        """Opens the listeners; returns the port by agent."""
        for listener in self.listeners.values():
            listener.open()
        return {agent: listener.port for agent, listener in self.listeners.items()}

    def stop(self) -> None:
        """Closes listeners and connections without recording an event."""
        for listener in self.listeners.values():
            listener.close()
        for link in list(self.process.links):
            link.transport.abort()

    def record_left_calls(self) -> None:
        """Records the calls that are still established."""
        for tag, call in self.process.calls.items():
            if call.stage is Stage.ESTABLISHED:
                self.history.add(Kind.LEFT, self.name, call=tag, server=self.name)

    def is_cut_off(self, agent: str) -> bool:
        """Whether nothing passes between the server and this agent."""
        return self.vanished or self.hung or agent in self.cut_agents

    # Faults

    def vanish(self) -> None:
        """Loses the machine: open connections stay silent, new ones are never established, calls are lost."""
        self._record_unreachable("vanished")
        self.vanished = True
        self._lose_calls()
        self._pause_links()

    def come_back(self) -> None:
        """Starts a new process at the address of the vanished machine; the old connections are reset."""
        for link in list(self.process.links):
            link.abort()
        self.process = Process(self.process.number + 1)
        self.vanished = False
        for listener in self.listeners.values():
            listener.unblock()
        self.history.add(Kind.REACHABLE, self.name)

    def cut_links(self, agents: list[str] | None = None) -> None:
        """Cuts the links to some agents, or to all; the process and its calls continue."""
        for agent in agents or list(self.listeners):
            self.cut_agents.add(agent)
            self.history.add(Kind.UNREACHABLE, self.name, text=agent)
            self.listeners[agent].block()
        for link in self.process.links:
            if link.agent in self.cut_agents:
                link.pause()

    def restore_links(self) -> None:
        """Restores all cut links; held data is delivered."""
        restored, self.cut_agents = self.cut_agents, set()
        for agent in restored:
            self.listeners[agent].unblock()
            self.history.add(Kind.REACHABLE, self.name, text=agent)
        for link in list(self.process.links):
            if link.agent in restored:
                link.resume()

    def hang(self) -> None:
        """Stops reading, writing and ending calls until `wake`; the kernel still accepts connections."""
        self._record_unreachable("hung")
        self.hung = True
        for link in self.process.links:
            link.pause()
        for listener in self.listeners.values():
            if listener.accept_task is not None:
                listener.accept_task.cancel()
                listener.accept_task = None

    def wake(self) -> None:
        """Lets a hung process continue."""
        self.hung = False
        for link in list(self.process.links):
            link.resume()
        for listener in self.listeners.values():
            listener.accept()
        self.history.add(Kind.REACHABLE, self.name)

    def crash(self) -> None:
        """Kills the process: its connections are reset, its calls lost, new connections refused."""
        self._lose_calls()
        for listener in self.listeners.values():
            listener.close()
        for link in list(self.process.links):
            link.abort()
        self.process = Process(self.process.number + 1)

    def restart(self) -> None:
        """Starts a new process at the same address."""
        for listener in self.listeners.values():
            listener.open()

    def reset_connections(self, idle_only: bool = False) -> None:
        """Resets the connections, or only those without outstanding attempts; established calls continue."""
        busy = {call.link for call in self.process.calls.values() if call.stage is Stage.PENDING}
        for link in list(self.process.links):
            if not (idle_only and link in busy):
                link.abort()

    def _record_unreachable(self, why: str) -> None:
        self.history.add(Kind.UNREACHABLE, self.name, text="")
        self.history.add(Kind.FAULT, self.name, text=why)

    def _pause_links(self) -> None:
        for link in self.process.links:
            link.pause()
        for listener in self.listeners.values():
            listener.block()

    def _lose_calls(self) -> None:
        for tag, call in self.process.calls.items():
            if call.timer is not None:
                call.timer.cancel()
            end_kind = Kind.CUT if call.stage is Stage.ESTABLISHED else Kind.CONNECTION_ENDED
            self.history.add(end_kind, self.name, call=tag, server=self.name)
        self.process.calls.clear()

    # Connections

    def link_connected(self, link: Link) -> None:
        """Handles a new connection of an agent."""
        self.process.links.append(link)
        if self.is_cut_off(link.agent):
            link.pause()

    def greet(self, link: Link) -> None:
        """Writes the load report that opens a connection, then answers to resend and pending releases."""
        link.write(self._load_report())
        answers_to_resend = {
            tag: line for tag, (agent, line) in self.process.answers_to_resend.items() if agent == link.agent
        }
        for tag, line in answers_to_resend.items():
            del self.process.answers_to_resend[tag]
            if tag in self.process.calls:
                link.answered_at[tag] = self.history.now()
                link.write(line)
        for tag, agent in list(self.process.pending_releases.items()):
            if agent == link.agent:
                link.write(encode("FINISH", tag, rc=NORMAL_CAUSE), ends=tag)

    def link_disconnected(self, link: Link) -> None:
        """Handles a closed connection: its outstanding attempts end, established calls outlive it."""
        if link in link.process.links:
            link.process.links.remove(link)
        if link.process is not self.process:
            return
        for tag, answered_at in link.answered_at.items():
            if answered_at > self.history.now() - RESEND_WINDOW_S and tag in self.process.calls:
                self.process.answers_to_resend[tag] = (link.agent, self.descriptions[tag])
        for tag in link.releases_written & self.process.pending_releases.keys():
            self.history.add(Kind.END_LOST, self.name, call=tag, server=self.name)
        for tag, call in list(self.process.calls.items()):
            if call.link is link and call.stage is Stage.PENDING:
                if call.timer is not None:
                    call.timer.cancel()
                del self.process.calls[tag]
                self.history.add(Kind.CONNECTION_ENDED, self.name, call=tag, server=self.name)

    def _load_report(self) -> bytes:
        established = sum(call.stage is Stage.ESTABLISHED for call in self.process.calls.values())
        return encode("LOAD", "0" * 16, load=f"x0:{max(0, 400 - established)};x1:400;qps:200")

    def send_load_reports(self) -> None:
        """Writes a load report on each open connection."""
        for link in list(self.process.links):
            if self.behaviour.staggered_reports:
                wait_s = self.rng.uniform(0.0, 1.0)
                asyncio.get_running_loop().call_later(wait_s, self._send_load_report, link)
            else:
                link.write(self._load_report())

    def _send_load_report(self, link: Link) -> None:
        link.write(self._load_report())

    # Calls

    def message_received(self, link: Link, message: dict[str, Any]) -> None:
        """Handles one message of an agent; messages to an earlier process are dropped."""
        if link.process is not self.process:
            return
        tag = str(message["tag"])
        process = self.process
        match message["verb"]:
            case "START":
                self._set_up_received(link, tag)
            case "FINISH":
                self.history.add(Kind.WITHDRAWN, self.name, call=tag, server=self.name)
                call = process.calls.pop(tag, None)
                if call is not None and call.timer is not None:
                    call.timer.cancel()
                link.write(encode("FINISHED", tag))
            case "FINISHED":
                process.pending_releases.pop(tag, None)
            case "ECHO" if message.get("rc") == 1:
                link.write(encode("ECHOED", tag, rc=1, load="x0:100;x1:400;qps:200"))
            case "ECHO":
                link.write(encode("ECHOED", tag, rc=1))

    def _set_up_received(self, link: Link, tag: str) -> None:
        self.history.add(Kind.REACHED, self.name, call=tag, server=self.name)
        call = self.process.calls[tag] = ServerCall(Stage.PENDING, link)
        if self.rng.random() < self.behaviour.mute_share:
            return
        wait_s = self.rng.expovariate(1.0 / self.behaviour.answer_s)
        call.timer = asyncio.get_running_loop().call_later(wait_s, self._reply, tag, call)

    def _reply(self, tag: str, call: ServerCall) -> None:
        if self.process.calls.get(tag) is not call:
            return
        if self.is_cut_off(call.link.agent):
            call.timer = asyncio.get_running_loop().call_later(0.1, self._reply, tag, call)
            return
        draw = self.rng.random()
        if draw < self.behaviour.full_share:
            self._refuse(tag, call, FULL_CAUSE)
        elif draw < self.behaviour.full_share + self.behaviour.error_share:
            self._refuse(tag, call, BUSY_CAUSE)
        else:
            self._answer(tag, call)

    def _refuse(self, tag: str, call: ServerCall, cause: int) -> None:
        del self.process.calls[tag]
        call.link.write(encode("FINISH", tag, rc=cause, note="swamped" if cause == FULL_CAUSE else ""))
        self.history.add(Kind.REPLIED, self.name, call=tag, server=self.name, text=str(cause))

    def _answer(self, tag: str, call: ServerCall) -> None:
        call.stage = Stage.ESTABLISHED
        self.answer_count += 1
        description = f"{self.name} made {self.answer_count} for {tag}"
        answer = self.descriptions[tag] = encode("STARTED", tag, blob=description)
        call.link.answered_at[tag] = self.history.now()
        if self.rng.random() < self.behaviour.duplicate_share:
            answer += answer
        self.history.add(Kind.REPLIED, self.name, call=tag, server=self.name, text=description)
        if self.rng.random() < self.behaviour.early_end_share:
            answer += encode("FINISH", tag, rc=NORMAL_CAUSE)
            del self.process.calls[tag]
            self.process.pending_releases[tag] = call.link.agent
            self.history.add(Kind.ENDED, self.name, call=tag, server=self.name)
            call.link.write(answer, ends=tag)
            return
        call.link.write(answer)
        if self.rng.random() < self.behaviour.ends_share:
            hold_s = self.rng.expovariate(1.0 / self.behaviour.hold_s)
            call.timer = asyncio.get_running_loop().call_later(hold_s, self._end_call, tag, call)
        self.send_load_reports()

    def _end_call(self, tag: str, call: ServerCall) -> None:
        if self.process.calls.get(tag) is not call:
            return
        if self.hung:
            call.timer = asyncio.get_running_loop().call_later(0.1, self._end_call, tag, call)
            return
        del self.process.calls[tag]
        self.process.pending_releases[tag] = call.link.agent
        self.history.add(Kind.ENDED, self.name, call=tag, server=self.name)
        link: Link | None = call.link
        if call.link.closed:
            open_links = [other for other in self.process.links if other.agent == call.link.agent]
            link = open_links[0] if open_links else None
        if link is not None:
            link.write(encode("FINISH", tag, rc=NORMAL_CAUSE), ends=tag)
        self.send_load_reports()
