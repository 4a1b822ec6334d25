"""Real processes with a store: a server drains after restarts of the agents.

The event bus counts from 1 again at each start. Guards against an agent that asks it from a number of an
earlier start, and never learns of the drain.
"""

from __future__ import annotations

import asyncio
import pathlib

from trials.checker import check
from trials.history import Event, Kind
from trials.plan import Fault, FaultKind, Plan
from trials.play import Player
from trials.server import ServerBehaviour
from trials.site import Site, Size, TrialSettings

CHANGES_BEFORE_RESTART = 3  # so that numbers of the first start are above those of the second
RESTART_S = 0.2
DRAINED_S = 9.0  # longer than the 7 s in which an event counts as told, and the grace
SETTINGS = TrialSettings(store=True)
RESTARTS = {  # by agent
    "n0": [FaultKind.AGENT_KILL],
    "n1": [FaultKind.AGENT_TERM],
    "n2": [FaultKind.AGENT_KILL] * 3,
}


async def drain_after_restarts(folder: pathlib.Path) -> list[Event]:
    """The history of three agents with stores that restart in different ways before a server drains."""
    size = Size(agents=3, servers=4, server_behaviour=ServerBehaviour(hold_s=60.0))
    site = Site(folder, 53, SETTINGS, size)
    player = Player(site, Plan(53, SETTINGS, size))

    async def restart(number: int, kinds: list[FaultKind]) -> None:
        for kind in kinds:
            await player._play_fault(Fault(0.0, kind, number, RESTART_S))

    try:
        await site.open()
        for _ in range(CHANGES_BEFORE_RESTART):
            site.publish_health("s0", "ready")
        await asyncio.sleep(1.0)
        await asyncio.gather(*(restart(number, kinds) for number, kinds in enumerate(RESTARTS.values())))
        await asyncio.sleep(1.0)
        site.publish_health("s1", "draining")
        await asyncio.sleep(DRAINED_S)
    finally:
        await site.close()
    return site.history.events


def test_a_drain_reaches_agents_that_restarted_with_a_store(tmp_path: pathlib.Path) -> None:
    events = asyncio.run(drain_after_restarts(tmp_path))
    for name, kinds in RESTARTS.items():
        starts = sum(event.kind is Kind.STARTED and event.party == name for event in events)
        assert starts == 1 + len(kinds)
    told = {
        event.party
        for event in events
        if event.kind is Kind.DELIVERED and (event.server, event.text) == ("s1", "draining")
    }
    violations = check(events, SETTINGS)
    assert (violations, told) == ([], set(RESTARTS))
