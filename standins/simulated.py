"""Many membership objects on one simulated clock and network; one seed, one thread, the code that serves."""

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


class World:
    """Agents `a0`, `a1` ... at addresses of the same name."""

    def __init__(self, count: int, seed: int, settings: Settings | None = None, loss: float = 0.0) -> None:
        self.chance, self.loss, self.settings = random.Random(seed), loss, settings or Settings()
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.agents: dict[str, Swim] = {}
        self.due: dict[str, float] = {}
        self.clocks: dict[str, tuple[float, float]] = {}  # an agent's clock: how far ahead, ms, and how fast
        self.frozen: dict[str, list[Callable[[], None]]] = {}  # who stands still, and what waits for it
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.told: list[tuple[float, str, MemberChanged]] = []
        self.moved: list[tuple[float, str, PhaseChanged]] = []
        self.bytes = self.sent = self.longest = 0
        for number in range(count):
            self.at(self.chance.uniform(0.0, 2000.0), functools.partial(self.start, f"a{number}"))

    def at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), do))

    def start(self, name: str, address: str = "", follows: bool = False, skew: float = 0.0) -> None:
        """A process of this name begins; a `skew` moves the clock that its incarnation comes from."""
        address = address or name
        seeds = ["a0", "a1", "a2"]
        info = Info(
            address, self.chance.getrandbits(48), f"zone-{int(name[1:]) % 3}", "serving", "1", address
        )
        agent = Swim(
            name,
            info,
            int(1e12 + self.now + skew),
            seeds,
            self.settings,
            random.Random(self.chance.random()),
            follows,
        )
        self.agents[address] = agent
        self.frozen.pop(address, None)
        self.event(address, Started())

    def stop(self, address: str) -> None:
        self.agents.pop(address, None)
        self.due.pop(address, None)
        self.frozen.pop(address, None)

    def freeze(self, *addresses: str) -> None:
        for address in addresses:
            self.frozen.setdefault(address, [])

    def wake(self, *addresses: str) -> None:
        """All that waited in its sockets is read, in any order with its timers."""
        for address in addresses:
            for do in self.frozen.pop(address, []):
                self.at(self.now, do)

    def event(self, address: str, event: Event) -> None:
        agent = self.agents.get(address)
        if agent is None:
            return
        if address in self.frozen:
            if len(self.frozen[address]) < 200:  # the rest is lost, as with a socket's buffer
                self.frozen[address].append(lambda: self.event(address, event))
            return
        ahead, rate = self.clocks.get(address, (0.0, 1.0))
        for action in agent.handle(event, self.now * rate + ahead):
            match action:
                case Send():
                    self.send(address, action)
                case ExchangeViews():
                    self.exchange(address, action.name)
                case MemberChanged():
                    self.told.append((self.now, address, action))
                case PhaseChanged():
                    self.moved.append((self.now, address, action))
        self.wait(address)

    def wait(self, address: str) -> None:
        agent = self.agents[address]
        ahead, rate = self.clocks.get(address, (0.0, 1.0))
        due = (agent.next_ms() - ahead) / rate + 0.001  # guards against a clock that rounds to just before
        if due < float("inf") and self.due.get(address, -1.0) != due:
            self.due[address] = due

            def tick() -> None:
                if self.agents.get(address) is agent and self.due.get(address) == due:
                    self.due.pop(address)
                    self.event(address, Tick())

            self.at(max(due, self.now), tick)

    def send(self, sender: str, action: Send) -> None:
        data = messages.encode(action.message)
        self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
        self.longest = max(self.longest, len(data))
        if self.chance.random() < self.loss or self.cut(sender, action.address):
            return
        arrives = self.now + self.chance.uniform(0.2, 2.0)
        self.at(arrives, lambda: self.event(action.address, DatagramReceived(sender, messages.decode(data))))

    def exchange(self, address: str, name: str) -> None:
        """Both views over the link, where it is up both ways."""
        member = self.agents[address].table.members.get(name)
        if member is None or member.info.address not in self.agents:
            return
        other = member.info.address
        if self.cut(address, other) or self.cut(other, address) or other in self.frozen:
            return
        mine, theirs = self.agents[address].view(), self.agents[other].view()
        self.at(self.now + 1.0, lambda: self.event(address, ViewReceived(theirs)))
        self.at(self.now + 1.0, lambda: self.event(other, ViewReceived(mine)))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = end

    # What is to be judged

    def sees(self, address: str, name: str) -> State | None:
        member = self.agents[address].table.members.get(name)
        return member.state if member is not None else None

    def unagreed(self) -> list[Any]:
        """Pairs of running agents of which one does not hold the other for alive."""
        members = {address: agent for address, agent in self.agents.items() if agent.phase is Phase.MEMBER}
        return [
            (address, other.name)
            for address, agent in members.items()
            for other in members.values()
            if other is not agent and self.sees(address, other.name) not in (State.ALIVE, State.SUSPECT)
        ]

    def leave(self, address: str) -> None:
        self.event(address, Leave())
        self.at(self.now + 100.0, lambda: self.stop(address))

    def buried(self, since: float, names: set[str]) -> list[tuple[float, str, str]]:
        """Who of these was told as dead since a time, and by whom."""
        return [
            (when, by, told.name)
            for when, by, told in self.told
            if when >= since and told.state is State.DEAD and told.name in names
        ]
