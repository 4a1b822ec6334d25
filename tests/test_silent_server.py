"""Servers with established calls that fall silent: vanished, or only cut off; on the manual clock.

Guards against calls that stay established after their server has vanished, and against calls that end while
their server was only unreachable.
"""

from __future__ import annotations

import pytest

from tests.scenario import platform, play

ESTABLISHED = """
    send c1 START a class=race left=3000 extras=dest:0
    expect s0 START a
    send s0 STARTED a blob=x
    expect c1 STARTED a
"""
SCENARIOS = {
    "a server that vanishes: its caller is notified within 8 s, and not before 7": ESTABLISHED
    + """
        close s0 silent
        wait 6900
        expect c1 nothing
        wait 1050
        expect c1 FINISH a rc=41
    """,
    "one that was only cut off, and sends on its old connection: the call stays": ESTABLISHED
    + """
        close s0 silent
        wait 6500
        expect c1 nothing
        send s0 LOAD 0 load=x0:5;x1:9
        wait 1400
        expect c1 nothing
        send c1 FINISH a rc=16
        expect c1 FINISHED a
    """,
    "one that is back after the limit gets the release of the call": ESTABLISHED
    + """
        close s0 silent
        wait 8000
        expect c1 FINISH a rc=41
        expect s0 closed
        send s0 alive
        wait 1100
        expect s0 FINISH a rc=16
    """,
    "an unconfirmed release is sent again after its connection breaks": ESTABLISHED
    + """
        send c1 FINISH a rc=16
        expect s0 FINISH a rc=16
        close s0
        wait 600
        expect s0 FINISH a rc=16
        send s0 FINISHED a
        close s0
        wait 600
        expect s0 nothing
    """,
    "a confirmed release is not sent again": ESTABLISHED
    + """
        send c1 FINISH a rc=16
        expect s0 FINISH a rc=16
        send s0 FINISHED a
        close s0
        wait 600
        expect s0 nothing
    """,
    "a silent connection that was kept stays while nothing is received on others": ESTABLISHED
    + """
        send c1 START b class=race left=1200 extras=dest:0
        expect s0 START b
        close s0 silent
        wait 1200
        expect s0 FINISH b rc=16
        expect c1 FINISH b rc=41
        wait 3000
        expect s0 nothing
        send s0 LOAD 0 load=x0:5;x1:9
        wait 5000
        expect c1 nothing
        send c1 FINISH a rc=16
        expect c1 FINISHED a
    """,
    "a silent connection that was kept is dropped once data arrives on others": ESTABLISHED
    + """
        send c1 START b class=race left=1200 extras=dest:0
        expect s0 START b
        wait 1199
        expect s0 nothing
        wait 1
        expect s0 FINISH b rc=16
        expect c1 FINISH b rc=41
        wait 600
        expect s0 closed
        wait 9000
        expect c1 nothing
    """,
    "a lost connection is dialed until one comes up, while another is open": ESTABLISHED
    + """
        send c1 START b class=race left=9000 extras=dest:0
        expect s0 START b
        send c1 START c class=race left=9000 extras=dest:0
        expect s0 START c
        expect agent dials 4
        close s0 silent
        send s0 raw {"verb":"STARTED"
        wait 300
        expect s0 closed
        wait 4000
        expect agent dials 9
        send s0 alive
        wait 2600
        # Two to s0. The event bus, silent in this world, is dialed after 2.5 and 7.5 s.
        expect agent dials 11
    """,
}


@pytest.mark.parametrize("probes", [True, False], ids=["probes", "no probes"])
@pytest.mark.parametrize("name", list(SCENARIOS)[:2])
def test_a_silent_server(name: str, probes: bool) -> None:
    play(SCENARIOS[name], platform(probes=probes))


@pytest.mark.parametrize("name", list(SCENARIOS)[2:])
def test_releases_and_connections_after_a_silence(name: str) -> None:
    play(SCENARIOS[name], platform())
