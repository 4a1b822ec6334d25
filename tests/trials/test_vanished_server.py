"""Real processes: servers with established calls vanish or are cut off while discovery is down.

Guards against callers that are notified late, since discovery cannot report the servers as gone.
"""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from trials.checker import check
from trials.discovery import Mode
from trials.history import Event, Kind
from trials.server import ServerBehaviour
from trials.site import Site, Size, TrialSettings

ESTABLISH_S = 2.0  # until enough calls are established
FAULT_S = 10.0  # longer than callers may wait to be notified
SHORT_CUT_S = 3.0
SETTLE_S = 2.0
SERVER_BEHAVIOUR = ServerBehaviour(hold_s=20.0)


async def vanish(site: Site) -> None:
    """Two of six servers vanish for good; discovery is down all the time."""
    await site.set_discovery_mode(Mode.DOWN)
    for name in ("s0", "s1"):
        site.servers[name].vanish()
    await asyncio.sleep(FAULT_S)


async def cut_off(site: Site) -> None:
    """Two of six servers are cut off for `SHORT_CUT_S` and keep their calls; discovery is down."""
    await site.set_discovery_mode(Mode.DOWN)
    for name in ("s0", "s1"):
        site.servers[name].cut_links()
    await asyncio.sleep(SHORT_CUT_S)
    for name in ("s0", "s1"):
        site.servers[name].restore_links()
    await asyncio.sleep(FAULT_S - SHORT_CUT_S)


async def played(folder: pathlib.Path, fault: object, settings: TrialSettings) -> list[Event]:
    """The history of a site of three agents and six servers that is put under a fault."""
    assert callable(fault)
    site = Site(folder, 31, settings, Size(servers=6, server_behaviour=SERVER_BEHAVIOUR))
    try:
        await site.open()
        await asyncio.sleep(ESTABLISH_S)
        await fault(site)
        await asyncio.sleep(SETTLE_S)
    finally:
        await site.close()
    return site.history.events


@pytest.mark.parametrize("probes", [True, False], ids=["probes", "no probes"])
def test_callers_are_notified_of_a_vanished_server_while_discovery_is_down(
    tmp_path: pathlib.Path, probes: bool
) -> None:
    events = asyncio.run(played(tmp_path, vanish, TrialSettings(probes=probes)))
    assert sum(event.kind is Kind.CUT for event in events) > 30
    assert check(events, TrialSettings(probes=probes)) == []


@pytest.mark.parametrize("probes", [True, False], ids=["probes", "no probes"])
def test_a_server_cut_off_for_3_s_keeps_its_calls(tmp_path: pathlib.Path, probes: bool) -> None:
    events = asyncio.run(played(tmp_path, cut_off, TrialSettings(probes=probes)))
    established = {event.call for event in events if event.kind is Kind.ANSWERED}
    ended = {event.call for event in events if event.kind in (Kind.ENDED, Kind.RELEASED)}
    notified = {event.call for event in events if event.kind is Kind.TOLD_OVER}
    assert len(established - ended) > 30
    assert notified - ended == set()
    assert check(events, TrialSettings(probes=probes)) == []
