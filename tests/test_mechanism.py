"""Overload control after ND1115 section 7: Detection, Update, Restriction, pauses, the kept alternative."""

from __future__ import annotations

import math

import pytest

from frostport import decide
from frostport import interface as api
from tests.bench import SETTINGS, Proxy, finals, number_of, sends, server

NOW = 1_000_000.0


def make_control(rate: float = 4.0) -> decide.ServerControl:
    control = decide.ServerControl(server(0), SETTINGS, NOW, 0.5)
    control.created_at = NOW - 60_000.0
    control.sent = rate * decide.RATE_TAU_S
    return control


def test_one_reject_does_not_start_control_but_a_full_bucket_does() -> None:
    control = make_control()
    control.detect(NOW, 1.0, NOW, NOW)
    assert control.ceiling is None
    for _ in range(math.ceil(decide.START_REJECTS) + 1):
        control.detect(NOW, 1.0, NOW, NOW)
    assert control.ceiling == pytest.approx(decide.SEVERE_CUT * 4.0)


def test_the_bucket_leaks() -> None:
    control = make_control()
    for step in range(60):
        now = NOW + 4.0 * decide.EVIDENCE_TAU_MS * step
        control.detect(now, 1.0, now, now)
    assert control.ceiling is None


def test_early_answers_never_start_control() -> None:
    control = make_control()
    for step in range(500):
        control.detect(NOW + step, 0.0, NOW + step, NOW + step)
    assert control.ceiling is None


def step_of(reject_share: float, rate: float = 4.0) -> float:
    """The factor by which one Update changes the ceiling after answers with this share of rejects."""
    control = make_control(rate)
    control.ceiling = 4.0
    for _ in range(4):
        control.detect(NOW, reject_share, NOW, NOW)
    control.update(NOW)
    assert control.ceiling is not None
    return control.ceiling / 4.0


def test_steps_go_down_above_the_target_and_up_below_it() -> None:
    assert step_of(1.0) < 1.0 < step_of(0.0)


def test_steps_are_small_near_the_target_and_larger_further_off() -> None:
    near_up = step_of(decide.TARGET_SHARE * 0.9)
    far_up = step_of(0.0)
    near_down = step_of(decide.TARGET_SHARE * 1.2)
    far_down = step_of(0.6)
    assert 1.0 < near_up < far_up
    assert far_down < near_down < 1.0


def test_a_ceiling_that_restricts_nothing_is_not_raised() -> None:
    assert step_of(0.0, rate=2.0) == 1.0


def test_the_ceiling_has_a_floor_above_zero() -> None:
    control = make_control(0.0)
    control.ceiling = 1.0
    control.fair_rate = 0.3
    for second in range(100):
        now = NOW + 1000.0 * second
        for _ in range(5):
            control.detect(now, 1.0, now, now)
        control.update(now)
    assert control.ceiling is not None and control.ceiling >= decide.MIN_SHARE * control.fair_rate > 0.0


def test_evidence_sent_before_the_ceiling_was_lowered_counts_for_nothing() -> None:
    # Old answers lowered the ceiling again and again, until nothing was sent.
    control = make_control()
    control.lower(2.0, NOW)
    control.detect(NOW + 500.0, 1.0, NOW - 1.0, NOW + 500.0)
    assert control.answers == 0.0
    control.update(NOW + 600.0)
    assert control.ceiling == 2.0


def test_old_evidence_is_not_used_by_a_second_update() -> None:
    control = make_control()
    control.ceiling = 4.0
    for _ in range(5):
        control.detect(NOW, 1.0, NOW, NOW)
    control.update(NOW)
    once = control.ceiling
    control.update(NOW + 1000.0)
    assert control.ceiling == once


def test_a_lowered_ceiling_stays_near_what_the_server_answers() -> None:
    control = make_control(0.0)
    control.ceiling = 3.0
    control.answered = 3.0 * decide.RATE_TAU_S
    for _ in range(10):
        control.detect(NOW, 1.0, NOW, NOW)
    control.update(NOW)
    assert control.ceiling >= 0.5 * 3.0


def test_the_fair_rate_does_not_keep_up_the_ceiling_of_an_overloaded_server() -> None:
    # In a full-size burst, a floor at the fair rate kept two servers at a wait of 2.6 s for 20 s.
    control = make_control(0.3)
    control.fair_rate = 0.3
    for second in range(12):
        now = NOW + 1000.0 * second
        for _ in range(4):
            control.detect(now, 1.0, now, now)
        control.update(now)
    assert control.ceiling == pytest.approx(decide.MIN_SHARE * 0.3)


def test_control_ends_when_the_pending_timer_expires() -> None:
    control = make_control(1.0)
    control.ceiling = 10.0
    control.detect(NOW, 0.0, NOW, NOW)
    control.update(NOW)
    assert control.terminate_at == NOW + decide.PENDING_TERMINATION_MS
    control.detect(
        NOW + decide.PENDING_TERMINATION_MS - 1.0, 0.0, NOW, NOW + decide.PENDING_TERMINATION_MS - 1.0
    )
    control.update(NOW + decide.PENDING_TERMINATION_MS - 1.0)
    assert control.ceiling is not None
    control.update(NOW + decide.PENDING_TERMINATION_MS)
    assert control.ceiling is None


def test_a_rise_of_restriction_stops_the_pending_timer() -> None:
    control = make_control(1.0)
    control.ceiling = 10.0
    control.update(NOW)
    for _ in range(5):
        control.detect(NOW + 10.0, 1.0, NOW + 10.0, NOW + 10.0)
    control.update(NOW + 1000.0)
    control.update(NOW + decide.PENDING_TERMINATION_MS + 1.0)
    assert control.ceiling is not None


def test_a_server_without_evidence_is_unrestricted() -> None:
    proxy = Proxy()
    assert sum(len(sends(proxy.call()[1])) for _ in range(200)) == 200


def test_the_first_choice_is_taken_while_it_is_usable() -> None:
    proxy = Proxy(3)
    assert [sends(proxy.call(first=n)[1])[0].server for n in (2, 0, 1)] == [
        server(n).address for n in (2, 0, 1)
    ]


def test_one_full_skips_the_server_for_the_pause_and_the_call_goes_elsewhere() -> None:
    proxy = Proxy()
    name, _ = proxy.call()
    again = sends(proxy.fail(name, api.Outcome.FULL, note=3))
    assert [send.server for send in again] == [server(1).address]
    proxy.run(190.0)
    assert sends(proxy.call()[1])[0].server == server(1).address
    proxy.run(20.0)
    assert sends(proxy.call()[1])[0].server == server(0).address


def test_a_long_stated_wait_does_not_lengthen_the_pause() -> None:
    # A server that paused for 300 ms stated a wait of 5 s and was left idle.
    proxy = Proxy(gives_wait=True)
    name, _ = proxy.call()
    proxy.give(api.AttemptEnded(name, 0, server(0).address, api.Outcome.FULL, 30.0, False, 3, 5000.0))
    proxy.run(300.0)
    assert sends(proxy.call()[1])[0].server == server(0).address


def test_the_alternative_is_kept_while_it_is_usable() -> None:
    proxy = Proxy(6)
    proxy.control(0).paused_until = math.inf
    chosen = {sends(proxy.call()[1])[0].server for _ in range(20)}
    assert len(chosen) == 1
    kept = proxy.logic.alternative
    assert kept is not None
    kept.paused_until = math.inf
    assert sends(proxy.call()[1])[0].server not in chosen


def test_held_calls_go_out_by_worth_and_the_rest_is_refused_before_the_aim() -> None:
    proxy = Proxy(1)
    control = proxy.control()
    control.ceiling = 1.0
    control.tokens = -0.5
    control.filled_at = proxy.now
    plain, _ = proxy.call("plain")
    dear, _ = proxy.call("dear")
    refused_at: dict[str, float] = {}
    start = proxy.now
    order = []
    for _ in range(80):
        actions = proxy.run(25.0)
        order += [send.call for send in sends(actions)]
        refused_at |= dict.fromkeys(finals(actions), proxy.now)
    assert order[0] == dear
    assert plain in order or refused_at[plain] < start + 2000.0


def test_late_answers_start_control_before_any_full() -> None:
    proxy = Proxy()
    proxy.load(6.0, 4.0, 1500.0)
    assert proxy.control().ceiling is not None
    assert proxy.control(1).ceiling is None


def test_prompt_answers_start_nothing() -> None:
    proxy = Proxy()
    proxy.load(20.0, 4.0, 80.0)
    assert proxy.control().ceiling is None and not proxy.logic.held


def test_a_pending_attempt_counts_once() -> None:
    proxy = Proxy()
    name, _ = proxy.call()
    proxy.run(1500.0)
    assert (proxy.control().answers, proxy.control().reject_share) == (1.0, 1.0)
    proxy.answer(name, elapsed=1500.0)
    assert proxy.control().answers == 1.0


def test_a_redial_past_its_aim_yields_to_a_first_try() -> None:
    # With a third of the calls set up late, redials took the place of calls still within their aim.
    proxy = Proxy(1)
    control = proxy.control()
    control.paused_until = math.inf
    proxy.call(number_called=77)
    proxy.run(3500.0)
    redial, _ = proxy.call(number_called=77, budget_ms=5000.0)
    fresh, _ = proxy.call(number_called=78)
    control.paused_until = proxy.now
    assert [send.call for send in sends(proxy.run(50.0))] == [fresh, redial]


def test_a_marked_redial_is_past_its_aim() -> None:
    proxy = Proxy()
    marked, _ = proxy.call(redial=True, number_called=0)
    assert proxy.logic.calls[marked].worth < 1.0


def test_growing_pauses_then_one_trial_call() -> None:
    proxy = Proxy()
    pauses = []
    for _ in range(3):
        name, actions = proxy.call()
        assert sends(actions)[0].server == server(0).address
        proxy.fail(name, api.Outcome.CONNECT_FAILED)
        proxy.answer(name, 1)
        pauses.append(proxy.control().paused_until - proxy.now)
        proxy.run(pauses[-1] + 1.0)
    assert pauses[0] < pauses[1] < pauses[2] <= decide.BACKOFF_MAX_MS
    trial, actions = proxy.call()
    assert sends(actions)[0].server == server(0).address
    assert sends(proxy.call()[1])[0].server == server(1).address
    proxy.answer(trial)
    assert sends(proxy.call()[1])[0].server == server(0).address


@pytest.mark.parametrize(
    "answered_since, share, pause", [(True, 0.0, False), (False, 0.0, True), (True, 0.5, True)]
)
def test_one_lost_answer_is_no_failure_where_others_were_answered_since(
    answered_since: bool, share: float, pause: bool
) -> None:
    proxy = Proxy()
    lost, _ = proxy.call()
    proxy.run(10.0)
    if answered_since:
        other, _ = proxy.call()
        proxy.answer(other)
    proxy.control().reject_share = share
    proxy.fail(lost, api.Outcome.TIMEOUT)
    assert (proxy.control().failures > 0, proxy.control().paused_until > proxy.now) == (pause, pause)


@pytest.mark.parametrize("servers, then", [(2, 1), (1, 0)])
def test_after_a_fault_another_server_with_room_comes_first(servers: int, then: int) -> None:
    proxy = Proxy(servers)
    name, _ = proxy.call()
    again = sends(proxy.fail(name, api.Outcome.ERROR))
    assert [send.server for send in again] == [server(then).address]


def test_the_only_server_is_tried_again_and_its_return_is_used() -> None:
    proxy = Proxy(1)
    name, _ = proxy.call()
    proxy.fail(name, api.Outcome.CONNECT_FAILED)
    tries = [send for send in sends(proxy.run(2500.0)) if send.call == name]
    assert len(tries) == 1
    proxy.answer(name)
    assert sends(proxy.call()[1])


def test_calls_to_a_busy_number_wait_and_are_not_tried_elsewhere() -> None:
    # When many callers dialled one number, every retry was wasted work.
    proxy = Proxy(2)
    name, _ = proxy.call(number_called=5)
    assert not sends(proxy.fail(name, api.Outcome.ERROR, note=api.NOTE_NUMBER_BUSY))
    same, actions = proxy.call(number_called=5)
    assert not sends(actions)
    other, actions = proxy.call(number_called=6)
    assert [send.call for send in sends(actions + proxy.run(decide.HELD_RETRY_MS))] == [other]
    assert [send.call for send in sends(proxy.run(decide.BACKOFF_MS * 2 + 50.0))] == [name, same]


def test_an_unreachable_server_is_not_held_down_when_it_is_back() -> None:
    proxy = Proxy()
    for _ in range(4):
        name, _ = proxy.call()
        proxy.fail(name, api.Outcome.CONNECT_FAILED)
        proxy.run(decide.BACKOFF_MAX_MS + 50.0)
    assert proxy.control().ceiling is None


def test_rates_are_unbiased_in_the_first_seconds() -> None:
    # Controls activated in the first seconds of light traffic started at a third of the true rate.
    proxy = Proxy()
    proxy.load(2.0, 5.0, 60.0)
    proxy.control().decay(proxy.now)
    assert 3.5 < proxy.control().rate(proxy.control().sent) < 6.5


def test_fulls_close_together_count_as_one_reject() -> None:
    # Each pause of a processor answered several calls with FULL, which activated control.
    proxy = Proxy()
    names = [proxy.call()[0] for _ in range(6)]
    for name in names:
        proxy.fail(name, api.Outcome.FULL, note=api.NOTE_PROCESSOR_FULL)
    assert proxy.control().ceiling is None and proxy.control().answers == 1.0
    rejects = 0.0
    for _ in range(3):
        proxy.run(proxy.logic.delay_ms + 1.0)
        proxy.control().answers = 0.0
        name, actions = proxy.call()
        assert sends(actions)[0].server == server(0).address
        proxy.fail(name, api.Outcome.FULL, note=api.NOTE_PROCESSOR_FULL)
        rejects += proxy.control().answers * proxy.control().reject_share
    assert rejects == 3.0


def test_an_alternative_that_answers_late_is_redrawn() -> None:
    # With all messages lost, alternatives kept by many proxies answered after 6 s.
    proxy = Proxy(6)
    proxy.control(0).paused_until = math.inf
    _, actions = proxy.call()
    kept = proxy.logic.alternative
    assert kept is not None and sends(actions)[0].server == kept.server.address
    proxy.run(decide.LATE_RATIO * proxy.logic.delay_ms + decide.UPKEEP_MS)
    assert proxy.logic.alternative is None


def test_the_round_trip_alone_is_no_reject() -> None:
    """With a retransmission interval as short as the round trip, that alone counted as a reject."""
    proxy = Proxy(servers=1, retransmit_ms=100.0)
    assert proxy.logic.delay_ms == 100.0
    proxy.load(10.0, 10.0, 45.0)
    assert proxy.control().ceiling is None and proxy.control().reject_share < decide.TARGET_SHARE
    proxy.load(10.0, 10.0, 140.0)
    assert proxy.control().ceiling is not None


@pytest.mark.parametrize("elapsed", [5.0, 45.0, 300.0, 2000.0])
def test_with_a_long_reference_delay_round_trip_and_time_scale_change_nothing(elapsed: float) -> None:
    """A server loaded from the start has no short answer: a long one, taken as round trip, hid the load."""
    proxy = Proxy(servers=1, retransmit_ms=400.0)
    proxy.load(0.5, 10.0, elapsed)
    assert proxy.logic.prompt_ratio(proxy.control()) == decide.PROMPT_RATIO
    assert (proxy.logic.time_scale, proxy.logic.update_ms) == (1.0, decide.UPDATE_MS)


def test_a_short_reference_delay_shortens_the_time_scale() -> None:
    assert Proxy(retransmit_ms=100.0).logic.time_scale == 0.25


def test_free_lines_are_shared_by_the_proxies_that_serve() -> None:
    proxy = Proxy(1, report_columns=("free", "size"))
    proxy.logic.mean_holding_ms = 1e12  # no line is released meanwhile
    for proxies, divisor in ((None, 4.0), (8, 8.0), (0, 1.0)):
        if proxies is not None:
            proxy.give(api.SiblingsUp(proxies))
        proxy.give(api.ServerReport(server(0).address, api.Outcome.OK, 0.0, (40.0, 50.0)))
        assert proxy.control().lines_rate == pytest.approx(40.0 / divisor)


def test_a_proxy_that_starts_with_only_cold_servers_uses_them_within_their_ramp() -> None:
    """A proxy that has sent nothing gets no ceiling of zero: it uses its part of the offered calls."""
    proxy = Proxy(0)
    began = proxy.now
    cold = tuple(server(number, started=began - 1.0) for number in (0, 1))
    proxy.give(api.ListUpdate(api.ListKind.COMPLETE, 2, cold))
    sent = {0: 0.0, 1: 0.0}
    for second in range(20):
        for _ in range(10):
            _, actions = proxy.call()
            for action in sends([*actions, *proxy.run(100.0)]):
                sent[second >= 10] += 1.0
                proxy.answer(action.call, number_of(action.server))
    assert 0.3 * 100.0 * 0.5 < sent[0] < 0.9 * 100.0  # during the ramp, 0.3 to 1 of what is offered
    assert sent[1] > 0.95 * 100.0
