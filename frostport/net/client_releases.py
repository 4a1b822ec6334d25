"""The releases of ended calls towards clients, each kept until the call's client confirms it.

A call belongs to the client that set it up, known by its address, and to no connection (protocol page, "No
connection owns a standing call"). Several clients may share an address; one that does not know a call ignores
its release, or confirms it as it confirms every release. Therefore only a confirmation on the connection that
carried the call's answer proves that the call's client has been told.
"""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol, TypeVar

from frostport.core.broker import Broker
from frostport.core.calls import RecordedAnswer, held_until
from frostport.core.deadlines import Deadline
from frostport.core.handles import HandleTable
from frostport.interface import Outcome
from frostport.net import jsonl
from frostport.net.jsonl import Message

if TYPE_CHECKING:
    from frostport.net.client_connection import ClientConnection

log = logging.getLogger("frostport.releases")

RETRY_WINDOW_MS = 8000.0  # from the end of the call: how long an unconfirmed release is sent again
RETRY_MS = 250.0  # first wait for the confirmation of a release; the waits double
UNSENT_KEEP_MS = 60_000.0  # how long a release is kept for a client that is not connected
MAX_SENDS_AT_A_TIME = 128  # connections of the client's address on which a release is sent at a time
CAUSE_BY_OUTCOME = {Outcome.OK: jsonl.NORMAL, Outcome.CANCELLED: jsonl.NORMAL}


@dataclass(slots=True)
class PendingRelease:
    """The release of a call, to be sent until its client confirms it."""

    cause: int
    since_ms: float  # when the call ended, or its release was no longer held back
    client: str  # the address that the call was set up from; "" if it is not known
    connection_id: int = -1  # the handle of the connection that carried the call's answer; -1: not known
    sent_at_ms: float = 0.0
    sends: dict[int, int] = field(default_factory=dict)  # unconfirmed, by handle of the connection: how often
    confirmed_on: set[int] = field(default_factory=set)  # handles of connections that have confirmed it
    client_confirmed: bool = False  # one of these was a connection from the client's address
    client_only: bool = False  # no longer sent on connections from other addresses
    # The recorded answer to the set-up, if the client may have missed it.
    answer: RecordedAnswer | None = None
    # Not sent before this time; a repeated set-up meanwhile gets the answer, then the release.
    hold_until_ms: float = 0.0

    def is_for(self, host: str) -> bool:
        """Whether the client may be behind this address: it is the client's, or that is not known."""
        return self.client in ("", host)


class ReleaseCarrier(Protocol):
    """What the choice of connections depends on."""

    handle: int
    host: str  # the address of the other side
    trusted: bool  # a regular client's
    last_received_at: float  # when its last line arrived, ms


Carrier = TypeVar("Carrier", bound=ReleaseCarrier)


def choose_connections(release: PendingRelease, usable: Iterable[Carrier]) -> list[Carrier]:
    """The connections to send a release on now, out of the usable ones.

    First all from the client's address that have not carried it, as several clients may share the address;
    then, one at a time, connections from other addresses, as a client may have moved; then the same again.
    Of equals, connections of regular clients come first, then those with the latest data. One that has
    confirmed the release is left out. Once one from the client's address has, only untried ones from there
    are chosen."""

    def merit(connection: Carrier) -> tuple[bool, float]:
        return connection.trusted, connection.last_received_at

    candidates = [
        conn
        for conn in usable
        if conn.handle not in release.confirmed_on and (not release.client_only or release.is_for(conn.host))
    ]
    untried = [conn for conn in candidates if conn.handle not in release.sends]
    own = [conn for conn in untried if release.is_for(conn.host)]
    if own:
        return heapq.nlargest(MAX_SENDS_AT_A_TIME, own, key=merit)
    if release.client_confirmed:
        return []
    if untried:
        return [max(untried, key=merit)]
    fewest = min((release.sends[conn.handle] for conn in candidates), default=0)
    least_tried = [conn for conn in candidates if release.sends[conn.handle] == fewest]
    again = max(least_tried, key=lambda conn: (release.is_for(conn.host), *merit(conn)), default=None)
    return [] if again is None else [again]


class ClientReleases:
    """Owns each release from the end of its call until it is confirmed, no longer needed or too old.

    It is sent as soon as a connection can carry it, and again at doubling intervals for RETRY_WINDOW_MS. A
    confirmation on the call's own connection settles it. One on another connection of the client's address
    may be a neighbour's: later connections from there are still told within RETRY_WINDOW_MS. A release that
    no connection of its client's address has carried is kept for UNSENT_KEEP_MS, whoever else has confirmed
    it, and sent when the client is back."""

    def __init__(self, broker: Broker, connections: HandleTable[ClientConnection]) -> None:
        self.broker = broker
        self.connections = connections
        self.pending: dict[str, PendingRelease] = {}
        self.failed_ids: dict[str, float] = {}  # ended without their answer sent; id -> when, ms
        self.longest_deadline_ms = max(
            (call_class.deadline_ms for call_class in broker.rules.settings.classes), default=0.0
        )
        self._retry_timer: Deadline | None = None

    def add(
        self,
        call: str,
        client: str,
        outcome: Outcome,
        connection_id: int,
        missed_answer: RecordedAnswer | None = None,
        restarted: bool = False,
    ) -> None:
        """Sends the release of a call that has ended, on its own connection if that is open.

        `connection_id` is the handle of that connection, -1 if it is not known. `missed_answer`: the recorded
        answer, if the client may not have received it. `restarted`: the process was restarted since that
        answer, so the release is held back (see `_hold`)."""
        now = self.broker.clock.now()
        earlier = self.pending.get(call)
        if earlier is not None:
            self._withdraw(call, earlier)
        release = PendingRelease(CAUSE_BY_OUTCOME.get(outcome, jsonl.BROKEN), now, client, connection_id)
        self.pending[call] = release
        connection = self.connections.get(connection_id)
        if missed_answer is not None:
            self._hold(release, missed_answer, now, restarted)
        if not release.hold_until_ms:
            if connection is not None and connection.can_carry_release():
                self.send_on(call, connection)
            else:
                self._send(call)
                self._log_detour(call, release)
        self._schedule_retry()

    def resume(
        self,
        releases: Mapping[str, tuple[str, Outcome, float]],
        recorded_answer_of: Callable[[str], RecordedAnswer | None],
    ) -> None:
        """Takes over releases from before a restart or handover: call -> (client, outcome, since ms).

        Each is sent at the next retry, or held back if its answer may have been missed. `recorded_answer_of`
        returns the recorded answer of a call."""
        now = self.broker.clock.now()
        for call, (client, outcome, since_ms) in releases.items():
            if call in self.pending:
                continue  # already pending here
            release = PendingRelease(CAUSE_BY_OUTCOME.get(outcome, jsonl.BROKEN), since_ms, client)
            self.pending[call] = release
            if (answer := recorded_answer_of(call)) is not None:
                self._hold(release, answer, now, True)
        self._schedule_retry()

    def _hold(
        self, release: PendingRelease, missed_answer: RecordedAnswer, now: float, restarted: bool
    ) -> None:
        """Delays a release whose client may have missed the answer, so that it doesn't get the release first.

        Without a restart since the answer, the release is sent at once and is the final answer."""
        release.answer = missed_answer
        until = held_until(missed_answer.recorded_at_ms, now, self.longest_deadline_ms)
        if restarted and until > now:
            release.hold_until_ms = until

    def confirm(self, call: str, connection: ClientConnection) -> bool:
        """Handles the confirmation of a release; False if none that this connection has carried is pending.

        It settles the release on the call's own connection alone; see the class."""
        release = self.pending.get(call)
        if release is None or connection.handle not in release.sends:
            return False
        if connection.handle == release.connection_id:
            self.settle(call, connection)
            return True
        del release.sends[connection.handle]
        release.confirmed_on.add(connection.handle)
        if release.is_for(connection.host):
            release.client_confirmed = True
            release.client_only = True
        else:
            log.info(
                "call %s: release confirmed from %s, kept for its client %s",
                call,
                connection.host,
                release.client,
            )
        self._stop_awaiting(call, connection)
        return True

    def settle(self, call: str, by: ClientConnection | None = None) -> None:
        """Ends a release that is confirmed, no longer needed or too old; does nothing if none is pending.

        `by`: the connection on which the confirmation came; the others close if they are idle in a drain."""
        release = self.pending.pop(call, None)
        if release is None:
            return
        if release.answer is not None:
            self._remember_failed(call)
        for connection in self._withdraw(call, release):
            if connection is not by:
                connection.close_if_idle()
        self.broker.recorder.clear_pending_end(call)

    def _remember_failed(self, call: str) -> None:
        now = self.broker.clock.now()
        self.failed_ids[call] = now
        while next(iter(self.failed_ids.values())) < now - UNSENT_KEEP_MS:
            del self.failed_ids[next(iter(self.failed_ids))]

    def _withdraw(self, call: str, release: PendingRelease) -> list[ClientConnection]:
        """Stops waiting for the confirmation on the connections that carried it, and returns these."""
        carriers = self._carriers(release)
        release.sends.clear()
        for connection in carriers:
            self._stop_awaiting(call, connection)
        return carriers

    def _stop_awaiting(self, call: str, connection: ClientConnection) -> None:
        connection.unconfirmed_releases.discard(call)
        connection.update_in_use()

    def _carriers(self, release: PendingRelease) -> list[ClientConnection]:
        """The open connections that have carried a release and not confirmed it."""
        return [conn for handle in release.sends if (conn := self.connections.get(handle)) is not None]

    # Connections

    def connection_available(self, connection: ClientConnection) -> None:
        """A connection can carry releases from now on: sends those of its client, and those not sent yet."""
        if not connection.can_carry_release():
            return
        for call, release in list(self.pending.items()):
            unsent = not release.sends and not release.confirmed_on and not release.client_only
            if (
                not release.hold_until_ms
                and connection.handle not in release.sends
                and connection.handle not in release.confirmed_on
                and (unsent or release.is_for(connection.host))
            ):
                self.send_on(call, connection)

    def connection_lost(self, connection: ClientConnection) -> None:
        """Sends what was not confirmed on a closed connection on others."""
        unconfirmed = [call for call in connection.unconfirmed_releases if call in self.pending]
        connection.unconfirmed_releases.clear()
        for call in unconfirmed:
            self.pending[call].sends.pop(connection.handle, None)
        for call in unconfirmed:
            if not self.pending[call].sends:
                self._send(call)

    # Sending

    def send_on(self, call: str, connection: ClientConnection) -> None:
        """Sends a release on this connection."""
        release = self.pending[call]
        release.sent_at_ms = self.broker.clock.now()
        if connection.send_message(Message("FINISH", call, rc=release.cause)):
            release.sends[connection.handle] = release.sends.get(connection.handle, 0) + 1
            connection.unconfirmed_releases.add(call)
            connection.update_in_use()

    def _send(self, call: str) -> None:
        """Sends a release on the connections that `choose_connections` names, if any."""
        release = self.pending[call]
        release.sent_at_ms = self.broker.clock.now()
        usable = [conn for conn in self.connections if conn.can_carry_release()]
        for connection in choose_connections(release, usable):
            self.send_on(call, connection)

    def _log_detour(self, call: str, release: PendingRelease) -> None:
        carriers = self._carriers(release)
        own = sum(release.is_for(conn.host) for conn in carriers)
        log.info(
            "call %s over, its connection closed: released to %s on %d connections, on %d of other addresses",
            call,
            release.client or "an unknown client",
            own,
            len(carriers) - own,
        )

    def _schedule_retry(self) -> None:
        if self._retry_timer is None and self.pending:
            due_at = self.broker.clock.now() + RETRY_MS
            self._retry_timer = self.broker.deadlines.set(due_at, self._retry)

    def _retry(self) -> None:
        """Ends holds, drops releases that are too old, and sends those again that are due."""
        self._retry_timer = None
        now = self.broker.clock.now()
        for call, release in list(self.pending.items()):
            if release.hold_until_ms > now:
                continue
            if release.hold_until_ms:
                release.hold_until_ms = 0.0
                release.since_ms = now
            self._expire(call, release, now - release.since_ms)
            if call in self.pending and now - release.sent_at_ms >= max(
                RETRY_MS, release.sent_at_ms - release.since_ms
            ):
                self._send(call)
        self._schedule_retry()

    def _expire(self, call: str, release: PendingRelease, age_ms: float) -> None:
        """Ends a release that is too old; one that its client has not been sent waits for that alone."""
        if age_ms < RETRY_WINDOW_MS:
            return
        if release.client_confirmed:
            self.settle(call)
            return
        reached_client = self._reached_client(release)
        if reached_client or age_ms >= UNSENT_KEEP_MS:
            log.warning(
                "call %s: its release was not confirmed in %.0f ms, client %s %s, %d others confirmed it",
                call,
                age_ms,
                release.client or "unknown",
                "connected" if reached_client else "not connected",
                len(release.confirmed_on),
            )
            self.broker.metrics.release_unconfirmed()
            self.settle(call)
        elif release.sends:
            release.client_only = True
            for connection in self._withdraw(call, release):
                connection.close_if_idle()

    def _reached_client(self, release: PendingRelease) -> bool:
        """Whether an open connection that may be the client's has carried the release."""
        return any(release.is_for(conn.host) for conn in self._carriers(release))
