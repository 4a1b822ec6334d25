"""Classes whose set-ups may not simply be repeated: what may follow an attempt that may have run."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from frostport import interface as api
from frostport.interface import Effect, Outcome
from frostport.settings import Conf, SettingsError, read
from tests.bench import SETTINGS, Proxy, number_of, sends
from tests.scenario import platform, play

MAYBE = [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR]
NEVER = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT]


def proxy(effect: Effect, scope: str = "all", window_ms: float = 5000.0, servers: int = 3) -> Proxy:
    first = dataclasses.replace(SETTINGS.classes[0], effect=effect, key_scope=scope, window_ms=window_ms)
    return Proxy(servers, classes=(first,))


def after(made: Proxy, outcome: Outcome) -> tuple[int, list[api.Action]]:
    """The first attempt's server, and what is done in the call's whole time once it has ended so."""
    call, actions = made.call("plain", budget_ms=9000.0)
    first = number_of(sends(actions)[0].server)
    made.log.clear()
    made.fail(call, outcome, first)
    made.run(9000.0)
    return first, [action for _, action in made.log]


@pytest.mark.parametrize("outcome", MAYBE)
def test_what_may_have_run_is_neither_repeated_nor_refused(outcome: Outcome) -> None:
    _, done = after(proxy(Effect.SIDE_EFFECT), outcome)
    assert not [action for action in done if isinstance(action, api.SendAttempt | api.RefuseCall)]
    assert len([action for action in done if isinstance(action, api.FailCall)]) == 1


@pytest.mark.parametrize("outcome", NEVER)
def test_what_never_ran_is_sent_again(outcome: Outcome) -> None:
    _, done = after(proxy(Effect.SIDE_EFFECT), outcome)
    assert [action for action in done if isinstance(action, api.SendAttempt)]


@pytest.mark.parametrize("effect", [Effect.PURE, Effect.TOKEN])
def test_others_are_sent_again_after_the_guard(effect: Effect) -> None:
    _, done = after(proxy(effect), Outcome.RESET)
    assert [action for action in done if isinstance(action, api.SendAttempt)]


@pytest.mark.parametrize(
    ("scope", "window_ms", "repeats"),
    [("cell", 5000.0, True), ("cell", 100.0, False), ("zone", 5000.0, True), ("nobody", 5000.0, False)],
)
def test_a_token_is_repeated_only_where_and_while_repeats_are_discarded(
    scope: str, window_ms: float, repeats: bool
) -> None:
    first, done = after(proxy(Effect.TOKEN, scope, window_ms), Outcome.RESET)
    again = [number_of(action.server) for action in done if isinstance(action, api.SendAttempt)]
    assert bool(again) is repeats and (scope != "cell" or set(again) <= {first})
    assert not [action for action in done if isinstance(action, api.RefuseCall)]


def test_the_guard_stops_a_repeat_that_the_module_would_send() -> None:
    """The module is deaf to the class's effect here: the rules are not."""
    record = platform()
    services = [{**record["settings"]["services"][0], "effect": "side_effect"}]
    record["settings"] = {**record["settings"], "services": services}
    world = play(
        """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
    """,
        record,
    )
    module: Any = world.agent.broker.decision_module
    module.calls["a".zfill(16)].cls = dataclasses.replace(module.classes["race"], effect=Effect.PURE)
    for line in ("send s0 FINISH a rc=41", "wait 2000", "expect s0 nothing", "expect s1 nothing"):
        world.step(line)
    assert world.agent.rules.violations["may have run"] > 0


def test_settings_name_the_effect_that_they_can_t_read() -> None:
    pairs = {"services.count": "1", "services.0.name": "a", "services.0.deadline-ms": "900"}
    assert read(Conf(pairs)).classes[0].effect is Effect.PURE
    made = read(Conf({**pairs, "services.0.effect": "token", "services.0.key-scope": "cell"})).classes[0]
    assert (made.effect, made.key_scope) == (Effect.TOKEN, "cell")
    with pytest.raises(SettingsError, match=r"services\.0\.effect: none of pure, token, side_effect: 'x'"):
        read(Conf({**pairs, "services.0.effect": "x"}))
