"""Connects the plan of maintenance with the agreed log, the broker, the life cycle and the operators' port.

The decisions are in the package `maintenance`.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from frostport.agreement.applier import Applier
from frostport.agreement.events import Role
from frostport.agreement.log import Log
from frostport.agreement.messages import Entry
from frostport.agreement.state_machine import StateMachine
from frostport.core.broker import Broker
from frostport.core.clock import Clock
from frostport.core.deadlines import Deadline
from frostport.core.lifecycle import Lifecycle, Phase
from frostport.interface import Lifecycle as ServerLifecycle
from frostport.maintenance import commands, operator_commands
from frostport.maintenance.plan import HELD_OUT_STATES, Plan, TicketState
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
from frostport.membership.messages import State as MemberState
from frostport.net.operator import Operation, OperatorError
from frostport.observe.statsd import StatsdMetrics

if TYPE_CHECKING:
    from frostport.fleet import Fleet

log = logging.getLogger("frostport.work")

KIND = "work"
ACTION_PHASES: dict[type, Phase] = {Drain: Phase.DRAINING, TurnAway: Phase.TURNING_AWAY}
RECONCILE_MS = 250.0  # between two reconciliations; an applied command causes one as well
LOAD_WINDOW_MS = 60_000.0  # the load is the mean rate over this time
READ_RETRY_MS = 2000.0  # an unanswered read of the leader's commit index is repeated after this time


class MaintainedAgent(Protocol):
    """The parts of the agent that its maintenance uses."""

    broker: Broker
    lifecycle: Lifecycle
    metrics: StatsdMetrics
    clock: Clock

    def is_idle(self) -> bool: ...

    def startup_complete(self) -> bool: ...


def register_plan(state_machine: StateMachine, plan: Plan, apply: Callable[[Entry, Any], None]) -> None:
    """Registers the kind `work` with the agreed log's state machine."""
    state_machine.register(KIND, commands.VERSION, commands.Command, apply, plan.save, plan.restore)


class FleetMaintenance:
    """Owns the plan as this agent has applied it, and the reconciler that carries it out here."""

    def __init__(self, fleet: Fleet, records: Mapping[str, bytes]) -> None:
        """`records`: the log's records on disk, by key. Raises BadLogError, msgspec.MsgspecError."""
        self.fleet = fleet
        self.plan = Plan()
        register_plan(fleet.state_machine, self.plan, self._apply)
        self.disk_plan: Plan | None = plan_from_disk(records)  # None once caught up
        self.ticket_states: dict[int, TicketState] = {}
        self.agent: MaintainedAgent | None = None
        self.answer_samples: deque[tuple[float, int]] = deque()
        self._reconciling = False
        self._reconcile_timer: Deadline | None = None  # set when a command has been applied

    @property
    def effective_plan(self) -> Plan:
        """The plan in force here: until this agent has caught up, that of all entries on its disk."""
        return self.disk_plan or self.plan

    def attach(self, agent: MaintainedAgent) -> None:
        """Called before `start`; `agent` enters SERVING once the reconciler returns `Serve`."""
        self.agent = agent

    def start(self) -> None:
        """Starts catching up with the log, and reconciling; called after `attach`."""
        fleet = self.fleet
        self.reconciler = Reconciler(
            fleet.config.agent, fleet.swim.info.life, fleet.clock.now(), fleet.caught_up, fleet.config.work
        )
        self._request_catch_up()
        self._reconcile_periodically()

    def _request_catch_up(self) -> None:
        if self.disk_plan is not None:
            self.fleet.read("caught-up", self._on_caught_up)
            self.fleet.deadlines.set(self.fleet.clock.now() + READ_RETRY_MS, self._request_catch_up)

    def _on_caught_up(self) -> None:
        if self.disk_plan is not None:
            self.disk_plan = None
            self.fleet.mark_caught_up()  # before any proposal that relies on it; disk writes keep this order
            self.fleet.record.event("caught-up", index=self.fleet.applier.applied_index)
            self.reconcile()

    def _reconcile_periodically(self) -> None:
        self.reconcile()
        self.fleet.deadlines.set(self.fleet.clock.now() + RECONCILE_MS, self._reconcile_periodically)

    # The log

    def _apply(self, entry: Entry, command: commands.Command) -> None:
        self.plan.apply(entry.index, entry.term, command)
        previous = self.ticket_states
        self.ticket_states = {ticket.number: ticket.state for ticket in self.plan.tickets}
        for ticket in self.plan.tickets:
            if previous.get(ticket.number) is not ticket.state:
                log.info(
                    "work: maintenance ticket of %s is now %s: %s",
                    ticket.name,
                    ticket.state.value,
                    self.plan.explain(ticket),
                )
                self.fleet.record.event(
                    "ticket",
                    index=entry.index,
                    number=ticket.number,
                    machine=ticket.name,
                    state=ticket.state.value,
                    forced=ticket.forced_by,
                )
        if self._reconcile_timer is None:  # once for all commands of one event-loop iteration
            self._reconcile_timer = self.fleet.deadlines.set(self.fleet.clock.now(), self.reconcile)

    def reconcile(self) -> None:
        """Performs what the plan requires of this agent, until nothing more changes here.

        Returns at once if called while it runs."""
        self._reconcile_timer = None
        if self.agent is None or self._reconciling:
            return
        self._reconciling = True
        changed = True
        try:
            while changed:
                changed = False
                plan = self.effective_plan
                for action in self.reconciler.reconcile(
                    plan, self._local_state(plan), self.fleet.clock.now()
                ):
                    changed = self._perform(action) or changed
        finally:
            self._reconciling = False
        self.agent.broker.budgets.set_scale(self.effective_plan.budget_factor(), self.agent.clock.now())

    def _perform(self, action: object) -> bool:
        """Performs an action; returns whether local state may have changed, which calls for another pass."""
        agent = self.agent
        assert agent is not None
        if not isinstance(action, ProposeCommand):
            self.fleet.record.event(
                "keeper", does=type(action).__name__.lower(), server=getattr(action, "server", "")
            )
        match action:
            case ProposeCommand(command):
                # Without a leader proposals would queue up here.
                if self.disk_plan is None and self.fleet.raft.leader:
                    self._propose(command)
                return False
            case Serve() | Resume() | Drain() | TurnAway():
                phase = ACTION_PHASES.get(type(action), Phase.SERVING)
                if agent.lifecycle.can_enter(phase):
                    agent.lifecycle.enter(phase)
            case HoldOut(server):
                agent.broker.set_rotation(server, True)
            case PutBack(server):
                agent.broker.set_rotation(server, False)
        return True

    def _propose(self, command: commands.Command) -> None:
        try:
            self.fleet.propose(KIND, commands.VERSION, command)
        except OperatorError as problem:  # too many proposals are in flight
            log.warning("work: proposal not accepted, will be repeated: %s", problem)

    # Local state

    def _local_state(self, plan: Plan) -> LocalState:
        agent = self.agent
        fleet = self.fleet
        assert agent is not None
        rotation = agent.broker.rotation
        rules = agent.broker.rules
        now = agent.clock.now()
        for server in self.reconciler.held_out & rotation.last_records.keys() - rotation.disabled:
            agent.broker.set_rotation(server, True)  # it had left the server list, and is listed again
        calls_by_server: dict[str, int] = {}
        if plan.held_out():
            for request in agent.broker.requests:
                if request.attempt is not None:
                    calls_by_server[request.attempt.server] = (
                        calls_by_server.get(request.attempt.server, 0) + 1
                    )
        members = {
            fleet.config.agent: MemberStatus(
                fleet.config.zone,
                fleet.swim.info.life,
                agent.lifecycle.phase is Phase.SERVING,
                False,
                fleet.config.agent in fleet.raft.voters,
            )
        }
        for member in fleet.swim.table:
            members[member.name] = MemberStatus(
                member.info.zone,
                member.info.life,
                member.state <= MemberState.SUSPECT and member.info.phase == Phase.SERVING.value,
                member.state is MemberState.LEFT,
                member.name in fleet.raft.voters,
            )
        return LocalState(
            fleet.raft.role is Role.LEADER,
            fleet.raft.term,
            self.disk_plan is None,
            agent.lifecycle.phase.value,
            agent.is_idle(),
            self._calls_per_second(),
            calls_by_server,
            frozenset(
                server
                for server in self.reconciler.held_out
                if server in rules.servers and not rules.drained_past_grace(server, now)
            ),
            frozenset(
                server
                for server, reasons in agent.metrics.avoidance_reasons.items()
                if reasons & {"connection", "operator"}
            ),
            members,
            {
                server.address: commands.ServerStatus(
                    server.address, server.zone, server.nominal, server.state is ServerLifecycle.READY
                )
                for server in rotation.last_records.values()
                if server.state is not ServerLifecycle.GONE
            },
            agent.startup_complete(),
        )

    def _calls_per_second(self) -> float:
        """The rate of calls answered here, over `LOAD_WINDOW_MS`."""
        assert self.agent is not None
        now = self.fleet.clock.now()
        counts = self.agent.metrics.counts
        total = sum(sum(counts[name].values()) for name in ("answered", "deferred", "errored"))
        if not self.answer_samples or now - self.answer_samples[-1][0] >= 1000.0:
            self.answer_samples.append((now, total))
        while now - self.answer_samples[0][0] > LOAD_WINDOW_MS:
            self.answer_samples.popleft()
        first_at, first_total = self.answer_samples[0]
        return (total - first_total) * 1000.0 / max(1000.0, now - first_at)

    # The operators' port

    def held_reason(self, name: str) -> str:
        """Why an operator may not return a machine to service by hand; "" if they may.

        `name`: a server, or "" for this agent.
        """
        ticket = self.effective_plan.open_ticket(name or self.fleet.config.agent)
        if ticket is None or ticket.state not in HELD_OUT_STATES:
            return ""
        return f"held by ticket {ticket.number}: work-ready or work-cancel"

    def operations(self) -> dict[str, Operation]:
        """The `work-...` commands of the operators' port."""
        operations: dict[str, Operation] = {"work-status": self._status}
        for verb in ("request", "ready", "hold", "go-on", "cancel", "force", "limits"):
            operations[f"work-{verb}"] = self._operation(verb)
        return operations

    def _operation(self, verb: str) -> Operation:
        def operation(rest: str) -> list[str]:
            try:
                command = operator_commands.parse_command(verb, rest, self.effective_plan)
            except operator_commands.InvalidCommandError as problem:
                raise OperatorError(str(problem)) from None
            return [f"OK {self.fleet.propose(KIND, commands.VERSION, command)}"]

        return operation

    def _status(self, _: str) -> list[str]:
        leader = self.fleet.raft.leader
        first = f"OK leader={leader}" if leader else "OK no leader is heard: nothing goes on until one is"
        return [first, *operator_commands.status_lines(self.effective_plan), "END"]


def plan_from_disk(records: Mapping[str, bytes]) -> Plan:
    """The plan after all entries on disk, committed or not: this agent may have acted on any of them."""
    plan = Plan()
    state_machine = StateMachine()
    stored_log = Log(records)
    register_plan(state_machine, plan, lambda entry, command: plan.apply(entry.index, entry.term, command))
    applier = Applier(state_machine, stored_log.snapshot_meta.index, stored_log.snapshot)
    applier.add(stored_log.entries, ())
    applier.step(len(stored_log.entries))
    return plan
