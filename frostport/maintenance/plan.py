"""The plan of work on machines: a state that the agreed log's words give, the same at every agent.

`apply(index, term, word)` takes one word in, and then lets go whatever may go; nothing else changes it. Its
time is the leader's ticks (docs/design/maintenance.md); no clock, no chance.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from frostport.maintenance.words import (
    AGENT,
    SERVER,
    Cancel,
    Done,
    Force,
    Hold,
    Limits,
    Listed,
    Load,
    Ready,
    Request,
    Seen,
    Tick,
    Word,
)

TICK_MOST_MS = 60_000.0  # guards plan time against a word that names an absurd time
ENDED_MOST = 200  # ended tickets that are kept to be read
TICKETS_MOST = 1000  # at a time; a request past it is refused


class State(Enum):
    """Where a ticket stands."""

    WAITING = "waiting"
    GOING = "going"
    OUT = "out"
    BACK = "back"
    WARMING = "warming"
    GIVEN_UP = "given up"  # overdue, and staff have said so: out for good
    DONE = "done"
    CANCELLED = "cancelled"
    REFUSED = "refused"


ENDED = (State.DONE, State.CANCELLED, State.REFUSED)
AWAY = (State.GOING, State.OUT, State.BACK, State.WARMING, State.GIVEN_UP)
HELD_OUT = (State.GOING, State.OUT, State.GIVEN_UP)  # nothing new goes there


class Machine(msgspec.Struct, array_like=True):
    """An agent or a lobby server, as the log has it."""

    name: str
    kind: str
    zone: str
    up: bool = True
    gone: bool = False  # an agent that has left: nothing of it is out anywhere
    life: int = 0
    share: float = 0.0
    calls: float = -1.0  # an agent's load, once it has said it
    unreached: tuple[str, ...] = ()
    voter: bool = False


class Ticket(msgspec.Struct, array_like=True):
    """One machine's turn."""

    number: int
    request: int  # the index of its request in the log
    name: str
    kind: str
    urgent: bool
    takes_ms: float
    reason: str
    who: str
    due_at: float = 0.0  # by when it is to be done, in plan time; 0: open
    state: State = State.WAITING
    since: float = 0.0  # plan time, ms
    step: int = 0  # the index of the word that made it go
    done: dict[str, int] = {}  # who has confirmed the step, as which life
    passed: int = 0  # tickets of other requests that have overtaken it
    forced: str = ""
    note: str = ""  # why it was refused
    fresh: bool = False  # its state began after the last tick: it counts from the next one


class Saved(msgspec.Struct, array_like=True):
    now: float
    limits: Limits
    held: str
    machines: list[Machine]
    tickets: list[Ticket]
    number: int
    limited: bool


class Plan:
    """Owns tickets and what is known of machines."""

    def __init__(self) -> None:
        self.now = 0.0
        self.limits = Limits()
        self.held = ""  # who has said hold
        self.machines: dict[str, Machine] = {}
        self.tickets: list[Ticket] = []  # by number
        self._by_name: dict[str, Ticket] = {}  # those that have not ended
        self.number = 0
        self.limited = False  # the limits have been said once

    # The state as bytes

    def save(self) -> bytes:
        return msgspec.msgpack.encode(
            Saved(
                self.now,
                self.limits,
                self.held,
                list(self.machines.values()),
                self.tickets,
                self.number,
                self.limited,
            )
        )

    def restore(self, data: bytes) -> None:
        saved = msgspec.msgpack.decode(data, type=Saved)
        self.now, self.limits, self.held, self.number = saved.now, saved.limits, saved.held, saved.number
        self.limited = saved.limited
        self.machines = {machine.name: machine for machine in saved.machines}
        self.tickets = saved.tickets
        self._by_name = {ticket.name: ticket for ticket in self.tickets if ticket.state not in ENDED}

    # Words

    def apply(self, index: int, term: int, word: Word) -> None:
        match word:
            case Limits():
                self.limits, self.limited = word, True
            case Request():
                self._request(index, word)
            case Hold():
                self.held = word.who if word.on else ""
            case Ready() | Cancel() | Force():
                self._staff(word)
            case Seen():
                self._seen(word)
            case Listed():
                self._listed(word)
            case Load():
                machine = self.machines.get(word.name)
                if machine is not None and machine.life == word.life:
                    machine.calls, machine.unreached = word.calls, word.unreached
            case Done():
                ticket = self.ticket(word.machine)
                machine = self.machines.get(word.agent)
                if (
                    ticket is not None
                    and ticket.state is State.GOING
                    and ticket.step == word.step
                    and machine is not None
                    and machine.life == word.life
                ):
                    ticket.done[word.agent] = word.life
            case Tick():
                if word.term == term:  # one of an earlier leader, sent on: that time is counted already
                    self.now += min(max(0.0, word.elapsed_ms), TICK_MOST_MS)
                    for ticket in self._by_name.values():
                        if ticket.fresh:
                            # Guards against time that had passed before it began.
                            ticket.since, ticket.fresh = self.now, False
        self._advance(index)

    def _request(self, index: int, word: Request) -> None:
        names = list(dict.fromkeys(word.names))
        names += [
            name
            for name, machine in sorted(self.machines.items())
            if word.zone and machine.zone == word.zone and name not in names and not machine.gone
        ]
        for name in names:
            self.number += 1
            machine = self.machines.get(name)
            kind = machine.kind if machine is not None else ""
            ticket = Ticket(
                self.number,
                index,
                name,
                kind,
                word.urgent,
                word.takes_ms,
                word.reason,
                word.who,
                self.now + word.within_ms if word.within_ms else 0.0,
                since=self.now,
                done={},
            )
            if machine is None:
                ticket.state, ticket.note = State.REFUSED, "no machine of that name is known"
            elif (other := self.ticket(name)) is not None:
                ticket.state, ticket.note = State.REFUSED, f"ticket {other.number} has it already"
            elif len(self._by_name) >= TICKETS_MOST:
                ticket.state, ticket.note = State.REFUSED, f"{TICKETS_MOST} tickets already"
            else:
                self._by_name[name] = ticket
            self.tickets.append(ticket)

    def _staff(self, word: Ready | Cancel | Force) -> None:
        ticket = self.ticket(word.name)
        if ticket is None:
            return
        match word, ticket.state:
            case Ready(), State.OUT | State.GIVEN_UP:
                self._enter(ticket, State.BACK)
            case Cancel(), State.WAITING:
                self._enter(ticket, State.CANCELLED)
            case Cancel(), State.GOING:
                self._enter(ticket, State.BACK)
            case Force(), State.GOING:
                ticket.forced = f"{word.who}: {word.why}"
                self._enter(ticket, State.OUT)
            case Force(), State.OUT if self.overdue(ticket):
                ticket.forced = f"{word.who}: {word.why}"
                self._enter(ticket, State.GIVEN_UP)

    def _seen(self, word: Seen) -> None:
        machine = self.machines.get(word.name)
        if machine is None:
            machine = self.machines[word.name] = Machine(word.name, AGENT, word.zone)
        if machine.kind != AGENT:
            return
        if machine.life != word.life:
            machine.calls, machine.unreached = -1.0, ()
        machine.zone, machine.life, machine.voter = word.zone, word.life, word.voter
        machine.up, machine.gone = word.up, word.gone

    def _listed(self, word: Listed) -> None:
        told = {server.name: server for server in word.servers}
        for name in [
            name
            for name, machine in self.machines.items()
            if machine.kind == SERVER and name not in told and self.ticket(name) is None
        ]:
            del self.machines[name]
        for machine in self.machines.values():
            if machine.kind == SERVER and machine.name not in told:
                machine.up = False
        for name, server in told.items():
            if name not in self.machines or self.machines[name].kind == SERVER:
                self.machines[name] = Machine(name, SERVER, server.zone, server.ready, share=server.share)

    # What follows

    def _enter(self, ticket: Ticket, state: State) -> None:
        ticket.state, ticket.since, ticket.fresh = state, self.now, state in (State.OUT, State.WARMING)
        if state in ENDED:
            del self._by_name[ticket.name]
            ended = [each for each in self.tickets if each.state in ENDED]
            for each in ended[:-ENDED_MOST]:
                self.tickets.remove(each)

    def _advance(self, index: int) -> None:
        for ticket in list(self._by_name.values()):  # by number; those that end leave it meanwhile
            if ticket.state is State.GOING and not self.waits_for(ticket):
                self._enter(ticket, State.OUT)
            elif ticket.state is State.BACK and self._returned(ticket):
                self._enter(ticket, State.WARMING)
            elif (
                ticket.state is State.WARMING
                and not ticket.fresh
                and self.now - ticket.since >= self.limits.warm_ms
            ):
                self._enter(ticket, State.DONE)
        while (first := self._next()) is not None:
            first.step, first.done = index, {}
            self._enter(first, State.GOING)

    def _next(self) -> Ticket | None:
        """Who goes now, if anyone: the first of the order, or one that may pass those before it."""
        before: list[Ticket] = []
        order = self.order()
        out = self.out() if order else {}
        for ticket in order:
            if not self.against(ticket, out):
                for each in before:
                    each.passed += each.request != ticket.request  # within a request any order is as good
                return ticket
            if ticket.passed >= self.limits.overtakes:
                return None
            before.append(ticket)
        return None

    def _returned(self, ticket: Ticket) -> bool:
        machine = self.machines.get(ticket.name)
        if machine is None:
            return True  # it is off the list for good
        return self.up(machine) and (machine.kind == SERVER or machine.calls >= 0.0)

    # What is asked of it

    def ticket(self, name: str) -> Ticket | None:
        """The ticket of a machine that has not ended."""
        return self._by_name.get(name)

    def order(self) -> list[Ticket]:
        return sorted(
            (ticket for ticket in self.tickets if ticket.state is State.WAITING),
            key=lambda ticket: (ticket.passed < self.limits.overtakes, not ticket.urgent, ticket.number),
        )

    def held_out(self, kind: str = SERVER) -> dict[str, Ticket]:
        """Machines that nothing new may go to, with their tickets."""
        return {
            name: ticket
            for name, ticket in self._by_name.items()
            if ticket.kind == kind and ticket.state in HELD_OUT
        }

    def overdue(self, ticket: Ticket) -> bool:
        return ticket.state is State.OUT and self.now - ticket.since > ticket.takes_ms

    def late(self, ticket: Ticket) -> bool:
        """Not done by when it was wanted."""
        return ticket.state not in ENDED and 0.0 < ticket.due_at < self.now

    def up(self, machine: Machine) -> bool:
        """Whether it serves, as far as the log tells; a server that half of the agents can't use does not."""
        if machine.kind == AGENT or not machine.up:
            return machine.up and not machine.gone
        return self._reached(machine, self._told())

    def _told(self) -> list[Machine]:
        return [
            agent
            for agent in self.machines.values()
            if agent.kind == AGENT and agent.up and not agent.gone and agent.calls >= 0.0
        ]

    def _reached(self, server: Machine, told: list[Machine]) -> bool:
        return 2 * sum(server.name in agent.unreached for agent in told) < max(1, len(told))

    def out(self) -> dict[str, Machine]:
        """All that is out, by the plan or unasked. Agents that have left count only by a ticket."""
        away = {name for name, ticket in self._by_name.items() if ticket.state in AWAY}
        told = self._told()
        silent = {
            machine.name
            for machine in self.machines.values()
            if machine.kind == SERVER and not self._reached(machine, told)
        }
        return {
            name: machine
            for name, machine in self.machines.items()
            if name in away or name in silent or not (machine.gone or machine.up)
        }

    def share(self) -> float:
        """How much of the fleet's budgets each agent that is up has, times its own: those that are out leave
        theirs to it. By the log, so that one that is cut off takes nothing."""
        agents = [
            each
            for each in self.machines.values()
            if each.kind == AGENT and (not each.gone or self.ticket(each.name) is not None)
        ]
        return len(agents) / max(1, sum(self.up(each) for each in agents))

    def waits_for(self, ticket: Ticket) -> list[str]:
        """Whose word a ticket that is going still needs."""
        if ticket.kind == AGENT:
            machine = self.machines.get(ticket.name)
            said = machine is not None and (machine.gone or ticket.done.get(ticket.name) == machine.life)
            return [] if said else [ticket.name]
        return [
            name
            for name, machine in sorted(self.machines.items())
            if machine.kind == AGENT
            and not machine.gone
            and ticket.done.get(name) != machine.life
            and not self._drained(name)
        ]

    def _drained(self, name: str) -> bool:
        """An agent that is out by its own ticket and has not come back holds nothing."""
        ticket = self.ticket(name)
        machine = self.machines[name]
        return ticket is not None and ticket.state is State.OUT and not ticket.forced and not machine.up

    def against(self, ticket: Ticket, known: dict[str, Machine] | None = None) -> str:
        """Why a waiting ticket may not go now; "" where it may. `known`: `out()`, where that is at hand."""
        limits, machine = self.limits, self.machines.get(ticket.name)
        if machine is None:
            return "it is no longer known"
        if self.held:
            return f"held by {self.held}"
        late = next((each for each in self._by_name.values() if self.overdue(each)), None)
        if late is not None:
            return f"held: {late.name} overdue"
        out = {
            name: each
            for name, each in (self.out() if known is None else known).items()
            if name != ticket.name
        }
        kind = [each for each in out.values() if each.kind == machine.kind]
        most = limits.agents if machine.kind == AGENT else limits.servers
        if (other := next((each for each in out.values() if each.zone != machine.zone), None)) is not None:
            return f"{other.name} of zone {other.zone or '-'} is out"
        if len(out) >= limits.all:
            return f"{len(out)} out of {limits.all}: {named(out)}"
        if len(kind) >= most:
            return f"{len(kind)} {machine.kind}s out of {most}: {named(each.name for each in kind)}"
        if len(out) >= limits.zone:
            return f"{len(out)} of its zone out of {limits.zone}: {named(out)}"
        voters = [each for each in self.machines.values() if each.voter]
        missing = [each.name for each in voters if each.name in out or each.gone]
        if machine.voter and len(missing) + 1 > (len(voters) - 1) // 2:
            return f"without it {len(voters) - len(missing) - 1} of {len(voters)} voters would be left"
        return self._too_little_left(machine, out)

    def _too_little_left(self, machine: Machine, out: dict[str, Machine]) -> str:
        limits = self.limits
        left = [
            each
            for name, each in self.machines.items()
            if each.kind == machine.kind and not each.gone and name not in out and name != machine.name
        ]
        if not left:
            return f"no other {machine.kind} is left"
        agents = [each for each in self.machines.values() if each.kind == AGENT and not each.gone]
        quiet = [each.name for each in agents if each.calls < 0.0 and self.up(each)]
        needed = sum(max(0.0, each.calls) for each in agents) * (1.0 + limits.margin)
        carried = (
            len(left) * limits.agent_calls
            if machine.kind == AGENT
            else sum(each.share for each in left) * limits.share_calls
        )
        if carried > 0.0 and quiet:
            return f"the load of {named(quiet)} is not known"
        if 0.0 < carried < needed:
            return f"what is left carries {carried:.1f} of {needed:.1f} calls a second"
        return ""

    def why(self, ticket: Ticket) -> str:
        """What a ticket waits for, for people; never empty for one that is not ended."""
        match ticket.state:
            case State.WAITING:
                first = next((each for each in self.order() if each.passed >= self.limits.overtakes), None)
                reason = self.against(ticket)
                if not reason and first is not None and first is not ticket:
                    reason = f"ticket {first.number} has been passed {first.passed} times, and goes first"
                return reason or "its turn"
            case State.GOING:
                silent = (
                    [name for name in self.waits_for(ticket) if not self.up(self.machines[name])]
                    if ticket.kind == SERVER
                    else []
                )
                waits = f"waits for {named(self.waits_for(ticket))}"
                return f"{waits}; not heard: {named(silent)}" if silent else waits
            case State.OUT if self.overdue(ticket):
                return f"overdue by {(self.now - ticket.since - ticket.takes_ms) / 1000.0:.0f} s"
            case State.OUT:
                return "may be touched"
            case State.BACK:
                return "until it serves"
            case State.WARMING:
                return f"warm in {max(0.0, self.limits.warm_ms - self.now + ticket.since) / 1000.0:.0f} s"
            case State.GIVEN_UP:
                return f"out for good, by {ticket.forced}"
        return ticket.note or ticket.state.value

    def next_due(self) -> float:
        """When, in plan time, something comes of time alone; infinite: never."""
        at = [
            ticket.since + (self.limits.warm_ms if ticket.state is State.WARMING else ticket.takes_ms)
            for ticket in self._by_name.values()
            if ticket.state in (State.WARMING, State.OUT)
        ]
        at += [self.now for ticket in self._by_name.values() if ticket.fresh]
        at += [ticket.due_at for ticket in self._by_name.values() if ticket.due_at]
        return min((each for each in at if each >= self.now), default=float("inf"))

    def active(self) -> bool:
        """Whether its time has to go on."""
        return bool(self._by_name)


def named(names: Iterable[str], most: int = 5) -> str:
    found = sorted(names)
    return ", ".join(found[:most]) + (f" and {len(found) - most} more" if len(found) > most else "")
