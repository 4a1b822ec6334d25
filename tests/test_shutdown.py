"""SIGTERM: each accepted request gets one complete final answer before SIGKILL, for any longest deadline."""

from __future__ import annotations

from typing import Any

import pytest

from frostport.core.lifecycle import Phase
from frostport.core.shutdown import MAX_RESTART_DEADLINE_MS, MAX_UPGRADE_DEADLINE_MS, schedule
from tests.scenario import platform, play

PENDING = """
    send c1 START a class=race left=1000 extras=dest:0
    expect s0 START a
"""


def with_deadline(deadline_ms: float = 1100.0) -> dict[str, Any]:
    record = platform()
    services = [{"name": "race", "aim-ms": deadline_ms / 3.0, "deadline-ms": deadline_ms}]
    return {**record, "settings": {**record["settings"], "services": services}}


@pytest.mark.parametrize(
    ("longest", "limit", "kill"),
    [
        (100.0, MAX_RESTART_DEADLINE_MS, 800.0),
        (1100.0, MAX_RESTART_DEADLINE_MS, 1800.0),
        (3000.0, MAX_RESTART_DEADLINE_MS, 3700.0),
        (9000.0, MAX_RESTART_DEADLINE_MS, 3700.0),
        (9000.0, MAX_UPGRADE_DEADLINE_MS, 5700.0),
        (250.0, MAX_UPGRADE_DEADLINE_MS, 950.0),
    ],
)
def test_all_is_answered_before_sigkill_and_late_requests_are_accepted(
    longest: float, limit: float, kill: float
) -> None:
    plan = schedule([50.0, longest], limit)
    assert 600.0 <= plan.accept_until_ms <= plan.answer_by_ms < plan.exit_by_ms < kill
    assert plan.answer_by_ms >= kill - 250.0  # no request is failed much earlier than necessary


SCENARIOS = {
    "a late request that its server never answers": """
        send agent term
        wait 590
        send c1 START a class=race left=2000 extras=dest:0
        expect s0 START a
        wait 1000
        expect c1 nothing
        wait 11
        expect c1 FINISH a rc=41
        expect s0 FINISH a rc=16
        expect agent phase stopping
        wait 60
        expect agent exit
    """,
    "SIGTERM twice, with a reload in between": PENDING
    + """
        send agent term
        wait 100
        send agent term
        send agent hup bus="10.0.1.2:1"
        wait 100
        send agent term
        expect agent phase closing
        send s0 STARTED a blob=x
        expect c1 STARTED a
        wait 770
        expect agent exit
    """,
    "a request that is held for a retry": """
        send c1 START a class=race left=2000 extras=dest:0
        expect s0 START a
        wait 300
        send s0 FINISH a rc=41
        send agent term
        wait 560
        expect s0 START a
        wait 1041
        expect c1 FINISH a rc=41
        expect s0 FINISH a rc=16
        wait 60
        expect agent exit
    """,
    "a request that waits for a slow dial": """
        close s0 late
        send c1 START a class=race left=1000 extras=dest:0
        send agent term
        wait 400
        send s0 up
        expect s0 START a
        send s0 STARTED a blob=x
        expect c1 STARTED a
    """,
    "a request on a connection opened after SIGTERM": """
        send agent term
        wait 400
        send c2 START b class=race left=1000 extras=dest:1
        expect s1 START b
        send s1 STARTED b blob=x
        expect c2 STARTED b
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_sigterm_with_a_short_longest_deadline(name: str) -> None:
    play(SCENARIOS[name], with_deadline())


def test_sigterm_during_a_drain_answers_open_requests() -> None:
    record = {**with_deadline(), "operator": "10.0.9.2:1"}
    play(
        PENDING
        + """
        operator drain => OK
        send agent term
        send agent term
        expect agent phase closing
        wait 500
        send s0 STARTED a blob=x
        expect c1 STARTED a
        wait 460
        expect agent exit
    """,
        record,
    )


def test_a_client_that_does_not_read_does_not_delay_the_exit() -> None:
    world = play(PENDING, with_deadline())
    for wire in list(world.actors["c1"].wires):
        wire.other.loseConnection = lambda: None  # written data is never flushed
    for line in (
        "send s0 STARTED a blob=x",
        "send agent term",
        "wait 1700",
        "expect agent phase stopping",
        "wait 51",
        "expect agent exit",
    ):
        world.step(line)
    assert world.agent.lifecycle.phase is Phase.STOPPED


def test_sigterm_before_the_agent_is_ready_ends_it() -> None:
    world = play("expect c1 nothing", with_deadline())
    world.agent.lifecycle.phase = Phase.STARTING  # as while the agent waits for its turn to serve
    for line in ("send agent term", "expect agent phase closing", "wait 960", "expect agent exit"):
        world.step(line)
