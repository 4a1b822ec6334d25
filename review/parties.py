"""Stand-ins for the review's cases: lobby servers, the event bus, callers, and the call agent's process.

They follow the protocol page and record every message and signal in `record.txt`. All addresses are loopback
addresses; each caller has an address of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
AGENT_HOST = "127.0.10.1"
SERVER_HOST = "127.0.20."
CALLER_HOST = "127.0.30."
BUS_HOST = "127.0.40.1"
TICK_S = 0.35  # between two reports of a lobby server; the site file has 0.17 to 0.85 s

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case can't be played on this machine."""


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str) -> int:
    """A port of this address that is free now."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Record:
    """The record of one run: a line an event, with seconds since its start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, party: str, text: str) -> float:
        """Writes an event and returns its time."""
        at = self.now()
        self.file.write(f"{at:8.3f} {party:10} {text}\n")
        return at

    def close(self) -> None:
        self.file.close()


def encode(verb: str, tag: str, rc: int | None = None, blob: str | None = None, **opts: Any) -> bytes:
    """One message of the protocol page."""
    message: dict[str, Any] = {"verb": verb, "tag": tag, "opts": opts}
    if rc is not None:
        message["rc"] = rc
    if blob is not None:
        message["blob"] = blob
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def race_settings(servers: int, **changed: Any) -> dict[str, Any]:
    """The settings of the first deployment, as on the wire page; `changed` replaces whole groups."""
    settings: dict[str, Any] = {
        "caps": {
            "connect-timeout-ms": 500.0,
            "keepalive-ms": 600000.0,
            "may-cancel": True,
            "open-cap": 20000,
            "peers": False,
            "probes": True,
            "retry-after": False,
            "second-copies": False,
            "try-limit": 4,
        },
        "discovery": "automatic",
        "family": "trunks",
        "family-info": {
            "holding-ms": [9900.0],
            "home-no": -1,
            "pools-by-class": [list(range(servers))],
            "release-guard-ms": 500.0,
            "retransmit-ms": 400.0,
            "topology": "pools",
            "widths": [1],
        },
        "me": 0,
        "siblings": 6,
        "report": {"columns": ["free", "size", "can_take"], "how": "piggyback"},
        "rules": {
            "answer-slack-ms": 20.0,
            "cold-from": 0.34,
            "cold-ms": 15000.0,
            "drain-grace-ms": 2000.0,
            "fall-ms": 2000.0,
            "fall-multiple": 3.0,
        },
        "services": [
            {
                "name": "find-race",
                "aim-ms": 1500.0,
                "deadline-ms": 9000.0,
                "effect": "pure",
                "gain": 1.0,
                "late-worth": 0.1,
                "streamed": True,
            }
        ],
        "step-ms": 5.0,
        "weights": "silent",
        "zone": "interior",
    }
    settings.update(changed)
    return settings


def helpline_settings(pools: int, **changed: Any) -> dict[str, Any]:
    """The settings of the second deployment; each class may go to every pool that a case plays."""
    settings = race_settings(pools)
    settings["caps"] |= {"probes": False, "try-limit": 6}
    settings["family-info"] |= {
        "gives-wait": False,
        "hints-route": True,
        "holding-ms": [9800.0, 7800.0, 7800.0],
        "pools-by-class": [list(range(pools))] * 3,
        "release-guard-ms": 300.0,
        "retransmit-ms": 0.0,
        "widths": [1, 1, 1],
    }
    settings["report"] = {"columns": ["free", "size", "hold_back", "mean_ms"], "how": "piggyback"}
    settings["rules"] |= {"cold-from": 0.3, "cold-ms": 14000.0, "drain-grace-ms": 500.0, "fall-ms": 1500.0}
    settings["services"] = [
        {
            "name": name,
            "aim-ms": aim,
            "deadline-ms": deadline,
            "effect": "pure",
            "gain": gain,
            "late-worth": late,
            "streamed": True,
        }
        for name, aim, deadline, gain, late in (
            ("stock-check", 5000.0, 15000.0, 1.0, 0.25),
            ("driver-door", 1500.0, 6000.0, 5.0, 0.25),
            ("address-update", 5000.0, 15000.0, 3.0, 0.1),
        )
    ]
    settings["tenants"] = [
        {"name": "ub-central", "quota-per-s": 14.0, "share": 0.54},
        {"name": "erdenet-shop", "quota-per-s": 10.0, "share": 0.38},
        {"name": "darkhan-shop", "quota-per-s": 2.0, "share": 0.08},
    ]
    settings["zone"] = "erdenet"
    settings.update(changed)
    return settings


def entry(name: str, dial: str, block: int, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
    """One line of the server list."""
    return {
        "host": name,
        "dial": dial,
        "site": "interior",
        "class": "single-core",
        "block": block,
        "health": health,
        "share": 1,
        "born_ms": born_ms,
    }


def event(offset: int, hosts: list[dict[str, Any]]) -> dict[str, Any]:
    """One event of the event bus; the first one holds the whole list."""
    return {"offset": offset, "topology": {"seq": offset, "whole": offset == 1, "hosts": hosts}}


class Agent:
    """The call agent: started by `run` of the deploy file, as the deployment page says."""

    def __init__(self, name: str, record: Record, folder: pathlib.Path, host: str = AGENT_HOST) -> None:
        self.name = name
        self.record = record
        self.folder = folder
        self.listen = f"{host}:{free_port(host)}"
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.configuration: dict[str, Any] = {}
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.command = str(deploy["run"])

    def configure(self, **fields: Any) -> None:
        """Writes the configuration file anew."""
        self.configuration = {
            "name": self.name,
            "listen": self.listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **self.configuration,
            **fields,
        }
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration), encoding="utf-8")
        new.replace(self.path)

    async def start(self) -> None:
        """Starts a process."""
        temporary = pathlib.Path(tempfile.mkdtemp(dir=self.folder))
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "TMPDIR": str(temporary),
                    "PROXY_NAME": self.name,
                    "PROXY_LISTEN": self.listen,
                    "PROXY_CONFIG": str(self.path),
                },
            )
        self.record.add(self.name, f"started as process {self.process.pid}: {self.command}")

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Waits until a test of its front passes. Raises CannotRunError after `limit_s`."""
        host, _, port = self.listen.rpartition(":")
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process is None or self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, ValueError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(encode("ECHO", "0" * 16, rc=0))
                    line = await reader.readline()
                    writer.close()
                    if line and json.loads(line).get("rc") == 1:
                        self.record.add(self.name, "ready")
                        return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready within {limit_s:.0f} s")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.process is not None and self.process.returncode is None:
            self.record.add(self.name, number.name)
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait_exit(self, limit_s: float) -> None:
        """Waits for its exit, and kills it after `limit_s`."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.add(self.name, f"exited, status {self.process.returncode}")

    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def copy_log(self) -> None:
        """Appends its log to the record."""
        with contextlib.suppress(OSError):
            for line in (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()[:400]:
                self.record.file.write(f"log of {self.name}: {line}\n")


class Link(asyncio.Protocol):
    """One connection of a stand-in; hands whole lines to `on_message`."""

    def __init__(self, on_open: Any, on_message: Any, on_close: Any) -> None:
        self.on_open, self.on_message, self.on_close = on_open, on_message, on_close
        self.transport: Any = None
        self.rest = b""
        self.open = False
        self.peer = ""  # the other side's address, without its port

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.open = True
        self.peer = transport.get_extra_info("peername")[0]
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if line.strip():
                self.on_message(self, json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self.on_close(self)

    def write(self, data: bytes) -> bool:
        if self.open:
            self.transport.write(data)
        return self.open

    def reset(self) -> None:
        """Closes with a reset, as a network or a peer does."""
        if self.open:
            found = self.transport.get_extra_info("socket")
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Call:
    """One call at a lobby server."""

    def __init__(self, tag: str, link: Link) -> None:
        self.tag = tag
        self.link = link
        self.stands = False
        self.timer: asyncio.TimerHandle | None = None


class LobbyServer:
    """A sound lobby server: answers at once, ends each call after `hold_s`, reports its state unasked."""

    def __init__(
        self, name: str, number: int, record: Record, hold_s: Callable[[str], float], answer_s: float = 0.02
    ) -> None:
        self.name, self.number, self.record = name, number, record
        self.host = f"{SERVER_HOST}{number + 1}"
        self.port = free_port(self.host)
        self.hold_s = hold_s
        self.answer_s = answer_s
        self.links: list[Link] = []
        self.calls: dict[str, Call] = {}
        # Releases to send again on the next connection that opens: call agent's address, call.
        self.unrepeated: list[tuple[str, str]] = []
        self.takes = 0  # how many connections it takes; 0: any number
        self.opened_at: dict[Link, float] = {}
        self.made: dict[str, str] = {}  # the description of each answer
        self.set_up_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.released_at: dict[str, float] = {}  # when the release was first written to the call agent
        self.ended_at: dict[str, float] = {}
        self.cut_by_agent: dict[str, float] = {}
        self.server: asyncio.Server | None = None
        self.reports: asyncio.Task[None] | None = None

    @property
    def dial(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        await self.listen()
        self.reports = asyncio.ensure_future(self._report())

    async def listen(self) -> None:
        """Accepts connections."""
        if self.server is None:
            self.server = await asyncio.get_running_loop().create_server(
                lambda: Link(self.opened, self.received, self.closed), self.host, self.port
            )

    def refuse(self) -> None:
        """Refuses new connections; open ones go on."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def load(self) -> str:
        return f"x0:{400 - len(self.calls)};x1:400;qps:40;eps:0;latency_ms:2"

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for link in self.links:
                link.write(encode("LOAD", "0" * 16, load=self.load()))

    def make_room(self) -> None:
        """Over its number of connections, closes idle ones; holding all that it takes, refuses new ones."""
        busy = {call.link for call in self.calls.values() if not call.stands}
        now = self.record.now()
        idle = [link for link in self.links if link not in busy and now > self.opened_at[link] + 1.0]
        while len(self.links) > self.takes and idle:
            link = idle.pop(0)
            self.links.remove(link)
            self.record.add(self.name, f"closes an idle connection, {len(self.links)} left of {self.takes}")
            link.transport.close()
        if len(self.links) >= self.takes and not idle and self.server is not None:
            self.record.add(self.name, "holds all the connections it takes: refuses new ones")
            self.refuse()

    def opened(self, link: Link) -> None:
        self.links.append(link)
        self.opened_at[link] = self.record.now()
        if self.takes:
            asyncio.get_running_loop().call_soon(self.make_room)
        self.record.add(self.name, f"connection opened, {len(self.links)} now")
        link.write(encode("LOAD", "0" * 16, load=self.load()))
        repeated = [tag for peer, tag in self.unrepeated if peer == link.peer]
        self.unrepeated = [item for item in self.unrepeated if item[0] != link.peer]
        for tag in repeated:
            self.send_release(link, tag)

    def closed(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
            self.record.add(self.name, f"connection closed, {len(self.links)} left")
        for tag, call in list(self.calls.items()):
            if call.link is link and not call.stands:  # closing a connection gives up its open set-ups
                self.drop(tag)

    def drop(self, tag: str) -> None:
        call = self.calls.pop(tag, None)
        if call is not None and call.timer is not None:
            call.timer.cancel()

    def received(self, link: Link, message: dict[str, Any]) -> None:
        tag = message["tag"]
        match message["verb"]:
            case "START":
                self.set_up_at[tag] = self.record.add(self.name, f"set-up {tag}")
                call = self.calls[tag] = Call(tag, link)
                call.timer = asyncio.get_running_loop().call_later(self.answer_s, self.answer, call)
            case "FINISH":
                self.cut_by_agent[tag] = self.record.add(self.name, f"released by agent {tag}")
                self.drop(tag)
                link.write(encode("FINISHED", tag))
            case "ECHO":
                opts = {"load": self.load()} if message.get("rc") == 1 else {}
                link.write(encode("ECHOED", tag, rc=1, **opts))

    def answer(self, call: Call) -> None:
        if self.calls.get(call.tag) is not call or not call.link.open:
            return
        call.stands = True
        description = self.made[call.tag] = f"{self.name} table for {call.tag}"
        self.answered_at[call.tag] = self.record.add(self.name, f"answered {call.tag}")
        call.link.write(encode("STARTED", call.tag, blob=description))
        call.timer = asyncio.get_running_loop().call_later(self.hold_s(call.tag), self.end, call)

    def end(self, call: Call) -> None:
        """The call is at its end: released on its connection, else on any open one, and on the next one."""
        if self.calls.get(call.tag) is not call:
            return
        self.drop(call.tag)
        self.ended_at[call.tag] = self.record.add(self.name, f"call over {call.tag}")
        links = [call.link, *(link for link in self.links if link.peer == call.link.peer)]
        link = next((link for link in links if link in self.links and link.open), None)
        if link is not None:
            self.send_release(link, call.tag)
        self.unrepeated.append((call.link.peer, call.tag))

    def send_release(self, link: Link, tag: str) -> None:
        if link.write(encode("FINISH", tag, rc=16)):
            self.released_at.setdefault(tag, self.record.add(self.name, f"released {tag} 16"))

    async def stop(self) -> None:
        if self.reports is not None:
            self.reports.cancel()
        self.refuse()
        for link in list(self.links):
            link.transport.abort()


class Bus:
    """The event bus for one call agent: numbered events, and the last number each second."""

    def __init__(self, record: Record, name: str = "bus") -> None:
        self.record, self.name = record, name
        self.port = free_port(BUS_HOST)
        self.events: list[dict[str, Any]] = []
        self.published_at: dict[int, float] = {}
        self.delay_s = 0.0  # how late everything that it writes arrives
        self.links: dict[Link, int] = {}
        self.due_at: dict[Link, float] = {}  # when the last line of each connection arrives
        self.server: asyncio.Server | None = None
        self.beat: asyncio.Task[None] | None = None

    @property
    def dial(self) -> str:
        return f"{BUS_HOST}:{self.port}"

    def known(self) -> dict[str, Any]:
        """The events so far, for the configuration."""
        return {"offset": len(self.events), "batch": list(self.events)}

    async def start(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(self.make, BUS_HOST, self.port)
        self.beat = asyncio.ensure_future(self._beat())

    def make(self) -> Link:
        link = Link(lambda link: None, None, self.closed)

        def data_received(data: bytes) -> None:
            link.rest += data
            if b"\n" in link.rest:
                line, _, link.rest = link.rest.partition(b"\n")
                self.record.add(self.name, f"asked: {line.decode()}")
                self.links[link] = int(line.split()[1])
                self.send(link)

        link.data_received = data_received  # type: ignore[method-assign]
        return link

    def closed(self, link: Link) -> None:
        if link in self.links:
            self.record.add(self.name, "connection closed")
        self.links.pop(link, None)

    def send(self, link: Link) -> None:
        last = self.links[link]
        data = b"".join(json.dumps(item).encode() + b"\n" for item in self.events if item["offset"] > last)
        self.links[link] = max(last, len(self.events))
        data += b"%d\n" % len(self.events)
        loop = asyncio.get_running_loop()
        due_at = self.due_at[link] = max(loop.time() + self.delay_s, self.due_at.get(link, 0.0))
        if due_at > loop.time():
            loop.call_at(due_at, link.write, data)
        else:
            link.write(data)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for link in list(self.links):
                self.send(link)

    def publish(self, hosts: list[dict[str, Any]]) -> float:
        """Adds an event; returns its time."""
        number = len(self.events) + 1
        self.events.append(event(number, hosts))
        text = ", ".join(f"{host['host']} {host['health']}" for host in hosts)
        at = self.published_at[number] = self.record.add(self.name, f"event {number}: {text}")
        for link in list(self.links):
            self.send(link)
        return at

    async def stop(self) -> None:
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.transport.abort()


class Caller:
    """A sound caller at an address of its own; it confirms the releases of its own calls."""

    def __init__(
        self,
        name: str,
        number: int,
        record: Record,
        agent: Agent,
        wait_s: float = 3.0,
        call_class: str = "find-race",
        tenant: str = "",
    ) -> None:
        self.call_class, self.tenant = call_class, tenant
        self.name, self.number, self.record, self.agent = name, number, record, agent
        self.host = f"{CALLER_HOST}{number}"
        self.wait_s = wait_s
        self.link: Link | None = None
        self.count = 0
        self.asked_at: dict[str, float] = {}
        self.waiting: dict[str, float] = {}  # until when it waits for the answer
        self.standing: set[str] = set()
        self.answered_at: dict[str, float] = {}
        self.refused: set[str] = set()
        self.told_at: dict[str, float] = {}
        self.foreign: dict[str, float] = {}  # releases of calls that it never set up
        self.lost: set[str] = set()  # set-ups whose connection ended without an answer

    async def connect(self) -> None:
        """Opens a connection, again until it comes up; the one before is left as it is."""
        host, _, port = self.agent.listen.rpartition(":")
        link = Link(lambda link: None, self.received, self.closed)
        while True:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: link, host, int(port), local_addr=(self.host, 0)
                )
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.link = link
        self.record.add(self.name, f"connected from {self.host}")

    def closed(self, link: Link) -> None:
        self.record.add(self.name, "connection ended")
        if link is self.link:
            self.link = None
            for tag in list(self.waiting):
                self.lost.add(tag)
                self.record.add(self.name, f"unanswered {tag}")
            self.waiting.clear()

    def set_up(self, server: int = -1) -> str | None:
        """Sends a set-up; None where there is no connection."""
        if self.link is None or not self.link.open:
            return None
        self.count += 1
        tag = f"{self.number:08x}{self.count:08x}"
        line = encode(
            "START",
            tag,
            blob=f"{tag}\r\nc=IN IP4 {self.host}\r\n",
            **{
                "class": self.call_class,
                "left": str(round(self.wait_s * 1000)),
                **({"tenant": self.tenant} if self.tenant else {}),
                "key": f"{self.number:04x}{self.count:012x}",
                "extras": f"dest:{server};width:1;via:-1",
            },
        )
        self.link.write(line)
        self.asked_at[tag] = self.record.add(self.name, f"set-up {tag}")
        self.waiting[tag] = self.asked_at[tag] + self.wait_s
        return tag

    def received(self, link: Link, message: dict[str, Any]) -> None:
        tag, verb = message["tag"], message["verb"]
        if verb == "STARTED":
            self.record.add(self.name, f"answer to {tag}")
            self.waiting.pop(tag, None)
            self.standing.add(tag)
            self.answered_at[tag] = self.record.now()
        elif verb == "FINISH" and tag in self.waiting:
            self.record.add(self.name, f"refused or failed {tag} {message['rc']}")
            self.waiting.pop(tag)
            self.refused.add(tag)
        elif verb == "FINISH" and tag in self.asked_at:
            at = self.record.add(self.name, f"told over {tag} {message['rc']}")
            self.told_at.setdefault(tag, at)
            self.standing.discard(tag)
            link.write(encode("FINISHED", tag))
        elif verb == "FINISH":
            self.foreign[tag] = self.record.add(self.name, f"release of another caller's call {tag}")

    async def keep_calling(self, every_s: float, server: Callable[[], int] = lambda: -1) -> None:
        """Sets calls up at this pace; connects anew where its connection has ended."""
        while True:
            if self.link is None:
                await self.connect()
            self.set_up(server())
            await asyncio.sleep(every_s)

    async def stop(self) -> None:
        if self.link is not None:
            self.link.transport.abort()


Play = Callable[[Record, pathlib.Path, list[Any]], Awaitable[int]]


def main(folder: pathlib.Path, play: Play) -> int:
    """Plays a case and returns its exit code. Ends every process that was started."""
    record = Record(folder)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    parties: list[Any] = []

    async def run() -> int:
        tasks_before = asyncio.all_tasks()
        this_task = asyncio.current_task()
        if this_task is not None:  # ended from outside, it ends its processes all the same
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
        try:
            async with asyncio.timeout(110.0):
                return await play(record, temporary, parties)
        except (CannotRunError, TimeoutError, OSError) as problem:
            record.add("case", f"can't run: {type(problem).__name__} {problem}")
            return CANNOT_RUN
        finally:
            for party in parties:
                if isinstance(party, Agent):
                    party.signal(signal.SIGKILL)
                    if party.process is not None:
                        await party.process.wait()
                    party.copy_log()
                else:
                    await party.stop()
            for task in asyncio.all_tasks() - tasks_before - {asyncio.current_task()}:
                task.cancel()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as problem:
        record.add("case", f"can't run: {problem!r}")
        code = CANNOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    words = {HELD: "the rule held", BROKEN: "the rule was BROKEN", CANNOT_RUN: "the case could not run"}
    record.add("case", f"exit {code}: {words[code]}")
    record.close()
    print(f"{folder.name}: {words[code]}", file=sys.stderr)
    return code
