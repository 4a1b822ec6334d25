"""Case 9: with a store, the release of a call that stood over a kill is held back from its client."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig2_core as core
from rig2_site import Site, all_stand

SOON_S = 1.0  # protocol page: "within 1 s of the release by the lobby server or the call agent"
LIMIT_S = 8.0  # the longest time that the page allows at all: "If no release could be sent"


async def case(record: core.Record, folder: pathlib.Path, agents: list[core.Agent]) -> int:
    site = Site(record, folder, agents)
    await site.add_lobbies(2)
    store = {"path": str(folder / "n0.store"), "durability": "always", "on_failure": "refuse"}
    agent, bus = await site.add_agent(store=store)
    await agent.wait_ready()
    client = site.client("A", 1, agent)
    await client.connect()
    calls = [client.set_up(dest=number % 2) for number in range(4)]
    await all_stand(calls)
    await asyncio.sleep(1.0)
    if core.TROUBLE:
        await agent.kill()
        await asyncio.sleep(0.2)
        agent.config["known"] = bus.begin(site.hosts())
        agent.start()
        await agent.wait_ready()
        await client.connect()
    # The client is connected, and its calls are answered, from here on.
    await all_stand([client.set_up(dest=1)])
    await asyncio.sleep(2.0)
    ended = {}
    for call in calls:
        ended[call.tag] = site.standing_at(call.tag).hang_up(call.tag)
        await asyncio.sleep(0.1)
    await asyncio.sleep(max(0.0, max(ended.values()) + 13.0 - time.time()))
    late = 0
    for call in calls:
        took = call.over[0] - ended[call.tag] if call.over else float("inf")
        over = "" if took <= SOON_S + core.SLACK_S else f", over {SOON_S} s"
        if took > LIMIT_S + core.SLACK_S:
            late += 1
            over = f", over {LIMIT_S} s"
        record.note(f"{call.tag}: client A, connected, told {took:.3f} s after the server's release{over}")
    await site.stop()
    return core.BROKEN if late else core.HELD


core.main(pathlib.Path(__file__).resolve().parent, case)
