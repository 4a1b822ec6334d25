"""Cold starts of hundreds of agents on one simulated clock, by the decisions that serve; each hard case from
several seeds, each red with its part turned off; turns, feed and waves by themselves."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import jsonschema
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostport import config_startup
from frostport.config import ConfigError
from frostport.core.dial_policy import LIST_SERVICE
from frostport.starting import Starting
from frostport.startup import feed as feeding
from frostport.startup.feed import Feed, Role
from frostport.startup.messages import Ask, Told
from frostport.startup.placing import chosen_servers, ranked
from frostport.startup.settings import Settings
from frostport.startup.turns import Turns
from frostport.startup.waves import Local, Waves
from standins.cold_start_simulation import SimulatedSite, max_in_window

COUNT = 200
DRAIN_MS = 2000.0  # nothing new goes to a draining server after that


def all_serve(site: SimulatedSite, within_ms: float) -> None:
    for _ in range(int(within_ms / 1000.0)):
        site.run(1000.0)
        if site.serving_count() == len(site.agents) == site.count:
            return
    left = [
        (name, agent.waves.why, agent.feed.role.value)
        for name, agent in site.agents.items()
        if not agent.waves.ready
    ]
    raise AssertionError(f"{len(left)} do not serve: {left[:5]}; collapsed: {site.collapsed()}")


def spared(site: SimulatedSite, since: float = 0.0) -> None:
    """Nothing collapsed, and nobody was rushed."""
    assert site.collapsed() == []
    for name, party in site.endpoints.items():
        most = 10 if name == LIST_SERVICE else 25
        assert max_in_window([at for at in party.accepted_at if at >= since]) <= most, name


def heard(site: SimulatedSite, within_ms: float = DRAIN_MS) -> None:
    offset = site.publish()
    site.run(3000.0)
    assert site.max_delay_ms(offset) <= within_ms, (
        f"an agent heard of it after {site.max_delay_ms(offset):.0f} ms"
    )


# Hard cases


def all_at_once(site: SimulatedSite) -> None:
    all_serve(site, 20_000.0)
    heard(site)


def service_away_and_back(site: SimulatedSite) -> None:
    all_serve(site, 20_000.0)
    for party in site.endpoints.values():
        party.go_down()
    site.run(10_000.0)
    began = site.now
    for party in site.endpoints.values():
        party.come_up()
    site.run(max(20_000.0, 100.0 * site.count))  # at 80 a second, with gaps that have grown
    spared(site, began)
    assert all(set(site.servers) <= agent.connected.keys() for agent in site.agents.values())
    assert sum(at >= began for at in site.endpoints[LIST_SERVICE].accepted_at) <= 20
    heard(site)


def away_again_from_the_rush(site: SimulatedSite) -> None:
    """It returns, and dies again; its first return brings few enough."""
    all_serve(site, 20_000.0)
    for _ in range(3):
        site.endpoints[LIST_SERVICE].go_down()
        site.run(5000.0)
        site.endpoints[LIST_SERVICE].come_up()
        site.run(1000.0)
    site.run(15_000.0)
    heard(site)


def feeders_die_in_the_first_second(site: SimulatedSite) -> None:
    site.run(2000.0)
    for _ in range(3):
        site.kill(
            [
                name
                for name, agent in site.agents.items()
                if agent.zone == "z0" and agent.feed.role is Role.FEEDING
            ]
        )
        site.run(300.0)
    site.count = len(site.agents)
    all_serve(site, 25_000.0)
    site.run(5000.0)
    heard(site)


def feeders_stall(site: SimulatedSite) -> None:
    """They are alive as far as anyone knows, and say nothing: others feed within the drain's grace."""
    all_serve(site, 20_000.0)
    site.run(3000.0)
    stalled = [
        name for name, agent in site.agents.items() if agent.zone == "z0" and agent.feed.role is Role.FEEDING
    ]
    assert stalled
    site.freeze(stalled, 8000.0)
    site.run(100.0)
    offset = site.publish()
    site.run(3000.0)
    late = {
        name: agent.event_received_at.get(offset, site.now) - site.published_at[offset]
        for name, agent in site.agents.items()
        if name not in stalled
    }
    assert max(late.values()) <= DRAIN_MS, sorted(late.items(), key=lambda each: -each[1])[:3]
    site.run(8000.0)
    heard(site)


def half_hold_an_old_list(site: SimulatedSite) -> None:
    assert site.last_event == 100
    all_serve(site, 20_000.0)
    site.run(3000.0)
    assert all(agent.offset == site.last_event for agent in site.agents.values())
    assert site.whole_lists <= 20
    heard(site)


def a_zone_cut_off_during_the_start(site: SimulatedSite) -> None:
    site.run(1500.0)
    site.isolate_zone("z1", 15_000.0)
    all_serve(site, 30_000.0)
    heard(site)  # each zone has feeders of its own
    site.run(15_000.0)
    heard(site)


def three_of_all_are_seen(site: SimulatedSite) -> None:
    """Nobody sees more than three: each takes its turn at the service as if all did."""
    all_serve(site, 90_000.0)


def a_rolling_restart_in_the_middle(site: SimulatedSite) -> None:
    site.run(3000.0)
    for tenth in range(10):
        names = [name for name in site.agents if int(name[1:]) % 10 == tenth]
        site.kill(names)
        site.run(500.0)
        for name in names:
            site.start(int(name[1:]))
        site.run(500.0)
    all_serve(site, 30_000.0)
    site.run(3000.0)
    heard(site)


def one_that_accepts_and_never_speaks(site: SimulatedSite) -> None:
    site.endpoints["h1"].silent = True
    all_serve(site, 20_000.0)
    heard(site)


CASES: dict[str, tuple[Callable[[SimulatedSite], None], dict[str, object]]] = {
    "all at once": (all_at_once, {}),
    "list service and lobby servers away for 10 s": (service_away_and_back, {}),
    "it dies again and again": (away_again_from_the_rush, {}),
    "a zone's feeders die in the first second": (feeders_die_in_the_first_second, {}),
    "feeders stall": (feeders_stall, {}),
    "half hold a list 100 events old": (
        half_hold_an_old_list,
        {"offset": lambda number: 100 if number % 2 else 0},
    ),
    "clocks 5 s apart": (all_at_once, {"skew_ms": 5000.0}),
    "a zone is cut off": (a_zone_cut_off_during_the_start, {}),
    "three of all are seen": (three_of_all_are_seen, {}),
    "a rolling restart": (a_rolling_restart_in_the_middle, {}),
    "a server that never speaks": (one_that_accepts_and_never_speaks, {}),
}


def made(case: str, count: int, seed: int, eager: bool = False) -> SimulatedSite:
    more = CASES[case][1]
    site = SimulatedSite(count, seed, eager=eager, **more)  # type: ignore[arg-type]
    if case == "half hold a list 100 events old":
        site.last_event = site.oldest_kept_event = 100
    if case == "three of all are seen":

        def hidden(viewer: str, other: str) -> bool:
            return (int(other[1:]) - int(viewer[1:])) % count > 3

        site.hidden = hidden
    return site


def played(case: str, count: int, seed: int, eager: bool = False) -> None:
    site = made(case, count, seed, eager)
    CASES[case][0](site)
    spared(site)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CASES)
def test_a_cold_start_spares_all_and_all_serve(case: str, seed: int) -> None:
    played(case, COUNT, seed)


@pytest.mark.parametrize("case", ["all at once", "list service and lobby servers away for 10 s"])
def test_a_thousand(case: str) -> None:
    played(case, 1000, 9)


def test_each_case_is_red_with_the_part_turned_off() -> None:
    for case in CASES:
        with pytest.raises(AssertionError):
            played(case, COUNT, 0, eager=True)


# The parts by themselves


def test_turns_are_spread_over_the_window_with_gaps_that_grow_and_tokens_that_run_out() -> None:
    at = Settings(agents=200)
    agents = [Turns(at, random.Random(number), 0.0) for number in range(200)]
    first = sorted(turns.first("h0", 0.0) for turns in agents)
    assert first[-1] <= 2500.0 and max_in_window(first) <= 20
    again = sorted(turns.again("h1", 50_000.0) for turns in agents)
    assert max_in_window(again) <= 20  # also the first redial after a loss that all have seen at once
    one, now, dials = agents[0], 100_000.0, 0
    while now < 400_000.0:
        now += one.again("h2", now) + 1.0
        dials += 1
    assert dials <= at.redials + 300_000.0 / at.redial_ms + 1.0


def test_pressure_is_passed_on_once_and_goes() -> None:
    one, other = (Turns(Settings(agents=100), random.Random(seed), 0.0) for seed in (1, 2))
    for _ in range(10):
        one.pressed("h0", 0.0)
    for _ in range(100):  # words that go in circles add nothing
        for target, level in one.pressures(0.0):
            other.heard(target, level, 0.0)
        for target, level in other.pressures(0.0):
            one.heard(target, level, 0.0)
    assert one.pressure("h0", 0.0) == other.pressure("h0", 0.0) == 4.0
    assert other.pressure("h0", 10_000.0) == pytest.approx(1.0)
    other.heard("h0", float("nan"), 0.0)
    assert other.window_ms("h0", 0.0) == 4.0 * other.window_ms("h1", 0.0)


def test_a_needed_dial_goes_at_once_only_where_nobody_else_may_be_dialling() -> None:
    turns = Turns(Settings(agents=100), random.Random(1), 0.0)
    assert turns.needed("h0", 100.0) > 0.0  # the start's own window
    assert turns.needed("h1", 10_000.0) == 0.0
    turns.up("h1", 10_000.0)
    wait = turns.again("h1", 20_000.0)
    assert turns.needed("h1", 20_000.0) == pytest.approx(wait)  # the turn it has
    turns.up("h1", 20_000.0 + wait)
    assert turns.needed("h1", 30_000.0) == 0.0


def test_servers_are_spread_evenly_over_agents_that_see_each_other() -> None:
    servers, names = [f"h{number}" for number in range(24)], [f"a{number}" for number in range(200)]
    load = dict.fromkeys(servers, 0)
    for name in names:
        chosen = chosen_servers(servers, name, names, 4)
        assert len(chosen) == 4
        for server in chosen:
            load[server] += 1
    assert max(load.values()) - min(load.values()) <= 1
    assert chosen_servers(servers[:3], "a1", names, 4) == set(servers[:3])
    gone = ranked("z", names, 3)[0]  # one leaves: the others keep their rank
    assert ranked("z", [name for name in names if name != gone], 2) == ranked("z", names, 3)[1:]


def test_ready_waits_for_a_list_for_servers_that_answer_and_for_its_wave() -> None:
    waves = Waves(Settings(agents=100, wave=0.25, wave_ms=5000.0), 0.0)
    assert not waves.look(Local(0, 0, 0), 0.0) and waves.why == "a list of servers"
    assert not waves.look(Local(3, 1, 3), 10.0) and waves.why == "servers that answer: 1 of 2"
    assert not waves.look(Local(3, 2, 3, prepared=5), 20.0) and "its wave: 6 of 100" in waves.why
    assert not waves.look(Local(3, 2, 3, prepared=5, serving=10), 5000.0)
    assert waves.look(Local(3, 2, 3, prepared=5, serving=10), 5020.0)
    assert waves.look(Local(0, 0, 0), 5030.0)  # once it serves, this is over
    rolling = Waves(Settings(agents=100, wave=0.25), 0.0)
    assert rolling.look(Local(3, 3, 3, serving=80), 0.0)


told = st.builds(
    lambda at, count, age, here, asks: Told(
        at, tuple(b"event %d" % (at + 1 + n) for n in range(count)), age, here, asks
    ),
    st.integers(0, 12),
    st.integers(0, 4),
    st.sampled_from([-1.0, 0.0, 900.0, 5000.0]),
    st.booleans(),
    st.booleans(),
)
steps = st.one_of(
    st.tuples(st.just("told"), st.sampled_from(["b", "c", "d"]), told),
    st.tuples(st.just("ask"), st.sampled_from(["b", "c", "d"]), st.builds(Ask, st.integers(0, 12))),
    st.tuples(st.just("members"), st.sets(st.sampled_from(["b", "c", "d", "e"])), st.none()),
    st.tuples(st.sampled_from(["up", "down", "word", "tick"]), st.none(), st.none()),
    st.tuples(st.just("time"), st.sampled_from([100.0, 1000.0, 4000.0]), st.none()),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(steps, max_size=60))
def test_whatever_comes_events_are_taken_in_order_and_an_old_list_is_looked_after(
    script: list[tuple[str, object, object]],
) -> None:
    feed, now, offset = Feed("a", "z", 0, Settings(agents=4, feeders=1, patience_ms=5000.0), 0.0), 0.0, 0
    connected = asked = False

    def do(event: feeding.Event) -> None:
        nonlocal offset, connected, asked
        for action in feed.handle(event, now):
            match action:
                case feeding.Take(events):
                    for line in events:
                        assert int(line.split()[1]) <= offset + 1, "S1: a gap"
                        offset = max(offset, int(line.split()[1]))
                        do(feeding.Applied(offset, line))
                case feeding.Connect(_):
                    assert not asked, "two connections to the service"
                    asked = True
                case feeding.Disconnect():
                    assert asked
                    connected = asked = False
                case feeding.Say(_, Told(at, events)):
                    assert at + len(events) <= offset or not events
        assert feed.offset == offset
        assert asked is (feed.role in (Role.FEEDING, Role.ALONE))

    for what, first, second in script:
        match what:
            case "told" | "ask":
                do(feeding.Heard(str(first), second))  # type: ignore[arg-type]
            case "members":
                do(feeding.Members(dict.fromkeys(sorted(first), "z")))  # type: ignore[call-overload]
            case "up" if asked:
                connected = True
                do(feeding.Up())
            case "down" if asked:
                connected = False
                do(feeding.Down())
            case "word" if connected:
                offset += 1
                do(feeding.Word(offset, b"event %d" % offset))
            case "tick":
                do(feeding.Tick())
            case "time":
                now += first  # type: ignore[operator]
    for _ in range(60):  # S2: with nobody to hear, it goes to the service itself
        now += 250.0
        do(feeding.Members({}))
        do(feeding.Tick())
    assert asked


def test_an_agent_that_hears_the_service_dials_its_new_address_and_one_that_is_fed_does_not() -> None:
    said: list[str] = []
    fleet: Any = SimpleNamespace(record=SimpleNamespace(event=lambda what, **more: said.append(what)))
    part = Starting(Settings(agents=4), "a", fleet)
    part.agent = SimpleNamespace(side=SimpleNamespace(bus=None))
    assert part.first_delay_ms(LIST_SERVICE) == float("inf")  # before the feed has begun
    part.feed = Feed("a", "z", 0, Settings(agents=4), 0.0)
    assert part.first_delay_ms(LIST_SERVICE) == float("inf")
    part.feed.first, part.feed.role, part.feed.here = True, Role.FEEDING, True
    assert part.first_delay_ms(LIST_SERVICE) < float("inf") and not part.feed.here and part.feed.dialling


# The configuration

SCHEMA = json.loads(
    (pathlib.Path(__file__).parent.parent / "deploy" / "config.schema.json").read_text(encoding="utf-8")
)["properties"]["startup"]


@pytest.mark.parametrize(
    "section, field",
    [
        ({"agents": 0}, "agents"),
        ({"agents": 1.5}, "agents"),
        ({"wave": 2}, "wave"),
        ({"old_ms": "soon"}, "old_ms"),
        ({"old_ms": 500}, "old_ms"),
        ({"feeders": True}, "feeders"),
        ({"nonsense": 1}, "nonsense"),
        ({"lists_a_second": 0}, "lists_a_second"),
    ],
)
def test_a_bad_field_is_named_by_reader_and_schema_alike(section: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=f"startup.{field}"):
        config_startup.read({"startup": section})
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(section, SCHEMA)


def test_the_schema_names_what_the_reader_knows_with_the_same_defaults() -> None:
    assert {name: told["default"] for name, told in SCHEMA["properties"].items()} == dataclasses.asdict(
        Settings()
    )
    given = {"agents": 200, "wave": 0.5}
    jsonschema.validate(given, SCHEMA)
    assert config_startup.read({"startup": given}) == Settings(agents=200, wave=0.5)
    with pytest.raises(ConfigError, match="startup"):
        config_startup.read({"startup": given, "diameter": {}})
