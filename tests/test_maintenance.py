"""Work on machines: the plan against a slow, plain model; three agents in every order; long lives; planted
faults. The objects are those that serve."""

from __future__ import annotations

import pickle
import random
from collections.abc import Iterator
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostport.maintenance import asking
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
from frostport.maintenance.plan import AWAY, ENDED, Machine, Plan, State, Ticket
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
    Server,
    Tick,
    Word,
)
from tests.exploring import explored

SERVERS = {"h0": Server("h0", "z", 1.0, True), "h1": Server("h1", "z", 1.0, True)}
ZONES = {"a0": "z", "a1": "z", "a2": "y"}


# The limits, told a second time and plainly


def allowed(plan: Plan, name: str) -> bool:
    """Whether a machine may go, by what the plan knew just before (docs/design/maintenance.md, the order)."""
    me, at = plan.machines[name], plan.limits
    out = []
    for other in plan.machines.values():
        if other.name == name:
            continue
        away = any(each.name == other.name and each.state in AWAY for each in plan.tickets)
        broken = other.kind == AGENT and not other.up and not other.gone
        if other.kind == SERVER:
            speak = [
                agent
                for agent in plan.machines.values()
                if agent.kind == AGENT and agent.up and not agent.gone and agent.calls >= 0
            ]
            cut = [agent for agent in speak if other.name in agent.unreached]
            broken = not other.up or (bool(speak) and 2 * len(cut) >= len(speak))
        if away or broken:
            out.append(other)
    if any(other.zone != me.zone for other in out) or len(out) + 1 > min(at.all, at.zone):
        return False
    if sum(other.kind == me.kind for other in out) + 1 > (at.agents if me.kind == AGENT else at.servers):
        return False
    if any(each.state is State.OUT and plan.now - each.since > each.takes_ms for each in plan.tickets):
        return False
    stays = [
        other
        for other in plan.machines.values()
        if other.kind == me.kind and other is not me and other not in out and not other.gone
    ]
    load = sum(
        agent.calls
        for agent in plan.machines.values()
        if agent.kind == AGENT and not agent.gone and agent.calls > 0
    )
    carries = (
        at.agent_calls * len(stays)
        if me.kind == AGENT
        else at.share_calls * sum(other.share for other in stays)
    )
    return bool(stays) and not plan.held and (carries == 0 or carries >= load * (1 + at.margin))


def checked(plan: Plan, index: int, term: int, word: Word) -> None:
    """Applies a word; each ticket that goes by it might, one after the other, by the plain model."""
    waiting = {ticket.number for ticket in plan.tickets if ticket.state is State.WAITING}
    plan.apply(index, term, word)
    went = [
        ticket
        for ticket in plan.tickets
        if ticket.step == index and ticket.number in waiting and ticket.state is not State.WAITING
    ]
    went += [ticket for ticket in plan.tickets if ticket.step == index and ticket.request == index]
    before = Plan()
    before.restore(plan.save())
    for ticket in went:
        copy = next(each for each in before.tickets if each.number == ticket.number)
        copy.state = State.WAITING
    for ticket in sorted(went, key=lambda each: (each.passed, not each.urgent, each.number)):
        assert any(allowed(before, each.name) for each in went), f"{ticket.name} might not go"
    for ticket in went:
        if len(went) == 1:
            assert allowed(before, ticket.name), f"{ticket.name} might not go: {before.against(ticket)}"
    for ticket in plan.tickets:
        assert ticket.state in ENDED or plan.why(ticket)
        assert (
            ticket.state is not State.WAITING
            or plan.limits.overtakes < 1
            or ticket.passed <= plan.limits.overtakes
        )


names = st.sampled_from(["a0", "a1", "a2", "h0", "h1"])
words = st.one_of(
    st.builds(
        Request,
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
        lambda name, life, up: Seen(name, ZONES[name], life, up, False, True),
        st.sampled_from(["a0", "a1", "a2"]),
        st.integers(1, 2),
        st.booleans(),
    ),
    st.builds(
        Load,
        st.sampled_from(["a0", "a1", "a2"]),
        st.integers(1, 2),
        st.sampled_from([0.0, 5.0, 20.0]),
        st.sampled_from([(), ("h0",), ("h1",)]),
    ),
    st.builds(Done, st.sampled_from(["a0", "a1", "a2"]), st.integers(1, 2), names, st.integers(1, 40)),
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
@given(st.lists(words, max_size=40))
def test_the_plan_keeps_to_the_limits_of_a_plain_model_and_survives_as_bytes(said: list[Word]) -> None:
    plan = Plan()
    plan.apply(0, 1, Listed(tuple(SERVERS.values())))
    for name, zone in ZONES.items():
        plan.apply(0, 1, Seen(name, zone, 1, True, False, True))
    for index, word in enumerate(said, start=1):
        checked(plan, index, 1, word)
        other = Plan()
        other.restore(plan.save())
        assert other.save() == plan.save()


# Agents with their own copies of the plan, their calls, and a log that all read in one order


class Node:
    """One agent: what it keeps (the log it has applied), and what dies with it."""

    def __init__(self, name: str) -> None:
        self.name, self.life, self.applied = name, 1, 0
        self.plan = Plan()
        self.alive, self.cut = True, False
        self.whole = True  # its disk has once held all up to where the log was
        self.begin()

    def begin(self) -> None:
        self.keeper = Keeper(self.name, self.life, 0.0, self.whole)
        self.phase, self.busy, self.must_read = "starting", dict.fromkeys(SERVERS, 0), 0


class Fleet:
    """Three agents, two servers; `step` is one event, and is checked."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.nodes = {name: Node(name) for name in ZONES}
        self.log: list[Word] = [limits or Limits(warm_ms=1000.0)]
        self.calls = 2  # attempts that may still begin
        self.deaths = self.cuts = 2
        self.late: list[Word] = []  # words on their way for long
        self.settle()

    # What an agent sees

    def leader(self) -> str:
        return next((name for name, node in self.nodes.items() if node.alive and not node.cut), "")

    def look(self, node: Node) -> None:
        leader = self.leader()
        members = {
            name: Member(
                ZONES[name],
                other.life,
                other.alive and other.phase == "serving" and not other.cut,
                False,
                True,
            )
            for name, other in self.nodes.items()
        }
        node.keeper._said.clear()
        node.keeper._load_at = -1e9
        node.keeper._load = (
            Load(node.name, node.life, 1.0, ())
            if node.plan.machines.get(node.name, Machine("", "", "")).calls >= 0
            else None
        )
        again = True
        while again:
            again = False
            read = node.applied >= node.must_read and not node.cut
            node.whole = node.whole or read
            local = Local(
                node.name == leader,
                1,
                read,
                node.phase,
                not any(node.busy.values()),
                1.0,
                node.busy,
                frozenset(),
                frozenset(),
                members,
                SERVERS,
            )
            if node.keeper._load is not None:
                node.keeper._load_at = 0.0
            for action in node.keeper.look(node.plan, local, 0.0):
                match action:
                    case Say(word):
                        if not (node.cut or word in self.log[node.applied :] or isinstance(word, Tick)):
                            self.log.append(word)
                    case Serve():
                        node.phase, again = "serving", True
                    case Drain():
                        node.phase, again = "draining" if any(node.busy.values()) else "drained", True
                    case TurnAway():
                        node.phase, again = "turning away", True
                    case Resume():
                        node.phase = "serving"
                    case HoldOut() | PutBack():
                        again = True

    def read(self, node: Node) -> None:
        if node.applied < len(self.log):
            node.applied += 1
            checked(node.plan, node.applied, 1, self.log[node.applied - 1])
            self.look(node)

    def settle(self) -> None:
        """All that are reached read all; what they say by it too."""
        for _ in range(200):
            reached = [node for node in self.nodes.values() if node.alive and not node.cut]
            if all(node.applied == len(self.log) for node in reached):
                before = len(self.log)
                for node in reached:
                    self.look(node)
                if len(self.log) == before:
                    return
            for node in reached:
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
            # A client's connection to one that drains may carry calls on until it turns them away.
            if self.calls and (node.phase in ("serving", "draining", "drained")):
                for server in SERVERS:
                    if server not in node.keeper.holding:
                        yield "call", f"{name} {server}"
            if node.phase == "draining" and node.keeper.drained_at >= 0.0:
                yield "patience", name
            if self.deaths:
                yield "kill", name
            if node.cut:
                yield "heal", name
                if not node.keeper.serving:
                    yield "alone", name
            elif self.cuts:
                yield "cut", name
        if self.leader() and not isinstance(self.log[-1], Tick):
            yield "tick", ""
        if self.late:
            yield "arrive", ""
        if self.leader():
            for ticket in self.nodes[self.leader()].plan.tickets:
                if ticket.state is State.OUT and Ready(ticket.name) not in self.log[-6:]:
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
                self.look(node)
            case "kill" if node is not None:
                self.deaths -= 1
                node.alive, node.busy = False, dict.fromkeys(SERVERS, 0)
            case "return" | "return empty" if node is not None:
                node.alive, node.life = True, node.life + 1
                if what == "return empty":
                    node.applied, node.plan = 0, Plan()
                    node.whole = False
                node.begin()
                node.must_read = len(self.log)
                self.look(node)
            case "cut" if node is not None:
                self.cuts -= 1
                node.cut = True
            case "heal" if node is not None:
                node.cut = False
                self.look(node)
            case "alone" if node is not None:
                node.keeper.began = -1e9
                self.look(node)
            case "patience" if node is not None:
                node.keeper.drained_at = -1e9  # its drain has taken longer than `drain_ms`
                self.look(node)
            case "arrive":
                self.log.append(self.late.pop())
            case "tick":
                self.log.append(Tick(1, 5000.0))
            case "ready":
                self.log.append(Ready(which))
        if (leader := self.leader()) and what in ("kill", "return", "return empty", "cut", "heal"):
            self.look(self.nodes[leader])
        self.check()

    def check(self) -> None:
        plans: dict[int, bytes] = {}
        for node in self.nodes.values():
            saved = plans.setdefault(node.applied, node.plan.save())
            assert saved == node.plan.save(), "W1: plans differ"
            for ticket in node.plan.tickets:
                # Once staff have said that the work is done, a copy that has not read it yet harms nobody.
                if (
                    ticket.state is State.OUT
                    and not ticket.forced
                    and node.alive
                    and Ready(ticket.name) not in self.log[node.applied :]
                ):
                    self.untouched(ticket)

    def untouched(self, ticket: Ticket) -> None:
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
                        node.must_read,
                        sorted(node.keeper.holding),
                        node.keeper.drained_by,
                        node.keeper.serving,
                        node.keeper.began < 0,
                        node.keeper.remembers,
                        node.whole,
                        node.keeper.drained_at,
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


def asked(*requests: Request) -> Fleet:
    fleet = Fleet()
    fleet.log += requests
    return fleet


def going() -> Fleet:
    """All hold the server, one call stands there; the word for it is on its way."""
    fleet = Fleet()
    fleet.step("call", "a1 h0")
    fleet.log += [one("h0"), one("a1")]
    fleet.settle()
    return fleet


def out() -> Fleet:
    fleet = asked(one("h0"), one("a1"))
    fleet.settle()
    return fleet


def again() -> Fleet:
    """The server's ticket was cancelled and asked for anew; a word for its first step is still on its way."""
    fleet = asked(one("h0"))
    while not (ticket := fleet.nodes["a0"].plan.ticket("h0")) or ticket.state is not State.GOING:
        fleet.read(fleet.nodes["a0"])
    fleet.late = [Done("a1", 1, "h0", ticket.step)]
    fleet.log.append(Cancel("h0"))
    fleet.settle()
    fleet.log += [Tick(1, 5000.0), Tick(1, 5000.0)]
    fleet.settle()
    assert fleet.nodes["a0"].plan.ticket("h0") is None
    fleet.step("call", "a1 h0")
    fleet.log.append(one("h0"))
    fleet.settle()
    return fleet


def one(*machines: str, urgent: bool = False) -> Request:
    return Request(machines, "", "kernel", "ann", 60_000.0, urgent)


BEGINNINGS = {"asked": lambda: asked(one("h0"), one("a1")), "going": going, "out": out, "again": again}


@pytest.mark.parametrize("name", BEGINNINGS)
def test_every_order_of_three_agents_and_two_servers(name: str) -> None:
    assert explored(BEGINNINGS[name](), 4, 20_000) > 500


def lived(seed: int, steps: int = 250) -> Fleet:
    """A long life drawn from a seed, at its end healed and quiet: every ticket has ended."""
    chance = random.Random(seed)
    fleet = Fleet(
        Limits(all=chance.randint(1, 2), servers=1, zone=2, warm_ms=1000.0, overtakes=chance.randint(1, 3))
    )
    for number in range(steps):
        fleet.calls, fleet.deaths, fleet.cuts = 2, 1, 1
        events = list(fleet.events())
        weights = [{"kill": 0.1, "cut": 0.2, "alone": 0.3}.get(what, 1.0) for what, _ in events]
        fleet.step(*chance.choices(events, weights)[0])
        if number % 25 == 0:
            machines = chance.sample(["a0", "a1", "a2", "h0", "h1"], 2)
            fleet.log.append(one(*machines, urgent=chance.random() < 0.3))
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
            if ticket.state is State.OUT:
                fleet.step("ready", ticket.name)
        fleet.log.append(Tick(1, 5000.0))
        fleet.settle()
    left = [
        (ticket.name, ticket.state.value, plan.why(ticket))
        for ticket in plan.tickets
        if ticket.state not in ENDED
    ]
    assert not left, left
    return fleet


@pytest.mark.parametrize("seed", range(12))
def test_long_lives_end_with_every_ticket_done(seed: int) -> None:
    lived(seed)


def earlier_words_count_nothing() -> None:
    plan = asked(one("h0")).nodes["a0"].plan
    said: list[Word] = [
        Listed(tuple(SERVERS.values())),
        Seen("a0", "z", 2, True, False),
        Seen("a1", "z", 5, True, False),
        one("h0"),
    ]
    for index, word in enumerate(said, start=100):
        plan.apply(index, 1, word)
    ticket = plan.ticket("h0")
    assert ticket is not None
    for number, (agent, life, step) in enumerate(
        (("a0", 1, 0), ("a1", 4, 0), ("a0", 2, -1), ("a1", 5, -1)), start=200
    ):
        plan.apply(number, 1, Done(agent, life, "h0", ticket.step + step))
        assert not {"a0", "a1"} & ticket.done.keys()


def test_words_of_an_earlier_process_or_step_count_nothing() -> None:
    earlier_words_count_nothing()


# Planted faults: each is seen by what is above


def any_life(plan: Plan, index: int, term: int, word: Word) -> None:
    if isinstance(word, Done) and word.agent in plan.machines:
        word = Done(word.agent, plan.machines[word.agent].life, word.machine, word.step)
    APPLY(plan, index, term, word)


def any_step(plan: Plan, index: int, term: int, word: Word) -> None:
    if isinstance(word, Done) and (ticket := plan.ticket(word.machine)) is not None:
        word = Done(word.agent, word.life, word.machine, ticket.step)
    APPLY(plan, index, term, word)


def only_tickets(plan: Plan) -> dict[str, Machine]:
    return {
        ticket.name: plan.machines[ticket.name]
        for ticket in plan.tickets
        if ticket.state in AWAY and ticket.name in plan.machines
    }


def the_living(plan: Plan, ticket: Ticket) -> list[str]:
    return [name for name in WAITS_FOR(plan, ticket) if plan.machines[name].up]


def at_once(keeper: Keeper, plan: Plan, local: Local, now: float) -> list[object]:
    local.caught_up = True
    keeper.began, keeper.remembers = -1e9, True
    return list(LOOK(keeper, plan, local, now))


def drained_is_enough(keeper: Keeper, plan: Plan, local: Local, now: float) -> list[object]:
    """An agent that may be touched serves whoever still comes."""
    return [
        action
        for action in LOOK(
            keeper,
            plan,
            replace(local, phase="turning away" if local.phase == "drained" else local.phase),
            now,
        )
        if not isinstance(action, TurnAway)
    ]


APPLY, WAITS_FOR, LOOK = Plan.apply, Plan.waits_for, Keeper.look
PLANTED: dict[str, tuple[type, str, object]] = {
    "a confirmation counted across lives": (Plan, "apply", any_life),
    "a confirmation counted across steps": (Plan, "apply", any_step),
    "the dead not counted as out": (Plan, "out", only_tickets),
    "the silent taken for dead": (Plan, "waits_for", the_living),
    "calls taken before the log is read": (Keeper, "look", at_once),
    "an agent out that serves who comes": (Keeper, "look", drained_is_enough),
}


@pytest.mark.parametrize("name", PLANTED)
def test_planted_faults_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, fault = PLANTED[name]
    monkeypatch.setattr(owner, method, fault)

    def caught() -> bool:
        try:
            earlier_words_count_nothing()
            for seed in range(10):
                lived(seed, 120)
            for begin in BEGINNINGS.values():
                explored(begin(), 4, 20_000)
        except AssertionError:
            return True
        return False

    assert caught()


# What staff say


def test_what_staff_say_is_checked_and_what_they_read_has_a_reason() -> None:
    plan = out().nodes["a0"].plan
    assert plan.ticket("h0") is not None and "may be touched" in "\n".join(asking.status(plan))
    said = asking.word("request", "names=a0,h1 takes=30m within=8h urgent=yes who=ann why=a new kernel", plan)
    assert said == Request(("a0", "h1"), "", "a new kernel", "ann", 1_800_000.0, True, 28_800_000.0)
    assert asking.word("limits", "all=3 margin=0.5", plan) == Limits(all=3, margin=0.5, warm_ms=1000.0)
    for what, rest, why in (
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
        with pytest.raises(asking.BadWordsError, match=why):
            asking.word(what, rest, plan)


def test_force_is_kept_with_who_and_why_and_an_overdue_machine_halts_the_plan() -> None:
    plan = out().nodes["a0"].plan
    index = 1000
    for word in (Tick(1, 5000.0),) * 14:
        plan.apply(index := index + 1, 1, word)
    waiting, late = plan.ticket("a1"), plan.ticket("h0")
    assert waiting is not None and late is not None
    assert plan.why(waiting) == "held: h0 overdue" and plan.overdue(late)
    plan.apply(index + 1, 1, Force("h0", "ann", "its disk is gone"))
    assert late.state is State.GIVEN_UP and late.forced == "ann: its disk is gone"
    assert "1 out of 1" in plan.why(waiting)
    plan.apply(index + 2, 1, Limits(all=2, zone=2))
    assert waiting.state is State.GOING


def test_budgets_of_agents_that_are_out_go_to_those_that_are_up() -> None:
    plan = Plan()
    assert plan.share() <= 1.0  # nothing known yet
    for index, (name, zone) in enumerate(ZONES.items(), start=1):
        plan.apply(index, 1, Seen(name, zone, 1, True, False, True))
    assert plan.share() == 1.0
    plan.apply(4, 1, one("a2"))
    plan.apply(5, 1, Seen("a2", "y", 1, False, False, True))
    assert plan.share() == 1.5
    plan.apply(6, 1, Seen("a2", "y", 1, False, True, True))  # staff have ended it: its ticket still counts
    assert plan.share() == 1.5
    plan.apply(7, 1, Seen("a1", "z", 1, False, True, True))  # one that has left for good has no part
    assert plan.share() == 2.0
