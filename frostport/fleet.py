"""Connects membership (SWIM) and the agreed log (Raft) to network, store and operators' port.

The protocol decisions are in `membership` and `agreement`. Imported only if the configuration has `fleet`.
The clock is the machine's monotonic one: nothing that agents agree on depends on the time of day.
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

from frostport.agreement import events as raft_events
from frostport.agreement.applier import Applier
from frostport.agreement.log import META_KEY, BadLogError
from frostport.agreement.messages import Message as RaftMessage
from frostport.agreement.messages import PersistentState, VoterChange
from frostport.agreement.raft import Raft
from frostport.agreement.settings import RaftSettings
from frostport.agreement.state_machine import Note, StateMachine
from frostport.config_fleet import FleetConfig
from frostport.core.clock import MonotonicClock
from frostport.core.deadlines import Deadline, Deadlines
from frostport.deadline_runner import DeadlineRunner
from frostport.fleet_maintenance import FleetMaintenance
from frostport.membership import events as swim_events
from frostport.membership.messages import Info, Message, State, Update
from frostport.membership.settings import Settings as SwimSettings
from frostport.membership.swim import Swim
from frostport.net.gossip import DatagramCodec, Gossip
from frostport.net.link import Connection, Link
from frostport.net.operator import Operation, OperatorError
from frostport.net.peers import split
from frostport.observe.record import FileRecord, NullRecord, Record
from frostport.store import committer
from frostport.store.committer import Committer, ThreadWorker
from frostport.store.engine import Engine, Limits
from frostport.store.errors import StoreError
from frostport.store.files import DiskFolder

log = logging.getLogger("frostport.fleet")

FRAME_RAFT = "raft"
FRAME_VIEW = "view"
FRAME_VIEW_REPLY = "view-back"
CAUGHT_UP_KEY = "whole"  # key of the record which says that this agent has once caught up with the log
MAX_APPLIED_PER_ITERATION = 100  # entries; applying them takes about 3 ms
NEVER = float("inf")
_raft_decoder: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)
_view_decoder = msgspec.msgpack.Decoder(tuple[Update, ...])
_encoder = msgspec.msgpack.Encoder()


class Fleet:
    """The membership and the agreed log of one agent."""

    def __init__(
        self,
        config: FleetConfig,
        reactor: Any,
        version: str,
        is_upgrade: bool,
        on_refused: Callable[[str], None],
    ) -> None:
        """`is_upgrade`: this process takes over from one of the same name. `on_refused` is called with the
        reason if another process of this name is alive. Raises StoreError."""
        self.config = config
        self.reactor = reactor
        self.on_refused = on_refused
        self.clock = MonotonicClock()
        self.deadlines = Deadlines()
        self.deadline_runner = DeadlineRunner(reactor, self.clock, self.deadlines)
        rng = random.Random(secrets.randbits(64))
        incarnation = int(time.time() * 1000.0)
        self.origin = f"{config.agent}/{incarnation:x}"
        info = Info(config.gossip, secrets.randbits(60), config.zone, "starting", version, config.link)
        self.swim = Swim(config.agent, info, incarnation, config.seeds, SwimSettings(), rng, is_upgrade)
        try:
            self.engine = Engine.open(DiskFolder(config.path), Limits())
        except OSError as problem:
            raise StoreError(f"{problem.filename or config.path}: {problem.strerror or problem}") from None
        recovered = self.engine.take_recovered()
        self.caught_up = CAUGHT_UP_KEY in recovered  # the log has once been applied as far as the leader's
        records = {key: value for key, value in recovered.items() if key.startswith("raft/")}
        try:
            disk_id = (
                msgspec.msgpack.decode(records[META_KEY], type=PersistentState).disk_id
                if META_KEY in records
                else secrets.randbits(60)
            )
            self.raft = Raft(
                config.agent, disk_id, config.voters, RaftSettings(), rng, records, self.clock.now()
            )
            self.state_machine = StateMachine()
            self.maintenance = FleetMaintenance(self, records)
            self.applier = Applier(
                self.state_machine, self.raft.log.snapshot_meta.index, self.raft.log.snapshot
            )
        except (BadLogError, msgspec.MsgspecError) as problem:
            self.engine.close()
            raise StoreError(f"{config.path}: can't recover the agreed log: {problem}") from None
        self.initial_records = (
            [] if META_KEY in records else [(META_KEY, _encoder.encode(PersistentState(0, "", disk_id)))]
        )
        self.record: Record = FileRecord(config.record, self._stamp) if config.record else NullRecord()
        self.gossip = Gossip(
            DatagramCodec(config.fleet, config.key), self._gossip_received, self.clock, config.routes
        )
        self.link = Link(
            config.fleet,
            config.agent,
            incarnation,
            self.clock,
            self.deadlines,
            self._connect,
            self._link_address,
            self._frame_received,
            rng,
        )
        self.committer: Committer
        # Outputs that depend on records of which it is not known whether a failing disk holds them.
        self.deferred_outputs: list[raft_events.RaftOutput] = []
        self.last_command_number = 0
        self.read_callbacks: dict[str, Callable[[], None]] = {}
        self.in_flight: dict[str, float] = {}  # this process's unfinished commands: when they were proposed
        self.frame_handlers: dict[str, Callable[[str, bytes], None]] = {}  # other receivers, by kind of frame
        self.membership_listeners: list[Callable[[], None]] = []  # called on each change of the membership
        self.ports: list[Any] = []
        self._timers: dict[str, Deadline] = {}

    # Start and stop

    def start(self) -> None:
        """Opens the store's writer and the listening ports. Raises what binding a port raises."""
        self.committer = Committer(
            self.engine, ThreadWorker(self.reactor.callFromThread), self.clock, self.deadlines
        )
        self.committer.on_state_change = self._store_changed
        self.committer.write(self.initial_records)
        host, port = split(self.config.gossip)
        self.ports.append(self.reactor.listenUDP(port, self.gossip, interface=host))
        host, port = split(self.config.link)
        self.ports.append(self.reactor.listenTCP(port, self.link, interface=host))
        self.record.event("started", voter=self.raft.is_voter(), last=self.raft.log.last_index)
        self._handle_swim(swim_events.Started())
        self._schedule_raft_tick()
        self.maintenance.start()

    def stop(self) -> None:
        """Announces that this agent leaves, and closes the ports, the store and the event record."""
        self._handle_swim(swim_events.Leave())
        self.link.stop()
        for port in self.ports:
            port.stopListening()
        for timer in self._timers.values():
            timer.cancel()
        self.committer.close()
        self.record.event("stopped")
        self.record.close()

    def announce_phase(self, phase: str) -> None:
        """Announces the agent's own phase to all members."""
        self._handle_swim(swim_events.InfoChanged(msgspec.structs.replace(self.swim.info, phase=phase)))

    def snapshot(self) -> dict[str, Any]:
        """Returns the state and counters as JSON-compatible data."""
        return {
            "membership": self.swim.snapshot(),
            "agreed": self.raft.status(),
            "applied": self.state_machine.applied_count,
            "digest": self.state_machine.digest,
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

    def _set_timer(self, name: str, at: float, callback: Callable[[], None]) -> None:
        if (previous := self._timers.pop(name, None)) is not None:
            previous.cancel()
        if at < NEVER:
            self._timers[name] = self.deadlines.set(at, callback)

    # Membership

    def _gossip_received(self, address: str, message: Message) -> None:
        self._handle_swim(swim_events.DatagramReceived(address, message))

    def _handle_swim(self, event: swim_events.Event) -> None:
        for action in self.swim.handle(event, self.clock.now()):
            match action:
                case swim_events.Send():
                    self.gossip.send(action.address, action.message)
                case swim_events.ExchangeViews():
                    self.link.send(action.name, FRAME_VIEW, _encoder.encode(self.swim.view()))
                case swim_events.MemberChanged():
                    self.record.event(
                        "member",
                        member=action.name,
                        state=action.state.name.lower(),
                        of=action.incarnation,
                        phase=action.info.phase,
                    )
                    for listener in self.membership_listeners:
                        listener()
                    self._handle_raft(
                        raft_events.MembersChanged(
                            tuple([self.config.agent, *(member.name for member in self.swim.table.active())])
                        )
                    )
                case swim_events.PhaseChanged():
                    log.warning("fleet: membership phase is now %s: %s", action.phase.value, action.why)
                    self.record.event("moved", phase=action.phase.value, why=action.why)
                    if action.phase is swim_events.Phase.REFUSED:
                        self.on_refused(action.why)
        self._set_timer("swim", self.swim.next_ms(), lambda: self._handle_swim(swim_events.Tick()))

    # The link

    def _link_address(self, name: str) -> str:
        member = self.swim.table.members.get(name)
        return member.info.link if member is not None and member.state < State.LEFT else ""

    def _connect(self, address: str, connection: Connection) -> Any:
        host, port = split(self.config.routes.get(address, address))
        endpoint: Any = TCP4ClientEndpoint(self.reactor, host, port, timeout=3600)
        return endpoint.connect(Factory.forProtocol(lambda: connection))

    def _frame_received(self, sender: str, kind: str, body: bytes) -> None:
        try:
            if kind == FRAME_RAFT:
                self._handle_raft(raft_events.Received(sender, _raft_decoder.decode(body)))
            elif kind in (FRAME_VIEW, FRAME_VIEW_REPLY):
                if kind == FRAME_VIEW:
                    self.link.send(sender, FRAME_VIEW_REPLY, _encoder.encode(self.swim.view()))
                self._handle_swim(swim_events.ViewReceived(_view_decoder.decode(body)))
            elif (handler := self.frame_handlers.get(kind)) is not None:
                handler(sender, body)
        except msgspec.MsgspecError as problem:
            self.link.limited_log.warn(
                self.clock.now(), sender, f"frame of kind {kind!r} dropped, can't be decoded: {problem}"
            )

    # The agreed log

    def _handle_raft(self, event: raft_events.Event) -> None:
        """Passes an event to Raft, and sends the results once they are durable. While the store is failed or
        stalled the event is dropped, because votes and acknowledgements could not be made durable."""
        if hasattr(self, "committer") and self.committer.state is committer.State.OPEN:
            out = self.raft.handle(event, self.clock.now())
            self.committer.write(out.writes, lambda: self._perform_when_durable(out))
            self._schedule_raft_tick()

    def _schedule_raft_tick(self) -> None:
        self._set_timer("raft", self.raft.next_ms(), lambda: self._handle_raft(raft_events.Tick()))

    def _perform_when_durable(self, out: raft_events.RaftOutput) -> None:
        """Called when the writes of `out` are done; if the store is not open then, `out` is deferred until it
        is open again."""
        if self.committer.state is not committer.State.OPEN or self.deferred_outputs:
            self.deferred_outputs.append(out)
            return
        self._perform(out)

    def _perform(self, out: raft_events.RaftOutput) -> None:
        for receiver, message in out.messages:
            self.link.send(receiver, FRAME_RAFT, _encoder.encode(message))
        for name, fields in out.record_events:
            self.record.event(name, **fields)
        if out.installed_snapshot is not None:
            self.applier.install(out.installed_snapshot[0].index, out.installed_snapshot[1])
            for id in [id for id in self.in_flight if self.state_machine.is_applied(id)]:
                self._finish_command(id)
        self.applier.add(out.committed, out.ready_reads)
        if "apply" not in self._timers:
            self._apply_batch()

    def _apply_batch(self) -> None:
        """Applies a bounded batch and the rest in later event-loop iterations: an agent that catches up keeps
        serving."""
        previous_reason = self.applier.blocked_reason
        done = self.applier.step(MAX_APPLIED_PER_ITERATION)
        if ids := {str(index): id for id, index in done if index >= 0}:
            # One line per batch. In a long catch-up, a line per entry overflowed the record's queue, which
            # loses lines, and filled its files, which rotated out the earlier lines.
            self.record.event("applied", ids=ids, digest=self.state_machine.digest)
        for id, _ in done:
            if (callback := self.read_callbacks.pop(id, None)) is not None:
                callback()
            self._finish_command(id)
        if self.applier.blocked_reason not in ("", previous_reason):
            log.error(
                "fleet: agreed log applied only up to entry %d; the rest needs a later program version: %s",
                self.applier.applied_index,
                self.applier.blocked_reason,
            )
            self.record.event("held", why=self.applier.blocked_reason)
        has_more = self.applier.queue and not self.applier.blocked_reason
        self._set_timer("apply", self.clock.now() if has_more else NEVER, self._apply_batch)
        if (
            not has_more
            and self.applier.applied_index - self.raft.log.snapshot_meta.index >= self.config.compact_after
        ):
            self._handle_raft(raft_events.Compact(self.applier.applied_index, self.state_machine.snapshot()))

    def _finish_command(self, id: str) -> None:
        started_at = self.in_flight.pop(id, None)
        if started_at is not None:
            self.record.event("acknowledged", id=id, after_ms=round(self.clock.now() - started_at, 2))

    def _store_changed(self, state: committer.State, why: str) -> None:
        self.record.event("store", state=state.value, why=why)
        log.error("fleet: the agreed log's store is %s: %s", state.value, why)
        if state is committer.State.OPEN:
            self.committer.write((), self._perform_deferred)  # runs after the writes that waited for the disk
            self._schedule_raft_tick()

    def _perform_deferred(self) -> None:
        if self.committer.state is committer.State.OPEN:
            outputs = self.deferred_outputs
            self.deferred_outputs = []
            for out in outputs:
                self._perform(out)

    def propose(self, kind: str, version: int, command: msgspec.Struct) -> str:
        """Proposes a command for the agreed log and returns its id. The event record has an "acknowledged"
        line for it once it is applied here. Raises OperatorError if too many are in flight."""
        self.last_command_number += 1
        id = f"{self.origin}#{self.last_command_number}"
        if len(self.in_flight) >= self.raft.settings.max_pending_commands:
            raise OperatorError("too many commands under way")
        self.in_flight[id] = self.clock.now()
        self.record.event("asked", id=id)
        self._handle_raft(raft_events.Propose(id, kind, version, _encoder.encode(command)))
        return id

    def mark_caught_up(self) -> None:
        """Notes on disk that the log has once been complete. The disk holds all that this agent confirms
        after that, so a later process may act on its content."""
        if not self.caught_up:
            self.caught_up = True
            self.committer.write([(CAUGHT_UP_KEY, b"")])

    def read(self, id: str, callback: Callable[[], None]) -> None:
        """Calls `callback` once this agent has applied all that was committed at the time of this call. A
        second call with the same `id` replaces the first."""
        self.read_callbacks[id] = callback
        self._handle_raft(raft_events.Read(id))

    # The operators' port

    def operations(self) -> Mapping[str, Operation]:
        """The commands for the membership, the agreed log and maintenance."""
        return {
            "members": self._show_members,
            "agreed": self._show_agreed,
            "agreed-log": self._show_log,
            "note": self._propose_note,
            "add-voter": self._add_voter,
            "remove-voter": self._remove_voter,
            **self.maintenance.operations(),
        }

    def _show_members(self, _: str) -> list[str]:
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

    def _show_agreed(self, _: str) -> list[str]:
        status = self.raft.status()
        return [
            f"OK term={status['term']} leader={status['leader'] or '-'} role={status['role']} "
            f"voter={'yes' if status['voter'] else 'no'} index={self.applier.applied_index} "
            f"lag={self.raft.log.last_index - self.applier.applied_index} "
            f"count={self.state_machine.applied_count} "
            f"digest={self.state_machine.digest or '-'} voters={','.join(self.raft.voters) or '-'}",
            *([f"HELD {self.applier.blocked_reason}"] if self.applier.blocked_reason else []),
        ]

    def _show_log(self, rest: str) -> list[str]:
        count = int(rest) if rest.strip().isdecimal() else 20
        return [
            "OK",
            *(
                f"{entry.index} term={entry.term} {entry.kind or '-'} {entry.id or '-'}"
                for entry in self.raft.log.entries[-min(count, 1000) :]
                if entry.index <= self.applier.applied_index
            ),
            "END",
        ]

    def _propose_note(self, rest: str) -> list[str]:
        if not rest.strip():
            raise OperatorError("no text")
        return [f"OK {self.propose('note', 1, Note(rest.strip()))}"]

    def _add_voter(self, rest: str) -> list[str]:
        return self._propose_voter_change(rest, True)

    def _remove_voter(self, rest: str) -> list[str]:
        return self._propose_voter_change(rest, False)

    def _propose_voter_change(self, rest: str, add: bool) -> list[str]:
        name = rest.strip()
        if not name or len(name.split()) != 1:
            raise OperatorError("no name")
        if add and not self._link_address(name) and name != self.config.agent:
            raise OperatorError(f"unknown agent {name[:30]!r}")
        return [f"OK {self.propose('voters', 1, VoterChange(name, add))}"]
