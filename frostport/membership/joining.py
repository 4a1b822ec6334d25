"""Joining, and conflicts between two processes of one name.

A process that supersedes the older one takes its name; any other is refused while the older one answers.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from frostport.membership import messages
from frostport.membership.dissemination import encoded_size
from frostport.membership.events import Phase
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
from frostport.membership.settings import Settings
from frostport.membership.table import Member, Table

NEVER = float("inf")
MAX_CLAIMS = 16


@dataclass(slots=True)
class NameClaim:
    """A Join for the name of a member thought alive, which is probed before the Join is decided."""

    address: str
    join: Join
    expires_at: float


class Joining:
    """Base of `Swim`: asks for admission, and decides on the Joins of others."""

    name: str
    info: Info
    incarnation: int
    supersedes: bool
    seeds: list[str]
    settings: Settings
    phase: Phase
    table: Table
    claims: dict[int, NameClaim]
    _next_join_at: float
    _sequence: int

    def scale_by_health(self, ms: float) -> float:
        raise NotImplementedError

    def _send(self, address: str, message: Message) -> None:
        raise NotImplementedError

    def _send_with_updates(
        self, address: str, message: Ping | Ack | PingReq | Nack | Gossip, to: Member | None = None
    ) -> None:
        raise NotImplementedError

    def _set_phase(self, phase: Phase, why: str) -> None:
        raise NotImplementedError

    def _apply_update(self, update: Update, now: float) -> None:
        raise NotImplementedError

    def _own_update(self) -> Update:
        raise NotImplementedError

    def _join(self, now: float) -> None:
        """Sends a Join to every seed, until a member has admitted this agent."""
        self._next_join_at = NEVER
        if self.phase is Phase.JOINING and self.seeds:
            self._next_join_at = now + self.settings.join_interval_ms
            for seed in self.seeds:
                self._send(seed, Join(self.name, self.incarnation, self.info, self.supersedes))

    def _join_received(self, address: str, join: Join, now: float) -> None:
        if join.sender == self.name:
            if join.info.life == self.info.life:
                return
            if join.supersedes and join.incarnation > self.incarnation:
                self._send(address, Welcome(self.name, join.info.life, (self._own_update(),)))
                self._set_phase(Phase.SUPERSEDED, f"followed by a later process at {join.info.address}")
            elif not join.supersedes:
                self._send(address, Refused(self.name, join.info.life, self.info.address))
            return
        known = self.table.members.get(join.sender)
        if (
            known is None
            or known.state >= State.DEAD
            or join.supersedes
            or known.info.life == join.info.life
            or known.info.address == join.info.address
        ):
            self._admit(address, join, now)
        elif len(self.claims) < MAX_CLAIMS and all(
            claim.join.info.life != join.info.life for claim in self.claims.values()
        ):
            # A living process may have this name: it is probed before another one gets it.
            self._sequence += 1
            self.claims[self._sequence] = NameClaim(
                address, join, now + self.scale_by_health(self.settings.probe_timeout_ms)
            )
            self._send_with_updates(known.info.address, Ping(self.name, self._sequence, known.name), known)

    def _admit(self, address: str, join: Join, now: float) -> None:
        self._apply_update(Update(join.sender, join.incarnation, State.ALIVE, join.info), now)
        known = self.table.members.get(join.sender)
        updates = [self._own_update()]
        if known is not None and known.info.life != join.info.life:
            # Its incarnation is lower than that of the process before, as after a clock was set back. The
            # update of the old incarnation makes it raise its own above that.
            updates.append(Update(known.name, known.incarnation, State.DEAD))
        welcome = Welcome(self.name, join.info.life, tuple(updates))
        room = self.settings.datagram_bytes - len(messages.encode(welcome))
        more = self._alive_updates(join.sender, room)
        self._send(address, msgspec.structs.replace(welcome, updates=(*updates, *more)))
        if self.phase is Phase.JOINING:
            self._set_phase(Phase.MEMBER, f"{join.sender} has come")

    def _alive_updates(self, excluded: str, room: int = 0) -> tuple[Update, ...]:
        """Updates of as many alive members as fit into `room` bytes; the others follow over the link."""
        found = []
        for member in self.table.active():
            update = Update(member.name, member.incarnation, State.ALIVE, member.info)
            if (
                member.name != excluded
                and member.state is State.ALIVE
                and (needed := encoded_size(update)) <= room
            ):
                found.append(update)
                room -= needed
        return tuple(found)

    def _admit_unanswered_claims(self, now: float) -> None:
        """Admits the Joins for a name whose member has not answered in time."""
        for sequence, claim in list(self.claims.items()):
            if claim.expires_at <= now:
                del self.claims[sequence]
                self._admit(claim.address, claim.join, now)

    def _refuse_claim(self, message: Ack) -> None:
        """Refuses a Join if the Ack shows that the member with the claimed name is alive."""
        claim = self.claims.get(message.sequence)
        if claim is not None and claim.join.sender == message.sender:
            member = self.table.members.get(message.sender)
            if member is not None and member.info.life == message.life:
                del self.claims[message.sequence]
                self._send(claim.address, Refused(self.name, claim.join.info.life, member.info.address))
