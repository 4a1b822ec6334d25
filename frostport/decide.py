"""Every decision of frostport. Types, events and actions: frostport/interface.py.

Per server one ServerControl after ND1115 section 7: Detection (a leaky bucket of rejects), Update (a ceiling
moved one step per interval) and Restriction (a token bucket filled at the ceiling). Controller routes calls.
"""

from __future__ import annotations

import math
import random
import struct
from typing import Any

from frostport import interface as api
from frostport.interface import NEVER_RAN, Effect, Lifecycle, ListKind, Outcome

# --- Parameters -------------------------------------------------------------------------------------
HELD_RETRY_MS = 50.0  # how often held calls are tried again; well under any aim
UPKEEP_MS = 250.0  # how often late attempts are counted, summaries sent to peers and a server probed
# Upkeep, Update, the time constants and the timer below are for this reference delay; shorter with it.
NOMINAL_DELAY_MS, TIME_SCALE_MIN = 400.0, 0.25
UPDATE_MS = 1000.0  # interval of Update; longer than an answer takes, so that a step's effect is seen
PEER_FANOUT = 2  # peers sent a summary at each upkeep: the same cost per proxy in any fleet
PROBE_GAP_MS = 700.0  # least time between probes of a server; one server is probed at each upkeep
PROBES_PER_CALL, PROBE_CREDIT_MAX = 0.1, 2.0  # probes earned by a call offered here, and the most saved up
FULL_PAUSE_MS = 200.0  # pause after one FULL: the least that the design allows
BACKOFF_MS, BACKOFF_MAX_MS = 250.0, 4000.0  # half the first pause of an unreachable server, and the longest
EVIDENCE_TAU_MS = 2000.0  # evidence of this age counts 1/e
SAMPLES = 6.0  # answers that the leaky bucket averages over, and calls for the mean holding time
RATE_TAU_S = 3.0  # time constant of the send rate
PRIOR = 1.0  # calls at the fair rate added to a count, so that a rare call is not taken for a high rate
OFFERED_TAU_S = 6.0  # time constant of the rate of calls offered to this proxy
PROMPT, LATE = 0.3, 1.2  # in reference delays: an answer counts 0 up to the first, 1 from the second
PROMPT_MARGIN = 0.15  # both rise where the shortest answer is within this many reference delays of PROMPT
RTT_MAX_MS = 60.0  # longest assumed round trip: with a reference delay of 400 ms it raises nothing
TARGET_SHARE = 0.10  # target reject share: the sum of the target rates stays small against capacity (C.1)
START_REJECTS = 1.0  # rejects above target in the bucket that activate control: one never does (7.3.1)
MIN_ANSWERS = 0.5  # with fewer answers in the bucket nothing is known, and Update waits
SEVERE_CUT = 0.7  # severe initial ceiling, as a share of the recent send rate (7.3.1)
DECREASE, DECREASE_FACTOR_MIN = 0.06, 0.5  # step down per multiple of the target missed; its bound (7.3.2)
INCREASE = 0.25  # step up with no rejects; shrinks to zero at the target (7.3.2)
LEAST_RESTRICTION = 1.5  # a ceiling at this multiple of the send rate restricts nothing (7.3.3)
PENDING_TERMINATION_MS = 10000.0  # pending-termination timer
MIN_SHARE = 0.1  # lowest ceiling, as a share of the fair rate: with no calls nothing would be learnt
BUCKET_DEPTH_S = 0.5  # the token bucket holds what its rate fills in this time
SUMMARY_AGE_UNIT_MS = 20.0  # resolution of the age in a summary for peers
ANSWER_RESERVE_MS = 120.0  # a held call is answered this long before its caller's deadline
AIM_RESERVE_SHARE = 0.25  # share of the aim kept for the server's answer when a call is held


PEER_SUMMARY = struct.Struct("!HBBB")  # server number, eighths of answers, 255ths of rejects, age


def backoff_ms(failures: int) -> float:
    return min(BACKOFF_MAX_MS, BACKOFF_MS * 2.0 ** min(failures, 10))


class Call:
    """A call that this proxy has not answered yet."""

    def __init__(self, event: api.CallArrived, call_class: api.CallClass, first_try: float, now: float):
        self.id, self.call_class, self.first_try = event.call, call_class, first_try
        self.choice, self.transit, self.called = event.first_choice, event.in_transit, event.number_called
        self.deadline_at = now + event.budget_ms
        hold_ms = call_class.aim_ms * (1.0 - AIM_RESERVE_SHARE)
        late = now >= first_try + hold_ms  # a redial past its aim yields, and may wait as long again
        self.worth = call_class.gain * (call_class.late_worth if late else 1.0)
        self.hold_until = min((now if late else first_try) + hold_ms, self.deadline_at - ANSWER_RESERVE_MS)
        self.not_before = self.sent_at = now
        self.attempts, self.counted = 0, False  # counted: the current attempt is in its server's leaky bucket
        self.sent_to: ServerControl | None = None  # where the current attempt is outstanding
        self.fault: ServerControl | None = None  # the server that answered the last attempt with a fault
        self.ran: api.Server | None = None  # where it may have run first, and until when it may be repeated
        self.repeat_until = math.inf

    def may_repeat(self, server: api.Server, now: float) -> bool:
        """Guards against a second effect: repeats go only to servers that discard them, while they do."""
        if self.ran is None or self.call_class.effect is Effect.PURE:
            return True
        same = {"all": True, "zone": server.zone == self.ran.zone, "cell": server.number == self.ran.number}
        return (
            self.call_class.effect is Effect.TOKEN
            and now < self.repeat_until
            and same.get(self.call_class.key_scope, False)
        )

    def may_refuse(self) -> bool:
        """Whether it may be refused, which says that it never ran."""
        return (
            self.ran is None
            or self.call_class.effect is Effect.PURE
            or (self.call_class.effect is Effect.TOKEN and self.call_class.key_scope == "all")
        )


class ServerControl:
    """One server as this proxy sees it: Detection, Update, Restriction, pauses, cold start. Rates per s."""

    def __init__(
        self, server: api.Server, settings: api.Settings, now: float, phase: float, time_scale: float = 1.0
    ):
        self.server, self.settings, self.time_scale = server, settings, time_scale
        self.rate_tau_s, self.evidence_tau_ms = RATE_TAU_S * time_scale, EVIDENCE_TAU_MS * time_scale
        self.phase = phase  # 0 to 1: keeps first tokens and probes of the proxies from coming all at once
        self.as_of = self.filled_at = self.since = now  # times of the counts, the tokens and the creation
        self.sent = self.answered = 0.0  # attempts and calls set up, counts that decay
        self.answers = self.reject_share = 0.0  # leaky bucket: answers it averages, share of rejects in them
        self.heard_at, self.probed_at = -math.inf, now - PROBE_GAP_MS * (1.0 + phase)
        self.lowered_at = self.paused_until = self.full_at = self.warm_at = self.answered_at = -math.inf
        self.ceiling: float | None = None  # calls per second; None while control is not active
        self.tokens = 1.0
        self.terminate_at = math.inf  # when the pending-termination timer expires
        self.failures = self.pending = 0  # consecutive failures; attempts without an outcome
        self.capacity, self.lines_rate = server.nominal, math.inf  # lines once reported; rate by free lines
        self.fastest_ms = math.inf  # the shortest answer: the round trip and the least work
        self.fair_rate = self.cold_rate = 0.0  # fair: its part, by capacity, of the calls offered here

    def decay(self, now: float) -> None:
        """Decays the counts by the time that has passed."""
        factor = math.exp(-max(0.0, now - self.as_of) / 1000.0 / self.rate_tau_s)
        self.as_of = now
        self.sent, self.answered = self.sent * factor, self.answered * factor

    def rate(self, count: float) -> float:
        """A decayed count as a rate per second; unbiased from the start, when little was counted yet."""
        age_s = self.rate_tau_s * (1.0 - math.exp(-max(1.0, (self.as_of - self.since) / 1000.0) / RATE_TAU_S))
        return (count + PRIOR) / (age_s + PRIOR / self.fair_rate) if self.fair_rate else count / age_s

    def weight(self, now: float) -> float:
        """How many answers the leaky bucket stands for now: it leaks with the age of its evidence."""
        return self.answers and self.answers * math.exp((self.heard_at - now) / self.evidence_tau_ms)

    def lower(self, ceiling: float, now: float) -> None:
        """Lowers the ceiling, never far below what is still answered: a queue is no loss of capacity."""
        self.ceiling = max(MIN_SHARE * self.fair_rate, ceiling, SEVERE_CUT * self.answered / self.rate_tau_s)
        self.lowered_at, self.terminate_at, self.answers = now, math.inf, 0.0

    def stagger(self, now: float) -> None:
        """Leaves at most part of a token when a limit starts to bind, or all proxies would send at once."""
        self.tokens, self.filled_at = self.phase - 0.5, now

    def detect(self, now: float, share: float, sent_at: float, heard_at: float, answers: float = 1.0) -> None:
        """Detection: adds answers with a share of rejects to the leaky bucket, weighted by their age."""
        if sent_at < self.lowered_at or answers <= 0.0:
            return  # what was sent before the ceiling was last lowered says nothing of the present one
        old, new = self.weight(now), answers * math.exp((heard_at - now) / self.evidence_tau_ms)
        part = new / (old + new)
        self.reject_share += part * (share - self.reject_share)
        self.heard_at = heard_at if part == 1.0 else self.heard_at + part * (heard_at - self.heard_at)
        self.answers = min(SAMPLES, (old + new) * math.exp((now - self.heard_at) / self.evidence_tau_ms))
        if self.ceiling is None and self.weight(now) * (self.reject_share - TARGET_SHARE) >= START_REJECTS:
            self.decay(now)
            self.stagger(now)
            self.lower(SEVERE_CUT * self.rate(self.sent), now)

    def update(self, now: float) -> None:
        """Update: a step down above the target reject share, up below it if the ceiling restricts."""
        self.decay(now)
        if self.ceiling is None:
            return
        # Too little recent evidence changes nothing: it speaks neither for the server nor against it.
        miss = self.reject_share / TARGET_SHARE - 1.0 if self.weight(now) >= MIN_ANSWERS else 0.0
        if miss > 0.0:
            self.lower(self.ceiling * max(DECREASE_FACTOR_MIN, 1.0 - DECREASE * miss), now)
        elif self.ceiling < LEAST_RESTRICTION * self.rate(self.sent):
            self.ceiling *= 1.0 - INCREASE * miss
        else:
            self.terminate_at = min(self.terminate_at, now + PENDING_TERMINATION_MS * self.time_scale)
        if now >= self.terminate_at:
            self.ceiling = None

    def limit(self, now: float) -> float:
        """The rate allowed now: the ceiling, a part of the free lines, and the ramp of a cold server."""
        limit = self.lines_rate if self.ceiling is None else min(self.lines_rate, self.ceiling)
        if now < self.warm_at:
            coldness = (1.0 - self.settings.cold_from) * (self.warm_at - now) / self.settings.cold_ms
            limit = min(limit, (self.cold_rate or self.fair_rate) * (1.0 - coldness))
        return limit

    def admits(self, now: float, worth: float) -> bool:
        """Restriction: a call of no worth needs a whole token, the one of most worth what is left of one."""
        limit = self.limit(now)
        if limit == math.inf:
            return True
        filled = self.tokens + limit * (now - self.filled_at) / 1000.0
        if now >= self.warm_at:
            self.tokens, needed = min(filled, max(1.0, limit * BUCKET_DEPTH_S)), 1.0 - worth
        else:
            # Guards a cold server against tokens saved up at all proxies: here an unused token soon lapses.
            self.tokens, needed = filled if filled < 1.0 + limit * BUCKET_DEPTH_S else filled % 1.0, 1.0
        self.filled_at = now
        return self.tokens >= needed


class Controller:
    """The decisions of one edge proxy."""

    def __init__(self, settings: api.Settings, seed: int):
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        self.max_gain = max((call_class.gain for call_class in settings.classes), default=1.0) or 1.0
        self.max_deadline_ms = max((call_class.deadline_ms for call_class in settings.classes), default=0.0)
        delay_ms = min((call_class.aim_ms for call_class in settings.classes), default=1000.0) / 2.0
        self.delay_ms = min(delay_ms, settings.retransmit_ms or delay_ms)  # the reference delay
        # Guards against updates too slow for the queue: it grows by whole aims before a step down shows.
        self.time_scale = min(1.0, max(TIME_SCALE_MIN, self.delay_ms / NOMINAL_DELAY_MS))
        self.update_ms, self.tau_s = UPDATE_MS * self.time_scale, OFFERED_TAU_S * self.time_scale
        self.upkeep_ms = UPKEEP_MS * self.time_scale  # short, so that late attempts count soon
        self.controls: dict[str, ServerControl] = {}  # by address
        self.calls: dict[str, Call] = {}
        self.held: list[Call] = []
        self.unserved: dict[tuple[int, str], float] = {}  # (number called, class): when it was first tried
        self.busy: dict[int, tuple[float, int]] = {}  # number called: until when, and how often it was busy
        self.alternative: ServerControl | None = None  # kept for calls that their first choice can't take
        self.offered_count, self.began_at = 0.0, -math.inf  # calls offered, decaying; the first event
        # Guards servers against a fleet that probes more than it calls: the probes of all proxies add up.
        self.probe_credit = PROBE_CREDIT_MAX
        self.mean_holding_ms = max((call_class.holding_ms for call_class in settings.classes), default=0.0)
        self.update_at = self.upkeep_at = self.timer_at = math.inf
        self.proxies_up = settings.siblings  # proxies that serve, with this one
        self.undecodable_messages = 0  # from peers
        self.handlers: dict[type, Any] = {
            api.CallArrived: self.on_call_arrived,
            api.CallEstablished: self.on_call_answered,
            api.AttemptEnded: self.on_attempt_ended,
            api.CallGone: self.on_call_gone,
            api.ListUpdate: self.on_list_update,
            api.ServerReport: self.on_server_report,
            api.PeerMessage: self.on_peer_message,
            api.TimerFired: self.on_timer,
            api.SiblingsUp: self.on_siblings_up,
        }

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Handles one event and returns the actions it calls for."""
        actions: list[api.Action] = []
        if self.began_at == -math.inf:
            self.began_at = now_ms
            phase = self.random.random()
            self.update_at, self.upkeep_at = now_ms + self.update_ms * phase, now_ms + self.upkeep_ms * phase
            self.set_timer(min(self.upkeep_at, self.update_at), now_ms, actions)
            if self.settings.subscribe:
                actions.append(api.Subscribe())
        self.handlers[type(event)](event, now_ms, actions)
        return actions

    def on_timer(self, event: api.TimerFired, now: float, actions: list[api.Action]) -> None:
        if event.name == "subscribe":
            actions.append(api.Subscribe())
        elif now >= self.timer_at:
            self.run_periodic(now, actions)

    def set_timer(self, at: float, now: float, actions: list[api.Action]) -> None:
        """Sets the timer of the periodic work, unless it is set to an earlier time."""
        if at < self.timer_at:
            self.timer_at = at
            actions.append(api.SetTimer("beat", at - now))

    def on_call_arrived(self, event: api.CallArrived, now: float, actions: list[api.Action]) -> None:
        call_class = self.classes.get(event.call_class) or api.CallClass("", event.budget_ms, event.budget_ms)
        self.offered_count += 1.0
        self.probe_credit = min(PROBE_CREDIT_MAX, self.probe_credit + PROBES_PER_CALL)
        self.mean_holding_ms += (call_class.holding_ms - self.mean_holding_ms) / SAMPLES
        assumed = now - call_class.aim_ms if event.redial else now
        first_try = self.unserved.pop((event.number_called, call_class.name), assumed)
        call = self.calls[event.call] = Call(event, call_class, first_try, now)
        self.dispatch([call], now, actions)

    def dispatch(self, calls: list[Call], now: float, actions: list[api.Action]) -> None:
        """Sends what may go, by worth; holds the rest, and refuses what its aim allows no wait."""
        unroutable: set[tuple[float, str, int]] = set()
        for call in sorted(calls, key=lambda call: -call.worth):
            # Guards against many calls to one number: while its lines are busy, no server can set them up.
            call.not_before = max(call.not_before, self.busy.get(call.called, (0.0, 0))[0])
            kind = (call.worth, call.call_class.name, call.choice if call.transit else -1)
            may_go = call.not_before <= now < call.deadline_at and kind not in unroutable
            control = self.choose(call, now) if may_go else None
            if control is not None:
                self.send(call, control, now, actions)
            elif now >= call.hold_until or call.not_before > call.hold_until:
                wait = self.settings.max_retry_after_ms if self.settings.retry_after else 0.0
                actions.append(api.RefuseCall(call.id, wait) if call.may_refuse() else api.FailCall(call.id))
                self.forget(call)
            else:
                self.held.append(call)
                self.set_timer(now + HELD_RETRY_MS, now, actions)
            if may_go and control is None:
                unroutable.add(kind)

    def forget(self, call: Call) -> None:
        """Drops an unserved call, but keeps when it was first tried: a redial's aim runs from there."""
        del self.calls[call.id]
        if call.sent_to is not None:
            call.sent_to.pending -= 1
        if call.called:
            self.unserved[call.called, call.call_class.name] = call.first_try

    def ready(self) -> list[ServerControl]:
        return [control for control in self.controls.values() if control.server.state is Lifecycle.READY]

    def usable(self, control: ServerControl, call: Call, now: float) -> bool:
        number = control.server.number
        return (
            control.server.state is Lifecycle.READY
            and now >= control.paused_until
            and not (control.failures and control.pending)
            and number != self.settings.home_number
            and (call.call_class.pools is None or number in call.call_class.pools)
            and call.may_repeat(control.server, now)
        )

    def choose(self, call: Call, now: float) -> ServerControl | None:
        """First choice if it admits the call, else the kept alternative, redrawn at random if it doesn't."""
        worth = call.worth / self.max_gain
        usable = [control for control in self.controls.values() if self.usable(control, call, now)]
        first = [control for control in usable if control.server.number == call.choice]
        if call.fault is not None and not call.transit:
            # Guards against a server that answers most set-ups with a fault: others that admit it come first.
            rest = [control for control in usable if control is not call.fault and control.admits(now, worth)]
            if rest:
                return self.random.choices(rest, [control.capacity for control in rest])[0]
        kept = [control for control in usable if control is self.alternative and not call.transit]
        preferred = first + kept
        for control in preferred:
            if control.admits(now, worth):
                return control
        free = [control for control in usable if control not in preferred and control.admits(now, worth)]
        if not free or call.transit:
            return None
        # By capacity: a small server would else get as many calls from other servers as a large one.
        (self.alternative,) = self.random.choices(free, [control.capacity for control in free])
        return self.alternative

    def send(self, call: Call, control: ServerControl, now: float, actions: list[api.Action]) -> None:
        control.decay(now)
        control.sent, control.pending = control.sent + 1.0, control.pending + 1
        if control.limit(now) != math.inf:
            control.tokens -= 1.0
        call.sent_to, call.sent_at, call.counted, call.attempts = control, now, False, call.attempts + 1
        actions.append(api.SendAttempt(call.id, control.server.address, max(0.001, call.deadline_at - now)))

    def on_call_gone(self, event: api.CallGone, now: float, actions: list[api.Action]) -> None:
        if event.call in self.calls:
            self.forget(self.calls[event.call])

    def count(self, call: Call, control: ServerControl, now: float, reject_share: float) -> None:
        """Counts an attempt in its server's leaky bucket, once."""
        if not call.counted:
            control.detect(now, reject_share, call.sent_at, now)
            if control is self.alternative and reject_share >= 1.0:
                self.alternative = None  # a late answer is as good a reason as FULL to draw another
        call.counted = True

    def prompt_ratio(self, control: ServerControl) -> float:
        """Up to this age, in reference delays, an answer shows no queue."""
        # Guards against round trips as long as a reference delay: what every answer takes is no sign of load.
        # A server loaded from the start has no short answer: what is taken for its round trip is bounded.
        rtt_ms = min(control.fastest_ms, RTT_MAX_MS) if control.fastest_ms < math.inf else 0.0
        return max(PROMPT, rtt_ms / self.delay_ms + PROMPT_MARGIN)

    def lateness(self, elapsed_ms: float, prompt_ratio: float = PROMPT) -> float:
        """How far an answer's age counts as a reject, 0 to 1; FULL comes only long past every aim."""
        return min(1.0, max(0.0, (elapsed_ms / self.delay_ms - prompt_ratio) / (LATE - PROMPT)))

    def on_call_answered(self, event: api.CallEstablished, now: float, actions: list[api.Action]) -> None:
        call = self.calls.get(event.call)
        if call is None or call.sent_to is None:
            return
        control = call.sent_to
        control.decay(now)
        control.answered, control.failures, control.pending = control.answered + 1.0, 0, control.pending - 1
        control.answered_at = now
        self.busy.pop(call.called, None)
        control.fastest_ms = min(control.fastest_ms, event.elapsed_ms)
        self.count(call, control, now, self.lateness(event.elapsed_ms, self.prompt_ratio(control)))
        del self.calls[event.call]

    def on_attempt_ended(self, event: api.AttemptEnded, now: float, actions: list[api.Action]) -> None:
        call = self.calls.get(event.call)
        if call is None or call.sent_to is None or event.attempt != call.attempts - 1:
            return
        control, call.sent_to = call.sent_to, None
        control.pending -= 1
        if event.outcome not in NEVER_RAN and call.ran is None:
            call.ran, call.repeat_until = control.server, call.sent_at + call.call_class.window_ms
        if event.outcome is Outcome.FULL:
            if now >= control.full_at + self.delay_ms:  # one pause of a processor is one reject
                self.count(call, control, now, 1.0)
                control.full_at = now
            # A stated wait is ignored: a server that pauses for a moment states one that is far too long.
            control.paused_until = max(control.paused_until, now + FULL_PAUSE_MS)
        elif event.outcome is Outcome.CONNECT_FAILED or (
            event.outcome is Outcome.TIMEOUT
            and (control.answered_at <= call.sent_at or control.reject_share > 2.0 * TARGET_SHARE)
        ):
            # Guards against unreachable and silent servers: growing pauses, then one attempt at a time. Where
            # others answered since and few were late, one answer was lost: a pause would flood other servers.
            control.failures += 1
            control.paused_until = now + backoff_ms(control.failures)
        elif event.note == api.NOTE_NUMBER_BUSY and call.called:
            tries = self.busy.get(call.called, (0.0, 0))[1] + 1
            self.busy[call.called] = (now + backoff_ms(tries), tries)
        elif event.outcome is Outcome.ERROR:
            call.fault = control
        if event.closed:
            del self.calls[call.id]
        elif (
            now >= call.deadline_at - 1.0
            or call.attempts >= self.settings.try_limit
            or (call.ran is not None and call.call_class.effect is Effect.SIDE_EFFECT)
        ):
            actions.append(api.FailCall(call.id))
            self.forget(call)
        else:
            if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
                # The release is awaited: what the attempt held may stay taken until then.
                call.not_before = now + self.settings.release_guard_ms + self.settings.step_ms
                hold_until = max(call.hold_until, call.not_before + ANSWER_RESERVE_MS)
                call.hold_until = min(call.deadline_at - ANSWER_RESERVE_MS, hold_until)
            self.dispatch([call], now, actions)

    def on_list_update(self, event: api.ListUpdate, now: float, actions: list[api.Action]) -> None:
        if event.kind is ListKind.ERROR:
            actions.append(api.SetTimer("subscribe", 2.0 * UPDATE_MS))  # only a subscriber is sent this
            return
        listed = {server.address for server in event.servers}
        for server in event.servers:
            known = self.controls.get(server.address)
            control = self.controls[server.address] = known or ServerControl(
                server, self.settings, now, self.random.random(), self.time_scale
            )
            restarted = known is None or server.started_ms > control.server.started_ms
            control.server = server
            if restarted and server.started_ms > now - self.settings.cold_ms:
                self.start_cold_ramp(control, server.started_ms, now)
        self.controls = {
            address: control
            for address, control in self.controls.items()
            if control.server.state is not Lifecycle.GONE
            and (event.kind is ListKind.CHANGES or address in listed)
        }
        self.update_fair_rates(now)

    def update_fair_rates(self, now: float) -> None:
        """The fair rate of each server: its part, by capacity, of the calls offered to this proxy."""
        age_s = self.tau_s * (1.0 - math.exp(-max(1.0, (now - self.began_at) / 1000.0) / self.tau_s))
        ready = self.ready()
        total = sum(control.capacity for control in ready)
        for control in ready:
            control.fair_rate = self.offered_count / age_s * control.capacity / total

    def start_cold_ramp(self, control: ServerControl, started_at: float, now: float) -> None:
        """Guards a cold server: its ramp starts at its part, by capacity, of what the warm ones are sent."""
        for other in self.controls.values():
            other.decay(now)
        warm = [other for other in self.ready() if other is not control and now >= other.warm_at] or [control]
        total = sum(other.capacity for other in warm)
        control.cold_rate = sum(other.rate(other.sent) for other in warm) * control.capacity / total
        control.warm_at = started_at + self.settings.cold_ms
        control.failures, control.paused_until = 0, -math.inf
        # Guards against a ceiling of zero, which no step raises: a proxy that has sent nothing yet goes by
        # its part of the calls offered to it.
        control.ceiling, control.terminate_at = control.cold_rate * self.settings.cold_from or None, math.inf
        control.tokens, control.filled_at = control.phase, now

    def on_server_report(self, event: api.ServerReport, now: float, actions: list[api.Action]) -> None:
        control = self.controls.get(event.server)
        if control is None:
            return
        if event.outcome in (Outcome.FULL, Outcome.TIMEOUT):
            # Guards against an overloaded server that answers probes only in its good moments.
            control.detect(now, 1.0, now - LATE * self.delay_ms, now)
        report = dict(zip(self.settings.report_columns, event.report, strict=False))
        control.capacity = max(report.get("size", 0.0), 0.0) or control.capacity
        if self.mean_holding_ms and report.get("free", -1.0) >= 0.0:
            # Guards against all proxies taking the last lines: each gets a part of those free or soon free.
            released = control.capacity * UPDATE_MS / self.mean_holding_ms
            before, control.lines_rate = control.lines_rate, (report["free"] + released) / self.proxies_up
            if control.lines_rate < LEAST_RESTRICTION * control.fair_rate <= before:
                control.stagger(now)
        if event.elapsed_ms > 0.0 and report.get("mean_ms", -1.0) >= 0.0:
            control.detect(now, self.lateness(report["mean_ms"]), now - report["mean_ms"], now)

    def on_siblings_up(self, event: api.SiblingsUp, now: float, actions: list[api.Action]) -> None:
        self.proxies_up = max(1, event.count)

    def on_peer_message(self, event: api.PeerMessage, now: float, actions: list[api.Action]) -> None:
        """Adds a peer's evidence to the leaky buckets; a message that does not decode is only counted."""
        if len(event.data) % PEER_SUMMARY.size or not event.data:
            self.undecodable_messages += 1
            return
        by_number = {control.server.number: control for control in self.ready()}
        for number, answers, share, age in PEER_SUMMARY.iter_unpack(event.data):
            control, heard_at = by_number.get(number), now - age * SUMMARY_AGE_UNIT_MS
            if control is not None:
                # The oldest call behind it was sent about one late answer before it was heard.
                control.detect(now, share / 255.0, heard_at - LATE * self.delay_ms, heard_at, answers / 8.0)

    def run_periodic(self, now: float, actions: list[api.Action]) -> None:
        """Counts late attempts, tries held calls, and runs the upkeep and Update when they are due."""
        self.timer_at = math.inf
        for call in self.calls.values():
            # An outstanding attempt counts once it is as late as a reject: FULL and time-outs come too late.
            if (
                call.sent_to is not None
                and not call.counted
                and now - call.sent_at >= (LATE + self.prompt_ratio(call.sent_to) - PROMPT) * self.delay_ms
            ):
                self.count(call, call.sent_to, now, 1.0)
        # Compares the call itself, not its id: a caller that gave up may have called again under the same id.
        waiting, self.held = [call for call in self.held if self.calls.get(call.id) is call], []
        self.dispatch(waiting, now, actions)
        if now >= self.upkeep_at:
            self.upkeep_at = now + self.upkeep_ms
            self.inform_and_probe(now, actions)
        if now >= self.update_at:
            self.update_at = now + self.update_ms
            self.unserved = {key: at for key, at in self.unserved.items() if now - at < self.max_deadline_ms}
            self.busy = {key: to for key, to in self.busy.items() if now - to[0] < self.max_deadline_ms}
            self.offered_count *= math.exp(-self.update_ms / 1000.0 / self.tau_s)
            self.update_fair_rates(now)
            for control in self.controls.values():
                control.update(now)
        self.set_timer(
            min(self.upkeep_at, self.update_at, now + HELD_RETRY_MS if self.held else math.inf), now, actions
        )

    def inform_and_probe(self, now: float, actions: list[api.Action]) -> None:
        """Upkeep: sends summaries to a few peers, and probes the server probed longest ago: a fixed cost."""
        ready = self.ready()
        others = self.settings.siblings - 1
        summary = b"".join(
            PEER_SUMMARY.pack(
                control.server.number & 0xFFFF,
                round(8.0 * control.answers),
                round(255.0 * control.reject_share),
                min(255, int((now - control.heard_at) / SUMMARY_AGE_UNIT_MS)),
            )
            for control in ready
            if control.weight(now) >= MIN_ANSWERS
        )[: 256 - 256 % PEER_SUMMARY.size]
        if self.settings.peers and summary:
            for step in self.random.sample(range(others), min(PEER_FANOUT, others)):
                actions.append(api.SendToPeer((self.settings.me + 1 + step) % (others + 1), summary))
        # Guards a cold server: probes of all proxies are work too, and its ramp goes by time alone.
        due = [control for control in ready if now >= max(control.probed_at + PROBE_GAP_MS, control.warm_at)]
        if self.settings.probes and due and self.probe_credit >= 1.0:
            self.probe_credit -= 1.0
            control = min(due, key=lambda control: control.probed_at)
            control.probed_at = now
            actions.append(api.Probe(control.server.address))
