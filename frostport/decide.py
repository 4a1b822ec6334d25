"""Every decision of frostport. Types, events and actions: frostport/interface.py.

Per server one Control after ND1115 section 7: Detection (a leaky bucket of rejects), Update (a ceiling
moved a step each tick) and Restriction (a token bucket at the ceiling). The Controller routes calls.
"""

from __future__ import annotations

import math
import random
import struct
from typing import Any

from frostport import interface as api
from frostport.interface import NEVER_RAN, Effect, Lifecycle, ListKind, Outcome

# --- Tuned values -----------------------------------------------------------------------------------
BEAT_MS = 50.0  # how often held calls are looked at; well under any aim
REST_MS = 250.0  # the same with none held: late attempts, news to peers, the next probe
PACED_MS, PACE_LEAST = 400.0, 0.25  # ticks, memories and the timer below are for this pinch; shorter with it
TICK_MS = 1000.0  # one Update step; longer than an answer takes, so that a step's effect is seen
PEERS_TOLD = 2  # peers told of a proxy's news each rest beat: the same cost a proxy in any fleet
PROBE_MS = 700.0  # a server is probed no sooner again, and one server a rest beat
PROBES, PROBES_MOST = 0.1, 2.0  # probes for each call offered here, and how many may be saved up
SKIP_MS = 200.0  # pause after one full: the design's least
STRIKE_MS, STRIKE_MAX_MS = 250.0, 4000.0  # half the first pause of an unreachable server, and the longest
NEWS_MS = 2000.0  # what was heard this long ago counts 1/e
AVERAGED = 6.0  # answers that the bucket averages over, and calls that the mean holding time does
RATE_S = 3.0  # memory of the send rate
EVEN = 1.0  # calls at the fair rate added to a count, so that one call in some seconds is no crowd
OFFER_S = 6.0  # memory of the rate of calls offered to this proxy
EASY, HARD = 0.3, 1.2  # an answer counts nothing below EASY, a whole reject above HARD times the pinch
NEAR = 0.15  # both move up where the shortest answer comes within this part of the pinch of EASY
WAY_MS = 60.0  # the longest way there and back that is taken for one: with a pinch of 400 ms it moves nothing
TARGET = 0.10  # target reject share: the sum of the target rates stays small against capacity (C.1)
LEVEL = 1.0  # rejects above target in the bucket that activate control: one never does (7.3.1)
ENOUGH = 0.5  # answers in the bucket below which nothing is known and Update waits
SEVERE = 0.7  # severe start, as a fraction of the recent send rate (7.3.1)
FALL, FALL_MOST = 0.06, 0.5  # step down for each multiple of the target missed, and its bound (7.3.2)
CLIMB = 0.25  # step up at no rejects at all; shrinks to nought at the target (7.3.2)
LEAST = 1.5  # a ceiling this far over the send rate restrains nothing: least restriction (7.3.3)
PENDING_MS = 10000.0  # pending-termination timer
FLOOR = 0.1  # a ceiling never falls below this share of the fair rate, or nothing would be learnt
DEPTH_S = 0.5  # a ceiling's unused tokens last this long
AGE_MS = 20.0  # grain of the age of news
GUARD_MS = 120.0  # a held call is answered this long before its caller's time ends
MARGIN = 0.25  # share of the aim kept for the answer when a call is held


NEWS = struct.Struct("!HBBB")  # a server's number, eighths of answers, share of rejects, age


def pause_ms(tries: int) -> float:
    return min(STRIKE_MAX_MS, STRIKE_MS * 2.0 ** min(tries, 10))


class Call:
    """A call this proxy still owes an answer."""

    def __init__(self, event: api.CallArrived, cls: api.CallClass, since: float, now: float):
        self.id, self.cls, self.since = event.call, cls, since
        self.first, self.transit, self.number = event.first_choice, event.in_transit, event.number_called
        self.end_at = now + event.budget_ms
        hold = cls.aim_ms * (1.0 - MARGIN)
        late = now >= since + hold  # what is dialled again past its aim gives way, and may wait as long anew
        self.worth = cls.gain * (cls.late_worth if late else 1.0)
        self.hold_until = min((now if late else since) + hold, self.end_at - GUARD_MS)
        self.not_before = self.sent_at = now
        self.attempts, self.counted = 0, False
        self.out: Control | None = None
        self.fault: Control | None = None  # the server that answered the last attempt with a fault
        self.ran: api.Server | None = None  # where it may have run first, and until when it may be repeated
        self.repeat_until = math.inf

    def may_repeat(self, server: api.Server, now: float) -> bool:
        """Guards a class with effects against a second one: only where repeats are discarded, and while."""
        if self.ran is None or self.cls.effect is Effect.PURE:
            return True
        alike = {"all": True, "zone": server.zone == self.ran.zone, "cell": server.number == self.ran.number}
        return (
            self.cls.effect is Effect.TOKEN
            and now < self.repeat_until
            and alike.get(self.cls.key_scope, False)
        )

    def may_refuse(self) -> bool:
        """Whether its caller may be told that it never ran."""
        return (
            self.ran is None
            or self.cls.effect is Effect.PURE
            or (self.cls.effect is Effect.TOKEN and self.cls.key_scope == "all")
        )


class Control:
    """What a proxy keeps of one server: Detection, Update and Restriction, pauses and cold start."""

    def __init__(
        self, server: api.Server, settings: api.Settings, now: float, phase: float, pace: float = 1.0
    ):
        self.server, self.settings, self.pace = server, settings, pace
        self.rate_s, self.news_ms = RATE_S * pace, NEWS_MS * pace
        self.phase = phase  # puts first tokens and probes of the proxies apart: in step they are a crowd
        self.at = self.token_at = self.born = now
        self.sent = self.stood = 0.0
        self.answers = self.share = 0.0  # the bucket: answers it averages, and the rejects among them
        self.heard_at, self.probe_at = -math.inf, now - PROBE_MS * (1.0 + phase)
        self.cut_at = self.skip_until = self.reject_at = self.warm_at = self.stood_at = -math.inf
        self.ceiling: float | None = None
        self.tokens = 1.0
        self.ends_at = math.inf
        self.strikes = self.out = 0
        self.size, self.lines = server.nominal, math.inf
        self.near = math.inf  # the shortest answer heard: the way there and back, and the least work
        self.fair = self.cold_base = 0.0  # fair: its part by lines of the calls offered here, a second

    def age(self, now: float) -> None:
        """Lets the rates leak for the time that has passed."""
        keep = math.exp(-max(0.0, now - self.at) / 1000.0 / self.rate_s)
        self.at = now
        self.sent, self.stood = self.sent * keep, self.stood * keep

    def rate(self, count: float) -> float:
        """A decayed count as a rate a second; unbiased from the start, when little was counted yet."""
        seen_s = self.rate_s * (1.0 - math.exp(-max(1.0, (self.at - self.born) / 1000.0) / RATE_S))
        return (count + EVEN) / (seen_s + EVEN / self.fair) if self.fair else count / seen_s

    def weight(self, now: float) -> float:
        """How many answers the bucket stands for now: it leaks with the age of its news."""
        return self.answers and self.answers * math.exp((self.heard_at - now) / self.news_ms)

    def cut(self, ceiling: float, now: float) -> None:
        """Lowers the ceiling, never far below what is still answered here: a queue is no lost capacity."""
        self.ceiling = max(FLOOR * self.fair, ceiling, SEVERE * self.stood / self.rate_s)
        self.cut_at, self.ends_at, self.answers = now, math.inf, 0.0

    def spread(self, now: float) -> None:
        """A limit that comes to bind leaves part of a token at most, or all proxies would send at once."""
        self.tokens, self.token_at = self.phase - 0.5, now

    def evidence(self, now: float, share: float, since: float, heard_at: float, answers: float = 1.0) -> None:
        """Detection: answers with a share of rejects join the bucket, each by how fresh it is."""
        if since < self.cut_at or answers <= 0.0:
            return  # what was sent before the last cut tells of the ceiling before it
        old, new = self.weight(now), answers * math.exp((heard_at - now) / self.news_ms)
        part = new / (old + new)
        self.share += part * (share - self.share)
        self.heard_at = heard_at if part == 1.0 else self.heard_at + part * (heard_at - self.heard_at)
        self.answers = min(AVERAGED, (old + new) * math.exp((now - self.heard_at) / self.news_ms))
        if self.ceiling is None and self.weight(now) * (self.share - TARGET) >= LEVEL:
            self.age(now)
            self.spread(now)
            self.cut(SEVERE * self.rate(self.sent), now)

    def tick(self, now: float) -> None:
        """Update: a step down above the target reject share, up below it if the ceiling restrains."""
        self.age(now)
        if self.ceiling is None:
            return
        # Silence is no good news, and no bad news.
        miss = self.share / TARGET - 1.0 if self.weight(now) >= ENOUGH else 0.0
        if miss > 0.0:
            self.cut(self.ceiling * max(FALL_MOST, 1.0 - FALL * miss), now)
        elif self.ceiling < LEAST * self.rate(self.sent):
            self.ceiling *= 1.0 - CLIMB * miss
        else:
            self.ends_at = min(self.ends_at, now + PENDING_MS * self.pace)
        if now >= self.ends_at:
            self.ceiling = None

    def limit(self, now: float) -> float:
        """The rate allowed now: the ceiling, a part of the lines, and for a cold server its ramp."""
        limit = self.lines if self.ceiling is None else min(self.lines, self.ceiling)
        if now < self.warm_at:
            coldness = (1.0 - self.settings.cold_from) * (self.warm_at - now) / self.settings.cold_ms
            limit = min(limit, (self.cold_base or self.fair) * (1.0 - coldness))
        return limit

    def room(self, now: float, share: float) -> bool:
        """Restriction: a whole token for a call of no worth, what is left of one for the dearest."""
        limit = self.limit(now)
        if limit == math.inf:
            return True
        filled = self.tokens + limit * (now - self.token_at) / 1000.0
        if now >= self.warm_at:
            self.tokens, needed = min(filled, max(1.0, limit * DEPTH_S)), 1.0 - share
        else:
            # Guards a cold server against tokens that all proxies have in hand: each lasts but a moment.
            self.tokens, needed = filled if filled < 1.0 + limit * DEPTH_S else filled % 1.0, 1.0
        self.token_at = now
        return self.tokens >= needed


class Controller:
    """The decisions of one edge proxy."""

    def __init__(self, settings: api.Settings, seed: int):
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.top = max((cls.gain for cls in settings.classes), default=1.0) or 1.0
        self.longest = max((cls.deadline_ms for cls in settings.classes), default=0.0)
        pinch = min((cls.aim_ms for cls in settings.classes), default=1000.0) / 2.0
        self.pinch = min(pinch, settings.retransmit_ms or pinch)
        # Guards against ticks too long for the queue: it grows by whole aims before a step down shows.
        self.pace = min(1.0, max(PACE_LEAST, self.pinch / PACED_MS))
        self.tick_ms, self.offer_s = TICK_MS * self.pace, OFFER_S * self.pace
        self.rest_ms = REST_MS * self.pace  # an attempt too late is a reject as soon as a beat sees it
        self.controls: dict[str, Control] = {}
        self.calls: dict[str, Call] = {}
        self.held: list[Call] = []
        self.unserved: dict[tuple[int, str], float] = {}
        self.busy: dict[int, tuple[float, int]] = {}
        self.kept: Control | None = None
        self.offered, self.born = 0.0, -math.inf
        # Guards servers against a fleet that probes more than it calls: what all ask adds up at each of them.
        self.probes = PROBES_MOST
        self.hold_ms = max((cls.holding_ms for cls in settings.classes), default=0.0)
        self.tick_at = self.rest_at = self.beat_at = math.inf
        self.siblings = settings.siblings  # proxies that serve, with this one
        self.bad_messages = 0  # peer messages that did not decode
        self.on: dict[type, Any] = {
            api.CallArrived: self.arrive,
            api.CallStands: self.stands,
            api.AttemptEnded: self.ended,
            api.CallGone: self.drop,
            api.ListUpdate: self.listed,
            api.ServerReport: self.reported,
            api.PeerMessage: self.heard,
            api.TimerFired: self.rang,
            api.SiblingsUp: self.counted,
        }

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """One event in, the actions it calls for out."""
        out: list[api.Action] = []
        if self.born == -math.inf:
            self.born = now_ms
            phase = self.random.random()
            self.tick_at, self.rest_at = now_ms + self.tick_ms * phase, now_ms + self.rest_ms * phase
            self.due(min(self.rest_at, self.tick_at), now_ms, out)
            if self.settings.subscribe:
                out.append(api.Subscribe())
        self.on[type(event)](event, now_ms, out)
        return out

    def rang(self, event: api.TimerFired, now: float, out: list[api.Action]) -> None:
        if event.name == "subscribe":
            out.append(api.Subscribe())
        elif now >= self.beat_at:
            self.beat(now, out)

    def due(self, at: float, now: float, out: list[api.Action]) -> None:
        """Asks for the next beat, unless one comes before."""
        if at < self.beat_at:
            self.beat_at = at
            out.append(api.SetTimer("beat", at - now))

    def arrive(self, event: api.CallArrived, now: float, out: list[api.Action]) -> None:
        cls = self.classes.get(event.call_class) or api.CallClass("", event.budget_ms, event.budget_ms)
        self.offered += 1.0
        self.probes = min(PROBES_MOST, self.probes + PROBES)
        self.hold_ms += (cls.holding_ms - self.hold_ms) / AVERAGED
        past = now - cls.aim_ms if event.redial else now
        since = self.unserved.pop((event.number_called, cls.name), past)
        call = self.calls[event.call] = Call(event, cls, since, now)
        self.place([call], now, out)

    def place(self, calls: list[Call], now: float, out: list[api.Action]) -> None:
        """Sends what may go, dearest first; holds the rest, and refuses what its aim allows no wait."""
        stuck: set[tuple[float, str, int]] = set()
        for call in sorted(calls, key=lambda call: -call.worth):
            # Guards against crowds that dial one number: while its lines are busy, no server can set it up.
            call.not_before = max(call.not_before, self.busy.get(call.number, (0.0, 0))[0])
            alike = (call.worth, call.cls.name, call.first if call.transit else -1)
            may = call.not_before <= now < call.end_at and alike not in stuck
            control = self.route(call, now) if may else None
            if control is not None:
                self.send(call, control, now, out)
            elif now >= call.hold_until or call.not_before > call.hold_until:
                advice = self.settings.max_retry_after_ms if self.settings.retry_after else 0.0
                out.append(api.RefuseCall(call.id, advice) if call.may_refuse() else api.FailCall(call.id))
                self.end(call)
            else:
                self.held.append(call)
                self.due(now + BEAT_MS, now, out)
            if may and control is None:
                stuck.add(alike)

    def end(self, call: Call) -> None:
        """Forgets an unserved call, but for what tells its redial: the aim runs from the first try."""
        del self.calls[call.id]
        if call.out is not None:
            call.out.out -= 1
        if call.number:
            self.unserved[call.number, call.cls.name] = call.since

    def ready(self) -> list[Control]:
        return [control for control in self.controls.values() if control.server.state is Lifecycle.READY]

    def usable(self, control: Control, call: Call, now: float) -> bool:
        number = control.server.number
        return (
            control.server.state is Lifecycle.READY
            and now >= control.skip_until
            and not (control.strikes and control.out)
            and number != self.settings.home_number
            and (call.cls.pools is None or number in call.cls.pools)
            and call.may_repeat(control.server, now)
        )

    def route(self, call: Call, now: float) -> Control | None:
        """First choice under its ceiling, else the kept server, redrawn at random if it may not be used."""
        share = call.worth / self.top
        usable = [control for control in self.controls.values() if self.usable(control, call, now)]
        named = [control for control in usable if control.server.number == call.first]
        if call.fault is not None and not call.transit:
            # Guards against a server that answers most set-ups with a fault: another with room comes first.
            others = [control for control in usable if control is not call.fault and control.room(now, share)]
            if others:
                return self.random.choices(others, [control.size for control in others])[0]
        kept = [control for control in usable if control is self.kept and not call.transit]
        tried = named + kept
        for control in tried:
            if control.room(now, share):
                return control
        free = [control for control in usable if control not in tried and control.room(now, share)]
        if not free or call.transit:
            return None
        # By lines: a small server would else get as much of the others' calls as a large one.
        (self.kept,) = self.random.choices(free, [control.size for control in free])
        return self.kept

    def send(self, call: Call, control: Control, now: float, out: list[api.Action]) -> None:
        control.age(now)
        control.sent, control.out = control.sent + 1.0, control.out + 1
        if control.limit(now) != math.inf:
            control.tokens -= 1.0
        call.out, call.sent_at, call.counted, call.attempts = control, now, False, call.attempts + 1
        out.append(api.SendAttempt(call.id, control.server.address, max(0.001, call.end_at - now)))

    def drop(self, event: api.CallGone, now: float, out: list[api.Action]) -> None:
        if event.call in self.calls:
            self.end(self.calls[event.call])

    def witness(self, call: Call, control: Control, now: float, grade: float) -> None:
        if not call.counted:
            control.evidence(now, grade, call.sent_at, now)
            if control is self.kept and grade >= 1.0:
                self.kept = None  # a late answer is as good a reason as a full one to draw another
        call.counted = True

    def easy(self, control: Control) -> float:
        """An answer this young, in pinches, tells of no queue."""
        # Guards against ways as long as a pinch: what every answer takes is no sign of a pressed processor.
        # A server that was pressed from the start has no short answer: what counts as its way is bounded.
        way = min(control.near, WAY_MS) if control.near < math.inf else 0.0
        return max(EASY, way / self.pinch + NEAR)

    def grade(self, elapsed_ms: float, easy: float = EASY) -> float:
        """How far an answer's age counts as a reject; full comes only long past every aim."""
        return min(1.0, max(0.0, (elapsed_ms / self.pinch - easy) / (HARD - EASY)))

    def stands(self, event: api.CallStands, now: float, out: list[api.Action]) -> None:
        call = self.calls.get(event.call)
        if call is None or call.out is None:
            return
        control = call.out
        control.age(now)
        control.stood, control.strikes, control.out = control.stood + 1.0, 0, control.out - 1
        control.stood_at = now
        self.busy.pop(call.number, None)
        control.near = min(control.near, event.elapsed_ms)
        self.witness(call, control, now, self.grade(event.elapsed_ms, self.easy(control)))
        del self.calls[event.call]

    def ended(self, event: api.AttemptEnded, now: float, out: list[api.Action]) -> None:
        call = self.calls.get(event.call)
        if call is None or call.out is None or event.attempt != call.attempts - 1:
            return
        control, call.out = call.out, None
        control.out -= 1
        if event.outcome not in NEVER_RAN and call.ran is None:
            call.ran, call.repeat_until = control.server, call.sent_at + call.cls.window_ms
        if event.outcome is Outcome.FULL:
            if now >= control.reject_at + self.pinch:  # one pause of a processor is one reject
                self.witness(call, control, now, 1.0)
                control.reject_at = now
            # A stated wait is not heeded: a server that pauses for a moment states far too long a one.
            control.skip_until = max(control.skip_until, now + SKIP_MS)
        elif event.outcome is Outcome.CONNECT_FAILED or (
            event.outcome is Outcome.TIMEOUT
            and (control.stood_at <= call.sent_at or control.share > 2.0 * TARGET)
        ):
            # Guards against unreachable and silent servers: growing pauses, then one trial at a time. Where
            # others stood since and few were late, one answer was lost: a pause would throw all calls at the
            # other servers.
            control.strikes += 1
            control.skip_until = now + pause_ms(control.strikes)
        elif event.note == api.NOTE_NUMBER_BUSY and call.number:
            tries = self.busy.get(call.number, (0.0, 0))[1] + 1
            self.busy[call.number] = (now + pause_ms(tries), tries)
        elif event.outcome is Outcome.ERROR:
            call.fault = control
        if event.closed:
            del self.calls[call.id]
        elif (
            now >= call.end_at - 1.0
            or call.attempts >= self.settings.try_limit
            or (call.ran is not None and call.cls.effect is Effect.SIDE_EFFECT)
        ):
            out.append(api.FailCall(call.id))
            self.end(call)
        else:
            if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
                # The release is awaited: what the attempt held may stay taken until then.
                call.not_before = now + self.settings.release_guard_ms + self.settings.step_ms
                again = max(call.hold_until, call.not_before + GUARD_MS)
                call.hold_until = min(call.end_at - GUARD_MS, again)
            self.place([call], now, out)

    def listed(self, event: api.ListUpdate, now: float, out: list[api.Action]) -> None:
        if event.kind is ListKind.ERROR:
            out.append(api.SetTimer("subscribe", 2.0 * TICK_MS))  # sent only to those that have asked
            return
        named = {server.address for server in event.servers}
        for server in event.servers:
            known = self.controls.get(server.address)
            control = self.controls[server.address] = known or Control(
                server, self.settings, now, self.random.random(), self.pace
            )
            fresh = known is None or server.started_ms > control.server.started_ms
            control.server = server
            if fresh and server.started_ms > now - self.settings.cold_ms:
                self.chill(control, server.started_ms, now)
        self.controls = {
            at: control
            for at, control in self.controls.items()
            if control.server.state is not Lifecycle.GONE and (event.kind is ListKind.CHANGES or at in named)
        }
        self.even(now)

    def even(self, now: float) -> None:
        """The fair rate of each server: this proxy's offered calls, divided by lines."""
        seen_s = self.offer_s * (1.0 - math.exp(-max(1.0, (now - self.born) / 1000.0) / self.offer_s))
        ready = self.ready()
        lines = sum(control.size for control in ready)
        for control in ready:
            control.fair = self.offered / seen_s * control.size / lines

    def chill(self, control: Control, since: float, now: float) -> None:
        """Guards a cold server: its ramp starts at this proxy's part of what the warm ones take by lines."""
        for other in self.controls.values():
            other.age(now)
        warm = [other for other in self.ready() if other is not control and now >= other.warm_at] or [control]
        lines = sum(other.size for other in warm)
        control.cold_base = sum(other.rate(other.sent) for other in warm) * control.size / lines
        control.warm_at = since + self.settings.cold_ms
        control.strikes, control.skip_until = 0, -math.inf
        # Guards against a ceiling of nought, which no step lifts: a proxy that has sent nothing yet goes by
        # its part of the calls offered to it.
        control.ceiling, control.ends_at = control.cold_base * self.settings.cold_from or None, math.inf
        control.tokens, control.token_at = control.phase, now

    def reported(self, event: api.ServerReport, now: float, out: list[api.Action]) -> None:
        control = self.controls.get(event.server)
        if control is None:
            return
        if event.outcome in (Outcome.FULL, Outcome.TIMEOUT):
            # Guards against probes that come back from a jammed server only in its good moments.
            control.evidence(now, 1.0, now - HARD * self.pinch, now)
        told = dict(zip(self.settings.report_columns, event.report, strict=False))
        control.size = max(told.get("size", 0.0), 0.0) or control.size
        if self.hold_ms and told.get("free", -1.0) >= 0.0:
            # Guards against crowds at the last lines: a part of those free and of those that come free.
            turned = control.size * TICK_MS / self.hold_ms
            before, control.lines = control.lines, (told["free"] + turned) / self.siblings
            if control.lines < LEAST * control.fair <= before:
                control.spread(now)
        if event.elapsed_ms > 0.0 and told.get("mean_ms", -1.0) >= 0.0:
            control.evidence(now, self.grade(told["mean_ms"]), now - told["mean_ms"], now)

    def counted(self, event: api.SiblingsUp, now: float, out: list[api.Action]) -> None:
        self.siblings = max(1, event.count)

    def heard(self, event: api.PeerMessage, now: float, out: list[api.Action]) -> None:
        """What a peer has heard of a server joins the same bucket; what does not decode is only counted."""
        if len(event.data) % NEWS.size or not event.data:
            self.bad_messages += 1
            return
        by_number = {control.server.number: control for control in self.ready()}
        for number, answers, share, age in NEWS.iter_unpack(event.data):
            control, heard_at = by_number.get(number), now - age * AGE_MS
            if control is not None:
                # The oldest of the calls it tells of was sent about one late answer before it was heard.
                control.evidence(now, share / 255.0, heard_at - HARD * self.pinch, heard_at, answers / 8.0)

    def beat(self, now: float, out: list[api.Action]) -> None:
        self.beat_at = math.inf
        for call in self.calls.values():
            # An attempt still out counts once it is as late as a reject: full and time-outs come too late.
            if (
                call.out is not None
                and not call.counted
                and now - call.sent_at >= (HARD + self.easy(call.out) - EASY) * self.pinch
            ):
                self.witness(call, call.out, now, 1.0)
        # The call itself, not its id: one that was given up may have come again under it meanwhile.
        waiting, self.held = [call for call in self.held if self.calls.get(call.id) is call], []
        self.place(waiting, now, out)
        if now >= self.rest_at:
            self.rest_at = now + self.rest_ms
            self.ask(now, out)
        if now >= self.tick_at:
            self.tick_at = now + self.tick_ms
            self.unserved = {key: at for key, at in self.unserved.items() if now - at < self.longest}
            self.busy = {key: to for key, to in self.busy.items() if now - to[0] < self.longest}
            self.offered *= math.exp(-self.tick_ms / 1000.0 / self.offer_s)
            self.even(now)
            for control in self.controls.values():
                control.tick(now)
        self.due(min(self.rest_at, self.tick_at, now + BEAT_MS if self.held else math.inf), now, out)

    def ask(self, now: float, out: list[api.Action]) -> None:
        """News to a few peers, and a probe of the server probed longest ago: a fixed cost a proxy."""
        ready = self.ready()
        others = self.settings.siblings - 1
        news = b"".join(
            NEWS.pack(
                control.server.number & 0xFFFF,
                round(8.0 * control.answers),
                round(255.0 * control.share),
                min(255, int((now - control.heard_at) / AGE_MS)),
            )
            for control in ready
            if control.weight(now) >= ENOUGH
        )[: 256 - 256 % NEWS.size]
        if self.settings.peers and news:
            for step in self.random.sample(range(others), min(PEERS_TOLD, others)):
                out.append(api.TellPeer((self.settings.me + 1 + step) % (others + 1), news))
        # Guards a cold server: what all proxies ask of it is work as well, and its ramp goes by time alone.
        stale = [control for control in ready if now >= max(control.probe_at + PROBE_MS, control.warm_at)]
        if self.settings.probes and stale and self.probes >= 1.0:
            self.probes -= 1.0
            control = min(stale, key=lambda control: control.probe_at)
            control.probe_at = now
            out.append(api.Probe(control.server.address))
