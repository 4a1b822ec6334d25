"""What happens in a trial, drawn from one seed: the day's settings, its parties, and a list of faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import StrEnum

from trials.client import Habits
from trials.server import Behaviour
from trials.site import Day, Size

CALM_S = 1.0  # before the first fault
SECONDS = 16.0  # from the start of calls to the last fault's end
FAULTS_LEAST, FAULTS_MOST = 3, 7
DIAMETER_EVERY = 3  # seeds: a third of the trials are played over Diameter


class FaultKind(StrEnum):
    """What can go wrong."""

    AGENT_TERM = "agent-term"  # SIGTERM, SIGKILL at the earliest the protocol page allows, restart
    AGENT_TERM_TWICE = "agent-term-twice"
    AGENT_TERM_EARLY = "agent-term-early"  # SIGTERM to a process that is not ready yet
    AGENT_KILL = "agent-kill"
    AGENT_STOP = "agent-stop"  # SIGSTOP, and SIGCONT later
    AGENT_RELOAD = "agent-reload"  # SIGHUP moves discovery
    AGENT_DRAIN = "agent-drain"  # an operator's drain, and its end
    SERVER_VANISH = "server-vanish"  # for good, or until a new process comes back
    SERVER_CUT = "server-cut"  # its links, to all agents or to one
    SERVER_HANG = "server-hang"
    SERVER_CRASH = "server-crash"
    SERVER_DRAIN = "server-drain"  # listed as draining, later as gone
    SERVER_REPLACE = "server-replace"  # a spare joins cold, the old one drains and goes
    SERVER_RESET = "server-reset"  # its connections break, busy ones as well
    SERVER_RESET_IDLE = "server-reset-idle"
    SERVER_NO_DIALS = "server-no-dials"  # new connections do not come up
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_SILENT = "discovery-silent"
    DISCOVERY_STALLED = "discovery-stalled"  # open connections fall silent, new ones work
    DISCOVERY_REFUSING = "discovery-refusing"
    DISCOVERY_SLOW = "discovery-slow"
    CLIENTS_CLOSE = "clients-close"  # a share of the clients break their connections
    CLIENTS_CROWD = "clients-crowd"  # many connections that say nothing


# With Diameter the servers stand in the configuration: there is no discovery.
PLATFORM_ALONE = frozenset(kind for kind in FaultKind if kind.value.startswith("discovery")) | {
    FaultKind.AGENT_RELOAD,
    FaultKind.SERVER_DRAIN,
    FaultKind.SERVER_REPLACE,
}


@dataclass(frozen=True)
class Fault:
    """One fault; times in seconds from the start of calls."""

    at_s: float
    kind: FaultKind
    target: int = 0  # which agent or server, modulo how many there are
    for_s: float = 0.0  # 0: for good


@dataclass(frozen=True)
class Plan:
    """One trial."""

    seed: int
    day: Day
    size: Size
    faults: tuple[Fault, ...] = field(default=())
    seconds: float = SECONDS


def draw(seed: int, only: frozenset[FaultKind] = frozenset(), seconds: float = SECONDS) -> Plan:
    """The plan of a seed; `only`: the kinds that may be drawn, empty for all."""
    chance = random.Random(seed)
    day = Day(
        deadline_ms=chance.choice([800.0, 1500.0, 3000.0, 9000.0]),
        grace_ms=chance.choice([300.0, 500.0, 2000.0]),
        guard_ms=chance.choice([300.0, 500.0]),
        attempts=chance.choice([2, 4, 6]),
        probes=chance.random() < 0.5,
        peers=chance.random() < 0.7,
    )
    habits = Habits(
        gap_s=chance.choice([0.05, 0.1, 0.2]),
        wait_s=(day.deadline_ms / 2000.0, day.deadline_ms / 1000.0),
        hold_s=chance.choice([1.0, 4.0, 20.0]),
        ends_share=chance.choice([0.2, 0.5]),
        cancels_share=chance.choice([0.0, 0.05, 0.2]),
        closes_every_s=chance.choice([0.0, 0.0, 3.0]),
        resets=chance.random() < 0.5,
        pieces=chance.random() < 0.2,
    )
    behaviour = Behaviour(
        answer_s=chance.choice([0.01, 0.05, 0.2]),
        hold_s=chance.choice([1.0, 4.0, 20.0]),
        full_share=chance.choice([0.0, 0.05, 0.2]),
        error_share=chance.choice([0.0, 0.05]),
        mute_share=chance.choice([0.0, 0.0, 0.05]),
        early_end_share=chance.choice([0.0, 0.05]),
        pieces=chance.random() < 0.2,
        double_share=chance.choice([0.0, 0.0, 0.1]),
        reports_each=chance.random() < 0.3,
    )
    size = Size(
        agents=chance.randint(2, 4),
        servers=chance.randint(4, 6),
        clients=3,
        habits=habits,
        behaviour=behaviour,
    )
    kinds = sorted(only) if only else list(FaultKind)
    faults = [
        _draw_fault(chance, FaultKind(chance.choice(kinds)), seconds)
        for _ in range(chance.randint(FAULTS_LEAST, FAULTS_MOST))
    ]
    if seed % DIAMETER_EVERY == 0:
        day = replace(day, diameter=True, probes=False, peers=False)
        faults = [fault for fault in faults if fault.kind not in PLATFORM_ALONE]
    return Plan(seed, day, size, tuple(sorted(faults, key=lambda fault: fault.at_s)), seconds)


def _draw_fault(chance: random.Random, kind: FaultKind, seconds: float) -> Fault:
    at_s = chance.uniform(CALM_S, seconds * 0.6)
    for_s = chance.choice([0.5, 2.0, 3.0, 5.0, 6.5, 8.0])
    if kind is FaultKind.SERVER_VANISH and chance.random() < 0.4:
        for_s = 0.0
    return Fault(at_s, kind, chance.randrange(100), min(for_s, seconds - at_s))


def without(plan: Plan, index: int) -> Plan:
    """The plan less one fault."""
    return replace(plan, faults=plan.faults[:index] + plan.faults[index + 1 :])


def rounded(plan: Plan) -> Plan:
    """The plan with its faults at half seconds."""
    return replace(
        plan,
        faults=tuple(
            replace(fault, at_s=round(fault.at_s * 2.0) / 2.0, for_s=round(fault.for_s * 2.0) / 2.0)
            for fault in plan.faults
        ),
    )
