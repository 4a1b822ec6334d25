"""The adapter: each event and action, malformed input, and the same replies in any process layout."""

from __future__ import annotations

import io
import os
import pathlib
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostport import Controller, adapter
from frostport import interface as api

LAUNCH = (
    "launch 3 99 siblings=2 caps.peers=true caps.probes=true caps.try-limit=4 caps.retry-after=true "
    "caps.max-retry-after-ms=2000.0 family-info.topology=pools family-info.pools-by-class.count=1 "
    "family-info.pools-by-class.0=0,1 family-info.retransmit-ms=800.0 report.columns=free,size,mean_ms "
    "services.count=1 services.0.name=a services.0.aim-ms=1000.0 services.0.deadline-ms=4000.0 "
    "services.0.gain=2.0 tenants.count=1 tenants.0.name=t tenants.0.quota-per-s=3.5 made-up.key=x"
)
LIST = "page 0 2\nitem z 0 ready h:1 - - k\nitem y 1 ready h:2 10.5 1.5 k\nmembership 3 Persisted 41 0"
CALL = "ingress 3 c1 a t 5 1000.0 - 0 1 -1 0"


def exchange(*batches: str) -> tuple[int, str, str]:
    """Feeds batches 25 ms apart to the adapter; returns its status, output and errors."""
    output = io.StringIO()
    errors = io.StringIO()
    text = "".join(
        f"mark {1000.0 + 25.0 * n}\n{batch}\nend\n".replace("\n\n", "\n") for n, batch in enumerate(batches)
    )
    status = adapter.serve(io.StringIO(text), output, errors)
    return status, output.getvalue(), errors.getvalue()


def test_every_event_is_accepted_and_calls_are_sent() -> None:
    status, out, errors = exchange(
        f"{LAUNCH}\n{LIST}",
        CALL,
        "headers 3 c1 0 h:1 18.5",
        "finished 3 c1 0 h:1 OK 18.5 1 - -",
        "gone 3 c1",
        "bell 3 beat",
        "status_back 3 12.0 h:1 OK 20,30,4.5",
        "message 3 1 AAAB",
        "membership 3 Error 42 0",
        "page 1 1\nitem z 0 gone h:1 - 1 k\nmembership 3 Partial 43 1",
        "teardown 3",
    )
    assert (status, errors) == (0, "")
    assert "try 3 c1 h:1 " in out and out.count("yield\n") == 11


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.SendAttempt("c", "h:1", 80.0), "try 3 c h:1 80.000"),
        (api.CancelAttempt("c", 2), "revoke 3 c 2"),
        (api.RefuseCall("c", 500.0), "say_no 3 c 500.000"),
        (api.FailCall("c"), "report_failure 3 c"),
        (api.SetTimer("beat", 25.0), "timer 3 beat 25.000"),
        (api.Probe("h:1"), "check 3 h:1"),
        (api.SendToPeer(2, b"hi"), "tell 3 2 aGk="),
        (api.SendToPeer(0, b""), "tell 3 0 -"),
        (api.Subscribe(), "stream_changes 3 1"),
        (api.WriteLog("two\nlines"), "write_log 3 two lines"),
    ],
)
def test_actions_on_the_wire(action: api.Action, line: str) -> None:
    assert adapter.write_action(3, action) == line


def test_settings_are_read_and_unknown_ones_skipped() -> None:
    parsed = adapter.read_settings(adapter.Fields(LAUNCH.replace("launch 3 99 ", "conf "), 1))
    assert parsed.classes == (api.CallClass("a", 1000.0, 4000.0, 2.0, 0.0, (0, 1)),)
    assert parsed.tenants == (api.Tenant("t", 3.5, 0.0),)
    assert parsed.peers and parsed.probes and not parsed.gives_wait and parsed.report_columns[2] == "mean_ms"
    assert adapter.read_settings(adapter.Fields("conf", 1)) == api.Settings(classes=())


def test_notes_are_split_into_reason_and_wait() -> None:
    parsed = adapter.read_ended(adapter.Fields("f c 0 h:1 RESOURCE_EXHAUSTED 9.5 0 8003 3,4", 1))
    assert (parsed.note, parsed.wait_ms, parsed.report) == (3, 500.0, (3.0, 4.0))


def test_marks_of_a_call_are_read_separately() -> None:
    parsed = adapter.read_arrival(adapter.Fields("i c1 a - 5 1000.0 - 0 1 -1 26", 1))
    assert parsed.redial and parsed.in_transit and parsed.cut_before and parsed.number_called == 5


@pytest.mark.parametrize(
    ("batch", "named"),
    [
        ("blurb 3", "blurb"),
        ("bell x beat", "proxy"),
        ("bell 3", "mark"),
        ("ingress 3 c1 a t 5 soon - 0 1 -1 0", "budget-ms"),
        ("ingress 3 c1 a t 5 nan - 0 1 -1 0", "budget-ms"),
        ("ingress 3 c1 a t 5 9.0 - 0.5 1 -1 0", "called-node"),
        ("finished 3 c1 0 h:1 FINE 18.5 1 - -", "outcome"),
        ("finished 3 c1 0 h:1 OK 18.5 maybe - -", "no-more"),
        ("finished 3 c1 0 h:1 OK 18.5 1 - 1,x", "pressure"),
        ("message 3 1 ***", "raw"),
        ("membership 3 Complete 4 9", "sheet"),
        ("page 1 2\nitem z 0 ready h:1 - 1 k", "entries"),
        ("page 1 1\nitem z 0 asleep h:1 - 1 k", "lifecycle"),
        ("bell 4 beat", "proxy"),
        ("bell 3 beat more", "unexpected"),
        ("launch 5 1 siblings", "conf"),
        ("launch 5 1 siblings=many", "siblings"),
        ("mark 12", "unknown message"),
    ],
)
def test_malformed_text_ends_it_with_one_plain_line(batch: str, named: str) -> None:
    status, _, errors = exchange(f"{LAUNCH}\n{LIST}", batch)
    assert status != 0
    assert errors.count("\n") == 1 and "line " in errors and "field " in errors and named in errors


@pytest.mark.parametrize("text", ["mark 1.0\nbell", "mark 1.0\npage 0 2\nitem z 0 ready h:1 - 1 k\n"])
def test_a_batch_cut_off(text: str) -> None:
    errors = io.StringIO()
    assert adapter.serve(io.StringIO(text), io.StringIO(), errors) != 0
    assert errors.getvalue().count("\n") == 1


def test_a_fault_of_the_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> list[api.Action]:
        raise KeyError("lost")

    monkeypatch.setattr(Controller, "handle", broken)
    status, out, _ = exchange(f"{LAUNCH}\n{LIST}")
    assert status == 0 and "internal_error 3 KeyError: 'lost'\n" in out


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.text(alphabet="abc 0123-.,=\n", max_size=40), max_size=6))
def test_any_text_ends_in_a_status_and_never_a_traceback(parts: list[str]) -> None:
    status, _, errors = exchange(LAUNCH, *parts)
    assert status in (0, 2) and errors.count("\n") == (1 if status else 0)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.binary(max_size=300), st.integers(-5, 2**40))
def test_any_peer_message_is_accepted(data: bytes, sender: int) -> None:
    controller = Controller(api.Settings(classes=(), peers=True), 1)
    controller.handle(
        api.ListUpdate(api.ListKind.COMPLETE, 1, (api.Server("h:1", 1, api.Lifecycle.READY),)), 5.0
    )
    assert controller.handle(api.PeerMessage(sender, data), 6.0) == []


def conversation() -> str:
    """Forty seconds of three proxies that get more calls than two servers can take."""
    lines = []
    clock = 5000.0
    number = 0
    launches = "\n".join(
        LAUNCH.replace("launch 3 99", f"launch {n} {n + 7}") + f"\nmembership {n} Persisted 1 0"
        for n in range(3)
    )
    servers = "page 0 2\nitem z 0 ready h:1 - - k\nitem y 1 ready h:2 - - k"
    lines.append(f"mark {clock}\n{servers}\n{launches}\nend")
    for step in range(400):
        clock += 100.0
        batch = [f"mark {clock}"]
        for proxy in range(3):
            number += 1
            batch.append(f"ingress {proxy} c{number} a t {number} 1500.0 - {step % 2} 1 -1 0")
            batch.append(f"bell {proxy} beat")
            if step > 20 and step % 3:
                server = f"h:{1 + (step - 1) % 2}"
                batch.append(f"headers {proxy} c{number - 3} 0 {server} {1300.0 if step % 2 else 700.0}")
        lines.append("\n".join([*batch, "end"]))
    return "\n".join(lines) + "\n"


def test_equal_events_give_equal_actions_under_any_hash_seed() -> None:
    replies = set()
    for seed in ("0", "1", "4242"):
        done = subprocess.run(
            [sys.executable, "-m", "frostport.adapter"],
            input=conversation(),
            text=True,
            check=True,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
            cwd=pathlib.Path(__file__).parent.parent,
        )
        replies.add(done.stdout)
    assert len(replies) == 1 and "say_no" in replies.pop()


def test_the_process_ends_with_a_plain_line() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "frostport.adapter"],
        input=b"mark 1.0\n\xff\xfe\nend\n",
        capture_output=True,
        cwd=pathlib.Path(__file__).parent.parent,
        check=False,
    )
    assert done.returncode != 0 and b"Traceback" not in done.stderr and done.stderr.count(b"\n") == 1


def test_instances_act_alike_together_and_apart() -> None:
    text = conversation()
    sink = io.StringIO()
    adapter.serve(io.StringIO(text), sink, io.StringIO())
    for proxy in range(3):
        own = "\n".join(
            line
            for line in text.split("\n")
            if line.split(" ")[0] in ("mark", "end", "page", "item", "") or line.split(" ")[1] == str(proxy)
        )
        apart = io.StringIO()
        adapter.serve(io.StringIO(own), apart, io.StringIO())
        mine = [line for line in sink.getvalue().split("\n") if line.split(" ")[1:2] in ([], [str(proxy)])]
        assert "\n".join(mine) == apart.getvalue()
