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
from frostport.core.calls import Body, RecordedAnswer, Request, State, held_until
from frostport.core.deadlines import Deadline
from frostport.core.lifecycle import Lifecycle
from frostport.core.slots import Slots
from frostport.interface import Outcome
from frostport.net import jsonl
from frostport.net.jsonl import BadLineError, LineConnection, Message

log = logging.getLogger("frostport.front")

REPEAT_MS = 8000.0  # a release not yet heard is sent again on another connection for so long
UNHEARD_MS = 250.0  # after this long without a word on it
FIRST_LINE_MS = 2000.0  # a connection that has said nothing whole by then is closed
HALF_LINE_MS = 2000.0  # so is one that stops in the middle of a line
STUCK_MS = 2000.0  # and one that does not read what is sent to it
LAST_WORDS_MS = 1000.0  # for what was said before a close to leave
STRIKES = 3  # set-ups that can't be used, on one connection, before it is closed
OPEN_MOST = 100  # open set-ups on one connection: it is refused more
LONGEST_TEXT = jsonl.MAX_LINE - 512  # a set-up of this size still fits a line when it goes on
KEEP_MS = 60_000.0  # one that could be told nobody is kept so long for the next that connects
KEY = re.compile(r"[0-9a-fA-F]{1,16}\Z")
WHOLE = re.compile(r"-?[0-9]{1,9}\Z")
CAUSES = {Outcome.OK: jsonl.NORMAL, Outcome.CANCELLED: jsonl.NORMAL}
# The figures of a set-up, and how far each may go; the pool of first choice is also looked up.
FIGURES = {"dest": (-1, 0xFFFF), "width": (1, 0xFFFF), "via": (-1, 0xFFFF), "again": (0, 1)}


@dataclass(slots=True)
class Owed:
    """A release that no client has confirmed yet."""

    cause: int
    since: float
    slot: int  # the connection it went out on, -1: none
    host: str  # where the call's client connects from
    said_at: float = 0.0
    given: RecordedAnswer | None = None  # the answer on record, where the client may not have heard it
    held_until: float = 0.0  # not told before: until then a repeated set-up gets the answer, and this after


class ClientConnection(LineConnection):
    """One connection of clients; it carries many calls and owns none that stands.

    Each set-up that it opened ends through its answer or `Broker.gone`, once; no attempt
    begins for one whose client has closed or given it up, wherever that is heard first."""

    read_ahead = 64 * 1024  # guards against a close or a give-up that nobody hears behind a turn's lines

    def __init__(self, front: PlatformFront, seat: Seat) -> None:
        super().__init__(front.broker.clock, front.broker.deadlines)
        self.front, self.seat = front, seat
        self.held = False  # its seat is known to be in use
        self.slot = -1
        self.host = ""
        self.open: dict[str, Request] = {}
        self.heard_at = 0.0  # the last whole line
        self.spoke = False  # a well-formed message has come
        self.known = False  # a call has stood here, or a release was heard: a usual client's
        self.strikes = 0
        self.owing: set[str] = set()  # releases said here and not confirmed
        self.standing: set[str] = set()  # calls answered here that stand: their release is told here
        self._limit: Deadline | None = None
        self._starts: set[str] = set()  # set-ups read and not handled yet
        self._given_up: Counter[str] = Counter()  # those of them whose give-up has been read as well

    def opened(self) -> None:
        self.slot = self.front.connections.add(self)
        self.peer = f"client connection {self.slot}"
        self.host = str(getattr(self.transport.getPeer(), "host", ""))
        self.front.by_seat[self.seat.number] = self
        self.heard_at = self.clock.now()
        self.transport.registerProducer(self, True)
        # Guards against connections that come by hundreds and say nothing, or half a line.
        self._await(FIRST_LINE_MS)

    def _await(self, ms: float | None, then: Callable[[], None] | None = None) -> None:
        if self._limit is not None:
            self._limit.cancel()
        self._limit = None if ms is None else self.deadlines.set(self.clock.now() + ms, then or self.drop)

    def closed(self) -> None:
        self._await(None)
        self.front.lost(self)

    # As the producer of what is written to it

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Guards against a client that asks and does not read: nothing is begun for it until it does.

        What is read ahead meanwhile tells of its give-ups."""
        self.stuck = True
        if self.alive:
            self._await(STUCK_MS, self._unread)

    def _unread(self) -> None:
        """It has not read for too long. Guards releases among lines that wait: they count as on a close."""
        self.gone = True
        self._work(len(self._waiting))
        self.drop()

    def resumeProducing(self) -> None:  # noqa: N802
        self.stuck = False
        if self.alive:
            self._await(None)
            self.go_on()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    # What it says

    def ahead(self, lines: list[tuple[bytes, bool]]) -> list[tuple[bytes, bool]]:
        """Guards against an attempt for a set-up that is given up already, in lines read and not handled.

        A give-up of an open set-up is handled at once; one of a set-up that waits here stops it."""
        if not self.stuck and not self._waiting and len(lines) < 2:
            return lines
        later = []
        for line, oversize in lines:
            found = jsonl.TAG_INSIDE.search(line)
            tag = found.group(1).decode() if found and not oversize else ""
            if tag and jsonl.START_INSIDE.search(line):
                self._starts.add(tag)
            elif tag and jsonl.FINISH_INSIDE.search(line):
                if tag in self._starts:
                    self._given_up[tag] += 1
                elif tag in self.open:
                    self._one(line, oversize)
                    continue
            later.append((line, oversize))
        return later

    def _begins(self, tag: str) -> bool:
        """Whether a set-up that was read is still wanted now that its turn has come.

        One that repeats a known call goes its usual way: its give-up releases what stands."""
        self._starts.discard(tag)
        return not (self.gone or self._given_up[tag]) or not self.front.fresh(tag)

    def _never_began(self, tag: str) -> bool:
        """A give-up whose turn has come: whether it was for a set-up that it stopped here."""
        given_up = self._given_up[tag] > 0
        if given_up:
            self._given_up.subtract((tag,))
            self._given_up += Counter()  # drops what has come to nought
        return given_up and self.front.fresh(tag)

    def read(self) -> None:
        self.leave_if_idle()
        if not self.alive:
            return
        if not self.lines.partial:
            if self.spoke and not self.stuck:
                self._await(None)
        elif self._limit is None:
            self._await(HALF_LINE_MS, self.hang_up)

    def line(self, line: bytes) -> None:
        message = jsonl.decode(line)
        self.heard_at = self.clock.now()
        if not self.spoke:
            self.spoke = True
            self.front.gate.identified(self.seat)
            self.front.flush()
        else:
            self.front.gate.heard(self.seat)
        match message.verb:
            case "START":
                if not self._begins(message.tag):
                    return
                try:
                    self.front.start(self, message)
                except BadLineError as problem:
                    raise BadLineError(str(problem), line) from None
            case "FINISH" if self._never_began(message.tag):
                self.say(Message("FINISHED", message.tag))
            case "FINISH":
                self.front.finish(self, message)
            case "FINISHED":
                self.front.heard(self, message.tag)
            case "ECHO":
                self.say(Message("ECHOED", message.tag, rc=int(self.front.serving())))
            case "PENDING" | "ECHOED":
                pass
            case _:
                raise BadLineError(f"verb: unknown: {message.verb}", line)

    def malformed(self, problem: BadLineError) -> None:
        self.strikes += 1
        self.front.offended(self)
        named = problem.is_start and problem.tag is not None
        if named and self.front.broker.find_request(problem.tag or "") is None:
            self.say(Message("FINISH", problem.tag or "", rc=jsonl.OVERLOADED))
        if not named or self.lines.ended or self.strikes >= STRIKES:
            self.hang_up()

    def settle(self) -> None:
        """Tells the gate whether the seat is in use: by an open set-up, or something owed."""
        used = bool(self.open or self.owing)
        if used is not self.held:
            self.held = used
            (self.front.gate.took if used else self.front.gate.done)(self.seat)

    def leave_if_idle(self) -> None:
        """While the agent empties, closes once nothing is open or owed here and nothing waits to be read.

        Guards against losing a request: one that was read, or begun, is served first."""
        if (
            self.alive
            and self.spoke
            and not self.carries_calls()
            and not self.lines.partial
            and not self._waiting
            and self.front.lifecycle.closes_idle_connections()
        ):
            self.hang_up()

    def carries_calls(self) -> bool:
        """Whether a call that is not over, or whose end is not confirmed, was set up or is told here."""
        return bool(self.open or self.standing or self.owing)

    def usable(self) -> bool:
        """Whether a release may be told here."""
        return self.alive and not self.ending and self.spoke and not self.stuck

    def hang_up(self) -> None:
        """Closes once what was said has left; each set-up still open here is answered first.

        An answer may wait for its record: the close comes after it. Nothing more is heard meanwhile."""
        if self.alive and not self.ending:
            self.ending = True
            for request in list(self.open.values()):
                self.front.broker.fail(request)
            self.front.broker.recorder.barrier(self._close)

    def _close(self) -> None:
        if self.alive:
            self.alive = False
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            if self._limit is not None:
                self._limit.cancel()
            self._limit = self.deadlines.set(self.clock.now() + LAST_WORDS_MS, self.transport.abortConnection)


def set_up_figures(text: str, pools: Iterable[int] | None) -> dict[str, int]:
    """The figures in `extras`; guards the module and the servers behind it against any out of range."""
    found = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        if name in FIGURES or not colon:
            if not WHOLE.match(value):
                raise BadLineError(f"opts.extras: {pair[:40]!r}: not a whole number")
            least, most = FIGURES[name]
            if not least <= int(value) <= most:
                raise BadLineError(f"opts.extras: {pair[:40]!r}: out of range")
            found[name] = int(value)
    if pools is not None and found.get("dest", -1) not in (-1, *pools):
        raise BadLineError(f"opts.extras: no pool {found['dest']} for this class")
    return found


def repeats(message: Message, given: RecordedAnswer, connection: ClientConnection) -> bool:
    """Whether a set-up is the very one that has been answered."""
    return message.blob is not None and given.matches(
        message.opts.get("class", ""), connection.host, message.blob.encode()
    )


class PlatformFront:
    """Reads set-ups and releases from clients, and writes answers, refusals and releases to them."""

    def __init__(self, broker: Broker, lifecycle: Lifecycle, gate: Gate) -> None:
        self.broker, self.lifecycle, self.gate = broker, lifecycle, gate
        self.connections: Slots[ClientConnection] = Slots()
        self.by_seat: dict[int, ClientConnection] = {}
        self.owed: dict[str, Owed] = {}
        self.failed_ids: dict[str, float] = {}  # told as over without their answer: that was the final word
        self._sweep: Deadline | None = None
        settings = broker.rules.settings
        self.longest_ms = max((cls.deadline_ms for cls in settings.classes), default=0.0)

    def serving(self) -> bool:
        return self.lifecycle.is_ready()

    def empty(self) -> None:
        """The agent empties: connections that hold nothing close now, the others once they do."""
        for connection in list(self.connections):
            connection.leave_if_idle()

    def hang_up(self) -> None:
        """The program ends: closes every connection once what was said on it has left."""
        for connection in list(self.connections):
            connection.hang_up()

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
            connection = self.by_seat.get(seat.number)
            if connection is not None:
                connection.drop()
                self.lost(connection)

    def offended(self, connection: ClientConnection) -> None:
        now = self.broker.clock.now()
        if self.gate.is_known(connection.host, now):
            connection.complaints.warn(now, connection.peer, f"a known client's, {connection.host}")
        self.gate.offends(connection.host, now)

    # From clients

    def fresh(self, call: str) -> bool:
        """Whether a set-up of this id would begin a call: none is open, standing, ending or owed its end,
        here or in the process before this one."""
        broker = self.broker
        return (
            broker.find_request(call) is None
            and call not in broker.ending
            and call not in self.owed
            and not broker.recorder.pending_elsewhere(call)
        )

    def start(self, connection: ClientConnection, message: Message) -> None:
        broker, tag, opts = self.broker, message.tag, message.opts
        broker.recorder.refresh()
        if (known := broker.find_request(tag) or broker.ending.get(tag)) is not None:
            if not self.answered_again(connection, known, message):
                self.twice(connection, known)
            return
        if tag in self.failed_ids or ((owed := self.owed.get(tag)) is not None and owed.given is not None):
            self.ended_before(connection, message)
            return
        name, key = opts.get("class", ""), opts.get("key", "")
        left = jsonl.figures(f"left:{opts.get('left', '')}").get("left", math.nan)
        if name not in broker.rules.pools_by_class:
            raise BadLineError(f"opts.class: unknown: {name[:40]!r}")
        if not 0.0 < left <= self.longest_ms * 2.0:
            raise BadLineError("opts.left: no time that a caller could wait")
        if key and not KEY.match(key):
            raise BadLineError("opts.key: not 16 hex digits")
        if message.blob is None or len(message.blob.encode()) + len(name) > LONGEST_TEXT:
            raise BadLineError("blob: no description, or one too long to go on")
        figures = set_up_figures(opts.get("extras", ""), broker.rules.pools_by_class[name])
        if (
            not self.lifecycle.accepts_requests()
            or len(connection.open) >= OPEN_MOST
            or (self.lifecycle.is_draining() and connection.carries_calls())
        ):
            broker.metrics.deferred(name)
            connection.say(Message("FINISH", tag, rc=jsonl.OVERLOADED))
            return
        team = opts.get("tenant", "-")
        if self.gate.limits.by_team and self.gate.identified(connection.seat, team) is not None:
            broker.metrics.deferred(name)
            connection.say(Message("FINISH", tag, rc=jsonl.OVERLOADED))
            connection.hang_up()
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
        connection.open[tag] = request
        connection.settle()
        broker.request_arrived(
            request,
            api.CallArrived(
                tag,
                name,
                team,
                left,
                figures.get("dest", -1),
                int(key, 16) if key else 0,
                redial=opts.get("retry", "0") not in ("", "0"),
                cut_before=bool(figures.get("again", 0)),
            ),
        )

    def twice(self, connection: ClientConnection, known: Request) -> None:
        """Guards against an id that is open or stands: which one an answer is for, nobody could tell."""
        connection.complaints.warn(self.broker.clock.now(), connection.peer, f"set-up {known.id} came again")
        if known.front is not self or known.connection_id != connection.slot:
            connection.say(Message("FINISH", known.id, rc=jsonl.OVERLOADED))
        elif known.state is State.OPEN:
            self.broker.fail(known)
        connection.hang_up()

    def answered_again(self, connection: ClientConnection, known: Request, message: Message) -> bool:
        """A client repeats a set-up whose answer is on record, and may never have come to it.

        It gets that answer, and there is no second set-up; False where this is another set-up, or the
        connection that the answer was given on is still there."""
        if (
            known.recorded_answer is None
            or known.id in getattr(self.connections.get(known.connection_id), "standing", ())
            or known.state is State.OPEN
            or not repeats(message, known.recorded_answer, connection)
        ):
            return False
        known.connection_id = connection.slot
        connection.standing.add(known.id)
        self._answer(connection, known.id, known.recorded_answer)
        return True

    def _answer(self, connection: ClientConnection, call: str, given: RecordedAnswer) -> None:
        connection.known = True
        connection.say(Message("STARTED", call, blob=str(given.answer)))

    def ended_before(self, connection: ClientConnection, message: Message) -> None:
        """A client repeats a set-up that was answered, and whose call is over by now: it gets one final word.

        While the end is held back, that is the answer, with the release after it; once the end has been told,
        it is the end, a failure to whom still waits: no answer comes after it."""
        call, owed = message.tag, self.owed.get(message.tag)
        if owed is None:
            connection.say(Message("FINISH", call, rc=jsonl.BROKEN))
        elif owed.given is None or not repeats(message, owed.given, connection):
            connection.say(Message("FINISH", call, rc=jsonl.OVERLOADED))
            connection.hang_up()
        else:
            if owed.held_until:
                self._answer(connection, call, owed.given)
                owed.held_until, owed.given = 0.0, None
            self._tell(call, connection)

    def finish(self, connection: ClientConnection, message: Message) -> None:
        """A give-up before the answer, or the release of a call that stands, on any connection."""
        self.broker.recorder.refresh()
        request, answered_on = self.broker.find_request(message.tag), None
        if request is None:
            # Also where a give-up crosses our final answer: there the broker knows the id, and does nothing.
            connection.open.pop(message.tag, None)
            connection.settle()
            self._settle(message.tag)
            self.broker.release_unknown(message.tag)
        else:
            self._answered(request)
            if request.state is State.OPEN:
                self.broker.gone(request)
            else:
                answered_on = self._stood(request.id, request.connection_id)
                self.broker.release(request)
        self.broker.recorder.barrier(lambda: self._finished(connection, message.tag, answered_on))

    def _stood(self, call: str, place: int) -> ClientConnection | None:
        """A call no longer stands on the connection where it was answered; that connection, if any."""
        connection = self.connections.get(place)
        if connection is None or call not in connection.standing:
            return None
        connection.standing.discard(call)
        return connection

    def _finished(self, connection: ClientConnection, tag: str, answered_on: ClientConnection | None) -> None:
        connection.say(Message("FINISHED", tag))
        connection.leave_if_idle()  # only now: the confirmation leaves before the close
        if answered_on is not None:
            answered_on.leave_if_idle()

    def heard(self, connection: ClientConnection, tag: str) -> None:
        if self._settle(tag):
            connection.known = True

    def _settle(self, tag: str) -> bool:
        """A release is no longer owed, if it was."""
        owed = self.owed.pop(tag, None)
        if owed is None:
            return False
        if owed.given is not None:
            self.failed_ids[tag] = now = self.broker.clock.now()
            while next(iter(self.failed_ids.values())) < now - KEEP_MS:
                del self.failed_ids[next(iter(self.failed_ids))]
        self._at(tag, owed, -1)
        self.broker.recorder.clear_owed_end(tag)
        return True

    def lost(self, connection: ClientConnection) -> None:
        """The open set-ups of a connection go with it; what is owed on it goes to another."""
        if self.connections.get(connection.slot) is not connection:
            return  # it made room for another already
        self.connections.free(connection.slot)
        del self.by_seat[connection.seat.number]
        self.gate.gone(connection.seat)
        opened, connection.open = list(connection.open.values()), {}
        for request in opened:
            if request.state is State.OPEN:
                self.broker.gone(request)
            else:
                self.broker.release(request)  # its answer waits for its record, and has nobody to go to
        for tag in connection.owing:
            self.owed[tag].slot = -1
        connection.owing.clear()
        self.flush()

    # From the broker

    def is_waiting(self, request: Request) -> bool:
        connection = self.connections.get(request.connection_id)
        return connection is not None and connection.open.get(request.id) is request and not connection.left()

    def _answered(self, request: Request) -> ClientConnection | None:
        """Its connection, if that still waits for the answer: it has left, or has nobody to go to,
        afterwards.

        Guards against another connection in the same slot: an answer may have waited for its record."""
        connection = self.connections.get(request.connection_id)
        if connection is None or connection.open.get(request.id) is not request:
            return None
        del connection.open[request.id]
        connection.settle()
        return connection

    def _say(self, request: Request, message: Message) -> None:
        connection = self._answered(request)
        if connection is not None:
            if message.verb == "STARTED":
                connection.known = True
                connection.standing.add(request.id)
                self.gate.earns(connection.seat, self.broker.clock.now())
            connection.say(message)
            connection.leave_if_idle()

    def call_established(self, request: Request, description: Body) -> None:
        self._say(request, Message("STARTED", request.id, blob=str(description)))

    def call_refused(self, request: Request, stay_away_ms: float) -> None:
        # The platform's refusal has no field for a time to come back.
        self._say(request, Message("FINISH", request.id, rc=jsonl.OVERLOADED))

    def call_failed(self, request: Request) -> None:
        self._say(request, Message("FINISH", request.id, rc=jsonl.BROKEN))

    def call_ended(
        self, call: str, place: int, outcome: Outcome, given: RecordedAnswer | None = None
    ) -> None:
        connection, now = self.connections.get(place), self.broker.clock.now()
        answered_on = self._stood(call, place)
        host = connection.host if connection is not None else ""
        owed = self.owed[call] = Owed(CAUSES.get(outcome, jsonl.BROKEN), now, -1, host)
        if given is not None and answered_on is None:
            self._unheard(owed, given, now, place < 0)
        if not owed.held_until:
            self._tell(call, connection if connection is not None and connection.usable() else None)
        if answered_on is not None:
            answered_on.leave_if_idle()
        self._watch()

    def _unheard(self, owed: Owed, given: RecordedAnswer, now: float, restarted: bool) -> None:
        """Guards a client that waits for the answer of a repeated set-up against hearing the end first.

        Without a restart since the answer, the end is told at once: it is the final word then."""
        owed.given = given
        until = held_until(given.recorded_at_ms, now, self.longest_ms)
        if restarted and until > now:
            owed.host, owed.held_until = given.client, until

    def resume(
        self, owed: Mapping[str, tuple[str, Outcome, float]], given: Callable[[str], RecordedAnswer | None]
    ) -> None:
        """Releases owed since before a restart: client, outcome, since when. Each goes to whoever speaks
        next, unless its answer may not have been heard."""
        now = self.broker.clock.now()
        for call, (host, outcome, since) in owed.items():
            if call in self.owed:
                continue  # owed here already
            self.owed[call] = Owed(CAUSES.get(outcome, jsonl.BROKEN), since, -1, host)
            if (answer := given(call)) is not None:
                self._unheard(self.owed[call], answer, now, True)
        self._watch()

    def _tell(self, call: str, connection: ClientConnection | None) -> None:
        """Says a release on a connection, else on the best one there is."""
        owed, now = self.owed[call], self.broker.clock.now()
        chosen = connection or self.best(owed)
        owed.said_at = now
        said = chosen is not None and chosen.say(Message("FINISH", call, rc=owed.cause))
        self._at(call, owed, chosen.slot if said and chosen is not None else -1)

    def _at(self, call: str, owed: Owed, slot: int) -> None:
        """A release is owed on another connection from now on, or on none."""
        before, owed.slot = self.connections.get(owed.slot), slot
        if before is not None:
            before.owing.discard(call)
            before.settle()
        after = self.connections.get(slot)
        if after is not None:
            after.owing.add(call)
            after.settle()

    def best(self, owed: Owed) -> ClientConnection | None:
        """A usual client's connection, of the call's own client if it has one, and not the last one tried.

        Guards against telling those who never asked: they would not pass it on."""
        usable = [at for at in self.connections if at.usable()]
        return max(
            usable,
            key=lambda at: (at.known, at.slot != owed.slot, at.host == owed.host, at.heard_at),
            default=None,
        )

    def flush(self) -> None:
        """Sends the releases owed that are on no connection."""
        for call in [call for call, owed in self.owed.items() if owed.slot < 0 and not owed.held_until]:
            self._tell(call, None)

    def _watch(self) -> None:
        if self._sweep is None and self.owed:
            self._sweep = self.broker.deadlines.set(self.broker.clock.now() + UNHEARD_MS, self._again)

    def _again(self) -> None:
        """Guards against releases told to a client that does not hear: another one is told, for a while."""
        self._sweep, now = None, self.broker.clock.now()
        for owed in self.owed.values():
            if owed.held_until and owed.held_until <= now:
                owed.held_until, owed.since = 0.0, now
        for call in [
            call
            for call, owed in self.owed.items()
            if now - owed.since >= (KEEP_MS if owed.slot < 0 else REPEAT_MS)
        ]:
            self._settle(call)
        for call, owed in self.owed.items():
            # At doubling gaps.
            if not owed.held_until and now - owed.said_at >= max(UNHEARD_MS, owed.said_at - owed.since):
                self._tell(call, None)
        self._watch()
