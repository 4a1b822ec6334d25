"""Admission control: the gate's invariants under random event sequences, its limits and its accounting."""

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
from frostport.admission.addresses import Offenders, TokenBuckets, TrustedAddresses, prefix_of
from frostport.admission.gate import FAIR_SHARE, IDENTIFICATION_GRACE_MS, Admission, Gate, Reason, Verdict
from frostport.admission.ladder import HYSTERESIS, THRESHOLDS, Ladder, Step
from frostport.admission.resources import Buffers, Descriptors, Owner
from frostport.admission.settings import Limits, Shared
from frostport.net.jsonl import Message
from tests.scenario import ClosedEnd, Wire, platform, play

KNOWN = ipaddress.ip_network("10.9.0.0/16")
BASE = Limits(connections=12, known=(KNOWN,))
ADDRESSES = ["10.0.0.1", "10.0.0.2", "10.0.1.1", "10.9.0.1", "10.9.0.2", "2001:db8::1", "2001:db8::2"]


class GateMachine(RuleBasedStateMachine):
    """Random events of several connections; a plain model of the open ones checks each verdict."""

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
        self.open: dict[int, Admission] = {}
        self.busy: Counter[int] = Counter()
        self.identified: set[int] = set()

    def check_evicted(self, admissions: tuple[Admission, ...] | list[Admission]) -> None:
        for admission in admissions:
            assert self.open.pop(admission.number, None) is admission, "evicted twice, or never admitted"
            assert not self.busy[admission.number], "evicted with an open set-up or an unconfirmed release"

    @rule(address=st.sampled_from(ADDRESSES))
    def arrive(self, address: str) -> None:
        known = self.gate.is_known(address, self.now)
        before = dict(self.open)
        verdict: Verdict = self.gate.admit(address, self.now)
        self.check_evicted(verdict.shed)
        assert (verdict.admission is None) == (verdict.reason is not None)
        if verdict.admission is None:
            assert not verdict.shed, "connections evicted although the new one is refused"
            if known and verdict.reason is Reason.FULL:
                assert all(self.busy[number] for number in before), (
                    "known client refused although a connection was evictable"
                )
            return
        self.open[verdict.admission.number] = verdict.admission
        if not known and verdict.shed:
            assert not any(admission.known for admission in verdict.shed) or not self.limits.reserve

    @precondition(lambda self: self.open)
    @rule(data=st.data(), team=st.sampled_from(["", "a", "b"]))
    def sends_line(self, data: Any, team: str) -> None:
        admission = self.open[data.draw(st.sampled_from(sorted(self.open)))]
        reason = self.gate.mark_identified(admission, team)
        self.identified.add(admission.number)
        if reason is not None:
            self.close(admission)

    def close(self, admission: Admission) -> None:
        self.gate.remove(admission)
        self.gate.remove(admission)  # idempotent
        self.open.pop(admission.number, None)

    @precondition(lambda self: self.open)
    @rule(
        data=st.data(),
        operation=st.sampled_from(["begin_use", "end_use", "trust", "remove", "set_buffered"]),
        count=st.integers(0, 400),
    )
    def event(self, data: Any, operation: str, count: int) -> None:
        admission = self.open[data.draw(st.sampled_from(sorted(self.open)))]
        match operation:
            case "begin_use":
                self.busy[admission.number] += 1
                self.gate.begin_use(admission)
            case "end_use" if self.busy[admission.number]:
                self.busy[admission.number] -= 1
                self.gate.end_use(admission)
            case "trust":
                self.gate.trust(admission, self.now)
            case "remove":
                self.close(admission)
            case "set_buffered":
                assert self.gate.set_buffered(admission, count) == (count <= 300)
                self.check_shed_largest()

    def check_shed_largest(self) -> None:
        """Over the limit of all bytes, those that hold most are closed, and no more than are needed."""
        held = dict(self.gate.buffers.by_number)
        shed = self.gate.shed_largest()
        total = sum(held.values())
        for admission in shed:
            assert total > self.limits.buffered_bytes, "closed although the limit is kept"
            assert held[admission.number] == max(held.values()), "closed before one that holds more"
            total -= held.pop(admission.number)
            del self.open[admission.number]
        assert total == self.gate.buffers.total <= self.limits.buffered_bytes

    @rule(address=st.sampled_from(ADDRESSES))
    def offends(self, address: str) -> None:
        known = self.gate.is_known(address, self.now)
        wait = self.gate.penalize(address, self.now)
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
        assert self.gate.admissions == before, "reload closed a connection"

    @rule()
    def surplus(self) -> None:
        over = len(self.open) - self.limits.connections
        shed = self.gate.shed_surplus(self.now)
        self.check_evicted(shed)
        if over <= 0 and not self.limits.ladder:
            assert not shed

    @invariant()
    def tables_match_the_open_connections(self) -> None:
        if not hasattr(self, "gate"):
            return
        gate = self.gate
        limits = self.limits
        assert gate.admissions == self.open
        assert gate.descriptors.open[Owner.CLIENTS] == len(self.open)
        assert gate.by_address == Counter(admission.address for admission in self.open.values())
        assert gate.by_prefix == Counter(admission.prefix for admission in self.open.values())
        assert gate.by_team == Counter(admission.team for admission in self.open.values() if admission.team)
        assert gate.unidentified == sum(not admission.identified for admission in self.open.values())
        assert gate.unknown == sum(not admission.known for admission in self.open.values())
        assert all(count <= limits.by_team for count in gate.by_team.values())
        evictable = {number for number in self.open if not self.busy[number]}
        assert set(gate._silent) | set(gate._idle) == evictable
        assert {
            number for same_address in gate._evictable_by_address.values() for number in same_address
        } == evictable
        assert gate._highest_count == max(
            (len(same_address) for same_address in gate._evictable_by_address.values()), default=0
        )
        for table in (gate.address_rates, gate.prefix_rates, gate.offenders, gate.trusted):
            assert len(table) <= limits.remembered
        assert gate.buffers.total == sum(gate.buffers.by_number.values())
        assert gate.buffers.by_number.keys() <= self.open.keys()


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


@pytest.mark.parametrize("value", [0, -1, "192", True])
def test_a_bad_memory_limit_is_named(value: object) -> None:
    record = {**platform(), "limits": {"memory_mb": value}}
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(record, SCHEMA)
    with pytest.raises(config.ConfigError, match=r"^limits\.memory_mb"):
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
    with pytest.raises(
        config.ConfigError,
        match=r"^admission\.reserve: 32 connections reserved for known clients leave none of 32",
    ):
        config.read({**platform(), "admission": {"reserve": 32}})


def test_a_process_with_fewer_descriptors_than_configured_uses_those(monkeypatch: pytest.MonkeyPatch) -> None:
    read = config.read({**platform(), "limits": {"sockets": 1024}, "admission": {"reserve": 100}})
    monkeypatch.setattr("resource.getrlimit", lambda which: (128, 4096))
    used = agent.limit_to_process(read)
    assert (used.sockets, used.admission.connections, used.admission.reserve) == (128, 64, 63)
    monkeypatch.setattr("resource.getrlimit", lambda which: (1024, 4096))
    assert agent.limit_to_process(read) is read


def test_outgoing_connections_are_counted_until_lost_and_fail_without_a_free_descriptor() -> None:
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
    world.agent.gate.descriptors.limit = 0  # as with EMFILE: every dial fails and is retried
    for line in ("close s0 alive", "close bus alive", "wait 3000"):
        world.step(line)
    refused = world.agent.gate.descriptors.refused
    assert refused[Owner.BUS] > 3 and refused[Owner.SERVERS] > 3
    world.agent.gate.descriptors.limit = 64
    for line in ("wait 600", "expect c1 nothing", "send s1 STARTED a", "expect c1 STARTED a"):
        world.step(line)
    assert (open_now[Owner.BUS], open_now[Owner.SERVERS]) == (1, 2)


def test_limits_change_at_runtime_and_a_lowered_one_sheds_no_connection_in_use() -> None:
    """Four clients of one address, one of them with a set-up open; then only one connection is allowed."""
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
    world.wait(IDENTIFICATION_GRACE_MS + 1.0)
    world.reload('admission={"by_address": 1}')
    assert world.agent.gate.limits.by_address == 1 and len(world.agent.gate.admissions) == 4
    assert world.reactor.factory.buildProtocol(None) is None
    gate = world.agent.gate
    gate.reload(dataclasses.replace(gate.limits, connections=1), world.clock.now())
    world.agent._shed_surplus()
    world.settle()
    assert [admission.use_count for admission in gate.admissions.values()] == [1]
    assert gate.evicted == {Reason.LOWERED: 3}
    for line in ("send s0 STARTED a", "expect c1 STARTED a"):
        world.step(line)


def fill(gate: Gate, address: str, count: int, now: float, identified: bool) -> list[Admission]:
    admissions = []
    for _ in range(count):
        verdict = gate.admit(address, now)
        assert verdict.admission is not None
        admissions.append(verdict.admission)
        if identified:
            gate.mark_identified(verdict.admission)
    return admissions


def test_a_connection_within_its_grace_period_is_not_evicted_by_a_flood() -> None:
    gate = Gate(dataclasses.replace(BASE, connections=12))
    fill(gate, "10.0.0.1", 11, 1000.0, identified=True)
    newcomer = gate.admit("10.0.1.1", 1001.0).admission
    assert newcomer is not None
    for number in range(20):
        verdict = gate.admit("10.0.0.1", 1002.0 + number)
        assert verdict.admission is not None and newcomer not in verdict.shed
        gate.mark_identified(verdict.admission)
    late = gate.admit("10.0.0.1", 1002.0 + IDENTIFICATION_GRACE_MS)
    assert late.shed == (newcomer,)  # past the grace period it is evicted first


def test_unknown_clients_never_use_the_reserve_and_known_clients_are_admitted() -> None:
    gate = Gate(dataclasses.replace(BASE, connections=12, reserve=4))
    for admission in fill(gate, "10.0.0.1", 8, 0.0, identified=True):
        gate.begin_use(admission)
    assert gate.admit("10.0.1.1", 1.0).reason is Reason.RESERVE
    known = fill(gate, "10.9.0.1", 4, 2.0, identified=True)
    for admission in known:
        gate.begin_use(admission)
    assert gate.admit("10.9.0.2", 3.0).reason is Reason.FULL
    gate.end_use(known[0])
    assert gate.admit("10.9.0.2", 4.0).shed == (known[0],)


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
def test_limits_and_rates_apply_to_unknown_clients_by_address_and_prefix(
    limits: dict[str, Any], address: str, reason: Reason | None
) -> None:
    gate = Gate(dataclasses.replace(BASE, **limits))
    verdicts = [gate.admit(address.format(number + 1), 1000.0 + number) for number in range(4)]
    assert [verdict.reason for verdict in verdicts] == [None, None, None, reason]


def test_an_offender_is_refused_for_a_growing_bounded_time_and_a_known_client_never() -> None:
    gate = Gate(dataclasses.replace(BASE, back_off_ms=100.0, back_off_most_ms=1000.0))
    waits = [gate.penalize("10.0.0.1", 0.0) for _ in range(6)]
    assert waits == [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0]
    assert gate.admit("10.0.0.1", 999.0).reason is Reason.OFFENDER
    assert gate.admit("10.0.0.1", 1000.0).reason is None
    assert gate.penalize("10.0.0.1", 5000.0) == 100.0  # the offences before are forgotten
    assert gate.penalize("10.9.0.1", 0.0) == 0.0


def test_memory_is_bounded_under_ever_new_addresses() -> None:
    gate = Gate(
        dataclasses.replace(
            BASE, by_address=2, address_a_second=5.0, prefix_a_second=50.0, back_off_ms=10.0, remembered=64
        )
    )
    for number in range(20_000):
        address = f"10.{number % 7}.{number // 256 % 256}.{number % 256}"
        verdict = gate.admit(address, number * 0.5)
        gate.penalize(address, number * 0.5)
        if verdict.admission is not None and number % 3 == 0:
            gate.trust(verdict.admission, number * 0.5)
    sizes = [
        len(table)
        for table in (
            gate.address_rates,
            gate.prefix_rates,
            gate.offenders,
            gate.trusted,
            gate.by_address,
            gate.by_prefix,
            gate.admissions,
            gate._evictable_by_address,
        )
    ]
    assert max(sizes) <= 64


@pytest.mark.parametrize("step", [Step.PRESSED, Step.SCARCE, Step.EXHAUSTED])
def test_the_ladder_keeps_its_step_within_the_hysteresis(step: Step) -> None:
    ladder = Ladder()
    ladder.update(THRESHOLDS[step])
    assert ladder.step is step
    for number in range(100):
        ladder.update(THRESHOLDS[step] - (HYSTERESIS - 0.001 if number % 2 else 0.0))
    assert ladder.transitions == 1 and ladder.step is step
    ladder.update(THRESHOLDS[step] - HYSTERESIS - 0.001)
    assert ladder.step < step
    ladder.update(0.0)
    assert ladder.step is Step.OPEN


def test_each_step_refuses_more_and_known_clients_last() -> None:
    limits = dataclasses.replace(BASE, connections=100, ladder=True)
    gate = Gate(limits, Descriptors(120, 20))
    for admission in fill(gate, "10.0.0.1", 89, 0.0, identified=True):
        gate.begin_use(admission)
    steps = [gate.ladder.step]
    assert gate.admit("10.0.0.2", 0.0).reason is None
    steps.append(gate.ladder.step)
    assert gate.admit("10.0.0.2", 0.0).reason is Reason.LADDER
    for admission in fill(gate, "10.9.0.1", 8, 0.0, identified=True):
        gate.begin_use(admission)
    trusted = next(iter(gate.admissions.values()))
    gate.trust(trusted, 0.0)
    assert [*steps, gate.ladder.step] == [Step.PRESSED, Step.SCARCE, Step.EXHAUSTED]
    assert gate.admit(trusted.address, 0.0).reason is Reason.LADDER  # known by its calls alone
    assert gate.admit("10.9.0.1", 0.0).reason is None


def test_descriptors_are_reserved_for_servers_and_the_bus() -> None:
    descriptors = Descriptors(10, 4)
    for _ in range(6):
        assert descriptors.available(Owner.CLIENTS)
        descriptors.acquire(Owner.CLIENTS)
    assert not descriptors.available(Owner.CLIENTS) and descriptors.available(Owner.SERVERS)
    descriptors.acquire(Owner.SERVERS, 4)
    assert not descriptors.available(Owner.SERVERS) and descriptors.utilization() == 1.0
    with pytest.raises(ValueError, match="bus: 1 descriptors released, 0 open"):
        descriptors.release(Owner.BUS)


def test_descriptors_of_others_beyond_the_reserve_lower_the_limit_of_clients() -> None:
    descriptors = Descriptors(10, 2)
    descriptors.acquire(Owner.SERVERS, 5)
    descriptors.acquire(Owner.CLIENTS, 4)
    assert descriptors.available(Owner.CLIENTS)
    descriptors.acquire(Owner.CLIENTS)
    assert not descriptors.available(Owner.CLIENTS)


def test_clients_leave_what_is_guaranteed_to_the_bus_and_the_servers() -> None:
    """Servers with more than the reserve, a disconnected bus, and clients that use all they may."""
    descriptors = Descriptors(40, 4)
    descriptors.guaranteed[Owner.BUS] = 2
    descriptors.guaranteed[Owner.SERVERS] = 8
    descriptors.acquire(Owner.SERVERS, 6)
    while descriptors.available(Owner.CLIENTS):
        descriptors.acquire(Owner.CLIENTS)
    assert descriptors.open[Owner.CLIENTS] == 30  # 40 less 8 for servers and 2 for the bus
    while descriptors.available(Owner.SERVERS):
        descriptors.acquire(Owner.SERVERS)
    assert descriptors.open[Owner.SERVERS] == 8 and descriptors.available(Owner.BUS)
    descriptors.acquire(Owner.BUS, 2)
    assert not descriptors.available(Owner.BUS) and descriptors.total() == 40
    guaranteed_more = Descriptors(40, 4)
    guaranteed_more.guaranteed[Owner.BUS] = 2
    guaranteed_more.guaranteed[Owner.SERVERS] = 400
    while guaranteed_more.available(Owner.CLIENTS):
        guaranteed_more.acquire(Owner.CLIENTS)
    assert guaranteed_more.open[Owner.CLIENTS] == 20  # what servers have not opened withholds at most half


def test_idle_clients_are_evicted_for_the_descriptors_to_reconnect_the_bus_and_servers() -> None:
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
    agent = world.agent
    factory = world.reactor.factory
    descriptors = agent.gate.descriptors
    for _ in range(2 * agent.config.sockets):
        wire = Wire(world, factory.buildProtocol(None))
        wire.other = Wire(world, ClosedEnd())
        wire.protocol.makeConnection(wire)
        wire.deliver(Message("ECHO", "b".zfill(16), rc=0).encode())
    # As if others had more open than guaranteed: no descriptor is left to dial with.
    descriptors.acquire(Owner.OWN, descriptors.limit - descriptors.total())
    clients = descriptors.open[Owner.CLIENTS]
    for line in ("close bus alive", "close s1 alive", "wait 2200"):
        world.step(line)
    assert descriptors.open[Owner.BUS] == 1 and descriptors.open[Owner.SERVERS] == 2
    assert 0 < clients - descriptors.open[Owner.CLIENTS] <= 4 and descriptors.total() <= descriptors.limit
    for line in ("send c1 FINISH a rc=16", "expect c1 STARTED a", "expect s0 FINISH a rc=16"):
        world.step(line)  # a connection with a call in progress is not evicted


def test_tables_evict_the_least_recently_updated_entry() -> None:
    buckets = TokenBuckets(2.0, 2.0, 3)
    assert [buckets.take("a", 0.0) for _ in range(3)] == [True, True, False]
    assert buckets.take("a", 500.0) and not buckets.take("a", 500.0)
    for name in "bcd":
        buckets.take(name, 500.0)
    assert len(buckets) == 3 and buckets.take("a", 500.0)  # evicted, it starts with a full bucket
    trusted = TrustedAddresses(1000.0, 2)
    trusted.add("a", 0.0)
    assert trusted.has("a", 1000.0) and not trusted.has("a", 1001.0) and not trusted.has("b", 0.0)
    offenders = Offenders(10.0, 100.0, 2)
    for name in "abc":
        offenders.record(name, 0.0)
    assert len(offenders) == 2 and not offenders.is_refused("a", 1.0)
    buffers = Buffers(100, 10)
    assert (
        not buffers.set(1, 11)
        and buffers.utilization() == 0.11
        and buffers.set(1, 0)
        and not buffers.by_number
    )
    assert prefix_of("fe80::1%eth0", 24, 64) == "fe80::/64" and prefix_of("a name", 24, 64) == "a name"
    assert FAIR_SHARE > 0
