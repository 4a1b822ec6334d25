"""The gate: admits or refuses each new connection, and names those that make room for it.

Order in which seats are given up, never one with an open set-up or with something owed on it:
1. strangers silent past their grace, the longest first;
2. strangers of the address that holds the most seats, where that is more than its fair share: silent, then
idle;
3. silent strangers within their grace; 4. idle strangers; 5. idle known clients, for a known client alone.
"""

from __future__ import annotations

import itertools
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from frostport.admission.ladder import Ladder, Step
from frostport.admission.ledger import Buffers, Descriptors, Owner
from frostport.admission.settings import Limits
from frostport.admission.tables import Buckets, Earned, Offenders, prefix_of, within

GRACE_MS = 250.0  # a first line that is on its way has come by then
FAIR = 8  # seats that one address may have before it is the first to give some up
TALKERS = 10  # of the busiest addresses that a snapshot names
SHED_A_TURN = 16  # seats given up at a time where a limit was lowered


class Reason(Enum):
    """Why a connection was refused or given up."""

    FULL = "full"
    ADDRESS = "address"
    PREFIX = "prefix"
    UNIDENTIFIED = "unidentified"
    TEAM = "team"
    RATE_ADDRESS = "rate-address"
    RATE_PREFIX = "rate-prefix"
    RESERVE = "reserve"
    OFFENDER = "offender"
    DESCRIPTORS = "descriptors"
    LADDER = "ladder"
    BUFFERS = "buffers"
    MADE_ROOM = "made-room"
    LOWERED = "lowered"


@dataclass(slots=True, eq=False)
class Seat:
    """One admitted connection."""

    number: int
    address: str
    prefix: str
    known: bool
    since: float
    identified: bool = False
    team: str = ""
    busy: int = 0  # open set-ups, and what is owed on it


@dataclass(frozen=True, slots=True)
class Verdict:
    """A seat, or why there is none; `shed`: the seats to be closed first."""

    seat: Seat | None
    reason: Reason | None = None
    shed: tuple[Seat, ...] = ()


class Gate:
    """Owns the seats and every table of admission."""

    def __init__(self, limits: Limits, descriptors: Descriptors | None = None) -> None:
        self.descriptors = descriptors or Descriptors(limits.connections + 1, 0)
        self.buffers = Buffers(limits.buffered_bytes, limits.buffered_connection_bytes)
        self.ladder = Ladder()
        self.seats: dict[int, Seat] = {}
        self.by_address: Counter[str] = Counter()
        self.by_prefix: Counter[str] = Counter()
        self.by_team: Counter[str] = Counter()
        self.unidentified = self.strangers = 0
        self.refused: Counter[Reason] = Counter()
        self.given_up: Counter[Reason] = Counter()
        self.admitted = 0
        # Who may make room, in the order of since when: silent ones by arrival, idle ones by their last word.
        self._silent: OrderedDict[int, Seat] = OrderedDict()
        self._idle: OrderedDict[int, Seat] = OrderedDict()
        self._of: dict[str, OrderedDict[int, Seat]] = {}  # both, by address
        self._ranks: dict[int, dict[str, None]] = {}  # addresses by how many of these seats they have
        self._most = 0
        self._next = 0
        self.limits = limits
        self._rates(limits)

    def _rates(self, limits: Limits) -> None:
        self.address_rates = Buckets(limits.address_a_second, limits.address_burst, limits.remembered)
        self.prefix_rates = Buckets(limits.prefix_a_second, limits.prefix_burst, limits.remembered)
        self.offenders = Offenders(limits.back_off_ms, limits.back_off_most_ms, limits.remembered)
        self.earned = Earned(limits.earned_ms, limits.remembered)

    # Events

    def arrive(self, address: str, now: float) -> Verdict:
        """A connection was accepted: a seat for it, or the reason why not."""
        known = self.is_known(address, now)
        prefix = prefix_of(address, self.limits.ipv4_prefix, self.limits.ipv6_prefix)
        reason = self._against(address, prefix, known, now)
        shed: list[Seat] = []
        if reason is None:
            reason = self._make_room(known, now, shed)
        if reason is not None:
            self.refused[reason] += 1
            return Verdict(None, reason, tuple(shed))
        self._next += 1
        seat = Seat(self._next, address, prefix, known, now)
        self.seats[seat.number] = seat
        self.by_address[address] += 1
        self.by_prefix[prefix] += 1
        self.unidentified += 1
        self.strangers += not known
        self.descriptors.take(Owner.CLIENTS)
        self.admitted += 1
        self._may_go(seat)
        self._weigh()
        return Verdict(seat, None, tuple(shed))

    def identified(self, seat: Seat, team: str = "") -> Reason | None:
        """Its first whole line, or its capabilities, have come; a reason where its team has too many
        seats."""
        if seat.number not in self.seats:
            return None
        if not seat.identified:
            seat.identified = True
            self.unidentified -= 1
        if team and team != seat.team:
            limit = self.limits.by_team
            if limit and self.by_team[team] >= limit:
                self.refused[Reason.TEAM] += 1
                return Reason.TEAM
            self._leave_team(seat)
            seat.team = team
            self.by_team[team] += 1
        self.heard(seat)
        return None

    def heard(self, seat: Seat) -> None:
        """It said something: it is the last of those that make room."""
        if seat.number in self.seats and not seat.busy:
            self._may_not_go(seat)
            self._may_go(seat)

    def took(self, seat: Seat) -> None:
        """A set-up is open on it, or something owed: it stays."""
        seat.busy += 1
        if seat.busy == 1:
            self._may_not_go(seat)

    def done(self, seat: Seat) -> None:
        seat.busy -= 1
        if seat.busy == 0 and seat.number in self.seats:
            self._may_go(seat)

    def earns(self, seat: Seat, now: float) -> None:
        """A call of its stood: its address counts as known for a while."""
        self.earned.earn(seat.address, now)
        if not seat.known:
            seat.known = True
            if seat.number in self.seats:
                self.strangers -= 1

    def offends(self, address: str, now: float) -> float:
        """It sent what can't be read, or too much; returns for how long it is turned away.

        A known client is never backed off: 0, and its front says so in the log."""
        return 0.0 if self.is_known(address, now) else self.offenders.offend(address, now)

    def buffered(self, seat: Seat, count: int) -> bool:
        """Bytes that wait to be read by it; False where it is over its limit and has to go."""
        if seat.number not in self.seats:
            return True
        within_limit = self.buffers.set(seat.number, count)
        self._weigh()
        return within_limit

    def gone(self, seat: Seat) -> None:
        """Its connection is closed; a second time changes nothing."""
        if self.seats.pop(seat.number, None) is None:
            return
        self._may_not_go(seat)
        for counter, key in ((self.by_address, seat.address), (self.by_prefix, seat.prefix)):
            counter[key] -= 1
            if not counter[key]:
                del counter[key]
        self._leave_team(seat)
        self.unidentified -= not seat.identified
        self.strangers -= not seat.known
        self.buffers.set(seat.number, 0)
        self.descriptors.give(Owner.CLIENTS)
        self._weigh()

    def reload(self, limits: Limits, now: float) -> None:
        """Other limits from now on. What is open stays, and goes a few at a time (`surplus`)."""
        earned, offenders = self.earned, self.offenders
        self.limits = limits
        self._rates(limits)
        earned.keep_ms, earned.most = limits.earned_ms, limits.remembered
        offenders.first_ms, offenders.most_ms = limits.back_off_ms, limits.back_off_most_ms
        self.earned, self.offenders = earned, offenders
        self.buffers.limit = limits.buffered_bytes
        self.buffers.by_connection = limits.buffered_connection_bytes
        self._weigh()

    def make_way(self, now: float) -> list[Seat]:
        """A seat to be closed for a connection that the program itself has to open, if one may go."""
        victims = list(itertools.islice(self._victims(True, now), 1))
        for seat in victims:
            self._give_up(seat, Reason.MADE_ROOM)
        return victims

    def surplus(self, now: float) -> list[Seat]:
        """Seats to be closed now since a limit was lowered or the ladder asks for it; the rest next time."""
        shed: list[Seat] = []
        over = len(self.seats) - self.limits.connections
        for seat in self._victims(False, now) if over > 0 else ():
            if len(shed) >= min(over, SHED_A_TURN):
                break
            shed.append(seat)
        for seat in shed:
            self._give_up(seat, Reason.LOWERED)
        if self.limits.ladder and self.ladder.step >= Step.PRESSED:
            pressed = list(self._stale(now))
            if self.ladder.step >= Step.SCARCE:
                pressed += [seat for seat in self._idle.values() if not seat.known]
            for seat in pressed[:SHED_A_TURN]:
                self._give_up(seat, Reason.LADDER)
                shed.append(seat)
        return shed

    # Decisions

    def is_known(self, address: str, now: float) -> bool:
        return self.earned.has(address, now) or within(address, self.limits.known)

    def _behind(self, address: str) -> int:
        """How many clients stand behind an address."""
        return next(
            (shared.clients for shared in self.limits.shared if within(address, (shared.network,))), 1
        )

    def _against(self, address: str, prefix: str, known: bool, now: float) -> Reason | None:
        """Why this address may not connect now, whatever room there is."""
        limits, behind = self.limits, self._behind(address)
        if limits.ladder and (
            (self.ladder.step >= Step.SCARCE and not known)
            or (self.ladder.step >= Step.EXHAUSTED and not within(address, limits.known))
        ):
            return Reason.LADDER
        if not known and self.offenders.turned_away(address, now):
            return Reason.OFFENDER
        if limits.by_address and self.by_address[address] >= limits.by_address * behind:
            return Reason.ADDRESS
        if not known:
            if limits.by_prefix and self.by_prefix[prefix] >= limits.by_prefix * behind:
                return Reason.PREFIX
            if not self.address_rates.take(address, now, behind):
                return Reason.RATE_ADDRESS
            if not self.prefix_rates.take(prefix, now, behind):
                return Reason.RATE_PREFIX
        return None

    def _make_room(self, known: bool, now: float, shed: list[Seat]) -> Reason | None:
        """Finds a seat, others' if need be; strangers never in the reserve. Nobody goes where it is not
        enough."""
        limits, planned = self.limits, list[Seat]()
        seats, strangers, unidentified = len(self.seats), self.strangers, self.unidentified
        if not known and seats > limits.connections:
            return Reason.FULL  # a lowered limit sheds by itself, a few at a time
        if not known and limits.unidentified and unidentified >= limits.unidentified:
            # Guards the handshakes against half-open ones: the longest silent one makes room.
            stale = next(self._stale(now), None)
            if stale is None or unidentified > limits.unidentified:
                return Reason.UNIDENTIFIED
            planned.append(stale)
        most = limits.connections if known else limits.connections - limits.reserve
        seats, strangers = seats - len(planned), strangers - len(planned)
        victims = (seat for seat in self._victims(known, now) if seat not in planned)
        while (
            seats >= limits.connections
            or (not known and strangers >= most)
            or not self.descriptors.room(Owner.CLIENTS, len(planned))
        ):
            victim = next(victims, None)
            if victim is None:
                if not self.descriptors.room(Owner.CLIENTS, len(planned)):
                    return Reason.DESCRIPTORS
                return Reason.FULL if seats >= limits.connections else Reason.RESERVE
            planned.append(victim)
            seats, strangers = seats - 1, strangers - (not victim.known)
        for victim in planned:
            self._give_up(victim, Reason.MADE_ROOM)
        shed += planned
        return None

    def _victims(self, for_known: bool, now: float) -> Iterator[Seat]:
        """Who makes room, in order; what it yields is to be taken out before the next is asked for, or all
        kept."""
        named: set[int] = set()

        def fresh(seats: Iterator[Seat]) -> Iterator[Seat]:
            for seat in seats:
                if seat.number not in named:
                    named.add(seat.number)
                    yield seat

        yield from fresh(self._stale(now))
        if self._most > FAIR:
            address = next(iter(self._ranks[self._most]))
            for said in (False, True):
                yield from fresh(
                    seat for seat in self._of[address].values() if not seat.known and seat.identified is said
                )
        yield from fresh(seat for seat in self._silent.values() if not seat.known)
        yield from fresh(seat for seat in self._idle.values() if not seat.known)
        if for_known or not self.limits.reserve:
            yield from fresh(itertools.chain(self._silent.values(), self._idle.values()))

    def _stale(self, now: float) -> Iterator[Seat]:
        """Strangers silent past their grace, the longest first."""
        for seat in self._silent.values():
            if now - seat.since <= GRACE_MS:
                return
            if not seat.known:
                yield seat

    def _give_up(self, seat: Seat, reason: Reason) -> None:
        self.given_up[reason] += 1
        self.gone(seat)

    def _weigh(self) -> None:
        shares = [len(self.seats) / max(1, self.limits.connections)] if self.limits.reserve else []
        self.ladder.load(*shares, self.buffers.share(), self.descriptors.share())

    # Tables

    def _may_go(self, seat: Seat) -> None:
        (self._idle if seat.identified else self._silent)[seat.number] = seat
        of = self._of.setdefault(seat.address, OrderedDict())
        of[seat.number] = seat
        self._rank(seat.address, len(of) - 1, len(of))

    def _may_not_go(self, seat: Seat) -> None:
        self._silent.pop(seat.number, None)
        self._idle.pop(seat.number, None)
        of = self._of.get(seat.address)
        if of is not None and of.pop(seat.number, None) is not None:
            self._rank(seat.address, len(of) + 1, len(of))
            if not of:
                del self._of[seat.address]

    def _rank(self, address: str, before: int, after: int) -> None:
        """Keeps the addresses in order of their seats: each change moves one by one rank."""
        if before:
            del self._ranks[before][address]
            if not self._ranks[before]:
                del self._ranks[before]
        if after:
            self._ranks.setdefault(after, {})[address] = None
        self._most = (
            max(after, self._most) if after > before else self._most if self._most in self._ranks else after
        )

    def _leave_team(self, seat: Seat) -> None:
        if seat.team:
            self.by_team[seat.team] -= 1
            if not self.by_team[seat.team]:
                del self.by_team[seat.team]
            seat.team = ""

    def snapshot(self) -> dict[str, object]:
        """Plain data for console and records."""
        return {
            "step": self.ladder.step.name.lower(),
            "moves": self.ladder.moves,
            "seats": len(self.seats),
            "strangers": self.strangers,
            "unidentified": self.unidentified,
            "admitted": self.admitted,
            "refused": {reason.value: count for reason, count in self.refused.items()},
            "given_up": {reason.value: count for reason, count in self.given_up.items()},
            "descriptors": {owner.value: count for owner, count in self.descriptors.open.items()},
            "buffered_bytes": self.buffers.total,
            "talkers": self.by_address.most_common(TALKERS),
        }
