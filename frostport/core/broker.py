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
from frostport.core.recorder import Recorder
from frostport.core.rotation import Rotation
from frostport.core.rules import UNCLEAN, Rules
from frostport.core.slots import Slots
from frostport.core.tally import Tally
from frostport.interface import Outcome

log = logging.getLogger("frostport.broker")

REMEMBER_MS = 60_000.0  # how long an ended call's id is known: releases may be repeated on later connections
REMEMBER_MOST = 20_000  # and how many of them
UNKNOWN_MOST, UNKNOWN_A_SECOND = 200.0, 50.0  # releases of unknown ids passed on: at once, and a second
NOT_TAKEN_MS = 1000.0  # how long a call that can't be put on record is told to stay away
OVERDUE_MS = 10.0  # a request still open this long after its caller's time gets its answer from the broker


class Module(Protocol):
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
        module: Module,
        rules: Rules,
        clock: Clock,
        deadlines: Deadlines,
        probe_timeout_ms: float,
        budgets: Budgets | None = None,
    ) -> None:
        self.module, self.rules, self.clock, self.deadlines = module, rules, clock, deadlines
        self.probe_timeout_ms, self.budgets = probe_timeout_ms, budgets or Budgets()
        self.recorder = Recorder()
        self.tally = Tally()  # the figures
        self.rotation = Rotation()  # servers that operators took out
        self.tell: Callable[[int, bytes], None] = lambda peer, data: None
        self.route: Route | None = None
        self.requests: Slots[Request] = Slots()
        self.by_id: dict[str, int] = {}
        self.ended_ids: OrderedDict[str, tuple[float, float]] = OrderedDict()  # ended at, not again before
        self.ending: dict[str, Request] = {}  # ended by their servers, and the end not on record yet
        self.open = 0
        self.idle: Callable[[], None] = lambda: None  # called when the last open request is answered
        self._unknown, self._unknown_at = UNKNOWN_MOST, 0.0  # releases of unknown ids that may still go on
        self._probes: dict[int, tuple[str, float]] = {}
        self._probe_number = 0
        self._events: deque[tuple[api.Event, Request | None]] = deque()
        self._feeding = False

    # From the front

    def siblings_up(self, count: int) -> None:
        """How many call agents serve, with this one."""
        self._feed(api.SiblingsUp(count))

    def find(self, call: str) -> Request | None:
        slot = self.by_id.get(call)
        return None if slot is None else self.requests.get(slot)

    def arrive(self, request: Request, event: api.CallArrived) -> None:
        """A new request; its id is not one of those open or standing."""
        request.slot = self.requests.add(request)
        self.by_id[request.id] = request.slot
        _, request.not_before = self.ended_ids.pop(request.id, (0.0, 0.0))
        self._wait_elsewhere(request)
        self.open += 1
        self.tally.taken()
        now = self.clock.now()
        request.end_at = now + self.budgets.deadline_ms(request.call_class, request.end_at - now)
        wait = self.budgets.wait_ms(request.team, request.call_class, now)
        if wait > 0.0:
            log.info("%s over the budget of %s", request.team, request.call_class)
            self._refuse(request, wait)
            return
        if not self.recorder.takes():
            self._refuse(request, NOT_TAKEN_MS)
            return
        event = dataclasses.replace(event, budget_ms=request.end_at - now)
        request.overdue = self.deadlines.set(request.end_at + OVERDUE_MS, lambda: self._overdue(request))
        if now < request.not_before:
            # Guards against a call that comes again on a new connection while its last attempt's release
            # is still awaited: the module doesn't know that it is the same call.
            self.deadlines.set(request.not_before, lambda: self._feed_late(event, request))
        else:
            self._feed(event, request)

    def _feed_late(self, event: api.CallArrived, request: Request) -> None:
        if request.state is not State.OPEN:
            return
        if self._wait_elsewhere(request) or self.clock.now() < request.not_before:
            self.deadlines.set(request.not_before, lambda: self._feed_late(event, request))
        else:
            left = request.end_at - self.clock.now()
            self._feed(dataclasses.replace(event, budget_ms=left), request)

    def _wait_elsewhere(self, request: Request) -> bool:
        """Guards against a second attempt while a process that hands over may have one out: the guard runs
        anew."""
        if not self.recorder.elsewhere(request.id):
            return False
        request.not_before = self.clock.now() + self.rules.settings.release_guard_ms
        return True

    def disown(self, request: Request) -> None:
        """A call that stands has been ended by another process, which tells all who must know."""
        request.attempt = None
        self._close(request)

    def gone(self, request: Request) -> None:
        """The client no longer waits for the answer."""
        if request.state is not State.OPEN:
            return
        request.answer = "gone"
        self._close(request)
        self.recorder.answered(request, self._where(request), lambda: None)
        self._feed(api.CallGone(request.id), request)
        self._withdraw(request)

    def fail(self, request: Request) -> None:
        """Answers a call without the module, which is told that nothing is owed any more."""
        if request.state is State.OPEN:
            self._fail(request)
            self._feed(api.CallGone(request.id), request)

    def release(self, request: Request) -> None:
        """The client ends a call that stands."""
        attempt = request.attempt
        if request.state is not State.STANDING or attempt is None:
            return
        self._close(request)
        self.recorder.over(request, attempt.server, None, lambda: self._route().release(attempt))
        self._end(attempt, Outcome.CANCELLED)

    def release_unknown(self, call: str) -> None:
        """A client's release of an id not known here; one that ended lately has been released already."""
        now = self.clock.now()
        came = (now - self._unknown_at) / 1000.0 * UNKNOWN_A_SECOND
        self._unknown, self._unknown_at = min(UNKNOWN_MOST, self._unknown + came), now
        if call not in self.ended_ids and self._unknown >= 1.0:
            # Guards the servers against clients that make ids up: each goes to all of them.
            self._unknown -= 1.0
            self._remember(call, 0.0)
            self._route().release_unknown(call)

    # From the route

    def stood(self, attempt: Attempt, description: Body) -> None:
        request, now = attempt.request, self.clock.now()
        if not attempt.out or request.state is not State.OPEN:
            return
        self._stop(attempt)
        self._answered(request)
        self.tally.answered(request.call_class)
        request.state, request.stood_at = State.STANDING, now
        request.answer = "stands"
        self.recorder.stands(
            request, attempt, description, lambda: request.front.stands(request, description)
        )
        self._feed(api.CallStands(request.id, attempt.number, attempt.server, now - attempt.sent_at), request)
        if attempt.over is not None:
            self.ended(attempt, Outcome.OK)
            # Guards against the end of an earlier attempt, told again: nothing is left standing there.
            self.recorder.barrier(lambda: self._route().release(attempt))

    def ended(
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
            self._close(request)
            self.ending[request.id] = request
            self.recorder.over(request, attempt.server, outcome, lambda: self._over(request, outcome))
        self._end(attempt, outcome, note, wait_ms, report)

    def _over(self, request: Request, outcome: Outcome) -> None:
        """The end is on record: now its client may hear it."""
        self.ending.pop(request.id, None)
        request.front.over(request.id, request.place, outcome, request.given)

    def over_early(self, attempt: Attempt, confirm: Callable[[], object]) -> None:
        """A call has come to its end at its server; its answer is still on its way, on another connection.

        Guards against a call that stands for ever: the end is told and confirmed once. It counts once the
        answer is heard; an attempt that ends without one ran, and has failed. `confirm` waits for either."""
        attempt.over = confirm

    def over_unheard(self, attempt: Attempt, report: tuple[float, ...] = ()) -> None:
        """A call has come to its end at its server, and its answer was never heard: it ran, and has failed.

        Guards against sending it again: the server has ended the id, and would never tell of a second end."""
        request = attempt.request
        if request.attempt is attempt and request.state is State.OPEN:
            request.answer = "failed"
            self.tally.errored(request.call_class)
            self._close(request)
            self.recorder.answered(request, "", lambda: request.front.failed(request))
            self._end(attempt, Outcome.RESET, report=report)

    def over_unknown(self, call: str, front: Front, outcome: Outcome) -> None:
        """A server's release of an id not known here: a call set up before this program's start."""
        if call not in self.ended_ids:
            self._remember(call, 0.0)
            self.recorder.owed(call, "", outcome, lambda: front.over(call, -1, outcome))

    def calls_stand(self, server: str) -> bool:
        """Whether any call stands at this server."""
        return any(
            request.state is State.STANDING
            and request.attempt is not None
            and request.attempt.server == server
            for request in self.requests
        )

    def cut(self, server: str, before_ms: float, why: str) -> list[str]:
        """The calls that stood at a server since before a time are over; returns their ids."""
        over = [
            request
            for request in self.requests
            if request.state is State.STANDING
            and request.attempt is not None
            and request.attempt.server == server
            and request.stood_at <= before_ms
        ]
        for request in over:
            assert request.attempt is not None
            log.info(
                "call %s over: cut at %s, attempt %d, stood for %.0f ms: %s",
                request.id,
                server,
                request.attempt.number,
                self.clock.now() - request.stood_at,
                why,
            )
            self.ended(request.attempt, Outcome.RESET)
        if over:
            log.info("%s: %d calls cut: %s", server, len(over), why)
            self.tally.cut(server, len(over))
        return [request.id for request in over]

    def reported(self, server: str, report: tuple[float, ...]) -> None:
        """A report that came unasked."""
        self._feed(api.ServerReport(server, Outcome.OK, 0.0, report))

    def probed(self, number: int, outcome: Outcome, report: tuple[float, ...] = ()) -> None:
        if number in self._probes:
            server, sent_at = self._probes.pop(number)
            # Guards against a clock that stands still: 0 would mark a report that came unasked.
            elapsed = max(0.001, self.clock.now() - sent_at)
            self._feed(api.ServerReport(server, outcome, elapsed, report))

    def listed(
        self,
        kind: api.ListKind,
        version: int,
        servers: Iterable[api.Server],
        dials: Mapping[str, str] | None = None,
    ) -> set[str]:
        """The server list or changes to it; returns the servers that are no longer on it.

        `dials`: the servers' addresses, where the list tells them."""
        servers = tuple(servers)
        self.rotation.listed(servers, dials or {})
        servers = tuple(self.rotation.shown(server) for server in servers)
        removed = self.rules.listed(kind, servers, self.clock.now())
        self.tally.listed(len(self.rules.servers))
        for server in servers:
            self.tally.avoided(server.address, "list", server.state is not api.Lifecycle.READY)
        for server in servers:
            if (told := self.rules.servers.get(server.address)) is not None:
                self.recorder.listed(server, (dials or {}).get(server.address, ""), told.stop_at)
        for address in removed:
            self.recorder.unlisted(address)
            self.rotation.unlisted(address)
            self.tally.unlisted(address)
        self._feed(api.ListUpdate(kind, version, servers))
        return removed

    def rotate(self, name: str, out: bool) -> str | None:
        """An operator takes a listed server out of rotation (the module sees it drain), or puts it back as
        the list last said of it. Returns the server's name, or None where none is listed by that name or
        dial address; saying it twice changes nothing."""
        address = self.rotation.find(name)
        if address is None:
            return None
        record = self.rotation.hold(address) if out else self.rotation.release(address)
        if record is not None:
            self.rules.listed(api.ListKind.CHANGES, (record,), self.clock.now())
            self.tally.avoided(address, "operator", out)
            self._feed(api.ListUpdate(api.ListKind.CHANGES, 0, (record,)))
        return address

    def told(self, sender: int, data: bytes) -> None:
        """A message from another call agent."""
        self._feed(api.PeerMessage(sender, data))

    # At the program's end

    def fail_all(self) -> None:
        """Answers whatever is still open."""
        for request in self.requests:
            if request.state is State.OPEN:
                self._fail(request)

    # The module's side

    def _feed(self, event: api.Event, request: Request | None = None) -> None:
        """One event to the module at a time: what its actions bring about comes after them."""
        self._events.append((event, request))
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                self._handle(*self._events.popleft())
        finally:
            self._feeding = False

    def _handle(self, event: api.Event, request: Request | None) -> None:
        now = self.clock.now()
        try:
            actions = self.module.handle(event, now)
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
                call = self.find(getattr(action, "call", ""))
                if call is not None:
                    self.fail(call)

    def _perform(self, action: api.Action, now: float) -> None:
        match action:
            case api.SendAttempt(call, server, within):
                request = self.find(call)
                if request is not None:
                    self._send(request, server, within, now)
            case api.CancelAttempt(call, number):
                request = self.find(call)
                if (
                    request is not None
                    and request.state is State.OPEN
                    and request.attempt is not None
                    and request.attempt.number == number
                ):
                    self._withdraw(request)
            case api.RefuseCall(call, stay_away):
                request = self.find(call)
                if request is not None and request.state is State.OPEN:
                    self._refuse(request, stay_away)
            case api.FailCall(call):
                request = self.find(call)
                if request is not None and request.state is State.OPEN:
                    self._fail(request)
            case api.SetTimer(name, after):
                self.deadlines.set(now + after, lambda: self._feed(api.TimerFired(name)))
            case api.Probe(server):
                self._probe(server, now)
            case api.TellPeer(peer, data):
                self.tell(peer, data)
            case api.WriteLog(text):
                log.info("module: %s", text)
            case api.Subscribe():
                pass  # changes come by themselves on this wire

    def _send(self, request: Request, server: str, within: float, now: float) -> None:
        if request.state is State.OPEN and not request.front.waits(request):
            self.gone(request)
            return
        reason = self.rules.against(request, server, within, now)
        number, request.attempts = request.attempts, request.attempts + 1
        if reason is not None:
            self.rules.stop(request, server, reason)
            self._feed(
                api.AttemptEnded(
                    request.id, number, server, Outcome.NOT_SENT, 0.0, request.state is not State.OPEN
                ),
                request,
            )
            return
        end_at = min(request.end_at, now + within) if within > 0.0 else request.end_at
        attempt = request.attempt = Attempt(request, number, server, now, end_at)
        attempt.timeout = self.deadlines.set(end_at, lambda: self._timed_out(attempt))
        self.recorder.sending(attempt, lambda: self._go(attempt))

    def _go(self, attempt: Attempt) -> None:
        """The attempt leaves, if it is still wanted now that it is on record."""
        now = self.clock.now()
        if now > attempt.sent_at and not self.wanted(attempt):
            return
        if attempt.out:
            attempt.sent_at = now
            self._route().send(attempt)

    def wanted(self, attempt: Attempt) -> bool:
        """Whether an attempt that has waited, for a disk or a dial, may still leave; else it is ended here.

        Guards against a set-up for a client that has gone meanwhile, and against one to a server that has
        been draining past the grace."""
        if attempt.out and not attempt.request.front.waits(attempt.request):
            self.gone(attempt.request)
        elif attempt.out and self.rules.drained(attempt.server, self.clock.now()):
            self._end(attempt, Outcome.NOT_SENT)
        return attempt.out

    def _probe(self, server: str, now: float) -> None:
        self._probe_number += 1
        number = self._probe_number
        self._probes[number] = (server, now)
        self.deadlines.set(now + self.probe_timeout_ms, lambda: self.probed(number, Outcome.TIMEOUT))
        self._route().probe(server, number)

    # Shared steps

    def _route(self) -> Route:
        assert self.route is not None
        return self.route

    def _stop(self, attempt: Attempt) -> None:
        attempt.out = False
        if attempt.timeout is not None:
            attempt.timeout.cancel()

    def _end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: int = 0,
        wait_ms: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        self._stop(attempt)
        request, now = attempt.request, self.clock.now()
        request.attempt = None
        if outcome not in api.NEVER_RAN and not request.ran_at:
            request.ran_at = attempt.server
        if outcome in UNCLEAN:
            request.not_before = now + self.rules.settings.release_guard_ms
            if request.id in self.ended_ids:
                self.ended_ids[request.id] = (now, request.not_before)
            self.recorder.guarded(request, attempt.server)
        if request.state is State.OPEN and (
            attempt.over is not None or self.budgets.spent(request.call_class, request.attempts)
        ):
            self._fail(request)
        if attempt.over is not None:
            self.recorder.barrier(attempt.over)
        self._feed(
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

    def _withdraw(self, request: Request) -> None:
        """Gives up the attempt that is out, if any."""
        attempt = request.attempt
        if attempt is not None and attempt.out:
            self._route().give_up(attempt)
            self._end(attempt, Outcome.CANCELLED)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.out:
            self._route().give_up(attempt)
            self._end(attempt, Outcome.TIMEOUT)

    def _overdue(self, request: Request) -> None:
        """Guards against a call that the module has lost sight of."""
        if request.state is State.OPEN:
            log.warning("%s overdue: answered by the broker", request.id)
            self.fail(request)

    def _refuse(self, request: Request, stay_away_ms: float) -> None:
        request.back_ms = stay_away_ms
        self.tally.deferred(request.call_class)
        self._give_final(request, "refused", lambda: request.front.refused(request, stay_away_ms))

    def _fail(self, request: Request) -> None:
        self.tally.errored(request.call_class)
        self._give_final(request, "failed", lambda: request.front.failed(request))

    def _give_final(self, request: Request, answer: str, say: Callable[[], None]) -> None:
        request.answer = answer
        self._close(request)
        self.recorder.answered(request, self._where(request), say)
        self._withdraw(request)

    def _where(self, request: Request) -> str:
        """The server where an attempt is out, or none."""
        return request.attempt.server if request.attempt is not None and request.attempt.out else ""

    def _answered(self, request: Request) -> None:
        self.open -= 1
        if request.overdue is not None:
            request.overdue.cancel()
        if not self.open:
            self.idle()

    def _close(self, request: Request) -> None:
        """The request is over: its slot is free, its id is remembered for releases still on their way."""
        if request.state is State.OPEN:
            request.state = State.OVER
            self._answered(request)
        request.state = State.OVER
        self.tally.ended()  # a call that stood ends here too: it was current until then
        self.requests.free(request.slot)
        del self.by_id[request.id]
        self._remember(request.id, request.not_before)

    def _remember(self, call: str, not_before: float) -> None:
        now = self.clock.now()
        self.ended_ids[call] = (now, not_before)
        self.ended_ids.move_to_end(call)
        while self.ended_ids and (
            len(self.ended_ids) > REMEMBER_MOST or next(iter(self.ended_ids.values()))[0] < now - REMEMBER_MS
        ):
            self.recorder.forgotten(self.ended_ids.popitem(last=False)[0])
