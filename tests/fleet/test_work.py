"""Work on machines, in real processes under calls, with faults between them; judged by all records."""

from __future__ import annotations

import asyncio
import pathlib
import random
from collections.abc import Awaitable, Callable

import pytest

from standins.fleet import Outside, Rig
from tests.test_sigkill import ended_by_servers, quiet

History = Callable[[Rig], Awaitable[None]]
ASKED = "takes=1h who=ann why=a new kernel"
AWAY = ("going", "out", "back", "warming", "given up")


async def status(rig: Rig, name: str) -> list[str]:
    return await rig.ask(name, "work-status")


async def stands(rig: Rig, machine: str, state: str, among: list[str] | None = None, words: str = "") -> None:
    """Waits until all these agents' doors show a machine's newest ticket so."""

    async def shown() -> bool:
        for name in among or rig.names:
            lines = [line.split(None, 3) for line in await status(rig, name) if line[:1].isdigit()]
            mine = [line for line in lines if line[1] == machine]
            if not mine or not mine[-1][3].startswith(state) or words not in mine[-1][3]:
                return False
        return True

    await rig.until(f"{machine} {state} {words}", shown)


async def done(rig: Rig, machine: str) -> None:
    assert (await rig.ask(rig.names[0], f"work-ready {machine}"))[0].startswith("OK")
    await stands(rig, machine, "done")


async def unasked(rig: Rig, door: str, machine: str) -> None:
    async def known() -> bool:
        return any(f"out unasked: {machine}" in line for line in await status(rig, door))

    await rig.until(f"the log has the death of {machine}", known)


async def request(rig: Rig, door: str, names: str, rest: str = ASKED) -> None:
    assert (await rig.ask(door, f"work-request names={names} {rest}"))[0].startswith("OK")


async def a_lobby_server_out_and_back(rig: Rig) -> None:
    await request(rig, "n0", "h1")
    await stands(rig, "h1", "out", words="may be touched")
    assert (await rig.ask("n1", "enable-server h1"))[0].startswith("ERR held by ticket")
    await more(rig)
    await done(rig, "h1")


async def an_agent_out_and_started_anew(rig: Rig) -> None:
    await request(rig, "n0", "n1")
    await stands(rig, "n1", "out", words="may be touched")
    assert (await rig.ask("n1", "resume"))[0].startswith("ERR held by ticket")
    await rig.kill("n1")
    await more(rig)
    await rig.start("n1")
    await stands(rig, "n1", "out")
    await done(rig, "n1")
    await rig.until("n1 serves", lambda: serves(rig, "n1"))


async def the_leader_is_the_machine_whose_turn_it_is(rig: Rig) -> None:
    leader = await rig.leader()
    await request(rig, leader, leader)
    await stands(rig, leader, "out")
    await rig.kill(leader)
    others = [name for name in rig.names if name != leader]
    await rig.leader(others)
    await rig.start(leader)
    await rig.ask(others[0], f"work-ready {leader}")
    await stands(rig, leader, "done")


async def held_back_by_one_cut_off(rig: Rig) -> tuple[str, list[str]]:
    """A server is to go while an agent can't be heard; the leader, and those that are reached."""
    leader = await rig.leader()
    cut = next(name for name in rig.names if name != leader)
    others = [name for name in rig.names if name != cut]
    rig.apart([cut])
    await request(rig, leader, "h0")
    await stands(rig, "h0", "going", others, f"not heard: {cut}")
    return leader, others


async def one_that_is_cut_off_holds_the_word_back_by_name(rig: Rig) -> None:
    await held_back_by_one_cut_off(rig)
    await more(rig)
    assert rig.injected("cut")
    rig.heal()
    await stands(rig, "h0", "out")
    await done(rig, "h0")


async def forced_by_staff(rig: Rig) -> None:
    leader, others = await held_back_by_one_cut_off(rig)
    await rig.ask(leader, "work-force h0 who=ann why=its machine is switched off")
    await stands(rig, "h0", "out", others)
    rig.heal()
    await stands(rig, "h0", "out")
    for name in rig.names:
        assert any(
            line["event"] == "ticket" and line["forced"] == "ann: its machine is switched off"
            for line in rig.records(name)
        )
    await done(rig, "h0")


async def killed_in_mid_drain(rig: Rig) -> None:
    await request(rig, "n0", "n1")
    await stands(rig, "n1", "", ["n0", "n2"])
    await rig.kill("n1")
    await rig.start("n1")
    await stands(rig, "n1", "out")
    assert not await serves(rig, "n1")
    await done(rig, "n1")


async def overdue_halts_the_plan(rig: Rig) -> None:
    await request(rig, "n0", "h0", "takes=2s who=ann why=disks")
    await request(rig, "n0", "h1")
    await stands(rig, "h0", "out", words="overdue")
    await stands(rig, "h1", "waiting", words="held: h0 overdue")
    await rig.ask("n2", "work-ready h0")
    await stands(rig, "h1", "out")
    await done(rig, "h1")


async def two_staff_at_two_doors(rig: Rig) -> None:
    await asyncio.gather(
        *(request(rig, name, "h0,n1", f"takes=1h who={name} why=a move") for name in rig.names)
    )
    await stands(rig, "h0", "refused")
    seen = {
        tuple(line.split(":")[0] for line in await status(rig, name) if line[:1].isdigit())
        for name in rig.names
    }
    assert len({tuple(word.split()[1] for word in lines) for lines in seen}) == 1

    async def all_done() -> bool:
        lines = await status(rig, "n0")
        for line in lines:
            if " out: may be touched" in line:
                await rig.ask("n0", f"work-ready {line.split()[1]}")
        return sum(" done: " in line for line in lines) == 2

    await rig.until("both machines are done", all_done)


async def the_majority_lost_with_a_server_out(rig: Rig) -> None:
    await request(rig, "n0", "h0")
    await stands(rig, "h0", "out")
    leader = await rig.leader()
    lost = [name for name in rig.names if name != leader]
    for name in lost:
        await rig.kill(name)

    async def says_so() -> bool:
        return any("no leader is heard" in line for line in await status(rig, leader))

    await rig.until("it says that nothing goes on", says_so)
    for name in lost:
        await rig.start(name)
    await stands(rig, "h0", "out")
    await done(rig, "h0")


async def one_that_stalls_while_a_server_goes(rig: Rig) -> None:
    leader = await rig.leader()
    stalled = next(name for name in rig.names if name != leader)
    rig.freeze(stalled)
    await request(rig, leader, "h0")
    others = [name for name in rig.names if name != stalled]
    await stands(rig, "h0", "going", others, f"waits for {stalled}")
    rig.wake(stalled)
    await stands(rig, "h0", "out")
    await done(rig, "h0")


async def never_two_zones_at_a_time(rig: Rig) -> None:
    await rig.ask("n0", "work-limits all=3 agents=3 servers=3 zone=3")
    await request(rig, "n0", "n0,n1,n2")

    async def all_done() -> bool:
        await any_ready(rig)
        return sum(" done: " in line for line in await status(rig, "n0")) == 3

    await rig.until("all three are done", all_done)
    zones = {name: number % 2 for number, name in enumerate(rig.names)}
    away: dict[str, str] = {}
    for _, _, machine, state in tickets(rig, 3):
        away[machine] = state
        assert len({zones[name] for name, each in away.items() if each in AWAY}) < 2, away


async def cancelled_held_and_gone_on(rig: Rig) -> None:
    await rig.ask("n1", "work-hold who=ann")
    await request(rig, "n0", "h0,h1")
    await stands(rig, "h0", "waiting", words="held by ann")
    await rig.ask("n2", "work-cancel h1")
    await stands(rig, "h1", "cancelled")
    await rig.ask("n0", "work-go-on who=ann")
    await stands(rig, "h0", "out")
    await done(rig, "h0")


async def a_lobby_server_dies_while_another_is_out(rig: Rig) -> None:
    """The next step waits for it, by name."""
    assert rig.outside is not None
    await request(rig, "n0", "h0")
    await stands(rig, "h0", "out")
    rig.say("h1 is dead")
    dead = [rig.outside.relays[name, "h1"] for name in rig.names]
    for relay in dead:
        relay.die()

    await unasked(rig, "n0", "h1")  # agents say it of themselves, some seconds later
    await request(rig, "n1", "n1")
    await rig.ask("n0", "work-ready h0")
    await stands(rig, "h0", "done")
    await stands(rig, "n1", "waiting", words="h1 of zone east is out")
    assert all(relay.record["dead"] for relay in dead)
    for relay in dead:
        await relay.live()
    await stands(rig, "n1", "out")
    await done(rig, "n1")


async def load_past_the_margin(rig: Rig) -> None:
    async def measured() -> bool:
        return float((await status(rig, "n0"))[-2].split()[1]) > 1.0

    await rig.until("the load is in the log", measured)
    await rig.ask("n0", "work-limits share_calls=0.001")
    await request(rig, "n1", "h0")
    await stands(rig, "h0", "waiting", words="what is left carries")
    await more(rig)
    await rig.ask("n2", "work-limits share_calls=100000")
    await stands(rig, "h0", "out")
    await done(rig, "h0")


async def a_client_that_never_pauses(rig: Rig) -> None:
    """It is served on for `drain_ms` and then refused: the machine goes all the same."""
    assert rig.outside is not None
    await rig.ask("n0", "work-limits drain_ms=1000")
    rig.outside.callers[1].heeds = False
    await request(rig, "n0", "n1")
    await stands(rig, "n1", "out")
    refused = rig.outside.books.refused

    async def still_refused() -> bool:
        assert rig.outside is not None
        return rig.outside.books.refused >= refused + 20

    await rig.until("it asks on, and is refused", still_refused)
    assert (await rig.ask("n1", "ready"))[0] == "ERR no: turning away"
    await done(rig, "n1")


async def a_zone_cut_off_in_the_middle_of_its_own_plan(rig: Rig) -> None:
    """Its first machine is out and touched when the zone loses the others: nobody leads, nothing goes on.
    With its machine back the zone has the majority, but what is dead to it counts as out."""
    await rig.ask("n0", "work-request zone=z0 takes=1h who=ann why=a move")
    await stands(rig, "n0", "out")
    rig.apart(["n0", "n2"])
    await rig.kill("n0")

    async def nobody_leads() -> bool:
        said = [await status(rig, name) for name in ("n1", "n2")]
        return all(lines and "no leader is heard" in lines[0] for lines in said)

    await rig.until("both sides say that nothing goes on", nobody_leads)
    await more(rig)
    await rig.start("n0")
    await rig.leader(["n0", "n2"])
    await unasked(rig, "n2", "n1")
    await rig.ask("n2", "work-ready n0")
    await stands(rig, "n2", "waiting", ["n0", "n2"], "n1 of zone z1 is out")
    assert rig.injected("cut")
    rig.heal()
    await stands(rig, "n0", "done")
    await stands(rig, "n2", "out")
    await done(rig, "n2")


async def a_hold_that_one_agent_can_not_hear(rig: Rig) -> None:
    """Cut one way: what it says arrives, the hold does not come to it. It calls the server on."""
    leader = await rig.leader()
    deaf = next(name for name in rig.names if name != leader)
    for other in rig.names:
        if other != deaf:
            rig.cut(other, deaf)
    await request(rig, leader, "h0")
    others = [name for name in rig.names if name != deaf]
    await stands(rig, "h0", "going", others, f"waits for {deaf}")
    await more(rig)
    assert rig.injected("cut")
    rig.heal()
    await stands(rig, "h0", "out")
    await done(rig, "h0")


async def two_plans_for_one_machine_and_the_leader_dies(rig: Rig) -> None:
    leader = await rig.leader()
    first, second = (name for name in rig.names if name != leader)
    await asyncio.gather(request(rig, leader, "h0"), request(rig, first, "h0,h1"), request(rig, second, "h0"))
    await rig.kill(leader)
    await rig.leader([first, second])
    await rig.start(leader)
    await request(rig, first, "h0")  # one at least is in the log
    await stands(rig, "h0", "refused")
    shown = [
        [line.split(None, 3)[:4] for line in await status(rig, name) if line[:1].isdigit()]
        for name in rig.names
    ]
    assert all(
        sum(line[1] == "h0" and not line[3].startswith("refused") for line in lines) == 1 for lines in shown
    ), shown

    async def all_done() -> bool:
        await any_ready(rig)
        lines = [line.split(None, 3) for line in await status(rig, "n0") if line[:1].isdigit()]
        return all(line[3].startswith(("done", "refused")) for line in lines)

    await rig.until("one ticket is done, the others are refused", all_done)


async def confirmed_and_back_with_an_older_memory(rig: Rig) -> None:
    """One has confirmed, dies with its disk and comes back: its word is asked for anew."""
    rig.freeze("n2")
    await request(rig, "n0", "h0")
    await stands(rig, "h0", "going", ["n0", "n1", "n3"], "waits for n2")

    async def only_it() -> bool:
        return any("waits for n2" in line and "n3" not in line for line in await status(rig, "n0"))

    await rig.until("the others have confirmed", only_it)
    await rig.kill("n3", disk=False)
    rig.links_cut("n3")  # it is seen as another process, and can neither read the log nor say a word
    await rig.start("n3")
    await stands(rig, "h0", "going", ["n0", "n1"], "waits for n2, n3")
    rig.wake("n2")
    await stands(rig, "h0", "going", ["n0", "n1", "n2"], "waits for n3")
    assert rig.injected("cut")
    rig.heal()
    await stands(rig, "h0", "out")
    await done(rig, "h0")


async def drawn(rig: Rig) -> None:
    """Kills, stalls and cuts drawn from a seed while four machines are to go out."""
    chance, down = random.Random(rig.seed), set[str]()
    await request(rig, "n0", "h0,n1,h1,n2")
    for _ in range(10):
        name = chance.choice(rig.names)
        match chance.choice(("kill", "apart", "freeze", "ready", "ready")):
            case "kill" if not down:
                await rig.kill(name)
                down.add(name)
            case "apart":
                rig.apart([name])
            case "freeze" if name not in down:
                rig.freeze(name)
                await asyncio.sleep(chance.uniform(0.0, 2.0))
                rig.wake(name)
            case _:
                rig.heal()
                for each in down:
                    await rig.start(each)
                down.clear()
                await any_ready(rig)
        await asyncio.sleep(chance.uniform(0.0, 1.0))
    rig.heal()
    for each in down:
        await rig.start(each)

    async def all_done() -> bool:
        assert rig.outside is not None
        for lobby in rig.outside.lobbies:  # calls that their clients have forgotten come to their end
            for call in [call for call, how in lobby.held.items() if how == "stands"]:
                lobby.end(call)
        await any_ready(rig)
        return sum(" done: " in line for line in await status(rig, "n0")) == 4

    await rig.until("all four are done", all_done)


async def any_ready(rig: Rig) -> None:
    for line in await status(rig, "n0"):
        if " out: may be touched" in line:
            await rig.ask("n0", f"work-ready {line.split()[1]}")


async def serves(rig: Rig, name: str) -> bool:
    return (await rig.ask(name, "ready"))[:1] == ["OK yes"]


async def more(rig: Rig, count: int = 20) -> None:
    assert rig.outside is not None
    books, before = rig.outside.books, rig.outside.books.answers

    async def answered() -> bool:
        return books.answers >= before + count

    await rig.until(f"{count} answers more", answered)


def tickets(rig: Rig, most: int) -> list[tuple[int, int, str, str]]:
    """One order at all agents, never more out than allowed; returns it."""
    whole: dict[tuple[int, int], tuple[str, str]] = {}
    for name in rig.names:
        for line in rig.records(name):
            if line["event"] == "ticket":
                told = (line["machine"], line["state"])
                key = (line["index"], line["number"])
                assert whole.setdefault(key, told) == told, f"agents differ at {key}: {rig.history}"
    state: dict[int, str] = {}
    order = [(*key, *told) for key, told in sorted(whole.items())]
    for index in sorted({entry[0] for entry in order}):
        state.update({number: to for at, number, _, to in order if at == index})
        assert sum(each in AWAY for each in state.values()) <= most, f"too many out at {index}: {order}"
    return order


def untouched(rig: Rig) -> None:
    """No attempt came to a server between `may be touched`, as any agent said first, and its return."""
    assert rig.outside is not None
    first: dict[tuple[int, str, str], float] = {}
    forced = set[int]()
    for name in rig.names:
        for line in rig.records(name):
            if line["event"] == "ticket":
                key = (line["number"], line["machine"], line["state"])
                first[key] = min(first.get(key, 1e18), line["unix_ms"])
                forced |= {line["number"]} if line["forced"] else set()
    for (number, machine, state), since in first.items():
        if state == "out" and number not in forced and machine.startswith("h"):
            until = min(first.get((number, machine, later), 1e18) for later in ("back", "warming", "done"))
            came = [
                call
                for at, server, call in rig.outside.books.set_ups
                if server.endswith(f".{machine}") and since < at < until
            ]
            assert not came, f"{machine} was called while it might be touched: {came}; {rig.history}"


HISTORIES: dict[str, History] = {
    history.__name__: history
    for history in (
        a_lobby_server_out_and_back,
        an_agent_out_and_started_anew,
        the_leader_is_the_machine_whose_turn_it_is,
        one_that_is_cut_off_holds_the_word_back_by_name,
        forced_by_staff,
        killed_in_mid_drain,
        overdue_halts_the_plan,
        two_staff_at_two_doors,
        the_majority_lost_with_a_server_out,
        one_that_stalls_while_a_server_goes,
        never_two_zones_at_a_time,
        cancelled_held_and_gone_on,
        a_lobby_server_dies_while_another_is_out,
        load_past_the_margin,
        a_client_that_never_pauses,
        a_zone_cut_off_in_the_middle_of_its_own_plan,
        a_hold_that_one_agent_can_not_hear,
        two_plans_for_one_machine_and_the_leader_dies,
        confirmed_and_back_with_an_older_memory,
        drawn,
    )
}
AGENTS = {"confirmed_and_back_with_an_older_memory": 4}  # else three; three vote


async def played(folder: pathlib.Path, name: str, seed: int) -> None:
    (folder / name).mkdir()
    outside = Outside(1)
    async with Rig(
        folder / name, AGENTS.get(name, 3), 3, seed, outside=outside, work={"warm_ms": 500.0}
    ) as rig:
        try:
            await rig.leader()
            for each in rig.names:
                await rig.until(f"{each} serves", lambda each=each: serves(rig, each))  # type: ignore[misc]
            outside.call()
            outside.balance(rig)

            async def all_known() -> bool:
                lines = await status(rig, "n0")
                return bool(lines) and not any("out unasked" in line for line in lines)

            await rig.until("the log has all up", all_known)
            await more(rig)
            await HISTORIES[name](rig)
            await more(rig)
            for each in rig.names:
                await rig.until(f"{each} serves", lambda each=each: serves(rig, each))  # type: ignore[misc]
            await quiet(outside.callers)
            await ended_by_servers(outside.lobbies, outside.books)
            assert outside.books.faults == []
            await rig.note("n0")
            await rig.together(1)
            await rig.check()
            order = tickets(rig, 3 if name == "never_two_zones_at_a_time" else 1)
            assert any(state == "out" for _, _, _, state in order)
            untouched(rig)
        except AssertionError as problem:
            raise AssertionError(f"{name}, seed {seed}: {problem}; history: {rig.history}") from None


@pytest.mark.parametrize(
    "names", [tuple(HISTORIES)[at : at + 7] for at in (0, 7, 14)], ids=["first", "second", "third"]
)
def test_work_on_machines_of_real_processes(names: tuple[str, ...], tmp_path: pathlib.Path) -> None:
    async def all_of_them() -> None:
        await asyncio.gather(*(played(tmp_path, name, 1) for name in names))

    asyncio.run(all_of_them())
