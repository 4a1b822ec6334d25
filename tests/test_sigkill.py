"""Kills the real program by SIGKILL at random points under load, and restarts it on the same store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
from collections.abc import Sequence

from frostport.state import records
from frostport.store import tools
from standins.lobby import Caller, LobbyServer, Observations, configuration
from standins.ports import free_ports

KILLS = 50
CLIENTS = 6
TIMEOUT_S = 20.0
# After a disk stall of stall_ms, answers are by design sent before they are recorded (see test_recovery.py).
# These tests check the guarantees while the disk answers, however late, so no stall may be detected.
STORE = {"path": "s.store", "stall_ms": 1000.0 * TIMEOUT_S}


async def wait_until_listening(port: int) -> None:
    """Raises TimeoutError if nothing accepts connections on the port."""
    for _ in range(int(TIMEOUT_S / 0.005)):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            await asyncio.sleep(0.005)
        else:
            writer.close()
            return
    raise TimeoutError("the program does not listen")


async def run_with_kills(folder: pathlib.Path, seed: int) -> Observations:
    """Runs and kills the program KILLS times under load, then once more to its regular end."""
    rng = random.Random(seed)
    observed = Observations()
    lobbies = [
        LobbyServer(f"h{number}", observed, random.Random(number), end_probability=0.5) for number in (0, 1)
    ]
    ports = [await lobby.start() for lobby in lobbies]
    port = free_ports(1)[0]
    path = folder / "config.json"
    path.write_text(json.dumps(configuration(port, ports, store=STORE)), encoding="utf-8")
    callers = [
        Caller(number, observed, random.Random(100 + number), lambda: port) for number in range(CLIENTS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    with (folder / "log").open("wb") as log:
        for kill in range(KILLS + 1):
            program = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "frostport", "serve", "--config", str(path), stderr=log
            )
            try:
                await wait_until_listening(port)
                if kill < KILLS:
                    await asyncio.sleep(rng.uniform(0.0, 0.15))
                    program.kill()
                    continue
                # The last run: clients release the calls they know of, servers end the others.
                await stop_callers(callers)
                await end_calls_at_servers(lobbies, observed)
                program.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(program.wait(), TIMEOUT_S) == 0
            finally:
                await kill_and_wait(program)
    await cancel_all(tasks)
    return observed


async def end_calls_at_servers(lobbies: Sequence[LobbyServer], observed: Observations) -> None:
    """Checks that servers hold only calls that no client knows of, then ends these.

    Each end is confirmed by the agent, after it is recorded."""

    def unexpected_calls() -> set[str]:
        return {call for lobby in lobbies for call in lobby.calls} - observed.uncertain

    with contextlib.suppress(TimeoutError):  # for release guards, and messages that servers repeat
        await wait_until(lambda: not unexpected_calls())
    for call in unexpected_calls():
        observed.report_violation(f"{call}: left at a server, and its client knows nothing of it")
    for lobby in lobbies:
        lobby.end_all()
    await wait_until(lambda: not any(lobby.pending_releases for lobby in lobbies))


async def stop_callers(callers: Sequence[Caller]) -> None:
    """Lets clients send no more set-ups, and release all calls that they know to be established."""
    for caller in callers:
        caller.sends_set_ups = False
    await wait_until(
        lambda: not any(caller.unanswered or caller.established or caller.releasing for caller in callers)
    )


async def kill_and_wait(program: asyncio.subprocess.Process) -> None:
    """Kills the program if it is still running, and waits for its end."""
    with contextlib.suppress(ProcessLookupError):
        program.kill()
    await program.wait()


async def cancel_all(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def wait_until(condition: object, timeout_s: float = TIMEOUT_S) -> None:
    """Waits until `condition()` is true; raises TimeoutError if it is not in time."""
    assert callable(condition)
    for _ in range(int(timeout_s / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("condition not met in time")


def test_fifty_sigkills_under_load(tmp_path: pathlib.Path) -> None:
    observed = asyncio.run(run_with_kills(tmp_path, 4))
    print(f"{observed.answers} answers, {observed.refused} refused, {len(observed.uncertain)} never known")
    assert observed.violations == []
    assert observed.answers - observed.refused > 5 * KILLS and observed.ended > KILLS
    log = (tmp_path / "log").read_text(encoding="utf-8")
    assert "Traceback" not in log and "stopped:" not in log
    found = tools.contents(tmp_path / "s.store")
    assert found.sequence > 1000 and found.torn_bytes == 0
    established = [
        key
        for key, value in found.values.items()
        if isinstance(records.decode(key, value)[2], records.Standing)
    ]
    assert established == []
