"""Many agents' membership (`Swim`) on one simulated clock and network, reproducible from one seed.

The membership code is the one that agents run; only the network and the clock are simulated.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from frostport.membership import messages
from frostport.membership.events import (
    DatagramReceived,
    Event,
    ExchangeViews,
    Leave,
    MemberChanged,
    Phase,
    PhaseChanged,
    Send,
    Started,
    Tick,
    ViewReceived,
)
from frostport.membership.messages import Info, State
from frostport.membership.settings import Settings
from frostport.membership.swim import Swim


class SimulatedNetwork:
    """The network, and the agents `a0`, `a1` ..., each at an address of the same name, on one clock in ms."""

    def __init__(self, count: int, seed: int, settings: Settings | None = None, loss: float = 0.0) -> None:
        """`loss` is the probability that a datagram is lost."""
        self.rng = random.Random(seed)
        self.loss = loss
        self.settings = settings or Settings()
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.agents: dict[str, Swim] = {}
        self.tick_at: dict[str, float] = {}
        self.clocks: dict[str, tuple[float, float]] = {}  # by address: offset in ms, and rate
        self.frozen: dict[str, list[Callable[[], None]]] = {}  # events not yet read, by address
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.member_changes: list[tuple[float, str, MemberChanged]] = []
        self.phase_changes: list[tuple[float, str, PhaseChanged]] = []
        self.sent_bytes = self.sent_count = self.longest_datagram = 0
        for number in range(count):
            self.call_at(self.rng.uniform(0.0, 2000.0), functools.partial(self.start, f"a{number}"))

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.sequence), callback))

    def start(self, name: str, address: str = "", takes_over: bool = False, skew: float = 0.0) -> None:
        """Starts a process of this name, at the address of the same name by default.

        `skew` (ms) is the error of the clock that its incarnation is taken from; with `takes_over` the
        process replaces another one of the same name, as in an upgrade.
        """
        address = address or name
        seeds = ["a0", "a1", "a2"]
        info = Info(address, self.rng.getrandbits(48), f"zone-{int(name[1:]) % 3}", "serving", "1", address)
        agent = Swim(
            name,
            info,
            int(1e12 + self.now + skew),
            seeds,
            self.settings,
            random.Random(self.rng.random()),
            takes_over,
        )
        self.agents[address] = agent
        self.frozen.pop(address, None)
        self.deliver(address, Started())

    def stop(self, address: str) -> None:
        """Ends a process without notice."""
        self.agents.pop(address, None)
        self.tick_at.pop(address, None)
        self.frozen.pop(address, None)

    def freeze(self, *addresses: str) -> None:
        """Stops the processing at these addresses; up to 200 events each wait for `unfreeze`."""
        for address in addresses:
            self.frozen.setdefault(address, [])

    def unfreeze(self, *addresses: str) -> None:
        """Delivers what arrived at these addresses meanwhile, interleaved with their timers."""
        for address in addresses:
            for callback in self.frozen.pop(address, []):
                self.call_at(self.now, callback)

    def deliver(self, address: str, event: Event) -> None:
        """Passes an event to an agent and carries out the actions that it returns."""
        agent = self.agents.get(address)
        if agent is None:
            return
        if address in self.frozen:
            if len(self.frozen[address]) < 200:  # the rest is lost, as when a socket's buffer is full
                self.frozen[address].append(lambda: self.deliver(address, event))
            return
        ahead, rate = self.clocks.get(address, (0.0, 1.0))
        for action in agent.handle(event, self.now * rate + ahead):
            match action:
                case Send():
                    self.send(address, action)
                case ExchangeViews():
                    self.exchange_views(address, action.name)
                case MemberChanged():
                    self.member_changes.append((self.now, address, action))
                case PhaseChanged():
                    self.phase_changes.append((self.now, address, action))
        self.schedule_tick(address)

    def schedule_tick(self, address: str) -> None:
        """Schedules an agent's next tick; an earlier one for another time is dropped."""
        agent = self.agents[address]
        ahead, rate = self.clocks.get(address, (0.0, 1.0))
        due = (agent.next_ms() - ahead) / rate + 0.001  # rounding must not make the tick come early
        if due < float("inf") and self.tick_at.get(address, -1.0) != due:
            self.tick_at[address] = due

            def tick() -> None:
                if self.agents.get(address) is agent and self.tick_at.get(address) == due:
                    self.tick_at.pop(address)
                    self.deliver(address, Tick())

            self.call_at(max(due, self.now), tick)

    def send(self, sender: str, action: Send) -> None:
        """Sends a datagram, which may be lost, and counts its bytes."""
        data = messages.encode(action.message)
        self.sent_count += 1
        self.sent_bytes += len(data)
        self.longest_datagram = max(self.longest_datagram, len(data))
        if self.rng.random() < self.loss or self.cut(sender, action.address):
            return
        arrives = self.now + self.rng.uniform(0.2, 2.0)
        self.call_at(
            arrives, lambda: self.deliver(action.address, DatagramReceived(sender, messages.decode(data)))
        )

    def exchange_views(self, address: str, name: str) -> None:
        """Exchanges both agents' views over the link, unless it is cut in either direction."""
        member = self.agents[address].table.members.get(name)
        if member is None or member.info.address not in self.agents:
            return
        other = member.info.address
        if self.cut(address, other) or self.cut(other, address) or other in self.frozen:
            return
        mine, theirs = self.agents[address].view(), self.agents[other].view()
        self.call_at(self.now + 1.0, lambda: self.deliver(address, ViewReceived(theirs)))
        self.call_at(self.now + 1.0, lambda: self.deliver(other, ViewReceived(mine)))

    def run(self, ms: float) -> None:
        """Advances the clock by `ms` and runs the callbacks that are due."""
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    # Queries for tests

    def state_of(self, address: str, name: str) -> State | None:
        """The state of a member as the agent at an address sees it, None if it knows no such member."""
        member = self.agents[address].table.members.get(name)
        return member.state if member is not None else None

    def disagreements(self) -> list[Any]:
        """Pairs of running agents (address, name) of which the first does not see the second as alive."""
        members = {address: agent for address, agent in self.agents.items() if agent.phase is Phase.MEMBER}
        return [
            (address, other.name)
            for address, agent in members.items()
            for other in members.values()
            if other is not agent and self.state_of(address, other.name) not in (State.ALIVE, State.SUSPECT)
        ]

    def leave(self, address: str) -> None:
        """Lets an agent announce that it leaves; its process ends 100 ms later."""
        self.deliver(address, Leave())
        self.call_at(self.now + 100.0, lambda: self.stop(address))

    def reported_deaths(self, since: float, names: set[str]) -> list[tuple[float, str, str]]:
        """The reports since a time that one of these agents is dead: time, observer and name."""
        return [
            (when, observer, change.name)
            for when, observer, change in self.member_changes
            if when >= since and change.state is State.DEAD and change.name in names
        ]
