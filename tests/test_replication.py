"""Replication: reconciliation over small copies; owner, holders and successor in all orders of events and
over long random runs; planted faults. The tests drive the real classes.
"""

from __future__ import annotations

import itertools
import pickle
import random
from collections import deque
from collections.abc import Callable, Iterator, Mapping

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostport.replication import holder, reconciliation, stream
from frostport.replication.epochs import Epochs
from frostport.replication.holder import Holder
from frostport.replication.messages import (
    Append,
    Batch,
    Command,
    Message,
    Own,
    RangePart,
    Remainder,
    Succeed,
    TakeoverDone,
)
from frostport.replication.reconciliation import (
    DigestTable,
    LastWrite,
    effective_value,
    join_versions,
    merge_copies,
    resolve_copy,
)
from frostport.replication.settings import Settings
from frostport.replication.stream import Phase, Stream
from frostport.replication.successor import Takeover
from frostport.state import merge, records
from frostport.state.records import Open, Over, Standing
from tests.exploring import explored

# Reconciliation


def preferred_value(key: str, one: bytes, other: bytes) -> bytes:
    """The preference function of the state, as the agent passes it."""
    return records.encode(merge.preferred(records.decode(key, one)[2], records.decode(key, other)[2]))


CALL = "call/1"
OPEN = records.encode(Open("h0", 1.0, 0.0, 1, "race", "-", "c", -1))
STANDING = records.encode(Standing("h0", 2.0, "race", "-", "c", -1, 7, True, b"a table"))
OVER = records.encode(Over("stands", "h0", 3.0, 0.0, "c", -1, -1, 0.0, b"a table"))
FAILED = records.encode(Over("failed", "h1", 4.0, 0.0, "c", -1, -1, 0.0, b""))
VALUES: tuple[bytes | None, ...] = (OPEN, STANDING, OVER, FAILED, None)
SMALL_VERSIONS: list[dict[int, LastWrite]] = [{}] + [
    {epoch: (number, frozenset({value})) for epoch, number, value in chosen}
    for chosen in (
        [(1, 1, OPEN)],
        [(1, 2, STANDING)],
        [(1, 2, OVER)],
        [(1, 3, None)],
        [(2, 1, FAILED)],
        [(2, 1, None)],
        [(1, 2, STANDING), (2, 1, OVER)],
        [(1, 1, OPEN), (2, 2, STANDING)],
    )
]


def test_the_rule_is_a_join_over_all_pairs_and_triples_of_small_copies() -> None:
    for one in SMALL_VERSIONS:
        assert join_versions(one, one) == one
    for one, other in itertools.product(SMALL_VERSIONS, SMALL_VERSIONS):
        assert join_versions(one, other) == join_versions(other, one)
        assert join_versions(join_versions(one, other), other) == join_versions(one, other)
    for one, other, third in itertools.product(SMALL_VERSIONS, SMALL_VERSIONS, SMALL_VERSIONS):
        assert join_versions(join_versions(one, other), third) == join_versions(
            one, join_versions(other, third)
        )


versions = st.dictionaries(
    st.integers(1, 3),
    st.tuples(st.integers(1, 4), st.frozensets(st.sampled_from(VALUES), min_size=1, max_size=2)),
    max_size=3,
)
complete_copies = st.dictionaries(st.sampled_from(["call/1", "call/2", "owed/1"]), versions, max_size=3)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(complete_copies, complete_copies, complete_copies)
def test_the_rule_is_a_join_over_drawn_copies(
    one: dict[str, dict[int, LastWrite]],
    other: dict[str, dict[int, LastWrite]],
    third: dict[str, dict[int, LastWrite]],
) -> None:
    assert merge_copies(one, one) == one
    assert merge_copies(one, other) == merge_copies(other, one)
    assert merge_copies(merge_copies(one, other), third) == merge_copies(one, merge_copies(other, third))


def test_effective_values_follow_the_table_of_the_rule() -> None:
    def value_of(*entries: tuple[int, int, bytes | None]) -> bytes | None:
        found: Mapping[int, LastWrite] = {}
        for epoch, number, value in entries:
            found = join_versions(found, {epoch: (number, frozenset({value}))})
        return effective_value(CALL, found, preferred_value)

    assert value_of((1, 1, OPEN), (1, 2, STANDING)) == STANDING  # the longer prefix of one epoch
    assert value_of((1, 3, None), (1, 2, OVER)) is None
    assert value_of((1, 2, STANDING), (2, 1, OVER)) == value_of((1, 2, OVER), (2, 1, STANDING)) == OVER
    assert value_of((1, 2, OVER), (2, 1, FAILED)) == OVER  # a final answer is never replaced
    assert value_of((1, 2, FAILED), (2, 1, OVER)) == OVER  # the earlier of the two
    assert value_of((1, 2, STANDING), (2, 1, None)) is None  # deleted in the later epoch
    assert value_of((1, 4, None), (2, 1, STANDING)) == STANDING
    copy = {CALL: {1: (2, frozenset({STANDING, OVER}))}, "call/2": {1: (1, frozenset({OPEN}))}}
    found, conflicts = resolve_copy(copy, preferred_value)
    assert found == {"call/2": OPEN}
    assert (
        len(conflicts) == 1
        and "call/1" in conflicts[0]
        and "2 different values under number 2 of epoch 1" in conflicts[0]
    )


def test_digests_tell_which_ranges_differ_whatever_the_order_of_writes() -> None:
    rng = random.Random(1)
    one = DigestTable()
    other = DigestTable()
    entries = [(f"call/{number}", bytes([number % 251])) for number in range(500)]
    for key, value in entries:
        one.put(key, 1, value)
    for key, value in rng.sample(entries, len(entries)):
        other.put(key, 9, b"before")
        other.put(key, 10, value)
    assert one.root() == other.root() and one.differing_ranges(other.leaf_bytes()) == []
    other.put("call/77", 11, None)
    assert one.differing_ranges(other.leaf_bytes()) == [reconciliation.range_of("call/77")]
    assert len(one.differing_ranges(b"short")) == reconciliation.RANGE_COUNT


# Epochs


any_command = st.one_of(
    st.builds(Own, st.sampled_from(["a", "b"]), st.integers(1, 3), st.integers(0, 12)),
    st.builds(
        Succeed,
        st.sampled_from(["a", "b"]),
        st.integers(1, 12),
        st.sampled_from(["a", "b", "c"]),
        st.integers(1, 3),
    ),
    st.builds(
        TakeoverDone, st.sampled_from(["a", "b"]), st.integers(1, 12), st.sampled_from(["a", "b", "c"])
    ),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(any_command, max_size=30))
def test_an_epoch_has_one_owner_and_one_successor_and_is_kept_until_taken_over(
    commands: list[Command],
) -> None:
    epochs = Epochs()
    owners = dict[int, tuple[str, int]]()
    lost = set[tuple[str, int]]()
    for index, command in enumerate(commands, start=1):
        before = {key: (stream.successor, stream.ended) for key, stream in epochs.streams.items()}
        epochs.apply(index, command)
        for (owner, epoch), stream_ in epochs.streams.items():
            assert owners.setdefault(epoch, (owner, stream_.incarnation)) == (owner, stream_.incarnation)
            successor_before, ended_before = before.get((owner, epoch), ("", False))
            assert not ended_before or stream_.ended  # an ended epoch stays ended
            if successor_before and stream_.successor != successor_before:
                assert isinstance(command, Succeed)
        for key in before.keys() - epochs.streams.keys():  # R3
            assert (isinstance(command, TakeoverDone) and before[key][0] == command.successor) or (
                isinstance(command, Own) and command.continued_epoch == key[1] and not before[key][1]
            )
            lost.add(key)
        assert not lost & epochs.streams.keys()
        assert all(epochs.current_epochs[owner] >= epoch for owner, epoch in epochs.streams)  # R2
        other = Epochs()
        other.restore(epochs.save())
        assert other.save() == epochs.save()


# Owner, two holders, successor

BATCHES: tuple[Batch, ...] = (
    (("call/1", OPEN),),
    (("call/1", STANDING), ("call/2", OPEN)),
    (("call/1", OVER), ("owed/1", b"x")),
    (("owed/1", None), ("call/2", STANDING)),
    (("call/1", None),),
)
NAMES = ("b", "c")


class HolderHost:
    """A holder and its disk."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.disk = dict[str, bytes]()
        self.holder = Holder({})
        self.epoch_ended = False  # it has applied the successor's command
        self.up = True

    def start(self) -> None:
        self.holder = Holder(self.disk)
        if self.epoch_ended:
            self.holder.end_epoch("a", 1)


class World:
    """Agent `a` owns the stream, `b` and `c` hold it. Each step is one event, followed by a check of the
    invariants."""

    def __init__(self, required_acks: int) -> None:
        self.settings = Settings(
            copies=2,
            required_acks=required_acks,
            window_batches=2,
            retained_batches=3,
            part_bytes=10,
            parts_per_second=1e6,
        )
        self.now = 0.0
        self.owner: Stream | None = Stream("a", 1, self.settings, [])
        self.hosts = {name: HolderHost(name) for name in NAMES}
        self.wires: dict[tuple[str, str], list[Message]] = {}
        self.written = 0
        self.effects = 0  # batches whose effects have left the owner
        self.lease = True  # the owner has recently received a message from the agreed log's leader
        self.cut = False  # the owner is partitioned from the log, or its process is stopped
        self.successor = ""
        self.takeover: Takeover | None = None
        self.taken_over: dict[str, bytes] | None = None
        self.lost = 0  # number of disks lost
        self.faults = 3
        out: stream.Out = []
        self.owner.set_holders(NAMES, 0.0, out)
        self.post("a", out)

    def post(self, sender: str, out: list[tuple[str, Message]]) -> None:
        for to, message in out:
            self.wires.setdefault((sender, to), []).append(message)

    def state(self, count: int) -> dict[str, bytes]:
        """The records after the first `count` batches."""
        found: dict[str, bytes] = {}
        for batch in BATCHES[:count]:
            for key, value in batch:
                if value is None:
                    found.pop(key, None)
                else:
                    found[key] = value
        return found

    def events(self) -> Iterator[tuple[str, str, str]]:
        if self.owner is not None:
            if self.written < len(BATCHES):
                yield "write", "", ""
            yield "tick", "", ""
            yield "owner dies", "", ""
            if self.lease and not self.cut and self.faults:
                yield "owner cut", "", ""
            elif self.cut and self.lease:
                yield "lease runs out", "", ""
            elif self.cut:
                yield "owner back", "", ""
        for (sender, to), wire in self.wires.items():
            if wire:
                yield "deliver", sender, to
                if self.faults:
                    yield "lose", sender, to
                    yield "double", sender, to
                    if len(wire) > 1:
                        yield "swap", sender, to
        for name, host in self.hosts.items():
            if self.faults and host.up:
                yield "restart", name, ""
                yield "restart empty", name, ""
            if not self.lease or self.owner is None:
                if not self.successor and host.holder.copies:
                    yield "succeed", name, ""
                elif self.successor and not host.epoch_ended:
                    yield "learn", name, ""
        if self.takeover is not None and self.taken_over is None:
            yield "gather", "", ""

    def step(self, what: str, first: str, second: str) -> None:
        out: stream.Out = []
        match what:
            case "write" if self.owner is not None:
                self.written += 1
                self.owner.write(BATCHES[self.written - 1], self.now, out)
                self.post("a", out)
            case "tick" if self.owner is not None:
                self.now += 1000.0
                self.owner.tick(self.now, out)
                self.post("a", out)
            case "owner dies":
                self.owner = None
            case "owner cut":
                self.cut = True
                self.faults -= 1
            case "lease runs out":
                self.lease = False
            case "owner back" if self.owner is not None:
                self.cut = False
                if self.successor:
                    self.owner.ended = True  # it learns that its epoch has ended
                else:
                    self.lease = True
            case "deliver":
                self.deliver(first, second, self.wires[first, second].pop(0))
            case "lose":
                self.faults -= 1
                self.wires[first, second].pop(0)
            case "double":
                self.faults -= 1
                self.wires[first, second].insert(0, self.wires[first, second][0])
            case "swap":
                self.faults -= 1
                wire = self.wires[first, second]
                wire[0], wire[1] = wire[1], wire[0]
            case "restart" | "restart empty":
                self.faults -= 1
                if what == "restart empty":
                    self.hosts[first].disk.clear()
                    self.lost += 1
                    if first == self.successor and self.taken_over is None:
                        self.successor = ""  # another holder becomes the successor
                        self.takeover = None
                self.hosts[first].start()
                if first == self.successor and self.taken_over is None:
                    self.succeed(first)
            case "succeed":
                self.successor = first
                self.learn(first)
                self.succeed(first)
            case "learn":
                self.learn(first)
            case "gather":
                self.gather()
        self.check()

    def learn(self, name: str) -> None:
        self.hosts[name].epoch_ended = True
        self.hosts[name].holder.end_epoch("a", 1)

    def succeed(self, name: str) -> None:
        copy = self.hosts[name].holder.copies.get(("a", 1))
        others = [each for each in NAMES if each != name]
        self.takeover = None if copy is None else Takeover(copy, others, 0.0)
        if self.takeover is not None:
            self.post(name, list(self.takeover.requests(self.now)))

    def gather(self) -> None:
        assert self.takeover is not None
        self.takeover.asked_at_ms = -1e9
        self.post(self.successor, list(self.takeover.requests(self.now)))
        if self.takeover.ready(NAMES, 0.0):
            self.taken_over = self.takeover.records()

    def deliver(self, sender: str, to: str, message: Message) -> None:
        out: stream.Out = []
        if to == "a":
            if self.owner is not None and not self.cut:
                self.owner.handle(sender, message, self.now, out)
                self.post("a", out)
            return
        if isinstance(message, Remainder):
            if self.takeover is not None and to == self.successor:
                self.takeover.receive(sender, message)
            return
        host = self.hosts[to]
        done = host.holder.handle(sender, message)
        for key, value in done.writes:
            if value is None:
                host.disk.pop(key, None)
            else:
                host.disk[key] = value
        self.post(to, done.messages)

    def check(self) -> None:
        if self.owner is not None and self.lease and not self.owner.ended:
            confirmed = self.owner.confirmed()
            assert confirmed <= self.written
            if confirmed > self.effects:
                assert self.taken_over is None, "an effect left the owner after the takeover"
                self.effects = confirmed
        for host in self.hosts.values():
            copy = host.holder.copies.get(("a", 1))
            if copy is not None and copy.verified:
                entries = {key: value for key, (_, value) in copy.table.entries.items()}
                assert entries == self.state(copy.batch_number), (
                    f"{host.name} does not have the state after batch {copy.batch_number}"
                )
                assert Holder(host.disk).copies["a", 1].table.root() == copy.table.root(), (
                    "differs from its disk"
                )
        if self.taken_over is not None and self.lost < max(1, self.settings.required_acks):
            known = [self.state(count) for count in range(self.effects, self.written + 1)]
            assert self.taken_over in known, f"lost: {self.taken_over} after {self.effects} of {self.written}"

    def key(self) -> bytes:
        """Identifies a state, without the times."""
        owner = (
            None
            if self.owner is None
            else (
                self.owner.batch_number,
                self.owner.ended,
                [
                    (name, each.phase, each.acked, each.sent, list(each.pending_ranges), each.pending_entries)
                    for name, each in self.owner.holders.items()
                ],
            )
        )
        return pickle.dumps(
            (
                owner,
                [
                    (
                        host.disk,
                        host.epoch_ended,
                        host.holder.copies.get(("a", 1))
                        and (
                            (copy := host.holder.copies["a", 1]).batch_number,
                            copy.verified,
                            copy.digests_received,
                            sorted(copy.missing_ranges),
                            sorted(copy.next_part.items()),
                        ),
                    )
                    for host in self.hosts.values()
                ],
                self.wires,
                self.effects,
                self.lease,
                self.cut,
                self.successor,
                self.taken_over,
                self.lost,
                self.faults,
            )
        )


def world_with_verified_holders(required_acks: int) -> World:
    """Both holders are verified."""
    world = World(required_acks)
    settle(world)
    assert world.owner is not None
    assert all(each.phase is Phase.VERIFIED for each in world.owner.holders.values())
    return world


def world_with_batches_in_flight(required_acks: int) -> World:
    """Three batches are on their way to verified holders."""
    world = world_with_verified_holders(required_acks)
    for _ in range(3):
        world.step("write", "", "")
    return world


def settle(world: World) -> None:
    """Delivers all messages until the holders are verified and have acknowledged everything."""
    for _ in range(3000):
        wire = next((pair for pair, messages in world.wires.items() if messages), None)
        if wire is None:
            if (
                world.owner is None
                or world.owner.ended
                or all(
                    each.phase is Phase.VERIFIED and each.acked == world.owner.batch_number
                    for each in world.owner.holders.values()
                )
            ):
                return
            world.step("tick", "", "")
        else:
            world.step("deliver", *wire)
    raise AssertionError("the holders never catch up")


BEGINNINGS: dict[str, Callable[[int], World]] = {
    "empty": World,
    "begun": world_with_verified_holders,
    "written": world_with_batches_in_flight,
}


@pytest.mark.parametrize("required_acks", [1, 2])
@pytest.mark.parametrize("name", BEGINNINGS)
def test_every_order_of_owner_holders_and_successor(name: str, required_acks: int) -> None:
    assert explored(BEGINNINGS[name](required_acks), 6, 2_000) > 1_000


def random_run(seed: int, steps: int = 150) -> None:
    """A random run; at its end, either the owner's holders are verified or a successor has taken over."""
    rng = random.Random(seed)
    world = World(rng.choice((1, 2)))
    weights = {"deliver": 6.0, "write": 1.0, "owner dies": 0.02, "owner cut": 0.1, "tick": 0.5, "learn": 2.0}
    for _ in range(steps):
        world.faults = 2
        events = list(world.events())
        if not events:
            break
        world.step(*rng.choices(events, [weights.get(what, 0.5) for what, _, _ in events])[0])
    world.faults = 0
    for _ in range(400):
        events = [event for event in world.events() if event[0] not in ("owner dies", "owner cut", "write")]
        if not events or world.taken_over is not None:
            break
        world.step(*events[0] if rng.random() < 0.3 else rng.choice(events))
    if world.owner is not None and not world.successor and not world.cut:
        settle(world)
    elif world.successor and world.takeover is not None:
        assert world.taken_over is not None, "the takeover never ends"


@pytest.mark.parametrize("seed", range(40))
def test_long_random_runs_lose_nothing_confirmed(seed: int) -> None:
    random_run(seed)


def takeover_while_catching_up() -> None:
    """`b` has lost its disk and is catching up when the owner dies. `c` has all records, `b` is the
    successor."""
    for required_acks in (1, 2):
        for after in range(12):
            world = world_with_batches_in_flight(required_acks)
            settle(world)
            world.step("restart empty", "b", "")
            world.lost = 0  # nothing may be lost: another holder has a verified copy
            world.step("write", "", "")
            for _ in range(after):
                wire = next((pair for pair, messages in world.wires.items() if messages), None)
                if wire is None:
                    world.step("tick", "", "")
                else:
                    world.step("deliver", *wire)
            if ("a", 1) not in world.hosts["b"].holder.copies:
                continue
            while world.wires["a", "c"]:
                world.step("deliver", "a", "c")
            take_over_by_b(world)


def takeover_while_behind() -> None:
    """`b` has received only some batches, `c` all five; the last ones contain deletions."""
    for required_acks, received in itertools.product((1, 2), range(6)):
        world = world_with_verified_holders(required_acks)
        for _ in BATCHES:
            world.step("write", "", "")
            for _ in range(10):
                if world.wires["a", "c"]:
                    world.step("deliver", "a", "c")
                if world.wires["c", "a"]:
                    world.step("deliver", "c", "a")
            while world.wires["a", "b"]:
                if world.hosts["b"].holder.copies["a", 1].batch_number < received:
                    world.step("deliver", "a", "b")
                    world.step("deliver", "b", "a")
                else:
                    world.wires["a", "b"].clear()
        take_over_by_b(world)


def take_over_by_b(world: World) -> None:
    """The owner dies and `b` takes over."""
    world.step("owner dies", "", "")
    world.step("succeed", "b", "")
    world.step("gather", "", "")
    world.step("learn", "c", "")
    for _ in range(100):
        if world.taken_over is not None:
            break
        wire = next((pair for pair, messages in world.wires.items() if messages and "a" not in pair), None)
        world.step(*(("deliver", *wire) if wire else ("gather", "", "")))
    assert world.taken_over is not None


def test_a_successor_that_is_behind_or_catching_up_gets_the_rest_from_another() -> None:
    takeover_while_catching_up()
    takeover_while_behind()


# Catching up with each message lost and each byte flipped

PAIR_SETTINGS = Settings(copies=1, part_bytes=60, parts_per_second=1e6, retained_batches=50)
INITIAL_RECORDS = [(f"call/{number}", bytes([65 + number]) * 20) for number in range(12)]


def catch_up(
    deliver_as: Callable[[int, Message], Message | None], alone: bool = False, max_steps: int = 400
) -> tuple[Stream, Holder, int]:
    """Runs an owner and one holder until the holder is verified. `deliver_as` gets each message to the holder
    with its number and returns what arrives. None: it is lost, and unless `alone`, also all other messages
    in flight."""
    owner = Stream("a", 7, PAIR_SETTINGS, INITIAL_RECORDS)
    host = Holder({})
    now = 0.0
    out: stream.Out = []
    owner.set_holders(["b"], now, out)
    wire = deque(message for _, message in out)
    count = 0
    for _ in range(max_steps):
        if count in (4, 9):
            out = []
            owner.write((("call/3", b"new"), (f"call/{20 + count}", b"later"), ("call/5", None)), now, out)
            wire.extend(message for _, message in out)
        if not wire:
            if owner.holders["b"].phase is Phase.VERIFIED and owner.confirmed() == owner.batch_number:
                return owner, host, count
            now += 1100.0
            out = []
            owner.tick(now, out)
            wire.extend(message for _, message in out)
            continue
        delivered = deliver_as(count, wire.popleft())
        count += 1
        if delivered is None:
            if not alone:
                wire.clear()
            continue
        out = []
        for _, answer in host.handle("a", delivered).messages:
            owner.handle("b", answer, now, out)
        wire.extend(message for _, message in out)
    raise AssertionError("the holder is never verified")


def assert_verified(owner: Stream, host: Holder) -> None:
    copy = host.copies["a", 7]
    assert copy.verified and copy.table.root() == owner.table.root()
    assert {key: value for key, (_, value) in copy.table.entries.items()} == {
        key: value for key, (_, value) in owner.table.entries.items()
    }


def test_a_catch_up_interrupted_at_any_message_completes_without_resending_ranges() -> None:
    owner, host, count = catch_up(lambda number, message: message)
    assert_verified(owner, host)
    assert count > 12
    for cut in range(count):
        for alone in (False, True):
            assert_verified(
                *catch_up(
                    lambda number, message: None if number == cut else message,  # noqa: B023
                    alone,
                )[:2]
            )
    ranges = list[int]()

    def count_ranges(number: int, message: Message) -> Message | None:
        if isinstance(message, RangePart) and message.last:
            ranges.append(message.range_number)
        return None if number == 8 else message

    assert_verified(*catch_up(count_ranges)[:2])
    assert max(ranges.count(each) for each in ranges) <= 2  # received ranges are not sent again


def test_a_byte_flipped_in_transit_never_verifies_a_wrong_copy() -> None:
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(Message)
    _, _, count = catch_up(lambda number, message: message)
    flipped = 0
    for at in range(count):
        positions = itertools.count()
        for position in positions:
            size = 0

            def deliver_as(number: int, message: Message) -> Message | None:
                nonlocal size, flipped
                if number != at:  # noqa: B023
                    return message
                data = bytearray(encoder.encode(message))
                size = len(data)
                where = position * (1 if size < 400 else 97) % size  # noqa: B023
                data[where] ^= 0x11
                flipped += 1
                try:
                    return decoder.decode(bytes(data))
                except (msgspec.MsgspecError, UnicodeDecodeError):
                    return None  # the link would close the connection

            assert_verified(*catch_up(deliver_as)[:2])
            if (position + 1) * (1 if size < 400 else 97) >= size:
                break
    assert flipped > 500


# Planted faults: the tests above must detect each


def verified_unchecked(self: Holder, copy: holder.StreamCopy, message: object, out: holder.Output) -> None:
    copy.verified = True  # without verification
    self._save_progress(copy, out)
    self._ack(copy, out)


def deletions_not_sent(self: holder.StreamCopy, number: int) -> list[tuple[str, int, bytes | None]]:
    return [(name, at, value) for name, (at, value) in self.table.entries.items() if at > number]


def own_copy_alone(self: Takeover, up: object, now_ms: float) -> bool:
    return True


def gap_ignored(self: Holder, copy: holder.StreamCopy, message: Append, out: holder.Output) -> None:
    for number, batch in enumerate(message.batches, start=message.first):
        for name, value in batch:
            self._put_record(copy, name, number, value, out)
        copy.batch_number = max(copy.batch_number, number)
    self._save_progress(copy, out)
    self._ack(copy, out)


def not_stored(
    self: Holder, copy: holder.StreamCopy, name: str, number: int, value: bytes | None, out: holder.Output
) -> None:
    copy.table.put(name, number, value)


PLANTED: dict[str, tuple[type, str, object]] = {
    "a copy counted as verified without verification": (Holder, "_verify", verified_unchecked),
    "deletions not sent to a successor": (holder.StreamCopy, "written_after", deletions_not_sent),
    "only the successor's own copy is used": (Takeover, "ready", own_copy_alone),
    "a gap in the batches ignored": (Holder, "_apply_batches", gap_ignored),
    "records confirmed but not stored": (Holder, "_put_record", not_stored),
}


@pytest.mark.parametrize("name", PLANTED)
def test_planted_faults_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, fault = PLANTED[name]
    monkeypatch.setattr(owner, method, fault)

    def caught() -> bool:
        try:
            takeover_while_catching_up()
            takeover_while_behind()
            for seed in range(60):
                random_run(seed)
        except AssertionError:
            return True
        return False

    assert caught()
