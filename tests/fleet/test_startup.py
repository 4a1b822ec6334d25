"""A cold start of 24 real processes, and what may befall it; judged by the records of the list service and
the lobby servers, and by the agents' own. Nothing here rests on how fast the machine is."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

from frostport.startup.feed import THINNED
from frostport.startup.placing import weight
from standins.cold_site import ColdSite
from standins.fleet import Rig

COUNT, SERVERS, CHOSEN, FEEDERS = 24, 8, 2, 2  # feeders: of each of two zones
# Who may take itself for a feeder while it sees few others: by its name's weight alone.
FEW = sum(weight(f"z{number % 2}", f"n{number}") * COUNT < THINNED * FEEDERS * 2 for number in range(COUNT))


class Story:
    """One rig through all that befalls it."""

    def __init__(self, rig: Rig, site: ColdSite) -> None:
        self.rig, self.site, self.list = rig, site, site.limited_list

    async def startup(self, name: str) -> list[str]:
        return await self.rig.ask(name, "startup")

    async def everybody(self, what: str, shows: str, names: list[str] | None = None) -> None:
        async def shown() -> bool:
            said = await asyncio.gather(*(self.rig.ask(name, what) for name in names or self.rig.names))
            return all(any(shows in line for line in lines) for lines in said)

        await self.rig.wait_until(f"{what} shows {shows!r} at all", shown)

    async def feeders_settle(self) -> None:
        """In the end the list service has the chosen few, and no others."""

        async def settled() -> bool:
            return len(self.list.connections) == 2 * FEEDERS

        await self.rig.wait_until(f"{2 * FEEDERS} agents hear the list service", settled)

    def feeders(self, zone: str) -> list[str]:
        found = []
        for name in self.rig.names:
            roles = [line for line in self.rig.records(name) if line["event"] == "feed"]
            if self.rig.zone(name) == zone and roles and roles[-1]["role"] == "feeding":
                found.append(name)
        return found

    def tell(self) -> int:
        """One event more: a server drains, or is ready again."""
        number = len(self.list.events) + 1
        state = "draining" if number % 2 == 0 else "ready"
        self.list.publish([{**self.site.hosts[-1], "health": state}])
        return number

    async def heard(self, number: int, names: list[str] | None = None) -> dict[str, dict[str, Any]]:
        """All of these have it in their list; who has it from whom."""
        found: dict[str, dict[str, Any]] = {}

        async def all_have() -> bool:
            for name in names or self.rig.names:
                for line in self.rig.records(name):
                    if line["event"] == "list" and line["offset"] == number:
                        found[name] = line
            return set(names or self.rig.names) <= found.keys()

        await self.rig.wait_until(f"event {number} is in the list at all", all_have)
        return found

    def spared(self, since: int, most: int) -> None:
        assert len(self.list.accepted_at) - since <= most, len(self.list.accepted_at) - since
        assert self.list.whole_lists == 0
        assert [name for name, party in self.site.endpoints().items() if party.processor.collapsed] == []

    # What befalls it

    async def start_at_once(self) -> None:
        await self.everybody("ready", "OK yes")
        handshakes = {lobby.name: len(lobby.accepted_at) for lobby in self.site.shared_servers}
        assert sum(handshakes.values()) <= COUNT * CHOSEN, handshakes
        self.spared(0, FEW)
        await self.feeders_settle()
        await self.heard(self.tell())

    async def service_and_servers_away(self) -> None:
        for party in self.site.endpoints().values():
            party.go_down()

        async def noticed() -> bool:
            said = await asyncio.gather(*(self.startup(name) for name in self.rig.names))
            return all(float(lines[1].split("heard ")[1].split()[0]) > 4000.0 for lines in said if lines)

        await self.rig.wait_until("all know that the service is away", noticed)
        since, number = len(self.list.accepted_at), self.tell()
        for party in self.site.endpoints().values():
            await party.open()
        await self.heard(number)
        await self.feeders_settle()
        self.spared(since, FEW)

    async def feeders_stall(self) -> None:
        stalled, since = self.feeders("z0"), len(self.list.accepted_at)
        assert len(stalled) == FEEDERS
        for name in stalled:
            await self.rig.freeze_and_wait(name)
        number, others = self.tell(), [name for name in self.rig.names if name not in stalled]
        found = await self.heard(number, others)
        for name in stalled:
            assert not any(
                line["event"] == "list" and line["offset"] == number for line in self.rig.records(name)
            )  # they did stand still
            self.rig.unfreeze(name)
        assert not {line["source"] for line in found.values()} & set(stalled)
        await self.heard(number)
        await self.feeders_settle()
        self.spared(since, FEW)

    async def feeders_die(self) -> None:
        dead, since = self.feeders("z0"), len(self.list.accepted_at)
        assert len(dead) == FEEDERS
        for name in dead:
            await self.rig.kill(name)
        others = [name for name in self.rig.names if name not in dead]
        await self.heard(self.tell(), others)
        await self.feeders_settle()  # two others of that zone have taken their place
        for name in dead:
            await self.rig.start(name)
        await self.everybody("ready", "OK yes")
        await self.heard(self.tell())
        await self.feeders_settle()
        self.spared(since, 2 * FEW)

    async def a_zone_is_cut_off(self) -> None:
        since = len(self.list.accepted_at)
        self.rig.partition([name for name in self.rig.names if self.rig.zone(name) == "z1"])
        found = await self.heard(self.tell())
        assert all(
            not line["source"] or self.rig.zone(line["source"]) == self.rig.zone(name)
            for name, line in found.items()
        )
        assert self.rig.fault_count("cut")
        self.rig.heal()
        await self.heard(self.tell())
        await self.feeders_settle()
        self.spared(since, FEW)

    async def all_serve(self) -> None:
        self.site.start_callers()
        await self.everybody("show-stat", "app.answered.race:1")
        assert self.site.observed.faults == []


async def told(folder: pathlib.Path, **startup: Any) -> None:
    site = ColdSite(1, SERVERS)
    rig = Rig(
        folder,
        COUNT,
        3,
        1,
        environment=site,
        extra_config={
            "startup": {
                "agents": COUNT,
                "servers": CHOSEN,
                "feeders": FEEDERS,
                "patience_ms": 60_000.0,
                **startup,
            }
        },
    )
    rig.relays_between_zones_only = True
    async with rig:
        story = Story(rig, site)
        for part in (
            story.start_at_once,
            story.service_and_servers_away,
            story.feeders_stall,
            story.feeders_die,
            story.a_zone_is_cut_off,
            story.all_serve,
        ):
            rig.add_history(part.__name__)
            await part()
        assert "Traceback" not in (folder / "log").read_text(encoding="utf-8")


def test_a_cold_start_of_24_processes_and_what_may_befall_it(tmp_path: pathlib.Path) -> None:
    asyncio.run(told(tmp_path))
