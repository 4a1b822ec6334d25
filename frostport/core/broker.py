"""The broker: owns the requests of a call agent, their attempts, and the one final answer of each.

It passes events to the decision module in the order in which the simulator would, and carries out the
actions that the module returns through a front (towards clients) and a route (towards servers).
"""

from __future__ import annotations

import dataclasses
import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from frostport import interface as api
from frostport.core.calls import Attempt, Body, EndedCall, Front, Request, State
from frostport.core.clock import Clock
from frostport.core.contracts import Budgets
from frostport.core.deadlines import Deadlines
from frostport.core.handles import HandleTable
from frostport.core.metrics import Metrics
from frostport.core.recorder import Recorder
from frostport.core.rotation import Rotation
from frostport.core.rules import UNCLEAN_OUTCOMES, Rules
from frostport.interface import Outcome

log = logging.getLogger("frostport.broker")

# Ids of ended calls are kept this long, since clients may repeat a release on a later connection.
ENDED_ID_RETENTION_MS = 60_000.0
MAX_ENDED_IDS = 20_000
# Token bucket for releases of unknown ids: each one is passed on to every server.
UNKNOWN_RELEASE_BURST = 200.0
UNKNOWN_RELEASES_PER_SECOND = 50.0
UNRECORDABLE_RETRY_AFTER_MS = 1000.0  # for calls refused because the store can't record them
OVERDUE_GRACE_MS = 10.0  # the broker fails a request that is still open this long after its deadline


class DecisionModule(Protocol):
    """Decides on every event; `decide.Controller` implements it."""

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Takes one event and returns the actions to perform, in order."""


class Route(Protocol):
    """The connections to the servers, as the broker uses them.

    Outcomes are reported through the broker's methods, such as `call_established` and `attempt_ended`."""

    def send(self, attempt: Attempt) -> None:
        """Sends the set-up to `attempt.server`, over a new connection if there is none."""

    def give_up(self, attempt: Attempt) -> None:
        """Cancels a pending attempt: its outcome no longer matters to the broker."""

    def release(self, attempt: Attempt) -> None:
        """Releases the call that this attempt established: its client has ended it."""

    def release_unknown(self, call: str) -> None:
        """Releases a call that was set up before this process started; its server is not known here."""

    def probe(self, server: str, number: int) -> None:
        """Asks a server for a report; the result goes to `Broker.probe_ended` under `number`."""


class Broker:
    """Owns the requests of one call agent.

    A request is open until it has its final answer. Each open request has at most one pending attempt, and
    gets exactly one of the answers `call_established`, `call_refused` or `call_failed` of its front, unless
    its client gives up first. An effect leaves the process only after the recorder has recorded it."""

    def __init__(
        self,
        module: DecisionModule,
        rules: Rules,
        clock: Clock,
        deadlines: Deadlines,
        probe_timeout_ms: float,
        budgets: Budgets | None = None,
    ) -> None:
        self.decision_module = module
        self.rules = rules
        self.clock = clock
        self.deadlines = deadlines
        self.probe_timeout_ms = probe_timeout_ms
        self.budgets = budgets or Budgets()
        self.recorder = Recorder()
        self.metrics = Metrics()
        self.rotation = Rotation()
        self.send_to_peer: Callable[[int, bytes], None] = lambda peer, data: None
        self.route: Route | None = None
        self.requests: HandleTable[Request] = HandleTable()
        self.handles_by_id: dict[str, int] = {}
        self.ended_ids: OrderedDict[str, EndedCall] = OrderedDict()
        self.ending: dict[str, Request] = {}  # ended by their servers, the end not recorded yet
        self.open_count = 0
        self.on_idle: Callable[[], None] = lambda: None  # called when the last open request has ended
        self._release_tokens = UNKNOWN_RELEASE_BURST
        self._release_tokens_at = 0.0
        self._probes: dict[int, tuple[str, float]] = {}
        self._probe_number = 0
        self._events: deque[tuple[api.Event, Request | None]] = deque()
        self._dispatching = False

    # Events from the front and from the fleet

    def set_sibling_count(self, count: int) -> None:
        """Sets the number of call agents in service, this one included."""
        self._dispatch(api.SiblingsUp(count))

    def find_request(self, call: str) -> Request | None:
        """Returns the request of this id that is open or whose call is established."""
        handle = self.handles_by_id.get(call)
        return None if handle is None else self.requests.get(handle)

    def request_arrived(self, request: Request, event: api.CallArrived) -> None:
        """Takes a new request; its id must not belong to an open request or an established call."""
        request.handle = self.requests.add(request)
        self.handles_by_id[request.id] = request.handle
        ended = self.ended_ids.pop(request.id, EndedCall(0.0))
        request.not_before = ended.not_before_ms
        request.may_have_run = ended.may_have_run
        self._guard_other_process(request)
        self.open_count += 1
        self.metrics.request_started()
        if self._fail_if_run(request):
            return
        now = self.clock.now()
        request.deadline_at_ms = now + self.budgets.deadline_ms(
            request.call_class, request.deadline_at_ms - now
        )
        wait = self.budgets.take_token(request.team, request.call_class, now)
        if wait > 0.0:
            log.info(
                "call %s refused: team %s is over its budget for class %s, retry after %.0f ms",
                request.id,
                request.team,
                request.call_class,
                wait,
            )
            self._refuse(request, wait)
            return
        if not self.recorder.accepts_calls():
            self._refuse(request, UNRECORDABLE_RETRY_AFTER_MS)
            return
        event = dataclasses.replace(event, budget_ms=request.deadline_at_ms - now)
        request.overdue_timer = self.deadlines.set(
            request.deadline_at_ms + OVERDUE_GRACE_MS, lambda: self._answer_overdue(request)
        )
        if now < request.not_before:
            # A client may repeat a call on a new connection within the release guard of its last attempt.
            # The decision module doesn't know that it is the same call, so the event waits here.
            self.deadlines.set(request.not_before, lambda: self._dispatch_delayed(event, request))
        else:
            self._dispatch(event, request)

    def _fail_if_run(self, request: Request) -> bool:
        """Fails a set-up whose id an earlier call had that may have run: an id must not run twice."""
        if request.may_have_run:
            log.info("call %s failed: an earlier call of this id may have run, and is over", request.id)
            self._fail(request)
        return request.may_have_run

    def _dispatch_delayed(self, event: api.CallArrived, request: Request) -> None:
        if request.state is not State.OPEN or self._fail_if_run(request):
            return
        if self._guard_other_process(request) or self.clock.now() < request.not_before:
            self.deadlines.set(request.not_before, lambda: self._dispatch_delayed(event, request))
        else:
            left = request.deadline_at_ms - self.clock.now()
            self._dispatch(dataclasses.replace(event, budget_ms=left), request)

    def _guard_other_process(self, request: Request) -> bool:
        """Restarts the release guard while another process may have a pending attempt of this call.

        During a handover, a second attempt could otherwise run beside that of the old process."""
        if not self.recorder.pending_elsewhere(request.id):
            return False
        request.not_before = self.clock.now() + self.rules.settings.release_guard_ms
        return True

    def ended_elsewhere(self, request: Request) -> None:
        """Drops an established call that another process has ended.

        That process notifies the client and the server."""
        request.attempt = None
        self._close_request(request)

    def gone(self, request: Request) -> None:
        """The client of an open request has closed its connection or given up: cancels the attempt."""
        if request.state is not State.OPEN:
            return
        request.answer = "gone"
        self._close_request(request)
        self.recorder.record_answered(request, self._pending_server(request), lambda: None)
        self._dispatch(api.CallGone(request.id), request)
        self._cancel_attempt(request)

    def fail(self, request: Request) -> None:
        """Fails an open request without the decision module, which only learns that the request is gone."""
        if request.state is State.OPEN:
            self._fail(request)
            self._dispatch(api.CallGone(request.id), request)

    def release(self, request: Request) -> None:
        """The client releases an established call."""
        attempt = request.attempt
        if request.state is not State.ESTABLISHED or attempt is None:
            return
        self._close_request(request)
        self.recorder.record_end(request, attempt.server, None, lambda: self._route().release(attempt))
        self._end_attempt(attempt, Outcome.CANCELLED)

    def release_unknown(self, call: str) -> None:
        """A client releases an id that is not known here; a recently ended one has been released already."""
        now = self.clock.now()
        refill = (now - self._release_tokens_at) / 1000.0 * UNKNOWN_RELEASES_PER_SECOND
        self._release_tokens = min(UNKNOWN_RELEASE_BURST, self._release_tokens + refill)
        self._release_tokens_at = now
        if call not in self.ended_ids and self._release_tokens >= 1.0:
            # The bucket protects the servers from clients that make up ids: each release goes to all servers.
            self._release_tokens -= 1.0
            self._remember_ended(call, 0.0)
            self._route().release_unknown(call)

    # Events from the route

    def call_established(self, attempt: Attempt, description: Body) -> None:
        """The server has accepted the set-up: records the call, then answers its client."""
        request = attempt.request
        now = self.clock.now()
        if not attempt.pending or request.state is not State.OPEN:
            return
        self._stop_waiting(attempt)
        self._count_answered(request)
        self.metrics.answered(request.call_class)
        request.state = State.ESTABLISHED
        request.established_at_ms = now
        request.answer = "stands"
        self.recorder.record_established(
            request, attempt, description, lambda: request.front.call_established(request, description)
        )
        request.drop_description()
        self._dispatch(
            api.CallEstablished(request.id, attempt.number, attempt.server, now - attempt.sent_at), request
        )
        if attempt.confirm_end is not None:
            self.attempt_ended(attempt, Outcome.OK)
            # The early end may be the repeated end of an earlier attempt: the release makes sure that no call
            # stays established at the server.
            self.recorder.barrier(lambda: self._route().release(attempt))

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: int = 0,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """A pending attempt has failed, or its server has ended the call that it established.

        `note`, `wait_ms` and `report` go to the decision module with `api.AttemptEnded`."""
        request = attempt.request
        if request.attempt is not attempt:
            return
        if request.state is State.ESTABLISHED:
            self._close_request(request)
            self.ending[request.id] = request
            self.recorder.record_end(
                request, attempt.server, outcome, lambda: self._notify_client_of_end(request, outcome)
            )
        self._end_attempt(attempt, outcome, note, wait_ms, report)

    def _notify_client_of_end(self, request: Request, outcome: Outcome) -> None:
        """Called once the end is recorded."""
        self.ending.pop(request.id, None)
        request.front.call_ended(
            request.id, request.client, request.connection_id, outcome, request.recorded_answer
        )

    def ended_before_answer(self, attempt: Attempt, confirm: Callable[[], object]) -> None:
        """The server has ended a call whose answer is still in transit on another connection.

        The server reports and expects confirmation of an end only once, so a lost end would leave the call
        established for ever. The end takes effect when the answer arrives; an attempt that ends without an
        answer has run, and fails. `confirm` is called after either."""
        attempt.confirm_end = confirm

    def ended_unanswered(self, attempt: Attempt, report: tuple[float, ...] = ()) -> None:
        """The server has ended a call whose answer never arrived: the attempt has run, and fails.

        The call must not be sent again: the server has ended this id and would not report a second end."""
        request = attempt.request
        if request.attempt is attempt and request.state is State.OPEN:
            request.answer = "failed"
            self.metrics.errored(request.call_class)
            self._close_request(request)
            self.recorder.record_answered(request, "", lambda: request.front.call_failed(request))
            self._end_attempt(attempt, Outcome.RESET, report=report)

    def unknown_call_ended(self, call: str, front: Front, outcome: Outcome) -> None:
        """A server releases an id not known here: a call that was set up before this process started."""
        if call not in self.ended_ids:
            self._remember_ended(call, 0.0, may_have_run=True)
            self.recorder.record_pending_end(
                call, "", outcome, lambda: front.call_ended(call, "", -1, outcome)
            )

    def has_established_calls(self, server: str) -> bool:
        """Whether any call is established at this server."""
        return any(
            request.state is State.ESTABLISHED
            and request.attempt is not None
            and request.attempt.server == server
            for request in self.requests
        )

    def end_established_calls(self, server: str, before_ms: float, reason: str) -> list[str]:
        """Ends the calls established at a server no later than `before_ms`, and returns their ids.

        For calls that are lost without a message from their server. `reason` goes into the log."""
        lost = [
            request
            for request in self.requests
            if request.state is State.ESTABLISHED
            and request.attempt is not None
            and request.attempt.server == server
            and request.established_at_ms <= before_ms
        ]
        for request in lost:
            assert request.attempt is not None
            log.info(
                "call %s over: cut at %s, attempt %d, stood for %.0f ms: %s",
                request.id,
                server,
                request.attempt.number,
                self.clock.now() - request.established_at_ms,
                reason,
            )
            self.attempt_ended(request.attempt, Outcome.RESET)
        if lost:
            log.info("%s: %d calls cut: %s", server, len(lost), reason)
            self.metrics.count_calls_cut(server, len(lost))
        return [request.id for request in lost]

    def report_received(self, server: str, report: tuple[float, ...]) -> None:
        """A server has sent a report without being probed."""
        self._dispatch(api.ServerReport(server, Outcome.OK, 0.0, report))

    def probe_ended(self, number: int, outcome: Outcome, report: tuple[float, ...] = ()) -> None:
        """The probe `number` was answered, or has failed with `outcome`. Unknown numbers are ignored."""
        if number in self._probes:
            server, sent_at = self._probes.pop(number)
            # An elapsed time of 0 marks an unsolicited report, and the clock may show the same time.
            elapsed = max(0.001, self.clock.now() - sent_at)
            self._dispatch(api.ServerReport(server, outcome, elapsed, report))

    def update_server_list(
        self,
        kind: api.ListKind,
        version: int,
        servers: Iterable[api.Server],
        dials: Mapping[str, str] | None = None,
    ) -> set[str]:
        """Takes the server list or changes to it, and returns the servers that are no longer on it.

        `dials`: the dial addresses of servers, as far as the list gives them."""
        servers = tuple(servers)
        self.rotation.update(servers, dials or {})
        servers = tuple(self.rotation.effective_record(server) for server in servers)
        removed = self.rules.update_list(kind, servers, self.clock.now())
        self.metrics.set_cluster_size(len(self.rules.servers))
        for server in servers:
            self.metrics.set_avoided(server.address, "list", server.state is not api.Lifecycle.READY)
        for server in servers:
            if (listed := self.rules.servers.get(server.address)) is not None:
                self.recorder.record_server(
                    server, (dials or {}).get(server.address, ""), listed.closed_since_ms
                )
        for address in removed:
            self.recorder.forget_server(address)
            self.rotation.remove(address)
            self.metrics.server_removed(address)
        self._dispatch(api.ListUpdate(kind, version, servers))
        return removed

    def set_rotation(self, name: str, out: bool) -> str | None:
        """Takes a listed server out of rotation, or puts it back; idempotent.

        The decision module sees a server out of rotation as draining, and one put back as last listed.
        `name` is a server's name or dial address. Returns the server's name, None if none is listed so."""
        address = self.rotation.find_address(name)
        if address is None:
            return None
        record = self.rotation.disable(address) if out else self.rotation.enable(address)
        if record is not None:
            self.rules.update_list(api.ListKind.CHANGES, (record,), self.clock.now())
            self.metrics.set_avoided(address, "operator", out)
            self._dispatch(api.ListUpdate(api.ListKind.CHANGES, 0, (record,)))
        return address

    def peer_message_received(self, sender: int, data: bytes) -> None:
        """Passes a message of another call agent to the decision module."""
        self._dispatch(api.PeerMessage(sender, data))

    # Shutdown

    def fail_all(self) -> None:
        """Fails every request that is still open."""
        for request in self.requests:
            if request.state is State.OPEN:
                self._fail(request)

    # Events to the decision module, and its actions

    def _dispatch(self, event: api.Event, request: Request | None = None) -> None:
        """Queues an event for the decision module: events caused by its actions are handled after these."""
        self._events.append((event, request))
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._handle(*self._events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: api.Event, request: Request | None) -> None:
        now = self.clock.now()
        try:
            actions = self.decision_module.handle(event, now)
        except Exception:  # an error in one call fails that call, not the agent
            log.exception("decision module failed on %s", type(event).__name__)
            if request is not None:
                self.fail(request)
            return
        for action in actions:
            try:
                self._perform(action, now)
            except Exception:
                log.exception("action %s failed", type(action).__name__)
                call = self.find_request(getattr(action, "call", ""))
                if call is not None:
                    self.fail(call)

    def _perform(self, action: api.Action, now: float) -> None:
        match action:
            case api.SendAttempt(call, server, within):
                request = self.find_request(call)
                if request is not None:
                    self._send(request, server, within, now)
            case api.CancelAttempt(call, number):
                request = self.find_request(call)
                if (
                    request is not None
                    and request.state is State.OPEN
                    and request.attempt is not None
                    and request.attempt.number == number
                ):
                    self._cancel_attempt(request)
            case api.RefuseCall(call, retry_after):
                request = self.find_request(call)
                if request is not None and request.state is State.OPEN:
                    self._refuse(request, retry_after)
            case api.FailCall(call):
                request = self.find_request(call)
                if request is not None and request.state is State.OPEN:
                    self._fail(request)
            case api.SetTimer(name, after):
                self.deadlines.set(now + after, lambda: self._dispatch(api.TimerFired(name)))
            case api.Probe(server):
                self._probe(server, now)
            case api.SendToPeer(peer, data):
                self.send_to_peer(peer, data)
            case api.WriteLog(text):
                log.info("decision module: %s", text)
            case api.Subscribe():
                pass  # the event bus pushes list changes without a subscription

    def _send(self, request: Request, server: str, within: float, now: float) -> None:
        if request.state is State.OPEN and not request.front.is_waiting(request):
            self.gone(request)
            return
        reason = self.rules.violation(request, server, within, now)
        number = request.attempts
        request.attempts += 1
        if reason is not None:
            self.rules.record_violation(request, server, reason)
            self._dispatch(
                api.AttemptEnded(
                    request.id, number, server, Outcome.NOT_SENT, 0.0, request.state is not State.OPEN
                ),
                request,
            )
            return
        end_at = min(request.deadline_at_ms, now + within) if within > 0.0 else request.deadline_at_ms
        attempt = request.attempt = Attempt(request, number, server, now, end_at)
        attempt.timeout = self.deadlines.set(end_at, lambda: self._attempt_timed_out(attempt))
        self.recorder.record_attempt(attempt, lambda: self._send_recorded(attempt))

    def _send_recorded(self, attempt: Attempt) -> None:
        """Sends an attempt once it is recorded, unless it has become pointless while it waited."""
        now = self.clock.now()
        if now > attempt.sent_at and not self.may_still_leave(attempt):
            return
        if attempt.pending:
            attempt.sent_at = now
            self._route().send(attempt)

    def may_still_leave(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited for the store or for a dial may still be sent.

        If not, the attempt is ended here: its client has gone in the meantime, or its server has been
        draining for longer than the grace period."""
        if attempt.pending and not attempt.request.front.is_waiting(attempt.request):
            self.gone(attempt.request)
        elif attempt.pending and self.rules.drained_past_grace(attempt.server, self.clock.now()):
            self._end_attempt(attempt, Outcome.NOT_SENT)
        return attempt.pending

    def _probe(self, server: str, now: float) -> None:
        self._probe_number += 1
        number = self._probe_number
        self._probes[number] = (server, now)
        self.deadlines.set(now + self.probe_timeout_ms, lambda: self.probe_ended(number, Outcome.TIMEOUT))
        self._route().probe(server, number)

    # Internal steps

    def _route(self) -> Route:
        assert self.route is not None
        return self.route

    def _stop_waiting(self, attempt: Attempt) -> None:
        attempt.pending = False
        if attempt.timeout is not None:
            attempt.timeout.cancel()

    def _end_attempt(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: int = 0,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        self._stop_waiting(attempt)
        request = attempt.request
        now = self.clock.now()
        request.attempt = None
        if outcome not in api.NEVER_RAN:
            request.ran_on = request.ran_on or attempt.server
            request.may_have_run = request.may_have_run or attempt.route_ref is not None
        if outcome in UNCLEAN_OUTCOMES:
            request.not_before = now + self.rules.settings.release_guard_ms
        if request.id in self.ended_ids:
            self.ended_ids[request.id] = EndedCall(now, request.not_before, request.may_have_run)
        if outcome in UNCLEAN_OUTCOMES:
            self.recorder.record_release_guard(request, attempt.server)
        if request.state is State.OPEN and (
            attempt.confirm_end is not None
            or self.budgets.attempts_exhausted(request.call_class, request.attempts)
        ):
            self._fail(request)
        if attempt.confirm_end is not None:
            self.recorder.barrier(attempt.confirm_end)
        self._dispatch(
            api.AttemptEnded(
                request.id,
                attempt.number,
                attempt.server,
                outcome,
                now - attempt.sent_at,
                request.state is not State.OPEN,
                note,
                wait_ms,
                report,
            ),
            request,
        )

    def _cancel_attempt(self, request: Request) -> None:
        """Cancels the pending attempt, if any."""
        attempt = request.attempt
        if attempt is not None and attempt.pending:
            self._route().give_up(attempt)
            self._end_attempt(attempt, Outcome.CANCELLED)

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        if attempt.pending:
            self._route().give_up(attempt)
            self._end_attempt(attempt, Outcome.TIMEOUT)

    def _answer_overdue(self, request: Request) -> None:
        """Fails a request that the decision module has left without an answer past its deadline."""
        if request.state is State.OPEN:
            log.warning("call %s: no decision by the call's deadline; failing the call", request.id)
            self.fail(request)

    def _refuse(self, request: Request, retry_after_ms: float) -> None:
        request.retry_after_ms = retry_after_ms
        self.metrics.deferred(request.call_class)
        self._answer_finally(request, "refused", lambda: request.front.call_refused(request, retry_after_ms))

    def _fail(self, request: Request) -> None:
        self.metrics.errored(request.call_class)
        self._answer_finally(request, "failed", lambda: request.front.call_failed(request))

    def _answer_finally(self, request: Request, answer: str, notify: Callable[[], None]) -> None:
        request.answer = answer
        self._close_request(request)
        self.recorder.record_answered(request, self._pending_server(request), notify)
        self._cancel_attempt(request)

    def _pending_server(self, request: Request) -> str:
        """Returns the server of the pending attempt, "" if there is none."""
        return request.attempt.server if request.attempt is not None and request.attempt.pending else ""

    def _count_answered(self, request: Request) -> None:
        self.open_count -= 1
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        if not self.open_count:
            self.on_idle()

    def _close_request(self, request: Request) -> None:
        """Ends a request: removes it, and keeps its id for releases that are still in transit."""
        if request.state is State.OPEN:
            request.state = State.ENDED
            self._count_answered(request)
        request.state = State.ENDED
        request.drop_description()
        self.metrics.request_ended()  # the gauge of current requests includes established calls
        self.requests.remove(request.handle)
        del self.handles_by_id[request.id]
        request.may_have_run = request.may_have_run or request.established_at_ms > 0.0
        self._remember_ended(request.id, request.not_before, request.may_have_run)

    def _remember_ended(self, call: str, not_before: float, may_have_run: bool = False) -> None:
        now = self.clock.now()
        self.ended_ids[call] = EndedCall(now, not_before, may_have_run)
        self.ended_ids.move_to_end(call)
        while self.ended_ids and (
            len(self.ended_ids) > MAX_ENDED_IDS
            or next(iter(self.ended_ids.values())).ended_at_ms < now - ENDED_ID_RETENTION_MS
        ):
            self.recorder.forget_call(self.ended_ids.popitem(last=False)[0])
