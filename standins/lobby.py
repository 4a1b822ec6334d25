"""Scripted lobby servers and clients that speak the platform's protocol over real sockets.

They choose among what the protocol allows with a seeded random generator, and record what they observe in one
`Observations` object, which adds a line to its `violations` for each violation of the protocol by the agent.
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

# Answers written within this time before a disconnect may be unread, so they are resent.
RESEND_WINDOW_S = 1.0
REPEAT_PROBABILITY = 0.15  # that a client's next set-up repeats an unanswered one

Message = dict[str, Any]


def encode(verb: str, tag: str, rc: int | None = None, blob: str | None = None, **opts: Any) -> bytes:
    """One message of the platform's protocol, as a line of JSON."""
    record: Message = {"verb": verb, "tag": tag, "opts": opts}
    record.update({} if rc is None else {"rc": rc})
    record.update({} if blob is None else {"blob": blob})
    return json.dumps(record).encode() + b"\n"


@dataclass
class Observations:
    """What all servers and clients of one test observe, with checks across them.

    A call at a server is "out" while the server prepares its answer, "stands" (is established) once the
    answer is written, and "lost" if the connection broke before the agent can be assumed to have read it.
    """

    calls_by_server: dict[str, dict[str, str]] = field(default_factory=dict)  # state by call, by server name
    uncertain: set[str] = field(default_factory=set)  # calls whose client lost its connection unanswered
    ended_before_answer: set[str] = field(default_factory=set)  # calls whose end came before any answer
    established: set[str] = field(default_factory=set)  # established calls, as far as their clients know
    answers: int = 0
    refused: int = 0
    ended: int = 0  # calls that servers ended
    answer_times_ms: list[float] = field(default_factory=list)  # from set-up to answer, of established calls
    violations: list[str] = field(default_factory=list)  # of the protocol, by the agent
    set_ups: list[tuple[float, str, str]] = field(default_factory=list)  # Unix ms, server, call
    partitioned: set[str] = field(default_factory=set)  # servers that a test cut off; they miss releases

    def report_violation(self, text: str) -> None:
        self.violations.append(text)

    def record_set_up(self, server: str, call: str) -> None:
        """Records a set-up; it is a violation while a server that is not cut off still has the call."""
        self.set_ups.append((time.time() * 1000.0, server, call))
        for other, calls in self.calls_by_server.items():
            if calls.get(call, "lost") != "lost" and other not in self.partitioned:
                self.report_violation(f"{call}: set up at {server} while {calls[call]} at {other}")
        self.calls_by_server[server][call] = "out"

    def record_answer(self, call: str, requested: bool, established: bool, wait_ms: float) -> None:
        """Records an answer that a client received.

        `requested`: whether the set-up was open. `wait_ms` counts only if the call was established.
        """
        if not requested:
            self.report_violation(f"{call}: answered without an open set-up")
        self.answers += 1
        self.uncertain.discard(call)
        if established:
            self.established.add(call)
            self.answer_times_ms.append(wait_ms)
        else:
            self.refused += 1


class LobbyServer:
    """One lobby server. It answers each set-up after a random delay, and resends answers that may be lost and
    pending releases on each new connection."""

    def __init__(
        self,
        name: str,
        observed: Observations,
        rng: random.Random,
        max_answer_ms: float = 10.0,
        refusal_probability: float = 0.1,
        end_probability: float = 0.0,
        max_call_ms: float = 60.0,
    ) -> None:
        self.name = name
        self.observed = observed
        self.rng = rng
        self.max_answer_ms = max_answer_ms
        self.refusal_probability = refusal_probability
        # The share of established calls that it ends by itself, and after how long at most.
        self.end_probability = end_probability
        self.max_call_ms = max_call_ms
        self.pending_releases: set[str] = set()  # not confirmed: sent again on each new connection
        self.calls = observed.calls_by_server.setdefault(name, {})
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.answers: dict[asyncio.StreamWriter, list[tuple[float, str]]] = {}  # loop time and call

    async def start(self) -> int:
        """Listens, and returns the port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection; when it breaks, unanswered set-ups and recent answers count as lost."""
        self.writers.append(writer)
        for call in [call for call, state in self.calls.items() if state == "lost"]:
            self.calls[call] = "stands"
            writer.write(encode("STARTED", call, blob="told again"))
        for call in sorted(self.pending_releases):
            writer.write(encode("FINISH", call, rc=16))
        unanswered: set[str] = set()
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                message = json.loads(line)
                match message["verb"]:
                    case "START":
                        self.on_set_up()
                        self.observed.record_set_up(self.name, message["tag"])
                        unanswered.add(message["tag"])
                        loop.call_later(
                            self.rng.uniform(0.0, self.max_answer_ms) / 1000.0,
                            self.answer,
                            writer,
                            message["tag"],
                            unanswered,
                        )
                    case "FINISHED":
                        self.pending_releases.discard(message["tag"])
                    case "FINISH":
                        self.calls.pop(message["tag"], None)
                        writer.write(encode("FINISHED", message["tag"]))
                    case "ECHO":
                        writer.write(encode("ECHOED", message["tag"], rc=1))
        self.writers.remove(writer)
        for call in unanswered:
            if self.calls.get(call) == "out":
                self.calls[call] = "lost"
        for when, call in self.answers.pop(writer, []):
            # The agent may not have read an answer that was written shortly before the connection broke.
            if when > loop.time() - RESEND_WINDOW_S and self.calls.get(call) == "stands":
                self.calls[call] = "lost"
        writer.close()

    def on_set_up(self) -> None:
        """Called for each set-up; subclasses account for its cost."""

    def answer(self, writer: asyncio.StreamWriter, call: str, unanswered: set[str]) -> None:
        """Refuses or establishes a call, unless its connection broke or the agent gave it up meanwhile.

        `unanswered` holds the set-ups of the connection without an answer.
        """
        if self.calls.get(call) != "out" or call not in unanswered or writer.is_closing():
            return
        unanswered.discard(call)
        if self.rng.random() < self.refusal_probability:
            del self.calls[call]
            writer.write(encode("FINISH", call, rc=34))
        else:
            self.calls[call] = "stands"
            writer.write(encode("STARTED", call, blob="a table"))
            self.answers.setdefault(writer, []).append((asyncio.get_running_loop().time(), call))
            if self.rng.random() < self.end_probability:
                asyncio.get_running_loop().call_later(
                    self.rng.uniform(0.0, self.max_call_ms) / 1000.0, self.end, call
                )

    def end(self, call: str) -> None:
        """Ends an established call on the newest connection, and on each later one until it is confirmed."""
        if self.calls.get(call) == "stands":
            del self.calls[call]
            self.pending_releases.add(call)
            self.observed.ended += 1
            if self.writers:
                self.writers[-1].write(encode("FINISH", call, rc=16))

    def end_all(self) -> None:
        """Ends all calls that it still holds, in whatever state."""
        for call in list(self.calls):
            del self.calls[call]
            self.pending_releases.add(call)
            if self.writers:
                self.writers[-1].write(encode("FINISH", call, rc=16))


class Caller:
    """One client. It sets calls up and releases them; after a broken connection it repeats some of the
    unanswered set-ups and forgets the others."""

    def __init__(
        self,
        number: int,
        observed: Observations,
        rng: random.Random,
        port: Callable[[], int],
        mean_gap_ms: float = 10.0,
        max_hold_ms: float = 100.0,
        repeat_probability: float = 0.5,
        address: str = "127.0.0.1",
    ) -> None:
        """`number` makes its tags unique; `port` gives the agent's port for each connection."""
        self.address = address  # the local address of its connections
        self.connection_count = 0
        self.number = number
        self.observed = observed
        self.rng = rng
        self.port = port
        self.mean_gap_ms = mean_gap_ms
        self.max_hold_ms = max_hold_ms
        self.repeat_probability = repeat_probability
        self.set_up_count = 0
        # Set-ups without a final answer, with the loop time at which each was sent.
        self.unanswered: dict[str, float] = {}
        self.established: set[str] = set()  # established calls, as far as this client knows
        self.releasing: set[str] = set()  # released, not yet confirmed
        self.to_repeat: list[str] = []  # unanswered set-ups of earlier connections
        self.sends_set_ups = True
        self.avoids_agent = False  # set by the balancer: it sends no new set-ups to this agent
        self.follows_balancer = True  # whether the balancer may set `avoids_agent`
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Connects again and again, until cancelled."""
        while True:
            if self.avoids_agent and not (self.established or self.releasing or self.to_repeat):
                await asyncio.sleep(0.01)
                continue
            try:
                reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", self.port(), local_addr=(self.address, 0)
                )
                self.connection_count += 1
            except ConnectionError:
                await asyncio.sleep(0.01)
                continue
            sending = asyncio.create_task(self.generate_set_ups(self.writer))
            try:
                for call in sorted(self.releasing):
                    self.release(call)
                while line := await reader.readline():
                    self.handle(json.loads(line))
            except ConnectionError:
                pass
            finally:
                sending.cancel()
                self.writer.close()
                self.writer = None
            for call in self.unanswered:
                self.observed.uncertain.add(call)
                if self.rng.random() < self.repeat_probability:
                    self.to_repeat.append(call)
            self.unanswered.clear()

    async def generate_set_ups(self, writer: asyncio.StreamWriter) -> None:
        """Sends new and repeated set-ups on one connection while `sends_set_ups` is set."""
        while self.sends_set_ups:
            if self.avoids_agent:
                await asyncio.sleep(0.01)
                continue
            if self.to_repeat and self.rng.random() < REPEAT_PROBABILITY:
                call = self.to_repeat.pop()
            else:
                self.set_up_count += 1
                call = f"{self.number:08x}{self.set_up_count:08x}"
            self.unanswered[call] = asyncio.get_running_loop().time()
            options: Message = {"class": "race", "left": 8000}
            writer.write(encode("START", call, blob=f"description {call}", **options))
            await asyncio.sleep(self.rng.expovariate(1000.0 / self.mean_gap_ms))

    def handle(self, message: Message) -> None:
        """Handles one message of the agent."""
        call = message["tag"]
        verb = message["verb"]
        loop = asyncio.get_running_loop()
        if verb == "STARTED":
            if call in self.observed.ended_before_answer:
                self.observed.report_violation(f"{call}: answered after its end")
            sent_at = self.unanswered.pop(call, None)
            wait_ms = (loop.time() - sent_at) * 1000.0 if sent_at is not None else 0.0
            self.observed.record_answer(call, sent_at is not None, True, wait_ms)
            self.established.add(call)
            loop.call_later(self.rng.uniform(0.0, self.max_hold_ms) / 1000.0, self.release, call)
        elif verb == "FINISH" and call in self.unanswered:
            del self.unanswered[call]
            self.observed.record_answer(call, True, False, 0.0)
        elif verb == "FINISH":
            if call in self.observed.uncertain:
                # The client reports the call as failed to its own caller, so that a later answer to a
                # repetition that is already on its way is a fault.
                self.observed.ended_before_answer.add(call)
            self.established.discard(call)
            self.observed.established.discard(call)
            self.observed.uncertain.discard(call)
            if self.writer is not None:
                self.writer.write(encode("FINISHED", call))
        elif verb == "FINISHED":
            self.releasing.discard(call)

    def release(self, call: str) -> None:
        """Releases a call; the release is sent again on each new connection until it is confirmed."""
        if call in self.established or call in self.releasing:
            self.established.discard(call)
            self.observed.established.discard(call)
            self.releasing.add(call)
            if self.writer is not None:
                self.writer.write(encode("FINISH", call, rc=16))


def configuration(listen: int, ports: list[int], **more: Any) -> dict[str, Any]:
    """An agent's configuration: one class of calls, lobby servers at these ports, no event bus.

    `more` adds or replaces top-level fields.
    """
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
