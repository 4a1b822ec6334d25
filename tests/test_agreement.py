"""The agreed log: every order of a small world to a depth, long random lives, faults planted, scenarios."""

from __future__ import annotations

import hashlib
import pickle
import random
from collections.abc import Callable, Iterator

import msgspec
import pytest

from frostport.agreement import messages as said
from frostport.agreement.applying import Applying
from frostport.agreement.events import Compact, Heard, Members, Output, Propose, Read, Role, Tick
from frostport.agreement.feed import feeder
from frostport.agreement.leader import Leading
from frostport.agreement.log import META, BadLogError, Log
from frostport.agreement.machine import Machine, Note
from frostport.agreement.raft import Raft
from frostport.agreement.settings import Settings

VOTERS = ("a", "b", "c")
ONE = Settings(batch_bytes=1, piece_bytes=4)  # one entry a message, four bytes a piece


class Steady(random.Random):
    """Chance that is copied in no time: a few bytes in place of the generator's state."""

    def __init__(self, seed: int) -> None:
        self.at = seed

    def __reduce__(self) -> tuple[object, ...]:
        return Steady, (self.at,)

    def random(self) -> float:
        self.at = (self.at * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.at >> 11) / 2**53

    def getrandbits(self, bits: int, /) -> int:
        self.random()
        return self.at >> (64 - bits)


class World:
    """Agents, their disks, and what is in flight; what was ever led, committed and acknowledged."""

    def __init__(self, names: tuple[str, ...] = VOTERS, settings: Settings = ONE, seed: int = 1) -> None:
        self.now, self.seed, self.settings, self.commands, self.steps = 0.0, seed, settings, 0, 0
        self.disks: dict[str, dict[str, bytes]] = {name: {} for name in names}
        self.numbers = {name: number + 1 for number, name in enumerate(names)}
        self.agents: dict[str, Raft] = {}
        self.flight: list[tuple[str, str, said.Message]] = []
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, said.Entry] = {}
        self.applied: dict[str, list[str]] = {}
        self.acknowledged: set[str] = set()
        self.reads: dict[str, tuple[int, int]] = {}  # committed when asked, applied when answered
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        chance = Steady(self.seed * 7 + self.numbers[name])
        agent = Raft(name, self.numbers[name], VOTERS, self.settings, chance, self.disks[name], self.now)
        self.agents[name] = agent
        self.applied[name] = agent.log.snapshot.decode().split()

    def lose_disk(self, name: str) -> None:
        self.disks[name] = {}
        self.numbers[name] += 100
        self.start(name)

    def do(self, name: str, event: object) -> Output:
        agent = self.agents[name]
        out = agent.handle(event, self.now)  # type: ignore[arg-type]
        for key, value in out.save:
            self.disks[name].pop(key, None)
            if value is not None:
                self.disks[name][key] = value
        if agent.role is Role.LEADER:
            first_leader = self.leaders.setdefault(agent.term, name)
            assert first_leader == name, f"two leaders in term {agent.term}"  # A1
        self.flight += [(name, to, message) for to, message in out.send]
        if out.install is not None:
            self.applied[name] = out.install[1].decode().split()
        for entry in out.apply:
            first = self.committed.setdefault(entry.index, entry)
            assert first == entry, f"entry {entry.index} has changed"  # A2
            if entry.id:
                self.applied[name].append(entry.id)
                if entry.id.startswith(name):
                    self.acknowledged.add(entry.id)
        for id in out.reads:
            asked, _ = self.reads[id]
            assert agent.applied >= asked, f"{id} is stale"
            self.reads[id] = (asked, agent.applied)
        return out

    def propose(self, name: str) -> None:
        self.commands += 1
        self.do(name, Propose(f"{name}{self.commands}", "test", 1, b""))

    def read(self, name: str) -> None:
        self.commands += 1
        self.reads[f"r{self.commands}"] = (max(self.committed, default=0), -1)
        self.do(name, Read(f"r{self.commands}"))

    def deliver(self, number: int, keep: bool = False) -> None:
        sender, to, message = self.flight[number] if keep else self.flight.pop(number)
        if to in self.agents:
            self.do(to, Heard(sender, message))

    def tick(self, name: str) -> None:
        self.now = max(self.now, self.agents[name].next_ms())
        self.do(name, Tick())

    def compact(self, name: str) -> None:
        agent = self.agents[name]
        self.do(name, Compact(agent.applied, " ".join(self.applied[name]).encode()))

    def fair(self, ms: float, cut: Callable[[str, str], bool] = lambda sender, to: False) -> None:
        """Nothing is lost but what is cut, and timers come in their order."""
        end = self.now + ms
        for _ in range(20_000):
            while self.flight:
                self.steps += 1
                assert self.steps < 400_000, "they never stop talking"
                sender, to, message = self.flight.pop(0)
                if to in self.agents and not cut(sender, to):
                    self.do(to, Heard(sender, message))
            name = min(self.agents, key=lambda at: (self.agents[at].next_ms(), at))
            if self.agents[name].next_ms() > end:
                self.now = end
                return
            self.tick(name)
        raise AssertionError("time stands still")

    def leader(self) -> str:
        found = [name for name, agent in self.agents.items() if agent.role is Role.LEADER]
        return max(found, key=lambda name: self.agents[name].term, default="")

    def check(self) -> None:
        """A2, A3: logs that agree at an index agree before it, a leader has all that was committed."""
        logs = {
            name: {entry.index: entry for entry in agent.log.entries} for name, agent in self.agents.items()
        }
        for name, agent in self.agents.items():
            for index in range(agent.log.base.index + 1, agent.commit + 1):
                assert logs[name][index] == self.committed[index]
            if agent.role is Role.LEADER:
                for index, entry in self.committed.items():
                    if entry.term < agent.term and index > agent.log.base.index:
                        assert logs[name].get(index) == entry, f"{name} leads without entry {index}"

    def agreed(self) -> None:
        """At a fair end: all have applied the same, whatever was acknowledged among it."""
        orders = {name: list(dict.fromkeys(ids)) for name, ids in self.applied.items() if name in self.agents}
        first = next(iter(orders.values()))
        assert all(order == first for order in orders.values()), orders
        assert self.acknowledged <= set(first)


def settled(names: tuple[str, ...] = VOTERS, settings: Settings = ONE, seed: int = 1) -> World:
    world = World(names, settings, seed)
    world.fair(10_000.0)
    assert world.leader()
    return world


# Every order, breadth first, from a world that has just been founded and one with a command half way


def choices(world: World, crashes: int) -> Iterator[Callable[[World], None]]:
    for number in range(min(len(world.flight), 3)):
        yield lambda at, number=number: at.deliver(number)  # type: ignore[misc]
        yield lambda at, number=number: at.flight.pop(number)  # type: ignore[misc]
    if world.flight:
        yield lambda at: at.deliver(0, keep=True)
    for name in VOTERS:
        if name in world.agents:
            yield lambda at, name=name: at.tick(name)  # type: ignore[misc]
            if world.commands < 2:
                yield lambda at, name=name: at.propose(name)  # type: ignore[misc]
            if len(world.agents) > 2 or crashes:
                yield lambda at, name=name: at.agents.pop(name)  # type: ignore[misc]
        else:
            yield lambda at, name=name: at.start(name)  # type: ignore[misc]


def key(world: World) -> bytes:
    shown = [
        (
            name,
            agent.role,
            agent.term,
            agent.vote,
            agent.leader,
            agent.commit,
            agent.voters,
            sorted(agent.granted),
            agent.log.entries,
            agent.log.base.index,
            sorted((peer, at.next, at.match) for peer, at in agent.peers.items()),
        )
        for name, agent in sorted(world.agents.items())
    ]
    return hashlib.sha256(repr((shown, sorted(world.disks), world.flight[:6])).encode()).digest()


def explored(begin: World, depth: int, most: int) -> int:
    seen, layer, count = {key(begin)}, [pickle.dumps(begin)], 1
    for _ in range(depth):
        following: list[bytes] = []
        for data in layer:
            for choice in choices(pickle.loads(data), 1):
                world = pickle.loads(data)
                choice(world)
                if (at := key(world)) not in seen and count < most:
                    seen.add(at)
                    count += 1
                    world.check()
                    following.append(pickle.dumps(world))
        layer = following
    return count


def half_way() -> World:
    """A leader with a command on its own disk alone, its words to the others in flight."""
    world = settled()
    world.propose(world.leader())
    return world


@pytest.mark.parametrize("begin", [World, settled, half_way])
def test_every_order_of_three_voters(begin: Callable[[], World]) -> None:
    world = begin()
    if begin is World:
        world.fair(500.0)  # founded, and nobody leads
    count = explored(world, 7, 4_000)
    print(f"{count} states")
    assert count >= 3_000


def life(seed: int, steps: int, names: tuple[str, ...] = VOTERS) -> World:
    """A long random life, with crashes, losses, doubles, reorders, snapshots, reads; then a fair end."""
    chance = random.Random(seed)
    world = World(names, chance.choice((ONE, Settings())), seed)
    world.fair(chance.choice((200.0, 3000.0)))
    for _ in range(steps):
        name = chance.choice(names)
        what = chance.choices(
            ("deliver", "lose", "double", "tick", "propose", "read", "crash", "compact", "time"),
            (50, 4, 4, 12, 6, 3, 1, 2, 6),
        )[0]
        if what == "time":
            world.now += chance.choice((1.0, 100.0, 400.0))
        elif what in ("deliver", "lose", "double"):
            if world.flight:
                number = chance.randrange(min(len(world.flight), 8))
                if what == "lose":
                    world.flight.pop(number)
                else:
                    world.deliver(number, keep=what == "double")
        elif name not in world.agents:
            if chance.random() < 0.3:
                world.start(name)
        elif what == "tick":
            if world.agents[name].next_ms() <= world.now or chance.random() < 0.1:
                world.tick(name)
        elif what == "crash":
            del world.agents[name]
        else:
            {"propose": world.propose, "read": world.read, "compact": world.compact}[what](name)
        del world.flight[400:]
        world.check()
    for name in names:
        if name not in world.agents:
            world.start(name)
    world.fair(60_000.0)
    world.check()
    world.agreed()
    return world


@pytest.mark.parametrize("seed", range(25))
def test_long_lives_end_in_one_order(seed: int) -> None:
    world = life(seed, 1500, VOTERS if seed % 3 else (*VOTERS, "x", "y"))
    assert len(world.acknowledged) > 5
    assert any(answered >= 0 for _, answered in world.reads.values())


# Planted faults: what guards against each is taken away, and it is noticed


def figure_8() -> None:
    """Thesis, figure 3.7: an entry of an earlier term is on a majority, and is overwritten all the same."""
    world = settled(seed=2)
    first = world.leader()
    second, third = (name for name in VOTERS if name != first)
    world.flight.clear()
    world.propose(first)  # on the first leader's disk alone
    world.flight.clear()
    del world.agents[first]
    world.fair(400.0, cut=lambda sender, to: True)
    for _ in range(4):  # the third leads, with votes of the second, and writes to its own disk alone
        if world.agents[third].role is not Role.LEADER:
            world.now = max(world.now + 1.0, world.agents[third].next_ms())
            world.flight.clear()
            world.do(third, Tick())
            while world.flight and world.agents[third].role is not Role.LEADER:
                world.deliver(0)
    assert world.agents[third].role is Role.LEADER
    world.flight.clear()
    del world.agents[third]
    world.start(first)
    for _ in range(6):  # the first again, with the second; one entry a message reaches it
        if world.agents[first].role is not Role.LEADER:
            world.now = max(world.now + 1.0, world.agents[first].next_ms())
            world.flight.clear()
            world.do(first, Tick())
            while world.flight and world.agents[first].role is not Role.LEADER:
                world.deliver(0)
    assert world.agents[first].role is Role.LEADER
    last = world.agents[first].log.last_index
    for _ in range(40):
        if world.agents[second].log.last_index >= last - 1:
            break
        if not world.flight:
            world.tick(first)
        world.deliver(0)
    while world.flight:  # what the second answers, and nothing that the first says then
        sender, to, message = world.flight.pop(0)
        if sender == second:
            world.do(to, Heard(sender, message))
    world.flight.clear()
    del world.agents[first]
    world.start(third)
    world.fair(10_000.0)
    world.propose(world.leader())
    world.fair(5_000.0)
    world.check()


def removed_that_asks() -> None:
    """A voter that was removed, and does not know it, asks for votes again and again: nobody is disturbed."""
    world = settled((*VOTERS, "d"))
    leader = world.leader()
    gone = next(name for name in VOTERS if name != leader)
    cut = lambda sender, to: gone in (sender, to)  # noqa: E731
    change = said.VoterChange(gone, False)
    world.fair(100.0, cut)
    world.do(leader, Propose("v1", "voters", 1, msgspec.msgpack.encode(change)))
    world.fair(20_000.0, cut)
    assert gone not in world.agents[leader].voters
    term = world.agents[leader].term
    world.fair(30_000.0, lambda sender, to: to == gone)
    assert world.leader() == leader and world.agents[leader].term == term, "disturbed"
    world.fair(30_000.0)
    assert not world.agents[gone].voter() and world.agents[leader].term == term  # it has heard of it at last


def lost_disk() -> None:
    """A voter whose disk is new must not vote: what it promised is forgotten."""
    world = settled()
    leader = world.leader()
    second, third = (name for name in VOTERS if name != leader)
    world.fair(5_000.0, lambda sender, to: third in (sender, to))
    for _ in range(3):
        world.propose(leader)
    world.fair(2_000.0, lambda sender, to: third in (sender, to))
    assert len(world.acknowledged) == 3
    del world.agents[leader]
    world.lose_disk(second)
    world.fair(60_000.0)
    world.start(leader)
    world.fair(30_000.0)
    world.check()
    world.agreed()
    assert world.acknowledged <= set(world.applied[third])


def stale_read() -> None:
    """A leader that has stood still while another one led is asked for a read."""
    world = settled()
    old = world.leader()
    stalled = world.agents.pop(old)
    world.fair(10_000.0)
    world.propose(world.leader())
    world.fair(2_000.0)
    world.agents[old] = stalled
    world.read(old)
    world.fair(10_000.0)
    assert world.reads[f"r{world.commands}"][1] > 0


def walks() -> None:
    for seed in range(60):
        life(seed, 700)


def no_term(self: Leading, now: float) -> None:
    matches = sorted(
        (self.log.last_index if name == self.name else self.peers[name].match for name in self.voters),
        reverse=True,
    )
    if matches[len(matches) // 2] > self.commit:
        self._committed(matches[len(matches) // 2], now)


def no_lease(self: Raft, sender: str, request: said.VoteRequest, now: float) -> None:
    self.leader_heard = -1e18
    if self.role is Role.LEADER and request.term > self.term and not request.pre:
        self._follow(request.term, "", now)
    real(self, sender, request, now)


def read_at_once(self: Leading, sender: str, request: said.ReadRequest, now: float) -> None:
    if self.role is Role.LEADER:
        self._read_at(request.id, self.commit)


real = Raft._vote_request
FAULTS = {
    "vote not durable": (Raft, "_meta", lambda self: [], walks),
    "an earlier term committed by count": (Leading, "_commit", no_term, figure_8),
    "no pre-vote, no lease": (Raft, "_vote_request", no_lease, removed_that_asks),
    "a new disk votes": (Raft, "voter", lambda self: self.name in self.voters, lost_disk),
    "entries not durable": (Log, "append", lambda self, entries: self.entries.extend(entries) or [], walks),
    "a read without a round": (Leading, "_read_request", read_at_once, stale_read),
    "commits beyond what agrees": (Raft, "_take_entries", lambda self, index, term, entries: index, walks),
}


@pytest.mark.parametrize("play", [figure_8, removed_that_asks, lost_disk, stale_read])
def test_the_hard_cases_hold(play: Callable[[], None]) -> None:
    play()


def asks_at_once(self: Raft, now: float) -> None:
    """An election without the pre-vote."""
    self.role, self.leader, self.granted = Role.CANDIDATE, "", {self.name}
    self.election_at = now + self._election_ms()
    self._enter_term(self.term + 1, self.name)
    self._request(self.term, False)


@pytest.mark.parametrize("name", FAULTS)
def test_planted_faults_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, fault, play = FAULTS[name]
    monkeypatch.setattr(owner, method, fault)
    if name == "no pre-vote, no lease":
        monkeypatch.setattr(Raft, "_ask_for_votes", asks_at_once)
    if name == "a new disk votes":
        counted = Raft._vote_reply
        monkeypatch.setattr(
            Raft,
            "_vote_reply",
            lambda self, sender, reply, now: counted(
                self, sender, msgspec.structs.replace(reply, disk=self.voters.get(sender, -1)), now
            ),
        )
    with pytest.raises((AssertionError, KeyError, ValueError, IndexError)):
        play()


# Scenarios


def test_a_leader_that_stalls_and_goes_on_as_if_it_led() -> None:
    world = settled()
    old = world.leader()
    stalled, flight = world.agents.pop(old), world.flight
    world.fair(10_000.0)
    new = world.leader()
    assert new != old
    world.agents[old] = stalled
    world.propose(old)  # it takes a command as if it led
    world.read(old)
    assert not flight or world.reads[f"r{world.commands}"][1] < 0
    world.fair(10_000.0)
    assert world.agents[old].role is Role.FOLLOWER and world.leader() == new
    world.agreed()


def test_majority_lost_and_back() -> None:
    world = settled()
    leader = world.leader()
    lost = [name for name in VOTERS if name != leader]
    kept = [world.agents.pop(name) for name in lost]
    world.propose(leader)
    world.fair(10_000.0)
    assert not world.leader() and not world.acknowledged
    for name, agent in zip(lost, kept, strict=True):
        world.agents[name] = agent
    world.fair(20_000.0)
    world.agreed()
    assert len(world.acknowledged) == 1


def test_voters_are_added_and_replaced_one_at_a_time() -> None:
    world = settled((*VOTERS, "d"))
    number = 0

    def change(name: str, add: bool) -> None:
        nonlocal number
        number += 1
        data = msgspec.msgpack.encode(said.VoterChange(name, add))
        world.do("a", Propose(f"a-v{number}", "voters", 1, data))
        world.fair(20_000.0)

    change("d", True)
    assert set(world.agents["a"].voters) == {*VOTERS, "d"} and world.agents["d"].voter()
    world.lose_disk("c")
    world.fair(10_000.0)
    assert not world.agents["c"].voter() and world.agents["c"].commit == world.agents["d"].commit
    change("c", True)  # still there under its old disk: nothing changes
    assert not world.agents["c"].voter()
    change("c", False)
    change("c", True)
    assert world.agents["c"].voter() and len(world.agents["a"].voters) == 4
    change(world.leader(), False)
    assert world.leader() and len(world.agents[world.leader()].voters) == 3
    world.propose("a")
    world.fair(10_000.0)
    world.agreed()


def test_a_snapshot_in_pieces_cut_at_each_and_followers_in_a_tree() -> None:
    """A follower far behind is fed by pieces; 40 followers, and no agent feeds more than its share."""
    names = (*VOTERS, *(f"f{number:02}" for number in range(40)))
    world = World(names, Settings(piece_bytes=40, children=4))
    for name in names:
        world.do(name, Members(names))
    late = world.agents.pop("f39")
    world.fair(10_000.0)
    for _ in range(30):
        world.propose("f07")
        world.fair(300.0)
    world.fair(5_000.0)
    world.agreed()
    for name in list(world.agents):
        world.compact(name)
    assert max(len(agent.children) for agent in world.agents.values()) <= 5
    world.agents["f39"] = late
    pieces = [0]

    def cut(sender: str, to: str) -> bool:
        pieces[0] += to == "f39"
        return to == "f39" and pieces[0] % 3 == 0

    world.fair(60_000.0, cut)
    world.agreed()
    assert len(world.applied["f39"]) == 30 and not late.log.entries


def test_the_tree_has_everybody_once() -> None:
    followers = [f"f{number:03}" for number in range(200)]
    fed: dict[str, int] = {}
    for name in followers:
        at = feeder(name, followers, ["a", "b", "c"], 8)
        assert at < name or at in VOTERS
        fed[at] = fed.get(at, 0) + 1
    assert max(fed.values()) == 8


@pytest.mark.parametrize("how", ["gap", "flip", "short", "meta"])
def test_records_that_are_no_log_are_refused(how: str) -> None:
    world = settled()
    for _ in range(4):
        world.propose("a")
        world.fair(2_000.0)
    if how in ("flip", "short"):
        world.compact("a")
    disk = dict(world.disks["a"])
    entries = sorted(key for key in disk if key.startswith("raft/log/"))
    if how == "gap":
        del disk[entries[1]]
    elif how == "meta":
        disk[META] = msgspec.msgpack.encode(said.Meta(9, "", 77))
    else:
        name = "raft/snapshot/00000000"
        disk[name] = disk[name][:-1] if how == "short" else bytes([disk[name][0] ^ 1]) + disk[name][1:]
    with pytest.raises(BadLogError):
        Raft("a", 1, VOTERS, ONE, random.Random(1), disk, 0.0)


class Later(Machine):
    """As a later version of the program has it: a kind more, and notes of version 2."""

    def __init__(self) -> None:
        super().__init__()
        self.kinds |= {"note": (2, Note, self._note), "more": (2, Note, self._note)}


@pytest.mark.parametrize("seed", range(40))
def test_a_later_versions_command_holds_an_earlier_one_until_its_upgrade(seed: int) -> None:
    chance = random.Random(seed)
    entries = [
        said.Entry(
            index,
            1,
            "" if chance.random() < 0.1 else f"a/1#{chance.randint(1, 50)}",
            chance.choice(["note"] * 9 + ["more"]),
            chance.choice([1] * 9 + [2]),
            msgspec.msgpack.encode(Note("x")) if chance.random() < 0.9 else b"!",
        )
        for index in range(1, 80)
    ]
    first = next((entry.index for entry in entries if (entry.kind, entry.version) != ("note", 1)), 80)
    earlier, later = Applying(Machine(), 0, b""), Applying(Later(), 0, b"")
    snapshots = {0: b""}
    for entry in entries:
        for each in (earlier, later):
            each.add([entry], [f"read {entry.index}"])
        while later.step(chance.randint(1, 5)):
            pass
        snapshots[entry.index] = later.machine.snapshot()
        if chance.random() < 0.5:
            earlier.step(chance.randint(1, 9))
        if earlier.index < first:  # what it has applied, it has as all have
            there = Applying(Later(), earlier.index, snapshots[earlier.index]).machine
            assert earlier.machine.digest == there.digest
    while earlier.step(7):
        pass
    assert earlier.index == first - 1 and bool(earlier.held) is (first < 80)
    if first < 80:  # nor does a snapshot help that it can't read; after the upgrade it goes on where it was
        earlier.install(79, Saving().snapshot())
        assert earlier.held and earlier.index == first - 1
    begun = chance.randint(0, 79)
    upgraded = Applying(Later(), begun, snapshots[begun])
    upgraded.add(entries[begun:], [])
    while upgraded.step(3):
        pass
    assert upgraded.machine.snapshot() == later.machine.snapshot() and upgraded.index == 79


class Saving(Machine):
    """Its snapshot has a part that an earlier version does not know."""

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode([[], "", 0, {"more": (1, b"")}])
