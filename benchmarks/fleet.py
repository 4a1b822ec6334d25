"""Measures the fleet ground: `python -m benchmarks.fleet [PART ...]`. Nothing here is part of the tests.

`loss` and `size` run the real decision objects on a simulated network; the others start real processes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

from benchmarks.store import cpu_ms, memory_mb, percentile
from frostport.membership.messages import State
from standins.fleet import Rig
from standins.simulated import World

ROOT = pathlib.Path(__file__).parent.parent


# Membership on a simulated network


def whole(world: World) -> float:
    began = world.now
    while world.unagreed():
        world.run(1000.0)
    return world.now - began


def loss() -> None:
    """Deaths found and false alarms, 100 agents, three minutes."""
    for share in (0.0, 0.1, 0.3):
        world = World(100, 1, loss=share)
        world.run(2_000.0)
        together = 2_000.0 + whole(world)
        world.run(30_000.0)
        began, killed = world.now, {"a17", "a42", "a77"}
        for address in killed:
            world.stop(address)
        world.run(180_000.0)
        found: dict[str, list[float]] = {name: [] for name in killed}
        suspected, buried, heard = 0, 0, set[tuple[str, str]]()
        for when, by, told in world.told:
            if when < began or told.state not in (State.SUSPECT, State.DEAD):
                continue
            if told.name in killed and told.state is State.DEAD:
                if (by, told.name) in heard:
                    continue  # told again as it is forgotten
                heard.add((by, told.name))
                found[told.name].append((when - began) / 1000.0)
            elif told.name not in killed:
                suspected += told.state is State.SUSPECT
                buried += told.state is State.DEAD
        first = [min(times) for times in found.values() if times]
        last = [max(times) for times in found.values() if times]
        print(
            f"loss {share:.0%}: one view after {together / 1000.0:.0f} s; a death first known after "
            f"{statistics.median(first):.1f} s, to all after {statistics.median(last):.1f} s; of the "
            f"living {suspected / 97 / 3:.1f} a minute suspected, {buried / 97:.1f} in all told dead"
        )


def size() -> None:
    """Bytes and CPU a second an agent at rest."""
    for count in (10, 50, 100, 200):
        world = World(count, 1)
        whole(world)
        world.run(60_000.0)
        sent, data, began = world.sent, world.bytes, time.process_time()
        world.run(120_000.0)
        print(
            f"size {count}: {(world.sent - sent) / 120 / count:.1f} datagrams and "
            f"{(world.bytes - data) / 120 / count:.0f} bytes a second an agent (less head and digest), "
            f"{(time.process_time() - began) * 1000.0 / 120 / count:.2f} ms CPU with the simulation's own"
        )


# Real processes


async def acknowledged(rig: Rig, name: str, since: float) -> list[float]:
    return [
        line["after_ms"]
        for line in rig.records(name)
        if line["event"] == "acknowledged" and line["unix_ms"] >= since * 1000.0
    ]


async def commands(voters: int, seconds: float = 6.0) -> None:
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        async with Rig(pathlib.Path(folder), voters, voters, 1, relays=False) as rig:
            await rig.together(0) if voters > 1 else await rig.leader()
            leader = await rig.leader()
            for askers in (1, 16):
                began = time.time()

                async def ask(until: float = began + seconds) -> None:
                    while time.time() < until:
                        await rig.note(leader)

                await asyncio.gather(*(ask() for _ in range(askers)))
                await asyncio.sleep(0.5)
                waits = await acknowledged(rig, leader, began)
                print(
                    f"commands, {voters} voters, {askers} askers at the leader's door: "
                    f"{len(waits) / seconds:.0f} a second, p50 {percentile(waits, 0.5):.1f}, "
                    f"p99 {percentile(waits, 0.99):.1f} ms to commit, durable"
                )


async def without_a_leader(how: str) -> float:
    """Seconds from the fault to the next leader, by the records of one machine's clock."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        async with Rig(pathlib.Path(folder), 3, 3, 1) as rig:
            await rig.together(0)
            leader = await rig.leader()
            at = time.time() * 1000.0
            if how == "kill":
                await rig.kill(leader)
            elif how == "stall":
                rig.freeze(leader)
            else:
                rig.apart([leader])
            others = [name for name in rig.names if name != leader]
            await rig.leader(others)
            await asyncio.sleep(0.5)
            led: list[float] = [
                line["unix_ms"] - at
                for name in others
                for line in rig.records(name)
                if line["event"] == "leader" and line["unix_ms"] > at
            ]
            return min(led) / 1000.0


async def many(count: int, seconds: float = 20.0) -> None:
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        began = time.time()
        async with Rig(pathlib.Path(folder), count, 3, 1, relays=False) as rig:
            rig.patience_s = 300.0
            await rig.together(0)
            together = time.time() - began
            for _ in range(5):
                await rig.note(rig.names[-1])
            await rig.together(5)
            pids = [program.pid for program in rig.programs.values()]
            cpu = [cpu_ms(pid) for pid in pids]
            await asyncio.sleep(seconds)
            used = [(cpu_ms(pid) - before) / seconds for pid, before in zip(pids, cpu, strict=True)]
            memory = [memory_mb(pid) for pid in pids]
            false = sum(
                json.loads(line)["event"] == "member" and json.loads(line)["state"] == "dead"
                for name in rig.names
                for line in (rig.folder / f"{name}.jsonl").open()
            )
            print(
                f"many {count}: one view {together:.1f} s after the first start; at rest "
                f"{statistics.median(used):.1f} ms CPU a second (voters {max(used[:3]):.1f}), "
                f"{statistics.median(memory):.1f} MB an agent; {false} told as dead"
            )


async def catch_up(how: str, entries: int = 100_000) -> None:
    """A follower without anything, beside voters that have it all; how the doors of all answer meanwhile."""
    compact_after = 10_000 if how == "snapshot" else 10 * entries
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        async with Rig(pathlib.Path(folder), 4, 3, 1, relays=False, compact_after=compact_after) as rig:
            await rig.leader()
            await rig.note("n0")
            await rig.together(1)
            for name in rig.names:
                await rig.kill(name)
            rig.grow(entries)
            shutil.rmtree(rig.folder / "n3.fleet")
            began = time.time()
            for name in rig.voters:
                await rig.start(name)

            async def has(name: str) -> bool:
                return int((await rig.agreed(name)).get("count", "0")) > entries

            for name in rig.voters:
                await rig.until(f"{name} has applied its own", lambda name=name: has(name))  # type: ignore[misc]
            print(
                f"catch up by {how}: voters have read and applied {entries} entries of their own "
                f"{time.time() - began:.1f} s after their start"
            )
            waits: dict[str, list[float]] = {name: [] for name in rig.names}
            await rig.start("n3")
            while not await rig.ask("n3", "ready"):
                await asyncio.sleep(0.01)
            began = time.time()

            async def ask(name: str) -> None:
                while True:
                    asked = time.time()
                    await rig.ask(name, "ready")
                    waits[name].append((time.time() - asked) * 1000.0)
                    await asyncio.sleep(0.005)

            tasks = [asyncio.create_task(ask(name)) for name in rig.names]
            await rig.until("n3 has it all", lambda: has("n3"))
            took = time.time() - began
            for task in tasks:
                task.cancel()
            voters = [wait for name in rig.voters for wait in waits[name]]
            print(
                f"catch up by {how}: all of {entries} entries {took:.1f} s after the door answers; a door "
                f"meanwhile, voters: p50 {percentile(voters, 0.5):.1f}, longest {max(voters):.0f} ms; n3: "
                f"p50 {percentile(waits['n3'], 0.5):.1f}, longest {max(waits['n3']):.0f} ms"
            )


def run(*parts: Any) -> Callable[[], None]:
    def each() -> None:
        for part in parts:
            asyncio.run(part())

    return each


async def leaderless() -> None:
    for how in ("kill", "stall", "cut"):
        found = [await without_a_leader(how) for _ in range(3)]
        print(f"without a leader after a {how}: {', '.join(f'{each:.1f}' for each in found)} s")


PARTS: dict[str, Callable[[], None]] = {
    "loss": loss,
    "size": size,
    "commands": run(lambda: commands(1), lambda: commands(3), lambda: commands(5)),
    "leaderless": run(leaderless),
    "many": run(lambda: many(10), lambda: many(50)),
    "most": run(lambda: many(200)),
    "catch-up": run(lambda: catch_up("log"), lambda: catch_up("snapshot")),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], metavar="PART", help=", ".join(PARTS))
    for part in parser.parse_args().parts or PARTS:
        PARTS[part]()
        sys.stdout.flush()


if __name__ == "__main__":
    main()
