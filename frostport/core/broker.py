"""The broker: requests, their attempts and outcomes, and one final answer each.

It feeds the decision module the events that the simulator would, in the same order, and carries out
what the module asks for through a front (towards clients) and a route (towards servers).
"""

from __future__ import annotations

import dataclasses
import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from frostport import interface as api
from frostport.core.calls import Attempt, Body, Front, Request, State
from frostport.core.clock import Clock
from frostport.core.contracts import Budgets
from frostport.core.deadlines import Deadlines
from frostport.core.metrics import Metrics
from frostport.core.recorder import Recorder
from frostport.core.rotation import Rotation
from frostport.core.rules import UNCLEAN_OUTCOMES, Rules
from frostport.core.slots import Slots
from frostport.interface import Outcome

log = logging.getLogger("frostport.broker")

ENDED_ID_RETENTION_MS = (
    60_000.0  # how long an ended call's id is known: releases may be repeated on later connections
)
MAX_ENDED_IDS = 20_000  # and how many of them
UNKNOWN_RELEASE_BURST, UNKNOWN_RELEASES_PER_SECOND = (
    200.0,
    50.0,
)  # releases of unknown ids passed on: at once, and a second
UNRECORDABLE_STAY_AWAY_MS = 1000.0  # how long a call that can't be put on record is told to stay away
OVERDUE_GRACE_MS = (
    10.0  # a request still open this long after its caller's time gets its answer from the broker
)


class DecisionModule(Protocol):
    """The decision module."""

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]: ...


class Route(Protocol):
    """What the broker asks of the servers' side; outcomes come back to the broker's methods."""

    def send(self, attempt: Attempt) -> None: ...

    def give_up(self, attempt: Attempt) -> None:
        """The attempt is no longer waited for."""

    def release(self, attempt: Attempt) -> None:
        """The call that stands on this attempt is over at the client's side."""

    def release_unknown(self, call: str) -> None:
        """A client ended a call set up before this program's start: only the servers know where it stands."""

    def probe(self, server: str, number: int) -> None: ...


class Broker:
    """The calls of one call agent."""

    def __init__(
        self,
        module: DecisionModule,
        rules: Rules,
        clock: Clock,
        deadlines: Deadlines,
        probe_timeout_ms: float,
        budgets: Budgets | None = None,
    ) -> None:
        self.decision_module, self.rules, self.clock, self.deadlines = module, rules, clock, deadlines
        self.probe_timeout_ms, self.budgets = probe_timeout_ms, budgets or Budgets()
        self.recorder = Recorder()
        self.metrics = Metrics()  # the figures
        self.rotation = Rotation()  # servers that operators took out
        self.send_to_peer: Callable[[int, bytes], None] = lambda peer, data: None
        self.route: Route | None = None
        self.requests: Slots[Request] = Slots()
        self.slots_by_id: dict[str, int] = {}
        self.ended_ids: OrderedDict[str, tuple[float, float]] = OrderedDict()  # ended at, not again before
        self.ending: dict[str, Request] = {}  # ended by their servers, and the end not on record yet
        self.open_count = 0
        self.on_idle: Callable[[], None] = lambda: None  # called when the last open request is answered
        self._unknown_release_tokens, self._unknown_release_tokens_at = (
            UNKNOWN_RELEASE_BURST,
            0.0,
        )  # releases of unknown ids that may still go on
        self._probes: dict[int, tuple[str, float]] = {}
        self._probe_number = 0
        self._events: deque[tuple[api.Event, Request | None]] = deque()
        self._dispatching = False

    # From the front

    def set_sibling_count(self, count: int) -> None:
        """How many call agents serve, with this one."""
        self._dispatch(api.SiblingsUp(count))

    def find_request(self, call: str) -> Request | None:
        slot = self.slots_by_id.get(call)
        return None if slot is None else self.requests.get(slot)

    def request_arrived(self, request: Request, event: api.CallArrived) -> None:
        """A new request; its id is not one of those open or standing."""
        request.slot = self.requests.add(request)
        self.slots_by_id[request.id] = request.slot
        _, request.not_before = self.ended_ids.pop(request.id, (0.0, 0.0))
        self._guard_other_process(request)
        self.open_count += 1
        self.metrics.request_started()
        now = self.clock.now()
        request.deadline_at_ms = now + self.budgets.deadline_ms(
            request.call_class, request.deadline_at_ms - now
        )
        wait = self.budgets.wait_ms(request.team, request.call_class, now)
        if wait > 0.0:
            log.info("%s over the budget of %s", request.team, request.call_class)
            self._refuse(request, wait)
            return
        if not self.recorder.accepts_calls():
            self._refuse(request, UNRECORDABLE_STAY_AWAY_MS)
            return
        event = dataclasses.replace(event, budget_ms=request.deadline_at_ms - now)
        request.overdue_timer = self.deadlines.set(
            request.deadline_at_ms + OVERDUE_GRACE_MS, lambda: self._answer_overdue(request)
        )
        if now < request.not_before:
            # Guards against a call that comes again on a new connection while its last attempt's release
            # is still awaited: the module doesn't know that it is the same call.
            self.deadlines.set(request.not_before, lambda: self._dispatch_delayed(event, request))
        else:
            self._dispatch(event, request)

    def _dispatch_delayed(self, event: api.CallArrived, request: Request) -> None:
        if request.state is not State.OPEN:
            return
        if self._guard_other_process(request) or self.clock.now() < request.not_before:
            self.deadlines.set(request.not_before, lambda: self._dispatch_delayed(event, request))
        else:
            left = request.deadline_at_ms - self.clock.now()
            self._dispatch(dataclasses.replace(event, budget_ms=left), request)

    def _guard_other_process(self, request: Request) -> bool:
        """Guards against a second attempt while a process that hands over may have one out: the guard runs
        anew."""
        if not self.recorder.pending_elsewhere(request.id):
            return False
        request.not_before = self.clock.now() + self.rules.settings.release_guard_ms
        return True

    def ended_elsewhere(self, request: Request) -> None:
        """A call that stands has been ended by another process, which tells all who must know."""
        request.attempt = None
        self._close_request(request)

    def gone(self, request: Request) -> None:
        """The client no longer waits for the answer."""
        if request.state is not State.OPEN:
            return
        request.answer = "gone"
        self._close_request(request)
        self.recorder.record_answered(request, self._pending_server(request), lambda: None)
        self._dispatch(api.CallGone(request.id), request)
        self._cancel_attempt(request)

    def fail(self, request: Request) -> None:
        """Answers a call without the module, which is told that nothing is owed any more."""
        if request.state is State.OPEN:
            self._fail(request)
            self._dispatch(api.CallGone(request.id), request)

    def release(self, request: Request) -> None:
        """The client ends a call that stands."""
        attempt = request.attempt
        if request.state is not State.STANDING or attempt is None:
            return
        self._close_request(request)
        self.recorder.record_end(request, attempt.server, None, lambda: self._route().release(attempt))
        self._end_attempt(attempt, Outcome.CANCELLED)

    def release_unknown(self, call: str) -> None:
        """A client's release of an id not known here; one that ended lately has been released already."""
        now = self.clock.now()
        came = (now - self._unknown_release_tokens_at) / 1000.0 * UNKNOWN_RELEASES_PER_SECOND
        self._unknown_release_tokens, self._unknown_release_tokens_at = (
            min(UNKNOWN_RELEASE_BURST, self._unknown_release_tokens + came),
            now,
        )
        if call not in self.ended_ids and self._unknown_release_tokens >= 1.0:
            # Guards the servers against clients that make ids up: each goes to all of them.
            self._unknown_release_tokens -= 1.0
            self._remember_ended(call, 0.0)
            self._route().release_unknown(call)

    # From the route

    def call_established(self, attempt: Attempt, description: Body) -> None:
        request, now = attempt.request, self.clock.now()
        if not attempt.pending or request.state is not State.OPEN:
            return
        self._stop_waiting(attempt)
        self._count_answered(request)
        self.metrics.answered(request.call_class)
        request.state, request.established_at_ms = State.STANDING, now
        request.answer = "stands"
        self.recorder.record_established(
            request, attempt, description, lambda: request.front.call_established(request, description)
        )
        self._dispatch(
            api.CallStands(request.id, attempt.number, attempt.server, now - attempt.sent_at), request
        )
        if attempt.confirm_end is not None:
            self.attempt_ended(attempt, Outcome.OK)
            # Guards against the end of an earlier attempt, told again: nothing is left standing there.
            self.recorder.barrier(lambda: self._route().release(attempt))

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: int = 0,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """An attempt that is out has failed, or the call that stands on it has come to its end."""
        request = attempt.request
        if request.attempt is not attempt:
            return
        if request.state is State.STANDING:
            self._close_request(request)
            self.ending[request.id] = request
            self.recorder.record_end(
                request, attempt.server, outcome, lambda: self._tell_client_of_end(request, outcome)
            )
        self._end_attempt(attempt, outcome, note, wait_ms, report)

    def _tell_client_of_end(self, request: Request, outcome: Outcome) -> None:
        """The end is on record: now its client may hear it."""
        self.ending.pop(request.id, None)
        request.front.call_ended(request.id, request.connection_id, outcome, request.recorded_answer)

    def ended_before_answer(self, attempt: Attempt, confirm: Callable[[], object]) -> None:
        """A call has come to its end at its server; its answer is still on its way, on another connection.

        Guards against a call that stands for ever: the end is told and confirmed once. It counts once the
        answer is heard; an attempt that ends without one ran, and has failed. `confirm` waits for either."""
        attempt.confirm_end = confirm

    def ended_unanswered(self, attempt: Attempt, report: tuple[float, ...] = ()) -> None:
        """A call has come to its end at its server, and its answer was never heard: it ran, and has failed.

        Guards against sending it again: the server has ended the id, and would never tell of a second end."""
        request = attempt.request
        if request.attempt is attempt and request.state is State.OPEN:
            request.answer = "failed"
            self.metrics.errored(request.call_class)
            self._close_request(request)
            self.recorder.record_answered(request, "", lambda: request.front.call_failed(request))
            self._end_attempt(attempt, Outcome.RESET, report=report)

    def unknown_call_ended(self, call: str, front: Front, outcome: Outcome) -> None:
        """A server's release of an id not known here: a call set up before this program's start."""
        if call not in self.ended_ids:
            self._remember_ended(call, 0.0)
            self.recorder.record_owed_end(call, "", outcome, lambda: front.call_ended(call, -1, outcome))

    def has_established_calls(self, server: str) -> bool:
        """Whether any call stands at this server."""
        return any(
            request.state is State.STANDING
            and request.attempt is not None
            and request.attempt.server == server
            for request in self.requests
        )

    def end_established_calls(self, server: str, before_ms: float, why: str) -> list[str]:
        """The calls that stood at a server since before a time are over; returns their ids."""
        over = [
            request
            for request in self.requests
            if request.state is State.STANDING
            and request.attempt is not None
            and request.attempt.server == server
            and request.established_at_ms <= before_ms
        ]
        for request in over:
            assert request.attempt is not None
            log.info(
                "call %s over: cut at %s, attempt %d, stood for %.0f ms: %s",
                request.id,
                server,
                request.attempt.number,
                self.clock.now() - request.established_at_ms,
                why,
            )
            self.attempt_ended(request.attempt, Outcome.RESET)
        if over:
            log.info("%s: %d calls cut: %s", server, len(over), why)
            self.metrics.count_calls_cut(server, len(over))
        return [request.id for request in over]

    def report_received(self, server: str, report: tuple[float, ...]) -> None:
        """A report that came unasked."""
        self._dispatch(api.ServerReport(server, Outcome.OK, 0.0, report))

    def probe_ended(self, number: int, outcome: Outcome, report: tuple[float, ...] = ()) -> None:
        if number in self._probes:
            server, sent_at = self._probes.pop(number)
            # Guards against a clock that stands still: 0 would mark a report that came unasked.
            elapsed = max(0.001, self.clock.now() - sent_at)
            self._dispatch(api.ServerReport(server, outcome, elapsed, report))

    def update_server_list(
        self,
        kind: api.ListKind,
        version: int,
        servers: Iterable[api.Server],
        dials: Mapping[str, str] | None = None,
    ) -> set[str]:
        """The server list or changes to it; returns the servers that are no longer on it.

        `dials`: the servers' addresses, where the list tells them."""
        servers = tuple(servers)
        self.rotation.update(servers, dials or {})
        servers = tuple(self.rotation.effective_record(server) for server in servers)
        removed = self.rules.update_list(kind, servers, self.clock.now())
        self.metrics.set_cluster_size(len(self.rules.servers))
        for server in servers:
            self.metrics.set_avoided(server.address, "list", server.state is not api.Lifecycle.READY)
        for server in servers:
            if (told := self.rules.servers.get(server.address)) is not None:
                self.recorder.record_server(
                    server, (dials or {}).get(server.address, ""), told.closed_since_ms
                )
        for address in removed:
            self.recorder.forget_server(address)
            self.rotation.remove(address)
            self.metrics.server_removed(address)
        self._dispatch(api.ListUpdate(kind, version, servers))
        return removed

    def set_rotation(self, name: str, out: bool) -> str | None:
        """An operator takes a listed server out of rotation (the module sees it drain), or puts it back as
        the list last said of it. Returns the server's name, or None where none is listed by that name or
        dial address; saying it twice changes nothing."""
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
        """A message from another call agent."""
        self._dispatch(api.PeerMessage(sender, data))

    # At the program's end

    def fail_all(self) -> None:
        """Answers whatever is still open."""
        for request in self.requests:
            if request.state is State.OPEN:
                self._fail(request)

    # The module's side

    def _dispatch(self, event: api.Event, request: Request | None = None) -> None:
        """One event to the module at a time: what its actions bring about comes after them."""
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
        except Exception:  # a fault in one call costs that call, not the agent
            log.exception("the module failed on %s", type(event).__name__)
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
            case api.RefuseCall(call, stay_away):
                request = self.find_request(call)
                if request is not None and request.state is State.OPEN:
                    self._refuse(request, stay_away)
            case api.FailCall(call):
                request = self.find_request(call)
                if request is not None and request.state is State.OPEN:
                    self._fail(request)
            case api.SetTimer(name, after):
                self.deadlines.set(now + after, lambda: self._dispatch(api.TimerFired(name)))
            case api.Probe(server):
                self._probe(server, now)
            case api.TellPeer(peer, data):
                self.send_to_peer(peer, data)
            case api.WriteLog(text):
                log.info("module: %s", text)
            case api.Subscribe():
                pass  # changes come by themselves on this wire

    def _send(self, request: Request, server: str, within: float, now: float) -> None:
        if request.state is State.OPEN and not request.front.is_waiting(request):
            self.gone(request)
            return
        reason = self.rules.violation(request, server, within, now)
        number, request.attempts = request.attempts, request.attempts + 1
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
        """The attempt leaves, if it is still wanted now that it is on record."""
        now = self.clock.now()
        if now > attempt.sent_at and not self.may_still_leave(attempt):
            return
        if attempt.pending:
            attempt.sent_at = now
            self._route().send(attempt)

    def may_still_leave(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited, for a disk or a dial, may still leave; else it is ended here.

        Guards against a set-up for a client that has gone meanwhile, and against one to a server that has
        been draining past the grace."""
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

    # Shared steps

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
        request, now = attempt.request, self.clock.now()
        request.attempt = None
        if outcome not in api.NEVER_RAN and not request.ran_on:
            request.ran_on = attempt.server
        if outcome in UNCLEAN_OUTCOMES:
            request.not_before = now + self.rules.settings.release_guard_ms
            if request.id in self.ended_ids:
                self.ended_ids[request.id] = (now, request.not_before)
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
        """Gives up the attempt that is out, if any."""
        attempt = request.attempt
        if attempt is not None and attempt.pending:
            self._route().give_up(attempt)
            self._end_attempt(attempt, Outcome.CANCELLED)

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        if attempt.pending:
            self._route().give_up(attempt)
            self._end_attempt(attempt, Outcome.TIMEOUT)

    def _answer_overdue(self, request: Request) -> None:
        """Guards against a call that the module has lost sight of."""
        if request.state is State.OPEN:
            log.warning("%s overdue: answered by the broker", request.id)
            self.fail(request)

    def _refuse(self, request: Request, stay_away_ms: float) -> None:
        request.stay_away_ms = stay_away_ms
        self.metrics.deferred(request.call_class)
        self._answer_finally(request, "refused", lambda: request.front.call_refused(request, stay_away_ms))

    def _fail(self, request: Request) -> None:
        self.metrics.errored(request.call_class)
        self._answer_finally(request, "failed", lambda: request.front.call_failed(request))

    def _answer_finally(self, request: Request, answer: str, say: Callable[[], None]) -> None:
        request.answer = answer
        self._close_request(request)
        self.recorder.record_answered(request, self._pending_server(request), say)
        self._cancel_attempt(request)

    def _pending_server(self, request: Request) -> str:
        """The server where an attempt is out, or none."""
        return request.attempt.server if request.attempt is not None and request.attempt.pending else ""

    def _count_answered(self, request: Request) -> None:
        self.open_count -= 1
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        if not self.open_count:
            self.on_idle()

    def _close_request(self, request: Request) -> None:
        """The request is over: its slot is free, its id is remembered for releases still on their way."""
        if request.state is State.OPEN:
            request.state = State.OVER
            self._count_answered(request)
        request.state = State.OVER
        self.metrics.request_ended()  # a call that stood ends here too: it was current until then
        self.requests.free(request.slot)
        del self.slots_by_id[request.id]
        self._remember_ended(request.id, request.not_before)

    def _remember_ended(self, call: str, not_before: float) -> None:
        now = self.clock.now()
        self.ended_ids[call] = (now, not_before)
        self.ended_ids.move_to_end(call)
        while self.ended_ids and (
            len(self.ended_ids) > MAX_ENDED_IDS
            or next(iter(self.ended_ids.values()))[0] < now - ENDED_ID_RETENTION_MS
        ):
            self.recorder.forget_call(self.ended_ids.popitem(last=False)[0])
