"""The plan of maintenance: a replicated state machine, identical at every agent after the same log entry.

`Plan.apply(index, term, command)` applies one committed command, advances the tickets, and starts every
waiting ticket that the limits allow; nothing else changes the state. Time is the sum of the leader's ticks
(see docs/design/maintenance.md): the plan reads no clock and no random numbers, as all replicas must agree.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

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
    Tick,
)

MAX_TICK_MS = 60_000.0  # most that one tick adds to plan time, however long it claims to be
MAX_ENDED_TICKETS = 200  # ended tickets that are kept for `work-status`
MAX_OPEN_TICKETS = 1000  # tickets of further machines are refused


class TicketState(Enum):
    """The life cycle of a ticket; the values are shown to operators."""

    WAITING = "waiting"
    GOING = "going"  # draining: no new calls, until all agents concerned have confirmed
    OUT = "out"  # drained: maintenance may begin
    BACK = "back"  # released for service, but not seen serving yet
    WARMING = "warming"  # serving again; still occupies its place for `Limits.warm_ms`
    GIVEN_UP = "given up"  # was overdue, and an operator has forced it: out until it is reported ready
    DONE = "done"
    CANCELLED = "cancelled"
    REFUSED = "refused"


ENDED_STATES = (TicketState.DONE, TicketState.CANCELLED, TicketState.REFUSED)
OUT_OF_SERVICE_STATES = (  # these count against the limits
    TicketState.GOING,
    TicketState.OUT,
    TicketState.BACK,
    TicketState.WARMING,
    TicketState.GIVEN_UP,
)
HELD_OUT_STATES = (TicketState.GOING, TicketState.OUT, TicketState.GIVEN_UP)  # no new calls go there


class Machine(msgspec.Struct, array_like=True):
    """An agent or a lobby server, as the log has it."""

    name: str
    kind: str
    zone: str
    up: bool = True
    left: bool = False  # an agent that has left the fleet: it holds no call anywhere
    life: int = 0  # identifies an agent's process
    share: float = 0.0  # a server's
    calls_per_second: float = -1.0  # an agent's load; negative until this process has reported it
    unreachable: tuple[str, ...] = ()  # servers that the agent can't use
    voter: bool = False


class Ticket(msgspec.Struct, array_like=True):
    """The maintenance of one machine, from the request to its end."""

    number: int
    request_index: int  # of the request's log entry
    name: str
    kind: str
    urgent: bool
    max_out_ms: float
    reason: str
    operator: str
    due_at_ms: float = 0.0  # in plan time; 0: no due time
    state: TicketState = TicketState.WAITING
    since_ms: float = 0.0  # when the state began, in plan time
    start_index: int = 0  # the log entry that started it; identifies the drain in confirmations
    confirmations: dict[str, int] = {}  # by agent, the life of the process that has confirmed the drain
    overtaken: int = 0  # how many tickets of other requests have overtaken it
    forced_by: str = ""  # "OPERATOR: REASON" of a `Force`
    note: str = ""  # why it was refused
    timer_unset: bool = False  # the state began after the last tick: `since_ms` is set by the next one


class PlanSnapshot(msgspec.Struct, array_like=True):
    """The state of a plan, as the agreed log's snapshots hold it."""

    now_ms: float
    limits: Limits
    held_by: str
    machines: list[Machine]
    tickets: list[Ticket]
    last_number: int
    limits_set: bool


class Plan:
    """Owns the tickets and the state of the machines according to the log."""

    def __init__(self) -> None:
        self.now_ms = 0.0  # plan time
        self.limits = Limits()
        self.held_by = ""  # the operator whose hold is in force
        self.machines: dict[str, Machine] = {}
        self.tickets: list[Ticket] = []  # by number
        self._open_tickets: dict[str, Ticket] = {}  # by machine, those that have not ended
        self.last_number = 0
        self.limits_set = False  # limits have been applied at least once

    # Snapshots

    def save(self) -> bytes:
        """The state as msgpack; equal states give equal bytes."""
        return msgspec.msgpack.encode(
            PlanSnapshot(
                self.now_ms,
                self.limits,
                self.held_by,
                list(self.machines.values()),
                self.tickets,
                self.last_number,
                self.limits_set,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `save` has returned. Raises msgspec.MsgspecError."""
        saved = msgspec.msgpack.decode(data, type=PlanSnapshot)
        self.now_ms = saved.now_ms
        self.limits = saved.limits
        self.held_by = saved.held_by
        self.last_number = saved.last_number
        self.limits_set = saved.limits_set
        self.machines = {machine.name: machine for machine in saved.machines}
        self.tickets = saved.tickets
        self._open_tickets = {
            ticket.name: ticket for ticket in self.tickets if ticket.state not in ENDED_STATES
        }

    # Commands

    def apply(self, index: int, term: int, command: Command) -> None:
        """Applies the command of the log entry at `index`, which a leader of `term` has appended."""
        match command:
            case Limits():
                self.limits = command
                self.limits_set = True
            case MaintenanceRequest():
                self._add_tickets(index, command)
            case Hold():
                self.held_by = command.operator if command.enabled else ""
            case Ready() | Cancel() | Force():
                self._apply_operator_command(command)
            case AgentStatus():
                self._update_agent(command)
            case ServerList():
                self._update_servers(command)
            case AgentLoad():
                machine = self.machines.get(command.name)
                if machine is not None and machine.life == command.life:
                    machine.calls_per_second = command.calls_per_second
                    machine.unreachable = command.unreachable
            case DrainConfirmed():
                ticket = self.open_ticket(command.machine)
                machine = self.machines.get(command.agent)
                if (
                    ticket is not None
                    and ticket.state is TicketState.GOING
                    and ticket.start_index == command.start_index
                    and machine is not None
                    and machine.life == command.life
                ):
                    ticket.confirmations[command.agent] = command.life
            case Tick():
                if command.term == term:  # a forwarded tick of an earlier leader: its time has been counted
                    self.now_ms += min(max(0.0, command.elapsed_ms), MAX_TICK_MS)
                    for ticket in self._open_tickets.values():
                        if ticket.timer_unset:
                            # Guards against counting time from before the state began: this tick covers some.
                            ticket.since_ms = self.now_ms
                            ticket.timer_unset = False
        self._advance(index)

    def _add_tickets(self, index: int, command: MaintenanceRequest) -> None:
        """One ticket for each machine; those that can't be accepted are kept as refused, with the reason."""
        names = list(dict.fromkeys(command.names))
        names += [
            name
            for name, machine in sorted(self.machines.items())
            if command.zone and machine.zone == command.zone and name not in names and not machine.left
        ]
        for name in names:
            self.last_number += 1
            machine = self.machines.get(name)
            kind = machine.kind if machine is not None else ""
            ticket = Ticket(
                self.last_number,
                index,
                name,
                kind,
                command.urgent,
                command.max_out_ms,
                command.reason,
                command.operator,
                self.now_ms + command.due_within_ms if command.due_within_ms else 0.0,
                since_ms=self.now_ms,
                confirmations={},
            )
            if machine is None:
                ticket.state = TicketState.REFUSED
                ticket.note = "no machine of that name is known"
            elif (other := self.open_ticket(name)) is not None:
                ticket.state = TicketState.REFUSED
                ticket.note = f"ticket {other.number} has it already"
            elif len(self._open_tickets) >= MAX_OPEN_TICKETS:
                ticket.state = TicketState.REFUSED
                ticket.note = f"{MAX_OPEN_TICKETS} tickets already"
            else:
                self._open_tickets[name] = ticket
            self.tickets.append(ticket)

    def _apply_operator_command(self, command: Ready | Cancel | Force) -> None:
        ticket = self.open_ticket(command.name)
        if ticket is None:
            return
        match command, ticket.state:
            case Ready(), TicketState.OUT | TicketState.GIVEN_UP:
                self._set_state(ticket, TicketState.BACK)
            case Cancel(), TicketState.WAITING:
                self._set_state(ticket, TicketState.CANCELLED)
            case Cancel(), TicketState.GOING:
                self._set_state(ticket, TicketState.BACK)
            case Force(), TicketState.GOING:
                ticket.forced_by = f"{command.operator}: {command.reason}"
                self._set_state(ticket, TicketState.OUT)
            case Force(), TicketState.OUT if self.is_overdue(ticket):
                ticket.forced_by = f"{command.operator}: {command.reason}"
                self._set_state(ticket, TicketState.GIVEN_UP)

    def _update_agent(self, command: AgentStatus) -> None:
        machine = self.machines.get(command.name)
        if machine is None:
            machine = self.machines[command.name] = Machine(command.name, AGENT, command.zone)
        if machine.kind != AGENT:
            return
        if machine.life != command.life:
            machine.calls_per_second = -1.0
            machine.unreachable = ()
        machine.zone = command.zone
        machine.life = command.life
        machine.voter = command.voter
        machine.up = command.up
        machine.left = command.left

    def _update_servers(self, command: ServerList) -> None:
        # A server off the list is forgotten unless a ticket still refers to it.
        listed = {server.name: server for server in command.servers}
        for name in [
            name
            for name, machine in self.machines.items()
            if machine.kind == SERVER and name not in listed and self.open_ticket(name) is None
        ]:
            del self.machines[name]
        for machine in self.machines.values():
            if machine.kind == SERVER and machine.name not in listed:
                machine.up = False
        for name, server in listed.items():
            if name not in self.machines or self.machines[name].kind == SERVER:
                self.machines[name] = Machine(name, SERVER, server.zone, server.ready, share=server.share)

    # Transitions

    def _set_state(self, ticket: Ticket, state: TicketState) -> None:
        """Enters a state and drops old ended tickets. OUT and WARMING are timed from the next tick."""
        ticket.state = state
        ticket.since_ms = self.now_ms
        ticket.timer_unset = state in (TicketState.OUT, TicketState.WARMING)
        if state in ENDED_STATES:
            del self._open_tickets[ticket.name]
            ended = [each for each in self.tickets if each.state in ENDED_STATES]
            for each in ended[:-MAX_ENDED_TICKETS]:
                self.tickets.remove(each)

    def _advance(self, index: int) -> None:
        """Makes every transition that the state allows after the entry at `index`."""
        for ticket in list(self._open_tickets.values()):  # a copy: tickets that end are removed meanwhile
            if ticket.state is TicketState.GOING and not self.missing_confirmations(ticket):
                self._set_state(ticket, TicketState.OUT)
            elif ticket.state is TicketState.BACK and self._is_back(ticket):
                self._set_state(ticket, TicketState.WARMING)
            elif (
                ticket.state is TicketState.WARMING
                and not ticket.timer_unset
                and self.now_ms - ticket.since_ms >= self.limits.warm_ms
            ):
                self._set_state(ticket, TicketState.DONE)
        while (ticket_to_start := self._next_ticket()) is not None:
            ticket_to_start.start_index = index
            ticket_to_start.confirmations = {}
            self._set_state(ticket_to_start, TicketState.GOING)

    def _next_ticket(self) -> Ticket | None:
        """The ticket that may start now, if any.

        It is the first in order, or one behind blocked tickets, which it overtakes. A ticket that has been
        overtaken `Limits.overtakes` times is not overtaken again, so that no ticket starves.
        """
        blocked: list[Ticket] = []
        waiting = self.waiting_in_order()
        out = self.out_of_service() if waiting else {}
        for ticket in waiting:
            if not self.blocking_reason(ticket, out):
                for each in blocked:
                    # Within one request the order doesn't matter.
                    each.overtaken += each.request_index != ticket.request_index
                return ticket
            if ticket.overtaken >= self.limits.overtakes:
                return None
            blocked.append(ticket)
        return None

    def _is_back(self, ticket: Ticket) -> bool:
        """Whether a machine serves again. An agent must also report its load, for the capacity check."""
        machine = self.machines.get(ticket.name)
        if machine is None:
            return True  # a server that is no longer listed
        return self.is_up(machine) and (machine.kind == SERVER or machine.calls_per_second >= 0.0)

    # Queries

    def open_ticket(self, name: str) -> Ticket | None:
        """The machine's ticket that has not ended, if any."""
        return self._open_tickets.get(name)

    def waiting_in_order(self) -> list[Ticket]:
        """Tickets that wait: those overtaken too often first, then urgent ones, then by number."""
        return sorted(
            (ticket for ticket in self.tickets if ticket.state is TicketState.WAITING),
            key=lambda ticket: (ticket.overtaken < self.limits.overtakes, not ticket.urgent, ticket.number),
        )

    def held_out(self, kind: str = SERVER) -> dict[str, Ticket]:
        """Tickets of the machines that must get no new calls, by machine."""
        return {
            name: ticket
            for name, ticket in self._open_tickets.items()
            if ticket.kind == kind and ticket.state in HELD_OUT_STATES
        }

    def is_overdue(self, ticket: Ticket) -> bool:
        """Whether the machine has been out for longer than requested; this stops the plan."""
        return ticket.state is TicketState.OUT and self.now_ms - ticket.since_ms > ticket.max_out_ms

    def is_late(self, ticket: Ticket) -> bool:
        """Whether a ticket is still open past its due time."""
        return ticket.state not in ENDED_STATES and 0.0 < ticket.due_at_ms < self.now_ms

    def is_up(self, machine: Machine) -> bool:
        """Whether a machine serves, by the log; a server that half of the agents can't use does not."""
        if machine.kind == AGENT or not machine.up:
            return machine.up and not machine.left
        return self._is_reachable(machine, self._reporting_agents())

    def _reporting_agents(self) -> list[Machine]:
        """Agents that are up and have reported their load and unreachable servers."""
        return [
            agent
            for agent in self.machines.values()
            if agent.kind == AGENT and agent.up and not agent.left and agent.calls_per_second >= 0.0
        ]

    def _is_reachable(self, server: Machine, reporting: list[Machine]) -> bool:
        return 2 * sum(server.name in agent.unreachable for agent in reporting) < max(1, len(reporting))

    def out_of_service(self) -> dict[str, Machine]:
        """Machines that are out, by a ticket or a failure. Agents that have left count only with a ticket."""
        planned = {
            name for name, ticket in self._open_tickets.items() if ticket.state in OUT_OF_SERVICE_STATES
        }
        reporting = self._reporting_agents()
        unreachable = {
            machine.name
            for machine in self.machines.values()
            if machine.kind == SERVER and not self._is_reachable(machine, reporting)
        }
        return {
            name: machine
            for name, machine in self.machines.items()
            if name in planned or name in unreachable or not (machine.left or machine.up)
        }

    def budget_factor(self) -> float:
        """Factor on a serving agent's part of the budgets: it takes over the parts of agents that are out.

        It follows from the log, so that an agent that is cut off from the majority doesn't raise its budgets.
        """
        agents = [
            each
            for each in self.machines.values()
            if each.kind == AGENT and (not each.left or self.open_ticket(each.name) is not None)
        ]
        return len(agents) / max(1, sum(self.is_up(each) for each in agents))

    def missing_confirmations(self, ticket: Ticket) -> list[str]:
        """Agents whose confirmation a draining ticket still needs.

        An agent's ticket needs its own; a server's needs those of all agents that have neither left the
        fleet nor are drained themselves.
        """
        if ticket.kind == AGENT:
            machine = self.machines.get(ticket.name)
            confirmed = machine is not None and (
                machine.left or ticket.confirmations.get(ticket.name) == machine.life
            )
            return [] if confirmed else [ticket.name]
        return [
            name
            for name, machine in sorted(self.machines.items())
            if machine.kind == AGENT
            and not machine.left
            and ticket.confirmations.get(name) != machine.life
            and not self._is_drained(name)
        ]

    def _is_drained(self, name: str) -> bool:
        """Whether an agent has confirmed its own ticket, is out and not up again: it has no call left."""
        ticket = self.open_ticket(name)
        machine = self.machines[name]
        return (
            ticket is not None and ticket.state is TicketState.OUT and not ticket.forced_by and not machine.up
        )

    def blocking_reason(self, ticket: Ticket, known_out: dict[str, Machine] | None = None) -> str:
        """Why a waiting ticket may not start now, or "". `known_out`: `out_of_service()`, if at hand."""
        limits = self.limits
        machine = self.machines.get(ticket.name)
        if machine is None:
            return "it is no longer known"
        if self.held_by:
            return f"held by {self.held_by}"
        overdue = next((each for each in self._open_tickets.values() if self.is_overdue(each)), None)
        if overdue is not None:
            return f"held: {overdue.name} overdue"
        out = {
            name: each
            for name, each in (self.out_of_service() if known_out is None else known_out).items()
            if name != ticket.name
        }
        same_kind = [each for each in out.values() if each.kind == machine.kind]
        max_of_kind = limits.agents if machine.kind == AGENT else limits.servers
        if (other := next((each for each in out.values() if each.zone != machine.zone), None)) is not None:
            return f"{other.name} of zone {other.zone or '-'} is out"
        if len(out) >= limits.all:
            return f"{len(out)} out of {limits.all}: {join_names(out)}"
        if len(same_kind) >= max_of_kind:
            return (
                f"{len(same_kind)} {machine.kind}s out of {max_of_kind}: "
                f"{join_names(each.name for each in same_kind)}"
            )
        if len(out) >= limits.zone:
            return f"{len(out)} of its zone out of {limits.zone}: {join_names(out)}"
        voters = [each for each in self.machines.values() if each.voter]
        missing = [each.name for each in voters if each.name in out or each.left]
        if machine.voter and len(missing) + 1 > (len(voters) - 1) // 2:
            return f"without it {len(voters) - len(missing) - 1} of {len(voters)} voters would be left"
        return self._capacity_reason(machine, out)

    def _capacity_reason(self, machine: Machine, out: dict[str, Machine]) -> str:
        """Why the machines that remain without this one would not suffice; "" where they carry the load."""
        limits = self.limits
        remaining = [
            each
            for name, each in self.machines.items()
            if each.kind == machine.kind and not each.left and name not in out and name != machine.name
        ]
        if not remaining:
            return f"no other {machine.kind} is left"
        agents = [each for each in self.machines.values() if each.kind == AGENT and not each.left]
        unreported = [each.name for each in agents if each.calls_per_second < 0.0 and self.is_up(each)]
        needed = sum(max(0.0, each.calls_per_second) for each in agents) * (1.0 + limits.margin)
        capacity = (
            len(remaining) * limits.agent_calls
            if machine.kind == AGENT
            else sum(each.share for each in remaining) * limits.share_calls
        )
        if capacity > 0.0 and unreported:
            return f"the load of {join_names(unreported)} is not known"
        if 0.0 < capacity < needed:
            return f"what is left carries {capacity:.1f} of {needed:.1f} calls a second"
        return ""

    def explain(self, ticket: Ticket) -> str:
        """What a ticket waits for, as text for operators; never empty for one that has not ended."""
        match ticket.state:
            case TicketState.WAITING:
                starving = next(
                    (each for each in self.waiting_in_order() if each.overtaken >= self.limits.overtakes),
                    None,
                )
                reason = self.blocking_reason(ticket)
                if not reason and starving is not None and starving is not ticket:
                    reason = (
                        f"ticket {starving.number} has been passed {starving.overtaken} times, and goes first"
                    )
                return reason or "its turn"
            case TicketState.GOING:
                silent = (
                    [
                        name
                        for name in self.missing_confirmations(ticket)
                        if not self.is_up(self.machines[name])
                    ]
                    if ticket.kind == SERVER
                    else []
                )
                waits = f"waits for {join_names(self.missing_confirmations(ticket))}"
                return f"{waits}; not heard: {join_names(silent)}" if silent else waits
            case TicketState.OUT if self.is_overdue(ticket):
                return f"overdue by {(self.now_ms - ticket.since_ms - ticket.max_out_ms) / 1000.0:.0f} s"
            case TicketState.OUT:
                return "may be touched"
            case TicketState.BACK:
                return "until it serves"
            case TicketState.WARMING:
                return (
                    f"warm in {max(0.0, self.limits.warm_ms - self.now_ms + ticket.since_ms) / 1000.0:.0f} s"
                )
            case TicketState.GIVEN_UP:
                return f"out for good, by {ticket.forced_by}"
        return ticket.note or ticket.state.value

    def next_due_ms(self) -> float:
        """The next plan time at which a ticket or its status changes by time alone; infinite if none."""
        times = [
            ticket.since_ms
            + (self.limits.warm_ms if ticket.state is TicketState.WARMING else ticket.max_out_ms)
            for ticket in self._open_tickets.values()
            if ticket.state in (TicketState.WARMING, TicketState.OUT)
        ]
        times += [self.now_ms for ticket in self._open_tickets.values() if ticket.timer_unset]
        times += [ticket.due_at_ms for ticket in self._open_tickets.values() if ticket.due_at_ms]
        return min((each for each in times if each >= self.now_ms), default=float("inf"))

    def has_open_tickets(self) -> bool:
        """Whether the leader has to propose ticks."""
        return bool(self._open_tickets)


def join_names(names: Iterable[str], limit: int = 5) -> str:
    """Sorted names as text; those over the limit are only counted."""
    ordered = sorted(names)
    return ", ".join(ordered[:limit]) + (f" and {len(ordered) - limit} more" if len(ordered) > limit else "")
