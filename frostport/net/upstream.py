"""One upstream server that speaks JSON lines: its connections, set-ups, releases and reports.

A server sends the end of a call on any of its connections, and repeats on its next connection what was not
confirmed on a lost one.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from frostport.core.calls import Attempt, State
from frostport.core.deadlines import Deadline
from frostport.core.server_liveness import CallsLost, CheckLiveness, ServerLiveness, Suspected
from frostport.interface import (
    NOTE_NO_LINE,
    NOTE_NUMBER_BUSY,
    NOTE_PROCESSOR_FULL,
    NOTE_RETURNED,
    Outcome,
)
from frostport.net import jsonl
from frostport.net.connection_lag import SILENCE_LIMIT_MS, LagDetector
from frostport.net.jsonl import BadLineError, Message
from frostport.net.upstream_connection import RELEASE_CONFIRM_MS, ServerConnection

if TYPE_CHECKING:
    from frostport.net.upstream_pool import UpstreamPool

log = logging.getLogger("frostport.upstream")

MAX_CONNECTIONS = 4  # to one server, a retired one included
NO_DIAL_MS = 5000.0  # pause in dialing further connections after one failed while others were open
CUT_DELAY_MS = 100.0  # from a refused dial to the end of the calls established there
REDIAL_MS = 500.0  # pause after a failed dial; the first dial after a loss is immediate
MAX_REDIAL_MS = 1000.0  # the pause doubles up to this while other connections are open

# The `note` of a refusal -> the note that the decision module gets.
NOTE_BY_NAME = {
    "blocked": NOTE_NO_LINE,
    "bounced": NOTE_RETURNED,
    "swamped": NOTE_PROCESSOR_FULL,
    "occupied": NOTE_NUMBER_BUSY,
    "far_swamped": NOTE_RETURNED,
}
# The outcome of an attempt that ends before its answer, by the cause.
OUTCOME_BY_CAUSE = {
    jsonl.FULL: Outcome.FULL,
    jsonl.BUSY: Outcome.ERROR,
    jsonl.FAULT: Outcome.ERROR,
    jsonl.MOOT: Outcome.NOT_SENT,
    jsonl.BROKEN: Outcome.RESET,
}
# Causes that end an established call; a FINISH with another cause is a late refusal.
END_CAUSES = (jsonl.NORMAL, jsonl.BROKEN)
# Names of the settings' report columns -> names in a report, where they differ.
COLUMN_ALIASES = {
    "free": "x0",
    "size": "x1",
    "can_take": "qps",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "hold_back": "eps",
    "concurrent": "inflight",
}

Connect = Callable[[str, ServerConnection], "defer.Deferred[object]"]


class UpstreamServer:
    """One upstream server: its connections, and the attempts, probes and releases that wait for one."""

    def __init__(self, pool: UpstreamPool, host: str, dial: str) -> None:
        self.pool = pool
        self.host = host
        self.dial = dial
        self.broker = pool.broker
        self.connections: list[ServerConnection] = []
        self.dialing: defer.Deferred[object] | None = None
        self.redial_timer: Deadline | None = None
        self.waiting_attempts: list[Attempt] = []
        self.waiting_probes: list[int] = []
        self.pending_releases: dict[str, int] = {}  # call -> cause; sent on the next connection
        self.lag = LagDetector(self)
        self.no_dial_before = -math.inf
        self.listed = True
        self.liveness = ServerLiveness(pool.clock.now(), checks_old_connections=pool.probes)
        self.sends_greeting = False  # it sends a report first on each new connection
        self.retired: ServerConnection | None = None  # silent, kept to detect that the process still runs
        self.replacing = False  # a connection was lost, and none opened since
        self.redial_pause_ms = REDIAL_MS

    # Connections

    def connect(self) -> None:
        """Dials, unless a dial is in progress or the server has all its connections."""
        if self.dialing is not None or not self.listed or self.open_connections() >= MAX_CONNECTIONS:
            return
        if self.redial_timer is not None:
            self.redial_timer.cancel()
        connection = ServerConnection(self)
        dialing = self.dialing = self.pool.connect(self.dial, connection)
        limit = self.pool.deadlines.set(self.pool.clock.now() + self.pool.connect_timeout_ms, dialing.cancel)

        def settled(result: object) -> object:
            limit.cancel()
            if self.dialing is dialing:
                self.dialing = None
            return result

        dialing.addBoth(settled)
        dialing.addErrback(self.on_dial_failed)

    def open_connections(self) -> int:
        """How many connections count against MAX_CONNECTIONS."""
        return len(self.connections) + (self.retired is not None)

    def schedule_dial(self, wait_ms: float) -> None:
        """Dials after `wait_ms`, unless a dial is in progress or due earlier."""
        if wait_ms <= 0.0:
            self.connect()
        elif self.listed and self.dialing is None and self.open_connections() < MAX_CONNECTIONS:
            due_at = self.pool.clock.now() + wait_ms
            if self.redial_timer is not None:
                if self.redial_timer.action is not None and self.redial_timer.at_ms <= due_at:
                    return
                self.redial_timer.cancel()
            self.redial_timer = self.pool.deadlines.set(due_at, self.connect)

    def request_connection(self) -> float:
        """Dials for a call, a release or a probe; returns how long the dial waits, in ms."""
        wait = self.pool.dialing.on_demand_delay_ms(self.host)
        self.schedule_dial(wait)
        return wait

    def on_dial_failed(self, failure: Failure) -> None:
        """Handles a failed dial. A refusal proves that the process is dead; a timeout proves nothing."""
        refused = isinstance(failure.value, ConnectionRefusedError)
        log.info(
            "%s: connecting failed: %s", self.host, failure.type.__name__ if failure.type else failure.value
        )
        self.broker.metrics.set_avoided(self.host, "connection", True)
        self.pool.dialing.dial_failed(self.host)
        waiting, self.waiting_attempts = self.waiting_attempts, []
        probes, self.waiting_probes = self.waiting_probes, []
        if self.connections:
            # Guards against dialing for each set-up when the server takes no more connections.
            self.no_dial_before = self.pool.clock.now() + NO_DIAL_MS
            if refused and self.pool.probes:
                self.lag.start_test(list(self.connections))
        elif refused:
            # A connection is reset before the server cuts its calls: no client may be notified earlier.
            refused_at = self.pool.clock.now()
            self.pool.deadlines.set(refused_at + CUT_DELAY_MS, lambda: self._process_died(refused_at))
        for attempt in waiting:
            self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)
        for number in probes:
            self.broker.probe_ended(number, Outcome.CONNECT_FAILED)
        if not self.connections:
            self._redial(REDIAL_MS)
        elif self.replacing:
            # The server repeats unconfirmed messages on its next connection only.
            self._redial(self.redial_pause_ms)
            self.redial_pause_ms = min(2.0 * self.redial_pause_ms, MAX_REDIAL_MS)

    def _process_died(self, refused_at: float) -> None:
        self.broker.end_established_calls(self.host, refused_at, "its process is dead")
        if self.retired is not None and self.retired.opened_at <= refused_at:
            self._drop_retired()

    def _redial(self, pause_ms: float) -> None:
        self.schedule_dial(self.pool.dialing.redial_delay_ms(self.host, pause_ms))

    def connection_opened(self, connection: ServerConnection) -> None:
        """Puts a new connection into use and sends on it what has waited."""
        if not self.listed:
            connection.drop()
            return
        log.info("%s: connected", self.host)
        self.broker.metrics.set_avoided(self.host, "connection", False)
        self.pool.dialing.connected(self.host)
        connection.opened_at = connection.last_received_at = connection.reported_at = self.pool.clock.now()
        connection.handle = self.pool.connections.add(connection)
        self.connections.append(connection)
        self.replacing = False
        self.redial_pause_ms = REDIAL_MS
        if not self.sends_greeting:
            self.sign_of_life(connection)  # otherwise its first report is the sign of life
        self.send_pending_releases(connection)
        waiting, self.waiting_attempts = self.waiting_attempts, []
        for attempt in waiting:
            if self.broker.may_still_leave(attempt):
                self.send(attempt)
        probes, self.waiting_probes = self.waiting_probes, []
        for number in probes:
            self.probe(number)

    def send_pending_releases(self, connection: ServerConnection) -> None:
        """Sends the queued releases, except of calls that have been set up at this server again."""
        pending, self.pending_releases = self.pending_releases, {}
        for tag, cause in pending.items():
            self.broker.recorder.clear_pending_release(self.host, tag)
            request = self.broker.find_request(tag)
            if request is None or request.attempt is None or request.attempt.server != self.host:
                connection.send_release(tag, cause)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Resets the set-ups open on a lost connection; established calls are not tied to a connection."""
        if connection is self.retired:
            self.retired = None
            self._requeue_releases(connection)
            return
        if connection not in self.connections:
            return  # its loss has been handled
        attempts = self._take_out_of_use(connection)
        self._requeue_releases(connection)
        log.info("%s: connection lost, %d open set-ups reset", self.host, len(attempts))
        self._reset(attempts)
        self._replace_connection(connection)

    def retire(self, connection: ServerConnection) -> None:
        """Takes an open but silent connection out of use for set-ups.

        While the server has established calls, the connection with the latest data is kept open: if the
        server was only cut off, data on it proves that its process still runs. Closing a connection would
        give up its set-ups at the server; on one that is kept, each is given up by a message."""
        kept = self.retired
        last_received_at = max(
            conn.last_received_at for conn in [connection, *self.connections, *([kept] if kept else [])]
        )
        if (
            connection not in self.connections
            or connection.last_received_at < last_received_at
            or not self.broker.has_established_calls(self.host)
        ):
            connection.abandon()
            return
        if kept is not None:
            kept.abandon()
        attempts = self._take_out_of_use(connection)
        self.retired = connection
        connection.retired = True
        log.info(
            "%s: connection silent for %.0f ms: kept open only to receive, %d open set-ups reset",
            self.host,
            self.pool.clock.now() - connection.last_received_at,
            len(attempts),
        )
        for tag in attempts:
            connection.send_message(Message("FINISH", tag, rc=jsonl.NORMAL))
        self._reset(attempts)
        self._replace_connection(connection)

    def _take_out_of_use(self, connection: ServerConnection) -> dict[str, Attempt]:
        """Removes a connection from use; returns its open attempts by call."""
        self.connections.remove(connection)
        self.pool.connections.remove(connection.handle)
        attempts, connection.open_attempts = connection.open_attempts, {}
        return attempts

    def _reset(self, attempts: dict[str, Attempt]) -> None:
        for attempt in attempts.values():
            self.broker.attempt_ended(attempt, Outcome.RESET)

    def _requeue_releases(self, connection: ServerConnection) -> None:
        """Queues the unconfirmed releases of a lost connection for the next one, except those too old."""
        releases, connection.unconfirmed_releases = connection.unconfirmed_releases, OrderedDict()
        if not self.listed:
            return
        oldest = self.pool.clock.now() - RELEASE_CONFIRM_MS
        for tag, (cause, sent_at) in releases.items():
            if sent_at >= oldest:
                self._queue_release(tag, cause)

    def _queue_release(self, tag: str, cause: int) -> None:
        self.pending_releases[tag] = cause
        self.broker.recorder.record_pending_release(self.host, tag)

    def _replace_connection(self, connection: ServerConnection) -> None:
        """Dials again after a loss, even if other connections are open.

        The server repeats what was lost with the connection on its next new connection."""
        self.pool.dialing.connection_lost(self.host)
        self.replacing = True
        # Guards against a tight dial loop with a server that closes each new connection at once.
        lasted = self.pool.clock.now() >= connection.opened_at + REDIAL_MS
        self._redial(0.0 if lasted else REDIAL_MS)

    # Liveness

    def sign_of_life(self, connection: ServerConnection) -> None:
        """Called when data was read, or a connection opened to a server that sends no report first."""
        if self.liveness.data_received(connection.last_received_at, connection.opened_at):
            log.info("%s: liveness: suspected -> alive, heard on connection %d", self.host, connection.handle)
            if self.replacing:
                self.connect()  # the server repeats there what was lost: no need to wait for the timer
        if connection.retired and connection is self.retired:
            self._return_to_use(connection)

    def _return_to_use(self, connection: ServerConnection) -> None:
        self.retired = None
        connection.retired = False
        connection.handle = self.pool.connections.add(connection)
        self.connections.append(connection)

    def check_liveness(self, now_ms: float) -> None:
        """Runs the failure detector: ends the established calls of a server that has vanished."""
        if not self.liveness.is_silent(now_ms):
            if self.retired is not None and self.liveness.received_after(self.retired.last_received_at):
                self._drop_retired()
            return
        has_calls = self.broker.has_established_calls(self.host)
        if not has_calls:
            self._drop_retired()
        for action in self.liveness.evaluate(now_ms, has_calls):
            match action:
                case Suspected(since_ms):
                    log.warning(
                        "%s: liveness: alive -> suspected, nothing heard for %.0f ms, %d connections",
                        self.host,
                        now_ms - since_ms,
                        self.open_connections(),
                    )
                    self.broker.metrics.server_suspected(self.host)
                case CheckLiveness(since_ms):
                    self.request_sign_of_life(since_ms)
                case CallsLost(since_ms, established_by_ms):
                    self.on_calls_lost(since_ms, established_by_ms)

    def _drop_retired(self) -> None:
        """Closes the retired connection once it can no longer prove anything, which frees its place."""
        if self.retired is not None:
            self.retired.abandon()

    def request_sign_of_life(self, since_ms: float | None) -> None:
        """Tests the connections; where probes are not allowed, dials a new one, on which the server reports.

        `since_ms` is the last sign of life of a suspected server: connections from before it are tested."""
        if not self.pool.probes:
            self._close_idle_connection()
            self.connect()
            return
        open_now = self.connections if self.retired is None else [*self.connections, self.retired]
        if since_ms is None:
            tested = sorted(open_now, key=lambda conn: conn.last_received_at)[-1:]
        else:
            tested = [conn for conn in open_now if conn.opened_at <= since_ms]
        for connection in tested:
            connection.send_message(Message("ECHO", "0" * 16, rc=0))
        if not tested:
            self.connect()

    def _close_idle_connection(self) -> None:
        """Closes the idle connection with the oldest data, if the server has all its connections."""
        idle = [conn for conn in self.connections if not conn.open_attempts]
        if self.dialing is None and self.open_connections() >= MAX_CONNECTIONS and len(idle) > 1:
            oldest = min(idle, key=lambda conn: conn.last_received_at)
            oldest.abandon()

    def on_calls_lost(self, since_ms: float, established_by_ms: float) -> None:
        """Ends the calls of a server that has been silent for too long.

        The server may only have been cut off and still hold them, so it gets their releases on a connection
        opened after its silence began, now or later."""
        silent_ms = self.pool.clock.now() - since_ms
        log.warning("%s: liveness: suspected -> lost, silent for %.0f ms", self.host, silent_ms)
        lost_calls = self.broker.end_established_calls(
            self.host, established_by_ms, f"silent for {silent_ms:.0f} ms"
        )
        old = [conn for conn in self.connections if conn.opened_at <= since_ms]
        for connection in old if self.retired is None else [*old, self.retired]:
            connection.abandon()
        for tag in lost_calls:
            self._queue_release(tag, jsonl.NORMAL)
        if self.connections:
            self.send_pending_releases(self.connections[-1])

    def on_unlisted(self) -> None:
        """Ends everything at a server that has been taken off the list.

        Another process may have its address by now, and hold some of its calls, set up there before the list
        named it. Their releases are sent before the connections are closed."""
        self.listed = False
        for tag in self.pending_releases:
            self.broker.recorder.clear_pending_release(self.host, tag)
        self.lag.stop()
        if self.redial_timer is not None:
            self.redial_timer.cancel()
        lost_calls = self.broker.end_established_calls(self.host, math.inf, "off the list")
        if self.connections:
            newest = max(self.connections, key=lambda conn: conn.opened_at)
            for tag in lost_calls:
                newest.send_release(tag, jsonl.NORMAL)
        for connection in list(self.connections):
            connection.close_after_writes()
        self._drop_retired()
        if self.dialing is not None:
            self.dialing.cancel()
        waiting, self.waiting_attempts = self.waiting_attempts, []
        for attempt in waiting:  # nothing will be dialed for them
            self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)

    def reset(self, before_ms: float, why: str) -> None:
        """Ends the connections, set-ups and calls of the process that ran until `before_ms`."""
        self.broker.end_established_calls(self.host, before_ms, why)
        for connection in [conn for conn in self.connections if conn.opened_at <= before_ms]:
            connection.abandon()
        if self.retired is not None and self.retired.opened_at <= before_ms:
            self._drop_retired()

    # Sending

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt on the least used connection, or queues it until one opens."""
        request = attempt.request
        last_connection_id = request.last_connection_id
        if not self.connections:
            self.waiting_attempts.append(attempt)
            if self.request_connection() > self.pool.connect_timeout_ms and attempt in self.waiting_attempts:
                self.waiting_attempts.remove(attempt)  # the dial would come too late: try another server
                self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        # Avoids the last attempt's connection: a second copy of its answer may arrive there.
        chosen = min(
            self.connections,
            key=lambda conn: (len(conn.open_attempts) + (conn.handle == last_connection_id), conn.opened_at),
        )
        if (
            chosen.open_attempts
            and len(self.connections) < MAX_CONNECTIONS
            and attempt.sent_at >= self.no_dial_before
        ):
            self.request_connection()  # the fewer set-ups on a connection, the fewer are lost with it
        left = max(1, round(attempt.deadline_at_ms - self.pool.clock.now()))
        opts = {"class": request.call_class, "left": str(left)}
        if request.key:
            opts["key"] = request.key
        request.last_connection_id = chosen.handle
        if chosen.send_set_up(
            attempt, Message("START", request.id, opts, blob=str(request.description)).encode()
        ):
            self.broker.metrics.sent(request.call_class)

    def give_up(self, attempt: Attempt) -> None:
        """Gives up an attempt; retires its connection if nothing was received on it since the attempt."""
        if attempt in self.waiting_attempts:
            self.waiting_attempts.remove(attempt)
            return
        for connection in list(self.connections):
            if connection.open_attempts.get(attempt.request.id) is attempt:
                del connection.open_attempts[attempt.request.id], connection.sent_at_read[attempt.request.id]
                connection.send_message(Message("FINISH", attempt.request.id, rc=jsonl.NORMAL))
                if connection.last_received_at <= attempt.sent_at < self.pool.clock.now() - SILENCE_LIMIT_MS:
                    self.retire(connection)  # nothing was received during the attempt

    def release(self, tag: str, cause: int) -> None:
        """Releases an established call, on any connection; on the next one if none is open."""
        if not self.connections or not self.connections[0].send_release(tag, cause):
            self._queue_release(tag, cause)
            self.request_connection()

    def probe(self, number: int) -> None:
        """Sends a probe; its answer or failure goes to `Broker.probe_ended` under this number."""
        if not self.connections:
            self.waiting_probes.append(number)
            self.request_connection()
        else:
            self.connections[0].send_message(Message("ECHO", f"{number:016x}", rc=1))

    # Input

    def report_values(self, message: Message) -> tuple[float, ...]:
        """The load report in the order of the settings' columns, -1 for a missing value; empty if none."""
        values = jsonl.parse_numbers(message.opts.get("load", ""))
        if not values:
            return ()
        return tuple(
            values.get(name, values.get(COLUMN_ALIASES.get(name, name), -1.0))
            for name in self.broker.rules.settings.report_columns
        )

    def handle_message(self, connection: ServerConnection, message: Message) -> None:
        """Handles one message from the server. Raises BadLineError for an unknown verb."""
        match message.verb:
            case "STARTED":
                self.handle_answer(connection, message, connection.match_response(message.tag))
            case "FINISH":
                self.handle_finish(connection, message, connection.match_response(message.tag))
            case "LOAD":
                self.lag.on_report(connection)
                # It arrives on each connection; the module must see it once.
                if (report := self.report_values(message)) and connection is self.connections[0]:
                    self.broker.report_received(self.host, report)
            case "ECHOED":
                outcome = Outcome.OK if message.rc == 1 else Outcome.FULL
                self.broker.probe_ended(int(message.tag, 16), outcome, self.report_values(message))
            case "ECHO":
                connection.send_message(Message("ECHOED", message.tag, rc=1))
            case "FINISHED":
                connection.unconfirmed_releases.pop(message.tag, None)
            case "PENDING":
                pass
            case _:
                raise BadLineError(f"verb: unknown: {message.verb}")

    def handle_answer(self, connection: ServerConnection, message: Message, attempt: Attempt | None) -> None:
        """Handles an answer; `attempt` is the open attempt on this connection that it is for, if any."""
        if attempt is None and self.broker.recorder.defers(
            message.tag, self.host, lambda: self.handle_answer(connection, message, None)
        ):
            return
        if attempt is not None:
            self.broker.call_established(attempt, message.blob or "")
        elif (
            (request := self.broker.find_request(message.tag)) is None
            or request.attempt is None
            or request.attempt.server != self.host
        ):
            # The answer crossed our give-up, and the call may be established at another server by now: the
            # call that was set up here must be released.
            connection.send_message(Message("FINISH", message.tag, rc=jsonl.NORMAL))

    def handle_finish(self, connection: ServerConnection, message: Message, attempt: Attempt | None) -> None:
        """Handles a refusal or the end of a call, and confirms it; `attempt` as in `handle_answer`."""
        if attempt is None and self.broker.recorder.defers(
            message.tag, self.host, lambda: self.handle_finish(connection, message, None)
        ):
            return

        def confirm() -> None:
            connection.send_message(Message("FINISHED", message.tag))

        request = self.broker.find_request(message.tag)
        if attempt is not None and message.rc == jsonl.NORMAL:
            self.broker.ended_unanswered(attempt, self.report_values(message))
        elif attempt is not None:
            note = NOTE_BY_NAME.get(message.opts.get("note", ""), 0)
            outcome = OUTCOME_BY_CAUSE.get(message.rc or 0, Outcome.ERROR)
            self.broker.attempt_ended(attempt, outcome, note, report=self.report_values(message))
        elif request is None:
            call_outcome = Outcome.OK if message.rc == jsonl.NORMAL else Outcome.RESET
            self.broker.unknown_call_ended(message.tag, self.pool.front, call_outcome)
        elif request.attempt is not None and request.attempt.server == self.host:
            if request.state is State.ESTABLISHED and message.rc in END_CAUSES:
                call_outcome = Outcome.OK if message.rc == jsonl.NORMAL else Outcome.RESET
                self.broker.attempt_ended(request.attempt, call_outcome, report=self.report_values(message))
            elif (
                request.attempt.pending
                and request.attempt.route_ref not in (None, connection.handle)
                and message.rc == jsonl.NORMAL
            ):
                # A server also sends the end on its next new connection, where it may be read before the
                # answer. On the connection of the attempt it can't be: there it ends an earlier attempt.
                self.broker.ended_before_answer(request.attempt, confirm)
                return
        self.broker.recorder.barrier(confirm)
