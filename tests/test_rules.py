"""The decision module keeps the rules for any sequence of outcomes.

Each call gets one final answer by its deadline and at most one pending attempt. No attempt is made at a
server that drains or is gone, beyond the number of attempts allowed, or within the release guard.
"""

from __future__ import annotations

import random

import pytest

from frostport import decide
from frostport import interface as api
from tests.bench import Proxy, finals, sends, server

OUTCOMES = [
    api.Outcome.FULL,
    api.Outcome.TIMEOUT,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.RESET,
    api.Outcome.ERROR,
    api.Outcome.NOT_SENT,
    api.Outcome.CANCELLED,
]


@pytest.mark.parametrize("seed", range(12))
def test_each_call_gets_one_answer_in_time_one_pending_attempt_and_the_release_guard(seed: int) -> None:
    """Random outcomes; the module is judged by its actions alone."""
    rng = random.Random(seed)
    proxy = Proxy(3, seed=seed)
    deadline_at: dict[str, float] = {}
    pending: dict[str, str] = {}
    answered: dict[str, float] = {}
    guarded_until: dict[str, float] = {}

    def check_actions() -> None:
        for at, action in proxy.log:
            if isinstance(action, api.SendAttempt):
                assert action.call not in pending and action.call not in answered
                assert at >= guarded_until.get(action.call, 0.0)
                assert at + action.within_ms <= deadline_at[action.call] + 0.01
                pending[action.call] = action.server
            if isinstance(action, api.RefuseCall | api.FailCall):
                assert action.call not in answered and action.call not in pending
                answered[action.call] = at
        proxy.log.clear()

    for step in range(1500):
        if step < 1000 and rng.random() < 0.5:
            budget = rng.choice([10.0, 400.0, 3000.0])
            proxy.calls += 1
            name = f"call-{proxy.calls}"
            deadline_at[name] = proxy.now + budget
            proxy.give(
                api.CallArrived(
                    name, rng.choice(["plain", "dear"]), "", budget, rng.randrange(3), proxy.calls
                )
            )
            check_actions()
        proxy.run(20.0)
        check_actions()
        for call, address in list(pending.items()):
            overdue = proxy.now >= deadline_at[call]
            if not overdue and rng.random() > 0.05:
                continue
            outcome = api.Outcome.TIMEOUT if overdue else rng.choice(OUTCOMES)
            del pending[call]
            if rng.random() < 0.2 and not overdue:
                answered[call] = proxy.now
                proxy.give(api.CallEstablished(call, proxy.attempts[call], address, 60.0))
                check_actions()
                continue
            if outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED):
                guarded_until[call] = proxy.now + proxy.settings.release_guard_ms
            proxy.give(api.AttemptEnded(call, proxy.attempts[call], address, outcome, 30.0, False))
            check_actions()
    assert not pending and set(answered) == set(deadline_at)
    assert all(at <= deadline_at[call] + 20.0 for call, at in answered.items())


@pytest.mark.parametrize("state", [api.Lifecycle.DRAINING, api.Lifecycle.GONE])
def test_nothing_goes_to_a_server_that_drains_or_is_gone(state: api.Lifecycle) -> None:
    proxy = Proxy()
    proxy.give(api.ListUpdate(api.ListKind.CHANGES, 2, (server(0, state),)))
    assert {sends(proxy.call()[1])[0].server for _ in range(20)} == {server(1).address}


def test_a_server_missing_from_a_complete_list_is_gone_even_for_held_calls() -> None:
    proxy = Proxy()
    for number in (0, 1):
        proxy.control(number).paused_until = proxy.now + 200.0
    proxy.call()
    proxy.give(api.ListUpdate(api.ListKind.COMPLETE, 3, (server(1),)))
    assert [send.server for send in sends(proxy.run(400.0))] == [server(1).address]


def test_with_an_empty_list_calls_are_refused_in_time() -> None:
    proxy = Proxy(0)
    name, actions = proxy.call()
    assert not sends(actions)
    assert finals(proxy.run(3000.0)) == [name]


def test_a_repeated_list_changes_nothing() -> None:
    proxy = Proxy()
    proxy.load(6.0, 4.0, 1500.0)
    before = proxy.control().ceiling
    proxy.give(api.ListUpdate(api.ListKind.COMPLETE, 2, (server(0), server(1))))
    assert before is not None and proxy.control().ceiling == before


def test_a_cold_server_gets_its_share_and_warms_up() -> None:
    proxy = Proxy()
    proxy.load(10.0, 6.0, 60.0, first=1)
    cold = server(0, started=proxy.now)
    proxy.give(api.ListUpdate(api.ListKind.CHANGES, 2, (cold,)))
    proxy.log.clear()
    proxy.load(3.0, 10.0, 60.0, first=0)
    early = len(
        [
            action
            for _, action in proxy.log
            if isinstance(action, api.SendAttempt) and action.server == cold.address
        ]
    )
    # The expected value is a third of the warm server's 6 calls/s, over the first 3 s of slow start.
    assert 3 <= early <= 14
    proxy.run(proxy.settings.cold_ms + decide.PENDING_TERMINATION_MS + 2 * decide.UPDATE_MS)
    assert {sends(proxy.call(first=0)[1])[0].server for _ in range(30)} == {cold.address}


def test_a_call_is_not_sent_again_within_the_release_guard() -> None:
    proxy = Proxy()
    name, _ = proxy.call()
    proxy.fail(name, api.Outcome.RESET)
    at = proxy.now
    proxy.run(2000.0)
    again = [when for when, action in proxy.log if isinstance(action, api.SendAttempt) and when > at]
    assert again and again[0] >= at + proxy.settings.release_guard_ms


def test_events_for_ended_calls_and_unknown_timers_are_ignored() -> None:
    proxy = Proxy()
    name, _ = proxy.call()
    proxy.answer(name)
    assert proxy.answer(name) == [] and proxy.fail(name, api.Outcome.OK, closed=True) == []
    assert proxy.give(api.CallGone("never-seen")) == [] and proxy.give(api.TimerFired("unknown")) == []
    gone, _ = proxy.call()
    proxy.give(api.CallGone(gone))
    assert proxy.fail(gone, api.Outcome.TIMEOUT) == []


def test_the_attempt_limit_ends_in_one_answer() -> None:
    proxy = Proxy(3, try_limit=2)
    name, _ = proxy.call()
    proxy.fail(name, api.Outcome.ERROR)
    assert finals(proxy.fail(name, api.Outcome.ERROR)) == [name]


def test_a_small_cold_server_gets_the_share_of_its_size() -> None:
    # A small server that restarted beside a large one was flooded at the end of its slow start.
    proxy = Proxy(report_columns=("free", "size"))
    for number, lines in ((0, 20.0), (1, 200.0)):
        proxy.give(api.ServerReport(server(number).address, api.Outcome.OK, 0.0, (lines, lines)))
    proxy.load(10.0, 20.0, 60.0, first=1)
    proxy.give(api.ListUpdate(api.ListKind.CHANGES, 2, (server(0, started=proxy.now),)))
    warm = proxy.control(1).rate(proxy.control(1).sent)
    assert proxy.control(0).ceiling == pytest.approx(0.3 * warm / 10.0, rel=0.05)
    assert proxy.control(0).limit(proxy.now) == proxy.control(0).ceiling


def test_a_refusal_has_a_retry_after_only_where_the_deployment_passes_it_on() -> None:
    for passed_on, retry_after_ms in ((False, 0.0), (True, 2000.0)):
        proxy = Proxy(0, retry_after=passed_on, max_retry_after_ms=2000.0)
        proxy.call()
        refused = [action for action in proxy.run(3000.0) if isinstance(action, api.RefuseCall)]
        assert [action.retry_after_ms for action in refused] == [retry_after_ms]
