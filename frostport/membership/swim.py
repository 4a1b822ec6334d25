"""The membership protocol: SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018).

`handle(event, now_ms)` returns the actions for an event; `next_ms` says when a `Tick` is due. The object has
no clock, socket or source of randomness of its own: the caller passes a seeded generator.

- A member is probed directly, then through others. If it doesn't answer, it becomes suspect, and dead once
  its suspicion timeout has expired. Confirmations by others shorten the timeout (Lifeguard, 4.2).
- An agent whose own probes fail trusts itself less and waits longer (local health multiplier, Lifeguard 4.1).
- A message to a suspect or dead member carries that update first (buddy system, Lifeguard 4.3), so that it
  refutes.
- An agent whose process was paused shifts all its timers by the length of the pause, so that it doesn't
  declare others dead because of its own silence.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from frostport.membership import messages
from frostport.membership.dissemination import UpdateBuffer
from frostport.membership.events import (
    Action,
    DatagramReceived,
    Event,
    ExchangeViews,
    InfoChanged,
    Leave,
    MemberChanged,
    Phase,
    PhaseChanged,
    Send,
    Started,
    Tick,
    ViewReceived,
)
from frostport.membership.joining import Joining, NameClaim
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
from frostport.membership.probes import IndirectProbe, Probe
from frostport.membership.settings import Settings
from frostport.membership.table import Member, Table

NEVER = float("inf")
MAX_INDIRECT_PROBES = 64  # in progress for others


class Swim(Joining):
    """The protocol state of one agent."""

    def __init__(
        self,
        name: str,
        info: Info,
        incarnation: int,
        seeds: Iterable[str],
        settings: Settings,
        rng: random.Random,
        supersedes: bool = False,
    ) -> None:
        """`incarnation`: Unix time in ms at the start of the process; `seeds`: addresses that Joins are sent
        to; `supersedes`: an older process of this name may still answer."""
        self.name = name
        self.info = info
        self.incarnation = incarnation
        self.supersedes = supersedes
        self.seeds = [seed for seed in seeds if seed != info.address]
        self.settings = settings
        self.rng = rng
        self.phase = Phase.JOINING
        self.table = Table()
        self.pending_updates = UpdateBuffer()
        self.health = 0  # Lifeguard's local health multiplier, 0: healthy
        self.probe: Probe | None = None
        self.probes_for_others: dict[int, IndirectProbe] = {}
        self.claims: dict[int, NameClaim] = {}
        self._probe_order: list[str] = []
        self._sequence = 0
        self._actions: list[Action] = []
        self._next_period_at = self._next_exchange_at = self._next_reconnect_at = self._next_join_at = (
            self._next_gossip_at
        ) = NEVER
        self.paused_ms = 0.0  # total length of all pauses of the process

    # Interface

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Handles an event; returns the actions for it, in order."""
        self._actions = []
        pause_ms = now_ms - self.next_ms()
        if pause_ms > self.settings.probe_timeout_ms:
            self._shift_timers(pause_ms)
        if self.phase in (Phase.JOINING, Phase.MEMBER):
            match event:
                case Started():
                    self._start(now_ms)
                case Tick():
                    self._tick(now_ms)
                case DatagramReceived():
                    self._message_received(event.address, event.message, now_ms)
                case ViewReceived():
                    self._apply_updates(event.updates, now_ms)
                case InfoChanged():
                    self.info = event.info
                    self._raise_incarnation()
                case Leave():
                    self._leave()
        if self._next_gossip_at == NEVER and len(self.pending_updates):
            self._next_gossip_at = now_ms + self.settings.gossip_interval_ms
        return self._actions

    def next_ms(self) -> float:
        """When the next `Tick` is due; infinite if none is."""
        if self.phase not in (Phase.JOINING, Phase.MEMBER):
            return NEVER
        due = [
            self._next_period_at,
            self._next_exchange_at,
            self._next_reconnect_at,
            self._next_join_at,
            self._next_gossip_at,
        ]
        if self.probe is not None and not self.probe.acked:
            due.append(self.probe.indirect_at)
        due += [
            indirect.expires_at if indirect.nack_sent else indirect.nack_at
            for indirect in self.probes_for_others.values()
        ]
        due += [claim.expires_at for claim in self.claims.values()]
        due += map(self._suspicion_expires_at, self.table.suspects.values())
        return min(due)

    def view(self) -> tuple[Update, ...]:
        """The full view, this agent first, for an exchange over the link."""
        return (
            self._own_update(),
            *(Update(member.name, member.incarnation, member.state, member.info) for member in self.table),
        )

    def scale_by_health(self, ms: float) -> float:
        """A timeout or interval multiplied by the local health (Lifeguard, 4.1)."""
        return ms * (self.health + 1)

    # Start and leave

    def _start(self, now: float) -> None:
        settings = self.settings
        self._next_period_at = now + self.rng.random() * settings.protocol_period_ms
        self._next_exchange_at = now + self.rng.random() * settings.exchange_interval_ms
        self._next_reconnect_at = now + settings.reconnect_interval_ms
        self._next_join_at = now
        self._join(now)

    def _leave(self) -> None:
        left = Update(self.name, self.incarnation, State.LEFT)
        active = self.table.active()
        self.rng.shuffle(active)
        for member in active[: self.settings.max_sends(self.table.size())]:
            self._sequence += 1
            self._send(member.info.address, Ping(self.name, self._sequence, member.name, (left,)))
        self._set_phase(Phase.LEFT, "it leaves")

    def _set_phase(self, phase: Phase, why: str) -> None:
        if phase is not self.phase:
            self.phase = phase
            self._actions.append(PhaseChanged(phase, why))

    def _shift_timers(self, pause_ms: float) -> None:
        """Moves all timers after a pause of the process.

        Guards against declaring others dead for messages that this agent was not running to read."""
        self.paused_ms += pause_ms
        self._next_period_at += pause_ms
        self._next_exchange_at += pause_ms
        self._next_reconnect_at += pause_ms
        self._next_join_at += pause_ms
        self._next_gossip_at += pause_ms
        if self.probe is not None:
            self.probe.indirect_at += pause_ms
        for indirect in self.probes_for_others.values():
            indirect.nack_at += pause_ms
            indirect.expires_at += pause_ms
        for claim in self.claims.values():
            claim.expires_at += pause_ms
        for member in self.table.suspects.values():
            member.changed_at += pause_ms
        self._raise_health_multiplier(1)

    # Timers

    def _tick(self, now: float) -> None:
        for member in list(self.table.suspects.values()):
            if self._suspicion_expires_at(member) <= now:
                self._apply_update(Update(member.name, member.incarnation, State.DEAD), now)
        for sequence, indirect in list(self.probes_for_others.items()):
            if indirect.expires_at <= now:
                del self.probes_for_others[sequence]
            elif indirect.nack_at <= now and not indirect.nack_sent:
                indirect.nack_sent = True
                self._send_with_updates(
                    indirect.requester_address, Nack(self.name, indirect.requester_sequence)
                )
        self._admit_unanswered_claims(now)
        if self.probe is not None and not self.probe.acked and self.probe.indirect_at <= now:
            self._probe_indirectly(self.probe)
        if self._next_period_at <= now:
            self._begin_period(now)
        if self._next_gossip_at <= now:
            self._gossip_round(now)
        if self._next_join_at <= now:
            self._join(now)
        if self._next_exchange_at <= now:
            self._next_exchange_at = now + self.settings.exchange_interval_ms
            active = [member for member in self.table if member.state is State.ALIVE]
            if active:
                self._actions.append(ExchangeViews(self.rng.choice(active).name))
        if self._next_reconnect_at <= now:
            self._reconnect(now)

    def _suspicion_expires_at(self, member: Member) -> float:
        confirmed = max(0, len(member.suspected_by) - 1)
        return member.changed_at + self.settings.suspicion_timeout_ms(self.table.size(), confirmed)

    def _begin_period(self, now: float) -> None:
        """Ends a protocol period and begins the next one."""
        probe, self.probe = self.probe, None
        if probe is not None and not probe.acked:
            # Each member asked that sent no Nack suggests that this agent is the unhealthy one, and so does a
            # failed probe without any member to ask (Lifeguard, 4.1).
            self._raise_health_multiplier(probe.requested - len(probe.nacks) if probe.requested else 1)
            member = self.table.members.get(probe.target)
            if member is not None and member.state <= State.SUSPECT:
                self._apply_update(
                    Update(member.name, member.incarnation, State.SUSPECT, suspected_by=self.name), now
                )
        self._next_period_at = now + self.scale_by_health(self.settings.protocol_period_ms)
        for forgotten in self.table.forget(now - self.settings.forget_after_ms):
            self._actions.append(
                MemberChanged(forgotten.name, forgotten.incarnation, forgotten.state, forgotten.info)
            )
        target = self._next_target()
        if target is not None:
            self._sequence += 1
            self.probe = Probe(
                target.name, self._sequence, now + self.scale_by_health(self.settings.probe_timeout_ms)
            )
            self._send_with_updates(target.info.address, Ping(self.name, self._sequence, target.name), target)

    def _next_target(self) -> Member | None:
        """Round robin in an order shuffled each round, which bounds the time to detection (SWIM, 4.3)."""
        for _ in range(2):
            while self._probe_order:
                member = self.table.members.get(self._probe_order.pop())
                if member is not None and member.state <= State.SUSPECT:
                    return member
            self._probe_order = sorted(member.name for member in self.table.active())
            self.rng.shuffle(self._probe_order)
        return None

    def _probe_indirectly(self, probe: Probe) -> None:
        probe.indirect_at = NEVER
        member = self.table.members.get(probe.target)
        if member is None:
            return
        others = [other for other in self.table if other.state is State.ALIVE and other.name != probe.target]
        for helper in self.rng.sample(others, min(self.settings.indirect_probes, len(others))):
            probe.requested += 1
            self._send_with_updates(
                helper.info.address,
                PingReq(self.name, probe.sequence, member.name, member.info.address),
                helper,
            )

    def _gossip_round(self, now: float) -> None:
        """Sends pending updates to a few members, independent of the probes, which bad health delays."""
        active = self.table.active()
        for member in self.rng.sample(active, min(self.settings.gossip_fanout, len(active))):
            if len(self.pending_updates):
                self._send_with_updates(member.info.address, Gossip(self.name), member)
        self._next_gossip_at = (
            now + self.settings.gossip_interval_ms if len(self.pending_updates) and active else NEVER
        )

    def _reconnect(self, now: float) -> None:
        """Contacts a dead member, and each seed that is not an active member.

        Guards against a network partition that heals without either side noticing."""
        self._next_reconnect_at = now + self.settings.reconnect_interval_ms
        dead = [member for member in self.table if member.state is State.DEAD]
        if dead:
            member = self.rng.choice(dead)
            self._sequence += 1
            self._send_with_updates(member.info.address, Ping(self.name, self._sequence, member.name), member)
        members = {member.info.address for member in self.table.active()}
        for seed in self.seeds:
            if seed not in members:
                self._send(seed, Join(self.name, self.incarnation, self.info, self.supersedes))

    # Local health (Lifeguard, 4.1)

    def _raise_health_multiplier(self, by: int) -> None:
        self.health = min(self.settings.max_health, self.health + by)

    def _lower_health_multiplier(self) -> None:
        self.health = max(0, self.health - 1)

    # Messages

    def _message_received(self, address: str, message: Message, now: float) -> None:
        match message:
            case Ping():
                self._apply_updates(message.updates, now)
                if message.target == self.name:
                    self._send_with_updates(
                        address,
                        Ack(self.name, message.sequence, self.info.life),
                        self.table.members.get(message.sender),
                    )
            case Ack():
                self._apply_updates(message.updates, now)
                self._ack_received(message)
            case PingReq():
                self._apply_updates(message.updates, now)
                self._probe_for(address, message, now)
            case Nack():
                self._apply_updates(message.updates, now)
                if self.probe is not None and self.probe.sequence == message.sequence:
                    self.probe.nacks.add(message.sender)
            case Gossip():
                self._apply_updates(message.updates, now)
            case Join():
                self._join_received(address, message, now)
            case Welcome():
                if message.life == self.info.life:
                    self._apply_updates(message.updates, now)
                    if self.phase is Phase.JOINING:
                        self._next_join_at = NEVER
                        self._set_phase(Phase.MEMBER, f"taken in by {message.sender}")
                        self._actions.append(ExchangeViews(message.sender))
            case Refused():
                # Only while joining: a late datagram must not remove a member.
                if message.life == self.info.life and self.phase is Phase.JOINING:
                    self._set_phase(Phase.REFUSED, f"another {self.name} answers at {message.address}")

    def _ack_received(self, message: Ack) -> None:
        probe = self.probe
        if probe is not None and probe.sequence == message.sequence and probe.target == message.sender:
            member = self.table.members.get(probe.target)
            if member is not None and member.info.life == message.life and not probe.acked:
                probe.acked = True
                self._lower_health_multiplier()
        elif (indirect := self.probes_for_others.pop(message.sequence, None)) is not None:
            self._send_with_updates(
                indirect.requester_address, Ack(message.sender, indirect.requester_sequence, message.life)
            )
        else:
            self._refuse_claim(message)

    def _probe_for(self, address: str, message: PingReq, now: float) -> None:
        if len(self.probes_for_others) < MAX_INDIRECT_PROBES and message.target != self.name:
            self._sequence += 1
            # Lifeguard sends the Nack after 80 % of the probe timeout.
            timeout = self.settings.probe_timeout_ms
            self.probes_for_others[self._sequence] = IndirectProbe(
                address, message.sequence, now + 0.8 * timeout, now + 4 * timeout
            )
            self._send_with_updates(
                message.address,
                Ping(self.name, self._sequence, message.target),
                self.table.members.get(message.target),
            )

    # Updates

    def _apply_updates(self, updates: Iterable[Update], now: float) -> None:
        for update in updates:
            if self.phase not in (Phase.JOINING, Phase.MEMBER):
                return
            if update.name == self.name:
                self._own_state_received(update)
            else:
                self._apply_update(update, now)

    def _own_state_received(self, update: Update) -> None:
        if update.info is not None and update.info.life != self.info.life:
            if update.state is State.ALIVE and update.incarnation > self.incarnation:
                self._set_phase(Phase.SUPERSEDED, f"a later process of this name is at {update.info.address}")
            elif update.state is State.ALIVE:
                self._raise_incarnation()
            return
        if update.state is not State.ALIVE and update.incarnation >= self.incarnation:
            self.incarnation = update.incarnation
            self._refute()

    def _refute(self) -> None:
        """Refutes a suspicion or a death (SWIM, 4.2), which also counts against the local health."""
        self._raise_health_multiplier(1)
        self._raise_incarnation()

    def _raise_incarnation(self) -> None:
        self.incarnation += 1
        self.pending_updates.add(self._own_update())

    def _own_update(self) -> Update:
        return Update(self.name, self.incarnation, State.ALIVE, self.info)

    def _apply_update(self, update: Update, now: float) -> None:
        """Applies an update, and disseminates it if it is new."""
        before = self.table.members.get(update.name)
        if (
            before is not None
            and update.state is State.SUSPECT
            and before.state is State.SUSPECT
            and update.incarnation == before.incarnation
        ):
            self._confirm_suspicion(before, update)
            return
        changed = self.table.apply(update, now)
        if changed is None:
            return
        if changed.state is State.SUSPECT and update.suspected_by:
            changed.suspected_by.add(update.suspected_by)
        self.pending_updates.add(changed.update(update.suspected_by))
        self._actions.append(MemberChanged(changed.name, changed.incarnation, changed.state, changed.info))

    def _confirm_suspicion(self, member: Member, update: Update) -> None:
        """Another member suspects it too: shortens the timeout, disseminates the update (Lifeguard, 4.2)."""
        if (
            update.suspected_by
            and update.suspected_by not in member.suspected_by
            and len(member.suspected_by) <= self.settings.confirmations
        ):
            member.suspected_by.add(update.suspected_by)
            self.pending_updates.add(member.update(update.suspected_by))

    # Sending

    def _send(self, address: str, message: Message) -> None:
        self._actions.append(Send(address, message))

    def _send_with_updates(
        self, address: str, message: Ping | Ack | PingReq | Nack | Gossip, to: Member | None = None
    ) -> None:
        """Sends a message with as many updates as fit, for a suspect or dead receiver its own state first."""
        first = None
        if to is not None and to.state in (State.SUSPECT, State.DEAD):
            first = Update(to.name, to.incarnation, to.state)
        room = self.settings.datagram_bytes - len(messages.encode(message))
        taken = self.pending_updates.take(room, self.settings.max_sends(self.table.size()), first)
        self._send(address, msgspec.structs.replace(message, updates=taken))

    def snapshot(self) -> dict[str, object]:
        """JSON-compatible state for the operators' port and the record."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "phase": self.phase.value,
            "health": self.health,
            "stood_still_ms": round(self.paused_ms),
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
