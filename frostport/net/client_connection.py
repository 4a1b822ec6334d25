"""One connection of a client that speaks JSON lines: its timeouts, its backpressure, and what it holds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from frostport.admission.gate import Admission
from frostport.core.calls import Request
from frostport.core.deadlines import Deadline
from frostport.net import jsonl
from frostport.net.jsonl import BadLineError, LineConnection, Message, ReadLine

if TYPE_CHECKING:
    from frostport.net.front import PlatformFront

FIRST_LINE_TIMEOUT_MS = 2000.0  # from connect to the first complete line
PARTIAL_LINE_TIMEOUT_MS = 2000.0  # for a line that has begun to be completed
WRITE_STALL_TIMEOUT_MS = 2000.0  # for a client to read what was written to it
CLOSE_TIMEOUT_MS = 1000.0  # for buffered output to be sent before a connection is aborted
MAX_MALFORMED_LINES = 3  # malformed set-ups on one connection before it is closed
CONNECTION_BUFFER_BYTES = 16 * 1024  # read at a time, and written ahead of a client that does not read


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
