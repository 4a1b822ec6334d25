"""Restores the state of the agent from its records. Pure functions of the records and the time.

- An attempt that was pending counts as reset now: its release guard starts now, and its server is sent
  a release of the call.
- An established call stays established at its server. One older than any call can be is dropped.
- A call that ended shortly before the last record is released at its server again, since the first release
  may not have been sent.
- If the clock has been set back, all recorded times are shifted back with it, so that no time counts as
  passed since the last record.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass, field

from frostport import interface as api
from frostport.core.calls import EndedCall, RecordedAnswer
from frostport.interface import Lifecycle, Outcome
from frostport.state import records
from frostport.state.records import KEY_SEPARATOR, Over, Standing

ENDED_CALL_RETENTION_MS = 60_000.0  # as long as the broker keeps the ids of ended calls
RELEASE_REPEAT_WINDOW_MS = 2_000.0  # calls that ended this shortly before the last record are released again
PENDING_END_RETENTION_MS = 60_000.0  # as long as the fronts keep ends that they have to send to clients
PENDING_RELEASE_RETENTION_MS = 24 * 3600_000.0  # then the server is assumed never to come back
MAX_CALL_AGE_MS = 24 * 3600_000.0  # no call lasts longer: the end of an older one was missed


def ended_call(over: Over) -> EndedCall:
    """What the broker remembers of a call that is over: it may have run if the record names a server."""
    return EndedCall(over.at, over.not_before, bool(over.server))


def recorded_answer(record: Standing | Over) -> RecordedAnswer | None:
    """Returns the answer for a client that repeats its set-up; None if the record keeps none."""
    if isinstance(record, Standing):
        body = record.answer
        at = record.at
    elif record.answered_at:
        body = record.body
        at = record.answered_at
    else:
        return None
    return RecordedAnswer(
        record.service, record.client, record.print, body.decode() if record.text else body, at
    )


@dataclass(slots=True)
class Restored:
    """The restored state. Times are corrected for a clock that was set back."""

    established: dict[str, Standing] = field(default_factory=dict)
    over: dict[str, Over] = field(default_factory=dict)  # including attempts that were pending
    unanswered: set[str] = field(default_factory=set)  # those: their clients may send the set-ups again
    # Ends that clients have to be notified of. By call: client, outcome, since.
    pending_ends: dict[str, tuple[str, Outcome, float]] = field(default_factory=dict)
    releases: dict[tuple[str, str], None] = field(default_factory=dict)  # pending: (server, call)
    # By address: server, dial address, since when it takes no new calls (None: it does).
    servers: dict[str, tuple[api.Server, str, float | None]] = field(default_factory=dict)
    # By team and service: tokens, at.
    budgets: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    peers: dict[str, tuple[int | None, float]] = field(default_factory=dict)  # by host: state id, started_ms
    state_id: int | None = None  # this node's own Origin-State-Id
    expired_keys: list[str] = field(default_factory=list)  # keys of outdated records, to be deleted
    clock_set_back_ms: float = 0.0  # how far the clock was set back since the last record

    def recorded_answer(self, call: str) -> RecordedAnswer | None:
        """Returns the answer of an ended call if its client may not have received it."""
        return recorded_answer(self.over[call]) if call in self.over else None

    def ended_call(self, call: str) -> EndedCall:
        """What the broker remembers of a call that is over."""
        ended = ended_call(self.over[call])
        return dataclasses.replace(ended, may_have_run=ended.may_have_run and call not in self.unanswered)


def latest_time(decoded: Mapping[str, records.Record]) -> float:
    """Returns the time of the latest record, 0.0 if there are none."""
    return max((record.at for record in decoded.values()), default=0.0)


def restore(values: Mapping[str, bytes], now_ms: float, guard_ms: float) -> Restored:
    """Restores the state at the time `now_ms` from all records; `guard_ms` is how long a release guard lasts.

    Raises BadRecordError if one can't be decoded: it may be that of an answered call."""
    decoded = {key: records.decode(key, value)[2] for key, value in values.items()}
    last_at = latest_time(decoded)
    restored = Restored(clock_set_back_ms=max(0.0, last_at - now_ms))
    shift = -restored.clock_set_back_ms
    for key, record in decoded.items():
        name = records.split_key(key)[1]
        at = record.at + shift
        if not apply_record(restored, name, record, at, last_at + shift, now_ms, guard_ms, shift):
            restored.expired_keys.append(key)
    return restored


def apply_record(
    restored: Restored,
    name: str,
    record: records.Record,
    at: float,
    last_at: float,
    now_ms: float,
    guard_ms: float,
    shift: float,
) -> bool:
    """Adds one record to `restored`, or returns False if it is outdated.

    `at`, its time, and `last_at`, that of the last record, are corrected by `shift`."""
    match record:
        case records.Open():
            restored.over[name] = Over(
                "gone", record.server, at, now_ms + guard_ms, record.client, record.identity, -1, 0.0, b""
            )
            restored.releases[record.server, name] = None
            restored.unanswered.add(name)
        case Standing():
            if now_ms - at > MAX_CALL_AGE_MS:
                return False
            record.at = at
            restored.established[name] = record
        case Over():
            if record.server and last_at - at <= RELEASE_REPEAT_WINDOW_MS:
                restored.releases[record.server, name] = None
            if now_ms - at > ENDED_CALL_RETENTION_MS:
                return False
            record.at = at
            record.not_before = record.not_before + shift
            record.answered_at += shift if record.answered_at else 0.0
            restored.over[name] = record
        case records.Owed():
            if now_ms - at > PENDING_END_RETENTION_MS:
                return False
            restored.pending_ends[name] = (record.client, Outcome(record.outcome), at)
        case records.Release():
            if now_ms - at > PENDING_RELEASE_RETENTION_MS:
                return False
            server, _, call = name.partition(KEY_SEPARATOR)
            restored.releases[server, call] = None
        case records.Listed():
            stop_at = None if record.stop_at is None else record.stop_at + shift
            restored.servers[name] = (
                api.Server(
                    name,
                    record.number,
                    Lifecycle(record.state),
                    record.zone,
                    record.started_ms + shift if record.started_ms else 0.0,
                    record.nominal,
                    record.kind,
                ),
                record.dial,
                stop_at,
            )
        case records.Bucket():
            team, _, service = name.partition(KEY_SEPARATOR)
            restored.budgets[team, service] = (record.tokens, at)
        case records.Bus():
            return False  # it counts the events of an earlier start
        case records.PeerState():
            restored.peers[name] = (
                None if record.state_id < 0 else record.state_id,
                record.started_ms + shift if record.started_ms else 0.0,
            )
        case records.Node():
            restored.state_id = record.state_id
    return True
