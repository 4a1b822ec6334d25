"""Maintenance of machines: the plan against a simple reference model, all event orders of three agents,
random runs, and mutations that these must detect. All of it uses the real plan and reconcilers."""

from __future__ import annotations

import pickle
import random
from collections.abc import Iterator
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostport.maintenance import operator_commands
from frostport.maintenance.commands import (
    AGENT,
    SERVER,
    AgentLoad,
    AgentStatus,
    Cancel,
    Command,
    DrainConfirmed,
    Force,
    Hold,
    Limits,
    MaintenanceRequest,
    Ready,
    ServerList,
    ServerStatus,
    Tick,
)
from frostport.maintenance.plan import ENDED_STATES, OUT_OF_SERVICE_STATES, Machine, Plan, Ticket, TicketState
from frostport.maintenance.reconciler import (
    Drain,
    HoldOut,
    LocalState,
    MemberStatus,
    ProposeCommand,
    PutBack,
    Reconciler,
    Resume,
    Serve,
    TurnAway,
)
from tests.exploring import explored

SERVERS = {"h0": ServerStatus("h0", "z", 1.0, True), "h1": ServerStatus("h1", "z", 1.0, True)}
ZONES = {"a0": "z", "a1": "z", "a2": "y"}


# The limits, in a second and simpler implementation


def allowed(plan: Plan, name: str) -> bool:
    """Whether a machine may be taken out in this state (docs/design/maintenance.md, the order)."""
    machine = plan.machines[name]
    limits = plan.limits
    out = []
    for other in plan.machines.values():
        if other.name == name:
            continue
        planned = any(
            each.name == other.name and each.state in OUT_OF_SERVICE_STATES for each in plan.tickets
        )
        broken = other.kind == AGENT and not other.up and not other.left
        if other.kind == SERVER:
            reporting = [
                agent
                for agent in plan.machines.values()
                if agent.kind == AGENT and agent.up and not agent.left and agent.calls_per_second >= 0
            ]
            unreachable_from = [agent for agent in reporting if other.name in agent.unreachable]
            broken = not other.up or (bool(reporting) and 2 * len(unreachable_from) >= len(reporting))
        if planned or broken:
            out.append(other)
    if any(other.zone != machine.zone for other in out) or len(out) + 1 > min(limits.all, limits.zone):
        return False
    if sum(other.kind == machine.kind for other in out) + 1 > (
        limits.agents if machine.kind == AGENT else limits.servers
    ):
        return False
    if any(
        each.state is TicketState.OUT and plan.now_ms - each.since_ms > each.max_out_ms
        for each in plan.tickets
    ):
        return False
    remaining = [
        other
        for other in plan.machines.values()
        if other.kind == machine.kind and other is not machine and other not in out and not other.left
    ]
    load = sum(
        agent.calls_per_second
        for agent in plan.machines.values()
        if agent.kind == AGENT and not agent.left and agent.calls_per_second > 0
    )
    capacity = (
        limits.agent_calls * len(remaining)
        if machine.kind == AGENT
        else limits.share_calls * sum(other.share for other in remaining)
    )
    return bool(remaining) and not plan.held_by and (capacity == 0 or capacity >= load * (1 + limits.margin))


def apply_checked(plan: Plan, index: int, term: int, command: Command) -> None:
    """Applies a command; the reference model must allow the tickets that start by it, one after the other."""
    waiting = {ticket.number for ticket in plan.tickets if ticket.state is TicketState.WAITING}
    plan.apply(index, term, command)
    started = [
        ticket
        for ticket in plan.tickets
        if ticket.start_index == index
        and ticket.number in waiting
        and ticket.state is not TicketState.WAITING
    ]
    started += [
        ticket for ticket in plan.tickets if ticket.start_index == index and ticket.request_index == index
    ]
    before = Plan()
    before.restore(plan.save())
    for ticket in started:
        copy = next(each for each in before.tickets if each.number == ticket.number)
        copy.state = TicketState.WAITING
    for ticket in sorted(started, key=lambda each: (each.overtaken, not each.urgent, each.number)):
        assert any(allowed(before, each.name) for each in started), f"{ticket.name} may not be taken out"
    for ticket in started:
        if len(started) == 1:
            assert allowed(before, ticket.name), (
                f"{ticket.name} may not be taken out: {before.blocking_reason(ticket)}"
            )
    for ticket in plan.tickets:
        assert ticket.state in ENDED_STATES or plan.explain(ticket)
        assert (
            ticket.state is not TicketState.WAITING
            or plan.limits.overtakes < 1
            or ticket.overtaken <= plan.limits.overtakes
        )


names = st.sampled_from(["a0", "a1", "a2", "h0", "h1"])
commands = st.one_of(
    st.builds(
        MaintenanceRequest,
        st.lists(names, max_size=3).map(tuple),
        st.sampled_from(["", "", "y", "z"]),
        st.just("kernel"),
        st.just("ann"),
        st.sampled_from([5e3, 5e4]),
        st.booleans(),
    ),
    st.builds(Ready, names),
    st.builds(Cancel, names),
    st.builds(Force, names, st.just("ann"), st.just("why")),
    st.builds(Hold, st.booleans(), st.just("ann")),
    st.builds(
        lambda name, life, up: AgentStatus(name, ZONES[name], life, up, False, True),
        st.sampled_from(["a0", "a1", "a2"]),
        st.integers(1, 2),
        st.booleans(),
    ),
    st.builds(
        AgentLoad,
        st.sampled_from(["a0", "a1", "a2"]),
        st.integers(1, 2),
        st.sampled_from([0.0, 5.0, 20.0]),
        st.sampled_from([(), ("h0",), ("h1",)]),
    ),
    st.builds(
        DrainConfirmed, st.sampled_from(["a0", "a1", "a2"]), st.integers(1, 2), names, st.integers(1, 40)
    ),
    st.builds(Tick, st.just(1), st.sampled_from([1e3, 5e3, 9e9])),
    st.builds(
        Limits,
        st.integers(1, 3),
        st.integers(1, 2),
        st.integers(1, 2),
        st.integers(1, 3),
        st.sampled_from([0.0, 10.0]),
        st.sampled_from([0.0, 20.0]),
        overtakes=st.integers(0, 2),
    ),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(commands, max_size=40))
def test_the_plan_keeps_the_limits_of_the_reference_model_and_its_snapshots_are_stable(
    applied: list[Command],
) -> None:
    plan = Plan()
    plan.apply(0, 1, ServerList(tuple(SERVERS.values())))
    for name, zone in ZONES.items():
        plan.apply(0, 1, AgentStatus(name, zone, 1, True, False, True))
    for index, command in enumerate(applied, start=1):
        apply_checked(plan, index, 1, command)
        other = Plan()
        other.restore(plan.save())
        assert other.save() == plan.save()


# A model fleet: agents with their own copies of the plan and their calls, and a log in one order


class Node:
    """One agent: what it keeps over a restart (the log it has applied), and what is lost with the process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.life = 1
        self.applied = 0
        self.plan = Plan()
        self.alive = True
        self.cut = False
        self.storage_intact = True  # its disk has once held the log up to the leader's commit index
        self.start()

    def start(self) -> None:
        self.reconciler = Reconciler(self.name, self.life, 0.0, self.storage_intact)
        self.phase = "starting"
        self.busy = dict.fromkeys(SERVERS, 0)
        self.must_apply = 0


class Fleet:
    """Three agents and two servers; each `step` is one event, after which the invariants are checked."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.nodes = {name: Node(name) for name in ZONES}
        self.log: list[Command] = [limits or Limits(warm_ms=1000.0)]
        self.calls = 2  # attempts that may still be started
        self.deaths = self.cuts = 2  # how many may still occur
        self.late: list[Command] = []  # commands that are delayed in the network
        self.settle()

    # The view of an agent

    def leader(self) -> str:
        return next((name for name, node in self.nodes.items() if node.alive and not node.cut), "")

    def reconcile(self, node: Node) -> None:
        leader = self.leader()
        members = {
            name: MemberStatus(
                ZONES[name],
                other.life,
                other.alive and other.phase == "serving" and not other.cut,
                False,
                True,
            )
            for name, other in self.nodes.items()
        }
        node.reconciler._proposed.clear()
        node.reconciler._load_reported_ms = -1e9
        node.reconciler._reported_load = (
            AgentLoad(node.name, node.life, 1.0, ())
            if node.plan.machines.get(node.name, Machine("", "", "")).calls_per_second >= 0
            else None
        )
        again = True
        while again:
            again = False
            caught_up = node.applied >= node.must_apply and not node.cut
            node.storage_intact = node.storage_intact or caught_up
            local = LocalState(
                node.name == leader,
                1,
                caught_up,
                node.phase,
                not any(node.busy.values()),
                1.0,
                node.busy,
                frozenset(),
                frozenset(),
                members,
                SERVERS,
            )
            if node.reconciler._reported_load is not None:
                node.reconciler._load_reported_ms = 0.0
            for action in node.reconciler.reconcile(node.plan, local, 0.0):
                match action:
                    case ProposeCommand(command):
                        if not (node.cut or command in self.log[node.applied :] or isinstance(command, Tick)):
                            self.log.append(command)
                    case Serve():
                        node.phase = "serving"
                        again = True
                    case Drain():
                        node.phase = "draining" if any(node.busy.values()) else "drained"
                        again = True
                    case TurnAway():
                        node.phase = "turning away"
                        again = True
                    case Resume():
                        node.phase = "serving"
                    case HoldOut() | PutBack():
                        again = True

    def read(self, node: Node) -> None:
        if node.applied < len(self.log):
            node.applied += 1
            apply_checked(node.plan, node.applied, 1, self.log[node.applied - 1])
            self.reconcile(node)

    def settle(self) -> None:
        """All connected agents apply the whole log, with what they propose meanwhile."""
        for _ in range(200):
            connected = [node for node in self.nodes.values() if node.alive and not node.cut]
            if all(node.applied == len(self.log) for node in connected):
                before = len(self.log)
                for node in connected:
                    self.reconcile(node)
                if len(self.log) == before:
                    return
            for node in connected:
                self.read(node)

    # Events

    def events(self) -> Iterator[tuple[str, str]]:
        for name, node in self.nodes.items():
            if not node.alive:
                yield "return", name
                yield "return empty", name
                continue
            if not node.cut and node.applied < len(self.log):
                yield "read", name
            for server in SERVERS:
                if node.busy[server]:
                    yield "end", f"{name} {server}"
            # A client's open connection may carry calls to a draining agent until the agent refuses them.
            if self.calls and (node.phase in ("serving", "draining", "drained")):
                for server in SERVERS:
                    if server not in node.reconciler.held_out:
                        yield "call", f"{name} {server}"
            if node.phase == "draining" and node.reconciler.drain_started_ms >= 0.0:
                yield "patience", name
            if self.deaths:
                yield "kill", name
            if node.cut:
                yield "heal", name
                if not node.reconciler.serving:
                    yield "alone", name
            elif self.cuts:
                yield "cut", name
        if self.leader() and not isinstance(self.log[-1], Tick):
            yield "tick", ""
        if self.late:
            yield "arrive", ""
        if self.leader():
            for ticket in self.nodes[self.leader()].plan.tickets:
                if ticket.state is TicketState.OUT and Ready(ticket.name) not in self.log[-6:]:
                    yield "ready", ticket.name

    def step(self, what: str, which: str) -> None:
        name, _, server = which.partition(" ")
        node = self.nodes.get(name)
        match what:
            case "read" if node is not None:
                self.read(node)
            case "call" if node is not None:
                self.calls -= 1
                node.busy[server] += 1
            case "end" if node is not None:
                node.busy[server] -= 1
                if node.phase == "draining" and not any(node.busy.values()):
                    node.phase = "drained"
                self.reconcile(node)
            case "kill" if node is not None:
                self.deaths -= 1
                node.alive = False
                node.busy = dict.fromkeys(SERVERS, 0)
            case "return" | "return empty" if node is not None:
                node.alive = True
                node.life += 1
                if what == "return empty":
                    node.applied = 0
                    node.plan = Plan()
                    node.storage_intact = False
                node.start()
                node.must_apply = len(self.log)
                self.reconcile(node)
            case "cut" if node is not None:
                self.cuts -= 1
                node.cut = True
            case "heal" if node is not None:
                node.cut = False
                self.reconcile(node)
            case "alone" if node is not None:
                node.reconciler.started_ms = -1e9
                self.reconcile(node)
            case "patience" if node is not None:
                node.reconciler.drain_started_ms = -1e9  # the drain has taken longer than `drain_ms`
                self.reconcile(node)
            case "arrive":
                self.log.append(self.late.pop())
            case "tick":
                self.log.append(Tick(1, 5000.0))
            case "ready":
                self.log.append(Ready(which))
        if (leader := self.leader()) and what in ("kill", "return", "return empty", "cut", "heal"):
            self.reconcile(self.nodes[leader])
        self.check()

    def check(self) -> None:
        plans: dict[int, bytes] = {}
        for node in self.nodes.values():
            saved = plans.setdefault(node.applied, node.plan.save())
            assert saved == node.plan.save(), "W1: plans differ"
            for ticket in node.plan.tickets:
                # Once an operator has reported the machine ready, a replica that lags behind does no harm.
                if (
                    ticket.state is TicketState.OUT
                    and not ticket.forced_by
                    and node.alive
                    and Ready(ticket.name) not in self.log[node.applied :]
                ):
                    self.check_no_calls(ticket)

    def check_no_calls(self, ticket: Ticket) -> None:
        for other in self.nodes.values():
            if ticket.kind == SERVER:
                assert not other.busy[ticket.name], f"W3: {other.name} has a call at {ticket.name}"
            elif other.name == ticket.name:
                assert not any(other.busy.values()), f"W4: {other.name} has calls"

    def key(self) -> bytes:
        return pickle.dumps(
            (
                [
                    (
                        node.life,
                        node.applied,
                        node.alive,
                        node.cut,
                        node.phase,
                        node.busy,
                        node.must_apply,
                        sorted(node.reconciler.held_out),
                        node.reconciler.drain_ticket,
                        node.reconciler.serving,
                        node.reconciler.started_ms < 0,
                        node.reconciler.storage_intact,
                        node.storage_intact,
                        node.reconciler.drain_started_ms,
                    )
                    for node in self.nodes.values()
                ],
                self.log,
                self.late,
                self.calls,
                self.deaths,
                self.cuts,
            )
        )


def with_requests(*requests: MaintenanceRequest) -> Fleet:
    fleet = Fleet()
    fleet.log += requests
    return fleet


def with_draining_server() -> Fleet:
    """All agents hold the server out, and one call is open there: its agent has not confirmed."""
    fleet = Fleet()
    fleet.step("call", "a1 h0")
    fleet.log += [request_for("h0"), request_for("a1")]
    fleet.settle()
    return fleet


def with_server_out() -> Fleet:
    fleet = with_requests(request_for("h0"), request_for("a1"))
    fleet.settle()
    return fleet


def with_server_requested_again() -> Fleet:
    """The server's ticket was cancelled and requested anew; a confirmation of the first is in flight."""
    fleet = with_requests(request_for("h0"))
    while not (ticket := fleet.nodes["a0"].plan.open_ticket("h0")) or ticket.state is not TicketState.GOING:
        fleet.read(fleet.nodes["a0"])
    fleet.late = [DrainConfirmed("a1", 1, "h0", ticket.start_index)]
    fleet.log.append(Cancel("h0"))
    fleet.settle()
    fleet.log += [Tick(1, 5000.0), Tick(1, 5000.0)]
    fleet.settle()
    assert fleet.nodes["a0"].plan.open_ticket("h0") is None
    fleet.step("call", "a1 h0")
    fleet.log.append(request_for("h0"))
    fleet.settle()
    return fleet


def request_for(*machines: str, urgent: bool = False) -> MaintenanceRequest:
    return MaintenanceRequest(machines, "", "kernel", "ann", 60_000.0, urgent)


BEGINNINGS = {
    "asked": lambda: with_requests(request_for("h0"), request_for("a1")),
    "going": with_draining_server,
    "out": with_server_out,
    "again": with_server_requested_again,
}


@pytest.mark.parametrize("name", BEGINNINGS)
def test_all_event_orders_of_three_agents_and_two_servers(name: str) -> None:
    assert explored(BEGINNINGS[name](), 4, 20_000) > 500


def random_run(seed: int, steps: int = 250) -> Fleet:
    """A random run; at its end all faults are repaired, and every ticket must have ended."""
    rng = random.Random(seed)
    fleet = Fleet(
        Limits(all=rng.randint(1, 2), servers=1, zone=2, warm_ms=1000.0, overtakes=rng.randint(1, 3))
    )
    for number in range(steps):
        fleet.calls = 2
        fleet.deaths = 1
        fleet.cuts = 1
        events = list(fleet.events())
        weights = [{"kill": 0.1, "cut": 0.2, "alone": 0.3}.get(what, 1.0) for what, _ in events]
        fleet.step(*rng.choices(events, weights)[0])
        if number % 25 == 0:
            machines = rng.sample(["a0", "a1", "a2", "h0", "h1"], 2)
            fleet.log.append(request_for(*machines, urgent=rng.random() < 0.3))
    for _ in range(60):
        for node in fleet.nodes.values():
            if not node.alive:
                fleet.step("return", node.name)
            if node.cut:
                fleet.step("heal", node.name)
            for server in SERVERS:
                while node.busy[server]:
                    fleet.step("end", f"{node.name} {server}")
        fleet.settle()
        plan = fleet.nodes["a0"].plan
        for ticket in plan.tickets:
            if ticket.state is TicketState.OUT:
                fleet.step("ready", ticket.name)
        fleet.log.append(Tick(1, 5000.0))
        fleet.settle()
    unfinished = [
        (ticket.name, ticket.state.value, plan.explain(ticket))
        for ticket in plan.tickets
        if ticket.state not in ENDED_STATES
    ]
    assert not unfinished, unfinished
    return fleet


@pytest.mark.parametrize("seed", range(12))
def test_random_runs_end_with_every_ticket_done(seed: int) -> None:
    random_run(seed)


def stale_confirmations_do_not_count() -> None:
    plan = with_requests(request_for("h0")).nodes["a0"].plan
    commands_before: list[Command] = [
        ServerList(tuple(SERVERS.values())),
        AgentStatus("a0", "z", 2, True, False),
        AgentStatus("a1", "z", 5, True, False),
        request_for("h0"),
    ]
    for index, command in enumerate(commands_before, start=100):
        plan.apply(index, 1, command)
    ticket = plan.open_ticket("h0")
    assert ticket is not None
    for number, (agent, life, offset) in enumerate(
        (("a0", 1, 0), ("a1", 4, 0), ("a0", 2, -1), ("a1", 5, -1)), start=200
    ):
        plan.apply(number, 1, DrainConfirmed(agent, life, "h0", ticket.start_index + offset))
        assert not {"a0", "a1"} & ticket.confirmations.keys()


def test_confirmations_of_an_earlier_process_or_ticket_do_not_count() -> None:
    stale_confirmations_do_not_count()


# Mutations: each must be detected by the checks above


def ignore_process(plan: Plan, index: int, term: int, command: Command) -> None:
    if isinstance(command, DrainConfirmed) and command.agent in plan.machines:
        command = DrainConfirmed(
            command.agent, plan.machines[command.agent].life, command.machine, command.start_index
        )
    APPLY(plan, index, term, command)


def ignore_ticket(plan: Plan, index: int, term: int, command: Command) -> None:
    if isinstance(command, DrainConfirmed) and (ticket := plan.open_ticket(command.machine)) is not None:
        command = DrainConfirmed(command.agent, command.life, command.machine, ticket.start_index)
    APPLY(plan, index, term, command)


def count_tickets_only(plan: Plan) -> dict[str, Machine]:
    return {
        ticket.name: plan.machines[ticket.name]
        for ticket in plan.tickets
        if ticket.state in OUT_OF_SERVICE_STATES and ticket.name in plan.machines
    }


def wait_for_live_agents_only(plan: Plan, ticket: Ticket) -> list[str]:
    return [name for name in MISSING_CONFIRMATIONS(plan, ticket) if plan.machines[name].up]


def serve_before_catching_up(
    reconciler: Reconciler, plan: Plan, local: LocalState, now_ms: float
) -> list[object]:
    local.caught_up = True
    reconciler.started_ms = -1e9
    reconciler.storage_intact = True
    return list(RECONCILE(reconciler, plan, local, now_ms))


def never_turn_away(reconciler: Reconciler, plan: Plan, local: LocalState, now_ms: float) -> list[object]:
    """An agent whose machine is out goes on serving clients that still connect."""
    return [
        action
        for action in RECONCILE(
            reconciler,
            plan,
            replace(local, phase="turning away" if local.phase == "drained" else local.phase),
            now_ms,
        )
        if not isinstance(action, TurnAway)
    ]


APPLY = Plan.apply
MISSING_CONFIRMATIONS = Plan.missing_confirmations
RECONCILE = Reconciler.reconcile
MUTATIONS: dict[str, tuple[type, str, object]] = {
    "a confirmation counted across processes": (Plan, "apply", ignore_process),
    "a confirmation counted across tickets": (Plan, "apply", ignore_ticket),
    "failed machines not counted as out": (Plan, "out_of_service", count_tickets_only),
    "silent agents not waited for": (Plan, "missing_confirmations", wait_for_live_agents_only),
    "calls taken before the log is applied": (Reconciler, "reconcile", serve_before_catching_up),
    "an agent that serves while out": (Reconciler, "reconcile", never_turn_away),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_mutations_are_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, mutation = MUTATIONS[name]
    monkeypatch.setattr(owner, method, mutation)

    def detected() -> bool:
        try:
            stale_confirmations_do_not_count()
            for seed in range(10):
                random_run(seed, 120)
            for beginning in BEGINNINGS.values():
                explored(beginning(), 4, 20_000)
        except AssertionError:
            return True
        return False

    assert detected()


# Operators' commands


def test_operators_commands_are_validated_and_status_gives_reasons() -> None:
    plan = with_server_out().nodes["a0"].plan
    assert plan.open_ticket("h0") is not None and "may be touched" in "\n".join(
        operator_commands.status_lines(plan)
    )
    request = operator_commands.parse_command(
        "request", "names=a0,h1 takes=30m within=8h urgent=yes who=ann why=a new kernel", plan
    )
    assert request == MaintenanceRequest(
        ("a0", "h1"), "", "a new kernel", "ann", 1_800_000.0, True, 28_800_000.0
    )
    assert operator_commands.parse_command("limits", "all=3 margin=0.5", plan) == Limits(
        all=3, margin=0.5, warm_ms=1000.0
    )
    for verb, rest, message in (
        ("request", "takes=30m who=ann why=x", "names= or zone="),
        ("request", "names=a0 who=ann why=x", "takes="),
        ("request", "names=a0 takes=half who=ann why=x", "takes:"),
        ("request", "nonsense", "not one of"),
        ("ready", "h1", "no ticket"),
        ("ready", "a1", "not out"),
        ("cancel", "h0", "work-ready"),
        ("force", "h0 who=ann why=x", "neither"),
        ("force", "h0 who=ann", "who= and why="),
        ("limits", "all=many", "not a number"),
        ("hold", "", "who="),
    ):
        with pytest.raises(operator_commands.InvalidCommandError, match=message):
            operator_commands.parse_command(verb, rest, plan)


def test_force_keeps_operator_and_reason_and_an_overdue_machine_stops_the_plan() -> None:
    plan = with_server_out().nodes["a0"].plan
    index = 1000
    for tick in (Tick(1, 5000.0),) * 14:
        plan.apply(index := index + 1, 1, tick)
    waiting = plan.open_ticket("a1")
    late = plan.open_ticket("h0")
    assert waiting is not None and late is not None
    assert plan.explain(waiting) == "held: h0 overdue" and plan.is_overdue(late)
    plan.apply(index + 1, 1, Force("h0", "ann", "its disk is gone"))
    assert late.state is TicketState.GIVEN_UP and late.forced_by == "ann: its disk is gone"
    assert "1 out of 1" in plan.explain(waiting)
    plan.apply(index + 2, 1, Limits(all=2, zone=2))
    assert waiting.state is TicketState.GOING


def test_serving_agents_take_over_the_budgets_of_agents_that_are_out() -> None:
    plan = Plan()
    assert plan.budget_factor() <= 1.0  # nothing known yet
    for index, (name, zone) in enumerate(ZONES.items(), start=1):
        plan.apply(index, 1, AgentStatus(name, zone, 1, True, False, True))
    assert plan.budget_factor() == 1.0
    plan.apply(4, 1, request_for("a2"))
    plan.apply(5, 1, AgentStatus("a2", "y", 1, False, False, True))
    assert plan.budget_factor() == 1.5
    # An operator has stopped the process: the agent has left, but its ticket still counts.
    plan.apply(6, 1, AgentStatus("a2", "y", 1, False, True, True))
    assert plan.budget_factor() == 1.5
    # An agent that has left for good has no part in the budgets.
    plan.apply(7, 1, AgentStatus("a1", "z", 1, False, True, True))
    assert plan.budget_factor() == 2.0
