"""Measures the store: `python -m benchmarks.store [PART ...] [--against CHECKOUT]`, all parts by default.

Each part alternates between the variants that it compares within one run, because machines are noisy. Not
part of CI.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import resource
import shutil
import socket
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable

from frostport.state import records
from frostport.store.committer import ThreadWorker
from frostport.store.engine import Engine, Limits
from frostport.store.files import DiskFolder
from standins.lobby import Caller, LobbyServer, Observations, configuration

ROOT = pathlib.Path(__file__).parent.parent
ROUNDS = 5


def call_record(number: int) -> tuple[str, bytes]:
    """The record of an established call as the platform's front stores it."""
    return f"call/{number:016x}", records.encode(
        records.Standing(
            f"10.0.0.{number % 9}:5060",
            1.8e12 + number,
            "find-race",
            "studio-7",
            "10.1.2.3",
            0,
            number,
            True,
            b"table 7 of server 12",
        )
    )


def percentile(values: list[float], share: float) -> float:
    """The value at a rank of the sorted values, without interpolation; `share` is from 0 to 1."""
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def median_of(measures: list[Callable[[], float]]) -> list[float]:
    """Runs the measures in turn for several rounds; returns the median of each."""
    results: list[list[float]] = [[] for _ in measures]
    for _ in range(ROUNDS):
        for measure, values in zip(measures, results, strict=True):
            values.append(measure())
    return [statistics.median(values) for values in results]


# Durable writes per second


def engine_writes(batch: int, seconds: float = 1.0) -> float:
    """Records per second that the engine makes durable, with one sync for each `batch` records."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        engine = Engine.open(DiskFolder(pathlib.Path(folder)))
        count, end = 0, time.perf_counter() + seconds
        while time.perf_counter() < end:
            engine.append([call_record((count + at) % 5000) for at in range(batch)])
            engine.sync()
            engine.run_background_step()
            count += batch
        engine.close()
        return count / seconds


def sqlite_writes(batch: int, seconds: float = 1.0) -> float:
    """Records per second that SQLite makes durable, with one transaction for each `batch` records."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        database = sqlite3.connect(pathlib.Path(folder) / "db", isolation_level=None)
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=FULL")
        database.execute("CREATE TABLE kept (key TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
        count, end = 0, time.perf_counter() + seconds
        while time.perf_counter() < end:
            database.execute("BEGIN")
            database.executemany(
                "INSERT OR REPLACE INTO kept VALUES (?, ?)",
                [call_record((count + at) % 5000) for at in range(batch)],
            )
            database.execute("COMMIT")
            count += batch
        database.close()
        return count / seconds


def writes() -> None:
    """Compares the engine's durable writes with SQLite's."""
    for batch in (1, 64):
        ours, theirs = median_of(
            [
                lambda batch=batch: engine_writes(batch),  # type: ignore[misc]
                lambda batch=batch: sqlite_writes(batch),  # type: ignore[misc]
            ]
        )
        print(
            f"writes, {batch} per commit: {ours:,.0f} records per second, SQLite FULL (WAL) {theirs:,.0f}: "
            f"{ours / theirs:.2f} times"
        )
    grouped, single = median_of([lambda: engine_writes(64), lambda: sqlite_writes(1)])
    print(f"writes, group commit of 64 against one transaction per record: {grouped / single:.1f} times")


# Recovery


def recovery() -> None:
    """Time to open a store after a crash, with the index and from the log alone."""
    for history, live in ((10**4, 1000), (10**5, 1000), (10**6, 1000), (10**5, 10**5), (10**6, 10**6)):
        with tempfile.TemporaryDirectory(dir=ROOT) as folder:
            path = pathlib.Path(folder)
            engine = Engine.open(DiskFolder(path))
            for at in range(0, history, 200):
                engine.append([call_record((at + number) % live) for number in range(200)])
                while engine.run_background_step():
                    pass
            engine.sync()
            size = engine.total_bytes
            # The state after a SIGKILL: the store is not closed, so recovery starts at the last checkpoint.
            engine.folder.unlock()
            engine.index.close()
            times = []
            for keep_index in (True, False):
                for name in path.glob("index.db*"):
                    if not keep_index:
                        name.unlink()
                begin = time.perf_counter()
                reopened = Engine.open(DiskFolder(path))
                times.append((time.perf_counter() - begin) * 1000.0)
                assert len(reopened.recovered) == live
                reopened.folder.unlock()
                reopened.index.close()
            print(
                f"recovery, {history:,} records, {live:,} live, log {size / 1e6:.1f} MB: "
                f"{times[0]:,.1f} ms, by the log alone {times[1]:,.1f} ms"
            )


# The longest iteration of an event loop while the store's thread is working


def stall() -> None:
    """Prints the longest iterations of a loop with and without a store's thread beside it."""
    sys.setswitchinterval(ThreadWorker.SWITCH_INTERVAL_S)  # as in an agent with a store
    for live in (1000, 100_000):
        with tempfile.TemporaryDirectory(dir=ROOT) as folder:
            engine = Engine.open(DiskFolder(pathlib.Path(folder)))
            for at in range(0, live, 200):
                engine.append([call_record(at + number) for number in range(200)])
            engine.sync()
            while engine.run_background_step():
                pass
            stop = threading.Event()

            def churn(engine: Engine = engine, live: int = live, stop: threading.Event = stop) -> None:
                """Rewrites existing calls, and replaces as many old calls by new ones."""
                rng, oldest = random.Random(1), 0
                while not stop.is_set():
                    engine.append(
                        [
                            *(call_record(oldest + 16 + rng.randrange(live - 16)) for _ in range(16)),
                            *((call_record(oldest + at)[0], None) for at in range(16)),
                            *(call_record(oldest + live + at) for at in range(16)),
                        ]
                    )
                    oldest += 16
                    engine.sync()
                    for _ in range(3):
                        engine.run_background_step()

            idle_iterations_ms = loop_iterations_ms(3.0)
            before = engine.cleaned
            thread = threading.Thread(target=churn)
            thread.start()
            busy_iterations_ms = loop_iterations_ms(6.0)
            stop.set()
            thread.join()
            print(
                f"stall, {live:,} live: longest iteration {max(busy_iterations_ms):.1f} ms while "
                f"{engine.cleaned - before} segments were cleaned and {engine.checkpoints} checkpoints "
                f"written, p99.9 {percentile(busy_iterations_ms, 0.999):.2f} ms; "
                f"at rest {max(idle_iterations_ms):.1f} ms"
            )


def loop_iterations_ms(seconds: float) -> list[float]:
    """The durations in ms of the iterations of a loop that works a little and yields, like an event loop."""
    durations_ms, end = [], time.perf_counter() + seconds
    last = time.perf_counter()
    while last < end:
        sum(range(200))
        time.sleep(0.0002)
        now = time.perf_counter()
        durations_ms.append((now - last) * 1000.0)
        last = now
    return durations_ms


# The complete program, at 200 calls per second


def free_port() -> int:
    """A TCP port of 127.0.0.1 that is free now; it is not reserved."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def measure_load(
    checkout: pathlib.Path, store: dict[str, object] | None, calls_per_second: float, seconds: float
) -> tuple[list[float], float, float]:
    """Runs a checkout's program under calls. Returns answer times in ms, CPU ms per call and memory in MB."""
    observed = Observations()
    lobbies = [
        LobbyServer(f"h{number}", observed, random.Random(number), max_answer_ms=0.1, refusal_probability=0.0)
        for number in (0, 1)
    ]
    ports = [await lobby.start() for lobby in lobbies]
    port = free_port()
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        path = pathlib.Path(folder) / "config.json"
        store_config = {} if store is None else {"store": {"path": "s", **store}}
        path.write_text(json.dumps(configuration(port, ports, **store_config)), encoding="utf-8")
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "frostport",
            "serve",
            "--config",
            str(path),
            cwd=checkout,
            stderr=subprocess.DEVNULL,
        )
        callers = [
            Caller(
                number, observed, random.Random(number), lambda: port, mean_gap_ms=4000.0 / calls_per_second
            )
            for number in range(4)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        while observed.answers < 50:
            await asyncio.sleep(0.05)
        observed.answer_times_ms.clear()
        cpu, count = cpu_ms(program.pid), observed.answers
        await asyncio.sleep(seconds)
        cpu, count = cpu_ms(program.pid) - cpu, observed.answers - count
        memory = memory_mb(program.pid)
        program.terminate()
        await program.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for lobby in lobbies:
            assert lobby.server is not None
            lobby.server.close()
        assert not observed.violations, observed.violations
        return observed.answer_times_ms, cpu / count, memory


def cpu_ms(pid: int) -> float:
    """CPU time that a process has used so far, in user and system mode."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000.0 / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> float:
    """Resident memory of a process in units of 1,000,000 bytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    return pages * resource.getpagesize() / 1e6


def latency() -> None:
    """Prints answer times, CPU and memory without a store and with each durability."""
    variants = {"without": None, "always": {"durability": "always"}, "interval": {"durability": "interval"}}
    waits: dict[str, list[float]] = {name: [] for name in variants}
    costs: dict[str, list[tuple[float, float]]] = {name: [] for name in variants}
    for _ in range(3):
        for name, store in variants.items():
            times_ms, cpu, memory = asyncio.run(measure_load(ROOT, store, 200.0, 6.0))  # type: ignore[arg-type]
            waits[name] += times_ms
            costs[name].append((cpu, memory))
    for name, values in waits.items():
        cpu, memory = (statistics.median(column) for column in zip(*costs[name], strict=True))
        print(
            f"latency, 200 calls per second, {name}: p50 {percentile(values, 0.5):.2f} ms, "
            f"p99 {percentile(values, 0.99):.2f} ms; {cpu:.2f} ms CPU per call, {memory:.1f} MB"
        )


def compare_with(checkout_path: pathlib.Path) -> None:
    """Compares the program with another checkout's, without a store and with one that syncs each answer."""
    starts: dict[str, list[float]] = {"ours": [], "theirs": []}
    variants = {"ours": ROOT, "theirs": checkout_path}
    for store in (None, {"durability": "always"}):
        waits: dict[str, list[float]] = {name: [] for name in variants}
        costs: dict[str, list[tuple[float, float]]] = {name: [] for name in variants}
        for _ in range(ROUNDS):
            for name, checkout in variants.items():
                times_ms, cpu, memory = asyncio.run(measure_load(checkout, store, 200.0, 6.0))  # type: ignore[arg-type]
                waits[name] += times_ms
                costs[name].append((cpu, memory))
                if store is None:
                    begin = time.perf_counter()
                    subprocess.run(
                        [sys.executable, "-c", "import frostport.agent, frostport.cli"],
                        cwd=checkout,
                        check=True,
                    )
                    starts[name].append((time.perf_counter() - begin) * 1000.0)
        print("with a store, always:" if store else "without a store:")
        for name in variants:
            cpu, memory = (statistics.median(column) for column in zip(*costs[name], strict=True))
            spread = ", ".join(f"{cost:.3f}" for cost, _ in costs[name])
            print(
                f"  {name}: p50 {percentile(waits[name], 0.5):.2f}, p99 "
                f"{percentile(waits[name], 0.99):.2f} ms; {cpu:.3f} ms CPU per call "
                f"({spread}), {memory:.1f} MB"
            )
    print(
        f"imports: {statistics.median(starts['ours']):.0f} ms, theirs "
        f"{statistics.median(starts['theirs']):.0f}"
    )


def size() -> None:
    """Prints the disk space of the log and of the index for each live call."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        engine = Engine.open(DiskFolder(pathlib.Path(folder)), Limits(checkpoint_records=100))
        for at in range(0, 20_000, 200):
            engine.append([call_record(at + number) for number in range(200)])
        engine.close()
        log = sum(file.stat().st_size for file in pathlib.Path(folder).glob("log-*"))
        index = (pathlib.Path(folder) / "index.db").stat().st_size
        print(f"size: {log / 20_000:.0f} bytes of log and {index / 20_000:.0f} of index per live call")


PARTS: dict[str, Callable[[], None]] = {
    "writes": writes,
    "recovery": recovery,
    "stall": stall,
    "latency": latency,
    "size": size,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []], metavar="PART", help=", ".join(PARTS))
    parser.add_argument(
        "--against",
        type=pathlib.Path,
        metavar="CHECKOUT",
        help="measure the program beside this checkout's, without a store and with one",
    )
    options = parser.parse_args()
    if options.against is not None:
        compare_with(options.against.resolve())
        return
    with contextlib.suppress(KeyboardInterrupt):
        for part in options.parts or PARTS:
            PARTS[part]()
            sys.stdout.flush()


if __name__ == "__main__":
    assert shutil.disk_usage(ROOT).free > 2e9, "less than 2 GB of disk space free"
    main()
