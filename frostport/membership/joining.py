"""Joining, and two processes of one name: the later is the agent, an unannounced one is refused."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from frostport.membership import messages
from frostport.membership.dissemination import size
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
CLAIMS_MOST = 16


@dataclass(slots=True)
class Claim:
    """A process that wants a name that a living member has: that one is asked first."""

    address: str
    join: Join
    end_at: float


class Joining:
    """The part of a member that asks to be taken in, and takes others in."""

    name: str
    info: Info
    incarnation: int
    follows: bool
    seeds: list[str]
    settings: Settings
    phase: Phase
    table: Table
    claims: dict[int, Claim]
    _join_at: float
    _number: int

    def slow(self, ms: float) -> float:
        raise NotImplementedError

    def _send(self, address: str, message: Message) -> None:
        raise NotImplementedError

    def _gossip(
        self, address: str, message: Ping | Ack | PingReq | Nack | Gossip, to: Member | None = None
    ) -> None:
        raise NotImplementedError

    def _enter(self, phase: Phase, why: str) -> None:
        raise NotImplementedError

    def _apply(self, update: Update, now: float) -> None:
        raise NotImplementedError

    def _self(self) -> Update:
        raise NotImplementedError

    def _join(self, now: float) -> None:
        self._join_at = NEVER
        if self.phase is Phase.JOINING and self.seeds:
            self._join_at = now + self.settings.join_ms
            for seed in self.seeds:
                self._send(seed, Join(self.name, self.incarnation, self.info, self.follows))

    def _asked_to_join(self, address: str, join: Join, now: float) -> None:
        if join.sender == self.name:
            if join.info.life == self.info.life:
                return
            if join.follows and join.incarnation > self.incarnation:
                self._send(address, Welcome(self.name, join.info.life, (self._self(),)))
                self._enter(Phase.FOLLOWED, f"followed by a later process at {join.info.address}")
            elif not join.follows:
                self._send(address, Refused(self.name, join.info.life, self.info.address))
            return
        known = self.table.members.get(join.sender)
        if (
            known is None
            or known.state >= State.DEAD
            or join.follows
            or known.info.life == join.info.life
            or known.info.address == join.info.address
        ):
            self._take(address, join, now)
        elif len(self.claims) < CLAIMS_MOST and all(
            claim.join.info.life != join.info.life for claim in self.claims.values()
        ):
            # A living process may have this name: it is asked before another one gets it.
            self._number += 1
            self.claims[self._number] = Claim(address, join, now + self.slow(self.settings.timeout_ms))
            self._gossip(known.info.address, Ping(self.name, self._number, known.name), known)

    def _take(self, address: str, join: Join, now: float) -> None:
        self._apply(Update(join.sender, join.incarnation, State.ALIVE, join.info), now)
        known = self.table.members.get(join.sender)
        told = [self._self()]
        if known is not None and known.info.life != join.info.life:
            # Lower than the life before, as after a clock set back: it hears of it, and goes above.
            told.append(Update(known.name, known.incarnation, State.DEAD))
        welcome = Welcome(self.name, join.info.life, tuple(told))
        room = self.settings.datagram_bytes - len(messages.encode(welcome))
        more = self._some(join.sender, room)
        self._send(address, msgspec.structs.replace(welcome, updates=(*told, *more)))
        if self.phase is Phase.JOINING:
            self._enter(Phase.MEMBER, f"{join.sender} has come")

    def _some(self, but: str, room: int = 0) -> tuple[Update, ...]:
        """Some members, as many as fit: the rest comes over the link."""
        found = []
        for member in self.table.here():
            update = Update(member.name, member.incarnation, State.ALIVE, member.info)
            if member.name != but and member.state is State.ALIVE and (needed := size(update)) <= room:
                found.append(update)
                room -= needed
        return tuple(found)

    def _claims_over(self, now: float) -> None:
        """Nobody has answered to a name: whoever wants it has it."""
        for number, claim in list(self.claims.items()):
            if claim.end_at <= now:
                del self.claims[number]
                self._take(claim.address, claim.join, now)

    def _claim_answered(self, message: Ack) -> None:
        claim = self.claims.get(message.number)
        if claim is not None and claim.join.sender == message.sender:
            member = self.table.members.get(message.sender)
            if member is not None and member.info.life == message.life:
                del self.claims[message.number]
                self._send(claim.address, Refused(self.name, claim.join.info.life, member.info.address))
