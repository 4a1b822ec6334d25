"""The stand-ins: lobby servers, the event bus and clients, as the protocol page describes them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rig2_core import CLASS, Record, free_port

LOAD_S = 1.0  # between two reports of a group's state
FREE_LINES = 400


def line(verb: str, tag: str, rc: int | None = None, blob: str | None = None, **opts: Any) -> bytes:
    """One message of the protocol page."""
    message: dict[str, Any] = {"verb": verb, "tag": tag, "opts": opts}
    if rc is not None:
        message["rc"] = rc
    if blob is not None:
        message["blob"] = blob
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


@dataclass
class Attempt:
    """One set-up that reached a server whole, and when it stopped being out."""

    number: int
    tag: str
    server: str
    at: float
    ended: float | None = None  # its end was written, or it was given up
    how: str = ""
    over: float | None = None  # a call that stood: when it ended


Answer = Callable[["Lobby", "Link", Attempt], None]


class Link(asyncio.Protocol):
    """One connection of an agent to a server."""

    def __init__(self, lobby: Lobby) -> None:
        self.lobby = lobby
        self.transport: Any = None
        self.partial = b""
        self.open: dict[int, Attempt] = {}  # set-ups out on it
        self.number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.lobby.connected(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.partial = (self.partial + data).split(b"\n")
        for text in lines:
            if text.strip():
                self.lobby.received(self, json.loads(text))

    def connection_lost(self, exc: Exception | None) -> None:
        self.lobby.lost(self)

    def write(self, data: bytes) -> bool:
        """Writes a line; False if the connection is closed."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True


class Lobby:
    """A lobby server. `answer` decides what happens to each set-up; by default it stands after `answer_s`."""

    def __init__(self, record: Record, name: str, number: int, answer: Answer | None = None) -> None:
        self.record = record
        self.name = name
        self.number = number
        self.answer = answer or (lambda lobby, link, attempt: lobby.stand_later(link, attempt))
        self.answer_s = 0.01
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.links: list[Link] = []
        self.attempts: list[Attempt] = []
        self.standing: dict[str, tuple[Attempt, Link]] = {}
        self.to_tell: set[str] = set()  # ended calls whose release was not confirmed yet
        self.next_tells: set[str] = set()  # ended calls, to be told on the next connection in any case
        self.link_count = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.quiet = False  # set-ups and their answers are not recorded one by one

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Link(self), "127.0.0.1", self.port)
        self.tasks.append(asyncio.ensure_future(self._report()))

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(LOAD_S)
            for link in self.links:
                link.write(self.load())

    def load(self) -> bytes:
        """A group's state."""
        free = FREE_LINES - len(self.standing)
        return line("LOAD", "0" * 16, load=f"x0:{free};x1:{FREE_LINES};qps:40")

    def host(self, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
        """Its entry in the list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "lower-mainland",
            "class": "single-core",
            "block": self.number,
            "health": health,
            "share": 1,
            "born_ms": born_ms,
        }

    # Connections

    def connected(self, link: Link) -> None:
        self.link_count += 1
        link.number = self.link_count
        self.links.append(link)
        self.record.note(f"{self.name}: connection {link.number} opens")
        link.write(self.load())
        again = sorted(self.to_tell | self.next_tells)  # "also on the next connection that opens"
        self.next_tells.clear()
        for tag in again:
            self.record.note(f"{self.name}: connection {link.number}: release of {tag} again")
            link.write(line("FINISH", tag, rc=16))

    def lost(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
            self.record.note(f"{self.name}: connection {link.number} closes")
        for attempt in link.open.values():
            self.end(attempt, "given up by the close")
        link.open.clear()

    # Messages

    def received(self, link: Link, message: dict[str, Any]) -> None:
        tag = str(message["tag"])
        match message["verb"]:
            case "START":
                attempt = Attempt(len(self.attempts), tag, self.name, time.time())
                self.attempts.append(attempt)
                link.open[attempt.number] = attempt
                if not self.quiet:
                    self.record.note(f"{self.name}: connection {link.number}: set-up {tag}")
                self.answer(self, link, attempt)
            case "FINISH":
                for attempt in [attempt for attempt in link.open.values() if attempt.tag == tag]:
                    del link.open[attempt.number]
                    self.end(attempt, "given up")
                if tag in self.standing:
                    if not self.quiet:
                        self.record.note(f"{self.name}: {tag} released by the agent")
                    self.standing.pop(tag)[0].over = time.time()
                link.write(line("FINISHED", tag))
            case "FINISHED":
                if tag in self.to_tell:
                    self.to_tell.discard(tag)
                    self.record.note(f"{self.name}: the agent has confirmed the release of {tag}")
            case "ECHO":
                opts = {"load": f"x0:{FREE_LINES};x1:{FREE_LINES};qps:40"} if message.get("rc") else {}
                link.write(line("ECHOED", tag, rc=1, **opts))

    def end(self, attempt: Attempt, how: str) -> None:
        """An attempt is not out any more."""
        if attempt.ended is None:
            attempt.ended = time.time()
            attempt.how = how
            if not self.quiet:
                self.record.note(f"{self.name}: set-up {attempt.tag} ends: {how}")

    # What a server does with a set-up

    def stand_later(self, link: Link, attempt: Attempt, after_s: float | None = None) -> None:
        """Answers after a time, unless it was given up meanwhile."""
        wait = self.answer_s if after_s is None else after_s
        asyncio.get_running_loop().call_later(wait, self.stand, link, attempt)

    def stand(self, link: Link, attempt: Attempt) -> None:
        if link.open.pop(attempt.number, None) is None:
            return
        blob = f"table at {self.name} for {attempt.tag}, {attempt.number}\r\n"
        if link.write(line("STARTED", attempt.tag, blob=blob)):
            self.end(attempt, "answered: stands")
            self.standing[attempt.tag] = (attempt, link)

    def refuse(self, link: Link, attempt: Attempt, cause: int, **opts: Any) -> bool:
        """Ends a set-up with a release."""
        if link.open.pop(attempt.number, None) is None:
            return False
        link.write(line("FINISH", attempt.tag, rc=cause, **opts))
        self.end(attempt, f"cause {cause} {opts or ''}")
        return True

    def hang_up(self, tag: str) -> float:
        """The call has come to its end: tells it on its connection, else on any open one."""
        _, link = self.standing.pop(tag)
        usable = [link] if link in self.links else self.links[:1]
        self.to_tell.add(tag)
        self.next_tells.add(tag)
        at = self.record.note(
            f"{self.name}: {tag} comes to its end, told on connection {[one.number for one in usable]}"
        )
        for one in usable:
            one.write(line("FINISH", tag, rc=16))
        return at

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.transport.abort()


@dataclass
class Bus:
    """The event bus of one agent. Its events count from 1 at each start of the agent (protocol page)."""

    record: Record
    events: list[list[dict[str, Any]]] = field(default_factory=list)
    held_at: list[float] = field(default_factory=list)
    server: asyncio.Server | None = None
    port: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    told: int = 0  # the highest number written to the agent since its last start

    def begin(self, hosts: list[dict[str, Any]]) -> dict[str, Any]:
        """A start of the agent: numbers count from 1 again. Returns `known` for its configuration."""
        self.events = [hosts]
        self.held_at = [time.time()]
        self.told = 0
        return {"offset": 1, "batch": [self.event(1)]}

    def event(self, number: int) -> dict[str, Any]:
        hosts = self.events[number - 1]
        return {"offset": number, "topology": {"seq": number, "whole": number == 1, "hosts": hosts}}

    def publish(self, *hosts: dict[str, Any]) -> float:
        """The bus holds a further event from now on; returns when."""
        self.events.append(list(hosts))
        words = ", ".join(f"{host['host']} {host['health']}" for host in hosts)
        at = self.record.note(f"bus: holds event {len(self.events)}: {words}")
        self.held_at.append(at)
        self.wake()
        return at

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def open(self, port: int = 0) -> int:
        """Listens; returns the port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port or free_port())
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, ValueError, IndexError):
            asked = (await reader.readline()).split()
            self.record.note(f"bus {self.port}: asked {b' '.join(asked).decode()!r}")
            last = int(asked[1])
            while not writer.is_closing():
                changed = self.changed
                while last < len(self.events):
                    last += 1
                    writer.write(json.dumps(self.event(last)).encode() + b"\n")
                    self.told = max(self.told, last)
                    self.record.note(f"bus {self.port}: writes event {last}")
                writer.write(b"%d\n" % len(self.events))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
        self.writers.remove(writer)
        writer.close()

    async def close(self) -> None:
        """Listens no more and breaks off its connections."""
        self.record.note(f"bus {self.port}: closes")
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@dataclass
class Call:
    """One set-up as its caller sees it."""

    tag: str
    sent: float
    left_ms: float
    answers: list[tuple[float, str]] = field(default_factory=list)  # final answers
    over: list[float] = field(default_factory=list)  # releases after the answer
    lost_at: float | None = None  # its connection ended before an answer

    @property
    def stands(self) -> bool:
        return any(text.startswith("stands") for _, text in self.answers) and not self.over


class Client(asyncio.Protocol):
    """One client with one connection at a time. It confirms every release that it hears."""

    def __init__(self, record: Record, name: str, address: str, listen: str, number: int) -> None:
        self.record = record
        self.name = name
        self.address = address
        self.listen = listen
        self.number = number
        self.calls: dict[str, Call] = {}
        self.count = 0
        self.transport: Any = None
        self.partial = b""
        self.quiet = False  # record only what goes wrong
        self.ended_by_reset = False  # how its last connection ended: by a reset, else in order

    async def connect(self, limit_s: float = 5.0) -> None:
        """Connects, again until it works."""
        host, _, port = self.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        end = time.time() + limit_s
        while True:
            try:
                await loop.create_connection(lambda: self, host, int(port), local_addr=(self.address, 0))
                break
            except OSError:
                if time.time() > end:
                    raise
                await asyncio.sleep(0.05)
        self.record.note(f"{self.name}: connects from {self.address}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.partial = b""

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.ended_by_reset = exc is not None
        self.record.note(f"{self.name}: its connection ends ({type(exc).__name__ if exc else 'closed'})")
        for call in self.calls.values():
            if not call.answers and call.lost_at is None:
                call.lost_at = time.time()

    def close(self) -> None:
        """Closes its connection."""
        if self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True

    def _new_call(self, left_ms: int) -> Call:
        self.count += 1
        tag = f"{self.number:08x}{self.count:08x}"
        call = self.calls[tag] = Call(tag, time.time(), left_ms)
        return call

    def _set_up_line(self, call: Call, dest: int, left_ms: int) -> bytes:
        blob = f"{call.tag}\r\nc=IN IP4 127.0.0.{10 + self.number}\r\n"
        opts = {"class": CLASS, "left": str(left_ms), "key": call.tag}
        opts["extras"] = f"dest:{dest};width:1;via:-1"
        return line("START", call.tag, blob=blob, **opts)

    def set_up_together(self, count: int, left_ms: int, again: Call | None = None) -> list[Call]:
        """Sends new set-ups in one write, behind one that goes out again; returns the new calls."""
        data = b""
        if again is not None:
            again.lost_at = None
            data = self._set_up_line(again, 0, left_ms - round((time.time() - again.sent) * 1000.0))
            self.record.note(f"{self.name}: set-up {again.tag} again")
        calls = [self._new_call(left_ms) for _ in range(count)]
        for call in calls:
            data += self._set_up_line(call, 0, left_ms)
            self.record.note(f"{self.name}: set-up {call.tag}, in the same write")
        if not self.write(data):
            raise OSError("not connected")
        return calls

    def set_up(self, dest: int = -1, left_ms: int = 3000) -> Call:
        """Sends a set-up; `dest` is the number of the first choice."""
        call = self._new_call(left_ms)
        tag = call.tag
        written = self.write(self._set_up_line(call, dest, left_ms))
        if not self.quiet or not written:
            self.record.note(f"{self.name}: set-up {tag} dest {dest}{'' if written else ': not connected'}")
        return call

    def release(self, tag: str) -> None:
        """Releases a call that stands."""
        self.write(line("FINISH", tag, rc=16))

    def data_received(self, data: bytes) -> None:
        *lines, self.partial = (self.partial + data).split(b"\n")
        for text in lines:
            if text.strip():
                self._message(json.loads(text))

    def _message(self, message: dict[str, Any]) -> None:
        tag = str(message["tag"])
        call = self.calls.get(tag)
        now = time.time()
        match message["verb"]:
            case "STARTED":
                if call is not None:
                    call.answers.append((now, f"stands: {message.get('blob')!r}"))
                if not self.quiet:
                    self.record.note(f"{self.name}: {tag} stands")
            case "FINISH" if call is not None and not call.answers:
                call.answers.append((now, f"cause {message.get('rc')}"))
                if not self.quiet:
                    self.record.note(f"{self.name}: {tag} final answer, cause {message.get('rc')}")
            case "FINISH":
                if call is not None:
                    call.over.append(now)
                known = "" if call is not None else ", a call that it doesn't know"
                if not self.quiet or known:
                    self.record.note(f"{self.name}: told that {tag} is over{known}; confirms it")
                self.write(line("FINISHED", tag))


async def until(condition: Callable[[], bool], limit_s: float) -> bool:
    """Waits for a condition; whether it came true."""
    end = time.time() + limit_s
    while not condition():
        if time.time() > end:
            return False
        await asyncio.sleep(0.01)
    return True


class _RelayEnd(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.other: _RelayEnd | None = None
        self.near = False  # the side of the client
        self.held: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.held.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()

    def reset(self) -> None:
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Relay:
    """The network between a client and an agent: passes all on, until it resets what is open.

    The agent sees the client's own address."""

    def __init__(self, record: Record, address: str, target: str) -> None:
        self.record = record
        self.address = address
        self.target = target
        self.ends: list[_RelayEnd] = []
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []

    async def open(self) -> str:
        """Listens; returns the address to connect to."""
        loop = asyncio.get_running_loop()
        port = free_port()
        self.server = await loop.create_server(self._accept, "127.0.0.1", port)
        return f"127.0.0.1:{port}"

    def _accept(self) -> _RelayEnd:
        near = _RelayEnd()
        near.near = True
        self.ends.append(near)
        self.tasks.append(asyncio.ensure_future(self._connect(near)))
        return near

    async def _connect(self, near: _RelayEnd) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.target.rpartition(":")
        far = _RelayEnd()
        try:
            await loop.create_connection(lambda: far, host, int(port), local_addr=(self.address, 0))
        except OSError:
            near.transport.abort()
            return
        self.ends.append(far)
        near.other, far.other = far, near
        for data in near.held:
            far.transport.write(data)

    def reset(self) -> None:
        """Resets the connections that are open, on both sides."""
        self.record.note(f"relay of {self.address}: resets the open connections")
        ends, self.ends = self.ends, []
        for end in ends:
            end.reset()

    def reset_client_sides(self) -> Callable[[], None]:
        """Resets the clients' sides of the open connections now; what it returns resets the agent's sides."""
        self.record.note(f"relay of {self.address}: resets the client's side")
        ends, self.ends = self.ends, []
        far_sides = [end.other for end in ends if end.near and end.other is not None]
        for end in ends:
            end.other = None
        for end in ends:
            if end.near:
                end.reset()

        def reset_far_sides() -> None:
            self.record.note(f"relay of {self.address}: resets the agent's side")
            for end in far_sides:
                end.reset()

        return reset_far_sides

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for end in self.ends:
            if end.transport is not None:
                end.transport.abort()
