"""No attempt starts for a client that has closed its connection or given up, wherever its request waits.

A client that is still connected gets one final answer before its connection is closed."""

from __future__ import annotations

import socket

import pytest
from twisted.internet import error

from frostport.net import peer_close
from frostport.net.jsonl import LINES_PER_ITERATION, Message
from tests.scenario import Wire, World, event, failure, host, platform, play

LATE_DIAL = """
    close s0 late
    send c1 START a class=race left=3000 extras=dest:0
"""
HELD = """
    send c1 START a class=race left=3000 extras=dest:0
    expect s0 START a
    send s0 FINISH a rc=34
    expect s1 START a
    send s1 FINISH a rc=34
"""
RESET = """
    send c1 START a class=race left=8000 extras=dest:0
    expect s0 START a
    send s0 FINISH a rc=41
"""
SET_UP_AND_GIVE_UP = (
    r'{"verb":"START","tag":"000000000000000a","opts":{"class":"race","left":"3000"},"blob":"x"}\n'
    r'{"verb":"FINISH","tag":"000000000000000a","opts":{},"rc":16}\n'
)
GONE = {
    "closed, held by the decision module": HELD
    + """
        close c1 unheard
        wait 400
        expect s0 nothing
        expect s1 nothing
        expect agent open 0
    """,
    "given up, held by the decision module, and repeated with the same id: one attempt": HELD
    + """
        send c1 FINISH a rc=16
        send c1 START a class=race left=3000 extras=dest:0
        wait 400
        expect s0 START a
        expect s1 nothing
    """,
    "given up without reading, held by the decision module: no further set-up starts until it reads": HELD
    + """
        send c1 stuck
        send c1 START b class=race left=3000 extras=dest:0
        send c1 FINISH a rc=16
        wait 400
        expect s0 nothing
        expect s1 nothing
        expect agent open 0
        send c1 unstuck
        wait 1
        expect s0 START b
        expect s0 nothing
    """,
    "given up in one write with its set-up, with the id of an ended call": """
        send c1 START a class=race left=3000 extras=dest:0
        expect s0 START a
        send c1 FINISH a rc=16
        expect s0 FINISH a rc=16
        wait 600
        send c1 raw """
    + SET_UP_AND_GIVE_UP
    + """
        expect s0 nothing
        expect c1 FINISHED a
    """,
    "closed, waiting for the release guard": RESET
    + """
        close c1 unheard
        wait 800
        expect s0 nothing
        expect s1 nothing
        expect agent open 0
    """,
    "closed before its set-up was read": """
        send c1 ECHO 1 rc=0
        expect c1 ECHOED
        close c1 unheard
        send c1 START a class=race left=3000 extras=dest:0
        expect s0 nothing
        expect s1 nothing
        expect agent open 0
    """,
    "closed, waiting for a dial that succeeds": LATE_DIAL
    + """
        close c1 unheard
        wait 300
        send s0 up
        expect s0 nothing
        expect agent open 0
    """,
    "its server drains past the grace, waiting for a dial that succeeds": LATE_DIAL
    + f"""
        send bus {event(2, host(0, "draining"))}
        wait 499
        send s0 up
        expect s0 nothing
        expect s1 START a
    """,
    "its server leaves the list, waiting for a dial that never succeeds": LATE_DIAL
    + f"""
        send bus {event(2, host(0, "gone"))}
        expect s1 START a
    """,
}
TWO_CONNECTIONS = """
    send c1 START a class=race left=3000 extras=dest:0
    expect s0 START a
    send c1 START b class=race left=3000 extras=dest:0
    expect s0 START b
    send c1 START c class=race left=3000 extras=dest:0
    expect s0 START c
    send s0 FINISH a rc=16 on=c
    expect c1 nothing
"""
ANSWERED = {
    "an end that overtakes its answer, on another connection: the client gets both": TWO_CONNECTIONS
    + """
        send s0 STARTED a blob=table
        expect c1 STARTED a blob=table
        expect c1 FINISH a rc=16
        expect s0 FINISHED a
        expect s0 FINISH a rc=16
        send c1 FINISHED a
        expect agent open 2
    """,
    "an end whose answer never comes: a failure, and no further attempt": TWO_CONNECTIONS
    + """
        send s0 FINISH b rc=34
        expect s1 START b
        send s0 FINISH c rc=34
        expect s1 START c
        close s0
        expect c1 FINISH a rc=41
        expect agent open 2
        wait 600
        expect s1 nothing
    """,
    "an end whose answer never comes, the client gives up: no call is established": TWO_CONNECTIONS
    + """
        send c1 FINISH a rc=16
        expect s0 FINISH a rc=16
        expect s0 FINISHED a
        send s0 STARTED a blob=table
        expect s0 FINISH a rc=16
        expect c1 FINISHED a
        expect c1 nothing
    """,
    "a client whose third set-up is malformed gets its other answers before the close": """
        send c1 START a class=race left=3000 extras=dest:0
        expect s0 START a
        send c1 START b class=none left=3000
        expect c1 FINISH b rc=42
        send c1 START c class=none left=3000
        expect c1 FINISH c rc=42
        send c1 START d class=none left=3000
        expect c1 FINISH d rc=42
        expect c1 FINISH a rc=41
        expect c1 closed
        expect s0 FINISH a rc=16
    """,
    "a client that does not read for 2 s is closed; releases that it has sent take effect": """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        send c1 stuck
        send c1 START b class=race left=8000 extras=dest:0
        send c1 FINISH a rc=16
        wait 1999
        expect s0 nothing
        wait 2
        expect c1 FINISHED a
        expect c1 closed
        expect s0 FINISH a rc=16
        expect s0 nothing
    """,
    "a client that stops within a line gets its answers before the close": """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
        send c1 raw {"verb":
        wait 2000
        expect c1 FINISH a rc=41
        expect c1 closed
        expect s0 FINISH a rc=16
    """,
    "a second answer of another outcome some ms later: the call stays established until its end": """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        wait 5
        send s0 FINISH a rc=34
        send s0 FINISH a rc=17
        expect c1 nothing
        send s0 FINISH a rc=16
        expect c1 FINISH a rc=16
    """,
}


@pytest.mark.parametrize("name", GONE)
def test_no_attempt_starts_for_a_client_that_has_gone(name: str) -> None:
    record = platform()
    if "past the grace" in name:
        record["settings"] = {**record["settings"], "rules": {"drain-grace-ms": 100.0}}
    play(GONE[name], record)


@pytest.mark.parametrize("name", ANSWERED)
def test_one_final_answer_to_a_client_that_is_connected(name: str) -> None:
    play(ANSWERED[name], platform())


def flood(world: World, after: bytes) -> Wire:
    """Delivers the lines of one event-loop iteration, then the set-up `a`, then `after`."""
    protocol = world.reactor.factory.buildProtocol(None)
    wire = Wire(world, protocol)
    wire.other = Wire(world, world.actors["c2"])
    protocol.makeConnection(wire)
    start = Message("START", "a".zfill(16), {"class": "race", "left": "3000"}, blob="x").encode()
    wire.deliver(b'{"verb":"ECHO","tag":"0000000000000002"}\n' * LINES_PER_ITERATION + start + after)
    return wire


def started_calls(world: World) -> list[str]:
    received = world.actors["s0"].inbox + world.actors["s1"].inbox
    return [message["tag"] for message in received if message[""] == "START"]


@pytest.mark.parametrize("together", [True, False])
def test_a_give_up_behind_a_full_batch_of_lines_stops_its_set_up(together: bool) -> None:
    world = play("send c1 ECHO 1 rc=0", platform())
    give_up = Message("FINISH", "a".zfill(16), rc=16).encode()
    wire = flood(world, give_up if together else b"")
    if not together:
        assert not wire.paused  # reading goes on while lines wait, or the give-up would be missed
        wire.deliver(give_up)
    world.settle()
    assert started_calls(world) == [] and world.agent.broker.open_count == 0
    received = [(message[""], message["tag"]) for message in world.actors["c2"].inbox]
    assert received.count(("FINISHED", "a")) == 1 and ("FINISH", "a") not in received


def test_a_close_behind_a_full_batch_of_lines_stops_the_set_ups_before_it_and_not_the_releases() -> None:
    world = play(
        """
        send c1 START b class=race left=3000 extras=dest:0
        expect s0 START b
        send s0 STARTED b blob=x
        expect c1 STARTED b
    """,
        platform(),
    )
    wire = flood(world, Message("FINISH", "b".zfill(16), rc=16).encode())
    wire.protocol.connectionLost(failure(error.ConnectionLost))
    world.settle()
    assert started_calls(world) == [] and world.agent.broker.open_count == 0
    world.step("expect s0 FINISH b rc=16")


def test_a_close_is_detected_behind_unread_bytes() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        with ours:
            assert not peer_close.closed_by_peer(ours)
            client.sendall(b"unread")
            assert not peer_close.closed_by_peer(ours)
            client.close()
            # Bounded by the test's time-out; immediate on loopback.
            while not peer_close.closed_by_peer(ours):
                pass
        assert not peer_close.closed_by_peer(ours)  # this end is closed, which its owner knows
        assert not peer_close.closed_by_peer(object())


def test_a_request_that_the_decision_module_never_answers_fails_just_after_its_deadline() -> None:
    world = play("send c1 ECHO 1 rc=0", platform())
    world.agent.broker.decision_module = type("Deaf", (), {"handle": lambda self, event, now: []})()
    for line in (
        "expect c1 ECHOED",
        "send c1 START a class=race left=1000",
        "wait 1009",
        "expect c1 nothing",
        "wait 2",
        "expect c1 FINISH a rc=41",
        "expect agent open 0",
    ):
        world.step(line)
