"""Runs the agent with the settings of several deployments; its code must contain none of their names.

The site files are in `deploy/sites`, one folder per deployment.
"""

from __future__ import annotations

import ast
import pathlib
import tomllib
from typing import Any

import pytest

from tests.scenario import event, host, platform, play

ROOT = pathlib.Path(__file__).parent.parent
SITES = sorted(ROOT.glob("deploy/sites/*/*.toml"))
# Names of the first deployment that its pages and the description of its port use.
FIRST_DEPLOYMENT = {"find-race", "lobby-servers", "single-core", "lower-mainland", "bc-race-match"}


def names(site: dict[str, Any]) -> set[str]:
    """All names in a site file: the site, zones, tiers, kinds, classes, tenants."""
    found = {site["name"], *site["net"]["zones"]}
    for tier in site["tier"]:
        found |= {tier["name"], *(kind["name"] for kind in tier["kind"])}
    return found | {part["name"] for part in [*site["class"], *site.get("tenant", ())]}


def test_each_site_has_its_files() -> None:
    assert len(SITES) >= 2
    for path in SITES:
        assert {file.name for file in path.parent.iterdir()} >= {"real.json", "wire.json", "unlock.txt"}


def test_the_code_contains_no_name_of_a_deployment() -> None:
    deployment_names = FIRST_DEPLOYMENT.union(*(names(tomllib.loads(path.read_text())) for path in SITES))
    assert len(deployment_names) > 20
    texts = [
        (path, node.value)
        for path in ROOT.glob("frostport/**/*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    ]
    deploy = (ROOT / "deploy/balancer.toml").read_text()
    found = [(path.name, name) for path, text in texts for name in deployment_names if name in text.split()]
    assert not found and not [name for name in deployment_names if name in deploy.split()]


def settings(site: dict[str, Any]) -> dict[str, Any]:
    """A site's values as settings of a call agent; of a range, the lower end."""

    def lower_end(value: Any) -> float:
        return float(value[0] if isinstance(value, list) else value)

    rules = site["rules"]
    family = site["fam"]
    allow = site["allow"]
    kind = site["tier"][0]["kind"][0]
    services = [
        {
            "name": part["name"],
            "aim-ms": part["aim_ms"],
            "deadline-ms": part["deadline_ms"],
            "gain": part["worth"],
            "late-worth": part["late_worth"],
        }
        for part in site["class"]
    ]
    base = platform()["settings"]
    return {
        **base,
        "services": services,
        "caps": {**base["caps"], "try-limit": allow["max_attempts"]},
        "family-info": {
            "topology": "pools",
            "pools-by-class": [[0, 1]] * len(services),
            "holding-ms": [1000.0 * lower_end(family["hold_s"])] * len(services),
            "release-guard-ms": family["release_ms"],
            "retransmit-ms": family["resend_ms"],
        },
        "rules": {
            "drain-grace-ms": rules["drain_grace_ms"],
            "fall-multiple": rules["fall_multiple"],
            "fall-ms": rules["fall_ms"],
            "cold-from": lower_end(kind["cold_from"]),
            "cold-ms": 1000.0 * lower_end(kind["cold_s"]),
        },
    }


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_guard_attempts_deadline_and_end_come_from_the_site(path: pathlib.Path) -> None:
    site = tomllib.loads(path.read_text())
    record = {**platform(), "settings": settings(site)}
    guard = site["fam"]["release_ms"]
    max_attempts = site["allow"]["max_attempts"]
    longest = max(part["deadline_ms"] for part in site["class"])
    name = max(site["class"], key=lambda part: part["deadline_ms"])["name"]
    refused_and_held = f"""
        send s0 FINISH a rc=41
        wait {guard - 1}
        expect s0 nothing
        expect s1 nothing
    """
    world = play(
        f"""
        send c1 START a class={name} left={longest} extras=dest:0
        expect s0 START a
        {refused_and_held}
    """,
        record,
    )
    request = world.agent.broker.find_request("a".zfill(16))
    assert request is not None and request.attempts == 1
    world.wait(60.0)  # the release guard, the module's step and its retry interval
    assert request.attempts == 2 and world.agent.rules.settings.try_limit == max_attempts
    world.wait(longest)
    assert request.state.value == "over" and world.agent.rules.violations.total() == 0
    kill_ms = min(longest, 3000.0) + 700.0
    play(
        f"""
        send c1 START a class={name} left={longest} extras=dest:0
        expect s0 START a
        send agent term
        wait {min(longest, kill_ms) - 1}
        wait {kill_ms - min(longest, kill_ms) + 1}
        expect c1 FINISH a rc=41
        expect agent exit
    """,
        record,
    )


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_set_up_held_behind_a_dial_goes_to_a_draining_server_within_its_grace_only(
    path: pathlib.Path,
) -> None:
    site = tomllib.loads(path.read_text())
    record = {**platform(), "settings": settings(site)}
    record["settings"]["caps"] = {**record["settings"]["caps"], "connect-timeout-ms": 60_000.0}
    grace = site["rules"]["drain_grace_ms"]
    name = site["class"][0]["name"]
    left = site["class"][0]["deadline_ms"]
    for wait_ms, is_sent in ((grace - 10, True), (grace + 10, False)):
        if wait_ms >= left:
            continue
        world = play(
            f"""
            close s0 late
            send c1 START a class={name} left={left} extras=dest:0
            send bus {event(2, host(0, "draining"))}
            wait {wait_ms}
            send s0 up
        """,
            record,
        )
        received = [message[""] for message in world.actors["s0"].inbox]
        assert ("START" in received) is is_sent, (wait_ms, received)
