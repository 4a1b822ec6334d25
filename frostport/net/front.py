"""The platform's front: the JSON-lines connections of clients.

It parses set-ups and releases, hands them to the broker, and writes the broker's answers. Routing decisions
are made elsewhere."""

from __future__ import annotations

import logging
import math
import re
from collections import Counter
from collections.abc import Callable, Iterable

from frostport import interface as api
from frostport.admission.gate import Admission, Gate
from frostport.core.broker import Broker
from frostport.core.calls import Body, RecordedAnswer, Request, State, request_bytes
from frostport.core.deadlines import Deadline
from frostport.core.handles import HandleTable
from frostport.core.lifecycle import Lifecycle
from frostport.interface import Outcome
from frostport.net import jsonl
from frostport.net.client_releases import ClientReleases
from frostport.net.jsonl import BadLineError, LineConnection, Message, ReadLine

log = logging.getLogger("frostport.front")

FIRST_LINE_TIMEOUT_MS = 2000.0  # from connect to the first complete line
PARTIAL_LINE_TIMEOUT_MS = 2000.0  # for a line that has begun to be completed
WRITE_STALL_TIMEOUT_MS = 2000.0  # for a client to read what was written to it
CLOSE_TIMEOUT_MS = 1000.0  # for buffered output to be sent before a connection is aborted
MAX_MALFORMED_LINES = 3  # malformed set-ups on one connection before it is closed
MAX_OPEN_SET_UPS = 100  # per connection; further ones are refused
CONNECTION_BUFFER_BYTES = 16 * 1024  # read at a time, and written ahead of a client that does not read
MAX_DESCRIPTION_BYTES = jsonl.MAX_LINE_BYTES - 512  # leaves room for the other fields of the forwarded line
MAX_OPTION_BYTES = 1024  # of each option of a set-up
KEY_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}\Z")
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,9}\Z")
# The numbers in a set-up's `extras` with their ranges; `dest` must also be one of the class's pools.
EXTRAS_RANGES = {"dest": (-1, 0xFFFF), "width": (1, 0xFFFF), "via": (-1, 0xFFFF), "again": (0, 1)}


class ClientConnection(LineConnection):
    """One connection of a client. It carries many calls; an established call outlives it.

    Each set-up opened on it ends exactly once, through its answer or `Broker.gone`. No attempt starts for a
    set-up whose client has closed the connection or given it up, wherever that is noticed first."""

    # Reading ahead while lines wait finds a close or a give-up behind the lines of the current iteration.
    read_ahead_bytes = 64 * 1024

    def __init__(self, front: PlatformFront, admission: Admission) -> None:
        super().__init__(front.broker.clock, front.broker.deadlines, least_line_bytes=jsonl.MIN_MESSAGE_BYTES)
        self.front = front
        self.admission = admission
        self.in_use = False  # as last reported to the gate
        self.handle = -1
        self.host = ""
        self.open_set_ups: dict[str, Request] = {}
        self.last_received_at = 0.0  # when the last complete line arrived
        self.identified = False  # a well-formed message has been received
        self._gets_releases = False  # pending releases have been sent on it, behind its first answers
        self.trusted = False  # an answer was sent or a release confirmed on it: a regular client
        self.malformed_count = 0
        self._set_up_bytes = 0  # held for the open set-ups
        self._unread_bytes = 0  # written ahead of a client that does not read
        self.unconfirmed_releases: set[str] = set()  # sent on it, not confirmed yet
        self.established_calls: set[str] = set()  # answered on it, not ended yet
        self._timeout: Deadline | None = None
        self._timed_line = -1  # the number of the incomplete line that `_timeout` limits; -1: it limits none
        self._unhandled_set_ups: set[str] = set()  # read, not handled yet
        self._early_give_ups: Counter[str] = Counter()  # give-ups read for those

    def on_open(self) -> None:
        """Registers the connection, and limits the time for its first complete line."""
        self.handle = self.front.connections.add(self)
        self.peer = f"client connection {self.handle}"
        self.host = str(getattr(self.transport.getPeer(), "host", ""))
        self.front.connections_by_admission[self.admission.number] = self
        self.last_received_at = self.clock.now()
        self.transport.bufferSize = CONNECTION_BUFFER_BYTES
        self.transport.registerProducer(self, True)
        # Guards against hundreds of connections that send nothing, or part of a line.
        self._set_timeout(FIRST_LINE_TIMEOUT_MS)

    def _set_timeout(self, ms: float | None, then: Callable[[], None] | None = None) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timed_line = -1
        self._timeout = None if ms is None else self.deadlines.set(self.clock.now() + ms, then or self.drop)

    def on_close(self) -> None:
        """The front gives up the open set-ups, and resends unconfirmed releases on other connections."""
        self._set_timeout(None)
        self.front.connection_lost(self)

    # Twisted's IPushProducer: backpressure from the output buffer

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """The output buffer is full: no request is handled until the client has read from it.

        Guards against a client that sends requests and does not read the answers. Lines that arrive meanwhile
        are searched for give-ups."""
        self.write_blocked = True
        self._unread_bytes += CONNECTION_BUFFER_BYTES
        if self.alive:
            self._set_timeout(WRITE_STALL_TIMEOUT_MS, self._on_write_stall)

    def _on_write_stall(self) -> None:
        """Closes a client that has not read for too long.

        Lines already read are handled first, as on a close, so that releases among them are not lost."""
        self.peer_closed = True
        self._handle_all_lines()
        self.drop()

    def resumeProducing(self) -> None:  # noqa: N802
        """The client has read the buffered output: its requests are handled again."""
        self.write_blocked = False
        self._unread_bytes = 0
        self.on_held_bytes_changed()
        if self.alive:
            self._set_timeout(None)
            self.front.releases.connection_available(self)
            self.resume_handling()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    # Held bytes

    def write(self, data: bytes) -> bool:
        """Writes bytes, and counts them while the client does not read; False if the connection is closed."""
        if self.write_blocked:
            self._unread_bytes += len(data)
            self.on_held_bytes_changed()
        return super().write(data)

    def on_held_bytes_changed(self) -> None:
        """Reports to the gate what is held for the connection, which may close those that hold most."""
        self._report_held_bytes()
        self.front.shed(self.front.gate.shed_largest())

    def _report_held_bytes(self) -> None:
        held = self.held_input_bytes() + self._set_up_bytes + self._unread_bytes
        self.front.gate.set_buffered(self.admission, held)

    def may_read_ahead(self) -> bool:
        """Whether more may be read: also not while the connection holds more than its share of the memory."""
        if not self._pending_lines:
            return True
        return super().may_read_ahead() and self.front.gate.may_hold(self.admission, 0)

    def add_set_up(self, request: Request) -> None:
        """A set-up waits on it for its final answer."""
        self.open_set_ups[request.id] = request
        self._set_up_bytes += request.held_bytes
        self.update_in_use()
        self.on_held_bytes_changed()

    def remove_set_up(self, call: str) -> None:
        """A set-up has its final answer, or is given up; does nothing if it is not open here."""
        request = self.open_set_ups.pop(call, None)
        if request is not None:
            self._set_up_bytes -= request.held_bytes
        self.update_in_use()
        self._report_held_bytes()

    # Input

    def on_lines_read(self, lines: list[ReadLine]) -> list[ReadLine]:
        """Looks for give-ups in lines that are read and not handled yet, so that no attempt starts for them.

        The give-up of an open set-up is handled at once; that of a set-up still waiting here cancels it."""
        if not self.write_blocked and not self._pending_lines and len(lines) < 2:
            return lines
        later = []
        for line in lines:
            found = jsonl.TAG_FIELD.search(line.data)
            tag = found.group(1).decode() if found and not line.problem else ""
            if tag and jsonl.START_VERB.search(line.data):
                self._unhandled_set_ups.add(tag)
            elif tag and jsonl.FINISH_VERB.search(line.data):
                if tag in self._unhandled_set_ups:
                    self._early_give_ups[tag] += 1
                elif tag in self.open_set_ups:
                    self._handle_line(line)
                    continue
            later.append(line)
        return later

    def _still_wanted(self, tag: str) -> bool:
        """Whether a set-up is still wanted when it is about to be handled.

        The repeated set-up of a known call is handled in any case: its give-up then releases the call."""
        self._unhandled_set_ups.discard(tag)
        return not (self.peer_closed or self._early_give_ups[tag]) or not self.front.is_new_call(tag)

    def _cancels_unhandled(self, tag: str) -> bool:
        """Whether a give-up is for a set-up that it cancelled before it was handled."""
        given_up = self._early_give_ups[tag] > 0
        if given_up:
            self._early_give_ups.subtract((tag,))
            self._early_give_ups += Counter()  # drops counts of zero
        return given_up and self.front.is_new_call(tag)

    def on_read(self) -> None:
        """Closes the connection if it is idle in a drain; else limits the time for a partial line."""
        if self.identified and not self._gets_releases:
            # Behind the answers to its first lines: whoever tests this agent reads that answer first.
            self._gets_releases = True
            self.front.releases.connection_available(self)
        self.close_if_idle()
        if not self.alive:
            return
        if not self.splitter.partial:
            if self.identified and not self.write_blocked:
                self._set_timeout(None)
        elif self._timeout is None or (
            self.identified and not self.write_blocked and self._timed_line < self.splitter.completed
        ):
            self._set_timeout(PARTIAL_LINE_TIMEOUT_MS, self._on_partial_line_timeout)
            self._timed_line = self.splitter.completed

    def _on_partial_line_timeout(self) -> None:
        """Closes the connection, unless this process has not read on since: it had lines to handle first."""
        self._timeout = None
        if self._pending_lines:
            self.on_read()
        else:
            self.close_gracefully()

    def on_line(self, line: bytes) -> None:
        """Handles one message. Raises BadLineError if it is malformed, or its verb or a value not allowed."""
        message = jsonl.decode(line)
        self.last_received_at = self.clock.now()
        if not self.identified:
            self.identified = True
            self.front.gate.mark_identified(self.admission)
        else:
            self.front.gate.mark_active(self.admission)
        match message.verb:
            case "START":
                if not self._still_wanted(message.tag):
                    return
                try:
                    self.front.handle_start(self, message)
                except BadLineError as problem:
                    raise BadLineError(str(problem), line) from None
            case "FINISH" if self._cancels_unhandled(message.tag):
                self.send_message(Message("FINISHED", message.tag))
            case "FINISH":
                self.front.handle_finish(self, message)
            case "FINISHED":
                self.front.handle_finished(self, message.tag)
            case "ECHO":
                self.send_message(Message("ECHOED", message.tag, rc=int(self.front.serving())))
            case "PENDING" | "ECHOED":
                pass
            case _:
                raise BadLineError(f"verb: unknown: {message.verb}", line)

    def on_malformed(self, problem: BadLineError) -> None:
        """Refuses a malformed set-up if its id can be read; after any other line the connection is closed.

        It is also closed after an overlong line and after MAX_MALFORMED_LINES malformed ones."""
        self.malformed_count += 1
        self.front.record_offence(self)
        named = problem.is_start and problem.tag is not None
        if named and self.front.broker.find_request(problem.tag or "") is None:
            self.send_message(Message("FINISH", problem.tag or "", rc=jsonl.OVERLOADED))
        if not named or self.splitter.ended or self.malformed_count >= MAX_MALFORMED_LINES:
            self.close_gracefully()

    def update_in_use(self) -> None:
        """Reports to the gate whether an open set-up or an unconfirmed release uses the connection."""
        used = bool(self.open_set_ups or self.unconfirmed_releases)
        if used is not self.in_use:
            self.in_use = used
            (self.front.gate.begin_use if used else self.front.gate.end_use)(self.admission)

    def close_if_idle(self) -> None:
        """Closes an idle connection without pending input, during a drain or a handover.

        A request that has been read, even in part, is served first, so that none is lost."""
        if (
            self.alive
            and self.identified
            and not self.carries_calls()
            and not self.splitter.partial
            and not self._pending_lines
            and self.front.lifecycle.closes_idle_connections()
        ):
            self.close_gracefully()

    def carries_calls(self) -> bool:
        """Whether it has an open set-up, an established call or an unconfirmed release."""
        return bool(self.open_set_ups or self.established_calls or self.unconfirmed_releases)

    def can_carry_release(self) -> bool:
        """Whether a release may be sent on it now."""
        return self.alive and not self.closing and self.identified and not self.write_blocked

    def close_gracefully(self) -> None:
        """Fails the set-ups still open, then closes once the buffered output is sent.

        The close waits for answers that are still being put on record. Input is ignored meanwhile."""
        if self.alive and not self.closing:
            self.closing = True
            for request in list(self.open_set_ups.values()):
                self.front.broker.fail(request)
            self.front.broker.recorder.barrier(self._finish_close)

    def _finish_close(self) -> None:
        if self.alive:
            self.alive = False
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            if self._timeout is not None:
                self._timeout.cancel()
            self._timeout = self.deadlines.set(
                self.clock.now() + CLOSE_TIMEOUT_MS, self.transport.abortConnection
            )


def parse_extras(text: str, pools: Iterable[int] | None) -> dict[str, int]:
    """The numbers in a set-up's `extras`; `pools` are those of its class, None where it has no pools.

    Raises BadLineError for one out of range, which neither the module nor a server should see."""
    found = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        if name in EXTRAS_RANGES or not colon:
            if not INTEGER_PATTERN.match(value):
                raise BadLineError(f"opts.extras: {pair[:40]!r}: not an integer")
            least, most = EXTRAS_RANGES[name]
            if not least <= int(value) <= most:
                raise BadLineError(f"opts.extras: {pair[:40]!r}: must be {least} to {most}")
            found[name] = int(value)
    if pools is not None and found.get("dest", -1) not in (-1, *pools):
        raise BadLineError(f"opts.extras: dest {found['dest']} is not a pool of this class of call")
    return found


def is_repeat(message: Message, recorded_answer: RecordedAnswer, connection: ClientConnection) -> bool:
    """Whether a set-up is identical to the one that `recorded_answer` answered."""
    return message.blob is not None and recorded_answer.matches(
        message.opts.get("class", ""), connection.host, message.blob.encode()
    )


class PlatformFront:
    """The broker's `Front` for clients that speak JSON lines.

    `releases` keeps the releases of calls that ended at a server until their clients confirm them."""

    def __init__(self, broker: Broker, lifecycle: Lifecycle, gate: Gate) -> None:
        self.broker = broker
        self.lifecycle = lifecycle
        self.gate = gate
        self.connections: HandleTable[ClientConnection] = HandleTable()
        self.connections_by_admission: dict[int, ClientConnection] = {}
        self.releases = ClientReleases(broker, self.connections)
        self.longest_deadline_ms = self.releases.longest_deadline_ms

    def serving(self) -> bool:
        """Whether clients that ask are told that this process accepts new connections."""
        return self.lifecycle.is_ready()

    def drain(self) -> None:
        """Closes idle connections in a drain or handover; the others close once they are idle."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_all(self) -> None:
        """Closes every connection at the end of the program, once its buffered output is sent."""
        for connection in list(self.connections):
            connection.close_gracefully()

    def unclosed(self) -> int:
        """The number of client connections that a drain, a handover or the exit waits for: all open ones."""
        return len(self.connections)

    def busy(self) -> bool:
        """Whether any connection has an open set-up, an established call or an unconfirmed release."""
        return any(conn.carries_calls() for conn in self.connections)

    def build(self, address: str) -> ClientConnection | None:
        """Returns a protocol for a new connection from `address`, None if the gate refuses it.

        Closes the connections that the gate evicts to make room."""
        verdict = self.gate.admit(address, self.broker.clock.now())
        self.shed(verdict.shed)
        return None if verdict.admission is None else ClientConnection(self, verdict.admission)

    def shed(self, admissions: Iterable[Admission]) -> None:
        """Closes connections that the gate evicts."""
        for admission in admissions:
            connection = self.connections_by_admission.get(admission.number)
            if connection is not None:
                connection.drop()
                self.connection_lost(connection)

    def record_offence(self, connection: ClientConnection) -> None:
        """Reports a malformed line to the gate, which may refuse the address for some time.

        A known client is never refused for this, so its malformed lines are logged."""
        now = self.broker.clock.now()
        if self.gate.is_known(connection.host, now):
            connection.limited_log.warn(
                now, connection.peer, f"malformed line from known client {connection.host}: not penalized"
            )
        self.gate.penalize(connection.host, now)

    # From clients

    def is_new_call(self, call: str) -> bool:
        """Whether no call of this id is open, established, ending or still to be released.

        Calls of the predecessor that hands over to this process count too."""
        broker = self.broker
        return (
            broker.find_request(call) is None
            and call not in broker.ending
            and call not in self.releases.pending
            and not broker.recorder.pending_elsewhere(call)
        )

    def handle_start(self, connection: ClientConnection, message: Message) -> None:
        """Handles a set-up: hands it to the broker, refuses it, or repeats the answer of a known call.

        Raises BadLineError for a value that is out of range."""
        broker = self.broker
        tag = message.tag
        opts = message.opts
        for name, value in opts.items():
            if len(value) > MAX_OPTION_BYTES:
                raise BadLineError(f"opts.{name[:40]}: over the limit of {MAX_OPTION_BYTES} bytes")
        broker.recorder.refresh()
        if (known := broker.find_request(tag) or broker.ending.get(tag)) is not None:
            if not self.repeat_answer(connection, known, message):
                self.reject_duplicate(connection, known)
            return
        if tag in self.releases.failed_ids or (
            (release := self.releases.pending.get(tag)) is not None and release.answer is not None
        ):
            self.answer_ended_call(connection, message)
            return
        call_class = opts.get("class", "")
        key = opts.get("key", "")
        left_ms = jsonl.parse_numbers(f"left:{opts.get('left', '')}").get("left", math.nan)
        if call_class not in broker.rules.pools_by_class:
            raise BadLineError(f"opts.class: no such class of call: {call_class[:40]!r}")
        if not 0.0 < left_ms <= self.longest_deadline_ms * 2.0:
            raise BadLineError(
                f"opts.left: must be above 0 ms and at most twice the longest deadline of "
                f"{self.longest_deadline_ms:g} ms, got {left_ms:g}"
            )
        if key and not KEY_PATTERN.match(key):
            raise BadLineError("opts.key: not 16 hex digits")
        if message.blob is None or len(message.blob.encode()) + len(call_class) > MAX_DESCRIPTION_BYTES:
            raise BadLineError(
                f"blob: missing, or over the limit of {MAX_DESCRIPTION_BYTES} bytes for it and the class name"
            )
        extras = parse_extras(opts.get("extras", ""), broker.rules.pools_by_class[call_class])
        team = opts.get("tenant", "-")
        held_bytes = request_bytes(message.blob, team)
        if (
            not self.lifecycle.accepts_requests()
            or len(connection.open_set_ups) >= MAX_OPEN_SET_UPS
            or not self.gate.may_hold(connection.admission, held_bytes)
            or (self.lifecycle.is_draining() and connection.carries_calls())
        ):
            broker.metrics.deferred(call_class)
            connection.send_message(Message("FINISH", tag, rc=jsonl.OVERLOADED))
            return
        if self.gate.limits.by_team and self.gate.mark_identified(connection.admission, team) is not None:
            broker.metrics.deferred(call_class)
            connection.send_message(Message("FINISH", tag, rc=jsonl.OVERLOADED))
            connection.close_gracefully()
            return
        request = Request(
            tag,
            call_class,
            key,
            message.blob,
            broker.clock.now() + left_ms,
            self,
            connection.handle,
            team,
            client=connection.host,
            held_bytes=held_bytes,
        )
        connection.add_set_up(request)
        broker.request_arrived(
            request,
            api.CallArrived(
                tag,
                call_class,
                team,
                left_ms,
                extras.get("dest", -1),
                int(key, 16) if key else 0,
                redial=opts.get("retry", "0") not in ("", "0"),
                cut_before=bool(extras.get("again", 0)),
            ),
        )

    def reject_duplicate(self, connection: ClientConnection, known: Request) -> None:
        """Refuses a set-up whose id is in use: it would not be clear which of the two an answer is for.

        Repeated on its own connection, the open set-up itself fails. The connection is closed."""
        connection.limited_log.warn(
            self.broker.clock.now(),
            connection.peer,
            f"set-up {known.id}: its id is in use by an earlier call; closing the connection",
        )
        if known.front is not self or known.connection_id != connection.handle:
            connection.send_message(Message("FINISH", known.id, rc=jsonl.OVERLOADED))
        elif known.state is State.OPEN:
            self.broker.fail(known)
        connection.close_gracefully()

    def repeat_answer(self, connection: ClientConnection, known: Request, message: Message) -> bool:
        """Sends the recorded answer again to a client that repeats a set-up and may have missed the answer.

        Returns False, and sends nothing, if this is a different set-up or the connection on which the answer
        was sent is still open."""
        if (
            known.recorded_answer is None
            or known.id in getattr(self.connections.get(known.connection_id), "established_calls", ())
            or known.state is State.OPEN
            or not is_repeat(message, known.recorded_answer, connection)
        ):
            return False
        known.connection_id = connection.handle
        connection.established_calls.add(known.id)
        self._send_answer(connection, known.id, known.recorded_answer)
        return True

    def _send_answer(self, connection: ClientConnection, call: str, recorded_answer: RecordedAnswer) -> None:
        connection.trusted = True
        connection.send_message(Message("STARTED", call, blob=str(recorded_answer.answer)))

    def answer_ended_call(self, connection: ClientConnection, message: Message) -> None:
        """Answers the repeated set-up of a call that has ended by now.

        While the release is held back, the client gets the recorded answer and then the release. Once the
        release has been sent it gets that alone, which a waiting client takes for a failure: an answer after
        it would be a second final answer."""
        call = message.tag
        release = self.releases.pending.get(call)
        if release is None:
            connection.send_message(Message("FINISH", call, rc=jsonl.BROKEN))
        elif release.answer is None or not is_repeat(message, release.answer, connection):
            connection.send_message(Message("FINISH", call, rc=jsonl.OVERLOADED))
            connection.close_gracefully()
        else:
            release.connection_id = connection.handle  # who repeats the set-up is the call's client
            if release.hold_until_ms:
                self._send_answer(connection, call, release.answer)
                release.hold_until_ms = 0.0
                release.answer = None
            self.releases.send_on(call, connection)

    def handle_finish(self, connection: ClientConnection, message: Message) -> None:
        """Handles a give-up before the answer or the release of an established call, on any connection."""
        self.broker.recorder.refresh()
        request = self.broker.find_request(message.tag)
        answered_on = None
        if request is None:
            # Also a give-up that crosses the final answer: the broker still knows the id and does nothing.
            connection.remove_set_up(message.tag)
            self.releases.settle(message.tag, connection)
            self.broker.release_unknown(message.tag)
        else:
            self._remove_open(request)
            if request.state is State.OPEN:
                self.broker.gone(request)
            else:
                answered_on = self._remove_established_call(request.id, request.connection_id)
                self.broker.release(request)
        self.broker.recorder.barrier(lambda: self._confirm_finish(connection, message.tag, answered_on))

    def _remove_established_call(self, call: str, connection_id: int) -> ClientConnection | None:
        """Removes a call from the connection on which it was answered; returns that connection, if open."""
        connection = self.connections.get(connection_id)
        if connection is None or call not in connection.established_calls:
            return None
        connection.established_calls.discard(call)
        return connection

    def _confirm_finish(
        self, connection: ClientConnection, tag: str, answered_on: ClientConnection | None
    ) -> None:
        connection.send_message(Message("FINISHED", tag))
        connection.close_if_idle()  # after the confirmation, which must be sent before the close
        if answered_on is not None:
            answered_on.close_if_idle()

    def handle_finished(self, connection: ClientConnection, tag: str) -> None:
        """Handles the confirmation of a release; the connection counts as a regular client's from now on."""
        if self.releases.confirm(tag, connection):
            connection.trusted = True

    def connection_lost(self, connection: ClientConnection) -> None:
        """Gives up the open set-ups of a closed connection; its unconfirmed releases go to another one."""
        if self.connections.get(connection.handle) is not connection:
            return  # evicted by the gate, and already handled
        self.connections.remove(connection.handle)
        del self.connections_by_admission[connection.admission.number]
        self.gate.remove(connection.admission)
        opened = list(connection.open_set_ups.values())
        connection.open_set_ups = {}
        for request in opened:
            if request.state is State.OPEN:
                self.broker.gone(request)
            else:
                self.broker.release(request)  # answered, but the answer is still being recorded
        self.releases.connection_lost(connection)

    # Called by the broker: see `core.calls.Front`

    def is_waiting(self, request: Request) -> bool:
        """False also if the client's close has arrived and has not been read yet."""
        connection = self.connections.get(request.connection_id)
        return (
            connection is not None
            and connection.open_set_ups.get(request.id) is request
            and not connection.check_peer_closed()
        )

    def _remove_open(self, request: Request) -> ClientConnection | None:
        """Removes a set-up from the connection that waits for its answer; None if that one is closed.

        Guards against a later connection with the same handle: the answer may have waited to be recorded."""
        connection = self.connections.get(request.connection_id)
        if connection is None or connection.open_set_ups.get(request.id) is not request:
            return None
        connection.remove_set_up(request.id)
        return connection

    def _send_final(self, request: Request, message: Message) -> None:
        connection = self._remove_open(request)
        if connection is not None:
            if message.verb == "STARTED":
                connection.trusted = True
                connection.established_calls.add(request.id)
                self.gate.trust(connection.admission, self.broker.clock.now())
            connection.send_message(message)
            connection.close_if_idle()

    def call_established(self, request: Request, description: Body) -> None:
        self._send_final(request, Message("STARTED", request.id, blob=str(description)))

    def call_refused(self, request: Request, retry_after_ms: float) -> None:
        # The platform's refusal has no field for `retry_after_ms`.
        self._send_final(request, Message("FINISH", request.id, rc=jsonl.OVERLOADED))

    def call_failed(self, request: Request) -> None:
        self._send_final(request, Message("FINISH", request.id, rc=jsonl.BROKEN))

    def call_ended(
        self,
        call: str,
        client: str,
        connection_id: int,
        outcome: Outcome,
        recorded_answer: RecordedAnswer | None = None,
    ) -> None:
        """Sends the release to the call's client, and again until it is confirmed.

        It is delayed if the client may repeat its set-up to get a lost answer; see `ClientReleases`."""
        answered_on = self._remove_established_call(call, connection_id)
        missed_answer = recorded_answer if answered_on is None else None
        self.releases.add(call, client, outcome, connection_id, missed_answer, restarted=connection_id < 0)
        if answered_on is not None:
            answered_on.close_if_idle()
