"""Every decision of frostport. Types, events and actions: frostport/interface.py.

A Controller routes the calls of one proxy. It has a ServerControl for each server, after ND1115 section 7:
Detection (a leaky bucket of rejects), Update (a ceiling moved one step per interval) and Restriction (a token
bucket filled at the ceiling).

Times (`now_ms`, `..._at`, `..._until`) are milliseconds on the caller's clock. The module reads no clock, and
its only randomness is a generator seeded by the caller: the same events give the same actions.
"""

from __future__ import annotations

import math
import random
import struct
from typing import Any

from frostport import interface as api
from frostport.interface import NEVER_RAN, Effect, Lifecycle, ListKind, Outcome

# Periodic work

HELD_RETRY_MS = 50.0  # interval of the retries of held calls; well under any aim
UPKEEP_MS = 250.0  # interval of counting late attempts, sending summaries to peers and probing a server
UPDATE_MS = 1000.0  # interval of Update; longer than an answer takes, so that a step's effect is seen

# UPKEEP_MS, UPDATE_MS, EVIDENCE_TAU_MS, RATE_TAU_S, OFFERED_TAU_S and PENDING_TERMINATION_MS are for this
# reference delay. For a shorter one they are scaled down in proportion, but not below TIME_SCALE_MIN.
NOMINAL_DELAY_MS = 400.0
TIME_SCALE_MIN = 0.25

# Peer summaries and probes

PEER_FANOUT = 2  # peers sent a summary at each upkeep; the cost per proxy is the same in a fleet of any size
SUMMARY_AGE_UNIT_MS = 20.0  # resolution of the age in a peer summary
PROBE_GAP_MS = 700.0  # minimum time between two probes of a server; each upkeep probes at most one server
PROBES_PER_CALL = 0.1  # probes earned by each call offered to this proxy
PROBE_CREDIT_MAX = 2.0  # maximum number of earned probes saved up

# Pauses

FULL_PAUSE_MS = 200.0  # pause after one FULL: the minimum that the design allows
BACKOFF_MS = 250.0  # half the first pause of an unreachable server or of a busy number
BACKOFF_MAX_MS = 4000.0  # the longest of these pauses

# Measurements

EVIDENCE_TAU_MS = 2000.0  # time constant of evidence: at this age it counts 1/e
SAMPLES = 6.0  # answers that the leaky bucket averages over, and calls that the mean holding time does
RATE_TAU_S = 3.0  # time constant of the send rate
PRIOR_CALLS = 1.0  # calls at the fair rate added to a count, so that one rare call does not give a high rate
OFFERED_TAU_S = 6.0  # time constant of the rate of calls offered to this proxy
PROMPT_RATIO = 0.3  # an answer up to this age, in reference delays, counts 0
LATE_RATIO = 1.2  # an answer from this age on, in reference delays, counts 1: as a reject
# Where the shortest answer is within this many reference delays of PROMPT_RATIO, both ratios are raised.
PROMPT_RATIO_MARGIN = 0.15
RTT_MAX_MS = 60.0  # longest round trip assumed; with a reference delay of 400 ms it raises neither ratio

# Detection, Update and Restriction; the numbers in brackets are sections of ND1115

TARGET_SHARE = 0.10  # target reject share: the sum of the target rates stays small against capacity (C.1)
START_REJECTS = 1.0  # rejects above the target in the bucket that activate control: one never does (7.3.1)
MIN_ANSWERS = 0.5  # with fewer answers in the bucket nothing is known, and Update waits
SEVERE_CUT = 0.7  # severe initial ceiling, as a share of the recent send rate (7.3.1)
DECREASE_PER_MISS = 0.06  # step down, as a share of the ceiling, per multiple of the target missed (7.3.2)
DECREASE_FACTOR_MIN = 0.5  # lowest factor of one step down (7.3.2)
INCREASE_MAX = 0.25  # step up with no rejects, as a share of the ceiling; shrinks to 0 at the target (7.3.2)
LEAST_RESTRICTION = 1.5  # a ceiling at this multiple of the send rate restricts nothing (7.3.3)
PENDING_TERMINATION_MS = 10000.0  # pending-termination timer
MIN_SHARE = 0.1  # lowest ceiling, as a share of the fair rate: without calls nothing would be learnt
BUCKET_DEPTH_S = 0.5  # the token bucket holds the tokens that its rate gives in this time

# Held calls

ANSWER_RESERVE_MS = 120.0  # a held call is answered this long before its caller's deadline
AIM_RESERVE_SHARE = 0.25  # share of the aim left for the server's answer when a call is held


# One record of a peer summary: server number, answers in eighths, reject share in 255ths, and the age of the
# evidence in SUMMARY_AGE_UNIT_MS.
PEER_SUMMARY = struct.Struct("!HBBB")


def backoff_ms(failures: int) -> float:
    """The pause after this many consecutive failures: doubled by each, at most BACKOFF_MAX_MS."""
    return min(BACKOFF_MAX_MS, BACKOFF_MS * 2.0 ** min(failures, 10))


class Call:
    """A call that this proxy has not answered yet."""

    def __init__(
        self, event: api.CallArrived, call_class: api.CallClass, first_tried_at: float, now_ms: float
    ):
        self.id = event.call
        self.call_class = call_class
        self.first_tried_at = first_tried_at  # of this call, or of the call that it redials
        self.first_choice = event.first_choice  # number of a server
        self.in_transit = event.in_transit
        self.number_called = event.number_called
        self.deadline_at = now_ms + event.budget_ms
        hold_ms = call_class.aim_ms * (1.0 - AIM_RESERVE_SHARE)
        # A redial that is past its aim yields to other calls, and may be held as long again.
        late = now_ms >= first_tried_at + hold_ms
        self.worth = call_class.gain * (call_class.late_worth if late else 1.0)
        self.hold_until = min(
            (now_ms if late else first_tried_at) + hold_ms, self.deadline_at - ANSWER_RESERVE_MS
        )
        self.not_before = now_ms  # earliest time of the next attempt
        self.sent_at = now_ms  # when the latest attempt was sent
        self.attempts = 0
        self.attempt_counted = False  # the latest attempt is in its server's leaky bucket
        self.sent_to: ServerControl | None = None  # where an attempt is outstanding
        self.faulty_server: ServerControl | None = None  # the server that last answered it with a fault
        self.ran_on: api.Server | None = None  # the first server where it may have run
        self.repeat_until = math.inf  # until when servers discard a repeat of what may have run

    def may_repeat(self, server: api.Server, now_ms: float) -> bool:
        """Whether the call may be sent to this server without the risk of a second effect.

        A call with an effect that may have run goes only to servers that discard its repeat, and only for as
        long as they do.
        """
        if self.ran_on is None or self.call_class.effect is Effect.PURE:
            return True
        discards_repeat = {
            "all": True,
            "zone": server.zone == self.ran_on.zone,
            "cell": server.number == self.ran_on.number,
        }
        return (
            self.call_class.effect is Effect.TOKEN
            and now_ms < self.repeat_until
            and discards_repeat.get(self.call_class.key_scope, False)
        )

    def may_refuse(self) -> bool:
        """Whether the call may be refused, which tells the caller that it never ran.

        A call that may have run is refused only if no repeat of it can have a second effect.
        """
        return (
            self.ran_on is None
            or self.call_class.effect is Effect.PURE
            or (self.call_class.effect is Effect.TOKEN and self.call_class.key_scope == "all")
        )


class ServerControl:
    """One server as this proxy sees it: Detection, Update, Restriction, pauses and cold start.

    Rates are calls per second. `sent` and `answered` decay with the time constant `rate_tau_s`.
    """

    def __init__(
        self, server: api.Server, settings: api.Settings, now_ms: float, phase: float, time_scale: float = 1.0
    ):
        self.server = server
        self.settings = settings
        self.time_scale = time_scale
        self.rate_tau_s = RATE_TAU_S * time_scale
        self.evidence_tau_ms = EVIDENCE_TAU_MS * time_scale
        # A random number from 0 to 1, which spreads the first tokens and probes of the proxies over time.
        self.phase = phase
        self.created_at = now_ms

        # Send rate
        self.sent = 0.0  # attempts, decaying
        self.answered = 0.0  # calls set up, decaying
        self.decayed_at = now_ms  # up to when both counts have decayed
        self.fair_rate = 0.0  # this server's part, by capacity, of the calls offered to this proxy

        # Detection: the leaky bucket
        self.answers = 0.0  # answers in the bucket at `evidence_at`
        self.reject_share = 0.0  # share of rejects in them, from 0 to 1
        self.evidence_at = -math.inf  # weighted mean of the times at which they were received
        self.last_full_at = -math.inf  # when a FULL was last counted
        self.shortest_answer_ms = math.inf  # the round trip and the least work

        # Update
        self.ceiling: float | None = None  # None while control is not active
        self.lowered_at = -math.inf  # when the ceiling was last lowered
        self.terminate_at = math.inf  # when the pending-termination timer expires

        # Restriction
        self.tokens = 1.0
        self.filled_at = now_ms  # when tokens were last added
        self.lines_rate = math.inf  # limit by the free lines, once they are reported
        self.capacity = server.nominal  # the number of lines, once it is reported

        # Pauses and probes
        self.paused_until = -math.inf
        self.failures = 0  # consecutive failures
        self.pending = 0  # attempts without an outcome
        self.last_answer_at = -math.inf  # when a call was last set up
        self.probed_at = now_ms - PROBE_GAP_MS * (1.0 + phase)

        # Cold start
        self.warm_at = -math.inf  # when the ramp of a cold server ends
        self.cold_rate = 0.0  # the rate at the end of the ramp

    def decay(self, now_ms: float) -> None:
        """Decays the counts by the time that has passed."""
        factor = math.exp(-max(0.0, now_ms - self.decayed_at) / 1000.0 / self.rate_tau_s)
        self.decayed_at = now_ms
        self.sent *= factor
        self.answered *= factor

    def rate(self, count: float) -> float:
        """A decayed count as a rate per second; unbiased from the start, when little has been counted yet."""
        observed_s = self.rate_tau_s * (
            1.0 - math.exp(-max(1.0, (self.decayed_at - self.created_at) / 1000.0) / RATE_TAU_S)
        )
        if self.fair_rate:
            return (count + PRIOR_CALLS) / (observed_s + PRIOR_CALLS / self.fair_rate)
        return count / observed_s

    def weight(self, now_ms: float) -> float:
        """The answers in the leaky bucket now: it leaks with the age of its evidence."""
        return self.answers and self.answers * math.exp((self.evidence_at - now_ms) / self.evidence_tau_ms)

    def lower(self, ceiling: float, now_ms: float) -> None:
        """Lowers the ceiling and empties the leaky bucket.

        The ceiling is at least SEVERE_CUT of the rate still answered: a queue does not reduce capacity.
        """
        self.ceiling = max(MIN_SHARE * self.fair_rate, ceiling, SEVERE_CUT * self.answered / self.rate_tau_s)
        self.lowered_at = now_ms
        self.terminate_at = math.inf
        self.answers = 0.0

    def stagger(self, now_ms: float) -> None:
        """Leaves at most half a token when a limit starts to bind, so that not all proxies send at once."""
        self.tokens = self.phase - 0.5
        self.filled_at = now_ms

    def detect(
        self, now_ms: float, reject_share: float, sent_at: float, received_at: float, answers: float = 1.0
    ) -> None:
        """Detection: adds answers, weighted by their age, to the leaky bucket; may activate control.

        `reject_share` is the share of rejects in them, `sent_at` when the oldest of their calls was sent.
        """
        if sent_at < self.lowered_at or answers <= 0.0:
            return  # calls sent before the ceiling was last lowered say nothing about the present ceiling
        old_weight = self.weight(now_ms)
        new_weight = answers * math.exp((received_at - now_ms) / self.evidence_tau_ms)
        new_part = new_weight / (old_weight + new_weight)
        self.reject_share += new_part * (reject_share - self.reject_share)
        if new_part == 1.0:
            self.evidence_at = received_at
        else:
            self.evidence_at += new_part * (received_at - self.evidence_at)
        self.answers = min(
            SAMPLES, (old_weight + new_weight) * math.exp((now_ms - self.evidence_at) / self.evidence_tau_ms)
        )
        if self.ceiling is None and self.weight(now_ms) * (self.reject_share - TARGET_SHARE) >= START_REJECTS:
            self.decay(now_ms)
            self.stagger(now_ms)
            self.lower(SEVERE_CUT * self.rate(self.sent), now_ms)

    def update(self, now_ms: float) -> None:
        """Update: a step down above the target reject share; below it a step up, if the ceiling restricts.

        The pending-termination timer starts when the ceiling restricts nothing. Control ends when it expires,
        unless the ceiling has been lowered since.
        """
        self.decay(now_ms)
        if self.ceiling is None:
            return
        # Too little recent evidence changes nothing: it speaks neither for the server nor against it.
        target_miss = self.reject_share / TARGET_SHARE - 1.0 if self.weight(now_ms) >= MIN_ANSWERS else 0.0
        if target_miss > 0.0:
            factor = max(DECREASE_FACTOR_MIN, 1.0 - DECREASE_PER_MISS * target_miss)
            self.lower(self.ceiling * factor, now_ms)
        elif self.ceiling < LEAST_RESTRICTION * self.rate(self.sent):
            self.ceiling *= 1.0 - INCREASE_MAX * target_miss
        else:
            self.terminate_at = min(self.terminate_at, now_ms + PENDING_TERMINATION_MS * self.time_scale)
        if now_ms >= self.terminate_at:
            self.ceiling = None

    def limit(self, now_ms: float) -> float:
        """The rate allowed now: the lowest of the ceiling, the limit by free lines and the cold ramp."""
        limit = self.lines_rate if self.ceiling is None else min(self.lines_rate, self.ceiling)
        if now_ms < self.warm_at:
            coldness = (1.0 - self.settings.cold_from) * (self.warm_at - now_ms) / self.settings.cold_ms
            limit = min(limit, (self.cold_rate or self.fair_rate) * (1.0 - coldness))
        return limit

    def admits(self, now_ms: float, worth: float) -> bool:
        """Restriction: whether the token bucket has enough for a call; fills it, but takes no token.

        `worth` is a share of the highest gain of any class. A call of no worth needs a whole token; with more
        worth a smaller part of one is enough. At a cold server every call needs a whole token.
        """
        limit = self.limit(now_ms)
        if limit == math.inf:
            return True
        filled = self.tokens + limit * (now_ms - self.filled_at) / 1000.0
        if now_ms >= self.warm_at:
            self.tokens = min(filled, max(1.0, limit * BUCKET_DEPTH_S))
            needed = 1.0 - worth
        else:
            # Tokens saved up at all proxies would together overload a cold server: unused ones lapse early.
            self.tokens = filled if filled < 1.0 + limit * BUCKET_DEPTH_S else filled % 1.0
            needed = 1.0
        self.filled_at = now_ms
        return self.tokens >= needed


class Controller:
    """The decisions of one edge proxy."""

    def __init__(self, settings: api.Settings, seed: int):
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        self.max_gain = max((call_class.gain for call_class in settings.classes), default=1.0) or 1.0
        self.max_deadline_ms = max((call_class.deadline_ms for call_class in settings.classes), default=0.0)
        half_aim_ms = min((call_class.aim_ms for call_class in settings.classes), default=1000.0) / 2.0
        self.delay_ms = min(half_aim_ms, settings.retransmit_ms or half_aim_ms)  # the reference delay
        # With full intervals and a short delay, a queue would grow by several aims before a step down shows.
        self.time_scale = min(1.0, max(TIME_SCALE_MIN, self.delay_ms / NOMINAL_DELAY_MS))
        self.update_ms = UPDATE_MS * self.time_scale
        self.offered_tau_s = OFFERED_TAU_S * self.time_scale
        self.upkeep_ms = UPKEEP_MS * self.time_scale  # short, so that late attempts are counted soon

        self.controls: dict[str, ServerControl] = {}  # by address
        self.calls: dict[str, Call] = {}  # by id
        self.held: list[Call] = []
        # When calls that got no set-up were first tried, by number called and class.
        self.unserved_since: dict[tuple[int, str], float] = {}
        # Number called: until when it is taken to be busy, and how often in succession it was.
        self.busy_numbers: dict[int, tuple[float, int]] = {}
        self.alternative: ServerControl | None = None  # kept for calls that their first choice can't take
        self.offered_count = 0.0  # calls offered to this proxy, decaying
        self.began_at = -math.inf  # time of the first event
        # Probes are earned by calls: probes of many proxies with few calls would add up to a load on servers.
        self.probe_credit = PROBE_CREDIT_MAX
        self.mean_holding_ms = max((call_class.holding_ms for call_class in settings.classes), default=0.0)
        self.update_at = math.inf
        self.upkeep_at = math.inf
        self.timer_at = math.inf  # when the timer of the periodic work expires; infinite: not set
        self.proxies_up = settings.siblings  # proxies that serve, with this one
        self.undecodable_messages = 0  # from peers
        self.handlers: dict[type, Any] = {
            api.CallArrived: self.on_call_arrived,
            api.CallEstablished: self.on_call_established,
            api.AttemptEnded: self.on_attempt_ended,
            api.CallGone: self.on_call_gone,
            api.ListUpdate: self.on_list_update,
            api.ServerReport: self.on_server_report,
            api.PeerMessage: self.on_peer_message,
            api.TimerFired: self.on_timer_fired,
            api.SiblingsUp: self.on_siblings_up,
        }

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Handles one event and returns the actions to perform, in order."""
        actions: list[api.Action] = []
        if self.began_at == -math.inf:
            self.began_at = now_ms
            phase = self.random.random()
            self.update_at = now_ms + self.update_ms * phase
            self.upkeep_at = now_ms + self.upkeep_ms * phase
            self.set_timer(min(self.upkeep_at, self.update_at), now_ms, actions)
            if self.settings.subscribe:
                actions.append(api.Subscribe())
        self.handlers[type(event)](event, now_ms, actions)
        return actions

    def on_timer_fired(self, event: api.TimerFired, now_ms: float, actions: list[api.Action]) -> None:
        """Subscribes again, or does the periodic work; a timer replaced by an earlier one does nothing."""
        if event.name == "subscribe":
            actions.append(api.Subscribe())
        elif now_ms >= self.timer_at:
            self.run_periodic(now_ms, actions)

    def set_timer(self, at: float, now_ms: float, actions: list[api.Action]) -> None:
        """Sets the timer of the periodic work, unless it is set to an earlier time."""
        if at < self.timer_at:
            self.timer_at = at
            actions.append(api.SetTimer("beat", at - now_ms))

    def on_call_arrived(self, event: api.CallArrived, now_ms: float, actions: list[api.Action]) -> None:
        call_class = self.classes.get(event.call_class) or api.CallClass("", event.budget_ms, event.budget_ms)
        self.offered_count += 1.0
        self.probe_credit = min(PROBE_CREDIT_MAX, self.probe_credit + PROBES_PER_CALL)
        self.mean_holding_ms += (call_class.holding_ms - self.mean_holding_ms) / SAMPLES
        # A redial whose first try is not known here is taken to be past its aim.
        assumed_at = now_ms - call_class.aim_ms if event.redial else now_ms
        first_tried_at = self.unserved_since.pop((event.number_called, call_class.name), assumed_at)
        call = Call(event, call_class, first_tried_at, now_ms)
        self.calls[event.call] = call
        self.dispatch([call], now_ms, actions)

    def dispatch(self, calls: list[Call], now_ms: float, actions: list[api.Action]) -> None:
        """Sends the calls that a server admits, those of most worth first, and holds the others.

        A call that can't be sent and whose aim leaves no time to wait gets its final answer.
        """
        unroutable: set[tuple[float, str, int]] = set()
        for call in sorted(calls, key=lambda call: -call.worth):
            # While all lines of a number are busy, no server can set up a call to it: attempts wait.
            busy_until = self.busy_numbers.get(call.number_called, (0.0, 0))[0]
            call.not_before = max(call.not_before, busy_until)
            # Where no server admits a call, further calls of this worth and class are not tried in this run.
            route = (call.worth, call.call_class.name, call.first_choice if call.in_transit else -1)
            may_go = call.not_before <= now_ms < call.deadline_at and route not in unroutable
            control = self.choose(call, now_ms) if may_go else None
            if control is not None:
                self.send(call, control, now_ms, actions)
            elif now_ms >= call.hold_until or call.not_before > call.hold_until:
                wait_ms = self.settings.max_retry_after_ms if self.settings.retry_after else 0.0
                actions.append(
                    api.RefuseCall(call.id, wait_ms) if call.may_refuse() else api.FailCall(call.id)
                )
                self.forget(call)
            else:
                self.held.append(call)
                self.set_timer(now_ms + HELD_RETRY_MS, now_ms, actions)
            if may_go and control is None:
                unroutable.add(route)

    def forget(self, call: Call) -> None:
        """Drops a call without set-up, but keeps when it was first tried: a redial's aim runs from then."""
        del self.calls[call.id]
        if call.sent_to is not None:
            call.sent_to.pending -= 1
        if call.number_called:
            self.unserved_since[call.number_called, call.call_class.name] = call.first_tried_at

    def ready(self) -> list[ServerControl]:
        """The servers that are listed as ready, paused ones included."""
        return [control for control in self.controls.values() if control.server.state is Lifecycle.READY]

    def usable(self, control: ServerControl, call: Call, now_ms: float) -> bool:
        """Whether a call may go to a server, tokens aside; one that failed gets one attempt at a time."""
        number = control.server.number
        return (
            control.server.state is Lifecycle.READY
            and now_ms >= control.paused_until
            and not (control.failures and control.pending)
            and number != self.settings.home_number
            and (call.call_class.pools is None or number in call.call_class.pools)
            and call.may_repeat(control.server, now_ms)
        )

    def choose(self, call: Call, now_ms: float) -> ServerControl | None:
        """The first choice if it admits the call, else the kept alternative, else a new one drawn at random.

        None if no server admits the call. A call in transit goes to its first choice only.
        """
        worth = call.worth / self.max_gain
        usable = [control for control in self.controls.values() if self.usable(control, call, now_ms)]
        first_choice = [control for control in usable if control.server.number == call.first_choice]
        if call.faulty_server is not None and not call.in_transit:
            # A server may answer most set-ups with a fault: others that admit the call come first.
            others = [
                control
                for control in usable
                if control is not call.faulty_server and control.admits(now_ms, worth)
            ]
            if others:
                return self.random.choices(others, [control.capacity for control in others])[0]
        kept_alternative = [
            control for control in usable if control is self.alternative and not call.in_transit
        ]
        preferred = first_choice + kept_alternative
        for control in preferred:
            if control.admits(now_ms, worth):
                return control
        admitting = [
            control for control in usable if control not in preferred and control.admits(now_ms, worth)
        ]
        if not admitting or call.in_transit:
            return None
        # By capacity: otherwise a small server would get as many calls from other servers as a large one.
        self.alternative = self.random.choices(admitting, [control.capacity for control in admitting])[0]
        return self.alternative

    def send(self, call: Call, control: ServerControl, now_ms: float, actions: list[api.Action]) -> None:
        """Sends an attempt to a server that admits it, and takes a token if the server has a limit."""
        control.decay(now_ms)
        control.sent += 1.0
        control.pending += 1
        if control.limit(now_ms) != math.inf:
            control.tokens -= 1.0
        call.sent_to = control
        call.sent_at = now_ms
        call.attempt_counted = False
        call.attempts += 1
        actions.append(
            api.SendAttempt(call.id, control.server.address, max(0.001, call.deadline_at - now_ms))
        )

    def on_call_gone(self, event: api.CallGone, now_ms: float, actions: list[api.Action]) -> None:
        if event.call in self.calls:
            self.forget(self.calls[event.call])

    def count(self, call: Call, control: ServerControl, now_ms: float, reject_share: float) -> None:
        """Counts the call's latest attempt in its server's leaky bucket, once."""
        if not call.attempt_counted:
            control.detect(now_ms, reject_share, call.sent_at, now_ms)
            if control is self.alternative and reject_share >= 1.0:
                self.alternative = None  # a late answer is as good a reason as FULL to draw another
        call.attempt_counted = True

    def prompt_ratio(self, control: ServerControl) -> float:
        """Up to this age, in reference delays, an answer of this server shows no queue.

        The round trip is part of every answer and no sign of load, even where it takes a whole reference
        delay. A server loaded from the start has no short answer, so what is taken for the round trip is
        bounded.
        """
        shortest_ms = control.shortest_answer_ms
        rtt_ms = min(shortest_ms, RTT_MAX_MS) if shortest_ms < math.inf else 0.0
        return max(PROMPT_RATIO, rtt_ms / self.delay_ms + PROMPT_RATIO_MARGIN)

    def lateness(self, elapsed_ms: float, prompt_ratio: float = PROMPT_RATIO) -> float:
        """How far an answer's age counts as a reject, from 0 to 1; FULL comes only long past every aim."""
        late_by = elapsed_ms / self.delay_ms - prompt_ratio
        return min(1.0, max(0.0, late_by / (LATE_RATIO - PROMPT_RATIO)))

    def on_call_established(
        self, event: api.CallEstablished, now_ms: float, actions: list[api.Action]
    ) -> None:
        call = self.calls.get(event.call)
        if call is None or call.sent_to is None:
            return
        control = call.sent_to
        control.decay(now_ms)
        control.answered += 1.0
        control.failures = 0
        control.pending -= 1
        control.last_answer_at = now_ms
        self.busy_numbers.pop(call.number_called, None)
        control.shortest_answer_ms = min(control.shortest_answer_ms, event.elapsed_ms)
        self.count(call, control, now_ms, self.lateness(event.elapsed_ms, self.prompt_ratio(control)))
        del self.calls[event.call]

    def on_attempt_ended(self, event: api.AttemptEnded, now_ms: float, actions: list[api.Action]) -> None:
        """Learns from the outcome, then ends the call or dispatches it again."""
        call = self.calls.get(event.call)
        if call is None or call.sent_to is None or event.attempt != call.attempts - 1:
            return
        control = call.sent_to
        call.sent_to = None
        control.pending -= 1
        if event.outcome not in NEVER_RAN and call.ran_on is None:
            call.ran_on = control.server
            call.repeat_until = call.sent_at + call.call_class.window_ms
        if event.outcome is Outcome.FULL:
            # A processor that pauses answers several calls with FULL: together they count as one reject.
            if now_ms >= control.last_full_at + self.delay_ms:
                self.count(call, control, now_ms, 1.0)
                control.last_full_at = now_ms
            # A stated wait is ignored: a server that pauses for a moment states one that is far too long.
            control.paused_until = max(control.paused_until, now_ms + FULL_PAUSE_MS)
        elif event.outcome is Outcome.CONNECT_FAILED or (
            event.outcome is Outcome.TIMEOUT
            and (control.last_answer_at <= call.sent_at or control.reject_share > 2.0 * TARGET_SHARE)
        ):
            # An unreachable or silent server is paused for longer and longer times, and between them gets one
            # attempt at a time. Where other calls were answered since and few were late, a single answer was
            # lost: a pause would send a flood of calls to other servers.
            control.failures += 1
            control.paused_until = now_ms + backoff_ms(control.failures)
        elif event.note == api.NOTE_NUMBER_BUSY and call.number_called:
            busy_count = self.busy_numbers.get(call.number_called, (0.0, 0))[1] + 1
            self.busy_numbers[call.number_called] = (now_ms + backoff_ms(busy_count), busy_count)
        elif event.outcome is Outcome.ERROR:
            call.faulty_server = control
        if event.closed:
            del self.calls[call.id]
        elif (
            now_ms >= call.deadline_at - 1.0
            or call.attempts >= self.settings.try_limit
            or (call.ran_on is not None and call.call_class.effect is Effect.SIDE_EFFECT)
        ):
            actions.append(api.FailCall(call.id))
            self.forget(call)
        else:
            if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
                # Until its release, the attempt may still occupy a line.
                call.not_before = now_ms + self.settings.release_guard_ms + self.settings.step_ms
                hold_until = max(call.hold_until, call.not_before + ANSWER_RESERVE_MS)
                call.hold_until = min(call.deadline_at - ANSWER_RESERVE_MS, hold_until)
            self.dispatch([call], now_ms, actions)

    def on_list_update(self, event: api.ListUpdate, now_ms: float, actions: list[api.Action]) -> None:
        """Adds, changes and removes servers; one that has just started begins its cold ramp."""
        if event.kind is ListKind.ERROR:
            actions.append(api.SetTimer("subscribe", 2.0 * UPDATE_MS))  # only a subscriber is sent this
            return
        listed = {server.address for server in event.servers}
        for server in event.servers:
            known = self.controls.get(server.address)
            control = known or ServerControl(
                server, self.settings, now_ms, self.random.random(), self.time_scale
            )
            self.controls[server.address] = control
            restarted = known is None or server.started_ms > control.server.started_ms
            control.server = server
            if restarted and server.started_ms > now_ms - self.settings.cold_ms:
                self.start_cold_ramp(control, server.started_ms, now_ms)
        self.controls = {
            address: control
            for address, control in self.controls.items()
            if control.server.state is not Lifecycle.GONE
            and (event.kind is ListKind.CHANGES or address in listed)
        }
        self.update_fair_rates(now_ms)

    def update_fair_rates(self, now_ms: float) -> None:
        """Sets the fair rate of each ready server: its part, by capacity, of the calls offered here."""
        running_s = max(1.0, (now_ms - self.began_at) / 1000.0)
        observed_s = self.offered_tau_s * (1.0 - math.exp(-running_s / self.offered_tau_s))
        ready = self.ready()
        total_capacity = sum(control.capacity for control in ready)
        for control in ready:
            control.fair_rate = self.offered_count / observed_s * control.capacity / total_capacity

    def start_cold_ramp(self, control: ServerControl, started_at: float, now_ms: float) -> None:
        """Starts the ramp of a cold server; it ends at its part, by capacity, of what warm ones are sent."""
        for other in self.controls.values():
            other.decay(now_ms)
        warm = [other for other in self.ready() if other is not control and now_ms >= other.warm_at]
        warm = warm or [control]
        total_capacity = sum(other.capacity for other in warm)
        control.cold_rate = sum(other.rate(other.sent) for other in warm) * control.capacity / total_capacity
        control.warm_at = started_at + self.settings.cold_ms
        control.failures = 0
        control.paused_until = -math.inf
        # No step raises a ceiling of zero: a proxy that has sent nothing yet sets no ceiling, and its ramp
        # goes by the server's part of the calls offered to the proxy.
        control.ceiling = control.cold_rate * self.settings.cold_from or None
        control.terminate_at = math.inf
        control.tokens = control.phase
        control.filled_at = now_ms

    def on_server_report(self, event: api.ServerReport, now_ms: float, actions: list[api.Action]) -> None:
        """Learns the capacity, the free lines and the mean answer time that a server reports."""
        control = self.controls.get(event.server)
        if control is None:
            return
        if event.outcome in (Outcome.FULL, Outcome.TIMEOUT):
            # Counted, because an overloaded server may answer probes only in the moments when it is not.
            control.detect(now_ms, 1.0, now_ms - LATE_RATIO * self.delay_ms, now_ms)
        report = dict(zip(self.settings.report_columns, event.report, strict=False))
        control.capacity = max(report.get("size", 0.0), 0.0) or control.capacity
        if self.mean_holding_ms and report.get("free", -1.0) >= 0.0:
            # Each proxy gets a part of the lines that are free or soon released, so that the proxies do not
            # all take the last ones.
            released = control.capacity * UPDATE_MS / self.mean_holding_ms
            rate_before = control.lines_rate
            control.lines_rate = (report["free"] + released) / self.proxies_up
            if control.lines_rate < LEAST_RESTRICTION * control.fair_rate <= rate_before:
                control.stagger(now_ms)
        if event.elapsed_ms > 0.0 and report.get("mean_ms", -1.0) >= 0.0:
            control.detect(now_ms, self.lateness(report["mean_ms"]), now_ms - report["mean_ms"], now_ms)

    def on_siblings_up(self, event: api.SiblingsUp, now_ms: float, actions: list[api.Action]) -> None:
        self.proxies_up = max(1, event.count)

    def on_peer_message(self, event: api.PeerMessage, now_ms: float, actions: list[api.Action]) -> None:
        """Adds a peer's evidence to the leaky buckets; a message that does not decode is only counted."""
        if len(event.data) % PEER_SUMMARY.size or not event.data:
            self.undecodable_messages += 1
            return
        by_number = {control.server.number: control for control in self.ready()}
        for number, answers, reject_share, age in PEER_SUMMARY.iter_unpack(event.data):
            control = by_number.get(number)
            received_at = now_ms - age * SUMMARY_AGE_UNIT_MS
            if control is not None:
                # The oldest call behind the summary was sent about one late answer before it was received.
                sent_at = received_at - LATE_RATIO * self.delay_ms
                control.detect(now_ms, reject_share / 255.0, sent_at, received_at, answers / 8.0)

    def run_periodic(self, now_ms: float, actions: list[api.Action]) -> None:
        """Counts late attempts, tries held calls, and runs the upkeep and Update when they are due."""
        self.timer_at = math.inf
        for call in self.calls.values():
            # An outstanding attempt counts as a reject once it is late: FULL and time-outs come too late.
            if (
                call.sent_to is not None
                and not call.attempt_counted
                and now_ms - call.sent_at
                >= (LATE_RATIO + self.prompt_ratio(call.sent_to) - PROMPT_RATIO) * self.delay_ms
            ):
                self.count(call, call.sent_to, now_ms, 1.0)
        # Compares the call itself, not its id: a caller that gave up may have called again under the same id.
        waiting = [call for call in self.held if self.calls.get(call.id) is call]
        self.held = []
        self.dispatch(waiting, now_ms, actions)
        if now_ms >= self.upkeep_at:
            self.upkeep_at = now_ms + self.upkeep_ms
            self.inform_and_probe(now_ms, actions)
        if now_ms >= self.update_at:
            self.update_at = now_ms + self.update_ms
            self.unserved_since = {
                key: since
                for key, since in self.unserved_since.items()
                if now_ms - since < self.max_deadline_ms
            }
            self.busy_numbers = {
                number: (until, busy_count)
                for number, (until, busy_count) in self.busy_numbers.items()
                if now_ms - until < self.max_deadline_ms
            }
            self.offered_count *= math.exp(-self.update_ms / 1000.0 / self.offered_tau_s)
            self.update_fair_rates(now_ms)
            for control in self.controls.values():
                control.update(now_ms)
        retry_at = now_ms + HELD_RETRY_MS if self.held else math.inf
        self.set_timer(min(self.upkeep_at, self.update_at, retry_at), now_ms, actions)

    def inform_and_probe(self, now_ms: float, actions: list[api.Action]) -> None:
        """Upkeep: sends summaries to a few peers and probes the server probed longest ago; a fixed cost."""
        ready = self.ready()
        peer_count = self.settings.siblings - 1
        summary = b"".join(
            PEER_SUMMARY.pack(
                control.server.number & 0xFFFF,
                round(8.0 * control.answers),
                round(255.0 * control.reject_share),
                min(255, int((now_ms - control.evidence_at) / SUMMARY_AGE_UNIT_MS)),
            )
            for control in ready
            if control.weight(now_ms) >= MIN_ANSWERS
        )[: 256 - 256 % PEER_SUMMARY.size]
        if self.settings.peers and summary:
            for offset in self.random.sample(range(peer_count), min(PEER_FANOUT, peer_count)):
                peer = (self.settings.me + 1 + offset) % (peer_count + 1)
                actions.append(api.SendToPeer(peer, summary))
        # A cold server is not probed: probes of all proxies are work too, and its ramp goes by time alone.
        due = [
            control for control in ready if now_ms >= max(control.probed_at + PROBE_GAP_MS, control.warm_at)
        ]
        if self.settings.probes and due and self.probe_credit >= 1.0:
            self.probe_credit -= 1.0
            control = min(due, key=lambda control: control.probed_at)
            control.probed_at = now_ms
            actions.append(api.Probe(control.server.address))
