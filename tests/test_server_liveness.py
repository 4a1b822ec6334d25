"""The failure detector of one server: its actions on silence, received data and pauses of this process."""

from __future__ import annotations

from frostport.core.server_liveness import (
    CALLS_LOST_AFTER_MS,
    CHECK_PERIOD_MS,
    CHECK_TIMEOUT_MS,
    SILENT_AFTER_MS,
    CallsLost,
    CheckLiveness,
    ServerLiveness,
    Suspected,
)

START_MS = 1000.0
NOTIFY_LIMIT_MS = 8000.0  # the protocol page: callers are notified this long after their call ended


def actions_until_lost(
    liveness: ServerLiveness, begin_ms: float, end_ms: float, calls: bool = True
) -> list[object]:
    """Evaluates a detector every period, until its calls are lost, and returns the actions."""
    actions: list[object] = []
    now_ms = begin_ms
    while now_ms <= end_ms:
        actions += liveness.evaluate(now_ms, calls)
        now_ms += CHECK_PERIOD_MS
        if any(isinstance(action, CallsLost) for action in actions):
            break
    return actions


def test_a_silent_server_is_checked_then_suspected_then_its_calls_are_lost_within_the_limit() -> None:
    liveness = ServerLiveness(START_MS)
    actions = actions_until_lost(liveness, START_MS, START_MS + NOTIFY_LIMIT_MS - CHECK_PERIOD_MS)
    kinds = list(dict.fromkeys(type(action) for action in actions))
    assert kinds == [CheckLiveness, Suspected, CallsLost]
    assert sum(isinstance(action, Suspected) for action in actions) == 1
    assert actions[-1] == CallsLost(START_MS, START_MS + CALLS_LOST_AFTER_MS)
    assert not liveness.suspected


def test_a_server_that_sends_is_never_checked() -> None:
    liveness = ServerLiveness(START_MS)
    for now_ms in range(int(START_MS), 60_000, int(SILENT_AFTER_MS) - 1):
        liveness.data_received(now_ms, START_MS)
        assert not liveness.is_silent(now_ms + SILENT_AFTER_MS - 1.0)
        assert liveness.evaluate(now_ms + SILENT_AFTER_MS - 1.0, True) == []


def test_a_server_without_established_calls_is_neither_checked_nor_suspected() -> None:
    assert actions_until_lost(ServerLiveness(START_MS), START_MS, START_MS + 60_000.0, calls=False) == []


def test_data_on_an_old_connection_keeps_the_calls() -> None:
    liveness = ServerLiveness(START_MS)
    back_ms = START_MS + CALLS_LOST_AFTER_MS - CHECK_PERIOD_MS
    actions_until_lost(liveness, START_MS, back_ms - CHECK_PERIOD_MS)
    assert liveness.suspected
    assert liveness.data_received(back_ms, START_MS - 500.0)
    assert actions_until_lost(liveness, back_ms, back_ms + SILENT_AFTER_MS - 1.0) == []


def test_data_on_a_new_connection_does_not_keep_calls_from_before_the_silence() -> None:
    liveness = ServerLiveness(START_MS)
    actions_until_lost(liveness, START_MS, START_MS + SILENT_AFTER_MS + CHECK_TIMEOUT_MS)
    actions: list[object] = []
    for now_ms in range(int(START_MS + 4000.0), int(START_MS + NOTIFY_LIMIT_MS), int(CHECK_PERIOD_MS)):
        assert not liveness.data_received(now_ms, START_MS + 3900.0)
        actions += liveness.evaluate(now_ms, True)
        if any(isinstance(action, CallsLost) for action in actions):
            break
    lost = actions[-1]
    assert isinstance(lost, CallsLost) and lost.since_ms == START_MS
    # A call established just after the last data was received is in doubt; one established by the first data
    # on the newer connection is not.
    assert START_MS + 5.0 < lost.established_by_ms < START_MS + 4000.0


def test_a_pause_of_this_process_does_not_count_as_silence_of_the_server() -> None:
    liveness = ServerLiveness(START_MS)
    resumed_ms = START_MS + 20_000.0
    liveness.process_paused(resumed_ms)
    assert liveness.evaluate(resumed_ms, True) == [CheckLiveness(None)]
    assert not liveness.suspected
    liveness.data_received(resumed_ms + 10.0, START_MS)
    assert liveness.evaluate(resumed_ms + CHECK_PERIOD_MS, True) == []


def test_a_pause_during_a_suspicion_leaves_time_for_the_answer() -> None:
    liveness = ServerLiveness(START_MS)
    actions_until_lost(liveness, START_MS, START_MS + SILENT_AFTER_MS + CHECK_TIMEOUT_MS)
    resumed_ms = START_MS + CALLS_LOST_AFTER_MS + 5000.0
    liveness.process_paused(resumed_ms)
    assert not [action for action in liveness.evaluate(resumed_ms, True) if isinstance(action, CallsLost)]
    actions = actions_until_lost(liveness, resumed_ms, resumed_ms + CALLS_LOST_AFTER_MS)
    assert [action.since_ms for action in actions if isinstance(action, CallsLost)] == [START_MS]


def test_a_process_restarted_before_the_first_check_does_not_keep_the_calls_of_the_old_one() -> None:
    liveness = ServerLiveness(START_MS)
    back_ms = START_MS + SILENT_AFTER_MS + 100.0
    assert not liveness.data_received(back_ms, back_ms - 10.0)
    assert liveness.suspected
    lost = actions_until_lost(liveness, back_ms, START_MS + NOTIFY_LIMIT_MS)[-1]
    assert isinstance(lost, CallsLost) and START_MS < lost.established_by_ms < back_ms


def test_with_checks_on_a_new_connection_its_first_data_is_the_answer() -> None:
    liveness = ServerLiveness(START_MS, checks_old_connections=False)
    answered_ms = START_MS + SILENT_AFTER_MS + 100.0
    liveness.data_received(answered_ms, answered_ms - 10.0)
    assert not liveness.suspected


def test_a_reset_after_a_silence_leaves_the_calls_in_doubt_and_one_without_does_not() -> None:
    for silent_ms in (SILENT_AFTER_MS, SILENT_AFTER_MS - 1.0):
        liveness = ServerLiveness(START_MS, checks_old_connections=False)
        liveness.connection_reset(START_MS + silent_ms)
        assert liveness.suspected is (silent_ms >= SILENT_AFTER_MS)
