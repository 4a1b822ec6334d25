"""The platform's front: JSON lines from clients, as thin as it can be."""

from __future__ import annotations

import logging
import math
import re
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from frostport import interface as api
from frostport.admission.gate import Gate, Seat
from frostport.core.broker import Broker
from frostport.core.calls import Body, Given, Request, State, held_until
from frostport.core.deadlines import Deadline
from frostport.core.lifecycle import Lifecycle
from frostport.core.slots import Slots
from frostport.interface import Outcome
from frostport.net import jsonl
from frostport.net.jsonl import BadLineError, LineConnection, Message

log = logging.getLogger("frostport.front")

RELEASE_RETRY_WINDOW_MS = 8000.0  # a release not yet heard is sent again on another connection for so long
RELEASE_RETRY_MS = 250.0  # after this long without a word on it
FIRST_LINE_TIMEOUT_MS = 2000.0  # a connection that has said nothing whole by then is closed
PARTIAL_LINE_TIMEOUT_MS = 2000.0  # so is one that stops in the middle of a line
WRITE_STALL_TIMEOUT_MS = 2000.0  # and one that does not read what is sent to it
CLOSE_TIMEOUT_MS = 1000.0  # for what was said before a close to leave
MAX_MALFORMED_LINES = 3  # set-ups that can't be used, on one connection, before it is closed
MAX_OPEN_SET_UPS = 100  # open set-ups on one connection: it is refused more
MAX_DESCRIPTION_BYTES = jsonl.MAX_LINE_BYTES - 512  # a set-up of this size still fits a line when it goes on
UNSENT_RELEASE_KEEP_MS = 60_000.0  # one that could be told nobody is kept so long for the next that connects
KEY_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}\Z")
INTEGER_PATTERN = re.compile(r"-?[0-9]{1,9}\Z")
CAUSE_BY_OUTCOME = {Outcome.OK: jsonl.NORMAL, Outcome.CANCELLED: jsonl.NORMAL}
# The figures of a set-up, and how far each may go; the pool of first choice is also looked up.
EXTRAS_RANGES = {"dest": (-1, 0xFFFF), "width": (1, 0xFFFF), "via": (-1, 0xFFFF), "again": (0, 1)}


@dataclass(slots=True)
class PendingRelease:
    """A release that no client has confirmed yet."""

    cause: int
    since: float
    slot: int  # the connection it went out on, -1: none
    host: str  # where the call's client connects from
    said_at: float = 0.0
    given: Given | None = None  # the answer on record, where the client may not have heard it
    held_until: float = 0.0  # not told before: until then a repeated set-up gets the answer, and this after


class ClientConnection(LineConnection):
    """One connection of clients; it carries many calls and owns none that stands.

    Each set-up that it opened ends through its answer or `Broker.gone`, once; no attempt
    begins for one whose client has closed or given it up, wherever that is heard first."""

    read_ahead_bytes = (
        64 * 1024
    )  # guards against a close or a give-up that nobody hears behind a turn's lines

    def __init__(self, front: PlatformFront, seat: Seat) -> None:
        super().__init__(front.broker.clock, front.broker.deadlines)
        self.front, self.seat = front, seat
        self.seat_in_use = False  # its seat is known to be in use
        self.slot = -1
        self.host = ""
        self.open_set_ups: dict[str, Request] = {}
        self.heard_at = 0.0  # the last whole line
        self.identified = False  # a well-formed message has come
        self.trusted = False  # a call has stood here, or a release was heard: a usual client's
        self.malformed_count = 0
        self.unconfirmed_releases: set[str] = set()  # releases said here and not confirmed
        self.standing: set[str] = set()  # calls answered here that stand: their release is told here
        self._timeout: Deadline | None = None
        self._unhandled_set_ups: set[str] = set()  # set-ups read and not handled yet
        self._early_give_ups: Counter[str] = Counter()  # those of them whose give-up has been read as well

    def on_open(self) -> None:
        self.slot = self.front.connections.add(self)
        self.peer = f"client connection {self.slot}"
        self.host = str(getattr(self.transport.getPeer(), "host", ""))
        self.front.connections_by_seat[self.seat.number] = self
        self.heard_at = self.clock.now()
        self.transport.registerProducer(self, True)
        # Guards against connections that come by hundreds and say nothing, or half a line.
        self._set_timeout(FIRST_LINE_TIMEOUT_MS)

    def _set_timeout(self, ms: float | None, then: Callable[[], None] | None = None) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = None if ms is None else self.deadlines.set(self.clock.now() + ms, then or self.drop)

    def on_close(self) -> None:
        self._set_timeout(None)
        self.front.connection_lost(self)

    # As the producer of what is written to it

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Guards against a client that asks and does not read: nothing is begun for it until it does.

        What is read ahead meanwhile tells of its give-ups."""
        self.write_blocked = True
        if self.alive:
            self._set_timeout(WRITE_STALL_TIMEOUT_MS, self._on_write_stall)

    def _on_write_stall(self) -> None:
        """It has not read for too long. Guards releases among lines that wait: they count as on a close."""
        self.peer_closed = True
        self._handle_lines(len(self._pending_lines))
        self.drop()

    def resumeProducing(self) -> None:  # noqa: N802
        self.write_blocked = False
        if self.alive:
            self._set_timeout(None)
            self.resume_handling()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    # What it says

    def on_lines_read(self, lines: list[tuple[bytes, bool]]) -> list[tuple[bytes, bool]]:
        """Guards against an attempt for a set-up that is given up already, in lines read and not handled.

        A give-up of an open set-up is handled at once; one of a set-up that waits here stops it."""
        if not self.write_blocked and not self._pending_lines and len(lines) < 2:
            return lines
        later = []
        for line, oversize in lines:
            found = jsonl.TAG_FIELD.search(line)
            tag = found.group(1).decode() if found and not oversize else ""
            if tag and jsonl.START_VERB.search(line):
                self._unhandled_set_ups.add(tag)
            elif tag and jsonl.FINISH_VERB.search(line):
                if tag in self._unhandled_set_ups:
                    self._early_give_ups[tag] += 1
                elif tag in self.open_set_ups:
                    self._handle_line(line, oversize)
                    continue
            later.append((line, oversize))
        return later

    def _still_wanted(self, tag: str) -> bool:
        """Whether a set-up that was read is still wanted now that its turn has come.

        One that repeats a known call goes its usual way: its give-up releases what stands."""
        self._unhandled_set_ups.discard(tag)
        return not (self.peer_closed or self._early_give_ups[tag]) or not self.front.is_new_call(tag)

    def _cancels_unhandled(self, tag: str) -> bool:
        """A give-up whose turn has come: whether it was for a set-up that it stopped here."""
        given_up = self._early_give_ups[tag] > 0
        if given_up:
            self._early_give_ups.subtract((tag,))
            self._early_give_ups += Counter()  # drops what has come to nought
        return given_up and self.front.is_new_call(tag)

    def on_read(self) -> None:
        self.close_if_idle()
        if not self.alive:
            return
        if not self.splitter.partial:
            if self.identified and not self.write_blocked:
                self._set_timeout(None)
        elif self._timeout is None:
            self._set_timeout(PARTIAL_LINE_TIMEOUT_MS, self.close_gracefully)

    def on_line(self, line: bytes) -> None:
        message = jsonl.decode(line)
        self.heard_at = self.clock.now()
        if not self.identified:
            self.identified = True
            self.front.gate.identified(self.seat)
            self.front.send_unsent_releases()
        else:
            self.front.gate.heard(self.seat)
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
        self.malformed_count += 1
        self.front.record_offence(self)
        named = problem.is_start and problem.tag is not None
        if named and self.front.broker.find(problem.tag or "") is None:
            self.send_message(Message("FINISH", problem.tag or "", rc=jsonl.OVERLOADED))
        if not named or self.splitter.overflowed or self.malformed_count >= MAX_MALFORMED_LINES:
            self.close_gracefully()

    def update_seat(self) -> None:
        """Tells the gate whether the seat is in use: by an open set-up, or something owed."""
        used = bool(self.open_set_ups or self.unconfirmed_releases)
        if used is not self.seat_in_use:
            self.seat_in_use = used
            (self.front.gate.took if used else self.front.gate.done)(self.seat)

    def close_if_idle(self) -> None:
        """While the agent empties, closes once nothing is open or owed here and nothing waits to be read.

        Guards against losing a request: one that was read, or begun, is served first."""
        if (
            self.alive
            and self.identified
            and not self.carries_calls()
            and not self.splitter.partial
            and not self._pending_lines
            and self.front.lifecycle.emptying()
        ):
            self.close_gracefully()

    def carries_calls(self) -> bool:
        """Whether a call that is not over, or whose end is not confirmed, was set up or is told here."""
        return bool(self.open_set_ups or self.standing or self.unconfirmed_releases)

    def can_carry_release(self) -> bool:
        """Whether a release may be told here."""
        return self.alive and not self.closing and self.identified and not self.write_blocked

    def close_gracefully(self) -> None:
        """Closes once what was said has left; each set-up still open here is answered first.

        An answer may wait for its record: the close comes after it. Nothing more is heard meanwhile."""
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
    """The figures in `extras`; guards the module and the servers behind it against any out of range."""
    found = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        if name in EXTRAS_RANGES or not colon:
            if not INTEGER_PATTERN.match(value):
                raise BadLineError(f"opts.extras: {pair[:40]!r}: not a whole number")
            least, most = EXTRAS_RANGES[name]
            if not least <= int(value) <= most:
                raise BadLineError(f"opts.extras: {pair[:40]!r}: out of range")
            found[name] = int(value)
    if pools is not None and found.get("dest", -1) not in (-1, *pools):
        raise BadLineError(f"opts.extras: no pool {found['dest']} for this class")
    return found


def is_repeat(message: Message, given: Given, connection: ClientConnection) -> bool:
    """Whether a set-up is the very one that has been answered."""
    return message.blob is not None and given.repeats(
        message.opts.get("class", ""), connection.host, message.blob.encode()
    )


class PlatformFront:
    """Reads set-ups and releases from clients, and writes answers, refusals and releases to them."""

    def __init__(self, broker: Broker, lifecycle: Lifecycle, gate: Gate) -> None:
        self.broker, self.lifecycle, self.gate = broker, lifecycle, gate
        self.connections: Slots[ClientConnection] = Slots()
        self.connections_by_seat: dict[int, ClientConnection] = {}
        self.pending_releases: dict[str, PendingRelease] = {}
        self.failed_ids: dict[str, float] = {}  # told as over without their answer: that was the final word
        self._retry_timer: Deadline | None = None
        settings = broker.rules.settings
        self.longest_deadline_ms = max((cls.deadline_ms for cls in settings.classes), default=0.0)

    def serving(self) -> bool:
        return self.lifecycle.ready()

    def empty(self) -> None:
        """The agent empties: connections that hold nothing close now, the others once they do."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def hang_up(self) -> None:
        """The program ends: closes every connection once what was said on it has left."""
        for connection in list(self.connections):
            connection.close_gracefully()

    def held(self) -> int:
        """Client connections still open."""
        return len(self.connections)

    def busy(self) -> bool:
        """Whether a connection has a set-up open, a call standing or a release to be confirmed."""
        return any(at.carries_calls() for at in self.connections)

    def build(self, address: str) -> ClientConnection | None:
        """A protocol for a new connection that the gate admits; those who make room for it are closed."""
        verdict = self.gate.arrive(address, self.broker.clock.now())
        self.shed(verdict.shed)
        return None if verdict.seat is None else ClientConnection(self, verdict.seat)

    def shed(self, seats: Iterable[Seat]) -> None:
        """Closes connections that the gate has given up."""
        for seat in seats:
            connection = self.connections_by_seat.get(seat.number)
            if connection is not None:
                connection.drop()
                self.connection_lost(connection)

    def record_offence(self, connection: ClientConnection) -> None:
        now = self.broker.clock.now()
        if self.gate.is_known(connection.host, now):
            connection.complaints.say(now, connection.peer, f"a known client's, {connection.host}")
        self.gate.offends(connection.host, now)

    # From clients

    def is_new_call(self, call: str) -> bool:
        """Whether a set-up of this id would begin a call: none is open, standing, ending or owed its end,
        here or in the process before this one."""
        broker = self.broker
        return (
            broker.find(call) is None
            and call not in broker.ending
            and call not in self.pending_releases
            and not broker.recorder.elsewhere(call)
        )

    def handle_start(self, connection: ClientConnection, message: Message) -> None:
        broker, tag, opts = self.broker, message.tag, message.opts
        broker.recorder.look()
        if (known := broker.find(tag) or broker.ending.get(tag)) is not None:
            if not self.repeat_answer(connection, known, message):
                self.reject_duplicate(connection, known)
            return
        if tag in self.failed_ids or (
            (owed := self.pending_releases.get(tag)) is not None and owed.given is not None
        ):
            self.answer_ended_call(connection, message)
            return
        name, key = opts.get("class", ""), opts.get("key", "")
        left = jsonl.parse_numbers(f"left:{opts.get('left', '')}").get("left", math.nan)
        if name not in broker.rules.pools:
            raise BadLineError(f"opts.class: unknown: {name[:40]!r}")
        if not 0.0 < left <= self.longest_deadline_ms * 2.0:
            raise BadLineError("opts.left: no time that a caller could wait")
        if key and not KEY_PATTERN.match(key):
            raise BadLineError("opts.key: not 16 hex digits")
        if message.blob is None or len(message.blob.encode()) + len(name) > MAX_DESCRIPTION_BYTES:
            raise BadLineError("blob: no description, or one too long to go on")
        parse_numbers = parse_extras(opts.get("extras", ""), broker.rules.pools[name])
        if (
            not self.lifecycle.takes()
            or len(connection.open_set_ups) >= MAX_OPEN_SET_UPS
            or (self.lifecycle.drains() and connection.carries_calls())
        ):
            broker.tally.deferred(name)
            connection.send_message(Message("FINISH", tag, rc=jsonl.OVERLOADED))
            return
        team = opts.get("tenant", "-")
        if self.gate.limits.by_team and self.gate.identified(connection.seat, team) is not None:
            broker.tally.deferred(name)
            connection.send_message(Message("FINISH", tag, rc=jsonl.OVERLOADED))
            connection.close_gracefully()
            return
        request = Request(
            tag,
            name,
            key,
            message.blob,
            broker.clock.now() + left,
            self,
            connection.slot,
            team,
            client=connection.host,
        )
        connection.open_set_ups[tag] = request
        connection.update_seat()
        broker.arrive(
            request,
            api.CallArrived(
                tag,
                name,
                team,
                left,
                parse_numbers.get("dest", -1),
                int(key, 16) if key else 0,
                redial=opts.get("retry", "0") not in ("", "0"),
                cut_before=bool(parse_numbers.get("again", 0)),
            ),
        )

    def reject_duplicate(self, connection: ClientConnection, known: Request) -> None:
        """Guards against an id that is open or stands: which one an answer is for, nobody could tell."""
        connection.complaints.say(self.broker.clock.now(), connection.peer, f"set-up {known.id} came again")
        if known.front is not self or known.place != connection.slot:
            connection.send_message(Message("FINISH", known.id, rc=jsonl.OVERLOADED))
        elif known.state is State.OPEN:
            self.broker.fail(known)
        connection.close_gracefully()

    def repeat_answer(self, connection: ClientConnection, known: Request, message: Message) -> bool:
        """A client repeats a set-up whose answer is on record, and may never have come to it.

        It gets that answer, and there is no second set-up; False where this is another set-up, or the
        connection that the answer was given on is still there."""
        if (
            known.given is None
            or known.id in getattr(self.connections.get(known.place), "standing", ())
            or known.state is State.OPEN
            or not is_repeat(message, known.given, connection)
        ):
            return False
        known.place = connection.slot
        connection.standing.add(known.id)
        self._send_answer(connection, known.id, known.given)
        return True

    def _send_answer(self, connection: ClientConnection, call: str, given: Given) -> None:
        connection.trusted = True
        connection.send_message(Message("STARTED", call, blob=str(given.answer)))

    def answer_ended_call(self, connection: ClientConnection, message: Message) -> None:
        """A client repeats a set-up that was answered, and whose call is over by now: it gets one final word.

        While the end is held back, that is the answer, with the release after it; once the end has been told,
        it is the end, a failure to whom still waits: no answer comes after it."""
        call, owed = message.tag, self.pending_releases.get(message.tag)
        if owed is None:
            connection.send_message(Message("FINISH", call, rc=jsonl.BROKEN))
        elif owed.given is None or not is_repeat(message, owed.given, connection):
            connection.send_message(Message("FINISH", call, rc=jsonl.OVERLOADED))
            connection.close_gracefully()
        else:
            if owed.held_until:
                self._send_answer(connection, call, owed.given)
                owed.held_until, owed.given = 0.0, None
            self._send_release(call, connection)

    def handle_finish(self, connection: ClientConnection, message: Message) -> None:
        """A give-up before the answer, or the release of a call that stands, on any connection."""
        self.broker.recorder.look()
        request, answered_on = self.broker.find(message.tag), None
        if request is None:
            # Also where a give-up crosses our final answer: there the broker knows the id, and does nothing.
            connection.open_set_ups.pop(message.tag, None)
            connection.update_seat()
            self._settle_release(message.tag)
            self.broker.release_unknown(message.tag)
        else:
            self._remove_open(request)
            if request.state is State.OPEN:
                self.broker.gone(request)
            else:
                answered_on = self._remove_standing(request.id, request.place)
                self.broker.release(request)
        self.broker.recorder.barrier(lambda: self._confirm_finish(connection, message.tag, answered_on))

    def _remove_standing(self, call: str, place: int) -> ClientConnection | None:
        """A call no longer stands on the connection where it was answered; that connection, if any."""
        connection = self.connections.get(place)
        if connection is None or call not in connection.standing:
            return None
        connection.standing.discard(call)
        return connection

    def _confirm_finish(
        self, connection: ClientConnection, tag: str, answered_on: ClientConnection | None
    ) -> None:
        connection.send_message(Message("FINISHED", tag))
        connection.close_if_idle()  # only now: the confirmation leaves before the close
        if answered_on is not None:
            answered_on.close_if_idle()

    def handle_finished(self, connection: ClientConnection, tag: str) -> None:
        if self._settle_release(tag):
            connection.trusted = True

    def _settle_release(self, tag: str) -> bool:
        """A release is no longer owed, if it was."""
        owed = self.pending_releases.pop(tag, None)
        if owed is None:
            return False
        if owed.given is not None:
            self.failed_ids[tag] = now = self.broker.clock.now()
            while next(iter(self.failed_ids.values())) < now - UNSENT_RELEASE_KEEP_MS:
                del self.failed_ids[next(iter(self.failed_ids))]
        self._assign_release(tag, owed, -1)
        self.broker.recorder.settled(tag)
        return True

    def connection_lost(self, connection: ClientConnection) -> None:
        """The open set-ups of a connection go with it; what is owed on it goes to another."""
        if self.connections.get(connection.slot) is not connection:
            return  # it made room for another already
        self.connections.free(connection.slot)
        del self.connections_by_seat[connection.seat.number]
        self.gate.gone(connection.seat)
        opened, connection.open_set_ups = list(connection.open_set_ups.values()), {}
        for request in opened:
            if request.state is State.OPEN:
                self.broker.gone(request)
            else:
                self.broker.release(request)  # its answer waits for its record, and has nobody to go to
        for tag in connection.unconfirmed_releases:
            self.pending_releases[tag].slot = -1
        connection.unconfirmed_releases.clear()
        self.send_unsent_releases()

    # From the broker

    def waits(self, request: Request) -> bool:
        connection = self.connections.get(request.place)
        return (
            connection is not None
            and connection.open_set_ups.get(request.id) is request
            and not connection.check_peer_closed()
        )

    def _remove_open(self, request: Request) -> ClientConnection | None:
        """Its connection, if that still waits for the answer: it has left, or has nobody to go to,
        afterwards.

        Guards against another connection in the same slot: an answer may have waited for its record."""
        connection = self.connections.get(request.place)
        if connection is None or connection.open_set_ups.get(request.id) is not request:
            return None
        del connection.open_set_ups[request.id]
        connection.update_seat()
        return connection

    def _send_final(self, request: Request, message: Message) -> None:
        connection = self._remove_open(request)
        if connection is not None:
            if message.verb == "STARTED":
                connection.trusted = True
                connection.standing.add(request.id)
                self.gate.earns(connection.seat, self.broker.clock.now())
            connection.send_message(message)
            connection.close_if_idle()

    def stands(self, request: Request, description: Body) -> None:
        self._send_final(request, Message("STARTED", request.id, blob=str(description)))

    def refused(self, request: Request, stay_away_ms: float) -> None:
        # The platform's refusal has no field for a time to come back.
        self._send_final(request, Message("FINISH", request.id, rc=jsonl.OVERLOADED))

    def failed(self, request: Request) -> None:
        self._send_final(request, Message("FINISH", request.id, rc=jsonl.BROKEN))

    def over(self, call: str, place: int, outcome: Outcome, given: Given | None = None) -> None:
        connection, now = self.connections.get(place), self.broker.clock.now()
        answered_on = self._remove_standing(call, place)
        host = connection.host if connection is not None else ""
        owed = self.pending_releases[call] = PendingRelease(
            CAUSE_BY_OUTCOME.get(outcome, jsonl.BROKEN), now, -1, host
        )
        if given is not None and answered_on is None:
            self._hold_release(owed, given, now, place < 0)
        if not owed.held_until:
            self._send_release(
                call, connection if connection is not None and connection.can_carry_release() else None
            )
        if answered_on is not None:
            answered_on.close_if_idle()
        self._schedule_retry()

    def _hold_release(self, owed: PendingRelease, given: Given, now: float, restarted: bool) -> None:
        """Guards a client that waits for the answer of a repeated set-up against hearing the end first.

        Without a restart since the answer, the end is told at once: it is the final word then."""
        owed.given = given
        until = held_until(given.at, now, self.longest_deadline_ms)
        if restarted and until > now:
            owed.host, owed.held_until = given.client, until

    def resume(
        self, owed: Mapping[str, tuple[str, Outcome, float]], given: Callable[[str], Given | None]
    ) -> None:
        """Releases owed since before a restart: client, outcome, since when. Each goes to whoever speaks
        next, unless its answer may not have been heard."""
        now = self.broker.clock.now()
        for call, (host, outcome, since) in owed.items():
            if call in self.pending_releases:
                continue  # owed here already
            self.pending_releases[call] = PendingRelease(
                CAUSE_BY_OUTCOME.get(outcome, jsonl.BROKEN), since, -1, host
            )
            if (answer := given(call)) is not None:
                self._hold_release(self.pending_releases[call], answer, now, True)
        self._schedule_retry()

    def _send_release(self, call: str, connection: ClientConnection | None) -> None:
        """Says a release on a connection, else on the best one there is."""
        owed, now = self.pending_releases[call], self.broker.clock.now()
        chosen = connection or self.best_connection(owed)
        owed.said_at = now
        said = chosen is not None and chosen.send_message(Message("FINISH", call, rc=owed.cause))
        self._assign_release(call, owed, chosen.slot if said and chosen is not None else -1)

    def _assign_release(self, call: str, owed: PendingRelease, slot: int) -> None:
        """A release is owed on another connection from now on, or on none."""
        before, owed.slot = self.connections.get(owed.slot), slot
        if before is not None:
            before.unconfirmed_releases.discard(call)
            before.update_seat()
        after = self.connections.get(slot)
        if after is not None:
            after.unconfirmed_releases.add(call)
            after.update_seat()

    def best_connection(self, owed: PendingRelease) -> ClientConnection | None:
        """A usual client's connection, of the call's own client if it has one, and not the last one tried.

        Guards against telling those who never asked: they would not pass it on."""
        usable = [at for at in self.connections if at.can_carry_release()]
        return max(
            usable,
            key=lambda at: (at.trusted, at.slot != owed.slot, at.host == owed.host, at.heard_at),
            default=None,
        )

    def send_unsent_releases(self) -> None:
        """Sends the releases owed that are on no connection."""
        for call in [
            call for call, owed in self.pending_releases.items() if owed.slot < 0 and not owed.held_until
        ]:
            self._send_release(call, None)

    def _schedule_retry(self) -> None:
        if self._retry_timer is None and self.pending_releases:
            self._retry_timer = self.broker.deadlines.set(
                self.broker.clock.now() + RELEASE_RETRY_MS, self._retry_releases
            )

    def _retry_releases(self) -> None:
        """Guards against releases told to a client that does not hear: another one is told, for a while."""
        self._retry_timer, now = None, self.broker.clock.now()
        for owed in self.pending_releases.values():
            if owed.held_until and owed.held_until <= now:
                owed.held_until, owed.since = 0.0, now
        for call in [
            call
            for call, owed in self.pending_releases.items()
            if now - owed.since >= (UNSENT_RELEASE_KEEP_MS if owed.slot < 0 else RELEASE_RETRY_WINDOW_MS)
        ]:
            self._settle_release(call)
        for call, owed in self.pending_releases.items():
            # At doubling gaps.
            if not owed.held_until and now - owed.said_at >= max(RELEASE_RETRY_MS, owed.said_at - owed.since):
                self._send_release(call, None)
        self._schedule_retry()
