"""Commands of the kind `work` in the agreed log, as msgpack arrays.

Operators' commands, the leader's observations and the agents' reports change the plan of maintenance (`plan`)
by way of these alone. The encoding is positional: a field is only ever added at the end.
"""

from __future__ import annotations

import msgspec

VERSION = 1
# The kinds of machine
AGENT = "agent"
SERVER = "server"


class Limits(msgspec.Struct, array_like=True, frozen=True, tag="limits"):
    """How many machines may be out of service at once, and what capacity must remain.

    The field names are the configuration keys of `fleet.work` and the keys of `work-limits`.
    """

    all: int = 1
    agents: int = 1
    servers: int = 1
    zone: int = 1  # per zone
    agent_calls: float = 0.0  # calls a second that one agent carries; 0: capacity is not checked
    # Calls a second that a lobby server carries per unit of its share; 0: not checked.
    share_calls: float = 0.0
    margin: float = 0.2  # spare capacity over the measured load, as a fraction of it
    warm_ms: float = 15_000.0  # from a machine's return until its place is free for another
    overtakes: int = 3  # tickets of other requests that may overtake a blocked one
    drain_ms: float = 30_000.0  # how long a draining agent goes on serving its clients' open connections


class MaintenanceRequest(msgspec.Struct, array_like=True, frozen=True, tag="request"):
    """Asks for maintenance of machines, by name or all of a zone."""

    names: tuple[str, ...]
    zone: str  # "": no zone
    reason: str
    operator: str
    max_out_ms: float  # how long each machine may be out before it counts as overdue
    urgent: bool = False
    due_within_ms: float = 0.0  # a ticket still open after that is shown as late; 0: no due time


class Ready(msgspec.Struct, array_like=True, frozen=True, tag="ready"):
    """The maintenance of a machine is finished: it may return to service."""

    name: str


class Hold(msgspec.Struct, array_like=True, frozen=True, tag="hold"):
    """Stops further machines from being taken out; with `enabled` False the plan resumes."""

    enabled: bool
    operator: str


class Cancel(msgspec.Struct, array_like=True, frozen=True, tag="cancel"):
    """Cancels a machine's ticket unless the machine is out already; a draining one returns to service."""

    name: str


class Force(msgspec.Struct, array_like=True, frozen=True, tag="force"):
    """An operator overrides a machine's state: a draining one counts as out, an overdue one as given up."""

    name: str
    operator: str
    reason: str


class AgentStatus(msgspec.Struct, array_like=True, frozen=True, tag="seen"):
    """What the leader knows of an agent, proposed when it changes."""

    name: str
    zone: str
    life: int  # `Info.life`: identifies the process
    up: bool  # alive and serving
    left: bool  # it has announced that it leaves the fleet
    voter: bool = False


class ServerStatus(msgspec.Struct, array_like=True, frozen=True):
    """A lobby server, as the leader's server list has it."""

    name: str
    zone: str
    share: float
    ready: bool


class ServerList(msgspec.Struct, array_like=True, frozen=True, tag="listed"):
    """All lobby servers of the leader's server list, proposed when it changes."""

    servers: tuple[ServerStatus, ...]


class AgentLoad(msgspec.Struct, array_like=True, frozen=True, tag="load"):
    """An agent's report of its own load and of the servers that it can't use."""

    name: str
    life: int
    calls_per_second: float
    unreachable: tuple[str, ...]


class DrainConfirmed(msgspec.Struct, array_like=True, frozen=True, tag="done"):
    """An agent confirms that no call of its own is left: none at all if `machine` is itself, else none there.

    `start_index` is the ticket's, so that a confirmation of an earlier ticket of the machine doesn't count.
    """

    agent: str
    life: int
    machine: str
    start_index: int


class Tick(msgspec.Struct, array_like=True, frozen=True, tag="tick"):
    """The time that has passed since the previous tick, by the clock of the leader of this term."""

    term: int
    elapsed_ms: float


Command = (
    Limits
    | MaintenanceRequest
    | Ready
    | Hold
    | Cancel
    | Force
    | AgentStatus
    | ServerList
    | AgentLoad
    | DrainConfirmed
    | Tick
)
