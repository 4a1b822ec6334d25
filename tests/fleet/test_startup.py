"""A cold start of 24 real processes with faults, checked by the records of the list service, the lobby
servers and the agents. No check depends on how fast the machine is."""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import dataclass
from typing import Any

from frostport.startup.feed import PARTIAL_VIEW_FACTOR
from frostport.startup.rendezvous import weight
from standins.cold_site import ColdSite
from standins.fleet import Rig

AGENTS = 24
SERVERS = 8
INITIAL_SERVERS = 2  # that each agent connects to at first
FEEDERS = 2  # in each of two zones
# Agents that may take themselves for a feeder while they see few others, which depends on their weight alone.
POSSIBLE_FEEDERS = sum(
    weight(f"z{number % 2}", f"n{number}") * AGENTS < PARTIAL_VIEW_FACTOR * FEEDERS * 2
    for number in range(AGENTS)
)


@dataclass(frozen=True)
class Publication:
    """A published change of one server's state, and how many records each agent had written before."""

    number: int
    server: str
    state: str
    records_before: dict[str, int]


class Scenario:
    """Takes one rig through the faults, one after the other."""

    def __init__(self, rig: Rig, site: ColdSite) -> None:
        self.rig = rig
        self.site = site
        self.list_service = site.limited_list

    async def startup_status(self, name: str) -> list[str]:
        return await self.rig.ask(name, "startup")

    async def wait_until_all_show(self, command: str, expected: str, names: list[str] | None = None) -> None:
        async def shown() -> bool:
            answers = await asyncio.gather(*(self.rig.ask(name, command) for name in names or self.rig.names))
            return all(any(expected in line for line in lines) for lines in answers)

        await self.rig.wait_until(f"{command} shows {expected!r} at all agents", shown)

    async def wait_for_feeders(self) -> None:
        """Waits until the feeders are connected to the list service, and no other agent is."""

        async def settled() -> bool:
            return len(self.list_service.connections) == 2 * FEEDERS

        await self.rig.wait_until(f"{2 * FEEDERS} agents are connected to the list service", settled)

    def feeders(self, zone: str) -> list[str]:
        feeders = []
        for name in self.rig.names:
            roles = [line for line in self.rig.records(name) if line["event"] == "feed"]
            if self.rig.zone(name) == zone and roles and roles[-1]["role"] == "feeding":
                feeders.append(name)
        return feeders

    async def wait_for_zone_feeders(self, zone: str) -> list[str]:
        """Waits until just as many agents as configured record that they are feeders of a zone.

        An agent that has replaced a stalled feeder keeps the role for a moment after that one is back, and
        may not have connected to the list service yet: the number of connections does not show it."""

        async def settled() -> bool:
            return len(self.feeders(zone)) == FEEDERS

        await self.rig.wait_until(f"{zone} has {FEEDERS} feeders", settled)
        return self.feeders(zone)

    def publish_event(self) -> Publication:
        """Publishes an event, in which a server drains or is ready again, unlike in the one before."""
        number = len(self.list_service.changes) + 1
        state = "draining" if number % 2 == 0 else "ready"
        entry = {**self.site.hosts[-1], "health": state}
        self.list_service.publish([entry])
        records_before = {name: len(self.rig.records(name)) for name in self.rig.names}
        return Publication(number, str(entry["host"]), state, records_before)

    def record_of(self, event: Publication, name: str) -> dict[str, Any] | None:
        """The record by which an agent has an event in its list, None if it has none.

        Agents can't be asked for the event's number: it counts from the start of each agent."""
        for line in self.rig.records(name)[event.records_before[name] :]:
            if line["event"] == "list" and line["servers"].get(event.server) == event.state:
                return line
        return None

    async def wait_for_event(
        self, event: Publication, names: list[str] | None = None
    ) -> dict[str, dict[str, Any]]:
        """Waits until all of these agents have the event in their list; returns the record of each."""
        found: dict[str, dict[str, Any]] = {}

        async def all_have() -> bool:
            for name in names or self.rig.names:
                if name not in found and (line := self.record_of(event, name)) is not None:
                    found[name] = line
            return set(names or self.rig.names) <= found.keys()

        await self.rig.wait_until(f"event {event.number} is in the list of all agents", all_have)
        return found

    def assert_not_overloaded(self, since: int, max_connections: int) -> None:
        """Asserts that the list service accepted few connections after the first `since`, that it sent no
        complete list, and that nothing collapsed."""
        assert len(self.list_service.accepted_at) - since <= max_connections, (
            len(self.list_service.accepted_at) - since
        )
        assert self.list_service.complete_lists == 0
        assert [name for name, party in self.site.endpoints().items() if party.processor.collapsed] == []

    # Faults

    async def all_agents_start_at_once(self) -> None:
        await self.wait_until_all_show("ready", "OK yes")
        handshakes = {lobby.name: len(lobby.accepted_at) for lobby in self.site.shared_servers}
        assert sum(handshakes.values()) <= AGENTS * INITIAL_SERVERS, handshakes
        self.assert_not_overloaded(0, POSSIBLE_FEEDERS)
        await self.wait_for_feeders()
        await self.wait_for_event(self.publish_event())

    async def service_and_servers_fail(self) -> None:
        for party in self.site.endpoints().values():
            party.go_down()

        async def noticed() -> bool:
            answers = await asyncio.gather(*(self.startup_status(name) for name in self.rig.names))
            return all(float(lines[1].split("heard ")[1].split()[0]) > 4000.0 for lines in answers if lines)

        await self.rig.wait_until("all agents know that the service is down", noticed)
        since = len(self.list_service.accepted_at)
        event = self.publish_event()
        for party in self.site.endpoints().values():
            await party.open()
        await self.wait_for_event(event)
        await self.wait_for_feeders()
        self.assert_not_overloaded(since, POSSIBLE_FEEDERS)

    async def feeders_stall(self) -> None:
        stalled = await self.wait_for_zone_feeders("z0")
        since = len(self.list_service.accepted_at)
        assert len(stalled) == FEEDERS
        for name in stalled:
            await self.rig.freeze_and_wait(name)
        event = self.publish_event()
        others = [name for name in self.rig.names if name not in stalled]
        found = await self.wait_for_event(event, others)
        for name in stalled:
            # The feeders were stopped all the time.
            assert self.record_of(event, name) is None
            self.rig.unfreeze(name)
        assert not {line["source"] for line in found.values()} & set(stalled)
        await self.wait_for_event(event)
        await self.wait_for_feeders()
        self.assert_not_overloaded(since, POSSIBLE_FEEDERS)

    async def feeders_die(self) -> None:
        dead = await self.wait_for_zone_feeders("z0")
        since = len(self.list_service.accepted_at)
        assert len(dead) == FEEDERS
        for name in dead:
            await self.rig.kill(name)
        others = [name for name in self.rig.names if name not in dead]
        await self.wait_for_event(self.publish_event(), others)
        await self.wait_for_feeders()  # two others of that zone have become feeders
        for name in dead:
            await self.rig.start(name)
        await self.wait_until_all_show("ready", "OK yes")
        await self.wait_for_event(self.publish_event())
        await self.wait_for_feeders()
        self.assert_not_overloaded(since, 2 * POSSIBLE_FEEDERS)

    async def zone_is_partitioned(self) -> None:
        since = len(self.list_service.accepted_at)
        self.rig.partition([name for name in self.rig.names if self.rig.zone(name) == "z1"])
        found = await self.wait_for_event(self.publish_event())
        assert all(
            not line["source"] or self.rig.zone(line["source"]) == self.rig.zone(name)
            for name, line in found.items()
        )
        assert self.rig.fault_count("cut")
        self.rig.heal()
        await self.wait_for_event(self.publish_event())
        await self.wait_for_feeders()
        self.assert_not_overloaded(since, POSSIBLE_FEEDERS)

    async def all_agents_serve(self) -> None:
        self.site.start_callers()
        await self.wait_until_all_show("show-stat", "app.answered.race:1")
        assert self.site.observed.violations == []


async def run_scenario(folder: pathlib.Path, **startup: Any) -> None:
    site = ColdSite(1, SERVERS)
    rig = Rig(
        folder,
        AGENTS,
        3,
        1,
        environment=site,
        extra_config={
            "startup": {
                "agents": AGENTS,
                "servers": INITIAL_SERVERS,
                "feeders": FEEDERS,
                "patience_ms": 60_000.0,
                **startup,
            }
        },
    )
    rig.relays_between_zones_only = True
    async with rig:
        scenario = Scenario(rig, site)
        for step in (
            scenario.all_agents_start_at_once,
            scenario.service_and_servers_fail,
            scenario.feeders_stall,
            scenario.feeders_die,
            scenario.zone_is_partitioned,
            scenario.all_agents_serve,
        ):
            rig.add_history(step.__name__)
            await step()
        assert "Traceback" not in (folder / "log").read_text(encoding="utf-8")


def test_a_cold_start_of_24_processes_with_faults(tmp_path: pathlib.Path) -> None:
    asyncio.run(run_scenario(tmp_path))
