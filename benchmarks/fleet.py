"""Measures membership and the agreed log: `python -m benchmarks.fleet [PART ...]`. Not part of the tests.

`loss` and `size` run the real membership code on a simulated network; the other parts start real processes.
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
from standins.membership_simulation import SimulatedNetwork

ROOT = pathlib.Path(__file__).parent.parent


# Membership on a simulated network


def run_until_agreed(network: SimulatedNetwork) -> float:
    """Runs until all agents see each other alive; returns the simulated ms that it took."""
    started = network.now
    while network.disagreements():
        network.run(1000.0)
    return network.now - started


def loss() -> None:
    """Detection of deaths and false alarms with lost datagrams: 100 agents, three minutes."""
    for loss_share in (0.0, 0.1, 0.3):
        network = SimulatedNetwork(100, 1, loss=loss_share)
        network.run(2_000.0)
        converged_ms = 2_000.0 + run_until_agreed(network)
        network.run(30_000.0)
        started = network.now
        killed = {"a17", "a42", "a77"}
        for address in killed:
            network.stop(address)
        network.run(180_000.0)
        found: dict[str, list[float]] = {name: [] for name in killed}
        suspected = 0
        declared_dead = 0
        reports = set[tuple[str, str]]()
        for when, observer, change in network.member_changes:
            if when < started or change.state not in (State.SUSPECT, State.DEAD):
                continue
            if change.name in killed and change.state is State.DEAD:
                if (observer, change.name) in reports:
                    continue  # reported once more when the dead agent is forgotten
                reports.add((observer, change.name))
                found[change.name].append((when - started) / 1000.0)
            elif change.name not in killed:
                suspected += change.state is State.SUSPECT
                declared_dead += change.state is State.DEAD
        first = [min(times) for times in found.values() if times]
        last = [max(times) for times in found.values() if times]
        print(
            f"loss {loss_share:.0%}: converged after {converged_ms / 1000.0:.0f} s; a death first detected "
            f"after {statistics.median(first):.1f} s, by all after {statistics.median(last):.1f} s; of the "
            f"running agents {suspected / 97 / 3:.1f} per minute suspected, "
            f"{declared_dead / 97:.1f} in total declared dead"
        )


def size() -> None:
    """Bytes and CPU per second of an idle agent."""
    for count in (10, 50, 100, 200):
        network = SimulatedNetwork(count, 1)
        run_until_agreed(network)
        network.run(60_000.0)
        sent, data, started = network.sent_count, network.sent_bytes, time.process_time()
        network.run(120_000.0)
        print(
            f"size {count}: {(network.sent_count - sent) / 120 / count:.1f} datagrams and "
            f"{(network.sent_bytes - data) / 120 / count:.0f} bytes per second and agent "
            f"(without header and digest), {(time.process_time() - started) * 1000.0 / 120 / count:.2f} "
            f"ms CPU including the simulation"
        )


# Real processes


async def acknowledged(rig: Rig, name: str, since: float) -> list[float]:
    """The commit times in ms of an agent's commands since a time (Unix s)."""
    return [
        line["after_ms"]
        for line in rig.records(name)
        if line["event"] == "acknowledged" and line["unix_ms"] >= since * 1000.0
    ]


async def commands(voters: int, seconds: float = 6.0) -> None:
    """Throughput and latency of commands submitted to the leader."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        async with Rig(pathlib.Path(folder), voters, voters, 1, relays=False) as rig:
            await rig.wait_for_convergence(0) if voters > 1 else await rig.wait_for_leader()
            leader = await rig.wait_for_leader()
            for clients in (1, 16):
                started = time.time()

                async def ask(until: float = started + seconds) -> None:
                    while time.time() < until:
                        await rig.note(leader)

                await asyncio.gather(*(ask() for _ in range(clients)))
                await asyncio.sleep(0.5)
                waits = await acknowledged(rig, leader, started)
                print(
                    f"commands, {voters} voters, {clients} clients at the leader's operators' port: "
                    f"{len(waits) / seconds:.0f} per second, p50 {percentile(waits, 0.5):.1f}, "
                    f"p99 {percentile(waits, 0.99):.1f} ms to commit, durable"
                )


async def seconds_without_leader(fault: str) -> float:
    """Seconds from a fault of the leader to the election of the next, by the agents' event records."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        async with Rig(pathlib.Path(folder), 3, 3, 1) as rig:
            await rig.wait_for_convergence(0)
            leader = await rig.wait_for_leader()
            fault_ms = time.time() * 1000.0
            if fault == "kill":
                await rig.kill(leader)
            elif fault == "stall":
                rig.freeze(leader)
            else:
                rig.partition([leader])
            others = [name for name in rig.names if name != leader]
            await rig.wait_for_leader(others)
            await asyncio.sleep(0.5)
            elections_ms: list[float] = [
                line["unix_ms"] - fault_ms
                for name in others
                for line in rig.records(name)
                if line["event"] == "leader" and line["unix_ms"] > fault_ms
            ]
            return min(elections_ms) / 1000.0


async def measure_fleet(count: int, seconds: float = 20.0) -> None:
    """Time until a new fleet has converged, and the cost of idle agents."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        started = time.time()
        async with Rig(pathlib.Path(folder), count, 3, 1, relays=False) as rig:
            rig.timeout_s = 300.0
            await rig.wait_for_convergence(0)
            converged_s = time.time() - started
            for _ in range(5):
                await rig.note(rig.names[-1])
            await rig.wait_for_convergence(5)
            pids = [program.pid for program in rig.programs.values()]
            cpu = [cpu_ms(pid) for pid in pids]
            await asyncio.sleep(seconds)
            used = [(cpu_ms(pid) - before) / seconds for pid, before in zip(pids, cpu, strict=True)]
            memory = [memory_mb(pid) for pid in pids]
            false_deaths = sum(
                json.loads(line)["event"] == "member" and json.loads(line)["state"] == "dead"
                for name in rig.names
                for line in (rig.folder / f"{name}.jsonl").open()
            )
            print(
                f"many {count}: converged {converged_s:.1f} s after the first start; idle "
                f"{statistics.median(used):.1f} ms CPU per second (voters {max(used[:3]):.1f}), "
                f"{statistics.median(memory):.1f} MB per agent; {false_deaths} declared dead"
            )


async def catch_up(method: str, entries: int = 100_000) -> None:
    """Time for an agent with an empty store to catch up, and how fast operators' ports answer meanwhile."""
    compact_after = 10_000 if method == "snapshot" else 10 * entries
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        async with Rig(pathlib.Path(folder), 4, 3, 1, relays=False, compact_after=compact_after) as rig:
            await rig.wait_for_leader()
            await rig.note("n0")
            await rig.wait_for_convergence(1)
            for name in rig.names:
                await rig.kill(name)
            rig.append_entries(entries)
            shutil.rmtree(rig.folder / "n3.fleet")
            started = time.time()
            for name in rig.voters:
                await rig.start(name)

            async def has_all_entries(name: str) -> bool:
                return int((await rig.log_status(name)).get("count", "0")) > entries

            for name in rig.voters:
                await rig.wait_until(f"{name} has applied its own", lambda name=name: has_all_entries(name))  # type: ignore[misc]
            print(
                f"catch up by {method}: voters have read and applied {entries} entries of their own "
                f"{time.time() - started:.1f} s after their start"
            )
            waits: dict[str, list[float]] = {name: [] for name in rig.names}
            await rig.start("n3")
            while not await rig.ask("n3", "ready"):
                await asyncio.sleep(0.01)
            started = time.time()

            async def ask(name: str) -> None:
                while True:
                    sent = time.time()
                    await rig.ask(name, "ready")
                    waits[name].append((time.time() - sent) * 1000.0)
                    await asyncio.sleep(0.005)

            tasks = [asyncio.create_task(ask(name)) for name in rig.names]
            await rig.wait_until("n3 has it all", lambda: has_all_entries("n3"))
            elapsed = time.time() - started
            for task in tasks:
                task.cancel()
            voters = [wait for name in rig.voters for wait in waits[name]]
            print(
                f"catch up by {method}: all of {entries} entries {elapsed:.1f} s after the operators' port "
                f"answers; a port meanwhile, voters: p50 {percentile(voters, 0.5):.1f}, "
                f"longest {max(voters):.0f} ms; "
                f"n3: p50 {percentile(waits['n3'], 0.5):.1f}, longest {max(waits['n3']):.0f} ms"
            )


def in_event_loop(*parts: Any) -> Callable[[], None]:
    """A function that runs these coroutine functions one after the other."""

    def run_parts() -> None:
        for part in parts:
            asyncio.run(part())

    return run_parts


async def leaderless() -> None:
    """Prints how long three fleets each were without a leader after each kind of fault."""
    for fault in ("kill", "stall", "cut"):
        found = [await seconds_without_leader(fault) for _ in range(3)]
        print(f"without a leader after a {fault}: {', '.join(f'{seconds:.1f}' for seconds in found)} s")


PARTS: dict[str, Callable[[], None]] = {
    "loss": loss,
    "size": size,
    "commands": in_event_loop(lambda: commands(1), lambda: commands(3), lambda: commands(5)),
    "leaderless": in_event_loop(leaderless),
    "many": in_event_loop(lambda: measure_fleet(10), lambda: measure_fleet(50)),
    "most": in_event_loop(lambda: measure_fleet(200)),
    "catch-up": in_event_loop(lambda: catch_up("log"), lambda: catch_up("snapshot")),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], metavar="PART", help=", ".join(PARTS))
    for part in parser.parse_args().parts or PARTS:
        PARTS[part]()
        sys.stdout.flush()


if __name__ == "__main__":
    main()
