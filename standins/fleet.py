"""Runs real agent processes, with a relay for every ordered pair of agents, and checks their event records.

An `Environment` adds clients, lobby servers and a list service, with a relay between each of them and its
agent.
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
from standins.faults import BACK, FORWARD, DatagramRelay, DirectionFaults, StreamRelay
from standins.lists import ListService
from standins.lobby import Caller, LobbyServer, Observations, configuration
from standins.ports import free_ports

TIMEOUT_S = 90.0  # bounds each wait for an event; a test's verdict does not depend on how long it takes


class Environment:
    """Clients, two lobby servers and a list service for each agent, each behind a relay.

    `relays` is keyed by the agent's name and one of "clients", "h0", "h1" and "list".
    """

    def __init__(self, callers: int = 2) -> None:
        """`callers` is the number of clients of each agent."""
        self.observed = Observations()
        self.list_service = ListService()
        self.callers = list[Caller]()
        self.lobbies: list[LobbyServer] = []
        self.callers_per_agent = callers
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
        self.list_service.publish(self.hosts)

    async def _relay(self, name: str, what: str, port: int, rng: random.Random) -> str:
        relay = self.relays[name, what] = StreamRelay(f"{name}/{what}", ("127.0.0.1", port), rng)
        return await relay.start()

    async def add_agent(self, name: str, listen: int, rng: random.Random) -> tuple[dict[str, str], str]:
        """Starts an agent's parties. Returns its lobby servers' addresses by host, and its list service's
        address."""
        dials = {}
        for host in ("h0", "h1"):
            lobby = LobbyServer(
                f"{name}.{host}", self.observed, random.Random(rng.random()), end_probability=0.3
            )
            self.lobbies.append(lobby)
            dials[host] = await self._relay(name, host, await lobby.start(), rng)
        list_address = await self._relay(name, "list", await self.list_service.start(name, dials), rng)
        address = await self._relay(name, "clients", listen, rng)
        port = int(address.rpartition(":")[2])
        first = len(self.callers)
        self.callers += [
            Caller(first + number, self.observed, random.Random(rng.random()), lambda: port)
            for number in range(self.callers_per_agent)
        ]
        return dials, list_address

    def start_callers(self) -> None:
        """Starts all clients."""
        self.tasks += [asyncio.create_task(caller.run()) for caller in self.callers]

    def start_balancer(self, rig: Rig) -> None:
        """Acts as a load balancer in front of the agents: it polls each agent's readiness, and sends no new
        calls to one that is not ready."""

        async def watch(name: str, callers: list[Caller]) -> None:
            while True:
                ready = (await rig.ask(name, "ready"))[:1] == ["OK yes"]
                for caller in callers:
                    caller.avoids_agent = not ready and caller.follows_balancer
                await asyncio.sleep(0.05)

        self.tasks += [
            asyncio.create_task(
                watch(
                    name,
                    self.callers[number * self.callers_per_agent : (number + 1) * self.callers_per_agent],
                )
            )
            for number, name in enumerate(rig.names)
        ]

    def heal(self) -> None:
        """Removes the faults of all relays."""
        for relay in self.relays.values():
            relay.heal()

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for relay in self.relays.values():
            relay.stop()
        await self.list_service.stop()


class Rig:
    """A fleet of agent processes `n0`, `n1` ..., of which the first `voters` are voters.

    `machines` maps agents to the faults of their machines, as JSON for standins/faulty.py. The relays and the
    environment draw from generators seeded with `seed`.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        count: int,
        voters: int,
        seed: int,
        relays: bool = True,
        environment: Environment | None = None,
        machines: dict[str, dict[str, Any]] | None = None,
        extra_config: dict[str, Any] | None = None,
        **fleet: Any,
    ) -> None:
        """`extra_config` adds top-level fields to each agent's configuration, `fleet` fields of its section
        `fleet`. Without `relays` the agents connect to each other directly."""
        self.extra_config = extra_config or {}
        self.environment = environment
        self.machines = machines or {}
        self.addresses_by_agent: dict[str, tuple[dict[str, str], str]] = {}  # see `Environment.add_agent`
        self.folder = folder
        self.rng = random.Random(seed)
        self.seed = seed
        self.names = [f"n{number}" for number in range(count)]
        self.voters = self.names[:voters]
        self.fleet_options = fleet
        self.use_relays = relays
        ports = iter(free_ports(4 * count))
        self.ports = {
            name: {what: next(ports) for what in ("listen", "operator", "gossip", "link")}
            for name in self.names
        }
        self.relays_between_zones_only = False  # set before entering: no relays between agents of one zone
        self.relays: dict[tuple[str, str], tuple[DatagramRelay, StreamRelay]] = {}
        self.programs: dict[str, asyncio.subprocess.Process] = {}
        self.log = (folder / "log").open("wb")
        self.history: list[str] = []
        self.timeout_s = TIMEOUT_S
        self.note_count = 0

    # Start and stop

    async def __aenter__(self) -> Rig:
        for first in self.names if self.use_relays else ():
            for second in self.names:
                if first != second and (
                    not self.relays_between_zones_only or self.zone(first) != self.zone(second)
                ):
                    rng = random.Random(self.rng.random())
                    pair = (
                        DatagramRelay(f"{first}>{second}", self.endpoint(second, "gossip"), rng),
                        StreamRelay(f"{first}>{second}", self.endpoint(second, "link"), rng),
                    )
                    for relay in pair:
                        await relay.start()
                    self.relays[first, second] = pair
        for name in self.names if self.environment is not None else ():
            assert self.environment is not None
            self.addresses_by_agent[name] = await self.environment.add_agent(
                name, self.ports[name]["listen"], random.Random(self.rng.random())
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
        if self.environment is not None:
            await self.environment.stop()
        for pair in self.relays.values():
            for relay in pair:
                relay.stop()
        self.log.close()

    def endpoint(self, name: str, what: str) -> tuple[str, int]:
        """Host and port of an agent's `what`: "listen", "operator", "gossip" or "link"."""
        return "127.0.0.1", self.ports[name][what]

    def zone(self, name: str) -> str:
        """Agents alternate between the zones `z0` and `z1`."""
        return f"z{self.names.index(name) % 2}"

    def address(self, name: str, what: str) -> str:
        """The address that `endpoint` returns, as `host:port`."""
        return f"127.0.0.1:{self.ports[name][what]}"

    async def start(self, name: str) -> None:
        """Writes the agent's configuration and starts its process."""
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
            **self.fleet_options,
        }
        config = {
            **configuration(self.ports[name]["listen"], []),
            "name": name,
            "fleet": fleet,
            "operator": self.address(name, "operator"),
        }
        if self.environment is not None:
            _, list_address = self.addresses_by_agent[name]
            config.update(
                bus=list_address,
                known=self.environment.list_service.agent_starts(name),
                store={"path": f"{name}.store"},
            )
        config.update(self.extra_config)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        module = (
            ["standins.faulty", json.dumps(self.machines[name])] if name in self.machines else ["frostport"]
        )
        self.programs[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *module, "serve", "--config", str(path), stderr=self.log
        )

    def make_disks_fillable(self) -> None:
        """Makes `fill_disk` work for each agent from its next start on."""
        for name in self.names:
            self.machines[name] = {
                "disk": str(self.folder / f"{name}.fleet"),
                "full": str(self.folder / f"{name}.full"),
            }

    def fill_disk(self, name: str) -> None:
        """Lets the agent's disk refuse all writes, until `free_disk`."""
        self.add_history(f"the disk of {name} is full")
        pathlib.Path(self.machines[name]["full"]).touch()

    def refused_writes(self, name: str) -> int:
        """The number of writes that the full disk has refused."""
        return len(pathlib.Path(self.machines[name]["full"]).read_text(encoding="utf-8").splitlines())

    def free_disk(self, name: str) -> None:
        """Lets the agent's disk accept writes again."""
        self.add_history(f"there is room on the disk of {name}")
        pathlib.Path(self.machines[name]["full"]).unlink()

    # Faults. Each is added to the history, and the relays count what they do

    def add_history(self, text: str) -> None:
        """Notes a step of the test, for messages of failed checks."""
        self.history.append(text)

    def path_faults(self, sender: str, to: str) -> list[DirectionFaults]:
        """The faults of each direction that carries data from `sender` to `to`: forward in the relays that
        `sender` connects to, back in those that `to` connects to."""
        return [
            relay.faults[direction]
            for pair, direction in (((sender, to), FORWARD), ((to, sender), BACK))
            for relay in self.relays[pair]
        ]

    def cut(self, sender: str, to: str) -> None:
        """Cuts one direction."""
        self.add_history(f"cut {sender} > {to}")
        for faults in self.path_faults(sender, to):
            faults.cut = True

    def cut_links(self, name: str) -> None:
        """Cuts all links of an agent in both directions; datagrams still pass."""
        self.add_history(f"cut all links of {name}")
        for pair, (_, link) in self.relays.items():
            if name in pair:
                for faults in link.faults.values():
                    faults.cut = True

    def partition(self, some: list[str]) -> None:
        """Cuts these agents off from all others, in both directions."""
        for name in some:
            for other in self.names:
                if other not in some and (name, other) in self.relays:
                    self.cut(name, other)
                    self.cut(other, name)

    def set_datagram_faults(self, what: str, **changes: float) -> None:
        """Sets fields of `DirectionFaults` for all datagrams; `what` describes them in the history."""
        self.add_history(f"every datagram: {what}")
        for gossip, _ in self.relays.values():
            for faults in gossip.faults.values():
                for name, value in changes.items():
                    setattr(faults, name, value)

    def heal(self) -> None:
        """Removes all faults of the network."""
        self.add_history("heal")
        for pair in self.relays.values():
            for relay in pair:
                relay.heal()
        if self.environment is not None:
            self.environment.heal()

    def fault_count(self, what: str) -> int:
        """The sum of one counter over the relays between agents."""
        return sum(relay.counts[what] for pair in self.relays.values() for relay in pair)

    async def kill(self, name: str, disk: bool = True) -> None:
        """Kills an agent's process; unless `disk`, its fleet store is deleted as well."""
        self.add_history(f"kill {name}" + ("" if disk else " and its disk"))
        with contextlib.suppress(ProcessLookupError):  # it may have ended by itself
            self.programs[name].kill()
        await self.programs[name].wait()
        if not disk:
            shutil.rmtree(self.folder / f"{name}.fleet")

    def append_entries(self, count: int) -> None:
        """Appends `count` entries to the logs of the voters, which are stopped, as if they were committed."""
        self.add_history(f"{count} entries more")
        engines = [Engine.open(DiskFolder(self.folder / f"{name}.fleet"), Limits()) for name in self.voters]
        logs = [
            Log({key: value for key, value in engine.take_recovered().items() if key.startswith("raft/")})
            for engine in engines
        ]
        longest = max(logs, key=lambda log: (log.last_term, log.last_index))
        first = longest.last_index + 1
        term = longest.last_term
        entries = list(longest.entries)
        for engine, log in zip(engines, logs, strict=True):
            # As a leader does: truncate entries that conflict with the longest log, append the missing ones.
            conflict = next(
                (entry.index for entry in log.entries if longest.term_at(entry.index) != entry.term),
                log.last_index + 1,
            )
            engine.append(
                log.truncate_from(conflict)
                + log.append([entry for entry in entries if entry.index >= conflict])
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
        """Sends SIGSTOP."""
        self.add_history(f"stop {name}")
        self.programs[name].send_signal(signal.SIGSTOP)

    async def freeze_and_wait(self, name: str) -> None:
        """Sends SIGSTOP and waits until the process has stopped, which the signal does not do at once."""
        self.freeze(name)
        stat = pathlib.Path(f"/proc/{self.programs[name].pid}/stat")

        async def stopped() -> bool:
            return stat.read_text(encoding="utf-8").rpartition(")")[2].split()[0] == "T"

        await self.wait_until(f"{name} has stopped", stopped)

    def unfreeze(self, name: str) -> None:
        """Sends SIGCONT."""
        self.add_history(f"continue {name}")
        self.programs[name].send_signal(signal.SIGCONT)

    # Queries

    async def ask(self, name: str, line: str) -> list[str]:
        """The lines that an agent's operators' port answers to a command; [] if there is no answer in 5 s."""
        try:
            reader, writer = await asyncio.open_connection(*self.endpoint(name, "operator"))
            writer.write(line.encode() + b"\n")
            answer = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            return answer.decode().splitlines()
        except (OSError, TimeoutError):
            return []

    async def log_status(self, name: str) -> dict[str, str]:
        """The fields of an agent's answer to the `agreed` command."""
        answer = await self.ask(name, "agreed")
        return dict(field.split("=", 1) for field in answer[0].split()[1:]) if answer else {}

    async def note(self, name: str) -> None:
        """Submits one more note to the agreed log through this agent."""
        self.note_count += 1
        await self.ask(name, f"note text-{self.note_count}")

    async def wait_until(self, what: str, done: Callable[[], Any]) -> None:
        """Polls an awaitable condition; raises AssertionError naming `what` if it never holds."""
        for _ in range(int(self.timeout_s / 0.1)):
            if await done():
                return
            await asyncio.sleep(0.1)
        statuses = {
            name: (await self.ask(name, "agreed"))[:1] or f"ended: {self.programs[name].returncode}"
            for name in self.names[:7]
        }
        exit_codes = {
            name: program.returncode for name, program in self.programs.items() if program.returncode
        }
        statuses.update(exit_codes=str(exit_codes))
        raise AssertionError(
            f"condition never held: {what}; seed {self.seed}; history: {self.history}; statuses: {statuses}"
        ) from None

    async def wait_for_leader(self, among: list[str] | None = None) -> str:
        """Waits until an agent, of these or of all, reports that it is the leader, and returns its name."""
        found = ""

        async def has_leader() -> bool:
            nonlocal found
            for name in among or self.names:
                status = await self.log_status(name)
                if status.get("role") == "leader":
                    found = name
                    return True
            return False

        await self.wait_until("a leader", has_leader)
        return found

    async def wait_for_convergence(self, count: int) -> None:
        """Waits until all agents see each other alive and have applied the same commands, `count` or more."""

        async def same_state() -> bool:
            statuses = [await self.log_status(name) for name in self.names]
            return (
                all(statuses)
                and len({status["digest"] for status in statuses}) == 1
                and int(statuses[0]["count"]) >= count
            )

        async def all_alive() -> bool:
            for name in self.names:
                members = await self.ask(name, "members")
                if sum(" alive " in line for line in members) != len(self.names) - 1:
                    return False
            return True

        await self.wait_until("all see each other alive", all_alive)
        await self.wait_until(f"all have applied {count} commands", same_state)

    # Event records

    def records(self, name: str) -> list[dict[str, Any]]:
        """The event records that an agent has written so far."""
        path = self.folder / f"{name}.jsonl"
        complete, _, _ = path.read_text(encoding="utf-8").rpartition("\n")  # the last line may be incomplete
        return [json.loads(line) for line in complete.splitlines()]

    async def check_records(self) -> None:
        """Stops all agents and checks their records.

        Each term had at most one leader, all agents applied the same commands in the same order, these
        include every acknowledged command (of which there are some), and no traceback was logged.
        """
        for name in self.names:
            self.programs[name].terminate()
        for name in self.names:
            assert await asyncio.wait_for(self.programs[name].wait(), TIMEOUT_S) == 0
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
        merged: dict[int, str] = {}
        for order in orders.values():
            for index, id in order.items():
                assert merged.setdefault(index, id) == id, f"entry {index} differs; {self.history}"
        assert acknowledged <= set(merged.values()), (
            f"acknowledged commands are lost; seed {self.seed}; {self.history}"
        )
        assert acknowledged
        text = (self.folder / "log").read_text(encoding="utf-8")
        assert "Traceback" not in text, text[-3000:]
