"""Replication: the rule for copies that differ, proved over small copies; owner, holders and successor in
every order and over long lives; planted faults. The objects are those that serve."""

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

from frostport.replication import copies, holder, stream
from frostport.replication.copies import Seen, Table, holds, joined, merged, resolved
from frostport.replication.epochs import Epochs
from frostport.replication.holder import Holder
from frostport.replication.messages import Append, Batch, Done, Message, Own, Piece, Rest, Succeed, Word
from frostport.replication.settings import Settings
from frostport.replication.stream import Phase, Stream
from frostport.replication.successor import Gathering
from frostport.state import merge, records
from frostport.state.records import Open, Over, Standing
from tests.exploring import explored

# The rule


def better(key: str, one: bytes, other: bytes) -> bytes:
    """The state's own rule, as the agent hands it over."""
    return records.encode(merge.preferred(records.decode(key, one)[2], records.decode(key, other)[2]))


CALL = "call/1"
OPEN = records.encode(Open("h0", 1.0, 0.0, 1, "race", "-", "c", -1))
STANDING = records.encode(Standing("h0", 2.0, "race", "-", "c", -1, 7, True, b"a table"))
OVER = records.encode(Over("stands", "h0", 3.0, 0.0, "c", -1, -1, 0.0, b"a table"))
FAILED = records.encode(Over("failed", "h1", 4.0, 0.0, "c", -1, -1, 0.0, b""))
VALUES: tuple[bytes | None, ...] = (OPEN, STANDING, OVER, FAILED, None)
SMALL: list[dict[int, Seen]] = [{}] + [
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
    for one in SMALL:
        assert joined(one, one) == one
    for one, other in itertools.product(SMALL, SMALL):
        assert joined(one, other) == joined(other, one)
        assert joined(joined(one, other), other) == joined(one, other)
    for one, other, third in itertools.product(SMALL, SMALL, SMALL):
        assert joined(joined(one, other), third) == joined(one, joined(other, third))


versions = st.dictionaries(
    st.integers(1, 3),
    st.tuples(st.integers(1, 4), st.frozensets(st.sampled_from(VALUES), min_size=1, max_size=2)),
    max_size=3,
)
whole = st.dictionaries(st.sampled_from(["call/1", "call/2", "owed/1"]), versions, max_size=3)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(whole, whole, whole)
def test_the_rule_is_a_join_over_drawn_copies(
    one: dict[str, dict[int, Seen]], other: dict[str, dict[int, Seen]], third: dict[str, dict[int, Seen]]
) -> None:
    assert merged(one, one) == one
    assert merged(one, other) == merged(other, one)
    assert merged(merged(one, other), third) == merged(one, merged(other, third))


def test_what_holds_is_the_table_of_the_rule() -> None:
    def one(*told: tuple[int, int, bytes | None]) -> bytes | None:
        found: Mapping[int, Seen] = {}
        for epoch, number, value in told:
            found = joined(found, {epoch: (number, frozenset({value}))})
        return holds(CALL, found, better)

    assert one((1, 1, OPEN), (1, 2, STANDING)) == STANDING  # the longer prefix of one epoch
    assert one((1, 3, None), (1, 2, OVER)) is None
    assert one((1, 2, STANDING), (2, 1, OVER)) == one((1, 2, OVER), (2, 1, STANDING)) == OVER
    assert one((1, 2, OVER), (2, 1, FAILED)) == OVER  # a final answer given is never replaced
    assert one((1, 2, FAILED), (2, 1, OVER)) == OVER  # the earlier of two
    assert one((1, 2, STANDING), (2, 1, None)) is None  # the later epoch has forgotten it
    assert one((1, 4, None), (2, 1, STANDING)) == STANDING
    copy = {CALL: {1: (2, frozenset({STANDING, OVER}))}, "call/2": {1: (1, frozenset({OPEN}))}}
    found, aside = resolved(copy, better)
    assert found == {"call/2": OPEN}
    assert len(aside) == 1 and "call/1" in aside[0] and "2 values of epoch 1, number 2" in aside[0]


def test_digests_tell_which_ranges_differ_whatever_the_order_of_writes() -> None:
    chance, one, other = random.Random(1), Table(), Table()
    told = [(f"call/{number}", bytes([number % 251])) for number in range(500)]
    for key, value in told:
        one.put(key, 1, value)
    for key, value in chance.sample(told, len(told)):
        other.put(key, 9, b"before")
        other.put(key, 10, value)
    assert one.root() == other.root() and one.differing(other.leaf_bytes()) == []
    other.put("call/77", 11, None)
    assert one.differing(other.leaf_bytes()) == [copies.range_of("call/77")]
    assert len(one.differing(b"short")) == copies.RANGES


# Epochs


words = st.one_of(
    st.builds(Own, st.sampled_from(["a", "b"]), st.integers(1, 3), st.integers(0, 12)),
    st.builds(
        Succeed,
        st.sampled_from(["a", "b"]),
        st.integers(1, 12),
        st.sampled_from(["a", "b", "c"]),
        st.integers(1, 3),
    ),
    st.builds(Done, st.sampled_from(["a", "b"]), st.integers(1, 12), st.sampled_from(["a", "b", "c"])),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(words, max_size=30))
def test_an_epoch_has_one_owner_and_one_successor_and_is_kept_until_taken_over(said: list[Word]) -> None:
    epochs, owners, lost = Epochs(), dict[int, tuple[str, int]](), set[tuple[str, int]]()
    for index, word in enumerate(said, start=1):
        before = {key: (stream.by, stream.over) for key, stream in epochs.streams.items()}
        epochs.apply(index, word)
        for (owner, epoch), stream_ in epochs.streams.items():
            assert owners.setdefault(epoch, (owner, stream_.life)) == (owner, stream_.life)
            by, over = before.get((owner, epoch), ("", False))
            assert not over or stream_.over  # what is over stays so
            if by and stream_.by != by:
                assert isinstance(word, Succeed)
        for key in before.keys() - epochs.streams.keys():  # R3
            assert (isinstance(word, Done) and before[key][0] == word.by) or (
                isinstance(word, Own) and word.continues == key[1] and not before[key][1]
            )
            lost.add(key)
        assert not lost & epochs.streams.keys()
        assert all(epochs.current[owner] >= epoch for owner, epoch in epochs.streams)  # R2
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


class Place:
    """A holder and its disk."""

    def __init__(self, name: str) -> None:
        self.name, self.disk = name, dict[str, bytes]()
        self.holder = Holder({})
        self.fenced = False  # it has applied the successor's word
        self.up = True

    def start(self) -> None:
        self.holder = Holder(self.disk)
        if self.fenced:
            self.holder.ended("a", 1)


class World:
    """`a` owns, `b` and `c` hold; each step is one event, and is checked. `acks` of the two must confirm."""

    def __init__(self, acks: int) -> None:
        self.settings = Settings(
            copies=2, acks=acks, window=2, tail_batches=3, piece_bytes=10, pieces_a_second=1e6
        )
        self.now = 0.0
        self.owner: Stream | None = Stream("a", 1, self.settings, [])
        self.places = {name: Place(name) for name in NAMES}
        self.wires: dict[tuple[str, str], list[Message]] = {}
        self.written = 0
        self.effects = 0  # batches whose effects have left
        self.lease = True  # the owner has heard the log's leader of late
        self.cut = False  # the owner is cut off from the log, or stands still
        self.by = ""
        self.gathering: Gathering | None = None
        self.taken: dict[str, bytes] | None = None
        self.lost = 0  # disks
        self.faults = 3
        out: stream.Out = []
        self.owner.follow(NAMES, 0.0, out)
        self.post("a", out)

    def post(self, sender: str, out: list[tuple[str, Message]]) -> None:
        for to, message in out:
            self.wires.setdefault((sender, to), []).append(message)

    def state(self, count: int) -> dict[str, bytes]:
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
        for name, place in self.places.items():
            if self.faults and place.up:
                yield "restart", name, ""
                yield "restart empty", name, ""
            if not self.lease or self.owner is None:
                if not self.by and place.holder.copies:
                    yield "succeed", name, ""
                elif self.by and not place.fenced:
                    yield "learn", name, ""
        if self.gathering is not None and self.taken is None:
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
                self.cut, self.faults = True, self.faults - 1
            case "lease runs out":
                self.lease = False
            case "owner back" if self.owner is not None:
                self.cut = False
                if self.by:
                    self.owner.over = True  # it hears that its epoch is
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
                    self.places[first].disk.clear()
                    self.lost += 1
                    if first == self.by and self.taken is None:
                        self.by, self.gathering = "", None  # another will be the successor
                self.places[first].start()
                if first == self.by and self.taken is None:
                    self.succeed(first)
            case "succeed":
                self.by = first
                self.learn(first)
                self.succeed(first)
            case "learn":
                self.learn(first)
            case "gather":
                self.gather()
        self.check()

    def learn(self, name: str) -> None:
        self.places[name].fenced = True
        self.places[name].holder.ended("a", 1)

    def succeed(self, name: str) -> None:
        copy = self.places[name].holder.copies.get(("a", 1))
        others = [each for each in NAMES if each != name]
        self.gathering = None if copy is None else Gathering(copy, others, 0.0)
        if self.gathering is not None:
            self.post(name, list(self.gathering.asks(self.now)))

    def gather(self) -> None:
        assert self.gathering is not None
        self.gathering.asked_at = -1e9
        self.post(self.by, list(self.gathering.asks(self.now)))
        if self.gathering.ready(NAMES, 0.0):
            self.taken = self.gathering.records()

    def deliver(self, sender: str, to: str, message: Message) -> None:
        out: stream.Out = []
        if to == "a":
            if self.owner is not None and not self.cut:
                self.owner.heard(sender, message, self.now, out)
                self.post("a", out)
            return
        if isinstance(message, Rest):
            if self.gathering is not None and to == self.by:
                self.gathering.heard(sender, message)
            return
        place = self.places[to]
        done = place.holder.handle(sender, message)
        for key, value in done.keep:
            if value is None:
                place.disk.pop(key, None)
            else:
                place.disk[key] = value
        self.post(to, done.send)

    def check(self) -> None:
        if self.owner is not None and self.lease and not self.owner.over:
            settled = self.owner.settled()
            assert settled <= self.written
            if settled > self.effects:
                assert self.taken is None, "effects of an epoch that another has taken over"
                self.effects = settled
        for place in self.places.values():
            copy = place.holder.copies.get(("a", 1))
            if copy is not None and copy.whole:
                told = {key: value for key, (_, value) in copy.table.entries.items()}
                assert told == self.state(copy.at), f"{place.name} is no prefix: {copy.at}"
                assert Holder(place.disk).copies["a", 1].table.root() == copy.table.root(), "not what it kept"
        if self.taken is not None and self.lost < max(1, self.settings.acks):
            known = [self.state(count) for count in range(self.effects, self.written + 1)]
            assert self.taken in known, f"lost: {self.taken} after {self.effects} of {self.written}"

    def key(self) -> bytes:
        """What tells states apart, but for the times."""
        owner = (
            None
            if self.owner is None
            else (
                self.owner.number,
                self.owner.over,
                [
                    (name, each.phase, each.acked, each.sent, list(each.ranges), each.part)
                    for name, each in self.owner.holders.items()
                ],
            )
        )
        return pickle.dumps(
            (
                owner,
                [
                    (
                        place.disk,
                        place.fenced,
                        place.holder.copies.get(("a", 1))
                        and (
                            (copy := place.holder.copies["a", 1]).at,
                            copy.whole,
                            copy.begun,
                            sorted(copy.wanted),
                            sorted(copy.next_part.items()),
                        ),
                    )
                    for place in self.places.values()
                ],
                self.wires,
                self.effects,
                self.lease,
                self.cut,
                self.by,
                self.taken,
                self.lost,
                self.faults,
            )
        )


def begun(acks: int) -> World:
    """Both holders are whole."""
    world = World(acks)
    settle(world)
    assert world.owner is not None
    assert all(each.phase is Phase.WHOLE for each in world.owner.holders.values())
    return world


def written(acks: int) -> World:
    """Three batches are on their way to holders that are whole."""
    world = begun(acks)
    for _ in range(3):
        world.step("write", "", "")
    return world


def settle(world: World) -> None:
    for _ in range(3000):
        wire = next((pair for pair, messages in world.wires.items() if messages), None)
        if wire is None:
            if (
                world.owner is None
                or world.owner.over
                or all(
                    each.phase is Phase.WHOLE and each.acked == world.owner.number
                    for each in world.owner.holders.values()
                )
            ):
                return
            world.step("tick", "", "")
        else:
            world.step("deliver", *wire)
    raise AssertionError("never settles")


BEGINNINGS: dict[str, Callable[[int], World]] = {"empty": World, "begun": begun, "written": written}


@pytest.mark.parametrize("acks", [1, 2])
@pytest.mark.parametrize("name", BEGINNINGS)
def test_every_order_of_owner_holders_and_successor(name: str, acks: int) -> None:
    assert explored(BEGINNINGS[name](acks), 6, 2_000) > 1_000


def lived(seed: int, steps: int = 150) -> None:
    """A life drawn from a seed; at its end either the owner's holders are whole, or its successor has it."""
    chance = random.Random(seed)
    world = World(chance.choice((1, 2)))
    weights = {"deliver": 6.0, "write": 1.0, "owner dies": 0.02, "owner cut": 0.1, "tick": 0.5, "learn": 2.0}
    for _ in range(steps):
        world.faults = 2
        events = list(world.events())
        if not events:
            break
        world.step(*chance.choices(events, [weights.get(what, 0.5) for what, _, _ in events])[0])
    world.faults = 0
    for _ in range(400):
        events = [event for event in world.events() if event[0] not in ("owner dies", "owner cut", "write")]
        if not events or world.taken is not None:
            break
        world.step(*events[0] if chance.random() < 0.3 else chance.choice(events))
    if world.owner is not None and not world.by and not world.cut:
        settle(world)
    elif world.by and world.gathering is not None:
        assert world.taken is not None, "the takeover never ends"


@pytest.mark.parametrize("seed", range(40))
def test_long_lives_lose_nothing_that_was_confirmed(seed: int) -> None:
    lived(seed)


def taken_by_one_that_is_caught_up() -> None:
    """`b` has lost its disk and is being caught up when the owner dies; `c` has all, `b` is the successor."""
    for acks in (1, 2):
        for after in range(12):
            world = written(acks)
            settle(world)
            world.step("restart empty", "b", "")
            world.lost = 0  # its own loss is no excuse: another has a whole copy
            world.step("write", "", "")
            for _ in range(after):
                wire = next((pair for pair, messages in world.wires.items() if messages), None)
                if wire is None:
                    world.step("tick", "", "")
                else:
                    world.step("deliver", *wire)
            if ("a", 1) not in world.places["b"].holder.copies:
                continue
            while world.wires["a", "c"]:
                world.step("deliver", "a", "c")
            taken_by_b(world)


def taken_by_one_that_is_behind() -> None:
    """`b` has heard of so many batches only, `c` of all five; among the last are deletions."""
    for acks, heard in itertools.product((1, 2), range(6)):
        world = begun(acks)
        for _ in BATCHES:
            world.step("write", "", "")
            for _ in range(10):
                if world.wires["a", "c"]:
                    world.step("deliver", "a", "c")
                if world.wires["c", "a"]:
                    world.step("deliver", "c", "a")
            while world.wires["a", "b"]:
                if world.places["b"].holder.copies["a", 1].at < heard:
                    world.step("deliver", "a", "b")
                    world.step("deliver", "b", "a")
                else:
                    world.wires["a", "b"].clear()
        taken_by_b(world)


def taken_by_b(world: World) -> None:
    world.step("owner dies", "", "")
    world.step("succeed", "b", "")
    world.step("gather", "", "")
    world.step("learn", "c", "")
    for _ in range(100):
        if world.taken is not None:
            break
        wire = next((pair for pair, messages in world.wires.items() if messages and "a" not in pair), None)
        world.step(*(("deliver", *wire) if wire else ("gather", "", "")))
    assert world.taken is not None


def test_a_successor_that_is_behind_or_being_caught_up_has_it_from_another() -> None:
    taken_by_one_that_is_caught_up()
    taken_by_one_that_is_behind()


# Catching up, cut at every message and with every byte flipped

PAIR = Settings(copies=1, piece_bytes=60, pieces_a_second=1e6, tail_batches=50)
HELD = [(f"call/{number}", bytes([65 + number]) * 20) for number in range(12)]


def caught_up(
    spoil: Callable[[int, Message], Message | None], alone: bool = False, most: int = 400
) -> tuple[Stream, Holder, int]:
    """An owner and one holder until it is whole; `spoil` sees each message to the holder, by its number: what
    it makes of it arrives. None: it is lost, and unless `alone` all that is under way with it."""
    owner, place, now = Stream("a", 7, PAIR, HELD), Holder({}), 0.0
    out: stream.Out = []
    owner.follow(["b"], now, out)
    wire, count = deque(message for _, message in out), 0
    for _ in range(most):
        if count in (4, 9):
            out = []
            owner.write((("call/3", b"new"), (f"call/{20 + count}", b"later"), ("call/5", None)), now, out)
            wire.extend(message for _, message in out)
        if not wire:
            if owner.holders["b"].phase is Phase.WHOLE and owner.settled() == owner.number:
                return owner, place, count
            now += 1100.0
            out = []
            owner.tick(now, out)
            wire.extend(message for _, message in out)
            continue
        told, count = spoil(count, wire.popleft()), count + 1
        if told is None:
            if not alone:
                wire.clear()
            continue
        out = []
        for _, answer in place.handle("a", told).send:
            owner.heard("b", answer, now, out)
        wire.extend(message for _, message in out)
    raise AssertionError("never whole")


def verified(owner: Stream, place: Holder) -> None:
    copy = place.copies["a", 7]
    assert copy.whole and copy.table.root() == owner.table.root()
    assert {key: value for key, (_, value) in copy.table.entries.items()} == {
        key: value for key, (_, value) in owner.table.entries.items()
    }


def test_a_catch_up_that_is_cut_at_any_message_ends_whole_and_sends_no_range_twice_for_it() -> None:
    owner, place, count = caught_up(lambda number, message: message)
    verified(owner, place)
    assert count > 12
    for cut in range(count):
        for alone in (False, True):
            verified(
                *caught_up(
                    lambda number, message: None if number == cut else message,  # noqa: B023
                    alone,
                )[:2]
            )
    ranges = list[int]()

    def watched(number: int, message: Message) -> Message | None:
        if isinstance(message, Piece) and message.last:
            ranges.append(message.range)
        return None if number == 8 else message

    verified(*caught_up(watched)[:2])
    assert max(ranges.count(each) for each in ranges) <= 2  # those that had come are not sent again


def test_a_byte_that_is_flipped_on_the_way_is_never_taken_for_whole() -> None:
    encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)
    _, _, count = caught_up(lambda number, message: message)
    flipped = 0
    for at in range(count):
        places = itertools.count()
        for place in places:
            size = 0

            def spoil(number: int, message: Message) -> Message | None:
                nonlocal size, flipped
                if number != at:  # noqa: B023
                    return message
                data = bytearray(encoder.encode(message))
                size = len(data)
                where = place * (1 if size < 400 else 97) % size  # noqa: B023
                data[where] ^= 0x11
                flipped += 1
                try:
                    return decoder.decode(bytes(data))
                except (msgspec.MsgspecError, UnicodeDecodeError):
                    return None  # the link closes the connection

            verified(*caught_up(spoil)[:2])
            if (place + 1) * (1 if size < 400 else 97) >= size:
                break
    assert flipped > 500


# Planted faults: each is seen by what is above


def eager_whole(self: Holder, copy: holder.Copy, message: object, out: holder.Output) -> None:
    copy.whole = True  # unchecked
    self._mark(copy, out)
    self._ack(copy, out)


def deletions_not_told(self: holder.Copy, number: int) -> list[tuple[str, int, bytes | None]]:
    return [(name, at, value) for name, (at, value) in self.table.entries.items() if at > number]


def own_copy_alone(self: Gathering, up: object, now_ms: float) -> bool:
    return True


def gap_passed_over(self: Holder, copy: holder.Copy, message: Append, out: holder.Output) -> None:
    for number, batch in enumerate(message.batches, start=message.first):
        for name, value in batch:
            self._put(copy, name, number, value, out)
        copy.at = max(copy.at, number)
    self._mark(copy, out)
    self._ack(copy, out)


def not_kept(
    self: Holder, copy: holder.Copy, name: str, number: int, value: bytes | None, out: holder.Output
) -> None:
    copy.table.put(name, number, value)


PLANTED: dict[str, tuple[type, str, object]] = {
    "a copy counted whole unchecked": (Holder, "_check", eager_whole),
    "deletions not told to a successor": (holder.Copy, "after", deletions_not_told),
    "the successor's own copy alone": (Gathering, "ready", own_copy_alone),
    "a gap passed over": (Holder, "_append", gap_passed_over),
    "confirmed and not kept": (Holder, "_put", not_kept),
}


@pytest.mark.parametrize("name", PLANTED)
def test_planted_faults_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, fault = PLANTED[name]
    monkeypatch.setattr(owner, method, fault)

    def caught() -> bool:
        try:
            taken_by_one_that_is_caught_up()
            taken_by_one_that_is_behind()
            for seed in range(60):
                lived(seed)
        except AssertionError:
            return True
        return False

    assert caught()
