"""One upstream server on the platform's wire: its connections, set-ups, releases and reports."""

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
from frostport.net.connection_lag import SILENT_MS, LagDetector
from frostport.net.jsonl import BadLineError, Message
from frostport.net.upstream_connection import CONFIRM_MS, ServerConnection

if TYPE_CHECKING:
    from frostport.net.upstream_pool import UpstreamPool

log = logging.getLogger("frostport.upstream")

CONNECTIONS_MOST = 4  # to one server
ENOUGH_MS = 5000.0  # how long the connections there are do, after a further one was not to be had
CUT_MS = 100.0  # from a refused connection to the release of what stood there
REDIAL_MS = 500.0  # pause after a connect that failed; the first try after a loss goes out at once
REDIAL_MOST_MS = 1000.0  # pauses double up to this while other connections are open

NOTES = {
    "blocked": NOTE_NO_LINE,
    "bounced": NOTE_RETURNED,
    "swamped": NOTE_PROCESSOR_FULL,
    "occupied": NOTE_NUMBER_BUSY,
    "far_swamped": NOTE_RETURNED,
}
BEFORE = {
    jsonl.FULL: Outcome.FULL,
    jsonl.BUSY: Outcome.ERROR,
    jsonl.FAULT: Outcome.ERROR,
    jsonl.MOOT: Outcome.NOT_SENT,
    jsonl.BROKEN: Outcome.RESET,
}
AFTER = (jsonl.NORMAL, jsonl.BROKEN)  # how a call that stands ends; another cause is a second answer
# The names of the settings' report columns beside those that a report carries.
COLUMNS = {
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
    """One upstream server: its connections, and what waits for one."""

    def __init__(self, pool: UpstreamPool, host: str, dial: str) -> None:
        self.pool, self.host, self.dial = pool, host, dial
        self.broker = pool.broker
        self.connections: list[ServerConnection] = []
        self.dialing: defer.Deferred[object] | None = None
        self.redial: Deadline | None = None
        self.waiting: list[Attempt] = []
        self.probes: list[int] = []
        self.pending_releases: dict[str, int] = {}  # releases not sent for want of a connection
        self.lag = LagDetector(self)
        self.enough_until = -math.inf  # no further connection is dialed before
        self.listed = True
        self.liveness = ServerLiveness(pool.clock.now(), old_are_asked=pool.probes)
        self.greets = False  # it has told its state first of all on a new connection
        self.retired: ServerConnection | None = None  # silent, and kept: it may show that the process goes on
        self.replacing = False  # a connection was lost, and no later one has come up
        self.redial_pause_ms = REDIAL_MS

    # Connecting

    def connect(self) -> None:
        """Dials, unless a connection is on its way."""
        if self.dialing is not None or not self.listed or self.open_connections() >= CONNECTIONS_MOST:
            return
        if self.redial is not None:
            self.redial.cancel()
        connection = ServerConnection(self)
        dialing = self.dialing = self.pool.connect(self.dial, connection)
        limit = self.pool.deadlines.set(self.pool.clock.now() + self.pool.connect_timeout_ms, dialing.cancel)

        def settled(result: object) -> object:
            limit.cancel()
            if self.dialing is dialing:
                self.dialing = None
            return result

        dialing.addBoth(settled)
        dialing.addErrback(self.unreachable)

    def open_connections(self) -> int:
        """How many connections count against the most that a server takes."""
        return len(self.connections) + (self.retired is not None)

    def schedule_dial(self, wait_ms: float) -> None:
        """Dials after a time, unless a dial is on its way or due before."""
        if wait_ms <= 0.0:
            self.connect()
        elif self.listed and self.dialing is None and self.open_connections() < CONNECTIONS_MOST:
            at = self.pool.clock.now() + wait_ms
            if self.redial is not None:
                if self.redial.action is not None and self.redial.at_ms <= at:
                    return
                self.redial.cancel()
            self.redial = self.pool.deadlines.set(at, self.connect)

    def request_connection(self) -> float:
        """A call, a release or a probe needs a connection; how long its dial has to wait."""
        wait = self.pool.dialing.on_demand_delay_ms(self.host)
        self.schedule_dial(wait)
        return wait

    def unreachable(self, failure: Failure) -> None:
        """No connection: refused proves that the process is dead, silence proves nothing."""
        refused = isinstance(failure.value, ConnectionRefusedError)
        log.info("%s: no connection: %s", self.host, failure.type.__name__ if failure.type else failure.value)
        self.broker.metrics.set_avoided(self.host, "connection", True)
        self.pool.dialing.dial_failed(self.host)
        waiting, self.waiting = self.waiting, []
        probes, self.probes = self.probes, []
        if self.connections:  # guards against dialing for each set-up a server that takes no more connections
            self.enough_until = self.pool.clock.now() + ENOUGH_MS
            if refused and self.pool.probes:
                self.lag.test(list(self.connections))
        elif refused:
            # Guards against being ahead of the cuts themselves: a reset connection is heard before them.
            refused_at = self.pool.clock.now()
            self.pool.deadlines.set(refused_at + CUT_MS, lambda: self._process_died(refused_at))
        for attempt in waiting:
            self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)
        for number in probes:
            self.broker.probe_ended(number, Outcome.CONNECT_FAILED)
        if not self.connections:
            self._again(REDIAL_MS)
        elif self.replacing:
            # Guards against never hearing what the server tells again on the next connection.
            self._again(self.redial_pause_ms)
            self.redial_pause_ms = min(2.0 * self.redial_pause_ms, REDIAL_MOST_MS)

    def _process_died(self, refused_at: float) -> None:
        self.broker.end_established_calls(self.host, refused_at, "its process is dead")
        if self.retired is not None and self.retired.opened_at <= refused_at:
            self._drop_retired()

    def _again(self, pause_ms: float) -> None:
        self.schedule_dial(self.pool.dialing.redial_delay_ms(self.host, pause_ms))

    def connection_opened(self, connection: ServerConnection) -> None:
        if not self.listed:
            connection.drop()
            return
        log.info("%s: connected", self.host)
        self.broker.metrics.set_avoided(self.host, "connection", False)
        self.pool.dialing.connected(self.host)
        connection.opened_at = connection.heard_at = connection.reported_at = self.pool.clock.now()
        connection.slot = self.pool.connections.add(connection)
        self.connections.append(connection)
        self.replacing, self.redial_pause_ms = False, REDIAL_MS
        if not self.greets:
            self.sign_of_life(connection)  # else its greeting is the sign
        self.say_pending_releases(connection)
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            if self.broker.may_still_leave(attempt):
                self.send(attempt)
        probes, self.probes = self.probes, []
        for number in probes:
            self.probe(number)

    def say_pending_releases(self, connection: ServerConnection) -> None:
        """Releases that waited for a connection go out, unless their calls have begun anew there."""
        pending, self.pending_releases = self.pending_releases, {}
        for tag, cause in pending.items():
            self.broker.recorder.clear_owed_release(self.host, tag)
            request = self.broker.find_request(tag)
            if request is None or request.attempt is None or request.attempt.server != self.host:
                connection.release(tag, cause)

    def connection_closed(self, connection: ServerConnection) -> None:
        """The set-ups open on a connection that breaks are reset; calls that stand are not its own."""
        if connection is self.retired:
            self.retired = None
            self._keep_releases(connection)
            return
        if connection not in self.connections:
            return  # its loss has been dealt with
        out = self._take_out_of_use(connection)
        self._keep_releases(connection)
        log.info("%s: connection lost, %d set-ups open", self.host, len(out))
        self._reset(out)
        self._replace(connection)

    def retire(self, connection: ServerConnection) -> None:
        """A connection that is open and silent is of no further use for set-ups.

        The one that was heard last of all is kept while calls stand: should the server be cut off and not
        gone, it shows that its process has gone on. Closing a connection gives up its set-ups; here each is
        said."""
        kept = self.retired
        last_heard = max(at.heard_at for at in [connection, *self.connections, *([kept] if kept else [])])
        if (
            connection not in self.connections
            or connection.heard_at < last_heard
            or not self.broker.has_established_calls(self.host)
        ):
            connection.spoilt()
            return
        if kept is not None:
            kept.spoilt()
        out = self._take_out_of_use(connection)
        self.retired, connection.retired = connection, True
        log.info(
            "%s: connection silent since %.0f ms, kept to be heard, %d set-ups reset",
            self.host,
            self.pool.clock.now() - connection.heard_at,
            len(out),
        )
        for tag in out:
            connection.say(Message("FINISH", tag, rc=jsonl.NORMAL))
        self._reset(out)
        self._replace(connection)

    def _take_out_of_use(self, connection: ServerConnection) -> dict[str, Attempt]:
        """Nothing more goes out on a connection; returns the attempts that are out on it."""
        self.connections.remove(connection)
        self.pool.connections.free(connection.slot)
        out, connection.out = connection.out, {}
        return out

    def _reset(self, out: dict[str, Attempt]) -> None:
        for attempt in out.values():
            self.broker.attempt_ended(attempt, Outcome.RESET)

    def _keep_releases(self, connection: ServerConnection) -> None:
        """Releases that a server had not confirmed when a connection broke are said again on the next."""
        releases, connection.releases = connection.releases, OrderedDict()
        if not self.listed:
            return
        oldest = self.pool.clock.now() - CONFIRM_MS
        for tag, (cause, said_at) in releases.items():
            if said_at >= oldest:
                self._release_later(tag, cause)

    def _release_later(self, tag: str, cause: int) -> None:
        self.pending_releases[tag] = cause
        self.broker.recorder.record_owed_release(self.host, tag)

    def _replace(self, connection: ServerConnection) -> None:
        """Dials again after a loss, also where others are open: on the next connection the server tells again
        what was lost with this one."""
        self.pool.dialing.connection_lost(self.host)
        self.replacing = True
        # Guards against a server that closes each new connection at once.
        lasted = self.pool.clock.now() >= connection.opened_at + REDIAL_MS
        self._again(0.0 if lasted else REDIAL_MS)

    # Liveness

    def sign_of_life(self, connection: ServerConnection) -> None:
        """Something was read on a connection, or one came up at a server that does not greet."""
        if self.liveness.heard(connection.heard_at, connection.opened_at):
            log.info("%s: liveness: suspected -> alive, heard on connection %d", self.host, connection.slot)
            if self.replacing:
                self.connect()  # guards against waiting for the next dial's time with what it is told on it
        if connection.retired and connection is self.retired:
            self._return_to_use(connection)

    def _return_to_use(self, connection: ServerConnection) -> None:
        self.retired, connection.retired = None, False
        connection.slot = self.pool.connections.add(connection)
        self.connections.append(connection)

    def look(self, now_ms: float) -> None:
        """Looks after calls that stand at a server which may have vanished."""
        if not self.liveness.is_quiet(now_ms):
            if self.retired is not None and self.liveness.heard_after(self.retired.heard_at):
                self._drop_retired()
            return
        calls_stand = self.broker.has_established_calls(self.host)
        if not calls_stand:
            self._drop_retired()
        for action in self.liveness.evaluate(now_ms, calls_stand):
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
                    self.ask_for_life(since_ms)
                case CallsLost(since_ms, stood_by_ms):
                    self.calls_lost(since_ms, stood_by_ms)

    def _drop_retired(self) -> None:
        """The silent connection that was kept has nothing to prove any more: it gives its place up."""
        if self.retired is not None:
            self.retired.spoilt()

    def ask_for_life(self, since_ms: float | None) -> None:
        """Tests the connections, or where tests are not allowed dials a new one, which is greeted."""
        if not self.pool.probes:
            self._make_room()
            self.connect()
            return
        open_now = self.connections if self.retired is None else [*self.connections, self.retired]
        if since_ms is None:
            tested = sorted(open_now, key=lambda at: at.heard_at)[-1:]
        else:
            tested = [at for at in open_now if at.opened_at <= since_ms]
        for connection in tested:
            connection.say(Message("ECHO", "0" * 16, rc=0))
        if not tested:
            self.connect()

    def _make_room(self) -> None:
        """Closes the idle connection that was heard longest ago, where a server has as many as it takes."""
        idle = [at for at in self.connections if not at.out]
        if self.dialing is None and self.open_connections() >= CONNECTIONS_MOST and len(idle) > 1:
            oldest = min(idle, key=lambda at: at.heard_at)
            oldest.spoilt()

    def calls_lost(self, since_ms: float, stood_by_ms: float) -> None:
        """A server has been silent for too long: its calls are over, for their callers and for itself.

        It may only have been cut off, and still hold them: it is told on a connection that is newer than its
        silence, now or later."""
        silent_ms = self.pool.clock.now() - since_ms
        log.warning("%s: liveness: suspected -> lost, silent for %.0f ms", self.host, silent_ms)
        over = self.broker.end_established_calls(self.host, stood_by_ms, f"silent for {silent_ms:.0f} ms")
        old = [at for at in self.connections if at.opened_at <= since_ms]
        for connection in old if self.retired is None else [*old, self.retired]:
            connection.spoilt()
        for tag in over:
            self._release_later(tag, jsonl.NORMAL)
        if self.connections:
            self.say_pending_releases(self.connections[-1])

    def leave(self) -> None:
        """The server is off the list: nothing is sent, no call stands there any more."""
        self.listed = False
        for tag in self.pending_releases:
            self.broker.recorder.clear_owed_release(self.host, tag)
        self.lag.stop()
        if self.redial is not None:
            self.redial.cancel()
        self.reset(math.inf, "off the list")
        if self.dialing is not None:
            self.dialing.cancel()
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:  # guards against one that waits for a dial which is never made
            self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)

    def reset(self, before_ms: float, why: str) -> None:
        """The process that ran before a time is gone: its connections, its set-ups and its calls with it."""
        self.broker.end_established_calls(self.host, before_ms, why)
        for connection in [at for at in self.connections if at.opened_at <= before_ms]:
            connection.spoilt()
        if self.retired is not None and self.retired.opened_at <= before_ms:
            self._drop_retired()

    # Sending

    def send(self, attempt: Attempt) -> None:
        request, link = attempt.request, attempt.request.last_connection_id
        if not self.connections:
            self.waiting.append(attempt)
            if self.request_connection() > self.pool.connect_timeout_ms and attempt in self.waiting:
                self.waiting.remove(attempt)  # its turn comes too late: another server
                self.broker.attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        # Guards against second copies of the last attempt's answer: elsewhere they are not this one's.
        chosen = min(self.connections, key=lambda at: (len(at.out) + (at.slot == link), at.opened_at))
        if chosen.out and len(self.connections) < CONNECTIONS_MOST and attempt.sent_at >= self.enough_until:
            self.request_connection()  # the fewer set-ups share a connection, the fewer break with it
        left = max(1, round(attempt.deadline_at_ms - self.pool.clock.now()))
        opts = {"class": request.call_class, "left": str(left)}
        if request.key:
            opts["key"] = request.key
        request.last_connection_id = chosen.slot
        if chosen.start(attempt, Message("START", request.id, opts, blob=str(request.description)).encode()):
            self.broker.metrics.sent(request.call_class)

    def give_up(self, attempt: Attempt) -> None:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            return
        for connection in list(self.connections):
            if connection.out.get(attempt.request.id) is attempt:
                del connection.out[attempt.request.id], connection.sent_in[attempt.request.id]
                connection.say(Message("FINISH", attempt.request.id, rc=jsonl.NORMAL))
                if connection.heard_at <= attempt.sent_at < self.pool.clock.now() - SILENT_MS:
                    self.retire(connection)  # nothing came while it waited: no better for the next

    def release(self, tag: str, cause: int) -> None:
        """Ends a call that stands here: on any connection, on the next if none is open."""
        if not self.connections or not self.connections[0].release(tag, cause):
            self._release_later(tag, cause)
            self.request_connection()

    def probe(self, number: int) -> None:
        if not self.connections:
            self.probes.append(number)
            self.request_connection()
        else:
            self.connections[0].say(Message("ECHO", f"{number:016x}", rc=1))

    # Hearing

    def report(self, message: Message) -> tuple[float, ...]:
        """The report in the settings' order of columns; -1 for what it does not tell."""
        told = jsonl.figures(message.opts.get("load", ""))
        if not told:
            return ()
        return tuple(
            told.get(name, told.get(COLUMNS.get(name, name), -1.0))
            for name in self.broker.rules.settings.report_columns
        )

    def hear(self, connection: ServerConnection, message: Message) -> None:
        match message.verb:
            case "STARTED":
                self.answered(connection, message, connection.match_response(message.tag))
            case "FINISH":
                self.finished(connection, message, connection.match_response(message.tag))
            case "LOAD":
                self.lag.reported(connection)
                # Each connection brings it: the module hears it once, as from the simulator.
                if (report := self.report(message)) and connection is self.connections[0]:
                    self.broker.report_received(self.host, report)
            case "ECHOED":
                outcome = Outcome.OK if message.rc == 1 else Outcome.FULL
                self.broker.probe_ended(int(message.tag, 16), outcome, self.report(message))
            case "ECHO":
                connection.say(Message("ECHOED", message.tag, rc=1))
            case "FINISHED":
                connection.releases.pop(message.tag, None)
            case "PENDING":
                pass
            case _:
                raise BadLineError(f"verb: unknown: {message.verb}")

    def answered(self, connection: ServerConnection, message: Message, attempt: Attempt | None) -> None:
        if attempt is None and self.broker.recorder.defers(
            message.tag, self.host, lambda: self.answered(connection, message, None)
        ):
            return
        if attempt is not None:
            self.broker.call_established(attempt, message.blob or "")
        elif (
            (request := self.broker.find_request(message.tag)) is None
            or request.attempt is None
            or request.attempt.server != self.host
        ):
            # Guards against an answer that crosses our give-up, also where the call stands at another server
            # meanwhile: what it set up must not be left standing.
            connection.say(Message("FINISH", message.tag, rc=jsonl.NORMAL))

    def finished(self, connection: ServerConnection, message: Message, attempt: Attempt | None) -> None:
        if attempt is None and self.broker.recorder.defers(
            message.tag, self.host, lambda: self.finished(connection, message, None)
        ):
            return

        def confirm() -> None:
            connection.say(Message("FINISHED", message.tag))

        request = self.broker.find_request(message.tag)
        if attempt is not None and message.rc == jsonl.NORMAL:
            self.broker.ended_unanswered(attempt, self.report(message))
        elif attempt is not None:
            note = NOTES.get(message.opts.get("note", ""), 0)
            outcome = BEFORE.get(message.rc or 0, Outcome.ERROR)
            self.broker.attempt_ended(attempt, outcome, note, report=self.report(message))
        elif request is None:
            over = Outcome.OK if message.rc == jsonl.NORMAL else Outcome.RESET
            self.broker.unknown_call_ended(message.tag, self.pool.front, over)
        elif request.attempt is not None and request.attempt.server == self.host:
            if request.state is State.ESTABLISHED and message.rc in AFTER:
                over = Outcome.OK if message.rc == jsonl.NORMAL else Outcome.RESET
                self.broker.attempt_ended(request.attempt, over, report=self.report(message))
            elif (
                request.attempt.pending
                and request.attempt.route_ref not in (None, connection.slot)
                and message.rc == jsonl.NORMAL
            ):
                # A server tells the end on the next connection that opens too, where it may be read before
                # the answer. On the answer's own it can't be: another word on an earlier attempt.
                self.broker.ended_before_answer(request.attempt, confirm)
                return
        self.broker.recorder.barrier(confirm)
