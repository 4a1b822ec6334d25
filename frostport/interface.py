"""Settings, events and actions of the decision module: plain records, no behaviour.

Times are milliseconds on the caller's clock; rates are per second. Optional
settings that a deployment does not state keep the neutral values given here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ListKind(Enum):
    """What a server list event carries."""

    CHANGES = "changes"
    COMPLETE = "complete"
    PERSISTED = "persisted"
    ERROR = "error"


class Lifecycle(Enum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


# Outcomes that prove that a set-up never ran: it may be sent again, and refused, whatever its class.
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class Effect(Enum):
    """Whether a set-up that may have run may be repeated."""

    PURE = "pure"
    TOKEN = "token"  # by the servers that discard repeats, for a while
    SIDE_EFFECT = "side_effect"  # never


# What an attempt's note says of a FULL outcome, and of an ERROR where all lines of the number are busy.
NOTE_NO_LINE = 1
NOTE_RETURNED = 2
NOTE_PROCESSOR_FULL = 3
NOTE_NUMBER_BUSY = 4


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of call; `pools` is None where any server may take it."""

    name: str
    aim_ms: float
    deadline_ms: float
    gain: float = 1.0
    late_worth: float = 0.0
    pools: tuple[int, ...] | None = None
    holding_ms: float = 0.0
    effect: Effect = Effect.PURE
    key_scope: str = "all"  # for `TOKEN`, who discards repeats: `all` servers, those of one `zone` or `cell`
    window_ms: float = 0.0  # and for how long after the first attempt that may have run


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the set-ups a second, over all proxies, within its share."""

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a deployment hands over at start."""

    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    me: int = 0
    siblings: int = 1
    home_number: int = -1
    step_ms: float = 0.0
    retransmit_ms: float = 0.0
    release_guard_ms: float = 0.0
    gives_wait: bool = False
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0
    over_share_worth: float = 1.0
    try_limit: int = 1
    may_cancel: bool = False
    peers: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    late_fail_price: float = 0.0
    subscribe: bool = False
    report_columns: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list; `started_ms` is 0 where it started long ago."""

    address: str
    number: int
    state: Lifecycle
    zone: str = ""
    started_ms: float = 0.0
    nominal: float = 1.0
    kind: str = ""


# Events


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The server list, or changes to it, as discovery reports it to this proxy."""

    kind: ListKind
    version: int
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call that this proxy now owes one final answer or a set-up that stands."""

    call: str
    call_class: str
    tenant: str
    budget_ms: float
    first_choice: int
    number_called: int = 0
    redial: bool = False
    in_transit: bool = False
    cut_before: bool = False


@dataclass(frozen=True, slots=True)
class CallStands:
    """An attempt was answered: the call stands."""

    call: str
    attempt: int
    server: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; `closed` when the call needs no further answer."""

    call: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed_ms: float
    closed: bool
    note: int = 0
    wait_ms: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CallGone:
    """The caller left, or the answer is overdue: nothing is owed any more."""

    call: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for earlier has come due."""

    name: str


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A probe's answer, or (`elapsed_ms` 0) the free lines told unasked."""

    server: str
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class SiblingsUp:
    """How many proxies serve now, with this one, where that is known; else the settings' number counts."""

    count: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another proxy."""

    sender: int
    data: bytes


Event = (
    ListUpdate
    | CallArrived
    | CallStands
    | AttemptEnded
    | CallGone
    | TimerFired
    | ServerReport
    | PeerMessage
    | SiblingsUp
)


# Actions


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start a set-up at a server; `within_ms` 0 lets it run until the caller gives up."""

    call: str
    server: str
    within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final answer: refused, with the time the caller should stay away (0: no advice)."""

    call: str
    stay_away_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailCall:
    """Final answer: the call failed."""

    call: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event."""

    name: str
    after_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its report."""

    server: str


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send bytes to one other proxy, by its index."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the operators' log."""

    text: str


Action = (
    SendAttempt | CancelAttempt | RefuseCall | FailCall | SetTimer | Probe | TellPeer | Subscribe | WriteLog
)
