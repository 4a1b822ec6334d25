"""The gate beside plain invariants: any order of arrivals, words, calls, closes, reloads and floods."""

from __future__ import annotations

import dataclasses
import ipaddress
import json
import pathlib
from collections import Counter
from typing import Any

import jsonschema
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from frostport import agent, config
from frostport.admission.gate import FAIR, GRACE_MS, Gate, Reason, Seat, Verdict
from frostport.admission.ladder import GAP, MARKS, Ladder, Step
from frostport.admission.ledger import Buffers, Descriptors, Owner
from frostport.admission.settings import Limits, Shared
from frostport.admission.tables import Buckets, Earned, Offenders, prefix_of
from frostport.net.jsonl import Message
from tests.scenario import ClosedEnd, Wire, platform, play

KNOWN = ipaddress.ip_network("10.9.0.0/16")
BASE = Limits(connections=12, known=(KNOWN,))
ADDRESSES = ["10.0.0.1", "10.0.0.2", "10.0.1.1", "10.9.0.1", "10.9.0.2", "2001:db8::1", "2001:db8::2"]


class GateMachine(RuleBasedStateMachine):
    """Seats as their fronts see them, and what the gate may never do with them."""

    @initialize(
        by_address=st.sampled_from([0, 3]),
        by_prefix=st.sampled_from([0, 4]),
        unidentified=st.sampled_from([0, 5]),
        reserve=st.sampled_from([0, 3]),
        rate=st.sampled_from([0.0, 2.0]),
        ladder=st.booleans(),
    )
    def begin(
        self, by_address: int, by_prefix: int, unidentified: int, reserve: int, rate: float, ladder: bool
    ) -> None:
        self.limits = dataclasses.replace(
            BASE,
            by_address=by_address,
            by_prefix=by_prefix,
            unidentified=unidentified,
            reserve=reserve,
            address_a_second=rate,
            prefix_a_second=rate,
            by_team=2,
            back_off_ms=100.0,
            remembered=8,
            buffered_bytes=1000,
            buffered_connection_bytes=300,
            earned_ms=5000.0,
            ladder=ladder,
        )
        self.gate = Gate(self.limits, Descriptors(20, 6))
        self.now = 1e6
        self.open: dict[int, Seat] = {}
        self.busy: Counter[int] = Counter()
        self.said: set[int] = set()

    def closed(self, seats: tuple[Seat, ...] | list[Seat]) -> None:
        for seat in seats:
            assert self.open.pop(seat.number, None) is seat, "given up twice, or never admitted"
            assert not self.busy[seat.number], "an open set-up or something owed was shed"

    @rule(address=st.sampled_from(ADDRESSES))
    def arrive(self, address: str) -> None:
        known = self.gate.is_known(address, self.now)
        before = dict(self.open)
        verdict: Verdict = self.gate.arrive(address, self.now)
        self.closed(verdict.shed)
        assert (verdict.seat is None) == (verdict.reason is not None)
        if verdict.seat is None:
            assert not verdict.shed, "someone made room for nobody"
            if known and verdict.reason is Reason.FULL:
                assert all(self.busy[number] for number in before), "a known client found no room"
            return
        self.open[verdict.seat.number] = verdict.seat
        if not known and verdict.shed:
            assert not any(seat.known for seat in verdict.shed) or not self.limits.reserve

    @precondition(lambda self: self.open)
    @rule(data=st.data(), team=st.sampled_from(["", "a", "b"]))
    def says(self, data: Any, team: str) -> None:
        seat = self.open[data.draw(st.sampled_from(sorted(self.open)))]
        reason = self.gate.identified(seat, team)
        self.said.add(seat.number)
        if reason is not None:
            self.close(seat)

    def close(self, seat: Seat) -> None:
        self.gate.gone(seat)
        self.gate.gone(seat)  # told twice, it counts once
        self.open.pop(seat.number, None)

    @precondition(lambda self: self.open)
    @rule(
        data=st.data(),
        what=st.sampled_from(["took", "done", "earns", "gone", "buffered"]),
        count=st.integers(0, 400),
    )
    def event(self, data: Any, what: str, count: int) -> None:
        seat = self.open[data.draw(st.sampled_from(sorted(self.open)))]
        match what:
            case "took":
                self.busy[seat.number] += 1
                self.gate.took(seat)
            case "done" if self.busy[seat.number]:
                self.busy[seat.number] -= 1
                self.gate.done(seat)
            case "earns":
                self.gate.earns(seat, self.now)
            case "gone":
                self.close(seat)
            case "buffered":
                assert self.gate.buffered(seat, count) == (count <= 300)

    @rule(address=st.sampled_from(ADDRESSES))
    def offends(self, address: str) -> None:
        known = self.gate.is_known(address, self.now)
        wait = self.gate.offends(address, self.now)
        assert (wait == 0.0) == known and wait <= self.limits.back_off_most_ms

    @rule(ms=st.sampled_from([1.0, 300.0, 2000.0, 6000.0]))
    def wait(self, ms: float) -> None:
        self.now += ms

    @rule(connections=st.sampled_from([4, 12]))
    def reload(self, connections: int) -> None:
        before = dict(self.open)
        self.limits = dataclasses.replace(
            self.limits, connections=connections, reserve=min(self.limits.reserve, 2)
        )
        self.gate.reload(self.limits, self.now)
        assert self.gate.seats == before, "a reload closes nothing by itself"

    @rule()
    def surplus(self) -> None:
        over = len(self.open) - self.limits.connections
        shed = self.gate.surplus(self.now)
        self.closed(shed)
        if over <= 0 and not self.limits.ladder:
            assert not shed

    @invariant()
    def holds(self) -> None:
        if not hasattr(self, "gate"):
            return
        gate, limits = self.gate, self.limits
        assert gate.seats == self.open
        assert gate.descriptors.open[Owner.CLIENTS] == len(self.open)
        assert gate.by_address == Counter(seat.address for seat in self.open.values())
        assert gate.by_prefix == Counter(seat.prefix for seat in self.open.values())
        assert gate.by_team == Counter(seat.team for seat in self.open.values() if seat.team)
        assert gate.unidentified == sum(not seat.identified for seat in self.open.values())
        assert gate.strangers == sum(not seat.known for seat in self.open.values())
        assert all(count <= limits.by_team for count in gate.by_team.values())
        may_go = {number for number in self.open if not self.busy[number]}
        assert set(gate._silent) | set(gate._idle) == may_go
        assert {number for of in gate._of.values() for number in of} == may_go
        assert gate._most == max((len(of) for of in gate._of.values()), default=0)
        for table in (gate.address_rates, gate.prefix_rates, gate.offenders, gate.earned):
            assert len(table) <= limits.remembered
        assert gate.buffers.total == sum(gate.buffers.bytes.values())
        assert gate.buffers.bytes.keys() <= self.open.keys()


TestGateMachine = GateMachine.TestCase
TestGateMachine.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


SCHEMA = json.loads(
    (pathlib.Path(__file__).parent.parent / "deploy" / "config.schema.json").read_text(encoding="utf-8")
)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("by_address", -1),
        ("by_address", 1.5),
        ("reserve", "3"),
        ("address_a_second", -1),
        ("ladder", 1),
        ("known", "10.0.0.0/8"),
        ("known", [""]),
        ("ipv4_prefix", 0),
        ("ipv6_prefix", 129),
        ("remembered", 1),
        ("shared", [{"network": "10.0.0.0/8"}]),
        ("shared", [{"network": "10.0.0.0/8", "clients": 0}]),
        ("sockets", 3),
    ],
)
def test_a_bad_field_of_admission_is_named(field: str, value: object) -> None:
    record = {**platform(), "admission": {field: value}}
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(record, SCHEMA)
    with pytest.raises(config.ConfigError, match=rf"^admission\.{field}"):
        config.read(record)


def test_the_schema_names_what_the_reader_of_admission_knows() -> None:
    fields = {item.name: item.default for item in dataclasses.fields(Limits) if item.name != "connections"}
    named = SCHEMA["properties"]["admission"]["properties"]
    assert set(named) == set(fields)
    for field, entry in named.items():
        if "default" in entry:
            assert entry["default"] == fields[field]
    read = config.read(
        {
            **platform(),
            "admission": {
                "by_address": 3,
                "known": ["10.0.0.0/8", "2001:db8::1"],
                "reserve": 4,
                "shared": [{"network": "192.0.2.0/24", "clients": 50}],
            },
        }
    ).admission
    assert (read.by_address, read.reserve, read.connections) == (3, 4, 32)
    assert [str(network) for network in read.known] == ["10.0.0.0/8", "2001:db8::1/128"]
    with pytest.raises(config.ConfigError, match=r"^admission\.reserve: leaves nothing of 32"):
        config.read({**platform(), "admission": {"reserve": 32}})


def test_a_process_with_fewer_descriptors_than_configured_uses_those(monkeypatch: pytest.MonkeyPatch) -> None:
    read = config.read({**platform(), "limits": {"sockets": 1024}, "admission": {"reserve": 100}})
    monkeypatch.setattr("resource.getrlimit", lambda which: (128, 4096))
    used = agent.within_the_process(read)
    assert (used.sockets, used.admission.connections, used.admission.reserve) == (128, 64, 63)
    monkeypatch.setattr("resource.getrlimit", lambda which: (1024, 4096))
    assert agent.within_the_process(read) is read


def test_dials_are_counted_until_they_are_lost_and_end_where_no_descriptor_is_left() -> None:
    world = play(
        """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
    """,
        platform(),
    )
    open_now = world.agent.gate.descriptors.open
    assert (open_now[Owner.BUS], open_now[Owner.SERVERS], open_now[Owner.CLIENTS]) == (1, 2, 1)
    for line in ("close s0 dead", "close bus dead", "wait 50"):
        world.step(line)
    assert (open_now[Owner.BUS], open_now[Owner.SERVERS], open_now[Owner.CLIENTS]) == (0, 1, 1)
    world.agent.gate.descriptors.limit = 0  # as with EMFILE: every dial fails, and is tried again
    for line in ("close s0 alive", "close bus alive", "wait 3000"):
        world.step(line)
    refused = world.agent.gate.descriptors.refused
    assert refused[Owner.BUS] > 3 and refused[Owner.SERVERS] > 3
    world.agent.gate.descriptors.limit = 64
    for line in ("wait 600", "expect c1 nothing", "send s1 STARTED a", "expect c1 STARTED a"):
        world.step(line)
    assert (open_now[Owner.BUS], open_now[Owner.SERVERS]) == (1, 2)


def test_limits_change_live_and_a_lowered_one_sheds_nothing_that_was_taken() -> None:
    """Four clients of one address, one of them with a set-up open; then only two connections are allowed."""
    world = play(
        """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
    """,
        platform(),
    )
    idle = [world.reactor.factory.buildProtocol(None) for _ in range(3)]
    for protocol in idle:
        wire = Wire(world, protocol)
        wire.other = Wire(world, ClosedEnd())
        protocol.makeConnection(wire)
    world.wait(GRACE_MS + 1.0)
    world.reload('admission={"by_address": 1}')
    assert world.agent.gate.limits.by_address == 1 and len(world.agent.gate.seats) == 4
    assert world.reactor.factory.buildProtocol(None) is None
    gate = world.agent.gate
    gate.reload(dataclasses.replace(gate.limits, connections=1), world.clock.now())
    world.agent._sweep()
    world.settle()
    assert [seat.busy for seat in gate.seats.values()] == [1]
    assert gate.given_up == {Reason.LOWERED: 3}
    for line in ("send s0 STARTED a", "expect c1 STARTED a"):
        world.step(line)


def fill(gate: Gate, address: str, count: int, now: float, said: bool) -> list[Seat]:
    seats = []
    for _ in range(count):
        verdict = gate.arrive(address, now)
        assert verdict.seat is not None
        seats.append(verdict.seat)
        if said:
            gate.identified(verdict.seat)
    return seats


def test_a_connection_whose_first_line_is_on_its_way_does_not_make_room_for_a_flood() -> None:
    gate = Gate(dataclasses.replace(BASE, connections=12))
    fill(gate, "10.0.0.1", 11, 1000.0, said=True)
    usual = gate.arrive("10.0.1.1", 1001.0).seat
    assert usual is not None
    for number in range(20):
        verdict = gate.arrive("10.0.0.1", 1002.0 + number)
        assert verdict.seat is not None and usual not in verdict.shed
        gate.identified(verdict.seat)
    late = gate.arrive("10.0.0.1", 1002.0 + GRACE_MS)
    assert late.shed == (usual,)  # past its grace it is the first to go


def test_strangers_leave_the_reserve_alone_and_known_clients_get_in_throughout() -> None:
    gate = Gate(dataclasses.replace(BASE, connections=12, reserve=4))
    for seat in fill(gate, "10.0.0.1", 8, 0.0, said=True):
        gate.took(seat)
    assert gate.arrive("10.0.1.1", 1.0).reason is Reason.RESERVE
    known = fill(gate, "10.9.0.1", 4, 2.0, said=True)
    for seat in known:
        gate.took(seat)
    assert gate.arrive("10.9.0.2", 3.0).reason is Reason.FULL
    gate.done(known[0])
    assert gate.arrive("10.9.0.2", 4.0).shed == (known[0],)


@pytest.mark.parametrize(
    ("limits", "address", "reason"),
    [
        ({"by_address": 3}, "10.0.0.{0}", None),
        ({"by_address": 3}, "10.0.0.1", Reason.ADDRESS),
        ({"by_prefix": 3}, "10.0.0.{0}", Reason.PREFIX),
        ({"by_prefix": 3}, "10.0.{0}.1", None),
        ({"by_prefix": 3}, "2001:db8::{0}", Reason.PREFIX),
        ({"by_prefix": 3}, "::ffff:10.0.0.{0}", Reason.PREFIX),
        ({"unidentified": 3}, "10.0.{0}.1", Reason.UNIDENTIFIED),
        ({"address_a_second": 3.0}, "10.0.0.1", Reason.RATE_ADDRESS),
        ({"address_a_second": 3.0}, "10.0.0.{0}", None),
        ({"prefix_a_second": 3.0}, "10.0.0.{0}", Reason.RATE_PREFIX),
        ({"by_prefix": 3, "prefix_a_second": 3.0}, "10.9.0.{0}", None),
        ({"by_address": 3, "shared": (Shared(ipaddress.ip_network("10.0.0.0/30"), 2),)}, "10.0.0.1", None),
    ],
)
def test_caps_and_rates_count_for_strangers_by_address_and_prefix(
    limits: dict[str, Any], address: str, reason: Reason | None
) -> None:
    gate = Gate(dataclasses.replace(BASE, **limits))
    verdicts = [gate.arrive(address.format(number + 1), 1000.0 + number) for number in range(4)]
    assert [verdict.reason for verdict in verdicts] == [None, None, None, reason]


def test_an_offender_is_turned_away_for_a_growing_bounded_time_and_a_known_client_never() -> None:
    gate = Gate(dataclasses.replace(BASE, back_off_ms=100.0, back_off_most_ms=1000.0))
    waits = [gate.offends("10.0.0.1", 0.0) for _ in range(6)]
    assert waits == [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0]
    assert gate.arrive("10.0.0.1", 999.0).reason is Reason.OFFENDER
    assert gate.arrive("10.0.0.1", 1000.0).reason is None
    assert gate.offends("10.0.0.1", 5000.0) == 100.0  # it had behaved for long enough
    assert gate.offends("10.9.0.1", 0.0) == 0.0


def test_memory_is_bounded_whatever_comes() -> None:
    gate = Gate(
        dataclasses.replace(
            BASE, by_address=2, address_a_second=5.0, prefix_a_second=50.0, back_off_ms=10.0, remembered=64
        )
    )
    for number in range(20_000):
        address = f"10.{number % 7}.{number // 256 % 256}.{number % 256}"
        verdict = gate.arrive(address, number * 0.5)
        gate.offends(address, number * 0.5)
        if verdict.seat is not None and number % 3 == 0:
            gate.earns(verdict.seat, number * 0.5)
    sizes = [
        len(table)
        for table in (
            gate.address_rates,
            gate.prefix_rates,
            gate.offenders,
            gate.earned,
            gate.by_address,
            gate.by_prefix,
            gate.seats,
            gate._of,
        )
    ]
    assert max(sizes) <= 64


@pytest.mark.parametrize("step", [Step.PRESSED, Step.SCARCE, Step.EXHAUSTED])
def test_the_ladder_never_moves_within_its_hysteresis(step: Step) -> None:
    ladder = Ladder()
    ladder.load(MARKS[step])
    assert ladder.step is step
    for number in range(100):
        ladder.load(MARKS[step] - (GAP - 0.001 if number % 2 else 0.0))
    assert ladder.moves == 1 and ladder.step is step
    ladder.load(MARKS[step] - GAP - 0.001)
    assert ladder.step < step
    ladder.load(0.0)
    assert ladder.step is Step.OPEN


def test_each_step_refuses_more_and_known_clients_last() -> None:
    limits = dataclasses.replace(BASE, connections=100, ladder=True)
    gate = Gate(limits, Descriptors(120, 20))
    for seat in fill(gate, "10.0.0.1", 89, 0.0, said=True):
        gate.took(seat)
    steps = [gate.ladder.step]
    assert gate.arrive("10.0.0.2", 0.0).reason is None
    steps.append(gate.ladder.step)
    assert gate.arrive("10.0.0.2", 0.0).reason is Reason.LADDER
    for seat in fill(gate, "10.9.0.1", 8, 0.0, said=True):
        gate.took(seat)
    earner = next(iter(gate.seats.values()))
    gate.earns(earner, 0.0)
    assert [*steps, gate.ladder.step] == [Step.PRESSED, Step.SCARCE, Step.EXHAUSTED]
    assert gate.arrive(earner.address, 0.0).reason is Reason.LADDER  # earned trust does not reach so far
    assert gate.arrive("10.9.0.1", 0.0).reason is None


def test_descriptors_are_kept_for_servers_and_the_bus() -> None:
    ledger = Descriptors(10, 4)
    for _ in range(6):
        assert ledger.room(Owner.CLIENTS)
        ledger.take(Owner.CLIENTS)
    assert not ledger.room(Owner.CLIENTS) and ledger.room(Owner.SERVERS)
    ledger.take(Owner.SERVERS, 4)
    assert not ledger.room(Owner.SERVERS) and ledger.share() == 1.0
    with pytest.raises(ValueError, match="bus: 1 given back of 0"):
        ledger.give(Owner.BUS)


def test_what_others_hold_beyond_what_is_kept_is_taken_from_clients() -> None:
    ledger = Descriptors(10, 2)
    ledger.take(Owner.SERVERS, 5)
    ledger.take(Owner.CLIENTS, 4)
    assert ledger.room(Owner.CLIENTS)
    ledger.take(Owner.CLIENTS)
    assert not ledger.room(Owner.CLIENTS)


def test_clients_leave_what_the_bus_and_the_servers_are_due() -> None:
    """Servers that hold more than is kept, a bus that is away, and clients that take all they get."""
    ledger = Descriptors(40, 4)
    ledger.due[Owner.BUS], ledger.due[Owner.SERVERS] = 2, 8
    ledger.take(Owner.SERVERS, 6)
    while ledger.room(Owner.CLIENTS):
        ledger.take(Owner.CLIENTS)
    assert ledger.open[Owner.CLIENTS] == 30  # 40 less 8 for servers and 2 for the bus
    while ledger.room(Owner.SERVERS):
        ledger.take(Owner.SERVERS)
    assert ledger.open[Owner.SERVERS] == 8 and ledger.room(Owner.BUS)
    ledger.take(Owner.BUS, 2)
    assert not ledger.room(Owner.BUS) and ledger.total() == 40
    many = Descriptors(40, 4)
    many.due[Owner.BUS], many.due[Owner.SERVERS] = 2, 400
    while many.room(Owner.CLIENTS):
        many.take(Owner.CLIENTS)
    assert many.open[Owner.CLIENTS] == 20  # what is only due to servers takes half at most


def test_idle_clients_fill_the_table_while_the_bus_is_away_and_it_and_servers_are_dialled() -> None:
    world = play(
        """
        send c1 START a class=race left=8000 extras=dest:0
        expect s0 START a
        send s0 STARTED a blob=x
        close bus dead
        close s1 dead
    """,
        platform(),
    )
    agent, factory = world.agent, world.reactor.factory
    ledger = agent.gate.descriptors
    for _ in range(2 * agent.config.sockets):
        wire = Wire(world, factory.buildProtocol(None))
        wire.other = Wire(world, ClosedEnd())
        wire.protocol.makeConnection(wire)
        wire.deliver(Message("ECHO", "b".zfill(16), rc=0).encode())
    # As where others hold more than was foreseen: nothing is left, and no dial goes out.
    ledger.take(Owner.OWN, ledger.limit - ledger.total())
    clients = ledger.open[Owner.CLIENTS]
    for line in ("close bus alive", "close s1 alive", "wait 2200"):
        world.step(line)
    assert ledger.open[Owner.BUS] == 1 and ledger.open[Owner.SERVERS] == 2
    assert 0 < clients - ledger.open[Owner.CLIENTS] <= 4 and ledger.total() <= ledger.limit
    for line in ("send c1 FINISH a rc=16", "expect c1 STARTED a", "expect s0 FINISH a rc=16"):
        world.step(line)  # who has a call open or owed stays


def test_tables_forget_the_least_lately_heard_of_and_refill() -> None:
    buckets = Buckets(2.0, 2.0, 3)
    assert [buckets.take("a", 0.0) for _ in range(3)] == [True, True, False]
    assert buckets.take("a", 500.0) and not buckets.take("a", 500.0)
    for name in "bcd":
        buckets.take(name, 500.0)
    assert len(buckets) == 3 and buckets.take("a", 500.0)  # forgotten, it begins anew
    earned = Earned(1000.0, 2)
    earned.earn("a", 0.0)
    assert earned.has("a", 1000.0) and not earned.has("a", 1001.0) and not earned.has("b", 0.0)
    offenders = Offenders(10.0, 100.0, 2)
    for name in "abc":
        offenders.offend(name, 0.0)
    assert len(offenders) == 2 and not offenders.turned_away("a", 1.0)
    buffers = Buffers(100, 10)
    assert not buffers.set(1, 11) and buffers.share() == 0.11 and buffers.set(1, 0) and not buffers.bytes
    assert prefix_of("fe80::1%eth0", 24, 64) == "fe80::/64" and prefix_of("a name", 24, 64) == "a name"
    assert FAIR > 0
