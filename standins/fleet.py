"""Real processes of the program, a relay on every ordered pair of agents, a checker of their records.

With an `Outside` there are relays as well between each agent and its clients, lobby servers and list service.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import shutil
import signal
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from frostport.agreement.log import Log
from frostport.agreement.messages import Entry
from frostport.agreement.state_machine import Note
from frostport.store.engine import Engine, Limits
from frostport.store.files import DiskFolder
from standins.faults import BACK, FORWARD, DatagramRelay, StreamRelay, Way
from standins.lists import ListService
from standins.lobby import Books, Caller, Lobby, configuration
from standins.ports import free_ports

PATIENCE_S = 90.0  # the end of a wait for something recorded; no verdict rests on it


class Outside:
    """Clients, two lobby servers and a list service for each agent, each behind a relay: `clients`, `h0`,
    `h1`, `list`."""

    def __init__(self, callers: int = 2) -> None:
        self.books, self.list, self.callers = Books(), ListService(), list[Caller]()
        self.lobbies: list[Lobby] = []
        self.each = callers
        self.relays: dict[tuple[str, str], StreamRelay] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.hosts = [
            {
                "host": f"h{number}",
                "site": "east",
                "class": "std",
                "block": number,
                "health": "ready",
                "share": 100,
                "born_ms": 0.0,
            }
            for number in (0, 1)
        ]
        self.list.tell(self.hosts)

    async def _relay(self, name: str, what: str, port: int, chance: random.Random) -> str:
        relay = self.relays[name, what] = StreamRelay(f"{name}/{what}", ("127.0.0.1", port), chance)
        return await relay.start()

    async def join(self, name: str, listen: int, chance: random.Random) -> tuple[dict[str, str], str]:
        """The addresses of the servers and of the list, as this agent is to reach them."""
        dials = {}
        for host in ("h0", "h1"):
            lobby = Lobby(f"{name}.{host}", self.books, random.Random(chance.random()), ends=0.3)
            self.lobbies.append(lobby)
            dials[host] = await self._relay(name, host, await lobby.start(), chance)
        told = await self._relay(name, "list", await self.list.start(name, dials), chance)
        address = await self._relay(name, "clients", listen, chance)
        port = int(address.rpartition(":")[2])
        first = len(self.callers)
        self.callers += [
            Caller(first + number, self.books, random.Random(chance.random()), lambda: port)
            for number in range(self.each)
        ]
        return dials, told

    def call(self) -> None:
        self.tasks += [asyncio.create_task(caller.run()) for caller in self.callers]

    def balance(self, rig: Rig) -> None:
        """As a balancer before the agents does: it asks each whether it is ready, and sends nothing new to
        one that is not."""

        async def watch(name: str, callers: list[Caller]) -> None:
            while True:
                ready = (await rig.ask(name, "ready"))[:1] == ["OK yes"]
                for caller in callers:
                    caller.elsewhere = not ready and caller.heeds
                await asyncio.sleep(0.05)

        self.tasks += [
            asyncio.create_task(watch(name, self.callers[at * self.each : (at + 1) * self.each]))
            for at, name in enumerate(rig.names)
        ]

    def heal(self) -> None:
        for relay in self.relays.values():
            relay.heal()

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for relay in self.relays.values():
            relay.stop()
        await self.list.stop()


class Rig:
    """Agents `n0`, `n1` ...; the first `voters` of them vote. `machines`: faults of standins/faulty.py."""

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        voters: int,
        seed: int,
        relays: bool = True,
        outside: Outside | None = None,
        machines: dict[str, dict[str, Any]] | None = None,
        top: dict[str, Any] | None = None,
        **fleet: Any,
    ) -> None:
        """`top`: more of each agent's configuration; `fleet`: more of its `fleet`."""
        self.top = top or {}
        self.outside, self.machines = outside, machines or {}
        self.reached: dict[str, tuple[dict[str, str], str]] = {}  # by agent: its servers and its list
        self.folder, self.chance, self.seed = folder, random.Random(seed), seed
        self.names = [f"n{number}" for number in range(count)]
        self.voters, self.more, self.relayed = self.names[:voters], fleet, relays
        ports = iter(free_ports(4 * count))
        self.ports = {
            name: {what: next(ports) for what in ("listen", "door", "gossip", "link")} for name in self.names
        }
        self.across = False  # relays only between agents of different zones
        self.relays: dict[tuple[str, str], tuple[DatagramRelay, StreamRelay]] = {}
        self.programs: dict[str, asyncio.subprocess.Process] = {}
        self.log = (folder / "log").open("wb")
        self.history: list[str] = []
        self.patience_s = PATIENCE_S
        self.notes = 0

    # Beginning and end

    async def __aenter__(self) -> Rig:
        for first in self.names if self.relayed else ():
            for second in self.names:
                if first != second and (not self.across or self.zone(first) != self.zone(second)):
                    chance = random.Random(self.chance.random())
                    pair = (
                        DatagramRelay(f"{first}>{second}", self.at(second, "gossip"), chance),
                        StreamRelay(f"{first}>{second}", self.at(second, "link"), chance),
                    )
                    for relay in pair:
                        await relay.start()
                    self.relays[first, second] = pair
        for name in self.names if self.outside is not None else ():
            assert self.outside is not None
            self.reached[name] = await self.outside.join(
                name, self.ports[name]["listen"], random.Random(self.chance.random())
            )
        for name in self.names:
            await self.start(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        for program in self.programs.values():
            with contextlib.suppress(ProcessLookupError):
                program.send_signal(signal.SIGCONT)
                program.kill()
            await program.wait()
        if self.outside is not None:
            await self.outside.stop()
        for pair in self.relays.values():
            for relay in pair:
                relay.stop()
        self.log.close()

    def at(self, name: str, what: str) -> tuple[str, int]:
        return "127.0.0.1", self.ports[name][what]

    def zone(self, name: str) -> str:
        return f"z{self.names.index(name) % 2}"

    def address(self, name: str, what: str) -> str:
        return f"127.0.0.1:{self.ports[name][what]}"

    async def start(self, name: str) -> None:
        routes = {}
        for other in self.names:
            if (name, other) in self.relays:
                gossip, link = self.relays[name, other]
                routes[self.address(other, "gossip")] = gossip.address
                routes[self.address(other, "link")] = link.address
        fleet = {
            "name": "test",
            "key": "00" * 16,
            "gossip": self.address(name, "gossip"),
            "link": self.address(name, "link"),
            "path": f"{name}.fleet",
            "voters": self.voters,
            "seeds": [self.address(other, "gossip") for other in self.names[:3]],
            "record": f"{name}.jsonl",
            "zone": self.zone(name),
            "routes": routes,
            **self.more,
        }
        record = {
            **configuration(self.ports[name]["listen"], []),
            "name": name,
            "fleet": fleet,
            "operator": self.address(name, "door"),
        }
        if self.outside is not None:
            dials, told = self.reached[name]
            first = self.outside.list.event(1, dials)
            record.update(
                bus=told, known={"offset": 1, "batch": [json.loads(first)]}, store={"path": f"{name}.store"}
            )
        record.update(self.top)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(record), encoding="utf-8")
        how = ["standins.faulty", json.dumps(self.machines[name])] if name in self.machines else ["frostport"]
        self.programs[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *how, "serve", "--config", str(path), stderr=self.log
        )

    def with_disks(self) -> None:
        """From each agent's next start on, its disk can be filled."""
        for name in self.names:
            self.machines[name] = {
                "disk": str(self.folder / f"{name}.fleet"),
                "full": str(self.folder / f"{name}.full"),
            }

    def fill(self, name: str) -> None:
        self.say(f"the disk of {name} is full")
        pathlib.Path(self.machines[name]["full"]).touch()

    def refused(self, name: str) -> int:
        """Writes that the full disk has refused."""
        return len(pathlib.Path(self.machines[name]["full"]).read_text(encoding="utf-8").splitlines())

    def room(self, name: str) -> None:
        self.say(f"there is room on the disk of {name}")
        pathlib.Path(self.machines[name]["full"]).unlink()

    # Faults; each is in the history, and its relay's record shows it

    def say(self, text: str) -> None:
        self.history.append(text)

    def way(self, sender: str, to: str) -> list[Way]:
        """All that carries what `sender` says to `to`: its own relays forward, the other's back."""
        return [
            relay.ways[direction]
            for pair, direction in (((sender, to), FORWARD), ((to, sender), BACK))
            for relay in self.relays[pair]
        ]

    def cut(self, sender: str, to: str) -> None:
        self.say(f"cut {sender} > {to}")
        for way in self.way(sender, to):
            way.cut = True

    def links_cut(self, name: str) -> None:
        """Its links, both ways; datagrams go on."""
        self.say(f"cut all links of {name}")
        for pair, (_, link) in self.relays.items():
            if name in pair:
                for way in link.ways.values():
                    way.cut = True

    def apart(self, some: list[str]) -> None:
        for name in some:
            for other in self.names:
                if other not in some and (name, other) in self.relays:
                    self.cut(name, other)
                    self.cut(other, name)

    def every(self, what: str, **changes: float) -> None:
        self.say(f"every datagram: {what}")
        for gossip, _ in self.relays.values():
            for way in gossip.ways.values():
                for name, value in changes.items():
                    setattr(way, name, value)

    def heal(self) -> None:
        self.say("heal")
        for pair in self.relays.values():
            for relay in pair:
                relay.heal()
        if self.outside is not None:
            self.outside.heal()

    def injected(self, what: str) -> int:
        return sum(relay.record[what] for pair in self.relays.values() for relay in pair)

    async def kill(self, name: str, disk: bool = True) -> None:
        self.say(f"kill {name}" + ("" if disk else " and its disk"))
        with contextlib.suppress(ProcessLookupError):  # it may have ended by itself
            self.programs[name].kill()
        await self.programs[name].wait()
        if not disk:
            shutil.rmtree(self.folder / f"{name}.fleet")

    def grow(self, count: int) -> None:
        """Puts as many entries into the logs of the voters, which are down, as if they had settled them."""
        self.say(f"{count} entries more")
        engines = [Engine.open(DiskFolder(self.folder / f"{name}.fleet"), Limits()) for name in self.voters]
        logs = [
            Log({key: value for key, value in engine.take_recovered().items() if key.startswith("raft/")})
            for engine in engines
        ]
        longest = max(logs, key=lambda log: (log.last_term, log.last_index))
        first, term, whole = longest.last_index + 1, longest.last_term, list(longest.entries)
        for engine, log in zip(engines, logs, strict=True):
            # As the leader would: what differs from the longest is cut, what is missing added.
            same = next(
                (entry.index for entry in log.entries if longest.term_at(entry.index) != entry.term),
                log.last_index + 1,
            )
            engine.append(
                log.truncate_from(same) + log.append([entry for entry in whole if entry.index >= same])
            )
            for at in range(0, count, 1000):
                engine.append(
                    log.append(
                        [
                            Entry(
                                first + number,
                                term,
                                f"grown/1#{number}",
                                "note",
                                1,
                                msgspec.msgpack.encode(Note(f"a note of usual length, number {number}")),
                            )
                            for number in range(at, min(at + 1000, count))
                        ]
                    )
                )
            engine.sync()
            engine.close()

    def freeze(self, name: str) -> None:
        self.say(f"stop {name}")
        self.programs[name].send_signal(signal.SIGSTOP)

    async def frozen(self, name: str) -> None:
        """Stops it, and waits until it has stopped: the signal takes its time."""
        self.freeze(name)
        stat = pathlib.Path(f"/proc/{self.programs[name].pid}/stat")

        async def stopped() -> bool:
            return stat.read_text(encoding="utf-8").rpartition(")")[2].split()[0] == "T"

        await self.until(f"{name} has stopped", stopped)

    def wake(self, name: str) -> None:
        self.say(f"continue {name}")
        self.programs[name].send_signal(signal.SIGCONT)

    # Asking

    async def ask(self, name: str, line: str) -> list[str]:
        """One call at a door; [] where nobody answers."""
        try:
            reader, writer = await asyncio.open_connection(*self.at(name, "door"))
            writer.write(line.encode() + b"\n")
            answer = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            return answer.decode().splitlines()
        except (OSError, TimeoutError):
            return []

    async def agreed(self, name: str) -> dict[str, str]:
        answer = await self.ask(name, "agreed")
        return dict(part.split("=", 1) for part in answer[0].split()[1:]) if answer else {}

    async def note(self, name: str) -> None:
        self.notes += 1
        await self.ask(name, f"note text-{self.notes}")

    async def until(self, what: str, done: Callable[[], Any]) -> None:
        for _ in range(int(self.patience_s / 0.1)):
            if await done():
                return
            await asyncio.sleep(0.1)
        said = {
            name: (await self.ask(name, "agreed"))[:1] or f"ended: {self.programs[name].returncode}"
            for name in self.names[:7]
        }
        gone = {name: program.returncode for name, program in self.programs.items() if program.returncode}
        said.update(gone=str(gone))
        raise AssertionError(f"never: {what}; seed {self.seed}; {self.history}; {said}") from None

    async def leader(self, among: list[str] | None = None) -> str:
        found = ""

        async def led() -> bool:
            nonlocal found
            for name in among or self.names:
                said = await self.agreed(name)
                if said.get("role") == "leader":
                    found = name
                    return True
            return False

        await self.until("a leader", led)
        return found

    async def together(self, count: int) -> None:
        """All agents see each other alive, and have applied the same, at least so many commands."""

        async def same() -> bool:
            said = [await self.agreed(name) for name in self.names]
            return (
                all(said) and len({told["digest"] for told in said}) == 1 and int(said[0]["count"]) >= count
            )

        async def seen() -> bool:
            for name in self.names:
                members = await self.ask(name, "members")
                if sum(" alive " in line for line in members) != len(self.names) - 1:
                    return False
            return True

        await self.until("all see each other alive", seen)
        await self.until(f"all have applied {count} commands", same)

    # The checker

    def records(self, name: str) -> list[dict[str, Any]]:
        path = self.folder / f"{name}.jsonl"
        whole, _, _ = path.read_text(encoding="utf-8").rpartition("\n")  # the last line may be under way
        return [json.loads(line) for line in whole.splitlines()]

    async def check(self) -> None:
        """One leader a term; one order everywhere; every acknowledged command in it."""
        for name in self.names:
            self.programs[name].terminate()
        for name in self.names:
            assert await asyncio.wait_for(self.programs[name].wait(), PATIENCE_S) == 0
        leaders: dict[int, str] = {}
        orders: dict[str, dict[int, str]] = {}
        acknowledged: set[str] = set()
        for name in self.names:
            for line in self.records(name):
                assert line["agent"] == name and line["mono_ms"] > 0 and line["incarnation"] > 0
                if line["event"] == "leader":
                    assert leaders.setdefault(line["term"], name) == name, f"two leaders in {line['term']}"
                elif line["event"] == "applied":
                    order = orders.setdefault(name, {})
                    for index, id in line["ids"].items():
                        assert order.setdefault(int(index), id) == id
                elif line["event"] == "acknowledged":
                    acknowledged.add(line["id"])
        whole: dict[int, str] = {}
        for order in orders.values():
            for index, id in order.items():
                assert whole.setdefault(index, id) == id, f"entry {index} differs; {self.history}"
        assert acknowledged <= set(whole.values()), f"lost; seed {self.seed}; {self.history}"
        assert acknowledged
        text = (self.folder / "log").read_text(encoding="utf-8")
        assert "Traceback" not in text, text[-3000:]
