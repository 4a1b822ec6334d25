"""Many proxies in front of one server: the sum of their load, and the messages among them.

No single proxy sees these effects.
"""

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


def fleet(proxies: int, servers: int = 2, **changes: Any) -> list[Proxy]:
    return [
        Proxy(
            servers,
            seed=index + 1,
            siblings=proxies,
            me=index,
            classes=CLASSES,
            report_columns=COLUMNS,
            **changes,
        )
        for index in range(proxies)
    ]


def report_lines(proxies: list[Proxy], number: int, free: float, size: float) -> None:
    for proxy in proxies:
        proxy.give(api.ServerReport(server(number).address, api.Outcome.OK, 0.0, (free, size, -1.0)))


def run(proxies: list[Proxy], seconds: float, calls_per_second: float, first: int = 0) -> dict[str, int]:
    """Each proxy offers calls at random times, all answered immediately. Returns the number of sends by
    server address."""
    rng = random.Random(5)
    sent = {server(n).address: 0 for n in range(8)}
    for proxy in proxies:
        arrival = proxy.now + rng.expovariate(calls_per_second) * 1000.0
        end = proxy.now + seconds * 1000.0
        while arrival < end:
            actions = proxy.run(arrival - proxy.now)
            actions += proxy.call(rng.choice(["plain", "plain", "plain", "dear"]), first)[1]
            for send in sends(actions):
                sent[send.server] += 1
                proxy.answer(send.call, number_of(send.server))
            arrival += rng.expovariate(calls_per_second) * 1000.0
        proxy.run(end - proxy.now)
    return sent


@pytest.mark.parametrize("proxies", [6, 60, 570])
def test_all_together_keep_a_cold_server_within_its_budget(proxies: int) -> None:
    # Guards against the sum of all proxies' minimum rates and initial tokens, which overloaded a cold server
    # in fleets of full size.
    total_per_second = 60.0  # offered by all proxies, half to each of two servers with equally many lines
    all_proxies = fleet(proxies)
    for number in (0, 1):
        report_lines(all_proxies, number, 1000.0, 1000.0)
    run(all_proxies, 8.0, total_per_second / 2.0 / proxies, first=1)
    for proxy in all_proxies:
        proxy.give(api.ListUpdate(api.ListKind.CHANGES, 2, (server(0, started=proxy.now),)))
    for window in range(3):
        sent = run(all_proxies, 1.5, total_per_second / proxies)[server(0).address]
        capacity_per_second = total_per_second / 2.0 * (SETTINGS.cold_from + 0.7 * 1.5 * window / 10.0)
        assert sent <= 2.0 * capacity_per_second * 1.5 + 3.0


@pytest.mark.parametrize("proxies", [6, 60, 285])
def test_the_last_lines_are_shared_out_among_all_proxies(proxies: int) -> None:
    # Guards against every proxy sending to the last free lines of an overloaded server, which then spent its
    # time on refusals.
    all_proxies = fleet(proxies)
    run(all_proxies, 2.0, 120.0 / proxies)
    report_lines(all_proxies, 0, 0.0, 200.0)
    report_lines(all_proxies, 1, 200.0, 200.0)
    run(all_proxies, 1.0, 120.0 / proxies)  # spends the tokens that have accumulated
    report_lines(all_proxies, 0, 0.0, 200.0)
    assert (
        run(all_proxies, 4.0, 120.0 / proxies)[server(0).address] <= 1.3 * 4.0 * 200.0 / 10.0 + 0.3 * proxies
    )


def traffic(siblings: int) -> tuple[int, int]:
    """The numbers of messages and probes that one proxy sends in ten seconds."""
    proxy = Proxy(4, siblings=siblings, peers=True, probes=True)
    for step in range(40):
        proxy.call(first=step % 4)
        for send in sends([action for _, action in proxy.log[-1:]]):
            proxy.answer(send.call, number_of(send.server))
        proxy.run(250.0)
    messages = [action for _, action in proxy.log if isinstance(action, api.SendToPeer)]
    assert all(0 < action.peer < siblings and len(action.data) <= 256 for action in messages)
    return len(messages), sum(isinstance(action, api.Probe) for _, action in proxy.log)


def test_messages_and_probes_of_a_proxy_do_not_grow_with_the_fleet() -> None:
    # Guards against broadcasts to all peers: with 285 proxies, test runs were aborted because of
    # the number of messages.
    messages, probes = traffic(5)
    assert messages > 0 and probes > 0
    assert traffic(500) == (messages, probes)
    assert traffic(1) == (0, probes)


def test_idle_proxies_set_few_timers() -> None:
    proxy = Proxy(4)
    proxy.log.clear()
    proxy.run(10_000.0)
    assert len(proxy.log) <= 10 * 6


def peer_summary(number: int, answers: int, share: int, age: int) -> bytes:
    return decide.PEER_SUMMARY.pack(number, answers, share, age)


def test_peer_summaries_start_control_and_old_ones_do_not() -> None:
    for age, started in ((10, True), (250, False)):
        proxy = Proxy()
        for sender in range(1, 4):
            proxy.give(api.PeerMessage(sender, peer_summary(0, 16, 255, age)))
        assert (proxy.control().ceiling is not None) is started


def test_peer_summaries_from_before_the_last_cut_do_not_count() -> None:
    proxy = Proxy()
    proxy.control().lower(2.0, proxy.now)
    proxy.run(300.0)
    proxy.give(api.PeerMessage(1, peer_summary(0, 48, 255, 5)))
    assert proxy.control().answers == 0.0


@pytest.mark.parametrize(
    "data", [b"", b"x", b"abcdefg", peer_summary(999, 48, 255, 0), peer_summary(0, 0, 0, 255) * 51]
)
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
    proxy.run(3000.0)  # without messages, nothing from a peer raises the ceiling
    assert 0.0 < (proxy.control().ceiling or 0.0) <= ceiling
    proxy.run(decide.PENDING_TERMINATION_MS + 20_000.0)
    assert proxy.control().ceiling is None


def test_lost_answers_do_not_close_a_healthy_server() -> None:
    # Guards against counting resets as rejects, which happened when a quarter of the answers were lost.
    proxy = Proxy()
    for _ in range(40):
        name, actions = proxy.call()
        assert sends(actions)[0].server == server(0).address
        proxy.fail(name, api.Outcome.RESET)
        retries = sends(proxy.run(400.0))
        assert [send.call for send in retries] == [name]
        proxy.answer(name, number_of(retries[0].server))
    assert proxy.control().ceiling is None


def test_unspent_tokens_of_a_whole_fleet_do_not_overload_a_cold_server() -> None:
    # Guards against a surge of dear calls that finds one unspent token at each of 286 proxies.
    all_proxies = fleet(286)
    for number in (0, 1):
        report_lines(all_proxies, number, 1000.0, 1000.0)
    run(all_proxies, 6.0, 40.0 / 286, first=1)
    for proxy in all_proxies:
        proxy.give(api.ListUpdate(api.ListKind.CHANGES, 2, (server(0, started=proxy.now),)))
        proxy.run(3000.0)
    sent = 0
    for proxy in all_proxies:
        sent += sum(send.server == server(0).address for send in sends(proxy.call("dear", 0)[1]))
    assert sent <= 0.5 * 1.5 * 20.0 * SETTINGS.fall_multiple


def test_rejected_probes_count_as_rejects() -> None:
    # Guards against judging an overloaded server by the few probes that it accepts: it rejected most of them
    # and answered the others in 50 ms.
    proxy = Proxy(probes=True, report_columns=COLUMNS)
    for outcome in (api.Outcome.FULL, api.Outcome.OK, api.Outcome.TIMEOUT, api.Outcome.FULL):
        row = (50.0, 100.0, 50.0) if outcome is api.Outcome.OK else ()
        proxy.give(api.ServerReport(server(0).address, outcome, 20.0, row))
        proxy.run(100.0)
    assert proxy.control().ceiling is not None and proxy.control(1).ceiling is None


def test_proxies_probe_the_servers_in_orders_of_their_own() -> None:
    # Guards against all proxies probing one server within the same quarter of a second, which made it reject
    # the probes.
    first_probed = set()
    for proxy in fleet(30, 6, probes=True):
        first_probed |= {next(a.server for a in proxy.run(1000.0) if isinstance(a, api.Probe))}
    assert len(first_probed) >= 5
