"""The mechanism's pieces after ND1115 section 7: Detection, Update, Restriction, pauses, the kept server."""

from __future__ import annotations

import math

import pytest

from frostport import decide
from frostport import interface as api
from tests.bench import SETTINGS, Proxy, finals, number_of, sends, server

NOW = 1_000_000.0


def control(rate: float = 4.0) -> decide.ServerControl:
    made = decide.ServerControl(server(0), SETTINGS, NOW, 0.5)
    made.since = NOW - 60_000.0
    made.sent = rate * decide.RATE_TAU_S
    return made


def test_one_reject_does_not_start_control_but_a_full_bucket_does() -> None:
    made = control()
    made.detect(NOW, 1.0, NOW, NOW)
    assert made.ceiling is None
    for _ in range(math.ceil(decide.START_REJECTS) + 1):
        made.detect(NOW, 1.0, NOW, NOW)
    assert made.ceiling == pytest.approx(decide.SEVERE_CUT * 4.0)


def test_the_bucket_leaks() -> None:
    made = control()
    for step in range(60):
        now = NOW + 4.0 * decide.EVIDENCE_TAU_MS * step
        made.detect(now, 1.0, now, now)
    assert made.ceiling is None


def test_early_answers_never_start_control() -> None:
    made = control()
    for step in range(500):
        made.detect(NOW + step, 0.0, NOW + step, NOW + step)
    assert made.ceiling is None


def step_of(grade: float, rate: float = 4.0) -> float:
    made = control(rate)
    made.ceiling = 4.0
    for _ in range(4):
        made.detect(NOW, grade, NOW, NOW)
    made.update(NOW)
    assert made.ceiling is not None
    return made.ceiling / 4.0


def test_steps_go_down_above_the_target_and_up_below_it() -> None:
    assert step_of(1.0) < 1.0 < step_of(0.0)


def test_steps_are_small_near_the_target_and_larger_further_off() -> None:
    near_up, far_up = step_of(decide.TARGET_SHARE * 0.9), step_of(0.0)
    near_down, far_down = step_of(decide.TARGET_SHARE * 1.2), step_of(0.6)
    assert 1.0 < near_up < far_up
    assert far_down < near_down < 1.0


def test_a_ceiling_that_restrains_nothing_is_not_raised() -> None:
    assert step_of(0.0, rate=2.0) == 1.0


def test_the_ceiling_has_a_floor_above_nought() -> None:
    made = control(0.0)
    made.ceiling, made.fair_rate = 1.0, 0.3
    for second in range(100):
        now = NOW + 1000.0 * second
        for _ in range(5):
            made.detect(now, 1.0, now, now)
        made.update(now)
    assert made.ceiling is not None and made.ceiling >= decide.MIN_SHARE * made.fair_rate > 0.0


def test_evidence_sent_before_the_last_cut_counts_for_nothing() -> None:
    # Found on a day on which old answers cut the ceiling again and again until nothing was sent.
    made = control()
    made.lower(2.0, NOW)
    made.detect(NOW + 500.0, 1.0, NOW - 1.0, NOW + 500.0)
    assert made.answers == 0.0
    made.update(NOW + 600.0)
    assert made.ceiling == 2.0


def test_old_evidence_is_not_used_by_a_second_tick() -> None:
    made = control()
    made.ceiling = 4.0
    for _ in range(5):
        made.detect(NOW, 1.0, NOW, NOW)
    made.update(NOW)
    once = made.ceiling
    made.update(NOW + 1000.0)
    assert made.ceiling == once


def test_a_cut_stays_near_what_the_server_answers() -> None:
    made = control(0.0)
    made.ceiling = 3.0
    made.answered = 3.0 * decide.RATE_TAU_S
    for _ in range(10):
        made.detect(NOW, 1.0, NOW, NOW)
    made.update(NOW)
    assert made.ceiling >= 0.5 * 3.0


def test_what_a_server_would_get_by_its_lines_does_not_hold_a_jammed_one() -> None:
    # Found on a full-size burst day: the fair rate held two servers at a wait of 2.6 s for 20 s.
    made = control(0.3)
    made.fair_rate = 0.3
    for second in range(12):
        now = NOW + 1000.0 * second
        for _ in range(4):
            made.detect(now, 1.0, now, now)
        made.update(now)
    assert made.ceiling == pytest.approx(decide.MIN_SHARE * 0.3)


def test_control_ends_when_the_pending_timer_expires() -> None:
    made = control(1.0)
    made.ceiling = 10.0
    made.detect(NOW, 0.0, NOW, NOW)
    made.update(NOW)
    assert made.terminate_at == NOW + decide.PENDING_TERMINATION_MS
    made.detect(
        NOW + decide.PENDING_TERMINATION_MS - 1.0, 0.0, NOW, NOW + decide.PENDING_TERMINATION_MS - 1.0
    )
    made.update(NOW + decide.PENDING_TERMINATION_MS - 1.0)
    assert made.ceiling is not None
    made.update(NOW + decide.PENDING_TERMINATION_MS)
    assert made.ceiling is None


def test_a_rise_of_restriction_stops_the_pending_timer() -> None:
    made = control(1.0)
    made.ceiling = 10.0
    made.update(NOW)
    for _ in range(5):
        made.detect(NOW + 10.0, 1.0, NOW + 10.0, NOW + 10.0)
    made.update(NOW + 1000.0)
    made.update(NOW + decide.PENDING_TERMINATION_MS + 1.0)
    assert made.ceiling is not None


def test_an_unheard_server_is_unrestricted() -> None:
    proxy = Proxy()
    assert sum(len(sends(proxy.call()[1])) for _ in range(200)) == 200


def test_the_first_choice_is_taken_while_it_may() -> None:
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
    # Found on a day on which a server that paused for 300 ms stated 5 s and was left idle.
    proxy = Proxy(gives_wait=True)
    name, _ = proxy.call()
    proxy.give(api.AttemptEnded(name, 0, server(0).address, api.Outcome.FULL, 30.0, False, 3, 5000.0))
    proxy.run(300.0)
    assert sends(proxy.call()[1])[0].server == server(0).address


def test_the_kept_server_stays_until_it_may_not_be_used() -> None:
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
    made = proxy.control()
    made.ceiling, made.tokens, made.filled_at = 1.0, -0.5, proxy.now
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


def test_an_attempt_still_out_counts_once() -> None:
    proxy = Proxy()
    name, _ = proxy.call()
    proxy.run(1500.0)
    assert (proxy.control().answers, proxy.control().reject_share) == (1.0, 1.0)
    proxy.answer(name, elapsed=1500.0)
    assert proxy.control().answers == 1.0


def test_a_redial_past_its_aim_gives_way_to_a_first_try() -> None:
    # Found where a third of the calls stood late: redials took the room of calls still in time.
    proxy = Proxy(1)
    made = proxy.control()
    made.paused_until = math.inf
    proxy.call(number_called=77)
    proxy.run(3500.0)
    redial, _ = proxy.call(number_called=77, budget_ms=5000.0)
    fresh, _ = proxy.call(number_called=78)
    made.paused_until = proxy.now
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
    "stood_since, share, pause", [(True, 0.0, False), (False, 0.0, True), (True, 0.5, True)]
)
def test_one_lost_answer_is_no_strike_where_others_stood_since(
    stood_since: bool, share: float, pause: bool
) -> None:
    proxy = Proxy()
    lost, _ = proxy.call()
    proxy.run(10.0)
    if stood_since:
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
    # Found on a day on which a crowd dialled one number and every retry was work for nothing.
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
    # Found on a quiet day: controls that tripped in the first seconds started at a third of the true rate.
    proxy = Proxy()
    proxy.load(2.0, 5.0, 60.0)
    proxy.control().decay(proxy.now)
    assert 3.5 < proxy.control().rate(proxy.control().sent) < 6.5


def test_fulls_close_together_count_as_one_reject() -> None:
    # Found on a day of pausing processors: each pause answered several calls full and started control.
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


def test_a_kept_server_that_answers_late_is_drawn_anew() -> None:
    # Found with all messages lost: servers of second choice stood at 6 s, each kept by many proxies.
    proxy = Proxy(6)
    proxy.control(0).paused_until = math.inf
    _, actions = proxy.call()
    kept = proxy.logic.alternative
    assert kept is not None and sends(actions)[0].server == kept.server.address
    proxy.run(decide.LATE * proxy.logic.delay_ms + decide.UPKEEP_MS)
    assert proxy.logic.alternative is None


def test_what_every_answer_takes_is_no_reject() -> None:
    """On a site whose retransmission is as short as the way there and back, the way alone was a reject."""
    proxy = Proxy(servers=1, retransmit_ms=100.0)
    assert proxy.logic.delay_ms == 100.0
    proxy.load(10.0, 10.0, 45.0)
    assert proxy.control().ceiling is None and proxy.control().reject_share < decide.TARGET_SHARE
    proxy.load(10.0, 10.0, 140.0)
    assert proxy.control().ceiling is not None


@pytest.mark.parametrize("elapsed", [5.0, 45.0, 300.0, 2000.0])
def test_with_a_long_pinch_the_way_and_the_pace_change_nothing(elapsed: float) -> None:
    """Servers pressed from the start had no short answer: taken for the way, a long one hid the pressure."""
    proxy = Proxy(servers=1, retransmit_ms=400.0)
    proxy.load(0.5, 10.0, elapsed)
    assert proxy.logic.prompt_ratio(proxy.control()) == decide.PROMPT
    assert (proxy.logic.time_scale, proxy.logic.update_ms) == (1.0, decide.UPDATE_MS)


def test_with_a_short_pinch_the_pace_is_shorter() -> None:
    assert Proxy(retransmit_ms=100.0).logic.time_scale == 0.25


def test_free_lines_are_shared_by_the_proxies_that_serve() -> None:
    proxy = Proxy(1, report_columns=("free", "size"))
    proxy.logic.mean_holding_ms = 1e12  # none comes free meanwhile
    for told, share in ((None, 4.0), (8, 8.0), (0, 1.0)):
        if told is not None:
            proxy.give(api.SiblingsUp(told))
        proxy.give(api.ServerReport(server(0).address, api.Outcome.OK, 0.0, (40.0, 50.0)))
        assert proxy.control().lines_rate == pytest.approx(40.0 / share)


def test_a_proxy_that_starts_among_cold_servers_alone_uses_them_within_their_ramp() -> None:
    """Nothing sent yet is no ceiling of nought: it goes by its part of the calls offered, and by the ramp."""
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
    assert 0.3 * 100.0 * 0.5 < sent[0] < 0.9 * 100.0  # in the ramp, from 0.3 to 1 of what is offered
    assert sent[1] > 0.95 * 100.0
