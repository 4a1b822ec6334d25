"""Settings, events and actions of the decision module: plain records without behaviour.

`Controller.handle` takes an event and returns actions. Times are milliseconds on the caller's clock;
rates are per second. Settings that a deployment does not state keep the neutral defaults given here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ListKind(Enum):
    """What a ListUpdate carries: changes, a complete list, a stored list, or an error."""

    CHANGES = "changes"  # servers that it does not name stay as they are
    COMPLETE = "complete"  # servers that it does not name are removed
    PERSISTED = "persisted"  # as COMPLETE
    ERROR = "error"


class Lifecycle(Enum):
    """A server's state in the list: only READY servers get calls, GONE servers are removed."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt or a probe ended; FULL: the server refused for lack of lines or processor time."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


# Outcomes after which a set-up certainly never ran: whatever its class, it may be sent again or refused.
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class Effect(Enum):
    """What a set-up does at a server, which says whether one that may have run may be repeated."""

    PURE = "pure"  # repeated freely
    TOKEN = "token"  # repeated for a while, to servers that discard repeats
    SIDE_EFFECT = "side_effect"  # never repeated


# Values of `AttemptEnded.note`: the first three say why the outcome was FULL, the last goes with ERROR.
NOTE_NO_LINE = 1
NOTE_RETURNED = 2  # turned away beyond the server
NOTE_PROCESSOR_FULL = 3
NOTE_NUMBER_BUSY = 4  # all lines of the number called are busy


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of call, with its aim (set-up time wanted) and deadline."""

    name: str
    aim_ms: float
    deadline_ms: float
    gain: float = 1.0  # worth of a call set up within its aim
    late_worth: float = 0.0  # share of the gain that a call set up later is worth
    pools: tuple[int, ...] | None = None  # numbers of the servers that may take it; None: any
    holding_ms: float = 0.0  # mean duration of a call; 0: not known
    effect: Effect = Effect.PURE
    key_scope: str = "all"  # for TOKEN, who discards repeats: `all` servers, those of one `zone` or `cell`
    window_ms: float = 0.0  # for TOKEN, for how long after the first attempt that may have run


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, and the set-ups per second, over all proxies, that are within its share."""

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a deployment states at start. The field names follow the keys that settings.py reads."""

    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    me: int = 0  # this proxy's index, from 0 to siblings - 1
    siblings: int = 1  # proxies of the fleet, including this one
    home_number: int = -1  # number of the server that gets no calls from this proxy; -1: none
    step_ms: float = 0.0  # granularity of the caller's clock, added to the release guard
    retransmit_ms: float = 0.0  # when an unanswered set-up message is repeated; 0: not stated
    release_guard_ms: float = 0.0  # wait before a set-up that may still hold a line is sent again
    gives_wait: bool = False  # servers state a wait with FULL
    cold_from: float = 1.0  # share of its capacity that a server has when it starts
    cold_ms: float = 0.0  # how long a started server takes to reach its whole capacity
    fall_multiple: float = 1.0  # a server bears at most this multiple of its capacity within fall_ms
    fall_ms: float = 0.0
    over_share_worth: float = 1.0  # factor on the worth of a tenant's calls past its share
    try_limit: int = 1  # attempts per call
    may_cancel: bool = False  # CancelAttempt is available
    peers: bool = False  # SendToPeer is available
    probes: bool = False  # Probe is available
    retry_after: bool = False  # a refusal says when the caller may try again
    max_retry_after_ms: float = 0.0  # the longest time that a refusal may state
    connect_timeout_ms: float = 0.0
    late_fail_price: float = 0.0
    subscribe: bool = False  # list changes come only after Subscribe
    report_columns: tuple[str, ...] = ()  # names of the values of a report, in order


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    address: str
    number: int
    state: Lifecycle
    zone: str = ""
    started_ms: float = 0.0  # time of its start; 0: long ago
    nominal: float = 1.0  # relative capacity, until a report gives its number of lines
    kind: str = ""


# Events


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The server list, or changes to it, as discovery reports it to this proxy; an ERROR has no servers."""

    kind: ListKind
    version: int
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A new call, for which this proxy must get a set-up or give one final answer."""

    call: str
    call_class: str
    tenant: str
    budget_ms: float  # until the caller's deadline
    first_choice: int  # number of the server to be tried first
    number_called: int = 0  # 0: not known
    redial: bool = False  # the caller has tried before and was not set up
    in_transit: bool = False  # may go to its first choice only
    cut_before: bool = False  # the client set it up before and was cut off


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """An attempt was answered: the call is set up."""

    call: str
    attempt: int  # index among the attempts of the call, from 0
    server: str
    elapsed_ms: float  # since the attempt was sent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended without a set-up."""

    call: str
    attempt: int  # index among the attempts of the call, from 0
    server: str
    outcome: Outcome
    elapsed_ms: float  # since the attempt was sent
    closed: bool  # the call needs no further answer
    note: int = 0  # one of NOTE_*; 0: none
    wait_ms: float = 0.0  # the wait that the server states; 0: none
    report: tuple[float, ...] = ()  # values of Settings.report_columns


@dataclass(frozen=True, slots=True)
class CallGone:
    """The caller gave up, or its deadline has passed: the call needs no answer any more."""

    call: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    name: str


@dataclass(frozen=True, slots=True)
class ServerReport:
    """The answer to a probe, or, with `elapsed_ms` 0, an unsolicited report."""

    server: str
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class SiblingsUp:
    """How many proxies serve now, including this one; `Settings.siblings` counts until this is known."""

    count: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes that another proxy sent with SendToPeer."""

    sender: int  # index of the other proxy
    data: bytes


Event = (
    ListUpdate
    | CallArrived
    | CallEstablished
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
    """Send a set-up to a server, with a time limit; `within_ms` 0 lets it run until the caller gives up."""

    call: str
    server: str
    within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    call: str
    attempt: int  # index among the attempts of the call, from 0


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final answer: refused, with the time after which the caller may try again (0: not stated)."""

    call: str
    retry_after_ms: float = 0.0


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
    """Ask a server for a ServerReport."""

    server: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send bytes to one other proxy, by its index."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for ListUpdates with the changes from now on."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the operators' log."""

    text: str


Action = (
    SendAttempt | CancelAttempt | RefuseCall | FailCall | SetTimer | Probe | SendToPeer | Subscribe | WriteLog
)
