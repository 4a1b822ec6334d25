"""The membership protocol: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018).

`handle(event, now_ms)` takes what happened and returns what to do; `next_ms` says when a `Tick` is due. The
object has no clock, socket or chance of its own: `chance` is handed in, seeded by the caller.

- A member is probed directly, then through others; unanswered, it is suspect, and dead once the suspicion's
  time is over. What others confirm shortens that time (Lifeguard, 4.2).
- Who fails at its probes trusts itself less, and waits longer (local health, Lifeguard 4.1).
- Who is talked to while suspect or dead is told so first (buddy system, Lifeguard 4.3), and refutes.
- Who has stood still moves all that it waits for by as long: nobody is buried for its own silence.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from frostport.membership import messages
from frostport.membership.dissemination import Rumours
from frostport.membership.events import (
    Action,
    Changed,
    Event,
    Exchange,
    Heard,
    Leave,
    Moved,
    Phase,
    Send,
    Started,
    Tick,
    Told,
    View,
)
from frostport.membership.joining import Claim, Joining
from frostport.membership.messages import (
    Ack,
    Gossip,
    Info,
    Join,
    Message,
    Nack,
    Ping,
    PingReq,
    Refused,
    State,
    Update,
    Welcome,
)
from frostport.membership.probes import Probe, Relay
from frostport.membership.settings import Settings
from frostport.membership.table import Member, Table

NEVER = float("inf")
RELAYS_MOST = 64  # probes for others at a time


class Swim(Joining):
    """One agent's part."""

    def __init__(
        self,
        name: str,
        info: Info,
        incarnation: int,
        seeds: Iterable[str],
        settings: Settings,
        chance: random.Random,
        follows: bool = False,
    ) -> None:
        """`incarnation`: the milliseconds of Unix time at the start; `seeds`: addresses to join by;
        `follows`: an older process of this name may still answer."""
        self.name, self.info, self.incarnation, self.follows = name, info, incarnation, follows
        self.seeds = [seed for seed in seeds if seed != info.address]
        self.settings, self.chance = settings, chance
        self.phase = Phase.JOINING
        self.table, self.rumours = Table(), Rumours()
        self.health = 0  # Lifeguard's local health multiplier, 0: well
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.claims: dict[int, Claim] = {}
        self._order: list[str] = []
        self._number = 0
        self._out: list[Action] = []
        self._period_at = self._exchange_at = self._retry_at = self._join_at = self._gossip_at = NEVER
        self.stood_still_ms = 0.0  # in all, for the record

    # The face

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        self._out = []
        late = now_ms - self.next_ms()
        if late > self.settings.timeout_ms:
            self._moved_on(late)
        if self.phase in (Phase.JOINING, Phase.MEMBER):
            match event:
                case Started():
                    self._start(now_ms)
                case Tick():
                    self._tick(now_ms)
                case Heard():
                    self._heard(event.address, event.message, now_ms)
                case View():
                    self._take_in(event.updates, now_ms)
                case Changed():
                    self.info = event.info
                    self._speak_up()
                case Leave():
                    self._leave()
        if self._gossip_at == NEVER and len(self.rumours):
            self._gossip_at = now_ms + self.settings.gossip_ms
        return self._out

    def next_ms(self) -> float:
        """When the next `Tick` is due; infinite: never."""
        if self.phase not in (Phase.JOINING, Phase.MEMBER):
            return NEVER
        at = [self._period_at, self._exchange_at, self._retry_at, self._join_at, self._gossip_at]
        if self.probe is not None and not self.probe.answered:
            at.append(self.probe.ask_others_at)
        at += [relay.end_at if relay.nacked else relay.nack_at for relay in self.relays.values()]
        at += [claim.end_at for claim in self.claims.values()]
        at += map(self._suspected_until, self.table.suspects.values())
        return min(at)

    def view(self) -> tuple[Update, ...]:
        """All that is known, oneself first: for an exchange over the link."""
        return (
            self._self(),
            *(Update(member.name, member.incarnation, member.state, member.info) for member in self.table),
        )

    def slow(self, ms: float) -> float:
        """A wait, by the local health."""
        return ms * (self.health + 1)

    # Beginning and end

    def _start(self, now: float) -> None:
        settings = self.settings
        self._period_at = now + self.chance.random() * settings.interval_ms
        self._exchange_at = now + self.chance.random() * settings.exchange_ms
        self._retry_at = now + settings.retry_ms
        self._join_at = now
        self._join(now)

    def _leave(self) -> None:
        gone = Update(self.name, self.incarnation, State.LEFT)
        here = self.table.here()
        self.chance.shuffle(here)
        for member in here[: self.settings.copies(self.table.size())]:
            self._number += 1
            self._send(member.info.address, Ping(self.name, self._number, member.name, (gone,)))
        self._enter(Phase.LEFT, "it leaves")

    def _enter(self, phase: Phase, why: str) -> None:
        if phase is not self.phase:
            self.phase = phase
            self._out.append(Moved(phase, why))

    def _moved_on(self, late: float) -> None:
        """Guards the others against being buried for this agent's own standing still."""
        self.stood_still_ms += late
        self._period_at += late
        self._exchange_at += late
        self._retry_at += late
        self._join_at += late
        self._gossip_at += late
        if self.probe is not None:
            self.probe.ask_others_at += late
        for relay in self.relays.values():
            relay.nack_at, relay.end_at = relay.nack_at + late, relay.end_at + late
        for claim in self.claims.values():
            claim.end_at += late
        for member in self.table.suspects.values():
            member.changed_at += late
        self._worse(1)

    # Time

    def _tick(self, now: float) -> None:
        for member in list(self.table.suspects.values()):
            if self._suspected_until(member) <= now:
                self._apply(Update(member.name, member.incarnation, State.DEAD), now)
        for number, relay in list(self.relays.items()):
            if relay.end_at <= now:
                del self.relays[number]
            elif relay.nack_at <= now and not relay.nacked:
                relay.nacked = True
                self._gossip(relay.address, Nack(self.name, relay.number))
        self._claims_over(now)
        if self.probe is not None and not self.probe.answered and self.probe.ask_others_at <= now:
            self._ask_others(self.probe)
        if self._period_at <= now:
            self._period(now)
        if self._gossip_at <= now:
            self._go_round(now)
        if self._join_at <= now:
            self._join(now)
        if self._exchange_at <= now:
            self._exchange_at = now + self.settings.exchange_ms
            here = [member for member in self.table if member.state is State.ALIVE]
            if here:
                self._out.append(Exchange(self.chance.choice(here).name))
        if self._retry_at <= now:
            self._retry(now)

    def _suspected_until(self, member: Member) -> float:
        confirmed = max(0, len(member.suspected_by) - 1)
        return member.changed_at + self.settings.suspicion_ms(self.table.size(), confirmed)

    def _period(self, now: float) -> None:
        """The end of one protocol period, the beginning of the next."""
        probe, self.probe = self.probe, None
        if probe is not None and not probe.answered:
            # Nobody's word for it but one's own: a helper that has not even said no speaks against oneself.
            self._worse(probe.asked - len(probe.nacks) if probe.asked else 1)
            member = self.table.members.get(probe.name)
            if member is not None and member.state <= State.SUSPECT:
                self._apply(Update(member.name, member.incarnation, State.SUSPECT, by=self.name), now)
        self._period_at = now + self.slow(self.settings.interval_ms)
        for gone in self.table.forget(now - self.settings.forget_ms):
            self._out.append(Told(gone.name, gone.incarnation, gone.state, gone.info))
        target = self._next_target()
        if target is not None:
            self._number += 1
            self.probe = Probe(target.name, self._number, now + self.slow(self.settings.timeout_ms))
            self._gossip(target.info.address, Ping(self.name, self._number, target.name), target)

    def _next_target(self) -> Member | None:
        """Each in turn, in an order drawn anew every round (SWIM, 4.3: a bounded time to detection)."""
        for _ in range(2):
            while self._order:
                member = self.table.members.get(self._order.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self._order = sorted(member.name for member in self.table.here())
            self.chance.shuffle(self._order)
        return None

    def _ask_others(self, probe: Probe) -> None:
        probe.ask_others_at = NEVER
        member = self.table.members.get(probe.name)
        if member is None:
            return
        others = [other for other in self.table if other.state is State.ALIVE and other.name != probe.name]
        for helper in self.chance.sample(others, min(self.settings.helpers, len(others))):
            probe.asked += 1
            self._gossip(
                helper.info.address,
                PingReq(self.name, probe.number, member.name, member.info.address),
                helper,
            )

    def _go_round(self, now: float) -> None:
        """Passes words on to a few, apart from the probes: these slow down with the local health."""
        here = self.table.here()
        for member in self.chance.sample(here, min(self.settings.gossip_to, len(here))):
            if len(self.rumours):
                self._gossip(member.info.address, Gossip(self.name), member)
        self._gossip_at = now + self.settings.gossip_ms if len(self.rumours) and here else NEVER

    def _retry(self, now: float) -> None:
        """Guards against a cut that heals and is never noticed: the dead are called, and seeds unheard of."""
        self._retry_at = now + self.settings.retry_ms
        dead = [member for member in self.table if member.state is State.DEAD]
        if dead:
            member = self.chance.choice(dead)
            self._number += 1
            self._gossip(member.info.address, Ping(self.name, self._number, member.name), member)
        members = {member.info.address for member in self.table.here()}
        for seed in self.seeds:
            if seed not in members:
                self._send(seed, Join(self.name, self.incarnation, self.info, self.follows))

    # Local health (Lifeguard, 4.1)

    def _worse(self, by: int) -> None:
        self.health = min(self.settings.health_most, self.health + by)

    def _better(self) -> None:
        self.health = max(0, self.health - 1)

    # What is heard

    def _heard(self, address: str, message: Message, now: float) -> None:
        match message:
            case Ping():
                self._take_in(message.updates, now)
                if message.target == self.name:
                    self._gossip(
                        address,
                        Ack(self.name, message.number, self.info.life),
                        self.table.members.get(message.sender),
                    )
            case Ack():
                self._take_in(message.updates, now)
                self._answered(message)
            case PingReq():
                self._take_in(message.updates, now)
                self._relay(address, message, now)
            case Nack():
                self._take_in(message.updates, now)
                if self.probe is not None and self.probe.number == message.number:
                    self.probe.nacks.add(message.sender)
            case Gossip():
                self._take_in(message.updates, now)
            case Join():
                self._asked_to_join(address, message, now)
            case Welcome():
                if message.life == self.info.life:
                    self._take_in(message.updates, now)
                    if self.phase is Phase.JOINING:
                        self._join_at = NEVER
                        self._enter(Phase.MEMBER, f"taken in by {message.sender}")
                        self._out.append(Exchange(message.sender))
            case Refused():
                # Only while it joins: a member is not sent away by a datagram that comes late.
                if message.life == self.info.life and self.phase is Phase.JOINING:
                    self._enter(Phase.REFUSED, f"another {self.name} answers at {message.address}")

    def _answered(self, message: Ack) -> None:
        probe = self.probe
        if probe is not None and probe.number == message.number and probe.name == message.sender:
            member = self.table.members.get(probe.name)
            if member is not None and member.info.life == message.life and not probe.answered:
                probe.answered = True
                self._better()
        elif (relay := self.relays.pop(message.number, None)) is not None:
            self._gossip(relay.address, Ack(message.sender, relay.number, message.life))
        else:
            self._claim_answered(message)

    def _relay(self, address: str, message: PingReq, now: float) -> None:
        if len(self.relays) < RELAYS_MOST and message.target != self.name:
            self._number += 1
            timeout = self.settings.timeout_ms
            self.relays[self._number] = Relay(address, message.number, now + 0.8 * timeout, now + 4 * timeout)
            self._gossip(
                message.address,
                Ping(self.name, self._number, message.target),
                self.table.members.get(message.target),
            )

    # The view

    def _take_in(self, updates: Iterable[Update], now: float) -> None:
        for update in updates:
            if self.phase not in (Phase.JOINING, Phase.MEMBER):
                return
            if update.name == self.name:
                self._about_me(update)
            else:
                self._apply(update, now)

    def _about_me(self, update: Update) -> None:
        if update.info is not None and update.info.life != self.info.life:
            if update.state is State.ALIVE and update.incarnation > self.incarnation:
                self._enter(Phase.FOLLOWED, f"a later process of this name is at {update.info.address}")
            elif update.state is State.ALIVE:
                self._speak_up()
            return
        if update.state is not State.ALIVE and update.incarnation >= self.incarnation:
            self.incarnation = update.incarnation
            self._refute()

    def _refute(self) -> None:
        """Alive after all (SWIM, 4.2); to have been suspected speaks against one's own health as well."""
        self._worse(1)
        self._speak_up()

    def _speak_up(self) -> None:
        self.incarnation += 1
        self.rumours.add(self._self())

    def _self(self) -> Update:
        return Update(self.name, self.incarnation, State.ALIVE, self.info)

    def _apply(self, update: Update, now: float) -> None:
        """Takes a word in, and passes it on if it says something new."""
        before = self.table.members.get(update.name)
        if (
            before is not None
            and update.state is State.SUSPECT
            and before.state is State.SUSPECT
            and update.incarnation == before.incarnation
        ):
            self._confirmed(before, update)
            return
        changed = self.table.apply(update, now)
        if changed is None:
            return
        if changed.state is State.SUSPECT and update.by:
            changed.suspected_by.add(update.by)
        self.rumours.add(changed.update(update.by))
        self._out.append(Told(changed.name, changed.incarnation, changed.state, changed.info))

    def _confirmed(self, member: Member, update: Update) -> None:
        """Another one suspects it too: its time is shorter, and the word goes on (Lifeguard, 4.2)."""
        if (
            update.by
            and update.by not in member.suspected_by
            and len(member.suspected_by) <= self.settings.confirmations
        ):
            member.suspected_by.add(update.by)
            self.rumours.add(member.update(update.by))

    # Sending

    def _send(self, address: str, message: Message) -> None:
        self._out.append(Send(address, message))

    def _gossip(
        self, address: str, message: Ping | Ack | PingReq | Nack | Gossip, to: Member | None = None
    ) -> None:
        """Sends with as many words as fit; who is thought suspect or dead hears that first."""
        first = None
        if to is not None and to.state in (State.SUSPECT, State.DEAD):
            first = Update(to.name, to.incarnation, to.state)
        room = self.settings.datagram_bytes - len(messages.encode(message))
        taken = self.rumours.take(room, self.settings.copies(self.table.size()), first)
        self._send(address, msgspec.structs.replace(message, updates=taken))

    def snapshot(self) -> dict[str, object]:
        """Plain data for the door and for records."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "phase": self.phase.value,
            "health": self.health,
            "stood_still_ms": round(self.stood_still_ms),
            "members": [
                {
                    "name": member.name,
                    "incarnation": member.incarnation,
                    "state": member.state.name.lower(),
                    **msgspec.structs.asdict(member.info),
                }
                for member in sorted(self.table, key=lambda member: member.name)
            ],
        }
