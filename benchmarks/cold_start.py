"""Measures cold starts of real processes: `python -m benchmarks.cold_start [COUNT ...]`. Not a test.

Each count is played without the part and with it, one after the other: all processes at once, one list
service (50 ms an ask) and three lobby servers as stand-ins that count and do not collapse; then calls, and
calm; then all of them away for 10 s and back. `simulated` plays the tests' hard cases with 1,000 agents.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import os
import pathlib
import sys
import tempfile
import time
from typing import Any

from standins.dark_site import Costly, DarkSite, busiest
from standins.fleet import Rig
from tests import test_startup

COUNTS = (50, 100, 200)
AWAY_S, CALM_S = 10.0, 15.0
TICKS = os.sysconf("SC_CLK_TCK")


class Behind(Rig):
    """Agents give way to the stand-ins, which would else tell when they were scheduled, not who came."""

    async def start(self, name: str) -> None:
        await super().start(name)
        os.setpriority(os.PRIO_PROCESS, self.programs[name].pid, 10)


async def ready(rig: Rig) -> None:
    """Until the last agent says that it serves; a few are asked at a time."""
    began, left = time.monotonic(), list(rig.names)
    while left:
        if (await rig.ask(left[0], "ready"))[:1] == ["OK yes"]:
            left.pop(0)
        else:
            await asyncio.sleep(0.2)
        if time.monotonic() - began > 180.0:
            raise TimeoutError(f"{len(left)} never serve")


def seen(parties: dict[str, Costly], since: float) -> str:
    said = []
    for name, party in parties.items():
        accepted = [at for at in party.accepted if at >= since]
        said.append(f"{name} {len(accepted)} ({busiest(accepted)} in 100 ms)")
    return ", ".join(said)


def cost(rig: Rig) -> tuple[float, float]:
    """CPU seconds of all agents so far, and their mean resident MB."""
    cpu = memory = 0.0
    for program in rig.programs.values():
        stat = pathlib.Path(f"/proc/{program.pid}/stat").read_text(encoding="utf-8")
        fields = stat.rpartition(")")[2].split()
        cpu += (int(fields[11]) + int(fields[12])) / TICKS
        memory += int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return cpu, memory / len(rig.programs)


async def measured(count: int, part: bool) -> None:
    site = DarkSite(1, 3, gap_ms=1000.0)
    parties = site.parties()
    for party in parties.values():
        party.processor.most_ms = float("inf")
    top: dict[str, Any] = {"startup": {"agents": count}} if part else {}
    with tempfile.TemporaryDirectory() as folder:
        rig = Behind(pathlib.Path(folder), count, 3, 1, relays=False, outside=site, top=top)
        began, wall = time.monotonic(), time.time()
        async with rig:
            await ready(rig)
            all_ready = time.monotonic() - began
            label = f"{count} {'with' if part else 'without'}"
            print(
                f"{label}: all serve after {all_ready:.1f} s; {seen(parties, wall)}; "
                f"longest line at the list service {parties['list'].processor.longest_ms / 1000.0:.1f} s; "
                f"whole lists {site.costly.whole_lists}",
                flush=True,
            )
            site.call()
            await asyncio.sleep(10.0)
            asked, stand = sum(caller.count for caller in site.callers), len(site.books.waits_ms)
            out = sum(len(caller.asked) for caller in site.callers)
            print(f"{label}: of {asked - out} calls {stand / max(1, asked - out):.4f} stand", flush=True)
            before, _ = cost(rig)
            answers = site.books.answers
            await asyncio.sleep(CALM_S)
            after, memory = cost(rig)
            rate = (site.books.answers - answers) / CALM_S
            print(
                f"{label}: calm {(after - before) / CALM_S / count * 1000.0:.2f} ms CPU a second and "
                f"agent, at {rate:.0f} calls a second in all; {memory:.1f} MB",
                flush=True,
            )
            for party in parties.values():
                party.away()
            await asyncio.sleep(AWAY_S)
            parties["list"].processor.longest_ms = 0.0
            back = time.time()
            for party in parties.values():
                await party.open()
            await asyncio.sleep(25.0)
            last = {
                name: max((at - back for at in party.accepted if at >= back), default=0.0)
                for name, party in parties.items()
            }
            print(
                f"{label}: after {AWAY_S:.0f} s away {seen(parties, back)}; last at the servers after "
                f"{max(last[name] for name in last if name != 'list'):.1f} s; longest line at the list "
                f"service {parties['list'].processor.longest_ms / 1000.0:.1f} s; "
                f"whole lists {site.costly.whole_lists}; stand-ins' faults {len(site.books.faults)}",
                flush=True,
            )


def run_scenario(job: tuple[str, int]) -> str:
    case, seed = job
    try:
        test_startup.run_scenario(case, 1000, seed)
    except AssertionError as problem:
        return f"{case}, seed {seed}: {str(problem)[:300]}"
    return ""


def simulated() -> None:
    """Every hard case of the tests with 1,000 agents on one simulated clock."""
    jobs = [(case, seed) for case in test_startup.CASES for seed in range(3)]
    with concurrent.futures.ProcessPoolExecutor() as pool:
        bad = [said for said in pool.map(run_scenario, jobs) if said]
    print(
        f"1,000 agents, {len(jobs)} plays of {len(test_startup.CASES)} hard cases: {len(jobs) - len(bad)} "
        f"without a collapse, all serve, no drain heard late",
        *bad,
        sep="\n",
    )


def main() -> None:
    if "simulated" in sys.argv[1:]:
        simulated()
        return
    for count in [int(word) for word in sys.argv[1:]] or COUNTS:
        for part in (False, True):
            asyncio.run(measured(count, part))


if __name__ == "__main__":
    main()
