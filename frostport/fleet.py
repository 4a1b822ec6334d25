"""The fleet's part of an agent: membership and the agreed log, joined to wires, store and door. No decisions.

Imported only where the configuration has `fleet`. Its clock is the machine's monotonic one: nothing that is
settled between machines rests on the time of day.
"""

from __future__ import annotations

import logging
import random
import secrets
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from frostport.agreement import events as agreed
from frostport.agreement.applying import Applying
from frostport.agreement.log import META, BadLogError
from frostport.agreement.machine import Machine, Note
from frostport.agreement.messages import Message as RaftMessage
from frostport.agreement.messages import Meta, VoterChange
from frostport.agreement.raft import Raft
from frostport.agreement.settings import Settings as RaftSettings
from frostport.config_fleet import FleetConfig
from frostport.core.clock import MonotonicClock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.membership import events as seen
from frostport.membership.messages import Info, Message, State, Update
from frostport.membership.settings import Settings as SwimSettings
from frostport.membership.swim import Swim
from frostport.net.gossip import DatagramCodec, Gossip
from frostport.net.link import Connection, Link
from frostport.net.operator import Operation, OperatorError
from frostport.net.peers import split
from frostport.observe.record import FileRecord, NoRecord, Record
from frostport.pump import Pump
from frostport.store import committer
from frostport.store.committer import Committer, ThreadWorker
from frostport.store.engine import Engine, Limits
from frostport.store.errors import StoreError
from frostport.store.files import DiskFolder
from frostport.work import Work

log = logging.getLogger("frostport.fleet")

RAFT, VIEW, ANSWER = "raft", "view", "view-back"
WHOLE = "whole"  # the key of a mark on the disk
APPLIED_A_TURN = 100  # entries: some 3 ms
NEVER = float("inf")
_raft: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)
_view = msgspec.msgpack.Decoder(tuple[Update, ...])
_encoder = msgspec.msgpack.Encoder()


class Fleet:
    """Built from its configuration; `start`, `stop`, `snapshot`."""

    def __init__(
        self, config: FleetConfig, reactor: Any, version: str, follows: bool, refused: Callable[[str], None]
    ) -> None:
        """`follows`: an upgrade; `refused`: another process of this name is alive. Raises StoreError."""
        self.config, self.reactor, self.refused = config, reactor, refused
        self.clock, self.deadlines = MonotonicClock(), Deadlines()
        self.pump = Pump(reactor, self.clock, self.deadlines)
        chance = random.Random(secrets.randbits(64))
        incarnation = int(time.time() * 1000.0)
        self.origin = f"{config.agent}/{incarnation:x}"
        info = Info(config.gossip, secrets.randbits(60), config.zone, "starting", version, config.link)
        self.swim = Swim(config.agent, info, incarnation, config.seeds, SwimSettings(), chance, follows)
        try:
            self.engine = Engine.open(DiskFolder(config.path), Limits())
        except OSError as problem:
            raise StoreError(f"{problem.filename or config.path}: {problem.strerror or problem}") from None
        recovered = self.engine.take_recovered()
        self.whole = WHOLE in recovered  # its log has once been read as far as the leader's
        found = {key: value for key, value in recovered.items() if key.startswith("raft/")}
        try:
            disk = (
                msgspec.msgpack.decode(found[META], type=Meta).disk if META in found else secrets.randbits(60)
            )
            self.raft = Raft(
                config.agent, disk, config.voters, RaftSettings(), chance, found, self.clock.now()
            )
            self.machine = Machine()
            self.work = Work(self, found)
            self.applying = Applying(self.machine, self.raft.log.base.index, self.raft.log.snapshot)
        except (BadLogError, msgspec.MsgspecError) as problem:
            self.engine.close()
            raise StoreError(f"{config.path}: the agreed log: {problem}") from None
        self.first_records = [] if META in found else [(META, _encoder.encode(Meta(0, "", disk)))]
        self.record: Record = FileRecord(config.record, self._stamp) if config.record else NoRecord()
        self.gossip = Gossip(DatagramCodec(config.fleet, config.key), self._heard, self.clock, config.routes)
        self.link = Link(
            config.fleet,
            config.agent,
            incarnation,
            self.clock,
            self.deadlines,
            self._connect,
            self._address,
            self._frame,
            chance,
        )
        self.committer: Committer
        self.unsure: list[agreed.Output] = []  # what rests on records that a failing disk may not have
        self.number = 0
        self.reads: dict[str, Callable[[], None]] = {}
        self.asked: dict[str, float] = {}  # commands and reads of this life that are under way: since when
        self.parts: dict[str, Callable[[str, bytes], None]] = {}  # who else hears frames, by their kind
        self.watchers: list[Callable[[], None]] = []  # who hears of each change of the membership
        self.ports: list[Any] = []
        self._timers: dict[str, Deadline] = {}

    # Beginning and end

    def start(self) -> None:
        """Opens its addresses. Raises what binding raises."""
        self.committer = Committer(
            self.engine, ThreadWorker(self.reactor.callFromThread), self.clock, self.deadlines
        )
        self.committer.on_state_change = self._store_changed
        self.committer.write(self.first_records)
        host, port = split(self.config.gossip)
        self.ports.append(self.reactor.listenUDP(port, self.gossip, interface=host))
        host, port = split(self.config.link)
        self.ports.append(self.reactor.listenTCP(port, self.link, interface=host))
        self.record.event("started", voter=self.raft.voter(), last=self.raft.log.last_index)
        self._swim(seen.Started())
        self._raft_wait()
        self.work.start()

    def stop(self) -> None:
        self._swim(seen.Leave())
        self.link.stop()
        for port in self.ports:
            port.stopListening()
        for timer in self._timers.values():
            timer.cancel()
        self.committer.close()
        self.record.event("stopped")
        self.record.close()

    def phase(self, phase: str) -> None:
        """The agent's own phase: all members hear of it."""
        self._swim(seen.InfoChanged(msgspec.structs.replace(self.swim.info, phase=phase)))

    def snapshot(self) -> dict[str, Any]:
        return {
            "membership": self.swim.snapshot(),
            "agreed": self.raft.snapshot(),
            "applied": self.machine.count,
            "digest": self.machine.digest,
            "gossip": {
                "sent": self.gossip.sent,
                "received": self.gossip.received,
                "bytes": self.gossip.sent_bytes,
                "refused": self.gossip.refused,
            },
            "link": {
                "open": len(self.link.connections),
                "bytes": self.link.sent_bytes,
                "refused": self.link.refused,
            },
        }

    def _stamp(self) -> dict[str, Any]:
        return {
            "agent": self.config.agent,
            "incarnation": self.swim.incarnation,
            "term": self.raft.term,
            "mono_ms": round(self.clock.now(), 1),
            "unix_ms": round(time.time() * 1000.0),
        }

    def _timer(self, name: str, at: float, do: Callable[[], None]) -> None:
        if (before := self._timers.pop(name, None)) is not None:
            before.cancel()
        if at < NEVER:
            self._timers[name] = self.deadlines.set(at, do)

    # Membership

    def _heard(self, address: str, message: Message) -> None:
        self._swim(seen.DatagramReceived(address, message))

    def _swim(self, event: seen.Event) -> None:
        for action in self.swim.handle(event, self.clock.now()):
            match action:
                case seen.Send():
                    self.gossip.send(action.address, action.message)
                case seen.ExchangeViews():
                    self.link.send(action.name, VIEW, _encoder.encode(self.swim.view()))
                case seen.MemberChanged():
                    self.record.event(
                        "member",
                        member=action.name,
                        state=action.state.name.lower(),
                        of=action.incarnation,
                        phase=action.info.phase,
                    )
                    for watcher in self.watchers:
                        watcher()
                    self._raft(
                        agreed.Members(
                            tuple([self.config.agent, *(member.name for member in self.swim.table.active())])
                        )
                    )
                case seen.PhaseChanged():
                    log.warning("fleet: %s: %s", action.phase.value, action.why)
                    self.record.event("moved", phase=action.phase.value, why=action.why)
                    if action.phase is seen.Phase.REFUSED:
                        self.refused(action.why)
        self._timer("swim", self.swim.next_ms(), lambda: self._swim(seen.Tick()))

    # The link

    def _address(self, name: str) -> str:
        member = self.swim.table.members.get(name)
        return member.info.link if member is not None and member.state < State.LEFT else ""

    def _connect(self, address: str, connection: Connection) -> Any:
        host, port = split(self.config.routes.get(address, address))
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=3600)
        return endpoint.connect(Factory.forProtocol(lambda: connection))

    def _frame(self, sender: str, kind: str, body: bytes) -> None:
        try:
            if kind == RAFT:
                self._raft(agreed.Heard(sender, _raft.decode(body)))
            elif kind in (VIEW, ANSWER):
                if kind == VIEW:
                    self.link.send(sender, ANSWER, _encoder.encode(self.swim.view()))
                self._swim(seen.ViewReceived(_view.decode(body)))
            elif (part := self.parts.get(kind)) is not None:
                part(sender, body)
        except msgspec.MsgspecError as problem:
            self.link.complaints.say(self.clock.now(), sender, f"{kind}: {problem}")

    # The agreed log

    def _raft(self, event: agreed.Event) -> None:
        """Guards what was promised: while the store can't be trusted, this agent takes no part."""
        if hasattr(self, "committer") and self.committer.state is committer.State.OPEN:
            out = self.raft.handle(event, self.clock.now())
            self.committer.write(out.save, lambda: self._carry_out(out))
            self._raft_wait()

    def _raft_wait(self) -> None:
        self._timer("raft", self.raft.next_ms(), lambda: self._raft(agreed.Tick()))

    def _carry_out(self, out: agreed.Output) -> None:
        """What follows, now that it is durable; else once the disk has it after all."""
        if self.committer.state is not committer.State.OPEN or self.unsure:
            self.unsure.append(out)
            return
        self._follow(out)

    def _follow(self, out: agreed.Output) -> None:
        for to, message in out.send:
            self.link.send(to, RAFT, _encoder.encode(message))
        for what, fields in out.notes:
            self.record.event(what, **fields)
        if out.install is not None:
            self.applying.install(out.install[0].index, out.install[1])
            for id in [id for id in self.asked if self.machine.has(id)]:
                self._done(id)
        self.applying.add(out.apply, out.reads)
        if "apply" not in self._timers:
            self._apply()

    def _apply(self) -> None:
        """A part of what is committed, the rest in later turns: an agent that catches up serves meanwhile."""
        before = self.applying.held
        done = self.applying.step(APPLIED_A_TURN)
        if ids := {str(index): id for id, index in done if index >= 0}:
            # One line a turn. Guards the record against a long catch-up: a line an entry filled its queue,
            # where lines are lost, and its files, where they push out what came before.
            self.record.event("applied", ids=ids, digest=self.machine.digest)
        for id, _ in done:
            if (then := self.reads.pop(id, None)) is not None:
                then()
            self._done(id)
        if self.applying.held not in ("", before):
            log.error("fleet: applied no further than %d: %s", self.applying.index, self.applying.held)
            self.record.event("held", why=self.applying.held)
        more = self.applying.waiting and not self.applying.held
        self._timer("apply", self.clock.now() if more else NEVER, self._apply)
        if not more and self.applying.index - self.raft.log.base.index >= self.config.compact_after:
            self._raft(agreed.Compact(self.applying.index, self.machine.snapshot()))

    def _done(self, id: str) -> None:
        since = self.asked.pop(id, None)
        if since is not None:
            self.record.event("acknowledged", id=id, after_ms=round(self.clock.now() - since, 2))

    def _store_changed(self, state: committer.State, why: str) -> None:
        self.record.event("store", state=state.value, why=why)
        log.error("fleet: the agreed log's store is %s: %s", state.value, why)
        if state is committer.State.OPEN:
            self.committer.write((), self._sure)  # after all that waited for the disk
            self._raft_wait()

    def _sure(self) -> None:
        if self.committer.state is committer.State.OPEN:
            unsure, self.unsure = self.unsure, []
            for out in unsure:
                self._follow(out)

    def propose(self, kind: str, version: int, command: msgspec.Struct) -> str:
        """A command for the agreed log; its id. It is acknowledged, in the record, once applied here."""
        self.number += 1
        id = f"{self.origin}#{self.number}"
        if len(self.asked) >= self.raft.settings.pending:
            raise OperatorError("too many commands under way")
        self.asked[id] = self.clock.now()
        self.record.event("asked", id=id)
        self._raft(agreed.Propose(id, kind, version, _encoder.encode(command)))
        return id

    def read_whole(self) -> None:
        """From now on its disk holds all that it will ever have confirmed."""
        if not self.whole:
            self.whole = True
            self.committer.write([(WHOLE, b"")])

    def read(self, id: str, then: Callable[[], None]) -> None:
        """Goes on once this agent has applied all that was committed when it asked. The same `id` again asks
        anew."""
        self.reads[id] = then
        self._raft(agreed.Read(id))

    # The door

    def operations(self) -> Mapping[str, Operation]:
        return {
            "members": self._members,
            "agreed": self._agreed,
            "agreed-log": self._log,
            "note": self._note,
            "add-voter": self._add_voter,
            "remove-voter": self._remove_voter,
            **self.work.operations(),
        }

    def _members(self, _: str) -> list[str]:
        swim = self.swim
        own = f"{swim.name} {swim.phase.value} incarnation={swim.incarnation} health={swim.health}"
        return [
            f"OK {swim.table.size()} members; here {own}",
            *(
                f"{member.name} {member.state.name.lower()} incarnation={member.incarnation} "
                f"zone={member.info.zone or '-'} phase={member.info.phase or '-'} link={member.info.link}"
                for member in sorted(swim.table, key=lambda member: member.name)
            ),
            "END",
        ]

    def _agreed(self, _: str) -> list[str]:
        told = self.raft.snapshot()
        return [
            f"OK term={told['term']} leader={told['leader'] or '-'} role={told['role']} "
            f"voter={'yes' if told['voter'] else 'no'} index={self.applying.index} "
            f"lag={self.raft.log.last_index - self.applying.index} count={self.machine.count} "
            f"digest={self.machine.digest or '-'} voters={','.join(self.raft.voters) or '-'}",
            *([f"HELD {self.applying.held}"] if self.applying.held else []),
        ]

    def _log(self, rest: str) -> list[str]:
        count = int(rest) if rest.strip().isdecimal() else 20
        return [
            "OK",
            *(
                f"{entry.index} term={entry.term} {entry.kind or '-'} {entry.id or '-'}"
                for entry in self.raft.log.entries[-min(count, 1000) :]
                if entry.index <= self.applying.index
            ),
            "END",
        ]

    def _note(self, rest: str) -> list[str]:
        if not rest.strip():
            raise OperatorError("no text")
        return [f"OK {self.propose('note', 1, Note(rest.strip()))}"]

    def _add_voter(self, rest: str) -> list[str]:
        return self._change(rest, True)

    def _remove_voter(self, rest: str) -> list[str]:
        return self._change(rest, False)

    def _change(self, rest: str, add: bool) -> list[str]:
        name = rest.strip()
        if not name or len(name.split()) != 1:
            raise OperatorError("no name")
        if add and not self._address(name) and name != self.config.agent:
            raise OperatorError(f"unknown agent {name[:30]!r}")
        return [f"OK {self.propose('voters', 1, VoterChange(name, add))}"]
