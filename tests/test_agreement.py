"""The agreed log in a simulated cluster: exhaustive exploration of short runs, long random runs, planted
faults, scenarios."""

from __future__ import annotations

import hashlib
import pickle
import random
from collections.abc import Callable, Iterator

import msgspec
import pytest

from frostport.agreement import messages
from frostport.agreement.applier import Applier
from frostport.agreement.events import (
    Compact,
    MembersChanged,
    Propose,
    RaftOutput,
    Read,
    Received,
    Role,
    Tick,
)
from frostport.agreement.leader import LeaderMixin
from frostport.agreement.learner import assigned_feeder
from frostport.agreement.log import META_KEY, BadLogError, Log
from frostport.agreement.raft import Raft
from frostport.agreement.settings import RaftSettings
from frostport.agreement.state_machine import Note, StateMachine

VOTERS = ("a", "b", "c")
# One entry per message, four bytes per chunk.
SMALL_MESSAGES = RaftSettings(max_batch_bytes=1, snapshot_chunk_bytes=4)


class CopyableRandom(random.Random):
    """A generator with a state of one integer, so that exploring copies it cheaply."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def __reduce__(self) -> tuple[object, ...]:
        return CopyableRandom, (self.state,)

    def random(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 11) / 2**53

    def getrandbits(self, bits: int, /) -> int:
        self.random()
        return self.state >> (64 - bits)


class Cluster:
    """Agents, their disks and the messages in flight, with a record of who led, what was committed and what
    was acknowledged. The invariants: A1 one leader per term, A2 a committed entry never changes, A3 a leader
    has all committed entries."""

    def __init__(
        self, names: tuple[str, ...] = VOTERS, settings: RaftSettings = SMALL_MESSAGES, seed: int = 1
    ) -> None:
        self.now = 0.0
        self.seed = seed
        self.settings = settings
        self.last_command_number = 0
        self.delivered = 0
        self.disks: dict[str, dict[str, bytes]] = {name: {} for name in names}
        self.disk_ids = {name: number + 1 for number, name in enumerate(names)}
        self.agents: dict[str, Raft] = {}
        self.in_flight: list[tuple[str, str, messages.Message]] = []
        self.leader_by_term: dict[int, str] = {}
        self.committed: dict[int, messages.Entry] = {}
        self.applied: dict[str, list[str]] = {}
        self.acknowledged: set[str] = set()
        # By id: commit index when asked, applied index when answered (-1 before).
        self.reads: dict[str, tuple[int, int]] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        rng = CopyableRandom(self.seed * 7 + self.disk_ids[name])
        agent = Raft(name, self.disk_ids[name], VOTERS, self.settings, rng, self.disks[name], self.now)
        self.agents[name] = agent
        self.applied[name] = agent.log.snapshot.decode().split()

    def lose_disk(self, name: str) -> None:
        self.disks[name] = {}
        self.disk_ids[name] += 100
        self.start(name)

    def handle(self, name: str, event: object) -> RaftOutput:
        agent = self.agents[name]
        out = agent.handle(event, self.now)  # type: ignore[arg-type]
        for key, value in out.writes:
            self.disks[name].pop(key, None)
            if value is not None:
                self.disks[name][key] = value
        if agent.role is Role.LEADER:
            first_leader = self.leader_by_term.setdefault(agent.term, name)
            assert first_leader == name, f"two leaders in term {agent.term}"  # A1
        self.in_flight += [(name, receiver, message) for receiver, message in out.messages]
        if out.installed_snapshot is not None:
            self.applied[name] = out.installed_snapshot[1].decode().split()
        for entry in out.committed:
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, f"entry {entry.index} has changed"  # A2
            if entry.id:
                self.applied[name].append(entry.id)
                if entry.id.startswith(name):
                    self.acknowledged.add(entry.id)
        for id in out.ready_reads:
            index_when_asked, _ = self.reads[id]
            assert agent.last_applied >= index_when_asked, f"{id} is stale"
            self.reads[id] = (index_when_asked, agent.last_applied)
        return out

    def propose(self, name: str) -> None:
        self.last_command_number += 1
        self.handle(name, Propose(f"{name}{self.last_command_number}", "test", 1, b""))

    def read(self, name: str) -> None:
        self.last_command_number += 1
        self.reads[f"r{self.last_command_number}"] = (max(self.committed, default=0), -1)
        self.handle(name, Read(f"r{self.last_command_number}"))

    def deliver(self, number: int, keep: bool = False) -> None:
        sender, receiver, message = self.in_flight[number] if keep else self.in_flight.pop(number)
        if receiver in self.agents:
            self.handle(receiver, Received(sender, message))

    def tick(self, name: str) -> None:
        self.now = max(self.now, self.agents[name].next_ms())
        self.handle(name, Tick())

    def compact(self, name: str) -> None:
        agent = self.agents[name]
        self.handle(name, Compact(agent.last_applied, " ".join(self.applied[name]).encode()))

    def run_reliably(
        self, ms: float, is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
    ) -> None:
        """Runs for `ms` milliseconds: only messages on cut links are lost, and timers fire in order."""
        end = self.now + ms
        for _ in range(20_000):
            while self.in_flight:
                self.delivered += 1
                assert self.delivered < 400_000, "the agents exchange messages without end"
                sender, receiver, message = self.in_flight.pop(0)
                if receiver in self.agents and not is_cut(sender, receiver):
                    self.handle(receiver, Received(sender, message))
            name = min(self.agents, key=lambda agent_name: (self.agents[agent_name].next_ms(), agent_name))
            if self.agents[name].next_ms() > end:
                self.now = end
                return
            self.tick(name)
        raise AssertionError("the simulated time does not advance")

    def leader(self) -> str:
        leaders = [name for name, agent in self.agents.items() if agent.role is Role.LEADER]
        return max(leaders, key=lambda name: self.agents[name].term, default="")

    def check_invariants(self) -> None:
        """A2 and A3: committed entries never change, a leader has all that was committed before its term."""
        logs = {
            name: {entry.index: entry for entry in agent.log.entries} for name, agent in self.agents.items()
        }
        for name, agent in self.agents.items():
            for index in range(agent.log.snapshot_meta.index + 1, agent.commit_index + 1):
                assert logs[name][index] == self.committed[index]
            if agent.role is Role.LEADER:
                for index, entry in self.committed.items():
                    if entry.term < agent.term and index > agent.log.snapshot_meta.index:
                        assert logs[name].get(index) == entry, f"{name} leads without entry {index}"

    def check_converged(self) -> None:
        """After a reliable run: all agents have applied the same commands, and all acknowledged ones."""
        orders = {name: list(dict.fromkeys(ids)) for name, ids in self.applied.items() if name in self.agents}
        first = next(iter(orders.values()))
        assert all(order == first for order in orders.values()), orders
        assert self.acknowledged <= set(first)


def cluster_with_leader(
    names: tuple[str, ...] = VOTERS, settings: RaftSettings = SMALL_MESSAGES, seed: int = 1
) -> Cluster:
    cluster = Cluster(names, settings, seed)
    cluster.run_reliably(10_000.0)
    assert cluster.leader()
    return cluster


# Exhaustive exploration, breadth first: from a new cluster, one with a leader, one with a pending command


def possible_steps(cluster: Cluster, crashes: int) -> Iterator[Callable[[Cluster], None]]:
    for number in range(min(len(cluster.in_flight), 3)):
        yield lambda copy, number=number: copy.deliver(number)  # type: ignore[misc]
        yield lambda copy, number=number: copy.in_flight.pop(number)  # type: ignore[misc]
    if cluster.in_flight:
        yield lambda copy: copy.deliver(0, keep=True)
    for name in VOTERS:
        if name in cluster.agents:
            yield lambda copy, name=name: copy.tick(name)  # type: ignore[misc]
            if cluster.last_command_number < 2:
                yield lambda copy, name=name: copy.propose(name)  # type: ignore[misc]
            if len(cluster.agents) > 2 or crashes:
                yield lambda copy, name=name: copy.agents.pop(name)  # type: ignore[misc]
        else:
            yield lambda copy, name=name: copy.start(name)  # type: ignore[misc]


def state_hash(cluster: Cluster) -> bytes:
    state = [
        (
            name,
            agent.role,
            agent.term,
            agent.voted_for,
            agent.leader,
            agent.commit_index,
            agent.voters,
            sorted(agent.votes_granted),
            agent.log.entries,
            agent.log.snapshot_meta.index,
            sorted(
                (peer, progress.next_index, progress.match_index) for peer, progress in agent.progress.items()
            ),
        )
        for name, agent in sorted(cluster.agents.items())
    ]
    return hashlib.sha256(repr((state, sorted(cluster.disks), cluster.in_flight[:6])).encode()).digest()


def count_states(initial: Cluster, depth: int, max_states: int) -> int:
    seen = {state_hash(initial)}
    layer = [pickle.dumps(initial)]
    count = 1
    for _ in range(depth):
        next_layer: list[bytes] = []
        for data in layer:
            for step in possible_steps(pickle.loads(data), 1):
                cluster = pickle.loads(data)
                step(cluster)
                if (state := state_hash(cluster)) not in seen and count < max_states:
                    seen.add(state)
                    count += 1
                    cluster.check_invariants()
                    next_layer.append(pickle.dumps(cluster))
        layer = next_layer
    return count


def cluster_with_pending_command() -> Cluster:
    """The leader has a command on its own disk only; its messages to the others are in flight."""
    cluster = cluster_with_leader()
    cluster.propose(cluster.leader())
    return cluster


@pytest.mark.parametrize("initial_state", [Cluster, cluster_with_leader, cluster_with_pending_command])
def test_every_order_of_three_voters(initial_state: Callable[[], Cluster]) -> None:
    cluster = initial_state()
    if initial_state is Cluster:
        cluster.run_reliably(500.0)  # bootstrapped, without a leader
    count = count_states(cluster, 7, 4_000)
    print(f"{count} states")
    assert count >= 3_000


def random_run(seed: int, steps: int, names: tuple[str, ...] = VOTERS) -> Cluster:
    """A long random run with crashes, lost, duplicated and reordered messages, snapshots and reads, followed
    by a reliable phase."""
    rng = random.Random(seed)
    cluster = Cluster(names, rng.choice((SMALL_MESSAGES, RaftSettings())), seed)
    cluster.run_reliably(rng.choice((200.0, 3000.0)))
    for _ in range(steps):
        name = rng.choice(names)
        action = rng.choices(
            ("deliver", "lose", "double", "tick", "propose", "read", "crash", "compact", "time"),
            (50, 4, 4, 12, 6, 3, 1, 2, 6),
        )[0]
        if action == "time":
            cluster.now += rng.choice((1.0, 100.0, 400.0))
        elif action in ("deliver", "lose", "double"):
            if cluster.in_flight:
                number = rng.randrange(min(len(cluster.in_flight), 8))
                if action == "lose":
                    cluster.in_flight.pop(number)
                else:
                    cluster.deliver(number, keep=action == "double")
        elif name not in cluster.agents:
            if rng.random() < 0.3:
                cluster.start(name)
        elif action == "tick":
            if cluster.agents[name].next_ms() <= cluster.now or rng.random() < 0.1:
                cluster.tick(name)
        elif action == "crash":
            del cluster.agents[name]
        else:
            {"propose": cluster.propose, "read": cluster.read, "compact": cluster.compact}[action](name)
        del cluster.in_flight[400:]
        cluster.check_invariants()
    for name in names:
        if name not in cluster.agents:
            cluster.start(name)
    cluster.run_reliably(60_000.0)
    cluster.check_invariants()
    cluster.check_converged()
    return cluster


@pytest.mark.parametrize("seed", range(25))
def test_random_runs_converge_to_one_order(seed: int) -> None:
    cluster = random_run(seed, 1500, VOTERS if seed % 3 else (*VOTERS, "x", "y"))
    assert len(cluster.acknowledged) > 5
    assert any(answered >= 0 for _, answered in cluster.reads.values())


# Planted faults: each removes one safeguard, which a scenario must detect


def figure_8() -> None:
    """Thesis, figure 3.7: an entry of an earlier term is on a majority, and is still overwritten."""
    cluster = cluster_with_leader(seed=2)
    first = cluster.leader()
    second, third = (name for name in VOTERS if name != first)
    cluster.in_flight.clear()
    cluster.propose(first)  # on the first leader's disk only
    cluster.in_flight.clear()
    del cluster.agents[first]
    cluster.run_reliably(400.0, is_cut=lambda sender, receiver: True)
    for _ in range(4):  # the third is elected with the vote of the second, and writes to its own disk only
        if cluster.agents[third].role is not Role.LEADER:
            cluster.now = max(cluster.now + 1.0, cluster.agents[third].next_ms())
            cluster.in_flight.clear()
            cluster.handle(third, Tick())
            while cluster.in_flight and cluster.agents[third].role is not Role.LEADER:
                cluster.deliver(0)
    assert cluster.agents[third].role is Role.LEADER
    cluster.in_flight.clear()
    del cluster.agents[third]
    cluster.start(first)
    # The first is elected again with the vote of the second, which gets one entry per message.
    for _ in range(6):
        if cluster.agents[first].role is not Role.LEADER:
            cluster.now = max(cluster.now + 1.0, cluster.agents[first].next_ms())
            cluster.in_flight.clear()
            cluster.handle(first, Tick())
            while cluster.in_flight and cluster.agents[first].role is not Role.LEADER:
                cluster.deliver(0)
    assert cluster.agents[first].role is Role.LEADER
    last = cluster.agents[first].log.last_index
    for _ in range(40):
        if cluster.agents[second].log.last_index >= last - 1:
            break
        if not cluster.in_flight:
            cluster.tick(first)
        cluster.deliver(0)
    while cluster.in_flight:  # the answers of the second arrive; what the first sends after them is lost
        sender, receiver, message = cluster.in_flight.pop(0)
        if sender == second:
            cluster.handle(receiver, Received(sender, message))
    cluster.in_flight.clear()
    del cluster.agents[first]
    cluster.start(third)
    cluster.run_reliably(10_000.0)
    cluster.propose(cluster.leader())
    cluster.run_reliably(5_000.0)
    cluster.check_invariants()


def removed_voter_campaigns() -> None:
    """A removed voter that does not know of its removal campaigns repeatedly, and disrupts nobody."""
    cluster = cluster_with_leader((*VOTERS, "d"))
    leader = cluster.leader()
    removed = next(name for name in VOTERS if name != leader)
    is_cut = lambda sender, receiver: removed in (sender, receiver)  # noqa: E731
    change = messages.VoterChange(removed, False)
    cluster.run_reliably(100.0, is_cut)
    cluster.handle(leader, Propose("v1", "voters", 1, msgspec.msgpack.encode(change)))
    cluster.run_reliably(20_000.0, is_cut)
    assert removed not in cluster.agents[leader].voters
    term = cluster.agents[leader].term
    cluster.run_reliably(30_000.0, lambda sender, receiver: receiver == removed)
    assert cluster.leader() == leader and cluster.agents[leader].term == term, "the leader was disrupted"
    cluster.run_reliably(30_000.0)
    # Once its requests are answered, the removed voter knows of its removal.
    assert not cluster.agents[removed].is_voter() and cluster.agents[leader].term == term


def lost_disk() -> None:
    """A voter that lost its disk must not vote, because it has forgotten its votes and acknowledgements."""
    cluster = cluster_with_leader()
    leader = cluster.leader()
    second, third = (name for name in VOTERS if name != leader)
    cluster.run_reliably(5_000.0, lambda sender, receiver: third in (sender, receiver))
    for _ in range(3):
        cluster.propose(leader)
    cluster.run_reliably(2_000.0, lambda sender, receiver: third in (sender, receiver))
    assert len(cluster.acknowledged) == 3
    del cluster.agents[leader]
    cluster.lose_disk(second)
    cluster.run_reliably(60_000.0)
    cluster.start(leader)
    cluster.run_reliably(30_000.0)
    cluster.check_invariants()
    cluster.check_converged()
    assert cluster.acknowledged <= set(cluster.applied[third])


def stale_read() -> None:
    """A leader that was paused while another one led is asked for a read."""
    cluster = cluster_with_leader()
    old = cluster.leader()
    paused = cluster.agents.pop(old)
    cluster.run_reliably(10_000.0)
    cluster.propose(cluster.leader())
    cluster.run_reliably(2_000.0)
    cluster.agents[old] = paused
    cluster.read(old)
    cluster.run_reliably(10_000.0)
    assert cluster.reads[f"r{cluster.last_command_number}"][1] > 0


def random_runs() -> None:
    for seed in range(60):
        random_run(seed, 700)


def commit_earlier_term(self: LeaderMixin, now: float) -> None:
    match_indexes = sorted(
        (
            self.log.last_index if name == self.name else self.progress[name].match_index
            for name in self.voters
        ),
        reverse=True,
    )
    if match_indexes[len(match_indexes) // 2] > self.commit_index:
        self._set_commit_index(match_indexes[len(match_indexes) // 2], now)


def vote_despite_leader(self: Raft, sender: str, request: messages.RequestVote, now: float) -> None:
    self.leader_last_received_at = -1e18
    if self.role is Role.LEADER and request.term > self.term and not request.pre_vote:
        self._become_follower(request.term, "", now)
    real_handle_request_vote(self, sender, request, now)


def read_without_round(
    self: LeaderMixin, sender: str, request: messages.ReadIndexRequest, now: float
) -> None:
    if self.role is Role.LEADER:
        self._set_read_index(request.id, self.commit_index)


real_handle_request_vote = Raft._handle_request_vote
FAULTS = {
    "vote not durable": (Raft, "_persistent_state", lambda self: [], random_runs),
    "an earlier term committed by count": (
        LeaderMixin,
        "_advance_commit_index",
        commit_earlier_term,
        figure_8,
    ),
    "no pre-vote, no lease": (Raft, "_handle_request_vote", vote_despite_leader, removed_voter_campaigns),
    "a new disk votes": (Raft, "is_voter", lambda self: self.name in self.voters, lost_disk),
    "entries not durable": (
        Log,
        "append",
        lambda self, entries: self.entries.extend(entries) or [],
        random_runs,
    ),
    "a read without a round": (LeaderMixin, "_handle_read_index_request", read_without_round, stale_read),
    "commits beyond what agrees": (
        Raft,
        "_merge_entries",
        lambda self, index, term, entries: index,
        random_runs,
    ),
}


@pytest.mark.parametrize("scenario", [figure_8, removed_voter_campaigns, lost_disk, stale_read])
def test_hard_cases(scenario: Callable[[], None]) -> None:
    scenario()


def campaign_without_pre_vote(self: Raft, now: float) -> None:
    """An election without the pre-vote."""
    self.role = Role.CANDIDATE
    self.leader = ""
    self.votes_granted = {self.name}
    self.election_at = now + self._election_timeout_ms()
    self._enter_term(self.term + 1, self.name)
    self._send_vote_requests(self.term, False)


@pytest.mark.parametrize("name", FAULTS)
def test_planted_faults_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, fault, scenario = FAULTS[name]
    monkeypatch.setattr(owner, method, fault)
    if name == "no pre-vote, no lease":
        monkeypatch.setattr(Raft, "_start_pre_vote", campaign_without_pre_vote)
    if name == "a new disk votes":
        real_handler = Raft._handle_request_vote_reply
        monkeypatch.setattr(
            Raft,
            "_handle_request_vote_reply",
            lambda self, sender, reply, now: real_handler(
                self, sender, msgspec.structs.replace(reply, disk_id=self.voters.get(sender, -1)), now
            ),
        )
    with pytest.raises((AssertionError, KeyError, ValueError, IndexError)):
        scenario()


# Scenarios


def test_paused_leader_continues_as_if_it_led() -> None:
    cluster = cluster_with_leader()
    old = cluster.leader()
    paused = cluster.agents.pop(old)
    in_flight_before = cluster.in_flight
    cluster.run_reliably(10_000.0)
    new = cluster.leader()
    assert new != old
    cluster.agents[old] = paused
    cluster.propose(old)  # it accepts a command as if it led
    cluster.read(old)
    assert not in_flight_before or cluster.reads[f"r{cluster.last_command_number}"][1] < 0
    cluster.run_reliably(10_000.0)
    assert cluster.agents[old].role is Role.FOLLOWER and cluster.leader() == new
    cluster.check_converged()


def test_majority_lost_and_back() -> None:
    cluster = cluster_with_leader()
    leader = cluster.leader()
    lost = [name for name in VOTERS if name != leader]
    stopped = [cluster.agents.pop(name) for name in lost]
    cluster.propose(leader)
    cluster.run_reliably(10_000.0)
    assert not cluster.leader() and not cluster.acknowledged
    for name, agent in zip(lost, stopped, strict=True):
        cluster.agents[name] = agent
    cluster.run_reliably(20_000.0)
    cluster.check_converged()
    assert len(cluster.acknowledged) == 1


def test_voters_are_added_and_replaced_one_at_a_time() -> None:
    cluster = cluster_with_leader((*VOTERS, "d"))
    number = 0

    def change(name: str, add: bool) -> None:
        nonlocal number
        number += 1
        data = msgspec.msgpack.encode(messages.VoterChange(name, add))
        cluster.handle("a", Propose(f"a-v{number}", "voters", 1, data))
        cluster.run_reliably(20_000.0)

    change("d", True)
    assert set(cluster.agents["a"].voters) == {*VOTERS, "d"} and cluster.agents["d"].is_voter()
    cluster.lose_disk("c")
    cluster.run_reliably(10_000.0)
    assert (
        not cluster.agents["c"].is_voter()
        and cluster.agents["c"].commit_index == cluster.agents["d"].commit_index
    )
    change("c", True)  # it is still a voter under its old disk id: nothing changes
    assert not cluster.agents["c"].is_voter()
    change("c", False)
    change("c", True)
    assert cluster.agents["c"].is_voter() and len(cluster.agents["a"].voters) == 4
    change(cluster.leader(), False)
    assert cluster.leader() and len(cluster.agents[cluster.leader()].voters) == 3
    cluster.propose("a")
    cluster.run_reliably(10_000.0)
    cluster.check_converged()


def test_snapshot_chunks_survive_losses_and_learners_form_a_tree() -> None:
    """A learner that is far behind gets a snapshot in chunks, of which some are lost. Of 40 learners, no
    agent feeds more than its share."""
    names = (*VOTERS, *(f"f{number:02}" for number in range(40)))
    cluster = Cluster(names, RaftSettings(snapshot_chunk_bytes=40, max_fed_learners=4))
    for name in names:
        cluster.handle(name, MembersChanged(names))
    late = cluster.agents.pop("f39")
    cluster.run_reliably(10_000.0)
    for _ in range(30):
        cluster.propose("f07")
        cluster.run_reliably(300.0)
    cluster.run_reliably(5_000.0)
    cluster.check_converged()
    for name in list(cluster.agents):
        cluster.compact(name)
    assert max(len(agent.fed_learners) for agent in cluster.agents.values()) <= 5
    cluster.agents["f39"] = late
    received = [0]

    def is_cut(sender: str, receiver: str) -> bool:
        received[0] += receiver == "f39"
        return receiver == "f39" and received[0] % 3 == 0

    cluster.run_reliably(60_000.0, is_cut)
    cluster.check_converged()
    assert len(cluster.applied["f39"]) == 30 and not late.log.entries


def test_feeding_tree_contains_each_learner_once() -> None:
    learners = [f"f{number:03}" for number in range(200)]
    fed: dict[str, int] = {}
    for name in learners:
        feeder = assigned_feeder(name, learners, ["a", "b", "c"], 8)
        assert feeder < name or feeder in VOTERS
        fed[feeder] = fed.get(feeder, 0) + 1
    assert max(fed.values()) == 8


@pytest.mark.parametrize("damage", ["gap", "flip", "short", "meta"])
def test_inconsistent_records_are_rejected(damage: str) -> None:
    cluster = cluster_with_leader()
    for _ in range(4):
        cluster.propose("a")
        cluster.run_reliably(2_000.0)
    if damage in ("flip", "short"):
        cluster.compact("a")
    disk = dict(cluster.disks["a"])
    entries = sorted(key for key in disk if key.startswith("raft/log/"))
    if damage == "gap":
        del disk[entries[1]]
    elif damage == "meta":
        disk[META_KEY] = msgspec.msgpack.encode(messages.PersistentState(9, "", 77))
    else:
        name = "raft/snapshot/00000000"
        disk[name] = disk[name][:-1] if damage == "short" else bytes([disk[name][0] ^ 1]) + disk[name][1:]
    with pytest.raises(BadLogError):
        Raft("a", 1, VOTERS, SMALL_MESSAGES, random.Random(1), disk, 0.0)


class LaterStateMachine(StateMachine):
    """The state machine of a later program version: one more kind, and notes of version 2."""

    def __init__(self) -> None:
        super().__init__()
        self.kinds |= {"note": (2, Note, self._note), "more": (2, Note, self._note)}


@pytest.mark.parametrize("seed", range(40))
def test_command_of_a_later_version_blocks_an_earlier_one_until_its_upgrade(seed: int) -> None:
    rng = random.Random(seed)
    entries = [
        messages.Entry(
            index,
            1,
            "" if rng.random() < 0.1 else f"a/1#{rng.randint(1, 50)}",
            rng.choice(["note"] * 9 + ["more"]),
            rng.choice([1] * 9 + [2]),
            msgspec.msgpack.encode(Note("x")) if rng.random() < 0.9 else b"!",
        )
        for index in range(1, 80)
    ]
    first_unsupported = next(
        (entry.index for entry in entries if (entry.kind, entry.version) != ("note", 1)), 80
    )
    earlier = Applier(StateMachine(), 0, b"")
    later = Applier(LaterStateMachine(), 0, b"")
    snapshots = {0: b""}
    for entry in entries:
        for applier in (earlier, later):
            applier.add([entry], [f"read {entry.index}"])
        while later.step(rng.randint(1, 5)):
            pass
        snapshots[entry.index] = later.state_machine.snapshot()
        if rng.random() < 0.5:
            earlier.step(rng.randint(1, 9))
        if earlier.applied_index < first_unsupported:  # up to here its state is that of all others
            reference = Applier(
                LaterStateMachine(), earlier.applied_index, snapshots[earlier.applied_index]
            ).state_machine
            assert earlier.state_machine.digest == reference.digest
    while earlier.step(7):
        pass
    assert earlier.applied_index == first_unsupported - 1 and bool(earlier.blocked_reason) is (
        first_unsupported < 80
    )
    if first_unsupported < 80:  # a snapshot that it can't read does not unblock it either
        earlier.install(79, LaterSnapshotStateMachine().snapshot())
        assert earlier.blocked_reason and earlier.applied_index == first_unsupported - 1
    start_index = rng.randint(0, 79)
    upgraded = Applier(LaterStateMachine(), start_index, snapshots[start_index])
    upgraded.add(entries[start_index:], [])
    while upgraded.step(3):
        pass
    assert (
        upgraded.state_machine.snapshot() == later.state_machine.snapshot() and upgraded.applied_index == 79
    )


class LaterSnapshotStateMachine(StateMachine):
    """Its snapshot has state of a kind that an earlier version does not know."""

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode([[], "", 0, {"more": (1, b"")}])
