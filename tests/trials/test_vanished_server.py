"""Real processes: servers vanish with calls standing on them while discovery is down (issue 31)."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from trials.checker import check
from trials.discovery import Mode
from trials.history import Event, Kind
from trials.server import Behaviour
from trials.site import Day, Site, Size

CALLS_S = 2.0  # until enough calls stand
SILENCE_S = 10.0  # longer than callers may wait to be told
SHORT_CUT_S = 3.0
AFTER_S = 2.0
BEHAVIOUR = Behaviour(hold_s=20.0)


async def vanish(site: Site) -> None:
    """Two servers of six vanish, and do not return; discovery is down all the time."""
    await site.discovery_mode(Mode.DOWN)
    for name in ("s0", "s1"):
        site.servers[name].vanish()
    await asyncio.sleep(SILENCE_S)


async def cut_off(site: Site) -> None:
    """Two servers of six are cut off for a while, and go on with their calls."""
    await site.discovery_mode(Mode.DOWN)
    for name in ("s0", "s1"):
        site.servers[name].cut_links()
    await asyncio.sleep(SHORT_CUT_S)
    for name in ("s0", "s1"):
        site.servers[name].mend_links()
    await asyncio.sleep(SILENCE_S - SHORT_CUT_S)


async def played(folder: pathlib.Path, fault: object, day: Day) -> list[Event]:
    """The history of three agents under calls, with a fault."""
    assert callable(fault)
    site = Site(folder, 31, day, Size(servers=6, behaviour=BEHAVIOUR))
    try:
        await site.open()
        await asyncio.sleep(CALLS_S)
        await fault(site)
        await asyncio.sleep(AFTER_S)
    finally:
        await site.close()
    return site.history.events


@pytest.mark.parametrize("probes", [True, False], ids=["probes", "no probes"])
def test_callers_are_told_of_a_vanished_server_while_discovery_is_down(
    tmp_path: pathlib.Path, probes: bool
) -> None:
    events = asyncio.run(played(tmp_path, vanish, Day(probes=probes)))
    assert sum(event.kind is Kind.CUT for event in events) > 30
    assert check(events, Day(probes=probes)) == []


@pytest.mark.parametrize("probes", [True, False], ids=["probes", "no probes"])
def test_a_server_cut_off_for_3_s_keeps_its_calls(tmp_path: pathlib.Path, probes: bool) -> None:
    events = asyncio.run(played(tmp_path, cut_off, Day(probes=probes)))
    standing = {event.call for event in events if event.kind is Kind.ANSWERED}
    ended = {event.call for event in events if event.kind in (Kind.ENDED, Kind.RELEASED)}
    told = {event.call for event in events if event.kind is Kind.TOLD_OVER}
    assert len(standing - ended) > 30
    assert told - ended == set()
    assert check(events, Day(probes=probes)) == []
