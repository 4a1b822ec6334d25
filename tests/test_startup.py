"""Cold starts of hundreds of agents in a simulation with the production decision code, and unit tests of
pacing, feed, readiness and configuration.

Each scenario runs with several seeds, and must fail with pacing off and every agent a feeder."""

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
from frostport.startup import feed_events as feeding
from frostport.startup.feed import Feed, Role
from frostport.startup.messages import FeedUpdate, Subscribe
from frostport.startup.pacing import DialPacer
from frostport.startup.readiness import StagedReadiness, StartProgress
from frostport.startup.rendezvous import initial_servers, ranked
from frostport.startup.settings import Settings
from frostport.startup_coordinator import StartupCoordinator
from standins.cold_start_simulation import SimulatedSite, max_in_window

AGENT_COUNT = 200
DRAIN_GRACE_MS = 2000.0  # after this a draining server must get no new calls
# A list that is replaced by one sent just before an event: that event follows on the same connection.
MAX_OUTDATED_MS = 100.0


def wait_until_all_serve(site: SimulatedSite, within_ms: float) -> None:
    for _ in range(int(within_ms / 1000.0)):
        site.run(1000.0)
        if site.serving_count() == len(site.agents) == site.count:
            return
    not_ready = [
        (name, agent.readiness.waits_for, agent.feed.role.value)
        for name, agent in site.agents.items()
        if not agent.readiness.ready
    ]
    raise AssertionError(
        f"{len(not_ready)} agents do not serve: {not_ready[:5]}; collapsed: {site.collapsed()}"
    )


def assert_not_overloaded(site: SimulatedSite, since: float = 0.0) -> None:
    """Asserts that no target collapsed, and that none accepted too many connections within 100 ms."""
    assert site.collapsed() == []
    for name, endpoint in site.endpoints.items():
        limit = 10 if name == LIST_SERVICE else 25
        assert max_in_window([at for at in endpoint.accepted_at if at >= since]) <= limit, name


def assert_event_reaches_all(site: SimulatedSite, within_ms: float = DRAIN_GRACE_MS) -> None:
    offset = site.publish()
    site.run(3000.0)
    assert site.max_delay_ms(offset) <= within_ms, (
        f"an agent learned of the event after {site.max_delay_ms(offset):.0f} ms"
    )


# Scenarios


def start_all_at_once(site: SimulatedSite) -> None:
    wait_until_all_serve(site, 20_000.0)
    assert_event_reaches_all(site)


def service_and_servers_return(site: SimulatedSite) -> None:
    wait_until_all_serve(site, 20_000.0)
    for endpoint in site.endpoints.values():
        endpoint.go_down()
    site.run(10_000.0)
    began = site.now
    for endpoint in site.endpoints.values():
        endpoint.come_up()
    site.run(max(20_000.0, 100.0 * site.count))  # paced at 80 dials a second, after backoff has grown
    assert_not_overloaded(site, began)
    assert all(set(site.servers) <= agent.connected.keys() for agent in site.agents.values())
    assert sum(at >= began for at in site.endpoints[LIST_SERVICE].accepted_at) <= 20
    assert_event_reaches_all(site)


def service_fails_repeatedly(site: SimulatedSite) -> None:
    """The list service is back for 1 s at a time: each return must draw few enough dials."""
    wait_until_all_serve(site, 20_000.0)
    for _ in range(3):
        site.endpoints[LIST_SERVICE].go_down()
        site.run(5000.0)
        site.endpoints[LIST_SERVICE].come_up()
        site.run(1000.0)
    site.run(15_000.0)
    assert_event_reaches_all(site)


def feeders_fail_during_the_start(site: SimulatedSite) -> None:
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
    wait_until_all_serve(site, 25_000.0)
    site.run(5000.0)
    assert_event_reaches_all(site)


def feeders_stall(site: SimulatedSite) -> None:
    """Silent feeders still count as alive: other feeders must take over within the drain's grace period."""
    wait_until_all_serve(site, 20_000.0)
    site.run(3000.0)
    stalled = [
        name for name, agent in site.agents.items() if agent.zone == "z0" and agent.feed.role is Role.FEEDING
    ]
    assert stalled
    site.freeze(stalled, 8000.0)
    site.run(100.0)
    offset = site.publish()
    site.run(3000.0)
    delays = {
        name: agent.event_received_at.get(offset, site.now) - site.published_at[offset]
        for name, agent in site.agents.items()
        if name not in stalled
    }
    assert max(delays.values()) <= DRAIN_GRACE_MS, sorted(delays.items(), key=lambda item: -item[1])[:3]
    site.run(8000.0)
    assert_event_reaches_all(site)


def half_start_with_an_old_list(site: SimulatedSite) -> None:
    assert site.last_event == 100
    wait_until_all_serve(site, 20_000.0)
    site.run(3000.0)
    assert all(agent.offset == site.last_event for agent in site.agents.values())
    assert site.complete_lists <= 20
    assert_event_reaches_all(site)


def zone_partitioned_during_the_start(site: SimulatedSite) -> None:
    site.run(1500.0)
    site.isolate_zone("z1", 15_000.0)
    wait_until_all_serve(site, 30_000.0)
    assert_event_reaches_all(site)  # each zone has its own feeders
    site.run(15_000.0)
    assert_event_reaches_all(site)


def only_three_agents_are_visible(site: SimulatedSite) -> None:
    """No agent sees more than three others: each must pace its dials to the service for the whole fleet."""
    wait_until_all_serve(site, 90_000.0)


def rolling_restart_during_the_start(site: SimulatedSite) -> None:
    site.run(3000.0)
    for tenth in range(10):
        names = [name for name in site.agents if int(name[1:]) % 10 == tenth]
        site.kill(names)
        site.run(500.0)
        for name in names:
            site.start(int(name[1:]))
        site.run(500.0)
    wait_until_all_serve(site, 30_000.0)
    site.run(3000.0)
    assert_event_reaches_all(site)


def server_accepts_and_never_answers(site: SimulatedSite) -> None:
    site.endpoints["h1"].silent = True
    wait_until_all_serve(site, 20_000.0)
    assert_event_reaches_all(site)


CASES: dict[str, tuple[Callable[[SimulatedSite], None], dict[str, object]]] = {
    "all at once": (start_all_at_once, {}),
    "list service and lobby servers away for 10 s": (service_and_servers_return, {}),
    "it dies again and again": (service_fails_repeatedly, {}),
    "a zone's feeders die in the first second": (feeders_fail_during_the_start, {}),
    "feeders stall": (feeders_stall, {}),
    "half hold a list 100 events old": (
        half_start_with_an_old_list,
        {"offset": lambda number: 100 if number % 2 else 0},
    ),
    "clocks 5 s apart": (start_all_at_once, {"skew_ms": 5000.0}),
    "a zone is cut off": (zone_partitioned_during_the_start, {}),
    "three of all are seen": (only_three_agents_are_visible, {}),
    "a rolling restart": (rolling_restart_during_the_start, {}),
    "a server that never speaks": (server_accepts_and_never_answers, {}),
}


def build_site(case: str, count: int, seed: int, eager: bool = False) -> SimulatedSite:
    options = CASES[case][1]
    site = SimulatedSite(count, seed, eager=eager, **options)  # type: ignore[arg-type]
    if case == "half hold a list 100 events old":
        site.last_event = site.oldest_kept_event = 100
    if case == "three of all are seen":

        def hidden(viewer: str, other: str) -> bool:
            return (int(other[1:]) - int(viewer[1:])) % count > 3

        site.hidden = hidden
    return site


def run_scenario(case: str, count: int, seed: int, eager: bool = False) -> None:
    site = build_site(case, count, seed, eager)
    CASES[case][0](site)
    assert_not_overloaded(site)
    assert site.longest_outdated_ms() <= MAX_OUTDATED_MS


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CASES)
def test_a_cold_start_overloads_nothing_and_all_agents_serve(case: str, seed: int) -> None:
    run_scenario(case, AGENT_COUNT, seed)


@pytest.mark.parametrize("seed", range(3))
def test_agents_return_to_a_feeder_of_their_own_zone(seed: int) -> None:
    # Guards against half of the agents that stay with whichever feeder had a current list first.
    site = build_site("all at once", AGENT_COUNT, seed)
    start_all_at_once(site)
    site.run(10_000.0)
    sources = {name: agent.feed.source for name, agent in site.agents.items() if agent.feed.source}
    assert len(sources) > AGENT_COUNT / 2
    assert [name for name, source in sources.items() if site.zone(name) != site.zone(source)] == []


@pytest.mark.parametrize("case", ["all at once", "list service and lobby servers away for 10 s"])
def test_a_cold_start_of_a_thousand_agents(case: str) -> None:
    run_scenario(case, 1000, 9)


def test_each_scenario_fails_with_pacing_and_feeding_turned_off() -> None:
    for case in CASES:
        with pytest.raises(AssertionError):
            run_scenario(case, AGENT_COUNT, 0, eager=True)


# Unit tests


def test_dials_are_spread_over_the_window_and_redials_are_limited_by_tokens() -> None:
    pacing_settings = Settings(agents=200)
    pacers = [DialPacer(pacing_settings, random.Random(number), 0.0) for number in range(200)]
    first = sorted(pacer.schedule_first("h0", 0.0) for pacer in pacers)
    assert first[-1] <= 2500.0 and max_in_window(first) <= 20
    redials = sorted(pacer.schedule_redial("h1", 50_000.0) for pacer in pacers)
    assert max_in_window(redials) <= 20  # all agents lose their connection at the same moment
    single_pacer = pacers[0]
    now = 100_000.0
    dials = 0
    while now < 400_000.0:
        now += single_pacer.schedule_redial("h2", now) + 1.0
        dials += 1
    assert dials <= pacing_settings.redials + 300_000.0 / pacing_settings.redial_ms + 1.0


def test_reported_pressure_does_not_add_up_and_decays() -> None:
    first, second = (DialPacer(Settings(agents=100), random.Random(seed), 0.0) for seed in (1, 2))
    for _ in range(10):
        first.raise_pressure("h0", 0.0)
    for _ in range(100):  # levels reported back to their origin raise nothing
        for target, level in first.reportable_pressures(0.0):
            second.merge_pressure(target, level, 0.0)
        for target, level in second.reportable_pressures(0.0):
            first.merge_pressure(target, level, 0.0)
    assert first.pressure("h0", 0.0) == second.pressure("h0", 0.0) == 4.0
    assert second.pressure("h0", 10_000.0) == pytest.approx(1.0)
    second.merge_pressure("h0", float("nan"), 0.0)
    assert second.window_ms("h0", 0.0) == 4.0 * second.window_ms("h1", 0.0)


def test_an_on_demand_dial_goes_at_once_unless_other_agents_may_dial_the_target() -> None:
    pacer = DialPacer(Settings(agents=100), random.Random(1), 0.0)
    assert pacer.schedule_on_demand("h0", 100.0) > 0.0  # within the window of the start
    assert pacer.schedule_on_demand("h1", 10_000.0) == 0.0
    pacer.on_connected("h1", 10_000.0)
    delay = pacer.schedule_redial("h1", 20_000.0)
    assert pacer.schedule_on_demand("h1", 20_000.0) == pytest.approx(delay)  # the dial already scheduled
    pacer.on_connected("h1", 20_000.0 + delay)
    assert pacer.schedule_on_demand("h1", 30_000.0) == 0.0


def test_initial_servers_are_spread_evenly_over_agents_that_see_each_other() -> None:
    servers = [f"h{number}" for number in range(24)]
    names = [f"a{number}" for number in range(200)]
    load = dict.fromkeys(servers, 0)
    for name in names:
        chosen = initial_servers(servers, name, names, 4)
        assert len(chosen) == 4
        for server in chosen:
            load[server] += 1
    assert max(load.values()) - min(load.values()) <= 1
    assert initial_servers(servers[:3], "a1", names, 4) == set(servers[:3])
    departed = ranked("z", names, 3)[0]  # the others keep their order
    assert ranked("z", [name for name in names if name != departed], 2) == ranked("z", names, 3)[1:]


def test_readiness_waits_for_a_list_then_for_answering_servers_then_for_other_agents() -> None:
    readiness = StagedReadiness(Settings(agents=100, wave=0.25, wave_ms=5000.0), 0.0)
    assert not readiness.update(StartProgress(0, 0, 0), 0.0) and readiness.waits_for == "a list of servers"
    assert (
        not readiness.update(StartProgress(3, 1, 3), 10.0)
        and readiness.waits_for == "servers that answer: 1 of 2"
    )
    assert (
        not readiness.update(StartProgress(3, 2, 3, prepared=5), 20.0)
        and "its wave: 6 of 100" in readiness.waits_for
    )
    assert not readiness.update(StartProgress(3, 2, 3, prepared=5, serving=10), 5000.0)
    assert readiness.update(StartProgress(3, 2, 3, prepared=5, serving=10), 5020.0)
    assert readiness.update(StartProgress(0, 0, 0), 5030.0)  # once ready, it stays ready
    rolling = StagedReadiness(Settings(agents=100, wave=0.25), 0.0)
    assert rolling.update(StartProgress(3, 3, 3, serving=80), 0.0)


OWN_STREAM = "a"
# The content of a list is named by the position at which it is: `b"x 3"` leads from `x 2` to `x 3`.
streams = st.sampled_from(["x", "y"])
feed_updates = st.builds(
    lambda stream, after_number, count, age, connected, dials_service: FeedUpdate(
        after_number,
        tuple(b"%s %d" % (stream.encode(), after_number + 1 + n) for n in range(count)),
        age,
        connected,
        dials_service,
        stream=stream,
    ),
    streams,
    st.integers(0, 12),
    st.integers(0, 4),
    st.sampled_from([-1.0, 0.0, 900.0, 5000.0]),
    st.booleans(),
    st.booleans(),
)
snapshots = st.builds(
    lambda stream, number, age, connected: FeedUpdate(
        number,
        (b"%s %d" % (stream.encode(), number),),
        age,
        connected,
        connected,
        stream=stream,
        is_snapshot=True,
    ),
    streams,
    st.integers(0, 12),
    st.sampled_from([-1.0, 0.0, 900.0, 5000.0]),
    st.booleans(),
)
subscriptions = st.builds(
    lambda number, stream, complete: Subscribe(number, stream=stream, complete=complete),
    st.integers(0, 12),
    st.sampled_from(["", "x", "y", OWN_STREAM]),
    st.booleans(),
)
senders = st.sampled_from(["b", "c", "d"])
steps = st.one_of(
    st.tuples(st.just("told"), senders, feed_updates),
    st.tuples(st.just("told"), senders, snapshots),
    st.tuples(st.just("ask"), senders, subscriptions),
    st.tuples(st.just("members"), st.sets(st.sampled_from(["b", "c", "d", "e"])), st.none()),
    st.tuples(
        st.sampled_from(["up", "down", "event", "heartbeat", "unreadable", "tick"]), st.none(), st.none()
    ),
    st.tuples(st.just("time"), st.sampled_from([100.0, 1000.0, 4000.0]), st.none()),
)


@dataclasses.dataclass
class FeedModel:
    """Carries out the actions of one feed, and checks them against the list that they lead to."""

    feed: Feed
    now: float = 0.0
    position: tuple[str, int] = (OWN_STREAM, 0)
    own_number: int = 0  # the last one in the own stream
    heard_at: float = 0.0  # when the list was heard from the service at the latest, or the start
    connected: bool = False
    connect_requested: bool = False
    reads_events: bool = True

    def handle(self, event: feeding.Event) -> None:
        for action in self.feed.handle(event, self.now):
            match action:
                case feeding.ApplyEvents(events):
                    self.apply(events)
                case feeding.ApplySnapshot(complete_list):
                    assert isinstance(event, feeding.MessageReceived)
                    assert isinstance(event.message, FeedUpdate)
                    self.replace(complete_list, event.message.age_ms)
                case feeding.Connect(_):
                    assert not self.connect_requested, "two connections to the service"
                    self.connect_requested = True
                case feeding.Disconnect():
                    assert self.connect_requested
                    self.connected = self.connect_requested = False
                case feeding.Send(_, FeedUpdate() as update) if update.stream == self.position[0]:
                    assert update.after_number + len(update.events) <= self.position[1] or not update.events
        assert self.connect_requested is (self.feed.role in (Role.FEEDING, Role.STANDALONE))
        if self.feed.age_ms(self.now) < float("inf"):
            self.heard_at = max(self.heard_at, self.now - self.feed.age_ms(self.now))
        self.check_position()

    def apply(self, events: tuple[bytes, ...]) -> None:
        for line in events:
            if not self.reads_events:
                self.feed.handle(feeding.EventRejected(), self.now)
                self.return_to_own_stream()
                return
            stream, number = self.position
            assert line == b"%s %d" % (stream.encode(), number + 1), "S1: events skipped"
            self.position = (stream, number + 1)
            self.handle(feeding.EventApplied(line))

    def replace(self, complete_list: bytes, age_ms: float) -> None:
        stream, number = complete_list.decode().split()
        if stream == self.position[0]:
            assert int(number) > self.position[1], "S3: replaced by an older list of the same stream"
        else:
            assert age_ms >= 0.0 and self.now - age_ms >= self.heard_at, "S3: replaced by an older list"
        self.position = (stream, int(number))

    def return_to_own_stream(self) -> None:
        assert self.feed.changes.position.number > self.own_number, "a number of the own stream used twice"
        self.own_number = self.feed.changes.position.number
        self.position = (OWN_STREAM, self.own_number)

    def service_heard(self, event: bool) -> None:
        if self.position[0] != OWN_STREAM:
            self.own_number += 1  # nothing leads from the last own number to the list of another agent
        self.own_number += event
        self.position = (OWN_STREAM, self.own_number)
        self.handle(feeding.ServiceHeard(b"change" if event else b""))

    def check_position(self) -> None:
        found = self.feed.changes.position
        assert (found.stream, found.number) == self.position


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(steps, max_size=60))
def test_events_are_applied_in_order_and_a_newer_list_is_sought(
    script: list[tuple[str, object, object]],
) -> None:
    model = FeedModel(
        Feed("a", "z", OWN_STREAM, True, Settings(agents=4, feeders=1, patience_ms=5000.0), 0.0)
    )
    for what, first, second in script:
        match what:
            case "told" | "ask":
                model.handle(feeding.MessageReceived(str(first), second))  # type: ignore[arg-type]
            case "members":
                members = dict.fromkeys(sorted(first), "z")  # type: ignore[call-overload]
                model.handle(feeding.MembersChanged(members))
            case "up" if model.connect_requested:
                model.connected = True
                model.handle(feeding.ServiceConnected())
            case "down" if model.connect_requested:
                model.connected = False
                model.handle(feeding.ServiceDisconnected())
            case "event" | "heartbeat" if model.connected:
                model.service_heard(what == "event")
            case "unreadable":
                model.reads_events = not model.reads_events
            case "tick":
                model.handle(feeding.Tick())
            case "time":
                model.now += first  # type: ignore[operator]
    for _ in range(60):  # S2: without other agents it must dial the service itself
        model.now += 250.0
        model.handle(feeding.MembersChanged({}))
        model.handle(feeding.Tick())
    assert model.connect_requested


class TwoAgents:
    """A feeder and an agent that it feeds, each with a list of its own; messages arrive at once."""

    def __init__(self) -> None:
        self.now = 0.0
        options = Settings(agents=2, feeders=1)
        feeder = ranked("z", ["a", "b"], 1)[0]
        self.feeder, self.fed = (feeder, "b" if feeder == "a" else "a")
        self.feeds = {name: Feed(name, "z", f"{name} 1", True, options, self.now) for name in ("a", "b")}
        self.lists: dict[str, dict[str, str]] = {"a": {"h0": "ready"}, "b": {"h0": "ready"}}

    def handle(self, name: str, event: feeding.Event) -> None:
        feed = self.feeds[name]
        for action in feed.handle(event, self.now):
            match action:
                case feeding.Send(to, message):
                    self.handle(to, feeding.MessageReceived(name, message))
                case feeding.SendSnapshot(to):
                    snapshot = feed.snapshot_update(json.dumps(self.lists[name]).encode(), self.now)
                    self.handle(to, feeding.MessageReceived(name, snapshot))
                case feeding.ApplySnapshot(complete_list):
                    self.lists[name] = json.loads(complete_list)
                case feeding.ApplyEvents(events):
                    for line in events:
                        self.lists[name].update(json.loads(line))
                        self.handle(name, feeding.EventApplied(line))

    def pass_time(self, ms: float) -> None:
        for _ in range(int(ms / 250.0)):
            self.now += 250.0
            self.handle("a", feeding.Tick())
            self.handle("b", feeding.Tick())

    def publish(self, server: str, state: str) -> None:
        """The service, to which only the feeder is connected, sends one event."""
        self.lists[self.feeder][server] = state
        self.handle(self.feeder, feeding.ServiceHeard(json.dumps({server: state}).encode()))

    def restart_feeder(self) -> None:
        """A new start: its list is complete, and its numbers count from 1 again."""
        old = self.feeds[self.feeder]
        self.handle(self.fed, feeding.MembersChanged({}))
        self.feeds[self.feeder] = Feed(self.feeder, "z", f"{self.feeder} 2", True, old.settings, self.now)
        self.connect()

    def connect(self) -> None:
        self.handle("a", feeding.MembersChanged({"b": "z"}))
        self.handle("b", feeding.MembersChanged({"a": "z"}))
        self.handle(self.feeder, feeding.ServiceConnected())
        self.handle(self.feeder, feeding.ServiceHeard())


def test_a_drain_reaches_an_agent_whose_feeder_started_after_it() -> None:
    """Guards against a feeder whose numbers count from a later start: its events were passed over."""
    agents = TwoAgents()
    agents.connect()
    agents.pass_time(1000.0)
    for _ in range(5):
        agents.publish("h1", "ready")
    assert agents.lists[agents.fed] == {"h0": "ready", "h1": "ready"}
    agents.restart_feeder()
    agents.pass_time(1000.0)
    agents.publish("h0", "draining")
    assert agents.lists[agents.fed] == {"h0": "draining", "h1": "ready"}


def test_no_list_is_exchanged_with_an_agent_of_the_version_before() -> None:
    """Guards against numbers of the list service, which mean something else at each agent."""
    feed = Feed("a", "z", OWN_STREAM, True, Settings(agents=4), 0.0)
    feed.handle(feeding.MembersChanged({"b": "z"}), 0.0)
    for message in (
        Subscribe(3, version=1),
        FeedUpdate(0, (b"event",), 0.0, True, True, version=1),
    ):
        assert feed.handle(feeding.MessageReceived("b", message), 100.0) == []
    assert feed.changes.is_own and not feed.subscribers


def test_a_feeder_dials_the_new_address_of_the_service_and_a_fed_agent_does_not() -> None:
    recorded: list[str] = []
    fleet: Any = SimpleNamespace(record=SimpleNamespace(event=lambda what, **more: recorded.append(what)))
    coordinator = StartupCoordinator(Settings(agents=4), "a", fleet)
    coordinator.agent = SimpleNamespace(side=SimpleNamespace(bus=None))
    assert coordinator.first_delay_ms(LIST_SERVICE) == float("inf")  # the feed has not been created yet
    assert coordinator.distribution is not None
    feed = coordinator.distribution.feed = Feed("a", "z", "a", True, Settings(agents=4), 0.0)
    assert coordinator.first_delay_ms(LIST_SERVICE) == float("inf")
    feed.is_feeder = True
    feed.role = Role.FEEDING
    feed.connected = True
    assert coordinator.first_delay_ms(LIST_SERVICE) < float("inf") and not feed.connected and feed.dialing


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
def test_reader_and_schema_reject_an_invalid_field(section: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=f"startup.{field}"):
        config_startup.read({"startup": section})
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(section, SCHEMA)


def test_schema_and_reader_have_the_same_fields_and_defaults() -> None:
    assert {
        name: described["default"] for name, described in SCHEMA["properties"].items()
    } == dataclasses.asdict(Settings())
    section = {"agents": 200, "wave": 0.5}
    jsonschema.validate(section, SCHEMA)
    assert config_startup.read({"startup": section}) == Settings(agents=200, wave=0.5)
    with pytest.raises(ConfigError, match="startup"):
        config_startup.read({"startup": section, "diameter": {}})
