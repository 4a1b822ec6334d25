"""Work on machines, joined to the agreed log, the broker and the door; decisions are in `maintenance`."""

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
from frostport.interface import Lifecycle as Listing
from frostport.maintenance import asking, words
from frostport.maintenance.keeper import (
    Drain,
    HoldOut,
    Keeper,
    Local,
    Member,
    PutBack,
    Resume,
    Say,
    Serve,
    TurnAway,
)
from frostport.maintenance.plan import HELD_OUT, Plan, State
from frostport.membership.messages import State as Seen
from frostport.net.operator import Operation, OperatorError
from frostport.observe.statsd import StatsdMetrics

if TYPE_CHECKING:
    from frostport.fleet import Fleet

log = logging.getLogger("frostport.work")

KIND = "work"
PHASES: dict[type, Phase] = {Drain: Phase.DRAINING, TurnAway: Phase.TURNING_AWAY}
LOOK_MS = 250.0  # between two looks; each word applied is looked at as well
RATE_MS = 60_000.0  # over which the load is measured
AGAIN_MS = 2000.0  # a read that nobody has answered is asked again


class Joined(Protocol):
    """The agent, as far as work on its machine goes."""

    broker: Broker
    lifecycle: Lifecycle
    figures: StatsdMetrics
    clock: Clock

    def empty(self) -> bool: ...

    def able(self) -> bool: ...


def registered(machine: StateMachine, plan: Plan, apply: Callable[[Entry, Any], None]) -> None:
    machine.register(KIND, words.VERSION, words.Word, apply, plan.save, plan.restore)


class Work:
    """The plan as this agent has applied it, and its keeper."""

    def __init__(self, fleet: Fleet, found: Mapping[str, bytes]) -> None:
        """`found`: the log's records of the disk. Raises BadLogError, msgspec.MsgspecError."""
        self.fleet, self.plan = fleet, Plan()
        registered(fleet.state_machine, self.plan, self._apply)
        self.on_disk: Plan | None = said_on_disk(found)  # until the log is read as far as the leader's
        self.states: dict[int, State] = {}
        self.agent: Joined | None = None
        self.samples: deque[tuple[float, int]] = deque()
        self._looking = False
        self._soon: Deadline | None = None  # a look that a word has asked for

    @property
    def known(self) -> Plan:
        """The plan to go by: until the log is read as far as the leader's, all that the disk says."""
        return self.on_disk or self.plan

    def join(self, agent: Joined) -> None:
        """Before the start: `agent` serves once the keeper says so."""
        self.agent = agent

    def start(self) -> None:
        fleet = self.fleet
        self.keeper = Keeper(
            fleet.config.agent, fleet.swim.info.life, fleet.clock.now(), fleet.caught_up, fleet.config.work
        )
        self._read()
        self._turn()

    def _read(self) -> None:
        if self.on_disk is not None:
            self.fleet.read("caught-up", self._caught_up)
            self.fleet.deadlines.set(self.fleet.clock.now() + AGAIN_MS, self._read)

    def _caught_up(self) -> None:
        if self.on_disk is not None:
            self.on_disk = None
            self.fleet.mark_caught_up()  # before any word that rests on it: they are written in this order
            self.fleet.record.event("caught-up", index=self.fleet.applier.applied_index)
            self.look()

    def _turn(self) -> None:
        self.look()
        self.fleet.deadlines.set(self.fleet.clock.now() + LOOK_MS, self._turn)

    # The log

    def _apply(self, entry: Entry, word: words.Word) -> None:
        self.plan.apply(entry.index, entry.term, word)
        before, self.states = self.states, {ticket.number: ticket.state for ticket in self.plan.tickets}
        for ticket in self.plan.tickets:
            if before.get(ticket.number) is not ticket.state:
                log.info("work: %s %s: %s", ticket.name, ticket.state.value, self.plan.why(ticket))
                self.fleet.record.event(
                    "ticket",
                    index=entry.index,
                    number=ticket.number,
                    machine=ticket.name,
                    state=ticket.state.value,
                    forced=ticket.forced,
                )
        if self._soon is None:  # one look for all that is applied in a turn
            self._soon = self.fleet.deadlines.set(self.fleet.clock.now(), self.look)

    def look(self) -> None:
        """What the plan wants of this agent is done, what it has to say is said."""
        self._soon = None
        if self.agent is None or self._looking:
            return
        self._looking, again = True, True
        try:
            while again:
                again = False
                plan = self.known
                for action in self.keeper.look(plan, self._local(plan), self.fleet.clock.now()):
                    again = self._do(action) or again
        finally:
            self._looking = False
        self.agent.broker.budgets.set_scale(self.known.share(), self.agent.clock.now())

    def _do(self, action: object) -> bool:
        """Whether something has changed here that the keeper must see at once."""
        agent = self.agent
        assert agent is not None
        if not isinstance(action, Say):
            self.fleet.record.event(
                "keeper", does=type(action).__name__.lower(), server=getattr(action, "server", "")
            )
        match action:
            case Say(word):
                if self.on_disk is None and self.fleet.raft.leader:  # else it would only pile up here
                    self._say(word)
                return False
            case Serve() | Resume() | Drain() | TurnAway():
                phase = PHASES.get(type(action), Phase.SERVING)
                if agent.lifecycle.can_enter(phase):
                    agent.lifecycle.enter(phase)
            case HoldOut(server):
                agent.broker.set_rotation(server, True)
            case PutBack(server):
                agent.broker.set_rotation(server, False)
        return True

    def _say(self, word: words.Word) -> None:
        try:
            self.fleet.propose(KIND, words.VERSION, word)
        except OperatorError as problem:  # too much is under way: it is said again
            log.warning("work: %s", problem)

    # What is so here

    def _local(self, plan: Plan) -> Local:
        agent, fleet = self.agent, self.fleet
        assert agent is not None
        rotation, rules, now = agent.broker.rotation, agent.broker.rules, agent.clock.now()
        for server in self.keeper.holding & rotation.last_records.keys() - rotation.disabled:
            agent.broker.set_rotation(server, True)  # the list had dropped it, and has it again
        busy: dict[str, int] = {}
        if plan.held_out():
            for request in agent.broker.requests:
                if request.attempt is not None:
                    busy[request.attempt.server] = busy.get(request.attempt.server, 0) + 1
        members = {
            fleet.config.agent: Member(
                fleet.config.zone,
                fleet.swim.info.life,
                agent.lifecycle.phase is Phase.SERVING,
                False,
                fleet.config.agent in fleet.raft.voters,
            )
        }
        for member in fleet.swim.table:
            members[member.name] = Member(
                member.info.zone,
                member.info.life,
                member.state <= Seen.SUSPECT and member.info.phase == Phase.SERVING.value,
                member.state is Seen.LEFT,
                member.name in fleet.raft.voters,
            )
        return Local(
            fleet.raft.role is Role.LEADER,
            fleet.raft.term,
            self.on_disk is None,
            agent.lifecycle.phase.value,
            agent.empty(),
            self._rate(),
            busy,
            frozenset(
                server
                for server in self.keeper.holding
                if server in rules.servers and not rules.drained_past_grace(server, now)
            ),
            frozenset(
                server
                for server, reasons in agent.figures.avoidance_reasons.items()
                if reasons & {"connection", "operator"}
            ),
            members,
            {
                server.address: words.Server(
                    server.address, server.zone, server.nominal, server.state is Listing.READY
                )
                for server in rotation.last_records.values()
                if server.state is not Listing.GONE
            },
            agent.able(),
        )

    def _rate(self) -> float:
        """Calls a second that were answered here, in the last minute."""
        assert self.agent is not None
        now, counts = self.fleet.clock.now(), self.agent.figures.counts
        total = sum(sum(counts[name].values()) for name in ("answered", "deferred", "errored"))
        if not self.samples or now - self.samples[-1][0] >= 1000.0:
            self.samples.append((now, total))
        while now - self.samples[0][0] > RATE_MS:
            self.samples.popleft()
        since, before = self.samples[0]
        return (total - before) * 1000.0 / max(1000.0, now - since)

    # The door

    def kept(self, name: str) -> str:
        """Why staff may not put a machine back by hand (this agent, or a server here); "" where they may."""
        ticket = self.known.ticket(name or self.fleet.config.agent)
        if ticket is None or ticket.state not in HELD_OUT:
            return ""
        return f"held by ticket {ticket.number}: work-ready or work-cancel"

    def operations(self) -> dict[str, Operation]:
        made: dict[str, Operation] = {"work-status": self._status}
        for what in ("request", "ready", "hold", "go-on", "cancel", "force", "limits"):
            made[f"work-{what}"] = self._asked(what)
        return made

    def _asked(self, what: str) -> Operation:
        def ask(rest: str) -> list[str]:
            try:
                word = asking.word(what, rest, self.known)
            except asking.BadWordsError as problem:
                raise OperatorError(str(problem)) from None
            return [f"OK {self.fleet.propose(KIND, words.VERSION, word)}"]

        return ask

    def _status(self, _: str) -> list[str]:
        leader = self.fleet.raft.leader
        first = f"OK leader={leader}" if leader else "OK no leader is heard: nothing goes on until one is"
        return [first, *asking.status(self.known), "END"]


def said_on_disk(found: Mapping[str, bytes]) -> Plan:
    """The plan after all entries of the disk, committed or not: what this agent may have acted on."""
    plan, machine, held = Plan(), StateMachine(), Log(found)
    registered(machine, plan, lambda entry, word: plan.apply(entry.index, entry.term, word))
    applying = Applier(machine, held.snapshot_meta.index, held.snapshot)
    applying.add(held.entries, ())
    applying.step(len(held.entries))
    return plan
