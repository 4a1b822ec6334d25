"""Handle tables: connections and requests, each under a number."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class HandleTable(Generic[T]):
    """Gives each item a handle, a number from 0 that is never given again.

    A handle that is kept longer than its item finds nothing, and never an item that came later."""

    def __init__(self) -> None:
        self._items: dict[int, T] = {}
        self._next_handle = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: T) -> int:
        """Adds an item and returns its handle."""
        handle = self._next_handle
        self._next_handle += 1
        self._items[handle] = item
        return handle

    def get(self, handle: int) -> T | None:
        """Returns the item with this handle, None if there is none."""
        return self._items.get(handle)

    def remove(self, handle: int) -> None:
        """Removes an item. Raises KeyError if there is none."""
        del self._items[handle]

    def __iter__(self) -> Iterator[T]:
        return iter(list(self._items.values()))
