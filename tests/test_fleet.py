"""What many proxies do together towards one server: sums, messages and news that no single one sees."""

from __future__ import annotations

import random
from typing import Any

import pytest

from frostport import decide
from frostport import interface as api
from tests.bench import SETTINGS, Proxy, number_of, sends, server

CLASSES = (
    api.CallClass("plain", 2000.0, 9000.0, 1.0, 0.2, holding_ms=10_000.0),
    api.CallClass("dear", 1200.0, 9000.0, 4.0, 0.2, holding_ms=10_000.0),
)
COLUMNS = ("free", "size", "mean_ms")


def fleet(proxies: int, servers: int = 2, **more: Any) -> list[Proxy]:
    return [
        Proxy(servers, seed=me + 1, siblings=proxies, me=me, classes=CLASSES, report_columns=COLUMNS, **more)
        for me in range(proxies)
    ]


def tell_lines(proxies: list[Proxy], number: int, free: float, size: float) -> None:
    for proxy in proxies:
        proxy.give(api.ServerReport(server(number).address, api.Outcome.OK, 0.0, (free, size, -1.0)))


def run(proxies: list[Proxy], seconds: float, per_s: float, first: int = 0) -> dict[str, int]:
    """Each proxy offers calls at random times, all answered at once. Returns the sends by server."""
    dice, sent = random.Random(5), {server(n).address: 0 for n in range(8)}
    for proxy in proxies:
        at, end = proxy.now + dice.expovariate(per_s) * 1000.0, proxy.now + seconds * 1000.0
        while at < end:
            actions = proxy.run(at - proxy.now)
            actions += proxy.call(dice.choice(["plain", "plain", "plain", "dear"]), first)[1]
            for send in sends(actions):
                sent[send.server] += 1
                proxy.answer(send.call, number_of(send.server))
            at += dice.expovariate(per_s) * 1000.0
        proxy.run(end - proxy.now)
    return sent


@pytest.mark.parametrize("proxies", [6, 60, 570])
def test_all_together_keep_a_cold_server_within_its_budget(proxies: int) -> None:
    # Found at full size: floors and first tokens of each proxy, summed, pushed a cold server over.
    whole = 60.0  # calls a second that all offer, in halves to two servers of equal lines
    made = fleet(proxies)
    for number in (0, 1):
        tell_lines(made, number, 1000.0, 1000.0)
    run(made, 8.0, whole / 2.0 / proxies, first=1)
    for proxy in made:
        proxy.give(api.ListUpdate(api.ListKind.CHANGES, 2, (server(0, started=proxy.now),)))
    for window in range(3):
        sent = run(made, 1.5, whole / proxies)[server(0).address]
        could = whole / 2.0 * (SETTINGS.cold_from + 0.7 * 1.5 * window / 10.0)
        assert sent <= 2.0 * could * 1.5 + 3.0


@pytest.mark.parametrize("proxies", [6, 60, 285])
def test_the_last_lines_are_shared_out_among_all_proxies(proxies: int) -> None:
    # Found on overloaded days: every proxy sent to the last free lines, and each refusal was work.
    made = fleet(proxies)
    run(made, 2.0, 120.0 / proxies)
    tell_lines(made, 0, 0.0, 200.0)
    tell_lines(made, 1, 200.0, 200.0)
    run(made, 1.0, 120.0 / proxies)  # what tokens were at hand is spent
    tell_lines(made, 0, 0.0, 200.0)
    assert run(made, 4.0, 120.0 / proxies)[server(0).address] <= 1.3 * 4.0 * 200.0 / 10.0 + 0.3 * proxies


def traffic(siblings: int) -> tuple[int, int]:
    """Messages and probes that one proxy sends in ten seconds."""
    proxy = Proxy(4, siblings=siblings, peers=True, probes=True)
    for step in range(40):
        proxy.call(first=step % 4)
        for send in sends([action for _, action in proxy.log[-1:]]):
            proxy.answer(send.call, number_of(send.server))
        proxy.run(250.0)
    told = [action for _, action in proxy.log if isinstance(action, api.TellPeer)]
    assert all(0 < action.peer < siblings and len(action.data) <= 256 for action in told)
    return len(told), sum(isinstance(action, api.Probe) for _, action in proxy.log)


def test_messages_and_probes_of_a_proxy_do_not_grow_with_the_fleet() -> None:
    # Found at full size: broadcasts to 285 proxies got days cut off.
    told, probes = traffic(5)
    assert told > 0 and probes > 0
    assert traffic(500) == (told, probes)
    assert traffic(1) == (0, probes)


def test_idle_proxies_set_few_timers() -> None:
    proxy = Proxy(4)
    proxy.log.clear()
    proxy.run(10_000.0)
    assert len(proxy.log) <= 10 * 6


def news(number: int, answers: int, share: int, age: int) -> bytes:
    return decide.PEER_SUMMARY.pack(number, answers, share, age)


def test_news_of_peers_starts_control_and_old_news_does_not() -> None:
    for age, started in ((10, True), (250, False)):
        proxy = Proxy()
        for sender in range(1, 4):
            proxy.give(api.PeerMessage(sender, news(0, 16, 255, age)))
        assert (proxy.control().ceiling is not None) is started


def test_news_from_before_the_last_cut_counts_for_nothing() -> None:
    proxy = Proxy()
    proxy.control().lower(2.0, proxy.now)
    proxy.run(300.0)
    proxy.give(api.PeerMessage(1, news(0, 48, 255, 5)))
    assert proxy.control().answers == 0.0


@pytest.mark.parametrize("data", [b"", b"x", b"abcdefg", news(999, 48, 255, 0), news(0, 0, 0, 255) * 51])
def test_messages_that_do_not_decode_or_name_no_server_do_no_harm(data: bytes) -> None:
    proxy = Proxy()
    assert proxy.give(api.PeerMessage(3, data)) == []
    assert proxy.control().ceiling is None
    assert proxy.logic.undecodable_messages == (1 if len(data) % decide.PEER_SUMMARY.size or not data else 0)


def test_without_messages_control_still_starts_holds_and_ends() -> None:
    proxy = Proxy(peers=True)
    proxy.load(6.0, 4.0, 1500.0)
    ceiling = proxy.control().ceiling
    assert ceiling is not None
    proxy.run(3000.0)  # nobody says anything: no good news
    assert 0.0 < (proxy.control().ceiling or 0.0) <= ceiling
    proxy.run(decide.PENDING_TERMINATION_MS + 20_000.0)
    assert proxy.control().ceiling is None


def test_lost_answers_do_not_close_a_healthy_server() -> None:
    # Found on days on which a quarter of the answers never arrived: the resets were taken for rejects.
    proxy = Proxy()
    for _ in range(40):
        name, actions = proxy.call()
        assert sends(actions)[0].server == server(0).address
        proxy.fail(name, api.Outcome.RESET)
        again = sends(proxy.run(400.0))
        assert [send.call for send in again] == [name]
        proxy.answer(name, number_of(again[0].server))
    assert proxy.control().ceiling is None


def test_tokens_in_hand_of_a_whole_fleet_do_not_push_a_cold_server_over() -> None:
    # Found on incident i99cb61: a surge of dear calls met one token in hand at each of 286 proxies.
    made = fleet(286)
    for number in (0, 1):
        tell_lines(made, number, 1000.0, 1000.0)
    run(made, 6.0, 40.0 / 286, first=1)
    for proxy in made:
        proxy.give(api.ListUpdate(api.ListKind.CHANGES, 2, (server(0, started=proxy.now),)))
        proxy.run(3000.0)
    sent = 0
    for proxy in made:
        sent += sum(send.server == server(0).address for send in sends(proxy.call("dear", 0)[1]))
    assert sent <= 0.5 * 1.5 * 20.0 * SETTINGS.fall_multiple


def test_probes_turned_away_are_rejects() -> None:
    # Found on an overloaded day: a jammed server turned probes away, and the few that got in told 50 ms.
    proxy = Proxy(probes=True, report_columns=COLUMNS)
    for outcome in (api.Outcome.FULL, api.Outcome.OK, api.Outcome.TIMEOUT, api.Outcome.FULL):
        row = (50.0, 100.0, 50.0) if outcome is api.Outcome.OK else ()
        proxy.give(api.ServerReport(server(0).address, outcome, 20.0, row))
        proxy.run(100.0)
    assert proxy.control().ceiling is not None and proxy.control(1).ceiling is None


def test_proxies_probe_the_servers_in_orders_of_their_own() -> None:
    # Found where all proxies probed one server in the same quarter of a second and were turned away.
    firsts = set()
    for proxy in fleet(30, 6, probes=True):
        firsts |= {next(a.server for a in proxy.run(1000.0) if isinstance(a, api.Probe))}
    assert len(firsts) >= 5
