"""The recorder with a store: turns the changes reported by the core into records.

The effect of a change runs once its record counts as written (see core/recorder.py). A call has one key: the
record of its attempt is overwritten by that of the established call, and this by that of the ended call, so
that no crash can leave two records of a call.
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
from frostport.state.records import BUDGET, CALL, KEY_SEPARATOR, OWED, PEER, RELEASE, SERVER, Record

log = logging.getLogger("frostport.state")

Change = tuple[str, bytes | None]


class OnFailure(Enum):
    """What happens to new calls while the store can't record them; set by the operator."""

    REFUSE = "refuse"
    SERVE = "serve"


class Sink(Protocol):
    """Writes the records; implemented by the committer of the store."""

    def write(self, changes: Sequence[Change], then: Continuation | None = None) -> None:
        """Writes `changes` as one batch, then runs `then`, in the order of the calls."""


class Predecessor(Protocol):
    """The process that still writes to the same store and hands it over; implemented by handover.py.

    `pending_elsewhere` and `defers` do what `Recorder` says of the methods of these names."""

    def poll(self) -> None:
        """Applies what the predecessor has written since the last call."""

    def pending_elsewhere(self, call: str) -> bool: ...

    def defers(self, call: str, server: str, then: Continuation) -> bool: ...


def as_bytes(body: Body) -> bytes:
    """Returns a body as it is stored: text is encoded as UTF-8."""
    return body if isinstance(body, bytes) else body.encode()


class StoreRecorder(Recorder):
    """Writes a record for each change, and deletes it once the core clears or forgets it.

    The base class says when the core calls each method, and what `then` does."""

    def __init__(self, sink: Sink, clock: Clock, on_failure: OnFailure = OnFailure.REFUSE) -> None:
        self.sink = sink
        self.clock = clock
        self.on_failure = on_failure
        self.handover: Predecessor | None = None  # set while a predecessor still writes to the store
        self._deferred_deletions: list[str] = []  # ids of calls forgotten during the handover
        self.store_open = True  # whether the store works and answers in time
        self.has_room: Callable[[], bool] = lambda: True  # whether the store is not nearly full

    def refresh(self) -> None:
        if self.handover is not None:
            self.handover.poll()

    def pending_elsewhere(self, call: str) -> bool:
        return self.handover is not None and self.handover.pending_elsewhere(call)

    def defers(self, call: str, server: str, then: Continuation) -> bool:
        return self.handover is not None and self.handover.defers(call, server, then)

    def handover_done(self) -> None:
        """Called when the handover is done: deletes the records of calls that were forgotten meanwhile."""
        self.handover = None
        for call in self._deferred_deletions:
            self._drop(CALL + call)
        self._deferred_deletions.clear()

    def accepts_calls(self) -> bool:
        return self.on_failure is OnFailure.SERVE or (self.store_open and self.has_room())

    def barrier(self, then: Continuation) -> None:
        self.sink.write((), then)

    def _put(self, key: str, record: Record, then: Continuation | None = None) -> None:
        self.sink.write(((key, records.encode(record)),), then)

    def _drop(self, key: str) -> None:
        self.sink.write(((key, None),))

    # Calls

    def _open_record(self, request: Request, server: str) -> records.Open:
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

    def _over_record(self, request: Request, server: str, end_pending: bool = False) -> records.Over:
        """Builds the record of a call that is over.

        It keeps the answer if a repeated request may still need it, e.g. until the client is sent the end."""
        recorded = request.recorded_answer
        if recorded is None or (isinstance(recorded.answer, str) and not end_pending):
            return records.Over(
                request.answer,
                server,
                self.clock.now(),
                request.not_before,
                request.client,
                request.end_to_end_id,
                request.ended_by,
                request.retry_after_ms,
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
            request.retry_after_ms,
            as_bytes(recorded.answer),
            isinstance(recorded.answer, str),
            recorded.service,
            recorded.description_crc32,
            recorded.recorded_at_ms,
        )

    def record_attempt(self, attempt: Attempt, then: Continuation) -> None:
        self._put(CALL + attempt.request.id, self._open_record(attempt.request, attempt.server), then)

    def record_release_guard(self, request: Request, server: str) -> None:
        record = self._over_record(request, server) if request.answer else self._open_record(request, server)
        self._put(CALL + request.id, record)

    def record_established(self, request: Request, attempt: Attempt, body: Body, then: Continuation) -> None:
        recorded = request.recorded_answer = RecordedAnswer(
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
                recorded.recorded_at_ms,
                recorded.service,
                request.team,
                recorded.client,
                request.end_to_end_id,
                recorded.description_crc32,
                isinstance(body, str),
                as_bytes(body),
            ),
            then,
        )

    def record_answered(self, request: Request, server: str, then: Continuation) -> None:
        self._put(CALL + request.id, self._over_record(request, server), then)

    def record_end(self, request: Request, server: str, outcome: Outcome | None, then: Continuation) -> None:
        record = self._over_record(request, server, end_pending=outcome is not None)
        changes: list[Change] = [(CALL + request.id, records.encode(record))]
        if outcome is not None:
            # In one batch: a crash between the two records would lose the notification of the client.
            changes.append((OWED + request.id, self._encode_pending_end(request.client, outcome)))
        self.sink.write(changes, then)

    def _encode_pending_end(self, client: str, outcome: Outcome) -> bytes:
        return records.encode(records.Owed(client, outcome.value, self.clock.now()))

    def record_pending_end(self, call: str, client: str, outcome: Outcome, then: Continuation) -> None:
        self.sink.write(((OWED + call, self._encode_pending_end(client, outcome)),), then)

    def clear_pending_end(self, call: str) -> None:
        self._drop(OWED + call)

    def record_pending_release(self, server: str, call: str) -> None:
        self._put(f"{RELEASE}{server}{KEY_SEPARATOR}{call}", records.Release(self.clock.now()))

    def clear_pending_release(self, server: str, call: str) -> None:
        self._drop(f"{RELEASE}{server}{KEY_SEPARATOR}{call}")

    def forget_call(self, call: str) -> None:
        if self.handover is not None:
            # The predecessor may still have the call recorded as established; then only this record says that
            # it has ended.
            self._deferred_deletions.append(call)
        else:
            self._drop(CALL + call)

    # Budgets, servers and peers

    def record_budget(self, team: str, service: str, tokens: float, at: float) -> None:
        self._put(f"{BUDGET}{team}{KEY_SEPARATOR}{service}", records.Bucket(tokens, at))

    def clear_budget(self, team: str, service: str) -> None:
        self._drop(f"{BUDGET}{team}{KEY_SEPARATOR}{service}")

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

    def record_peer(self, host: str, state_id: int | None, started_ms: float) -> None:
        self._put(
            PEER + host, records.PeerState(-1 if state_id is None else state_id, started_ms, self.clock.now())
        )

    def record_node(self, state_id: int) -> None:
        """Records this node's own Origin-State-Id."""
        self._put(records.NODE, records.Node(state_id, self.clock.now()))
