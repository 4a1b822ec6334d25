"""Contracts and budgets, the configuration, the command line, and the description of the platform's port."""

from __future__ import annotations

import copy
import itertools
import pathlib
import re
from typing import Any

import jsonschema
import orjson
import pytest

from frostport import cli, config, version
from frostport.core import contracts
from frostport.core.contracts import MAX_BUCKETS, Budgets, Contract, ContractError
from tests import diameter
from tests.scenario import SETTINGS, World, lines, platform, play
from tests.test_platform import SCENARIOS

DEPLOY = pathlib.Path(__file__).parent.parent / "deploy"
DESCRIPTION = orjson.loads((DEPLOY / "frostport.asyncapi.json").read_bytes())
TERMS = {"class": "race", "aim_ms": 1000, "deadline_ms": 2000, "attempts": 2, "set_ups_per_second": 2}


def async_api(**changes: Any) -> dict[str, Any]:
    """An AsyncAPI document with one contract; `changes` replace or add terms."""
    return {
        "asyncapi": "3.0.0",
        "operations": {
            "ask": {"action": "receive", contracts.EXTENSION: {**TERMS, **changes}},
            "other": {"action": "send"},
        },
    }


def open_api() -> dict[str, Any]:
    """An OpenAPI document with the same contract."""
    return {"openapi": "3.1.0", "paths": {"/races": {"parameters": [], "post": {contracts.EXTENSION: TERMS}}}}


@pytest.mark.parametrize("document", [async_api(), open_api()], ids=["asyncapi", "openapi"])
def test_a_contract_is_read_from_its_operation(document: dict[str, Any]) -> None:
    assert contracts.read(document) == [Contract("race", 1000.0, 2000.0, 2, 2.0)]


@pytest.mark.parametrize(
    ("document", "error"),
    [
        ([], "document: expected an object, got list"),
        ({"openapi": "2.0"}, "document: neither"),
        ({"asyncapi": "3.0.0"}, "document: no operation"),
        ({"openapi": "3.0.0", "paths": []}, "paths: expected an object, got list"),
        (async_api(attempts=0), "operations.ask.x-frostport-contract.attempts"),
        (async_api(attempts=1.5), "attempts: not a whole"),
        (async_api(aim_ms=3000), "aim_ms: 3000 ms exceeds deadline_ms, 2000 ms"),
        (async_api(**{"class": ""}), "class: must be a non-empty string"),
        (async_api(limit=3), "limit: unknown field"),
        (async_api(set_ups_per_second=True), "set_ups_per_second"),
        (async_api(deadline_ms="2 s"), "deadline_ms"),
        (
            {"asyncapi": "3.0.0", "operations": {name: {contracts.EXTENSION: TERMS} for name in "ab"}},
            "a second contract for race",
        ),
    ],
)
def test_a_bad_contract_is_reported_with_its_field(document: object, error: str) -> None:
    with pytest.raises(ContractError, match=re.escape(error)):
        contracts.read(document)


def test_a_budget_counts_for_each_team_and_fills_up_again() -> None:
    budgets = Budgets(contracts.read(async_api()))
    assert [budgets.take_token("a", "race", 0.0) for _ in range(3)] == [0.0, 0.0, 500.0]
    assert budgets.take_token("b", "race", 0.0) == 0.0 and budgets.take_token("a", "other", 0.0) == 0.0
    assert budgets.take_token("a", "race", 499.0) > 0.0
    assert budgets.take_token("a", "race", 500.0) == 0.0


def under_contract(tmp_path: pathlib.Path, record: dict[str, Any]) -> dict[str, Any]:
    """Writes a contract to a file and adds its path to a configuration."""
    (tmp_path / "race.yaml").write_bytes(orjson.dumps(async_api()))
    return {**record, "contracts": [str(tmp_path / "race.yaml")]}


def test_the_budget_of_absent_agents_is_added_and_removed_in_bounded_steps() -> None:
    budgets = Budgets((contracts.Contract("race", 1000.0, 2000.0, 4, 10.0),))

    def admitted_in_a_second(now: float) -> int:
        return sum(budgets.take_token(f"team-{now}", "race", now) == 0.0 for _ in range(100))

    assert admitted_in_a_second(0.0) == 10
    scales = []
    for number in range(40):
        budgets.set_scale(1.5 if number < 20 else 1.0, number * 250.0)
        scales.append(budgets.scale)
    assert max(abs(one - other) for one, other in itertools.pairwise(scales)) <= 0.0250001
    assert scales[19] == pytest.approx(1.475) and scales[39] < 1.01
    budgets.set_scale(9.0, 1e9)
    assert budgets.scale == 2.0 and admitted_in_a_second(1e9) == 20  # at most doubled
    budgets.set_scale(0.1, 2e9)
    assert budgets.scale == 1.0


def test_over_budget_is_refused_at_once(tmp_path: pathlib.Path) -> None:
    play(
        """
        send c1 START a class=race left=3000 tenant=red extras=dest:0
        expect s0 START a left=2000
        send c1 START b class=race left=900 tenant=red extras=dest:0
        expect s0 START b left=900
        send c1 START c class=race left=3000 tenant=red extras=dest:0
        expect c1 FINISH c rc=42
        send c1 START d class=race left=3000 tenant=blue extras=dest:0
        expect s0 START d
        wait 500
        send c1 START e class=race left=3000 tenant=red extras=dest:0
        expect s0 START e
        send s0 FINISH e rc=47
        expect s1 START e
        send s1 FINISH e rc=47
        expect c1 FINISH e rc=41
        expect s0 FINISHED e
        expect s0 nothing
        expect s1 nothing
    """,
        under_contract(tmp_path, platform()),
    )


def test_over_budget_a_diameter_client_is_told_when_to_retry(tmp_path: pathlib.Path) -> None:
    play(
        """
        send c1 CCR-I a dest=s0 oc=1
        expect s0 CCR-I a wait=2000
        send c1 CCR-I b dest=s0 oc=1
        expect s0 CCR-I b
        send c1 CCR-I c dest=s0 oc=1
        expect c1 CCA-I c result=3004 back=1
    """,
        under_contract(tmp_path, diameter.config()),
        diameter.DiameterWorld,
    )


# The configuration and the command line

VALID = platform()
INVALID = [
    ({"listen": "nowhere"}, "listen"),
    ({"listen": None}, "listen"),
    ({"seed": "xyz"}, "seed"),
    ({"settings": {}}, "settings.services"),
    ({"settings": []}, "settings"),
    ({"peers": ["a"]}, "peers.0"),
    ({"settings": {**SETTINGS, "me": "one"}}, "settings.me"),
    ({"limits": {"sockets": "9"}}, "limits.sockets"),
    ({"known": {"offset": "1"}}, "known.offset"),
    ({"known": {"batch": [1]}}, "known.batch.0"),
    ({"bus": 4}, "bus"),
    ({"contracts": ["absent.json"]}, "absent.json"),
    ({"contracts": [1]}, "contracts.0"),
    ({"diameter": {}}, "diameter.clients"),
    ({"diameter": {"clients": ["c"]}}, "diameter.servers"),
    ({"diameter": {**diameter.config()["diameter"], "watchdog_ms": 100}}, "diameter.watchdog_ms"),
    ({"diameter": {**diameter.config()["diameter"], "realm": ""}}, "diameter.realm"),
    (
        {"diameter": {**diameter.config()["diameter"], "servers": [{"host": "s", "dial": "s"}]}},
        "diameter.servers.0.dial",
    ),
    (
        {"settings": {**SETTINGS, "caps": {"probes": True}}, "diameter": diameter.config()["diameter"]},
        "settings.caps",
    ),
]


@pytest.mark.parametrize(("changes", "field"), INVALID)
def test_a_bad_configuration_ends_with_2_and_names_its_field(
    changes: dict[str, Any], field: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**copy.deepcopy(VALID), **changes}))
    assert cli.main(["check-config", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert error.startswith("frostport: configuration: " + field) and error.count("\n") == 1


def test_the_commands(capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(config.CONFIG_VARIABLE, raising=False)
    assert cli.main(["check-config", "--config", str(DEPLOY / "diameter.json")]) == 0
    assert cli.main(["contracts", str(DEPLOY / "frostport.asyncapi.json")]) == 0
    assert cli.main(["version"]) == 0
    output = capsys.readouterr().out
    assert "agent-1 is sound" in output and "find-race: aim 1500 ms" in output and version.VERSION in output
    assert cli.main(["contracts", str(DEPLOY / "balancer.toml")]) == 2
    assert cli.main([]) == 2
    assert config.CONFIG_VARIABLE in capsys.readouterr().err


# The description of the platform's port


def test_the_description_covers_the_messages_on_the_port() -> None:
    """Each message of the scenarios between clients and agent conforms to the description."""
    messages = DESCRIPTION["components"]["messages"].values()
    payloads = {message["name"]: message["payload"] for message in messages}
    seen = set()

    class Described(World):
        pass

    for script in SCENARIOS.values():
        world = Described(platform())
        for _, line in lines(script):
            words = line.split()
            well_formed = words[:2] in (["send", "c1"], ["send", "c2"]) and words[2] not in (
                "raw",
                "stuck",
                "unstuck",
            )
            if well_formed and "unheard" not in line and "soon" not in line and "key=zz" not in line:
                written = orjson.loads(world.actors[words[1]].encode(line.split(" ", 2)[2]))
                if written["verb"] == "START":
                    written.setdefault("blob", "")
                jsonschema.validate(written, payloads[written["verb"]])
            clients = world.actors["c1"], world.actors["c2"]
            world.step(line) if words[0] != "expect" else None
            for actor in clients:
                for received in actor.inbox:
                    if received[""] != "closed":
                        written = {"verb": received[""], "tag": received["tag"].zfill(16), "opts": {}}
                        written |= {"rc": int(received["rc"])} if "rc" in received else {}
                        written |= {"blob": received["blob"]} if "blob" in received else {}
                        jsonschema.validate(written, payloads[received[""]])
                        seen.add(received[""])
    assert seen == {"STARTED", "FINISH", "FINISHED", "ECHOED"}


def test_references_in_the_description_resolve() -> None:
    for reference in re.findall(r'"\$ref":"#/([^"]+)"', orjson.dumps(DESCRIPTION).decode()):
        found: Any = DESCRIPTION
        for part in reference.split("/"):
            found = found[part]
        assert found


def test_ever_new_team_names_take_neither_memory_nor_time() -> None:
    # Guards against clients that make up team names: buckets of a small budget are not full for long.
    budgets = Budgets([Contract("race", 1500.0, 9000.0, 4, 0.1)])
    cleared: list[str] = []
    budgets.recorder.clear_budget = lambda team, service: cleared.append(team)  # type: ignore[method-assign]
    assert budgets.take_token("usual", "race", 0.0) == 0.0
    for number in range(2 * MAX_BUCKETS):
        assert budgets.take_token(f"team-{number}", "race", number / 100.0) == 0.0
        assert budgets.take_token("usual", "race", number / 100.0) > 0.0, "a team in use was forgotten"
    assert len(budgets._buckets) <= MAX_BUCKETS
    assert len(cleared) + len(budgets._buckets) == 2 * MAX_BUCKETS + 1
