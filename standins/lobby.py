"""Lobby servers and clients on the platform's wire, over real sockets, with books of what each saw.

They do what the protocol allows, at random from a seed; what breaks a rule is a line in `Books.faults`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

UNREAD_S = 1.0  # answers written so shortly before a connection broke may be lost, and are told again
AGAIN = 0.15  # how likely a client's next set-up is the repetition of one that was not answered

Message = dict[str, Any]


def encode(verb: str, tag: str, rc: int | None = None, blob: str | None = None, **opts: Any) -> bytes:
    record: Message = {"verb": verb, "tag": tag, "opts": opts}
    record.update({} if rc is None else {"rc": rc})
    record.update({} if blob is None else {"blob": blob})
    return json.dumps(record).encode() + b"\n"


@dataclass
class Books:
    """What all parties saw; `now` in seconds of the loop's clock."""

    held: dict[str, dict[str, str]] = field(default_factory=dict)  # at each server: out, lost, stands
    unsure: set[str] = field(default_factory=set)  # its client's connection broke before an answer came
    over_first: set[str] = field(default_factory=set)  # their end was heard before any answer
    stands: set[str] = field(default_factory=set)  # calls that their clients know to stand
    answers: int = 0
    refused: int = 0
    ended: int = 0  # calls that servers ended
    waits_ms: list[float] = field(default_factory=list)  # from set-up to answer, where it stands
    faults: list[str] = field(default_factory=list)
    set_ups: list[tuple[float, str, str]] = field(default_factory=list)  # Unix ms, server, call
    apart: set[str] = field(default_factory=set)  # servers that were cut off: given up there, not heard of

    def fault(self, text: str) -> None:
        self.faults.append(text)

    def set_up(self, server: str, call: str) -> None:
        self.set_ups.append((time.time() * 1000.0, server, call))
        for other, calls in self.held.items():
            if calls.get(call, "lost") != "lost" and other not in self.apart:
                self.fault(f"{call}: set up at {server} while {calls[call]} at {other}")
        self.held[server][call] = "out"

    def answered(self, call: str, asked: bool, stands: bool, wait_ms: float) -> None:
        if not asked:
            self.fault(f"{call}: an answer to nothing asked")
        self.answers += 1
        self.unsure.discard(call)
        if stands:
            self.stands.add(call)
            self.waits_ms.append(wait_ms)
        else:
            self.refused += 1


class Lobby:
    """One lobby server: answers after a while, tells lost answers again on the next connection."""

    def __init__(
        self,
        name: str,
        books: Books,
        chance: random.Random,
        longest_ms: float = 10.0,
        busy: float = 0.1,
        ends: float = 0.0,
        stands_ms: float = 60.0,
    ) -> None:
        self.name, self.books, self.chance = name, books, chance
        self.longest_ms, self.busy = longest_ms, busy
        self.ends, self.stands_ms = ends, stands_ms  # the share it ends itself, and how late
        self.ended: set[str] = set()  # by itself, and not confirmed: told again on each new connection
        self.held = books.held.setdefault(name, {})
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.answered: dict[asyncio.StreamWriter, list[tuple[float, str]]] = {}  # when, and which call

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        for call in [call for call, how in self.held.items() if how == "lost"]:
            self.held[call] = "stands"
            writer.write(encode("STARTED", call, blob="told again"))
        for call in sorted(self.ended):
            writer.write(encode("FINISH", call, rc=16))
        out: set[str] = set()
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                message = json.loads(line)
                match message["verb"]:
                    case "START":
                        self.began()
                        self.books.set_up(self.name, message["tag"])
                        out.add(message["tag"])
                        loop.call_later(
                            self.chance.uniform(0.0, self.longest_ms) / 1000.0,
                            self.answer,
                            writer,
                            message["tag"],
                            out,
                        )
                    case "FINISHED":
                        self.ended.discard(message["tag"])
                    case "FINISH":
                        self.held.pop(message["tag"], None)
                        writer.write(encode("FINISHED", message["tag"]))
                    case "ECHO":
                        writer.write(encode("ECHOED", message["tag"], rc=1))
        self.writers.remove(writer)
        for call in out:
            if self.held.get(call) == "out":
                self.held[call] = "lost"
        for when, call in self.answered.pop(writer, []):
            # Written shortly before the connection broke: nobody may have read it.
            if when > loop.time() - UNREAD_S and self.held.get(call) == "stands":
                self.held[call] = "lost"
        writer.close()

    def began(self) -> None:
        """A set-up has come: for stand-ins that count what it costs them."""

    def answer(self, writer: asyncio.StreamWriter, call: str, out: set[str]) -> None:
        if self.held.get(call) != "out" or call not in out or writer.is_closing():
            return
        out.discard(call)
        if self.chance.random() < self.busy:
            del self.held[call]
            writer.write(encode("FINISH", call, rc=34))
        else:
            self.held[call] = "stands"
            writer.write(encode("STARTED", call, blob="a table"))
            self.answered.setdefault(writer, []).append((asyncio.get_running_loop().time(), call))
            if self.chance.random() < self.ends:
                asyncio.get_running_loop().call_later(
                    self.chance.uniform(0.0, self.stands_ms) / 1000.0, self.end, call
                )

    def end(self, call: str) -> None:
        """Ends a call that stands: on the newest connection, and on each later one until it is confirmed."""
        if self.held.get(call) == "stands":
            del self.held[call]
            self.ended.add(call)
            self.books.ended += 1
            if self.writers:
                self.writers[-1].write(encode("FINISH", call, rc=16))

    def end_all(self) -> None:
        """Ends by itself whatever it still holds."""
        for call in list(self.held):
            del self.held[call]
            self.ended.add(call)
            if self.writers:
                self.writers[-1].write(encode("FINISH", call, rc=16))


class Caller:
    """One client: sets calls up, releases them, and after a broken connection repeats some and forgets
    others."""

    def __init__(
        self,
        name: int,
        books: Books,
        chance: random.Random,
        port: Callable[[], int],
        gap_ms: float = 10.0,
        hold_ms: float = 100.0,
        repeat: float = 0.5,
        address: str = "127.0.0.1",
    ) -> None:
        self.address = address  # that it connects from
        self.connects = 0
        self.name, self.books, self.chance, self.port = name, books, chance, port
        self.gap_ms, self.hold_ms, self.repeat = gap_ms, hold_ms, repeat
        self.count = 0
        self.asked: dict[str, float] = {}  # without an answer: when it was asked
        self.mine: set[str] = set()  # stands, as far as this client knows
        self.releasing: set[str] = set()  # released, and not confirmed
        self.again: list[str] = []
        self.asking = True
        self.elsewhere = False  # a balancer sends it to other agents: it begins nothing here
        self.heeds = True  # such a balancer
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            if self.elsewhere and not (self.mine or self.releasing or self.again):
                await asyncio.sleep(0.01)
                continue
            try:
                reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", self.port(), local_addr=(self.address, 0)
                )
                self.connects += 1
            except ConnectionError:
                await asyncio.sleep(0.01)
                continue
            asking = asyncio.create_task(self.ask(self.writer))
            try:
                for call in sorted(self.releasing):
                    self.release(call)
                while line := await reader.readline():
                    self.heard(json.loads(line))
            except ConnectionError:
                pass
            finally:
                asking.cancel()
                self.writer.close()
                self.writer = None
            for call in self.asked:
                self.books.unsure.add(call)
                if self.chance.random() < self.repeat:
                    self.again.append(call)
            self.asked.clear()

    async def ask(self, writer: asyncio.StreamWriter) -> None:
        while self.asking:
            if self.elsewhere:
                await asyncio.sleep(0.01)
                continue
            if self.again and self.chance.random() < AGAIN:
                call = self.again.pop()
            else:
                self.count += 1
                call = f"{self.name:08x}{self.count:08x}"
            self.asked[call] = asyncio.get_running_loop().time()
            asking: Message = {"class": "race", "left": 8000}
            writer.write(encode("START", call, blob=f"description {call}", **asking))
            await asyncio.sleep(self.chance.expovariate(1000.0 / self.gap_ms))

    def heard(self, message: Message) -> None:
        call, verb = message["tag"], message["verb"]
        loop = asyncio.get_running_loop()
        if verb == "STARTED":
            if call in self.books.over_first:
                self.books.fault(f"{call}: answered after its end")
            asked_at = self.asked.pop(call, None)
            wait_ms = (loop.time() - asked_at) * 1000.0 if asked_at is not None else 0.0
            self.books.answered(call, asked_at is not None, True, wait_ms)
            self.mine.add(call)
            loop.call_later(self.chance.uniform(0.0, self.hold_ms) / 1000.0, self.release, call)
        elif verb == "FINISH" and call in self.asked:
            del self.asked[call]
            self.books.answered(call, True, False, 0.0)
        elif verb == "FINISH":
            if call in self.books.unsure:
                # Clients pass a release on: to the one that waits it has failed, its repetition on its way.
                self.books.over_first.add(call)
            self.mine.discard(call)
            self.books.stands.discard(call)
            self.books.unsure.discard(call)
            if self.writer is not None:
                self.writer.write(encode("FINISHED", call))
        elif verb == "FINISHED":
            self.releasing.discard(call)

    def release(self, call: str) -> None:
        """Says that a call is over; said again on the next connection until it is confirmed."""
        if call in self.mine or call in self.releasing:
            self.mine.discard(call)
            self.books.stands.discard(call)
            self.releasing.add(call)
            if self.writer is not None:
                self.writer.write(encode("FINISH", call, rc=16))


def configuration(listen: int, ports: list[int], **more: Any) -> dict[str, Any]:
    """The agent's: one class of calls, these lobby servers, no event bus."""
    hosts = [
        {
            "host": f"h{number}",
            "dial": f"127.0.0.1:{port}",
            "site": "east",
            "class": "std",
            "block": number,
            "health": "ready",
            "share": 100,
            "born_ms": 0.0,
        }
        for number, port in enumerate(ports)
    ]
    event = {"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}
    settings = {
        "services": [{"name": "race", "aim-ms": 1500.0, "deadline-ms": 9000.0, "late-worth": 0.1}],
        "caps": {"try-limit": 4, "may-cancel": True, "connect-timeout-ms": 500.0},
        "family-info": {
            "topology": "pools",
            "pools-by-class": [list(range(len(ports)))],
            "holding-ms": [100.0],
            "release-guard-ms": 500.0,
            "retransmit-ms": 400.0,
        },
        "report": {"columns": ["free", "size", "can_take"]},
        "me": 0,
        "siblings": 1,
        "rules": {
            "drain-grace-ms": 2000.0,
            "cold-from": 0.34,
            "cold-ms": 15000.0,
            "fall-multiple": 3.0,
            "fall-ms": 2000.0,
        },
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "seed": "0a",
        "limits": {"sockets": 256},
        "known": {"offset": 1, "batch": [event]},
        "settings": settings,
        **more,
    }
