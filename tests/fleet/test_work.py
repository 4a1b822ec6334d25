"""Maintenance of machines in real processes under calls, with faults injected; checked by event records."""

from __future__ import annotations

import asyncio
import pathlib
import random
from collections.abc import Awaitable, Callable

import pytest

from standins.fleet import Environment, Rig
from tests.test_sigkill import end_calls_at_servers, stop_callers

Scenario = Callable[[Rig], Awaitable[None]]
REQUEST_FIELDS = "takes=1h who=ann why=a new kernel"
OUT_OF_SERVICE_STATES = ("going", "out", "back", "warming", "given up")


async def status(rig: Rig, name: str) -> list[str]:
    return await rig.ask(name, "work-status")


async def wait_for_state(
    rig: Rig, machine: str, state: str, agents: list[str] | None = None, text: str = ""
) -> None:
    """Waits until `work-status` at all these agents shows a machine's newest ticket in this state."""

    async def shown() -> bool:
        for name in agents or rig.names:
            lines = [line.split(None, 3) for line in await status(rig, name) if line[:1].isdigit()]
            machine_lines = [line for line in lines if line[1] == machine]
            if (
                not machine_lines
                or not machine_lines[-1][3].startswith(state)
                or text not in machine_lines[-1][3]
            ):
                return False
        return True

    await rig.wait_until(f"{machine} {state} {text}", shown)


async def finish(rig: Rig, machine: str) -> None:
    assert (await rig.ask(rig.names[0], f"work-ready {machine}"))[0].startswith("OK")
    await wait_for_state(rig, machine, "done")


async def wait_until_out_unplanned(rig: Rig, agent: str, machine: str) -> None:
    async def known() -> bool:
        return any(f"out unasked: {machine}" in line for line in await status(rig, agent))

    await rig.wait_until(f"the log has the death of {machine}", known)


async def request(rig: Rig, agent: str, names: str, fields: str = REQUEST_FIELDS) -> None:
    assert (await rig.ask(agent, f"work-request names={names} {fields}"))[0].startswith("OK")


async def lobby_server_out_and_back(rig: Rig) -> None:
    await request(rig, "n0", "h1")
    await wait_for_state(rig, "h1", "out", text="may be touched")
    assert (await rig.ask("n1", "enable-server h1"))[0].startswith("ERR held by ticket")
    await wait_for_answers(rig)
    await finish(rig, "h1")


async def agent_out_and_restarted(rig: Rig) -> None:
    await request(rig, "n0", "n1")
    await wait_for_state(rig, "n1", "out", text="may be touched")
    assert (await rig.ask("n1", "resume"))[0].startswith("ERR held by ticket")
    await rig.kill("n1")
    await wait_for_answers(rig)
    await rig.start("n1")
    await wait_for_state(rig, "n1", "out")
    await finish(rig, "n1")
    await rig.wait_until("n1 serves", lambda: serves(rig, "n1"))


async def leader_taken_out(rig: Rig) -> None:
    leader = await rig.wait_for_leader()
    await request(rig, leader, leader)
    await wait_for_state(rig, leader, "out")
    await rig.kill(leader)
    others = [name for name in rig.names if name != leader]
    await rig.wait_for_leader(others)
    await rig.start(leader)
    await rig.ask(others[0], f"work-ready {leader}")
    await wait_for_state(rig, leader, "done")


async def start_drain_with_a_partitioned_agent(rig: Rig) -> tuple[str, list[str]]:
    """Starts draining a server while an agent is cut off; returns the leader and the connected agents."""
    leader = await rig.wait_for_leader()
    partitioned = next(name for name in rig.names if name != leader)
    others = [name for name in rig.names if name != partitioned]
    rig.partition([partitioned])
    await request(rig, leader, "h0")
    await wait_for_state(rig, "h0", "going", others, f"not heard: {partitioned}")
    return leader, others


async def partitioned_agent_delays_a_drain(rig: Rig) -> None:
    await start_drain_with_a_partitioned_agent(rig)
    await wait_for_answers(rig)
    assert rig.fault_count("cut")
    rig.heal()
    await wait_for_state(rig, "h0", "out")
    await finish(rig, "h0")


async def drain_forced_by_an_operator(rig: Rig) -> None:
    leader, others = await start_drain_with_a_partitioned_agent(rig)
    await rig.ask(leader, "work-force h0 who=ann why=its machine is switched off")
    await wait_for_state(rig, "h0", "out", others)
    rig.heal()
    await wait_for_state(rig, "h0", "out")
    for name in rig.names:
        assert any(
            line["event"] == "ticket" and line["forced"] == "ann: its machine is switched off"
            for line in rig.records(name)
        )
    await finish(rig, "h0")


async def agent_killed_while_draining(rig: Rig) -> None:
    await request(rig, "n0", "n1")
    await wait_for_state(rig, "n1", "", ["n0", "n2"])
    await rig.kill("n1")
    await rig.start("n1")
    await wait_for_state(rig, "n1", "out")
    assert not await serves(rig, "n1")
    await finish(rig, "n1")


async def overdue_machine_stops_the_plan(rig: Rig) -> None:
    await request(rig, "n0", "h0", "takes=2s who=ann why=disks")
    await request(rig, "n0", "h1")
    await wait_for_state(rig, "h0", "out", text="overdue")
    await wait_for_state(rig, "h1", "waiting", text="held: h0 overdue")
    await rig.ask("n2", "work-ready h0")
    await wait_for_state(rig, "h1", "out")
    await finish(rig, "h1")


async def concurrent_requests_at_all_agents(rig: Rig) -> None:
    await asyncio.gather(
        *(request(rig, name, "h0,n1", f"takes=1h who={name} why=a move") for name in rig.names)
    )
    await wait_for_state(rig, "h0", "refused")
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

    await rig.wait_until("both machines are done", all_done)


async def majority_lost_with_a_server_out(rig: Rig) -> None:
    await request(rig, "n0", "h0")
    await wait_for_state(rig, "h0", "out")
    leader = await rig.wait_for_leader()
    lost = [name for name in rig.names if name != leader]
    for name in lost:
        await rig.kill(name)

    async def no_leader_reported() -> bool:
        return any("no leader is heard" in line for line in await status(rig, leader))

    await rig.wait_until(f"{leader} reports that it hears no leader", no_leader_reported)
    for name in lost:
        await rig.start(name)
    await wait_for_state(rig, "h0", "out")
    await finish(rig, "h0")


async def agent_stalls_while_a_server_drains(rig: Rig) -> None:
    leader = await rig.wait_for_leader()
    stalled = next(name for name in rig.names if name != leader)
    rig.freeze(stalled)
    await request(rig, leader, "h0")
    others = [name for name in rig.names if name != stalled]
    await wait_for_state(rig, "h0", "going", others, f"waits for {stalled}")
    rig.unfreeze(stalled)
    await wait_for_state(rig, "h0", "out")
    await finish(rig, "h0")


async def never_two_zones_at_a_time(rig: Rig) -> None:
    await rig.ask("n0", "work-limits all=3 agents=3 servers=3 zone=3")
    await request(rig, "n0", "n0,n1,n2")

    async def all_done() -> bool:
        await report_ready(rig)
        return sum(" done: " in line for line in await status(rig, "n0")) == 3

    await rig.wait_until("all three are done", all_done)
    zones = {name: number % 2 for number, name in enumerate(rig.names)}
    away: dict[str, str] = {}
    for _, _, machine, state in check_tickets(rig, 3):
        away[machine] = state
        assert len({zones[name] for name, each in away.items() if each in OUT_OF_SERVICE_STATES}) < 2, away


async def hold_cancel_and_go_on(rig: Rig) -> None:
    await rig.ask("n1", "work-hold who=ann")
    await request(rig, "n0", "h0,h1")
    await wait_for_state(rig, "h0", "waiting", text="held by ann")
    await rig.ask("n2", "work-cancel h1")
    await wait_for_state(rig, "h1", "cancelled")
    await rig.ask("n0", "work-go-on who=ann")
    await wait_for_state(rig, "h0", "out")
    await finish(rig, "h0")


async def lobby_server_fails_while_another_is_out(rig: Rig) -> None:
    """The next ticket waits, and its status names the failed server."""
    assert rig.environment is not None
    await request(rig, "n0", "h0")
    await wait_for_state(rig, "h0", "out")
    rig.add_history("h1 is dead")
    dead = [rig.environment.relays[name, "h1"] for name in rig.names]
    for relay in dead:
        relay.stop_listening()

    await wait_until_out_unplanned(rig, "n0", "h1")  # the agents report it some seconds later
    await request(rig, "n1", "n1")
    await rig.ask("n0", "work-ready h0")
    await wait_for_state(rig, "h0", "done")
    await wait_for_state(rig, "n1", "waiting", text="h1 of zone east is out")
    assert all(relay.counts["dead"] for relay in dead)
    for relay in dead:
        await relay.listen_again()
    await wait_for_state(rig, "n1", "out")
    await finish(rig, "n1")


async def load_exceeds_the_remaining_capacity(rig: Rig) -> None:
    async def measured() -> bool:
        return float((await status(rig, "n0"))[-2].split()[1]) > 1.0

    await rig.wait_until("the load is in the log", measured)
    await rig.ask("n0", "work-limits share_calls=0.001")
    await request(rig, "n1", "h0")
    await wait_for_state(rig, "h0", "waiting", text="what is left carries")
    await wait_for_answers(rig)
    await rig.ask("n2", "work-limits share_calls=100000")
    await wait_for_state(rig, "h0", "out")
    await finish(rig, "h0")


async def client_that_never_pauses(rig: Rig) -> None:
    """The client is served for `drain_ms` and then refused, so that the machine goes out all the same."""
    assert rig.environment is not None
    await rig.ask("n0", "work-limits drain_ms=1000")
    rig.environment.callers[1].follows_balancer = False
    await request(rig, "n0", "n1")
    await wait_for_state(rig, "n1", "out")
    refused = rig.environment.observed.refused

    async def still_refused() -> bool:
        assert rig.environment is not None
        return rig.environment.observed.refused >= refused + 20

    await rig.wait_until("it asks on, and is refused", still_refused)
    assert (await rig.ask("n1", "ready"))[0] == "ERR no: turning away"
    await finish(rig, "n1")


async def zone_partitioned_during_its_own_maintenance(rig: Rig) -> None:
    """The zone's first machine is out when the zone is cut off: there is no leader, and the plan stops.
    With its machine back the zone has the majority, but the machines it can't reach count as out."""
    await rig.ask("n0", "work-request zone=z0 takes=1h who=ann why=a move")
    await wait_for_state(rig, "n0", "out")
    rig.partition(["n0", "n2"])
    await rig.kill("n0")

    async def no_leader_on_either_side() -> bool:
        answers = [await status(rig, name) for name in ("n1", "n2")]
        return all(lines and "no leader is heard" in lines[0] for lines in answers)

    await rig.wait_until("both sides report that they hear no leader", no_leader_on_either_side)
    await wait_for_answers(rig)
    await rig.start("n0")
    await rig.wait_for_leader(["n0", "n2"])
    await wait_until_out_unplanned(rig, "n2", "n1")
    await rig.ask("n2", "work-ready n0")
    await wait_for_state(rig, "n2", "waiting", ["n0", "n2"], "n1 of zone z1 is out")
    assert rig.fault_count("cut")
    rig.heal()
    await wait_for_state(rig, "n0", "done")
    await wait_for_state(rig, "n2", "out")
    await finish(rig, "n2")


async def one_way_partition_hides_a_drain(rig: Rig) -> None:
    """An agent can send but not receive: it doesn't learn of the drain, and goes on calling the server."""
    leader = await rig.wait_for_leader()
    receives_nothing = next(name for name in rig.names if name != leader)
    for other in rig.names:
        if other != receives_nothing:
            rig.cut(other, receives_nothing)
    await request(rig, leader, "h0")
    others = [name for name in rig.names if name != receives_nothing]
    await wait_for_state(rig, "h0", "going", others, f"waits for {receives_nothing}")
    await wait_for_answers(rig)
    assert rig.fault_count("cut")
    rig.heal()
    await wait_for_state(rig, "h0", "out")
    await finish(rig, "h0")


async def concurrent_requests_and_the_leader_killed(rig: Rig) -> None:
    leader = await rig.wait_for_leader()
    first, second = (name for name in rig.names if name != leader)
    await asyncio.gather(request(rig, leader, "h0"), request(rig, first, "h0,h1"), request(rig, second, "h0"))
    await rig.kill(leader)
    await rig.wait_for_leader([first, second])
    await rig.start(leader)
    await request(rig, first, "h0")  # so that at least one is in the log
    await wait_for_state(rig, "h0", "refused")
    shown = [
        [line.split(None, 3)[:4] for line in await status(rig, name) if line[:1].isdigit()]
        for name in rig.names
    ]
    assert all(
        sum(line[1] == "h0" and not line[3].startswith("refused") for line in lines) == 1 for lines in shown
    ), shown

    async def all_done() -> bool:
        await report_ready(rig)
        lines = [line.split(None, 3) for line in await status(rig, "n0") if line[:1].isdigit()]
        return all(line[3].startswith(("done", "refused")) for line in lines)

    await rig.wait_until("one ticket is done, the others are refused", all_done)


async def agent_confirms_and_restarts_without_its_disk(rig: Rig) -> None:
    """An agent that has confirmed is killed and loses its disk: its confirmation is needed again."""
    rig.freeze("n2")
    await request(rig, "n0", "h0")
    await wait_for_state(rig, "h0", "going", ["n0", "n1", "n3"], "waits for n2")

    async def only_it() -> bool:
        return any("waits for n2" in line and "n3" not in line for line in await status(rig, "n0"))

    await rig.wait_until("the others have confirmed", only_it)
    await rig.kill("n3", disk=False)
    rig.cut_links("n3")  # known as a new process, it can neither read the log nor propose
    await rig.start("n3")
    await wait_for_state(rig, "h0", "going", ["n0", "n1"], "waits for n2, n3")
    rig.unfreeze("n2")
    await wait_for_state(rig, "h0", "going", ["n0", "n1", "n2"], "waits for n3")
    assert rig.fault_count("cut")
    rig.heal()
    await wait_for_state(rig, "h0", "out")
    await finish(rig, "h0")


async def random_faults(rig: Rig) -> None:
    """Seeded random kills, stalls and partitions while four machines are to go out."""
    rng = random.Random(rig.seed)
    down = set[str]()
    await request(rig, "n0", "h0,n1,h1,n2")
    for _ in range(10):
        name = rng.choice(rig.names)
        match rng.choice(("kill", "apart", "freeze", "ready", "ready")):
            case "kill" if not down:
                await rig.kill(name)
                down.add(name)
            case "apart":
                rig.partition([name])
            case "freeze" if name not in down:
                rig.freeze(name)
                await asyncio.sleep(rng.uniform(0.0, 2.0))
                rig.unfreeze(name)
            case _:
                rig.heal()
                for each in down:
                    await rig.start(each)
                down.clear()
                await report_ready(rig)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
    rig.heal()
    for each in down:
        await rig.start(each)

    async def all_done() -> bool:
        assert rig.environment is not None
        for lobby in rig.environment.lobbies:  # end calls that their clients no longer know of
            for call in [call for call, how in lobby.calls.items() if how == "stands"]:
                lobby.end(call)
        await report_ready(rig)
        return sum(" done: " in line for line in await status(rig, "n0")) == 4

    await rig.wait_until("all four are done", all_done)


async def report_ready(rig: Rig) -> None:
    for line in await status(rig, "n0"):
        if " out: may be touched" in line:
            await rig.ask("n0", f"work-ready {line.split()[1]}")


async def serves(rig: Rig, name: str) -> bool:
    return (await rig.ask(name, "ready"))[:1] == ["OK yes"]


async def wait_for_answers(rig: Rig, count: int = 20) -> None:
    assert rig.environment is not None
    observed = rig.environment.observed
    before = rig.environment.observed.answers

    async def answered() -> bool:
        return observed.answers >= before + count

    await rig.wait_until(f"{count} more answers", answered)


def check_tickets(rig: Rig, max_out: int) -> list[tuple[int, int, str, str]]:
    """Checks that all agents record the same ticket events and never more machines out than `max_out`.

    Returns the events in order, as (index, number, machine, state).
    """
    events: dict[tuple[int, int], tuple[str, str]] = {}
    for name in rig.names:
        for line in rig.records(name):
            if line["event"] == "ticket":
                event = (line["machine"], line["state"])
                key = (line["index"], line["number"])
                assert events.setdefault(key, event) == event, f"agents differ at {key}: {rig.history}"
    state: dict[int, str] = {}
    order = [(*key, *event) for key, event in sorted(events.items())]
    for index in sorted({entry[0] for entry in order}):
        state.update({number: to for at, number, _, to in order if at == index})
        assert sum(each in OUT_OF_SERVICE_STATES for each in state.values()) <= max_out, (
            f"too many out at {index}: {order}"
        )
    return order


def check_no_calls_while_out(rig: Rig) -> None:
    """Checks that no set-up reached a server from the first record of its ticket as out until its return."""
    assert rig.environment is not None
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
            calls_while_out = [
                call
                for at, server, call in rig.environment.observed.set_ups
                if server.endswith(f".{machine}") and since < at < until
            ]
            assert not calls_while_out, (
                f"{machine} received calls while out: {calls_while_out}; {rig.history}"
            )


SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        lobby_server_out_and_back,
        agent_out_and_restarted,
        leader_taken_out,
        partitioned_agent_delays_a_drain,
        drain_forced_by_an_operator,
        agent_killed_while_draining,
        overdue_machine_stops_the_plan,
        concurrent_requests_at_all_agents,
        majority_lost_with_a_server_out,
        agent_stalls_while_a_server_drains,
        never_two_zones_at_a_time,
        hold_cancel_and_go_on,
        lobby_server_fails_while_another_is_out,
        load_exceeds_the_remaining_capacity,
        client_that_never_pauses,
        zone_partitioned_during_its_own_maintenance,
        one_way_partition_hides_a_drain,
        concurrent_requests_and_the_leader_killed,
        agent_confirms_and_restarts_without_its_disk,
        random_faults,
    )
}
# The other scenarios have three agents; three are voters.
AGENT_COUNTS = {"agent_confirms_and_restarts_without_its_disk": 4}


async def run_scenario(folder: pathlib.Path, name: str, seed: int) -> None:
    (folder / name).mkdir()
    environment = Environment(1)
    async with Rig(
        folder / name, AGENT_COUNTS.get(name, 3), 3, seed, environment=environment, work={"warm_ms": 500.0}
    ) as rig:
        try:
            await rig.wait_for_leader()
            for each in rig.names:
                await rig.wait_until(f"{each} serves", lambda each=each: serves(rig, each))  # type: ignore[misc]
            environment.start_callers()
            environment.start_balancer(rig)

            async def all_known() -> bool:
                lines = await status(rig, "n0")
                return bool(lines) and not any("out unasked" in line for line in lines)

            await rig.wait_until("the log has all up", all_known)
            await wait_for_answers(rig)
            await SCENARIOS[name](rig)
            await wait_for_answers(rig)
            for each in rig.names:
                await rig.wait_until(f"{each} serves", lambda each=each: serves(rig, each))  # type: ignore[misc]
            await stop_callers(environment.callers)
            await end_calls_at_servers(environment.lobbies, environment.observed)
            assert environment.observed.violations == []
            await rig.note("n0")
            await rig.wait_for_convergence(1)
            await rig.check_records()
            order = check_tickets(rig, 3 if name == "never_two_zones_at_a_time" else 1)
            assert any(state == "out" for _, _, _, state in order)
            check_no_calls_while_out(rig)
        except AssertionError as problem:
            raise AssertionError(f"{name}, seed {seed}: {problem}; history: {rig.history}") from None


@pytest.mark.parametrize(
    "names", [tuple(SCENARIOS)[at : at + 7] for at in (0, 7, 14)], ids=["first", "second", "third"]
)
def test_work_on_machines_of_real_processes(names: tuple[str, ...], tmp_path: pathlib.Path) -> None:
    async def all_of_them() -> None:
        await asyncio.gather(*(run_scenario(tmp_path, name, 1) for name in names))

    asyncio.run(all_of_them())
