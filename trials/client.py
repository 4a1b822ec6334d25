"""A scripted client on the platform's wire: sets calls up, ends some of them, and keeps connections open."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from typing import Any

from standins.faults import reset
from standins.lobby import encode
from trials.diameter import Codec
from trials.history import History, Kind
from trials.pieces import Pieces

CANCELLED, NORMAL = 16, 16
REFUSALS = (34, 42, 102)
CONNECT_S = 1.0
PAUSE_S = 0.05  # before it connects again


@dataclass
class Habits:
    """What a client does. Times in seconds, shares from 0 to 1."""

    gap_s: float = 0.05  # mean time between two set-ups
    wait_s: tuple[float, float] = (1.0, 3.0)  # `left` of a set-up, drawn between these
    hold_s: float = 4.0  # mean time after which it ends a call that stands
    ends_share: float = 0.4  # of the calls that stand, those that it ends itself
    cancels_share: float = 0.02
    closes_every_s: float = 0.0  # mean time between two closes in the middle of work; 0: never
    resets: bool = False  # such a close is a reset
    pieces: bool = False  # lines are written in two parts


class Client(asyncio.Protocol):
    """One client with one connection at a time to one agent."""

    def __init__(
        self,
        name: str,
        agent: str,
        port: int,
        history: History,
        chance: random.Random,
        habits: Habits,
        call_class: str,
        number: int,
        diameter: bool = False,
    ) -> None:
        """`diameter`: whether it is a Diameter peer, or speaks the platform's lines."""
        self.diameter = diameter
        self.codec: Codec | None = None
        self.name, self.agent, self.port, self.number = name, agent, port, number
        self.history, self.chance, self.habits, self.call_class = history, chance, habits, call_class
        self.transport: Any = None
        self.rest = b""
        self.pieces = Pieces()
        self.count = 0
        self.waiting: set[str] = set()  # set-ups without an answer
        self.cancelled: set[str] = set()
        self.standing: set[str] = set()
        self.releasing: set[str] = set()  # released and not confirmed: said again on each new connection
        self.asking = True
        self.tasks: list[asyncio.Task[None]] = []
        self.lost: asyncio.Event = asyncio.Event()
        self.closing_here = False

    def start(self) -> None:
        """Runs until `stop`."""
        self.tasks = [asyncio.ensure_future(self._run())]

    def stop(self) -> None:
        """Ends without a further event."""
        for task in self.tasks:
            task.cancel()
        if self.transport is not None:
            self.transport.abort()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.lost = asyncio.Event()
            try:
                await asyncio.wait_for(
                    loop.create_connection(lambda: self, "127.0.0.1", self.port), CONNECT_S
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            asking = asyncio.ensure_future(self._ask())
            closing = asyncio.ensure_future(self._close_sometime())
            try:
                await self.lost.wait()
            finally:
                asking.cancel()
                closing.cancel()

    # Its connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.rest, self.closing_here = transport, b"", False
        self.pieces = Pieces()
        if self.diameter:
            self.codec = Codec(self.name, True)
            self.transport.write(self.codec.begin())
        self._write(encode("ECHO", "0" * 16, rc=0))  # an agent tells nothing to one that says nothing
        for tag in self.releasing:
            self._write(encode("FINISH", tag, rc=NORMAL))

    def data_received(self, data: bytes) -> None:
        if self.codec is not None:
            heard = self.codec.feed(data)
            self._write_bytes(heard.replies)
            for message in heard.messages:
                self._heard(message)
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self._heard(json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        kind = Kind.CLIENT_CLOSED if self.closing_here else Kind.CONNECTION_LOST
        if not self.closing_here:
            self._lose(kind)
        self.transport = None
        self.lost.set()

    def _lose(self, kind: Kind) -> None:
        for tag in self.waiting:
            self.history.add(kind, self.name, call=tag)
        self.waiting.clear()
        self.cancelled.clear()

    def close(self) -> None:
        """Breaks its connection, whatever is open on it."""
        if self.transport is None:
            return
        self.closing_here = True
        self._lose(Kind.CLIENT_CLOSED)
        if self.habits.resets:
            reset(self.transport)
        else:
            self.transport.abort()

    async def _close_sometime(self) -> None:
        if self.habits.closes_every_s:
            await asyncio.sleep(self.chance.expovariate(1.0 / self.habits.closes_every_s))
            self.close()

    # Its calls

    async def _ask(self) -> None:
        while True:
            if self.asking and not self.closing_here and (self.codec is None or self.codec.open):
                self._set_up()
            await asyncio.sleep(self.chance.expovariate(1.0 / self.habits.gap_s))

    def _set_up(self) -> None:
        self.count += 1
        tag = f"{self.number:08x}{self.count:08x}"
        wait_s = self.chance.uniform(*self.habits.wait_s)
        options: dict[str, Any] = {
            "class": self.call_class,
            "left": str(round(wait_s * 1000.0)),
            "extras": "dest:-1;width:1;via:-1",
            "key": f"{self.count:016x}",
        }
        line = encode("START", tag, blob=f"description {tag}", **options)
        self.waiting.add(tag)
        loop = asyncio.get_running_loop()
        loop.call_later(self._write(line), self._asked, tag, wait_s)

    def _write(self, line: bytes) -> float:
        """Writes a line, at once or in pieces; how long it takes, in seconds."""
        return self._write_bytes(line if self.codec is None else self.codec.encode(line))

    def _write_bytes(self, data: bytes) -> float:
        if self.habits.pieces and data:
            return self.pieces.write(self.transport, data)
        self.transport.write(data)
        return 0.0

    def _asked(self, tag: str, wait_s: float) -> None:
        if tag not in self.waiting:
            return
        self.history.add(Kind.ASKED, self.name, call=tag, number=wait_s, text=self.agent)
        if self.chance.random() < self.habits.cancels_share:
            asyncio.get_running_loop().call_later(self.chance.uniform(0.0, wait_s / 2.0), self._cancel, tag)

    def _cancel(self, tag: str) -> None:
        if tag in self.waiting and self.transport is not None:
            self.cancelled.add(tag)
            self._write(encode("FINISH", tag, rc=CANCELLED))
            self.history.add(Kind.GAVE_UP, self.name, call=tag)

    def _heard(self, message: dict[str, Any]) -> None:
        tag, verb = str(message["tag"]), message["verb"]
        if verb == "STARTED":
            self._answered(tag, str(message["blob"]))
        elif verb == "FINISH" and tag in self.waiting:
            self.waiting.discard(tag)
            refused = int(message["rc"]) in REFUSALS
            self.history.add(
                Kind.REFUSED if refused else Kind.FAILED, self.name, call=tag, number=int(message["rc"])
            )
        elif verb == "FINISH":
            self.standing.discard(tag)
            self.releasing.discard(tag)
            self.history.add(Kind.TOLD_OVER, self.name, call=tag)
            self._write(encode("FINISHED", tag))
        elif verb == "FINISHED":
            self.waiting.discard(tag)
            self.cancelled.discard(tag)
            self.releasing.discard(tag)

    def _answered(self, tag: str, description: str) -> None:
        self.history.add(Kind.ANSWERED, self.name, call=tag, text=description)
        self.waiting.discard(tag)
        if tag in self.cancelled:
            return  # its give-up crosses the answer, and ends the call
        self.standing.add(tag)
        if self.chance.random() < self.habits.ends_share:
            hold_s = self.chance.expovariate(1.0 / self.habits.hold_s)
            asyncio.get_running_loop().call_later(hold_s, self.release, tag)

    def release(self, tag: str) -> None:
        """Ends a call that stands, if it still does."""
        if tag not in self.standing:
            return
        if self.transport is None:
            asyncio.get_running_loop().call_later(0.2, self.release, tag)
            return
        self.standing.discard(tag)
        self.releasing.add(tag)
        self._write(encode("FINISH", tag, rc=NORMAL))
        self.history.add(Kind.RELEASED, self.name, call=tag)
