"""Restarts of an agent with a store, with both protocols: the restored state and the messages after it."""

from __future__ import annotations

import json
import pathlib
import random
from typing import Any

import pytest

from frostport.state import records, recovery
from frostport.store.engine import Engine, Limits
from tests import diameter
from tests.restart import STORE, DiameterRestarts, PlatformRestarts
from tests.scenario import START_MS, event, host, known, platform, play

PENDING = """
    send c1 START a class=race left=8000 extras=dest:0 blob=x
    expect s0 START a
"""
ESTABLISHED = (
    PENDING
    + """
    send s0 STARTED a blob=table
    expect c1 STARTED a blob=table
"""
)
RESTART = """
    send agent kill
    expect c1 closed
    expect s0 closed
    send agent start
"""
REPEAT = "send c1 START a class=race left=8000 extras=dest:0 blob=x\n"
REPEAT_AND_GIVE_UP = (
    r'{"verb":"START","tag":"000000000000000a","opts":{"class":"race","left":"8000"},"blob":"x"}\n'
    r'{"verb":"FINISH","tag":"000000000000000a","opts":{},"rc":16}\n'
)
ANSWER_UNSENT = (
    PENDING
    + """
    send disk hold
    send s0 STARTED a blob=table
    send disk write
    expect c1 nothing
"""
    + RESTART
)
D_REPEAT = "send c1 CCR-I a dest=s0 wait=8000 key=500 T=1\n"
D_ANSWER_UNSENT = (
    """
    send c1 CCR-I a dest=s0 wait=8000 key=500
    expect s0 CCR-I a
    send disk hold
    send s0 CCA a result=2001 key=table-7
    send disk write
    expect c1 nothing
"""
    + RESTART
)
# A client that may not have received its answer gets exactly one final outcome, whatever the order of the
# server's end, the client's repeat and release, the agent's restart and the delays of its disk.
ONE_FINAL_ANSWER = {
    "the end, then the repeat: the answer, then the release": ANSWER_UNSENT
    + """
        send c1 ECHO b
        expect c1 ECHOED b
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        expect c1 nothing
        """
    + REPEAT
    + """
        expect c1 STARTED a blob=table
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 12000
        expect c1 nothing
    """,
    "the repeat, then the end": ANSWER_UNSENT
    + REPEAT
    + """
        expect c1 STARTED a blob=table
        send s0 FINISH a rc=16
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 12000
        expect c1 nothing
    """,
    "the end, another restart, then the repeat": ANSWER_UNSENT
    + """
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        send agent kill
        expect s0 closed
        send agent start
        send c1 ECHO b
        expect c1 ECHOED b
        expect c1 nothing
        """
    + REPEAT
    + """
        expect c1 STARTED a blob=table
        expect c1 FINISH a rc=16
        expect s0 FINISH a rc=16
        expect s0 nothing
    """,
    "the end waits for its record while the repeat comes": ANSWER_UNSENT
    + """
        send disk hold
        send s0 FINISH a rc=16
        """
    + REPEAT
    + """
        expect c1 STARTED a blob=table
        expect c1 nothing
        send disk free
        expect c1 FINISH a rc=16
        expect s0 FINISHED a
        expect s0 nothing
    """,
    "the end held back to its limit, then sent, then the repeat: no answer after the release": ANSWER_UNSENT
    + """
        send c1 ECHO b
        expect c1 ECHOED b
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        wait 10000
        expect c1 FINISH a rc=16
        """
    + REPEAT
    + """
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        expect c1 nothing
        """
    + REPEAT
    + """
        expect c1 FINISH a rc=41
        expect s0 nothing
    """,
    "the client's release before the end: neither is notified": ANSWER_UNSENT
    + REPEAT
    + """
        expect c1 STARTED a
        send c1 FINISH a rc=16
        expect c1 FINISHED a
        expect s0 FINISH a rc=16
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        wait 12000
        expect c1 nothing
    """,
    "the end, then the client's release without a repeat": ANSWER_UNSENT
    + """
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        send c1 FINISH a rc=16
        expect c1 FINISHED a
        wait 12000
        expect c1 nothing
        expect s0 nothing
    """,
    "another client's connection receives nothing of it meanwhile": ANSWER_UNSENT
    + """
        send c2 ECHO b
        expect c2 ECHOED b
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        wait 9000
        expect c2 nothing
        """
    + REPEAT
    + """
        expect c1 STARTED a
        expect c1 FINISH a rc=16
        expect c2 nothing
    """,
    "another set-up under the id of a call whose end is held": ANSWER_UNSENT
    + """
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        send c1 START a class=race left=8000 blob=y
        expect c1 FINISH a rc=42
        expect c1 closed
        expect s0 nothing
    """,
    "no restart, the connection broken: the end is sent at once, and nothing after it": ESTABLISHED
    + """
        close c1
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        send c1 ECHO b
        expect c1 ECHOED b
        expect c1 FINISH a rc=16
        """
    + REPEAT
    + """
        expect c1 FINISH a rc=16
        expect c1 nothing
        expect s0 nothing
    """,
    "no restart, the connection broken, the repeat before the end": ESTABLISHED
    + "close c1\n"
    + REPEAT
    + """
        expect c1 STARTED a blob=table
        send s0 FINISH a rc=16
        expect c1 FINISH a rc=16
        expect s0 FINISHED a
    """,
    "the same set-up twice on one connection is answered once": ANSWER_UNSENT
    + REPEAT
    + """
        expect c1 STARTED a
        """
    + REPEAT
    + """
        expect c1 closed
        expect agent standing 1
    """,
}
D_ONE_FINAL_ANSWER = {
    "the end, then the repeat: the answer, then the abort": D_ANSWER_UNSENT
    + """
        send c1 bare
        send c1 CER
        expect c1 CEA result=2001
        send s0 ASR a cause=1
        expect s0 ASA a
        expect c1 nothing
        """
    + D_REPEAT
    + """
        expect c1 CCA-I a result=2001 key=table-7
        expect c1 ASR a cause=1
        send c1 ASA a result=2001
        expect s0 nothing
    """,
    "the end, another restart, then the repeat": D_ANSWER_UNSENT
    + """
        send s0 ASR a cause=1
        expect s0 ASA a
        send agent kill
        expect s0 closed
        send agent start
        """
    + D_REPEAT
    + """
        expect c1 CCA-I a result=2001 key=table-7
        expect c1 ASR a cause=1
        expect s0 CCR-T a
        expect s0 nothing
    """,
    "the end held back to its limit, then sent, then the repeat: it has failed": D_ANSWER_UNSENT
    + """
        send c1 bare
        send c1 CER
        expect c1 CEA result=2001
        send s0 ASR a cause=1
        expect s0 ASA a
        wait 10000
        expect c1 ASR a cause=1
        """
    + D_REPEAT
    + """
        expect c1 CCA-I a result=5012
        expect s0 nothing
    """,
    "no restart, the connection broken: the end is sent at once, and nothing after it": """
        send c1 CCR-I a dest=s0 wait=8000 key=500
        expect s0 CCR-I a
        send s0 CCA a result=2001 key=table-7
        expect c1 CCA-I a result=2001
        close c1
        send s0 ASR a cause=1
        expect s0 ASA a
        send c1 bare
        send c1 CER
        expect c1 CEA result=2001
        expect c1 ASR a cause=1
        """
    + D_REPEAT
    + """
        expect c1 CCA-I a result=5012
        expect s0 nothing
    """,
}
KNOWN_WITHOUT_H0 = json.dumps(known(host(1)), separators=(",", ":"))
KNOWN_DRAINING = json.dumps(known(host(0, "draining"), host(1)), separators=(",", ":"))
PLATFORM = {
    "a call stays established; its client ends it at its server, and at no other": ESTABLISHED
    + RESTART
    + """
        expect agent standing 1
        send c1 FINISH a rc=16
        expect s0 FINISH a rc=16
        expect c1 FINISHED a
        expect s1 closed
        expect s1 nothing
        expect agent standing 0
    """,
    "a call stays established; its server ends it": ESTABLISHED
    + RESTART
    + """
        send c1 ECHO b
        expect c1 ECHOED b
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        wait 9999
        expect c1 nothing
        wait 1
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 10000
        expect c1 nothing
        expect agent standing 0
    """,
    "an attempt pending at the crash: released at its server, sent again after the guard alone": PENDING
    + RESTART
    + """
        expect s0 FINISH a rc=16
        send s0 FINISHED a
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        wait 499
        expect s0 nothing
        wait 100
        expect s0 START a
        send s0 STARTED a blob=table
        expect c1 STARTED a
    """,
    "killed between the record of an answer and the answer: asked again, it is given, set up once": PENDING
    + """
        send disk hold
        send s0 STARTED a blob=table
        send disk write
        expect c1 nothing
    """
    + RESTART
    + """
        expect agent standing 1
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        expect c1 STARTED a blob=table
        expect s0 nothing
        send c1 FINISH a rc=16
        expect s0 FINISH a
    """,
    "another set-up under the id of an established call is no repetition": ESTABLISHED
    + RESTART
    + """
        send c1 START a class=race left=8000 blob=y
        expect c1 FINISH a rc=42
        expect c1 closed
        expect s0 nothing
    """,
    "killed before the record of an answer: the call is released at its server": PENDING
    + """
        send disk hold
        send s0 STARTED a blob=table
        expect c1 nothing
    """
    + RESTART
    + """
        expect agent standing 0
        expect s0 FINISH a rc=16
    """,
    "a call that ended just before the crash is released at its server once more": ESTABLISHED
    + """
        send c1 FINISH a rc=16
        expect s0 FINISH a
    """
    + RESTART
    + """
        expect s0 FINISH a rc=16
        expect agent standing 0
    """,
    "a pending release to a client outlives the crash": ESTABLISHED
    + """
        close c1
        send s0 FINISH a rc=16
        expect s0 FINISHED a
        send agent kill
        expect s0 closed
        send agent start
        send c1 ECHO b
        expect c1 ECHOED b
        wait 10000
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        send agent kill
        expect c1 closed
        send agent start
        send c1 ECHO b
        expect c1 ECHOED b
        expect c1 nothing
    """,
    "a pending release to a server outlives the crash": ESTABLISHED
    + """
        close s0 silent
        wait 100
        close s0 full
        close s0
        send c1 FINISH a rc=16
        expect c1 FINISHED a
        wait 9000
        send agent kill
        send s0 alive
        send agent start
        expect s0 FINISH a rc=16
    """,
    "a server listed as draining stays draining since then, and the bus counts from 1 again": f"""
        expect bus from 1
        send bus {event(2, host(0, "draining"))}
        wait 1500
        send agent kill
        expect bus closed
        send agent start known={KNOWN_DRAINING}
        expect bus from 1
        wait 501
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        expect s1 closed
        expect s1 START a
        expect s0 closed
        expect s0 nothing
    """,
    # Guards against an agent that asks the bus from a number of an earlier start and passes over the drain.
    "a drain whose number the start before has used already": f"""
        expect bus from 1
        send bus {event(2, host(1))}
        send bus {event(3, host(1))}
        send agent kill
        expect bus closed
        send agent start
        expect bus from 1
        send bus {event(2, host(0, "draining"))}
        wait 2001
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        expect s1 closed
        expect s1 START a
        expect s0 closed
        expect s0 nothing
    """,
    "without events in the configuration the list on record serves until the bus answers": f"""
        expect bus from 1
        send bus {event(2, host(0, "draining"))}
        wait 2001
        send agent kill
        expect bus closed
        send agent start known={{"offset":0,"batch":[]}}
        expect bus from 0
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        expect s1 closed
        expect s1 START a
        send bus {event(1, host(0), whole=True)}
        send c1 START b class=race left=8000 extras=dest:1 blob=x
        expect s0 closed
        expect s0 START b
    """,
    "a server that left the list while the agent was down: its calls are over": ESTABLISHED
    + f"""
        send agent kill
        expect c1 closed
        send agent start known={KNOWN_WITHOUT_H0}
        send c1 ECHO b
        expect c1 ECHOED b
        send c1 START d class=race left=8000 extras=dest:0 blob=x
        expect s1 closed
        expect s1 START d
        send s1 STARTED d blob=x
        expect c1 STARTED d
        wait 10000
        expect c1 FINISH a rc=41
        expect agent standing 1
    """,
    "a server replaced while the agent was down: its calls are over": ESTABLISHED
    + """
        send agent kill
        expect c1 closed
        close s0 dead
        send agent start
        send c1 ECHO b
        wait 100
        expect c1 ECHOED b
        expect c1 nothing
        wait 10000
        expect c1 FINISH a rc=41
        expect agent standing 0
    """,
    "a give-up while the answer waits for its record: no answer after it": PENDING
    + """
        send disk hold
        send s0 STARTED a blob=table
        send c1 FINISH a rc=16
        expect c1 nothing
        send disk free
        expect c1 FINISHED a
        expect c1 nothing
        expect s0 FINISH a
        expect agent standing 0
    """,
    "a give-up while the set-up waits for its record: it never leaves": """
        send disk hold
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        send c1 FINISH a rc=16
        send disk free
        expect c1 FINISHED a
        expect s0 nothing
        wait 9000
        expect s0 nothing
    """,
    "a client that goes while its answer waits: the call is released": PENDING
    + """
        send disk hold
        send s0 STARTED a blob=table
        close c1
        send disk free
        expect s0 FINISH a
        expect agent standing 0
    """,
    "a repeated set-up and its give-up in one write: the established call is released": ESTABLISHED
    + RESTART
    + """
        send c1 raw """
    + REPEAT_AND_GIVE_UP
    + """
        expect c1 STARTED a
        expect s0 FINISH a rc=16
    """,
    "we close a connection with answers that wait for the disk: they leave before the close": PENDING
    + """
        send c1 START b class=race left=8000 extras=dest:1 blob=x
        expect s1 START b
        send disk hold
        send s0 STARTED a blob=table
        send c1 START c class=none left=3000
        expect c1 FINISH c rc=42
        send c1 START d class=none left=3000
        expect c1 FINISH d rc=42
        send c1 START e class=none left=3000
        expect c1 FINISH e rc=42
        send c1 START f class=race left=8000 extras=dest:1 blob=x
        expect c1 nothing
        send disk free
        expect c1 STARTED a blob=table
        expect c1 FINISH b rc=41
        expect c1 closed
        expect s1 FINISH b rc=16
        expect s1 nothing
        expect agent standing 1
    """,
    "a client that closes unnoticed while its set-up waits for the disk: nothing goes": """
        send c1 ECHO 1 rc=0
        expect c1 ECHOED
        send disk hold
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        close c1 unheard
        wait 300
        expect s0 nothing
        send disk free
        expect s0 nothing
        expect s1 nothing
    """,
    "SIGTERM with an answer that waits: it leaves before the end": PENDING
    + """
        send disk hold
        send s0 STARTED a blob=table
        send agent term
        wait 900
        expect agent phase stopping
        expect c1 nothing
        send disk free
        expect c1 STARTED a
        wait 60
        expect agent exit
    """,
    "a disk that hangs: what was taken is answered, new calls are refused until it answers": PENDING
    + """
        send disk hold
        send s0 STARTED a blob=table
        wait 999
        expect c1 nothing
        wait 1
        expect c1 STARTED a
        expect agent store stalled
        send c1 START b class=race left=8000 blob=x
        expect c1 FINISH b rc=42
        send disk free
        expect agent store open
        send c1 START c class=race left=8000 extras=dest:0 blob=x
        expect s0 START c
    """,
    "a full disk: what was taken is served, new calls are refused": PENDING
    + """
        send disk full
        send s0 STARTED a blob=table
        expect c1 STARTED a
        expect agent store failed
        send c1 START b class=race left=8000 blob=x
        expect c1 FINISH b rc=42
        send c1 FINISH a rc=16
        expect s0 FINISH a
        send agent term
        wait 1000
        expect agent exit
    """,
    "a disk that was full and has room again: the store recovers, with all changes since": PENDING
    + """
        send c1 START d class=race left=8000 extras=dest:0 blob=d
        expect s0 START d
        send s0 STARTED d blob=table-d
        expect c1 STARTED d
        send disk full
        send s0 STARTED a blob=table
        expect c1 STARTED a
        expect agent store failed
        send c1 FINISH d rc=16
        expect s0 FINISH d
        wait 1000
        expect agent store failed
        send disk roomy
        send c1 START b class=race left=8000 blob=x
        expect c1 FINISHED d
        expect c1 FINISH b rc=42
        wait 1000
        expect agent store failed
        wait 1000
        expect agent store open
        send c1 START e class=race left=8000 extras=dest:0 blob=e
        expect s0 START e
        send agent power
        send agent start
        expect agent standing 1
        expect c1 closed
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        expect c1 STARTED a blob=table
    """,
    "a clock that is set back: no guard is shortened, no drain begins anew": PENDING
    + """
        send clock -3600000
    """
    + RESTART
    + """
        expect s0 FINISH a
        send c1 START a class=race left=8000 extras=dest:0 blob=x
        wait 499
        expect s0 nothing
        wait 100
        expect s0 START a
    """,
    "power lost twice: an answered call stays established": ESTABLISHED
    + """
        send agent power
        send agent start
        send agent power
        send agent start
        expect agent standing 1
        send c1 FINISH a rc=16
        expect c1 closed
        expect c1 FINISHED a
        expect agent standing 0
    """,
}


@pytest.mark.parametrize("name", ONE_FINAL_ANSWER)
def test_one_final_answer_after_a_kill(name: str) -> None:
    play(ONE_FINAL_ANSWER[name], platform(), PlatformRestarts)


@pytest.mark.parametrize("name", D_ONE_FINAL_ANSWER)
def test_one_final_answer_after_a_kill_diameter(name: str) -> None:
    world = play(D_ONE_FINAL_ANSWER[name], diameter.config(), DiameterRestarts)
    assert isinstance(world, DiameterRestarts)
    assert list(diameter.audit(world)) == []


@pytest.mark.parametrize("name", PLATFORM)
def test_platform_restarts(name: str) -> None:
    play(PLATFORM[name], platform(), PlatformRestarts)


def test_the_bus_number_in_a_store_of_an_earlier_version_is_dropped() -> None:
    world = play("expect bus from 1\nsend agent kill\nexpect bus closed", platform(), PlatformRestarts)
    assert isinstance(world, PlatformRestarts)
    engine = Engine.open(world.folder, Limits())
    engine.append([(records.BUS, records.encode(records.Bus(7, 7, START_MS)))])
    engine.sync()
    engine.close()
    world.restart()
    world.step("expect bus from 1")
    assert world.agent.durability is not None
    assert records.BUS not in world.agent.durability.engine.locations


def test_with_serve_a_failed_store_stops_no_call() -> None:
    play(
        PENDING
        + """
        send disk full
        send s0 STARTED a blob=table
        expect c1 STARTED a
        expect agent store failed
        send c1 START b class=race left=8000 extras=dest:0 blob=x
        expect s0 START b
    """,
        {**platform(), "store": {**STORE, "on_failure": "serve"}},
        PlatformRestarts,
    )


@pytest.mark.parametrize("durability", ["interval", "none"])
def test_without_always_an_answer_does_not_wait_and_sigkill_loses_nothing_written(durability: str) -> None:
    play(
        PENDING
        + """
        send s0 STARTED a blob=table
        send disk hold
        expect c1 STARTED a
        send disk free
        wait 200
    """
        + RESTART
        + """
        expect agent standing 1
    """,
        {**platform(), "store": {**STORE, "durability": durability}},
        PlatformRestarts,
    )


D_PENDING = """
    send c1 CCR-I a dest=s0 wait=8000 key=500
    expect s0 CCR-I a
"""
D_ESTABLISHED = (
    D_PENDING
    + """
    send s0 CCA a result=2001 key=table-7
    expect c1 CCA-I a result=2001 key=table-7
"""
)
D_RESTART = """
    send agent kill
    expect c1 closed
    expect s0 closed
    send agent start
"""
DIAMETER = {
    "a set-up repeated after a restart gets the recorded answer, and is set up once": D_ESTABLISHED
    + D_RESTART
    + """
        send c1 CCR-I a dest=s0 wait=8000 key=500 T=1
        expect c1 CCA-I a result=2001 key=table-7
        expect s0 nothing
    """,
    "killed between record and answer: the repetition gets it": D_PENDING
    + """
        send disk hold
        send s0 CCA a result=2001 key=table-7
        send disk write
        expect c1 nothing
    """
    + D_RESTART
    + """
        send c1 CCR-I a dest=s0 wait=8000 key=500 T=1
        expect c1 CCA-I a result=2001 key=table-7
        expect s0 nothing
    """,
    "a termination after a restart reaches the server that holds the session; repeated, it is known": (
        D_ESTABLISHED
    )
    + D_RESTART
    + """
        send c1 CCR-T a id=77
        expect s0 CCR-T a
        expect s1 closed
        expect s1 nothing
        send agent kill
        expect s0 closed
        expect c1 closed
        send agent start
        expect s0 CCR-T a
        send c1 CCR-T a id=77 T=1
        expect c1 nothing
        expect agent answered CCA-T 2001
        send c1 CCR-T a id=78
        expect agent answered CCA-T 5002
    """,
    "a server ends a session after the restart": D_ESTABLISHED
    + D_RESTART
    + """
        send c1 bare
        send c1 CER
        send s0 ASR a cause=1
        expect c1 CEA result=2001
        expect s0 ASA a result=2001
        wait 9999
        expect c1 nothing
        wait 1
        expect c1 ASR a cause=1
    """,
    "a client that goes while its answer waits: the session is ended": D_PENDING
    + """
        send disk hold
        send s0 CCA a result=2001 key=table-7
        close c1
        send disk free
        expect s0 CCR-T a
        expect agent standing 0
    """,
    "a refusal is on record, too": """
        send c1 CCR-I a dest=s0 wait=8000 key=500
        expect s0 CCR-I a
        send s0 CCA a result=5012
        expect s1 CCR-I a
        send s1 CCA a result=5012
        expect s0 CCR-I a
        send s0 CCA a result=5012
        expect s1 CCR-I a
        send s1 CCA a result=5012
        expect c1 CCA-I a result=5012
    """
    + D_RESTART
    + """
        send c1 CCR-I a dest=s0 wait=8000 key=500 T=1
        expect c1 CCA-I a result=5012
        expect s0 nothing
    """,
    "an attempt pending at the crash is ended at its server, and set up again after the guard": D_PENDING
    + D_RESTART
    + """
        expect s0 CCR-T a
        send s0 CCA-T a result=2001
        send c1 CCR-I a dest=s0 wait=8000 key=500 T=1
        wait 499
        expect s0 nothing
        wait 100
        expect s0 CCR-I a
    """,
    "a server that has started anew while the agent was down has lost its sessions": D_ESTABLISHED
    + """
        send agent kill
        expect c1 closed
        expect s0 closed
        send s0 state=2
        send c1 bare
        send agent start
        send c1 CER
        expect c1 CEA result=2001
        wait 10000
        expect c1 ASR a cause=4
        expect agent standing 0
    """,
    "a server that does not come back in time has lost its sessions": D_ESTABLISHED
    + """
        send agent kill
        expect c1 closed
        close s0 dead
        send agent start
        wait 6900
        expect agent standing 1
        wait 1050
        expect agent standing 0
        send c1 bare
        send c1 CER
        expect c1 CEA result=2001
        wait 10000
        expect c1 ASR a cause=4
    """,
}


class AnswerChecks(DiameterRestarts):
    """Adds a step that checks answers to terminations in the log, as DiameterActor puts none in its inbox."""

    def step(self, line: str) -> None:
        match line.split():
            case ["expect", "agent", "answered", name, result]:
                answers = [entry[3] for entry in self.log if entry[2] == "received" and entry[3][""] == name]
                assert answers and answers[-1].get("result") == result, answers[-1:]
            case _:
                super().step(line)


@pytest.mark.parametrize("name", DIAMETER)
def test_diameter_restarts(name: str) -> None:
    world = play(DIAMETER[name], diameter.config(), AnswerChecks)
    assert isinstance(world, AnswerChecks)
    assert list(diameter.audit(world)) == []


def test_the_state_id_stays_while_the_sessions_do() -> None:
    world = play("wait 5000\nsend agent kill\nsend agent start", diameter.config(), DiameterRestarts)
    assert world.agent.side.identity.state_id == 1_800_000_000  # type: ignore[union-attr]


def test_a_budget_spent_before_the_crash_stays_spent(tmp_path: pathlib.Path) -> None:
    """Three set-ups within a budget of two a second and a burst of two, with a crash in between."""
    description = {
        "asyncapi": "3.0.0",
        "operations": {
            "ask": {
                "x-frostport-contract": {
                    "class": "race",
                    "aim_ms": 1500,
                    "deadline_ms": 9000,
                    "attempts": 4,
                    "set_ups_per_second": 2,
                }
            }
        },
    }
    (tmp_path / "race.json").write_text(json.dumps(description), encoding="utf-8")
    script = """
        send c1 START a class=race left=8000 tenant=t1 extras=dest:0 blob=x
        expect s0 START a
        send c1 START b class=race left=8000 tenant=t1 extras=dest:0 blob=x
        expect s0 START b
        send agent kill
        expect s0 closed
        expect c1 closed
        send agent start
        expect s0 FINISH a
        expect s0 FINISH b
        send c1 START c class=race left=8000 tenant=t1 extras=dest:0 blob=x
        expect c1 FINISH c rc=42
        send c1 START d class=race left=8000 tenant=t2 extras=dest:0 blob=x
        expect s0 START d
        wait 500
        send c1 START e class=race left=8000 tenant=t1 extras=dest:0 blob=x
        expect s0 START e
    """
    play(script, {**platform(), "contracts": [str(tmp_path / "race.json")]}, PlatformRestarts)


def test_what_no_longer_counts_is_dropped_and_a_clock_set_back_moves_all_times() -> None:
    now = 1e9
    kept: dict[str, records.Record] = {
        "call/old": records.Standing(
            "s0", now - recovery.MAX_CALL_AGE_MS - 1, "race", "t", "c", 0, 0, True, b""
        ),
        "call/new": records.Standing("s0", now - 5000, "race", "t", "c", 0, 0, True, b""),
        "call/over": records.Over("stands", "s0", now - 61_000, 0.0, "c", 0, -1, 0.0, b""),
        "call/late": records.Over("stands", "s0", now - 1000, now + 100, "c", 0, -1, 0.0, b""),
        "owed/x": records.Owed("c", "ok", now - 61_000),
        "budget/t\0race": records.Bucket(1.5, now - 10),
    }
    values = {key: records.encode(record) for key, record in kept.items()}
    restored = recovery.restore(values, now, 500.0)
    assert set(restored.expired_keys) == {"call/old", "call/over", "owed/x"}
    assert restored.established.keys() == {"new"} and list(restored.releases) == [("s0", "late")]
    earlier = recovery.restore(values, now - 1e6, 500.0)
    assert earlier.clock_set_back_ms == 1e6 - 10
    assert earlier.established["new"].at == now - 5000 - earlier.clock_set_back_ms
    assert earlier.over["late"].not_before == now + 100 - earlier.clock_set_back_ms
    assert earlier.budgets["t", "race"] == (1.5, now - 10 - earlier.clock_set_back_ms)


def test_a_drain_keeps_its_old_time_and_what_is_dropped_leaves_the_store() -> None:
    world = play(
        f"""
        send bus {event(2, host(0, "draining"))}
        wait 1500
        send c1 START a class=race left=8000 extras=dest:1 blob=x
        send c1 FINISH a rc=16
        wait 100
        send agent kill
        send clock 200000
        send agent start known={KNOWN_DRAINING}
        wait 1
    """,
        platform(),
        PlatformRestarts,
    )
    listed = world.agent.rules.servers["h0"]
    assert listed.closed_since_ms == START_MS
    assert world.agent.durability is not None
    assert not [key for key in world.agent.durability.engine.locations if key.startswith("call/")]


def test_a_record_of_a_later_version_is_named() -> None:
    with pytest.raises(records.BadRecordError, match="'call/a'"):
        recovery.restore({"call/a": b"\xc1"}, 0.0, 500.0)
    with pytest.raises(records.BadRecordError, match="unknown table 'tomorrow/'"):
        recovery.restore({"tomorrow/a": b"\x90"}, 0.0, 500.0)


# Random runs


PROTOCOLS: dict[str, dict[str, str]] = {
    "platform": {
        "ask": "START {} class=race left=8000 extras=dest:{} blob=x",
        "asked": "START",
        "stands": "STARTED {} blob=t",
        "busy": "FINISH {} rc=34",
        "fault": "FINISH {} rc=47",
        "end": "FINISH {} rc=16",
        "release": "FINISH {} rc=16",
        "released": "FINISH",
        "release answer": "FINISHED {}",
        "answer": "STARTED",
        "refusal": "FINISH",
        "over": "FINISH",
        "over answer": "FINISHED {}",
    },
    "diameter": {
        "ask": "CCR-I {} dest=s{} wait=8000 key=500",
        "asked": "CCR-I",
        "stands": "CCA {} result=2001",
        "busy": "CCA {} result=3004",
        "fault": "CCA {} result=5012",
        "end": "ASR {} cause=1",
        "release": "CCR-T {}",
        "released": "CCR-T",
        "release answer": "CCA-T {} result=2001",
        "answer": "CCA-I",
        "refusal": "CCA-I",
        "over": "ASR",
        "over answer": "ASA {} result=2001",
    },
}


class RandomRun:
    """Clients and servers that act at random as their protocol allows, and check what they receive."""

    def __init__(self, protocol: str, seed: int) -> None:
        self.rng = random.Random(f"{protocol} {seed}")
        self.messages = PROTOCOLS[protocol]
        record: dict[str, Any] = platform() if protocol == "platform" else diameter.config()
        world_class = PlatformRestarts if protocol == "platform" else DiameterRestarts
        self.world = world_class({**record, "chance": seed})
        # By server and call: "out" (unanswered), "lost" (unanswered, connection closed) or "stands".
        self.held: dict[str, dict[str, str]] = {"s0": {}, "s1": {}}
        self.waiting: dict[str, str] = {}  # unanswered calls and their clients
        self.established: dict[str, str] = {}  # calls that their clients know as established
        self.uncertain: set[str] = set()  # calls whose client lost its connection before the answer
        self.failed: set[str] = set()  # calls that ended before they were answered
        self.ended: set[str] = set()  # calls that their server has ended; their client has to be notified
        self.resend_at: dict[str, float] = {}  # when a call may be set up again at a server, ms
        self.count = self.kills = 0

    def send(self, who: str, kind: str, *fields: str) -> None:
        """Sends a message of PROTOCOLS, then handles what the agent has sent in response."""
        self.world.step(f"send {who} " + self.messages[kind].format(*fields))
        self.receive()

    def receive(self) -> None:
        """Checks and handles messages until no client or server has any left."""
        while any(actor.inbox for actor in self.world.actors.values()):
            for name, actor in self.world.actors.items():
                received = actor.inbox
                actor.inbox = []
                for message in received:
                    if name in self.held:
                        self.at_server(name, message)
                    elif name in ("c1", "c2"):
                        self.at_client(name, message)

    def at_server(self, name: str, message: dict[str, str]) -> None:
        verb = message[""]
        call = message.get("tag", "")
        if verb == "closed" and self.messages["asked"] == "START":
            # Its pending set-ups go on; each is answered on a later connection, and released there.
            for lost in [lost for lost, how in self.held[name].items() if how == "out"]:
                self.held[name][lost] = "lost"
                self.resend_at[lost] = self.world.clock.at + 500.0
        elif verb == self.messages["asked"]:
            holders = [server for server, calls in self.held.items() if calls.get(call, "lost") != "lost"]
            assert not holders, f"{call} set up at {name} while at {holders}"
            assert self.world.clock.at >= self.resend_at.get(call, 0.0), f"{call} set up again too early"
            self.held[name][call] = "out"
        elif verb == self.messages["released"]:
            if self.held[name].pop(call, "") == "out":
                self.resend_at[call] = self.world.clock.at + 500.0
            self.world.step(f"send {name} " + self.messages["release answer"].format(call))

    def at_client(self, name: str, message: dict[str, str]) -> None:
        verb = message[""]
        call = message.get("tag", "")
        if verb == "closed":
            for waiting in [waiting for waiting, client in self.waiting.items() if client == name]:
                del self.waiting[waiting]
                self.uncertain.add(waiting)
        elif call in self.waiting and verb in (self.messages["answer"], self.messages["refusal"]):
            assert self.waiting.pop(call) == name
            if verb == self.messages["answer"] and message.get("result", "2001") == "2001":
                assert call not in self.failed, f"{call} was over before its answer"
                self.established[call] = name
        elif verb == self.messages["over"]:
            if call in self.waiting:
                self.failed.add(call)  # no success may follow
            if call in self.established:
                assert call in self.ended or self.kills, f"{call} is over, and nobody ended it"
            self.established.pop(call, None)
            self.uncertain.discard(call)
            self.world.step(f"send {name} " + self.messages["over answer"].format(call))
        else:
            assert verb not in (self.messages["answer"],), f"{name} received {message} unasked"

    def step(self) -> None:
        """Does one action, drawn at random; nothing if it is not possible now."""
        rng = self.rng
        held = [(server, call, how) for server, calls in self.held.items() for call, how in calls.items()]
        out = [(server, call) for server, call, how in held if how != "stands"]
        match rng.choices(
            ("ask", "answer", "release", "end", "kill", "again", "wait", "disk"), (6, 6, 2, 1, 1, 2, 4, 1)
        )[0]:
            case "ask":
                self.count += 1
                call = f"{self.count:x}"
                client = rng.choice(("c1", "c2"))
                self.waiting[call] = client
                self.send(client, "ask", call, str(rng.randrange(2)))
            case "answer" if out:
                server, call = rng.choice(out)
                kind = rng.choices(("stands", "busy", "fault"), (6, 1, 1))[0]
                kind = "stands" if self.held[server][call] == "lost" else kind
                if kind == "stands":
                    self.held[server][call] = "stands"
                else:
                    del self.held[server][call]
                self.send(server, kind, call)
            case "release" if self.established:
                call, client = rng.choice(sorted(self.established.items()))
                del self.established[call]
                self.send(client, "release", call)
            case "end":
                established = [(server, call) for server, call, how in held if how == "stands"]
                if established:
                    server, call = rng.choice(established)
                    del self.held[server][call]
                    self.ended.add(call)
                    self.send(server, "end", call)
            case "kill":
                self.kills += 1
                self.world.step("send agent " + rng.choice(("kill", "power")))
                self.receive()
                self.world.clock.at += rng.choice((5.0, 300.0, 2000.0))
                self.world.step("send agent start")
                self.receive()
                self.wait(1200.0)
            case "again" if self.uncertain:
                call = rng.choice(sorted(self.uncertain))
                client = rng.choice(("c1", "c2"))
                if client == self.repeating_client(call):
                    self.uncertain.discard(call)
                    self.waiting[call] = client
                    self.send(client, "ask", call, "0")
            case "disk":
                self.world.step("send disk hold")
                for _ in range(rng.randrange(3)):
                    self.step()
                self.world.step("send disk free")
                self.receive()
            case _:
                self.wait(rng.choice((1.0, 200.0, 3000.0)))

    def repeating_client(self, call: str) -> str:
        """Returns the only client that may repeat the set-up of this call."""
        return "c1" if int(call, 16) % 2 else "c2"

    def wait(self, ms: float) -> None:
        while ms > 0.0:
            self.world.step(f"wait {min(ms, 50.0)}")
            self.receive()
            ms -= 50.0

    def end(self) -> None:
        """Releases all calls known to clients; servers may then hold only calls that no client knows of."""
        self.wait(12_000.0)
        assert not self.waiting, f"{self.waiting} were never answered"
        for call, client in sorted(self.established.items()):
            self.send(client, "release", call)
        self.wait(1000.0)
        for server, calls in self.held.items():
            for call in [call for call, how in calls.items() if how == "lost"]:
                calls[call] = "stands"
                self.send(server, "stands", call)
        left = {call: how for calls in self.held.values() for call, how in calls.items()}
        assert left.keys() <= self.uncertain and "out" not in left.values(), f"{left} left at servers"
        for server, calls in self.held.items():
            for call in list(calls):
                del calls[call]
                self.send(server, "end", call)
        self.wait(100.0)
        agent = self.world.agent
        assert not agent.broker.requests and not agent.broker.open_count
        assert agent.rules.violations.total() == 0
        self.wait(130_000.0)
        self.waiting["ffff"] = "c1"  # another call expires the ids of calls that ended long ago
        self.send("c1", "ask", "ffff", "0")
        self.wait(10_000.0)
        assert agent.durability is not None
        tables = ("call/", "owed/", "release/")
        kept = [key for key in agent.durability.engine.locations if key.startswith(tables)]
        assert len(kept) <= 2, f"{kept} are never forgotten"


@pytest.mark.parametrize("protocol", PROTOCOLS)
@pytest.mark.parametrize("seed", range(30))
def test_random_runs(protocol: str, seed: int) -> None:
    run = RandomRun(protocol, seed)
    for _ in range(60):
        run.step()
    run.end()
