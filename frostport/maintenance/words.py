"""What is said of work on machines in the agreed log, as msgpack arrays. A field is only added at the end."""

from __future__ import annotations

import msgspec

VERSION = 1
AGENT, SERVER = "agent", "server"


class Limits(msgspec.Struct, array_like=True, frozen=True, tag="limits"):
    """How many may be out at once, and what those left must carry."""

    all: int = 1
    agents: int = 1
    servers: int = 1
    zone: int = 1
    agent_calls: float = 0.0  # calls a second that one agent carries; 0: not asked
    share_calls: float = 0.0  # and a lobby server for each unit of its share
    margin: float = 0.2  # over the load measured
    warm_ms: float = 15_000.0  # from its return until the next may go
    overtakes: int = 3  # tickets of other requests that may pass one that has to wait
    drain_ms: float = 30_000.0  # an agent that goes serves its clients' open connections on for so long


class Request(msgspec.Struct, array_like=True, frozen=True, tag="request"):
    """Machines by name, or a whole zone. `takes_ms`: how long each may be out; `within_ms`: by when all is to
    be done, 0 where that is open: it is shown as late after that."""

    names: tuple[str, ...]
    zone: str
    reason: str
    who: str
    takes_ms: float
    urgent: bool = False
    within_ms: float = 0.0


class Ready(msgspec.Struct, array_like=True, frozen=True, tag="ready"):
    """The work is done: take it back."""

    name: str


class Hold(msgspec.Struct, array_like=True, frozen=True, tag="hold"):
    """Nothing new goes out; `on` False: the plan goes on."""

    on: bool
    who: str


class Cancel(msgspec.Struct, array_like=True, frozen=True, tag="cancel"):
    """A machine's ticket, unless it is out; one that is going comes back."""

    name: str


class Force(msgspec.Struct, array_like=True, frozen=True, tag="force"):
    """Staff vouch for a machine: one that is going is out, one that is overdue is given up."""

    name: str
    who: str
    why: str


class Seen(msgspec.Struct, array_like=True, frozen=True, tag="seen"):
    """What the leader knows of an agent. `up`: alive and serving; `gone`: it has said that it leaves."""

    name: str
    zone: str
    life: int
    up: bool
    gone: bool
    voter: bool = False


class Server(msgspec.Struct, array_like=True, frozen=True):
    name: str
    zone: str
    share: float
    ready: bool


class Listed(msgspec.Struct, array_like=True, frozen=True, tag="listed"):
    """The lobby servers, as the leader's list has them."""

    servers: tuple[Server, ...]


class Load(msgspec.Struct, array_like=True, frozen=True, tag="load"):
    """An agent's own: calls a second taken, and the servers that it can't use."""

    name: str
    life: int
    calls: float
    unreached: tuple[str, ...]


class Done(msgspec.Struct, array_like=True, frozen=True, tag="done"):
    """An agent's word for a step: it holds nothing (of its own, or at the server) any more."""

    agent: str
    life: int
    machine: str
    step: int


class Tick(msgspec.Struct, array_like=True, frozen=True, tag="tick"):
    """So much time has passed at the leader of this term since its last tick."""

    term: int
    elapsed_ms: float


Word = Limits | Request | Ready | Hold | Cancel | Force | Seen | Listed | Load | Done | Tick
