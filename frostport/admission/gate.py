"""The gate admits or refuses each new connection and selects the connections that are closed to make room.

All times are milliseconds of the caller's monotonic clock. A client is known if the configuration lists its
network or if one of its calls succeeded recently. It is identified once its first complete line, or its
Diameter capabilities, have arrived.

Eviction order; a connection with an open set-up or an unconfirmed release is never evicted:
1. unidentified connections of unknown clients past the grace period, the longest silent first;
2. connections of unknown clients at the address with the most evictable connections, if these exceed its
fair share: unidentified ones first, then idle ones;
3. unidentified connections of unknown clients within the grace period;
4. idle connections of unknown clients;
5. idle connections of known clients, only in favour of a known client.
"""

from __future__ import annotations

import itertools
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from frostport.admission.addresses import Offenders, TokenBuckets, TrustedAddresses, in_networks, prefix_of
from frostport.admission.ladder import Ladder, Step
from frostport.admission.resources import Buffers, Descriptors, Owner
from frostport.admission.settings import Limits

IDENTIFICATION_GRACE_MS = 250.0  # a first line that is in transit has arrived by then
FAIR_SHARE = 8  # evictable connections an address may have before it is the first to lose some
TOP_ADDRESSES = 10  # how many of the addresses with the most connections a snapshot lists
MAX_SHED_PER_SWEEP = 16  # connections closed at a time after a limit was lowered or under overload


class Reason(Enum):
    """Why a connection was refused or evicted."""

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
class Admission:
    """An admitted connection, from its accept to its close."""

    number: int
    address: str
    prefix: str
    known: bool
    admitted_at: float
    identified: bool = False
    team: str = ""
    use_count: int = 0  # open set-ups and unconfirmed releases; evictable only at 0


@dataclass(frozen=True, slots=True)
class Verdict:
    """The admission, or why the connection is refused; the caller first closes the connections in `shed`."""

    admission: Admission | None
    reason: Reason | None = None
    shed: tuple[Admission, ...] = ()


class Gate:
    """Owns the admitted connections and every table that their admission is decided by."""

    def __init__(self, limits: Limits, descriptors: Descriptors | None = None) -> None:
        self.descriptors = descriptors or Descriptors(limits.connections + 1, 0)
        self.buffers = Buffers(limits.buffered_bytes, limits.buffered_connection_bytes)
        self.ladder = Ladder()
        self.admissions: dict[int, Admission] = {}
        self.by_address: Counter[str] = Counter()
        self.by_prefix: Counter[str] = Counter()
        self.by_team: Counter[str] = Counter()
        self.unidentified = self.unknown = 0
        self.refused: Counter[Reason] = Counter()
        self.evicted: Counter[Reason] = Counter()
        self.admitted = 0
        # Evictable connections: unidentified in order of arrival, identified in order of their last activity.
        self._silent: OrderedDict[int, Admission] = OrderedDict()
        self._idle: OrderedDict[int, Admission] = OrderedDict()
        self._evictable_by_address: dict[str, OrderedDict[int, Admission]] = {}
        self._addresses_by_count: dict[int, dict[str, None]] = {}  # keyed by number of evictable ones
        self._highest_count = 0
        self._last_number = 0
        self.limits = limits
        self._create_tables(limits)

    def _create_tables(self, limits: Limits) -> None:
        self.address_rates = TokenBuckets(limits.address_a_second, limits.address_burst, limits.remembered)
        self.prefix_rates = TokenBuckets(limits.prefix_a_second, limits.prefix_burst, limits.remembered)
        self.offenders = Offenders(limits.back_off_ms, limits.back_off_most_ms, limits.remembered)
        self.trusted = TrustedAddresses(limits.earned_ms, limits.remembered)

    # Events

    def admit(self, address: str, now: float) -> Verdict:
        """Decides on a connection that was just accepted."""
        known = self.is_known(address, now)
        prefix = prefix_of(address, self.limits.ipv4_prefix, self.limits.ipv6_prefix)
        reason = self._refusal_reason(address, prefix, known, now)
        shed: list[Admission] = []
        if reason is None:
            reason = self._make_room(known, now, shed)
        if reason is not None:
            self.refused[reason] += 1
            return Verdict(None, reason, tuple(shed))
        self._last_number += 1
        admission = Admission(self._last_number, address, prefix, known, now)
        self.admissions[admission.number] = admission
        self.by_address[address] += 1
        self.by_prefix[prefix] += 1
        self.unidentified += 1
        self.unknown += not known
        self.descriptors.acquire(Owner.CLIENTS)
        self.admitted += 1
        self._add_evictable(admission)
        self._update_load()
        return Verdict(admission, None, tuple(shed))

    def mark_identified(self, admission: Admission, team: str = "") -> Reason | None:
        """Records that its first complete line, or its capabilities, have arrived.

        Returns `Reason.TEAM` if its team already has as many connections as allowed; the caller closes it.
        """
        if admission.number not in self.admissions:
            return None
        if not admission.identified:
            admission.identified = True
            self.unidentified -= 1
        if team and team != admission.team:
            limit = self.limits.by_team
            if limit and self.by_team[team] >= limit:
                self.refused[Reason.TEAM] += 1
                return Reason.TEAM
            self._leave_team(admission)
            admission.team = team
            self.by_team[team] += 1
        self.mark_active(admission)
        return None

    def mark_active(self, admission: Admission) -> None:
        """Records that the client sent something: its connection moves to the end of the eviction order."""
        if admission.number in self.admissions and not admission.use_count:
            self._remove_evictable(admission)
            self._add_evictable(admission)

    def begin_use(self, admission: Admission) -> None:
        """The connection has an open set-up or an unconfirmed release: it can't be evicted."""
        admission.use_count += 1
        if admission.use_count == 1:
            self._remove_evictable(admission)

    def end_use(self, admission: Admission) -> None:
        """Reverts one `begin_use`."""
        admission.use_count -= 1
        if admission.use_count == 0 and admission.number in self.admissions:
            self._add_evictable(admission)

    def trust(self, admission: Admission, now: float) -> None:
        """A call of this client succeeded: its address counts as known for `earned_ms`."""
        self.trusted.add(admission.address, now)
        if not admission.known:
            admission.known = True
            if admission.number in self.admissions:
                self.unknown -= 1

    def penalize(self, address: str, now: float) -> float:
        """The address sent unreadable or too much data; returns for how many ms it is refused.

        A known client is never refused for this: 0, and its front logs the offence."""
        return 0.0 if self.is_known(address, now) else self.offenders.record(address, now)

    def set_buffered(self, admission: Admission, count: int) -> bool:
        """Records how many bytes are held for the connection.

        Returns False if they exceed the limit of one connection; the caller closes it."""
        if admission.number not in self.admissions:
            return True
        within_limit = self.buffers.set(admission.number, count)
        if self.limits.ladder:
            self._update_load()
        return within_limit

    def may_hold(self, admission: Admission, count: int) -> bool:
        """Whether `count` bytes more may be held for the connection: a new set-up, or lines read ahead."""
        return self.buffers.may_hold(admission.number, count)

    def shed_largest(self) -> list[Admission]:
        """The connections to close now because all together hold too many bytes: those that hold most."""
        shed = []
        while self.buffers.exceeded():
            admission = self.admissions[self.buffers.largest_holder()]
            self._evict(admission, Reason.BUFFERS)
            shed.append(admission)
        return shed

    def remove(self, admission: Admission) -> None:
        """The connection is closed. Idempotent."""
        if self.admissions.pop(admission.number, None) is None:
            return
        self._remove_evictable(admission)
        for counter, key in ((self.by_address, admission.address), (self.by_prefix, admission.prefix)):
            counter[key] -= 1
            if not counter[key]:
                del counter[key]
        self._leave_team(admission)
        self.unidentified -= not admission.identified
        self.unknown -= not admission.known
        self.buffers.set(admission.number, 0)
        self.descriptors.release(Owner.CLIENTS)
        self._update_load()

    def reload(self, limits: Limits, now: float) -> None:
        """Replaces the limits. Open connections stay; `shed_surplus` closes what exceeds them, in batches."""
        trusted = self.trusted
        offenders = self.offenders
        self.limits = limits
        self._create_tables(limits)
        trusted.keep_ms = limits.earned_ms
        trusted.max_entries = limits.remembered
        offenders.initial_ms = limits.back_off_ms
        offenders.max_ms = limits.back_off_most_ms
        self.trusted = trusted
        self.offenders = offenders
        self.buffers.limit = limits.buffered_bytes
        self.buffers.connection_limit = limits.buffered_connection_bytes
        self._update_load()

    def evict_one(self, now: float) -> list[Admission]:
        """Frees a descriptor for an outgoing connection; returns the one connection to close, or none
        if none may be evicted."""
        victims = list(itertools.islice(self._eviction_order(True, now), 1))
        for admission in victims:
            self._evict(admission, Reason.MADE_ROOM)
        return victims

    def shed_surplus(self, now: float) -> list[Admission]:
        """The connections to close now because a limit was lowered or the ladder requires it.

        A bounded number; the next call returns more."""
        shed: list[Admission] = []
        over = len(self.admissions) - self.limits.connections
        for admission in self._eviction_order(False, now) if over > 0 else ():
            if len(shed) >= min(over, MAX_SHED_PER_SWEEP):
                break
            shed.append(admission)
        for admission in shed:
            self._evict(admission, Reason.LOWERED)
        if self.limits.ladder and self.ladder.step >= Step.PRESSED:
            candidates = list(self._silent_past_grace(now))
            if self.ladder.step >= Step.SCARCE:
                candidates += [admission for admission in self._idle.values() if not admission.known]
            for admission in candidates[:MAX_SHED_PER_SWEEP]:
                self._evict(admission, Reason.LADDER)
                shed.append(admission)
        return shed

    # Decisions

    def is_known(self, address: str, now: float) -> bool:
        """Whether the configuration lists the address, or a call from it succeeded within `earned_ms`."""
        return self.trusted.has(address, now) or in_networks(address, self.limits.known)

    def _clients_behind(self, address: str) -> int:
        """How many clients share an address."""
        return next(
            (shared.clients for shared in self.limits.shared if in_networks(address, (shared.network,))), 1
        )

    def _refusal_reason(self, address: str, prefix: str, known: bool, now: float) -> Reason | None:
        """Why this address may not connect now, regardless of free capacity."""
        limits = self.limits
        clients_behind = self._clients_behind(address)
        if limits.ladder and (
            (self.ladder.step >= Step.SCARCE and not known)
            or (self.ladder.step >= Step.EXHAUSTED and not in_networks(address, limits.known))
        ):
            return Reason.LADDER
        if not known and self.offenders.is_refused(address, now):
            return Reason.OFFENDER
        if limits.by_address and self.by_address[address] >= limits.by_address * clients_behind:
            return Reason.ADDRESS
        if not known:
            if limits.by_prefix and self.by_prefix[prefix] >= limits.by_prefix * clients_behind:
                return Reason.PREFIX
            if not self.address_rates.take(address, now, clients_behind):
                return Reason.RATE_ADDRESS
            if not self.prefix_rates.take(prefix, now, clients_behind):
                return Reason.RATE_PREFIX
        return None

    def _make_room(self, known: bool, now: float, shed: list[Admission]) -> Reason | None:
        """Ensures capacity for one more connection, if need be by evictions, which it appends to `shed`.

        Unknown clients never use the reserve. Evicts nothing if the evictions would not suffice."""
        limits = self.limits
        planned = list[Admission]()
        connections = len(self.admissions)
        unknown = self.unknown
        unidentified = self.unidentified
        if not known and connections > limits.connections:
            return Reason.FULL  # `shed_surplus` closes what exceeds a lowered limit, in batches
        if not known and limits.unidentified and unidentified >= limits.unidentified:
            # Guards against half-open connections that block new ones: the longest silent one is evicted.
            stale = next(self._silent_past_grace(now), None)
            if stale is None or unidentified > limits.unidentified:
                return Reason.UNIDENTIFIED
            planned.append(stale)
        max_unknown = limits.connections if known else limits.connections - limits.reserve
        connections -= len(planned)
        unknown -= len(planned)
        victims = (admission for admission in self._eviction_order(known, now) if admission not in planned)
        while (
            connections >= limits.connections
            or (not known and unknown >= max_unknown)
            or not self.descriptors.available(Owner.CLIENTS, len(planned))
        ):
            victim = next(victims, None)
            if victim is None:
                if not self.descriptors.available(Owner.CLIENTS, len(planned)):
                    return Reason.DESCRIPTORS
                return Reason.FULL if connections >= limits.connections else Reason.RESERVE
            planned.append(victim)
            connections -= 1
            unknown -= not victim.known
        for victim in planned:
            self._evict(victim, Reason.MADE_ROOM)
        shed += planned
        return None

    def _eviction_order(self, for_known: bool, now: float) -> Iterator[Admission]:
        """Evictable connections, in the order of the module's docstring, each once.

        The tables must not change while this is iterated: the caller evicts afterwards."""
        yielded: set[int] = set()

        def not_yet_yielded(admissions: Iterator[Admission]) -> Iterator[Admission]:
            for admission in admissions:
                if admission.number not in yielded:
                    yielded.add(admission.number)
                    yield admission

        yield from not_yet_yielded(self._silent_past_grace(now))
        if self._highest_count > FAIR_SHARE:
            address = next(iter(self._addresses_by_count[self._highest_count]))
            for identified in (False, True):
                yield from not_yet_yielded(
                    admission
                    for admission in self._evictable_by_address[address].values()
                    if not admission.known and admission.identified is identified
                )
        yield from not_yet_yielded(admission for admission in self._silent.values() if not admission.known)
        yield from not_yet_yielded(admission for admission in self._idle.values() if not admission.known)
        if for_known or not self.limits.reserve:
            yield from not_yet_yielded(itertools.chain(self._silent.values(), self._idle.values()))

    def _silent_past_grace(self, now: float) -> Iterator[Admission]:
        """Unidentified connections of unknown clients past the grace period, the longest silent first."""
        for admission in self._silent.values():
            if now - admission.admitted_at <= IDENTIFICATION_GRACE_MS:
                return
            if not admission.known:
                yield admission

    def _evict(self, admission: Admission, reason: Reason) -> None:
        self.evicted[reason] += 1
        self.remove(admission)

    def _update_load(self) -> None:
        loads = [len(self.admissions) / max(1, self.limits.connections)] if self.limits.reserve else []
        self.ladder.update(*loads, self.buffers.utilization(), self.descriptors.utilization())

    # Tables

    def _add_evictable(self, admission: Admission) -> None:
        (self._idle if admission.identified else self._silent)[admission.number] = admission
        same_address = self._evictable_by_address.setdefault(admission.address, OrderedDict())
        same_address[admission.number] = admission
        self._update_ranking(admission.address, len(same_address) - 1, len(same_address))

    def _remove_evictable(self, admission: Admission) -> None:
        self._silent.pop(admission.number, None)
        self._idle.pop(admission.number, None)
        same_address = self._evictable_by_address.get(admission.address)
        if same_address is not None and same_address.pop(admission.number, None) is not None:
            self._update_ranking(admission.address, len(same_address) + 1, len(same_address))
            if not same_address:
                del self._evictable_by_address[admission.address]

    def _update_ranking(self, address: str, before: int, after: int) -> None:
        """Moves an address to its new count of evictable connections, which differs by one from the old."""
        if before:
            del self._addresses_by_count[before][address]
            if not self._addresses_by_count[before]:
                del self._addresses_by_count[before]
        if after:
            self._addresses_by_count.setdefault(after, {})[address] = None
        self._highest_count = (
            max(after, self._highest_count)
            if after > before
            else self._highest_count
            if self._highest_count in self._addresses_by_count
            else after
        )

    def _leave_team(self, admission: Admission) -> None:
        if admission.team:
            self.by_team[admission.team] -= 1
            if not self.by_team[admission.team]:
                del self.by_team[admission.team]
            admission.team = ""

    def snapshot(self) -> dict[str, object]:
        """JSON-compatible state for the operators' port and the log."""
        return {
            "step": self.ladder.step.name.lower(),
            "moves": self.ladder.transitions,
            "seats": len(self.admissions),
            "strangers": self.unknown,
            "unidentified": self.unidentified,
            "admitted": self.admitted,
            "refused": {reason.value: count for reason, count in self.refused.items()},
            "given_up": {reason.value: count for reason, count in self.evicted.items()},
            "descriptors": {owner.value: count for owner, count in self.descriptors.open.items()},
            "buffered_bytes": self.buffers.total,
            "talkers": self.by_address.most_common(TOP_ADDRESSES),
        }
