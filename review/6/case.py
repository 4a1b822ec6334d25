"""Case 6: the release of a call is settled by a client that the call does not belong to."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig2_core as core
from rig2_site import Site, all_stand

LIMIT_S = 8.0  # protocol page: "If no release could be sent, the limit is 8 s from its end"
AWAY_S = 3.0  # from the reset until client A comes again with its next call


async def case(record: core.Record, folder: pathlib.Path, agents: list[core.Agent]) -> int:
    site = Site(record, folder, agents)
    await site.add_lobbies(2)
    agent, _ = await site.add_agent()
    await agent.wait_ready()
    first, relay = await site.relayed("A", 1, agent)
    second = site.client("B", 2, agent)
    await first.connect()
    await second.connect()
    calls = [first.set_up(dest=number % 2) for number in range(4)]
    await all_stand([*calls, second.set_up(dest=0)])
    await asyncio.sleep(1.0)
    if core.TROUBLE:
        relay.reset()
    back = time.time() + AWAY_S
    await asyncio.sleep(1.0)
    ended = {}
    for call in calls:
        ended[call.tag] = site.standing_at(call.tag).hang_up(call.tag)
        await asyncio.sleep(0.1)
    await asyncio.sleep(back - time.time())
    if first.transport is None:
        await first.connect()
    await all_stand([first.set_up(dest=1)])
    await asyncio.sleep(max(0.0, max(ended.values()) + LIMIT_S + core.SLACK_S + 0.5 - time.time()))
    missed = 0
    for call in calls:
        limit = ended[call.tag] + LIMIT_S + core.SLACK_S
        told = [when for when in call.over if when <= limit]
        if told:
            record.note(f"{call.tag}: client A told {told[0] - ended[call.tag]:.3f} s after its end")
        else:
            missed += 1
            record.note(f"{call.tag}: client A not told within {LIMIT_S + core.SLACK_S} s: left standing")
    relay.stop()
    await site.stop()
    return core.BROKEN if missed else core.HELD


core.main(pathlib.Path(__file__).resolve().parent, case)
