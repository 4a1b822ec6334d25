"""The ends of calls reach the clients that set them up, whichever connections are open by then."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from frostport.net.client_releases import MAX_SENDS_AT_A_TIME, PendingRelease, choose_connections
from tests.restart import PlatformRestarts
from tests.scenario import World, platform, play
from tests.test_platform import ESTABLISHED

# Two clients have a call each, and the connections of both are gone.
BOTH_RESET = (
    ESTABLISHED
    + """
        send c2 START b class=race left=3000 extras=dest:1
        expect s1 START b
        send s1 STARTED b blob=answer
        expect c2 STARTED b
        close c2
        close c1
"""
)
SCENARIOS = {
    # Guards against the end going to whoever got the number of the call's closed connection.
    "after resets each end goes to its own client, whoever connected first": BOTH_RESET
    + """
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1
        send c1 ECHO 2 rc=0
        expect c1 ECHOED 2
        send s0 FINISH a rc=16
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        send s1 FINISH b rc=41
        expect c2 FINISH b rc=41
        send c2 FINISHED b
        wait 10000
        expect c1 nothing
        expect c2 nothing
    """,
    # Guards against the end waiting for a retry, or going to a regular client rather than to its own.
    "a client that comes back after its call has ended is told at once": BOTH_RESET
    + """
        send c2 START c class=race left=3000 extras=dest:1
        expect s1 START c
        send s1 STARTED c blob=answer
        expect c2 STARTED c
        send s0 FINISH a rc=16
        expect c2 FINISH a rc=16
        wait 900
        expect c2 FINISH a rc=16
        expect c2 FINISH a rc=16
        send c1 ECHO 1 rc=0
        expect c1 ECHOED 1
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 10000
        expect c1 nothing
        expect c2 nothing
    """,
    # Guards against an end that is given up because clients that don't know the call have heard it.
    "the end is kept for a client that comes back late, and not sent to others for ever": ESTABLISHED
    + """
        close c1
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1
        send s0 FINISH a rc=16
        expect c2 FINISH a rc=16
        close c2
        wait 20000
        send c2 ECHO 2 rc=0
        expect c2 ECHOED 2
        expect c2 FINISH a rc=16
        wait 20000
        expect c2 nothing
        send c1 ECHO 3 rc=0
        expect c1 ECHOED 3
        expect c1 FINISH a rc=16
    """,
    # Guards against the confirmation of a client that doesn't know the call taking its end from its own.
    "a confirmation from another address leaves the end to the call's client": ESTABLISHED
    + """
        close c1
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1
        send s0 FINISH a rc=16
        expect c2 FINISH a rc=16
        send c2 FINISHED a
        wait 3000
        expect c2 nothing
        send c1 ECHO 2 rc=0
        expect c1 ECHOED 2
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 8000
        close c1
        send c1 ECHO 3 rc=0
        expect c1 ECHOED 3
        wait 60000
        expect c1 nothing
        expect c2 nothing
    """,
    # Guards against a made-up confirmation taking the end of a call from its client.
    "a client can't confirm an end that it was not told": """
        send c1 ECHO 1 rc=0
        expect c1 ECHOED 1
        send c1 stuck
        send s0 FINISH a rc=16
        send c2 FINISHED a
        expect c2 FINISH a rc=16
        send c1 unstuck
        expect c1 FINISH a rc=16
    """,
    # Guards against the first client that is back after a restart taking the end from one that comes later.
    "without a store the end of a call is told to a client that comes after another has confirmed it": """
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1
        send s0 FINISH a rc=16
        expect c2 FINISH a rc=16
        send c2 FINISHED a
        wait 3000
        send c1 ECHO 2 rc=0
        expect c1 ECHOED 2
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 10000
        expect c2 nothing
        expect c1 nothing
    """,
    # Guards against the end of a call from before a restart being told to one client at a time.
    "without a store the end of a call from before the start is told to every client": """
        send c1 ECHO 1 rc=0
        expect c1 ECHOED 1
        send s0 FINISH a rc=16
        expect c1 FINISH a rc=16
        send c2 ECHO 2 rc=0
        expect c2 ECHOED 2
        expect c2 FINISH a rc=16
        send s0 FINISH b rc=16
        expect c1 FINISH b rc=16
        expect c2 FINISH b rc=16
        send c2 FINISHED b
        send c2 FINISHED a
        wait 10000
        expect c1 nothing
        expect c2 nothing
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_ends_reach_their_own_clients(name: str) -> None:
    play(SCENARIOS[name], platform())


class OneAddress(World):
    """Both clients connect from one address, as behind a translator."""

    def begin(self) -> None:
        self.actors["c2"].name = "c1"
        super().begin()


def test_a_neighbour_behind_the_same_address_does_not_settle_the_end() -> None:
    # Guards against the confirmation of a client that shares the address of the call's client.
    play(
        ESTABLISHED
        + """
        close c1
        send c2 ECHO 1 rc=0
        expect c2 ECHOED 1
        send s0 FINISH a rc=16
        expect c2 FINISH a rc=16
        send c2 FINISHED a
        wait 3000
        send c1 ECHO 2 rc=0
        expect c1 ECHOED 2
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 5001
        close c1
        send c1 ECHO 3 rc=0
        expect c1 ECHOED 3
        expect c1 nothing
        expect c2 nothing
        """,
        platform(),
        OneAddress,
    )


def test_after_a_restart_with_a_store_the_end_goes_to_the_client_on_record() -> None:
    # Guards against a regular client being told the end of a call of one that has only just come back.
    play(
        ESTABLISHED
        + """
        send agent kill
        expect c1 closed
        send agent start
        send c2 START b class=race left=3000 extras=dest:1
        expect s1 closed
        expect s1 START b
        send s1 STARTED b blob=answer
        expect c2 STARTED b
        send c1 ECHO 1 rc=0
        expect c1 ECHOED 1
        send s0 FINISH a rc=16
        wait 10001
        expect c1 FINISH a rc=16
        send c1 FINISHED a
        wait 10000
        expect c2 nothing
        """,
        platform(),
        PlatformRestarts,
    )


@dataclass
class Connection:
    """A connection as `choose_connections` sees it."""

    handle: int
    host: str
    trusted: bool = True
    last_received_at: float = 0.0


def test_clients_behind_one_address_are_all_told_before_any_other() -> None:
    # Guards against the end reaching one of many clients behind an address at a time.
    count = MAX_SENDS_AT_A_TIME + 8
    own = [Connection(handle, "here", handle % 2 == 0, float(handle)) for handle in range(count)]
    others = [Connection(handle, "there", True, 1e9) for handle in range(count, count + 2)]
    release = PendingRelease(16, 0.0, "here")
    rounds: list[list[int]] = []
    for _ in range(5):
        chosen = choose_connections(release, own + others)
        rounds.append([connection.handle for connection in chosen])
        for connection in chosen:
            release.sends[connection.handle] = release.sends.get(connection.handle, 0) + 1
    assert len(rounds[0]) == MAX_SENDS_AT_A_TIME and set(rounds[0]) >= set(range(0, count, 2))
    assert sorted(rounds[0] + rounds[1]) == list(range(count))
    assert rounds[2:] == [[count], [count + 1], [count - 2]]
    assert choose_connections(PendingRelease(16, 0.0, "here", client_only=True), others) == []
