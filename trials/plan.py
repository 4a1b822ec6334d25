"""Draws the plan of a trial from one seed: the settings, the parties, and a list of faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import StrEnum

from trials.client import ClientBehaviour
from trials.server import ServerBehaviour
from trials.site import Size, TrialSettings

FIRST_FAULT_S = 1.0  # earliest time of a fault
DURATION_S = 16.0  # from the start of calls to the last fault's end
MIN_FAULTS, MAX_FAULTS = 3, 7
DIAMETER_SEED_INTERVAL = 3  # seeds divisible by it are played over Diameter


class FaultKind(StrEnum):
    """Kind of a fault. The values are choices of `--only` and name the methods of `trials.play.Player`."""

    AGENT_TERM = "agent-term"  # SIGTERM, SIGKILL at the earliest time the protocol page allows, restart
    AGENT_TERM_TWICE = "agent-term-twice"  # the same with a second SIGTERM 0.1 s later
    AGENT_TERM_EARLY = "agent-term-early"  # SIGTERM to a process that is not ready yet
    AGENT_KILL = "agent-kill"  # SIGKILL, later a restart
    AGENT_STOP = "agent-stop"  # SIGSTOP, later SIGCONT
    AGENT_RELOAD = "agent-reload"  # discovery moves to another address, and SIGHUP notifies the agent
    AGENT_DRAIN = "agent-drain"  # an operator drains the agent and later ends the drain
    SERVER_VANISH = "server-vanish"  # for good, or until a new process starts at its address
    SERVER_CUT = "server-cut"  # the links to all agents or to one
    SERVER_HANG = "server-hang"  # the process stops for a time, connections stay open
    SERVER_CRASH = "server-crash"  # the process dies, a new one starts later
    SERVER_DRAIN = "server-drain"  # listed as draining, later as gone
    SERVER_REPLACE = "server-replace"  # a spare joins in a cold start; the replaced server drains and leaves
    SERVER_RESET = "server-reset"  # its connections are reset, also those with outstanding attempts
    SERVER_RESET_IDLE = "server-reset-idle"  # only those without outstanding attempts
    SERVER_NO_DIALS = "server-no-dials"  # new connections are never established
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_SILENT = "discovery-silent"
    DISCOVERY_STALLED = "discovery-stalled"  # open connections carry nothing more, new ones work
    DISCOVERY_REFUSING = "discovery-refusing"
    DISCOVERY_SLOW = "discovery-slow"
    CLIENTS_CLOSE = "clients-close"  # a share of the clients close their connections
    CLIENTS_CROWD = "clients-crowd"  # many connections on which nothing is sent


# Faults that need discovery. Over Diameter there is none: the servers are listed in the configuration.
PLATFORM_ONLY = frozenset(kind for kind in FaultKind if kind.value.startswith("discovery")) | {
    FaultKind.AGENT_RELOAD,
    FaultKind.SERVER_DRAIN,
    FaultKind.SERVER_REPLACE,
}


@dataclass(frozen=True)
class Fault:
    """One fault; times in seconds from the start of calls."""

    at_s: float
    kind: FaultKind
    target: int = 0  # index of the agent or server, modulo their number
    for_s: float = 0.0  # 0: for good


@dataclass(frozen=True)
class Plan:
    """One trial; the faults are in the order of their times."""

    seed: int
    settings: TrialSettings
    size: Size
    faults: tuple[Fault, ...] = field(default=())
    seconds: float = DURATION_S


def draw_plan(seed: int, only: frozenset[FaultKind] = frozenset(), seconds: float = DURATION_S) -> Plan:
    """The plan of a seed, always the same for the same arguments.

    `only` holds the kinds of fault that may be drawn, empty for all; all faults end within `seconds`.
    """
    rng = random.Random(seed)
    settings = TrialSettings(
        deadline_ms=rng.choice([800.0, 1500.0, 3000.0, 9000.0]),
        grace_ms=rng.choice([300.0, 500.0, 2000.0]),
        guard_ms=rng.choice([300.0, 500.0]),
        attempts=rng.choice([2, 4, 6]),
        probes=rng.random() < 0.5,
        peers=rng.random() < 0.7,
    )
    client_behaviour = ClientBehaviour(
        gap_s=rng.choice([0.05, 0.1, 0.2]),
        wait_s=(settings.deadline_ms / 2000.0, settings.deadline_ms / 1000.0),
        hold_s=rng.choice([1.0, 4.0, 20.0]),
        ends_share=rng.choice([0.2, 0.5]),
        cancels_share=rng.choice([0.0, 0.05, 0.2]),
        closes_every_s=rng.choice([0.0, 0.0, 3.0]),
        resets=rng.random() < 0.5,
        split_writes=rng.random() < 0.2,
    )
    server_behaviour = ServerBehaviour(
        answer_s=rng.choice([0.01, 0.05, 0.2]),
        hold_s=rng.choice([1.0, 4.0, 20.0]),
        full_share=rng.choice([0.0, 0.05, 0.2]),
        error_share=rng.choice([0.0, 0.05]),
        mute_share=rng.choice([0.0, 0.0, 0.05]),
        early_end_share=rng.choice([0.0, 0.05]),
        split_writes=rng.random() < 0.2,
        duplicate_share=rng.choice([0.0, 0.0, 0.1]),
        staggered_reports=rng.random() < 0.3,
    )
    size = Size(
        agents=rng.randint(2, 4),
        servers=rng.randint(4, 6),
        clients=3,
        client_behaviour=client_behaviour,
        server_behaviour=server_behaviour,
    )
    kinds = sorted(only) if only else list(FaultKind)
    faults = [
        _draw_fault(rng, FaultKind(rng.choice(kinds)), seconds)
        for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    if seed % DIAMETER_SEED_INTERVAL == 0:
        settings = replace(settings, diameter=True, probes=False, peers=False)
        faults = [fault for fault in faults if fault.kind not in PLATFORM_ONLY]
    return Plan(seed, settings, size, tuple(sorted(faults, key=lambda fault: fault.at_s)), seconds)


def _draw_fault(rng: random.Random, kind: FaultKind, seconds: float) -> Fault:
    at_s = rng.uniform(FIRST_FAULT_S, seconds * 0.6)
    for_s = rng.choice([0.5, 2.0, 3.0, 5.0, 6.5, 8.0])
    if kind is FaultKind.SERVER_VANISH and rng.random() < 0.4:
        for_s = 0.0
    return Fault(at_s, kind, rng.randrange(100), min(for_s, seconds - at_s))


def without_fault(plan: Plan, index: int) -> Plan:
    """The plan without the fault at an index."""
    return replace(plan, faults=plan.faults[:index] + plan.faults[index + 1 :])


def with_rounded_times(plan: Plan) -> Plan:
    """The plan with the times of its faults rounded to half seconds."""
    return replace(
        plan,
        faults=tuple(
            replace(fault, at_s=round(fault.at_s * 2.0) / 2.0, for_s=round(fault.for_s * 2.0) / 2.0)
            for fault in plan.faults
        ),
    )
