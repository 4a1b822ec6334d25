"""Input events and outputs of the Raft state machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from frostport.agreement.messages import Entry, Message, SnapshotMeta


class Role(Enum):
    """Thesis, figure 3.3. A learner is a `FOLLOWER` too."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks for pre-votes
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Tick:
    """The time given by `Raft.next_ms` has come."""


@dataclass(frozen=True, slots=True)
class Received:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Propose:
    """A command for the log. `id` is unique among all agents and never used for another command."""

    id: str
    kind: str
    version: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """Asks for a linearizable read (ReadIndex); its id comes back in `RaftOutput.ready_reads`."""

    id: str


@dataclass(frozen=True, slots=True)
class Compact:
    """A snapshot of the state machine after `index`, which is applied. The log drops what it covers."""

    index: int
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The live members of the fleet. The tree that feeds the learners is built over them."""

    names: tuple[str, ...]


Event = Tick | Received | Propose | Read | Compact | MembersChanged


@dataclass(slots=True)
class RaftOutput:
    """What the caller must do, in this order: make `writes` durable, send `messages`, install the snapshot,
    apply the committed entries."""

    writes: list[tuple[str, bytes | None]] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    installed_snapshot: tuple[SnapshotMeta, bytes] | None = None
    committed: list[Entry] = field(default_factory=list)
    ready_reads: list[str] = field(default_factory=list)  # to be answered once `committed` is applied
    # For the event record: name and fields.
    record_events: list[tuple[str, dict[str, object]]] = field(default_factory=list)
