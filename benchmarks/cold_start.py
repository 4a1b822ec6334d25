"""Measures cold starts of real processes: `python -m benchmarks.cold_start [COUNT ...]`. Not a test.

Each count of agents is measured without the configuration section `startup` and with it. All processes start
at once, with a list service (50 ms of work for each request) and three lobby servers that count connections
and do not collapse. Calls follow, then a steady phase, then list service and servers go down for 10 s and
come up again. `simulated` runs the hard cases of tests/test_startup.py with 1,000 agents instead.
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

from standins.cold_site import ColdSite, LimitedServer, max_in_window
from standins.fleet import Rig
from tests import test_startup

AGENT_COUNTS = (50, 100, 200)
DOWN_S, STEADY_S = 10.0, 15.0
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class LowPriorityRig(Rig):
    """Runs agents at a lower priority than the scripted servers. Otherwise the servers' times of connections
    would show when the servers were scheduled rather than when agents connected."""

    async def start(self, name: str) -> None:
        await super().start(name)
        os.setpriority(os.PRIO_PROCESS, self.programs[name].pid, 10)


async def wait_until_all_serve(rig: Rig) -> None:
    """Waits until every agent, asked one after the other, has reported that it is ready."""
    started, waiting = time.monotonic(), list(rig.names)
    while waiting:
        if (await rig.ask(waiting[0], "ready"))[:1] == ["OK yes"]:
            waiting.pop(0)
        else:
            await asyncio.sleep(0.2)
        if time.monotonic() - started > 180.0:
            raise TimeoutError(f"{len(waiting)} agents do not serve within 180 s")


def describe_accepted(servers: dict[str, LimitedServer], since: float) -> str:
    """The connections that each server accepted since a time (Unix s), and the maximum within 100 ms."""
    descriptions = []
    for name, server in servers.items():
        accepted = [at for at in server.accepted_at if at >= since]
        descriptions.append(f"{name} {len(accepted)} ({max_in_window(accepted)} in 100 ms)")
    return ", ".join(descriptions)


def cpu_and_memory(rig: Rig) -> tuple[float, float]:
    """CPU seconds of all agents so far, and their mean resident MB."""
    cpu = memory = 0.0
    for program in rig.programs.values():
        stat = pathlib.Path(f"/proc/{program.pid}/stat").read_text(encoding="utf-8")
        fields = stat.rpartition(")")[2].split()
        cpu += (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
        memory += int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return cpu, memory / len(rig.programs)


async def measure(count: int, paced: bool) -> None:
    """Measures one count of agents; `paced`: with the configuration section `startup`."""
    site = ColdSite(1, 3, mean_gap_ms=1000.0)
    servers = site.endpoints()
    for server in servers.values():
        server.processor.max_queue_ms = float("inf")
    extra_config: dict[str, Any] = {"startup": {"agents": count}} if paced else {}
    with tempfile.TemporaryDirectory() as folder:
        rig = LowPriorityRig(
            pathlib.Path(folder), count, 3, 1, relays=False, environment=site, extra_config=extra_config
        )
        started, started_unix_s = time.monotonic(), time.time()
        async with rig:
            await wait_until_all_serve(rig)
            all_ready = time.monotonic() - started
            label = f"{count} {'with' if paced else 'without'}"
            print(
                f"{label}: all serve after {all_ready:.1f} s; {describe_accepted(servers, started_unix_s)}; "
                f"longest queue at the list service "
                f"{servers['list'].processor.longest_queue_ms / 1000.0:.1f} s; "
                f"complete lists sent {site.limited_list.complete_lists}",
                flush=True,
            )
            site.start_callers()
            await asyncio.sleep(10.0)
            set_ups, established = (
                sum(caller.set_up_count for caller in site.callers),
                len(site.observed.answer_times_ms),
            )
            unanswered = sum(len(caller.unanswered) for caller in site.callers)
            print(
                f"{label}: of {set_ups - unanswered} calls "
                f"{established / max(1, set_ups - unanswered):.4f} established",
                flush=True,
            )
            cpu_before, _ = cpu_and_memory(rig)
            answers = site.observed.answers
            await asyncio.sleep(STEADY_S)
            cpu_after, memory = cpu_and_memory(rig)
            rate = (site.observed.answers - answers) / STEADY_S
            print(
                f"{label}: steady state {(cpu_after - cpu_before) / STEADY_S / count * 1000.0:.2f} ms CPU "
                f"per second and agent, at {rate:.0f} calls per second in total; {memory:.1f} MB",
                flush=True,
            )
            for server in servers.values():
                server.go_down()
            await asyncio.sleep(DOWN_S)
            servers["list"].processor.longest_queue_ms = 0.0
            up_again_at = time.time()
            for server in servers.values():
                await server.open()
            await asyncio.sleep(25.0)
            last = {
                name: max((at - up_again_at for at in server.accepted_at if at >= up_again_at), default=0.0)
                for name, server in servers.items()
            }
            print(
                f"{label}: after {DOWN_S:.0f} s down {describe_accepted(servers, up_again_at)}; "
                f"last connection at the lobby servers after "
                f"{max(last[name] for name in last if name != 'list'):.1f} s; longest queue at the list "
                f"service {servers['list'].processor.longest_queue_ms / 1000.0:.1f} s; "
                f"complete lists sent {site.limited_list.complete_lists}; "
                f"protocol violations {len(site.observed.violations)}",
                flush=True,
            )


def run_case(job: tuple[str, int]) -> str:
    """Runs one case with one seed; returns the failure, or "" if there is none."""
    case, seed = job
    try:
        test_startup.run_scenario(case, 1000, seed)
    except AssertionError as error:
        return f"{case}, seed {seed}: {str(error)[:300]}"
    return ""


def simulated() -> None:
    """Runs every hard case of the tests with 1,000 agents on one simulated clock."""
    jobs = [(case, seed) for case in test_startup.CASES for seed in range(3)]
    with concurrent.futures.ProcessPoolExecutor() as pool:
        failures = [failure for failure in pool.map(run_case, jobs) if failure]
    print(
        f"1,000 agents, {len(jobs)} runs of {len(test_startup.CASES)} hard cases: "
        f"{len(jobs) - len(failures)} without a collapse, with all agents serving and no late drain",
        *failures,
        sep="\n",
    )


def main() -> None:
    if "simulated" in sys.argv[1:]:
        simulated()
        return
    for count in [int(argument) for argument in sys.argv[1:]] or AGENT_COUNTS:
        for paced in (False, True):
            asyncio.run(measure(count, paced))


if __name__ == "__main__":
    main()
