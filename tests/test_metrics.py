"""The metrics of an agent, compared with calls that the test makes itself, on a simulated clock."""

from __future__ import annotations

from typing import Any

from frostport.observe.statsd import StatsdMetrics
from tests.scenario import World, event, host, lines, platform


def metrics(world: World) -> dict[str, int]:
    output = world.ask("show-stat").split("\n")
    assert output[-2:] == ["END", ""], output
    found = {}
    for line in output[:-2]:
        name, _, rest = line.partition(":")
        value, _, kind = rest.partition("|")
        assert name.startswith("app.") and kind in ("c", "g"), line
        found[name.removeprefix("app.")] = int(value)
    return found


def world_after(script: str, **more: Any) -> World:
    world = World({**platform(), "operator": "10.0.9.1:3", **more})
    for _, line in lines(script):
        world.step(line)
    return world


def test_every_metric_starts_at_0_except_list_size_and_loads() -> None:
    assert metrics(world_after("")) == {
        "answered.race": 0,
        "deferred.race": 0,
        "errored.race": 0,
        "sends.race": 0,
        "current": 0,
        "cluster_size": 2,
        "cluster_unhealthy": 0,
        "conf_loaded": 1,
        "conf_invalid": 0,
        "calls_cut": 0,
        "servers_suspected": 0,
        "releases_unconfirmed": 0,
    }


def test_each_metric_counts_its_event() -> None:
    world = world_after("""
        send c1 START a class=race left=3000 extras=dest:0
        expect s0 START a
        send c1 START b class=race left=300 extras=dest:1
        expect s1 START b
    """)
    assert metrics(world)["current"] == 2 and metrics(world)["sends.race"] == 2
    for _, line in lines("""
        send s0 STARTED a blob=answer
        expect c1 STARTED a
        wait 400
        expect c1 FINISH b rc=41
    """):
        world.step(line)
    seen = metrics(world)
    # The established call a is current.
    assert (seen["answered.race"], seen["errored.race"], seen["current"]) == (1, 1, 1)
    world.step("send c1 FINISH a rc=16")
    world.step("expect s0 FINISH a")
    assert metrics(world)["current"] == 0
    for _, line in lines(f"""
        send bus {event(2, host(0, "draining"))}
        send agent term
        wait 920
        send c1 START c class=race left=2000 extras=dest:1
        expect c1 FINISH c rc=42
    """):
        world.step(line)
    seen = metrics(world)
    assert (seen["deferred.race"], seen["cluster_unhealthy"], seen["cluster_size"]) == (1, 1, 2)


def test_a_server_without_connection_counts_as_unhealthy_until_it_has_one() -> None:
    world = world_after("""
        close s0 dead
        send c1 START a class=race left=3000 extras=dest:0
    """)
    assert metrics(world)["cluster_unhealthy"] == 1
    world.actors["s0"].state = "alive"
    world.wait(2000)
    world.step("send c1 START b class=race left=3000 extras=dest:0")
    world.step("expect s0 START b")
    assert metrics(world)["cluster_unhealthy"] == 0


def test_loads_count_valid_and_invalid_files() -> None:
    world = world_after("""
        send agent hup nothing-but-words
        send agent hup bus="10.0.1.2:1"
    """)
    seen = metrics(world)
    assert (seen["conf_loaded"], seen["conf_invalid"]) == (2, 1)


def test_a_class_that_is_not_configured_is_counted() -> None:
    counters = StatsdMetrics(["race"])
    counters.deferred("other")
    assert "app.deferred.other:1|c" in counters.lines() and "app.deferred.race:0|c" in counters.lines()
