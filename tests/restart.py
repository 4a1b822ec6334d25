"""Scenarios in which an agent with a store is killed and restarted. Steps besides those of tests/scenario.py:

send agent kill       kills the process; everything that was written is kept
send agent power      power loss: writes that were not synced may be lost, kept in part or reordered
send agent start      restarts the agent on the files as they are
send agent start known=JSON
                      the same with other events in its configuration (`known`)
send disk hold        jobs on the store are neither run nor reported as done; `write`: run but not reported;
                      `free`: both again; `full`: every write fails until `roomy`
send clock MS         moves the clock by MS milliseconds, which may be negative
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson

from frostport import config
from frostport.agent import Agent
from frostport.durability import Durability
from standins.files import MemoryFolder
from tests.diameter import DiameterWorld
from tests.scenario import ClosedEnd, World

Job = Callable[[], Callable[[], None]]
STORE = {"path": "s0.store", "checkpoint_records": 100}


class ScriptedDisk:
    """The worker of the store: runs jobs in the scenario's own event loop, or holds them back."""

    def __init__(self, world: Any) -> None:
        self.world = world
        self.jobs = list[Job]()
        self.unreported = list[Callable[[], None]]()
        self.state = "free"
        self.scheduled = False

    def submit(self, job: Job) -> None:
        self.jobs.append(job)
        self.schedule()

    def schedule(self) -> None:
        """Lets the event loop call `run_next`, unless jobs are held back."""
        if not self.scheduled and self.state != "hold":
            self.scheduled = True
            self.world.later.append(self.run_next)

    def run_next(self) -> None:
        """Runs one job, as the worker thread does, and reports those that may be reported."""
        self.scheduled = False
        if self.jobs and self.state != "hold":
            self.unreported.append(self.jobs.pop(0)())
        while self.unreported and self.state == "free":
            self.unreported.pop(0)()
        if self.jobs:
            self.schedule()

    def finish(self) -> None:
        while self.jobs:
            self.jobs.pop(0)()


class Restarts:
    """Mixin for a world of tests/scenario.py; adds the steps above."""

    def __init__(self, record: dict[str, Any]) -> None:
        self.rng = random.Random(record.get("chance", 1))
        self.folder = MemoryFolder(rng=self.rng)
        self.running = True
        super().__init__({"store": STORE, **record})  # type: ignore[call-arg]

    def make_agent(self: Any) -> Agent:
        self.disk = ScriptedDisk(self)
        loaded = config.read(self.record)
        assert loaded.store is not None
        durability = Durability.open(loaded.store, self.folder, self.disk)
        return Agent(loaded, self.reactor, self.clock, durability)

    def kill(self: Any, power: bool) -> None:
        """Stops everything of the agent; the other ends see their connections break."""
        self.running = False
        self.folder = self.folder.after_power_loss(self.rng) if power else self.folder.after_kill()
        self.later.clear()
        self.agent.deadlines._heap.clear()
        self.reactor.factory = None
        for actor in self.actors.values():
            for wire in list(actor.wires):
                wire.other.protocol = ClosedEnd()
                wire.other.loseConnection()

    def restart(self: Any) -> None:
        """Starts a new agent on the files that the last one left."""
        self.running = True
        self.clock._last = 0.0  # a new process has no earlier reading
        self.begin()

    def step(self: Any, line: str) -> None:
        match line.split():
            case ["send", "agent", "kill" | "power" as how]:
                self.kill(how == "power")
            case ["send", "agent", "start"]:
                self.restart()
            case ["send", "agent", "start", known] if known.startswith("known="):
                self.record = {**self.record, "known": orjson.loads(known.removeprefix("known="))}
                self.restart()
            case ["send", "clock", ms]:
                self.clock.at += float(ms)
                return
            case ["send", "disk", "full"]:
                self.folder.fail(1, lambda: OSError(28, "No space left on device"), persistent=True)
                return
            case ["send", "disk", "roomy"]:
                self.folder.fails_at_operation = -1
                self.folder.persistent = False
            case ["send", "disk", how]:
                self.disk.state = how
                self.disk.schedule()
            case ["expect", "agent", "standing", count]:
                established = [request.id for request in self.agent.broker.requests]
                assert len(established) == int(count), f"{established} are established"
            case ["expect", "agent", "store", state]:
                state_found = self.agent.durability.snapshot()["state"]
                assert state_found == state, f"the store is {state_found}"
            case _:
                super().step(line)  # type: ignore[misc]
                return
        self.settle()


class PlatformRestarts(Restarts, World):
    pass


class DiameterRestarts(Restarts, DiameterWorld):
    pass
