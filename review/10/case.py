"""Case 10: after a kill, an agent with a store asks the event bus for the numbers of its former start."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig2_core as core
from rig2_site import Site

TOLD_S = 7.0  # protocol page: counts as told 7 s later at the latest, arrived or not
GRACE_S = 2.0  # rules.drain-grace-ms


async def case(record: core.Record, folder: pathlib.Path, agents: list[core.Agent]) -> int:
    site = Site(record, folder, agents)
    await site.add_lobbies(4)
    store = {"path": str(folder / "n0.store"), "durability": "always", "on_failure": "refuse"}
    agent, bus = await site.add_agent(listed=2, store=store)
    await agent.wait_ready()
    client = site.client("A", 1, agent)
    await client.connect()
    client.set_up(dest=0)
    await asyncio.sleep(0.5)
    bus.publish(site.lobbies[2].host())  # events 2 and 3: further servers are in service
    await asyncio.sleep(0.5)
    bus.publish(site.lobbies[3].host())
    await asyncio.sleep(1.5)
    if core.TROUBLE:
        await agent.kill()
        await asyncio.sleep(0.2)
        # A new start: `known` holds the events up to now, and their numbers count from 1 again.
        agent.config["known"] = bus.begin(site.hosts())
        agent.start()
        await agent.wait_ready()
        await client.connect()
    await asyncio.sleep(1.0)
    draining = site.lobbies[1]
    told = bus.publish(draining.host("draining"))
    limit = told + TOLD_S + GRACE_S + core.SLACK_S
    while time.time() < limit + 4.0:
        client.set_up(dest=1)
        await asyncio.sleep(0.25)
    late = [attempt for attempt in draining.attempts if attempt.at > limit]
    for attempt in late:
        record.note(f"s-1: set-up {attempt.tag} {attempt.at - told:.3f} s after the bus held that it drains")
    await site.stop()
    return core.BROKEN if late else core.HELD


core.main(pathlib.Path(__file__).resolve().parent, case)
