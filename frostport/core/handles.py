"""Handle tables: connections and requests, each under a number."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class HandleTable(Generic[T]):
    """Gives each item a handle, a number from 0; the handle removed last is given again first."""

    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._unused: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._unused)

    def add(self, item: T) -> int:
        """Adds an item and returns its handle."""
        if self._unused:
            handle = self._unused.pop()
            self._items[handle] = item
            return handle
        self._items.append(item)
        return len(self._items) - 1

    def get(self, handle: int) -> T | None:
        """Returns the item with this handle, None if there is none."""
        return self._items[handle] if 0 <= handle < len(self._items) else None

    def remove(self, handle: int) -> None:
        """Removes an item; its handle may be given again. Raises KeyError if there is none."""
        if self.get(handle) is None:
            raise KeyError(f"no item with handle {handle}")
        self._items[handle] = None
        self._unused.append(handle)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])
