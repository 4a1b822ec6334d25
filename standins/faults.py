"""Faults between processes: relays for TCP and datagrams, each with a script and a record of what it did.

A relay stands for one ordered pair of parties: what the first sends to the second goes forward, what comes
back goes back. Either way can be cut, delayed, throttled or lost by itself; TCP can be stalled (accepted, and
nothing read), reset in the middle of a message, or refused; datagrams can be lost, doubled and reordered.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter
from dataclasses import dataclass

FORWARD, BACK = "forward", "back"


@dataclass
class Way:
    """One direction of a relay. Times in ms, `rate` in bytes a second (0: as fast as it goes)."""

    cut: bool = False
    loss: float = 0.0  # of datagrams
    double: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    rate: float = 0.0


class Relay:
    """What both kinds share: two ways, a record, a seed."""

    def __init__(self, name: str, target: tuple[str, int], chance: random.Random) -> None:
        self.name, self.target, self.chance = name, target, chance
        self.ways = {FORWARD: Way(), BACK: Way()}
        self.record: Counter[str] = Counter()  # passed, lost, doubled, cut, stalled, reset, refused, delayed
        self.address = ""

    def heal(self) -> None:
        self.ways = {FORWARD: Way(), BACK: Way()}

    def _wait_s(self, way: Way) -> float:
        if way.delay_ms or way.jitter_ms:
            self.record["delayed"] += 1
        return (way.delay_ms + self.chance.uniform(0.0, way.jitter_ms)) / 1000.0


class DatagramRelay(Relay):
    """Each sender gets a socket of its own towards the target, so that answers find the way back."""

    async def start(self) -> str:
        loop = asyncio.get_running_loop()
        self.towards: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self.beginning: set[asyncio.Task[None]] = set()
        relay = self

        class Front(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                relay._pass(FORWARD, data, lambda: relay._out(data, addr))

        self.front, _ = await loop.create_datagram_endpoint(Front, local_addr=("127.0.0.1", 0))
        host, port = self.front.get_extra_info("sockname")
        self.address = f"{host}:{port}"
        return self.address

    def _pass(self, direction: str, data: bytes, send: object) -> None:
        assert callable(send)
        way = self.ways[direction]
        if way.cut:
            self.record["cut"] += 1
            return
        if self.chance.random() < way.loss:
            self.record["lost"] += 1
            return
        copies = 1 + (self.chance.random() < way.double)
        self.record["doubled"] += copies - 1
        for _ in range(copies):
            self.record["passed"] += 1
            asyncio.get_running_loop().call_later(self._wait_s(way), send)

    def _out(self, data: bytes, sender: tuple[str, int]) -> None:
        if sender in self.towards:
            self.towards[sender].sendto(data)
        elif not self.front.is_closing():
            task = asyncio.ensure_future(self._begin(data, sender))
            self.beginning.add(task)
            task.add_done_callback(self.beginning.discard)

    async def _begin(self, data: bytes, sender: tuple[str, int]) -> None:
        relay = self

        class Side(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                relay._pass(BACK, data, lambda: relay._return(data, sender))

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Side, remote_addr=self.target
        )
        before = self.towards.setdefault(sender, transport)
        if before is not transport:
            transport.close()
        before.sendto(data)

    def _return(self, data: bytes, sender: tuple[str, int]) -> None:
        if not self.front.is_closing():
            self.front.sendto(data, sender)

    def stop(self) -> None:
        self.front.close()
        for transport in self.towards.values():
            transport.close()


class StreamRelay(Relay):
    """TCP. A cut way holds what it has; a stalled relay accepts and reads nothing."""

    stalled = refusing = False

    async def start(self) -> str:
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            self.record["refused"] += 1
            abort(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        both = [
            asyncio.create_task(self._copy(FORWARD, reader, far_writer)),
            asyncio.create_task(self._copy(BACK, far_reader, writer)),
        ]
        self.tasks.update(both)
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        for task in both:
            task.cancel()
        self.tasks.difference_update(both)
        self.pairs.discard(pair)
        for end in pair:
            end.close()

    async def _copy(self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                while self.stalled or self.ways[direction].cut:
                    self.record["stalled" if self.stalled else "cut"] += 1
                    await asyncio.sleep(0.05)
                try:
                    data = await asyncio.wait_for(reader.read(4096), 0.1)
                except TimeoutError:
                    continue
                if not data:
                    return
                way = self.ways[direction]
                self.record["throttled"] += way.rate > 0.0
                wait = self._wait_s(way) + (len(data) / way.rate if way.rate else 0.0)
                if wait:
                    await asyncio.sleep(wait)
                while self.stalled or self.ways[direction].cut:
                    self.record["stalled" if self.stalled else "cut"] += 1
                    await asyncio.sleep(0.05)
                writer.write(data)
                self.record["passed"] += 1
                await writer.drain()

    def reset(self) -> None:
        """Breaks all connections now, in the middle of whatever is on them."""
        for pair in self.pairs:
            self.record["reset"] += 1
            for writer in pair:
                abort(writer)

    def die(self) -> None:
        """Nobody listens any more, as where a process has died; until `live`."""
        self.record["dead"] += 1
        self.server.close()
        self.reset()

    async def live(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def heal(self) -> None:
        super().heal()
        self.stalled = self.refusing = False

    def stop(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for pair in self.pairs:
            for writer in pair:
                abort(writer)


def abort(writer: asyncio.StreamWriter) -> None:
    """Closes with a reset (RST), as a broken peer does."""
    reset(writer.transport)


def reset(transport: asyncio.WriteTransport) -> None:
    """The same for what is not a stream's."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    transport.abort()
