"""Connects the store to the agent: opens it, restores the agent's state from it, and closes it.

Imported only if a store is configured.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from frostport.config import StoreConfig
from frostport.core.broker import Broker
from frostport.core.calls import Attempt, Request, State
from frostport.core.clock import Clock
from frostport.core.deadlines import Deadlines
from frostport.core.rules import Rules
from frostport.handover import Handover, merge_next
from frostport.interface import Outcome
from frostport.state import records, recovery
from frostport.state.recorder import OnFailure, StoreRecorder
from frostport.state.recovery import Restored
from frostport.store import committer
from frostport.store.committer import Committer, ThreadWorker, Worker
from frostport.store.engine import Engine, Limits
from frostport.store.errors import LockedError, StoreError
from frostport.store.files import DiskFolder, Folder

if TYPE_CHECKING:
    from frostport.diameter_side import DiameterSide
    from frostport.platform_side import PlatformSide

log = logging.getLogger("frostport.store")


class AgentWithStore(Protocol):
    """The parts of the agent that the store uses."""

    reactor: Any
    clock: Clock
    deadlines: Deadlines
    rules: Rules
    broker: Broker
    side: PlatformSide | DiameterSide


class Durability:
    """The store as a part of the agent, used in the order of its methods."""

    def __init__(
        self,
        config: StoreConfig,
        engine: Engine,
        worker: Worker | None = None,
        handover: Handover | None = None,
    ) -> None:
        self.config = config
        self.engine = engine
        self.worker = worker
        self.handover = handover
        self.recovered_values = handover.initial_values() if handover is not None else engine.take_recovered()
        self.restored = Restored()
        self.adopt_call: Callable[[str, records.Standing], None]  # takes over a call of the predecessor
        self.committer: Committer | None = None
        self.recorder: StoreRecorder | None = None

    @classmethod
    def open(
        cls,
        config: StoreConfig,
        folder: Folder | None = None,
        worker: Worker | None = None,
        upgrade: bool = False,
    ) -> Durability:
        """Opens and recovers the store. Raises StoreError: one line that names file and offset.

        With `upgrade`, a predecessor may still write to the store and then hands it over."""
        limits = Limits(
            config.segment_bytes, config.record_bytes, config.store_bytes, config.checkpoint_records
        )
        try:
            if folder is not None:
                return cls(config, Engine.open(folder, limits), worker)
            try:
                engine = Engine.open(DiskFolder(config.path), limits)
            except LockedError:
                if not upgrade:
                    raise
                handover = Handover(config.path, limits)
                return cls(config, handover.engine, worker, handover)
            try:
                engine.recovered = merge_next(engine, config.path, limits)
            except BaseException:
                engine.close()
                raise
            return cls(config, engine, worker)
        except OSError as problem:
            raise StoreError(f"{problem.filename or config.path}: {problem.strerror or problem}") from None

    def attach(self, agent: AgentWithStore) -> None:
        """Decodes the records and installs the recorder. Raises StoreError if a record can't be decoded."""
        guard_ms = agent.rules.settings.release_guard_ms
        try:
            self.restored = recovery.restore(self.recovered_values, agent.clock.now(), guard_ms)
        except records.BadRecordError as problem:
            self.engine.close()
            raise StoreError(f"{self.config.path}: {problem}") from None
        worker = self.worker or ThreadWorker(agent.reactor.callFromThread)
        self.committer = Committer(
            self.engine,
            worker,
            agent.clock,
            agent.deadlines,
            committer.Durability(self.config.durability),
            self.config.interval_ms,
            self.config.stall_ms,
        )
        self.recorder = StoreRecorder(self.committer, agent.clock, OnFailure(self.config.on_failure))
        self.recorder.has_room = self._has_room
        self.committer.on_state_change = self._on_store_state
        agent.broker.recorder = agent.broker.budgets.recorder = self.recorder

    def _has_room(self) -> bool:
        return self.committer is None or not self.committer.nearly_full

    def _on_store_state(self, state: committer.State, reason: str) -> None:
        if self.recorder is not None:
            self.recorder.store_open = state is committer.State.OPEN
        if state is not committer.State.OPEN:
            consequence = (
                "new calls are refused"
                if self.config.on_failure == "refuse"
                else "SERVING WITHOUT IT: a crash now loses calls"
            )
            log.error("store: %s: %s; %s", state.value, reason, consequence)

    def restore(self, agent: AgentWithStore) -> None:
        """Passes restored calls, guards, servers, budgets and pending releases to the parts that own them.

        Called before any port or connection is open."""
        restored = self.restored
        broker = agent.broker
        assert self.committer is not None and self.recorder is not None
        if restored.clock_set_back_ms > 0.0:
            log.warning(
                "store: the clock was set back by %.0f ms since the last record", restored.clock_set_back_ms
            )
        self.committer.write([(key, None) for key in restored.expired_keys])
        for call, record in restored.established.items():
            restore_call(agent, call, record)
        for call, _ in sorted(restored.over.items(), key=lambda item: item[1].at):
            broker.ended_ids[call] = restored.ended_call(call)
        for address, (server, _, stop_at) in restored.servers.items():
            broker.rules.restore(address, server.number, stop_at)
        broker.budgets.restore(restored.budgets)
        agent.side.restore(restored)
        if restored.state_id is None and (identity := getattr(agent.side, "identity", None)) is not None:
            self.recorder.record_node(identity.state_id)
        if self.handover is not None:
            self.adopt_call = lambda call, record: adopt_call(agent, call, record)
            self.handover.attach(agent, self)

    def servers_known(self, agent: AgentWithStore) -> None:
        """Called once the servers are known: restores pending releases, ends calls whose server is gone."""
        agent.side.restore_pending_releases(self.restored)
        for request in agent.broker.requests:
            if request.attempt is not None and not agent.side.knows_server(request.attempt.server):
                agent.broker.attempt_ended(request.attempt, Outcome.RESET)
        log.info(
            "store: restored: %d calls established, %d ids of ended calls known, %d releases pending",
            len(agent.broker.requests),
            len(agent.broker.ended_ids),
            len(self.restored.releases) + len(self.restored.pending_ends),
        )
        self.restored = Restored()

    def stop(self) -> None:
        """Writes all pending changes and closes the store; waits for a limited time."""
        if self.committer is not None:
            self.committer.close()

    def snapshot(self) -> dict[str, Any]:
        """Returns the state of the store as plain data for operators and event records."""
        committing = self.committer
        engine = committing.engine if committing is not None else self.engine
        return {
            "state": committing.state.value if committing is not None else "joining",
            "failure": engine.failure,
            "records": len(engine.locations),
            "live_bytes": engine.live_bytes,
            "log_bytes": engine.total_bytes,
            "segments": len(engine.segments),
            "sequence": engine.sequence,
            "synced": engine.synced,
            "commits": committing.commits if committing is not None else 0,
            "changes": committing.written if committing is not None else 0,
            "cleaned": engine.cleaned,
            "checkpoints": engine.checkpoints,
        }


def adopt_call(agent: AgentWithStore, call: str, record: records.Standing) -> None:
    """Takes over an established call of the predecessor, while this one is already serving."""
    restore_call(agent, call, record)
    agent.side.adopt_call(call, record)


def restore_call(agent: AgentWithStore, call: str, record: records.Standing) -> None:
    """Adds an established call from before the restart to the broker; it has no client connection yet."""
    request = Request(
        call,
        record.service,
        "",
        "",
        record.at,
        agent.side.front,
        -1,
        record.team,
        client=record.client,
        end_to_end_id=record.identity,
    )
    request.state = State.ESTABLISHED
    request.established_at_ms = record.at
    request.answer = "stands"
    request.recorded_answer = recovery.recorded_answer(record)
    request.attempts = 1
    request.attempt = Attempt(request, 0, record.server, record.at, record.at, pending=False)
    request.handle = agent.broker.requests.add(request)
    agent.broker.handles_by_id[call] = request.handle
