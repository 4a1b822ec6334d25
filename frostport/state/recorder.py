"""Turns what the core tells into records, and holds each effect back until its record counts as written.

One key a call: the record of an attempt gives way to that of the call that stands, and this to that of the
call
that is over, so that no crash can leave two of them.
"""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from frostport import interface as api
from frostport.core.calls import Attempt, Body, RecordedAnswer, Request
from frostport.core.clock import Clock
from frostport.core.recorder import Continuation, Recorder
from frostport.interface import Outcome
from frostport.state import records
from frostport.state.records import BETWEEN, BUDGET, CALL, OWED, PEER, RELEASE, SERVER, Record

log = logging.getLogger("frostport.state")

Change = tuple[str, bytes | None]


class Trouble(Enum):
    """What an operator wants of new calls while the store can't be trusted."""

    REFUSE = "refuse"
    SERVE = "serve"


class Sink(Protocol):
    """Where the records go."""

    def write(self, changes: Sequence[Change], then: Continuation | None = None) -> None: ...


class Other(Protocol):
    """Another process on the same store, which hands it over."""

    def look(self) -> None: ...

    def elsewhere(self, call: str) -> bool: ...

    def defers(self, call: str, server: str, then: Continuation) -> bool: ...


def as_bytes(body: Body) -> bytes:
    return body if isinstance(body, bytes) else body.encode()


class StoreRecorder(Recorder):
    """Owns no table: what it writes is taken back by whoever told it."""

    def __init__(self, sink: Sink, clock: Clock, trouble: Trouble = Trouble.REFUSE) -> None:
        self.sink, self.clock, self.trouble = sink, clock, trouble
        self.handover: Other | None = None  # while an old process writes its store beside ours
        self._forgotten: list[str] = []  # meanwhile
        self.trusted = True  # the store answers
        self.room: Callable[[], bool] = lambda: True  # and is not nearly full

    def refresh(self) -> None:
        if self.handover is not None:
            self.handover.look()

    def pending_elsewhere(self, call: str) -> bool:
        return self.handover is not None and self.handover.elsewhere(call)

    def defers(self, call: str, server: str, then: Continuation) -> bool:
        return self.handover is not None and self.handover.defers(call, server, then)

    def taken_over(self) -> None:
        """The handover is done: what was forgotten meanwhile goes now."""
        self.handover = None
        for call in self._forgotten:
            self._drop(CALL + call)
        self._forgotten.clear()

    def accepts_calls(self) -> bool:
        return self.trouble is Trouble.SERVE or (self.trusted and self.room())

    def barrier(self, then: Continuation) -> None:
        self.sink.write((), then)

    def _put(self, key: str, record: Record, then: Continuation | None = None) -> None:
        self.sink.write(((key, records.encode(record)),), then)

    def _drop(self, key: str) -> None:
        self.sink.write(((key, None),))

    # Calls

    def _open(self, request: Request, server: str) -> records.Open:
        return records.Open(
            server,
            self.clock.now(),
            request.not_before,
            request.attempts,
            request.call_class,
            request.team,
            request.client,
            request.end_to_end_id,
        )

    def _over(self, request: Request, server: str, owed: bool = False) -> records.Over:
        """With the answer where a duplicate may still ask for it: a client that is owed the end, say."""
        given = request.recorded_answer
        if given is None or (isinstance(given.answer, str) and not owed):
            return records.Over(
                request.answer,
                server,
                self.clock.now(),
                request.not_before,
                request.client,
                request.end_to_end_id,
                request.ended_by,
                request.stay_away_ms,
                b"",
            )
        return records.Over(
            request.answer,
            server,
            self.clock.now(),
            request.not_before,
            request.client,
            request.end_to_end_id,
            request.ended_by,
            request.stay_away_ms,
            as_bytes(given.answer),
            isinstance(given.answer, str),
            given.service,
            given.description_crc32,
            given.recorded_at_ms,
        )

    def record_attempt(self, attempt: Attempt, then: Continuation) -> None:
        self._put(CALL + attempt.request.id, self._open(attempt.request, attempt.server), then)

    def record_release_guard(self, request: Request, server: str) -> None:
        record = self._over(request, server) if request.answer else self._open(request, server)
        self._put(CALL + request.id, record)

    def record_established(self, request: Request, attempt: Attempt, body: Body, then: Continuation) -> None:
        given = request.recorded_answer = RecordedAnswer(
            request.call_class,
            request.client,
            zlib.crc32(as_bytes(request.description)),
            body,
            self.clock.now(),
        )
        self._put(
            CALL + request.id,
            records.Standing(
                attempt.server,
                given.recorded_at_ms,
                given.service,
                request.team,
                given.client,
                request.end_to_end_id,
                given.description_crc32,
                isinstance(body, str),
                as_bytes(body),
            ),
            then,
        )

    def record_answered(self, request: Request, server: str, then: Continuation) -> None:
        self._put(CALL + request.id, self._over(request, server), then)

    def record_end(self, request: Request, server: str, outcome: Outcome | None, then: Continuation) -> None:
        record = self._over(request, server, owed=outcome is not None)
        changes: list[Change] = [(CALL + request.id, records.encode(record))]
        if outcome is not None:
            # In one batch: a call whose end is on record and owed to nobody would never be told.
            changes.append((OWED + request.id, self._owed(request.client, outcome)))
        self.sink.write(changes, then)

    def _owed(self, client: str, outcome: Outcome) -> bytes:
        return records.encode(records.Owed(client, outcome.value, self.clock.now()))

    def record_owed_end(self, call: str, client: str, outcome: Outcome, then: Continuation) -> None:
        self.sink.write(((OWED + call, self._owed(client, outcome)),), then)

    def clear_owed_end(self, call: str) -> None:
        self._drop(OWED + call)

    def record_owed_release(self, server: str, call: str) -> None:
        self._put(f"{RELEASE}{server}{BETWEEN}{call}", records.Release(self.clock.now()))

    def clear_owed_release(self, server: str, call: str) -> None:
        self._drop(f"{RELEASE}{server}{BETWEEN}{call}")

    def forget_call(self, call: str) -> None:
        if self.handover is not None:
            # Guards against a call that stands in the old process's store, and is over by this record alone.
            self._forgotten.append(call)
        else:
            self._drop(CALL + call)

    # All else

    def record_budget(self, team: str, service: str, tokens: float, at: float) -> None:
        self._put(f"{BUDGET}{team}{BETWEEN}{service}", records.Bucket(tokens, at))

    def clear_budget(self, team: str, service: str) -> None:
        self._drop(f"{BUDGET}{team}{BETWEEN}{service}")

    def record_server(self, server: api.Server, dial: str, stop_at: float | None) -> None:
        self._put(
            SERVER + server.address,
            records.Listed(
                server.number,
                server.state.value,
                server.zone,
                server.started_ms,
                server.nominal,
                server.kind,
                dial,
                stop_at,
                self.clock.now(),
            ),
        )

    def forget_server(self, address: str) -> None:
        self._drop(SERVER + address)

    def record_bus_position(self, offset: int, version: int) -> None:
        self._put(records.BUS, records.Bus(offset, version, self.clock.now()))

    def record_peer(self, host: str, state_id: int | None, started_ms: float) -> None:
        self._put(
            PEER + host, records.PeerState(-1 if state_id is None else state_id, started_ms, self.clock.now())
        )

    def node(self, state_id: int) -> None:
        self._put(records.NODE, records.Node(state_id, self.clock.now()))
