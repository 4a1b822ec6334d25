"""What the agent holds for its clients is bounded in bytes, on both fronts."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from frostport.core.clock import ManualClock
from frostport.core.deadlines import Deadlines
from frostport.diameter.ended_sessions import MAX_ENDED_BYTES, EndedSessions
from frostport.net.client_connection import ClientConnection
from tests import diameter, test_diameter, test_platform
from tests.diameter import DiameterActor, DiameterWorld
from tests.scenario import Actor, World, platform, play

MEMORY_MB = 4.0
HELD_BYTES = 1024 * 1024  # a quarter of it, README: "a quarter of `limits.memory_mb`"
CROWD = 24
FRONTS = ("platform", "diameter")


def world_of(front: str) -> World:
    """An agent with little memory; where the front has peers, the members of the crowd are configured."""
    record: dict[str, Any] = platform() if front == "platform" else diameter.config()
    record["limits"] = {"sockets": 128, "memory_mb": MEMORY_MB}
    if front == "platform":
        return play("expect c1 nothing", record)
    record["diameter"]["clients"] += [f"c{number}" for number in range(10, 10 + CROWD)]
    return play("expect c1 nothing", record, DiameterWorld)


def crowd(world: World) -> list[Actor]:
    """Many clients, connected."""
    kind = DiameterActor if isinstance(world, DiameterWorld) else Actor
    found = [kind(world, f"c{number}") for number in range(10, 10 + CROWD)]
    for actor in found:
        world.accept(actor)
    world.settle()
    return found


def set_up(world: World, number: int, blob_bytes: int = 3) -> str:
    """The text of a set-up, as the actors of this world send it."""
    if isinstance(world, DiameterWorld):
        data = "78" * blob_bytes
        return f"CCR-I {number:016x} wait=9000 with=70000:0:{data}"
    return f"START {number:016x} class=race left=3000 blob={'x' * blob_bytes}"


def test_an_established_call_does_not_hold_its_description() -> None:
    # Guards against descriptions of 16 KiB that are held for as long as calls stand, and never sent again.
    for world in (
        play(test_platform.ESTABLISHED, platform()),
        play(test_diameter.ESTABLISHED, diameter.config(), DiameterWorld),
    ):
        (request,) = world.agent.broker.requests
        assert len(request.description) == 0


@pytest.mark.parametrize("front", FRONTS)
def test_large_set_ups_of_many_clients_stay_within_the_limit(front: str) -> None:
    # Guards against a process that is killed for its memory because many clients send large set-ups at once.
    world = world_of(front)
    clients = crowd(world)
    for number in range(20 * CROWD):
        clients[number % CROWD].send(set_up(world, number + 256, 12_000))
    world.settle()
    broker = world.agent.broker
    assert sum(len(request.description) for request in broker.requests) <= HELD_BYTES
    assert 0 < world.agent.gate.buffers.total <= HELD_BYTES
    # A usual client still has room.
    world.step(f"send c2 {set_up(world, 1)}")
    assert broker.find_request(f"{1:016x}") is not None
    for actor in clients:
        actor.close("")
    world.step("close c2")
    world.wait(70_000.0)
    assert world.agent.gate.buffers.total == 0 and not broker.open_count


@pytest.mark.parametrize("front", FRONTS)
def test_input_of_many_clients_that_do_not_read_stays_within_the_limit(front: str) -> None:
    # Guards against lines and messages that wait, in part or whole, behind many clients that read nothing.
    world = world_of(front)
    clients = crowd(world)
    world.step(f"send c2 {set_up(world, 1)}")
    for actor in clients:
        actor.wires[0].other.producer.pauseProducing()
    text = set_up(world, 2, 15_000)
    for _ in range(4):
        for actor in clients:
            if actor.wires:
                actor.wires[0].write(actor.encode(text))
        world.settle()
    for actor in clients:
        if actor.wires:
            actor.wires[0].write(actor.encode(text)[:-100])
    world.settle()
    held = sum(len(line) for conn in world.agent.side.front.connections for line in waiting(conn))
    assert held <= HELD_BYTES and world.agent.gate.buffers.total <= HELD_BYTES
    assert world.actors["c2"].wires, "a usual client was closed"


MANY_FIELDS = '"class":"race","left":"3000",' + ",".join(f'"{number:x}":1' for number in range(1500))
MANY_PAIRS = ";".join(f"{number:x}:1" for number in range(1500))


@pytest.mark.parametrize(
    "step",
    [
        f'c1 raw {{"verb":"START","tag":"{10:016x}","opts":{{{MANY_FIELDS}}},"blob":"x"}}\\n',
        f"c1 START a class=race left=3000 extras={MANY_PAIRS}",
        f"c1 START a class=race left=3000;{MANY_PAIRS}",
    ],
    ids=["fields", "extras", "left"],
)
def test_a_set_up_of_very_many_short_fields_is_refused(step: str) -> None:
    # Guards against set-ups each of which takes the time of a hundred others, while usual clients wait.
    play(f"send {step}\nexpect c1 FINISH a rc=42\nexpect s0 nothing\nexpect s1 nothing", platform())


def test_a_message_of_very_many_avps_is_refused() -> None:
    # The same on the other front.
    play(
        """
        send c1 CCR-I a dest=s0 wait=3000 many=100
        expect s0 CCR-I a
        send c1 CCR-I b dest=s0 wait=3000 many=1500
        expect c1 CCA b result=5012
        expect s0 nothing
        """,
        diameter.config(),
        DiameterWorld,
    )


@pytest.mark.parametrize("junk", [b"\n", b" \r\n", b"x\n"], ids=["blank", "spaces", "short"])
def test_lines_that_can_be_no_message_are_not_kept(junk: bytes) -> None:
    # Guards against lines of a byte or none, each an object that waits, and against the time that they take.
    world = play("send c1 ECHO 1 rc=0", platform())
    (connection,) = world.agent.side.front.connections
    assert isinstance(connection, ClientConnection)
    assert len(connection.splitter.feed(junk * 20_000)) <= 1
    world.step("send c2 ECHO 1 rc=0")
    world.step("expect c2 ECHOED 1")
    world.actors["c2"].wires[0].write(junk * 20_000)
    world.settle()
    world.step("expect c2 closed")


def test_a_few_blank_lines_are_passed_over() -> None:
    play("send c1 raw \\n\\r\\n\\n\nsend c1 ECHO 1 rc=0\nexpect c1 ECHOED 1", platform())


def test_cancelled_deadlines_are_not_kept_until_their_time() -> None:
    # Guards against set-ups that are given up at once and leave their deadlines behind for up to 90 s.
    ran: list[float] = []
    deadlines = Deadlines()
    for number in range(10_000):
        deadlines.set(90_000.0 + number, lambda: ran.append(0.0)).cancel()
    kept = [deadlines.set(at, partial(ran.append, at)) for at in (3.0, 1.0, 2.0)]
    kept[2].cancel()
    kept[2].cancel()
    assert len(deadlines._heap) < 200 and len(deadlines) == 2
    deadlines.run(100_000.0)
    assert ran == [1.0, 3.0] and not len(deadlines)


def test_sessions_of_ended_calls_are_kept_for_a_time_and_within_their_limit() -> None:
    # Guards against refusals at full speed, each of whose sessions is kept for a minute, with a timer.
    clock = ManualClock(0.0)
    deadlines = Deadlines()
    forgotten: list[str] = []
    ended = EndedSessions[int](clock, deadlines, lambda call, session: forgotten.append(call))
    for number in range(20_000):
        ended.add(str(number), number, 1024, clock.now())
        ended.add(str(number), number, 1024, clock.now())
    kept = len(ended)
    assert kept * 1024 == ended.total_bytes <= MAX_ENDED_BYTES < (kept + 1) * 1024
    assert forgotten == [str(number) for number in range(20_000 - kept)] and len(deadlines) == 1
    clock.at = 1_000.0
    ended.add("late", 0, 100, clock.now())
    clock.at = 60_000.0
    deadlines.run(clock.now())
    assert len(ended) == 1 and ended.total_bytes == 100
    clock.at = 61_000.0
    deadlines.run(clock.now())
    assert forgotten[-1] == "late" and not ended.total_bytes and not len(deadlines)


def test_a_session_id_that_is_too_long_is_refused() -> None:
    # Guards against ids of up to 64 KiB, which are remembered after their calls are over.
    play(
        f"""
        send c1 CCR-I {"a" * 512} dest=s0 wait=3000
        expect s0 CCR-I {"a" * 512}
        send c1 CCR-I {"b" * 513} dest=s0 wait=3000
        expect c1 CCA {"b" * 513} result=5014
        send c1 CCR-T {"b" * 513}
        expect c1 CCA {"b" * 513} result=5014
        expect s0 nothing
        """,
        diameter.config(),
        DiameterWorld,
    )


def waiting(connection: Any) -> list[bytes]:
    """The lines or messages that a connection has read and not handled."""
    if hasattr(connection, "_pending_lines"):
        return [line[0] for line in connection._pending_lines]
    return list(connection._pending_frames)
