"""Joins the store to the agent: opens it, hands what comes back to who owns it, and ends it.

Imported only where a store is configured.
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
from frostport.handover import Handover, absorb
from frostport.interface import Outcome
from frostport.state import records, recovery
from frostport.state.recorder import StoreRecorder, Trouble
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


class Joined(Protocol):
    """The agent, as far as a store is joined to it."""

    reactor: Any
    clock: Clock
    deadlines: Deadlines
    rules: Rules
    broker: Broker
    side: PlatformSide | DiameterSide


class Durability:
    """The store as a part of the agent."""

    def __init__(
        self,
        config: StoreConfig,
        engine: Engine,
        worker: Worker | None = None,
        handover: Handover | None = None,
    ) -> None:
        self.config, self.engine, self.worker, self.handover = config, engine, worker, handover
        self.found = handover.known() if handover is not None else engine.take_recovered()
        self.restored = Restored()
        self.stands: Callable[[str, records.Standing], None]  # takes up a call of the process before
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
        """Recovers the store. Raises StoreError: one line that names file and offset.

        On an `upgrade` another process may still write it, and hands it over."""
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
                taking = Handover(config.path, limits)
                return cls(config, taking.engine, worker, taking)
            try:
                engine.recovered = absorb(engine, config.path, limits)
            except BaseException:
                engine.close()
                raise
            return cls(config, engine, worker)
        except OSError as problem:
            raise StoreError(f"{problem.filename or config.path}: {problem.strerror or problem}") from None

    def join(self, agent: Joined) -> None:
        """Reads the records and puts the recorder in place. Raises StoreError where a record can't be
        read."""
        guard_ms = agent.rules.settings.release_guard_ms
        try:
            self.restored = recovery.restore(self.found, agent.clock.now(), guard_ms)
        except records.BadRecordError as problem:
            self.engine.close()
            raise StoreError(f"{self.config.path}: record {problem}") from None
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
        self.recorder = StoreRecorder(self.committer, agent.clock, Trouble(self.config.on_failure))
        self.recorder.room = self._has_room
        self.committer.on_state_change = self._changed
        agent.broker.recorder = agent.broker.budgets.recorder = self.recorder

    def _has_room(self) -> bool:
        return self.committer is None or not self.committer.nearly_full

    def _changed(self, state: committer.State, why: str) -> None:
        if self.recorder is not None:
            self.recorder.trusted = state is committer.State.OPEN
        if state is not committer.State.OPEN:
            doing = (
                "new calls are refused"
                if self.config.on_failure == "refuse"
                else "GOING ON WITHOUT: a crash now forgets calls"
            )
            log.error("store: %s: %s; %s", state.value, why, doing)

    def resume(self, agent: Joined) -> None:
        """Before anything is open: calls, guards, the list, budgets and what is owed go to their owners."""
        restored, broker = self.restored, agent.broker
        assert self.committer is not None and self.recorder is not None
        if restored.set_back_ms > 0.0:
            log.warning(
                "store: the clock has gone back by %.0f ms since the last record", restored.set_back_ms
            )
        self.committer.write([(key, None) for key in restored.dropped])
        for call, standing in restored.standing.items():
            stands(agent, call, standing)
        for call, over in sorted(restored.over.items(), key=lambda item: item[1].at):
            broker.ended_ids[call] = (over.at, over.not_before)
        for address, (server, _, stop_at) in restored.servers.items():
            broker.rules.restore(address, server.number, stop_at)
        broker.budgets.restore(restored.budgets)
        agent.side.restore(restored)
        if restored.state_id is None and (identity := getattr(agent.side, "identity", None)) is not None:
            self.recorder.node(identity.state_id)
        if self.handover is not None:
            self.stands = lambda call, standing: adopt(agent, call, standing)
            self.handover.join(agent, self)

    def started(self, agent: Joined) -> None:
        """Once the servers are known: releases owed to them; what stood where no server is left is over."""
        agent.side.restore_owed_releases(self.restored)
        for request in agent.broker.requests:
            if request.attempt is not None and not agent.side.knows_server(request.attempt.server):
                agent.broker.attempt_ended(request.attempt, Outcome.RESET)
        log.info(
            "store: %d calls stand, %d ids are known, %d releases owed",
            len(agent.broker.requests),
            len(agent.broker.ended_ids),
            len(self.restored.releases) + len(self.restored.owed),
        )
        self.restored = Restored()

    def stop(self) -> None:
        """Writes what waits; waits for a bounded time."""
        if self.committer is not None:
            self.committer.close()

    def snapshot(self) -> dict[str, Any]:
        """Plain data for console and records."""
        at = self.committer
        engine = at.engine if at is not None else self.engine
        return {
            "state": at.state.value if at is not None else "joining",
            "failure": engine.failure,
            "records": len(engine.locations),
            "live_bytes": engine.live_bytes,
            "log_bytes": engine.total_bytes,
            "segments": len(engine.segments),
            "sequence": engine.sequence,
            "synced": engine.synced,
            "commits": at.commits if at is not None else 0,
            "changes": at.written if at is not None else 0,
            "cleaned": engine.cleaned,
            "checkpoints": engine.checkpoints,
        }


def adopt(agent: Joined, call: str, standing: records.Standing) -> None:
    """While serving: a call that stands in another process."""
    stands(agent, call, standing)
    agent.side.adopt_call(call, standing)


def stands(agent: Joined, call: str, standing: records.Standing) -> None:
    """A call that stands from before the restart: it has no connection."""
    request = Request(
        call,
        standing.service,
        "",
        "",
        standing.at,
        agent.side.front,
        -1,
        standing.team,
        client=standing.client,
        end_to_end_id=standing.identity,
    )
    request.state, request.established_at_ms, request.answer = State.ESTABLISHED, standing.at, "stands"
    request.recorded_answer, request.attempts = recovery.given(standing), 1
    request.attempt = Attempt(request, 0, standing.server, standing.at, standing.at, pending=False)
    request.slot = agent.broker.requests.add(request)
    agent.broker.slots_by_id[call] = request.slot
