"""A scripted client: sets calls up, cancels or ends some of them, and reconnects when its connection breaks.

It speaks the platform's wire; `trials.diameter` translates for a Diameter peer.
"""

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
from trials.split_writer import SplitWriter

# Causes of a FINISH.
CANCELLED_CAUSE = 16
NORMAL_CAUSE = 16
REFUSAL_CAUSES = (34, 42, 102)
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05  # between a failed connection attempt and the next one


@dataclass
class ClientBehaviour:
    """How a client behaves. Times in seconds, shares from 0 to 1."""

    gap_s: float = 0.05  # mean time between two set-ups
    wait_s: tuple[float, float] = (1.0, 3.0)  # bounds of the time that a set-up allows (`left`)
    hold_s: float = 4.0  # mean time after which it ends an established call
    ends_share: float = 0.4  # of the established calls, those that the client ends
    cancels_share: float = 0.02  # set-ups that it gives up
    closes_every_s: float = 0.0  # mean life of a connection until the client closes it; 0: never closes
    resets: bool = False  # it closes with a reset
    split_writes: bool = False  # each line is written in two parts


class Client(asyncio.Protocol):
    """One client with one connection at a time to one agent.

    `number` makes its tags unique within the trial.
    """

    def __init__(
        self,
        name: str,
        agent: str,
        port: int,
        history: History,
        rng: random.Random,
        behaviour: ClientBehaviour,
        call_class: str,
        number: int,
        diameter: bool = False,
    ) -> None:
        """`diameter`: whether it is a Diameter peer rather than a platform client."""
        self.diameter = diameter
        self.codec: Codec | None = None
        self.name = name
        self.agent = agent
        self.port = port
        self.number = number
        # Every other client has an address of its own; the others share one, as behind a translator.
        self.address = f"127.0.30.{number + 1}" if number % 2 else "127.0.0.1"
        self.history = history
        self.rng = rng
        self.behaviour = behaviour
        self.call_class = call_class
        self.transport: Any = None
        self.partial_line = b""
        self.split_writer = SplitWriter()
        self.set_up_count = 0
        self.unanswered: set[str] = set()  # tags of set-ups without a final answer
        self.cancelled: set[str] = set()
        self.established: set[str] = set()
        self.releasing: set[str] = set()  # released, not confirmed: repeated on each new connection
        self.sends_set_ups = True
        self.tasks: list[asyncio.Task[None]] = []
        self.disconnected: asyncio.Event = asyncio.Event()
        self.closed_locally = False

    def start(self) -> None:
        """Connects and sends set-ups until `stop`."""
        self.tasks = [asyncio.ensure_future(self._run())]

    def stop(self) -> None:
        """Stops and aborts the connection without recording an event."""
        for task in self.tasks:
            task.cancel()
        if self.transport is not None:
            self.transport.abort()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.disconnected = asyncio.Event()
            try:
                dial = loop.create_connection(
                    lambda: self, "127.0.0.1", self.port, local_addr=(self.address, 0)
                )
                await asyncio.wait_for(dial, CONNECT_TIMEOUT_S)
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            sending = asyncio.ensure_future(self._generate_set_ups())
            closing = asyncio.ensure_future(self._close_at_random())
            try:
                await self.disconnected.wait()
            finally:
                sending.cancel()
                closing.cancel()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.partial_line = b""
        self.closed_locally = False
        self.split_writer = SplitWriter()
        if self.diameter:
            self.codec = Codec(self.name, True)
            self.transport.write(self.codec.opening_message())
        # An agent sends nothing to a client before the client's first message.
        self._write(encode("ECHO", "0" * 16, rc=0))
        for tag in self.releasing:
            self._write(encode("FINISH", tag, rc=NORMAL_CAUSE))

    def data_received(self, data: bytes) -> None:
        if self.codec is not None:
            received = self.codec.feed(data)
            self._write_bytes(received.replies)
            for message in received.messages:
                self._message_received(message)
            return
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self._message_received(json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        kind = Kind.CLIENT_CLOSED if self.closed_locally else Kind.CONNECTION_LOST
        if not self.closed_locally:
            self._record_lost_set_ups(kind)
        self.transport = None
        self.disconnected.set()

    def _record_lost_set_ups(self, kind: Kind) -> None:
        for tag in self.unanswered:
            self.history.add(kind, self.name, call=tag)
        self.unanswered.clear()
        self.cancelled.clear()

    def close(self) -> None:
        """Aborts the connection, with a reset where the behaviour says so, whatever is outstanding on it."""
        if self.transport is None:
            return
        self.closed_locally = True
        self._record_lost_set_ups(Kind.CLIENT_CLOSED)
        if self.behaviour.resets:
            reset(self.transport)
        else:
            self.transport.abort()

    async def _close_at_random(self) -> None:
        if self.behaviour.closes_every_s:
            await asyncio.sleep(self.rng.expovariate(1.0 / self.behaviour.closes_every_s))
            self.close()

    # Calls

    async def _generate_set_ups(self) -> None:
        while True:
            if self.sends_set_ups and not self.closed_locally and (self.codec is None or self.codec.open):
                self._send_set_up()
            await asyncio.sleep(self.rng.expovariate(1.0 / self.behaviour.gap_s))

    def _send_set_up(self) -> None:
        self.set_up_count += 1
        tag = f"{self.number:08x}{self.set_up_count:08x}"
        wait_s = self.rng.uniform(*self.behaviour.wait_s)
        options: dict[str, Any] = {
            "class": self.call_class,
            "left": str(round(wait_s * 1000.0)),
            "extras": "dest:-1;width:1;via:-1",
            "key": f"{self.set_up_count:016x}",
        }
        line = encode("START", tag, blob=f"description {tag}", **options)
        self.unanswered.add(tag)
        loop = asyncio.get_running_loop()
        loop.call_later(self._write(line), self._set_up_written, tag, wait_s)

    def _write(self, line: bytes) -> float:
        """Writes a line; returns the seconds until its last byte is written."""
        return self._write_bytes(line if self.codec is None else self.codec.encode(line))

    def _write_bytes(self, data: bytes) -> float:
        if self.behaviour.split_writes and data:
            return self.split_writer.write(self.transport, data)
        self.transport.write(data)
        return 0.0

    def _set_up_written(self, tag: str, wait_s: float) -> None:
        if tag not in self.unanswered:
            return
        self.history.add(Kind.ASKED, self.name, call=tag, number=wait_s, text=self.agent)
        if self.rng.random() < self.behaviour.cancels_share:
            asyncio.get_running_loop().call_later(self.rng.uniform(0.0, wait_s / 2.0), self._cancel, tag)

    def _cancel(self, tag: str) -> None:
        if tag in self.unanswered and self.transport is not None:
            self.cancelled.add(tag)
            self._write(encode("FINISH", tag, rc=CANCELLED_CAUSE))
            self.history.add(Kind.GAVE_UP, self.name, call=tag)

    def _message_received(self, message: dict[str, Any]) -> None:
        tag = str(message["tag"])
        verb = message["verb"]
        if verb == "STARTED":
            self._call_answered(tag, str(message["blob"]))
        elif verb == "FINISH" and tag in self.unanswered:
            self.unanswered.discard(tag)
            refused = int(message["rc"]) in REFUSAL_CAUSES
            self.history.add(
                Kind.REFUSED if refused else Kind.FAILED, self.name, call=tag, number=int(message["rc"])
            )
        elif verb == "FINISH":
            self.established.discard(tag)
            self.releasing.discard(tag)
            self.history.add(Kind.TOLD_OVER, self.name, call=tag)
            self._write(encode("FINISHED", tag))
        elif verb == "FINISHED":
            self.unanswered.discard(tag)
            self.cancelled.discard(tag)
            self.releasing.discard(tag)

    def _call_answered(self, tag: str, description: str) -> None:
        self.history.add(Kind.ANSWERED, self.name, call=tag, text=description)
        self.unanswered.discard(tag)
        if tag in self.cancelled:
            return  # the give-up crossed the answer and ends the call
        self.established.add(tag)
        if self.rng.random() < self.behaviour.ends_share:
            hold_s = self.rng.expovariate(1.0 / self.behaviour.hold_s)
            asyncio.get_running_loop().call_later(hold_s, self.release, tag)

    def release(self, tag: str) -> None:
        """Releases a call if it is still established; without a connection, once there is one."""
        if tag not in self.established:
            return
        if self.transport is None:
            asyncio.get_running_loop().call_later(0.2, self.release, tag)
            return
        self.established.discard(tag)
        self.releasing.add(tag)
        self._write(encode("FINISH", tag, rc=NORMAL_CAUSE))
        self.history.add(Kind.RELEASED, self.name, call=tag)
