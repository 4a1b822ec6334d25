"""Call classes with effects: what may follow an attempt that may have run."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from frostport import interface as api
from frostport.interface import Effect, Outcome
from frostport.settings import SettingsError, SettingsReader, read
from tests.bench import SETTINGS, Proxy, number_of, sends
from tests.scenario import platform, play

MAY_HAVE_RUN = [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR]
NEVER_RAN = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT]


def proxy(effect: Effect, scope: str = "all", window_ms: float = 5000.0, servers: int = 3) -> Proxy:
    """A Proxy whose only class has this effect; `scope` is its key scope."""
    call_class = dataclasses.replace(SETTINGS.classes[0], effect=effect, key_scope=scope, window_ms=window_ms)
    return Proxy(servers, classes=(call_class,))


def fail_first_attempt(tested: Proxy, outcome: Outcome) -> tuple[int, list[api.Action]]:
    """The server of the first attempt, and all actions from its outcome to the end of the call's budget."""
    call, actions = tested.call("plain", budget_ms=9000.0)
    first = number_of(sends(actions)[0].server)
    tested.log.clear()
    tested.fail(call, outcome, first)
    tested.run(9000.0)
    return first, [action for _, action in tested.log]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_what_may_have_run_is_neither_repeated_nor_refused(outcome: Outcome) -> None:
    _, actions_after = fail_first_attempt(proxy(Effect.SIDE_EFFECT), outcome)
    assert not [action for action in actions_after if isinstance(action, api.SendAttempt | api.RefuseCall)]
    assert len([action for action in actions_after if isinstance(action, api.FailCall)]) == 1


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_what_never_ran_is_sent_again(outcome: Outcome) -> None:
    _, actions_after = fail_first_attempt(proxy(Effect.SIDE_EFFECT), outcome)
    assert [action for action in actions_after if isinstance(action, api.SendAttempt)]


@pytest.mark.parametrize("effect", [Effect.PURE, Effect.TOKEN])
def test_pure_and_token_set_ups_are_sent_again_after_the_release_guard(effect: Effect) -> None:
    _, actions_after = fail_first_attempt(proxy(effect), Outcome.RESET)
    assert [action for action in actions_after if isinstance(action, api.SendAttempt)]


@pytest.mark.parametrize(
    ("scope", "window_ms", "repeats"),
    [("cell", 5000.0, True), ("cell", 100.0, False), ("zone", 5000.0, True), ("nobody", 5000.0, False)],
)
def test_a_token_is_repeated_only_where_and_while_repeats_are_discarded(
    scope: str, window_ms: float, repeats: bool
) -> None:
    first, actions_after = fail_first_attempt(proxy(Effect.TOKEN, scope, window_ms), Outcome.RESET)
    again = [number_of(action.server) for action in actions_after if isinstance(action, api.SendAttempt)]
    assert bool(again) is repeats and (scope != "cell" or set(again) <= {first})
    assert not [action for action in actions_after if isinstance(action, api.RefuseCall)]


def test_the_rules_stop_a_repeat_that_the_module_would_send() -> None:
    """The module is given a class without effects; the rules keep the real one."""
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
    module.calls["a".zfill(16)].call_class = dataclasses.replace(module.classes["race"], effect=Effect.PURE)
    for line in ("send s0 FINISH a rc=41", "wait 2000", "expect s0 nothing", "expect s1 nothing"):
        world.step(line)
    assert world.agent.rules.violations["may have run"] > 0


def test_settings_name_the_effect_that_they_can_t_read() -> None:
    pairs = {"services.count": "1", "services.0.name": "a", "services.0.deadline-ms": "900"}
    assert read(SettingsReader(pairs)).classes[0].effect is Effect.PURE
    token_class = read(
        SettingsReader({**pairs, "services.0.effect": "token", "services.0.key-scope": "cell"})
    ).classes[0]
    assert (token_class.effect, token_class.key_scope) == (Effect.TOKEN, "cell")
    with pytest.raises(
        SettingsError, match=r"services\.0\.effect: must be one of pure, token, side_effect, got 'x'"
    ):
        read(SettingsReader({**pairs, "services.0.effect": "x"}))
