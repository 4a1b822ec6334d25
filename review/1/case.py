"""Callers' connections are reset and come back: is the end of each standing call told to its own caller?"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from parties import (  # noqa: E402
    BROKEN,
    HELD,
    Agent,
    Bus,
    Caller,
    CannotRunError,
    LobbyServer,
    Record,
    entry,
    main,
    race_settings,
    trouble,
)

CALLERS = 4
CALL_EVERY_S = 0.45  # each caller: together 9 calls a second, a sixth of the site's 54
HOLD_S = (8.2, 10.0)  # the site's calls last 8.2 to 10 s on average
BACK_AFTER_S = (0.02, 0.4)  # a caller connects again so long after it has noticed a reset
TOLD_AFTER_RELEASE_S = 1.0 + 0.05  # from the lobby server's release
TOLD_AT_ALL_S = 8.0 + 0.05  # from the call's end, if no release could be sent


async def call_on(caller: Caller, rng: random.Random) -> None:
    """Sets calls up at the caller's pace; connects again soon after its connection has ended."""
    await asyncio.sleep(rng.uniform(0.0, CALL_EVERY_S))
    while True:
        if caller.link is None:
            await asyncio.sleep(rng.uniform(*BACK_AFTER_S))
            await caller.connect()
        caller.set_up(rng.randrange(2))
        await asyncio.sleep(CALL_EVERY_S)


async def play(record: Record, folder: pathlib.Path, parties: list[Any]) -> int:
    rng = random.Random(39)
    bus = Bus(record)
    servers = [LobbyServer(f"s-{n}", n, record, lambda tag: rng.uniform(*HOLD_S)) for n in range(2)]
    agent = Agent("n1", record, folder)
    parties += [bus, *servers, agent]
    for server in servers:
        await server.start()
    await bus.start()
    bus.publish([entry(server.name, server.dial, server.number) for server in servers])
    agent.configure(bus=bus.dial, known=bus.known(), settings=race_settings(2))
    await agent.start()
    await agent.wait_ready()
    callers = [Caller(f"caller-{n}", n, record, agent) for n in range(1, CALLERS + 1)]
    parties += callers
    for caller in callers:
        await caller.connect()
    tasks = [asyncio.ensure_future(call_on(caller, rng)) for caller in callers]
    await asyncio.sleep(6.0)
    watched = {tag: caller for caller in callers for tag in caller.standing}
    if len(watched) < 20:
        raise CannotRunError(f"only {len(watched)} calls stand")
    reset_at = record.now()
    if trouble():
        record.add("network", "resets the callers' connections under requests")
        for caller in callers:
            caller.set_up()
            if caller.link is not None:
                caller.link.reset()
    await asyncio.sleep(HOLD_S[1] + TOLD_AT_ALL_S + 1.0)
    for task in tasks:
        task.cancel()

    released = {tag: at for server in servers for tag, at in server.released_at.items()}
    late = never = 0
    for tag, caller in sorted(watched.items()):
        if tag not in released:
            continue
        told = caller.told_at.get(tag)
        wait = (told if told is not None else record.now()) - released[tag]
        word = f"not told in {wait:.1f} s" if told is None else f"told after {wait:.2f} s"
        elsewhere = ", ".join(other.name for other in callers if tag in other.foreign)
        record.add("check", f"{tag} of {caller.name}: {word}; also told to: {elsewhere or 'nobody'}")
        # A release that came while the caller was not yet back could not be sent at once.
        back_at = reset_at + BACK_AFTER_S[1] + 0.1 if trouble() else 0.0
        late += wait > (TOLD_AFTER_RELEASE_S if released[tag] > back_at else TOLD_AT_ALL_S)
        never += wait > TOLD_AT_ALL_S
    foreign = sum(len(caller.foreign) for caller in callers)
    record.add(
        "check",
        f"{len(watched)} calls stood at {reset_at:.2f}: {late} not told to their caller in time, {never} of "
        f"them not within 8.05 s; {foreign} releases reached a caller that never set the call up",
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
