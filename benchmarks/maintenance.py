"""Measures maintenance: `python -m benchmarks.maintenance [plans] [calls] [faults]`, all three by default.

"plans" runs the real plan and reconcilers on one simulated clock, with a log whose commands all agents apply
in one order after 50 ms. Agents are empty within 10 s of a drain, servers within 30 s of being held out, and
staff need 60 s for each machine. "calls" adds calls and the real `decide.Controller`. "faults" uses real
processes. Not part of the tests.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import pathlib
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Mapping

import msgspec

from benchmarks.calls import COLD_MS, START_MS, CallSimulation, SimulatedClock
from frostport.maintenance.commands import Command, Limits, MaintenanceRequest, Ready, ServerStatus
from frostport.maintenance.plan import Plan, TicketState
from frostport.maintenance.reconciler import (
    Drain,
    HoldOut,
    LocalState,
    MemberStatus,
    ProposeCommand,
    PutBack,
    Reconciler,
    Resume,
    TurnAway,
)
from standins.fleet import Environment, Rig

LOG_DELAY_MS = 50.0
RECONCILE_MS = 1000.0
SLOW_RECONCILE_MS = 10_000.0
REPAIR_MS = 60_000.0
MAX_AGENT_DRAIN_MS = 10_000.0
MAX_SERVER_DRAIN_MS = 30_000.0


class MaintenanceSimulation(SimulatedClock):
    """A fleet under maintenance. All agents share one copy of the plan, since the agreed log makes
    their copies equal."""

    def __init__(self, agents: int, servers: int, limits: Limits, seed: int, zones: int = 10) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.plan = Plan()
        self.index = 0
        self.command_count = self.command_bytes = 0
        self.apply_times_s: list[float] = []
        zones = min(zones, agents)
        self.members = {
            f"a{number}": MemberStatus(f"z{number % zones}", number + 1, True, False, number < 3)
            for number in range(agents)
        }
        self.servers = {
            f"h{number}": ServerStatus(f"h{number}", f"z{number % zones}", 1.0, True)
            for number in range(servers)
        }
        self.reconcilers = {
            name: Reconciler(name, member.life, 0.0, True, limits) for name, member in self.members.items()
        }
        self.phase = dict.fromkeys(self.members, "serving")
        self.empty_at: dict[tuple[str, str], float] = {}
        for name in self.members:
            self.call_after(self.rng.uniform(0.0, RECONCILE_MS), lambda name=name: self.reconcile(name))  # type: ignore[misc]

    def propose(self, command: Command) -> None:
        """Appends a command to the log; all agents apply it after `LOG_DELAY_MS`."""
        self.command_count += 1
        self.command_bytes += len(msgspec.msgpack.encode(command))
        self.call_after(LOG_DELAY_MS, lambda: self.apply(command))

    def apply(self, command: Command) -> None:
        """Applies a command to the plan and starts the repair of each machine that is now out."""
        self.index += 1
        started = time.perf_counter()
        self.plan.apply(self.index, 1, command)
        self.apply_times_s.append(time.perf_counter() - started)
        for ticket in self.plan.tickets:
            if ticket.state is TicketState.OUT and not ticket.note:
                ticket.note = "asked"
                self.start_repair(ticket.name)

    def start_repair(self, name: str) -> None:
        """Called when a machine is out: staff repair it and report that it is ready."""
        self.call_after(REPAIR_MS, lambda: self.propose(Ready(name)))

    def reconcile(self, name: str) -> None:
        """Runs an agent's reconciler once and schedules its next run."""
        # To save simulation time in large fleets, agents that neither lead nor are held out reconcile rarely.
        infrequent = len(self.members) > 50 and name != "a0" and not self.plan.held_out("agent").get(name)
        self.call_after(SLOW_RECONCILE_MS if infrequent else RECONCILE_MS, lambda: self.reconcile(name))
        for action in self.reconcilers[name].reconcile(self.plan, self.local_state(name), self.now):
            self.perform(name, action)

    def local_state(self, name: str) -> LocalState:
        """The state of an agent that its reconciler gets as input; `a0` is the leader."""
        busy = {
            server: int(self.empty_at.get((name, server), 0.0) > self.now)
            for server in self.reconcilers[name].held_out
        }
        return LocalState(
            name == "a0",
            1,
            True,
            self.phase[name],
            True,
            5.0,
            busy,
            frozenset(),
            frozenset(),
            self.member_statuses() if name == "a0" else {},
            self.servers,
        )

    def perform(self, name: str, action: object) -> None:
        """Carries out an action of the agent's reconciler."""
        match action:
            case ProposeCommand(command):
                self.propose(command)
            case Drain():
                self.phase[name] = "draining"
                self.call_after(
                    self.rng.uniform(0.0, MAX_AGENT_DRAIN_MS), lambda: self.phase.update({name: "drained"})
                )
            case TurnAway():
                self.phase[name] = "turning away"
            case Resume():
                self.phase[name] = "serving"
            case HoldOut(server):
                self.empty_at[name, server] = self.now + self.rng.uniform(2000.0, MAX_SERVER_DRAIN_MS)
            case PutBack(server):
                self.empty_at.pop((name, server), None)

    def member_statuses(self) -> dict[str, MemberStatus]:
        """The status of each agent, with `up` updated from the agent's phase."""
        for name, phase in self.phase.items():
            if self.members[name].up is not (phase == "serving"):
                member = self.members[name]
                self.members[name] = MemberStatus(
                    member.zone, member.life, phase == "serving", False, member.voter
                )
        return self.members


def run_whole_plan(agents: int, servers: int, limits: Limits, seed: int = 1) -> None:
    """Runs a plan over all machines; compares its duration with a lower bound and prints its cost."""
    fleet = MaintenanceSimulation(agents, servers, limits, seed)
    fleet.run(lambda: fleet.now > START_MS + 10_000.0)
    started = fleet.now
    count_before = fleet.command_count
    bytes_before = fleet.command_bytes
    names = (*fleet.members, *fleet.servers)
    fleet.propose(MaintenanceRequest(names, "", "a new kernel", "ann", 600_000.0))
    fleet.run(
        lambda: sum(ticket.state is TicketState.DONE for ticket in fleet.plan.tickets) >= min(200, len(names))
        and not fleet.plan.has_open_tickets()
    )
    elapsed_ms = fleet.now - started
    # A lower bound: it assumes that drains take no time and that each zone always uses its limits fully.
    zones: dict[str, list[int]] = {}
    for name, machine in fleet.plan.machines.items():
        zones.setdefault(machine.zone, [0, 0])[name not in fleet.members] += 1
    rounds = [
        max(
            -(-(agent_count + server_count) // min(limits.all, limits.zone)),
            -(-agent_count // limits.agents),
            -(-server_count // limits.servers),
        )
        for agent_count, server_count in zones.values()
    ]
    lower_bound_ms = sum(rounds) * (REPAIR_MS + limits.warm_ms)
    apply_times_s = sorted(fleet.apply_times_s)
    print(
        f"{agents} agents, {servers} servers, {limits.all} at once (agents {limits.agents}, "
        f"servers {limits.servers}): whole plan {elapsed_ms / 60_000:.0f} min, "
        f"{elapsed_ms / lower_bound_ms:.2f} times the minimum by limits, repair and warm-up; "
        f"{(fleet.command_count - count_before) / len(names):.1f} commands and "
        f"{(fleet.command_bytes - bytes_before) / len(names):.0f} bytes per machine in the log; "
        f"applying a command takes p50 {apply_times_s[len(apply_times_s) // 2] * 1e6:.0f}, "
        f"longest {apply_times_s[-1] * 1e6:.0f} us at each agent"
    )


# Calls in time while machines are out: by the plan, by hand one after the other, or all at once

AGENT_COUNT = 24
SERVER_COUNT = 3
SERVER_RATE = 30.0  # set-ups per second of one lobby server
SHORT_REPAIR_MS = 10_000.0  # the repair of one machine in this part
COMMAND_MS = 1000.0  # an operator's command at one agent's operators' port
# An operator cannot see which calls are open at a server, so after disabling it everywhere waits this long.
MANUAL_DRAIN_MS = 10_000.0
WARM_UP_MS = 180_000.0  # calls before maintenance begins
QUIET_LOAD = 0.55  # the load at a quiet hour, which the maintenance of servers may have to wait for


class CallsDuringMaintenance(MaintenanceSimulation):
    """The fleet with real controllers and calls."""

    def __init__(self, load: float, seed: int) -> None:
        limits = Limits(all=1, share_calls=SERVER_RATE, agent_calls=10.0, margin=0.1, warm_ms=COLD_MS)
        super().__init__(AGENT_COUNT, SERVER_COUNT, limits, seed, zones=1)
        self.call_simulation = CallSimulation(
            self, AGENT_COUNT, SERVER_COUNT, SERVER_RATE, load * SERVER_RATE * SERVER_COUNT, seed
        )
        self.run(lambda: self.now >= START_MS + WARM_UP_MS)

    def local_state(self, name: str) -> LocalState:
        agent = self.call_simulation.agents[name]
        if agent.phase == "draining" and not agent.busy():
            agent.phase = "drained"
        self.phase[name] = agent.phase
        calls = self.call_simulation.calls_per_second / max(
            1, sum(other.phase == "serving" for other in self.call_simulation.agents.values())
        )
        return LocalState(
            name == "a0",
            1,
            True,
            agent.phase,
            not agent.busy(),
            calls,
            dict(agent.calls_by_server),
            frozenset(),
            frozenset(),
            self.member_statuses() if name == "a0" else {},
            self.servers,
        )

    def perform(self, name: str, action: object) -> None:
        agent = self.call_simulation.agents[name]
        match action:
            case ProposeCommand(command):
                self.propose(command)
            case Drain():
                agent.phase = "draining"
            case TurnAway():
                agent.phase = "turning away"
            case Resume():
                agent.phase = "serving"
            case HoldOut(server):
                self.set_disabled(name, server, True)
            case PutBack(server):
                self.set_disabled(name, server, False)

    def set_disabled(self, name: str, server: str, out: bool) -> None:
        """Disables a server at one agent, or enables it again, and sends the agent the list."""
        agent = self.call_simulation.agents[name]
        (agent.disabled.add if out else agent.disabled.discard)(server)
        agent.send_server_list()

    def start_repair(self, name: str) -> None:
        self.repair(name, lambda: self.propose(Ready(name)))

    def repair(self, name: str, on_ready: Callable[[], None]) -> None:
        """Switches the machine off, and on again after the repair; then calls `on_ready`."""
        if name in self.call_simulation.servers:
            server = self.call_simulation.servers[name]
            server.go_down()

            def come_back() -> None:
                server.come_up()
                for agent in self.call_simulation.agents.values():
                    agent.send_server_list()
                on_ready()
        else:

            def come_back() -> None:
                self.call_simulation.agents[name].boot()
                on_ready()

        self.call_after(SHORT_REPAIR_MS, come_back)

    def by_plan(self) -> str:
        """Maintains all machines by the plan; returns a note about servers that waited for a quiet hour."""
        names = (*self.members, *self.servers)
        self.propose(MaintenanceRequest(names, "", "a new kernel", "ann", 600_000.0))
        self.run(lambda: len(self.plan.tickets) == len(names))

        def only_servers_wait() -> bool:
            return all(
                ticket.kind == "server" and ticket.state is TicketState.WAITING
                for ticket in self.plan.tickets
                if ticket.state is not TicketState.DONE
            )

        self.run(only_servers_wait)
        still_waiting = [
            self.plan.explain(ticket) for ticket in self.plan.tickets if ticket.state is TicketState.WAITING
        ]
        if still_waiting:
            self.at_load = self.now
            self.call_simulation.calls_per_second = QUIET_LOAD * SERVER_RATE * SERVER_COUNT
            self.run(lambda: not self.plan.has_open_tickets())
        return (
            f"; {len(still_waiting)} servers waited for the quiet hour ({still_waiting[0]})"
            if still_waiting
            else ""
        )

    def by_hand(self) -> str:
        """Maintains the machines one after the other, as an operator without the plan."""
        remaining = [*self.members, *self.servers]

        def next_one() -> None:
            if not remaining:
                return
            name = remaining.pop(0)
            if name in self.members:
                agent = self.call_simulation.agents[name]
                agent.phase = "draining"

                def wait_until_empty() -> None:
                    if agent.busy():
                        self.call_after(250.0, wait_until_empty)
                    else:
                        self.repair(name, resume)

                def resume() -> None:
                    agent.phase = "serving"
                    self.call_after(COMMAND_MS, next_one)

                wait_until_empty()
                return
            members = list(self.members)
            for nth, peer in enumerate(members, start=1):
                self.call_after(nth * COMMAND_MS, lambda peer=peer: self.set_disabled(peer, name, True))  # type: ignore[misc]

            def enable() -> None:
                for nth, peer in enumerate(members, start=1):
                    self.call_after(nth * COMMAND_MS, lambda peer=peer: self.set_disabled(peer, name, False))  # type: ignore[misc]
                self.call_after(len(members) * COMMAND_MS, next_one)

            self.call_after(len(members) * COMMAND_MS + MANUAL_DRAIN_MS, lambda: self.repair(name, enable))

        next_one()
        self.run(
            lambda: not remaining
            and all(
                agent.phase == "serving" and not agent.disabled
                for agent in self.call_simulation.agents.values()
            )
        )
        return ""

    def at_once(self) -> str:
        """Drains all agents and switches all machines off at the same time."""
        names = [*self.members, *self.servers]
        for agent in self.call_simulation.agents.values():
            agent.phase = "draining"
        finished: list[str] = []

        def mark_back(name: str) -> None:
            if name in self.members:
                self.call_simulation.agents[name].phase = "serving"
            finished.append(name)

        for name in names:
            self.repair(name, lambda name=name: mark_back(name))  # type: ignore[misc]
        self.run(lambda: len(finished) == len(names))
        return ""


def run_with_calls(load: float, method: str, seed: int) -> tuple[float, str, float, int, float, float, str]:
    """Maintains all machines under calls, by "plan", by "hand", or "all" at once.

    Returns load, method, the share of calls in time, the number of the others, the share in the worst 10 s,
    the minutes that it took, and a note.
    """
    fleet = CallsDuringMaintenance(load, seed)
    before = fleet.call_simulation.in_time_share(START_MS + WARM_UP_MS / 3.0, fleet.now)[0]
    started = fleet.now
    note = {"plan": fleet.by_plan, "hand": fleet.by_hand, "all": fleet.at_once}[method]()
    ended = fleet.now
    until = getattr(fleet, "at_load", ended)
    fleet.run(lambda: fleet.now >= ended + 30_000.0)  # after-effects count as well
    share, lost, worst = fleet.call_simulation.in_time_share(started, ended + 20_000.0)
    if until < ended:
        note += f", {fleet.call_simulation.in_time_share(started, until)[0]:.4f} in time until then"
    return (
        load,
        method,
        share,
        lost,
        worst,
        (ended - started) / 60_000.0,
        f"{note}; without maintenance {before:.4f}",
    )


def calls(seed: int = 1) -> None:
    """The share of calls in time, from the first command to 20 s after the last machine is back."""
    jobs = [(load, method, seed) for load in (0.6, 0.95, 1.1) for method in ("plan", "hand", "all")]
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for load, method, share, lost, worst, minutes, note in pool.map(
            run_with_calls, *zip(*jobs, strict=True)
        ):
            print(
                f"{AGENT_COUNT} agents, {SERVER_COUNT} servers at {load:.0%} load, {method}: "
                f"{share:.4f} in time, {lost} calls not; worst 10 s {worst:.4f}; {minutes:.1f} min{note}"
            )


# Time from a fault to the plan's next step, or to the stated reason why it holds: real processes


async def measure_fault(scenario: str, seed: int) -> float:
    """Seconds until an agent's `work-status` shows a ticket's next state, or why the plan holds."""
    with tempfile.TemporaryDirectory() as folder:
        environment = Environment(1)
        async with Rig(
            pathlib.Path(folder), 5, 3, seed, environment=environment, work={"warm_ms": 500.0, "all": 1}
        ) as rig:
            leader = await rig.wait_for_leader()
            follower = next(name for name in rig.voters if name != leader)

            async def wait_for_status(words: str) -> None:
                async def shown() -> bool:
                    answers = [await rig.ask(name, "work-status") for name in rig.names if name != leader]
                    return any(words in line for lines in answers for line in lines)

                await rig.wait_until(words, shown)

            async def all_up() -> bool:
                lines = await rig.ask(leader, "work-status")
                return bool(lines) and not any("out unasked" in line for line in lines)

            for name in rig.names:
                await rig.wait_until("ready", lambda name=name: ready(rig, name))  # type: ignore[misc]
            await rig.wait_until("all are known", all_up)
            await rig.ask(leader, "work-request names=n4,n3 takes=1h who=ann why=disks")
            await wait_for_status("n4 agent out")
            leader = await rig.wait_for_leader()  # it may have changed since
            follower = next(name for name in rig.voters if name != leader)
            started = time.monotonic()
            match scenario:
                case "leader killed, then work-ready":
                    await rig.kill(leader)
                case "leader stalled, then work-ready":
                    rig.freeze(leader)
                case "leader cut off, then work-ready":
                    rig.partition([leader])
                case "a follower killed: the hold":
                    await rig.kill(follower)
                    await wait_for_status(f"out unasked: {follower}")
                    return time.monotonic() - started
            asked = rig.names[3]
            while time.monotonic() - started < 60.0:
                await rig.ask(asked, "work-ready n4")  # staff repeat it until it takes effect
                lines = await rig.ask(asked, "work-status")
                later = tuple(f"n4 agent {state}" for state in ("back", "warming", "done"))
                if any(state in line for line in lines for state in later):
                    break
                await asyncio.sleep(0.1)
            return time.monotonic() - started


async def ready(rig: Rig, name: str) -> bool:
    """Whether an agent's operators' port reports that it is ready."""
    return (await rig.ask(name, "ready"))[:1] == ["OK yes"]


def faults(rounds: int = 5) -> None:
    """Prints the times of `measure_fault` for each scenario over `rounds` seeds."""
    for scenario in (
        "no fault, work-ready",
        "leader killed, then work-ready",
        "leader stalled, then work-ready",
        "leader cut off, then work-ready",
        "a follower killed: the hold",
    ):
        times_s = sorted(asyncio.run(measure_fault(scenario, seed)) for seed in range(rounds))
        print(
            f"{scenario}: {times_s[0]:.1f}, {statistics.median(times_s):.1f}, {times_s[-1]:.1f} s "
            f"(shortest, median, longest of {rounds})"
        )


def plans() -> None:
    """Runs whole plans: a small fleet with the default and with wider limits, and a large one."""
    run_whole_plan(24, 3, Limits())
    run_whole_plan(24, 3, Limits(all=3, agents=2, servers=1, zone=3))
    run_whole_plan(200, 24, Limits(all=20, agents=20, servers=2, zone=20))


PARTS: Mapping[str, Callable[[], None]] = {"plans": plans, "calls": calls, "faults": faults}

if __name__ == "__main__":
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()
