"""The platform's front: the JSON-lines connections of clients.

It parses set-ups and releases, hands them to the broker, and writes the broker's answers. Routing decisions
are made elsewhere."""

from __future__ import annotations

from collections.abc import Iterable

from frostport import interface as api
from frostport.admission.gate import Admission, Gate
from frostport.core.broker import Broker
from frostport.core.calls import Body, RecordedAnswer, Request, State, request_bytes
from frostport.core.handles import HandleTable
from frostport.core.lifecycle import Lifecycle
from frostport.interface import Outcome
from frostport.net import jsonl
from frostport.net.client_connection import ClientConnection
from frostport.net.client_releases import ClientReleases
from frostport.net.jsonl import Message
from frostport.net.set_up import SetUp, parse_set_up

MAX_OPEN_SET_UPS = 100  # per connection; further ones are refused


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
        set_up = parse_set_up(message, broker.rules, self.longest_deadline_ms)
        held_bytes = request_bytes(set_up.description, set_up.team)
        if not self._has_room(connection, held_bytes):
            broker.metrics.deferred(set_up.call_class)
            connection.send_message(Message("FINISH", tag, rc=jsonl.OVERLOADED))
        elif self._exceeds_team_limit(connection, set_up.team):
            broker.metrics.deferred(set_up.call_class)
            connection.send_message(Message("FINISH", tag, rc=jsonl.OVERLOADED))
            connection.close_gracefully()
        else:
            self._take(connection, set_up, held_bytes)

    def _has_room(self, connection: ClientConnection, held_bytes: int) -> bool:
        """Whether a set-up that holds so many bytes may be taken on this connection."""
        return (
            self.lifecycle.accepts_requests()
            and len(connection.open_set_ups) < MAX_OPEN_SET_UPS
            and self.gate.may_hold(connection.admission, held_bytes)
            and not (self.lifecycle.is_draining() and connection.carries_calls())
        )

    def _exceeds_team_limit(self, connection: ClientConnection, team: str) -> bool:
        """Whether the connection is one too many for its team, which is known from its first set-up."""
        limited = bool(self.gate.limits.by_team)
        return limited and self.gate.mark_identified(connection.admission, team) is not None

    def _take(self, connection: ClientConnection, set_up: SetUp, held_bytes: int) -> None:
        """Hands a set-up to the broker."""
        request = Request(
            set_up.call,
            set_up.call_class,
            set_up.key,
            set_up.description,
            self.broker.clock.now() + set_up.left_ms,
            self,
            connection.handle,
            set_up.team,
            client=connection.host,
            held_bytes=held_bytes,
        )
        connection.add_set_up(request)
        self.broker.request_arrived(
            request,
            api.CallArrived(
                set_up.call,
                set_up.call_class,
                set_up.team,
                set_up.left_ms,
                set_up.first_choice,
                int(set_up.key, 16) if set_up.key else 0,
                redial=set_up.is_retry,
                cut_before=set_up.cut_before,
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
