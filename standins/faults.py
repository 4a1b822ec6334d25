"""Relays for TCP and datagrams that inject faults between processes and count what they did.

A relay serves one ordered pair of parties: data from the first to the second goes forward, replies go back.
Each direction can be cut, delayed or throttled by itself. TCP connections can be stalled (accepted, and
nothing read), reset in the middle of a message, or refused; datagrams can be lost, duplicated and reordered.
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
class DirectionFaults:
    """The faults of one direction of a relay. `rate` is in bytes per second; 0 means unlimited."""

    cut: bool = False
    loss: float = 0.0  # probability for each datagram
    double: float = 0.0  # probability that a datagram is sent twice
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    rate: float = 0.0


class Relay:
    """Common base of the relays: the faults of both directions and counters of what was done."""

    def __init__(self, name: str, target: tuple[str, int], rng: random.Random) -> None:
        self.name = name
        self.target = target
        self.rng = rng
        self.faults = {FORWARD: DirectionFaults(), BACK: DirectionFaults()}
        # Keys: passed, lost, doubled, cut, stalled, reset, refused, delayed, throttled, dead.
        self.counts: Counter[str] = Counter()
        self.address = ""

    def heal(self) -> None:
        """Removes all faults."""
        self.faults = {FORWARD: DirectionFaults(), BACK: DirectionFaults()}

    def _delay_s(self, faults: DirectionFaults) -> float:
        if faults.delay_ms or faults.jitter_ms:
            self.counts["delayed"] += 1
        return (faults.delay_ms + self.rng.uniform(0.0, faults.jitter_ms)) / 1000.0


class DatagramRelay(Relay):
    """Relays datagrams. Each sender gets its own socket to the target, so that replies can be routed back."""

    async def start(self) -> str:
        """Listens, and returns `address`."""
        loop = asyncio.get_running_loop()
        self.upstream: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self.opening: set[asyncio.Task[None]] = set()
        relay = self

        class ListenerProtocol(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                relay._apply_faults(FORWARD, data, lambda: relay._send_upstream(data, addr))

        self.listener, _ = await loop.create_datagram_endpoint(ListenerProtocol, local_addr=("127.0.0.1", 0))
        host, port = self.listener.get_extra_info("sockname")
        self.address = f"{host}:{port}"
        return self.address

    def _apply_faults(self, direction: str, data: bytes, send: object) -> None:
        assert callable(send)
        faults = self.faults[direction]
        if faults.cut:
            self.counts["cut"] += 1
            return
        if self.rng.random() < faults.loss:
            self.counts["lost"] += 1
            return
        copies = 1 + (self.rng.random() < faults.double)
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            self.counts["passed"] += 1
            asyncio.get_running_loop().call_later(self._delay_s(faults), send)

    def _send_upstream(self, data: bytes, sender: tuple[str, int]) -> None:
        if sender in self.upstream:
            self.upstream[sender].sendto(data)
        elif not self.listener.is_closing():
            task = asyncio.ensure_future(self._open_upstream(data, sender))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _open_upstream(self, data: bytes, sender: tuple[str, int]) -> None:
        relay = self

        class UpstreamProtocol(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                relay._apply_faults(BACK, data, lambda: relay._send_back(data, sender))

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            UpstreamProtocol, remote_addr=self.target
        )
        existing = self.upstream.setdefault(sender, transport)
        if existing is not transport:
            transport.close()
        existing.sendto(data)

    def _send_back(self, data: bytes, sender: tuple[str, int]) -> None:
        if not self.listener.is_closing():
            self.listener.sendto(data, sender)

    def stop(self) -> None:
        self.listener.close()
        for transport in self.upstream.values():
            transport.close()


class StreamRelay(Relay):
    """Relays TCP connections. A cut direction holds its data back until it is repaired; a stalled relay
    accepts connections and reads nothing."""

    stalled = refusing = False

    async def start(self) -> str:
        """Listens, and returns `address`."""
        self.connections: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            self.counts["refused"] += 1
            abort(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        pair = (writer, upstream_writer)
        self.connections.add(pair)
        copy_tasks = [
            asyncio.create_task(self._copy(FORWARD, reader, upstream_writer)),
            asyncio.create_task(self._copy(BACK, upstream_reader, writer)),
        ]
        self.tasks.update(copy_tasks)
        await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in copy_tasks:
            task.cancel()
        self.tasks.difference_update(copy_tasks)
        self.connections.discard(pair)
        for end in pair:
            end.close()

    async def _copy(self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                while self.stalled or self.faults[direction].cut:
                    self.counts["stalled" if self.stalled else "cut"] += 1
                    await asyncio.sleep(0.05)
                try:
                    data = await asyncio.wait_for(reader.read(4096), 0.1)
                except TimeoutError:
                    continue
                if not data:
                    return
                faults = self.faults[direction]
                self.counts["throttled"] += faults.rate > 0.0
                wait = self._delay_s(faults) + (len(data) / faults.rate if faults.rate else 0.0)
                if wait:
                    await asyncio.sleep(wait)
                while self.stalled or self.faults[direction].cut:
                    self.counts["stalled" if self.stalled else "cut"] += 1
                    await asyncio.sleep(0.05)
                writer.write(data)
                self.counts["passed"] += 1
                await writer.drain()

    def reset(self) -> None:
        """Resets all open connections at once, also in the middle of a message."""
        for pair in self.connections:
            self.counts["reset"] += 1
            for writer in pair:
                abort(writer)

    def stop_listening(self) -> None:
        """Closes the listening socket and resets all connections, as if the process had died."""
        self.counts["dead"] += 1
        self.server.close()
        self.reset()

    async def listen_again(self) -> None:
        """Listens on the same address again after `stop_listening`."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def heal(self) -> None:
        super().heal()
        self.stalled = self.refusing = False

    def stop(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for pair in self.connections:
            for writer in pair:
                abort(writer)


def abort(writer: asyncio.StreamWriter) -> None:
    """Closes a stream's connection with a TCP reset (RST)."""
    reset(writer.transport)


def reset(transport: asyncio.WriteTransport) -> None:
    """Closes a transport with a TCP reset (RST): SO_LINGER with time 0 discards unsent data."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    transport.abort()
