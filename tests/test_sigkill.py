"""The real program, killed by SIGKILL at random points under load, on one store."""

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

KILLS, CLIENTS = 50, 6
PATIENCE_S = 20.0
# A disk that hangs for longer than stall_ms lets answers go without their record, by design (a scenario of
# test_recovery.py): what is asked here is what the store promises while its disk answers, however late.
STORE = {"path": "s.store", "stall_ms": 1000.0 * PATIENCE_S}


async def up(port: int) -> None:
    for _ in range(int(PATIENCE_S / 0.005)):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            await asyncio.sleep(0.005)
        else:
            writer.close()
            return
    raise TimeoutError("the program does not listen")


async def killed_often(folder: pathlib.Path, seed: int) -> Observations:
    chance, observed = random.Random(seed), Observations()
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
                await up(port)
                if kill < KILLS:
                    await asyncio.sleep(chance.uniform(0.0, 0.15))
                    program.kill()
                    continue
                # The last life: clients release all they know of, servers end what nobody knows of.
                await quiet(callers)
                await ended_by_servers(lobbies, observed)
                program.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(program.wait(), PATIENCE_S) == 0
            finally:
                await ended(program)
    await cancelled(tasks)
    return observed


async def ended_by_servers(lobbies: Sequence[LobbyServer], observed: Observations) -> None:
    """Servers hold only what nobody knows of; they end it, and each end is confirmed, after its record."""

    def left() -> set[str]:
        return {call for lobby in lobbies for call in lobby.calls} - observed.uncertain

    with contextlib.suppress(TimeoutError):  # the guard, and what servers tell again
        await settled(lambda: not left())
    for call in left():
        observed.report_fault(f"{call}: left at a server, and its client knows nothing of it")
    for lobby in lobbies:
        lobby.end_all()
    await settled(lambda: not any(lobby.unconfirmed_ends for lobby in lobbies))


async def quiet(callers: Sequence[Caller]) -> None:
    """Clients ask no more, and release all they know to stand."""
    for caller in callers:
        caller.active = False
    await settled(
        lambda: not any(caller.pending or caller.established or caller.releasing for caller in callers)
    )


async def ended(program: asyncio.subprocess.Process) -> None:
    """Whatever became of it, the program is gone afterwards."""
    with contextlib.suppress(ProcessLookupError):
        program.kill()
    await program.wait()


async def cancelled(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def settled(done: object, patience_s: float = PATIENCE_S) -> None:
    assert callable(done)
    for _ in range(int(patience_s / 0.05)):
        if done():
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("calls without an answer")


def test_fifty_sigkills_under_load(tmp_path: pathlib.Path) -> None:
    observed = asyncio.run(killed_often(tmp_path, 4))
    print(f"{observed.answers} answers, {observed.refused} refused, {len(observed.uncertain)} never known")
    assert observed.faults == []
    assert observed.answers - observed.refused > 5 * KILLS and observed.ended > KILLS
    log = (tmp_path / "log").read_text(encoding="utf-8")
    assert "Traceback" not in log and "stopped:" not in log
    found = tools.contents(tmp_path / "s.store")
    assert found.sequence > 1000 and found.torn_bytes == 0
    standing = [
        key
        for key, value in found.values.items()
        if isinstance(records.decode(key, value)[2], records.Standing)
    ]
    assert standing == []
