"""A flood of connections against the real program under a lowered descriptor limit.

Known clients connect from other addresses of 127.0.0.0/8 than the flood, and must be served throughout.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import resource
import signal
import sys

from standins.lobby import Caller, LobbyServer, Observations, configuration
from standins.ports import free_ports
from tests.test_sigkill import (
    TIMEOUT_S,
    cancel_all,
    kill_and_wait,
    stop_callers,
    wait_until,
    wait_until_listening,
)

DESCRIPTORS = 96
CONNECTIONS = 1500
CALLS = 400


async def flood(port: int, rng: random.Random) -> int:
    """Opens CONNECTIONS from one address, at most 200 at once, most with one line; counts failures."""
    held: list[asyncio.StreamWriter] = []
    refused = 0
    for number in range(CONNECTIONS):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=("127.7.7.7", 0))
        except OSError:
            refused += 1
            continue
        if rng.random() < 0.7:
            writer.write(b'{"verb":"ECHO","tag":"00000000000000ee"}\n')
        held.append(writer)
        if len(held) > 200:
            held.pop(0).close()
        if number % 10 == 0:
            await asyncio.sleep(0.005)
    for writer in held:
        writer.close()
    return refused


async def flooded(folder: pathlib.Path) -> tuple[Observations, list[int], dict[str, object], int]:
    """Runs an agent with known callers during a flood.

    Returns what the callers observed, how often each of them connected, the admission figures that the agent
    logs at its end, and how many descriptors it had open after the flood."""
    observed = Observations()
    lobbies = [
        LobbyServer(f"h{number}", observed, random.Random(number), refusal_probability=0.0)
        for number in (0, 1)
    ]
    ports = [await lobby.start() for lobby in lobbies]
    port = free_ports(1)[0]
    path = folder / "config.json"
    admission = {"by_address": 20, "reserve": 16, "known": ["127.9.0.0/16"], "unidentified": 24}
    path.write_text(json.dumps(configuration(port, ports, admission=admission)), encoding="utf-8")
    known = [
        Caller(
            number,
            observed,
            random.Random(number),
            lambda: port,
            address=f"127.{8 + number % 2}.0.{number + 1}",
        )
        for number in range(4)
    ]
    with (folder / "log").open("wb") as log:
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "frostport",
            "serve",
            "--config",
            str(path),
            stderr=log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
        )
        try:
            await wait_until_listening(port)
            tasks = [asyncio.create_task(caller.run()) for caller in known]
            while observed.answers < 20:
                await asyncio.sleep(0.02)
            await flood(port, random.Random(1))
            await wait_until(lambda: observed.answers > CALLS)
            await stop_callers(known)
            await asyncio.sleep(2.5)  # longer than a silent connection is kept
            open_now = len(os.listdir(f"/proc/{program.pid}/fd"))
            program.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(program.wait(), TIMEOUT_S) == 0
        finally:
            await kill_and_wait(program)
    await cancel_all(tasks)
    lines = (folder / "log").read_text(encoding="utf-8").splitlines()
    logged = next(line for line in lines if "admission: {" in line)
    return (
        observed,
        [caller.connection_count for caller in known],
        json.loads(logged[logged.index("{") :]),
        open_now,
    )


def test_known_clients_are_served_throughout_a_flood(tmp_path: pathlib.Path) -> None:
    observed, connects, logged, open_now = asyncio.run(flooded(tmp_path))
    log = (tmp_path / "log").read_text(encoding="utf-8")
    print(logged, open_now)
    assert observed.violations == [] and not observed.uncertain and observed.refused == 0
    assert connects == [1, 1, 1, 1], "a known client lost its connection"
    assert "Traceback" not in log and "using the lower limit" in log
    refused = logged["refused"]
    assert isinstance(refused, dict) and refused["address"] > 100
    descriptors = logged["descriptors"]
    assert isinstance(descriptors, dict) and sum(descriptors.values()) == open_now
