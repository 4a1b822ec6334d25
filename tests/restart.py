"""Worlds whose agent keeps a store, can be killed, and starts again. Beside the steps of tests/scenario.py:

send agent kill       the process is gone at once; the system has all that was written
send agent power      the machine is gone: what was not synced may be lost, kept in part or reordered
send agent start      it starts again, on the files as they were found
send disk hold        what is written is neither done nor heard of; `write`: done, and still not heard of;
                      `free`: both, from now on; `full`: every write fails from now on, until `roomy`
send clock MS         the clock is set by so much, back as well
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from frostport import config
from frostport.agent import Agent
from frostport.durability import Durability
from standins.files import MemoryFolder
from tests.diameter import DiameterWorld
from tests.scenario import ClosedEnd, World

Job = Callable[[], Callable[[], None]]
STORE = {"path": "s0.store", "checkpoint_records": 100}


class Disk:
    """The worker: jobs are done in the world's own turns, or held back."""

    def __init__(self, world: Any) -> None:
        self.world, self.jobs, self.unheard = world, list[Job](), list[Callable[[], None]]()
        self.state, self.due = "free", False

    def submit(self, job: Job) -> None:
        self.jobs.append(job)
        self.turn()

    def turn(self) -> None:
        if not self.due and self.state != "hold":
            self.due = True
            self.world.later.append(self.work)

    def work(self) -> None:
        """One job at a time, as on the thread."""
        self.due = False
        if self.jobs and self.state != "hold":
            self.unheard.append(self.jobs.pop(0)())
        while self.unheard and self.state == "free":
            self.unheard.pop(0)()
        if self.jobs:
            self.turn()

    def finish(self) -> None:
        while self.jobs:
            self.jobs.pop(0)()


class Restarts:
    """Mixed into a world."""

    def __init__(self, record: dict[str, Any]) -> None:
        self.chance = random.Random(record.get("chance", 1))
        self.folder = MemoryFolder(rng=self.chance)
        self.running = True
        super().__init__({"store": STORE, **record})  # type: ignore[call-arg]

    def make_agent(self: Any) -> Agent:
        self.disk = Disk(self)
        loaded = config.read(self.record)
        assert loaded.store is not None
        durability = Durability.open(loaded.store, self.folder, self.disk)
        return Agent(loaded, self.reactor, self.clock, durability)

    def kill(self: Any, power: bool) -> None:
        """Nothing of the agent runs on; its connections break at the other ends."""
        self.running = False
        self.folder = self.folder.after_power_loss(self.chance) if power else self.folder.after_kill()
        self.later.clear()
        self.agent.deadlines._heap.clear()
        self.reactor.factory = None
        for actor in self.actors.values():
            for wire in list(actor.wires):
                wire.other.protocol = ClosedEnd()
                wire.other.loseConnection()

    def start_again(self: Any) -> None:
        self.running = True
        self.clock._last = 0.0  # a new process knows no earlier reading
        self.begin()

    def step(self: Any, line: str) -> None:
        match line.split():
            case ["send", "agent", "kill" | "power" as how]:
                self.kill(how == "power")
            case ["send", "agent", "start"]:
                self.start_again()
            case ["send", "clock", ms]:
                self.clock.at += float(ms)
                return
            case ["send", "disk", "full"]:
                self.folder.fail(1, lambda: OSError(28, "No space left on device"), persistent=True)
                return
            case ["send", "disk", "roomy"]:
                self.folder.fails_at_operation, self.folder.persistent = -1, False
            case ["send", "disk", how]:
                self.disk.state = how
                self.disk.turn()
            case ["expect", "agent", "standing", count]:
                standing = [request.id for request in self.agent.broker.requests]
                assert len(standing) == int(count), f"{standing} stand"
            case ["expect", "agent", "store", state]:
                told = self.agent.durability.snapshot()["state"]
                assert told == state, f"the store is {told}"
            case _:
                super().step(line)  # type: ignore[misc]
                return
        self.settle()


class PlatformRestarts(Restarts, World):
    pass


class DiameterRestarts(Restarts, DiameterWorld):
    pass
