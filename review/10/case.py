"""Case 10: SIGHUP while an agent of a fleet is starting is dropped, and it keeps the former event bus."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig2 import core, parties
from rig2.site import Site

TOLD_S = 7.0  # protocol page: counts as told 7 s later at the latest, arrived or not
GRACE_S = 2.0  # rules.drain-grace-ms
AGENTS = 3


async def ask(door: str, call: str) -> str:
    """One call at the operators' door; empty where nothing answers."""
    host, _, port = door.rpartition(":")
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(call.encode() + b"\n")
            answer = (await reader.read()).decode()
            writer.close()
            return answer.strip()
    return ""


async def case(record: core.Record, folder: pathlib.Path, agents: list[core.Agent]) -> int:
    site = Site(record, folder, agents)
    await site.add_lobbies(2)
    names = [f"n{number}" for number in range(AGENTS)]
    gossip = [f"127.0.0.1:{core.free_port()}" for _ in names]
    for number, name in enumerate(names):
        fleet = {
            "name": "coastline",
            "key": "9f1c5a7e2b3d4860a1b2c3d4e5f60718",
            "zone": "lower-mainland",
            "gossip": gossip[number],
            "link": f"127.0.0.1:{core.free_port()}",
            "path": str(folder / f"{name}.fleet"),
            "seeds": gossip,
            "voters": names,
        }
        await site.add_agent(of=AGENTS, operator=f"127.0.0.1:{core.free_port()}", fleet=fleet)
    for agent in agents:
        await agent.wait_ready()
    await asyncio.sleep(2.0)
    agent, bus = agents[1], site.buses[1]
    if core.TROUBLE:  # a planned restart of one agent
        agent.signal(signal.SIGTERM)
        await agent.wait_end()
        agent.config["known"] = bus.begin(site.hosts())
        agent.start()
        end = time.time() + core.READY_S
        while not (answer := await ask(str(agent.config["operator"]), "ready")):
            if time.time() > end:
                raise core.NotRunError("the door of n1 does not open")
            await asyncio.sleep(0.01)
        record.note(f"n1: asked whether it is ready: {answer}")
        if answer.startswith("OK"):
            raise core.NotRunError("n1 was ready before it could be asked")
    # A new configuration moves discovery: the event numbers continue at the new address.
    moved = parties.Bus(record, bus.events, bus.held_at)
    await moved.open()
    site.buses.append(moved)
    agent.write_config(bus=f"127.0.0.1:{moved.port}")
    agent.signal(signal.SIGHUP)
    await agent.wait_ready()
    await asyncio.sleep(1.0)
    await bus.close()
    client = site.client("A", 1, agent)
    await client.connect()
    await asyncio.sleep(1.0)
    draining = site.lobbies[1]
    told = moved.publish(draining.host("draining"))
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
