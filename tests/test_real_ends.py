"""Closes, give-ups, releases and SIGTERM on real sockets, in the orders most likely to go wrong.

Each side waits for events on the other side, not for time to pass.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from standins.lobby import configuration
from standins.ports import free_ports
from tests.test_sigkill import TIMEOUT_S, kill_and_wait, wait_until_listening

GUARD_MS = 300.0
SOCKETS = 64  # the agent's limit of descriptors


class Server:
    """A lobby server that queues each set-up; the test answers it."""

    def __init__(self) -> None:
        self.set_ups: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.received: list[tuple[str, str]] = []
        self.bus = free_ports(1)[0]  # the bus's port; nothing listens there until a case opens it

    async def start(self) -> int:
        """Listens, and returns the port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port: int = self.listener.sockets[0].getsockname()[1]
        return port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await self.line(reader):
            message = json.loads(line)
            self.received.append((message["verb"], message["tag"]))
            if message["verb"] == "START":
                self.set_ups.put_nowait((message["tag"], writer))
        writer.close()

    async def line(self, reader: asyncio.StreamReader) -> bytes:
        """Reads a line; empty if the connection is closed or reset."""
        try:
            return await reader.readline()
        except ConnectionResetError:  # the agent closes a connection it takes for silent
            return b""

    async def next(self) -> tuple[str, asyncio.StreamWriter]:
        """Waits for the next set-up; returns its tag and the connection for the answer."""
        return await asyncio.wait_for(self.set_ups.get(), TIMEOUT_S)


class BacklogFull(Server):
    """A server with a full backlog: dials succeed after `accept_connections`, at the next SYN retry (1 s)."""

    async def start(self) -> int:
        held = socket.socket()
        held.bind(("127.0.0.1", 0))
        held.listen(0)
        at: tuple[str, int] = held.getsockname()
        self.filler = socket.create_connection(at)
        self.listener = await asyncio.start_server(self.serve, sock=held, start_serving=False)
        return at[1]

    async def accept_connections(self) -> None:
        """Accepts what waits in the backlog, which makes room for dials."""
        await self.listener.start_serving()
        self.filler.close()


def line(verb: str, tag: str, **more: Any) -> bytes:
    return json.dumps({"verb": verb, "tag": tag, "opts": {}, **more}).encode() + b"\n"


def set_up(tag: str, left: float = 4000.0) -> bytes:
    """A set-up as a line; `left` is the client's time limit in ms."""
    return line("START", tag, opts={"class": "race", "left": str(left)}, blob="x")


def send(writer: asyncio.StreamWriter, verb: str, tag: str, **more: Any) -> None:
    writer.write(line(verb, tag, **more))


def start(writer: asyncio.StreamWriter, tag: str, left: float = 4000.0) -> None:
    writer.write(set_up(tag, left))


async def receive(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Waits for a message; returns its verb and tag."""
    message = json.loads(await asyncio.wait_for(reader.readline(), TIMEOUT_S))
    return message["verb"], message["tag"]


Case = Callable[[Server, int, asyncio.subprocess.Process], Awaitable[None]]


async def run_case(folder: pathlib.Path, case: Case, deadline_ms: float) -> None:
    """Runs a case against an agent process, which must then exit with 0 and have logged no traceback.

    The case may end the process itself; otherwise it gets SIGTERM here."""
    server = BacklogFull() if case is closed_behind_a_dial else Server()
    port = free_ports(1)[0]
    path = folder / "config.json"
    record = configuration(port, [await server.start()])
    record["settings"]["services"] = [{"name": "race", "aim-ms": 400.0, "deadline-ms": deadline_ms}]
    record["settings"]["caps"]["connect-timeout-ms"] = 1000.0 * TIMEOUT_S  # no dial times out in these cases
    record["settings"]["family-info"].update({"release-guard-ms": GUARD_MS, "pools-by-class": [[0, 1]]})
    record.update(bus=f"127.0.0.1:{server.bus}", limits={"sockets": SOCKETS})
    path.write_text(json.dumps(record), encoding="utf-8")
    with (folder / "log").open("wb") as log:
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "frostport", "serve", "--config", str(path), stderr=log
        )
        try:
            await wait_until_listening(port)
            await case(server, port, program)
            if program.returncode is None:
                program.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(program.wait(), TIMEOUT_S) == 0
        finally:
            await kill_and_wait(program)
            server.listener.close()
    assert "Traceback" not in (folder / "log").read_text(encoding="utf-8")


async def closed_in_the_guard(server: Server, port: int, program: asyncio.subprocess.Process) -> None:
    """A client closes before its attempt is reset: no second attempt starts after the release guard."""
    gone = "00000000000000aa"
    staying = "00000000000000bb"
    _, first_client = await asyncio.open_connection("127.0.0.1", port)
    start(first_client, gone)
    _, upstream = await server.next()
    # Closed before the reset arrives: its retry would wait for the release guard without a client.
    first_client.close()
    send(upstream, "FINISH", gone, rc=41)
    reader, second_client = await asyncio.open_connection("127.0.0.1", port)
    start(second_client, staying)
    for _ in range(2):  # the second arrives a full release guard after the other's would have
        tag, upstream = await server.next()
        assert tag == staying
        send(upstream, "FINISH", staying, rc=41)
    tag, upstream = await server.next()
    send(upstream, "STARTED", tag, blob="y")
    assert await receive(reader) == ("STARTED", staying)
    assert [tag for verb, tag in server.received if verb == "START"].count(gone) == 1
    send(second_client, "FINISH", staying, rc=16)
    assert await receive(reader) == ("FINISHED", staying)


async def many_in_one_write(server: Server, port: int, program: asyncio.subprocess.Process) -> None:
    """Set-ups for more than one event-loop iteration and their give-ups, all written before any is read."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    tags = [f"{number:016x}" for number in range(1, 121)]
    # One write: otherwise over 100 could be read before the first give-up is written, and one be refused.
    writer.write(b"".join([set_up(tag) for tag in tags] + [line("FINISH", tag, rc=16) for tag in tags]))
    received = [await receive(reader) for _ in tags]
    assert sorted(received) == [("FINISHED", tag) for tag in tags]  # no answer to any of them
    start(writer, "00000000000000cc")
    while (come := await server.next())[0] != "00000000000000cc":
        assert come[0] in tags
    send(come[1], "STARTED", come[0], blob="y")
    assert await receive(reader) == ("STARTED", come[0])
    begun = [tag for verb, tag in server.received if verb == "START"]
    assert len(begun) == len(set(begun)) and set(begun) - {come[0]} <= set(tags)
    ended_there = [tag for verb, tag in server.received if verb == "FINISH"]
    assert set(begun) - {come[0]} <= set(ended_there)  # what was started is given up there
    send(writer, "FINISH", come[0], rc=16)
    assert await receive(reader) == ("FINISHED", come[0])


async def closed_behind_a_dial(server: Server, port: int, program: asyncio.subprocess.Process) -> None:
    """A client closes while its set-up waits for a dial: the set-up is not sent once the dial succeeds."""
    gone = "00000000000000aa"
    staying = "00000000000000bb"
    reader, first_client = await asyncio.open_connection("127.0.0.1", port)
    start(first_client, gone)
    send(first_client, "ECHO", "0" * 16, rc=0)
    assert (await receive(reader))[0] == "ECHOED"  # by now its set-up waits for the dial
    first_client.close()
    reader, second_client = await asyncio.open_connection("127.0.0.1", port)
    start(second_client, staying)
    assert isinstance(server, BacklogFull)
    await server.accept_connections()
    tag, upstream = await server.next()
    send(upstream, "STARTED", tag, blob="y")
    assert (tag, await receive(reader)) == (staying, ("STARTED", staying))
    assert gone not in [tag for _, tag in server.received]
    send(second_client, "FINISH", staying, rc=16)
    assert await receive(reader) == ("FINISHED", staying)


async def terminated_twice(server: Server, port: int, program: asyncio.subprocess.Process) -> None:
    """A second SIGTERM changes nothing: the open set-up is failed, and the process exits with 0."""
    tag = "00000000000000dd"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    start(writer, tag, 2000.0)
    await server.next()
    program.send_signal(signal.SIGTERM)
    program.send_signal(signal.SIGTERM)
    assert await receive(reader) == ("FINISH", tag)  # the server never answers it
    assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
    assert await asyncio.wait_for(program.wait(), TIMEOUT_S) == 0


async def silent_bus_at_the_descriptor_limit(
    server: Server, port: int, program: asyncio.subprocess.Process
) -> None:
    """Idle clients use all descriptors while the bus is down; it returns, is silent, and is asked again."""
    idle = []
    for _ in range(4 * SOCKETS):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        idle.append((reader, writer))
        send(writer, "ECHO", "0" * 16, rc=0)
        assert await reader.readline()  # the newest is admitted
        if any(at.at_eof() or at.exception() for at, _ in idle):
            break  # another was closed to make room
    else:
        raise AssertionError("the limit of connections was never reached")
    bus_requests: asyncio.Queue[tuple[bytes, asyncio.StreamWriter]] = asyncio.Queue()

    async def on_bus_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        bus_requests.put_nowait((await reader.readline(), writer))

    other = Server()
    hosts = [
        {"host": f"h{number}", "dial": f"127.0.0.1:{at}", "block": number, "health": health}
        for number, at, health in (
            (0, server.listener.sockets[0].getsockname()[1], "draining"),
            (1, await other.start(), "ready"),
        )
    ]
    bus = await asyncio.start_server(on_bus_connection, "127.0.0.1", server.bus)
    line, silent = await asyncio.wait_for(bus_requests.get(), TIMEOUT_S)
    assert line == b"from 1\n"
    line, at = await asyncio.wait_for(bus_requests.get(), TIMEOUT_S)  # again: the first stays unanswered
    assert line == b"from 1\n"
    at.write(json.dumps({"offset": 2, "topology": {"hosts": hosts}}).encode() + b"\n")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    tag = "00000000000000ee"
    while True:  # until the event is applied, set-ups go to the server that will drain
        start(writer, tag)
        coming = {asyncio.create_task(each.next()): each for each in (server, other)}
        done, waiting = await asyncio.wait(coming, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()
        tag_received, on = next(iter(done)).result()
        send(on, "STARTED", tag_received, blob="y")
        assert await receive(reader) == ("STARTED", tag)
        send(writer, "FINISH", tag, rc=16)
        assert await receive(reader) == ("FINISHED", tag)
        if coming[next(iter(done))] is other:
            break
        tag = f"{int(tag, 16) + 256:016x}"
    for _, each in idle:
        each.close()
    silent.close()
    bus.close()
    other.listener.close()


CASES: dict[str, tuple[Case, float]] = {
    "closed in the guard": (closed_in_the_guard, 4000.0),
    "many in one write": (many_in_one_write, 4000.0),
    "terminated twice": (terminated_twice, 1000.0),
    "closed behind a dial": (closed_behind_a_dial, 4000.0),
    "silent bus at the descriptor limit": (silent_bus_at_the_descriptor_limit, 4000.0),
}


@pytest.mark.parametrize("name", CASES)
def test_ends_on_real_sockets(tmp_path: pathlib.Path, name: str) -> None:
    asyncio.run(run_case(tmp_path, *CASES[name]))
