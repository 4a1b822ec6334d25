"""One agent's part in the plan: what it does itself, and what it says. Decisions only.

`look(plan, local, now_ms)` compares what the plan wants with what is so here, and returns what to do. It is
called whenever either may have changed; a word that does not come back in the log is said again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from frostport.maintenance.plan import ENDED, HELD_OUT, Plan, State
from frostport.maintenance.words import AGENT, SERVER, Done, Limits, Listed, Load, Seen, Server, Tick, Word

AGAIN_MS = 2000.0  # a word that has not come back in the log is said again
TICK_MS, TICK_MOST_MS = 1000.0, 30_000.0  # between ticks: until something is due, within these
LOAD_MS = 60_000.0  # an unchanged load is said so often; a changed one after
LOAD_CHANGED_MS = 5000.0
LOAD_STEP = 0.2  # hysteresis: a load that differs by less (or by under one call a second) is unchanged
ALONE_MS = 5000.0  # a start that hears no leader goes on with what its disk says


@dataclass(frozen=True, slots=True)
class Member:
    """An agent as this one's membership has it."""

    zone: str
    life: int
    up: bool
    gone: bool
    voter: bool


@dataclass(slots=True)
class Local:
    """What is so here. `busy`: by server, attempts out and calls standing there; `fresh`: by server, whether
    the grace of its drain is still running."""

    leads: bool = False
    term: int = 0
    caught_up: bool = False  # the log is read here as far as the leader's was after the start
    phase: str = "serving"
    empty: bool = False  # no client's connection and no request is left here
    calls: float = 0.0  # a second, of late
    busy: Mapping[str, int] = field(default_factory=dict)
    fresh: frozenset[str] = frozenset()
    unreached: frozenset[str] = frozenset()
    members: Mapping[str, Member] = field(default_factory=dict)
    servers: Mapping[str, Server] = field(default_factory=dict)
    able: bool = True  # the rest of this agent's start is over


@dataclass(frozen=True, slots=True)
class Say:
    """A word for the agreed log."""

    word: Word


@dataclass(frozen=True, slots=True)
class Serve:
    """The start is over: calls may be taken."""


@dataclass(frozen=True, slots=True)
class Drain:
    """This agent goes out."""


@dataclass(frozen=True, slots=True)
class TurnAway:
    """It goes out now: what still comes is refused."""


@dataclass(frozen=True, slots=True)
class Resume:
    """It is back."""


@dataclass(frozen=True, slots=True)
class HoldOut:
    """Nothing new to this server."""

    server: str


@dataclass(frozen=True, slots=True)
class PutBack:
    server: str


Action = Say | Serve | Drain | TurnAway | Resume | HoldOut | PutBack


class Keeper:
    """Owns what it holds out and what it has said; `name` and `life` are this process's.

    `remembers`: its disk still holds all that this agent has ever confirmed. One that has lost it takes no
    calls before it has read the log."""

    def __init__(
        self, name: str, life: int, now_ms: float, remembers: bool, limits: Limits | None = None
    ) -> None:
        """`limits`: those of the configuration, for a plan that has none yet."""
        self.limits = limits
        self.name, self.life, self.began, self.remembers = name, life, now_ms, remembers
        self.serving = False  # the start is over
        self.drained_by = 0  # the ticket that has this agent out
        self.drained_at = now_ms  # since when
        self.holding: set[str] = set()
        self._said: dict[object, tuple[Word, float]] = {}
        self._load_at = self._ticked_at = -float("inf")
        self._load: Load | None = None
        self._ticked: tuple[int, float] | None = None  # the term, and the time of the tick last counted

    def look(self, plan: Plan, local: Local, now_ms: float) -> list[Action]:
        out: list[Action] = []
        self._servers(plan, local, now_ms, out)  # first: before the start is over, too
        mine = plan.machines.get(self.name)
        known = mine is not None and mine.life == self.life and not mine.gone
        alone = self.remembers and now_ms - self.began >= ALONE_MS
        if not self.serving and local.able and ((local.caught_up and known) or alone):
            self.serving = True
            out.append(Serve())
        if self.serving:
            self._self(plan, local, now_ms, out)
            self._own_load(plan, local, now_ms, out)
        if local.leads:
            self._lead(plan, local, now_ms, out)
        else:
            self._ticked = None
        return out

    def _say(self, key: object, word: Word, now: float, out: list[Action]) -> None:
        before = self._said.get(key)
        if before is None or before[0] != word or now - before[1] >= AGAIN_MS:
            self._said[key] = (word, now)
            out.append(Say(word))

    # Its own ticket

    def _self(self, plan: Plan, local: Local, now: float, out: list[Action]) -> None:
        ticket = plan.ticket(self.name)
        if ticket is not None and ticket.kind == AGENT and ticket.state in HELD_OUT:
            if self.drained_by != ticket.number or local.phase == "serving":
                self.drained_by, self.drained_at = ticket.number, now
                if local.phase == "serving":
                    out.append(Drain())
            elif local.phase == "drained" or (
                local.phase == "draining" and now - self.drained_at >= plan.limits.drain_ms
            ):
                # Guards against a client that never pauses, and one that comes once it may be touched.
                out.append(TurnAway())
            if (
                ticket.state is State.GOING
                and local.phase == "turning away"
                and local.empty
                and ticket.done.get(self.name) != self.life
            ):
                self._say(("done", self.name), Done(self.name, self.life, self.name, ticket.step), now, out)
        elif self.drained_by:
            self.drained_by = 0
            if local.phase in ("draining", "drained", "turning away"):
                out.append(Resume())

    # Servers

    def _servers(self, plan: Plan, local: Local, now: float, out: list[Action]) -> None:
        wanted = plan.held_out(SERVER)
        for server in sorted(self.holding - wanted.keys()):
            self.holding.discard(server)
            out.append(PutBack(server))
        for server, ticket in sorted(wanted.items()):
            if server not in self.holding:
                self.holding.add(server)
                out.append(HoldOut(server))
            elif (
                ticket.state is State.GOING
                and not local.busy.get(server)
                and server not in local.fresh
                and ticket.done.get(self.name) != self.life
                and self.serving
            ):
                self._say(("done", server), Done(self.name, self.life, server, ticket.step), now, out)

    # Its load

    def _own_load(self, plan: Plan, local: Local, now: float, out: list[Action]) -> None:
        mine = plan.machines.get(self.name)
        if mine is None or mine.life != self.life or local.phase != "serving":
            return
        told = Load(
            self.name, self.life, round(local.calls, 1), tuple(sorted(local.unreached - self.holding))
        )
        last = self._load
        changed = (
            last is None
            or mine.calls < 0.0
            or last.unreached != told.unreached
            or abs(last.calls - told.calls) > max(1.0, LOAD_STEP * last.calls)
        )
        if now - self._load_at >= (LOAD_CHANGED_MS if changed and last is not None else LOAD_MS):
            self._load, self._load_at = told, now
            out.append(Say(told))

    # The leader's words

    def _lead(self, plan: Plan, local: Local, now: float, out: list[Action]) -> None:
        if self.limits is not None and not plan.limited:
            self._say("limits", self.limits, now, out)
        for name, member in sorted(local.members.items()):
            known = plan.machines.get(name)
            word = Seen(name, member.zone, member.life, member.up, member.gone, member.voter)
            if known is None or (known.zone, known.life, known.up, known.gone, known.voter) != (
                word.zone,
                word.life,
                word.up,
                word.gone,
                word.voter,
            ):
                self._say(("seen", name), word, now, out)
        told = {
            name: Server(machine.name, machine.zone, machine.share, machine.up)
            for name, machine in plan.machines.items()
            if machine.kind == SERVER
        }
        for name, machine in plan.machines.items():
            # Forgotten by the membership: who was not heard to leave stays, and is waited for by name.
            if machine.kind == AGENT and name not in local.members and machine.up:
                self._say(
                    ("seen", name),
                    Seen(name, machine.zone, machine.life, False, False, machine.voter),
                    now,
                    out,
                )
        gone = {
            name
            for name, ticket in ((ticket.name, ticket) for ticket in plan.tickets)
            if ticket.state not in ENDED
            and name in told
            and name not in local.servers
            and not told[name].ready
        }
        if {name: server for name, server in told.items() if name not in gone} != dict(local.servers):
            servers = tuple(server for _, server in sorted(local.servers.items()))
            self._say("listed", Listed(servers), now, out)
        if not plan.active():
            self._ticked = None
        elif self._ticked is None or self._ticked[0] != local.term:
            self._ticked = (local.term, now)
        elif now - self._ticked[1] >= min(TICK_MOST_MS, max(TICK_MS, plan.next_due() - plan.now + 1.0)):
            out.append(Say(Tick(local.term, now - self._ticked[1])))
            self._ticked = (local.term, now)
