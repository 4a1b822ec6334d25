"""What a restart makes of the records. Decisions only: the records and the time in, what to go on with out.

- An attempt that was out has ended as reset, now: its guard runs from here, and its server is told to
release it.
- A call that stands goes on standing at its server. One that is older than any call can be is dropped.
- What ended shortly before the last record is released at its server once more: the word may not have left.
- A clock that has gone back moves all times back with it, so that the time in between counts as none.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from frostport import interface as api
from frostport.core.calls import RecordedAnswer
from frostport.interface import Lifecycle, Outcome
from frostport.state import records
from frostport.state.records import BETWEEN, Over, Standing

REMEMBER_MS = 60_000.0  # as the broker remembers ended calls
AGAIN_MS = 2_000.0  # releases of calls that ended within this time of the last record are said again
OWED_MS = 60_000.0  # as the fronts keep what they owe
RELEASE_MS = 24 * 3600_000.0  # a release owed to a server that never came back
STANDING_MS = 24 * 3600_000.0  # no call stands longer: what is older was never heard to end


def given(record: Standing | Over) -> RecordedAnswer | None:
    """The answer that a client gets which repeats its set-up."""
    if isinstance(record, Standing):
        body, at = record.answer, record.at
    elif record.answered_at:
        body, at = record.body, record.answered_at
    else:
        return None
    return RecordedAnswer(
        record.service, record.client, record.print, body.decode() if record.text else body, at
    )


@dataclass(slots=True)
class Restored:
    """All that the agent goes on with. Times are as they count now."""

    standing: dict[str, Standing] = field(default_factory=dict)
    over: dict[str, Over] = field(default_factory=dict)  # attempts that were out among them
    owed: dict[str, tuple[str, Outcome, float]] = field(default_factory=dict)  # client, outcome, since
    releases: dict[tuple[str, str], None] = field(default_factory=dict)  # server and call
    servers: dict[str, tuple[api.Server, str, float | None]] = field(default_factory=dict)  # dial, stop at
    budgets: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)  # tokens, when
    peers: dict[str, tuple[int | None, float]] = field(default_factory=dict)  # state id, started
    offset: int = -1
    version: int = 0
    state_id: int | None = None
    dropped: list[str] = field(default_factory=list)  # keys that are of no more use: to be deleted
    set_back_ms: float = 0.0  # how far the clock has gone back since the last record

    def given(self, call: str) -> RecordedAnswer | None:
        """The answer of a call that is over, where its client may not have heard it."""
        return given(self.over[call]) if call in self.over else None


def last_time(found: Mapping[str, records.Record]) -> float:
    return max((record.at for record in found.values()), default=0.0)


def restore(values: Mapping[str, bytes], now_ms: float, guard_ms: float) -> Restored:
    """Raises BadRecordError: what can't be read might be an answered call."""
    decoded = {key: records.decode(key, value)[2] for key, value in values.items()}
    last = last_time(decoded)
    restored = Restored(set_back_ms=max(0.0, last - now_ms))
    shift = -restored.set_back_ms
    for key, record in decoded.items():
        name = records.split(key)[1]
        at = record.at + shift
        if not keep(restored, name, record, at, last + shift, now_ms, guard_ms, shift):
            restored.dropped.append(key)
    return restored


def keep(
    restored: Restored,
    name: str,
    record: records.Record,
    at: float,
    last: float,
    now: float,
    guard_ms: float,
    shift: float,
) -> bool:
    """Takes one record in; False where it is of no more use."""
    match record:
        case records.Open():
            restored.over[name] = Over(
                "gone", record.server, at, now + guard_ms, record.client, record.identity, -1, 0.0, b""
            )
            restored.releases[record.server, name] = None
        case Standing():
            if now - at > STANDING_MS:
                return False
            record.at = at
            restored.standing[name] = record
        case Over():
            if record.server and last - at <= AGAIN_MS:
                restored.releases[record.server, name] = None
            if now - at > REMEMBER_MS:
                return False
            record.at, record.not_before = at, record.not_before + shift
            record.answered_at += shift if record.answered_at else 0.0
            restored.over[name] = record
        case records.Owed():
            if now - at > OWED_MS:
                return False
            restored.owed[name] = (record.client, Outcome(record.outcome), at)
        case records.Release():
            if now - at > RELEASE_MS:
                return False
            server, _, call = name.partition(BETWEEN)
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
            team, _, service = name.partition(BETWEEN)
            restored.budgets[team, service] = (record.tokens, at)
        case records.Bus():
            restored.offset, restored.version = record.offset, record.version
        case records.PeerState():
            restored.peers[name] = (
                None if record.state_id < 0 else record.state_id,
                record.started_ms + shift if record.started_ms else 0.0,
            )
        case records.Node():
            restored.state_id = record.state_id
    return True
