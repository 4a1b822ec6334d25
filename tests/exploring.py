"""Exhaustive search over all orders of events of the states that a model of real objects can reach."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterable
from typing import Any, Protocol


class World(Protocol):
    """A model under search, which can be pickled.

    `events` gives the arguments of each step that is possible now, `step` takes one and checks the
    invariants, `key` identifies the state.
    """

    def events(self) -> Iterable[Any]: ...

    def step(self, *event: Any) -> None: ...

    def key(self) -> bytes: ...


def explored(first: World, depth: int, max_states: int) -> int:
    """Searches breadth first to a depth, or until more than `max_states` states are known.

    Returns the number of states found.
    """
    seen = {first.key()}
    queue = deque([(pickle.dumps(first), 0)])
    while queue:
        pickled, reached = queue.popleft()
        if reached == depth or len(seen) > max_states:
            continue
        for event in list(pickle.loads(pickled).events()):
            world = pickle.loads(pickled)
            world.step(*event)
            key = world.key()
            if key not in seen:
                seen.add(key)
                queue.append((pickle.dumps(world), reached + 1))
    return len(seen)
