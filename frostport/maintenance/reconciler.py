"""One agent's part in the plan: what it does itself, and which commands it proposes. Decisions only.

`Reconciler.reconcile(plan, local, now_ms)` compares the plan with the state of this agent and returns the
actions that bring the two together. It is called whenever either may have changed. Proposals may be lost: a
command that has not taken effect is proposed again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from frostport.maintenance.commands import (
    AGENT,
    SERVER,
    AgentLoad,
    AgentStatus,
    Command,
    DrainConfirmed,
    Limits,
    ServerList,
    ServerStatus,
    Tick,
)
from frostport.maintenance.plan import ENDED_STATES, HELD_OUT_STATES, Plan, TicketState

REPROPOSE_MS = 2000.0  # an unchanged command that has not taken effect is proposed again after this
# The leader ticks when something is due, at intervals within these bounds.
MIN_TICK_MS = 1000.0
MAX_TICK_MS = 30_000.0
LOAD_REPORT_MS = 60_000.0  # interval of reports of an unchanged load
CHANGED_LOAD_REPORT_MS = 5000.0  # least interval of reports of a changed load
LOAD_CHANGE_RATIO = 0.2  # hysteresis: less (or under one call a second) is no change of the load
NO_LEADER_START_MS = 5000.0  # an agent without a leader for this long after its start relies on its disk


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """An agent as this one's membership table has it."""

    zone: str
    life: int  # `Info.life`: identifies the process
    up: bool
    left: bool
    voter: bool


@dataclass(slots=True)
class LocalState:
    """The state of this agent that the plan is compared with."""

    is_leader: bool = False
    term: int = 0
    caught_up: bool = False  # the log is applied here as far as the leader had committed it after the start
    phase: str = "serving"
    idle: bool = False  # no client connection and no request is left here
    calls_per_second: float = 0.0  # recent rate of calls answered here
    calls_by_server: Mapping[str, int] = field(default_factory=dict)  # open attempts and established calls
    in_drain_grace: frozenset[str] = frozenset()  # servers whose drain grace is still running
    unreachable: frozenset[str] = frozenset()  # servers that this agent can't use
    members: Mapping[str, MemberStatus] = field(default_factory=dict)
    servers: Mapping[str, ServerStatus] = field(default_factory=dict)
    start_ready: bool = True  # all other conditions of this agent's start are met


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Propose a command to the agreed log."""

    command: Command


@dataclass(frozen=True, slots=True)
class Serve:
    """The start is over: take calls."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Start draining this agent for its maintenance."""


@dataclass(frozen=True, slots=True)
class TurnAway:
    """Refuse what clients still send, so that the agent becomes idle."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Return this agent to service."""


@dataclass(frozen=True, slots=True)
class HoldOut:
    """Send no new calls to this server."""

    server: str


@dataclass(frozen=True, slots=True)
class PutBack:
    """Return this server to rotation."""

    server: str


Action = ProposeCommand | Serve | Drain | TurnAway | Resume | HoldOut | PutBack


class Reconciler:
    """Owns the servers held out here and the commands proposed last. `name` and `life` identify this process.

    `storage_intact`: the disk still holds everything that this agent has ever confirmed. An agent that has
    lost it takes no calls before it has read the log: it may have confirmed a drain it no longer knows of.
    """

    def __init__(
        self, name: str, life: int, now_ms: float, storage_intact: bool, limits: Limits | None = None
    ) -> None:
        """`limits`: those of the configuration; the leader proposes them where the plan has none yet."""
        self.limits = limits
        self.name = name
        self.life = life
        self.started_ms = now_ms
        self.storage_intact = storage_intact
        self.serving = False  # the start is over
        self.drain_ticket = 0  # number of the ticket that keeps this agent out; 0: none
        self.drain_started_ms = now_ms
        self.held_out: set[str] = set()  # servers
        self._proposed: dict[object, tuple[Command, float]] = {}  # by key, the last command and when
        self._load_reported_ms = self._ticked_ms = -float("inf")
        self._reported_load: AgentLoad | None = None
        self._last_tick: tuple[int, float] | None = None  # term and time

    def reconcile(self, plan: Plan, local: LocalState, now_ms: float) -> list[Action]:
        """The actions due now; the caller performs them and calls again where they have changed `local`."""
        actions: list[Action] = []
        # First, and before the start is over: no call may go to a server that is out.
        self._reconcile_servers(plan, local, now_ms, actions)
        own_machine = plan.machines.get(self.name)
        known = own_machine is not None and own_machine.life == self.life and not own_machine.left
        without_leader = self.storage_intact and now_ms - self.started_ms >= NO_LEADER_START_MS
        if not self.serving and local.start_ready and ((local.caught_up and known) or without_leader):
            self.serving = True
            actions.append(Serve())
        if self.serving:
            self._reconcile_self(plan, local, now_ms, actions)
            self._report_load(plan, local, now_ms, actions)
        if local.is_leader:
            self._propose_as_leader(plan, local, now_ms, actions)
        else:
            self._last_tick = None
        return actions

    def _propose(self, key: object, command: Command, now_ms: float, actions: list[Action]) -> None:
        last = self._proposed.get(key)
        if last is None or last[0] != command or now_ms - last[1] >= REPROPOSE_MS:
            self._proposed[key] = (command, now_ms)
            actions.append(ProposeCommand(command))

    # This agent's own ticket

    def _reconcile_self(self, plan: Plan, local: LocalState, now_ms: float, actions: list[Action]) -> None:
        ticket = plan.open_ticket(self.name)
        if ticket is not None and ticket.kind == AGENT and ticket.state in HELD_OUT_STATES:
            if self.drain_ticket != ticket.number or local.phase == "serving":
                self.drain_ticket = ticket.number
                self.drain_started_ms = now_ms
                if local.phase == "serving":
                    actions.append(Drain())
            elif local.phase == "drained" or (
                local.phase == "draining" and now_ms - self.drain_started_ms >= plan.limits.drain_ms
            ):
                # Guards against clients that never pause, and those that connect while the machine is out.
                actions.append(TurnAway())
            if (
                ticket.state is TicketState.GOING
                and local.phase == "turning away"
                and local.idle
                and ticket.confirmations.get(self.name) != self.life
            ):
                self._propose(
                    ("done", self.name),
                    DrainConfirmed(self.name, self.life, self.name, ticket.start_index),
                    now_ms,
                    actions,
                )
        elif self.drain_ticket:
            self.drain_ticket = 0
            if local.phase in ("draining", "drained", "turning away"):
                actions.append(Resume())

    # Servers

    def _reconcile_servers(self, plan: Plan, local: LocalState, now_ms: float, actions: list[Action]) -> None:
        wanted = plan.held_out(SERVER)
        for server in sorted(self.held_out - wanted.keys()):
            self.held_out.discard(server)
            actions.append(PutBack(server))
        for server, ticket in sorted(wanted.items()):
            if server not in self.held_out:
                self.held_out.add(server)
                actions.append(HoldOut(server))
            elif (
                ticket.state is TicketState.GOING
                and not local.calls_by_server.get(server)
                and server not in local.in_drain_grace
                and ticket.confirmations.get(self.name) != self.life
                and self.serving
            ):
                self._propose(
                    ("done", server),
                    DrainConfirmed(self.name, self.life, server, ticket.start_index),
                    now_ms,
                    actions,
                )

    # This agent's load

    def _report_load(self, plan: Plan, local: LocalState, now_ms: float, actions: list[Action]) -> None:
        own_machine = plan.machines.get(self.name)
        if own_machine is None or own_machine.life != self.life or local.phase != "serving":
            return
        load = AgentLoad(
            self.name,
            self.life,
            round(local.calls_per_second, 1),
            tuple(sorted(local.unreachable - self.held_out)),
        )
        last = self._reported_load
        changed = (
            last is None
            or own_machine.calls_per_second < 0.0
            or last.unreachable != load.unreachable
            or abs(last.calls_per_second - load.calls_per_second)
            > max(1.0, LOAD_CHANGE_RATIO * last.calls_per_second)
        )
        if now_ms - self._load_reported_ms >= (
            CHANGED_LOAD_REPORT_MS if changed and last is not None else LOAD_REPORT_MS
        ):
            self._reported_load = load
            self._load_reported_ms = now_ms
            actions.append(ProposeCommand(load))

    # The leader's observations, and time

    def _propose_as_leader(self, plan: Plan, local: LocalState, now_ms: float, actions: list[Action]) -> None:
        if self.limits is not None and not plan.limits_set:
            self._propose("limits", self.limits, now_ms, actions)
        for name, member in sorted(local.members.items()):
            known = plan.machines.get(name)
            status = AgentStatus(name, member.zone, member.life, member.up, member.left, member.voter)
            if known is None or (known.zone, known.life, known.up, known.left, known.voter) != (
                status.zone,
                status.life,
                status.up,
                status.left,
                status.voter,
            ):
                self._propose(("seen", name), status, now_ms, actions)
        planned_servers = {
            name: ServerStatus(machine.name, machine.zone, machine.share, machine.up)
            for name, machine in plan.machines.items()
            if machine.kind == SERVER
        }
        for name, machine in plan.machines.items():
            # The membership has forgotten it. As it never announced that it leaves, the plan keeps it as down
            # and goes on waiting for its confirmations.
            if machine.kind == AGENT and name not in local.members and machine.up:
                self._propose(
                    ("seen", name),
                    AgentStatus(name, machine.zone, machine.life, False, False, machine.voter),
                    now_ms,
                    actions,
                )
        # Servers off the list that the plan keeps for their tickets' sake.
        unlisted = {
            name
            for name, ticket in ((ticket.name, ticket) for ticket in plan.tickets)
            if ticket.state not in ENDED_STATES
            and name in planned_servers
            and name not in local.servers
            and not planned_servers[name].ready
        }
        if {name: server for name, server in planned_servers.items() if name not in unlisted} != dict(
            local.servers
        ):
            servers = tuple(server for _, server in sorted(local.servers.items()))
            self._propose("listed", ServerList(servers), now_ms, actions)
        if not plan.has_open_tickets():
            self._last_tick = None
        elif self._last_tick is None or self._last_tick[0] != local.term:
            self._last_tick = (local.term, now_ms)
        elif now_ms - self._last_tick[1] >= min(
            MAX_TICK_MS, max(MIN_TICK_MS, plan.next_due_ms() - plan.now_ms + 1.0)
        ):
            actions.append(ProposeCommand(Tick(local.term, now_ms - self._last_tick[1])))
            self._last_tick = (local.term, now_ms)
