"""Learners (non-voting followers) receive committed entries over a distribution tree of the members.

Voters feed the first learners and these feed the others, each a bounded number, so that the voters' load does
not grow with the fleet. A learner picks its feeder itself from the membership, and replaces one that does not
answer by a random voter.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from frostport.agreement.events import RaftOutput, Role
from frostport.agreement.log import Log
from frostport.agreement.messages import Entry, FeedEntries, FeedRequest, InstallSnapshotReply, Voters
from frostport.agreement.settings import RaftSettings
from frostport.agreement.snapshots import snapshot_message


@dataclass(slots=True)
class FedLearner:
    """A learner that this agent feeds, until its lease expires."""

    next_index: int
    expires_at: float  # ms
    snapshot_offset: int = 0  # next byte of the snapshot to send


def assigned_feeder(name: str, learners: list[str], voters: list[str], max_fed: int) -> str:
    """The feeder of `name` in the tree: a voter for the first learners, an earlier learner for the others.

    Agents that know the same members compute the same tree. No feeder gets more than `max_fed` learners."""
    if not voters:
        return ""
    position = learners.index(name) if name in learners else 0
    fed_by_voters = len(voters) * max_fed
    return (
        voters[position % len(voters)]
        if position < fed_by_voters
        else learners[(position - fed_by_voters) // max_fed]
    )


class LearnerMixin:
    """What an agent does as a learner, and as a feeder of learners."""

    name: str
    settings: RaftSettings
    rng: random.Random
    log: Log
    output: RaftOutput
    voters: Voters
    founding_voters: tuple[str, ...]
    term: int
    leader: str
    role: Role
    commit_index: int

    def init_learner_state(self, now: float) -> None:
        """Called once, by the constructor of `Raft`; `now` in milliseconds."""
        self.members: tuple[str, ...] = ()
        self.fed_learners: dict[str, FedLearner] = {}
        self.feed_request_at = now + self.rng.random() * self.settings.feed_request_interval_ms
        self.feeder = ""
        self.feeder_last_received_at = now
        self.feeder_term = 0

    def latest_leader_term(self) -> int:
        """The latest term in which this agent knows of a leader, by its own term or from its feeder."""
        return max(self.term, self.feeder_term)

    def is_voter(self) -> bool:
        raise NotImplementedError

    # As a learner

    def _send_feed_request(self, now: float) -> None:
        self.feed_request_at = now + self.settings.feed_request_interval_ms
        voters = sorted(set(self.voters or self.founding_voters) - {self.name})
        if now - self.feeder_last_received_at > self.settings.feeder_timeout_ms and self.feeder:
            self.feeder_last_received_at = now
            self.feeder = self.rng.choice(voters) if voters else ""
        elif not self.feeder or self.feeder not in voters:
            learners = sorted(set(self.members) - set(voters) | {self.name})
            self.feeder = assigned_feeder(self.name, learners, voters, self.settings.max_fed_learners)
        if self.feeder:
            self.output.messages.append((self.feeder, FeedRequest(self.commit_index)))

    def request_feed_from_any(self) -> None:
        """Asks one random agent for committed entries, whatever its role."""
        others = sorted({*self.voters, *self.founding_voters, *self.members} - {self.name})
        if others:
            self.output.messages.append((self.rng.choice(others), FeedRequest(self.commit_index)))

    def handle_feed_entries(self, sender: str, message: FeedEntries, now: float) -> None:
        """Committed entries are safe to accept from any agent, for a voter as well."""
        if self.role is Role.LEADER:
            return
        if sender == self.feeder:
            self.feeder_last_received_at = now
        if message.term >= max(self.term, self.feeder_term) and not self.is_voter():
            # Kept apart from `term`, which must be durable before any message mentions it.
            self.feeder_term = message.term
            self.leader = message.leader
        match_index = self._merge_entries(message.prev_index, message.prev_term, message.entries)
        if (
            match_index is not None
            and (commit_index := min(message.commit_index, match_index)) > self.commit_index
        ):
            self._set_commit_index(commit_index, now)
        if self.commit_index < message.commit_index:
            self.output.messages.append((sender, FeedRequest(self.commit_index)))

    def _merge_entries(self, prev_index: int, prev_term: int, entries: tuple[Entry, ...]) -> int | None:
        raise NotImplementedError

    def _set_commit_index(self, index: int, now: float) -> None:
        raise NotImplementedError

    # As a feeder

    def handle_feed_request(self, sender: str, message: FeedRequest, now: float) -> None:
        """Starts or renews the lease of a learner, and sends it the next entries."""
        learner = self.fed_learners.get(sender)
        if learner is None or message.index + 1 != learner.next_index or learner.expires_at <= now:
            learner = self.fed_learners[sender] = FedLearner(
                message.index + 1, 0.0, learner.snapshot_offset if learner else 0
            )
        learner.expires_at = now + self.settings.feed_lease_ms
        self._feed_learner(sender, learner)

    def feed_learners(self, now: float) -> None:
        """Sends newly committed entries to the fed learners; drops those whose lease has expired.

        Called whenever the commit index advances."""
        for name, learner in list(self.fed_learners.items()):
            if learner.expires_at <= now:
                del self.fed_learners[name]
            else:
                self._feed_learner(name, learner)

    def _feed_learner(self, name: str, learner: FedLearner) -> None:
        prev_index = learner.next_index - 1
        prev_term = self.log.term_at(prev_index) if prev_index <= self.commit_index else None
        if prev_index > self.commit_index:
            # No new entries: an empty message tells the learner that its feeder is alive.
            self.output.messages.append(
                (
                    name,
                    FeedEntries(self.latest_leader_term(), self.leader, prev_index, 0, (), self.commit_index),
                )
            )
        elif prev_term is None:
            self.output.messages.append(
                (
                    name,
                    snapshot_message(
                        self.log, 0, learner.snapshot_offset, self.settings.snapshot_chunk_bytes
                    ),
                )
            )
        else:
            entries = self.log.entries_after(prev_index, self.commit_index, self.settings.max_batch_bytes)
            learner.next_index = prev_index + len(entries) + 1
            self.output.messages.append(
                (
                    name,
                    FeedEntries(
                        self.latest_leader_term(),
                        self.leader,
                        prev_index,
                        prev_term,
                        entries,
                        self.commit_index,
                    ),
                )
            )

    def handle_fed_snapshot_reply(self, sender: str, reply: InstallSnapshotReply, now: float) -> None:
        """Continues the transfer of a snapshot to a fed learner, or goes on with entries once it is complete.

        Called by the leader's handler, which gets the replies of voters and learners alike."""
        learner = self.fed_learners.get(sender)
        if learner is not None:
            complete = (
                reply.index == self.log.snapshot_meta.index
                and reply.offset >= self.log.snapshot_meta.size_bytes
            )
            learner.snapshot_offset = (
                reply.offset if reply.index == self.log.snapshot_meta.index and not complete else 0
            )
            if complete:
                learner.next_index = reply.index + 1
            self._feed_learner(sender, learner)
