"""Every order of events from a beginning, each state once: for worlds of the real decision objects."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterable
from typing import Any, Protocol


class World(Protocol):
    """Checks its invariants in each `step`; `key` tells states apart. It can be pickled."""

    def events(self) -> Iterable[Any]: ...

    def step(self, *event: Any) -> None: ...

    def key(self) -> bytes: ...


def explored(first: World, depth: int, most: int) -> int:
    """Breadth first to a depth, or until there are so many states; how many there were."""
    seen, todo = {first.key()}, deque([(pickle.dumps(first), 0)])
    while todo:
        held, at = todo.popleft()
        if at == depth or len(seen) > most:
            continue
        for event in list(pickle.loads(held).events()):
            world = pickle.loads(held)
            world.step(*event)
            key = world.key()
            if key not in seen:
                seen.add(key)
                todo.append((pickle.dumps(world), at + 1))
    return len(seen)
